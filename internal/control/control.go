// Package control is the state machine of a node's control thread. It joins
// the node's roles: front (open requests of callers), home (key table, queue
// and quota of a range), owner (sessions with workers and the placement
// engine), member and configuration follower.
//
// The package is pure: it has no socket, file, goroutine, clock or global
// random source. Every event comes in as an Input together with the time, and
// every effect goes out as an Output. The same inputs in the same order give
// the same outputs, so that a test or a bench can drive several nodes faster
// than real time and repeat each run from its seed.
//
// # Usage
//
//	node := control.New(control.Options{Name: "entry-1", Region: "punjab", ...})
//	for input := range inputs {
//		for _, output := range node.Step(time.Now(), input) {
//			// Carry out the output: send a message, start a task, answer a caller.
//		}
//	}
//
// A Tick has to come every TickInterval, since leases, retries and time-outs
// are checked there.
//
// # Rules
//
// A home starts a task only while it holds the range's lease. Work that an
// earlier try or a former home may have started is "suspect": it starts only
// after every worker of the region has been listed by an owner, or is known to
// run nothing any more; a non-idempotent request that can't be proved "not
// run" is refused as "may-have-run".
package control

import (
	"math/rand/v2"
	"time"

	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// TickInterval is the time between two Ticks.
const TickInterval = 50 * time.Millisecond

// Bounds of the tables of one node. The dump shows each beside its use.
const (
	maxOpenSubmissions = 20_000
	maxEntriesPerHome  = 120_000
	maxEndedPerHome    = 8_192
	maxTimelineEvents  = 32
	maxFrontsPerEntry  = 16
	maxAssignments     = 32
	maxFencedTasks     = 65_536
	maxEventsPerStep   = 64
)

// Timing holds the intervals of a node; the zero value takes the defaults.
type Timing struct {
	// TaskLease is how long a task runs on without a renewal.
	TaskLease time.Duration
	// SessionLength is the length of a worker's session.
	SessionLength time.Duration
	// Heartbeat is the interval between heartbeats to a member of the region.
	Heartbeat time.Duration
	// RepeatAfter is the time after which an unacknowledged message is repeated.
	RepeatAfter time.Duration
	// ResultRetention is how long an answer is kept for a caller who comes back.
	ResultRetention time.Duration
	// SelfFence is how long an owner that is not heard by half of its region
	// keeps its sessions.
	SelfFence time.Duration
	// RebalanceAfter is how long an owner waits before it gives a worker to a
	// member that rendezvous hashing prefers.
	RebalanceAfter time.Duration
}

func (t Timing) withDefaults() Timing {
	for _, field := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&t.TaskLease, 20 * time.Second},
		{&t.SessionLength, 3 * time.Second},
		{&t.Heartbeat, 250 * time.Millisecond},
		{&t.RepeatAfter, time.Second},
		{&t.ResultRetention, 30 * time.Second},
		{&t.SelfFence, 3 * time.Second},
		{&t.RebalanceAfter, 5 * time.Second},
	} {
		if *field.value == 0 {
			*field.value = field.fallback
		}
	}
	return t
}

// Options are fixed for the life of a node.
type Options struct {
	Name          string
	Region        string
	FailureDomain string
	Incarnation   uint64
	// Seed starts the random source of back-offs.
	Seed    uint64
	Members []membership.Member
	Timing  Timing
	// Start is the time of the first step.
	Start time.Time
}

// Node is the control state of one process. It is not safe for use by several
// goroutines.
type Node struct {
	options Options
	timing  Timing
	random  *rand.Rand

	// These hold during one step only.
	now           time.Time
	outputs       []Output
	localMessages []Message
	eventCount    int

	members     *members
	tenure      *tenure.Leases
	regionSetAt time.Time
	rules       Rules
	policy      policyState
	log         LogState
	jobs        jobTable
	front       frontRole
	homes       map[tenure.Range]*home
	owner       ownerRole
	workers     workerViews
	owners      map[string]*ownerView
	draining    bool
	drained     bool
	// drainingSince is when the planned stop began.
	drainingSince time.Time
	started       time.Time
	overrides     overrides
}

