// Package worker is the client for the platform's workers. It contains the wire
// types of the workers' HTTP interface and a client for one worker.
//
// A worker accepts work only with its newest session token. The client never
// repeats a call. Its errors say whether the call certainly had no effect, and
// the calling layer decides what to do.
//
// # Usage
//
//	client := worker.New(worker.Options{Address: address})
//	defer client.Close()
//	session, err := client.OpenSession(ctx, "node-1/7", 3*time.Second)
//	var held *worker.HeldError
//	if errors.As(err, &held) {
//		// Another node's session lasts until held.ExpiresAt.
//	}
//	report, err := client.Watch(ctx, worker.WatchRequest{Token: session.Token, Wait: 900 * time.Millisecond})
//	results, err := client.Start(ctx, session.Token, tasks)
//	err = client.CloseSession(ctx, session.Token)
//
// A call that had no effect returns one of *RefusedError, *HeldError, *TokenError
// and *NotSentError. A call that may have had an effect returns
// *OutcomeUnknownError. Durations on the wire are integers in milliseconds. Times
// on the wire are those of the worker's clock, in milliseconds since 1970.
package worker

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Paths of the HTTP interface.
const (
	PathOpen  = "/session/open"
	PathWatch = "/session/watch"
	PathClose = "/session/close"
	PathStart = "/task/start"
	PathState = "/state"
)

// Token is the fencing token of a session. A worker issues tokens in
// increasing order and refuses every token but the newest.
type Token uint64

// OpenBody is the body of a call to open a session.
type OpenBody struct {
	Holder   string `json:"holder"`
	LengthMS int64  `json:"length-ms"`
}

// OpenResponse is the worker's response to an accepted OpenBody.
type OpenResponse struct {
	Token  Token            `json:"token"`
	NowMS  int64            `json:"now-ms"`
	Worker placement.Worker `json:"worker"`
	Tasks  []ListedTask     `json:"tasks,omitempty"`
}

// TaskState is the state of a listed task.
type TaskState string

// The states of listed tasks.
const (
	Running  TaskState = "running"
	Finished TaskState = "finished"
)

// ListedTask is a task that runs on the worker, or a finished task whose result
// has not been acknowledged. The first Watch returns the result itself.
type ListedTask struct {
	ID          placement.TaskID   `json:"id"`
	State       TaskState          `json:"state"`
	Resources   workload.Resources `json:"resources"`
	Connections int                `json:"connections,omitempty"`
	// Label is the Label of the StartTask; the worker does not interpret it.
	Label []byte `json:"label,omitempty"`
	// StartedMSAgo is the time since the start, in milliseconds.
	StartedMSAgo int64             `json:"started-ms-ago"`
	Outcome      placement.Outcome `json:"outcome,omitempty"`
}

// WatchBody is the body of a watch call. Its fields are those of WatchRequest.
type WatchBody struct {
	Token        Token              `json:"token"`
	WaitMS       int64              `json:"wait-ms,omitempty"`
	ResultCursor uint64             `json:"seen,omitempty"`
	Acknowledge  []placement.TaskID `json:"acknowledge,omitempty"`
	Stop         []placement.TaskID `json:"stop,omitempty"`
	Checkpoint   []placement.TaskID `json:"checkpoint,omitempty"`
	Throttle     []placement.TaskID `json:"throttle,omitempty"`
}

// WatchResponse is the worker's response to a WatchBody. A worker with nothing to
// report responds with status 204 and no body.
type WatchResponse struct {
	NowMS        int64          `json:"now-ms"`
	ResultCursor uint64         `json:"seen,omitempty"`
	Finished     []FinishedTask `json:"finished,omitempty"`
	Usage        []Usage        `json:"usage,omitempty"`
	Leaving      bool           `json:"leaving,omitempty"`
}

