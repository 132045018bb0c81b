package placement_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// busyEngine is an engine whose workers are full, with a steady number of
// waiting tasks: 10 kinds, 20 teams, tasks of mixed sizes, and accelerators on
// a fifth of the workers.
type busyEngine struct {
	engine  *placement.Engine
	now     time.Time
	running []placement.TaskID
	next    int
}

func (busy *busyEngine) enqueue(tb testing.TB) {
	i := busy.next
	busy.next++
	task := placement.Task{ID: placement.TaskID{Key: workload.Key(fmt.Sprintf("0197a000-0000-7000-8000-%012d", i))},
		Team: fmt.Sprint("team-", i%20), Kind: fmt.Sprint("kind-", i/20%10), EnqueuedAt: busy.now, StartBy: busy.now.Add(time.Hour),
		Resources: workload.Resources{MilliCPU: int64(500 + i%8*250), MemoryMB: int64(500 + i%4*1000)}, RunTime: time.Second}
	if i%5 == 0 {
		task.Resources.Accelerators = 1
	}
	if rejection := busy.engine.Enqueue(busy.now, task); rejection != nil {
		tb.Fatal(rejection.Message)
	}
}

func newBusyEngine(tb testing.TB, workers, waiting int) *busyEngine {
	busy := &busyEngine{engine: withWorkers(placement.Options{}, workers*4/5, workers-workers*4/5), now: start}
	busy.engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{{Name: "kind-0", Urgency: 9, Guaranteed: 0.2},
		{Name: "kind-1", Guaranteed: 0.2}, {Name: "kind-2", Ceiling: 0.5}, {Name: "kind-3", Weight: 5, Preemption: placement.VerbStop}}})
	for range workers*8 + waiting {
		busy.enqueue(tb)
	}
	for {
		decisions := busy.engine.Schedule(busy.now, 1000)
		busy.recordStarts(decisions)
		if len(decisions) == 0 {
			return busy
		}
	}
}

func (busy *busyEngine) recordStarts(decisions []placement.Decision) {
	for _, d := range decisions {
		if d.Verb == placement.VerbStart {
			busy.running = append(busy.running, d.Task.ID)
		}
	}
}

// replaceOne ends one running task, enqueues a new one and schedules. It
// returns the number of tasks that started.
func (busy *busyEngine) replaceOne(tb testing.TB) int {
	// The large prime spreads the tasks that end over the list.
	i := busy.next * 7919 % len(busy.running)
	busy.engine.TaskEnded(busy.now, busy.running[i], placement.Completed)
	busy.running[i] = busy.running[len(busy.running)-1]
	busy.running = busy.running[:len(busy.running)-1]
	busy.enqueue(tb)
	busy.now = busy.now.Add(20 * time.Microsecond)
	before := len(busy.running)
	busy.recordStarts(busy.engine.Schedule(busy.now, 1))
	return len(busy.running) - before
}

// BenchmarkPlacement measures the time of replaceOne. There are targets for the
// placements per second, for the growth of the time with the number of workers
// and of tasks, and for the p99 of one decision.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{48, 10_000}, {650, 10_000}, {650, 1_000}, {650, 100_000}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			busy := newBusyEngine(b, size.workers, size.waiting)
			times := hdrhistogram.New(1, int64(time.Second), 3)
			placed := 0
			runtime.GC()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				began := time.Now()
				placed += busy.replaceOne(b)
				_ = times.RecordValue(time.Since(began).Nanoseconds())
			}
			b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(placed, 1)), "ns/placement")
			b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-ns")
			b.ReportMetric(float64(times.Max()), "max-ns")
		})
	}
}

// BenchmarkGang measures two calls of Schedule for a gang that needs 435 of 872
// accelerators: the one that plans its start while all workers are full, and
// the one that starts it.
func BenchmarkGang(b *testing.B) {
	var planDuration, startDuration time.Duration
	for range b.N {
		engine := withWorkers(placement.Options{}, 541, 109)
		small := newTask("", "small")
		small.Resources.Accelerators = 1
		enqueueMany(b, engine, start, 872, "small", small)
		filling := engine.Schedule(start, 1000)
		gang := small
		gang.ID.Key, gang.Kind = "gang", "gang"
		enqueueGang(b, engine, start, 435, gang)
		began := time.Now()
		engine.Schedule(start, 1)
		planDuration += time.Since(began)
		for _, d := range filling {
			engine.TaskEnded(start, d.Task.ID, placement.Completed)
		}
		began = time.Now()
		if len(engine.Schedule(start, 1)) != 435 {
			b.Fatal("the gang did not start")
		}
		startDuration += time.Since(began)
	}
	b.ReportMetric(float64(planDuration.Nanoseconds())/float64(b.N), "plan-ns")
	b.ReportMetric(float64(startDuration.Nanoseconds())/float64(b.N), "start-ns")
}

// BenchmarkCancel measures a cancellation, with the enqueueing of its task,
// among about 90,000 waiting tasks.
func BenchmarkCancel(b *testing.B) {
	busy := newBusyEngine(b, 48, 90_000)
	b.ResetTimer()
	for range b.N {
		busy.enqueue(b)
		busy.engine.Cancel(placement.TaskID{Key: workload.Key(fmt.Sprintf("0197a000-0000-7000-8000-%012d", busy.next-1))})
	}
}

// BenchmarkWaitingMemory measures the heap memory of a waiting task.
func BenchmarkWaitingMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		busy := &busyEngine{engine: placement.New(placement.Options{}), now: start}
		for range 100_000 {
			busy.enqueue(b)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/100_000, "B/waiting-task")
		runtime.KeepAlive(busy)
	}
}
