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

// routeHandler does the work of one route for an authorized call. Most handlers
// call the scheduler through runAdmitted.
type routeHandler func(c echo.Context, grant access.Grant) result

// newHandler returns an echo handler that authorizes a call, runs the route's
// handler, reports the call to Options.Observe and writes the result.
func (f *Front) newHandler(handle routeHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		startedAt := time.Now()
		if f.options.Draining() {
			c.Response().Header().Set("Connection", "close")
		}
		grant, unauthorized := f.authorize(c)
		var outcome result
		if unauthorized != nil {
			outcome = *unauthorized
		} else {
			outcome = handle(c, grant)
		}
		var code workload.Code
		if outcome.refusal != nil {
			code = outcome.refusal.Code
		}
		f.options.Observe(c.Path(), outcome.status, code, time.Since(startedAt))
		if c.Response().Committed {
			return nil
		}
		return outcome.write(c)
	}
}

// authorize returns what the bearer token allows, or the refusal of the call.
func (f *Front) authorize(c echo.Context) (access.Grant, *result) {
	token, hasToken := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	remote, _ := netip.ParseAddrPort(c.Request().RemoteAddr)
	grant, err := f.options.Authorize(token, remote)
	if err == nil {
		return grant, nil
	}
	outcome := refuseUnread(c, workload.CodeForbidden, 0, err.Error())
	if !hasToken {
		outcome = outcome.withStatus(http.StatusUnauthorized)
	}
	return access.Grant{}, &outcome
}

func (f *Front) submitRequest(c echo.Context, grant access.Grant) result {
	return f.handleSubmission(c, grant, func(ctx context.Context, request workload.Request) result {
		answer, refusal := f.options.Submit(ctx, request)
		if refusal != nil {
			return refusalResult(refusal)
		}
		return successResult(http.StatusOK, answer)
	}, workload.ModeRequest)
}

func (f *Front) submitJob(c echo.Context, grant access.Grant) result {
	return f.handleSubmission(c, grant, func(ctx context.Context, request workload.Request) result {
		receipt, refusal := f.options.SubmitJob(ctx, request)
		if refusal != nil {
			return refusalResult(refusal)
		}
		return successResult(http.StatusAccepted, receipt)
	}, workload.ModeJob, workload.ModeService)
}

// handleSubmission reads and checks a submission and passes it to callScheduler.
// The memory of the body stays reserved for as long as the call is open, because
// the payload is kept until the work has started.
func (f *Front) handleSubmission(c echo.Context, grant access.Grant, callScheduler func(context.Context, workload.Request) result, modes ...workload.Mode) result {
	size := c.Request().ContentLength
	if size < 0 {
		return refuseUnread(c, workload.CodeBadRequest, 0, "the body has no Content-Length").withStatus(http.StatusLengthRequired)
	}
	if size > f.options.MaxBodyBytes {
		// The limit is the same on every node, so no attempt has run: the refusal
		// of a retry says "not-run" as well.
		refusal := workload.Refuse(workload.CodeBadRequest, 0, "the body has %d bytes, more than %d", size, f.options.MaxBodyBytes)
		return refusalResult(refusal).withStatus(http.StatusRequestEntityTooLarge)
	}
	if !f.admissionControl.reserveBody(size) {
		return refuseUnread(c, workload.CodeQueueFull, f.options.RetryAfter, "this node holds as many bytes of requests as it may")
	}
	defer f.admissionControl.releaseBody(size)
	request, refused := f.readSubmission(c, grant, modes...)
	if refused != nil {
		return *refused
	}
	return f.runAdmitted(c, request.Team, runStateOf(request), func(ctx context.Context) result { return callScheduler(ctx, request) })
}

// refuseUnread refuses a call whose body was not read. The refusal says
// "not-run" only if the header says that the submission is a first attempt.
func refuseUnread(c echo.Context, code workload.Code, retryAfter time.Duration, message string) result {
	refusal := workload.Refuse(code, retryAfter, "%s", message)
	if c.Request().Method != http.MethodPost || c.Request().Header.Get(caller.AttemptHeader) != "0" {
		refusal.Run = workload.MayHaveRun
	}
	return refusalResult(refusal)
}

// runStateOf returns the "run" field for a request that the front refuses
// without forwarding it: an earlier attempt may have run through another node.
func runStateOf(request workload.Request) workload.Run {
	if request.MayHaveRun() {
		return workload.MayHaveRun
	}
	return workload.NotRun
}

