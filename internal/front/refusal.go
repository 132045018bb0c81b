package front

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// statuses gives each refusal code its HTTP status. Both are stable.
var statuses = map[workload.Code]int{
	workload.CodeBadRequest:    http.StatusBadRequest,
	workload.CodeUnknownTeam:   http.StatusUnprocessableEntity,
	workload.CodeUnknownKind:   http.StatusUnprocessableEntity,
	workload.CodeForbidden:     http.StatusForbidden,
	workload.CodeKeyReused:     http.StatusConflict,
	workload.CodeNeverRunnable: http.StatusUnprocessableEntity,
	workload.CodeQueueFull:     http.StatusTooManyRequests,
	workload.CodeTooLate:       http.StatusServiceUnavailable,
	workload.CodeLogDown:       http.StatusServiceUnavailable,
	workload.CodeLeaving:       http.StatusServiceUnavailable,
	workload.CodeNoHome:        http.StatusServiceUnavailable,
	workload.CodeCanceled:      http.StatusConflict,
	workload.CodeOutcome:       http.StatusGatewayTimeout,
	workload.CodeNotFound:      http.StatusNotFound,
	workload.CodeInternal:      http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status of a refusal code; unknown codes are 500.
func HTTPStatus(code workload.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// result is what one call comes to: a body with its status, or a refusal.
type result struct {
	status  int
	body    any
	refusal *workload.Refusal
}

func success(status int, body any) result { return result{status: status, body: body} }

func refused(refusal *workload.Refusal) result {
	return result{status: HTTPStatus(refusal.Code), refusal: refusal}
}

// with replaces the status for the cases where HTTP has a more exact one than
// the code's (401, 405, 413).
func (r result) with(status int) result {
	r.status = status
	return r
}

// write sends a result as a quick answer.
func (r result) write(c echo.Context) error {
	if r.refusal == nil {
		return c.JSON(r.status, r.body)
	}
	if r.refusal.RetryAfterMS > 0 {
		c.Response().Header().Set("Retry-After", strconv.FormatInt((r.refusal.RetryAfterMS+999)/1000, 10))
	}
	if r.status == http.StatusUnauthorized {
		c.Response().Header().Set("WWW-Authenticate", "Bearer")
	}
	return c.JSON(r.status, r.refusal)
}

// routeError answers calls that match no route or method.
func (f *Front) routeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var failure *echo.HTTPError
	if errors.As(err, &failure) {
		status = failure.Code
	}
	refusal := workload.Refuse(workload.CodeInternal, 0, "the call failed")
	// Nothing is known about the request that the call may have been about.
	refusal.Run = workload.MayHaveRun
	switch status {
	case http.StatusNotFound:
		refusal.Code, refusal.Message = workload.CodeNotFound, "there is no call "+c.Request().Method+" "+shorten(c.Request().URL.Path)
	case http.StatusMethodNotAllowed:
		refusal.Code, refusal.Message = workload.CodeBadRequest, "method "+shorten(c.Request().Method)+" is not allowed on this path; see the Allow header"
	}
	_ = refused(refusal).with(status).write(c)
}

// shorten bounds the caller's own text in a message.
func shorten(text string) string {
	const limit = 100
	if len(text) > limit {
		return text[:limit] + "..."
	}
	return text
}
