package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// planStart plans the soonest start of a step that found no room. A large task
// also keeps the workers on which it can start: small tasks would take their
// room for ever.
func (p *pass) planStart(st *step, count int) {
	if len(p.plans) >= maxPlans {
		return
	}
	planned := p.earliestStart(st, count)
	if len(planned.workers) == 0 {
		return
	}
	p.plans[st] = planned
	if isLarge(st.spec.Reserved(), planned.workers[0].Capacity) {
		if p.reservations >= max(minReservations, len(p.shard.sortedWorkers)/workersPerReservation) {
			return
		}
		p.reservations++
		p.reserve(planned.workers, planned.at)
	}
}

// earliestStart finds the workers on which count tasks of the step have room first.
func (p *pass) earliestStart(st *step, count int) plan {
	type entry struct {
		worker *worker
		at     time.Time
		room   int
	}
	var list []entry
	demand := st.spec.Reserved()
	for _, w := range p.shard.sortedWorkers {
		if !w.usable() || !w.matches(st) || st.saturates(w) {
			continue
		}
		if _, reserved := p.reserved[w]; reserved {
			continue
		}
		if st.occurrence.job.accepted.Terms.RequiresTicket {
			if good, _ := st.advice.allowed(w, p.now); !good {
				continue
			}
		}
		list = append(list, entry{w, w.roomAt(p.now, demand), max(1, taskCapacity(demand, w.Capacity))})
	}
	slices.SortStableFunc(list, func(a, b entry) int { return a.at.Compare(b.at) })
	var planned plan
	for _, e := range list {
		if count <= 0 {
			break
		}
		planned.workers = append(planned.workers, e.worker)
		planned.at = e.at
		count -= e.room
	}
	return planned
}

func isLarge(demand, capacity job.Demand) bool {
	return demand.MilliCPU*largeTaskDivisor >= capacity.MilliCPU || demand.GPUs*largeTaskDivisor >= max(1, capacity.GPUs)
}

// roomAt is when the worker has room for the demand if nothing is added.
func (w *worker) roomAt(now time.Time, demand job.Demand) time.Time {
	free := w.free()
	if demand.Fits(free) {
		return now
	}
	type ending struct {
		at   time.Time
		free job.Demand
	}
	endings := make([]ending, 0, len(w.runs))
	for _, r := range w.runs {
		endings = append(endings, ending{r.expectedEnd(now), r.task.step.spec.Reserved()})
	}
	slices.SortStableFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	for _, e := range endings {
		free = free.Plus(e.free)
		if demand.Fits(free) {
			return e.at
		}
	}
	return now.Add(time.Hour)
}

// minProgressPercent is how far a run must be before its speed says anything.
const minProgressPercent = 10

// expectedEnd is when a run ends, by its progress or by its estimate.
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