// readSubmission reads and checks a submission, and returns the request or the
// refusal. The modes are those that the path accepts; the first is the default.
func (f *Front) readSubmission(c echo.Context, grant access.Grant, modes ...workload.Mode) (workload.Request, *result) {
	body, refused := f.readBody(c)
	if refused != nil {
		return workload.Request{}, refused
	}
	request, findings := decode(body)
	if request.Mode == "" {
		request.Mode = modes[0]
	}
	if len(findings) == 0 {
		findings = f.validateSubmission(request, modes)
	}
	run := runStateOf(request)
	if header := c.Request().Header.Get(caller.AttemptHeader); header != "" && header != strconv.Itoa(request.Attempt) {
		// It is not known which of the two numbers is right.
		run = workload.MayHaveRun
		findings.Add("attempt", "is %d, but the header %s says %q", request.Attempt, caller.AttemptHeader, shorten(header))
	}
	if len(findings) > 0 {
		refusal := workload.Refuse(workload.CodeBadRequest, 0, "the request has %d fault(s), see findings", len(findings))
		refusal.Findings, refusal.Run = findings, run
		return request, ptr(refusalResult(refusal))
	}
	if !grant.MaySubmit(request.Team) {
		refusal := workload.Refuse(workload.CodeForbidden, 0, "the token may not submit work of team %q", request.Team)
		refusal.Run = runStateOf(request)
		return request, ptr(refusalResult(refusal))
	}
	if f.options.Draining() {
		refusal := workload.Refuse(workload.CodeLeaving, workload.LeavingRetryAfter, "this node is stopping; use another entry VM")
		refusal.Run = runStateOf(request)
		return request, ptr(refusalResult(refusal))
	}
	return request, nil
}

func ptr[T any](value T) *T { return &value }

// validateSubmission returns the validation errors of a request, including a mode
// that the path does not accept.
func (f *Front) validateSubmission(request workload.Request, modes []workload.Mode) workload.Findings {
	findings := request.Validate(f.options.Now())
	for _, mode := range modes {
		if request.Mode == mode {
			return findings
		}
	}
	findings.Add("mode", "%q is not for this path; requests go to /v1/requests, jobs and services to /v1/jobs", shorten(string(request.Mode)))
	return findings
}

// readBody reads the body, whose length is known, within Options.BodyTimeout.
func (f *Front) readBody(c echo.Context) ([]byte, *result) {
	controller := http.NewResponseController(c.Response().Writer)
	// The response recorders of tests don't support deadlines; the limit on
	// the size still applies.
	_ = controller.SetReadDeadline(time.Now().Add(f.options.BodyTimeout))
	body, err := io.ReadAll(c.Request().Body)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	return nil, ptr(refuseUnread(c, workload.CodeBadRequest, 0, "the body could not be read whole: "+err.Error()))
}

// query reads the key and the team of a call by key, and checks that the
// token may read the team's work.
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
		return query, ptr(refusalResult(refusal))
	}
	if !grant.MayRead(query.Team) {
		return query, ptr(refusalResult(notFound(query.Key)))
	}
	return query, nil
}

// notFound returns the refusal for an unknown key. The key of another team gets
// the same refusal, so that a caller can't learn whether it exists.
func notFound(key workload.Key) *workload.Refusal {
	refusal := workload.Refuse(workload.CodeNotFound, 0, "no request or job of the team is known by key %s", key)
	refusal.Run = workload.MayHaveRun
	return refusal
}

func (f *Front) status(c echo.Context, grant access.Grant) result {
	query, refused := f.query(c, grant)
	if refused != nil {
		return *refused
	}
	return f.runAdmitted(c, query.Team, workload.MayHaveRun, func(ctx context.Context) result {
		status, refusal := f.options.Status(ctx, query)
		return teamResult(query, status.Team, status, refusal)
	})
}

func (f *Front) cancel(c echo.Context, grant access.Grant) result {
	query, refused := f.query(c, grant)
	if refused != nil {
		return *refused
	}
	if !grant.MayCancel(query.Team) {
		refusal := workload.Refuse(workload.CodeForbidden, 0, "role %s may not cancel work", grant.Role)
		refusal.Run = workload.MayHaveRun
		return refusalResult(refusal)
	}
	return f.runAdmitted(c, query.Team, workload.MayHaveRun, func(ctx context.Context) result {
		status, refusal := f.options.Cancel(ctx, query)
		return teamResult(query, status.Team, status, refusal)
	})
}

