package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Guards against runs that lapse on a worker that is reached again in time: while the store is
// down, the worker was only marked as suspended, and no batch with the mark was taken, or
// one was taken that the store couldn't take.
func TestWorkerIsNotSuspendedByMarkThatNoBatchHas(t *testing.T) {
	for name, c := range map[string]struct {
		storeDown     bool
		batchInFlight bool // before the worker is cut off
	}{
		"store up": {false, true}, "store down, batch in flight": {true, true}, "store down, nothing to store": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 78, 2, workerSize)
			sim.advance(time.Second)
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, 20*time.Second)}}, 20*time.Second)
			sim.advance(time.Second)
			require.Equal(t, 1, sim.startCount)
			worker := sim.workers[0]
			if len(worker.runs) == 0 {
				worker = sim.workers[1]
			}
			starts := 1
			sim.storeDown = c.storeDown
			if c.batchInFlight {
				sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, time.Second)}}, time.Second)
				starts++
			}
			sim.advance(200 * time.Millisecond)
			worker.unreachable = true
			sim.advance(3500 * time.Millisecond) // three polls fail
			worker.unreachable = false
			sim.advance(5300 * time.Millisecond) // longer than the rest of the lease
			sim.storeDown = false
			sim.requireAllEnded(time.Minute)
			require.Equal(t, starts, sim.startCount)
		})
	}
}

// Guards against a next leader that takes runs for over whose leases were renewed after the
// mark of their worker was withdrawn: it must not find a suspended record.
func TestWithdrawnSuspensionIsNotStored(t *testing.T) {
	for name, changeAfter := range map[string]time.Duration{"at once": 50 * time.Millisecond, "later": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 79, 3, workerSize)
			sim.advance(time.Second)
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(2, 9000, 30*time.Second)}}, 30*time.Second)
			sim.advance(time.Second)
			require.Equal(t, 2, sim.startCount)
			sim.storeDown = true
			sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, time.Second)}}, time.Second)
			sim.advance(200 * time.Millisecond)
			for _, worker := range sim.workers {
				worker.unreachable = len(worker.runs) > 0
			}
			sim.advance(3500 * time.Millisecond)
			for _, worker := range sim.workers {
				worker.unreachable = false
			}
			sim.advance(2 * time.Second) // their leases are renewed
			sim.storeDown = false
			sim.advance(changeAfter)
			former := sim.leader
			former.dead = true
			for _, worker := range sim.workers {
				worker.unreachable = len(worker.runs) > 0
			}
			sim.replaceLeader()
			sim.requireAllEnded(2 * time.Minute)
		})
	}
}

// A worker that is lost while the store is down must be recorded as suspended once the store is
// back: the next leader then waits only for its last lease.
func TestSuspensionIsStoredOnceStoreIsBack(t *testing.T) {
	sim := newSimulation(t, 80, 2, workerSize)
	sim.crashesUnknown = true
	sim.advance(time.Second)
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, 20*time.Second)}}, 20*time.Second)
	sim.advance(time.Second)
	sim.storeDown = true
	sim.advance(200 * time.Millisecond)
	for _, worker := range sim.workers {
		worker.unreachable = len(worker.runs) > 0
	}
	sim.advance(4 * time.Second)
	require.Equal(t, 1, sim.startCount)
	sim.storeDown = false
	sim.advance(1200 * time.Millisecond)
	sim.leader.dead = true
	sim.replaceLeader()
	sim.advance(7 * time.Second)
	require.Equal(t, 2, sim.startCount)
	require.Empty(t, sim.violations)
}
