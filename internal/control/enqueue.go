package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// enqueue handles a front's message about a request: a first try, a caller's
// retry, or a message that only asks for the outcome of an earlier try.
func (n *Node) enqueue(m *Enqueue) {
	r := n.rangeOf(m.Request.Team, m.Request.Region)
	h := n.homes[r]
	if h != nil {
		if e := h.entries[m.Request.Key]; e != nil {
			n.enqueueKnown(h, e, m)
			return
		}
	}
	if n.homeOf(r) != n.options.Name || n.draining {
		n.sendNotHome(m, workload.CodeNoHome, "this node is not the home of team "+r.Team)
		return
	}
	if h == nil && len(n.homes) >= tenure.MaxRanges {
		n.refuseAtFront(m.Front, m.Request.Key, m.Try, workload.Refuse(workload.CodeQueueFull, time.Second, "this node is the home of %d ranges", tenure.MaxRanges))
		return
	}
	h = n.homeFor(r)
	if !n.mayAct(h) {
		// If this node kept the try without a lease, the front would have to
		// treat it as one that may have run once another node is the home.
		n.sendNotHome(m, workload.CodeNoHome, "this node has no lease of team "+r.Team+" yet")
		return
	}
	if m.Wait {
		n.waitForUnknownKey(h, m)
		return
	}
	if !n.rejectTryOfReturnedKey(h, m) {
		n.enqueueNew(h, m)
	}
}

func (n *Node) sendNotHome(m *Enqueue, code workload.Code, reason string) {
	n.send(m.Front, &Refused{
		Key: m.Request.Key, Try: m.Try, NotHome: true, Incarnation: n.options.Incarnation,
		Refusal: *workload.Refuse(code, n.timing.RepeatAfter, "%s", reason),
	})
}

// waitForUnknownKey answers a caller that waits for a key which is not in the
// table. Before recovery is complete the key may still be found.
func (n *Node) waitForUnknownKey(h *home, m *Enqueue) {
	// The record of an accepted job may be in a part of the log that was not
	// read yet. While the log is down, no such record is waited for.
	noJobExpected := n.jobs.open[m.Request.Key] == nil && (h.jobsKnown || !n.log.Up)
	if h.recovery.complete && noJobExpected {
		refusal := workload.Refuse(workload.CodeNotFound, 0, "the key is not known")
		if !h.coversKey(m.Request.Key) || n.jobs.ended[m.Request.Key] {
			refusal.Run = workload.MayHaveRun // The entry may have been dropped after its end.
		}
		n.refuseAtFront(m.Front, m.Request.Key, m.Try, refusal)
		return
	}
	n.sendNotHome(m, workload.CodeNoHome, "the home is recovering")
}

// enqueueKnown attaches a front to a request that is in the home's table.
func (n *Node) enqueueKnown(h *home, e *entry, m *Enqueue) {
	if !m.Wait && !m.ResolveOnly && e.digest != m.Request.Digest() && !e.incomplete() {
		n.event(EventConflictingKeyUsed, string(m.Request.Key), "an earlier request with this key has a different body")
		n.refuseAtFront(m.Front, m.Request.Key, m.Try, workload.Refuse(workload.CodeKeyReused, 0, "key %s was used for a different request", m.Request.Key))
		return
	}
	if e.incomplete() && !m.Wait && !m.ResolveOnly {
		e.request, e.digest = m.Request, m.Request.Digest()
	}
	if e.refusal != nil && e.refusal.Run == workload.NotRun && !m.Wait && e.newSubmission(m) {
		n.resubmit(h, e, m)
		return
	}
	e.request.Attempt = max(e.request.Attempt, m.Request.Attempt)
	e.addFront(m.Front, m.Try)
	switch {
	case e.ended():
		n.sendOutcome(h, e, m.Front, m.Try)
	case e.durable && e.recorded && !m.Wait:
		n.send(m.Front, &Answered{Key: e.request.Key, Accepted: true})
	default:
		n.send(m.Front, &Answered{Key: e.request.Key, Received: true})
		n.redirectTasks(h, e, m.Front)
	}
}

