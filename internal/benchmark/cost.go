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

// loadedFleet is a fully allocated fleet with a constant number of waiting tasks
// of 10 kinds, 20 teams and mixed sizes. A fifth of the workers have accelerators.
type loadedFleet struct {
	engine    Engine
	now       time.Time
	running   []placement.TaskID
	waiting   int
	nextClass int
	cycles    int
	// sameMix replaces each started task by one of the same class, so that the mix
	// of waiting and running tasks is constant. Otherwise all classes arrive at
	// the same rate, and if few tasks wait, none is of a guaranteed kind.
	sameMix bool
	// enqueuedByClass counts the tasks enqueued of each class of newTask.
	enqueuedByClass [taskClasses]int
}

// taskClasses is the number of classes of newTask. Tasks whose numbers are equal
// modulo taskClasses differ only in their keys and times.
const taskClasses = 200

// newTask returns the task with the given number. Its key is as long as a UUID,
// because the key counts towards the memory of a waiting task.
func newTask(i int, now time.Time) placement.Task {
	task := placement.Task{ID: placement.TaskID{Key: workload.Key(fmt.Sprintf("0197a000-0000-7000-8000-%012d", i))},
		Team: fmt.Sprint("team-", i%20), Kind: fmt.Sprint("kind-", i/20%10), EnqueuedAt: now, StartBy: now.Add(time.Hour),
		Resources: workload.Resources{MilliCPU: int64(500 + i%8*250), MemoryMB: int64(500 + i%4*1000)}, RunTime: time.Second}
	if i%5 == 0 {
		task.Resources.Accelerators = 1
	}
	return task
}

// enqueue enqueues a task, going through the classes in turn.
func (f *loadedFleet) enqueue() {
	f.enqueueClass(f.nextClass % taskClasses)
	f.nextClass++
}

func (f *loadedFleet) enqueueClass(class int) {
	number := class + taskClasses*f.enqueuedByClass[class]
	f.enqueuedByClass[class]++
	if rejection := f.engine.Enqueue(f.now, newTask(number, f.now)); rejection == nil {
		f.waiting++
	}
}

// classOf returns the class of a task from its key.
func classOf(id placement.TaskID) int {
	number, _ := strconv.Atoi(string(id.Key[len(id.Key)-12:]))
	return number % taskClasses
}

// recordStarts counts the started tasks as running and returns their number.
func (f *loadedFleet) recordStarts(decisions []placement.Decision) int {
	started := 0
	for _, d := range decisions {
		if d.Verb == placement.VerbStart {
			f.running = append(f.running, d.Task.ID)
			started++
		}
	}
	f.waiting -= started
	return started
}

func newLoadedFleet(engine Engine, workers, waiting int, sameMix bool) *loadedFleet {
	f := &loadedFleet{engine: engine, now: startTime, sameMix: sameMix}
	size := Size{Plain: workers * 4 / 5, Accelerators: workers - workers*4/5}
	for _, w := range size.workers() {
		engine.AddWorker(f.now, w, nil)
	}
	engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{{Name: "kind-0", Urgency: 9, Guaranteed: 0.2},
		{Name: "kind-1", Guaranteed: 0.2}, {Name: "kind-2", Ceiling: 0.5}, {Name: "kind-3", Weight: 5, Preemption: placement.VerbStop}}})
	for range size.slots() {
		f.enqueue()
	}
	for f.recordStarts(engine.Schedule(f.now, 1000)) > 0 {
	}
	for f.waiting < waiting {
		f.enqueue()
	}
	return f
}

// cycle ends one running task, calls Schedule with limit 1, and enqueues a task for
// each that started. The ended tasks are spread over the fleet. It returns the
// number of starts and the processor time of the call.
func (f *loadedFleet) cycle() (int, time.Duration) {
	f.cycles++
	i := f.cycles * 7919 % len(f.running)
	f.engine.TaskEnded(f.now, f.running[i], placement.Completed)
	f.running[i] = f.running[len(f.running)-1]
	f.running = f.running[:len(f.running)-1]
	f.now = f.now.Add(20 * time.Microsecond)
	began := processorTime()
	decisions := f.engine.Schedule(f.now, 1)
	took := processorTime() - began
	started := f.recordStarts(decisions)
	for _, id := range f.running[len(f.running)-started:] {
		if f.sameMix {
			f.enqueueClass(classOf(id))
		} else {
			f.enqueue()
		}
	}
	return started, took
}

