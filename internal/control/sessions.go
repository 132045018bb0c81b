package control

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
)

// tickOwner opens the sessions that this node should have, gives away those
// that others should have, and repeats results that nobody acknowledged.
func (n *Node) tickOwner() {
	if n.now.Sub(n.owner.checkedAt) >= ownershipEvery {
		n.owner.checkedAt = n.now
		n.checkOwnership()
		n.repeatResults()
		n.dropKeptResults()
		for key, r := range n.owner.reservations {
			if n.now.After(r.until) {
				delete(n.owner.reservations, key)
			}
		}
	}
	n.tickFitness()
	n.schedule()
}

func (n *Node) checkOwnership() {
	for _, name := range n.workers.listed(n.options.Region) {
		view := n.workers.byName[name]
		first := n.members.OwnersOf(name, view.entry.Region, view.entry.FailureDomain).First.Name
		s := n.owner.sessions[name]
		switch {
		case s != nil:
			n.checkSession(s, first)
		case first == n.options.Name && !n.draining && !n.members.fenced && n.now.Sub(n.owner.opening[name]) >= openRetry:
			n.owner.opening[name] = n.now
			n.emit(&OpenSession{Worker: name})
		}
	}
}

// checkSession gives a worker to the member that rendezvous hashing prefers,
// once that has been so for a while, and only one worker at a time.
func (n *Node) checkSession(s *session, first string) {
	if s.closing {
		if s.starting == 0 {
			n.closeSession(s, "given to "+first)
		}
		return
	}
	if first == n.options.Name || first == "" {
		s.strangerSince = n.now
		return
	}
	if s.strangerSince.IsZero() {
		s.strangerSince = n.now
	}
	if n.now.Sub(s.strangerSince) < n.timing.RebalanceAfter || n.now.Sub(n.owner.rebalancedAt) < rebalanceEvery || !n.rebalanceTurn() {
		return
	}
	if !n.mayMoveWorker() {
		return
	}
	n.owner.rebalancedAt = n.now
	n.beginClosing(s)
}

// rebalanceTurn reports whether it is this node's turn to give a worker away.
// The members of a region take turns by the clock, since in a small fleet two
// workers that move at the same moment are a third of it and cost every home its
// lease. Turns that overlap through clock skew are harmless in a large fleet.
func (n *Node) rebalanceTurn() bool {
	live := n.members.liveInRegion(n.options.Region)
	turn := n.now.UnixMilli() / rebalanceEvery.Milliseconds()
	return len(live) > 0 && live[turn%int64(len(live))] == n.options.Name
}

func (n *Node) beginClosing(s *session) {
	s.closing = true
	if view := n.workers.byName[s.worker.Name]; view != nil {
		view.movedAt = n.now
	}
	n.owner.engine.SetLeaving(s.worker.Name, true)
}

// closeSession ends a session in a planned way. The tasks run on; the next
// owner finds them in the worker's list.
func (n *Node) closeSession(s *session, reason string) {
	n.emit(&CloseSession{Worker: s.worker.Name, Token: s.token})
	n.dropSession(s, reason)
}

func (n *Node) closeSessions(reason string) {
	for _, name := range n.sessionNames() {
		n.closeSession(n.owner.sessions[name], reason)
	}
}

// sessionOpened takes a worker over from its own list of tasks.
func (n *Node) sessionOpened(in *SessionOpened) {
	name := in.Worker.Name
	delete(n.owner.opening, name)
	if old := n.owner.sessions[name]; old != nil {
		n.dropSession(old, "a newer session was opened")
	}
	if n.draining || n.members.fenced {
		n.emit(&CloseSession{Worker: name, Token: in.Token})
		return
	}
	s := &session{worker: in.Worker, token: in.Token, strangerSince: n.now}
	n.owner.sessions[name] = s
	n.tenure.SessionOpened(in.SentAt, n.now, name)
	running := n.takeListedTasks(in)
	n.owner.engine.AddWorker(n.now, in.Worker, running)
	n.owner.learning.fitness.AddWorker(n.now, name, len(running))
	if view := n.workers.byName[name]; view != nil && view.entry.Leaving {
		n.owner.engine.SetLeaving(name, true)
	}
	n.event(EventSessionOpened, name, "")
	n.refreshOwnView()
	n.announce(s)
	n.schedule()
}

