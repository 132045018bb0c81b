package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Guards against a job that callers can't query or cancel any more, and that runs again when it is
// submitted again, because a newer manifest has disabled or removed the service that accepted it (LOST,
// TWICE). A process that starts later has never seen the service enabled.
func TestJobsOfDisabledServiceStayKnown(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		services []string // in the last manifest
		disabled []string
		restart  bool
	}{
		"disabled":                      {services: bothServices, disabled: []string{"ledger"}},
		"disabled, all processes start": {services: bothServices, disabled: []string{"ledger"}, restart: true},
		"removed":                       {services: []string{"review"}},
		"removed, all processes start":  {services: []string{"review"}, restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cell := newCell(t, 3)
			cell.configure(1)
			const done, scheduled, body = "/quick/00000000000000aa", "/quick/00000000000000bb", `{"spec":"50","steps":[{"count":2,"cpu":500,"mem-mb":10}]}`
			cell.submit(cell.nodes[0], done, body)
			cell.submit(cell.nodes[1], scheduled, fmt.Sprintf(`{"spec":"50","steps":[{"count":1,"cpu":500,"mem-mb":10}],"repeat-count":1,"start-at-ms":%d}`, time.Now().Add(time.Hour).UnixMilli()))
			cell.requireState(cell.nodes[0], done, job.Completed, 10*time.Second)
			started := len(cell.site.Runs())
			cell.moveQueue(2, "review", bothServices)
			cell.moveQueue(3, "review", c.services, c.disabled...)
			if c.restart {
				cell.restartAll()
				cell.submit(cell.nodes[0], "/quick/00000000000000cc", `{"spec":"50","steps":[{"count":1,"cpu":500,"mem-mb":10}]}`)
				cell.requireState(cell.nodes[0], "/quick/00000000000000cc", job.Completed, 10*time.Second)
				started++
			}
			for _, n := range cell.nodes {
				cell.requireState(n, done, job.Completed, 5*time.Second)
				cell.requireState(n, scheduled, job.Queued, 5*time.Second)
				cell.submit(n, done, body)
			}
			status, _, _ := cell.call(cell.nodes[0], http.MethodDelete, scheduled, "")
			require.Equal(t, http.StatusOK, status)
			for _, n := range cell.nodes {
				cell.requireState(n, scheduled, job.Cancelled, time.Second)
				status, _, _ = cell.call(n, http.MethodGet, "/quick/00000000000000ff", "")
				require.Equal(t, http.StatusGone, status, "a job that was never submitted")
			}
			require.Equal(t, started, len(cell.site.Runs()), "no task starts again")
		})
	}
}

// Guards against a job that is accepted by a service whose VMs are off, and against callers that wait
// for the answer.
func TestNewJobForDisabledServiceIsRefused(t *testing.T) {
	t.Parallel()
	c := newCell(t, 2)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/00000000000000aa", jobWithTaskMS(50))
	c.requireState(c.nodes[1], "/quick/00000000000000aa", job.Completed, 10*time.Second)
	c.moveQueue(2, "ledger", bothServices, "ledger")
	for _, n := range c.nodes {
		status, _, header := c.call(n, http.MethodPost, "/quick/00000000000000bb", jobWithTaskMS(50))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "60", header.Get("Retry-After"))
		c.submit(n, "/quick/00000000000000aa", jobWithTaskMS(50))
	}
	c.requireRunsOnce()
}
