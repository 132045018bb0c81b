package benchmark

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// loadedFleet is a full fleet with a steady number of waiting tasks: 10 kinds, 20
// teams, tasks of mixed sizes, a fifth of the workers with accelerators.
type loadedFleet struct {
	engine  Engine
	now     time.Time
	running []placement.TaskID
	waiting int
	nextClass    int
	cycles   int
	// sameMix replaces a started task by one of its class, so that the mix of
	// what waits and runs does not change. Otherwise all classes arrive evenly,
	// and with few waiting the guaranteed kinds have none.
	sameMix bool
	// enqueuedByClass counts the tasks of each class of busyTask.
	enqueuedByClass [taskClasses]int
}

// taskClasses is the number of different tasks that busyTask makes.
const taskClasses = 200

// newTask returns the task with the given number. Its key is as long as a
// UUID, because the key takes part in the memory of a waiting task.
func newTask(i int, now time.Time) placement.Task {
	task := placement.Task{ID: placement.TaskID{Key: workload.Key(fmt.Sprintf("0197a000-0000-7000-8000-%012d", i))},
		Team: fmt.Sprint("team-", i%20), Kind: fmt.Sprint("kind-", i/20%10), EnqueuedAt: now, StartBy: now.Add(time.Hour),
		Resources: workload.Resources{MilliCPU: int64(500 + i%8*250), MemoryMB: int64(500 + i%4*1000)}, RunTime: time.Second}
	if i%5 == 0 {
		task.Resources.Accelerators = 1
	}
	return task
}

// enqueue adds a task of the next class in turn.
func (c *loadedFleet) enqueue() {
	c.enqueueClass(c.nextClass % taskClasses)
	c.nextClass++
}

func (c *loadedFleet) enqueueClass(class int) {
	number := class + taskClasses*c.enqueuedByClass[class]
	c.enqueuedByClass[class]++
	if rejection := c.engine.Enqueue(c.now, newTask(number, c.now)); rejection == nil {
		c.waiting++
	}
}

// classOf returns the class of a task from its key.
func classOf(id placement.TaskID) int {
	number, _ := strconv.Atoi(string(id.Key[len(id.Key)-12:]))
	return number % taskClasses
}

func (c *loadedFleet) recordStarts(decisions []placement.Decision) int {
	started := 0
	for _, d := range decisions {
		if d.Verb == placement.VerbStart {
			c.running = append(c.running, d.Task.ID)
			started++
		}
	}
	c.waiting -= started
	return started
}

func newLoadedFleet(engine Engine, workers, waiting int, sameMix bool) *loadedFleet {
	c := &loadedFleet{engine: engine, now: startTime, sameMix: sameMix}
	size := Size{Plain: workers * 4 / 5, Accelerators: workers - workers*4/5}
	for _, w := range size.workers() {
		engine.AddWorker(c.now, w, nil)
	}
	engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{{Name: "kind-0", Urgency: 9, Guaranteed: 0.2},
		{Name: "kind-1", Guaranteed: 0.2}, {Name: "kind-2", Ceiling: 0.5}, {Name: "kind-3", Weight: 5, Preemption: placement.VerbStop}}})
	for range size.slots() {
		c.enqueue()
	}
	for c.recordStarts(engine.Schedule(c.now, 1000)) > 0 {
	}
	for c.waiting < waiting {
		c.enqueue()
	}
	return c
}

// cycle ends a task chosen over the whole fleet, decides, and enqueues a task
// for each that started. It returns the number of starts and the time of the
// decision.
func (c *loadedFleet) cycle() (int, time.Duration) {
	c.cycles++
	i := c.cycles * 7919 % len(c.running)
	c.engine.TaskEnded(c.now, c.running[i], placement.Completed)
	c.running[i] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	c.now = c.now.Add(20 * time.Microsecond)
	began := processorTime()
	decisions := c.engine.Schedule(c.now, 1)
	took := processorTime() - began
	started := c.recordStarts(decisions)
	for _, id := range c.running[len(c.running)-started:] {
		if c.sameMix {
			c.enqueueClass(classOf(id))
		} else {
			c.enqueue()
		}
	}
	return started, took
}

