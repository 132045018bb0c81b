// Package placement decides which waiting task starts on which worker. A node
// runs one engine for the workers that it owns. The engine keeps an exact
// account of the free resources of each worker.
//
// The package is deterministic. It uses no sockets, files, goroutines, clock or
// global random source: the time is an argument, and the same calls in the same
// order give the same decisions.
//
// # Usage
//
//	engine := placement.New(placement.Options{})
//	engine.SetPolicy(policy)
//	engine.AddWorker(now, worker, nil)
//	if rejection := engine.Enqueue(now, task); rejection != nil {
//		// The task was not queued; rejection gives the reason.
//	}
//	for _, decision := range engine.Schedule(now, 100) {
//		// Carry out the decision on the worker that it names.
//	}
//	engine.TaskEnded(now, task.ID, placement.Completed)
//
// A gang that starts counts as one decision towards the limit of Schedule, so
// that its tasks always start in one call.
//
// # Order of starts
//
// Kinds below their guaranteed share go first, the most urgent of them before
// the others. The other kinds follow in the order of their share above the
// guarantee, divided by their weight. Within a kind, the team with the smallest
// share, divided by its weight, goes first. Within a team, the oldest task that
// fits goes first.
//
// # Terms
//
// A kind borrows when it uses more than its guarantee. Borrowed resources are
// reclaimed for work within its guarantee, by waiting for running tasks to end
// or by preempting them. A shape is a class of tasks that fit the same workers.
// A gang plan is the planned start of a gang that does not fit yet, together
// with the workers that are kept for it. An allocation is the resources that a
// running or reserved task takes on its worker.
package placement

