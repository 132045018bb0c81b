package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Pattern: gangs queue for a long time on queues whose starts need tickets,
// and the adviser takes one call at a time from each node.
func TestWaitingGangsAskTheAdviserOnlyInTime(t *testing.T) {
	w := newWorld(t, 7, 4, workerSize)
	w.advised = true
	w.goodShare = 0.9
	w.run(time.Second)
	terms := job.Terms{Queue: "gangs", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond}
	const jobs = 24
	for i := range jobs {
		w.submit(id(i), terms, job.Spec{Steps: []job.Step{gang(2, 8, 3*time.Second)}}, 3*time.Second)
	}
	w.requireWhole(2 * time.Minute)
	// One call shows where a gang may run, one renews its tickets when its
	// room comes free; run times that are told wrong cost one more.
	require.LessOrEqual(t, w.calls, 3*jobs)
}

// Pattern: the workers that the adviser allowed at first have as many tasks of
// a step as they may, and some of its tasks are left.
func TestSpreadStepAsksAboutMoreWorkers(t *testing.T) {
	w := newWorld(t, 17, 80, workerSize)
	w.advised = true
	w.goodShare = 0.3
	w.run(time.Second)
	allowed := 0
	for _, worker := range w.workers {
		if w.mayRun(id(0)+".0.0", worker.id) {
			allowed++
		}
	}
	spread := job.Step{Count: allowed, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: 500 * time.Millisecond, LongRunning: true, MaxPerWorker: 1}
	for _, worker := range w.workers[40:] {
		worker.listed = false
	}
	w.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{spread}}, time.Hour)
	w.run(6 * time.Second)
	for _, worker := range w.workers[40:] {
		worker.listed = true
	}
	w.run(3 * time.Second)
	_, running := w.holder.shard.Jobs()
	require.Equal(t, spread.Count, running)
}

// Pattern: a step wants more workers of their own than the adviser allows in its
// shard, and the service has others in another shard (mcog-bakehouse-grown, mix,
// seed 945390005485: 26 tasks, 24 of 124 workers allowed). It runs whole if its
// shard has all workers of the service; if not, the log says what it lacks.
func TestWideStepNeedsAWholeService(t *testing.T) {
	const service, width = 252, 60
	for name, c := range map[string]struct {
		workers int
		whole   bool
	}{
		"one shard":   {service, true},
		"half of two": {service / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 21, c.workers, workerSize)
			w.advised, w.goodShare = true, 0.3
			causes := map[any]bool{}
			w.onLog = func(event string, keyvals []any) {
				for i := 0; i+1 < len(keyvals); i += 2 {
					if event == "step-waiting" && keyvals[i] == "cause" {
						causes[keyvals[i+1]] = true
					}
				}
			}
			w.run(time.Second)
			wide := job.Step{Count: width, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: 500 * time.Millisecond, LongRunning: true, MaxPerWorker: 1}
			w.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{wide}}, time.Hour)
			w.run(15 * time.Second)
			_, running := w.holder.shard.Jobs()
			require.Equal(t, c.whole, running == width, "%d of %d tasks run", running, width)
			require.Equal(t, !c.whole, causes["all-allowed-taken"], "%v", causes)
		})
	}
}
