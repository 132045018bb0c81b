package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Tasks of a worker that crashes soon after a change of leader must restart when its
// lease has ended.
func TestTasksOfCrashedWorkerRestartAfterLease(t *testing.T) {
	sim := newSimulation(t, 5, 3, workerSize)
	sim.advance(time.Second)
	sim.leader.dead = true
	sim.replaceLeader()
	sim.advance(time.Second)
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(40, 1000, 4*time.Second)}}, 4*time.Second)
	sim.advance(time.Second)
	sim.workers[0].crash()
	sim.schedule(4500*time.Millisecond, nil, func(time.Time) { sim.workers[0].listed = false })
	start := sim.now
	// The bound covers the last lease of 6 s on a clock that is 2% slow, and the run time
	// of 4 s.
	require.Less(t, sim.advanceUntilEnded(id(0), 30*time.Second)-start, 12*time.Second)
	require.Empty(t, sim.violations)
}

// Workers without runs that drain or have left must not delay the next leader. It must
// start the steps of stored jobs as soon as it has read the other workers.
func TestIdleWorkersThatLeftDoNotDelayNewLeader(t *testing.T) {
	cases := map[string]func(worker *modelWorker){
		"the worker drains": func(worker *modelWorker) { worker.draining = true },
		"the worker has left": func(worker *modelWorker) {
			worker.crash()
			worker.listed = false
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 21, 4, workerSize)
			sim.advance(time.Second)
			sim.workers[0].leavesAt = time.Hour
			leave(sim.workers[0])
			sim.advance(2 * time.Second)
			sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{
				tasks(4, 1000, time.Second), {Count: 2, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second, After: []int{0}},
			}}, time.Second, time.Second)
			sim.advance(500 * time.Millisecond)
			sim.workers[0].crash()
			sim.leader.dead = true
			sim.advance(500 * time.Millisecond)
			sim.replaceLeader()
			require.Less(t, sim.advanceUntilEnded(id(0), 30*time.Second), 7*time.Second, "a new leader must not wait for the lease of a worker without runs")
			require.Empty(t, sim.violations)
		})
	}
}

// A worker that stops draining must get no task before its record is stored again, or
// the next leader would not know that it may have runs.
func TestReturningWorkerIsRecordedBeforeFirstTask(t *testing.T) {
	sim := newSimulation(t, 22, 1, workerSize)
	sim.advance(time.Second)
	worker := sim.workers[0]
	recorded := func() bool { return len(sim.store["w"+worker.id]) > 0 }
	require.True(t, recorded())
	worker.drain(time.Hour)
	sim.advance(time.Second)
	require.False(t, recorded())
	sim.storeDown = true
	worker.draining, worker.leavesAt = false, 0
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, time.Second)}}, time.Second)
	sim.advance(2 * time.Second)
	require.Empty(t, worker.runs)
	sim.storeDown = false
	sim.advance(500 * time.Millisecond)
	require.True(t, recorded())
	require.Len(t, worker.runs, 1)
}

// Stops must need few polls. A worker takes up to 0.9 s to stop a task, and must not be
// polled without a pause until then. Polling without a pause led to 27,194 polls for 9,756
// runs (site rlts-voucher, run inc-760c).
func TestStopsNeedFewPolls(t *testing.T) {
	sim := newSimulation(t, 38, 1, workerSize)
	sim.stopTime = 900 * time.Millisecond
	sim.advance(time.Second)
	const jobs = 20
	for i := range jobs {
		sim.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 250, time.Minute)}}, time.Minute)
	}
	sim.advance(2 * time.Second)
	sim.pollCount = 0
	for i := range jobs {
		sim.cancel(id(i))
		sim.advance(time.Second)
	}
	_, running := sim.leader.shard.CountJobsAndRuns()
	require.Zero(t, running)
	// There is one stop per second, and waiting polls of 0.7 s each make up to 2 polls
	// per second. Each stop adds three: a poll after its confirmation, a waiting poll
	// that its result ends early, and a poll that acknowledges the result.
	require.LessOrEqual(t, sim.pollCount, jobs*(2+3))
}

