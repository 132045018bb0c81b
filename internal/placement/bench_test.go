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

// busyCell is a full fleet with a steady number of waiting tasks: 10 kinds,
// 20 teams, tasks of mixed sizes, a fifth of the workers with accelerators.
type busyCell struct {
	engine  *placement.Engine
	now     time.Time
	running []placement.TaskID
	next    int
}

func (c *busyCell) enqueue(tb testing.TB) {
	i := c.next
	c.next++
	task := placement.Task{ID: placement.TaskID{Key: workload.Key(fmt.Sprintf("0197a000-0000-7000-8000-%012d", i))},
		Team: fmt.Sprint("team-", i%20), Kind: fmt.Sprint("kind-", i/20%10), EnqueuedAt: c.now, StartBy: c.now.Add(time.Hour),
		Resources: workload.Resources{MilliCPU: int64(500 + i%8*250), MemoryMB: int64(500 + i%4*1000)}, RunTime: time.Second}
	if i%5 == 0 {
		task.Resources.Accelerators = 1
	}
	if rejection := c.engine.Enqueue(c.now, task); rejection != nil {
		tb.Fatal(rejection.Message)
	}
}

func newBusyCell(tb testing.TB, workers, waiting int) *busyCell {
	c := &busyCell{engine: withWorkers(placement.Options{}, workers*4/5, workers-workers*4/5), now: start}
	c.engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{{Name: "kind-0", Urgency: 9, Guaranteed: 0.2},
		{Name: "kind-1", Guaranteed: 0.2}, {Name: "kind-2", Ceiling: 0.5}, {Name: "kind-3", Weight: 5, Preemption: placement.VerbStop}}})
	for range workers*8 + waiting {
		c.enqueue(tb)
	}
	for {
		decisions := c.engine.Schedule(c.now, 1000)
		c.note(decisions)
		if len(decisions) == 0 {
			return c
		}
	}
}

func (c *busyCell) note(decisions []placement.Decision) {
	for _, d := range decisions {
		if d.Verb == placement.VerbStart {
			c.running = append(c.running, d.Task.ID)
		}
	}
}

// turn ends one task, chosen over the whole fleet, enqueues one and decides.
func (c *busyCell) turn(tb testing.TB) int {
	i := c.next * 7919 % len(c.running)
	c.engine.TaskEnded(c.now, c.running[i], placement.Completed)
	c.running[i] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	c.enqueue(tb)
	c.now = c.now.Add(20 * time.Microsecond)
	before := len(c.running)
	c.note(c.engine.Schedule(c.now, 1))
	return len(c.running) - before
}

// BenchmarkPlacement measures a whole turn (end, enqueue, decide) for the
// targets of placements per second, growth, and p99 of one decision.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{48, 10_000}, {650, 10_000}, {650, 1_000}, {650, 100_000}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			c := newBusyCell(b, size.workers, size.waiting)
			times := hdrhistogram.New(1, int64(time.Second), 3)
			placed := 0
			runtime.GC()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				began := time.Now()
				placed += c.turn(b)
				_ = times.RecordValue(time.Since(began).Nanoseconds())
			}
			b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(placed, 1)), "ns/placement")
			b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-ns")
			b.ReportMetric(float64(times.Max()), "max-ns")
		})
	}
}

// BenchmarkGang measures the plan and the start of a gang of half of the 870
// accelerators on a full fleet, each as one call.
func BenchmarkGang(b *testing.B) {
	var planned, started time.Duration
	for range b.N {
		engine := withWorkers(placement.Options{}, 541, 109)
		small := newTask("", "small")
		small.Resources.Accelerators = 1
		enqueueMany(b, engine, start, 872, "small", small)
		full := engine.Schedule(start, 1000)
		gang := small
		gang.ID.Key, gang.Kind = "gang", "gang"
		enqueueGang(b, engine, start, 435, gang)
		began := time.Now()
		engine.Schedule(start, 1)
		planned += time.Since(began)
		for _, d := range full {
			engine.TaskEnded(start, d.Task.ID, placement.Completed)
		}
		began = time.Now()
		if len(engine.Schedule(start, 1)) != 435 {
			b.Fatal("the gang did not start")
		}
		started += time.Since(began)
	}
	b.ReportMetric(float64(planned.Nanoseconds())/float64(b.N), "plan-ns")
	b.ReportMetric(float64(started.Nanoseconds())/float64(b.N), "start-ns")
}

// BenchmarkCancel measures one cancellation among 100,000 waiting tasks.
func BenchmarkCancel(b *testing.B) {
	c := newBusyCell(b, 48, 90_000)
	b.ResetTimer()
	for range b.N {
		c.enqueue(b)
		c.engine.Cancel(placement.TaskID{Key: workload.Key(fmt.Sprintf("0197a000-0000-7000-8000-%012d", c.next-1))})
	}
}

// BenchmarkWaitingMemory measures the heap that a waiting task uses.
func BenchmarkWaitingMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := &busyCell{engine: placement.New(placement.Options{}), now: start}
		for range 100_000 {
			c.enqueue(b)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/100_000, "B/waiting-task")
		runtime.KeepAlive(c)
	}
}
