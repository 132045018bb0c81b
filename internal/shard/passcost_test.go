package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Steps must not be tried on workers that the adviser hasn't allowed. Otherwise the passes
// over a backlog take the leader's processor time, the answers of the adviser and of
// workers wait, and the backlog doesn't drain (mcog-bakehouse-grown, day trouble-2).
func TestPassEvaluatesOnlyAllowedWorkers(t *testing.T) {
	const workers, jobs = 252, 300
	for name, advised := range map[string]int{"no step advised": 0, "ten steps advised": 10} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 5, workers, workerSize)
			sim.requireTickets, sim.allowedShare = true, 0.3
			tickets := 0
			sim.onLog = func(event string, keyvals []any) {
				for i := 0; i+1 < len(keyvals); i += 2 {
					if event == "advised" && keyvals[i] == "good" {
						tickets += keyvals[i+1].(int)
					}
				}
			}
			sim.advance(time.Second)
			// The tasks are too long for an advised step to end, and too many to start all.
			wide := job.Step{Count: workers, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Minute, MaxPerWorker: 1}
			sim.leader.shard.SetAdviceSlots(max(1, advised), 1)
			for i := range advised {
				sim.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{wide}}, time.Minute)
			}
			sim.advance(time.Second)
			sim.dropAdvice = true
			for i := range jobs {
				sim.submit(id(100+i), batchTerms, job.Spec{Steps: []job.Step{tasks(10, 2700, time.Minute)}}, time.Minute)
			}
			sim.advance(time.Second)
			before, ticks := sim.leader.shard.Evaluations(), 100
			sim.advance(time.Duration(ticks) * tickLength)
			// A pass evaluates the allowed workers of a step for a start, and once more for a
			// planned start.
			require.LessOrEqual(t, sim.leader.shard.Evaluations()-before, ticks*2*tickets)
			require.Equal(t, advised > 0, tickets > 0)
		})
	}
}
