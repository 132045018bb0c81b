package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"yuccalanding.example/yuccalanding/internal/access"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// call does the work of one route. A call that was admitted runs its seam
// through hold.
type call func(c echo.Context, grant access.Grant) result

// handle authorizes a call, runs it, writes its result and reports it.
func (f *Front) handle(run call) echo.HandlerFunc {
	return func(c echo.Context) error {
		began := time.Now()
		if f.options.Draining() {
			c.Response().Header().Set("Connection", "close")
		}
		grant, unauthorized := f.authorize(c)
		var outcome result
		if unauthorized != nil {
			outcome = *unauthorized
		} else {
			outcome = run(c, grant)
		}
		var code workload.Code
		if outcome.refusal != nil {
			code = outcome.refusal.Code
		}
		f.options.Observe(c.Path(), outcome.status, code, time.Since(began))
		if c.Response().Committed {
			return nil
		}
		return outcome.write(c)
	}
}

func (f *Front) authorize(c echo.Context) (access.Grant, *result) {
	token, given := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	remote, _ := netip.ParseAddrPort(c.Request().RemoteAddr)
	grant, err := f.options.Authorize(token, remote)
	if err == nil {
		return grant, nil
	}
	outcome := unread(c, workload.CodeForbidden, 0, err.Error())
	if !given {
		outcome = outcome.with(http.StatusUnauthorized)
	}
	return access.Grant{}, &outcome
}

func (f *Front) submitRequest(c echo.Context, grant access.Grant) result {
	return f.submit(c, grant, func(ctx context.Context, request workload.Request) result {
		answer, refusal := f.options.Submit(ctx, request)
		if refusal != nil {
			return refused(refusal)
		}
		return success(http.StatusOK, answer)
	}, workload.ModeRequest)
}

func (f *Front) submitJob(c echo.Context, grant access.Grant) result {
	return f.submit(c, grant, func(ctx context.Context, request workload.Request) result {
		receipt, refusal := f.options.SubmitJob(ctx, request)
		if refusal != nil {
			return refused(refusal)
		}
		return success(http.StatusAccepted, receipt)
	}, workload.ModeJob, workload.ModeService)
}

// submit takes the memory of the body for as long as the call is open, because
// its payload is held until the work has started.
func (f *Front) submit(c echo.Context, grant access.Grant, seam func(context.Context, workload.Request) result, modes ...workload.Mode) result {
	size := c.Request().ContentLength
	if size < 0 {
		return unread(c, workload.CodeBadRequest, 0, "the body has no Content-Length").with(http.StatusLengthRequired)
	}
	if size > f.options.MaxBodyBytes {
		// The bound is the same on every node, so no attempt was taken.
		refusal := workload.Refuse(workload.CodeBadRequest, 0, "the body has %d bytes, more than %d", size, f.options.MaxBodyBytes)
		return refused(refusal).with(http.StatusRequestEntityTooLarge)
	}
	if !f.admission.reserve(size) {
		return unread(c, workload.CodeQueueFull, f.options.RetryAfter, "this node holds as many bytes of requests as it may")
	}
	defer f.admission.release(size)
	request, failed := f.admissible(c, grant, modes...)
	if failed != nil {
		return *failed
	}
	return f.held(c, request.Team, runOf(request), func(ctx context.Context) result { return seam(ctx, request) })
}

// unread refuses a call whose body was not read. It is "not-run" if the header
// says that the submission is a first attempt.
func unread(c echo.Context, code workload.Code, retryAfter time.Duration, message string) result {
	refusal := workload.Refuse(code, retryAfter, "%s", message)
	if c.Request().Method != http.MethodPost || c.Request().Header.Get(caller.AttemptHeader) != "0" {
		refusal.Run = workload.MayHaveRun
	}
	return refused(refusal)
}

// runOf returns what the front can say about a request that it does not
// forward: an earlier attempt may have run through another node.
func runOf(request workload.Request) workload.Run {
	if request.MayHaveRun() {
		return workload.MayHaveRun
	}
	return workload.NotRun
}

