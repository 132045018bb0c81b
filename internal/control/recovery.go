package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// formerAssignmentLimit is how long after the start of a lease an owner may
// still start an assignment of a former home: the validity of an assignment on
// a clock that runs a tenth slow, plus the time that a message may be in
// transit before the transport replaces the silent connection.
const formerAssignmentLimit = assignmentValidity*11/10 + peerSilenceLimit

// peerSilenceLimit is how long a connection may be silent before the transport
// replaces it.
const peerSilenceLimit = 1250 * time.Millisecond

// recovery is the state in which a new home determines what former homes have
// started.
type recovery struct {
	startedAt time.Time
	// firstNumber is the first number of the lease; the number may grow while
	// the lease is held.
	firstNumber tenure.LeaseNumber
	queriedAt   time.Time
	// uncovered holds the workers that no owner has listed under this lease yet
	// and whose task leases have not expired.
	uncovered map[string]bool
	// answered holds the members that have answered a ListKeys of this lease.
	answered map[string]bool
	// byExpiry is set when a worker was covered only by the expiry of its task
	// leases. A task that was not found may then still have run.
	byExpiry bool
	complete bool
}

// startRecovery begins the recovery of a new lease.
func (n *Node) startRecovery(h *home) {
	n.markUnresolved(h)
	h.listedAt = map[string]time.Time{}
	for _, q := range h.queues {
		// Without a lease nothing was started, so the old rate is invalid.
		q.starts, q.startRate, q.windowSince = 0, 0, n.now
	}
	h.recovery = recovery{startedAt: n.now, firstNumber: h.leaseNumber, uncovered: map[string]bool{}, answered: map[string]bool{}}
	h.completeSince = n.now
	for _, name := range n.workers.names {
		if n.workers.byName[name].entry.Region == h.homeRange.Region {
			h.recovery.uncovered[name] = true
		}
	}
	if n.overrides.skipRecovery {
		h.recovery.uncovered = map[string]bool{}
	}
	n.requestLists(h)
}

func (n *Node) requestLists(h *home) {
	h.recovery.queriedAt = n.now
	// Owners in another region hold no workers of this region unless it has
	// lost all its nodes, and asking them would load the region link.
	for _, owner := range n.members.regions[h.homeRange.Region] {
		if n.members.isLive(owner) || owner == n.options.Name {
			n.send(owner, &ListKeys{Range: h.homeRange, Lease: h.leaseNumber, RequestedAt: n.now})
		}
	}
}

// recoveryListed marks a worker as covered by a list that answers a ListKeys of
// this lease.
func (n *Node) recoveryListed(h *home, from string, m *Listed) {
	if h.recovery.answered != nil && m.Lease.Node == n.options.Name && m.Lease.Compare(h.recovery.firstNumber) >= 0 {
		h.recovery.answered[from] = true
		delete(h.recovery.uncovered, m.Worker)
	}
}

// formerAssignmentsEnded reports whether owners no longer start unknown
// assignments of a former home: either every member of the region has answered a
// ListKeys of this lease, which lists the assignments that it holds and fences
// later ones, or the validity of such assignments has expired. A member that
// does not answer may be paused with such assignments and resume.
func (n *Node) formerAssignmentsEnded(h *home) bool {
	if n.overrides.keepOldAssignments || n.now.Sub(h.leaseSince) >= formerAssignmentLimit {
		return true
	}
	for _, name := range n.members.regions[h.homeRange.Region] {
		if !h.recovery.answered[name] {
			return false
		}
	}
	return true
}

// tickRecovery requests missing lists again and covers workers whose task
// leases have expired. Once every worker is covered, it queues the unresolved
// requests.
func (n *Node) tickRecovery(h *home) {
	if h.recovery.complete {
		return
	}
	for _, name := range n.workers.names {
		if h.recovery.uncovered[name] && n.proofOfAbsence(h, name, h.recovery.startedAt) == provenByExpiry {
			delete(h.recovery.uncovered, name)
			h.recovery.byExpiry = true
		}
	}
	if len(h.recovery.uncovered) > 0 || !n.formerAssignmentsEnded(h) {
		if n.now.Sub(h.recovery.queriedAt) >= n.timing.RepeatAfter/2 {
			n.requestLists(h)
		}
		return
	}
	h.recovery.complete = true
	for _, e := range h.active {
		for i := range e.tasks {
			// Reports that came while no lease was held were ignored, so the
			// tasks are queried again.
			e.tasks[i].queriedAt = time.Time{}
		}
	}
	n.event(EventRecoveryComplete, h.homeRange.Team, "every worker of the region was listed or its leases have expired")
	n.queueUnresolved(h)
}