// takeListedTasks makes owner's records of what the worker has listed and
// returns the running tasks for the engine.
func (n *Node) takeListedTasks(in *SessionOpened) []placement.Running {
	var running []placement.Running
	for i := range in.Tasks {
		listed := &in.Tasks[i]
		var a Assignment
		if err := cbor.Unmarshal(listed.Label, &a); err != nil || a.Task.ID != listed.ID {
			n.event(EventMalformedLabel, string(listed.ID.Key), "on "+in.Worker.Name)
			a = Assignment{Task: placement.Task{ID: listed.ID, Resources: listed.Resources}}
		}
		t := &held{assignment: a, state: heldRunning, worker: in.Worker.Name, receivedAt: n.now, startedAt: listed.StartedAt}
		if listed.Finished {
			t.state, t.finishedAt = heldFinished, n.now
		} else {
			running = append(running, placement.Running{Task: a.Task, StartedAt: listed.StartedAt})
		}
		n.owner.tasks[listed.ID] = t
		delete(n.owner.lost, listed.ID)
	}
	return running
}

// announce lists a worker to every live member of the region, so that homes
// can settle their doubts.
func (n *Node) announce(s *session) {
	message := &Listed{Worker: s.worker.Name, Token: s.token, Tasks: n.tasksOn(s.worker.Name, nil)}
	for _, name := range n.members.liveInRegion(s.worker.Region) {
		n.send(name, message)
	}
}

// tasksOn lists the tasks on a worker, of one range if it is given.
func (n *Node) tasksOn(worker string, place *tenure.Range) []ListedTask {
	var tasks []ListedTask
	for _, t := range n.owner.tasks {
		if t.worker == worker && t.state != heldWaiting && (place == nil || t.assignment.Range() == *place) {
			tasks = append(tasks, ListedTask{Assignment: t.assignment, State: AssignStarted, Finished: t.state == heldFinished})
		}
	}
	sortListed(tasks)
	return tasks
}

func sortListed(tasks []ListedTask) {
	slices.SortFunc(tasks, func(a, b ListedTask) int {
		return placement.CompareTaskIDs(a.Assignment.Task.ID, b.Assignment.Task.ID)
	})
}

// listKeys lists every worker of this node to a new home. From then on older
// homes of the range are refused.
func (n *Node) listKeys(from string, m *ListKeys) {
	if n.checkLease(m.Range, m.Lease) != nil {
		return
	}
	n.reportAgain(m.Range)
	byWorker := map[string][]ListedTask{}
	for _, t := range n.owner.tasks {
		if t.assignment.Range() == m.Range {
			worker, state := t.worker, AssignStarted
			if t.state == heldWaiting {
				worker, state = "", AssignWaiting
			}
			byWorker[worker] = append(byWorker[worker], ListedTask{Assignment: t.assignment, State: state, Finished: t.state == heldFinished})
		}
	}
	waiting := byWorker[""]
	sortListed(waiting)
	for _, name := range n.sessionNames() {
		s := n.owner.sessions[name]
		sortListed(byWorker[name])
		n.send(from, &Listed{Worker: name, Token: s.token, Range: m.Range, Lease: m.Lease, Tasks: byWorker[name], Waiting: waiting, Asked: m.Asked})
		waiting = nil
	}
	if len(n.owner.sessions) == 0 {
		n.send(from, &Listed{Range: m.Range, Lease: m.Lease, Waiting: waiting, Asked: m.Asked})
	}
}

