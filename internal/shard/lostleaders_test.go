package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loseLeader replaces the leader, which is lost for good.
func (sim *simulation) loseLeader() {
	sim.leader.dead, sim.leader.storeUnreachable = true, true
	sim.replaceLeader()
}

// restartedAfter returns the time until a task starts anew. The tasks of lost workers fit on the
// last one.
func (sim *simulation) restartedAfter() time.Duration {
	sim.workers[len(sim.workers)-1].capacity.MilliCPU *= len(sim.workers)
	return sim.advanceToStart(sim.now, sim.startCount)
}

// Guards against tasks that last and wait for 16 s although the next leader has read so many workers
// that too few are left for witnesses of the lost one.
func TestSilentWorkersDoNotProlongTheWaitForLostLeader(t *testing.T) {
	for name, c := range map[string]struct{ workers, silent int }{
		"one of two": {2, 1}, "two of five": {5, 2}, "four of ten": {10, 4},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 93, c.workers, workerSize)
			sim.formerLeadersReport, sim.crashesUnknown = true, true
			sim.advance(time.Second)
			sim.standingTasks(9000)
			for _, worker := range sim.workers[:c.silent] {
				worker.crash()
			}
			sim.loseLeader()
			require.LessOrEqual(t, sim.restartedAfter(), maxWaitForLostLeader)
			sim.advance(10 * time.Second)
			require.Empty(t, sim.violations)
		})
	}
}

// Guards against tasks that last and wait for 16 s because more leaders in a row were lost for good than
// a leadership record names, each before it had stored that no former leader acts.
func TestManyLeadersLostInRowDoNotProlongTheWaitForTheirLeases(t *testing.T) {
	sim := newSimulation(t, 94, 6, workerSize)
	sim.formerLeadersReport, sim.crashesUnknown = true, true
	sim.advance(time.Second)
	sim.standingTasks(9000)
	sim.workers[0].crash()
	for range maxFormers + 1 {
		sim.loseLeader()
		sim.advance(1500 * time.Millisecond)
	}
	sim.loseLeader()
	require.LessOrEqual(t, sim.restartedAfter(), maxWaitForLostLeader)
	sim.advance(10 * time.Second)
	require.Empty(t, sim.violations)
}

// Guards against two runs of a task if the next leader counts the wait for a former one, which has
// witnesses until then, from an earlier time than its last read of a witness.
func TestWaitForLeaderWithWitnessesBeginsWithTheLastRead(t *testing.T) {
	sim := newSimulation(t, 95, 10, workerSize)
	sim.formerLeadersReport, sim.crashesUnknown = true, true
	sim.advance(time.Second)
	sim.standingTasks(9000)
	former := sim.leader
	former.storeUnreachable, former.cutOffFromPeers = true, true
	cutOff := map[*instance]bool{}
	for i, worker := range sim.workers {
		worker.clockRate = 0.98
		if i >= 7 {
			worker.cutOff = map[*instance]bool{former: true}
		} else {
			worker.cutOff = cutOff
		}
	}
	sim.replaceLeader()
	cutOff[sim.leader] = true
	sim.advance(4 * time.Second)
	for _, worker := range sim.workers[3:7] {
		worker.cutOff = map[*instance]bool{former: true}
	}
	waited := sim.restartedAfter()
	sim.advance(10 * time.Second)
	require.Empty(t, sim.violations)
	require.GreaterOrEqual(t, waited, orphanTimeoutAfterCrash)
	require.LessOrEqual(t, waited, maxWaitForLostLeader+time.Second, "the next polls of these workers come within a second")
}
