package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// formerAssignmentsOver is how long after the start of a lease an owner may
// still start what a former home has assigned: the validity of an assignment on
// a clock that runs a tenth slow, and the time for which a message may be on
// its way before the silent connection is replaced.
const formerAssignmentsOver = assignmentValidity*11/10 + peerSilence

// peerSilence is the silence after which the transport replaces a connection.
const peerSilence = 1250 * time.Millisecond

// recovery is a new home's way to the knowledge of what its predecessor started.
type recovery struct {
	startedAt time.Time
	// first is the lease's first number; it may grow while the lease is held.
	first   tenure.LeaseNumber
	askedAt time.Time
	// uncovered are the workers that no owner has listed to this lease yet.
	uncovered map[string]bool
	// lapsed is set when a worker was covered by the end of its leases alone,
	// so that "not found" does not prove "not run".
	lapsed   bool
	complete bool
}

// startRecovery begins when a lease does.
func (n *Node) startRecovery(h *home) {
	h.recovery = recovery{startedAt: n.now, first: h.number, uncovered: map[string]bool{}}
	h.knownSince = n.now
	for _, name := range n.workers.names {
		if n.workers.byName[name].entry.Region == h.place.Region {
			h.recovery.uncovered[name] = true
		}
	}
	n.askForLists(h)
}

func (n *Node) askForLists(h *home) {
	h.recovery.askedAt = n.now
	for _, owner := range n.members.names {
		if n.members.isLive(owner) || owner == n.options.Name {
			n.send(owner, &ListKeys{Range: h.place, Lease: h.number})
		}
	}
}

// recoveryListed marks a worker as covered by a list that was made for this lease.
func (n *Node) recoveryListed(h *home, _ string, m *Listed) {
	if m.Worker != "" && m.Lease.Node == n.options.Name && m.Lease.Compare(h.recovery.first) >= 0 {
		delete(h.recovery.uncovered, m.Worker)
	}
}

// tickRecovery asks again for missing lists, covers workers whose leases have
// run out, and lets suspects go once every worker is covered.
func (n *Node) tickRecovery(h *home) {
	if h.recovery.complete {
		return
	}
	for _, name := range n.workers.names {
		if h.recovery.uncovered[name] && n.cleared(name, h.recovery.startedAt) == clearedByLapse {
			delete(h.recovery.uncovered, name)
			h.recovery.lapsed = true
		}
	}
	if n.now.Sub(h.leaseSince) < formerAssignmentsOver {
		return
	}
	if len(h.recovery.uncovered) > 0 {
		if n.now.Sub(h.recovery.askedAt) >= n.timing.RepeatAfter/2 {
			n.askForLists(h)
		}
		return
	}
	h.recovery.complete = true
	n.event(EventRecoveryComplete, h.place.Team, "every worker of the region is accounted for")
	n.releaseSuspects(h)
}

// releaseSuspects queues what was found nowhere. A non-idempotent request of
// which nothing is known can't be proved "not run": its result may have been
// acknowledged and dropped.
func (n *Node) releaseSuspects(h *home) {
	suspects := h.suspects
	h.suspects = nil
	for _, e := range suspects {
		if e.ended() || e.state != workload.StateQueued {
			continue
		}
		n.queueEntry(h, e)
	}
}

// resolveSuspect decides a suspect that was found nowhere, once every worker is
// accounted for. It reports whether the entry may be queued. Lists of all
// workers prove that a request was not started, unless its result may have been
// acknowledged and dropped: a durable job's is acknowledged only after its end
// was read back from the log, and a request's only by the front that answered.
// A front that asks again has not answered; an earlier attempt of the caller
// may have been.
func (n *Node) resolveSuspect(h *home, e *entry) bool {
	switch {
	case e.canceled:
		n.refuseEntry(h, e, outcomeUnknown("it was canceled while the home was recovering"))
		return false
	case e.request.NonIdempotent && (h.recovery.lapsed || (!e.durable && e.request.MayHaveRun())):
		n.refuseEntry(h, e, outcomeUnknown("an earlier attempt reached a home whose records are gone"))
		return false
	}
	e.suspect = false
	e.note(n.now, "recovered", "no worker runs it")
	if e.resolveOnly {
		n.answerQuestion(h, e)
		return false
	}
	return true
}

// answerQuestion tells the fronts that asked after a key that it has not run,
// so that they send the request again as a whole.
func (n *Node) answerQuestion(h *home, e *entry) {
	delete(h.entries, e.request.Key)
	for _, front := range e.fronts {
		n.send(front, &Refused{
			Key: e.request.Key, Try: e.try, NotHome: true,
			Refusal: *workload.Refuse(workload.CodeNotFound, n.timing.RepeatAfter, "the request never reached this home"),
		})
	}
}

func (h *home) dropSuspect(e *entry) {
	e.suspect = false
	h.suspects = slices.DeleteFunc(h.suspects, func(other *entry) bool { return other == e })
}

// entryFromList makes an entry for a key that only a worker's list shows.
func (n *Node) entryFromList(h *home, a *Assignment) *entry {
	e := &entry{
		request: workload.Request{
			Key: a.Task.ID.Key, Team: a.Task.Team, Kind: a.Task.Kind, Class: a.Task.Class, Region: a.Region,
			NonIdempotent: a.NonIdempotent, Resources: a.Task.Resources, GangSize: a.Task.GangSize,
			RunTimeMS: a.Task.RunTime.Milliseconds(),
		},
		acceptedAt: a.Task.EnqueuedAt,
		state:      workload.StateAssigned,
	}
	e.addFront(a.Front)
	e.resetTasks(n.now, taskQueued)
	e.note(n.now, "found", "by the list of an owner")
	if job := n.jobs.open[a.Task.ID.Key]; job != nil {
		e.request, e.digest, e.durable, e.recorded = job.Request, job.Request.Digest(), true, true
	}
	h.entries[e.request.Key] = e
	return e
}

// doubtTasksOf puts the tasks of a lost owner into doubt: each may run until
// the workers that it may be on are cleared.
func (n *Node) doubtTasksOf(h *home, owner string, workers []string) {
	for _, e := range h.active {
		for i := range e.tasks {
			t := &e.tasks[i]
			if t.owner != owner || (t.state != taskAssigned && t.state != taskRunning) {
				continue
			}
			n.doubt(e, t, workers, "its owner "+owner+" is lost")
		}
	}
}

// doubt marks a task as possibly running on one of the workers. A task that
// was reported as started can only be on its worker.
func (n *Node) doubt(e *entry, t *task, workers []string, reason string) {
	if t.worker != "" {
		workers = []string{t.worker}
	}
	t.state, t.doubtSince, t.doubtWorkers = taskDoubtful, n.now, slices.Clone(workers)
	e.note(n.now, "doubtful", reason)
}

// settleDoubt decides a task in doubt once all workers that it may be on are cleared.
func (n *Node) settleDoubt(h *home, e *entry, t *task) {
	proof := clearedByList
	for _, worker := range t.doubtWorkers {
		switch n.cleared(worker, t.doubtSince) {
		case notCleared:
			return
		case clearedByLapse:
			proof = clearedByLapse
		}
	}
	started := t.worker != ""
	if e.request.NonIdempotent && (started || proof == clearedByLapse) {
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
	case taskRunning, taskDoubtful:
		return workload.StateRunning
	}
	return workload.StateQueued
}