// overrides switches single safety rules off. Only tests set a field, to show that
// their checkers find what the rule prevents.
type overrides struct {
	// keepExpiredLease lets a home act on after its lease has ended.
	keepExpiredLease bool
	// skipRecovery lets a new home start suspects at once.
	skipRecovery bool
	// skipFencing lets an owner take an attempt that it has disowned.
	skipFencing bool
	// expireAtOnce takes an unlisted worker's tasks as over without waiting for
	// the ends of its leases.
	expireAtOnce bool
	// acceptOldLeases lets an owner take assignments of a replaced lease.
	acceptOldLeases bool
	// keepOldAssignments lets an owner start assignments for which no home has
	// asked, and a new home start suspects without waiting for their end.
	keepOldAssignments bool
	// skipReadBack lets a home act on jobs before it has read its own record.
	skipReadBack bool
}

// New returns a node that knows its members from settings and nothing else. The
// error lists every fault of the members.
func New(options Options) (*Node, error) {
	timing := options.Timing.withDefaults()
	n := &Node{
		options: options,
		timing:  timing,
		random:  rand.New(rand.NewPCG(options.Seed, uint64(len(options.Name)))),
		homes:   map[tenure.Range]*home{},
		owners:  map[string]*ownerView{},
		started: options.Start,
		rules:   DefaultRules(),
		now:     options.Start,
	}
	members, err := newMembers(options)
	if err != nil {
		return nil, err
	}
	n.members = members
	n.members.incarnations[options.Name] = options.Incarnation
	n.tenure = tenure.New(tenure.Options{Self: options.Name, Seed: options.Seed})
	n.front = newFrontRole(options)
	n.owner = newOwnerRole(options)
	n.workers = newWorkerViews()
	n.jobs = newJobTable()
	return n, nil
}

// Step takes one input and returns the commands that follow from it. The
// returned slice is valid until the next call.
func (n *Node) Step(now time.Time, in Input) []Output {
	if now.After(n.now) {
		n.now = now
	}
	n.outputs = n.outputs[:0]
	n.eventCount = 0
	n.handleInput(in)
	for len(n.localMessages) > 0 {
		message := n.localMessages[0]
		n.localMessages = n.localMessages[1:]
		n.receive(n.options.Name, message)
	}
	return n.outputs
}

func (n *Node) handleInput(in Input) {
	switch in := in.(type) {
	case *Tick:
		n.tick()
	case *PeerMessage:
		n.receive(in.From, in.Message)
	case *Submit:
		n.submit(in)
	case *WaitFor:
		n.waitFor(in)
	case *CancelRequest:
		n.cancelRequest(in)
	case *DescribeRequest:
		n.describeRequest(in)
	case *ConnectionClosed:
		n.connectionClosed(in.RequestID)
	case *AnswerDelivered:
		n.answerDelivered(in.RequestID)
	case *Drain:
		n.drain()
	case *PolicyAccepted:
		n.policyAccepted(in)
	default:
		n.handlePlatformInput(in)
	}
}

func (n *Node) handlePlatformInput(in Input) {
	switch in := in.(type) {
	case *SessionOpened:
		n.sessionOpened(in)
	case *SessionRefused:
		n.sessionRefused(in)
	case *SessionLost:
		n.sessionLost(in)
	case *WorkerReport:
		n.workerReport(in)
	case *TaskStarted:
		n.taskStarted(in)
	case *StartRefused:
		n.startRefused(in)
	case *VMListed:
		n.vmListed(in)
	case *RecordRead:
		n.recordRead(in)
	case *AppendFailed:
		n.appendFailed(in)
	case *LogState:
		n.logState(in)
	}
}

