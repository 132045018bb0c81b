package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
)

// Bounds of the client.
const (
	// DefaultTimeout is well below the session length of 3 s, so that a silent
	// connection is replaced before the session ends.
	DefaultTimeout = time.Second
	// maxConnections leaves room for one watch, two starts and one other call.
	maxConnections = 4
	// maxAnswerBytes holds a full listing and one round of results.
	maxAnswerBytes = 16 << 20
	idleTimeout    = 30 * time.Second
)

// Options are fixed for the life of a client.
type Options struct {
	Address netip.AddrPort
	// Timeout bounds every call, in addition to the wait of Watch; 0 takes
	// DefaultTimeout.
	Timeout time.Duration
	// Now and Dial are substitution points; nil takes time.Now and a net.Dialer.
	Now  func() time.Time
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls one worker. It is safe for use by several goroutines.
type Client struct {
	options        Options
	transport      *http.Transport
	sent, received atomic.Int64
	// clockAhead is the worker's clock less the local clock in milliseconds,
	// low by the time its last answer took.
	clockAhead atomic.Int64
}

// New returns a client that connects on its first call.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	c := &Client{options: options}
	c.transport = &http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return c
}

// Close closes the idle connections. Calls in progress are not affected.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Bytes returns the bytes sent and received on all connections.
func (c *Client) Bytes() (sent, received int64) { return c.sent.Load(), c.received.Load() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, sent: &c.sent, received: &c.received}, nil
}

// Session is an open session and what the worker listed when it opened.
type Session struct {
	Token  Token
	Worker placement.Worker
	Tasks  []ListedTask
	// ExpiresAt is the end of the session by the local clock if it is not renewed,
	// counted from the time before the call was sent.
	ExpiresAt time.Time
}

// OpenSession opens a session of the given length. It returns a *HeldError
// while another holder's session is live. The length is rounded down to
// milliseconds.
func (c *Client) OpenSession(ctx context.Context, holder string, length time.Duration) (Session, error) {
	before := c.options.Now()
	var answer OpenResponse
	err := c.call(ctx, 0, http.MethodPost, PathOpen, OpenBody{holder, length.Milliseconds()}, &answer)
	if err != nil {
		return Session{}, err
	}
	if answer.Token == 0 {
		return Session{}, &OutcomeUnknownError{errors.New("the answer has no token")}
	}
	c.readClock(answer.NowMS)
	return Session{Token: answer.Token, Worker: answer.Worker, Tasks: answer.Tasks, ExpiresAt: before.Add(length)}, nil
}

// WatchRequest renews a session and carries acknowledgements and actions.
type WatchRequest struct {
	Token Token
	// Wait is the longest time that the worker holds the call while it has
	// nothing to report.
	Wait time.Duration
	// ResultCursor is the ResultCursor of the last report of this session, 0 at first. Results
	// up to it are not sent again, although they stay on the worker until they
	// are acknowledged.
	ResultCursor                            uint64
	Acknowledge, Stop, Checkpoint, Throttle []placement.TaskID
}

// Report is what a worker answered to a watch.
type Report struct {
	// ResultCursor goes into the next WatchRequest.
	ResultCursor uint64
	Finished     []FinishedTask
	Usage        []Usage
	Leaving      bool
	// RenewedAt is the local time before the call was sent; the session and
	// the leases of its tasks count from it.
	RenewedAt time.Time
}

// Watch renews the session and its tasks' leases and waits for news. After an
// error that is not a *TokenError the same request may be repeated: every part
// of it is idempotent.
func (c *Client) Watch(ctx context.Context, request WatchRequest) (Report, error) {
	report := Report{ResultCursor: request.ResultCursor, RenewedAt: c.options.Now()}
	body := WatchBody{
		Token: request.Token, WaitMS: request.Wait.Milliseconds(), ResultCursor: request.ResultCursor,
		Acknowledge: request.Acknowledge, Stop: request.Stop,
		Checkpoint: request.Checkpoint, Throttle: request.Throttle,
	}
	var answer WatchResponse
	if err := c.call(ctx, request.Wait, http.MethodPost, PathWatch, body, &answer); err != nil {
		return Report{}, withToken(err, request.Token)
	}
	if answer.NowMS != 0 {
		c.readClock(answer.NowMS)
	}
	report.ResultCursor = max(report.ResultCursor, answer.ResultCursor)
	report.Finished, report.Usage, report.Leaving = answer.Finished, answer.Usage, answer.Leaving
	return report, nil
}

