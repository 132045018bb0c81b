package control

import (
	"fmt"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Limits of retries and of the messages from a home to owners.
const (
	// firstBackOff is the upper limit of the first back-off; it doubles with
	// each retry.
	firstBackOff = 100 * time.Millisecond
	maxBackOff   = 30 * time.Second
	// queryRunningInterval is how often a home queries a task that should be
	// running. Owners report losses, so this only covers lost reports.
	queryRunningInterval = 30 * time.Second
	// maxQueryTasks limits the tasks in one query.
	maxQueryTasks = 512
	// recallAfter is how long an assignment waits at a full owner before the
	// home recalls it for an owner with free capacity.
	recallAfter = 200 * time.Millisecond
	// maxRecallsPerTick limits the recalls of one home in one tick.
	maxRecallsPerTick = 8
	// retryBudgetFloor is the number of retries that are always allowed, so
	// that a team with few starts can retry at all.
	retryBudgetFloor = 10
)

// findTask returns a home's entry and task for a task identity. The task is nil if
// its current attempt is another one.
func (h *home) findTask(id placement.TaskID) (*entry, *task) {
	e := h.entries[id.Key]
	if e == nil || id.Index < 0 || id.Index >= len(e.tasks) {
		return nil, nil
	}
	t := &e.tasks[id.Index]
	if t.id.Attempt != id.Attempt {
		return e, nil
	}
	return e, t
}

// assignResult handles an owner's report about an assignment.
func (n *Node) assignResult(from string, m *AssignResult) {
	h := n.homes[m.Range]
	if h == nil || !n.mayAct(h) {
		return // The task is queried once a lease is held.
	}
	e, t := h.findTask(m.Task)
	if t == nil || t.owner != from {
		return
	}
	if e.ended() || m.State == AssignGone {
		n.answerGone(h, e, m)
		return
	}
	t.queriedAt = n.now
	switch m.State {
	case AssignStarted:
		n.taskStartedAtHome(h, e, t, m)
	case AssignWaiting:
	case AssignReturned, AssignExpired:
		n.taskReturned(h, e, t, from, m)
	case AssignUnknown:
		// A process that started after the assignment can't know what the
		// former process did with it. The heartbeat of the new process marks
		// the task as in doubt.
		if m.Incarnation == n.members.Incarnation(from) {
			n.taskUnknown(h, e, t, from, m)
		}
	case AssignLost:
		if t.state == taskAssigned || t.state == taskRunning {
			n.decrementOutstanding(t)
			n.markInDoubt(e, t, []string{m.Worker}, "session with "+m.Worker+" was lost")
		}
	}
}

// answerGone forgets an idempotent request whose answer was lost with its
// worker or dropped after its retention, so that the waiting fronts submit it
// again.
func (n *Node) answerGone(h *home, e *entry, m *AssignResult) {
	if m.State != AssignGone || e.state != workload.StateEnded || e.collected() || e.request.NonIdempotent {
		return
	}
	h.forget(e)
	h.advanceCompleteSince(e.request.Key)
	for _, front := range e.fronts {
		n.send(front.Name, &Refused{
			Key: e.request.Key, Try: front.Try, NotHome: true,
			Refusal: *workload.Refuse(workload.CodeNoHome, n.timing.RepeatAfter, "the answer is not kept any more"),
		})
	}
}

// taskUnknown handles the report that an owner does not know an attempt. This
// proves that the attempt was not started only if no start was reported.
func (n *Node) taskUnknown(h *home, e *entry, t *task, from string, m *AssignResult) {
	switch t.state {
	case taskAssigned:
		n.taskReturned(h, e, t, from, m)
	case taskRunning:
		n.markInDoubt(e, t, nil, m.Reason)
	}
}

// incrementOutstanding counts the assigned tasks of a handed-over entry as
// outstanding at their owners.
func (n *Node) incrementOutstanding(e *entry) {
	for i := range e.tasks {
		if t := &e.tasks[i]; t.state == taskAssigned {
			n.ownerView(t.owner).outstanding[t.teamKind]++
		}
	}
}

// decrementOutstanding removes an assignment from the count of those
// outstanding at its owner.
func (n *Node) decrementOutstanding(t *task) {
	if t.state == taskAssigned {
		view := n.ownerView(t.owner)
		view.outstanding[t.teamKind] = max(view.outstanding[t.teamKind]-1, 0)
	}
}

func (n *Node) taskStartedAtHome(h *home, e *entry, t *task, m *AssignResult) {
	if m.Preempting {
		t.preempted = true
		e.addEvent(n.now, "preempting", m.Reason)
		return
	}
	if t.state != taskAssigned && t.state != taskInDoubt {
		return
	}
	n.decrementOutstanding(t)
	e.mayHaveRun = true
	t.state, t.worker, t.changedAt, t.possibleWorkers = taskRunning, m.Worker, n.now, nil
	e.state, e.waiting = workload.StateRunning, ""
	e.addEvent(n.now, "started", "on "+m.Worker)
	h.starts++
	if e.gangSize() == 1 {
		h.queue(e.request.Kind, KindRule{}).countStart(n.now)
	}
}

// taskReturned queues a task again that its owner has not started and will not
// start.
func (n *Node) taskReturned(h *home, e *entry, t *task, from string, m *AssignResult) {
	if t.state != taskAssigned && t.state != taskRunning {
		return
	}
	n.decrementOutstanding(t)
	if e.gangSize() > 1 {
		n.gangTaskReturned(h, e, t, m.Reason)
		return
	}
	t.state, t.owner, t.worker = taskQueued, "", ""
	n.releaseQuota(h, e)
	e.state = workload.StateQueued
	e.addEvent(n.now, "returned", m.Reason)
	switch {
	case e.canceled:
		n.refuseEntry(h, e, workload.Refuse(workload.CodeCanceled, 0, "canceled before it started"))
	case !e.startBy.IsZero() && !n.now.Before(e.startBy):
		n.refuseEntry(h, e, workload.Refuse(workload.CodeTooLate, 0, "it could not start before its deadline; its owner said: %s", m.Reason))
	default:
		if m.State == AssignReturned {
			e.returnedBy = from
		}
		if e.unresolved || e.incomplete() {
			n.queueEntry(h, e)
			return
		}
		rule, _ := n.rules.kind(e.request.Kind)
		h.queue(e.request.Kind, rule).pushFront(e)
	}
}

// finishedAtHome handles the end of a task at its home.
func (n *Node) finishedAtHome(from string, m *Finished) {
	h := n.existingOrPreferredHome(m.Range)
	if h == nil || !n.mayAct(h) {
		// This node is not the home; the owner has to report to the current
		// one.
		return
	}
	e, t := h.findTask(m.Task)
	if e == nil {
		final := h.recovery.complete && n.mayAct(h) && n.jobs.open[m.Task.Key] == nil
		if final {
			// A home that does not know every key yet must not release a
			// result.
			n.send(from, &AcknowledgeAnswer{Task: m.Task, Final: true})
		}
		return
	}
	if t == nil || e.ended() {
		n.acknowledgeAtHome(e, from, m.Task)
		return
	}
	if t.state == taskEnded {
		return // Other tasks of its gang still run; the worker keeps the result.
	}
	n.decrementOutstanding(t)
	e.mayHaveRun = true
	if e.queued {
		h.queue(e.request.Kind, KindRule{}).drop(e)
	}
	h.removeUnresolved(e)
	t.owner, t.worker, t.changedAt = from, m.Result.Worker, n.now
	result := m.Result
	t.result = &result
	if e.state != workload.StateRunning {
		e.state = workload.StateRunning
		e.addEvent(n.now.Add(-result.Ran), "started", "on "+result.Worker)
	}
	n.taskEndedAtHome(h, e, t)
	if e.ended() {
		n.acknowledgeAtHome(e, from, m.Task)
	}
}

// acknowledgeAtHome lets the owner drop a result. For a durable job it does so
// only after the end record was read back from the log.
func (n *Node) acknowledgeAtHome(e *entry, owner string, id placement.TaskID) {
	if e.durable && e.recorded && !e.endRead {
		return
	}
	n.send(owner, &AcknowledgeAnswer{Task: id, Final: e.collected() || e.answer == nil || e.answer.Failed})
}

// taskEndedAtHome decides whether the end of a task ends its request or leads
// to a retry.
func (n *Node) taskEndedAtHome(h *home, e *entry, t *task) {
	t.state = taskEnded
	e.addEvent(n.now, "task-ended", string(t.result.Outcome)+" on "+t.result.Worker)
	if t.result.Outcome != placement.Completed || e.request.Mode == workload.ModeService {
		n.retryOrEnd(h, e, t)
		return
	}
	for i := range e.tasks {
		if e.tasks[i].state != taskEnded {
			return
		}
	}
	e.answer = n.collectAnswer(e)
	n.end(h, e, workload.StateEnded)
}

// collectAnswer combines the results of a request's tasks. The answer of a gang
// is a JSON array of the task bodies in task order.
func (n *Node) collectAnswer(e *entry) *workload.Answer {
	last := e.tasks[len(e.tasks)-1].result
	answer := &workload.Answer{
		Key: e.request.Key, Worker: last.Worker, WaitedMS: last.Waited.Milliseconds(), RanMS: last.Ran.Milliseconds(),
		Body: last.Body,
	}
	if len(e.tasks) > 1 {
		answer.Body = joinBodies(e.tasks)
	}
	for i := range e.tasks {
		if e.tasks[i].result.Outcome != placement.Completed {
			answer.Failed = true
		}
		answer.RanMS = max(answer.RanMS, e.tasks[i].result.Ran.Milliseconds())
	}
	return answer
}

// retryOrEnd retries a task that did not complete, or ends its request. A
// non-idempotent task that has run is never retried.
func (n *Node) retryOrEnd(h *home, e *entry, t *task) {
	if e.gangSize() > 1 {
		n.gangTaskEnded(h, e, t)
		return
	}
	reason, allowed := n.retryAllowed(h, e, t)
	if !allowed {
		n.endUncompleted(h, e, t, reason)
		return
	}
	n.releaseQuota(h, e)
	e.attempt++
	t.state, t.owner, t.worker, t.preempted = taskBackingOff, "", "", false
	e.state = workload.StateQueued
	t.retryAt = n.now.Add(n.backOff(e.attempt))
	e.addEvent(n.now, "retry", reason)
	n.activate(h, e)
}

// retryAllowed returns whether a task may be retried, and the reason. An
// allowed retry may be charged to the retry budget.
func (n *Node) retryAllowed(h *home, e *entry, t *task) (string, bool) {
	rule, _ := n.rules.kind(e.request.Kind)
	switch {
	case e.canceled:
		return "canceled", false
	case e.request.Mode == workload.ModeService:
		return "a service is started again when it ends", true
	case e.request.NonIdempotent && t.result.Outcome != placement.Lost:
		return "a non-idempotent request runs at most once", false
	case t.preempted:
		return "it gave its room back", true
	case t.result.Outcome == placement.Lost:
		return "its worker or owner was lost", true
	case t.result.Outcome == placement.Stopped:
		return "it was stopped on its worker", e.attempt < rule.Retries
	case e.attempt >= rule.Retries:
		return fmt.Sprintf("failed %d times", e.attempt+1), false
	case float64(h.retries) > retryBudgetFloor+rule.RetryBudget*float64(h.starts):
		return "the retry budget is used up", false
	}
	h.retries++
	return "failed on " + t.result.Worker, true
}

// backOff returns a random delay with full jitter; its upper limit doubles with
// each attempt.
func (n *Node) backOff(attempt int) time.Duration {
	limit := min(firstBackOff<<min(attempt, 10), maxBackOff)
	return time.Duration(n.random.Int64N(int64(limit))) + time.Millisecond
}

// endUncompleted ends a request whose task did not complete.
func (n *Node) endUncompleted(h *home, e *entry, t *task, reason string) {
	if e.canceled {
		refusal := workload.Refuse(workload.CodeCanceled, 0, "canceled while it ran")
		refusal.Run = workload.MayHaveRun
		e.refusal = refusal
		n.end(h, e, workload.StateCanceled)
		return
	}
	if t.result.Outcome == placement.Lost {
		n.refuseEntry(h, e, outcomeUnknown(reason))
		return
	}
	e.addEvent(n.now, "not-retried", reason)
	e.answer = n.collectAnswer(e)
	e.answer.Failed = true
	if len(e.answer.Body) == 0 {
		e.answer.Body = []byte(string(t.result.Outcome) + ": " + reason)
	}
	n.end(h, e, workload.StateEnded)
}

// tickTasks handles the active entries: retries that are due, tasks in doubt
// that can be resolved, and assignments without recent reports.
func (n *Node) tickTasks(h *home) {
	queries := map[string][]placement.TaskID{}
	recalls, inDoubt := 0, false
	h.active = slices.DeleteFunc(h.active, func(e *entry) bool {
		if e.ended() {
			e.active = false
			return true
		}
		for i := range e.tasks {
			n.tickTask(h, e, &e.tasks[i], queries, &recalls)
			inDoubt = inDoubt || e.tasks[i].state == taskInDoubt
		}
		n.endPartialGang(h, e)
		return false
	})
	if inDoubt && n.now.Sub(h.listsRequestedAt) >= n.timing.RepeatAfter/2 {
		h.listsRequestedAt = n.now
		n.requestLists(h)
	}
	for _, owner := range n.members.names {
		if ids := queries[owner]; len(ids) > 0 {
			n.send(owner, &Query{Range: h.homeRange, Tasks: ids, Lease: h.leaseNumber})
		}
	}
}

func (n *Node) tickTask(h *home, e *entry, t *task, queries map[string][]placement.TaskID, recalls *int) {
	if e.ended() {
		return
	}
	if e.canceled && (t.state == taskAssigned || t.state == taskRunning) && n.now.Sub(t.cancelSentAt) >= n.timing.RepeatAfter {
		t.cancelSentAt = n.now
		n.send(t.owner, &Cancel{Key: e.request.Key, Range: h.homeRange, ToOwner: true, Task: t.id})
	}
	switch t.state {
	case taskBackingOff:
		switch {
		case n.now.Before(t.retryAt):
		case e.incomplete() && !e.incompleteSince.IsZero() && n.now.Sub(e.incompleteSince) > homeSearchLimit:
			n.refuseEntry(h, e, outcomeUnknown("an earlier attempt may have run and no front sent the request again"))
		case e.incomplete() && !e.incompleteSince.IsZero():
		case e.canceled:
			n.refuseEntry(h, e, workload.Refuse(workload.CodeCanceled, 0, "canceled between two attempts"))
		default:
			t.state = taskQueued
			n.queueEntry(h, e)
		}
	case taskInDoubt:
		n.resolveInDoubt(h, e, t)
	case taskAssigned:
		n.queryIfDue(t, n.timing.RepeatAfter, queries)
		if *recalls < maxRecallsPerTick && n.shouldRecall(e, t) {
			*recalls++
			t.changedAt = n.now
			n.send(t.owner, &Recall{Range: h.homeRange, Task: t.id})
		}
	case taskRunning:
		n.queryIfDue(t, queryRunningInterval, queries)
	}
}

func (n *Node) queryIfDue(t *task, interval time.Duration, queries map[string][]placement.TaskID) {
	if n.now.Sub(t.queriedAt) >= interval && len(queries[t.owner]) < maxQueryTasks {
		t.queriedAt = n.now
		queries[t.owner] = append(queries[t.owner], t.id)
	}
}

// shouldRecall reports whether a task waits at a full owner while another owner
// has free capacity.
func (n *Node) shouldRecall(e *entry, t *task) bool {
	if e.gangSize() > 1 || n.now.Sub(t.changedAt) < recallAfter || n.ownerView(t.owner).summary.FreeSlots > 0 {
		return false
	}
	for _, name := range n.regionOwners(n.options.Region) {
		view := n.ownerView(name)
		if name != t.owner && view.summary.FreeSlots-view.sentSince > 0 && e.request.Resources.Fits(view.summary.LargestFree) {
			return true
		}
	}
	return false
}