// cost is the processor time of placements on a loaded fleet.
type cost struct {
	// perPlacement is the time of all cycles divided by the tasks placed; p99 is that
	// of one call of Schedule.
	perPlacement time.Duration
	p99          time.Duration
	placed       int
}

// measurementRounds is the number of rounds in which a cost is measured. The fastest
// round counts, because other processes on the machine only add time.
const measurementRounds = 5

// costLoad describes a loaded fleet whose cost of placements is measured.
type costLoad struct {
	engine           Engine
	workers, waiting int
	sameMix          bool
}

// measureCosts measures every load once in each round, so that a temporary slowdown
// of the machine affects all of them.
func measureCosts(cycles int, loads ...costLoad) []cost {
	fleets := make([]*loadedFleet, len(loads))
	best := make([]cost, len(loads))
	for i, l := range loads {
		fleets[i] = newLoadedFleet(l.engine, l.workers, l.waiting, l.sameMix)
		best[i].perPlacement = math.MaxInt64
	}
	for range measurementRounds {
		for i, f := range fleets {
			if round := f.measure(cycles); round.perPlacement < best[i].perPlacement {
				best[i] = round
			}
		}
	}
	return best
}

// measure runs the given number of cycles.
func (f *loadedFleet) measure(cycles int) cost {
	runtime.GC()
	times, placed := hdrhistogram.New(1, int64(time.Minute), 3), 0
	began := processorTime()
	for range cycles {
		started, took := f.cycle()
		placed += started
		_ = times.RecordValue(max(took.Nanoseconds(), 1))
	}
	took := processorTime() - began
	return cost{took / time.Duration(max(placed, 1)), time.Duration(times.ValueAtQuantile(99)), placed}
}

// bytesPerWaitingTask returns the mean heap size of a waiting task in bytes.
func bytesPerWaitingTask(engine Engine, count int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := &loadedFleet{engine: engine, now: startTime}
	for range count {
		f.enqueue()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(f)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(count)
}

// cancelCost is the processor time of many cancellations.
type cancelCost struct {
	// burst is the time of all cancellations in a row, which is how long a
	// placement after them is delayed.
	burst time.Duration
	// batch is the longest time of cancelBatch cancellations in a row, with one
	// placement after each batch. It excludes the placement.
	batch time.Duration
}

// cancelBatch is the number of cancellations between two placements when the control
// thread alternates between its inputs.
const cancelBatch = 1000

func measureCancel(newEngine func() Engine, workers, count int) cancelCost {
	best := cancelCost{math.MaxInt64, math.MaxInt64}
	for range measurementRounds {
		f := newLoadedFleet(newEngine(), workers, count+count/5, false)
		ids := f.waitingIDs(count)
		runtime.GC()
		began := processorTime()
		for _, id := range ids {
			f.engine.Cancel(id)
		}
		best.burst = min(best.burst, processorTime()-began)

		f = newLoadedFleet(newEngine(), workers, count+count/5, false)
		ids = f.waitingIDs(count)
		runtime.GC()
		longest := time.Duration(0)
		for from := 0; from < len(ids); from += cancelBatch {
			began := processorTime()
			for _, id := range ids[from:min(from+cancelBatch, len(ids))] {
				f.engine.Cancel(id)
			}
			took := processorTime() - began
			f.cycle()
			longest = max(longest, took)
		}
		best.batch = min(best.batch, longest)
	}
	return best
}

// waitingIDs returns the IDs of up to count waiting tasks, newest first.
func (f *loadedFleet) waitingIDs(count int) []placement.TaskID {
	var ids []placement.TaskID
	running := make(map[placement.TaskID]bool, len(f.running))
	for _, id := range f.running {
		running[id] = true
	}
	for i := taskClasses*slices.Max(f.enqueuedByClass[:]) - 1; i >= 0 && len(ids) < count; i-- {
		id := newTask(i, f.now).ID
		if i/taskClasses < f.enqueuedByClass[i%taskClasses] && !running[id] {
			ids = append(ids, id)
		}
	}
	return ids
}
