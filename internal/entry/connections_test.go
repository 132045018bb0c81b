package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against orders that never reach a worker, and tasks that never start, because the worker
// resets new connections: VMs that lost power hold the others (LOST).
func TestOrdersReachWorkersWithOneConnection(t *testing.T) {
	t.Parallel()
	c := newCell(t, 2)
	for _, worker := range c.workers["review"] {
		worker.SetConnectionLimit(1)
	}
	c.configure(1)
	step := job.Step{Count: 9, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 10}, Estimate: 300 * time.Millisecond}
	lasting := standin.Submission(job.Spec{Text: standin.Standing, Steps: []job.Step{{Count: 3, Demand: step.Demand, LongRunning: true}}})
	c.submit(c.nodes[0], "/batch/00000000000000aa", lasting)
	for i := range 4 {
		c.submit(c.nodes[i%2], fmt.Sprintf("/batch/%016x", i), standin.Submission(job.Spec{Text: "300", Steps: []job.Step{step}}))
	}
	for i := range 4 {
		c.requireState(c.nodes[i%2], fmt.Sprintf("/batch/%016x", i), job.Completed, 8*time.Second)
	}
	status, _, _ := c.call(c.nodes[0], http.MethodDelete, "/batch/00000000000000aa", "")
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		for _, run := range c.site.Runs() {
			if run.EndedAt.IsZero() {
				return false
			}
		}
		return true
	}, 3*time.Second, 20*time.Millisecond, "the runs of a cancelled job end")
	c.requireRunsOnce()
	require.Contains(t, c.leader("review").logs.String(), "name=connection-shared")
}

// Guards against former leaders whose idle connections take the room of the present one.
func TestEndedLeadershipClosesItsConnections(t *testing.T) {
	t.Parallel()
	c := newCell(t, 2)
	c.configure(1)
	for i := range 4 {
		path := fmt.Sprintf("/batch/%016x", i)
		c.submit(c.nodes[0], path, standin.Submission(job.Spec{Text: "20", Steps: []job.Step{{Count: 40, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 10}}}}))
		c.requireState(c.nodes[1], path, job.Completed, 10*time.Second)
		leader, epoch := c.leadership("review")
		require.True(t, leader.process.PanicInControlLoop("review/0"))
		require.Eventually(t, func() bool {
			_, newest := c.newestClaim("review")
			return newest > epoch
		}, 10*time.Second, 20*time.Millisecond)
	}
	c.submit(c.nodes[0], "/batch/00000000000000aa", jobWithTaskMS(20))
	for _, worker := range c.workers["review"] {
		require.Eventually(t, func() bool { return worker.OpenConnections() <= 6 }, time.Second, 20*time.Millisecond, "%s has %d connections", worker.ID(), worker.OpenConnections())
	}
}
