package control

import (
	"cmp"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// home is this node's role for one range: its key table, queues and quota.
type home struct {
	place   tenure.Range
	entries map[workload.Key]*entry
	// ended lists ended entries, oldest first, for dropping them.
	ended  []*entry
	queues []*kindQueue
	// active are the entries with a task outside the queue.
	active   []*entry
	gangs    []*entry
	suspects []*entry
	// aside are jobs for which the fleet is too small.
	aside     []*entry
	deadlines deadlines

	// leaseSince is when the present, unbroken lease began; zero without one.
	leaseSince time.Time
	// tenureSince is the start of the same lease in the lease table.
	tenureSince time.Time
	number      tenure.LeaseNumber
	recovery    recovery
	// knownSince is the time from which on every key of the range was seen by
	// this home; a key issued after it and not in the table was never started.
	knownSince time.Time

	used    workload.Resources
	running int
	// starts and retries are counted for the retry budget, halved each minute.
	starts, retries int
	decayedAt       time.Time
	handedOver      bool
	// returned are keys that went back to their fronts when the lease began, for
	// fronts that did not hear of it.
	returned map[workload.Key]bool
	// handoverAt is when a former home last sent a part of its table.
	handoverAt time.Time
	// handoverParts counts the messages of a handover that came in order.
	handoverParts int
	// listedAt is, by worker, when the newest list of the range's tasks was asked for.
	listedAt map[string]time.Time
	// doubtsAskedAt is when the owners were last asked for lists to settle doubts.
	doubtsAskedAt time.Time
	// strangerSince is since when another member is first choice.
	strangerSince time.Time
	// unwantedSince is since when the node is neither holder nor first choice.
	unwantedSince time.Time
	// jobsKnown is set once every record of former homes has been read.
	jobsKnown bool
	askedLog  time.Time
	// takenOver is the lease that a former home handed over with everything
	// that it knew since takenSince.
	takenOver  tenure.LeaseNumber
	takenSince time.Time
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

// homeFor returns this node's home of a range, made when it is first needed.
func (n *Node) homeFor(r tenure.Range) *home {
	h := n.homes[r]
	if h == nil {
		h = &home{place: r, entries: map[workload.Key]*entry{}, listedAt: map[string]time.Time{}, decayedAt: n.now}
		n.homes[r] = h
	}
	return h
}

func (h *home) applyRules(rules *Rules) {
	for _, q := range h.queues {
		q.rule, _ = rules.kind(q.name)
	}
}

// enqueue takes a request, a caller's retry or a front's question.
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
		n.notHome(m, workload.CodeNoHome, "this node is not the home of team "+r.Team)
		return
	}
	if h == nil && len(n.homes) >= tenure.MaxRanges {
		n.refuseAtFront(m.Front, m.Request.Key, m.Try, workload.Refuse(workload.CodeQueueFull, time.Second, "this node is the home of %d ranges", tenure.MaxRanges))
		return
	}
	h = n.homeFor(r)
	if !n.mayAct(h) {
		// Taken in without the lease, a first try would count as one that may
		// have run when another node becomes the home.
		n.notHome(m, workload.CodeNoHome, "this node has no lease of team "+r.Team+" yet")
		return
	}
	if m.Wait {
		n.waitForUnknown(h, m)
		return
	}
	if !n.returnedBefore(h, m) {
		n.enqueueNew(h, m)
	}
}

func (n *Node) notHome(m *Enqueue, code workload.Code, reason string) {
	n.send(m.Front, &Refused{
		Key: m.Request.Key, Try: m.Try, NotHome: true, Incarnation: n.options.Incarnation,
		Refusal: *workload.Refuse(code, n.timing.RepeatAfter, "%s", reason),
	})
}

// waitForUnknown answers a caller who asks for a key that is not in the table.
// Before the recovery is complete the key may still turn up.
func (n *Node) waitForUnknown(h *home, m *Enqueue) {
	// An accepted job may be in a part of the log that was not read yet.
	jobsRead := n.jobs.open[m.Request.Key] == nil && (h.jobsKnown || !n.log.Up)
	if h.recovery.complete && jobsRead {
		refusal := workload.Refuse(workload.CodeNotFound, 0, "the key is not known")
		if !h.knowsAllSince(m.Request.Key) {
			refusal.Run = workload.MayHaveRun // It may have been dropped after its end.
		}
		n.refuseAtFront(m.Front, m.Request.Key, m.Try, refusal)
		return
	}
	n.notHome(m, workload.CodeNoHome, "the home is recovering")
}

