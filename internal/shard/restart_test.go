package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Guards against a task that starts elsewhere while an order for it is still on the way to a
// worker that has restarted: the stop that its former incarnation confirmed doesn't make the new
// one reject the order (TWICE).
func TestStopConfirmedByFormerIncarnationIsSentAgain(t *testing.T) {
	for name, restarts := range map[string]int{"one restart": 1, "two restarts": 2} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 76, 1, workerSize)
			sim.advance(time.Second)
			worker := sim.workers[0]
			inDoubt := false
			sim.onLog = func(event string, _ []any) { inDoubt = inDoubt || event == "run-in-doubt" }
			sim.lateStartShare = 1
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, 20*time.Second)}}, 20*time.Second)
			for !inDoubt && sim.now < 10*time.Second {
				sim.advance(tickLength)
			}
			require.True(t, inDoubt)
			sim.lateStartShare = 0
			for range restarts {
				sim.advance(20 * time.Millisecond) // the stop is confirmed by now, the next poll isn't answered
				worker.crash()
				worker.restart()
			}
			sim.requireAllEnded(time.Minute)
			require.Equal(t, 1, sim.startCount)
		})
	}
}

// Guards against a task that runs again because a copy of its start order had no answer and is
// carried out late, by a worker that has restarted and knows nothing of the run (TWICE, seed 321
// of TestInvariantsUnderFaults).
func TestLateCopyOfOrderIsRejectedAfterRestart(t *testing.T) {
	for name, runTime := range map[string]time.Duration{"the run has ended as done": 700 * time.Millisecond, "the run was lost with its worker": 20 * time.Second} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				sim := newSimulation(t, 80+seed, 2, workerSize)
				sim.advance(time.Second)
				sim.lateStartShare = 1
				sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, runTime)}}, runTime)
				sim.advance(100 * time.Millisecond)
				sim.lateStartShare = 0 // the order is sent again, and answered
				sim.advance(1500 * time.Millisecond)
				require.Equal(t, 1, sim.startCount)
				for _, worker := range sim.workers {
					worker.crash()
					worker.restart()
				}
				sim.advance(20 * time.Second)
				require.Empty(t, sim.violations)
			})
		}
	}
}

// Guards against a gang that starts anew while an order for its former attempt is still on the way
// to a worker that has restarted: the member was being stopped, but its order had never
// been answered (TWICE).
func TestUnansweredOrderOfStoppedGangOutlivesRestart(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before the stop is confirmed": 0, "after the stop is confirmed": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 77, 2, workerSize)
			sim.advance(time.Second)
			var inDoubt string
			sim.onLog = func(event string, keyvals []any) {
				if event == "run-in-doubt" && inDoubt == "" {
					inDoubt = keyvals[5].(string)
				}
			}
			sim.lateStartShare = 1
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{gang(2, 8, 20*time.Second)}}, 20*time.Second)
			for inDoubt == "" && sim.now < 10*time.Second {
				sim.advance(tickLength)
			}
			require.NotEmpty(t, inDoubt)
			sim.lateStartShare = 0
			sim.advance(10*time.Millisecond + delay)
			for _, worker := range sim.workers {
				if worker.id != inDoubt {
					worker.crash()
					worker.restart()
				}
			}
			sim.requireAllEnded(time.Minute)
		})
	}
}

// Guards against a task that starts elsewhere while its run goes on: the worker had restarted with a
// smaller incarnation, as its wall clock was set back, and its lease was not taken for one
// that the former incarnation's clock granted (TWICE).
func TestLeaseOfWorkerWithSmallerIncarnationEndsInTime(t *testing.T) {
	for name, change := range map[string]int64{"larger incarnation": 0, "smaller incarnation": -200} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 47, 2, workerSize)
			for i, worker := range sim.workers {
				worker.incarnation += 1000 + int64(i)
			}
			sim.advance(10*time.Second + 50*time.Millisecond) // the list is read next in 350 ms
			for _, worker := range sim.workers {
				worker.crash()
				worker.restart()
				worker.incarnation += change
			}
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(2, 1000, 15*time.Second)}}, 15*time.Second)
			for sim.startCount < 2 {
				sim.advance(tickLength)
			}
			for _, worker := range sim.workers {
				worker.unreachable = len(worker.runs) > 0
			}
			sim.requireAllEnded(time.Minute)
		})
	}
}
