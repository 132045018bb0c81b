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
//
// A gang that starts counts as one decision towards the limit of Schedule, so
// that its tasks always start in one call.
//
// # Order of work
//
// Kinds below their guaranteed share go first, by urgency. The other kinds
// follow by their share above the guarantee, divided by their weight. Inside a
// kind the team with the smallest share for its weight goes first, and inside
// a team the oldest task whose shape can fit.
package placement

import (
	"cmp"
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
	// VerbFaultyClass reports a class of work that fails on every worker.
	VerbFaultyClass Verb = "blame"
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
	// Estimate returns the expected run time of a task and 0 if it is not
	// known; nil takes the declared run time.
	Estimate func(Task) time.Duration
	// Excluded reports that a worker must get no new task, for example while
	// it is quarantined; nil excludes none. Call FitnessChanged when the result
	// for a worker changes.
	Excluded func(worker string) bool
	// Started, if set, is told of every start before the engine makes its next
	// decision, so that Excluded can limit the tasks of a worker within one
	// call of Schedule. It may call FitnessChanged.
	Started func(now time.Time, task Task, worker string)
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

// CompareTaskIDs orders identities by key, index and attempt.
func CompareTaskIDs(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
}
