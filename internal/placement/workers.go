package placement

import (
	"slices"
	"time"
)

// workerState is a worker and what is placed on it. It exists as long as the
// worker's session.
type workerState struct {
	worker   Worker
	capacity resourceVector
	// free is negative if the worker listed more running work than its
	// capacity.
	free     resourceVector
	leaving  bool
	running  []*allocation
	leaf     int
	claim    *claim
	gangPlan *gangPlan
	// spare is the resources that the gang leaves free at its planned start.
	spare resourceVector
	freed bool
}

// allocation is the resources of a worker that are taken by a running task, or
// reserved for one.
type allocation struct {
	task      Task
	demand    resourceVector
	worker    *workerState
	position  int
	startedAt time.Time
	runTime   time.Duration
	kind      *kindState
	team      *teamState
	// reservation is set while the resources are reserved.
	reservation *reservation
	// previous is the allocation of the same task on a worker that listed it
	// earlier.
	previous *allocation
	// backfills is the gang plan whose spare resources the task uses.
	backfills *gangPlan
	preempted bool
	throttled bool
}

// available returns the free resources that ordinary searches may use.
func (w *workerState) available() resourceVector {
	if w.leaving || w.claim != nil {
		return unavailable
	}
	return w.free
}

// allocate takes the resources from the worker and adds them to the usage of
// the kind and the team.
func (e *Engine) allocate(w *workerState, r *allocation) {
	r.worker, r.position = w, len(w.running)
	w.running = append(w.running, r)
	w.free = w.free.minus(r.demand)
	if !w.leaving {
		e.free = e.free.minus(r.demand)
	}
	if r.backfills != nil && r.backfills == w.gangPlan {
		w.spare = w.spare.minus(r.demand)
	}
	r.kind.running++
	r.team.running++
	e.addUsage(r.kind, r.team, r.demand)
	e.index.update(w)
}

// release reverses allocate.
func (e *Engine) release(r *allocation) {
	w := r.worker
	last := w.running[len(w.running)-1]
	w.running[r.position], last.position = last, r.position
	w.running[len(w.running)-1] = nil
	w.running = w.running[:len(w.running)-1]
	w.free = w.free.plus(r.demand)
	if !w.leaving {
		e.free = e.free.plus(r.demand)
	}
	if r.backfills != nil && r.backfills == w.gangPlan {
		w.spare = w.spare.plus(r.demand)
	}
	if r.preempted {
		r.kind.reclaiming = r.kind.reclaiming.minus(r.demand)
	}
	r.kind.running--
	r.team.running--
	e.addUsage(r.kind, r.team, resourceVector{}.minus(r.demand))
	e.index.update(w)
}

// resourcesFreed makes searches that failed try the worker again.
func (e *Engine) resourcesFreed(w *workerState) {
	e.generation++
	e.markFreed(w)
}

// markFreed makes searches that failed try the worker again from the next call
// of Schedule on.
func (e *Engine) markFreed(w *workerState) {
	if !w.freed {
		w.freed = true
		e.freed = append(e.freed, w)
	}
}

// AddWorker adds a worker with the tasks that it listed as running. These tasks
// take their resources even beyond the capacity of the worker; it then gets no
// new task until enough of them have ended. A listed task that is waiting in
// this engine is removed from its queue. A worker of the same name is replaced.
// If there are MaxWorkers already, the worker is ignored.
func (e *Engine) AddWorker(now time.Time, worker Worker, running []Running) {
	e.RemoveWorker(now, worker.Name)
	if len(e.workers) >= MaxWorkers {
		return
	}
	w := &workerState{worker: worker, capacity: newResourceVector(worker.Capacity, worker.Slots, worker.Connections)}
	w.free = w.capacity
	e.workers[worker.Name] = w
	e.index.add(w)
	e.capacity, e.free = e.capacity.plus(w.capacity), e.free.plus(w.capacity)
	for _, listed := range running {
		if at := e.placed[listed.Task.ID]; at != nil && at.worker == w {
			continue
		}
		e.Cancel(listed.Task.ID)
		r := e.newAllocation(listed.Task, listed.StartedAt)
		r.previous = e.placed[listed.Task.ID]
		e.placed[listed.Task.ID] = r
		e.allocate(w, r)
		if listed.Task.Resources.Accelerators > 0 {
			e.lastAcceleratorWork = now
		}
	}
	e.capacityChanged()
	e.resourcesFreed(w)
}

