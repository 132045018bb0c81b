package control

import (
	"cmp"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// home is this node's role for one range: its key table, queues and quota use.
type home struct {
	homeRange tenure.Range
	entries   map[workload.Key]*entry
	// ended lists the ended entries, oldest first, for removal.
	ended  []*entry
	queues []*kindQueue
	// active lists the entries with a task that is assigned, running, in doubt
	// or backing off.
	active []*entry
	// gangs lists the queued gangs.
	gangs []*entry
	// unresolvedEntries lists the entries that wait for the recovery or for the
	// log.
	unresolvedEntries []*entry
	// tooLarge lists the durable jobs that are too large for the fleet.
	tooLarge  []*entry
	deadlines deadlines

	// leaseSince is when the current lease began without interruption; it is
	// zero while no lease is held.
	leaseSince time.Time
	// tableLeaseSince is the start of the same lease in the lease table.
	tableLeaseSince time.Time
	leaseNumber     tenure.LeaseNumber
	recovery        recovery
	// completeSince is the time from which this home has seen every key of the
	// range. A key that was issued later and is not in the table was never
	// started.
	completeSince time.Time

	// used and running are the resources and tasks that count against the quota.
	used    workload.Resources
	running int
	// starts and retries are the counters of the retry budget. They are halved
	// each minute.
	starts, retries int
	decayedAt       time.Time
	handedOver      bool
	// returnedKeys are the keys that went back to their fronts when the lease
	// last began or ended, for fronts that missed the message.
	returnedKeys map[workload.Key]bool
	// handoverAt is when a part of a former home's table last arrived.
	handoverAt time.Time
	// handoverParts counts the parts of a handover that came in order.
	handoverParts int
	// listedAt is, by worker, when the newest received list of the range's
	// tasks was requested.
	listedAt map[string]time.Time
	// listsRequestedAt is when lists were last requested from the owners to
	// resolve tasks in doubt.
	listsRequestedAt time.Time
	// otherPreferredSince is when another member became the preferred home.
	otherPreferredSince time.Time
	// formerSince is the time since which this node is neither the lease holder
	// nor the preferred home.
	formerSince time.Time
	// jobsKnown is set once all records of former homes were read.
	jobsKnown        bool
	homeRecordSentAt time.Time
	// handoverLease is the lease of a complete handover; handoverCompleteSince
	// becomes completeSince when that lease begins.
	handoverLease         tenure.LeaseNumber
	handoverCompleteSince time.Time
}

func (n *Node) sortedRanges() []tenure.Range {
	ranges := make([]tenure.Range, 0, len(n.homes))
	for r := range n.homes {
		ranges = append(ranges, r)
	}
	slices.SortFunc(ranges, func(a, b tenure.Range) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Team, b.Team))
	})
	return ranges
}

// homeFor returns this node's home of a range, and creates it if needed.
func (n *Node) homeFor(r tenure.Range) *home {
	h := n.homes[r]
	if h == nil {
		h = &home{homeRange: r, entries: map[workload.Key]*entry{}, listedAt: map[string]time.Time{}, decayedAt: n.now}
		n.homes[r] = h
	}
	return h
}

func (h *home) applyRules(rules *Rules) {
	for _, q := range h.queues {
		q.rule, _ = rules.kind(q.name)
	}
}

// setStartBy sets the latest start time of an entry, if it has one.
func (n *Node) setStartBy(e *entry) {
	rule, _ := n.rules.kind(e.request.Kind)
	within := rule.Deadline
	if e.request.StartWithinMS > 0 {
		within = time.Duration(e.request.StartWithinMS) * time.Millisecond
	}
	if within > 0 {
		e.startBy = e.acceptedAt.Add(within)
	}
}

