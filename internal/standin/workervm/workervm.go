// Package workervm is a stand-in of the platform's worker VMs for tests. It
// serves the HTTP interface that package worker calls, runs a task by waiting
// for its run time, and injects faults on request.
//
// # Usage
//
//	fleet, err := workervm.Serve(ctx, []workervm.Options{{Worker: description}})
//	client := worker.New(worker.Options{Address: fleet.Addresses[0]})
//	...
//	cancel()
//	err = <-fleet.Done
//
// A payload may be JSON such as {"run-ms":50,"fail":false,"use":{"milli-cpu":100}};
// a negative run-ms runs until the task is stopped. The result body is an Echo.
// GET /state returns a worker.State, POST /fault takes a Fault. No fault affects
// these two.
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

// Bounds of one worker.
const (
	// DefaultTaskLease is the task lease of section 3.2 of the design.
	DefaultTaskLease = 20 * time.Second
	maxUnacked       = 4096
	maxStarted       = 1 << 18
	maxSession       = time.Minute
	maxWait          = 30 * time.Second
	// maxReportBytes bounds the bodies in one watch answer.
	maxReportBytes = 4 << 20
)

// Reasons of tasks that the worker ended.
const (
	ReasonLeaseExpired = "lease-expired"
	ReasonRequested    = "asked"
	ReasonFault        = "fault"
)

// Options are fixed for the life of a worker.
type Options struct {
	Worker placement.Worker
	// TaskLease is 20 s if it is 0.
	TaskLease time.Duration
	// FirstToken is where tokens start; 0 takes the present Unix time, so that
	// a replaced worker with the same address issues higher tokens.
	FirstToken worker.Token
	// Now is the worker's clock; nil takes time.Now.
	Now func() time.Time
}

// Fault is the body of POST /fault. It replaces all earlier faults; the zero
// value clears them.
type Fault struct {
	// FailAll fails every task at its start.
	FailAll bool `json:"fail-all,omitempty"`
	// Stall lets no task finish.
	Stall bool `json:"stall,omitempty"`
	// Unresponsive never answers on connections that exist now.
	Unresponsive bool `json:"silent,omitempty"`
	// Leave announces that the worker leaves and refuses new tasks.
	Leave bool `json:"leave,omitempty"`
	// Freeze pauses the worker: no call is answered and nothing ends until the
	// fault is replaced.
	Freeze bool `json:"freeze,omitempty"`
	// UsageLagMS delays usage reports, in milliseconds.
	UsageLagMS int64 `json:"usage-lag-ms,omitempty"`
	// UsageFactor multiplies reported usage; 0 is 1.
	UsageFactor float64 `json:"usage-factor,omitempty"`
}

// Echo is the body of a result. A checker compares it with the request.
type Echo struct {
	ID placement.TaskID `json:"id"`
	// PayloadDigest is Digest of the payload.
	PayloadDigest string `json:"payload-digest"`
	Worker        string `json:"worker"`
}

// Digest returns the hash of a payload as an Echo carries it.
func Digest(payload []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(payload)) }

type program struct {
	RunMS int64              `json:"run-ms"`
	Fail  bool               `json:"fail"`
	Use   workload.Resources `json:"use"`
}

type task struct {
	worker.StartTask
	program   program
	startedAt time.Time
	leaseEnds time.Time
	throttled bool
	reported  workload.Resources
	// record is the index of the task's StartRecord.
	record int
	// result is nil while the task runs; sequence orders results.
	result   *worker.FinishedTask
	sequence uint64
}

// VM is one worker.
type VM struct {
	options Options

	mu     sync.Mutex
	tasks  map[placement.TaskID]*task
	known  map[placement.TaskID]bool
	state  worker.State
	fault  Fault
	closed bool
	// sessionEnds and sessionLength belong to the newest token.
	sessionEnds   time.Time
	sessionLength time.Duration
	sequence      uint64
	leaveReported bool
	connections   uint64
	// silentUpTo is the highest number of a connection that is never answered.
	silentUpTo uint64
	// changed is closed and replaced when a waiting call has to look again.
	changed chan struct{}
}

// New returns a worker without a session. Run has to run for tasks to end.
func New(options Options) *VM {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.TaskLease == 0 {
		options.TaskLease = DefaultTaskLease
	}
	if options.FirstToken == 0 {
		options.FirstToken = worker.Token(options.Now().Unix())
	}
	return &VM{
		options: options,
		tasks:   map[placement.TaskID]*task{}, known: map[placement.TaskID]bool{},
		state:   worker.State{Worker: options.Worker, Token: options.FirstToken},
		closed:  true,
		changed: make(chan struct{}),
	}
}

// Run ends tasks whose run time or lease is over, until ctx ends.
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

