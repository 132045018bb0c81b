package placement

import (
	"slices"
	"time"
)

// workerState is a worker's exact room. It lives as long as the session.
type workerState struct {
	worker   Worker
	capacity amount
	// free may be negative when the worker listed more work than it can hold.
	free    amount
	leaving bool
	running []*runningTask
	leaf    int
	claim   *claim
	hold    *hold
	// spare is the room that the hold leaves at its planned start.
	spare amount
	freed bool
}

// runningTask is a task, or a reserved place for one, that takes room.
type runningTask struct {
	task      Task
	demand    amount
	worker    *workerState
	position  int
	startedAt time.Time
	runTime   time.Duration
	kind      *kindState
	team      *teamState
	// reservation is set on a place that is held for a task.
	reservation *reservation
	// earlier is the same task as listed by another worker before.
	earlier *runningTask
	// usesSpare is the hold beside which the task was placed.
	usesSpare *hold
	preempted bool
	throttled bool
}

// offered is the room that ordinary searches see.
func (w *workerState) offered() amount {
	if w.leaving || w.claim != nil {
		return unavailable
	}
	return w.free
}

// occupy takes the task's room on its worker and charges its kind and team.
func (e *Engine) occupy(w *workerState, r *runningTask) {
	r.worker, r.position = w, len(w.running)
	w.running = append(w.running, r)
	w.free = w.free.minus(r.demand)
	if !w.leaving {
		e.free = e.free.minus(r.demand)
	}
	if r.usesSpare != nil && r.usesSpare == w.hold {
		w.spare = w.spare.minus(r.demand)
	}
	r.kind.running++
	r.team.running++
	e.charge(r.kind, r.team, r.demand)
	e.index.update(w)
}

// vacate reverses occupy.
func (e *Engine) vacate(r *runningTask) {
	w := r.worker
	last := w.running[len(w.running)-1]
	w.running[r.position], last.position = last, r.position
	w.running[len(w.running)-1] = nil
	w.running = w.running[:len(w.running)-1]
	w.free = w.free.plus(r.demand)
	if !w.leaving {
		e.free = e.free.plus(r.demand)
	}
	if r.usesSpare != nil && r.usesSpare == w.hold {
		w.spare = w.spare.plus(r.demand)
	}
	if r.preempted {
		r.kind.reclaiming = r.kind.reclaiming.minus(r.demand)
	}
	r.kind.running--
	r.team.running--
	e.charge(r.kind, r.team, amount{}.minus(r.demand))
	e.index.update(w)
}

// roomFreed lets shapes that did not fit be tried again on the worker.
func (e *Engine) roomFreed(w *workerState) {
	e.wake++
	e.tryAgain(w)
}

// tryAgain lets shapes be tried again on the worker from the next call on.
func (e *Engine) tryAgain(w *workerState) {
	if !w.freed {
		w.freed = true
		e.freed = append(e.freed, w)
	}
}

// AddWorker adds a worker with the tasks that it listed as running. The tasks
// take their room even if they exceed the worker's capacity; it then gets no
// new task until enough of them have ended. A listed task that is waiting here
// stops waiting. A worker of the same name is replaced. Beyond MaxWorkers a
// worker is not taken.
func (e *Engine) AddWorker(now time.Time, worker Worker, running []Running) {
	e.RemoveWorker(now, worker.Name)
	if len(e.workers) >= MaxWorkers {
		return
	}
	w := &workerState{worker: worker, capacity: resourceAmount(worker.Capacity, worker.Slots, worker.Connections)}
	w.free = w.capacity
	e.workers[worker.Name] = w
	e.index.add(w)
	e.capacity, e.free = e.capacity.plus(w.capacity), e.free.plus(w.capacity)
	for _, listed := range running {
		if at := e.place[listed.Task.ID]; at != nil && at.worker == w {
			continue
		}
		e.Cancel(listed.Task.ID)
		r := e.newRunning(listed.Task, listed.StartedAt)
		r.earlier = e.place[listed.Task.ID]
		e.place[listed.Task.ID] = r
		e.occupy(w, r)
		if listed.Task.Resources.Accelerators > 0 {
			e.acceleratorWork = now
		}
	}
	e.capacityChanged()
	e.roomFreed(w)
}

func (e *Engine) newRunning(task Task, startedAt time.Time) *runningTask {
	r := e.ended.take()
	r.task, r.demand, r.startedAt, r.runTime = task, taskDemand(&task), startedAt, e.runTime(&task)
	r.kind, r.team = e.kindNamed(task.Kind), e.teamNamed(task.Team)
	return r
}

// RemoveWorker removes a worker and returns the tasks that were on it, in the
// order of their identity. It does not say whether they still run.
// Reservations lose their places on it.
func (e *Engine) RemoveWorker(_ time.Time, name string) []Task {
	w := e.workers[name]
	if w == nil {
		return nil
	}
	e.dropClaim(w.claim)
	e.dropHold(w.hold)
	var tasks []Task
	for len(w.running) > 0 {
		r := w.running[len(w.running)-1]
		e.vacate(r)
		if r.reservation != nil {
			r.reservation.forget(r)
			continue
		}
		tasks = append(tasks, r.task)
		e.unplace(r)
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

// unplace removes the task from the chain of places under its identity.
func (e *Engine) unplace(r *runningTask) {
	head := e.place[r.task.ID]
	switch {
	case head == r && r.earlier == nil:
		delete(e.place, r.task.ID)
	case head == r:
		e.place[r.task.ID] = r.earlier
	default:
		for at := head; at != nil; at = at.earlier {
			if at.earlier == r {
				at.earlier = r.earlier
			}
		}
	}
}

// SetLeaving says whether a worker is leaving; a leaving worker gets no new
// task and is no part of the capacity that shares refer to.
func (e *Engine) SetLeaving(name string, leaving bool) {
	w := e.workers[name]
	if w == nil || w.leaving == leaving {
		return
	}
	w.leaving = leaving
	if leaving {
		e.dropClaim(w.claim)
		e.dropHold(w.hold)
		e.capacity, e.free = e.capacity.minus(w.capacity), e.free.minus(w.free)
	} else {
		e.capacity, e.free = e.capacity.plus(w.capacity), e.free.plus(w.free)
		e.roomFreed(w)
	}
	e.index.update(w)
	e.capacityChanged()
}

// ExclusionChanged says that Options.Excluded changed for the worker, so that
// work that did not fit elsewhere is tried there again.
func (e *Engine) ExclusionChanged(name string) {
	if w := e.workers[name]; w != nil {
		e.roomFreed(w)
	}
}

// TaskEnded returns a running task's room to its worker. A task that is not
// running is ignored.
func (e *Engine) TaskEnded(_ time.Time, id TaskID, _ Outcome) {
	r := e.place[id]
	if r == nil {
		return
	}
	e.unplace(r)
	e.vacate(r)
	e.roomFreed(r.worker)
	e.ended.give(r)
}
