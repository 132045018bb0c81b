package front

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// httpStatuses maps refusal codes to HTTP statuses. Callers rely on both.
var httpStatuses = map[workload.Code]int{
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

// HTTPStatus returns the HTTP status of a refusal code, or 500 for an unknown
// code.
func HTTPStatus(code workload.Code) int {
	if status, ok := httpStatuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// result is the outcome of one call: a status with either a body or a refusal.
type result struct {
	status  int
	body    any
	refusal *workload.Refusal
}

func successResult(status int, body any) result { return result{status: status, body: body} }

func refusalResult(refusal *workload.Refusal) result {
	return result{status: HTTPStatus(refusal.Code), refusal: refusal}
}

// withStatus returns the result with another status. It is for cases where HTTP
// has a more exact status than the code's: 401, 404, 405, 411 and 413.
func (r result) withStatus(status int) result {
	r.status = status
	return r
}

// write sends a result whose status and headers have not been sent yet.
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

// writeRouteError answers calls that match no route or no method of a route.
func (f *Front) writeRouteError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	refusal := workload.Refuse(workload.CodeInternal, 0, "the call failed")
	// The call may concern a request of which the front knows nothing.
	refusal.Run = workload.MayHaveRun
	switch status {
	case http.StatusNotFound:
		refusal.Code, refusal.Message = workload.CodeNotFound, "there is no call "+c.Request().Method+" "+shorten(c.Request().URL.Path)
	case http.StatusMethodNotAllowed:
		refusal.Code, refusal.Message = workload.CodeBadRequest, "method "+shorten(c.Request().Method)+" is not allowed on this path; see the Allow header"
	}
	_ = refusalResult(refusal).withStatus(status).write(c)
}

// shorten truncates text from a caller for use in a message.
func shorten(text string) string {
	const maxBytes = 100
	if len(text) > maxBytes {
		return text[:maxBytes] + "..."
	}
	return text
}
