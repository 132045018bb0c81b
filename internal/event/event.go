// Package event records numbered log events and holds their catalogue.
//
// Every line that a node logs is one of the events of the catalogue, so that
// an operator can look up by number what it means and what to do. Each event
// has its own rate limit; a line that follows suppressed ones carries their
// count. Recording never blocks: lines pass through a bounded queue to one
// writing goroutine, and lines that find the queue full are counted as
// suppressed.
//
// # Usage
//
//	recorder := event.New(ctx, event.Options{Out: os.Stderr, Node: "entry-1"})
//	recorder.Record(event.SessionOpened, "worker", "w-17", "token", 4)
//	cancel()
//	<-recorder.Done()
//
// An event is added as one line in catalogue.go. docs/events.md is generated
// from the table by "go test ./internal/event -update".
package event

import (
	"bytes"
	"context"
	"encoding"
	"fmt"
	"io"
	"reflect"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// Defaults of Options.
const (
	DefaultRateLimit   = 5
	DefaultBurst       = 20
	DefaultQueueLength = 1024
)

// Options configure a Recorder. Zero fields take the defaults above.
type Options struct {
	// Out takes one logfmt line for each event; nil discards them.
	Out io.Writer
	// Node is added to every line if it is set.
	Node string
	// Now returns the time of an event; nil is time.Now.
	Now func() time.Time
	// RateLimit and Burst bound the lines of each event.
	RateLimit rate.Limit
	Burst     int
	// QueueLength bounds the lines that wait for Out.
	QueueLength int
}

// Recorder writes events. Its methods may be called from any goroutine.
type Recorder struct {
	options  Options
	limits   map[int]*limit
	lines    chan []byte
	finished chan struct{}
}

// limit is the rate limit of one event. The map of them is filled once, so it
// is read without a lock.
type limit struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
	total      atomic.Int64
}

// New starts a Recorder that writes until the context ends, and then writes
// what is queued.
func New(ctx context.Context, options Options) *Recorder {
	if options.Out == nil {
		options.Out = io.Discard
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.RateLimit == 0 {
		options.RateLimit = DefaultRateLimit
	}
	if options.Burst == 0 {
		options.Burst = DefaultBurst
	}
	if options.QueueLength == 0 {
		options.QueueLength = DefaultQueueLength
	}
	recorder := &Recorder{
		options:  options,
		limits:   make(map[int]*limit, len(catalogue)),
		lines:    make(chan []byte, options.QueueLength),
		finished: make(chan struct{}),
	}
	for _, definition := range catalogue {
		recorder.limits[definition.Number] = &limit{limiter: rate.NewLimiter(options.RateLimit, options.Burst)}
	}
	go recorder.write(ctx)
	return recorder
}

// Done is closed after the last line was written.
func (r *Recorder) Done() <-chan struct{} { return r.finished }

// Total returns how often the event was recorded, suppressed lines included.
func (r *Recorder) Total(definition Definition) int64 {
	if bound := r.limits[definition.Number]; bound != nil {
		return bound.total.Load()
	}
	return 0
}

// Record logs one event with pairs of kebab-case names and values. Events
// that are not in the catalogue are ignored.
func (r *Recorder) Record(definition Definition, keyvals ...any) {
	bound := r.limits[definition.Number]
	if bound == nil {
		return
	}
	bound.total.Add(1)
	now := r.options.Now()
	if !bound.limiter.AllowN(now, 1) {
		bound.suppressed.Add(1)
		return
	}
	suppressed := bound.suppressed.Swap(0)
	select {
	case r.lines <- r.format(definition, now, suppressed, keyvals):
	default:
		bound.suppressed.Add(suppressed + 1)
	}
}

func (r *Recorder) format(definition Definition, now time.Time, suppressed int64, keyvals []any) []byte {
	head := []any{"time", now.UTC().Format(time.RFC3339Nano), "level", string(definition.Level),
		"event", definition.Number, "name", definition.Name}
	if r.options.Node != "" {
		head = append(head, "node", r.options.Node)
	}
	if suppressed > 0 {
		head = append(head, "suppressed", suppressed)
	}
	for i := 1; i < len(keyvals); i += 2 {
		keyvals[i] = printable(keyvals[i])
	}
	var line bytes.Buffer
	if err := log.NewLogfmtLogger(&line).Log(append(head, keyvals...)...); err != nil {
		line.Reset()
		_ = log.NewLogfmtLogger(&line).Log(append(head, "unprintable", err.Error())...)
	}
	return line.Bytes()
}

// printable returns what logfmt can write of a value: it refuses structures,
// lists and tables that don't say how they are printed.
func printable(value any) any {
	switch value.(type) {
	case fmt.Stringer, error, encoding.TextMarshaler:
		return value
	}
	switch reflect.ValueOf(value).Kind() {
	case reflect.Struct, reflect.Map, reflect.Slice, reflect.Array, reflect.Pointer:
		return fmt.Sprint(value)
	}
	return value
}

func (r *Recorder) write(ctx context.Context) {
	defer close(r.finished)
	for {
		select {
		case line := <-r.lines:
			_, _ = r.options.Out.Write(line)
		case <-ctx.Done():
			r.flush()
			return
		}
	}
}

func (r *Recorder) flush() {
	for {
		select {
		case line := <-r.lines:
			_, _ = r.options.Out.Write(line)
		default:
			return
		}
	}
}

// Markdown returns the catalogue as the page docs/events.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Events\n\nGenerated from `internal/event/catalogue.go` by `go test ./internal/event -update`.\n" +
		"Each log line carries the number and the name of its event. An event marked as an alarm requires a person.\n\n" +
		"| number | name | level | meaning | what an operator does | alarm |\n|---|---|---|---|---|---|\n")
	for _, definition := range catalogue {
		alarm := ""
		if definition.Alarm {
			alarm = "yes"
		}
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s | %s |\n", definition.Number, definition.Name, definition.Level,
			definition.Meaning, definition.Action, alarm)
	}
	return page.String()
}

// RecordByName logs the event that has the name in the catalogue. An unknown
// name is counted as suppressed nowhere: tests check that all names exist.
func (r *Recorder) RecordByName(name string, keyvals ...any) {
	if definition, known := byName[name]; known {
		r.Record(definition, keyvals...)
	}
}