// endDueTasks ends what is due and returns the time to the next end.
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
			v.end(now, t, placement.Stopped, ReasonLeaseExpired)
			continue
		}
		due := t.leaseEnds
		if finish := t.startedAt.Add(time.Duration(t.program.RunMS) * time.Millisecond); t.program.RunMS >= 0 && !v.fault.Stall {
			if !now.Before(finish) {
				v.finish(now, t)
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

func (v *VM) finish(now time.Time, t *task) {
	if t.program.Fail {
		v.end(now, t, placement.Failed, "")
		return
	}
	v.end(now, t, placement.Completed, "")
}

func (v *VM) end(now time.Time, t *task, outcome placement.Outcome, reason string) {
	body, err := json.Marshal(Echo{t.ID, Digest(t.Payload), v.options.Worker.Name})
	if err != nil {
		panic(err) // Echo holds only strings and numbers.
	}
	v.sequence++
	t.sequence = v.sequence
	t.result = &worker.FinishedTask{
		ID: t.ID, Outcome: outcome, Reason: reason, Body: body,
		RanMS: now.Sub(t.startedAt).Milliseconds(),
	}
	record := &v.state.Started[t.record]
	record.EndedAtMS, record.Outcome, record.Reason = now.UnixMilli(), outcome, reason
	t.Payload = nil
	v.wake()
}

func (v *VM) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// used returns what the running tasks hold, and their number and connections.
func (v *VM) used() (total workload.Resources, running, connections int) {
	for _, t := range v.tasks {
		if t.result == nil {
			total = total.Add(t.Resources)
			connections += t.Connections
			running++
		}
	}
	return total, running, connections
}

// start starts one task or says why not.
func (v *VM) start(now time.Time, request worker.StartTask) worker.StartResult {
	result := worker.StartResult{ID: request.ID}
	if v.known[request.ID] {
		v.state.RepeatStarts++
		result.Accepted, result.Reason = true, worker.ReasonKnown
		if v.tasks[request.ID] == nil {
			result.Reason = worker.ReasonAcknowledged
		}
		return result
	}
	held, running, connections := v.used()
	held, connections = held.Add(request.Resources), connections+request.Connections
	description := v.options.Worker
	switch {
	case v.fault.Leave:
		result.Reason = worker.ReasonLeaving
	case request.StartByMS != 0 && now.UnixMilli() > request.StartByMS:
		v.state.TooLate++
		result.Reason = worker.ReasonTooLate
	case !held.Fits(description.Capacity) || running+1 > description.Slots || connections > description.Connections:
		v.state.OverCapacity++
		result.Reason = worker.ReasonOverCapacity
	case len(v.tasks)-running >= maxUnacked || len(v.state.Started) >= maxStarted:
		result.Reason = worker.ReasonResultsFull
	default:
		result.Accepted = true
		v.run(now, request)
		v.noteMaximum(held, running+1, connections)
	}
	return result
}

func (v *VM) run(now time.Time, request worker.StartTask) {
	t := &task{
		StartTask: request, startedAt: now,
		leaseEnds: now.Add(v.options.TaskLease), record: len(v.state.Started),
	}
	// A payload of another format is a task that ends at once.
	if json.Unmarshal(request.Payload, &t.program) != nil {
		t.program = program{}
	}
	if t.program.Use == (workload.Resources{}) {
		t.program.Use = request.Resources
	}
	for _, other := range v.tasks {
		if other.result == nil && other.ID.Key == t.ID.Key && other.ID.Index == t.ID.Index {
			v.state.DoubleStarts++
		}
	}
	v.known[t.ID] = true
	v.tasks[t.ID] = t
	v.state.Started = append(v.state.Started, worker.StartRecord{
		ID: t.ID, Token: v.state.Token, Resources: t.Resources, StartedAtMS: now.UnixMilli(),
	})
	if v.fault.FailAll {
		v.end(now, t, placement.Failed, ReasonFault)
	}
	v.wake()
}

func (v *VM) noteMaximum(held workload.Resources, running, connections int) {
	most := &v.state.MaxUsed
	most.MilliCPU = max(most.MilliCPU, held.MilliCPU)
	most.MemoryMB = max(most.MemoryMB, held.MemoryMB)
	most.Accelerators = max(most.Accelerators, held.Accelerators)
	v.state.MaxRunning = max(v.state.MaxRunning, running)
	v.state.MaxConns = max(v.state.MaxConns, connections)
}

// act carries out the actions of a watch. All of them may be repeated.
func (v *VM) act(now time.Time, body worker.WatchBody) {
	for _, id := range body.Acknowledge {
		if t := v.tasks[id]; t != nil && t.result != nil {
			delete(v.tasks, id)
		}
	}
	v.endRunning(now, body.Stop, placement.Stopped)
	v.endRunning(now, body.Checkpoint, placement.Checkpointed)
	for _, id := range body.Throttle {
		if t := v.tasks[id]; t != nil {
			t.throttled = true
		}
	}
}

func (v *VM) endRunning(now time.Time, ids []placement.TaskID, outcome placement.Outcome) {
	for _, id := range ids {
		if t := v.tasks[id]; t != nil && t.result == nil {
			v.end(now, t, outcome, ReasonRequested)
		}
	}
}

// usage returns what the task is seen to use; a throttled task stays within its grant.
func (v *VM) usage(t *task) workload.Resources {
	use := t.program.Use
	if f := v.fault.UsageFactor; f != 0 {
		use = workload.Resources{
			MilliCPU: int64(float64(use.MilliCPU) * f), MemoryMB: int64(float64(use.MemoryMB) * f),
			Accelerators: use.Accelerators,
		}
	}
	if t.throttled {
		use.MilliCPU = min(use.MilliCPU, t.Resources.MilliCPU)
		use.MemoryMB = min(use.MemoryMB, t.Resources.MemoryMB)
	}
	return use
}

// setFault replaces the faults. Tasks resume where the clock is.
func (v *VM) setFault(fault Fault) {
	if fault.Unresponsive {
		v.silentUpTo = v.connections
	} else {
		v.silentUpTo = 0
	}
	v.fault, v.leaveReported = fault, false
	v.wake()
}
