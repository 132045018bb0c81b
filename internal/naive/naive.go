// Package naive is the simplest scheduler that obeys the invariants: one queue
// in order of arrival, and for each task the first worker with room. It knows
// no urgency, guarantee, ceiling or preemption, and looks at every waiting
// task and every worker again in each call. It is the baseline of tests and
// benchmarks.
//
// # Usage
//
// Engine has the method set of placement.Engine that drivers use:
//
//	engine := naive.New(placement.Options{})
//	engine.AddWorker(now, worker, nil)
//	engine.Enqueue(now, task)
//	for _, decision := range engine.Schedule(now, 100) {
//		// Carry out the decision on the worker that it names.
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

// worker is a VM with what is left of it.
type worker struct {
	placement.Worker
	free        workload.Resources
	slots       int
	connections int
	leaving     bool
}

func (w *worker) fits(task *placement.Task) bool {
	return !w.leaving && w.slots > 0 && task.Connections <= w.connections && task.Resources.Fits(w.free)
}

func (w *worker) adjust(task *placement.Task, sign int) {
	w.free = w.free.Sub(task.Resources.Times(int64(sign)))
	w.slots -= sign
	w.connections -= sign * task.Connections
}

// assignment is where a running task is.
type assignment struct {
	task   placement.Task
	worker *worker
}

// Engine is the naive scheduler. It is not safe for use by several goroutines.
type Engine struct {
	options placement.Options
	kinds   map[string]placement.KindPolicy
	workers []*worker
	queue   []*placement.Task
	// queued holds the identities in the queue; waiting counts them by kind.
	queued  map[placement.TaskID]bool
	waiting map[string]int
	running map[placement.TaskID]assignment
}

// New returns an engine without workers. Only Excluded of the options is used.
func New(options placement.Options) *Engine {
	return &Engine{options: options, kinds: map[string]placement.KindPolicy{},
		queued: map[placement.TaskID]bool{}, waiting: map[string]int{}, running: map[placement.TaskID]assignment{}}
}

// SetPolicy takes the queue bounds and deadlines of kinds; the rest of the
// policy has no effect.
func (e *Engine) SetPolicy(policy placement.Policy) {
	clear(e.kinds)
	for _, kind := range policy.Kinds {
		e.kinds[kind.Name] = kind
	}
}

// AddWorker adds a worker with the tasks that it listed as running, or
// replaces the worker of that name.
func (e *Engine) AddWorker(now time.Time, added placement.Worker, running []placement.Running) {
	e.RemoveWorker(now, added.Name)
	w := &worker{Worker: added, free: added.Capacity, slots: added.Slots, connections: added.Connections}
	at, _ := slices.BinarySearchFunc(e.workers, added.Name, func(w *worker, name string) int { return cmp.Compare(w.Name, name) })
	e.workers = slices.Insert(e.workers, at, w)
	for _, listed := range running {
		e.Cancel(listed.Task.ID)
		e.start(listed.Task, w)
	}
}

// RemoveWorker removes a worker and returns the tasks that were on it.
func (e *Engine) RemoveWorker(_ time.Time, name string) []placement.Task {
	e.workers = slices.DeleteFunc(e.workers, func(w *worker) bool { return w.Name == name })
	var tasks []placement.Task
	for id, at := range e.running {
		if at.worker.Name == name {
			tasks = append(tasks, at.task)
			delete(e.running, id)
		}
	}
	slices.SortFunc(tasks, func(a, b placement.Task) int { return placement.CompareTaskIDs(a.ID, b.ID) })
	return tasks
}

// SetLeaving says whether a worker is leaving; it then gets no new task.
func (e *Engine) SetLeaving(name string, leaving bool) {
	for _, w := range e.workers {
		if w.Name == name {
			w.leaving = leaving
		}
	}
}

// ExclusionChanged has no effect: every call looks at every worker.
func (e *Engine) ExclusionChanged(string) {}

// Enqueue puts a task at the end of the queue, or says why it does not.
func (e *Engine) Enqueue(now time.Time, task placement.Task) *placement.Rejection {
	if _, runs := e.running[task.ID]; runs || e.queued[task.ID] {
		return &placement.Rejection{Code: workload.CodeKeyReused, Message: "the task is already waiting or running here"}
	}
	kind := e.kinds[task.Kind]
	if bound := kind.QueueBound; e.waiting[task.Kind] >= cmp.Or(bound, placement.DefaultQueueBound) {
		return &placement.Rejection{Code: workload.CodeQueueFull, Message: "the queue is full", RetryAfter: time.Second}
	}
	if last := task.EnqueuedAt.Add(kind.Deadline); kind.Deadline > 0 && (task.StartBy.IsZero() || last.Before(task.StartBy)) {
		task.StartBy = last
	}
	if expired(now, &task) {
		return &placement.Rejection{Code: workload.CodeTooLate, Message: "the start-by time has passed"}
	}
	e.queue = append(e.queue, &task)
	e.queued[task.ID] = true
	e.waiting[task.Kind]++
	return nil
}

// recordDequeue counts a task that is no longer in the queue.
func (e *Engine) recordDequeue(task *placement.Task) {
	delete(e.queued, task.ID)
	e.waiting[task.Kind]--
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

// TaskEnded returns a running task's room to its worker.
func (e *Engine) TaskEnded(_ time.Time, id placement.TaskID, _ placement.Outcome) {
	if at, runs := e.running[id]; runs {
		at.worker.adjust(&at.task, -1)
		delete(e.running, id)
	}
}

// Waiting returns the number of waiting tasks.
func (e *Engine) Waiting() int { return len(e.queue) }

// Schedule starts, in order of arrival, up to limit tasks that fit somewhere.
// A gang counts as one and starts with all of its tasks or not at all.
func (e *Engine) Schedule(now time.Time, limit int) []placement.Decision {
	var decisions []placement.Decision
	kept, made := e.queue[:0:0], 0
	gangs := e.queuedGangs()
	for i, task := range e.queue {
		if made >= limit {
			kept = append(kept, e.queue[i:]...)
			break
		}
		if expired(now, task) {
			decisions = append(decisions, placement.Decision{Verb: placement.VerbExpire, Task: *task, Reason: "start-by time has passed"})
			e.recordDequeue(task)
			made++
			continue
		}
		started := e.startAll(e.tasksToStart(gangs, task))
		if task.GangSize > 1 && len(started) > 0 {
			// The other members are later in the queue and are running now.
			gangs[gangKeyOf(task)] = nil
		}
		decisions = append(decisions, started...)
		made += min(len(started), 1)
		kept = append(kept, task)
	}
	e.queue = slices.DeleteFunc(kept, func(task *placement.Task) bool {
		_, runs := e.running[task.ID]
		if runs {
			e.recordDequeue(task)
		}
		return runs
	})
	return decisions
}

// gangKey names one attempt of a gangKey.
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

// tasksToStart returns the tasks that have to start with the given one; none if
// its gang is incomplete, has started, or was tried for an earlier member.
func (e *Engine) tasksToStart(gangs map[gangKey][]*placement.Task, task *placement.Task) []*placement.Task {
	if task.GangSize <= 1 {
		return []*placement.Task{task}
	}
	if members := gangs[gangKeyOf(task)]; len(members) == task.GangSize && members[0] == task {
		return members
	}
	return nil
}

// startAll starts all tasks, each on the first worker with room, or none.
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
