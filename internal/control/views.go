package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
)

// workerView is what a node knows about one worker, also if another node owns
// it.
type workerView struct {
	entry VMEntry
	// inList is false once the worker was removed from the VM list, since the
	// VM is gone then.
	inList    bool
	removedAt time.Time
	// owner and token belong to the newest announced session.
	owner string
	token uint64
	// listedAt is when a list of all the worker's tasks came with a new session,
	// and announcedToken is the token of that session. A list that a home
	// requests contains only the tasks of its range.
	listedAt       time.Time
	announcedToken uint64
	// movedAt is when a new session was opened, or when the session began to be
	// moved.
	movedAt time.Time
}

// workerViews holds the VM list and the announced sessions.
type workerViews struct {
	byName map[string]*workerView
	names  []string
	// listedByRegion holds the sorted names of the workers in the VM list.
	listedByRegion map[string][]string
}

func newWorkerViews() workerViews {
	return workerViews{byName: map[string]*workerView{}, listedByRegion: map[string][]string{}}
}

// listed returns the names of a region's workers in the VM list, sorted by
// name.
func (v *workerViews) listed(region string) []string { return v.listedByRegion[region] }

func (v *workerViews) rebuild() {
	v.names, v.listedByRegion = v.names[:0], map[string][]string{}
	for name := range v.byName {
		v.names = append(v.names, name)
	}
	slices.Sort(v.names)
	for _, name := range v.names {
		if view := v.byName[name]; view.inList {
			v.listedByRegion[view.entry.Region] = append(v.listedByRegion[view.entry.Region], name)
		}
	}
}

// vmListed handles a new VM list. A removed worker is kept for a while, since
// tasks in doubt may still refer to it.
func (n *Node) vmListed(in *VMListed) {
	present := map[string]bool{}
	for _, entry := range in.Workers {
		present[entry.Name] = true
		view := n.workers.byName[entry.Name]
		if view == nil {
			view = &workerView{}
			n.workers.byName[entry.Name] = view
		}
		if entry.Leaving && !view.entry.Leaving {
			n.event(EventWorkerLeaving, entry.Name, "marked in the VM list")
		}
		view.entry, view.inList = entry, true
		if session := n.owner.sessions[entry.Name]; session != nil {
			n.owner.engine.SetLeaving(entry.Name, entry.Leaving || session.leaving || session.closing)
		}
	}
	for name, view := range n.workers.byName {
		if !present[name] && view.inList {
			view.inList, view.removedAt = false, n.now
		}
		if !view.inList && n.now.Sub(view.removedAt) > 2*n.taskExpiryTime() {
			delete(n.workers.byName, name)
			delete(n.owner.openRequestedAt, name)
		}
	}
	n.workers.rebuild()
	n.setLeaseRegion()
}

// absenceProof is the kind of proof that a worker no longer runs a task that it
// was given before a point in time.
type absenceProof int

const (
	noProof absenceProof = iota
	// provenByExpiry: the lease of the task has expired or the VM is gone. The
	// task may have run.
	provenByExpiry
	// provenByList: an owner has listed the worker since then, and the list does
	// not contain the task.
	provenByList
)

// proofOfAbsence returns the proof that a worker no longer runs any task that it
// was given before the time since.
func (n *Node) proofOfAbsence(h *home, worker string, since time.Time) absenceProof {
	view := n.workers.byName[worker]
	if view == nil {
		return provenByExpiry
	}
	switch {
	case view.listedAt.After(since), h.listedAt[worker].After(since):
		return provenByList
	case !view.inList && n.now.Sub(view.removedAt) > n.timing.TaskLease:
		return provenByExpiry
	case n.overrides.expireAtOnce:
		return provenByExpiry
	case n.now.Sub(since) >= n.taskExpiryTime() && n.mayAssumeExpired(view.entry.Region):
		return provenByExpiry
	}
	return noProof
}

