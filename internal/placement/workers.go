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
	leaf     int // index in workerIndex.leaves
	claim    *claim
	gangPlan *gangPlan
	// spare is the resources of the worker that the gang of gangPlan leaves free
	// at its planned start. Other tasks may use them even if they run past it.
	spare resourceVector
	freed bool // listed in Engine.freedWorkers
}

// allocation is the resources of a worker that are taken by a running task, or
// reserved for one.
type allocation struct {
	task      Task
	demand    resourceVector
	worker    *workerState
	position  int // index in worker.running
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
func (e *Engine) allocate(w *workerState, alloc *allocation) {
	alloc.worker, alloc.position = w, len(w.running)
	w.running = append(w.running, alloc)
	w.free = w.free.minus(alloc.demand)
	if !w.leaving {
		e.free = e.free.minus(alloc.demand)
	}
	if alloc.backfills != nil && alloc.backfills == w.gangPlan {
		w.spare = w.spare.minus(alloc.demand)
	}
	alloc.kind.running++
	alloc.team.running++
	e.addUsage(alloc.kind, alloc.team, alloc.demand)
	e.index.update(w)
}

// release reverses allocate.
func (e *Engine) release(alloc *allocation) {
	w := alloc.worker
	last := w.running[len(w.running)-1]
	w.running[alloc.position], last.position = last, alloc.position
	w.running[len(w.running)-1] = nil
	w.running = w.running[:len(w.running)-1]
	w.free = w.free.plus(alloc.demand)
	if !w.leaving {
		e.free = e.free.plus(alloc.demand)
	}
	if alloc.backfills != nil && alloc.backfills == w.gangPlan {
		w.spare = w.spare.plus(alloc.demand)
	}
	if alloc.preempted {
		alloc.kind.preemptedDemand = alloc.kind.preemptedDemand.minus(alloc.demand)
	}
	alloc.kind.running--
	alloc.team.running--
	e.addUsage(alloc.kind, alloc.team, resourceVector{}.minus(alloc.demand))
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
		e.freedWorkers = append(e.freedWorkers, w)
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
		if known := e.placed[listed.Task.ID]; known != nil && known.worker == w {
			continue
		}
		e.Cancel(listed.Task.ID)
		alloc := e.newAllocation(listed.Task, listed.StartedAt)
		alloc.previous = e.placed[listed.Task.ID]
		e.placed[listed.Task.ID] = alloc
		e.allocate(w, alloc)
		if listed.Task.Resources.Accelerators > 0 {
			e.lastAcceleratorWorkAt = now
		}
	}
	e.capacityChanged()
	e.resourcesFreed(w)
}

func (e *Engine) newAllocation(task Task, startedAt time.Time) *allocation {
	alloc := e.allocationPool.get()
	alloc.task, alloc.demand, alloc.startedAt, alloc.runTime = task, taskDemand(&task), startedAt, e.runTime(&task)
	alloc.kind, alloc.team = e.kindNamed(task.Kind), e.teamNamed(task.Team)
	return alloc
}

// RemoveWorker removes a worker and returns the tasks that were placed on it,
// ordered by ID. Whether they still run is not known. Reservations lose the
// resources that they reserved on the worker.
func (e *Engine) RemoveWorker(_ time.Time, name string) []Task {
	w := e.workers[name]
	if w == nil {
		return nil
	}
	e.dropClaim(w.claim)
	e.dropGangPlan(w.gangPlan)
	var tasks []Task
	for len(w.running) > 0 {
		alloc := w.running[len(w.running)-1]
		e.release(alloc)
		if alloc.reservation != nil {
			alloc.reservation.dropAllocation(alloc)
			continue
		}
		tasks = append(tasks, alloc.task)
		e.removeAllocation(alloc)
	}
	slices.SortFunc(tasks, func(a, b Task) int { return CompareTaskIDs(a.ID, b.ID) })
	delete(e.workers, name)
	e.index.remove(w)
	e.freedWorkers = slices.DeleteFunc(e.freedWorkers, func(other *workerState) bool { return other == w })
	if !w.leaving {
		e.capacity, e.free = e.capacity.minus(w.capacity), e.free.minus(w.free)
	}
	e.capacityChanged()
	return tasks
}

// removeAllocation removes an allocation from the list of allocations with its
// task ID.
func (e *Engine) removeAllocation(alloc *allocation) {
	head := e.placed[alloc.task.ID]
	switch {
	case head == alloc && alloc.previous == nil:
		delete(e.placed, alloc.task.ID)
	case head == alloc:
		e.placed[alloc.task.ID] = alloc.previous
	default:
		for current := head; current != nil; current = current.previous {
			if current.previous == alloc {
				current.previous = alloc.previous
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
	alloc := e.placed[id]
	if alloc == nil {
		return
	}
	e.removeAllocation(alloc)
	e.release(alloc)
	e.resourcesFreed(alloc.worker)
	e.allocationPool.put(alloc)
}
