package journal

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of Options.
const (
	// DefaultAppendsPerSecond keeps nine nodes below 100 appends per second.
	DefaultAppendsPerSecond = 10
	DefaultBufferRecords    = 8192
	DefaultBufferBytes      = 16 << 20
	// DefaultCallTimeout leaves room for a log that takes 1 s per append.
	DefaultCallTimeout = 4 * time.Second
	DefaultBackoffBase = 50 * time.Millisecond
	// DefaultBackoffMax is below the 6 s in which a configuration has to be in
	// force, so that the first read after an outage is early enough.
	DefaultBackoffMax = 2 * time.Second
)

// Bounds of one append and one read.
const (
	maxRecordsPerAppend = 1024
	maxBytesPerAppend   = 4 << 20
	maxRecordsPerRead           = 500
	readWait            = time.Second
	maxResponseBytes      = 16 << 20
	// maxCatchUpPause is the longest random pause between two full reads, so that
	// nodes that are behind don't occupy the log together.
	maxCatchUpPause = 20 * time.Millisecond
	// maxTimeoutFactor bounds the time limit of an append in units of CallTimeout.
	maxTimeoutFactor = 4
)

// Options are fixed for the life of a client. Zero fields take the defaults.
type Options struct {
	Address netip.AddrPort
	// AppendsPerSecond bounds the appends of this client, retries included.
	AppendsPerSecond int
	// BufferRecords and BufferBytes bound the records that wait for an append.
	BufferRecords int
	BufferBytes   int
	// CallTimeout limits a read beyond its wait, and the first append; see
	// adaptTimeout.
	CallTimeout time.Duration
	// BackoffBase and BackoffMax bound the random delay after a failed call:
	// it is uniform from 0 to BackoffBase doubled for each failure in a row.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// Seed starts the random source of the delays. Nodes with the same seed
	// would retry together, so each node has to take its own.
	Seed uint64
	// Now is the clock that the state of the log is measured with; nil takes
	// time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	setDefault(&o.AppendsPerSecond, DefaultAppendsPerSecond)
	setDefault(&o.BufferRecords, DefaultBufferRecords)
	setDefault(&o.BufferBytes, DefaultBufferBytes)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.BackoffBase, DefaultBackoffBase)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Errors of appends. A record that ended with ErrOutcomeUnknown may be in the
// log; all others are not.
var (
	ErrBufferFull     = errors.New("journal: the buffer of unwritten records is full")
	ErrStopped        = errors.New("journal: stopped before the record was sent")
	ErrWithdrawn      = errors.New("journal: withdrawn before the record was sent")
	ErrOutcomeUnknown = errors.New("journal: stopped while the record was being written; it may be in the log")
)

// RefusedError is an answer of the log that refuses a call for good or for now.
type RefusedError struct {
	Status  int
	Message string
}

// Error returns the status and the message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("journal: the log refused with status %d: %s", e.Status, e.Message)
}

// Result is how the append of one record ended.
type Result struct {
	// Offset is the record's place in the log if Err is nil.
	Offset int64
	Err    error
}

// Client appends to the log and follows it. Its methods are safe for use by
// several goroutines.
type Client struct {
	options Options
	http    *http.Client
	limiter *rate.Limiter
	health  *health
	// streams numbers the users of the random source.
	streams atomic.Uint64
	// appendTimeout is used by the goroutine of the appends only.
	appendTimeout time.Duration

	mu            sync.Mutex
	stopped       bool
	buffer        []*pendingRecord
	bufferedBytes int
	// wake has room for one signal that the buffer is not empty.
	wake chan struct{}
}

// New returns a client that has not been started.
func New(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options: options,
		http:    &http.Client{Transport: &http.Transport{MaxConnsPerHost: 8, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}},
		limiter: rate.NewLimiter(rate.Limit(options.AppendsPerSecond), 1),
		health:  newHealth(),
		wake:    make(chan struct{}, 1),

		appendTimeout: options.CallTimeout,
	}
}

// States delivers each change of the log's state; the state before the first
// change is StateUp. If the reader is late it gets only the newest state.
func (c *Client) States() <-chan State {
	return c.health.notifications
}

// backoff draws delays with full jitter. It belongs to one goroutine.
type backoff struct {
	random   *rand.Rand
	base     time.Duration
	limit    time.Duration
	failures int
}

func (c *Client) newBackoff() *backoff {
	return &backoff{
		random: rand.New(rand.NewPCG(c.options.Seed, c.streams.Add(1))),
		base:   c.options.BackoffBase,
		limit:  c.options.BackoffMax,
	}
}

func (b *backoff) nextDelay() time.Duration {
	bound := b.limit
	if b.failures < 30 {
		bound = min(b.limit, b.base<<b.failures)
	}
	b.failures++
	return b.uniform(bound)
}

func (b *backoff) uniform(bound time.Duration) time.Duration {
	return time.Duration(b.random.Int64N(int64(bound) + 1))
}

func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type appendRequest struct {
	Identity string   `json:"identity"`
	Records  [][]byte `json:"records"`
}

type appendResponse struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

type readResponse struct {
	From    int64    `json:"from"`
	Oldest  int64    `json:"oldest"`
	End     int64    `json:"end"`
	Records [][]byte `json:"records"`
}

func (c *Client) postAppend(ctx context.Context, request appendRequest) (appendResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return appendResponse{}, err
	}
	var answer appendResponse
	start := c.options.Now()
	err = c.call(ctx, c.appendTimeout, http.MethodPost, "/append", nil, body, &answer)
	c.adaptTimeout(c.options.Now().Sub(start))
	if err == nil && answer.Next-answer.First != int64(len(request.Records)) {
		err = fmt.Errorf("journal: the log answered offsets %d to %d for %d records", answer.First, answer.Next, len(request.Records))
	}
	return answer, err
}

// adaptTimeout doubles the time limit of appends after one that used it up and
// halves it after a quick one. With a fixed limit, a log that is slower than the
// limit would get each batch again and again.
func (c *Client) adaptTimeout(took time.Duration) {
	switch {
	case took >= c.appendTimeout:
		c.appendTimeout = min(2*c.appendTimeout, maxTimeoutFactor*c.options.CallTimeout)
	case took < c.appendTimeout/4:
		c.appendTimeout = max(c.appendTimeout/2, c.options.CallTimeout)
	}
}

func (c *Client) read(ctx context.Context, from int64) (readResponse, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(maxRecordsPerRead)},
		"wait-ms": {strconv.FormatInt(readWait.Milliseconds(), 10)},
	}
	var answer readResponse
	err := c.call(ctx, c.options.CallTimeout+readWait, http.MethodGet, "/read", query, nil, &answer)
	if err == nil && answer.End < from {
		err = fmt.Errorf("journal: the log ends at offset %d, before offset %d that was read earlier", answer.End, from)
	}
	if err == nil && answer.From < from {
		err = fmt.Errorf("journal: the log answered from offset %d for a read from %d", answer.From, from)
	}
	return answer, err
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, query url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.options.Address.String(), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return newRefusedError(response.StatusCode, data)
	}
	return json.Unmarshal(data, answer)
}

func newRefusedError(status int, data []byte) error {
	var body struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(data, &body) != nil || body.Message == "" {
		body.Message = http.StatusText(status)
	}
	return &RefusedError{Status: status, Message: body.Message}
}