// reportAgain has the results of a range sent to its new home as well: the one
// that acknowledged them may be gone.
func (n *Node) reportAgain(place tenure.Range) {
	var finished []*held
	for _, t := range n.owner.tasks {
		if t.ackHome && t.result != nil && t.assignment.Range() == place {
			finished = append(finished, t)
		}
	}
	slices.SortFunc(finished, func(a, b *held) int {
		return placement.CompareTaskIDs(a.assignment.Task.ID, b.assignment.Task.ID)
	})
	for _, t := range finished {
		t.ackHome, t.sentAt, t.repeats = false, time.Time{}, 0
		if !slices.Contains(n.owner.unacked, t) {
			n.owner.unacked = append(n.owner.unacked, t)
		}
	}
}

func (n *Node) sessionRefused(in *SessionRefused) {
	n.owner.opening[in.Worker] = n.now
}

func (n *Node) sessionLost(in *SessionLost) {
	s := n.owner.sessions[in.Worker]
	if s == nil || s.token != in.Token {
		return
	}
	n.event(EventSessionLost, in.Worker, in.Reason)
	n.dropSession(s, in.Reason)
}

// dropSession forgets a session and everything on its worker, and tells the
// homes, which then wait for the next list.
func (n *Node) dropSession(s *session, reason string) {
	name := s.worker.Name
	delete(n.owner.sessions, name)
	n.tenure.SessionClosed(name)
	n.owner.engine.RemoveWorker(n.now, name)
	var lost []*held
	for id, t := range n.owner.tasks {
		if t.worker == name && t.state != heldWaiting {
			lost = append(lost, t)
			delete(n.owner.tasks, id)
		}
	}
	slices.SortFunc(lost, func(a, b *held) int {
		return placement.CompareTaskIDs(a.assignment.Task.ID, b.assignment.Task.ID)
	})
	for _, t := range lost {
		n.rememberLost(t.assignment.Task.ID, name)
		if t.state == heldStarting || t.state == heldRunning {
			n.tellHome(t.assignment.Range(), &AssignResult{
				Task: t.assignment.Task.ID, Range: t.assignment.Range(), State: AssignLost, Worker: name, Reason: reason,
			})
		}
	}
	n.owner.unacked = slices.DeleteFunc(n.owner.unacked, func(t *held) bool { return t.worker == name })
	n.owner.kept = slices.DeleteFunc(n.owner.kept, func(t *held) bool { return t.worker == name })
	if len(n.owner.sessions) == 0 {
		// Without a worker this node is in no list that a new home waits for, so
		// it must not start these tasks under a later session.
		n.returnAllWaiting("the owner has no worker left")
	}
	n.refreshOwnView()
}

// workerReport takes what a renewal of a session has returned.
func (n *Node) workerReport(in *WorkerReport) {
	s := n.owner.sessions[in.Worker]
	if s == nil || s.token != in.Token {
		return
	}
	n.tenure.SessionRenewed(in.SentAt, in.Worker)
	if in.Leaving != s.leaving {
		s.leaving = in.Leaving
		view := n.workers.byName[in.Worker]
		n.owner.engine.SetLeaving(in.Worker, s.leaving || s.closing || (view != nil && view.entry.Leaving))
		if in.Leaving {
			n.event(EventWorkerLeaving, in.Worker, "by its own word")
		}
	}
	for _, usage := range in.Usage {
		n.usageReported(s, &usage)
	}
	for i := range in.Finished {
		n.taskFinished(s, &in.Finished[i])
	}
	n.schedule()
}

// taskFinished takes a task's result and passes it on.
func (n *Node) taskFinished(s *session, in *FinishedOnWorker) {
	t := n.owner.tasks[in.ID]
	if t == nil || t.result != nil {
		return
	}
	if t.state == heldStarting {
		s.starting--
	}
	n.endTask(t, in.Result.Outcome)
	result := in.Result
	result.Worker = s.worker.Name
	result.Waited = max(t.startedAt.Sub(t.assignment.Task.EnqueuedAt), 0)
	t.state, t.result, t.finishedAt = heldFinished, &result, n.now
	n.owner.unacked = append(n.owner.unacked, t)
	n.sendFinished(t)
}

