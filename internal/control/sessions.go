package control

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
)

// tickOwner opens the sessions that this node should hold, moves those that
// other members should hold, and repeats unacknowledged results.
func (n *Node) tickOwner() {
	if n.now.Sub(n.owner.checkedAt) >= ownershipCheckInterval {
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
	n.reviewQuarantines()
	n.schedule()
}

func (n *Node) checkOwnership() {
	for _, name := range n.workers.listed(n.options.Region) {
		view := n.workers.byName[name]
		preferred := n.members.OwnersOf(name, view.entry.Region, view.entry.FailureDomain).First.Name
		s := n.owner.sessions[name]
		switch {
		case s != nil:
			n.checkSession(s, preferred)
		case preferred == n.options.Name && !n.draining && !n.members.isolated && n.now.Sub(n.owner.openRequestedAt[name]) >= openRetryInterval:
			n.owner.openRequestedAt[name] = n.now
			n.emit(&OpenSession{Worker: name})
		}
	}
}

// checkSession moves a worker to the member that rendezvous hashing prefers,
// once it has preferred that member for RebalanceAfter, one worker at a time.
func (n *Node) checkSession(s *session, preferred string) {
	if s.closing {
		if s.starting == 0 {
			n.closeSession(s, "given to "+preferred)
		}
		return
	}
	if preferred == n.options.Name || preferred == "" {
		s.otherPreferredSince = n.now
		return
	}
	if s.otherPreferredSince.IsZero() {
		s.otherPreferredSince = n.now
	}
	if n.now.Sub(s.otherPreferredSince) < n.timing.RebalanceAfter || n.now.Sub(n.owner.rebalancedAt) < rebalanceInterval || !n.hasRebalanceTurn() {
		return
	}
	if !n.mayMoveWorker() {
		return
	}
	n.owner.rebalancedAt = n.now
	n.beginClosing(s)
}

// hasRebalanceTurn reports whether it is this node's turn to move a worker. The
// members of a region take turns by their clocks: in a small fleet two workers
// that move at once are a third of it, and every home would lose its lease. In
// a large fleet, turns that overlap because of clock skew do no harm.
func (n *Node) hasRebalanceTurn() bool {
	live := n.members.liveInRegion(n.options.Region)
	turn := n.now.UnixMilli() / rebalanceInterval.Milliseconds()
	return len(live) > 0 && live[turn%int64(len(live))] == n.options.Name
}

func (n *Node) beginClosing(s *session) {
	s.closing = true
	if view := n.workers.byName[s.worker.Name]; view != nil {
		view.movedAt = n.now
	}
	n.owner.engine.SetLeaving(s.worker.Name, true)
}

// closeSession ends a session in a planned way. The tasks continue, and the
// next owner finds them in the worker's list.
func (n *Node) closeSession(s *session, reason string) {
	n.emit(&CloseSession{Worker: s.worker.Name, Token: s.token})
	n.dropSession(s, reason)
}

func (n *Node) closeSessions(reason string) {
	for _, name := range n.sessionNames() {
		n.closeSession(n.owner.sessions[name], reason)
	}
}

// sessionOpened takes over a worker with the tasks that the worker lists.
func (n *Node) sessionOpened(in *SessionOpened) {
	name := in.Worker.Name
	delete(n.owner.openRequestedAt, name)
	if old := n.owner.sessions[name]; old != nil {
		n.dropSession(old, "a newer session was opened")
	}
	if n.draining || n.members.isolated {
		n.emit(&CloseSession{Worker: name, Token: in.Token})
		return
	}
	s := &session{worker: in.Worker, token: in.Token, otherPreferredSince: n.now}
	n.owner.sessions[name] = s
	n.tenure.SessionOpened(in.SentAt, n.now, name)
	running := n.addListedTasks(in)
	n.owner.engine.AddWorker(n.now, in.Worker, running)
	n.owner.outcomes.quarantines.AddWorker(n.now, name, len(running))
	if view := n.workers.byName[name]; view != nil && view.entry.Leaving {
		n.owner.engine.SetLeaving(name, true)
	}
	n.event(EventSessionOpened, name, "")
	n.refreshOwnView()
	n.announceSession(s)
	n.schedule()
}

// addListedTasks creates this owner's records of the listed tasks. It returns
// the running tasks for the engine.
func (n *Node) addListedTasks(in *SessionOpened) []placement.Running {
	var running []placement.Running
	for i := range in.Tasks {
		listed := &in.Tasks[i]
		var a Assignment
		if err := cbor.Unmarshal(listed.Label, &a); err != nil || a.Task.ID != listed.ID {
			n.event(EventMalformedLabel, string(listed.ID.Key), "on "+in.Worker.Name)
			a = Assignment{Task: placement.Task{ID: listed.ID, Resources: listed.Resources}}
		}
		t := &ownerTask{assignment: a, state: ownerTaskRunning, worker: in.Worker.Name, receivedAt: n.now, startedAt: listed.StartedAt}
		if listed.Finished {
			t.state, t.finishedAt = ownerTaskFinished, n.now
		} else {
			running = append(running, placement.Running{Task: a.Task, StartedAt: listed.StartedAt})
		}
		n.owner.tasks[listed.ID] = t
		delete(n.owner.lost, listed.ID)
	}
	return running
}

// announceSession sends a worker's list to every live member of the region, so
// that homes can resolve their tasks in doubt.
func (n *Node) announceSession(s *session) {
	message := &Listed{Worker: s.worker.Name, Token: s.token, Tasks: n.tasksOn(s.worker.Name, nil)}
	for _, name := range n.members.liveInRegion(s.worker.Region) {
		n.send(name, message)
	}
}

// tasksOn lists the tasks on a worker, only those of one range if it is not
// nil.
func (n *Node) tasksOn(worker string, homeRange *tenure.Range) []ListedTask {
	var tasks []ListedTask
	for _, t := range n.owner.tasks {
		if t.worker == worker && t.state != ownerTaskWaiting && (homeRange == nil || t.assignment.Range() == *homeRange) {
			tasks = append(tasks, ListedTask{Assignment: t.assignment, State: AssignStarted, Finished: t.state == ownerTaskFinished})
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
	n.resendResults(m.Range)
	byWorker := map[string][]ListedTask{}
	for _, t := range n.owner.tasks {
		if t.assignment.Range() == m.Range {
			worker, state := t.worker, AssignStarted
			if t.state == ownerTaskWaiting {
				worker, state = "", AssignWaiting
			}
			byWorker[worker] = append(byWorker[worker], ListedTask{Assignment: t.assignment, State: state, Finished: t.state == ownerTaskFinished})
		}
	}
	waiting := byWorker[""]
	sortListed(waiting)
	for _, name := range n.sessionNames() {
		s := n.owner.sessions[name]
		sortListed(byWorker[name])
		n.send(from, &Listed{Worker: name, Token: s.token, Range: m.Range, Lease: m.Lease, Tasks: byWorker[name], Waiting: waiting, RequestedAt: m.RequestedAt})
		waiting = nil
	}
	if len(n.owner.sessions) == 0 {
		n.send(from, &Listed{Range: m.Range, Lease: m.Lease, Waiting: waiting, RequestedAt: m.RequestedAt})
	}
}

// resendResults sends the results of a range to its new home as well, since the
// home that acknowledged them may be gone.
func (n *Node) resendResults(homeRange tenure.Range) {
	var finished []*ownerTask
	for _, t := range n.owner.tasks {
		if t.homeAcknowledged && t.result != nil && t.assignment.Range() == homeRange {
			finished = append(finished, t)
		}
	}
	slices.SortFunc(finished, func(a, b *ownerTask) int {
		return placement.CompareTaskIDs(a.assignment.Task.ID, b.assignment.Task.ID)
	})
	for _, t := range finished {
		t.homeAcknowledged, t.sentAt, t.repeats = false, time.Time{}, 0
		if !slices.Contains(n.owner.unacknowledged, t) {
			n.owner.unacknowledged = append(n.owner.unacknowledged, t)
		}
	}
}

func (n *Node) sessionRefused(in *SessionRefused) {
	n.owner.openRequestedAt[in.Worker] = n.now
}

func (n *Node) sessionLost(in *SessionLost) {
	s := n.owner.sessions[in.Worker]
	if s == nil || s.token != in.Token {
		return
	}
	n.event(EventSessionLost, in.Worker, in.Reason)
	n.dropSession(s, in.Reason)
}

// dropSession removes a session with all tasks on its worker and notifies the
// homes, which then wait for the next list.
func (n *Node) dropSession(s *session, reason string) {
	name := s.worker.Name
	delete(n.owner.sessions, name)
	n.tenure.SessionClosed(name)
	n.owner.engine.RemoveWorker(n.now, name)
	var lost []*ownerTask
	for id, t := range n.owner.tasks {
		if t.worker == name && t.state != ownerTaskWaiting {
			lost = append(lost, t)
			delete(n.owner.tasks, id)
		}
	}
	slices.SortFunc(lost, func(a, b *ownerTask) int {
		return placement.CompareTaskIDs(a.assignment.Task.ID, b.assignment.Task.ID)
	})
	for _, t := range lost {
		n.rememberLost(t.assignment.Task.ID, name)
		if t.state == ownerTaskStarting || t.state == ownerTaskRunning {
			n.sendToHolder(t.assignment.Range(), &AssignResult{
				Task: t.assignment.Task.ID, Range: t.assignment.Range(), State: AssignLost, Worker: name, Reason: reason,
			})
		}
	}
	n.owner.unacknowledged = slices.DeleteFunc(n.owner.unacknowledged, func(t *ownerTask) bool { return t.worker == name })
	n.owner.keptResults = slices.DeleteFunc(n.owner.keptResults, func(t *ownerTask) bool { return t.worker == name })
	if len(n.owner.sessions) == 0 {
		// A new home waits for the lists of workers, and this node has none, so
		// it must not start these tasks in a later session.
		n.returnAllWaiting("the owner has no worker left")
	}
	n.refreshOwnView()
}

// workerReport handles the result of a session renewal.
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
			n.event(EventWorkerLeaving, in.Worker, "reported by the worker")
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

// taskFinished stores the result of a task and sends it on.
func (n *Node) taskFinished(s *session, in *FinishedOnWorker) {
	t := n.owner.tasks[in.ID]
	if t == nil || t.result != nil {
		return
	}
	if t.state == ownerTaskStarting {
		s.starting--
	}
	n.endTask(t, in.Result.Outcome)
	result := in.Result
	result.Worker = s.worker.Name
	result.Waited = max(t.startedAt.Sub(t.assignment.Task.EnqueuedAt), 0)
	t.state, t.result, t.finishedAt = ownerTaskFinished, &result, n.now
	n.owner.unacknowledged = append(n.owner.unacknowledged, t)
	n.sendFinished(t)
}

// direct reports whether the owner sends the answer to the front itself.
func (t *ownerTask) direct() bool {
	return !t.assignment.Collected && t.result.Outcome == placement.Completed
}

// sendFinished sends a result to its home and, if the answer is direct, to the
// waiting front.
func (n *Node) sendFinished(t *ownerTask) {
	if t.result == nil {
		return
	}
	t.sentAt = n.now
	homeRange := t.assignment.Range()
	if t.direct() && !t.frontAcknowledged && t.assignment.Front != "" {
		n.sendBulk(t.assignment.Front, &Finished{Task: t.assignment.Task.ID, Range: homeRange, Result: *t.result, ToFront: true})
	}
	if !t.homeAcknowledged {
		home := n.holderOf(homeRange)
		if home == "" {
			return
		}
		message := &Finished{Task: t.assignment.Task.ID, Range: homeRange, Result: *t.result}
		if t.direct() {
			message.Result.Body = nil
			n.send(home, message)
			return
		}
		n.sendBulk(home, message)
	}
}

// repeatResults sends unacknowledged results again at increasing intervals.
func (n *Node) repeatResults() {
	n.owner.unacknowledged = slices.DeleteFunc(n.owner.unacknowledged, func(t *ownerTask) bool {
		if t.homeAcknowledged && (t.frontAcknowledged || !t.direct()) {
			return true
		}
		if n.now.Sub(t.finishedAt) > resultRepeatLimit {
			n.keepResult(t)
			return true
		}
		if n.now.Sub(t.sentAt) >= n.timing.RepeatAfter<<min(t.repeats, 5) {
			t.repeats++
			n.sendFinished(t)
		}
		return false
	})
}

// acknowledgeAnswer handles the acknowledgement of a result by a front or a
// home.
func (n *Node) acknowledgeAnswer(m *AcknowledgeAnswer) {
	t := n.owner.tasks[m.Task]
	if t == nil || t.state != ownerTaskFinished {
		return
	}
	switch {
	case m.NotWaiting:
		t.assignment.Front = ""
		return
	case m.Final:
		t.frontAcknowledged, t.homeAcknowledged = true, true
		n.releaseResult(t)
		return
	case m.FromFront:
		t.frontAcknowledged = true
	default:
		t.homeAcknowledged = true
	}
	if t.result != nil && t.homeAcknowledged && (t.frontAcknowledged || !t.direct()) {
		n.keepResult(t)
	}
}

// keepResult keeps an acknowledged result for ResultRetention, for a caller
// whose connection broke after the answer was written to it.
func (n *Node) keepResult(t *ownerTask) {
	if !t.keptAt.IsZero() {
		return
	}
	t.keptAt = n.now
	n.owner.keptResults = append(n.owner.keptResults, t)
	if s := n.owner.sessions[t.worker]; s != nil {
		s.keptResults = append(s.keptResults, t)
		if len(s.keptResults) > keptResultsPerWorker {
			n.releaseResult(s.keptResults[0])
		}
	}
}

func (n *Node) dropKeptResults() {
	for len(n.owner.keptResults) > 0 && n.now.Sub(n.owner.keptResults[0].keptAt) >= n.timing.ResultRetention {
		t := n.owner.keptResults[0]
		n.owner.keptResults = n.owner.keptResults[1:]
		n.releaseResult(t)
	}
}

// releaseResult forgets a result and lets the worker drop it.
func (n *Node) releaseResult(t *ownerTask) {
	id := t.assignment.Task.ID
	if n.owner.tasks[id] != t {
		return
	}
	delete(n.owner.tasks, id)
	n.rememberLost(id, t.worker)
	n.owner.unacknowledged = slices.DeleteFunc(n.owner.unacknowledged, func(other *ownerTask) bool { return other == t })
	s := n.owner.sessions[t.worker]
	if s == nil {
		return
	}
	if i := slices.Index(s.keptResults, t); i >= 0 {
		s.keptResults = slices.Delete(s.keptResults, i, i+1)
	}
	n.emit(&AcknowledgeResult{Worker: t.worker, Token: s.token, ID: id})
}

// redirect sends an answer to the front that now waits for it.
func (n *Node) redirect(from string, m *Redirect) {
	t := n.owner.tasks[m.Task]
	if t == nil {
		n.reportAnswerGone(from, m)
		return
	}
	t.assignment.Front = m.Front
	if t.state == ownerTaskFinished && t.result != nil {
		t.frontAcknowledged = false
		n.sendFinished(t)
	}
}
