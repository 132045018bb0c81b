package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// taskState is where one task of a request is, as its home knows it.
type taskState string

const (
	// taskQueued waits at the home.
	taskQueued taskState = "queued"
	// taskAssigned was sent to an owner that has not reported a start.
	taskAssigned taskState = "assigned"
	// taskRunning was started on a worker.
	taskRunning taskState = "running"
	// taskInDoubt was with an owner or a worker that is lost; it may still run.
	taskInDoubt taskState = "doubtful"
	// taskBackingOff waits for a retry.
	taskBackingOff taskState = "backing-off"
	taskEnded      taskState = "ended"
)

// teamKind names the teamKind that counts together against an owner's bound.
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
	// possibleWorkers are the workers that have to be listed before the task is
	// known not to run.
	possibleWorkers []string
	retryAt         time.Time
	// cancelSentAt is when the owner was last asked to end the task.
	cancelSentAt time.Time
	preempted    bool
	// stopping is set once a gang task was asked to stop with its gang.
	stopping bool
	// notStarted is set when the owner has said that the task never started.
	notStarted bool
	result     *Result
}

// TimelineEvent is one step in a request's life.
type TimelineEvent struct {
	At     time.Time `json:"at" cbor:"1,keyasint"`
	Event  string    `json:"event" cbor:"2,keyasint"`
	Detail string    `json:"detail,omitempty" cbor:"3,keyasint,omitempty"`
}

// Status is the state of a request as its home knows it.
type Status struct {
	Key     workload.Key   `json:"key" cbor:"1,keyasint"`
	Team    string         `json:"team" cbor:"2,keyasint"`
	Kind    string         `json:"kind" cbor:"3,keyasint"`
	State   workload.State `json:"state" cbor:"4,keyasint"`
	Attempt int            `json:"attempt" cbor:"5,keyasint"`
	// Waiting says for what a queued request waits.
	Waiting string            `json:"waiting,omitempty" cbor:"6,keyasint,omitempty"`
	Workers []string          `json:"workers,omitempty" cbor:"7,keyasint,omitempty"`
	Answer  *workload.Answer  `json:"answer,omitempty" cbor:"8,keyasint,omitempty"`
	Refusal *workload.Refusal `json:"refusal,omitempty" cbor:"9,keyasint,omitempty"`
	// Timeline is in order of time; Dropped counts events left out in its middle.
	Timeline []TimelineEvent `json:"timeline" cbor:"10,keyasint"`
	Dropped  int             `json:"dropped,omitempty" cbor:"11,keyasint,omitempty"`
	Deadline time.Duration   `json:"deadline,omitempty" cbor:"12,keyasint,omitempty"`
}

// entry is one request in its home's key table.
type entry struct {
	request workload.Request
	// digest is 0 while the whole request is not known: the entry comes from a
	// worker's list or from a front's question.
	digest     uint64
	fronts     []WaitingFront
	acceptedAt time.Time
	startBy    time.Time
	state      workload.State
	// attempt counts failed attempts, and sequence every assignment.
	attempt  int
	sequence int
	tasks    []task
	// unresolved is set when an earlier try or a former home may have started the
	// request.
	unresolved bool
	// mayHaveRun is set once an attempt may have run; no refusal of the entry
	// says "not run" from then on.
	mayHaveRun bool
	// queued is set while the entry is in its kind's queue.
	queued bool
	// counted is set while the entry counts against the team's quota.
	counted  bool
	durable  bool
	recorded bool
	// active is set while the entry is in its home's list of active entries.
	active bool
	// returnedBy is the owner that returned the last attempt.
	returnedBy string
	appending  bool
	// appendCount counts acceptance records of which no failure was reported.
	appendCount int
	// appendedAt is when the acceptance or the end was last sent to the log.
	appendedAt time.Time
	// recordPending is set while the entry is in the list of records to write.
	recordPending bool
	// endRead is set once the job's end was read from the log.
	endRead bool
	// pendingRefusal is a durable job's refusal that is told once its end was read back.
	pendingRefusal *workload.Refusal
	canceled       bool
	// inDeadlines is set while the entry is in its home's deadlines.
	inDeadlines bool
	// tooLargeSince is since when the fleet is too small for the request.
	tooLargeSince time.Time
	// incompleteSince is when the entry first waited for its whole request.
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

// isFinal reports whether a request in this state has its last outcome.
func isFinal(state workload.State) bool {
	return state == workload.StateEnded || state == workload.StateRefused ||
		state == workload.StateCanceled || state == workload.StateUnknown
}

// addEvent appends a timeline event; past the bound the middle is left out, since
// the start and the latest events explain a delay.
func (e *entry) addEvent(now time.Time, event, detail string) {
	if len(e.timeline) >= maxTimelineEvents {
		copy(e.timeline[maxTimelineEvents/2:], e.timeline[maxTimelineEvents/2+1:])
		e.timeline = e.timeline[:len(e.timeline)-1]
		e.droppedEvents++
	}
	e.timeline = append(e.timeline, TimelineEvent{At: now, Event: event, Detail: detail})
}

// setWaiting notes what the entry waits for, once for each change of the reason.
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

// tryOf returns the newest try that came from a front; 0 if none did.
func (e *entry) tryOf(front string) int {
	for _, known := range e.fronts {
		if known.Name == front {
			return known.Try
		}
	}
	return 0
}

func (e *entry) gangSize() int { return e.request.Tasks() }

// collected reports whether the home gathers the result before the front gets it.
func (e *entry) collected() bool { return e.durable || e.gangSize() > 1 }

// resetTasks prepares the tasks of a new attempt.
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

// assignment returns the label of one of the entry's tasks.
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
