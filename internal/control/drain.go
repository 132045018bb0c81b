package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// announceDrain is the time between the first heartbeat that says that a node
// is stopping and the handover: the others then agree on the successors.
const announceDrain = 600 * time.Millisecond

// takeoverWindow is how long a handover is worth anything. Until 1.5 s after the
// sender gave its lease up, the promises to it keep every third node out; a
// message may be on its way for peerSilence of that time. Later, another node
// may have acted, and the entries of the handover can't be relied on.
const takeoverWindow = 1500*time.Millisecond - peerSilence

// successionAfter is how long another member has to be the preferred home
// before the holder hands its range over. Fronts ask the preferred home at
// once, so a long time would show as waiting.
const successionAfter = 500 * time.Millisecond

// handoverBatch bounds the entries of one handover message.
const handoverBatch = 256

// closingsPerTick bounds the sessions that a stopping node closes in one tick,
// so that their next owners don't all open at the same instant.
const closingsPerTick = 2

// drain begins the planned stop: no new requests, homes and sessions go to
// other members, open requests are answered first.
func (n *Node) drain() {
	if n.draining {
		return
	}
	n.draining, n.drainingSince = true, n.now
	n.members.SetDraining(true)
}

// tickDrain hands over what this node still has, and reports when nothing is left.
func (n *Node) tickDrain() {
	if !n.draining || n.drained || n.now.Sub(n.drainingSince) < announceDrain {
		return
	}
	left := 0
	for _, r := range n.sortedRanges() {
		if !n.handOver(n.homes[r]) {
			left++
		}
	}
	closed := 0
	for _, name := range n.sessionNames() {
		s := n.owner.sessions[name]
		left++
		if !s.closing {
			n.beginClosing(s)
		}
		if s.starting == 0 && closed < closingsPerTick {
			closed++
			n.closeSession(s, "the owner is stopping")
		}
	}
	n.returnWaiting()
	if left == 0 && len(n.front.byConnection) == 0 {
		n.drained = true
		n.event(EventNodeDrained, n.options.Name, "")
		n.emit(&Drained{})
	}
}

// returnWaiting gives tasks that wait for room back to their homes.
func (n *Node) returnWaiting() {
	for id, t := range n.owner.tasks {
		if t.state == heldWaiting && n.owner.engine.Cancel(id) {
			n.returnTask(n.actingHome(t.assignment.Range()), &t.assignment, AssignReturned, "the owner is stopping")
		}
	}
}

// handOver passes a range to the next home. The lease is given up first, so
// that this node can't act on the range any more; nothing is then unknown to
// the successor.
func (n *Node) handOver(h *home) bool {
	successor := n.homeOf(h.place)
	if successor == n.options.Name {
		return false
	}
	delete(n.homes, h.place)
	if successor == "" {
		return true
	}
	n.successors[h.place] = successor
	known := n.now.Sub(h.knownSince)
	complete := h.recovery.complete && n.mayAct(h)
	lease, held := n.tenure.HandOver(n.now, h.place)
	entries := n.handoverEntries(h)
	h.leaseSince, h.knownSince = time.Time{}, time.Time{}
	for {
		count := min(len(entries), handoverBatch)
		message := &Handover{Range: h.place, Entries: entries[:count], Since: known}
		entries = entries[count:]
		if len(entries) == 0 && held {
			message.Complete, message.Lease = complete, lease
		}
		n.sendBulk(successor, message)
		if len(entries) == 0 {
			break
		}
	}
	n.event(EventHandoverSent, h.place.Team, "to "+successor)
	return true
}

// tickSuccession hands a range over whose home should be another member, once
// that has been so for a while. A lease does not move by itself.
func (n *Node) tickSuccession(h *home) bool {
	home := n.homeOf(h.place)
	if home == n.options.Name || home == "" {
		h.strangerSince = n.now
		return false
	}
	if h.strangerSince.IsZero() {
		h.strangerSince = n.now
	}
	return n.now.Sub(h.strangerSince) >= successionAfter && n.mayAct(h) && n.handOver(h)
}

