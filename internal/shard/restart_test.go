package shard_test

import (
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
