package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
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
