// Package control is the state machine of a node's control thread. It combines
// the node's roles:
//   - front: holds the open requests of callers;
//   - home: holds the key table, the queues and the quota of a range (a team in a region);
//   - owner: holds sessions with workers and runs the placement engine;
//   - member: exchanges heartbeats and follows the policy.
//
// The package is pure: it uses no socket, file, goroutine, clock or global
// random source. Every event is passed in as an Input together with the time,
// and every effect is returned as an Output. The same inputs in the same order
// give the same outputs, so that a test or benchmark can run several nodes
// faster than real time and repeat a run from its seed.
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
// A Tick is needed every TickInterval: leases, retries and time-outs are
// checked there.
//
// # Rules
//
// A home starts a task only while it holds the lease of the range. A request
// that an earlier try or a former home may have started is "unresolved". It
// starts only after every worker of the region was listed by an owner or is
// known to run nothing. A non-idempotent request that can't be proved "not-run"
// is refused as "may-have-run".
package control

import (
	"math/rand/v2"
	"time"

	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// TickInterval is the time between two Tick inputs.
const TickInterval = 50 * time.Millisecond

// Limits of one node. The dump shows the sizes of the large tables beside their
// limits.
const (
	maxOpenSubmissions        = 20_000
	maxEntriesPerHome         = 120_000
	maxEndedPerHome           = 8_192
	maxTimelineEvents         = 32
	maxFrontsPerEntry         = 16
	maxOutstandingAssignments = 32
	maxFencedTasks            = 65_536
	maxEventsPerStep          = 64
)

// Timing holds the intervals of a node; a zero field takes its default.
type Timing struct {
	// TaskLease is how long a task continues without a renewal of its lease.
	TaskLease time.Duration
	// SessionLength is the length of a worker's session.
	SessionLength time.Duration
	// Heartbeat is the interval between heartbeats to a member of the region.
	Heartbeat time.Duration
	// RepeatAfter is how long a message stays unacknowledged before it is sent
	// again.
	RepeatAfter time.Duration
	// ResultRetention is how long an answer is kept for a caller that
	// reconnects.
	ResultRetention time.Duration
	// SelfFence is how long an owner keeps its sessions while it reaches less
	// than half of the members of its region.
	SelfFence time.Duration
	// RebalanceAfter is how long rendezvous hashing has to prefer another
	// member before an owner gives that member a worker.
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
	// Incarnation increases with each process of the node.
	Incarnation uint64
	// Seed initializes the random sources of the delays before retries of tasks
	// and of lease requests.
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

	// These fields are valid during one step only.
	now           time.Time
	outputs       []Output
	localMessages []Message
	eventCount    int

	members          *members
	tenure           *tenure.Leases
	leaseRegionSetAt time.Time
	rules            Rules
	policy           policyState
	log              LogState
	jobs             jobTable
	front            frontRole
	homes            map[tenure.Range]*home
	owner            ownerRole
	workers          workerViews
	owners           map[string]*ownerView
	draining         bool
	drained          bool
	// drainingSince is when the drain began.
	drainingSince time.Time
	started       time.Time
	overrides     overrides
}

// overrides disables single safety rules. Only tests set a field, to show that
// their checkers detect the violation that the rule prevents.
type overrides struct {
	// keepExpiredLease lets a home act after its lease has expired.
	keepExpiredLease bool
	// skipRecovery lets a new home start unresolved requests at once.
	skipRecovery bool
	// skipFencing lets an owner accept an attempt that it has reported as not
	// started.
	skipFencing bool
	// expireAtOnce treats the tasks of a worker as ended without waiting for
	// its leases to expire.
	expireAtOnce bool
	// acceptOldLeases lets an owner accept assignments under a replaced lease.
	acceptOldLeases bool
	// keepOldAssignments lets an owner start assignments that the home has not
	// confirmed in time, and lets a new home start unresolved requests before
	// such assignments have expired.
	keepOldAssignments bool
	// skipReadBack lets a home act on durable jobs before it has read back its
	// own record.
	skipReadBack bool
}

// New returns a node that knows only its members, from settings. The error
// lists every invalid member.
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

// Step processes one input and returns the outputs that follow from it. The
// returned slice is valid until the next call. If now is before the time of an
// earlier step, that earlier time is used.
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
		n.emit(&PolicyCopyReceived{From: from, Snapshot: m.Snapshot, Version: m.Version})
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

// receiveAsHome handles messages to a home. A Cancel may also be for an owner,
// and a Finished for a front.
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

// tick runs all time-driven work in a fixed order.
func (n *Node) tick() {
	n.tickMembers()
	n.tickOwner()
	n.tickHomes()
	n.tickJobs()
	n.tickFront()
	n.tickDrain()
}

func (n *Node) emit(output Output) { n.outputs = append(n.outputs, output) }

// send sends a message to a node. A message to this node is queued locally,
// without a copy.
func (n *Node) send(to string, message Message) {
	if to == n.options.Name {
		n.localMessages = append(n.localMessages, message)
		return
	}
	n.emit(&SendPeer{To: to, Message: message})
}

// sendBulk is send for messages with payloads or answers.
func (n *Node) sendBulk(to string, message Message) {
	if to == n.options.Name {
		n.localMessages = append(n.localMessages, message)
		return
	}
	n.emit(&SendPeer{To: to, Message: message, Bulk: true})
}

// event reports a numbered event; at most maxEventsPerStep are reported in one
// step.
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

// homeOf returns the node that this node's member table prefers as the home of
// a range, or "" if no member of the region is live.
func (n *Node) homeOf(r tenure.Range) string {
	member, _ := n.members.HomeOf(r.Region, r.Team)
	return member.Name
}

func taskID(key workload.Key, index, attempt int) placement.TaskID {
	return placement.TaskID{Key: key, Index: index, Attempt: attempt}
}
