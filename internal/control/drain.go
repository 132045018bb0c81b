package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// successorLimit is how long a draining node waits for a member that can take
// over its ranges.
const successorLimit = 20 * time.Second

// handoverBatch limits the entries in one handover message.
const handoverBatch = 256

// closingsPerTick limits the sessions that a draining node closes in one tick,
// so that their next owners don't open them all at once.
const closingsPerTick = 2

// movingTime is how long a worker counts as moving between owners. For 2.2 s
// after its new session it counts for no home lease, and a lease needs more
// than two thirds of the workers. At most one in movingDivisor workers moves at
// a time.
const (
	movingTime    = 2500 * time.Millisecond
	movingDivisor = 6
)

// mayMoveWorker reports whether one more worker of the region can move to
// another owner without endangering home leases.
func (n *Node) mayMoveWorker() bool {
	names, moving := n.workers.listed(n.options.Region), 0
	for _, name := range names {
		if moved := n.workers.byName[name].movedAt; !moved.IsZero() && n.now.Sub(moved) < movingTime {
			moving++
		}
	}
	return moving < max(len(names)/movingDivisor, 1)
}

// drain begins a planned stop: the node accepts no new requests and hands its
// ranges and sessions to other members. It stops once the open requests are
// answered.
func (n *Node) drain() {
	if n.draining {
		return
	}
	n.draining, n.drainingSince = true, n.now
	n.members.SetDraining(true)
}

// tickDrain hands over the remaining ranges and sessions, and reports Drained
// once nothing is left.
func (n *Node) tickDrain() {
	if !n.draining || n.drained {
		return
	}
	remaining := 0
	for _, r := range n.sortedRanges() {
		if h := n.homes[r]; !h.handedOver && !n.handOver(h) {
			remaining++
		}
	}
	closed := 0
	for _, name := range n.sessionNames() {
		s := n.owner.sessions[name]
		remaining++
		if !s.closing && n.mayMoveWorker() {
			n.beginClosing(s)
		}
		if s.closing && s.starting == 0 && closed < closingsPerTick {
			closed++
			n.closeSession(s, "the owner is stopping")
		}
	}
	n.returnAllWaiting("the owner is stopping")
	if remaining == 0 && len(n.front.byConnection) == 0 {
		n.drained = true
		n.event(EventNodeDrained, n.options.Name, "")
		n.emit(&Drained{})
	}
}

// handOver passes a range to its next home. It gives up the lease first, so
// that this node can't act on the range afterwards and the successor receives
// the complete state.
func (n *Node) handOver(h *home) bool {
	successor := n.homeOf(h.homeRange)
	if successor == n.options.Name || (successor == "" && n.awaitsSuccessor()) {
		return false
	}
	h.handedOver = true
	if successor == "" {
		return true
	}
	completeFor := n.now.Sub(h.completeSince)
	complete := h.recovery.complete && n.mayAct(h)
	lease, held := n.tenure.HandOver(n.now, h.homeRange)
	entries := n.handoverEntries(h)
	h.leaseSince, h.completeSince, h.recovery, h.jobsKnown = time.Time{}, time.Time{}, recovery{}, false
	for part := 0; ; part++ {
		count := min(len(entries), handoverBatch)
		message := &Handover{Range: h.homeRange, Entries: entries[:count], CompleteFor: completeFor, Part: part}
		entries = entries[count:]
		if len(entries) == 0 && held {
			message.Complete, message.Lease = complete, lease
		}
		n.sendBulk(successor, message)
		if len(entries) == 0 {
			break
		}
	}
	n.event(EventHandoverSent, h.homeRange.Team, "to "+successor)
	return true
}

// awaitsSuccessor reports whether another member of the region may still become
// the preferred home. After a restart of all nodes none is ready for some
// seconds.
func (n *Node) awaitsSuccessor() bool {
	return len(n.members.liveInRegion(n.options.Region)) > 1 && n.now.Sub(n.drainingSince) < successorLimit
}

func (n *Node) handoverEntries(h *home) []HandoverEntry {
	var entries []HandoverEntry
	for _, e := range h.sortedEntries() {
		if e.durable && !e.recorded && !e.ended() {
			// The job must not run before its record was read back. Its front
			// submits it to the successor, which writes the record or reads it.
			continue
		}
		entry := HandoverEntry{
			Request: e.request, Fronts: e.fronts, Age: n.now.Sub(e.acceptedAt), State: e.state, Attempt: e.attempt,
			Durable: e.durable, Accepted: e.recorded, Answer: e.answer, Refusal: e.refusal, Unresolved: e.unresolved,
			Digest: e.digest, Timeline: e.timeline, Canceled: e.canceled, MayHaveRun: e.mayHaveRun,
		}
		for i := range e.tasks {
			t := &e.tasks[i]
			entry.Tasks = append(entry.Tasks, HandoverTask{
				State: t.state, Owner: t.owner, Worker: t.worker, ID: t.id, Outcome: t.result, PossibleWorkers: t.possibleWorkers,
			})
		}
		entries = append(entries, entry)
	}
	return entries
}

