// Package workervm is a stand-in for the platform's worker VMs, for tests. It
// serves the HTTP interface that package worker calls, simulates a task by
// waiting for its run time, and injects faults on request.
//
// # Usage
//
//	fleet, err := workervm.Serve(ctx, []workervm.Options{{Worker: description}})
//	client := worker.New(worker.Options{Address: fleet.Addresses[0]})
//	...
//	cancel()
//	err = <-fleet.Done
//
// A payload may be JSON such as {"run-ms":50,"fail":false,"use":{"milli-cpu":100}}.
// With a negative run-ms the task runs until it is stopped or its lease expires.
// A task with any other payload completes at once. The result body is an Echo.
// GET /state returns a worker.State and POST /fault sets a Fault; faults don't
// affect these two calls.
package workervm

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Limits of one worker.
const (
	// DefaultTaskLease equals the default task lease in section 3.2 of the
	// design.
	DefaultTaskLease         = 20 * time.Second
	maxUnacknowledgedResults = 4096
	maxStartRecords          = 1 << 18
	maxSessionLength         = time.Minute
	maxWatchWait             = 30 * time.Second
	// maxReportBytes limits the result bodies in one watch answer; the last one
	// may exceed it.
	maxReportBytes = 4 << 20
)

// Reasons in the results of tasks that the worker ended before their run time was
// over.
const (
	ReasonLeaseExpired = "lease-expired"
	ReasonRequested    = "asked"
	ReasonFault        = "fault"
)

// Options configure a VM.
type Options struct {
	Worker placement.Worker
	// TaskLease is how long a task runs after its start or the last renewal of
	// the session; 0 means DefaultTaskLease.
	TaskLease time.Duration
	// InitialToken is the token before the first session, which gets the next
	// higher one. 0 means the current Unix time in seconds, so that a
	// replacement worker with the same address issues higher tokens.
	InitialToken worker.Token
	// Now is the worker's clock; nil means time.Now.
	Now func() time.Time
}

// Fault is the body of POST /fault. It replaces all earlier faults; the zero
// value clears them.
type Fault struct {
	// FailAll fails every new task at its start.
	FailAll bool `json:"fail-all,omitempty"`
	// Stall keeps tasks running past their run time.
	Stall bool `json:"stall,omitempty"`
	// Unresponsive leaves calls unanswered on the connections that exist when
	// the fault is set.
	Unresponsive bool `json:"silent,omitempty"`
	// Leave announces that the worker is leaving, and refuses new tasks.
	Leave bool `json:"leave,omitempty"`
	// Freeze pauses the worker: until the fault is replaced, it answers no call
	// and ends no task.
	Freeze bool `json:"freeze,omitempty"`
	// UsageLagMS is the time in milliseconds after the start of a task before
	// its usage is reported.
	UsageLagMS int64 `json:"usage-lag-ms,omitempty"`
	// UsageFactor multiplies the reported CPU and memory usage; 0 means 1.
	UsageFactor float64 `json:"usage-factor,omitempty"`
}

// Echo is the body of a result. Tests compare it with the request to detect wrong
// answers and answers to another request.
type Echo struct {
	ID placement.TaskID `json:"id"`
	// PayloadDigest is Digest of the payload.
	PayloadDigest string `json:"payload-digest"`
	Worker        string `json:"worker"`
}

// Digest returns the hash of a payload in the format of Echo.PayloadDigest.
func Digest(payload []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(payload)) }

// payloadSpec is the simulated behavior of a task, as decoded from its payload.
type payloadSpec struct {
	RunMS int64              `json:"run-ms"`
	Fail  bool               `json:"fail"`
	Use   workload.Resources `json:"use"`
}

// task is a started task whose result has not been acknowledged.
type task struct {
	worker.StartTask
	payloadSpec   payloadSpec
	startedAt     time.Time
	leaseEnds     time.Time
	throttled     bool
	reportedUsage workload.Resources
	// recordIndex is the index of the task's StartRecord.
	recordIndex int
	// result is nil while the task runs. resultSequence gives the order in
	// which tasks ended.
	result         *worker.FinishedTask
	resultSequence uint64
}