// admitAtHome refuses a request that can't be queued: a table or queue is full,
// the request can never run, or it would start too late.
func (n *Node) admitAtHome(h *home, e *entry) *workload.Refusal {
	if len(h.entries) >= maxEntriesPerHome {
		return workload.Refuse(workload.CodeQueueFull, time.Second, "team %s has %d requests in this region's key table", h.homeRange.Team, maxEntriesPerHome)
	}
	if reason := n.neverRunnable(h, e); reason != "" {
		n.event(EventNeverRunnable, string(e.request.Key), reason)
		return workload.Refuse(workload.CodeNeverRunnable, 0, "%s", reason)
	}
	rule, _ := n.rules.kind(e.request.Kind)
	q := h.queue(e.request.Kind, rule)
	if q.length() >= rule.QueueBound {
		return workload.Refuse(workload.CodeQueueFull, q.retryDelay(n.now), "the queue of kind %s is at its bound of %d", rule.Name, rule.QueueBound)
	}
	return n.tooLate(q, e, rule)
}

// tooLate refuses a request early if it can't start before its deadline at the
// current start rate of its queue.
func (n *Node) tooLate(q *kindQueue, e *entry, rule KindRule) *workload.Refusal {
	within := rule.Deadline
	if e.request.StartWithinMS > 0 {
		within = time.Duration(e.request.StartWithinMS) * time.Millisecond
	}
	expected := q.expectedWait(n.now)
	if within == 0 || e.durable || e.unresolved || expected <= within {
		return nil
	}
	return workload.Refuse(workload.CodeTooLate, min(expected-within, time.Minute),
		"expected to wait %s, longer than its deadline of %s", expected.Round(time.Millisecond), within)
}

func (n *Node) refuseAtFront(front string, key workload.Key, try int, refusal *workload.Refusal) {
	n.send(front, &Refused{Key: key, Try: try, Refusal: *refusal})
}

// end ends an entry with its answer or refusal and informs every waiting front.
func (n *Node) end(h *home, e *entry, state workload.State) {
	if e.ended() {
		return
	}
	n.releaseQuota(h, e)
	for i := range e.tasks {
		n.decrementOutstanding(&e.tasks[i])
	}
	e.state, e.endedAt, e.waiting = state, n.now, ""
	e.addEvent(n.now, string(state), "")
	if e.gang.reserving {
		n.releaseGang(h, e)
	}
	if e.queued {
		h.queue(e.request.Kind, KindRule{}).drop(e)
	}
	h.ended = append(h.ended, e)
	e.request.Payload = nil
	if e.durable && e.recorded {
		n.recordEnd(h, e)
	}
	for _, front := range e.fronts {
		n.sendOutcome(h, e, front.Name, front.Try)
	}
}

// sendOutcome sends the outcome of an ended request to a front. The answer of a
// single task stays with its owner, which is asked to deliver it.
func (n *Node) sendOutcome(h *home, e *entry, front string, try int) {
	switch {
	case e.refusal != nil:
		n.refuseAtFront(front, e.request.Key, try, e.refusal)
	case e.answer != nil && (e.collected() || e.answer.Failed):
		n.sendBulk(front, &Answered{Key: e.request.Key, Answer: *e.answer})
	default:
		n.redirectTasks(h, e, front)
	}
}

// redirectTasks makes the owners of a request's tasks send the answer to a
// front that now waits for it.
func (n *Node) redirectTasks(h *home, e *entry, front string) {
	if e.collected() {
		return
	}
	for i := range e.tasks {
		if t := &e.tasks[i]; t.owner != "" {
			n.send(t.owner, &Redirect{Task: t.id, Front: front, Range: h.homeRange})
		}
	}
}

// refuseEntry ends an entry with a refusal. The refusal says "may-have-run" if an
// attempt may have run.
func (n *Node) refuseEntry(h *home, e *entry, refusal *workload.Refusal) {
	if e.mayHaveRun {
		refusal.Run = workload.MayHaveRun
	}
	if e.durable && e.recorded && refusal.Run == workload.NotRun {
		n.refuseJob(h, e, refusal)
		return
	}
	e.refusal = refusal
	state := workload.StateRefused
	if refusal.Run == workload.MayHaveRun {
		state = workload.StateUnknown
		n.event(EventOutcomeUnknown, string(e.request.Key), refusal.Message)
	}
	if refusal.Code == workload.CodeCanceled {
		state = workload.StateCanceled
	}
	n.end(h, e, state)
}

