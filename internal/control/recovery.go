package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// formerAssignmentLimit is how long after the start of a lease an owner may
// still start what a former home has assigned: the validity of an assignment on
// a clock that runs a tenth slow, and the time for which a message may be on
// its way before the transport replaces the silent connection.
const formerAssignmentLimit = assignmentValidity*11/10 + peerSilenceLimit

// peerSilenceLimit is the silence after which the transport replaces a connection.
const peerSilenceLimit = 1250 * time.Millisecond

// recovery is a new home's way to the knowledge of what its predecessor started.
type recovery struct {
	startedAt time.Time
	// firstNumber is the lease's firstNumber number; it may grow while the lease is held.
	firstNumber tenure.LeaseNumber
	queriedAt   time.Time
	// uncovered are the workers that no owner has listed to this lease yet.
	uncovered map[string]bool
	// answered are the members that have answered to this lease.
	answered map[string]bool
	// byExpiry is set when a worker was covered by the end of its leases alone,
	// so that "not found" does not prove "not run".
	byExpiry bool
	complete bool
}

// startRecovery begins when a lease does.
func (n *Node) startRecovery(h *home) {
	n.markUnresolved(h)
	h.listedAt = map[string]time.Time{}
	for _, q := range h.queues {
		// Nothing was started without a lease.
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
	// Owners of another region hold no worker of this one, unless it has lost
	// all its nodes; asking them would load the region link.
	for _, owner := range n.members.regions[h.homeRange.Region] {
		if n.members.isLive(owner) || owner == n.options.Name {
			n.send(owner, &ListKeys{Range: h.homeRange, Lease: h.leaseNumber, RequestedAt: n.now})
		}
	}
}

// recoveryListed marks a worker as covered by a list that was made for this lease.
func (n *Node) recoveryListed(h *home, from string, m *Listed) {
	if h.recovery.answered != nil && m.Lease.Node == n.options.Name && m.Lease.Compare(h.recovery.firstNumber) >= 0 {
		h.recovery.answered[from] = true
		delete(h.recovery.uncovered, m.Worker)
	}
}

// formerAssignmentsEnded reports whether no owner starts what a former home has
// assigned any more: every member of the region has listed such assignments and
// fenced the others, or they have ended by their validity. A member that does
// not answer may be paused and wake with them.
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

// tickRecovery asks again for missing lists, covers workers whose leases have
// run out, and lets suspects go once every worker is covered.
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
			// What was reported while no lease was held is asked for again.
			e.tasks[i].queriedAt = time.Time{}
		}
	}
	n.event(EventRecoveryComplete, h.homeRange.Team, "every worker of the region is accounted for")
	n.queueUnresolved(h)
}

// queueUnresolved queues what was found nowhere. A non-idempotent request of
// which nothing is known can't be proved "not run": its result may have been
// acknowledged and dropped.
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

// markUnresolved is called when a lease begins or ends: another home may have
// acted on the range. Requests that this home never assigned go back to their
// fronts, which submit them again if no other home can have them. Everything
// else open is suspect.
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
			// It may be untrue once another home has taken the request.
			h.forget(e)
		}
	}
}

// neverAssigned reports whether no task of the entry was ever given to an owner.
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

// refuseAllTries tells a front that no try which this process got had any effect.
func (n *Node) refuseAllTries(h *home, key workload.Key, front WaitingFront) {
	n.send(front.Name, &Refused{
		Key: key, Try: front.Try, NotHome: true, AllTries: true, Incarnation: n.options.Incarnation,
		Refusal: *workload.Refuse(workload.CodeNoHome, n.timing.RepeatAfter, "the lease of team %s began or ended here", h.homeRange.Team),
	})
}

// returnToFronts forgets a request that this home has not acted on.
func (n *Node) returnToFronts(h *home, e *entry) {
	if e.gang.reserving {
		n.releaseGang(h, e)
	}
	delete(h.entries, e.request.Key)
	e.state = workload.StateRefused // The table of deadlines still has it.
	for _, front := range e.fronts {
		n.refuseAllTries(h, e.request.Key, front)
	}
	if !e.unresolved && len(h.returnedKeys) < maxEndedPerHome {
		h.returnedKeys[e.request.Key] = true
	}
}

// resolveEntry decides a suspect that was found nowhere, once every worker is
// accounted for. It reports whether the entry may be queued. That no worker
// shows a non-idempotent request is no proof that it has not run: its result
// may have been acknowledged and dropped, or its worker may have restarted.
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
	// A list of one worker says nothing of a newer attempt on another one.
	e.unresolved = e.unresolved && !h.recovery.complete
	h.unresolvedEntries = slices.DeleteFunc(h.unresolvedEntries, func(other *entry) bool { return other == e })
}

// entryFromList makes an entry for a key that only a worker's list shows.
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
	// A durable job is assigned only after its record was read back.
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

// markOwnerTasksInDoubt puts the tasks of a lost owner into doubt: each may run until
// the workers that it may be on are cleared.
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

// markInDoubt marks a task as possibly running on one of the workers. A task that
// was reported as started can only be on its worker. Without workers it is any
// of the region: news of the owner's latest session may have been lost.
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

// resolveInDoubt decides a task in doubt once all workers that it may be on are cleared.
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
	n.event(EventTaskLost, string(e.request.Key), "it runs nowhere any more and is tried again")
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