// VM is one worker. It is an http.Handler and safe for concurrent use.
type VM struct {
	options Options

	mu    sync.Mutex
	tasks map[placement.TaskID]*task
	// accepted holds the ids of all tasks that the worker ever started.
	accepted map[placement.TaskID]bool
	state    worker.State
	fault    Fault
	// sessionClosed is set before the first session and after the close of the
	// newest one.
	sessionClosed bool
	// sessionEnds and sessionLength are those of the session with the newest
	// token.
	sessionEnds    time.Time
	sessionLength  time.Duration
	resultSequence uint64
	// leaveReported is set after a watch of the newest session has reported
	// Fault.Leave.
	leaveReported bool
	// lastConnectionNumber is the number of the newest connection. Numbers start
	// at 1.
	lastConnectionNumber uint64
	// unresponsiveUpTo is the highest number of the connections that
	// Fault.Unresponsive affects.
	unresponsiveUpTo uint64
	// changed is closed and replaced whenever waiting calls have to check the
	// state again.
	changed chan struct{}
}

// New returns a worker without a session. Tasks end in time only while Run is
// running.
func New(options Options) *VM {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.TaskLease == 0 {
		options.TaskLease = DefaultTaskLease
	}
	if options.InitialToken == 0 {
		options.InitialToken = worker.Token(options.Now().Unix())
	}
	return &VM{
		options: options,
		tasks:   map[placement.TaskID]*task{}, accepted: map[placement.TaskID]bool{},
		state:         worker.State{Worker: options.Worker, Token: options.InitialToken},
		sessionClosed: true,
		changed:       make(chan struct{}),
	}
}

