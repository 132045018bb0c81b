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

// Limits of the client.
const (
	// DefaultTimeout is well below the session length of 3 s, so that a
	// connection that delivers nothing is replaced before the session ends.
	DefaultTimeout = time.Second
	// maxConnections allows one watch, two starts and one other call at a time.
	maxConnections = 4
	// maxResponseBytes fits a list of all tasks and the results of one watch.
	maxResponseBytes = 16 << 20
	idleTimeout      = 30 * time.Second
)

// Options configure a Client.
type Options struct {
	Address netip.AddrPort
	// Timeout limits every call; Watch adds its wait. 0 means DefaultTimeout.
	Timeout time.Duration
	// Now and Dial replace the clock and the dialer in tests and simulations;
	// nil means time.Now and a net.Dialer.
	Now  func() time.Time
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls one worker. It is safe for concurrent use.
type Client struct {
	options        Options
	transport      *http.Transport
	sent, received atomic.Int64
	// clockOffsetMS is the worker's clock minus the local clock, in milliseconds.
	// It is too low by the time that the worker's last response took to arrive.
	clockOffsetMS atomic.Int64
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

// Close closes the idle connections. Calls in progress continue.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Bytes returns how many bytes were sent and received on all connections.
func (c *Client) Bytes() (sent, received int64) { return c.sent.Load(), c.received.Load() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, sent: &c.sent, received: &c.received}, nil
}

// Session is an open session, with the worker's properties and tasks at the time
// of opening.
type Session struct {
	Token  Token
	Worker placement.Worker
	Tasks  []ListedTask
	// ExpiresAt is when the session ends by the local clock if it is not
	// renewed. It is computed from the time before the call was sent, so that
	// it is never later than the end on the worker.
	ExpiresAt time.Time
}

// OpenSession opens a session of the given length, which is rounded down to
// milliseconds. It returns a *HeldError while another holder has a session.
func (c *Client) OpenSession(ctx context.Context, holder string, length time.Duration) (Session, error) {
	sentAt := c.options.Now()
	var response OpenResponse
	err := c.call(ctx, 0, http.MethodPost, PathOpen, OpenBody{holder, length.Milliseconds()}, &response)
	if err != nil {
		return Session{}, err
	}
	if response.Token == 0 {
		return Session{}, &OutcomeUnknownError{errors.New("the response has no token")}
	}
	c.updateClockOffset(response.NowMS)
	return Session{Token: response.Token, Worker: response.Worker, Tasks: response.Tasks, ExpiresAt: sentAt.Add(length)}, nil
}

// WatchRequest contains the arguments of Watch: the session to renew, results to
// acknowledge and tasks to act on.
type WatchRequest struct {
	Token Token
	// Wait limits how long the worker delays its response while it has nothing
	// to report.
	Wait time.Duration
	// ResultCursor is that of the session's last report, or 0 for the first
	// watch. The worker does not send results up to it again, but keeps them
	// until they are acknowledged.
	ResultCursor uint64
	// Acknowledge lists tasks whose results the worker may delete. The others
	// list tasks to stop, to checkpoint and to throttle.
	Acknowledge, Stop, Checkpoint, Throttle []placement.TaskID
}

// Report is the result of Watch.
type Report struct {
	// ResultCursor is for the next WatchRequest.
	ResultCursor uint64
	Finished     []FinishedTask
	Usage        []Usage
	// Leaving reports whether the worker is leaving; it takes no new tasks.
	Leaving bool
	// RenewedAt is the local time before the call was sent. The caller computes
	// the end of the session and of the tasks' leases from it.
	RenewedAt time.Time
}

// Watch renews the session and the leases of its tasks, and waits for results or
// other changes. The request is idempotent and may be repeated after any error
// but a *TokenError.
func (c *Client) Watch(ctx context.Context, request WatchRequest) (Report, error) {
	report := Report{ResultCursor: request.ResultCursor, RenewedAt: c.options.Now()}
	body := WatchBody{
		Token: request.Token, WaitMS: request.Wait.Milliseconds(), ResultCursor: request.ResultCursor,
		Acknowledge: request.Acknowledge, Stop: request.Stop,
		Checkpoint: request.Checkpoint, Throttle: request.Throttle,
	}
	var response WatchResponse
	if err := c.call(ctx, request.Wait, http.MethodPost, PathWatch, body, &response); err != nil {
		return Report{}, withUsedToken(err, request.Token)
	}
	if response.NowMS != 0 {
		c.updateClockOffset(response.NowMS)
	}
	report.ResultCursor = max(report.ResultCursor, response.ResultCursor)
	report.Finished, report.Usage, report.Leaving = response.Finished, response.Usage, response.Leaving
	return report, nil
}

// Start asks the worker to start tasks and returns one result for each, in the
// order of tasks. After an *OutcomeUnknownError, any of the tasks may run.
func (c *Client) Start(ctx context.Context, token Token, tasks []StartTask) ([]StartResult, error) {
	tasks = slices.Clone(tasks)
	for i := range tasks {
		if !tasks[i].StartBy.IsZero() {
			tasks[i].StartByMS = tasks[i].StartBy.UnixMilli() + c.clockOffsetMS.Load()
		}
	}
	var response StartResponse
	if err := c.call(ctx, 0, http.MethodPost, PathStart, StartBody{token, tasks}, &response); err != nil {
		return nil, withUsedToken(err, token)
	}
	sameTask := func(result StartResult, task StartTask) bool { return result.ID == task.ID }
	if !slices.EqualFunc(response.Results, tasks, sameTask) {
		return nil, &OutcomeUnknownError{errors.New("the results do not match the tasks")}
	}
	return response.Results, nil
}

// CloseSession ends the session, so that another holder can open one immediately.
// The tasks keep running until their leases expire.
func (c *Client) CloseSession(ctx context.Context, token Token) error {
	return withUsedToken(c.call(ctx, 0, http.MethodPost, PathClose, CloseBody{token}, nil), token)
}

// State returns the worker's record of its sessions and tasks, for checks in
// tests.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.call(ctx, 0, http.MethodGet, PathState, nil, &state)
	return state, err
}

