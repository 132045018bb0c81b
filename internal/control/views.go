package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
)

// workerView is what a node knows of one worker, also of those that others own.
type workerView struct {
	entry VMEntry
	// inList is false once the VM list has dropped the worker: the VM is gone.
	inList    bool
	removedAt time.Time
	// owner and token are those of the newest session that was announced.
	owner string
	token uint64
	// listedAt is when a list of all its tasks came, with a new session; the
	// lists that a home asks for hold the tasks of its range alone.
	listedAt       time.Time
	announcedToken uint64
	// movedAt is when its session was opened anew, or began to be given away.
	movedAt time.Time
}

// workerViews holds the VM list and the announced sessions.
type workerViews struct {
	byName map[string]*workerView
	names  []string
	region map[string][]string
}

func newWorkerViews() workerViews {
	return workerViews{byName: map[string]*workerView{}, region: map[string][]string{}}
}

// listed returns the names of a region's workers in the VM list, sorted.
func (v *workerViews) listed(region string) []string { return v.region[region] }

func (v *workerViews) rebuild() {
	v.names, v.region = v.names[:0], map[string][]string{}
	for name := range v.byName {
		v.names = append(v.names, name)
	}
	slices.Sort(v.names)
	for _, name := range v.names {
		if view := v.byName[name]; view.inList {
			v.region[view.entry.Region] = append(v.region[view.entry.Region], name)
		}
	}
}

// vmListed takes a VM list. A worker that the list has dropped is kept for a
// while, since doubts about its tasks may still refer to it.
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
			n.event(EventWorkerLeaving, entry.Name, "by the VM list")
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
	n.setTenureRegion()
}

// absenceProof says whether a worker can no longer run a task that was given to
// it before a point in time, and whether that was seen or only concluded.
type absenceProof int

const (
	noProof absenceProof = iota
	// provenByExpiry: the task's lease has run out or the VM is gone; the task
	// may have run.
	provenByExpiry
	// provenByList: an owner with a newer session has listed the worker, and
	// the task was not in the list.
	provenByList
)

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

// listed takes the list of one worker from its owner.
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

// recordList notes for which range, and for which point in time a worker's list speaks for: the opening
// of a new session, or else the time at which this node asked for it.
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

// taskListed brings the home's entry in line with what an owner has listed.
func (n *Node) taskListed(owner, worker string, listed *ListedTask) {
	a := &listed.Assignment
	h := n.homeIfPreferred(a.Range())
	if h == nil {
		return
	}
	e := h.entries[a.Task.ID.Key]
	if e == nil && !n.servesRange(h) {
		return
	}
	// An entry of a handover is brought up to date also before the lease is
	// gained: the same list settles the entry's doubts later.
	if e == nil {
		e = n.entryFromList(h, a)
	}
	if a.Task.ID.Index < 0 || a.Task.ID.Index >= len(e.tasks) {
		return
	}
	t := &e.tasks[a.Task.ID.Index]
	if e.ended() {
		if t.id == a.Task.ID {
			t.owner = owner // The answer is delivered from there.
		}
		return
	}
	if t.id.Attempt > a.Task.ID.Attempt || (t.id.Attempt == a.Task.ID.Attempt && t.state == taskEnded) {
		return
	}
	// A newer attempt was begun only after the older one was known to be over.
	n.adoptListedTask(h, e, t, owner, worker, listed)
}

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
		n.count(h, e)
	}
	n.activate(h, e)
	for _, front := range e.fronts {
		if front.Name != listed.Assignment.Front {
			n.send(owner, &Redirect{Task: t.id, Front: front.Name, Range: h.homeRange})
		}
	}
}

func (n *Node) servesRange(h *home) bool {
	return n.homeOf(h.homeRange) == n.options.Name || !h.leaseSince.IsZero()
}
