package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// assumedRunTime is used for running work without an estimate when the
	// start of a gang is planned.
	assumedRunTime = 10 * time.Minute
	// planInterval is the shortest time between two plans for a gang after a
	// plan found no feasible start. One plan sorts all running tasks.
	planInterval = time.Second
	// maxGangsConsidered is how many gangs are considered for a plan, oldest
	// first.
	maxGangsConsidered = 8
)

// gangPlan keeps workers for the oldest gang that could run. Until the planned
// start, other tasks may backfill these workers: a task must be estimated to
// end before the start, or fit beside the gang. After the planned start no new
// task is placed there. So the gang starts at the latest when the tasks on the
// workers have ended, even if their estimates were wrong.
type gangPlan struct {
	gang      *gang
	start     time.Time
	plannedAt time.Time
	workers   []*workerState
	needed    []resourceVector // by the gang on each of workers
	// withinGuarantee is set when the gang is within the guarantee of its kind.
	withinGuarantee bool
}

func (plan *gangPlan) endsBeforeStart(s *search) bool {
	return s.runTime > 0 && !s.now.Add(s.runTime).After(plan.start)
}

func (e *Engine) dropGangPlan(plan *gangPlan) {
	if plan == nil || e.gangPlan != plan {
		return
	}
	e.gangPlan = nil
	for _, w := range plan.workers {
		w.gangPlan, w.spare = nil, resourceVector{}
		e.resourcesFreed(w)
	}
}

// updateGangPlan makes a plan for the oldest gang that could run. An existing
// plan stays as it is, because planning again with every change would postpone
// the start. It is replaced only when the gang has waited more than twice as
// long as planned, and more than planInterval past the planned start.
func (e *Engine) updateGangPlan(now time.Time) {
	if plan := e.gangPlan; plan != nil {
		if overdue := now.Sub(plan.start); overdue <= planInterval || overdue <= plan.start.Sub(plan.plannedAt) {
			return
		}
		e.dropGangPlan(plan)
	}
	for g, considered := e.gangHead, 0; g != nil && considered < maxGangsConsidered; g, considered = g.next, considered+1 {
		if g.triedGeneration == 0 || now.Before(g.nextPlanAt) {
			continue
		}
		withinGuarantee, _ := e.checkQuota(g.kind, &g.total, g.runTime)
		if e.mayPlanGang(g.kind, &g.total) && e.planGang(now, g, withinGuarantee) {
			return
		}
		g.nextPlanAt = now.Add(planInterval)
	}
}

// expectedEnd returns the estimated end of a running task. It reports false for
// services, which do not end. A task that has exceeded its estimate is expected
// to run for another half of the time that it has run so far.
func (alloc *allocation) expectedEnd(now time.Time) (time.Time, bool) {
	switch {
	case alloc.reservation != nil:
		return alloc.reservation.until, true
	case alloc.task.Service && !alloc.preempted:
		return time.Time{}, false
	}
	runTime := alloc.runTime
	if runTime <= 0 {
		runTime = assumedRunTime
	}
	end := alloc.startedAt.Add(runTime)
	if end.Before(now) {
		end = now.Add(now.Sub(alloc.startedAt) / 2)
	}
	return end, true
}

// planGang finds the earliest time at which the gang is estimated to fit, and
// keeps the workers for it. It reports false if there is no such time.
func (e *Engine) planGang(now time.Time, g *gang, withinGuarantee bool) bool {
	e.index.rebuild()
	type ending struct {
		at    time.Time
		alloc *allocation
	}
	var endings []ending
	need, found := int64(g.size), int64(0)
	free := make([]resourceVector, len(e.index.leaves))
	copies := make([]int64, len(e.index.leaves))
	for i, w := range e.index.leaves {
		free[i] = unavailable
		if w.leaving || w.claim != nil || e.options.Excluded != nil && e.options.Excluded(w.worker.Name) {
			continue
		}
		free[i] = w.free
		copies[i] = g.largest.copies(&w.free, need)
		found += copies[i]
		for _, alloc := range w.running {
			if at, ends := alloc.expectedEnd(now); ends {
				endings = append(endings, ending{at, alloc})
			}
		}
	}
	slices.SortStableFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	start := now
	for _, next := range endings {
		if found >= need {
			break
		}
		i := next.alloc.worker.leaf
		free[i] = free[i].plus(next.alloc.demand)
		found -= copies[i]
		copies[i] = g.largest.copies(&free[i], need)
		found += copies[i]
		start = next.at
	}
	if found < need {
		return false
	}
	e.planWorkers(&gangPlan{gang: g, start: start, plannedAt: now, withinGuarantee: withinGuarantee}, free, copies)
	return true
}

// planWorkers chooses the workers that can take the most members, so that few
// workers are kept.
func (e *Engine) planWorkers(plan *gangPlan, free []resourceVector, copies []int64) {
	order := make([]int, 0, len(copies))
	for i := range copies {
		if copies[i] > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(copies[b], copies[a]) })
	unassigned := int64(plan.gang.size)
	for _, i := range order {
		if unassigned == 0 {
			break
		}
		members := min(unassigned, copies[i])
		unassigned -= members
		w, needed := e.index.leaves[i], plan.gang.largest.times(members)
		w.gangPlan, w.spare = plan, free[i].minus(needed)
		plan.workers = append(plan.workers, w)
		plan.needed = append(plan.needed, needed)
	}
	e.gangPlan = plan
}
