package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// maxWaitForLostLeader limits the wait for the leases of a leader that is lost for good: one lease,
// and the time in which the next leader reads the workers.
const maxWaitForLostLeader = orphanTimeoutAfterCrash + 500*time.Millisecond

// advanceToStart advances until more than so many tasks have been started, or 30 s after the given
// time. It returns the time since then.
func (sim *simulation) advanceToStart(since time.Duration, started int) time.Duration {
	for sim.startCount == started && sim.now < since+30*time.Second {
		sim.advance(tickLength)
	}
	return sim.now - since
}

// standingTasks submits a job with a task that lasts for each worker, and returns once they run.
func (sim *simulation) standingTasks(milliCPU int) {
	sim.t.Helper()
	standing := tasks(len(sim.workers), milliCPU, 500*time.Millisecond)
	standing.LongRunning = true
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{standing}}, time.Hour)
	sim.advance(time.Second)
	require.Equal(sim.t, len(sim.workers), sim.startCount)
}

// Guards against tasks that last and wait for 16 s because their worker is silent and their leader was
// lost for good (review/8 with replace_core), and against two runs of one if that leader still acts.
func TestLeaderWithoutWitnessesEndsTheWaitForItsLeases(t *testing.T) {
	for name, c := range map[string]struct {
		lost     bool // the former leader is lost for good; otherwise it is cut off from the store and from its successor
		reached  int  // number of the six workers that the new leader reaches
		restarts int  // so many of these restart after they were read, and only the former leader reaches them then
		min, max time.Duration
	}{
		"the former leader is lost":                     {true, 5, 0, 0, maxWaitForLostLeader},
		"it reaches the other worker":                   {false, 5, 0, orphanTimeoutAfterCrash, maxWaitForLostLeader},
		"it reaches the other two workers":              {false, 4, 0, orphanTimeoutAfterCrash, maxWaitForLostLeader},
		"it reaches three workers":                      {false, 3, 0, orphanTimeoutAfterCrash, maxWaitForLostLeader},
		"it reaches four workers":                       {false, 2, 0, orphanTimeout, orphanTimeout + time.Second},
		"it reaches four, two of which have restarted":  {false, 4, 2, orphanTimeoutAfterCrash, maxWaitForLostLeader},
		"it is lost, and half of the workers is silent": {true, 3, 0, 0, maxWaitForLostLeader},
		"it is lost, and most workers are silent":       {true, 2, 0, orphanTimeout, orphanTimeout + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 91, 6, workerSize)
			sim.formerLeadersReport, sim.crashesUnknown = true, true
			sim.advance(time.Second)
			sim.standingTasks(9000)
			former := sim.leader
			former.storeUnreachable, former.cutOffFromPeers, former.dead = true, true, c.lost
			sim.replaceLeader()
			changed, started := sim.now, sim.startCount
			for i, worker := range sim.workers {
				worker.cutOff = map[*instance]bool{sim.leader: i >= c.reached, former: i < c.reached}
				worker.clockRate = 0.98
			}
			sim.advance(500 * time.Millisecond)
			for _, worker := range sim.workers[:c.restarts] {
				worker.crash()
				worker.restart()
				worker.cutOff = map[*instance]bool{sim.leader: true}
			}
			for _, worker := range sim.workers[c.reached:] {
				if c.lost {
					worker.crash()
				}
			}
			// The tasks of the other workers fit here.
			sim.workers[c.restarts].capacity.MilliCPU *= 6
			restartedAt := sim.advanceToStart(changed, started)
			sim.advance(10 * time.Second)
			require.Empty(t, sim.violations)
			require.LessOrEqual(t, restartedAt, c.max)
			require.GreaterOrEqual(t, restartedAt, c.min)
		})
	}
}

// Guards against tasks that last and wait for 16 s because two leaders were lost for good soon after
// their workers (issue 47), and against two runs of one if the first leader still acts.
func TestLeadersLostOneAfterTheOtherEndTheWaitForTheirLeases(t *testing.T) {
	for name, c := range map[string]struct {
		firstLost bool          // otherwise it is cut off from the store and from its successors
		ledFor    time.Duration // by the second leader, which is lost for good
		reached   int           // number of the six workers that the last leader reaches
		added     int           // workers that the second leader adds; the last leader reaches them
		min, max  time.Duration
	}{
		"both are lost at once":                         {true, 0, 5, 0, 0, maxWaitForLostLeader},
		"the second one has read the workers":           {true, time.Second, 5, 0, 0, maxWaitForLostLeader},
		"the first one acts on one worker":              {false, time.Second, 5, 0, orphanTimeoutAfterCrash, maxWaitForLostLeader},
		"the first one acts on two workers":             {false, 0, 4, 0, orphanTimeoutAfterCrash, maxWaitForLostLeader},
		"the first one has witnesses":                   {false, time.Second, 2, 0, orphanTimeout, orphanTimeout + time.Second},
		"it has witnesses, and many workers were added": {false, 2 * time.Second, 2, 12, orphanTimeout, orphanTimeout + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 92, 6, workerSize)
			sim.formerLeadersReport, sim.crashesUnknown = true, true
			sim.advance(time.Second)
			sim.standingTasks(9000)
			first, successors := sim.leader, map[*instance]bool{}
			first.storeUnreachable, first.cutOffFromPeers, first.dead = true, true, c.firstLost
			replace := func() {
				sim.replaceLeader()
				successors[sim.leader] = true
			}
			replace()
			for i, worker := range sim.workers {
				worker.cutOff, worker.clockRate = map[*instance]bool{first: true}, 0.98
				if i >= c.reached {
					worker.cutOff = successors
					if c.firstLost {
						worker.crash()
					}
				}
			}
			for range c.added {
				sim.addWorker(workerSize).cutOff = map[*instance]bool{first: true}
			}
			sim.advance(c.ledFor)
			sim.leader.dead = true
			replace()
			changed, started := sim.now, sim.startCount
			// The tasks of the other workers fit here.
			sim.workers[0].capacity.MilliCPU *= 6
			restartedAt := sim.advanceToStart(changed, started)
			sim.advance(10 * time.Second)
			require.Empty(t, sim.violations)
			require.LessOrEqual(t, restartedAt, c.max)
			require.GreaterOrEqual(t, restartedAt, c.min)
		})
	}
}

// Guards against a leader that acts without witnesses, as a successor has read more workers than the
// leader knows: a partition of the store has missed that their records were deleted.
func TestWorkersThatASuccessorMayReadAreNoWitnesses(t *testing.T) {
	for name, c := range map[string]struct {
		undeleted int
		witnessed bool
	}{
		"none":                         {0, true},
		"so few that it has witnesses": {2, true},
		"more":                         {3, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 93, 6, workerSize)
			sim.advance(time.Second)
			sim.standingTasks(9000)
			sim.storeDown = true
			for _, worker := range sim.workers[5:] {
				worker.unreachable = true
			}
			sim.leader.shard.SetUndeletedWorkerRecords(c.undeleted)
			sim.advance(4 * time.Second)
			require.Equal(t, c.witnessed, sim.now-sim.leader.shard.WitnessedAt() < maxWitnessAge)
		})
	}
}
