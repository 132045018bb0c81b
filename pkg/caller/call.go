package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// maxAnswerBytes limits the size of an answer, so that a faulty server can't
// exhaust the client's memory.
const maxAnswerBytes = 64 << 20

// errIdleTimeout is the cause of the failure of a call that was aborted because no
// byte arrived within the idle timeout.
var errIdleTimeout = errors.New("no data was received within the idle timeout")

// errRetryBudget is the cause of the failure of a call that could have been
// retried, but for which the client's retry budget was empty.
var errRetryBudget = errors.New("the client's retry budget is used up")

// sendResult is the result of one attempt: a body, a refusal, or an error if no
// complete response arrived.
type sendResult[T any] struct {
	body    *T
	refusal *workload.Refusal
	// sendErr is set if no complete response arrived.
	sendErr error
	// maybeSent is set if bytes of the request may have reached a server.
	maybeSent bool
}

// encodedRequest is the JSON body of a submission and its attempt number.
type encodedRequest struct {
	body    []byte
	attempt int
}

// send makes one HTTP call to one entry VM. It aborts the call if no byte
// arrives within the idle timeout. encoded is nil for a call without a body.
// selectBody returns the field of an Outcome that holds the body of this call, or
// nil if it is not set.
func send[T any](ctx context.Context, c *Client, address netip.AddrPort, method, path string, encoded *encodedRequest, selectBody func(*Outcome) *T) sendResult[T] {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.options.Silence, func() { cancel(errIdleTimeout) })
	defer idleTimer.Stop()
	var maybeSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) }})
	request, err := c.newRequest(ctx, address, method, path, encoded)
	if err != nil {
		return sendResult[T]{sendErr: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return sendResult[T]{sendErr: cancelCause(ctx, err), maybeSent: maybeSent.Load()}
	}
	defer response.Body.Close()
	idleTimer.Reset(c.options.Silence)
	body, err := io.ReadAll(&activityReader{reader: io.LimitReader(response.Body, maxAnswerBytes), onRead: func() { idleTimer.Reset(c.options.Silence) }})
	if err != nil {
		return sendResult[T]{sendErr: cancelCause(ctx, err), maybeSent: true}
	}
	return parseResponse(response, body, selectBody)
}

func (c *Client) newRequest(ctx context.Context, address netip.AddrPort, method, path string, encoded *encodedRequest) (*http.Request, error) {
	scheme := "http://"
	if c.options.TLS != nil {
		scheme = "https://"
	}
	var body io.Reader
	if encoded != nil {
		body = bytes.NewReader(encoded.body)
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+address.String()+path, body)
	if err != nil {
		return nil, err
	}
	if encoded != nil {
		// Without GetBody the transport never retries a request with a body.
		request.GetBody = nil
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(AttemptHeader, strconv.Itoa(encoded.attempt))
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	return request, nil
}

// cancelCause returns the cause for which ctx was canceled, which says more than
// the transport's "context canceled", or err if ctx was not canceled.
func cancelCause(ctx context.Context, err error) error {
	if canceled := context.Cause(ctx); canceled != nil {
		return canceled
	}
	return err
}

// activityReader calls onRead after every read that returned data.
type activityReader struct {
	reader io.Reader
	onRead func()
}

// Read implements io.Reader.
func (r *activityReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if n > 0 {
		r.onRead()
	}
	return n, err
}

// parseResponse decodes a complete HTTP response. A response that doesn't follow
// the protocol, such as one of a proxy, counts as a broken connection, because
// it doesn't show whether the request ran.
func parseResponse[T any](response *http.Response, body []byte, selectBody func(*Outcome) *T) sendResult[T] {
	invalid := func(err error) sendResult[T] {
		return sendResult[T]{maybeSent: true, sendErr: fmt.Errorf("status %d without a valid body: %w", response.StatusCode, err)}
	}
	if response.Header.Get("Content-Type") == OutcomeContentType {
		var outcome Outcome
		if err := json.Unmarshal(body, &outcome); err != nil {
			return invalid(err)
		}
		if outcome.Refusal != nil {
			return sendResult[T]{maybeSent: true, refusal: outcome.Refusal}
		}
		if decoded := selectBody(&outcome); decoded != nil {
			return sendResult[T]{maybeSent: true, body: decoded}
		}
		return invalid(errors.New("the outcome lacks the body of this call"))
	}
	if response.StatusCode/100 == 2 {
		decoded := new(T)
		if err := json.Unmarshal(body, decoded); err != nil {
			return invalid(err)
		}
		return sendResult[T]{maybeSent: true, body: decoded}
	}
	var refusal workload.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return invalid(err)
	}
	if refusal.Code == "" || refusal.Run != workload.NotRun && refusal.Run != workload.MayHaveRun {
		return invalid(errors.New("the refusal has no code or no valid run field"))
	}
	return sendResult[T]{maybeSent: true, refusal: &refusal}
}

