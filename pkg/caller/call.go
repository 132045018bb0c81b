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

// maxAnswerBytes bounds an answer, so that a faulty server can't fill the
// caller's memory.
const maxAnswerBytes = 64 << 20

// errSilent is the cause of a call that was given up because its connection
// delivered nothing.
var errSilent = errors.New("the connection delivered nothing within the bound")

// errBudget is the cause of a call that could have been repeated.
var errBudget = errors.New("the client's retry budget is used up")

// reply is what one send came to: a body, a refusal, or a broken connection.
type reply[T any] struct {
	body    *T
	refusal *workload.Refusal
	// broken is set if no whole reply arrived.
	broken error
	// left is set if bytes of the call may have reached a server.
	left bool
}

// payload is the body of a submission and its attempt number.
type payload struct {
	body    []byte
	attempt int
}

// send makes one HTTP call to one entry VM.
func send[T any](ctx context.Context, c *Client, address netip.AddrPort, method, path string, payload *payload, pick func(*Outcome) *T) reply[T] {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.options.Silence, func() { cancel(errSilent) })
	defer silence.Stop()
	var left atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { left.Store(true) }})
	request, err := c.newRequest(ctx, address, method, path, payload)
	if err != nil {
		return reply[T]{broken: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply[T]{broken: cause(ctx, err), left: left.Load()}
	}
	defer response.Body.Close()
	silence.Reset(c.options.Silence)
	body, err := io.ReadAll(&watchedReader{from: io.LimitReader(response.Body, maxAnswerBytes), heard: func() { silence.Reset(c.options.Silence) }})
	if err != nil {
		return reply[T]{broken: cause(ctx, err), left: true}
	}
	return parse(response, body, pick)
}

func (c *Client) newRequest(ctx context.Context, address netip.AddrPort, method, path string, payload *payload) (*http.Request, error) {
	scheme := "http://"
	if c.options.TLS != nil {
		scheme = "https://"
	}
	var body io.Reader
	if payload != nil {
		body = bytes.NewReader(payload.body)
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+address.String()+path, body)
	if err != nil {
		return nil, err
	}
	if payload != nil {
		// Without GetBody the transport never sends a body a second time.
		request.GetBody = nil
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(AttemptHeader, strconv.Itoa(payload.attempt))
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	return request, nil
}

// cause prefers the reason for which the client gave the call up to the
// transport's "context canceled".
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

// watchedReader reports every read that delivered something.
type watchedReader struct {
	from  io.Reader
	heard func()
}

// Read reads and reports.
func (r *watchedReader) Read(into []byte) (int, error) {
	n, err := r.from.Read(into)
	if n > 0 {
		r.heard()
	}
	return n, err
}

// parse reads a whole HTTP answer. One that is not of this interface counts as
// a broken connection, because it proves nothing about the request.
func parse[T any](response *http.Response, body []byte, pick func(*Outcome) *T) reply[T] {
	foreign := func(err error) reply[T] {
		return reply[T]{left: true, broken: fmt.Errorf("status %d without a valid body: %w", response.StatusCode, err)}
	}
	if response.Header.Get("Content-Type") == OutcomeContentType {
		var outcome Outcome
		if err := json.Unmarshal(body, &outcome); err != nil {
			return foreign(err)
		}
		if outcome.Refusal != nil {
			return reply[T]{left: true, refusal: outcome.Refusal}
		}
		if picked := pick(&outcome); picked != nil {
			return reply[T]{left: true, body: picked}
		}
		return foreign(errors.New("the outcome holds no answer"))
	}
	if response.StatusCode/100 == 2 {
		picked := new(T)
		if err := json.Unmarshal(body, picked); err != nil {
			return foreign(err)
		}
		return reply[T]{left: true, body: picked}
	}
	var refusal workload.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return foreign(err)
	}
	if refusal.Code == "" || refusal.Run != workload.NotRun && refusal.Run != workload.MayHaveRun {
		return foreign(errors.New("the refusal has no code or run field"))
	}
	return reply[T]{left: true, refusal: &refusal}
}

// Status returns where the work is.
func (c *Client) Status(ctx context.Context, query Query) (Status, error) {
	return byKey(ctx, c, http.MethodGet, query, "", func(o *Outcome) *Status { return o.State })
}

// Wait returns the answer of work that was submitted before, once it is there.
func (c *Client) Wait(ctx context.Context, query Query) (workload.Answer, error) {
	return byKey(ctx, c, http.MethodGet, query, "/wait", func(o *Outcome) *workload.Answer { return o.Answer })
}

// Explain returns why the work waited or waits.
func (c *Client) Explain(ctx context.Context, query Query) (Explanation, error) {
	return byKey(ctx, c, http.MethodGet, query, "/explain", func(o *Outcome) *Explanation { return o.Explanation })
}

// Cancel cancels the work and returns its state afterwards. Work that has
// ended stays ended.
func (c *Client) Cancel(ctx context.Context, query Query) (Status, error) {
	return byKey(ctx, c, http.MethodDelete, query, "", func(o *Outcome) *Status { return o.State })
}

// byKey makes a call that may be repeated freely.
func byKey[T any](ctx context.Context, c *Client, method string, query Query, suffix string, pick func(*Outcome) *T) (T, error) {
	path := c.keyPath(query, suffix)
	c.budget.firstSend()
	var zero T
	for n := 1; ; n++ {
		got := send(ctx, c, c.address(), method, path, nil, pick)
		if got.body != nil {
			return *got.body, nil
		}
		failure := got.failure(workload.MayHaveRun)
		if !got.retryable() || n >= c.options.Attempts || ctx.Err() != nil {
			return zero, failure
		}
		if !c.budget.take() {
			return zero, failure.because(errBudget)
		}
		if err := c.pause(ctx, n, failure.retryAfter()); err != nil {
			return zero, failure.because(err)
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

// retryable reports whether another entry VM or a later time can change the
// reply.
func (r reply[T]) retryable() bool {
	return r.broken != nil || r.refusal != nil && r.refusal.RetryAfterMS > 0
}

// failure turns a reply without a body into an error; run is what holds if
// the connection broke.
func (r reply[T]) failure(run workload.Run) *Error {
	if r.refusal != nil {
		return &Error{Refusal: *r.refusal}
	}
	refusal := workload.Refusal{Code: workload.CodeOutcome, Message: "no whole reply arrived", Run: run}
	if run == workload.NotRun {
		refusal.Code, refusal.Message = workload.CodeNoHome, "no entry VM could be reached"
	}
	return &Error{Refusal: refusal, Cause: r.broken}
}

func (e *Error) because(err error) *Error {
	e.Cause = errors.Join(e.Cause, err)
	return e
}

func (e *Error) retryAfter() time.Duration {
	return time.Duration(e.Refusal.RetryAfterMS) * time.Millisecond
}
