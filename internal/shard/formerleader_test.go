package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// splitFromSuccessor replaces a leader that reaches neither the store nor its successor. Of the
// workers with runs only the successor reaches the first half, and only the former leader the
// second half.
func (sim *simulation) splitFromSuccessor() (former *instance) {
	former = sim.leader
	former.storeUnreachable = true
	sim.replaceLeader()
	for i, worker := range sim.workers {
		unreached := former
		if i >= len(sim.workers)/2 {
			unreached = sim.leader
		}
		worker.cutOff = map[*instance]bool{unreached: true}
	}
	return former
}

// Guards against a former leader that takes leases for over that its successor has renewed, and
// starts their tasks on workers that its successor doesn't reach (issue 36, TWICE).
func TestFormerLeaderKeepsRunsWhoseLeasesItsSuccessorRenews(t *testing.T) {
	for name, c := range map[string]struct {
		runTime time.Duration // of the tasks
		spec    func(step *job.Step)
	}{
		"the tasks run on":                {time.Minute, func(*job.Step) {}},
		"the tasks end as done meanwhile": {5 * time.Second, func(*job.Step) {}},
		"the tasks last":                  {time.Hour, func(step *job.Step) { step.LongRunning = true }},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 60, 4, workerSize)
			sim.crashesUnknown = true
			sim.advance(time.Second)
			step := tasks(8, 3000, c.runTime)
			c.spec(&step)
			sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{step}}, c.runTime)
			sim.advance(500 * time.Millisecond)
			require.Equal(t, 8, sim.startCount)
			require.NotEmpty(t, append(sim.workers[0].runs, sim.workers[1].runs...))
			former := sim.splitFromSuccessor()
			sim.advance(8 * time.Second) // the lease lasts up to 6.4 s, the former leader acts for 10 s
			require.False(t, former.dead, "the former leader still acts")
			require.Empty(t, sim.violations)
			sim.advance(12 * time.Second)
			require.Empty(t, sim.violations)
		})
	}
}

// Guards against a new leader that takes itself for settled although its successor renews the
// leases on a worker that it hasn't read (issue 36, TWICE).
func TestUnreadWorkerOfFormerLeaderIsNotTakenForIdle(t *testing.T) {
	sim := newSimulation(t, 61, 2, workerSize)
	sim.advance(time.Second)
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 6000, time.Minute)}}, time.Minute)
	sim.advance(500 * time.Millisecond)
	running, idle := sim.workers[0], sim.workers[1]
	if len(running.runs) == 0 {
		running, idle = idle, running
	}
	require.Len(t, running.runs, 1)
	sim.leader.dead = true
	sim.replaceLeader() // it waits for the leases of a leader that has crashed
	second := sim.leader
	running.cutOff = map[*instance]bool{second: true}
	sim.advance(500 * time.Millisecond)
	second.storeUnreachable = true
	sim.replaceLeader()
	idle.cutOff = map[*instance]bool{sim.leader: true}
	sim.advance(9 * time.Second)
	require.False(t, second.dead, "the former leader still acts")
	require.Empty(t, sim.violations)
}

// Guards against leases that are never taken for over: a leader that is confirmed must restart
// the tasks of a worker that it lost.
func TestConfirmedLeaderRestartsTasksOfLostWorker(t *testing.T) {
	for name, outage := range map[string]time.Duration{"the store works": 0, "the store fails meanwhile": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 62, 3, workerSize)
			sim.advance(time.Second)
			sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 6000, time.Minute)}}, time.Minute)
			sim.advance(500 * time.Millisecond)
			for _, worker := range sim.workers {
				worker.unreachable = len(worker.runs) > 0
			}
			sim.storeDown = outage > 0
			sim.advance(outage)
			require.Equal(t, 1, sim.startCount)
			sim.storeDown = false
			sim.advance(max(0, 7*time.Second-outage))
			sim.advance(500 * time.Millisecond)
			require.Equal(t, 2, sim.startCount)
			require.Empty(t, sim.violations)
		})
	}
}
