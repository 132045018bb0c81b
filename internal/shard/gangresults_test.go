package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// submitGangAndNextStep submits a job whose second step waits for a gang of two, and returns the
// workers of the gang and the others.
func (sim *simulation) submitGangAndNextStep(gangTime time.Duration) (members, others []*modelWorker) {
	sim.t.Helper()
	second := tasks(2, 16000, 2*time.Second)
	second.After = []int{0}
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{gang(2, 8, gangTime), second}}, gangTime, 2*time.Second)
	sim.advance(500 * time.Millisecond)
	require.Equal(sim.t, 2, sim.startCount)
	for _, worker := range sim.workers {
		if len(worker.runs) > 0 {
			members = append(members, worker)
		} else {
			others = append(others, worker)
		}
	}
	require.Len(sim.t, members, 2)
	return members, others
}

// Guards against two runs of a task when a former leader learns the end of a gang from the worker of
// a member that the new leader hasn't read, or had only just read: the end of one member
// stands for all, so both start the next step (TWICE).
func TestFormerLeaderThatReadsAnotherGangMemberDoesNotStartTasksTwice(t *testing.T) {
	for name, c := range map[string]struct {
		gangTime  time.Duration
		unreadFor time.Duration // how long the new leader doesn't reach the second member's worker
	}{
		"never read": {2 * time.Second, time.Minute},
		"read while a poll of the former leader waits": {2400 * time.Millisecond, 1750 * time.Millisecond},
		"read at once":                 {2 * time.Second, 0},
		"read at once, gang ends soon": {700 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 70, 4, workerSize)
			sim.crashesUnknown = true
			sim.advance(time.Second)
			members, others := sim.submitGangAndNextStep(c.gangTime)
			former := sim.leader
			former.storeUnreachable = true
			sim.replaceLeader()
			successor := sim.leader
			members[0].cutOff = map[*instance]bool{former: true}
			others[0].cutOff = map[*instance]bool{former: true}
			others[1].cutOff = map[*instance]bool{successor: true}
			members[1].cutOff = map[*instance]bool{successor: c.unreadFor > 0}
			sim.schedule(c.unreadFor, nil, func(time.Time) { members[1].cutOff[successor] = false })
			sim.advance(4500 * time.Millisecond)
			require.Empty(t, sim.violations)
		})
	}
}

// Guards against a step after a gang that waits for a worker that isn't read, although no former
// leader can know that the gang has ended: the workers of all its members refuse it.
func TestStepAfterGangStartsWhileAnotherWorkerIsUnread(t *testing.T) {
	sim := newSimulation(t, 71, 4, workerSize)
	sim.advance(time.Second)
	_, others := sim.submitGangAndNextStep(2 * time.Second)
	others[0].unreachable = true
	sim.leader.dead = true
	sim.replaceLeader()
	changed := sim.now
	ended := sim.advanceUntilEnded(id(0), 30*time.Second) - changed
	require.Equal(t, 4, sim.startCount)
	require.Less(t, ended, 4500*time.Millisecond, "the rest of the gang and the second step")
	require.Empty(t, sim.violations)
}

// Guards against a job that is shown as failed although its gang has failed in fewer runs than it
// may: each of several members that fail in one run counted as an attempt (review/10).
func TestRunOfGangInWhichSeveralMembersFailIsOneAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		failedRuns int // of the gang
		secondLate bool
		newLeader  bool // before the second end of the first run is read
	}{
		"both ends are read at once":                     {failedRuns: 1},
		"the next leader reads the second end":           {failedRuns: 1, secondLate: true, newLeader: true},
		"the second end is read after the next run":      {failedRuns: 2, secondLate: true},
		"the next leader reads it after the next run":    {failedRuns: 2, secondLate: true, newLeader: true},
		"both members of two runs fail at the same time": {failedRuns: 2},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 72, 6, workerSize)
			sim.advance(time.Second)
			terms := batchTerms
			terms.MaxAttempts = c.failedRuns + 1
			const gangTime = 2 * time.Second
			submitted := sim.submit(id(0), terms, job.Spec{Steps: []job.Step{gang(2, 8, gangTime)}}, gangTime)
			var late *modelWorker
			sim.onStart = func(start shard.Start) {
				submitted.alwaysFails = sim.startCount < 2*c.failedRuns // of the starts to come
				if c.secondLate && sim.startCount == 2 {
					late = sim.worker(start.ID)
					sim.schedule(200*time.Millisecond, nil, func(time.Time) { late.unreachable = true })
				}
			}
			submitted.alwaysFails = true
			for len(submitted.handledFailedRuns) < c.failedRuns && sim.now < 20*time.Second {
				sim.advance(tickLength)
			}
			require.GreaterOrEqual(t, len(submitted.handledFailedRuns), c.failedRuns)
			if c.newLeader {
				sim.leader.dead = true
				sim.replaceLeader()
			}
			if late != nil {
				late.unreachable = false
			}
			sim.advanceUntilEnded(id(0), 40*time.Second)
			state, _ := sim.leader.shard.State(id(0))
			require.Equal(t, job.Completed, state)
			require.Equal(t, 2*(c.failedRuns+1), sim.startCount)
			require.Empty(t, sim.violations)
		})
	}
}