// queueUnresolved queues the requests that were not found on any worker. A
// non-idempotent request without any trace can't be proved "not-run": its
// result may have been acknowledged and dropped.
func (n *Node) queueUnresolved(h *home) {
	unresolvedEntries := h.unresolvedEntries
	h.unresolvedEntries = nil
	for _, e := range unresolvedEntries {
		if e.ended() || e.state != workload.StateQueued {
			continue
		}
		if e.neverAssigned() && h.coversKey(e.request.Key) {
			e.unresolved, e.mayHaveRun = false, false
		}
		n.queueEntry(h, e)
	}
}

// markUnresolved is called when a lease begins or ends, since another home may
// have acted on the range. Requests that this home never assigned are returned
// to their fronts, which submit them again if no other home can have received
// them. All other open requests become unresolved.
func (n *Node) markUnresolved(h *home) {
	waiting := slices.Concat(h.unresolvedEntries, h.tooLarge)
	h.tooLarge = nil
	h.returnedKeys = map[workload.Key]bool{}
	for _, q := range h.queues {
		for e := q.head(); e != nil; e = q.head() {
			q.drop(e)
			waiting = append(waiting, e)
		}
	}
	waiting = append(waiting, h.gangs...)
	h.gangs, h.unresolvedEntries = nil, nil
	for _, e := range waiting {
		switch {
		case e.ended() || e.state != workload.StateQueued:
		case e.neverAssigned() && !e.recorded && !e.canceled:
			n.returnToFronts(h, e)
		default:
			h.unresolvedEntries = append(h.unresolvedEntries, e)
		}
	}
	for _, e := range h.entries {
		if !e.ended() && !e.appending {
			e.unresolved = true
			e.mayHaveRun = e.mayHaveRun || !e.neverAssigned()
		}
		if e.ended() && e.refusal != nil && e.refusal.Run == workload.NotRun {
			// The refusal may become untrue once another home has accepted the
			// request.
			h.forget(e)
		}
	}
}

// neverAssigned reports whether no task of the entry was ever sent to an owner.
func (e *entry) neverAssigned() bool {
	if e.attempt > 0 {
		return false
	}
	for i := range e.tasks {
		if e.tasks[i].id.Attempt != 0 || e.tasks[i].state != taskQueued {
			return false
		}
	}
	return true
}

// refuseAllTries tells a front that none of the tries which this process
// received had any effect.
func (n *Node) refuseAllTries(h *home, key workload.Key, front WaitingFront) {
	n.send(front.Name, &Refused{
		Key: key, Try: front.Try, NotHome: true, AllTries: true, Incarnation: n.options.Incarnation,
		Refusal: *workload.Refuse(workload.CodeNoHome, n.timing.RepeatAfter, "the lease of team %s began or ended here", h.homeRange.Team),
	})
}

// returnToFronts drops a request on which this home has not acted, and tells
// its fronts.
func (n *Node) returnToFronts(h *home, e *entry) {
	if e.gang.reserving {
		n.releaseGang(h, e)
	}
	delete(h.entries, e.request.Key)
	e.state = workload.StateRefused // The deadlines heap still refers to the entry and skips it as ended.
	for _, front := range e.fronts {
		n.refuseAllTries(h, e.request.Key, front)
	}
	if !e.unresolved && len(h.returnedKeys) < maxEndedPerHome {
		h.returnedKeys[e.request.Key] = true
	}
}