// admissible reads and checks a submission. The modes are those of the path;
// the first is the default.
func (f *Front) admissible(c echo.Context, grant access.Grant, modes ...workload.Mode) (workload.Request, *result) {
	body, failed := f.readBody(c)
	if failed != nil {
		return workload.Request{}, failed
	}
	request, findings := decode(body)
	if request.Mode == "" {
		request.Mode = modes[0]
	}
	if len(findings) == 0 {
		findings = f.validate(request, modes)
	}
	run := runOf(request)
	if header := c.Request().Header.Get(caller.AttemptHeader); header != "" && header != strconv.Itoa(request.Attempt) {
		// One of both numbers is wrong, so either may be the true one.
		run = workload.MayHaveRun
		findings.Add("attempt", "is %d, but the header %s says %q", request.Attempt, caller.AttemptHeader, shorten(header))
	}
	if len(findings) > 0 {
		refusal := workload.Refuse(workload.CodeBadRequest, 0, "the request has %d fault(s), see findings", len(findings))
		refusal.Findings, refusal.Run = findings, run
		return request, ptr(refused(refusal))
	}
	if !grant.MaySubmit(request.Team) {
		refusal := workload.Refuse(workload.CodeForbidden, 0, "the token may not submit work of team %q", request.Team)
		refusal.Run = runOf(request)
		return request, ptr(refused(refusal))
	}
	if f.options.Draining() {
		refusal := workload.Refuse(workload.CodeLeaving, workload.LeavingRetryAfter, "this node is stopping; use another entry VM")
		refusal.Run = runOf(request)
		return request, ptr(refused(refusal))
	}
	return request, nil
}

func ptr[T any](value T) *T { return &value }

func (f *Front) validate(request workload.Request, modes []workload.Mode) workload.Findings {
	findings := request.Validate(f.options.Now())
	for _, mode := range modes {
		if request.Mode == mode {
			return findings
		}
	}
	findings.Add("mode", "%q is not for this path; requests go to /v1/requests, jobs and services to /v1/jobs", shorten(string(request.Mode)))
	return findings
}

// readBody reads the body, whose length is known, within the bound on time.
func (f *Front) readBody(c echo.Context) ([]byte, *result) {
	control := http.NewResponseController(c.Response().Writer)
	// A recorder in a test has no deadline; the bound on the size still holds.
	_ = control.SetReadDeadline(time.Now().Add(f.options.BodyTimeout))
	body, err := io.ReadAll(c.Request().Body)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	return nil, ptr(unread(c, workload.CodeBadRequest, 0, "the body could not be read whole: "+err.Error()))
}

// query reads the key and the team of a call by key.
func (f *Front) query(c echo.Context, grant access.Grant) (Query, *result) {
	query := Query{Key: workload.Key(c.Param("key")), Team: c.QueryParam("team")}
	if query.Team == "" {
		query.Team = grant.Team
	}
	var findings workload.Findings
	if _, ok := query.Key.IssuedAt(); !ok {
		findings.Add("key", "must be a UUIDv7, got %q", shorten(string(query.Key)))
	}
	if query.Team == "" || len(query.Team) > workload.MaxNameLength {
		findings.Add("team", "must be given as a query parameter of 1 to %d characters, since the token is not of one team", workload.MaxNameLength)
	}
	if len(findings) > 0 {
		refusal := workload.Refuse(workload.CodeBadRequest, 0, "the call has %d fault(s), see findings", len(findings))
		refusal.Findings, refusal.Run = findings, workload.MayHaveRun
		return query, ptr(refused(refusal))
	}
	if !grant.MayRead(query.Team) {
		return query, ptr(refused(notFound(query.Key)))
	}
	return query, nil
}

// notFound is also the answer for the key of another team, which must not
// learn whether the key exists.
func notFound(key workload.Key) *workload.Refusal {
	refusal := workload.Refuse(workload.CodeNotFound, 0, "no request or job of the team is known by key %s", key)
	refusal.Run = workload.MayHaveRun
	return refusal
}

func (f *Front) status(c echo.Context, grant access.Grant) result {
	query, failed := f.query(c, grant)
	if failed != nil {
		return *failed
	}
	return f.held(c, query.Team, workload.MayHaveRun, func(ctx context.Context) result {
		status, refusal := f.options.Status(ctx, query)
		return ofTeam(query, status.Team, status, refusal)
	})
}

func (f *Front) cancel(c echo.Context, grant access.Grant) result {
	query, failed := f.query(c, grant)
	if failed != nil {
		return *failed
	}
	if !grant.MayCancel(query.Team) {
		refusal := workload.Refuse(workload.CodeForbidden, 0, "role %s may not cancel work", grant.Role)
		refusal.Run = workload.MayHaveRun
		return refused(refusal)
	}
	return f.held(c, query.Team, workload.MayHaveRun, func(ctx context.Context) result {
		status, refusal := f.options.Cancel(ctx, query)
		return ofTeam(query, status.Team, status, refusal)
	})
}