// cost is what placements cost on a busy fleet.
type cost struct {
	perPlacement time.Duration
	p99          time.Duration
	placed       int
}

// measurementRounds is how often a cost is measured; the best round counts, because other
// processes on the machine only ever add time.
const measurementRounds = 5

// costLoad is a busy fleet of which the cost of placements is measured.
type costLoad struct {
	engine           Engine
	workers, waiting int
	sameMix          bool
}

// measureCosts measures the loads in turn, round after round, so that what
// slows the machine for a while slows them all.
func measureCosts(turns int, loads ...costLoad) []cost {
	cells := make([]*loadedFleet, len(loads))
	best := make([]cost, len(loads))
	for i, l := range loads {
		cells[i] = newLoadedFleet(l.engine, l.workers, l.waiting, l.sameMix)
		best[i].perPlacement = math.MaxInt64
	}
	for range measurementRounds {
		for i, c := range cells {
			if round := c.measure(turns); round.perPlacement < best[i].perPlacement {
				best[i] = round
			}
		}
	}
	return best
}

// measure takes some turns.
func (c *loadedFleet) measure(turns int) cost {
	runtime.GC()
	times, placed := hdrhistogram.New(1, int64(time.Minute), 3), 0
	began := processorTime()
	for range turns {
		started, took := c.cycle()
		placed += started
		_ = times.RecordValue(max(took.Nanoseconds(), 1))
	}
	took := processorTime() - began
	return cost{took / time.Duration(max(placed, 1)), time.Duration(times.ValueAtQuantile(99)), placed}
}

// bytesPerWaitingTask returns the heap that a waiting task uses, in bytes.
func bytesPerWaitingTask(engine Engine, count int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := &loadedFleet{engine: engine, now: startTime}
	for range count {
		c.enqueue()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(c)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(count)
}

// cancelCost is what a burst of cancellations costs.
type cancelCost struct {
	// burst is the time of all cancellations in a row; a placement behind all
	// of them waits so long.
	burst time.Duration
	// batch is the longest of the slices of cancelSlice cancellations with one
	// placement after each, from the begin of the batch to the placement, less
	// the usual time of a placement.
	batch time.Duration
}

// cancelBatch is the number of cancellations between two placements when the
// control thread takes its inputs in turn.
const cancelBatch = 1000

func measureCancel(engine func() Engine, workers, count int) cancelCost {
	best := cancelCost{math.MaxInt64, math.MaxInt64}
	for range measurementRounds {
		c := newLoadedFleet(engine(), workers, count+count/5, false)
		ids := c.waitingIDs(count)
		runtime.GC()
		began := processorTime()
		for _, id := range ids {
			c.engine.Cancel(id)
		}
		best.burst = min(best.burst, processorTime()-began)

		c = newLoadedFleet(engine(), workers, count+count/5, false)
		ids = c.waitingIDs(count)
		runtime.GC()
		longest := time.Duration(0)
		for from := 0; from < len(ids); from += cancelBatch {
			began := processorTime()
			for _, id := range ids[from:min(from+cancelBatch, len(ids))] {
				c.engine.Cancel(id)
			}
			canceled := processorTime() - began
			c.cycle()
			longest = max(longest, canceled)
		}
		best.batch = min(best.batch, longest)
	}
	return best
}

// waitingIDs returns the identities of the newest waiting tasks.
func (c *loadedFleet) waitingIDs(count int) []placement.TaskID {
	var ids []placement.TaskID
	running := make(map[placement.TaskID]bool, len(c.running))
	for _, id := range c.running {
		running[id] = true
	}
	for i := taskClasses*slices.Max(c.enqueuedByClass[:]) - 1; i >= 0 && len(ids) < count; i-- {
		id := newTask(i, c.now).ID
		if i/taskClasses < c.enqueuedByClass[i%taskClasses] && !running[id] {
			ids = append(ids, id)
		}
	}
	return ids
}