// receiveHandover takes over a range from its former home.
func (n *Node) receiveHandover(m *Handover) {
	// The sender knows of its own drain before this node does, so this node's
	// view of the preferred home is not consulted.
	if m.Range.Region != n.options.Region || n.draining || (n.homes[m.Range] == nil && len(n.homes) >= tenure.MaxRanges) {
		return
	}
	h := n.homeFor(m.Range)
	h.handoverAt = n.now
	if m.Part == 0 {
		h.handoverParts = 0
	}
	if m.Part == h.handoverParts {
		h.handoverParts++
	}
	for i := range m.Entries {
		n.addHandoverEntry(h, &m.Entries[i])
	}
	if m.Lease.Number == (tenure.LeaseNumber{}) {
		return
	}
	complete := m.Complete && h.handoverParts == m.Part+1
	h.handoverParts = 0
	n.tenure.ReceiveHandover(n.now, m.Lease)
	if !complete {
		return // The lease is still accepted; recovery determines what was started.
	}
	h.handoverLease, h.handoverCompleteSince = m.Lease.Number, n.now.Add(-m.CompleteFor)
	n.event(EventHandoverTaken, m.Range.Team, "")
	n.tickLease(h)
}

func (n *Node) addHandoverEntry(h *home, m *HandoverEntry) {
	if n.jobs.ended[m.Request.Key] && !isFinal(m.State) {
		return // The end of the job was read from the log before the handover came.
	}
	if existing := h.entries[m.Request.Key]; existing != nil {
		if existing.ended() || n.mayAct(h) {
			return
		}
		// The existing entry is from a former lease, or a front sent the request
		// here before the handover came. The former home's entry replaces it.
		n.releaseQuota(h, existing)
		for i := range existing.tasks {
			n.decrementOutstanding(&existing.tasks[i])
		}
		existing.state = workload.StateRefused // Tables that still refer to the entry skip it as ended.
		if existing.queued {
			h.queue(existing.request.Kind, KindRule{}).drop(existing)
		}
		h.removeUnresolved(existing)
		h.gangs = slices.DeleteFunc(h.gangs, func(other *entry) bool { return other == existing })
		m.Fronts = append(m.Fronts, existing.fronts...)
	}
	e := &entry{
		request: m.Request, digest: m.Digest, acceptedAt: n.now.Add(-m.Age), state: m.State, attempt: m.Attempt,
		durable: m.Durable, recorded: m.Accepted, answer: m.Answer, refusal: m.Refusal, unresolved: m.Unresolved,
		timeline: m.Timeline, canceled: m.Canceled, mayHaveRun: m.MayHaveRun,
	}
	for _, front := range m.Fronts {
		e.addFront(front.Name, front.Try)
	}
	for _, t := range m.Tasks {
		e.tasks = append(e.tasks, task{
			state: t.State, id: t.ID, teamKind: teamKind{m.Request.Team, m.Request.Kind}, owner: t.Owner, worker: t.Worker, result: t.Outcome,
			possibleWorkers: t.PossibleWorkers, inDoubtSince: n.now, changedAt: n.now, queriedAt: n.now,
		})
	}
	if !e.durable {
		n.setStartBy(e)
	}
	h.entries[e.request.Key] = e
	e.addEvent(n.now, "handed-over", "to home "+n.options.Name)
	switch {
	case e.ended():
		e.endedAt = n.now
		h.ended = append(h.ended, e)
		e.endRead = n.jobs.ended[e.request.Key]
		if e.durable && e.recorded && !e.endRead {
			n.recordEnd(h, e)
		}
	case e.state == workload.StateQueued:
		for i := range e.tasks {
			e.tasks[i].state = taskQueued
		}
		n.queueEntry(h, e)
	default:
		n.incrementOutstanding(e)
		n.chargeQuota(h, e)
		n.activate(h, e)
	}
}

// handoverValidity is how long the content of a handover can be trusted. Until
// 1.5 s after the sender gave up the lease, the promises to the sender keep any
// third node from obtaining it, and the message may be in transit for
// peerSilenceLimit of that time. After that another node may have held the
// lease and acted (see seed 370 in regressionSeeds).
const handoverValidity = 1500*time.Millisecond - peerSilenceLimit

// adoptHandover skips the recovery of a lease that was handed over completely,
// since the former home knew everything that it had started. It reports whether
// recovery was skipped.
func (n *Node) adoptHandover(h *home, number tenure.LeaseNumber) bool {
	if h.handoverLease == (tenure.LeaseNumber{}) || number.Compare(h.handoverLease) < 0 || h.handoverCompleteSince.IsZero() {
		return false
	}
	if n.now.Sub(h.handoverAt) > handoverValidity {
		h.handoverLease, h.handoverCompleteSince = tenure.LeaseNumber{}, time.Time{}
		return false
	}
	h.recovery = recovery{startedAt: n.now, firstNumber: number, complete: true}
	h.completeSince = h.handoverCompleteSince
	h.handoverLease, h.handoverCompleteSince = tenure.LeaseNumber{}, time.Time{}
	n.queueUnresolved(h)
	return true
}