// updateClockOffset updates the offset of the worker's clock from the local one.
// The worker reads its clock before the response arrives, so the offset is too low
// by that delay. Start-by times that Start converts are then too early by as much,
// but never too late.
func (c *Client) updateClockOffset(workerNowMS int64) {
	c.clockOffsetMS.Store(workerNowMS - c.options.Now().UnixMilli())
}

// withUsedToken sets the used token in a *TokenError and returns the error.
func withUsedToken(err error, used Token) error {
	var tokenError *TokenError
	if errors.As(err, &tokenError) {
		tokenError.Used = used
	}
	return err
}

// call makes one call with a JSON body and decodes the response into response. It
// never repeats the call.
func (c *Client) call(ctx context.Context, wait time.Duration, method, path string, body, response any) error {
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
		// The idle connections to the worker may have failed as well.
		c.transport.CloseIdleConnections()
		return err
	}
	switch {
	case status == http.StatusNoContent:
		return nil
	case status == http.StatusOK && response == nil:
		return nil
	case status == http.StatusOK:
		if err := json.Unmarshal(data, response); err != nil {
			return &OutcomeUnknownError{err}
		}
		return nil
	}
	return c.refusalError(status, data)
}

// exchange sends one HTTP request and returns the status and body of the
// response.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	var usedConn atomic.Pointer[trackedConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*trackedConn); ok {
			conn.beginCall()
			usedConn.Store(conn)
		}
	}})
	url := "http://" + c.options.Address.String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &NotSentError{err}
	}
	// An empty value omits the User-Agent header. Like the short Host header,
	// this makes every watch smaller.
	request.Header["User-Agent"] = []string{""}
	request.Host = "w"
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		if conn := usedConn.Load(); conn == nil || conn.blockWrites() {
			return 0, nil, &NotSentError{err}
		}
		return 0, nil, &OutcomeUnknownError{err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, &OutcomeUnknownError{err}
	}
	if len(data) > maxResponseBytes {
		return 0, nil, &OutcomeUnknownError{fmt.Errorf("the response is larger than %d bytes", maxResponseBytes)}
	}
	return response.StatusCode, data, nil
}

// refusalError returns the error for a response that is not a success. Only a
// well-formed refusal proves that the call had no effect.
func (c *Client) refusalError(status int, data []byte) error {
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