func outcomeUnknown(reason string) *workload.Refusal {
	refusal := workload.Refuse(workload.CodeOutcome, 0, "it can't be proved whether the request ran: %s", reason)
	refusal.Run = workload.MayHaveRun
	return refusal
}

// cancelAtHome handles a caller's cancellation of a request.
func (n *Node) cancelAtHome(m *Cancel) {
	h := n.homes[m.Range]
	if h == nil {
		return
	}
	e := h.entries[m.Key]
	if e == nil || e.ended() || e.canceled {
		return
	}
	e.canceled = true
	e.addEvent(n.now, "cancel-requested", "")
	if !n.mayAct(h) {
		return // Another home may run the request; it ends here once this node holds the lease.
	}
	busy := false
	for i := range e.tasks {
		switch t := &e.tasks[i]; t.state {
		case taskAssigned, taskRunning:
			busy = true
			t.cancelSentAt = n.now
			n.send(t.owner, &Cancel{Key: m.Key, Range: m.Range, ToOwner: true, Task: t.id})
		case taskInDoubt:
			busy = true
		}
	}
	if !busy && !e.unresolved && !e.appending {
		n.refuseEntry(h, e, workload.Refuse(workload.CodeCanceled, 0, "canceled before it started"))
	}
}

func (n *Node) describe(from string, m *Describe) {
	description := &Description{CallID: m.CallID}
	if h := n.homes[m.Range]; h != nil {
		if e := h.entries[m.Key]; e != nil {
			description.Known, description.Status = true, e.status()
		}
	}
	n.sendBulk(from, description)
}

// tickHomes renews the leases, handles what is overdue and dispatches queued
// requests.
func (n *Node) tickHomes() {
	n.tickLeases()
	for _, r := range n.sortedRanges() {
		h := n.homes[r]
		n.tickLease(h)
		if n.handOverToPreferred(h) || n.dropFormerHome(h) {
			continue
		}
		n.decayRetryBudget(h)
		h.dropEnded(n.now, n.timing.ResultRetention)
		if !n.mayAct(h) {
			continue
		}
		n.tickRecovery(h)
		if !h.jobsKnown && n.log.Up && n.now.Sub(h.homeRecordSentAt) >= logRetryAfter {
			n.appendHomeRecord(h)
		}
		n.tickTasks(h)
		n.retryTooLarge(h)
		n.tickGangs(h)
		n.dispatch(h)
	}
}

// decayRetryBudget halves the counters of the retry budget each minute.
func (n *Node) decayRetryBudget(h *home) {
	if n.now.Sub(h.decayedAt) >= time.Minute {
		h.decayedAt = n.now
		h.starts, h.retries = h.starts/2, h.retries/2
	}
}

// dropEnded removes the oldest ended entries: those past the limit, and those
// that ended 20 retention times ago. A dropped key can't be told from one that
// was never seen, so completeSince moves past its time of issue.
func (h *home) dropEnded(now time.Time, retention time.Duration) {
	for len(h.ended) > 0 {
		e := h.ended[0]
		if len(h.ended) <= maxEndedPerHome && now.Sub(e.endedAt) < 20*retention {
			return
		}
		h.ended = h.ended[1:]
		delete(h.entries, e.request.Key)
		h.advanceCompleteSince(e.request.Key)
	}
}

// advanceCompleteSince moves completeSince past a dropped key, which can't be
// told from a key that was never seen.
func (h *home) advanceCompleteSince(key workload.Key) {
	if issued, ok := key.IssuedAt(); ok && !h.completeSince.IsZero() && issued.After(h.completeSince) {
		h.completeSince = issued
	}
}

// sortedEntries returns the entries sorted by key.
func (h *home) sortedEntries() []*entry {
	entries := make([]*entry, 0, len(h.entries))
	for _, e := range h.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.request.Key, b.request.Key) })
	return entries
}