// Start asks the worker to start tasks and returns one result for each, in the
// order of tasks. After an *OutcomeUnknownError any of them may run.
func (c *Client) Start(ctx context.Context, token Token, tasks []StartTask) ([]StartResult, error) {
	tasks = slices.Clone(tasks)
	for i := range tasks {
		if !tasks[i].StartBy.IsZero() {
			tasks[i].StartByMS = tasks[i].StartBy.UnixMilli() + c.clockAhead.Load()
		}
	}
	var answer StartResponse
	if err := c.call(ctx, 0, http.MethodPost, PathStart, StartBody{token, tasks}, &answer); err != nil {
		return nil, withToken(err, token)
	}
	sameTask := func(result StartResult, task StartTask) bool { return result.ID == task.ID }
	if !slices.EqualFunc(answer.Results, tasks, sameTask) {
		return nil, &OutcomeUnknownError{errors.New("the results do not match the tasks")}
	}
	return answer.Results, nil
}

// CloseSession ends the session, so that another holder can open one at once.
// Its tasks keep running until their leases end.
func (c *Client) CloseSession(ctx context.Context, token Token) error {
	return withToken(c.call(ctx, 0, http.MethodPost, PathClose, CloseBody{token}, nil), token)
}

// State returns what the worker saw; it is for test checkers.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.call(ctx, 0, http.MethodGet, PathState, nil, &state)
	return state, err
}

// readClock compares the worker's clock with the local one. The worker read
// its clock before the answer arrived, so that converted start-by times are
// early by the delay and never late.
func (c *Client) readClock(workerMS int64) {
	c.clockAhead.Store(workerMS - c.options.Now().UnixMilli())
}

func withToken(err error, used Token) error {
	var old *TokenError
	if errors.As(err, &old) {
		old.Used = used
	}
	return err
}

// call makes one exchange and never repeats it.
func (c *Client) call(ctx context.Context, wait time.Duration, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &NotSentError{err}
	}
	if body == nil {
		data = nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.options.Timeout)
	defer cancel()
	status, data, err := c.exchange(ctx, method, path, data)
	if err != nil {
		// Other idle connections to the worker may be silent as well.
		c.transport.CloseIdleConnections()
		return err
	}
	switch {
	case status == http.StatusNoContent:
		return nil
	case status == http.StatusOK && answer == nil:
		return nil
	case status == http.StatusOK:
		if err := json.Unmarshal(data, answer); err != nil {
			return &OutcomeUnknownError{err}
		}
		return nil
	}
	return c.refusal(status, data)
}

func (c *Client) exchange(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	var used atomic.Pointer[connection]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*connection); ok {
			conn.beginCall()
			used.Store(conn)
		}
	}})
	url := "http://" + c.options.Address.String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &NotSentError{err}
	}
	// An empty value omits the header. Every watch carries these bytes.
	request.Header["User-Agent"] = []string{""}
	request.Host = "w"
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		if conn := used.Load(); conn == nil || conn.seal() {
			return 0, nil, &NotSentError{err}
		}
		return 0, nil, &OutcomeUnknownError{err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, &OutcomeUnknownError{err}
	}
	if len(data) > maxAnswerBytes {
		return 0, nil, &OutcomeUnknownError{fmt.Errorf("the answer is larger than %d bytes", maxAnswerBytes)}
	}
	return answer.StatusCode, data, nil
}

// refusal reads a refused call. Only a well-formed refusal proves that nothing
// was done.
func (c *Client) refusal(status int, data []byte) error {
	var body RefusalBody
	if err := json.Unmarshal(data, &body); err != nil || status/100 != 4 || body.Code == "" {
		return &OutcomeUnknownError{fmt.Errorf("unexpected status %d", status)}
	}
	switch body.Code {
	case CodeHeld:
		return &HeldError{Holder: body.Holder, ExpiresAt: c.options.Now().Add(time.Duration(body.HeldForMS) * time.Millisecond)}
	case CodeTokenOld:
		return &TokenError{Newest: body.Newest}
	}
	return &RefusedError{Code: body.Code, Message: body.Message}
}
