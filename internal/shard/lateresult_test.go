package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// Guards against a job that ends as failed because a failed run of a task, or of a gang, that is done
// is read late: its worker was cut off until another run had ended as done.
func TestLateFailureOfDoneTaskDoesNotFailJob(t *testing.T) {
	for name, first := range map[string]job.Step{"task": tasks(1, 1000, 2*time.Second), "gang": gang(2, 8, 2*time.Second)} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 83, 4, workerSize)
			sim.advance(time.Second)
			second := tasks(1, 1000, 20*time.Second)
			second.After = []int{0}
			terms := batchTerms
			terms.MaxAttempts = 1
			submitted := sim.submit(id(0), terms, job.Spec{Steps: []job.Step{first, second}}, 2*time.Second, 20*time.Second)
			submitted.alwaysFails = true
			var cutOff []*modelWorker
			var failures []string
			sim.onLog = func(event string, keyvals []any) {
				if event == "run-ended" && keyvals[7] == shard.EndFailed {
					failures = append(failures, keyvals[1].(string))
				}
			}
			sim.onStart = func(start shard.Start) {
				if len(cutOff) == first.Count {
					return
				}
				worker := sim.worker(start.ID)
				cutOff = append(cutOff, worker)
				submitted.alwaysFails = len(cutOff) < first.Count // of the starts to come
				sim.schedule(100*time.Millisecond, nil, func(time.Time) { worker.unreachable = true })
			}
			for sim.startCount < 2*first.Count+1 && sim.now < 20*time.Second {
				sim.advance(tickLength)
			}
			require.Equal(t, 2*first.Count+1, sim.startCount, "the second step runs")
			for _, worker := range cutOff {
				worker.unreachable = false
			}
			sim.advance(3 * time.Second)
			require.Len(t, failures, first.Count, "the ends of the failed run are read")
			state, _ := sim.leader.shard.State(id(0))
			require.Equal(t, job.Running, state)
			sim.advanceUntilEnded(id(0), 30*time.Second)
			state, _ = sim.leader.shard.State(id(0))
			require.Equal(t, job.Completed, state)
			require.Empty(t, sim.violations)
			for _, worker := range cutOff {
				require.Empty(t, worker.results, "its results are acknowledged")
			}
		})
	}
}