// receive handles a message from another node, or from this node in another role.
func (n *Node) receive(from string, message Message) {
	switch m := message.(type) {
	case *Heartbeat:
		n.heartbeat(from, m)
	case *Promises:
		n.promises(from, m)
	case *PolicyRequest:
		n.policyRequest(from, m)
	case *PolicyCopy:
		n.emit(&PolicyWanted{From: from, Snapshot: m.Snapshot, Version: m.Version})
	case *Enqueue, *Cancel, *Describe, *AssignResult, *Finished, *Listed, *Reserved, *Handover:
		n.receiveAsHome(from, message)
	case *Assign, *Query, *Recall, *ListKeys, *Reserve, *Confirm, *Release, *AcknowledgeAnswer, *Redirect:
		n.receiveAsOwner(from, message)
	case *Refused:
		n.requestRefused(from, m)
	case *Answered:
		n.requestAnswered(from, m)
	case *Description:
		n.described(m)
	}
}

func (n *Node) receiveAsHome(from string, message Message) {
	switch m := message.(type) {
	case *Enqueue:
		n.enqueue(m)
	case *Cancel:
		if m.ToOwner {
			n.cancelAtOwner(from, m)
		} else {
			n.cancelAtHome(m)
		}
	case *Describe:
		n.describe(from, m)
	case *AssignResult:
		n.assignResult(from, m)
	case *Finished:
		if m.ToFront {
			n.finishedAtFront(from, m)
		} else {
			n.finishedAtHome(from, m)
		}
	case *Listed:
		n.listed(from, m)
	case *Reserved:
		n.reserved(from, m)
	case *Handover:
		n.receiveHandover(m)
	}
}

func (n *Node) receiveAsOwner(from string, message Message) {
	switch m := message.(type) {
	case *Assign:
		n.assign(from, m)
	case *Query:
		n.query(from, m)
	case *Recall:
		n.recall(from, m)
	case *ListKeys:
		n.listKeys(from, m)
	case *Reserve:
		n.reserve(from, m)
	case *Confirm:
		n.confirm(from, m)
	case *Release:
		n.owner.engine.ReleaseReservation(m.Key)
		delete(n.owner.reservations, m.Key)
	case *AcknowledgeAnswer:
		n.acknowledgeAnswer(m)
	case *Redirect:
		n.redirect(from, m)
	}
}

// tick runs everything that waits for time, in a fixed order.
func (n *Node) tick() {
	n.tickMembers()
	n.tickOwner()
	n.tickHomes()
	n.tickJobs()
	n.tickFront()
	n.tickDrain()
}

func (n *Node) emit(output Output) { n.outputs = append(n.outputs, output) }

// send passes a message to a node; to itself without a copy.
func (n *Node) send(to string, message Message) {
	if to == n.options.Name {
		n.localMessages = append(n.localMessages, message)
		return
	}
	n.emit(&SendPeer{To: to, Message: message})
}

// sendBulk is send for messages that carry payloads or answers.
func (n *Node) sendBulk(to string, message Message) {
	if to == n.options.Name {
		n.localMessages = append(n.localMessages, message)
		return
	}
	n.emit(&SendPeer{To: to, Message: message, Bulk: true})
}

// event records a numbered event, at most maxEventsPerStep in one step.
func (n *Node) event(event Event, subject, detail string) {
	if n.eventCount < maxEventsPerStep {
		n.eventCount++
		n.emit(&RecordEvent{Event: event, Subject: subject, Detail: detail})
	}
}

func (n *Node) rangeOf(team, region string) tenure.Range {
	if region == "" {
		region = n.options.Region
	}
	return tenure.Range{Region: region, Team: team}
}

// homeOf returns the node that is the home of a range by this node's member
// list; it is empty if no member of the region is live.
func (n *Node) homeOf(r tenure.Range) string {
	member, _ := n.members.HomeOf(r.Region, r.Team)
	return member.Name
}

func taskID(key workload.Key, index, attempt int) placement.TaskID {
	return placement.TaskID{Key: key, Index: index, Attempt: attempt}
}
