package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unknownRunTime stands for the run time of running work without an
	// estimate when a gang's start is planned.
	unknownRunTime = 10 * time.Minute
	// planInterval is the shortest time between two plans for a gang for which
	// the first found no feasible start; one plan sorts all running tasks.
	planInterval = time.Second
	// gangsPlanned is how many gangs are looked at, from the oldest on, for
	// one that could run.
	gangsPlanned = 8
)

// hold keeps workers for the oldest gang that could run. Until its planned
// start, other work may use them only if it ends before the start by estimate
// or fits beside the gang. After the start nothing new is placed there, so
// that the gang starts at the latest when the tasks on them have ended, however
// wrong the estimates were.
type hold struct {
	gang      *gang
	start     time.Time
	plannedAt time.Time
	workers   []*workerState
	needed    []amount
	// entitled is set when the gang is inside its kind's guarantee.
	entitled bool
}

func (h *hold) endsBefore(s *search) bool {
	return s.runTime > 0 && !s.now.Add(s.runTime).After(h.start)
}

func (e *Engine) dropHold(h *hold) {
	if h == nil || e.hold != h {
		return
	}
	e.hold = nil
	for _, w := range h.workers {
		w.hold, w.spare = nil, amount{}
		e.roomFreed(w)
	}
}

// renewHold gives the hold to the oldest gang that could run. A hold stays as
// planned, because planning again with every change would move the start on;
// it is planned anew only when the wait has become twice as long as planned.
func (e *Engine) renewHold(now time.Time) {
	if h := e.hold; h != nil {
		if late := now.Sub(h.start); late <= planInterval || late <= h.start.Sub(h.plannedAt) {
			return
		}
		e.dropHold(h)
	}
	for g, looked := e.gangHead, 0; g != nil && looked < gangsPlanned; g, looked = g.after, looked+1 {
		if g.triedAt == 0 || now.Before(g.planAgainAt) {
			continue
		}
		entitled, _ := e.entitlement(g.kind, &g.total, g.runTime)
		if e.mayHold(g.kind, &g.total) && e.planHold(now, g, entitled) {
			return
		}
		g.planAgainAt = now.Add(planInterval)
	}
}

// expectedEnd returns when a running task ends by estimate; it reports false
// for services, which don't end. A task that is over its estimate is expected
// to run for half as long again as it has so far.
func (r *runningTask) expectedEnd(now time.Time) (time.Time, bool) {
	switch {
	case r.reservation != nil:
		return r.reservation.until, true
	case r.task.Service && !r.preempted:
		return time.Time{}, false
	}
	runTime := r.runTime
	if runTime <= 0 {
		runTime = unknownRunTime
	}
	end := r.startedAt.Add(runTime)
	if end.Before(now) {
		end = now.Add(now.Sub(r.startedAt) / 2)
	}
	return end, true
}

// planHold finds the earliest time at which the gang fits by estimate and
// holds the workers for it. It reports false if there is no such time.
func (e *Engine) planHold(now time.Time, g *gang, entitled bool) bool {
	e.index.rebuild()
	type ending struct {
		at time.Time
		r  *runningTask
	}
	var endings []ending
	need, found := int64(g.size), int64(0)
	free := make([]amount, len(e.index.leaves))
	copies := make([]int64, len(e.index.leaves))
	for i, w := range e.index.leaves {
		free[i] = unavailable
		if w.leaving || w.claim != nil || e.options.Excluded != nil && e.options.Excluded(w.worker.Name) {
			continue
		}
		free[i] = w.free
		copies[i] = g.largest.copies(&w.free, need)
		found += copies[i]
		for _, r := range w.running {
			if at, ends := r.expectedEnd(now); ends {
				endings = append(endings, ending{at, r})
			}
		}
	}
	slices.SortStableFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	start := now
	for _, end := range endings {
		if found >= need {
			break
		}
		i := end.r.worker.leaf
		free[i] = free[i].plus(end.r.demand)
		found -= copies[i]
		copies[i] = g.largest.copies(&free[i], need)
		found += copies[i]
		start = end.at
	}
	if found < need {
		return false
	}
	e.holdWorkers(&hold{gang: g, start: start, plannedAt: now, entitled: entitled}, free, copies)
	return true
}

// holdWorkers takes the workers that have room for most members, so that few
// workers are held.
func (e *Engine) holdWorkers(h *hold, free []amount, copies []int64) {
	order := make([]int, 0, len(copies))
	for i := range copies {
		if copies[i] > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(copies[b], copies[a]) })
	left := int64(h.gang.size)
	for _, i := range order {
		if left == 0 {
			break
		}
		members := min(left, copies[i])
		left -= members
		w, needed := e.index.leaves[i], h.gang.largest.times(members)
		w.hold, w.spare = h, free[i].minus(needed)
		h.workers = append(h.workers, w)
		h.needed = append(h.needed, needed)
	}
	e.hold = h
}
