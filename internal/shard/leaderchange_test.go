package shard_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// askInterval is the time after which an instance repeats a call to the former leader.
const askInterval = 400 * time.Millisecond

// askFormerLeader calls a former leader, which steps down and answers when its leases end,
// until it has answered or all its leases have ended anyway. If it has crashed, its process
// answers that once it is up again. Only the replaced leader knows all earlier leases.
func (inst *instance) askFormerLeader(former *instance, replaced bool) {
	sim := inst.simulation
	giveUpAt := sim.now + orphanTimeout
	var ask func(now time.Time)
	ask = func(now time.Time) {
		crashed := former.dead && !former.steppedDown
		if crashed && former.restartsAt == 0 || inst.dead || sim.now > giveUpAt {
			return
		}
		if crashed && sim.now < former.restartsAt || former.frozen || former.cutOffFromPeers || sim.random.IntN(3) == 0 { // the call or its answer is lost
			sim.schedule(askInterval, nil, ask)
			return
		}
		endedAt := now
		if crashed {
			endedAt = sim.startTime.Add(former.restartsAt)
		} else {
			former.stepDown()
		}
		remaining := map[string]time.Duration{}
		for id, end := range former.shard.LeaseEnds() {
			remaining[id] = end.Sub(now) + sim.leaseEndError
		}
		sim.schedule(time.Duration(1+sim.random.IntN(400))*time.Millisecond, inst, func(now time.Time) {
			sim.reportCount++
			inst.shard.FormerLeaderEnded(former.epoch, endedAt.Add(sim.leaseEndError))
			if replaced && !crashed {
				inst.shard.LimitLeases(now, remaining)
			}
		})
	}
	sim.schedule(sim.latency(), nil, ask)
}

// changeLeader replaces the leader. The former one has crashed, is frozen for some time, or
// is refused by the store for some time and still orders starts; it may have released its
// leadership before, or its successor may crash right after its claim. For some time the
// new leader can't reach some workers that the former one may reach; if the network is
// split, the former leader reaches only these.
func (sim *simulation) changeLeader() {
	former := sim.leader
	upTo := func(seconds int) time.Duration {
		return time.Duration(1+sim.random.IntN(seconds*10)) * 100 * time.Millisecond
	}
	sim.crashesUnknown = sim.random.IntN(2) == 0
	fault := sim.random.IntN(6)
	crash := func(inst *instance) {
		inst.dead = true
		if sim.random.IntN(3) > 0 {
			inst.restartsAt = sim.now + upTo(3)
		}
	}
	switch fault {
	case 0:
		crash(former)
	case 1:
		former.frozen = true
		sim.schedule(upTo(14), nil, func(time.Time) { former.frozen = false })
	default:
		former.storeUnreachable = true
		sim.schedule(upTo(14), nil, func(time.Time) { former.storeUnreachable = false })
	}
	former.cutOffFromPeers = sim.random.IntN(2) == 0
	former.released = fault == 4
	sim.advance(upTo(2))
	sim.replaceLeader()
	if fault == 5 {
		crash(sim.leader)
		sim.advance(upTo(2))
		sim.replaceLeader()
	}
	leader := sim.leader
	split := sim.random.IntN(2) == 0
	for _, worker := range sim.workers {
		unreached := leader
		if sim.random.IntN(3) > 0 {
			if !split {
				continue
			}
			unreached = former
		}
		worker.cutOff[unreached] = true
		sim.schedule(upTo(20), nil, func(time.Time) { delete(worker.cutOff, unreached) })
	}
}

// simulateLeaderChanges submits random jobs for 50 s with a change of leader each few
// seconds, and then ends all faults.
func simulateLeaderChanges(t testing.TB, seed uint64, leaseEndError time.Duration) *simulation {
	sim := newSimulation(t, seed, 6, job.Demand{MilliCPU: 16000, MemoryMB: 32000})
	sim.crashesUnknown, sim.formerLeadersReport, sim.leaseEndError, sim.onlyConcurrentRuns = true, true, leaseEndError, true
	for _, worker := range sim.workers {
		worker.cutOff = map[*instance]bool{}
	}
	sim.advance(time.Second)
	number := 0
	for end := 50 * time.Second; sim.now < end; {
		for range 1 + sim.random.IntN(20) {
			sim.submitRandomJob(number)
			number++
			sim.advance(500 * time.Millisecond)
		}
		sim.changeLeader()
	}
	for _, worker := range sim.workers {
		clear(worker.cutOff)
	}
	return sim
}

