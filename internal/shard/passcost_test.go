package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
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

// Steps whose tickets have expired must not be tried in each pass once more urgent steps
// have all requests for tickets and all plans: with hundreds of such steps the passes take
// the leader's processor time (mcog-bakehouse-grown, day trouble-2).
func TestPassSkipsStepsThatCanOnlyWait(t *testing.T) {
	const workers, jobs = 60, 500
	sim := newSimulation(t, 6, workers, workerSize)
	sim.requireTickets, sim.allowedShares = true, map[string]float64{"batch": 0.3, "spread": 1}
	mostTickets := 0
	sim.onLog = func(event string, keyvals []any) {
		if event == "advised" && slices.Contains(keyvals, any("batch")) {
			mostTickets = max(mostTickets, keyvals[slices.Index(keyvals, any("good"))+1].(int))
		}
	}
	sim.advance(time.Second)
	sim.leader.shard.SetAdviceSlots(2*jobs, 2*jobs)
	neverLate := batchTerms
	neverLate.Stretch = 1000 // so that no job is refused for lack of capacity
	spread := neverLate
	spread.Queue = "spread"
	onEachWorker := func(number, milliCPU int, runTime time.Duration) {
		step := tasks(workers, milliCPU, runTime)
		step.MaxPerWorker = 1
		sim.submit(id(number), spread, job.Spec{Steps: []job.Step{step}}, runTime)
	}
	onEachWorker(0, 1000, time.Hour)
	onEachWorker(1, 14000, 4*time.Second)
	sim.advance(time.Second)
	for i := range jobs {
		demand := 2000 // there is room for it when the tasks of 4 s have ended
		if i < jobs/10 {
			demand = workerSize.MilliCPU // there is never room for it
		}
		sim.submit(id(10+i), neverLate, job.Spec{Steps: []job.Step{tasks(1, demand, time.Second)}}, time.Second)
	}
	sim.advance(time.Second)
	sim.dropAdvice = true
	sim.advance(2 * ticketLifetime)
	before := sim.leader.shard.Evaluations()
	sim.advance(time.Second)
	// A pass evaluates the workers of a step for a start, and once more for a planned start.
	passes := int(time.Second / shard.BusyPassInterval)
	require.LessOrEqual(t, sim.leader.shard.Evaluations()-before, passes*2*shard.MaxTriedWithoutTicket*mostTickets)
	require.Positive(t, mostTickets)
	require.Empty(t, sim.violations)
}

// A leader ticks after each group of events, up to 2,000 times a second. It must not check
// all runs each time: that takes a fifth of the processor time of a leader of 252 workers,
// which then lacks it in a burst (mcog-bakehouse-grown, day trouble-2).
func TestFrequentTicksCheckRunsAtIntervals(t *testing.T) {
	sim := newSimulation(t, 7, 4, workerSize)
	sim.advance(time.Second)
	before := sim.leader.shard.RunChecks()
	for range 1000 {
		sim.now += time.Millisecond
		sim.leader.shard.Tick(sim.time())
	}
	require.LessOrEqual(t, sim.leader.shard.RunChecks()-before, int(time.Second/shard.RunCheckInterval))
}