// When workers crash and the leader changes a few seconds later, the next leader must
// wait only for the last leases of these workers, whether or not the former leader is
// known to have crashed. It must not also wait for leases that the former leader might
// have granted since the crash: that wait took 15.6 s (site rlts-voucher, run trouble-1).
func TestCrashedWorkersDelayNewLeaderByOneLease(t *testing.T) {
	sim := newSimulation(t, 39, 4, workerSize)
	sim.advance(time.Second)
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{
		tasks(4, 1000, 4*time.Second), {Count: 2, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second, After: []int{0}},
	}}, 4*time.Second, time.Second)
	sim.advance(500 * time.Millisecond)
	for _, worker := range sim.workers {
		if len(worker.runs) > 0 {
			worker.crash()
			break
		}
	}
	sim.advance(3 * time.Second)
	sim.leader.frozen = true
	start := sim.now
	sim.replaceLeader()
	// The bound covers the lease on a clock that is 2% slow, the run time of the first
	// step, of which a part was lost, and that of the second step.
	require.Less(t, sim.advanceUntilEnded(id(0), 30*time.Second)-start, 12500*time.Millisecond)
	require.Empty(t, sim.violations)
}

// A suspended worker that is reached again while the store is down must get no longer
// lease before its new record is stored, as the next leader would not know of that lease.
func TestSuspendedWorkerIsRecordedBeforeLeaseRenewal(t *testing.T) {
	sim := newSimulation(t, 40, 1, workerSize)
	sim.advance(time.Second)
	worker := sim.workers[0]
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, time.Minute)}}, time.Minute)
	sim.advance(time.Second)
	worker.unreachable = true
	sim.advance(3500 * time.Millisecond) // three polls fail
	sim.storeDown = true
	worker.unreachable = false
	leaseEnd := worker.leaseEnd
	sim.advance(2 * time.Second)
	require.Equal(t, leaseEnd, worker.leaseEnd)
	sim.storeDown = false
	sim.advance(time.Second)
	require.Greater(t, worker.leaseEnd, leaseEnd)
	require.Len(t, worker.runs, 1)
}

// The next leader must not count the runs of a suspended worker as over before their last
// lease has ended.
func TestRunsOfSuspendedWorkerKeepTheirLease(t *testing.T) {
	sim := newSimulation(t, 41, 2, workerSize)
	sim.advance(time.Second)
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, 20*time.Second)}}, 20*time.Second)
	sim.advance(time.Second)
	for _, worker := range sim.workers {
		worker.unreachable = len(worker.runs) > 0
	}
	sim.advance(3500 * time.Millisecond)
	sim.leader.dead = true
	sim.replaceLeader()
	sim.advanceUntilEnded(id(0), time.Minute)
	require.Empty(t, sim.violations)
}

// An entry of another writer looks like a worker, but nothing ever answers at its
// address. The next leader must not wait for it before it starts stored jobs.
func TestWorkerThatNeverAnsweredDoesNotDelayRecovery(t *testing.T) {
	sim := newSimulation(t, 31, 3, workerSize)
	sim.workers[2].unreachable = true
	sim.advance(2 * time.Second)
	for i := range 6 { // twice as much as the two workers hold
		sim.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(2, 8000, time.Second)}}, time.Second)
	}
	sim.advance(200 * time.Millisecond)
	sim.leader.dead = true
	sim.replaceLeader()
	started := sim.now
	sim.requireAllEnded(time.Minute)
	// The jobs take three rounds of 1 s. A wait for the worker would take 6.5 s.
	require.Less(t, sim.now-started, 5*time.Second)
}

// While an entry that can't be used replaces the one of a live worker, its runs must
// neither be given up nor started elsewhere, and it must get no new ones.
func TestRunsOutliveTheEntryOfTheirWorker(t *testing.T) {
	sim := newSimulation(t, 32, 2, workerSize)
	sim.advance(time.Second)
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(4, 8000, 12*time.Second)}}, 12*time.Second)
	sim.advance(time.Second)
	require.Equal(t, 4, sim.startCount)
	sim.workers[0].listed = false
	sim.requireAllEnded(14 * time.Second)
	require.Equal(t, 4, sim.startCount, "no task started again")
	sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{tasks(4, 8000, time.Second)}}, time.Second)
	sim.advance(500 * time.Millisecond)
	require.Empty(t, sim.workers[0].runs)
}

// Guards against standing tasks that lapse and have no run for 16 s after a change of leader, because
// the entry of a worker that can be reached has expired: the leases of its runs must be renewed.
func TestRunsOfUnlistedWorkerOutliveTheirLeader(t *testing.T) {
	sim := newSimulation(t, 34, 3, workerSize)
	sim.crashesUnknown = true
	sim.advance(time.Second)
	standing := tasks(6, 4000, 500*time.Millisecond)
	standing.LongRunning = true
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{standing}}, time.Hour)
	sim.advance(time.Second)
	require.Equal(t, 6, sim.startCount)
	for _, worker := range sim.workers {
		worker.listed = len(worker.runs) == 0
	}
	sim.advance(8 * time.Second)
	sim.leader.dead = true
	sim.replaceLeader()
	sim.advance(30 * time.Second)
	require.Equal(t, 6, sim.startCount, "no task started again")
	require.Empty(t, sim.violations)
}

