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
	// DefaultCallTimeout allows for a log that takes 1 s per append.
	DefaultCallTimeout = 4 * time.Second
	DefaultBackoffBase = 50 * time.Millisecond
	// DefaultBackoffMax is well below the 6 s within which a configuration must
	// be in force, so that the first read after an outage is in time.
	DefaultBackoffMax = 2 * time.Second
)

// Limits of one append and one read.
const (
	maxRecordsPerAppend = 1024
	maxBytesPerAppend   = 4 << 20
	maxRecordsPerRead   = 500
	// readWait is how long the log may delay the response to a read until there are
	// new records.
	readWait         = time.Second
	maxResponseBytes = 16 << 20
	// maxCatchUpPause bounds the random pause between reads of a follower that is
	// behind, so that nodes don't load the log at the same time.
	maxCatchUpPause = 20 * time.Millisecond
	// maxTimeoutFactor bounds the timeout of an append as a multiple of CallTimeout.
	maxTimeoutFactor = 4
)

// Options configures a client. Zero fields take the defaults.
type Options struct {
	// Address is where the log serves HTTP.
	Address netip.AddrPort
	// AppendsPerSecond limits the append requests of this client, including
	// retries.
	AppendsPerSecond int
	// BufferRecords and BufferBytes bound the number and the encoded size in
	// bytes of the buffered records.
	BufferRecords int
	BufferBytes   int
	// CallTimeout is the time that a read may take in addition to its wait for
	// new records, and the initial timeout of an append; see adaptTimeout.
	CallTimeout time.Duration
	// BackoffBase and BackoffMax bound the delay after a failed call. The delay
	// is uniform between 0 and a bound that starts at BackoffBase and doubles
	// with each consecutive failure up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// Seed seeds the random delays. Each node needs its own seed, because nodes
	// with equal seeds would retry at the same time.
	Seed uint64
	// Now returns the time used to measure calls to the log; nil means time.Now.
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
// log; records that ended with one of the other errors are not.
var (
	ErrBufferFull     = errors.New("journal: the buffer of unwritten records is full")
	ErrStopped        = errors.New("journal: stopped before the record was sent")
	ErrWithdrawn      = errors.New("journal: withdrawn before the record was sent")
	ErrOutcomeUnknown = errors.New("journal: stopped while the record was being written; it may be in the log")
)

// RefusedError is a response of the log with an HTTP status other than 200.
// Depending on the status the call may succeed later.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// Message is the message of the response's body or, without one, the text of
	// the status.
	Message string
}

// Error implements error with the status and the message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("journal: the log refused with status %d: %s", e.Status, e.Message)
}

// Result is the outcome of appending one record.
type Result struct {
	// Offset is the record's offset in the log; it is valid only if Err is nil.
	Offset int64
	Err    error
}

// Client appends records to the log and follows it. Its methods are safe for
// concurrent use.
type Client struct {
	options Options
	http    *http.Client
	limiter *rate.Limiter
	health  *health
	// streams counts the random streams in use; each backoff has its own.
	streams atomic.Uint64
	// appendTimeout is used only by the goroutine that writes batches.
	appendTimeout time.Duration

	mu            sync.Mutex
	stopped       bool
	buffer        []*pendingRecord
	bufferedBytes int
	// wake has capacity 1 and signals that the buffer is not empty.
	wake chan struct{}
}

// New returns a client. It writes no records until Start is called.
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

// States returns a channel that receives each change of the log's state, which
// is StateUp at first. A slow receiver gets only the latest state.
func (c *Client) States() <-chan State {
	return c.health.notifications
}

// backoff computes exponential delays with full jitter. It is not safe for
// concurrent use.
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
	var response appendResponse
	start := c.options.Now()
	err = c.call(ctx, c.appendTimeout, http.MethodPost, "/append", nil, body, &response)
	c.adaptTimeout(c.options.Now().Sub(start))
	if err == nil && response.Next-response.First != int64(len(request.Records)) {
		err = fmt.Errorf("journal: the log returned offsets %d to %d for %d records", response.First, response.Next, len(request.Records))
	}
	return response, err
}

// adaptTimeout doubles the timeout of appends after one that took at least that
// long and halves it after one that took less than a quarter of it. With a fixed
// timeout, a log that is slower would receive each batch again and again.
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
	var response readResponse
	err := c.call(ctx, c.options.CallTimeout+readWait, http.MethodGet, "/read", query, nil, &response)
	if err == nil && response.End < from {
		err = fmt.Errorf("journal: the log ends at offset %d, before offset %d that was read earlier", response.End, from)
	}
	if err == nil && response.From < from {
		err = fmt.Errorf("journal: the log returned records from offset %d for a read from %d", response.From, from)
	}
	return response, err
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, query url.Values, body []byte, result any) error {
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
	return json.Unmarshal(data, result)
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