func (n *Node) handoverEntries(h *home) []HandoverEntry {
	var entries []HandoverEntry
	for _, e := range h.sortedEntries() {
		if e.appending {
			// The record's outcome is not known here; the successor reads it.
			continue
		}
		entry := HandoverEntry{
			Request: e.request, Fronts: e.fronts, Age: n.now.Sub(e.acceptedAt), State: e.state, Attempt: e.attempt,
			Durable: e.durable, Accepted: e.recorded, Answer: e.answer, Refusal: e.refusal, Suspect: e.suspect,
			Digest: e.digest, Try: e.try, Timeline: e.timeline,
		}
		for i := range e.tasks {
			t := &e.tasks[i]
			entry.Tasks = append(entry.Tasks, HandoverTask{
				State: t.state, Owner: t.owner, Worker: t.worker, ID: t.id, Outcome: t.result, DoubtWorkers: t.doubtWorkers,
			})
		}
		entries = append(entries, entry)
	}
	return entries
}

// takeHandover takes a range over from a home that is stopping.
func (n *Node) takeHandover(m *Handover) {
	if n.draining {
		return
	}
	h := n.homeFor(m.Range)
	for i := range m.Entries {
		n.takeHandoverEntry(h, &m.Entries[i])
	}
	if !m.Complete {
		return
	}
	n.tenure.ReceiveHandover(n.now, m.Lease)
	h.takenOver, h.takenSince, h.takenAt = m.Lease.Number, n.now.Add(-m.Since), n.now
	n.event(EventHandoverTaken, m.Range.Team, "")
	n.tickLease(h)
}

func (n *Node) takeHandoverEntry(h *home, m *HandoverEntry) {
	if known := h.entries[m.Request.Key]; known != nil {
		if !known.suspect || known.ended() {
			return
		}
		h.dropSuspect(known)
		m.Fronts = append(m.Fronts, known.fronts...)
	}
	e := &entry{
		request: m.Request, digest: m.Digest, acceptedAt: n.now.Add(-m.Age), state: m.State, attempt: m.Attempt,
		durable: m.Durable, recorded: m.Accepted, answer: m.Answer, refusal: m.Refusal, suspect: m.Suspect,
		try: m.Try, timeline: m.Timeline,
	}
	for _, front := range m.Fronts {
		e.addFront(front)
	}
	for _, t := range m.Tasks {
		e.tasks = append(e.tasks, task{
			state: t.State, id: t.ID, team: m.Request.Team, owner: t.Owner, worker: t.Worker, result: t.Outcome,
			doubtWorkers: t.DoubtWorkers, doubtSince: n.now, changedAt: n.now, askedAt: n.now,
		})
	}
	if !e.durable {
		n.setStartBy(e)
	}
	h.entries[e.request.Key] = e
	e.note(n.now, "handed-over", "to home "+n.options.Name)
	switch {
	case e.ended():
		e.endedAt = n.now
		h.ended = append(h.ended, e)
	case e.state == workload.StateQueued:
		for i := range e.tasks {
			e.tasks[i].state = taskQueued
		}
		n.queueEntry(h, e)
	default:
		n.count(h, e)
		n.activate(h, e)
	}
}

// takeOverKnowledge skips the recovery of a lease that was handed over whole:
// the former home knew of everything that it had started.
func (n *Node) takeOverKnowledge(h *home, number tenure.LeaseNumber) bool {
	if h.takenOver == (tenure.LeaseNumber{}) || number.Compare(h.takenOver) < 0 || n.now.Sub(h.takenAt) > takeoverWindow {
		return false
	}
	h.recovery = recovery{startedAt: n.now, first: number, complete: true}
	h.knownSince = h.takenSince
	h.takenOver, h.takenSince = tenure.LeaseNumber{}, time.Time{}
	n.releaseSuspects(h)
	return true
}