// Status returns the current state of the work.
func (c *Client) Status(ctx context.Context, query Query) (Status, error) {
	return callByKey(ctx, c, http.MethodGet, query, "", func(o *Outcome) *Status { return o.State })
}

// Wait blocks until work that was submitted before has its answer, and returns
// it.
func (c *Client) Wait(ctx context.Context, query Query) (workload.Answer, error) {
	return callByKey(ctx, c, http.MethodGet, query, "/wait", func(o *Outcome) *workload.Answer { return o.Answer })
}

// Explain returns why the work waited or is waiting.
func (c *Client) Explain(ctx context.Context, query Query) (Explanation, error) {
	return callByKey(ctx, c, http.MethodGet, query, "/explain", func(o *Outcome) *Explanation { return o.Explanation })
}

// Cancel cancels the work and returns its state afterwards. It doesn't change
// work that has ended.
func (c *Client) Cancel(ctx context.Context, query Query) (Status, error) {
	return callByKey(ctx, c, http.MethodDelete, query, "", func(o *Outcome) *Status { return o.State })
}

// callByKey makes a call about the work of one key. Such calls are idempotent,
// so they are retried after every retryable failure.
func callByKey[T any](ctx context.Context, c *Client, method string, query Query, suffix string, selectBody func(*Outcome) *T) (T, error) {
	path := c.keyPath(query, suffix)
	c.retryBudget.addCall()
	var zero T
	for attempt := 1; ; attempt++ {
		result := send(ctx, c, c.nextAddress(), method, path, nil, selectBody)
		if result.body != nil {
			return *result.body, nil
		}
		failure := result.failure(workload.MayHaveRun)
		if !result.retryable() || attempt >= c.options.Attempts || ctx.Err() != nil {
			return zero, failure
		}
		if !c.retryBudget.takeRetry() {
			return zero, failure.withCause(errRetryBudget)
		}
		if err := c.backOff(ctx, attempt, failure.retryAfter()); err != nil {
			return zero, failure.withCause(err)
		}
	}
}

func (c *Client) keyPath(query Query, suffix string) string {
	path := "/v1/requests/" + url.PathEscape(string(query.Key)) + suffix
	team := query.Team
	if team == "" {
		team = c.options.Team
	}
	if team != "" {
		path += "?team=" + url.QueryEscape(team)
	}
	return path
}

// retryable reports whether a retry at another entry VM or at a later time can
// succeed.
func (r sendResult[T]) retryable() bool {
	return r.sendErr != nil || r.refusal != nil && r.refusal.RetryAfterMS > 0
}

// failure converts a result without a body into an error. run is the run field
// of the error if no complete response arrived.
func (r sendResult[T]) failure(run workload.Run) *Error {
	if r.refusal != nil {
		return &Error{Refusal: *r.refusal}
	}
	refusal := workload.Refusal{Code: workload.CodeOutcome, Message: "no complete response arrived", Run: run}
	if run == workload.NotRun {
		refusal.Code, refusal.Message = workload.CodeNoHome, "no entry VM could be reached"
	}
	return &Error{Refusal: refusal, Cause: r.sendErr}
}

// withCause adds a cause to the error and returns the error.
func (e *Error) withCause(err error) *Error {
	e.Cause = errors.Join(e.Cause, err)
	return e
}

func (e *Error) retryAfter() time.Duration {
	return time.Duration(e.Refusal.RetryAfterMS) * time.Millisecond
}