// Run ends tasks whose run time or lease has expired, until ctx is done.
func (v *VM) Run(ctx context.Context) {
	for {
		v.mu.Lock()
		next := v.endDueTasks(v.options.Now())
		changed := v.changed
		v.mu.Unlock()
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// endDueTasks ends the tasks whose run time or lease has expired and returns
// the time until the next one expires, at most one minute.
func (v *VM) endDueTasks(now time.Time) time.Duration {
	next := time.Minute
	if v.fault.Freeze {
		return next
	}
	for _, t := range v.tasks {
		if t.result != nil {
			continue
		}
		if !now.Before(t.leaseEnds) {
			v.endTask(now, t, placement.Stopped, ReasonLeaseExpired)
			continue
		}
		due := t.leaseEnds
		if finish := t.startedAt.Add(time.Duration(t.payloadSpec.RunMS) * time.Millisecond); t.payloadSpec.RunMS >= 0 && !v.fault.Stall {
			if !now.Before(finish) {
				v.completeOrFail(now, t)
				continue
			}
			due = minTime(due, finish)
		}
		next = min(next, due.Sub(now))
	}
	return next
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (v *VM) completeOrFail(now time.Time, t *task) {
	if t.payloadSpec.Fail {
		v.endTask(now, t, placement.Failed, "")
		return
	}
	v.endTask(now, t, placement.Completed, "")
}

// endTask records the outcome of a running task and keeps the result until it is
// acknowledged.
func (v *VM) endTask(now time.Time, t *task, outcome placement.Outcome, reason string) {
	body, err := json.Marshal(Echo{t.ID, Digest(t.Payload), v.options.Worker.Name})
	if err != nil {
		panic(err) // can't happen: Echo holds only strings and numbers
	}
	v.resultSequence++
	t.resultSequence = v.resultSequence
	t.result = &worker.FinishedTask{
		ID: t.ID, Outcome: outcome, Reason: reason, Body: body,
		RanMS: now.Sub(t.startedAt).Milliseconds(),
	}
	record := &v.state.Started[t.recordIndex]
	record.EndedAtMS, record.Outcome, record.Reason = now.UnixMilli(), outcome, reason
	t.Payload = nil
	v.notifyWaiters()
}

func (v *VM) notifyWaiters() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// allocated returns the resources and connections allocated to running tasks,
// and the number of these tasks.
func (v *VM) allocated() (total workload.Resources, running, connections int) {
	for _, t := range v.tasks {
		if t.result == nil {
			total = total.Add(t.Resources)
			connections += t.Connections
			running++
		}
	}
	return total, running, connections
}

// startTask starts one task, or returns the reason for refusing it. A repeated
// start of a task is accepted and has no effect.
func (v *VM) startTask(now time.Time, request worker.StartTask) worker.StartResult {
	result := worker.StartResult{ID: request.ID}
	if v.accepted[request.ID] {
		v.state.RepeatStarts++
		result.Accepted, result.Reason = true, worker.ReasonKnown
		if v.tasks[request.ID] == nil {
			result.Reason = worker.ReasonAcknowledged
		}
		return result
	}
	total, running, connections := v.allocated()
	total, connections = total.Add(request.Resources), connections+request.Connections
	description := v.options.Worker
	switch {
	case v.fault.Leave:
		result.Reason = worker.ReasonLeaving
	case request.StartByMS != 0 && now.UnixMilli() > request.StartByMS:
		v.state.TooLate++
		result.Reason = worker.ReasonTooLate
	case !total.Fits(description.Capacity) || running+1 > description.Slots || connections > description.Connections:
		v.state.OverCapacity++
		result.Reason = worker.ReasonOverCapacity
	case len(v.tasks)-running >= maxUnacknowledgedResults || len(v.state.Started) >= maxStartRecords:
		result.Reason = worker.ReasonResultsFull
	default:
		result.Accepted = true
		v.addTask(now, request)
		v.recordPeaks(total, running+1, connections)
	}
	return result
}

// addTask starts a task. It counts a double start if another attempt of the same
// task is still running on this worker.
func (v *VM) addTask(now time.Time, request worker.StartTask) {
	t := &task{
		StartTask: request, startedAt: now,
		leaseEnds: now.Add(v.options.TaskLease), recordIndex: len(v.state.Started),
	}
	// A task whose payload has another format completes at once.
	if json.Unmarshal(request.Payload, &t.payloadSpec) != nil {
		t.payloadSpec = payloadSpec{}
	}
	if t.payloadSpec.Use == (workload.Resources{}) {
		t.payloadSpec.Use = request.Resources
	}
	for _, other := range v.tasks {
		if other.result == nil && other.ID.Key == t.ID.Key && other.ID.Index == t.ID.Index {
			v.state.DoubleStarts++
		}
	}
	v.accepted[t.ID] = true
	v.tasks[t.ID] = t
	v.state.Started = append(v.state.Started, worker.StartRecord{
		ID: t.ID, Token: v.state.Token, Resources: t.Resources, StartedAtMS: now.UnixMilli(),
	})
	if v.fault.FailAll {
		v.endTask(now, t, placement.Failed, ReasonFault)
	}
	v.notifyWaiters()
}

// recordPeaks updates the maxima in the worker's state with the current allocation.
func (v *VM) recordPeaks(total workload.Resources, running, connections int) {
	peak := &v.state.MaxUsed
	peak.MilliCPU = max(peak.MilliCPU, total.MilliCPU)
	peak.MemoryMB = max(peak.MemoryMB, total.MemoryMB)
	peak.Accelerators = max(peak.Accelerators, total.Accelerators)
	v.state.MaxRunning = max(v.state.MaxRunning, running)
	v.state.MaxConns = max(v.state.MaxConns, connections)
}

// applyActions carries out what a watch call requests: it drops acknowledged
// results, and stops, checkpoints and throttles tasks. All of it is idempotent.
func (v *VM) applyActions(now time.Time, body worker.WatchBody) {
	for _, id := range body.Acknowledge {
		if t := v.tasks[id]; t != nil && t.result != nil {
			delete(v.tasks, id)
		}
	}
	v.endRunningTasks(now, body.Stop, placement.Stopped)
	v.endRunningTasks(now, body.Checkpoint, placement.Checkpointed)
	for _, id := range body.Throttle {
		if t := v.tasks[id]; t != nil {
			t.throttled = true
		}
	}
}

// endRunningTasks ends those of the given tasks that are running.
func (v *VM) endRunningTasks(now time.Time, ids []placement.TaskID, outcome placement.Outcome) {
	for _, id := range ids {
		if t := v.tasks[id]; t != nil && t.result == nil {
			v.endTask(now, t, outcome, ReasonRequested)
		}
	}
}

// usage returns the usage to report for a task. The usage of a throttled task
// does not exceed its allocated CPU and memory.
func (v *VM) usage(t *task) workload.Resources {
	use := t.payloadSpec.Use
	if factor := v.fault.UsageFactor; factor != 0 {
		use = workload.Resources{
			MilliCPU: int64(float64(use.MilliCPU) * factor), MemoryMB: int64(float64(use.MemoryMB) * factor),
			Accelerators: use.Accelerators,
		}
	}
	if t.throttled {
		use.MilliCPU = min(use.MilliCPU, t.Resources.MilliCPU)
		use.MemoryMB = min(use.MemoryMB, t.Resources.MemoryMB)
	}
	return use
}

// setFaultLocked replaces the fault; v.mu must be held. The run times and
// leases of tasks keep elapsing while the worker is frozen.
func (v *VM) setFaultLocked(fault Fault) {
	if fault.Unresponsive {
		v.unresponsiveUpTo = v.lastConnectionNumber
	} else {
		v.unresponsiveUpTo = 0
	}
	v.fault, v.leaveReported = fault, false
	v.notifyWaiters()
}