// Guards against standing tasks that lapse after a change of leader because the list of workers can't
// be read, although the workers can be reached.
func TestRunsOutliveAnUnreadListAfterChangeOfLeader(t *testing.T) {
	sim := newSimulation(t, 35, 4, workerSize)
	sim.advance(time.Second)
	standing := tasks(6, 3000, time.Minute)
	standing.LongRunning = true
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{standing}}, time.Hour)
	sim.advance(1250 * time.Millisecond)
	require.Equal(t, 6, sim.startCount)
	sim.leader.dead = true
	sim.replaceLeader()
	sim.storeDown = true // the new leader has loaded the state, but not the list
	sim.advance(8 * time.Second)
	sim.storeDown = false
	sim.advance(20 * time.Second)
	require.Equal(t, 6, sim.startCount, "no task started again")
	require.Empty(t, sim.violations)
}

// After a change of leader stored jobs wait until every worker is read that may run
// their tasks. A step that only became ready under the new leader can't run anywhere, so
// it must start at once, also if a worker doesn't answer (site rlts-voucher-large, run
// trouble-3: 5.6 s without starts after a restart of all processes).
func TestNextStepStartsWhileAWorkerIsUnread(t *testing.T) {
	for name, speculative := range map[string]bool{"speculative": true, "not speculative": false} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 33, 3, workerSize)
			sim.advance(time.Second)
			first, second := tasks(2, 8000, 2*time.Second), tasks(2, 1000, 500*time.Millisecond)
			first.Speculative = speculative
			second.After = []int{0}
			sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{first, second}}, 2*time.Second, 500*time.Millisecond)
			sim.advance(time.Second)
			require.Equal(t, 2, sim.startCount)
			for _, worker := range sim.workers {
				worker.unreachable = len(worker.runs) == 0
			}
			sim.leader.dead = true
			sim.replaceLeader()
			changed := sim.now
			ended := sim.advanceUntilEnded(id(0), 30*time.Second) - changed
			require.Equal(t, 4, sim.startCount)
			if speculative {
				require.Greater(t, ended, orphanTimeoutAfterCrash, "another run may have ended before")
			} else {
				require.Less(t, ended, 2500*time.Millisecond, "the rest of the first step and the second one")
			}
			require.Empty(t, sim.violations)
		})
	}
}

// The lease of a worker must not last longer than the leader assumes, however long the
// worker had no runs: its clock may be 2% slow, so that the time since the last reading of
// the clock overestimates it. A task ran twice at a time (review/4).
func TestLeaseOfIdleWorkerEndsInTime(t *testing.T) {
	for name, clockRate := range map[string]float64{"slow clock": 0.98, "accurate clock": 1} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 42, 2, workerSize)
			for _, worker := range sim.workers {
				worker.clockRate = clockRate
			}
			sim.advance(5 * time.Minute)
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(2, 1000, 15*time.Second)}}, 15*time.Second)
			sim.advance(300 * time.Millisecond)
			require.Equal(t, 2, sim.startCount, "the lease must not have ended when the start arrives")
			for _, worker := range sim.workers {
				require.Less(t, worker.leaseEnd, sim.now+taskLease*100/98)
			}
			worker := sim.workers[0]
			require.NotEmpty(t, worker.runs)
			worker.unreachable = true
			sim.requireAllEnded(time.Minute)
			require.Greater(t, sim.startCount, 2)
		})
	}
}

// A start that reaches a restarted worker carries a time of its former clock, so its lease
// lasts as long as a worker grants at most. If the worker is cut off then, its runs must not
// start elsewhere before that.
func TestLeaseOfRestartedWorkerEndsInTime(t *testing.T) {
	for name, cutOffAfter := range map[string]time.Duration{"before its first report": 10 * time.Millisecond, "after its first report": time.Second} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 47, 2, workerSize)
			sim.advance(10*time.Second + 50*time.Millisecond) // the list is read next in 350 ms
			for _, worker := range sim.workers {
				worker.crash()
				worker.restart()
			}
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(2, 1000, 15*time.Second)}}, 15*time.Second)
			for sim.startCount < 2 {
				sim.advance(tickLength)
			}
			sim.advance(cutOffAfter)
			for _, worker := range sim.workers {
				if len(worker.runs) > 0 {
					worker.unreachable = true
					break
				}
			}
			sim.requireAllEnded(time.Minute)
		})
	}
}