// resolveEntry decides an unresolved request that was not found on any worker,
// once every worker is covered. It reports whether the entry may be queued. For
// a non-idempotent request the absence is no proof that it has not run: its
// result may have been acknowledged and dropped, or its worker may have
// restarted.
func (n *Node) resolveEntry(h *home, e *entry) bool {
	switch {
	case e.canceled:
		n.refuseEntry(h, e, outcomeUnknown("it was canceled while the home was recovering"))
		return false
	case e.request.NonIdempotent:
		n.refuseEntry(h, e, outcomeUnknown("an earlier attempt reached a home whose records are gone"))
		return false
	}
	e.unresolved = false
	e.addEvent(n.now, "recovered", "no worker runs it")
	return true
}

func (h *home) removeUnresolved(e *entry) {
	// The list of one worker does not rule out a newer attempt on another one.
	e.unresolved = e.unresolved && !h.recovery.complete
	h.unresolvedEntries = slices.DeleteFunc(h.unresolvedEntries, func(other *entry) bool { return other == e })
}

// entryFromList creates an entry for a key that is known only from a worker's
// list.
func (n *Node) entryFromList(h *home, a *Assignment) *entry {
	e := &entry{
		request: workload.Request{
			Key: a.Task.ID.Key, Team: a.Task.Team, Kind: a.Task.Kind, Class: a.Task.Class, Region: a.Region,
			NonIdempotent: a.NonIdempotent, Resources: a.Task.Resources, GangSize: a.Task.GangSize,
			RunTimeMS: a.Task.RunTime.Milliseconds(), Mode: a.Mode,
		},
		acceptedAt: a.Task.EnqueuedAt,
		state:      workload.StateAssigned,
		mayHaveRun: true,
		unresolved: !h.recovery.complete,
	}
	// A durable job is assigned only after its acceptance record was read back.
	e.durable = a.Mode == workload.ModeJob || a.Mode == workload.ModeService
	e.recorded = e.durable
	e.addFront(a.Front, 0)
	e.resetTasks(n.now, taskQueued)
	e.addEvent(n.now, "found", "by the list of an owner")
	if job := n.jobs.open[a.Task.ID.Key]; job != nil {
		e.request, e.digest, e.durable, e.recorded = job.Request, job.Request.Digest(), true, true
	}
	h.entries[e.request.Key] = e
	return e
}

// markOwnerTasksInDoubt marks the tasks of a lost owner as in doubt. Each may
// run until all its possible workers are ruled out.
func (n *Node) markOwnerTasksInDoubt(h *home, owner string) {
	for _, e := range h.active {
		for i := range e.tasks {
			t := &e.tasks[i]
			if t.owner != owner || (t.state != taskAssigned && t.state != taskRunning) {
				continue
			}
			n.markInDoubt(e, t, nil, "its owner "+owner+" is lost")
		}
	}
}

// markInDoubt marks a task as possibly running on one of the workers. A task
// with a reported start can only be on its worker. If no workers are given it
// can be on any worker of the region, since the message about a new session of
// the owner may have been lost.
func (n *Node) markInDoubt(e *entry, t *task, workers []string, reason string) {
	if len(workers) == 0 {
		workers = n.workers.listed(n.options.Region)
	}
	if t.worker != "" {
		workers = []string{t.worker}
	}
	t.state, t.inDoubtSince, t.possibleWorkers = taskInDoubt, n.now, slices.Clone(workers)
	e.addEvent(n.now, "doubtful", reason)
}

// resolveInDoubt decides a task in doubt once all its possible workers are
// ruled out.
func (n *Node) resolveInDoubt(h *home, e *entry, t *task) {
	proof := provenByList
	for _, worker := range t.possibleWorkers {
		switch n.proofOfAbsence(h, worker, t.inDoubtSince) {
		case noProof:
			return
		case provenByExpiry:
			proof = provenByExpiry
		}
	}
	started := t.worker != ""
	e.mayHaveRun = true
	if e.request.NonIdempotent && (started || proof == provenByExpiry) {
		n.refuseEntry(h, e, outcomeUnknown("the worker or the owner that had it was lost"))
		return
	}
	n.event(EventTaskLost, string(e.request.Key), "no worker runs it any more")
	t.result = &Result{Outcome: placement.Lost}
	n.retryOrEnd(h, e, t)
}

func stateOf(state taskState) workload.State {
	switch state {
	case taskAssigned:
		return workload.StateAssigned
	case taskRunning, taskInDoubt:
		return workload.StateRunning
	}
	return workload.StateQueued
}
