// Package worker is the adapter to the platform's workers. It holds the wire
// types of the workers' HTTP interface and a client for one worker.
//
// A worker accepts work only under its newest session token. The client never
// repeats a call: its errors say whether the call certainly had no effect, and
// the layer above decides what to do.
//
// # Usage
//
//	client := worker.New(worker.Options{Address: address})
//	defer client.Close()
//	session, err := client.OpenSession(ctx, "node-1/7", 3*time.Second)
//	var held *worker.HeldError
//	if errors.As(err, &held) {
//		// Another node owns the worker until held.Until.
//	}
//	report, err := client.Watch(ctx, worker.WatchRequest{Token: session.Token, Wait: 900 * time.Millisecond})
//	results, err := client.Start(ctx, session.Token, tasks)
//	err = client.CloseSession(ctx, session.Token)
//
// A failed call returns one of *RefusedError, *HeldError, *TokenError and
// *NotSentError, after which nothing was done, or *OutcomeUnknownError, after
// which the call may have taken effect. Durations on the wire are integers in
// milliseconds and times are read from the worker's clock.
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

// OpenBody is the body of a request to open a session.
type OpenBody struct {
	Holder   string `json:"holder"`
	LengthMS int64  `json:"length-ms"`
}

// OpenResponse is the worker's answer to an accepted OpenBody.
type OpenResponse struct {
	Token  Token            `json:"token"`
	NowMS  int64            `json:"now-ms"`
	Worker placement.Worker `json:"worker"`
	Tasks  []ListedTask     `json:"tasks,omitempty"`
}

// TaskState is where a listed task is in its life.
type TaskState string

// The states of listed tasks.
const (
	Running  TaskState = "running"
	Finished TaskState = "finished"
)

// ListedTask is a task that runs on the worker, or that has finished and whose
// result is not acknowledged. The result itself comes with the first Watch.
type ListedTask struct {
	ID          placement.TaskID   `json:"id"`
	State       TaskState          `json:"state"`
	Resources   workload.Resources `json:"resources"`
	Connections int                `json:"connections,omitempty"`
	// Label holds the bytes given to Start; the worker does not read them.
	Label []byte `json:"label,omitempty"`
	// StartedMSAgo is the time since the start, in milliseconds.
	StartedMSAgo int64             `json:"started-ms-ago"`
	Outcome      placement.Outcome `json:"outcome,omitempty"`
}

// WatchBody is the body of a watch request.
type WatchBody struct {
	Token        Token              `json:"token"`
	WaitMS       int64              `json:"wait-ms,omitempty"`
	ResultCursor uint64             `json:"seen,omitempty"`
	Acknowledge  []placement.TaskID `json:"acknowledge,omitempty"`
	Stop         []placement.TaskID `json:"stop,omitempty"`
	Checkpoint   []placement.TaskID `json:"checkpoint,omitempty"`
	Throttle     []placement.TaskID `json:"throttle,omitempty"`
}

// WatchResponse is the worker's answer to a WatchBody. A worker with nothing to
// report answers with status 204 and no body.
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

// Usage is what a running task was seen to use some time ago. A worker reports
// it again only when it has changed.
type Usage struct {
	ID   placement.TaskID   `json:"id"`
	Used workload.Resources `json:"used"`
}

// StartTask asks for the start of one task.
type StartTask struct {
	ID          placement.TaskID   `json:"id"`
	Resources   workload.Resources `json:"resources"`
	Connections int                `json:"connections,omitempty"`
	// StartByMS is the time by the worker's clock after which the task must
	// not start, in milliseconds since 1970; 0 is no limit. Start computes it
	// from StartBy.
	StartByMS int64     `json:"start-by-ms,omitempty"`
	StartBy   time.Time `json:"-"`
	// Label tells a later owner what the task is.
	Label   []byte `json:"label,omitempty"`
	Payload []byte `json:"payload,omitempty"`
}

// StartBody is the body of a start request.
type StartBody struct {
	Token Token       `json:"token"`
	Tasks []StartTask `json:"tasks"`
}

// StartResponse holds one result for each task of a StartBody, in its order.
type StartResponse struct {
	Results []StartResult `json:"results"`
}

// StartReason says why a task was not started.
type StartReason string

// The reasons in start results.
const (
	// ReasonKnown and ReasonAcknowledged go with accepted tasks that were
	// started before. The result of an acknowledged task is gone.
	ReasonKnown        StartReason = "known"
	ReasonAcknowledged StartReason = "acknowledged"
	ReasonTooLate      StartReason = "too-late"
	ReasonOverCapacity StartReason = "over-capacity"
	ReasonLeaving      StartReason = "leaving"
	ReasonResultsFull  StartReason = "results-full"
)

// StartResult says what became of one task. A task that the worker knew before
// is accepted with ReasonKnown or ReasonAcknowledged and was not started again.
type StartResult struct {
	ID       placement.TaskID `json:"id"`
	Accepted bool             `json:"accepted"`
	Reason   StartReason      `json:"reason,omitempty"`
}

// CloseBody is the body of a request to close a session.
type CloseBody struct {
	Token Token `json:"token"`
}

// RefusalCode names the reason of a refused call.
type RefusalCode string

// The codes of refused calls.
const (
	CodeHeld       RefusalCode = "held"
	CodeTokenOld   RefusalCode = "token-too-old"
	CodeBadRequest RefusalCode = "bad-request"
)

// RefusalBody is the body of every refused call.
type RefusalBody struct {
	Code      RefusalCode `json:"code"`
	Message   string      `json:"message,omitempty"`
	Holder    string      `json:"holder,omitempty"`
	HeldForMS int64       `json:"held-for-ms,omitempty"`
	Newest    Token       `json:"newest,omitempty"`
}

// StartRecord is one task that the worker started, for checkers.
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

// State is what a worker saw, for checkers.
type State struct {
	Worker       placement.Worker   `json:"worker"`
	NowMS        int64              `json:"now-ms"`
	Holder       string             `json:"holder,omitempty"`
	Token        Token              `json:"token"`
	Started      []StartRecord      `json:"started"`
	Running      int                `json:"running"`
	Unacked      int                `json:"unacknowledged"`
	MaxUsed      workload.Resources `json:"max-used"`
	MaxRunning   int                `json:"max-running"`
	MaxConns     int                `json:"max-connections"`
	DoubleStarts int                `json:"double-starts"`
	RepeatStarts int                `json:"repeat-starts"`
	OverCapacity int                `json:"over-capacity"`
	TooLate      int                `json:"too-late"`
	OldTokens    int                `json:"old-tokens"`
}
