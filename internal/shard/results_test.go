package shard_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// A run must not count as over because its worker, with many unacknowledged results, doesn't
// list its result yet. Tasks ran twice after an outage of the store (review/1), and would
// after a change of leader.
func TestRunsWithUnlistedResultsAreNotRepeated(t *testing.T) {
	const taskCount = 60
	cases := map[string]func(sim *simulation){
		"store down": func(*simulation) {},
		"leader replaced": func(sim *simulation) {
			sim.leader.dead = true
			sim.replaceLeader()
		},
		"worker unread by the next leader for a time": func(sim *simulation) {
			sim.leader.dead = true
			sim.workers[0].unreachable = true
			sim.replaceLeader()
			sim.schedule(time.Second, nil, func(time.Time) { sim.workers[0].unreachable = false })
		},
	}
	for name, disrupt := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 43, 2, workerSize)
			sim.maxListedResults = 5
			sim.advance(time.Second)
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(taskCount, 500, 900*time.Millisecond)}}, 900*time.Millisecond)
			sim.advance(500 * time.Millisecond)
			require.Equal(t, taskCount, sim.startCount)
			sim.storeDown = true
			sim.advance(2 * time.Second)
			disrupt(sim)
			sim.advance(500 * time.Millisecond)
			sim.storeDown = false
			sim.requireAllEnded(time.Minute)
			require.Equal(t, taskCount, sim.startCount, "no task ran twice")
		})
	}
}

// A run whose result isn't listed yet reports no progress, and must not count as stalled:
// its worker would be quarantined.
func TestRunsWithUnlistedResultsAreNotStalled(t *testing.T) {
	sim := newSimulation(t, 44, 1, workerSize)
	sim.maxListedResults = 2
	stalled := 0
	sim.onLog = func(event string, _ []any) {
		if event == "run-stalled" {
			stalled++
		}
	}
	sim.advance(time.Second)
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(8, 500, 600*time.Millisecond)}}, 600*time.Millisecond)
	sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 500, 20*time.Second)}}, 20*time.Second)
	sim.advance(500 * time.Millisecond)
	sim.storeDown = true
	sim.advance(8 * time.Second)
	sim.storeDown = false
	sim.requireAllEnded(time.Minute)
	require.Zero(t, stalled)
	require.Equal(t, 9, sim.startCount)
}

// Guards the rules of TestInvariantsUnderFaults with workers that list only a few of their
// results.
func TestInvariantsWithIncompleteReports(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			sim := simulateFaults(t, uint64(seed), 1+seed%3)
			sim.requireAllEnded(2 * time.Minute)
		})
	}
}