// listed handles an owner's list of one worker.
func (n *Node) listed(from string, m *Listed) {
	if m.Worker != "" {
		n.recordList(from, m)
	}
	for i := range m.Tasks {
		n.taskListed(from, m.Worker, &m.Tasks[i])
	}
	for i := range m.Waiting {
		n.taskListed(from, "", &m.Waiting[i])
	}
	if h := n.homes[m.Range]; h != nil && m.Lease != (tenure.LeaseNumber{}) {
		n.recoveryListed(h, from, m)
	}
}

// recordList stores the point in time for which a list is complete. For the
// list of a new session, which covers all ranges, this is its arrival. For a
// requested list, which covers one range, it is the time of the request.
func (n *Node) recordList(from string, m *Listed) {
	view := n.workers.byName[m.Worker]
	if view == nil {
		view = &workerView{removedAt: n.now}
		n.workers.byName[m.Worker] = view
		n.workers.rebuild()
	}
	if m.Token < view.token {
		return
	}
	if m.Token > view.token {
		view.movedAt = n.now
	}
	view.owner, view.token = from, m.Token
	switch h := n.homes[m.Range]; {
	case m.Lease == (tenure.LeaseNumber{}):
		if m.Token > view.announcedToken {
			view.announcedToken, view.listedAt = m.Token, n.now
		}
	case h != nil && m.RequestedAt.After(h.listedAt[m.Worker]):
		h.listedAt[m.Worker] = m.RequestedAt
	}
}

// taskListed updates the home's entry of a listed task.
func (n *Node) taskListed(owner, worker string, listed *ListedTask) {
	a := &listed.Assignment
	h := n.existingOrPreferredHome(a.Range())
	if h == nil {
		return
	}
	e := h.entries[a.Task.ID.Key]
	if e == nil && !n.servesRange(h) {
		return
	}
	// An entry from a handover is updated even before the lease begins, since
	// the same list later resolves its tasks in doubt.
	if e == nil {
		e = n.entryFromList(h, a)
	}
	if a.Task.ID.Index < 0 || a.Task.ID.Index >= len(e.tasks) {
		return
	}
	t := &e.tasks[a.Task.ID.Index]
	if e.ended() {
		if t.id == a.Task.ID {
			t.owner = owner // The owner delivers the answer from now on.
		}
		return
	}
	if t.id.Attempt > a.Task.ID.Attempt || (t.id.Attempt == a.Task.ID.Attempt && t.state == taskEnded) {
		return
	}
	// A newer attempt is begun only after the older one is known to have ended.
	n.adoptListedTask(h, e, t, owner, worker, listed)
}

// adoptListedTask takes over the state of a listed task and redirects its answer
// to the waiting fronts.
func (n *Node) adoptListedTask(h *home, e *entry, t *task, owner, worker string, listed *ListedTask) {
	n.decrementOutstanding(t)
	t.id = listed.Assignment.Task.ID
	t.owner, t.worker, t.changedAt, t.possibleWorkers = owner, worker, n.now, nil
	t.state = taskRunning
	if listed.State == AssignWaiting {
		t.state = taskAssigned
		t.queriedAt = n.now
		n.ownerView(owner).outstanding[t.teamKind]++
	} else {
		e.mayHaveRun = true
	}
	if e.queued {
		h.queue(e.request.Kind, KindRule{}).drop(e)
	}
	h.removeUnresolved(e)
	e.state = stateOf(t.state)
	e.addEvent(n.now, "found", "at owner "+owner+" on "+worker)
	if !listed.Finished {
		n.chargeQuota(h, e)
	}
	n.activate(h, e)
	for _, front := range e.fronts {
		if front.Name != listed.Assignment.Front {
			n.send(owner, &Redirect{Task: t.id, Front: front.Name, Range: h.homeRange})
		}
	}
}

// servesRange reports whether this node is the preferred home of a range or holds
// its lease.
func (n *Node) servesRange(h *home) bool {
	return n.homeOf(h.homeRange) == n.options.Name || !h.leaseSince.IsZero()
}
