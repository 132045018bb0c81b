package estimate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/estimate"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTask(i int, declared time.Duration) placement.Task {
	return placement.Task{ID: placement.TaskID{Key: workload.Key(fmt.Sprint("task-", i))}, Class: "class",
		RunTime: declared, Resources: workload.Resources{MilliCPU: 1000, MemoryMB: 1000}}
}

func run(e *estimate.Estimator, now time.Time, task placement.Task, ran time.Duration, outcome placement.Outcome) {
	e.Started(now, task)
	e.Ended(now.Add(ran), task.ID, outcome)
}

// Guards against estimates that follow the declared run time when it is wrong by
// a constant factor, missing, or wrong by a random factor of up to 5.
func TestRunTimeIsCorrected(t *testing.T) {
	for name, test := range map[string]struct {
		declare func(random *rand.Rand, actual time.Duration) time.Duration
		// maxError is the upper bound of the geometric mean of the errors, each
		// as a factor.
		maxError float64
	}{
		"five times too short": {func(_ *rand.Rand, actual time.Duration) time.Duration { return actual / 5 }, 1.15},
		"five times too long":  {func(_ *rand.Rand, actual time.Duration) time.Duration { return actual * 5 }, 1.15},
		"not declared":         {func(*rand.Rand, time.Duration) time.Duration { return 0 }, 1.6},
		"wrong by a random factor": {func(random *rand.Rand, actual time.Duration) time.Duration {
			return time.Duration(float64(actual) * math.Pow(5, 2*random.Float64()-1))
		}, 1.6},
	} {
		t.Run(name, func(t *testing.T) {
			const seed = 7
			t.Log("seed", seed)
			random := rand.New(rand.NewPCG(seed, 0))
			e, sum := estimate.New(estimate.Options{Quantile: 0.5}), 0.0
			for i := range 600 {
				actual := time.Duration(math.Exp2(2*random.Float64()) * float64(time.Second))
				task := newTask(i, test.declare(random, actual))
				if i >= 300 {
					sum += math.Abs(math.Log(float64(e.RunTime(task)) / float64(actual)))
				}
				run(e, start, task, actual, placement.Completed)
			}
			require.Less(t, math.Exp(sum/300), test.maxError)
		})
	}
}

// Guards against estimates that follow outliers, failed tasks or stopped tasks.
func TestOutliersHaveNoEffect(t *testing.T) {
	e := estimate.New(estimate.Options{})
	for i := range 200 {
		run(e, start, newTask(i, time.Second), time.Second, placement.Completed)
		if i%10 == 0 {
			run(e, start, newTask(1000+i, time.Second), time.Hour, placement.Completed)
		}
		run(e, start, newTask(2000+i, time.Second), time.Millisecond, placement.Failed)
		run(e, start, newTask(3000+i, time.Second), time.Millisecond, placement.Stopped)
	}
	require.InDelta(t, time.Second.Seconds(), e.RunTime(newTask(0, time.Second)).Seconds(), 0.2)
}

// Guards against estimates that do not follow a change of the run times, either
// after many new observations, or after a few when the old ones are much older.
func TestOldObservationsDecay(t *testing.T) {
	for name, test := range map[string]struct {
		count int
		after time.Duration
	}{"many observations": {600, 0}, "much older observations": {10, 100 * time.Hour}} {
		t.Run(name, func(t *testing.T) {
			e := estimate.New(estimate.Options{})
			for i := range 250 {
				run(e, start, newTask(i, time.Second), time.Second, placement.Completed)
			}
			for i := range test.count {
				run(e, start.Add(test.after), newTask(i, time.Second), 4*time.Second, placement.Completed)
			}
			require.InDelta(t, 4, e.RunTime(newTask(0, time.Second)).Seconds(), 0.8)
		})
	}
}

// Guards against a table that grows with the number of classes, and against
// removing a class that is in use.
func TestClassesAreBounded(t *testing.T) {
	e := estimate.New(estimate.Options{MaxClasses: 4, MaxTasks: 2})
	for i := range 100 {
		rare, frequent := newTask(i, 0), newTask(i, 0)
		rare.Class = fmt.Sprint("rare-", i)
		run(e, start, rare, time.Minute, placement.Completed)
		run(e, start, frequent, time.Second, placement.Completed)
	}
	require.Equal(t, 4, e.Classes())
	require.InDelta(t, 1, e.RunTime(newTask(0, 0)).Seconds(), 0.2)
}

// Guards against resources that are not corrected, and against corrections
// beyond the largest VM.
func TestResourcesAreCorrected(t *testing.T) {
	e := estimate.New(estimate.Options{})
	for i := range 100 {
		task := newTask(i, time.Second)
		e.Started(start, task)
		e.RecordUsage(start, task.ID, workload.Resources{MilliCPU: 300, MemoryMB: 3000}, "")
		e.Ended(start.Add(time.Second), task.ID, placement.Completed)
		// A report on a task that has ended is ignored.
		require.Empty(t, e.RecordUsage(start, task.ID, workload.Resources{MemoryMB: 1 << 20}, ""))
	}
	corrected := e.Size(newTask(0, 0), workload.Resources{MilliCPU: 16000, MemoryMB: 32000})
	require.InDelta(t, 330, corrected.MilliCPU, 70)
	require.InDelta(t, 3300, corrected.MemoryMB, 700)
	require.EqualValues(t, 2000, e.Size(newTask(0, 0), workload.Resources{MilliCPU: 16000, MemoryMB: 2000}).MemoryMB)
}

// Guards against advice to end work that must not be preempted, against advice
// after a single peak, and against the same advice after each report.
func TestAdvice(t *testing.T) {
	overMemory, overCPU := workload.Resources{MemoryMB: 1500}, workload.Resources{MilliCPU: 1500}
	for name, test := range map[string]struct {
		preemption placement.Verb
		used       workload.Resources
		want       placement.Verb
	}{
		"memory, checkpoint":    {placement.VerbCheckpoint, overMemory, placement.VerbCheckpoint},
		"memory, stop":          {placement.VerbStop, overMemory, placement.VerbStop},
		"memory, throttle":      {placement.VerbThrottle, overMemory, placement.VerbThrottle},
		"memory, not preempted": {"", overMemory, placement.VerbThrottle},
		"CPU, stop":             {placement.VerbStop, overCPU, placement.VerbThrottle},
		"within the tolerance":  {placement.VerbStop, workload.Resources{MemoryMB: 1050}, ""},
		"exactly the grant":     {placement.VerbStop, workload.Resources{MilliCPU: 1000, MemoryMB: 1000}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			e := estimate.New(estimate.Options{})
			task := newTask(0, time.Second)
			e.Started(start, task)
			require.Empty(t, e.RecordUsage(start, task.ID, test.used, test.preemption).Verb)
			require.Equal(t, test.want, e.RecordUsage(start, task.ID, test.used, test.preemption).Verb)
			require.Empty(t, e.RecordUsage(start, task.ID, test.used, test.preemption).Verb)
		})
	}
}
