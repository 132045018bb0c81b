package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// moveQueue puts a manifest in force that sends the path /quick/ to a service, by a route of
// another name.
func (c *cell) moveQueue(version int, service string, services []string, spare ...string) {
	c.t.Helper()
	terms := job.Terms{Queue: fmt.Sprintf("quick-%d", version), MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second}
	c.site.Configure(standin.Manifest(version, []manifest.Queue{{Host: "cell.example", PathPrefix: "/quick/", Service: service, Terms: terms}}, services, 4096, spare...))
	for _, n := range c.nodes {
		require.Eventually(c.t, func() bool {
			return strings.Contains(n.logs.String(), fmt.Sprintf("name=manifest-in-force node=%s version=%d ", n.settings.Node, version))
		}, 5*time.Second, 10*time.Millisecond)
	}
}

// restartAll stops all processes and starts others.
func (c *cell) restartAll() {
	c.t.Helper()
	stopped := c.nodes
	c.nodes = nil
	for _, n := range stopped {
		n.cancel()
	}
	for _, n := range stopped {
		require.NoError(c.t, <-n.ended)
	}
	for i := range stopped {
		c.start(len(stopped) + i)
	}
}

var bothServices = []string{"ledger", "review"}

// A repeated submission remains one job. Guards against a job that runs again because its queue was
// moved to another service between the two, also if the processes know only the newest manifest (TWICE).
func TestRepeatedSubmissionToMovedQueueRunsOnce(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		taskMS  int
		state   job.State // before the queue is moved
		restart bool
		back    bool // the queue is moved back
	}{
		"completed":                       {taskMS: 50, state: job.Completed},
		"running":                         {taskMS: 4000, state: job.Running},
		"completed, all processes start":  {taskMS: 50, state: job.Completed, restart: true},
		"moved there and back":            {taskMS: 50, state: job.Completed, back: true},
		"moved there and back, all start": {taskMS: 50, state: job.Completed, back: true, restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cell := newCell(t, 2)
			cell.configure(1)
			path, body, worker := "/quick/00000000000000aa", jobWithTaskMS(c.taskMS), "i-ledger"
			cell.submit(cell.nodes[0], path, body)
			cell.requireState(cell.nodes[1], path, c.state, 10*time.Second)
			cell.moveQueue(2, "review", bothServices)
			if c.back { // the job that is submitted again was accepted by review
				path, worker = "/quick/00000000000000bb", "i-review"
				cell.submit(cell.nodes[0], path, body)
				cell.requireState(cell.nodes[1], path, c.state, 10*time.Second)
				cell.moveQueue(3, "ledger", bothServices)
			}
			if c.restart {
				cell.restartAll()
			}
			started := len(cell.site.Runs())
			for _, n := range cell.nodes {
				cell.submit(n, path, body)
			}
			time.Sleep(500 * time.Millisecond)
			if c.state == job.Completed {
				require.Equal(t, started, len(cell.site.Runs()), "no task starts again")
			}
			cell.requireState(cell.nodes[1], path, job.Completed, 15*time.Second)
			cell.requireRunsOnce()
			for _, run := range cell.site.Runs() {
				if strings.HasPrefix(run.Task, strings.TrimPrefix(path, "/quick/")) {
					require.Contains(t, run.Worker, worker, "the service that accepted the job runs it")
				}
			}
		})
	}
}

// Guards against a new job of a moved queue that isn't accepted, and against one that is refused
// as never run although a former service, which doesn't answer, may have accepted it (REFUSED).
func TestNewJobOfMovedQueue(t *testing.T) {
	t.Parallel()
	c := newCell(t, 2)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/00000000000000aa", jobWithTaskMS(50))
	c.moveQueue(2, "review", bothServices)
	c.submit(c.nodes[0], "/quick/00000000000000bb", jobWithTaskMS(50))
	c.requireState(c.nodes[1], "/quick/00000000000000bb", job.Completed, 10*time.Second)

	for part := range 2 { // so that the leader of the former service confirms nothing
		c.site.Store.SetUnresponsive("keyed.jobs-ledger", part, true)
	}
	status, _, _ := c.call(c.nodes[0], http.MethodPost, "/quick/00000000000000cc", jobWithTaskMS(50))
	require.Equal(t, http.StatusGatewayTimeout, status)
	for part := range 2 {
		c.site.Store.SetUnresponsive("keyed.jobs-ledger", part, false)
	}
	c.submit(c.nodes[0], "/quick/00000000000000cc", jobWithTaskMS(50))
	c.requireState(c.nodes[1], "/quick/00000000000000cc", job.Completed, 10*time.Second)
	c.requireRunsOnce()
}

// Guards against waiting jobs that aren't counted once their queue was moved to another service, or
// has a route of another name (MIXED).
func TestWaitingJobsOfMovedQueueAreCounted(t *testing.T) {
	t.Parallel()
	c := newCell(t, 2)
	c.configure(1)
	fill := job.Step{Count: 3, Demand: job.Demand{MilliCPU: 16000, MemoryMB: 10}, Estimate: time.Second}
	body := standin.Submission(job.Spec{Text: "60000", Steps: []job.Step{fill}})
	c.submit(c.nodes[0], "/quick/00000000000000aa", body)
	require.Eventually(t, func() bool { return len(c.site.Runs()) == fill.Count }, 10*time.Second, 10*time.Millisecond, "the workers are full")
	accepted := 0
	for i := range 3 {
		if status, _, _ := c.call(c.nodes[0], http.MethodPost, fmt.Sprintf("/quick/%016x", i), body); status == http.StatusOK {
			accepted++
		}
	}
	require.NotZero(t, accepted)
	waiting := func() string {
		_, answer, _ := c.call(c.nodes[1], http.MethodGet, "/quick/", "")
		return answer
	}
	want := fmt.Sprintf(`{"waiting":%d}`, accepted)
	require.Equal(t, want, waiting())
	for i, service := range []string{"review", "ledger"} {
		c.moveQueue(2+i, service, bothServices)
		path := fmt.Sprintf("/quick/%016x", 0xff0+i)
		c.submit(c.nodes[0], path, jobWithTaskMS(10))
		status, _, _ := c.call(c.nodes[0], http.MethodDelete, path, "")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, want, waiting(), "the queue is served by %s", service)
	}
}
