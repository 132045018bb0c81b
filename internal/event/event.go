// Package event writes structured log lines and holds the catalogue of events.
//
// Every line that a node logs is one of the numbered events of the catalogue,
// so that an operator can look up what it means and what to do. Each event has
// its own rate limit. The first line after suppressed ones carries their number
// in the field "suppressed". Recording never blocks: lines pass through a
// bounded queue to one writer goroutine. When the queue is full, a line is
// dropped and counted as suppressed.
//
// # Usage
//
//	recorder := event.New(ctx, event.Options{Out: os.Stderr, Node: "entry-1"})
//	recorder.Record(event.SessionOpened, "worker", "w-17", "token", 4)
//	cancel()
//	<-recorder.Done()
//
// To add an event, add one line to catalogue.go or, for the entry process and
// the shards, to entry.go. Then run "go test ./internal/event -update", which
// generates docs/events.md from the catalogue.
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
	DefaultRateLimit   = 5    // lines per second of each event
	DefaultBurst       = 20   // lines of each event
	DefaultQueueLength = 1024 // lines
)

// Options configure a Recorder. A rate limit, burst or queue length of zero
// takes its default.
type Options struct {
	// Out receives one logfmt line for each event; nil discards all lines.
	// Write errors are ignored.
	Out io.Writer
	// Node is the field "node" of every line; if it is empty, the field is left
	// out.
	Node string
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// RateLimit and Burst limit the lines of each event, in lines per second and
	// in lines.
	RateLimit rate.Limit
	Burst     int
	// QueueLength is the largest number of lines that wait to be written to Out.
	QueueLength int
}

// Recorder writes events. It is safe for use by several goroutines.
type Recorder struct {
	options Options
	// limits holds the limit of each event by its number. Only New changes the map,
	// so it is read without a lock.
	limits map[int]*eventLimit
	queue  chan []byte
	done   chan struct{}
}

// eventLimit holds the rate limit and the counters of one event.
type eventLimit struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
	total      atomic.Int64
}

// New starts a Recorder. When the context ends, the recorder writes the lines
// that are still queued and stops.
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
		options: options,
		limits:  make(map[int]*eventLimit, len(catalogue)),
		queue:   make(chan []byte, options.QueueLength),
		done:    make(chan struct{}),
	}
	for _, definition := range catalogue {
		recorder.limits[definition.Number] = &eventLimit{limiter: rate.NewLimiter(options.RateLimit, options.Burst)}
	}
	go recorder.writeLines(ctx)
	return recorder
}

// Done returns a channel that is closed after the last line is written.
func (r *Recorder) Done() <-chan struct{} { return r.done }

// Total returns how often the event was recorded, including suppressed lines.
func (r *Recorder) Total(definition Definition) int64 {
	if limit := r.limits[definition.Number]; limit != nil {
		return limit.total.Load()
	}
	return 0
}

// Record logs one event. The arguments keyvals are pairs of a kebab-case field
// name and a value. An event that is not in the catalogue is ignored.
func (r *Recorder) Record(definition Definition, keyvals ...any) {
	limit := r.limits[definition.Number]
	if limit == nil {
		return
	}
	limit.total.Add(1)
	now := r.options.Now()
	if !limit.limiter.AllowN(now, 1) {
		limit.suppressed.Add(1)
		return
	}
	suppressed := limit.suppressed.Swap(0)
	select {
	case r.queue <- r.formatLine(definition, now, suppressed, keyvals):
	default:
		limit.suppressed.Add(suppressed + 1)
	}
}

func (r *Recorder) formatLine(definition Definition, now time.Time, suppressed int64, keyvals []any) []byte {
	fields := []any{"time", now.UTC().Format(time.RFC3339Nano), "level", string(definition.Level),
		"event", definition.Number, "name", definition.Name}
	if r.options.Node != "" {
		fields = append(fields, "node", r.options.Node)
	}
	if suppressed > 0 {
		fields = append(fields, "suppressed", suppressed)
	}
	for i := 1; i < len(keyvals); i += 2 {
		keyvals[i] = logfmtValue(keyvals[i])
	}
	var line bytes.Buffer
	if err := log.NewLogfmtLogger(&line).Log(append(fields, keyvals...)...); err != nil {
		line.Reset()
		_ = log.NewLogfmtLogger(&line).Log(append(fields, "unprintable", err.Error())...)
	}
	return line.Bytes()
}

// logfmtValue returns the value in a form that the logfmt encoder accepts. The
// encoder rejects structs, maps, slices and arrays that implement none of
// fmt.Stringer, error and encoding.TextMarshaler.
func logfmtValue(value any) any {
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

func (r *Recorder) writeLines(ctx context.Context) {
	defer close(r.done)
	for {
		select {
		case line := <-r.queue:
			_, _ = r.options.Out.Write(line)
		case <-ctx.Done():
			r.writeQueued()
			return
		}
	}
}

func (r *Recorder) writeQueued() {
	for {
		select {
		case line := <-r.queue:
			_, _ = r.options.Out.Write(line)
		default:
			return
		}
	}
}

// Markdown returns the catalogue as the content of docs/events.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Events\n\nGenerated from `internal/event/catalogue.go` by `go test ./internal/event -update`.\n" +
		"Each log line carries the number and the name of its event. An event marked as an alarm requires an operator to act.\n\n" +
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

// RecordByName logs the event with this name, such as "run-ended". An unknown
// name is ignored without being counted, so tests check that every name that
// is recorded exists.
func (r *Recorder) RecordByName(name string, keyvals ...any) {
	if definition, known := definitionsByName[name]; known {
		r.Record(definition, keyvals...)
	}
}