import (
	"cmp"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// TaskID identifies one attempt of one task. Index is the task's index in its
// gang, or 0 for a single task.
type TaskID struct {
	Key     workload.Key `json:"key" cbor:"1,keyasint"`
	Index   int          `json:"index" cbor:"2,keyasint,omitempty"`
	Attempt int          `json:"attempt" cbor:"3,keyasint,omitempty"`
}

// Task is a unit of work. All tasks of a gang have the same key and differ in
// their index.
type Task struct {
	ID        TaskID             `json:"id" cbor:"1,keyasint"`
	Team      string             `json:"team" cbor:"2,keyasint"`
	Kind      string             `json:"kind" cbor:"3,keyasint"`
	Class     string             `json:"class" cbor:"4,keyasint,omitempty"`
	Resources workload.Resources `json:"resources" cbor:"5,keyasint"`
	// Connections is how many of the worker's connections the task takes.
	Connections int `json:"connections" cbor:"6,keyasint,omitempty"`
	// GangSize is the number of tasks that have to start together; 0 and 1 mean
	// a single task.
	GangSize int `json:"gang-size" cbor:"7,keyasint,omitempty"`
	// RunTime is the declared run time; 0 if it is not known.
	RunTime time.Duration `json:"run-time" cbor:"8,keyasint,omitempty"`
	// EnqueuedAt is when the work was accepted from its caller.
	EnqueuedAt time.Time `json:"enqueued-at" cbor:"9,keyasint"`
	// StartBy is the time after which the task must not start; zero for none.
	StartBy time.Time `json:"start-by" cbor:"10,keyasint,omitempty"`
	// Service marks a long-running service. Its tasks are spread over racks and
	// failure domains.
	Service bool `json:"service" cbor:"11,keyasint,omitempty"`
}

// Worker is an upstream VM and its capacity, as known to the owner.
type Worker struct {
	Name          string             `json:"name"`
	Region        string             `json:"region"`
	FailureDomain string             `json:"failure-domain"`
	Rack          string             `json:"rack"`
	Capacity      workload.Resources `json:"capacity"`
	// Slots is the largest number of tasks at a time.
	Slots int `json:"slots"`
	// Connections is the largest number of connections of all tasks together.
	Connections int `json:"connections"`
}

// Running is a task that a worker listed as running when its session opened.
type Running struct {
	Task      Task
	StartedAt time.Time
}

// Verb is the action that a decision asks the owner to take.
type Verb string

// The verbs of decisions.
const (
	// VerbStart starts the task on the worker. The engine has already allocated
	// its resources.
	VerbStart Verb = "start"
	// VerbExpire reports that a waiting task was removed because its start-by
	// time has passed.
	VerbExpire Verb = "expire"
	// VerbStop, VerbCheckpoint and VerbThrottle act on a running task. The task
	// keeps its resources until TaskEnded is called for it.
	VerbStop       Verb = "stop"
	VerbCheckpoint Verb = "checkpoint"
	VerbThrottle   Verb = "throttle"
	// VerbQuarantine and VerbRelease report that a worker was taken out of
	// service because its tasks fail, or was returned to service.
	VerbQuarantine Verb = "quarantine"
	VerbRelease    Verb = "release"
	// VerbFaultyClass reports a job class that fails on every worker.
	VerbFaultyClass Verb = "blame"
)

// Decision is one decision of the engine: the action, the task, and the worker
// on which the task starts or runs.
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

// Rejection is the reason why a task was not queued. The task has not run.
type Rejection struct {
	Code    workload.Code
	Message string
	// RetryAfter is the delay after which to try again; 0 means never.
	RetryAfter time.Duration
}

// KindPolicy is the settings for one kind of work.
type KindPolicy struct {
	Name string
	// Urgency orders the kinds that are below their guarantees, and those that
	// have equal shares: the kind with the higher value starts first. Tasks of
	// less urgent kinds are preempted first.
	Urgency int
	// Weight is the kind's part, relative to the weights of the other kinds, of
	// the resources that are not guaranteed to any kind.
	Weight int
	// Guaranteed and Ceiling are shares of the scarcest resource, from 0 to 1.
	// A kind gets no more than its ceiling, unless its guarantee is higher. A
	// ceiling of 0 means 1.
	Guaranteed, Ceiling float64
	// QueueBound is the largest number of waiting tasks; 0 means
	// DefaultQueueBound.
	QueueBound int
	// Deadline is the longest wait before a task starts; 0 for none.
	Deadline time.Duration
	// Preemption is VerbCheckpoint, VerbThrottle or VerbStop, or empty for work
	// that is never preempted.
	Preemption Verb
}

// TeamPolicy is the settings for one team.
type TeamPolicy struct {
	Name   string
	Weight int
}

// Policy is the settings that the engine follows. Kinds and teams that are not
// listed get weight 1 and no guarantee.
type Policy struct {
	Kinds []KindPolicy
	Teams []TeamPolicy
}

// Options are fixed for the lifetime of an engine.
type Options struct {
	// Seed has no effect: the engine makes no random choices.
	Seed uint64
	// Estimate returns the expected run time of a task, or 0 if it is not
	// known. If it is nil, the declared run time is used.
	Estimate func(Task) time.Duration
	// Excluded reports whether a worker must get no new task, for example while
	// it is quarantined. If it is nil, no worker is excluded. Call
	// ExclusionChanged when the result for a worker changes.
	Excluded func(worker string) bool
	// Started, if set, is called for every start before the engine makes its
	// next decision, so that Excluded can limit the tasks of a worker within
	// one call of Schedule. It may call ExclusionChanged.
	Started func(now time.Time, task Task, worker string)
}

// Summary is the totals of an engine, from which home nodes choose an owner for
// a task.
type Summary struct {
	Workers      int                `json:"workers" cbor:"1,keyasint"`
	FreeSlots    int                `json:"free-slots" cbor:"2,keyasint"`
	Free         workload.Resources `json:"free" cbor:"3,keyasint"`
	Waiting      int                `json:"waiting" cbor:"4,keyasint"`
	Capacity     workload.Resources `json:"capacity" cbor:"5,keyasint"`
	LargestFree  workload.Resources `json:"largest-free" cbor:"6,keyasint"`
	LargestTotal workload.Resources `json:"largest-total" cbor:"7,keyasint"`
}

// CompareTaskIDs orders task IDs by key, index and attempt.
func CompareTaskIDs(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
}