// newSubmission reports whether a message belongs to a submission that was made
// after the entry was refused, rather than to a late try of the refused one.
func (e *entry) newSubmission(m *Enqueue) bool {
	try := e.tryOf(m.Front)
	return try > 0 && m.Try > try || m.Request.Attempt > e.request.Attempt
}

// incomplete reports whether the complete request is not known yet.
func (e *entry) incomplete() bool { return e.digest == 0 }

// resubmit accepts a request again that this home refused as "not-run".
func (n *Node) resubmit(h *home, e *entry, m *Enqueue) {
	if m.ResolveOnly {
		n.sendNotHome(m, workload.CodeNotFound, "the request was refused and has not run")
		return
	}
	h.forget(e)
	n.enqueueNew(h, m)
}

func (h *home) forget(e *entry) {
	delete(h.entries, e.request.Key)
	for i, other := range h.ended {
		if other == e {
			h.ended = slices.Delete(h.ended, i, i+1)
			return
		}
	}
}

// rejectTryOfReturnedKey handles a try for a key that markUnresolved returned to
// its fronts. If an earlier try may have reached this home, the front has missed
// that message and gets it again. It reports whether the try was rejected.
func (n *Node) rejectTryOfReturnedKey(h *home, m *Enqueue) bool {
	if !h.returnedKeys[m.Request.Key] {
		return false
	}
	delete(h.returnedKeys, m.Request.Key)
	if m.Resent {
		n.refuseAllTries(h, m.Request.Key, WaitingFront{m.Front, m.Try})
	}
	return m.Resent
}

// enqueueNew creates an entry for a key that is not in the table.
func (n *Node) enqueueNew(h *home, m *Enqueue) {
	e := &entry{
		request:    m.Request,
		digest:     m.Request.Digest(),
		acceptedAt: n.now.Add(-m.Age),
		state:      workload.StateQueued,
		durable:    m.Request.Mode == workload.ModeJob || m.Request.Mode == workload.ModeService,
	}
	e.addFront(m.Front, m.Try)
	e.unresolved = (m.Resent || m.Request.MayHaveRun() || m.ResolveOnly) && !h.coversKey(e.request.Key)
	if m.ResolveOnly {
		e.digest = 0
	}
	if e.durable && h.jobsKnown {
		// Every job with an earlier record is in the table.
		e.unresolved = false
	}
	e.mayHaveRun = e.unresolved
	if m.ResolveOnly && !e.unresolved {
		// The key never reached this home, and any run of it would be known.
		n.sendNotHome(m, workload.CodeNotFound, "the request never reached this home")
		return
	}
	if refusal := n.admitAtHome(h, e); refusal != nil {
		if e.mayHaveRun {
			refusal.Run = workload.MayHaveRun
		}
		n.refuseAtFront(m.Front, m.Request.Key, m.Try, refusal)
		return
	}
	e.resetTasks(n.now, taskQueued)
	if !e.durable {
		n.setStartBy(e)
	}
	h.entries[e.request.Key] = e
	e.addEvent(e.acceptedAt, "received", "at "+m.Front)
	e.addEvent(n.now, "queued", "at home "+n.options.Name)
	n.send(m.Front, &Answered{Key: e.request.Key, Received: true})
	if e.durable {
		n.acceptJob(h, e)
		return
	}
	n.queueEntry(h, e)
}

// coversKey reports whether a key that is not in the table was certainly never
// started: it was issued after completeSince, with a margin for the clocks of
// callers.
func (h *home) coversKey(key workload.Key) bool {
	issued, ok := key.IssuedAt()
	return ok && !h.completeSince.IsZero() && issued.After(h.completeSince.Add(clockSkewBound))
}
