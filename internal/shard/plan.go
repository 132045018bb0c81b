package shard

import (
	"cmp"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// planStart plans the earliest start of count tasks of a step that don't fit now. For
// large tasks and for gangs it also reserves the workers of the plan; otherwise small
// tasks would always take the free capacity first.
func (p *pass) planStart(st *step, permitted []*worker, count int) {
	if len(p.plans) >= maxPlans {
		return
	}
	planned := p.earliestStart(st, permitted, count)
	if len(planned.workers) == 0 {
		return
	}
	p.plans[st] = planned
	if planned.at.Sub(p.now) > maxReservation {
		return
	}
	if st.spec.Gang && count > 1 || isLarge(st.spec.Reserved(), planned.workers[0].Capacity) {
		if p.reservations >= max(minReservations, len(p.shard.sortedWorkers)/workersPerReservation) {
			return
		}
		p.reservations++
		p.reserve(planned.workers, planned.at)
	}
}

// earliestStart returns those of the permitted workers on which count tasks of the step
// can start earliest, and the time. It skips reserved workers.
func (p *pass) earliestStart(st *step, permitted []*worker, count int) plan {
	p.shard.evaluations += len(permitted)
	type availability struct {
		worker *worker
		at     time.Time
	}
	var list []availability
	demand := st.spec.Reserved()
	for _, w := range permitted {
		if !w.matches(st) || st.saturates(w) {
			continue
		}
		if _, reserved := p.reserved[w]; reserved {
			continue
		}
		limit := count
		if st.spec.MaxPerWorker > 0 {
			limit = min(limit, st.spec.MaxPerWorker-st.runsOn(w))
		}
		for _, at := range w.slotTimes(p.now, demand, limit) {
			list = append(list, availability{w, at})
		}
	}
	if len(list) < count {
		return plan{} // the workers that are known to be allowed don't hold the gang
	}
	slices.SortFunc(list, func(a, b availability) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	var planned plan
	for _, e := range list[:count] {
		if !slices.Contains(planned.workers, e.worker) {
			planned.workers = append(planned.workers, e.worker)
		}
		planned.at = e.at
	}
	return planned
}

// isLarge reports whether a task with this demand is large for a worker of this
// capacity, see largeTaskDivisor.
func isLarge(demand, capacity job.Demand) bool {
	return demand.MilliCPU*largeTaskDivisor >= capacity.MilliCPU || demand.GPUs*largeTaskDivisor >= max(1, capacity.GPUs)
}

// availableAt returns the earliest time at which the demand fits on the worker, provided
// that no run is added. If the demand would not fit even without the present runs, it
// returns the time one hour from now.
func (w *worker) availableAt(now time.Time, demand job.Demand) time.Time {
	return w.slotTimes(now, demand, 1)[0]
}

// slotTimes returns the earliest times at which the first, second and further tasks
// with this demand fit on the worker, at most limit of them and at least one, provided
// that no other run is added.
func (w *worker) slotTimes(now time.Time, demand job.Demand, limit int) []time.Time {
	free := w.free()
	var times []time.Time
	fill := func(at time.Time) bool {
		for len(times) < max(1, limit) && demand.Fits(free) {
			times = append(times, at)
			free = free.Minus(demand)
		}
		return len(times) >= max(1, limit)
	}
	if fill(now) {
		return times
	}
	type ending struct {
		at    time.Time
		freed job.Demand
	}
	endings := make([]ending, 0, len(w.runs))
	for _, r := range w.runs {
		endings = append(endings, ending{r.expectedEnd(now), r.task.step.spec.Reserved()})
	}
	slices.SortStableFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	for _, e := range endings {
		free = free.Plus(e.freed)
		if fill(e.at) {
			return times
		}
	}
	if len(times) == 0 {
		return []time.Time{now.Add(time.Hour)}
	}
	return times
}

// minProgressPercent is the least progress in percent at which the end of a run is
// estimated from its speed.
const minProgressPercent = 10

// expectedEnd estimates the end of a run from its progress or, early in the run, from
// the estimate of its step. The end of a long-running task counts as an hour away.
func (r *run) expectedEnd(now time.Time) time.Time {
	spec := r.task.step.spec
	if spec.LongRunning {
		return now.Add(time.Hour)
	}
	if r.percent >= minProgressPercent && !r.startedAt.IsZero() {
		elapsed := r.progressedAt.Sub(r.startedAt)
		end := r.startedAt.Add(time.Duration(float64(elapsed) * 100 / r.percent))
		if end.After(now) {
			return end
		}
		return now
	}
	end := r.orderedAt.Add(spec.Estimate)
	if end.Before(now) {
		end = now.Add(spec.Estimate / 4)
	}
	return end
}