func (f *Front) explain(c echo.Context, grant access.Grant) result {
	query, refused := f.query(c, grant)
	if refused != nil {
		return *refused
	}
	return f.runAdmitted(c, query.Team, workload.MayHaveRun, func(ctx context.Context) result {
		explanation, refusal := f.options.Explain(ctx, query)
		return teamResult(query, explanation.Status.Team, explanation, refusal)
	})
}

func (f *Front) wait(c echo.Context, grant access.Grant) result {
	query, refused := f.query(c, grant)
	if refused != nil {
		return *refused
	}
	if f.options.Draining() {
		refusal := workload.Refuse(workload.CodeLeaving, workload.LeavingRetryAfter, "this node is stopping; wait at another entry VM")
		refusal.Run = workload.MayHaveRun
		return refusalResult(refusal)
	}
	return f.runAdmitted(c, query.Team, workload.MayHaveRun, func(ctx context.Context) result {
		answer, refusal := f.options.Wait(ctx, query)
		if refusal != nil {
			return refusalResult(refusal)
		}
		return successResult(http.StatusOK, answer)
	})
}

// teamResult returns the result of a call by key. It checks again that what the
// scheduler returned belongs to the requested team.
func teamResult(query Query, team string, body any, refusal *workload.Refusal) result {
	if refusal != nil {
		return refusalResult(refusal)
	}
	if team != query.Team {
		return refusalResult(notFound(query.Key))
	}
	return successResult(http.StatusOK, body)
}

func (f *Front) health(c echo.Context) error {
	if f.options.Draining() {
		return c.JSON(http.StatusServiceUnavailable, Health{State: "draining"})
	}
	return c.JSON(http.StatusOK, Health{State: "serving"})
}

// Health is the body of /healthz.
type Health struct {
	// State is "serving" or "draining".
	State string `json:"state"`
}

// runAdmitted admits a call, runs callScheduler and sends keep-alive bytes until
// it returns. The refusal of a call that is not admitted has the given run field.
// If a keep-alive byte can't be sent, it cancels the context of callScheduler.
func (f *Front) runAdmitted(c echo.Context, team string, run workload.Run, callScheduler func(ctx context.Context) result) result {
	if limitMessage := f.admissionControl.acquire(team); limitMessage != "" {
		refusal := workload.Refuse(workload.CodeQueueFull, f.options.RetryAfter, "%s", limitMessage)
		refusal.Run = run
		return refusalResult(refusal)
	}
	defer f.admissionControl.release(team)
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	results := make(chan result, 1)
	go func() { results <- f.callRecovered(ctx, callScheduler) }()
	timer := time.NewTimer(f.options.KeepAliveAfter)
	defer timer.Stop()
	for {
		select {
		case outcome := <-results:
			if c.Response().Committed {
				_ = writeOutcome(c, outcome)
			}
			return outcome
		case <-timer.C:
			if err := keepAlive(c); err != nil {
				cancel()
				return <-results
			}
			timer.Reset(f.options.KeepAliveEvery)
		}
	}
}

// callRecovered runs callScheduler and turns a panic into a refusal, so that a
// panic in one call does not end the process and with it all other calls.
func (f *Front) callRecovered(ctx context.Context, callScheduler func(ctx context.Context) result) (outcome result) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			f.options.Record(event.HandlerPanic, "fault", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
			refusal := workload.Refuse(workload.CodeInternal, 0, "the scheduler failed on this request; see event %d in its log", event.HandlerPanic.Number)
			refusal.Run = workload.MayHaveRun
			outcome = refusalResult(refusal)
		}
	}()
	return callScheduler(ctx)
}

// keepAlive sends one space, preceded by the status and headers if they have not
// been sent yet.
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

// writeOutcome sends a result as a caller.Outcome after keep-alive bytes.
func writeOutcome(c echo.Context, outcome result) error {
	message := caller.Outcome{Status: outcome.status, Refusal: outcome.refusal}
	switch body := outcome.body.(type) {
	case workload.Answer:
		message.Answer = &body
	case caller.Receipt:
		message.Receipt = &body
	case caller.Status:
		message.State = &body
	case caller.Explanation:
		message.Explanation = &body
	}
	return c.Echo().JSONSerializer.Serialize(c, message, "")
}