// enqueueKnown attaches a front to a request that the home already has.
func (n *Node) enqueueKnown(h *home, e *entry, m *Enqueue) {
	if !m.Wait && !m.ResolveOnly && e.digest != m.Request.Digest() && !e.listedOnly() {
		n.event(EventConflictingKeyUsed, string(m.Request.Key), "the key was used before for another body")
		n.refuseAtFront(m.Front, m.Request.Key, m.Try, workload.Refuse(workload.CodeKeyReused, 0, "key %s was used for a different request", m.Request.Key))
		return
	}
	if e.listedOnly() && !m.Wait && !m.ResolveOnly {
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
		n.tellOutcome(h, e, m.Front, m.Try)
	case e.durable && e.recorded && !m.Wait:
		n.send(m.Front, &Answered{Key: e.request.Key, Accepted: true})
	default:
		n.send(m.Front, &Answered{Key: e.request.Key, Received: true})
		n.redirectTasks(h, e, m.Front)
	}
}

// newSubmission reports whether a message belongs to a submission that was made
// after the entry was refused, and not to a late try of the refused one.
func (e *entry) newSubmission(m *Enqueue) bool {
	try := e.tryOf(m.Front)
	return try > 0 && m.Try > try || m.Request.Attempt > e.request.Attempt
}

// listedOnly reports whether the entry is known from a worker's list alone, so
// that its digest is not known.
func (e *entry) listedOnly() bool { return e.digest == 0 }

