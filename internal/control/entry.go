package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// taskState is the state of one task of a request, as known to its home.
type taskState string

const (
	// taskQueued: the task waits at the home.
	taskQueued taskState = "queued"
	// taskAssigned: the task was sent to an owner, which has not reported a
	// start.
	taskAssigned taskState = "assigned"
	// taskRunning: the task was started on a worker.
	taskRunning taskState = "running"
	// taskInDoubt: the task's owner or worker was lost; the task may still run.
	taskInDoubt taskState = "doubtful"
	// taskBackingOff: the task waits for its retry.
	taskBackingOff taskState = "backing-off"
	taskEnded      taskState = "ended"
)

// teamKind identifies the assignments that count together against the limit of
// outstanding assignments at an owner.
type teamKind struct{ team, kind string }

// task is one task of a request at its home.
type task struct {
	state        taskState
	id           placement.TaskID
	teamKind     teamKind
	owner        string
	worker       string
	changedAt    time.Time
	queriedAt    time.Time
	inDoubtSince time.Time
	// possibleWorkers are the workers that may run the task. Each has to be
	// ruled out before the task is known to have ended.
	possibleWorkers []string
	retryAt         time.Time
	// cancelSentAt is when the owner was last asked to stop the task.
	cancelSentAt time.Time
	preempted    bool
	// stopping is set once the task was asked to stop together with its gang.
	stopping bool
	// notStarted is set when the owner reported that the task never started.
	notStarted bool
	result     *Result
}

// TimelineEvent is one event in the timeline of a request.
type TimelineEvent struct {
	At     time.Time `json:"at" cbor:"1,keyasint"`
	Event  string    `json:"event" cbor:"2,keyasint"`
	Detail string    `json:"detail,omitempty" cbor:"3,keyasint,omitempty"`
}

// Status is the state of a request as known to its home.
type Status struct {
	Key     workload.Key   `json:"key" cbor:"1,keyasint"`
	Team    string         `json:"team" cbor:"2,keyasint"`
	Kind    string         `json:"kind" cbor:"3,keyasint"`
	State   workload.State `json:"state" cbor:"4,keyasint"`
	Attempt int            `json:"attempt" cbor:"5,keyasint"`
	// Waiting is the reason why a queued request waits.
	Waiting string            `json:"waiting,omitempty" cbor:"6,keyasint,omitempty"`
	Workers []string          `json:"workers,omitempty" cbor:"7,keyasint,omitempty"`
	Answer  *workload.Answer  `json:"answer,omitempty" cbor:"8,keyasint,omitempty"`
	Refusal *workload.Refusal `json:"refusal,omitempty" cbor:"9,keyasint,omitempty"`
	// Timeline is in chronological order; Dropped counts events left out in its
	// middle.
	Timeline []TimelineEvent `json:"timeline" cbor:"10,keyasint"`
	Dropped  int             `json:"dropped,omitempty" cbor:"11,keyasint,omitempty"`
	// Deadline is the time after acceptance within which the request has to
	// start; 0 is no limit.
	Deadline time.Duration `json:"deadline,omitempty" cbor:"12,keyasint,omitempty"`
}

// entry is one request in the key table of its home.
type entry struct {
	request workload.Request
	// digest is 0 while the complete request is not known, because the entry
	// was made from a worker's list or from a ResolveOnly message.
	digest     uint64
	fronts     []WaitingFront
	acceptedAt time.Time
	startBy    time.Time
	state      workload.State
	// attempt counts retries; sequence counts all assignments.
	attempt  int
	sequence int
	tasks    []task
	// unresolved is set when an earlier try or a former home may have started
	// the request.
	unresolved bool
	// mayHaveRun is set once an attempt may have run. From then on no refusal
	// of the entry says "not-run".
	mayHaveRun bool
	// queued is set while the entry is in the queue of its kind.
	queued bool
	// quotaCharged is set while the entry counts against the team's quota.
	quotaCharged bool
	// durable is set for jobs and services.
	durable bool
	// recorded is set once the acceptance record is known to be in the log.
	recorded bool
	// active is set while the entry is in its home's list of active entries.
	active bool
	// returnedBy is the owner that returned the last attempt.
	returnedBy string
	// appending is set from the append of the acceptance record until the record
	// was read back or the append has failed.
	appending bool
	// appendCount counts appends of the acceptance record that were not
	// reported as failed.
	appendCount int
	// appendedAt is when the acceptance or end record was last sent to the log.
	appendedAt time.Time
	// recordPending is set while the entry is in jobTable.pendingRecords.
	recordPending bool
	// endRead is set once the job's end record was read back from the log.
	endRead bool
	// pendingRefusal is the refusal of a durable job. It is sent once the end
	// record was read back.
	pendingRefusal *workload.Refusal
	canceled       bool
	// inDeadlines is set while the entry is in its home's deadlines.
	inDeadlines bool
	// tooLargeSince is when the fleet became too small for the request.
	tooLargeSince time.Time
	// incompleteSince is when the entry began to wait for the complete request.
	incompleteSince time.Time
	answer          *workload.Answer
	refusal         *workload.Refusal
	endedAt         time.Time
	timeline        []TimelineEvent
	droppedEvents   int
	waiting         string
	gang            gangState
}

