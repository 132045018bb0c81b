package entry_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// submitTasks submits a job of independent tasks to the queue "batch" and returns their
// runs once all of them have started.
func (c *cell) submitTasks(id string, count, milliCPU int, runTime time.Duration) []standin.Run {
	c.t.Helper()
	step := job.Step{Count: count, Demand: job.Demand{MilliCPU: milliCPU, MemoryMB: 10}, Estimate: runTime}
	c.submit(c.nodes[0], "/batch/"+id, standin.Submission(job.Spec{Text: strconv.FormatInt(runTime.Milliseconds(), 10), Steps: []job.Step{step}}))
	var runs []standin.Run
	require.Eventually(c.t, func() bool {
		runs = slices.DeleteFunc(c.site.Runs(), func(run standin.Run) bool { return !strings.HasPrefix(run.Task, id) })
		return len(runs) == count
	}, 10*time.Second, 20*time.Millisecond, "the tasks of %s don't start", id)
	return runs
}

// requireEnded waits until a run has ended.
func (c *cell) requireEnded(run standin.Run, limit time.Duration) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		return slices.ContainsFunc(c.site.Runs(), func(other standin.Run) bool {
			return other.Task == run.Task && other.Number == run.Number && !other.EndedAt.IsZero()
		})
	}, limit, 20*time.Millisecond, "run %d of %s doesn't end", run.Number, run.Task)
}

// Guards against a leader without a way to the store and to its successor that takes the
// leases on workers that only the successor reaches for over: the successor renews them,
// and acknowledges results that the former leader never reads.
func TestPartitionedLeadersDoNotRepeatRuns(t *testing.T) {
	t.Parallel()
	c := newCellWithCores(t, 2, 1)
	c.configure(1)
	// Each worker has 16 cores, so one is left without a long run and each has a short one.
	long := c.submitTasks("00000000000000aa", 2, 9000, time.Minute)
	time.Sleep(2 * time.Second) // until the store has answered the other node's polls for long enough
	c.submitTasks("00000000000000bb", 4, 6000, 4*time.Second)
	former, formerEpoch := c.leadership("review")
	c.isolate(former)
	for _, worker := range c.workers["review"] {
		reachedBySuccessor := worker.ID() == long[0].Worker
		worker.SetReachable(func(fencingToken int64) bool { return (fencingToken > int64(formerEpoch)) == reachedBySuccessor })
	}
	c.requireEnded(long[1], 20*time.Second)
	require.NotSame(t, former, c.leader("review"))
	c.requireNoRepeatedRuns()
}

// twoSuccessors is a cell with a former leader that is cut off from the store and the
// other nodes, but renews the leases of its three runs. Its successor reaches only a spare
// worker.
type twoSuccessors struct {
	*cell
	runs           []standin.Run
	spare          *standin.Worker
	successor      *node
	successorEpoch int
}

func newTwoSuccessors(t *testing.T, nodes int) *twoSuccessors {
	c := &twoSuccessors{cell: newCellWithCores(t, nodes, 1)}
	c.configure(1)
	c.runs = c.submitTasks("00000000000000aa", 3, 9000, time.Minute)
	time.Sleep(2 * time.Second) // until the store has answered the other nodes' polls for long enough
	former, formerEpoch := c.leadership("review")
	for _, worker := range c.workers["review"] {
		worker.SetReachable(func(fencingToken int64) bool { return fencingToken <= int64(formerEpoch) })
	}
	c.spare = c.addWorker("i-spare", "review", 64000)
	c.spare.SetReachable(func(fencingToken int64) bool { return fencingToken > int64(formerEpoch) })
	c.isolate(former)
	c.successor, c.successorEpoch = c.awaitClaim(formerEpoch)
	return c
}

// awaitClaim waits for a claim with an epoch above the given one.
func (c *cell) awaitClaim(after int) (leader *node, epoch int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		leader, epoch = c.newestClaim("review")
		return epoch > after
	}, 5*time.Second, time.Millisecond, "nobody claims the shard")
	return leader, epoch
}

// requireLeasesRespected waits until the former leader's runs have ended, and checks that
// no other leader started their tasks before.
func (c *twoSuccessors) requireLeasesRespected() {
	c.t.Helper()
	for _, run := range c.runs {
		c.requireEnded(run, 20*time.Second)
	}
	c.requireNoRepeatedRuns()
}

// Guards against a new leader that takes the leases of the leader before the last one for
// over, because it replaces the previous boot of its own process: that one was killed
// right after its claim.
func TestRestartedSuccessorWaitsForLeasesOfEarlierLeaders(t *testing.T) {
	t.Parallel()
	c := newTwoSuccessors(t, 2)
	c.spare.SetReachable(func(fencingToken int64) bool { return fencingToken > int64(c.successorEpoch) })
	c.isolate(c.successor)
	c.successor.cancel()
	restarted := c.start(slices.Index(c.nodes, c.successor))
	c.requireLeasesRespected()
	require.Same(t, restarted, c.leader("review"))
}

// Guards against a new leader that takes the leases of the leader before the last one for
// over, because the last one gave up its leadership.
func TestSecondSuccessorWaitsForLeasesOfEarlierLeaders(t *testing.T) {
	t.Parallel()
	for name, giveUp := range map[string]func(successor *node){
		"released": func(successor *node) { successor.cancel() },
		"failed":   func(successor *node) { successor.process.PanicInControlLoop("review/0") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTwoSuccessors(t, 3)
			giveUp(c.successor)
			next, _ := c.awaitClaim(c.successorEpoch)
			require.NotSame(t, c.successor, next)
			c.requireLeasesRespected()
		})
	}
}