// Guards against two runs of a task when the leader changes again and again, former
// leaders still order starts and renew leases, and no leader reaches all workers.
func TestInvariantsUnderLeaderChanges(t *testing.T) {
	reports := 0
	for seed := range seedCount(t) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			sim := simulateLeaderChanges(t, uint64(seed), 0)
			sim.requireAllEnded(2 * time.Minute)
			reports += sim.reportCount
		})
	}
	require.Greater(t, reports, seedCount(t), "former leaders reported their lease ends")
}

// Guards against a simulation that can't find a run that starts before the former leader's
// lease of the same task has ended.
func TestSimulationDetectsLeaseEndsThatAreTooEarly(t *testing.T) {
	violations := 0
	for seed := range seedCount(t) {
		violations += len(simulateLeaderChanges(t, uint64(seed), -3*time.Second).violations)
	}
	require.Positive(t, violations)
}

// Guards against standing tasks that have no run for 16 s, although there is capacity,
// because the leader changed and a worker doesn't answer (incident inc1): the next leader
// must wait only for the leases that the former one reports.
func TestReportedLeaseEndsBoundTheWaitForUnreadWorker(t *testing.T) {
	for name, c := range map[string]struct {
		reports  bool
		restarts time.Duration // of its process, after the change of leader; 0 means never
		min, max time.Duration
	}{
		"the former leader reports":               {true, 0, 0, 6500 * time.Millisecond}, // the last lease, on a clock that is 2% slow
		"the former leader is gone":               {false, 0, orphanTimeoutAfterCrash, orphanTimeoutAfterCrash + 500*time.Millisecond},
		"the former leader's process is up again": {false, 500 * time.Millisecond, orphanTimeoutAfterCrash, orphanTimeoutAfterCrash + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 51, 3, workerSize)
			sim.formerLeadersReport, sim.crashesUnknown = true, true
			sim.advance(time.Second)
			sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{
				{Count: 1, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second, LongRunning: true},
			}}, time.Hour)
			sim.advance(time.Second)
			require.Equal(t, 1, sim.startCount)
			former := sim.leader
			for _, worker := range sim.workers {
				worker.unreachable = len(worker.runs) > 0
			}
			former.storeUnreachable, former.dead = true, !c.reports
			if c.restarts > 0 {
				former.restartsAt = sim.now + c.restarts
			}
			sim.replaceLeader()
			changed := sim.now
			for sim.startCount < 2 && sim.now < changed+time.Minute {
				sim.advance(tickLength)
			}
			require.Empty(t, sim.violations)
			require.LessOrEqual(t, sim.now-changed, c.max)
			require.GreaterOrEqual(t, sim.now-changed, c.min)
		})
	}
}

// Guards against two runs of a task when a leader concludes from how the last leader ended
// that none acts: the one before it may, if the last one led only for a short time.
func TestLeaderBeforeTheLastMayStillAct(t *testing.T) {
	for name, c := range map[string]struct {
		ledFor   time.Duration // by the last leader
		released bool          // the last leader released its leadership
	}{
		"the last leader crashed right after its claim":     {ledFor: 0},
		"the last leader crashed after it read the workers": {ledFor: 2 * time.Second},
		"the last leader released its leadership":           {ledFor: 500 * time.Millisecond, released: true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 55, 3, workerSize)
			sim.advance(time.Second)
			sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, 30*time.Second)}}, 30*time.Second)
			sim.advance(time.Second)
			require.Equal(t, 1, sim.startCount)
			first := sim.leader
			first.storeUnreachable = true
			successors := map[*instance]bool{}
			replace := func() {
				sim.replaceLeader()
				successors[sim.leader] = true
			}
			for _, worker := range sim.workers {
				worker.cutOff = map[*instance]bool{first: true}
				if len(worker.runs) > 0 {
					worker.cutOff = successors
				}
			}
			replace()
			sim.advance(c.ledFor)
			sim.leader.released, sim.leader.dead = c.released, !c.released
			replace()
			sim.advance(20 * time.Second)
			require.Empty(t, sim.violations)
			require.Equal(t, 2, sim.startCount, "the task starts again once the first leader's lease is over")
		})
	}
}