// resubmit takes a request again that this home refused as not run.
func (n *Node) resubmit(h *home, e *entry, m *Enqueue) {
	if m.ResolveOnly {
		n.notHome(m, workload.CodeNotFound, "the request was refused and has not run")
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

// returnedBefore answers a front that did not hear that its request came back.
func (n *Node) returnedBefore(h *home, m *Enqueue) bool {
	if !h.returned[m.Request.Key] {
		return false
	}
	delete(h.returned, m.Request.Key)
	if m.Resent {
		n.refuseAllTries(h, m.Request.Key, WaitingFront{m.Front, m.Try})
	}
	return m.Resent
}

// enqueueNew makes an entry for a key that is not in the table.
func (n *Node) enqueueNew(h *home, m *Enqueue) {
	e := &entry{
		request:    m.Request,
		digest:     m.Request.Digest(),
		acceptedAt: n.now.Add(-m.Age),
		state:      workload.StateQueued,
		durable:    m.Request.Mode == workload.ModeJob || m.Request.Mode == workload.ModeService,
	}
	e.addFront(m.Front, m.Try)
	e.suspect = (m.Resent || m.Request.MayHaveRun() || m.ResolveOnly) && !h.knowsAllSince(e.request.Key)
	if m.ResolveOnly {
		e.digest = 0
	}
	if e.durable && h.jobsKnown {
		// Every job that was recorded before is in the table.
		e.suspect = false
	}
	e.mayHaveRun = e.suspect
	if m.ResolveOnly && !e.suspect {
		// The key was never here, and any run of it would have been seen.
		n.notHome(m, workload.CodeNotFound, "the request never reached this home")
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
	e.note(e.acceptedAt, "received", "at "+m.Front)
	e.note(n.now, "queued", "at home "+n.options.Name)
	n.send(m.Front, &Answered{Key: e.request.Key, Received: true})
	if e.durable {
		n.acceptJob(h, e)
		return
	}
	n.queueEntry(h, e)
}

// knowsAllSince reports whether a key that is not in the table was certainly
// never started: it was issued after the time from which on this home has seen
// every key, with room for the clocks of callers.
func (h *home) knowsAllSince(key workload.Key) bool {
	issued, ok := key.IssuedAt()
	return ok && !h.knownSince.IsZero() && issued.After(h.knownSince.Add(clockSkewBound))
}

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

// admitAtHome refuses what can't be queued: bounds, work that can never run,
// work that would start too late.
func (n *Node) admitAtHome(h *home, e *entry) *workload.Refusal {
	if len(h.entries) >= maxEntriesPerHome {
		return workload.Refuse(workload.CodeQueueFull, time.Second, "team %s has %d requests in this region's key table", h.place.Team, maxEntriesPerHome)
	}
	if reason := n.neverRunnable(h, e); reason != "" {
		n.event(EventNeverRunnable, string(e.request.Key), reason)
		return workload.Refuse(workload.CodeNeverRunnable, 0, "%s", reason)
	}
	rule, _ := n.rules.kind(e.request.Kind)
	q := h.queue(e.request.Kind, rule)
	if q.length() >= rule.QueueBound {
		return workload.Refuse(workload.CodeQueueFull, q.drainTime(n.now), "the queue of kind %s is at its bound of %d", rule.Name, rule.QueueBound)
	}
	return n.tooLate(q, e, rule)
}

// tooLate refuses work early that can't start before its deadline at the rate
// at which its queue drains.
func (n *Node) tooLate(q *kindQueue, e *entry, rule KindRule) *workload.Refusal {
	within := rule.Deadline
	if e.request.StartWithinMS > 0 {
		within = time.Duration(e.request.StartWithinMS) * time.Millisecond
	}
	expected := q.expectedWait(n.now)
	if within == 0 || e.durable || e.suspect || expected <= within {
		return nil
	}
	return workload.Refuse(workload.CodeTooLate, min(expected-within, time.Minute),
		"expected to wait %s, longer than its deadline of %s", expected.Round(time.Millisecond), within)
}

func (n *Node) refuseAtFront(front string, key workload.Key, try int, refusal *workload.Refusal) {
	n.send(front, &Refused{Key: key, Try: try, Refusal: *refusal})
}

// end closes an entry with its answer or refusal and tells every waiting front.
func (n *Node) end(h *home, e *entry, state workload.State) {
	if e.ended() {
		return
	}
	n.uncount(h, e)
	for i := range e.tasks {
		n.settleOutstanding(&e.tasks[i])
	}
	e.state, e.endedAt, e.waiting = state, n.now, ""
	e.note(n.now, string(state), "")
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
		n.tellOutcome(h, e, front.Name, front.Try)
	}
}

// tellOutcome sends what is known of an ended request to a front. The answer of
// a single request stays with its owner, who is asked to deliver it.
func (n *Node) tellOutcome(h *home, e *entry, front string, try int) {
	switch {
	case e.refusal != nil:
		n.refuseAtFront(front, e.request.Key, try, e.refusal)
	case e.answer != nil && (e.collected() || e.answer.Failed):
		n.sendBulk(front, &Answered{Key: e.request.Key, Answer: *e.answer})
	default:
		n.redirectTasks(h, e, front)
	}
}

// redirectTasks has the owners of a request's tasks send the answer to a front
// that has come to wait for it.
func (n *Node) redirectTasks(h *home, e *entry, front string) {
	if e.collected() {
		return
	}
	for i := range e.tasks {
		if t := &e.tasks[i]; t.owner != "" {
			n.send(t.owner, &Redirect{Task: t.id, Front: front, Range: h.place})
		}
	}
}

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

// cancelAtHome ends a request at a caller's wish.
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
	e.note(n.now, "cancel-requested", "")
	if !n.mayAct(h) {
		return // Another home may have it; it is ended once the lease is held.
	}
	busy := false
	for i := range e.tasks {
		switch t := &e.tasks[i]; t.state {
		case taskAssigned, taskRunning:
			busy = true
			t.cancelAt = n.now
			n.send(t.owner, &Cancel{Key: m.Key, Range: m.Range, ToOwner: true, Task: t.id})
		case taskDoubtful:
			busy = true
		}
	}
	if !busy && !e.suspect && !e.appending {
		n.refuseEntry(h, e, workload.Refuse(workload.CodeCanceled, 0, "canceled before it started"))
	}
}

func (n *Node) describe(from string, m *Describe) {
	description := &Description{Ask: m.Ask}
	if h := n.homes[m.Range]; h != nil {
		if e := h.entries[m.Key]; e != nil {
			description.Known, description.Status = true, e.status()
		}
	}
	n.sendBulk(from, description)
}

// tickHomes keeps the leases, checks what is overdue and starts what may start.
func (n *Node) tickHomes() {
	n.tickTenure()
	for _, r := range n.sortedRanges() {
		h := n.homes[r]
		n.tickLease(h)
		if n.giveBack(h) || n.dropUnwanted(h) {
			continue
		}
		n.decay(h)
		h.dropEnded(n.now, n.timing.ResultRetention)
		if !n.mayAct(h) {
			continue
		}
		n.tickRecovery(h)
		if !h.jobsKnown && n.log.Up && n.now.Sub(h.askedLog) >= logRetryAfter {
			n.announceHome(h)
		}
		n.tickTasks(h)
		n.tickAside(h)
		n.tickGangs(h)
		n.dispatch(h)
	}
}

// decay halves the counters of the retry budget each minute.
func (n *Node) decay(h *home) {
	if n.now.Sub(h.decayedAt) >= time.Minute {
		h.decayedAt = n.now
		h.starts, h.retries = h.starts/2, h.retries/2
	}
}

// dropEnded forgets the oldest ended entries: past the bound, and those whose
// answer is no longer kept. A dropped key can't be told from one that was
// never seen, so knownSince moves past its time of issue.
func (h *home) dropEnded(now time.Time, retention time.Duration) {
	for len(h.ended) > 0 {
		e := h.ended[0]
		if len(h.ended) <= maxEndedPerHome && now.Sub(e.endedAt) < 20*retention {
			return
		}
		h.ended = h.ended[1:]
		delete(h.entries, e.request.Key)
		h.passKey(e.request.Key)
	}
}

// passKey notes that a key was dropped: it can't be told any more from one that
// was never seen.
func (h *home) passKey(key workload.Key) {
	if issued, ok := key.IssuedAt(); ok && !h.knownSince.IsZero() && issued.After(h.knownSince) {
		h.knownSince = issued
	}
}

// sortedEntries returns the entries by key.
func (h *home) sortedEntries() []*entry {
	entries := make([]*entry, 0, len(h.entries))
	for _, e := range h.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.request.Key, b.request.Key) })
	return entries
}
