package load

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Times of the measure of packing.
const (
	packingStep = 100 * time.Millisecond
	// waitFloor is the shortest wait of a request that counts as waiting work,
	// so that requests that are only under way don't count.
	waitFloor = 100 * time.Millisecond
)

// interval is a request that waited, from its sending to its start.
type interval struct {
	from, until time.Duration
	resources   workload.Resources
}

// allocation reconstructs the fleet's allocation at regular times from the
// workers' records, and the waiting work from the callers' records.
func allocation(began time.Time, duration time.Duration, records []*record, workers []worker.State) []PackingPoint {
	if len(workers) == 0 {
		return nil
	}
	waits := waitingWork(began, records, startsByKey(workers))
	use := newUsage(began, duration, workers)
	points := make([]PackingPoint, 0, duration/packingStep)
	for at := time.Duration(0); at < duration; at += packingStep {
		point := use.at(int(at / packingStep))
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
			point.Stranded = use.stranded(int(at/packingStep), *smallest)
		}
		points = append(points, point)
	}
	return points
}

func waitingWork(began time.Time, records []*record, starts map[workload.Key][]start) []interval {
	var waits []interval
	for _, r := range records {
		if r.outcome == NotSent || r.key == "" {
			continue
		}
		until := r.doneAt
		if list := starts[r.key]; len(list) > 0 {
			until = time.UnixMilli(list[0].StartedAtMS).Sub(began)
		}
		if until-r.sentAt >= waitFloor {
			waits = append(waits, interval{r.sentAt, until, r.arrivals.Resources})
		}
	}
	return waits
}

// usage is what each worker held at each step.
type usage struct {
	workers  []worker.State
	capacity workload.Resources
	slots    int
	// held and tasks are indexed by step, then by worker.
	held  [][]workload.Resources
	tasks [][]int
}

func newUsage(began time.Time, duration time.Duration, workers []worker.State) *usage {
	steps := int(duration/packingStep) + 1
	u := &usage{workers: workers, held: make([][]workload.Resources, steps), tasks: make([][]int, steps)}
	for step := range steps {
		u.held[step], u.tasks[step] = make([]workload.Resources, len(workers)), make([]int, len(workers))
	}
	for i := range workers {
		u.capacity = u.capacity.Add(workers[i].Worker.Capacity)
		u.slots += workers[i].Worker.Slots
		for _, each := range workers[i].Started {
			u.add(i, each, began, steps)
		}
	}
	return u
}

func (u *usage) add(i int, each worker.StartRecord, began time.Time, steps int) {
	from := time.UnixMilli(each.StartedAtMS).Sub(began)
	last := steps
	if each.EndedAtMS != 0 {
		last = stepsUpTo(time.UnixMilli(each.EndedAtMS).Sub(began))
	}
	for step := max(stepsUpTo(from), 0); step < min(last, steps); step++ {
		u.held[step][i] = u.held[step][i].Add(each.Resources)
		u.tasks[step][i]++
	}
}

// stepsUpTo is the number of the first step at or after a time.
func stepsUpTo(at time.Duration) int { return int((at + packingStep - 1) / packingStep) }

func (u *usage) at(step int) PackingPoint {
	var held workload.Resources
	tasks := 0
	for i := range u.workers {
		held = held.Add(u.held[step][i])
		tasks += u.tasks[step][i]
	}
	share := func(part, whole int64) float64 { return ratio(float64(part), float64(whole)) }
	return PackingPoint{
		CPU: share(held.MilliCPU, u.capacity.MilliCPU), Memory: share(held.MemoryMB, u.capacity.MemoryMB),
		Accelerators: share(held.Accelerators, u.capacity.Accelerators), Slots: share(int64(tasks), int64(u.slots)),
	}
}

// stranded counts the free accelerators of workers on which a task doesn't fit.
func (u *usage) stranded(step int, need workload.Resources) int64 {
	total := int64(0)
	for i := range u.workers {
		free := u.workers[i].Worker.Capacity.Sub(u.held[step][i])
		if free.Accelerators > 0 && (u.tasks[step][i] >= u.workers[i].Worker.Slots || !need.Fits(free)) {
			total += free.Accelerators
		}
	}
	return total
}

// packing summarizes the points of a window at which work waited.
func packing(window Window, points []PackingPoint) Packing {
	result := Packing{Known: len(points) > 0}
	var scarcest []float64
	sums := map[string]float64{}
	all, stranded := 0, int64(0)
	for _, point := range points {
		if !window.holds(time.Duration(point.AtMS * float64(time.Millisecond))) {
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
		stranded += point.Stranded
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
	result.WaitingShare, result.Stranded = count/float64(all), float64(stranded)/count
	for _, name := range []string{"milli-cpu", "memory-mb", "accelerators", "slots"} {
		if result.Scarcest == "" || sums[name] > sums[result.Scarcest] {
			result.Scarcest = name
		}
	}
	return result
}