// Guards against a leader that passes on less than it must: leases of leaders before it
// may be left on workers that it never read.
func TestReportIncludesEarlierLeaders(t *testing.T) {
	sim := newSimulation(t, 52, 4, workerSize)
	sim.crashesUnknown = true
	sim.advance(time.Second)
	first := sim.leader
	first.frozen = true
	sim.advance(time.Second)
	for _, i := range []int{0, 2, 3} { // the first leader may have witnesses
		sim.workers[i].unreachable = true
	}
	sim.replaceLeader()
	loaded := sim.time()
	sim.advance(3 * time.Second)
	ends := sim.leader.shard.LeaseEnds()
	require.Equal(t, loaded.Add(orphanTimeout), ends[sim.workers[0].id], "the worker was not read")
	require.True(t, ends[sim.workers[1].id].Before(loaded.Add(orphanTimeout)))
	sim.leader.shard.LimitLeases(sim.time(), map[string]time.Duration{sim.workers[0].id: time.Second, sim.workers[1].id: time.Hour})
	after := sim.leader.shard.LeaseEnds()
	require.Less(t, after[sim.workers[0].id].Sub(sim.time()), 1100*time.Millisecond, "reported by the former leader")
	require.Equal(t, ends[sim.workers[1].id], after[sim.workers[1].id], "the worker was read")
	sim.leader.shard.LimitLeases(sim.time(), map[string]time.Duration{sim.workers[0].id: time.Hour})
	require.Equal(t, after, sim.leader.shard.LeaseEnds(), "a bound is never raised")
}

// Guards against two runs of a task when a former leader learns the end of the step before
// from a poll that waited at the worker when the new leader read it (seeds 298 and 895 of
// TestInvariantsUnderLeaderChanges).
func TestFormerLeadersWaitingPollDoesNotStartTasksTwice(t *testing.T) {
	for unreached := range 2 { // of the two workers without a run
		t.Run(strconv.Itoa(unreached), func(t *testing.T) {
			sim := newSimulation(t, 53, 3, workerSize)
			sim.crashesUnknown = true
			sim.advance(time.Second)
			second := tasks(3, 16000, 2*time.Second)
			second.After = []int{0}
			sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 16000, time.Second), second}}, time.Second, 2*time.Second)
			sim.advance(900 * time.Millisecond)
			require.Equal(t, 1, sim.startCount)
			sim.leader.storeUnreachable = true
			sim.replaceLeader()
			idle := slices.DeleteFunc(slices.Clone(sim.workers), func(worker *modelWorker) bool { return len(worker.runs) > 0 })
			idle[unreached].cutOff = map[*instance]bool{sim.leader: true}
			sim.advance(30 * time.Second)
			require.Empty(t, sim.violations)
			state, _ := sim.leader.shard.State(id(0))
			require.Equal(t, job.Completed, state)
		})
	}
}

// Guards against a suspended record of a worker that its writer never read: the next leader
// would take it for read, and not wait for an earlier leader that still renews leases.
func TestUnreadWorkerIsNotSuspendedWhileEarlierLeaderActs(t *testing.T) {
	sim := newSimulation(t, 54, 3, workerSize)
	sim.crashesUnknown = true
	sim.advance(time.Second)
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, 20*time.Second)}}, 20*time.Second)
	sim.advance(time.Second)
	first := sim.leader
	first.storeUnreachable = true
	cutOff := map[*instance]bool{}
	for _, worker := range sim.workers {
		if len(worker.runs) > 0 {
			worker.cutOff = cutOff
		}
	}
	sim.replaceLeader()
	cutOff[sim.leader] = true
	sim.advance(3 * time.Second)
	sim.leader.dead = true
	sim.replaceLeader()
	cutOff[sim.leader] = true
	sim.advance(20 * time.Second)
	require.Empty(t, sim.violations)
}