func (f *Front) explain(c echo.Context, grant access.Grant) result {
	query, failed := f.query(c, grant)
	if failed != nil {
		return *failed
	}
	return f.held(c, query.Team, workload.MayHaveRun, func(ctx context.Context) result {
		explanation, refusal := f.options.Explain(ctx, query)
		return ofTeam(query, explanation.Status.Team, explanation, refusal)
	})
}

func (f *Front) wait(c echo.Context, grant access.Grant) result {
	query, failed := f.query(c, grant)
	if failed != nil {
		return *failed
	}
	if f.options.Draining() {
		refusal := workload.Refuse(workload.CodeLeaving, workload.LeavingRetryAfter, "this node is stopping; wait at another entry VM")
		refusal.Run = workload.MayHaveRun
		return refused(refusal)
	}
	return f.held(c, query.Team, workload.MayHaveRun, func(ctx context.Context) result {
		answer, refusal := f.options.Wait(ctx, query)
		if refusal != nil {
			return refused(refusal)
		}
		return success(http.StatusOK, answer)
	})
}

// ofTeam checks once more that what a seam returned is of the team asked for.
func ofTeam(query Query, team string, body any, refusal *workload.Refusal) result {
	if refusal != nil {
		return refused(refusal)
	}
	if team != query.Team {
		return refused(notFound(query.Key))
	}
	return success(http.StatusOK, body)
}

func (f *Front) health(c echo.Context) error {
	if f.options.Draining() {
		return c.JSON(http.StatusServiceUnavailable, Health{State: "draining"})
	}
	return c.JSON(http.StatusOK, Health{State: "serving"})
}

// Health is the body of /healthz: "serving" or "draining".
type Health struct {
	State string `json:"state"`
}

// held admits a call, runs its seam and keeps the connection alive meanwhile.
func (f *Front) held(c echo.Context, team string, run workload.Run, seam func(ctx context.Context) result) result {
	if reached := f.admission.enter(team); reached != "" {
		refusal := workload.Refuse(workload.CodeQueueFull, f.options.RetryAfter, "%s", reached)
		refusal.Run = run
		return refused(refusal)
	}
	defer f.admission.leave(team)
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	ended := make(chan result, 1)
	go func() { ended <- f.guarded(ctx, seam) }()
	timer := time.NewTimer(f.options.KeepAliveAfter)
	defer timer.Stop()
	for {
		select {
		case outcome := <-ended:
			if c.Response().Committed {
				_ = writeLate(c, outcome)
			}
			return outcome
		case <-timer.C:
			if err := keepAlive(c); err != nil {
				cancel()
				return <-ended
			}
			timer.Reset(f.options.KeepAliveEvery)
		}
	}
}

// guarded turns a panic of a seam into a refusal, so that a fault in one
// request ends no other.
func (f *Front) guarded(ctx context.Context, seam func(ctx context.Context) result) (outcome result) {
	defer func() {
		if fault := recover(); fault != nil {
			f.options.Record(event.HandlerPanic, "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			refusal := workload.Refuse(workload.CodeInternal, 0, "the scheduler failed on this request; see event %d in its log", event.HandlerPanic.Number)
			refusal.Run = workload.MayHaveRun
			outcome = refused(refusal)
		}
	}()
	return seam(ctx)
}

// keepAlive sends one space, and the status and headers before the first.
func keepAlive(c echo.Context) error {
	response := c.Response()
	if !response.Committed {
		response.Header().Set(echo.HeaderContentType, caller.OutcomeContentType)
		response.WriteHeader(http.StatusOK)
	}
	if _, err := response.Write([]byte(" ")); err != nil {
		return err
	}
	return http.NewResponseController(response.Writer).Flush()
}

// writeLate sends the outcome after keep-alive bytes.
func writeLate(c echo.Context, outcome result) error {
	late := caller.Outcome{Status: outcome.status, Refusal: outcome.refusal}
	switch body := outcome.body.(type) {
	case workload.Answer:
		late.Answer = &body
	case caller.Receipt:
		late.Receipt = &body
	case caller.Status:
		late.State = &body
	case caller.Explanation:
		late.Explanation = &body
	}
	return c.Echo().JSONSerializer.Serialize(c, late, "")
}
