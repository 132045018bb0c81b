package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against a standing task without a run for 16 s, although there is capacity,
// because the leader changed while its worker doesn't answer (incident inc1). It must start
// once the lease that the former leader reports has ended, and not before.
func TestStandingTaskRestartsAfterChangeOfLeader(t *testing.T) {
	c := newCellWithCores(t, 4, 1)
	workers := map[string]*standin.Worker{}
	for _, id := range []string{"i-large-1", "i-large-2"} {
		worker, err := c.site.AddWorker(id, "review", 40000, 32000, 8)
		require.NoError(t, err)
		workers[id] = worker
	}
	c.configure(1)
	step := job.Step{Count: 1, Demand: job.Demand{MilliCPU: 30000, MemoryMB: 10}, Estimate: time.Second, LongRunning: true}
	c.submit(c.nodes[0], "/batch/0000000000000001", standin.Submission(job.Spec{Text: "600000", Steps: []job.Step{step}}))
	c.requireState(c.nodes[0], "/batch/0000000000000001", job.Running, 10*time.Second)
	time.Sleep(2 * time.Second) // until the store has answered the other node's polls for long enough
	leader := c.leader("review")
	worker := workers[c.site.Runs()[0].Worker]
	leader.storeProxy.unavailable.Store(true)
	worker.SetDown(true)
	began := time.Now()
	require.Eventually(t, func() bool { return len(c.site.Runs()) == 2 }, 25*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(began), 8*time.Second, "a lease of 4 s on a clock that is 2% slow, and the travel time of an order")
	require.NotSame(t, leader, c.leader("review"))
	worker.SetDown(false)
	require.Eventually(t, func() bool { return !c.site.Runs()[0].EndedAt.IsZero() }, 5*time.Second, 20*time.Millisecond)
	runs := c.site.Runs()
	require.Equal(t, "lapsed", runs[0].Result)
	require.True(t, runs[1].StartedAt.After(runs[0].EndedAt), "two runs of a task at the same time")
}
