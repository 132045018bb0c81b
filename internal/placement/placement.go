// Package placement is the decision engine of a worker's owner: it keeps the
// exact free room of every worker that the node owns and decides which waiting
// task starts where.
//
// The package is pure. It has no socket, file, goroutine, clock or global
// random source: time is an argument, and the same calls in the same order
// give the same decisions.
//
// # Usage
//
//	engine := placement.New(placement.Options{Seed: 1})
//	engine.SetPolicy(policy)
//	engine.AddWorker(now, worker, nil)
//	if rejection := engine.Enqueue(now, task); rejection != nil {
//		// The task was not taken; rejection says why.
//	}
//	for _, decision := range engine.Schedule(now, 100) {
//		// Carry out the decision on the worker that it names.
//	}
//	engine.TaskEnded(now, task.ID, placement.Completed)
package placement

import (
	"cmp"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// TaskID names one attempt of one task. Index is the task's place in its gang
// and 0 for a single task.
type TaskID struct {
	Key     workload.Key `json:"key" cbor:"1,keyasint"`
	Index   int          `json:"index" cbor:"2,keyasint,omitempty"`
	Attempt int          `json:"attempt" cbor:"3,keyasint,omitempty"`
}

// Task is a waiting unit of work. All tasks of a gang have the same key and
// differ in their index.
type Task struct {
	ID          TaskID             `json:"id" cbor:"1,keyasint"`
	Team        string             `json:"team" cbor:"2,keyasint"`
	Kind        string             `json:"kind" cbor:"3,keyasint"`
	Class       string             `json:"class" cbor:"4,keyasint,omitempty"`
	Resources   workload.Resources `json:"resources" cbor:"5,keyasint"`
	Connections int                `json:"connections" cbor:"6,keyasint,omitempty"`
	// GangSize is the number of tasks that have to start together; 0 and 1 are
	// a single task.
	GangSize int `json:"gang-size" cbor:"7,keyasint,omitempty"`
	// RunTime is the declared run time; 0 if it is not known.
	RunTime time.Duration `json:"run-time" cbor:"8,keyasint,omitempty"`
	// EnqueuedAt is when the work was accepted from its caller.
	EnqueuedAt time.Time `json:"enqueued-at" cbor:"9,keyasint"`
	// StartBy is the time after which the task must not start; zero for none.
	StartBy time.Time `json:"start-by" cbor:"10,keyasint,omitempty"`
	// Service marks a long-running service, whose tasks are spread over racks
	// and failure domains.
	Service bool `json:"service" cbor:"11,keyasint,omitempty"`
}

// Worker is an upstream VM as its owner sees it.
type Worker struct {
	Name          string             `json:"name"`
	Region        string             `json:"region"`
	FailureDomain string             `json:"failure-domain"`
	Rack          string             `json:"rack"`
	Capacity      workload.Resources `json:"capacity"`
	Slots         int                `json:"slots"`
	Connections   int                `json:"connections"`
}

// Running is a task that a worker listed as running when its session opened.
type Running struct {
	Task      Task
	StartedAt time.Time
}

// Verb says what a decision asks the owner to do.
type Verb string

// The verbs of decisions.
const (
	// VerbStart starts the task on the worker; its room is already taken.
	VerbStart Verb = "start"
	// VerbExpire returns a waiting task whose start-by time has passed.
	VerbExpire Verb = "expire"
	// VerbStop, VerbCheckpoint and VerbThrottle act on a running task. A task
	// keeps its room until TaskEnded is called for it.
	VerbStop       Verb = "stop"
	VerbCheckpoint Verb = "checkpoint"
	VerbThrottle   Verb = "throttle"
	// VerbQuarantine and VerbRelease report that the worker was taken out of
	// service for failing tasks, or was put back.
	VerbQuarantine Verb = "quarantine"
	VerbRelease    Verb = "release"
	// VerbBlame reports a class of work that fails on every worker.
	VerbBlame Verb = "blame"
)

// Decision is one output of the engine.
type Decision struct {
	Verb   Verb
	Task   Task
	Worker string
	Reason string
}

// Outcome is how a task ended.
type Outcome string

// The outcomes of a task.
const (
	Completed    Outcome = "completed"
	Failed       Outcome = "failed"
	Stopped      Outcome = "stopped"
	Checkpointed Outcome = "checkpointed"
	Lost         Outcome = "lost"
)

// Rejection says why a task was not taken; the task has not run.
type Rejection struct {
	Code    workload.Code
	Message string
	// RetryAfter is when to try again; 0 means never.
	RetryAfter time.Duration
}

// KindPolicy is what operators set for one kind of work.
type KindPolicy struct {
	Name string
	// Urgency orders kinds inside one entitlement; higher starts first.
	Urgency int
	// Weight divides room that no kind has a guarantee for.
	Weight int
	// Guaranteed and Ceiling are shares of the scarcest resource, from 0 to 1.
	Guaranteed, Ceiling float64
	// QueueBound is the largest number of waiting tasks; 0 takes the default.
	QueueBound int
	// Deadline is the longest wait before the start; 0 for none.
	Deadline time.Duration
	// Preemption is VerbCheckpoint, VerbThrottle or VerbStop, or empty for work
	// that is never preempted.
	Preemption Verb
}

// TeamPolicy is what operators set for one team.
type TeamPolicy struct {
	Name   string
	Weight int
}

// Policy is the part of the configuration that the engine follows. Kinds and
// teams that it does not name get weight 1 and no guarantee.
type Policy struct {
	Kinds []KindPolicy
	Teams []TeamPolicy
}

// Options are fixed for the life of an engine.
type Options struct {
	// Seed starts the engine's random source.
	Seed uint64
}

// Summary is the compact view of an engine that homes choose owners by.
type Summary struct {
	Workers      int                `json:"workers" cbor:"1,keyasint"`
	FreeSlots    int                `json:"free-slots" cbor:"2,keyasint"`
	Free         workload.Resources `json:"free" cbor:"3,keyasint"`
	Waiting      int                `json:"waiting" cbor:"4,keyasint"`
	Capacity     workload.Resources `json:"capacity" cbor:"5,keyasint"`
	LargestFree  workload.Resources `json:"largest-free" cbor:"6,keyasint"`
	LargestTotal workload.Resources `json:"largest-total" cbor:"7,keyasint"`
}

type workerState struct {
	worker  Worker
	free    workload.Resources
	slots   int
	leaving bool
	running map[TaskID]Running
}

// Engine decides placements for the workers of one owner. It is not safe for
// use by several goroutines.
type Engine struct {
	workers map[string]*workerState
	order   []string
	waiting []Task
	place   map[TaskID]string
}

// New returns an engine without workers.
func New(Options) *Engine {
	return &Engine{workers: map[string]*workerState{}, place: map[TaskID]string{}}
}

// SetPolicy replaces the policy; it applies from the next call of Schedule.
func (e *Engine) SetPolicy(Policy) {}

// AddWorker adds a worker with the tasks that it listed as running.
func (e *Engine) AddWorker(_ time.Time, worker Worker, running []Running) {
	state := &workerState{worker: worker, free: worker.Capacity, slots: worker.Slots, running: map[TaskID]Running{}}
	for _, r := range running {
		state.running[r.Task.ID] = r
		state.free = state.free.Sub(r.Task.Resources)
		state.slots--
		e.place[r.Task.ID] = worker.Name
	}
	e.workers[worker.Name] = state
	e.order = append(e.order, worker.Name)
	slices.Sort(e.order)
}

// RemoveWorker removes a worker and returns the tasks that were on it, in the
// order of their identity. It does not say whether they still run.
func (e *Engine) RemoveWorker(_ time.Time, name string) []Task {
	state := e.workers[name]
	if state == nil {
		return nil
	}
	var tasks []Task
	for id, r := range state.running {
		tasks = append(tasks, r.Task)
		delete(e.place, id)
	}
	slices.SortFunc(tasks, func(a, b Task) int { return CompareTaskIDs(a.ID, b.ID) })
	delete(e.workers, name)
	e.order = slices.DeleteFunc(e.order, func(other string) bool { return other == name })
	return tasks
}

// CompareTaskIDs orders identities by key, index and attempt.
func CompareTaskIDs(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
}

// SetLeaving says whether a worker is leaving; a leaving worker gets no new task.
func (e *Engine) SetLeaving(name string, leaving bool) {
	if state := e.workers[name]; state != nil {
		state.leaving = leaving
	}
}

// Enqueue takes a waiting task, or says why it does not.
func (e *Engine) Enqueue(_ time.Time, task Task) *Rejection {
	e.waiting = append(e.waiting, task)
	return nil
}

// Cancel removes a waiting task and reports whether it was waiting.
func (e *Engine) Cancel(id TaskID) bool {
	before := len(e.waiting)
	e.waiting = slices.DeleteFunc(e.waiting, func(task Task) bool { return task.ID == id })
	return len(e.waiting) < before
}

// Schedule makes up to limit decisions.
func (e *Engine) Schedule(now time.Time, limit int) []Decision {
	var decisions []Decision
	kept := e.waiting[:0]
	for i, task := range e.waiting {
		switch name := e.firstFit(task); {
		case len(decisions) >= limit:
			kept = append(kept, e.waiting[i])
		case !task.StartBy.IsZero() && now.After(task.StartBy):
			decisions = append(decisions, Decision{Verb: VerbExpire, Task: task})
		case name == "":
			kept = append(kept, task)
		default:
			e.start(now, task, name)
			decisions = append(decisions, Decision{Verb: VerbStart, Task: task, Worker: name})
		}
	}
	e.waiting = kept
	return decisions
}

func (e *Engine) firstFit(task Task) string {
	for _, name := range e.order {
		state := e.workers[name]
		if !state.leaving && state.slots > 0 && task.Resources.Fits(state.free) {
			return name
		}
	}
	return ""
}

func (e *Engine) start(now time.Time, task Task, name string) {
	state := e.workers[name]
	state.slots--
	state.free = state.free.Sub(task.Resources)
	state.running[task.ID] = Running{Task: task, StartedAt: now}
	e.place[task.ID] = name
}

// TaskEnded returns a running task's room to its worker.
func (e *Engine) TaskEnded(_ time.Time, id TaskID, _ Outcome) {
	state := e.workers[e.place[id]]
	if state == nil {
		return
	}
	state.slots++
	state.free = state.free.Add(state.running[id].Task.Resources)
	delete(state.running, id)
	delete(e.place, id)
}

// ReportUsage records what a running task was seen to use. Reports lag.
func (e *Engine) ReportUsage(time.Time, TaskID, workload.Resources) {}

// Reserve holds room for up to count tasks like the given one until the given
// time and returns for how many it holds room. It is how a gang over several
// owners collects commitments.
func (e *Engine) Reserve(time.Time, workload.Key, Task, int, time.Time) int { return 0 }

// Confirm starts tasks in the room that was reserved under their key and drops
// the rest of the reservation. Without a reservation for all of them, it starts none.
func (e *Engine) Confirm(time.Time, workload.Key, []Task) []Decision { return nil }

// ReleaseReservation drops the reservation under the key.
func (e *Engine) ReleaseReservation(workload.Key) {}

// NeverRunnable says why the task can't run on this engine's workers even if
// they were empty; it is empty if the task could run.
func (e *Engine) NeverRunnable(task Task) string {
	for _, name := range e.order {
		if task.Resources.Fits(e.workers[name].worker.Capacity) {
			return ""
		}
	}
	return "no worker is large enough"
}

// Summary returns the engine's present free room.
func (e *Engine) Summary(time.Time) Summary {
	summary := Summary{Waiting: len(e.waiting)}
	for _, name := range e.order {
		state := e.workers[name]
		if state.leaving {
			continue
		}
		summary.Workers++
		summary.FreeSlots += state.slots
		summary.Free = summary.Free.Add(state.free)
		summary.Capacity = summary.Capacity.Add(state.worker.Capacity)
		summary.LargestFree = largest(summary.LargestFree, state.free)
		summary.LargestTotal = largest(summary.LargestTotal, state.worker.Capacity)
	}
	return summary
}

func largest(a, b workload.Resources) workload.Resources {
	return workload.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
