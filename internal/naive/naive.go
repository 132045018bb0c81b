// Package naive implements a first-come, first-served, first-fit scheduler: it
// keeps one queue in order of arrival and places each task on the first worker
// with enough free resources. It obeys the invariants of scheduling but ignores
// urgency, guarantees, ceilings and preemption, and scans all waiting tasks and
// workers in every call. Tests and benchmarks use it as the baseline.
//
// # Usage
//
// Engine has the methods of placement.Engine that the benchmarks use:
//
//	engine := naive.New(placement.Options{})
//	engine.AddWorker(now, worker, nil)
//	engine.Enqueue(now, task)
//	for _, decision := range engine.Schedule(now, 100) {
//		// Start decision.Task on decision.Worker, or drop it if it has expired.
//	}
//	engine.TaskEnded(now, task.ID, placement.Completed)
package naive

import (
	"cmp"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// worker is a VM with its free resources, task slots and connections.
type worker struct {
	placement.Worker
	free            workload.Resources
	freeSlots       int
	freeConnections int
	leaving         bool
}

func (w *worker) fits(task *placement.Task) bool {
	return !w.leaving && w.freeSlots > 0 && task.Connections <= w.freeConnections && task.Resources.Fits(w.free)
}

// adjust allocates the task's resources, slot and connections for sign 1 and
// releases them for sign -1.
func (w *worker) adjust(task *placement.Task, sign int) {
	w.free = w.free.Sub(task.Resources.Times(int64(sign)))
	w.freeSlots -= sign
	w.freeConnections -= sign * task.Connections
}

// assignment is a running task and its worker.
type assignment struct {
	task   placement.Task
	worker *worker
}

// Engine is the naive scheduler. It is not safe for concurrent use.
type Engine struct {
	options placement.Options
	kinds   map[string]placement.KindPolicy
	workers []*worker
	queue   []*placement.Task
	// queuedIDs holds the IDs of the queued tasks; queuedByKind counts them by kind.
	queuedIDs    map[placement.TaskID]bool
	queuedByKind map[string]int
	running      map[placement.TaskID]assignment
}

// New returns an engine without workers. Of the options it uses only Excluded.
func New(options placement.Options) *Engine {
	return &Engine{options: options, kinds: map[string]placement.KindPolicy{},
		queuedIDs: map[placement.TaskID]bool{}, queuedByKind: map[string]int{}, running: map[placement.TaskID]assignment{}}
}

// SetPolicy replaces the queue bounds and deadlines of all kinds. The rest of the
// policy is ignored.
func (e *Engine) SetPolicy(policy placement.Policy) {
	clear(e.kinds)
	for _, kind := range policy.Kinds {
		e.kinds[kind.Name] = kind
	}
}

// AddWorker adds a worker with the tasks that it reports as running. It replaces
// a worker of the same name. Reported tasks are removed from the queue.
func (e *Engine) AddWorker(now time.Time, added placement.Worker, running []placement.Running) {
	e.RemoveWorker(now, added.Name)
	w := &worker{Worker: added, free: added.Capacity, freeSlots: added.Slots, freeConnections: added.Connections}
	index, _ := slices.BinarySearchFunc(e.workers, added.Name, func(w *worker, name string) int { return cmp.Compare(w.Name, name) })
	e.workers = slices.Insert(e.workers, index, w)
	for _, reported := range running {
		e.Cancel(reported.Task.ID)
		e.start(reported.Task, w)
	}
}

// RemoveWorker removes a worker and returns the tasks that it was running, in
// the order of their IDs.
func (e *Engine) RemoveWorker(_ time.Time, name string) []placement.Task {
	e.workers = slices.DeleteFunc(e.workers, func(w *worker) bool { return w.Name == name })
	var tasks []placement.Task
	for id, assigned := range e.running {
		if assigned.worker.Name == name {
			tasks = append(tasks, assigned.task)
			delete(e.running, id)
		}
	}
	slices.SortFunc(tasks, func(a, b placement.Task) int { return placement.CompareTaskIDs(a.ID, b.ID) })
	return tasks
}

// SetLeaving sets whether a worker is leaving. A leaving worker gets no new tasks.
func (e *Engine) SetLeaving(name string, leaving bool) {
	for _, w := range e.workers {
		if w.Name == name {
			w.leaving = leaving
		}
	}
}

// ExclusionChanged does nothing, because Schedule checks every worker each time.
func (e *Engine) ExclusionChanged(string) {}

// Enqueue appends a task to the queue. It returns nil, or the reason for rejecting
// the task: it already waits or runs, the queue of its kind is full, or its start-by
// time has passed.
func (e *Engine) Enqueue(now time.Time, task placement.Task) *placement.Rejection {
	if _, isRunning := e.running[task.ID]; isRunning || e.queuedIDs[task.ID] {
		return &placement.Rejection{Code: workload.CodeKeyReused, Message: "the task is already waiting or running here"}
	}
	kind := e.kinds[task.Kind]
	if bound := kind.QueueBound; e.queuedByKind[task.Kind] >= cmp.Or(bound, placement.DefaultQueueBound) {
		return &placement.Rejection{Code: workload.CodeQueueFull, Message: "the queue is full", RetryAfter: time.Second}
	}
	if deadline := task.EnqueuedAt.Add(kind.Deadline); kind.Deadline > 0 && (task.StartBy.IsZero() || deadline.Before(task.StartBy)) {
		task.StartBy = deadline
	}
	if expired(now, &task) {
		return &placement.Rejection{Code: workload.CodeTooLate, Message: "the start-by time has passed"}
	}
	e.queue = append(e.queue, &task)
	e.queuedIDs[task.ID] = true
	e.queuedByKind[task.Kind]++
	return nil
}

// recordDequeue updates the counts for a task that leaves the queue.
func (e *Engine) recordDequeue(task *placement.Task) {
	delete(e.queuedIDs, task.ID)
	e.queuedByKind[task.Kind]--
}

func expired(now time.Time, task *placement.Task) bool {
	return !task.StartBy.IsZero() && now.After(task.StartBy)
}

// Cancel removes a waiting task and reports whether it was waiting.
func (e *Engine) Cancel(id placement.TaskID) bool {
	i := slices.IndexFunc(e.queue, func(task *placement.Task) bool { return task.ID == id })
	if i < 0 {
		return false
	}
	e.recordDequeue(e.queue[i])
	e.queue = slices.Delete(e.queue, i, i+1)
	return true
}

// TaskEnded releases the resources of a running task. The outcome is ignored.
func (e *Engine) TaskEnded(_ time.Time, id placement.TaskID, _ placement.Outcome) {
	if assigned, isRunning := e.running[id]; isRunning {
		assigned.worker.adjust(&assigned.task, -1)
		delete(e.running, id)
	}
}

// Waiting returns the number of waiting tasks.
func (e *Engine) Waiting() int { return len(e.queue) }

// Schedule makes up to limit decisions in order of arrival. It expires tasks whose
// start-by time has passed and starts those that fit on a worker. All tasks of a
// gang start together or none does; a gang counts as one decision.
func (e *Engine) Schedule(now time.Time, limit int) []placement.Decision {
	var decisions []placement.Decision
	remaining, decided := e.queue[:0:0], 0
	gangs := e.queuedGangs()
	for i, task := range e.queue {
		if decided >= limit {
			remaining = append(remaining, e.queue[i:]...)
			break
		}
		if expired(now, task) {
			decisions = append(decisions, placement.Decision{Verb: placement.VerbExpire, Task: *task, Reason: "start-by time has passed"})
			e.recordDequeue(task)
			decided++
			continue
		}
		started := e.startAll(e.tasksToStart(gangs, task))
		if task.GangSize > 1 && len(started) > 0 {
			// The other members follow in the queue. They run now and must not be
			// started again.
			gangs[gangKeyOf(task)] = nil
		}
		decisions = append(decisions, started...)
		decided += min(len(started), 1)
		remaining = append(remaining, task)
	}
	e.queue = slices.DeleteFunc(remaining, func(task *placement.Task) bool {
		_, isRunning := e.running[task.ID]
		if isRunning {
			e.recordDequeue(task)
		}
		return isRunning
	})
	return decisions
}

// gangKey identifies one attempt of a gang.
type gangKey struct {
	key     workload.Key
	attempt int
}

func gangKeyOf(task *placement.Task) gangKey { return gangKey{task.ID.Key, task.ID.Attempt} }

func (e *Engine) queuedGangs() map[gangKey][]*placement.Task {
	gangs := map[gangKey][]*placement.Task{}
	for _, task := range e.queue {
		if task.GangSize > 1 {
			gangs[gangKeyOf(task)] = append(gangs[gangKeyOf(task)], task)
		}
	}
	return gangs
}

// tasksToStart returns the task alone or, if it is the first queued member of a
// complete gang, all members. For any other gang member it returns nil.
func (e *Engine) tasksToStart(gangs map[gangKey][]*placement.Task, task *placement.Task) []*placement.Task {
	if task.GangSize <= 1 {
		return []*placement.Task{task}
	}
	if members := gangs[gangKeyOf(task)]; len(members) == task.GangSize && members[0] == task {
		return members
	}
	return nil
}

// startAll starts each task on the first worker that it fits on. If one of them fits
// on no worker, none is started and the result is nil.
func (e *Engine) startAll(tasks []*placement.Task) []placement.Decision {
	var decisions []placement.Decision
	for _, task := range tasks {
		w := e.firstFit(task)
		if w == nil {
			for _, d := range decisions {
				e.TaskEnded(time.Time{}, d.Task.ID, placement.Stopped)
			}
			return nil
		}
		e.start(*task, w)
		decisions = append(decisions, placement.Decision{Verb: placement.VerbStart, Task: *task, Worker: w.Name})
	}
	return decisions
}

func (e *Engine) firstFit(task *placement.Task) *worker {
	for _, w := range e.workers {
		if w.fits(task) && (e.options.Excluded == nil || !e.options.Excluded(w.Name)) {
			return w
		}
	}
	return nil
}

func (e *Engine) start(task placement.Task, w *worker) {
	e.running[task.ID] = assignment{task, w}
	w.adjust(&task, 1)
}
