package shard_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
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
			sim := simulateFaults(t, uint64(seed), func(sim *simulation) { sim.maxListedResults = 1 + seed%3 })
			sim.requireAllEnded(2 * time.Minute)
		})
	}
}

// A result must not be acknowledged before its effect is stored, also if a batch leaves its
// job out. Done tasks ran again after a kill of the leader (review/3).
func TestResultsOfLeftOutJobsOutliveTheLeader(t *testing.T) {
	cases := map[string]struct {
		fails         bool
		startsPerTask int
	}{
		"done":   {startsPerTask: 1},
		"failed": {fails: true, startsPerTask: batchTerms.MaxAttempts},
	}
	const jobs, tasksPerJob = 10, 3
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for batches := range 8 { // stored before the leader is killed
				sim := newSimulation(t, 45, 2, workerSize)
				sim.limitBatches(1)
				sim.advance(time.Second)
				starts := map[string]int{}
				sim.onStart = func(start shard.Start) { starts[start.Task]++ }
				for i := range jobs {
					// Results of other jobs come between those of the two steps.
					spec := job.Spec{Steps: []job.Step{tasks(2, 1000, time.Second), tasks(1, 1000, time.Second)}}
					submitted := sim.submit(id(i), batchTerms, spec, time.Second, 1100*time.Millisecond)
					submitted.alwaysFails = test.fails
				}
				sim.advance(900 * time.Millisecond) // the acceptance of each job takes a batch
				for stored := sim.batchCount; sim.batchCount <= stored+batches; {
					sim.advance(tickLength)
				}
				sim.advance(3 * tickLength) // results are acknowledged
				sim.leader.dead = true
				sim.replaceLeader()
				sim.requireAllEnded(time.Minute)
				require.Len(t, starts, jobs*tasksPerJob)
				for task, count := range starts {
					require.LessOrEqual(t, count, test.startsPerTask, "%s after %d batches", task, batches)
				}
				for i := range jobs {
					most := 0
					for task, count := range starts {
						if strings.HasPrefix(task, id(i)) {
							most = max(most, count)
						}
					}
					require.Equal(t, test.startsPerTask, most, "%s after %d batches", id(i), batches)
				}
			}
		})
	}
}

// Guards the rules of TestInvariantsUnderFaults with batches that hold few jobs.
func TestInvariantsWithSmallBatches(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			sim := simulateFaults(t, uint64(seed), func(sim *simulation) { sim.limitBatches(1 + 100*(seed%3)) })
			sim.requireAllEnded(2 * time.Minute)
		})
	}
}

// Guards against a failed run that counts twice, and so fails its job, because its worker was
// unlisted for some seconds before the acknowledgement of its result arrived.
func TestResultOfUnlistedWorkerIsCountedOnce(t *testing.T) {
	for name, unlistedFor := range map[string]time.Duration{"a moment": 0, "longer than its last lease": 10 * time.Second, "20 s": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 45, 2, workerSize)
			sim.workers[0].failsTasks, sim.workers[1].failsTasks = true, true
			sim.advance(time.Second)
			sim.onLog = func(event string, keyvals []any) {
				if event != "run-ended" {
					return
				}
				sim.onLog = nil
				failed := sim.worker(keyvals[5].(string))
				failed.unreachable, failed.listed = true, unlistedFor == 0
				sim.workers[0].failsTasks, sim.workers[1].failsTasks = false, false
				sim.schedule(max(unlistedFor, time.Second), nil, func(time.Time) { failed.unreachable, failed.listed = false, true })
			}
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, 30*time.Second)}}, 30*time.Second)
			sim.advance(time.Second)
			sim.requireAllEnded(time.Minute)
			state, _ := sim.leader.shard.State(id(0))
			require.Equal(t, job.Completed, state)
			require.Equal(t, 2, sim.startCount)
			for _, worker := range sim.workers {
				require.Empty(t, worker.results, "the acknowledgement is sent again")
			}
		})
	}
}
