package placement

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// reservation is resources reserved for the members of a gang that several
// owners start together.
type reservation struct {
	key         workload.Key
	until       time.Time
	allocations []*allocation
}

// dropAllocation removes an allocation whose worker was removed.
func (r *reservation) dropAllocation(alloc *allocation) {
	r.allocations = slices.DeleteFunc(r.allocations, func(other *allocation) bool { return other == alloc })
}

// Reserve reserves resources for up to count tasks like the given one until the
// given time, and returns the number of tasks that it reserved for. A gang
// across several owners uses it to reserve on each of them before it starts. An
// earlier reservation with the same key is released.
func (e *Engine) Reserve(now time.Time, key workload.Key, task Task, count int, until time.Time) int {
	e.expireReservations(now)
	e.ReleaseReservation(key)
	if len(e.reservations) >= MaxReservations || !until.After(now) || validate(&task) != "" {
		return 0
	}
	r := &reservation{key: key, until: until}
	for len(r.allocations) < count {
		alloc := e.newAllocation(task, now)
		withinGuarantee, allowed := e.checkQuota(alloc.kind, &alloc.demand, alloc.runTime)
		if !allowed {
			break
		}
		s := e.searchFor(now, &task, alloc.kind, alloc.runTime)
		w, backfilled := e.findForTask(&s, withinGuarantee)
		if w == nil {
			break
		}
		alloc.reservation, alloc.backfills = r, backfilled
		e.allocate(w, alloc)
		r.allocations = append(r.allocations, alloc)
	}
	if len(r.allocations) > 0 {
		e.reservations = append(e.reservations, r)
	}
	return len(r.allocations)
}

// Confirm starts the tasks on the resources that were reserved under their key
// and releases the rest of the reservation. If the reservation does not cover
// all tasks, it starts none and leaves the reservation as it is.
func (e *Engine) Confirm(now time.Time, key workload.Key, tasks []Task) []Decision {
	e.expireReservations(now)
	r := e.reservationOf(key)
	if r == nil || len(tasks) == 0 {
		return nil
	}
	var usable []*allocation
	for _, alloc := range r.allocations {
		name := alloc.worker.worker.Name
		if !alloc.worker.leaving && (e.options.Excluded == nil || !e.options.Excluded(name)) {
			usable = append(usable, alloc)
		}
	}
	if len(usable) < len(tasks) || !e.confirmable(now, usable[0], tasks) {
		return nil
	}
	e.ReleaseReservation(key)
	decisions := make([]Decision, 0, len(tasks))
	for i, task := range tasks {
		e.Cancel(task.ID)
		e.startOn(now, usable[i].worker, task, usable[i].backfills)
		decisions = append(decisions, Decision{Verb: VerbStart, Task: task, Worker: usable[i].worker.worker.Name})
	}
	return decisions
}

// confirmable reports whether each task is not placed yet, can still start in
// time, and is no larger than the task that the resources were reserved for.
func (e *Engine) confirmable(now time.Time, alloc *allocation, tasks []Task) bool {
	seen := make(map[TaskID]bool, len(tasks))
	for i := range tasks {
		task, demand := &tasks[i], taskDemand(&tasks[i])
		late := !task.StartBy.IsZero() && now.After(task.StartBy)
		if late || seen[task.ID] || e.placed[task.ID] != nil || validate(task) != "" || !demand.fits(&alloc.demand) {
			return false
		}
		seen[task.ID] = true
	}
	return true
}

// ReleaseReservation releases the reservation with the given key, if there is
// one.
func (e *Engine) ReleaseReservation(key workload.Key) {
	r := e.reservationOf(key)
	if r == nil {
		return
	}
	e.reservations = slices.DeleteFunc(e.reservations, func(other *reservation) bool { return other == r })
	for _, alloc := range r.allocations {
		e.release(alloc)
		e.resourcesFreed(alloc.worker)
	}
	r.allocations = nil
}

func (e *Engine) reservationOf(key workload.Key) *reservation {
	for _, r := range e.reservations {
		if r.key == key {
			return r
		}
	}
	return nil
}

// expireReservations releases the reservations that have expired.
func (e *Engine) expireReservations(now time.Time) {
	for i := 0; i < len(e.reservations); {
		if r := e.reservations[i]; now.Before(r.until) {
			i++
		} else {
			e.ReleaseReservation(r.key)
		}
	}
}