func (e *entry) ended() bool { return isFinal(e.state) }

// isFinal reports whether a request in this state has its final outcome.
func isFinal(state workload.State) bool {
	return state == workload.StateEnded || state == workload.StateRefused ||
		state == workload.StateCanceled || state == workload.StateUnknown
}

// addEvent appends a timeline event. Past the limit it drops events in the
// middle, since the first and the latest events explain a delay.
func (e *entry) addEvent(now time.Time, event, detail string) {
	if len(e.timeline) >= maxTimelineEvents {
		copy(e.timeline[maxTimelineEvents/2:], e.timeline[maxTimelineEvents/2+1:])
		e.timeline = e.timeline[:len(e.timeline)-1]
		e.droppedEvents++
	}
	e.timeline = append(e.timeline, TimelineEvent{At: now, Event: event, Detail: detail})
}

// setWaiting sets the reason why the entry waits, and adds a timeline event
// when the reason changes.
func (e *entry) setWaiting(now time.Time, reason string) {
	if e.waiting != reason {
		e.waiting = reason
		e.addEvent(now, "waiting", reason)
	}
}

func (e *entry) addFront(front string, try int) {
	for i := range e.fronts {
		if e.fronts[i].Name == front {
			e.fronts[i].Try = max(e.fronts[i].Try, try)
			return
		}
	}
	if front == "" {
		return
	}
	if len(e.fronts) >= maxFrontsPerEntry {
		e.fronts = e.fronts[1:]
	}
	e.fronts = append(e.fronts, WaitingFront{front, try})
}

// tryOf returns the number of the newest try from a front, or 0 if there was
// none.
func (e *entry) tryOf(front string) int {
	for _, known := range e.fronts {
		if known.Name == front {
			return known.Try
		}
	}
	return 0
}

func (e *entry) gangSize() int { return e.request.Tasks() }

// collected reports whether the home collects the results before the front gets
// the answer.
func (e *entry) collected() bool { return e.durable || e.gangSize() > 1 }

// resetTasks creates the tasks of a new attempt.
func (e *entry) resetTasks(now time.Time, state taskState) {
	e.tasks = e.tasks[:0]
	for i := range e.gangSize() {
		e.tasks = append(e.tasks, task{state: state, id: taskID(e.request.Key, i, 0), teamKind: teamKind{e.request.Team, e.request.Kind}, changedAt: now})
	}
}

func (e *entry) status() Status {
	status := Status{
		Key: e.request.Key, Team: e.request.Team, Kind: e.request.Kind, State: e.state, Attempt: e.attempt,
		Answer: e.answer, Refusal: e.refusal, Timeline: e.timeline, Dropped: e.droppedEvents,
	}
	if !e.startBy.IsZero() {
		status.Deadline = e.startBy.Sub(e.acceptedAt)
	}
	if !e.ended() {
		status.Waiting = e.waiting
	}
	for i := range e.tasks {
		if e.tasks[i].worker != "" {
			status.Workers = append(status.Workers, e.tasks[i].worker)
		}
	}
	return status
}

// assignment returns the assignment of one of the entry's tasks.
func (e *entry) assignment(index int, region, front string, acceptedAt time.Time) Assignment {
	request := &e.request
	return Assignment{
		Task: placement.Task{
			ID: e.tasks[index].id, Team: request.Team, Kind: request.Kind, Class: request.EstimateClass(),
			Resources: request.Resources, Connections: 1, GangSize: request.GangSize, RunTime: request.RunTime(),
			EnqueuedAt: acceptedAt, Service: request.Mode == workload.ModeService,
		},
		Region:        region,
		Front:         front,
		NonIdempotent: request.NonIdempotent,
		Collected:     e.collected(),
		Mode:          request.Mode,
	}
}