// direct reports whether the front gets the answer straight from the owner.
func (t *held) direct() bool {
	return !t.assignment.Collected && t.result.Outcome == placement.Completed
}

// sendFinished passes a result to its home and, unless the home decides on it,
// to the front that waits.
func (n *Node) sendFinished(t *held) {
	if t.result == nil {
		return
	}
	t.sentAt = n.now
	place := t.assignment.Range()
	if t.direct() && !t.ackFront && t.assignment.Front != "" {
		n.sendBulk(t.assignment.Front, &Finished{Task: t.assignment.Task.ID, Range: place, Result: *t.result, ToFront: true})
	}
	if !t.ackHome {
		home := n.holderOf(place)
		if home == "" {
			return
		}
		message := &Finished{Task: t.assignment.Task.ID, Range: place, Result: *t.result}
		if t.direct() {
			message.Result.Body = nil
			n.send(home, message)
			return
		}
		n.sendBulk(home, message)
	}
}

// repeatResults sends unacknowledged results again, at growing intervals.
func (n *Node) repeatResults() {
	n.owner.unacked = slices.DeleteFunc(n.owner.unacked, func(t *held) bool {
		if t.ackHome && (t.ackFront || !t.direct()) {
			return true
		}
		if n.now.Sub(t.finishedAt) > unclaimedLimit {
			n.keep(t)
			return true
		}
		if n.now.Sub(t.sentAt) >= n.timing.RepeatAfter<<min(t.repeats, 5) {
			t.repeats++
			n.sendFinished(t)
		}
		return false
	})
}

// acknowledgeAnswer takes a front's or a home's acknowledgement of a result.
func (n *Node) acknowledgeAnswer(m *AcknowledgeAnswer) {
	t := n.owner.tasks[m.Task]
	if t == nil || t.state != heldFinished {
		return
	}
	switch {
	case m.NotWaiting:
		t.assignment.Front = ""
		return
	case m.Final:
		t.ackFront, t.ackHome = true, true
		n.release(t)
		return
	case m.FromFront:
		t.ackFront = true
	default:
		t.ackHome = true
	}
	if t.result != nil && t.ackHome && (t.ackFront || !t.direct()) {
		n.keep(t)
	}
}

// keep holds an acknowledged result for a while, for a caller whose connection
// broke after the answer was written to it.
func (n *Node) keep(t *held) {
	if !t.keptAt.IsZero() {
		return
	}
	t.keptAt = n.now
	n.owner.kept = append(n.owner.kept, t)
	if s := n.owner.sessions[t.worker]; s != nil {
		s.kept = append(s.kept, t)
		if len(s.kept) > keptResultsPerWorker {
			n.release(s.kept[0])
		}
	}
}

func (n *Node) dropKeptResults() {
	for len(n.owner.kept) > 0 && n.now.Sub(n.owner.kept[0].keptAt) >= n.timing.ResultRetention {
		t := n.owner.kept[0]
		n.owner.kept = n.owner.kept[1:]
		n.release(t)
	}
}

// release lets the worker drop a result.
func (n *Node) release(t *held) {
	id := t.assignment.Task.ID
	if n.owner.tasks[id] != t {
		return
	}
	delete(n.owner.tasks, id)
	n.rememberLost(id, t.worker)
	n.owner.unacked = slices.DeleteFunc(n.owner.unacked, func(other *held) bool { return other == t })
	s := n.owner.sessions[t.worker]
	if s == nil {
		return
	}
	if i := slices.Index(s.kept, t); i >= 0 {
		s.kept = slices.Delete(s.kept, i, i+1)
	}
	n.emit(&AcknowledgeResult{Worker: t.worker, Token: s.token, ID: id})
}

// redirect sends an answer to the front that has come to wait for it.
func (n *Node) redirect(from string, m *Redirect) {
	t := n.owner.tasks[m.Task]
	if t == nil {
		n.redirectUnknown(from, m)
		return
	}
	t.assignment.Front = m.Front
	if t.state == heldFinished && t.result != nil {
		t.ackFront = false
		n.sendFinished(t)
	}
}