// FinishedTask is the result of one task.
type FinishedTask struct {
	ID      placement.TaskID  `json:"id"`
	Outcome placement.Outcome `json:"outcome"`
	Reason  string            `json:"reason,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	// RanMS is the time from start to end, in milliseconds.
	RanMS int64 `json:"ran-ms"`
}

// Usage is the most recently measured resource usage of a running task. A worker
// reports it again only when it has changed.
type Usage struct {
	ID   placement.TaskID   `json:"id"`
	Used workload.Resources `json:"used"`
}

// StartTask is one task to start.
type StartTask struct {
	ID          placement.TaskID   `json:"id"`
	Resources   workload.Resources `json:"resources"`
	Connections int                `json:"connections,omitempty"`
	// StartByMS is the time by the worker's clock after which the task must
	// not start, in milliseconds since 1970; 0 means no limit. Client.Start
	// computes it from StartBy.
	StartByMS int64 `json:"start-by-ms,omitempty"`
	// StartBy is the same time by the local clock; the zero time means no limit.
	StartBy time.Time `json:"-"`
	// Label identifies the task to a node that later opens a session on the
	// worker.
	Label   []byte `json:"label,omitempty"`
	Payload []byte `json:"payload,omitempty"`
}

// StartBody is the body of a start call.
type StartBody struct {
	Token Token       `json:"token"`
	Tasks []StartTask `json:"tasks"`
}

// StartResponse has one result for each task of a StartBody, in the same order.
type StartResponse struct {
	Results []StartResult `json:"results"`
}

// StartReason is the reason why a task was not started by this call.
type StartReason string

// The reasons in start results.
const (
	// ReasonKnown and ReasonAcknowledged are reasons of accepted tasks that an
	// earlier call has started. The worker no longer has the result of an
	// acknowledged task.
	ReasonKnown        StartReason = "known"
	ReasonAcknowledged StartReason = "acknowledged"
	// The others are reasons of tasks that are not accepted: the time is after
	// StartByMS, the worker lacks capacity, it is leaving, or it keeps too
	// many unacknowledged results.
	ReasonTooLate      StartReason = "too-late"
	ReasonOverCapacity StartReason = "over-capacity"
	ReasonLeaving      StartReason = "leaving"
	ReasonResultsFull  StartReason = "results-full"
)

// StartResult says whether one task was accepted. A task that an earlier call has
// started is accepted with ReasonKnown or ReasonAcknowledged and not started
// again.
type StartResult struct {
	ID       placement.TaskID `json:"id"`
	Accepted bool             `json:"accepted"`
	Reason   StartReason      `json:"reason,omitempty"`
}

// CloseBody is the body of a call to close a session.
type CloseBody struct {
	Token Token `json:"token"`
}

// RefusalCode is the reason for refusing a call.
type RefusalCode string

// The codes of refused calls.
const (
	CodeHeld       RefusalCode = "held"
	CodeTokenOld   RefusalCode = "token-too-old"
	CodeBadRequest RefusalCode = "bad-request"
)

// RefusalBody is the body of the response to every refused call. Holder and
// HeldForMS belong to CodeHeld, Newest to CodeTokenOld.
type RefusalBody struct {
	Code      RefusalCode `json:"code"`
	Message   string      `json:"message,omitempty"`
	Holder    string      `json:"holder,omitempty"`
	HeldForMS int64       `json:"held-for-ms,omitempty"`
	Newest    Token       `json:"newest,omitempty"`
}

// StartRecord is one task that the worker started, for checks in tests.
type StartRecord struct {
	ID          placement.TaskID   `json:"id"`
	Token       Token              `json:"token"`
	Resources   workload.Resources `json:"resources"`
	StartedAtMS int64              `json:"started-at-ms"`
	// EndedAtMS is 0 while the task runs.
	EndedAtMS int64             `json:"ended-at-ms,omitempty"`
	Outcome   placement.Outcome `json:"outcome,omitempty"`
	Reason    string            `json:"reason,omitempty"`
}

// State is a worker's record of its sessions and tasks, for checks in tests. Counts
// and maxima are since the worker's start. Running and Unacked are the current
// numbers of running tasks and of unacknowledged results.
type State struct {
	Worker     placement.Worker   `json:"worker"`
	NowMS      int64              `json:"now-ms"`
	Holder     string             `json:"holder,omitempty"`
	Token      Token              `json:"token"`
	Started    []StartRecord      `json:"started"`
	Running    int                `json:"running"`
	Unacked    int                `json:"unacknowledged"`
	MaxUsed    workload.Resources `json:"max-used"`
	MaxRunning int                `json:"max-running"`
	MaxConns   int                `json:"max-connections"`
	// DoubleStarts counts attempts that were started while another attempt at
	// the same task was running. RepeatStarts counts accepted starts of attempts
	// that had been started before.
	DoubleStarts int `json:"double-starts"`
	RepeatStarts int `json:"repeat-starts"`
	// OverCapacity and TooLate count the starts that were refused for
	// ReasonOverCapacity and ReasonTooLate, OldTokens the calls that were refused
	// for CodeTokenOld.
	OverCapacity int `json:"over-capacity"`
	TooLate      int `json:"too-late"`
	OldTokens    int `json:"old-tokens"`
}
