package load

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Interval and threshold of the packing measurement.
const (
	packingInterval = 100 * time.Millisecond
	// minWait is the shortest wait that counts as waiting work. It leaves out
	// requests that are only in transit.
	minWait = 100 * time.Millisecond
)

// waitInterval is the time in which a request waited: from its sending to its
// start, or to its outcome if it didn't start.
type waitInterval struct {
	from, until time.Duration
	resources   workload.Resources
}

// packingOverTime reconstructs the allocation of the fleet at regular times from
// the workers' start records, and the waiting work from the records of the
// requests. It returns nil if there are no workers' records.
func packingOverTime(runStart time.Time, duration time.Duration, records []*requestRecord, workers []worker.State) []PackingPoint {
	if len(workers) == 0 {
		return nil
	}
	waits := waitIntervals(runStart, records, startsByKey(workers))
	allocations := newWorkerAllocations(runStart, duration, workers)
	points := make([]PackingPoint, 0, duration/packingInterval)
	for at := time.Duration(0); at < duration; at += packingInterval {
		point := allocations.pointAt(int(at / packingInterval))
		point.AtMS = milliseconds(at)
		// smallestSize holds the resources of the waiting request with the fewest
		// accelerators. Requests for none are not considered.
		var smallestSize *workload.Resources
		for i := range waits {
			if at < waits[i].from || at >= waits[i].until {
				continue
			}
			point.Waiting++
			size := &waits[i].resources
			if size.Accelerators > 0 && (smallestSize == nil || size.Accelerators < smallestSize.Accelerators) {
				smallestSize = size
			}
		}
		if smallestSize != nil {
			point.StrandedAccelerators = allocations.strandedAccelerators(int(at/packingInterval), *smallestSize)
		}
		points = append(points, point)
	}
	return points
}

// waitIntervals returns the waits of at least minWait.
func waitIntervals(runStart time.Time, records []*requestRecord, starts map[workload.Key][]taskStart) []waitInterval {
	var waits []waitInterval
	for _, r := range records {
		if r.outcome == NotSent || r.key == "" {
			continue
		}
		until := r.doneAt
		if taskStarts := starts[r.key]; len(taskStarts) > 0 {
			until = time.UnixMilli(taskStarts[0].StartedAtMS).Sub(runStart)
		}
		if until-r.sentAt >= minWait {
			waits = append(waits, waitInterval{r.sentAt, until, r.arrivals.Resources})
		}
	}
	return waits
}

// workerAllocations holds the allocated resources of each worker at each step. A
// step is one packingInterval.
type workerAllocations struct {
	workers  []worker.State
	capacity workload.Resources
	slots    int
	// allocated and tasks, the number of running tasks, are indexed by step, then
	// by worker.
	allocated [][]workload.Resources
	tasks     [][]int
}

func newWorkerAllocations(runStart time.Time, duration time.Duration, workers []worker.State) *workerAllocations {
	steps := int(duration/packingInterval) + 1
	a := &workerAllocations{workers: workers, allocated: make([][]workload.Resources, steps), tasks: make([][]int, steps)}
	for step := range steps {
		a.allocated[step], a.tasks[step] = make([]workload.Resources, len(workers)), make([]int, len(workers))
	}
	for i := range workers {
		a.capacity = a.capacity.Add(workers[i].Worker.Capacity)
		a.slots += workers[i].Worker.Slots
		for _, record := range workers[i].Started {
			a.addTask(i, record, runStart, steps)
		}
	}
	return a
}

// addTask adds one task to the steps in which it ran on worker i. A task without
// an end runs to the last step.
func (a *workerAllocations) addTask(i int, record worker.StartRecord, runStart time.Time, steps int) {
	from := time.UnixMilli(record.StartedAtMS).Sub(runStart)
	endStep := steps
	if record.EndedAtMS != 0 {
		endStep = firstStepFrom(time.UnixMilli(record.EndedAtMS).Sub(runStart))
	}
	for step := max(firstStepFrom(from), 0); step < min(endStep, steps); step++ {
		a.allocated[step][i] = a.allocated[step][i].Add(record.Resources)
		a.tasks[step][i]++
	}
}

// firstStepFrom returns the index of the first step at or after a time.
func firstStepFrom(at time.Duration) int { return int((at + packingInterval - 1) / packingInterval) }

// pointAt returns the allocated shares of the whole fleet at one step.
func (a *workerAllocations) pointAt(step int) PackingPoint {
	var allocated workload.Resources
	tasks := 0
	for i := range a.workers {
		allocated = allocated.Add(a.allocated[step][i])
		tasks += a.tasks[step][i]
	}
	share := func(part, whole int64) float64 { return ratio(float64(part), float64(whole)) }
	return PackingPoint{
		CPU: share(allocated.MilliCPU, a.capacity.MilliCPU), Memory: share(allocated.MemoryMB, a.capacity.MemoryMB),
		Accelerators: share(allocated.Accelerators, a.capacity.Accelerators), Slots: share(int64(tasks), int64(a.slots)),
	}
}

// strandedAccelerators counts the free accelerators on workers on which a task of
// the given size doesn't fit.
func (a *workerAllocations) strandedAccelerators(step int, size workload.Resources) int64 {
	total := int64(0)
	for i := range a.workers {
		free := a.workers[i].Worker.Capacity.Sub(a.allocated[step][i])
		if free.Accelerators > 0 && (a.tasks[step][i] >= a.workers[i].Worker.Slots || !size.Fits(free)) {
			total += free.Accelerators
		}
	}
	return total
}

// packing summarizes those points of a window at which work waited.
func packing(window Window, points []PackingPoint) Packing {
	result := Packing{Measured: len(points) > 0}
	var highestShares []float64
	sums := map[string]float64{}
	pointsInWindow, stranded := 0, int64(0)
	for _, point := range points {
		if !window.contains(time.Duration(point.AtMS * float64(time.Millisecond))) {
			continue
		}
		pointsInWindow++
		if point.Waiting == 0 {
			continue
		}
		highestShares = append(highestShares, max(point.CPU, point.Memory, point.Accelerators, point.Slots))
		sums["milli-cpu"] += point.CPU
		sums["memory-mb"] += point.Memory
		sums["accelerators"] += point.Accelerators
		sums["slots"] += point.Slots
		stranded += point.StrandedAccelerators
	}
	if len(highestShares) == 0 {
		return result
	}
	count := float64(len(highestShares))
	for _, share := range highestShares {
		result.Mean += share / count
	}
	slices.Sort(highestShares)
	result.P10 = highestShares[len(highestShares)/10]
	result.WaitingShare, result.StrandedAccelerators = count/float64(pointsInWindow), float64(stranded)/count
	for _, name := range []string{"milli-cpu", "memory-mb", "accelerators", "slots"} {
		if result.Scarcest == "" || sums[name] > sums[result.Scarcest] {
			result.Scarcest = name
		}
	}
	return result
}