func (e *Engine) newAllocation(task Task, startedAt time.Time) *allocation {
	r := e.allocationPool.get()
	r.task, r.demand, r.startedAt, r.runTime = task, taskDemand(&task), startedAt, e.runTime(&task)
	r.kind, r.team = e.kindNamed(task.Kind), e.teamNamed(task.Team)
	return r
}

// RemoveWorker removes a worker and returns the tasks that were placed on it,
// ordered by ID. Whether they still run is not known. Reservations lose what
// they hold on the worker.
func (e *Engine) RemoveWorker(_ time.Time, name string) []Task {
	w := e.workers[name]
	if w == nil {
		return nil
	}
	e.dropClaim(w.claim)
	e.dropGangPlan(w.gangPlan)
	var tasks []Task
	for len(w.running) > 0 {
		r := w.running[len(w.running)-1]
		e.release(r)
		if r.reservation != nil {
			r.reservation.dropAllocation(r)
			continue
		}
		tasks = append(tasks, r.task)
		e.removeAllocation(r)
	}
	slices.SortFunc(tasks, func(a, b Task) int { return CompareTaskIDs(a.ID, b.ID) })
	delete(e.workers, name)
	e.index.remove(w)
	e.freed = slices.DeleteFunc(e.freed, func(other *workerState) bool { return other == w })
	if !w.leaving {
		e.capacity, e.free = e.capacity.minus(w.capacity), e.free.minus(w.free)
	}
	e.capacityChanged()
	return tasks
}

// removeAllocation removes an allocation from the list of allocations with its
// task ID.
func (e *Engine) removeAllocation(r *allocation) {
	head := e.placed[r.task.ID]
	switch {
	case head == r && r.previous == nil:
		delete(e.placed, r.task.ID)
	case head == r:
		e.placed[r.task.ID] = r.previous
	default:
		for at := head; at != nil; at = at.previous {
			if at.previous == r {
				at.previous = r.previous
			}
		}
	}
}

// SetLeaving sets whether a worker is leaving. A leaving worker gets no new
// task, and its capacity does not count when shares are computed.
func (e *Engine) SetLeaving(name string, leaving bool) {
	w := e.workers[name]
	if w == nil || w.leaving == leaving {
		return
	}
	w.leaving = leaving
	if leaving {
		e.dropClaim(w.claim)
		e.dropGangPlan(w.gangPlan)
		e.capacity, e.free = e.capacity.minus(w.capacity), e.free.minus(w.free)
	} else {
		e.capacity, e.free = e.capacity.plus(w.capacity), e.free.plus(w.free)
		e.resourcesFreed(w)
	}
	e.index.update(w)
	e.capacityChanged()
}

// ExclusionChanged must be called when the result of Options.Excluded changed
// for the worker, so that tasks that fit nowhere else are tried there again.
func (e *Engine) ExclusionChanged(name string) {
	if w := e.workers[name]; w != nil {
		e.resourcesFreed(w)
	}
}

// TaskEnded frees the resources of a running task. A task that is not running
// is ignored.
func (e *Engine) TaskEnded(_ time.Time, id TaskID, _ Outcome) {
	r := e.placed[id]
	if r == nil {
		return
	}
	e.removeAllocation(r)
	e.release(r)
	e.resourcesFreed(r.worker)
	e.allocationPool.put(r)
}
