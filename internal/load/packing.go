package load

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Times of the measure of packing.
const (
	packingInterval = 100 * time.Millisecond
	// minWait is the shortest wait of a request that counts as waiting work,
	// so that requests that are only under way don't count.
	minWait = 100 * time.Millisecond
)

// waitInterval is a request that waited, from its sending to its start.
type waitInterval struct {
	from, until time.Duration
	resources   workload.Resources
}

// packingOverTime reconstructs the fleet's packingOverTime at regular times from the
// workers' records, and the waiting work from the callers' records.
func packingOverTime(began time.Time, duration time.Duration, records []*requestRecord, workers []worker.State) []PackingPoint {
	if len(workers) == 0 {
		return nil
	}
	waits := waitIntervals(began, records, startsByKey(workers))
	use := newWorkerAllocations(began, duration, workers)
	points := make([]PackingPoint, 0, duration/packingInterval)
	for at := time.Duration(0); at < duration; at += packingInterval {
		point := use.at(int(at / packingInterval))
		point.AtMS = milliseconds(at)
		var smallest *workload.Resources
		for i := range waits {
			if at < waits[i].from || at >= waits[i].until {
				continue
			}
			point.Waiting++
			need := &waits[i].resources
			if need.Accelerators > 0 && (smallest == nil || need.Accelerators < smallest.Accelerators) {
				smallest = need
			}
		}
		if smallest != nil {
			point.StrandedAccelerators = use.stranded(int(at/packingInterval), *smallest)
		}
		points = append(points, point)
	}
	return points
}

func waitIntervals(began time.Time, records []*requestRecord, starts map[workload.Key][]taskStart) []waitInterval {
	var waits []waitInterval
	for _, r := range records {
		if r.outcome == NotSent || r.key == "" {
			continue
		}
		until := r.doneAt
		if list := starts[r.key]; len(list) > 0 {
			until = time.UnixMilli(list[0].StartedAtMS).Sub(began)
		}
		if until-r.sentAt >= minWait {
			waits = append(waits, waitInterval{r.sentAt, until, r.arrivals.Resources})
		}
	}
	return waits
}

// workerAllocations is what each worker held at each step.
type workerAllocations struct {
	workers  []worker.State
	capacity workload.Resources
	slots    int
	// allocated and tasks are indexed by step, then by worker.
	allocated [][]workload.Resources
	tasks     [][]int
}

func newWorkerAllocations(began time.Time, duration time.Duration, workers []worker.State) *workerAllocations {
	steps := int(duration/packingInterval) + 1
	u := &workerAllocations{workers: workers, allocated: make([][]workload.Resources, steps), tasks: make([][]int, steps)}
	for step := range steps {
		u.allocated[step], u.tasks[step] = make([]workload.Resources, len(workers)), make([]int, len(workers))
	}
	for i := range workers {
		u.capacity = u.capacity.Add(workers[i].Worker.Capacity)
		u.slots += workers[i].Worker.Slots
		for _, record := range workers[i].Started {
			u.addTask(i, record, began, steps)
		}
	}
	return u
}

func (u *workerAllocations) addTask(i int, record worker.StartRecord, began time.Time, steps int) {
	from := time.UnixMilli(record.StartedAtMS).Sub(began)
	last := steps
	if record.EndedAtMS != 0 {
		last = firstStepFrom(time.UnixMilli(record.EndedAtMS).Sub(began))
	}
	for step := max(firstStepFrom(from), 0); step < min(last, steps); step++ {
		u.allocated[step][i] = u.allocated[step][i].Add(record.Resources)
		u.tasks[step][i]++
	}
}

// firstStepFrom is the number of the first step at or after a time.
func firstStepFrom(at time.Duration) int { return int((at + packingInterval - 1) / packingInterval) }

func (u *workerAllocations) at(step int) PackingPoint {
	var allocated workload.Resources
	tasks := 0
	for i := range u.workers {
		allocated = allocated.Add(u.allocated[step][i])
		tasks += u.tasks[step][i]
	}
	share := func(part, whole int64) float64 { return ratio(float64(part), float64(whole)) }
	return PackingPoint{
		CPU: share(allocated.MilliCPU, u.capacity.MilliCPU), Memory: share(allocated.MemoryMB, u.capacity.MemoryMB),
		Accelerators: share(allocated.Accelerators, u.capacity.Accelerators), Slots: share(int64(tasks), int64(u.slots)),
	}
}

// stranded counts the free accelerators of workers on which a task doesn't fit.
func (u *workerAllocations) stranded(step int, need workload.Resources) int64 {
	total := int64(0)
	for i := range u.workers {
		free := u.workers[i].Worker.Capacity.Sub(u.allocated[step][i])
		if free.Accelerators > 0 && (u.tasks[step][i] >= u.workers[i].Worker.Slots || !need.Fits(free)) {
			total += free.Accelerators
		}
	}
	return total
}

// packing summarizes the points of a window at which work waited.
func packing(window Window, points []PackingPoint) Packing {
	result := Packing{Measured: len(points) > 0}
	var scarcest []float64
	sums := map[string]float64{}
	all, stranded := 0, int64(0)
	for _, point := range points {
		if !window.contains(time.Duration(point.AtMS * float64(time.Millisecond))) {
			continue
		}
		all++
		if point.Waiting == 0 {
			continue
		}
		scarcest = append(scarcest, max(point.CPU, point.Memory, point.Accelerators, point.Slots))
		sums["milli-cpu"] += point.CPU
		sums["memory-mb"] += point.Memory
		sums["accelerators"] += point.Accelerators
		sums["slots"] += point.Slots
		stranded += point.StrandedAccelerators
	}
	if len(scarcest) == 0 {
		return result
	}
	count := float64(len(scarcest))
	for _, share := range scarcest {
		result.Mean += share / count
	}
	slices.Sort(scarcest)
	result.P10 = scarcest[len(scarcest)/10]
	result.WaitingShare, result.StrandedAccelerators = count/float64(all), float64(stranded)/count
	for _, name := range []string{"milli-cpu", "memory-mb", "accelerators", "slots"} {
		if result.Scarcest == "" || sums[name] > sums[result.Scarcest] {
			result.Scarcest = name
		}
	}
	return result
}
