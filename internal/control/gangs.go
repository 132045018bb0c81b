package control

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Times of gang reservations.
const (
	// reservationLength is how long an owner reserves capacity for a gang. It
	// is renewed while the gang reserves the rest.
	reservationLength = 2 * time.Second
	// reserveInterval is the interval between two rounds of reservations for a
	// waiting gang.
	reserveInterval = 200 * time.Millisecond
	// confirmMargin is the validity that a reservation must have left to count
	// for its gang, so that it does not expire while the Confirm is in transit.
	confirmMargin = reservationLength / 2
)

// gangState holds a home's reservations for one gang.
type gangState struct {
	reserving   bool
	requestedAt time.Time
	// held is, by owner, the number of tasks with reserved capacity and the end
	// of the reservation.
	held map[string]gangReservation
}

type gangReservation struct {
	count int
	until time.Time
}

// tickGangs lets the oldest waiting gang reserve capacity. Only one gang of a
// home reserves at a time. Between homes, owners prefer the older gang, so that
// two gangs never block each other for long, each with a part of the capacity
// that the other needs.
func (n *Node) tickGangs(h *home) {
	h.gangs = slices.DeleteFunc(h.gangs, func(e *entry) bool { return e.ended() || e.state != workload.StateQueued })
	if len(h.gangs) == 0 {
		return
	}
	e := slices.MinFunc(h.gangs, func(a, b *entry) int { return a.acceptedAt.Compare(b.acceptedAt) })
	if n.deferTooLarge(h, e) {
		return
	}
	if reason := n.quotaReached(h, e); reason != "" {
		e.setWaiting(n.now, reason)
		return
	}
	if n.now.Sub(e.gang.requestedAt) < reserveInterval {
		return
	}
	n.reserveForGang(h, e)
}

// reserveForGang asks the owners, in the order of their names, to reserve
// capacity. Each owner is asked for the tasks for which the owners before it
// hold no reservation. This also renews the owner's existing reservation.
func (n *Node) reserveForGang(h *home, e *entry) {
	e.gang.requestedAt = n.now
	if e.gang.held == nil {
		e.gang.held = map[string]gangReservation{}
	}
	if !e.gang.reserving {
		e.gang.reserving = true
		e.addEvent(n.now, "reserving", "room for all tasks of the gang")
	}
	e.setWaiting(n.now, "room for all tasks of the gang at once")
	wanted := e.gangSize()
	for _, owner := range n.regionOwners(h.homeRange.Region) {
		summary := n.ownerView(owner).summary
		if n.ownerView(owner).draining || summary.Workers == 0 || !e.request.Resources.Fits(summary.LargestTotal) {
			continue
		}
		held := e.gang.held[owner]
		if n.now.After(held.until) {
			held.count = 0
		}
		requested := min(wanted, int(gangCapacity(summary.Capacity, e.request.Resources)))
		if requested == 0 {
			continue
		}
		n.send(owner, &Reserve{Assignment: e.assignment(0, h.homeRange.Region, e.newestFront(), e.acceptedAt), Lease: h.leaseNumber, Count: requested})
		wanted -= held.count
		if wanted <= 0 {
			return
		}
	}
}

// reserved handles an owner's reservation and starts the gang once it has
// capacity for all its tasks.
func (n *Node) reserved(from string, m *Reserved) {
	h := n.homes[m.Range]
	if h == nil || !n.mayAct(h) {
		return
	}
	e := h.entries[m.Key]
	if e == nil || e.state != workload.StateQueued || !e.gang.reserving {
		n.send(from, &Release{Key: m.Key, Range: m.Range})
		return
	}
	e.gang.held[from] = gangReservation{count: m.Count, until: n.now.Add(m.HeldFor)}
	total := 0
	for _, owner := range n.regionOwners(h.homeRange.Region) {
		if held := e.gang.held[owner]; held.until.Sub(n.now) >= confirmMargin {
			total += held.count
		}
	}
	if total >= e.gangSize() {
		n.confirmGang(h, e)
	}
}

// confirmGang sends each owner the tasks for which it has reserved capacity.
func (n *Node) confirmGang(h *home, e *entry) {
	n.chargeQuota(h, e)
	e.gang.reserving = false
	e.state, e.waiting = workload.StateAssigned, ""
	next := 0
	for i := range e.tasks {
		h.beginAttempt(e, &e.tasks[i])
	}
	for _, owner := range n.regionOwners(h.homeRange.Region) {
		held := e.gang.held[owner]
		if held.count == 0 {
			continue
		}
		confirm := &Confirm{Key: e.request.Key, Lease: h.leaseNumber, Payload: e.request.Payload}
		for range min(held.count, len(e.tasks)-next) {
			t := &e.tasks[next]
			t.state, t.owner, t.worker, t.changedAt, t.queriedAt = taskAssigned, owner, "", n.now, n.now
			n.ownerView(owner).outstanding[t.teamKind]++
			confirm.Assignments = append(confirm.Assignments, e.assignment(next, h.homeRange.Region, e.newestFront(), e.acceptedAt))
			next++
		}
		if len(confirm.Assignments) == 0 {
			n.send(owner, &Release{Key: e.request.Key, Range: h.homeRange})
			continue
		}
		n.sendBulk(owner, confirm)
	}
	e.gang.held = nil
	h.gangs = slices.DeleteFunc(h.gangs, func(other *entry) bool { return other == e })
	n.activate(h, e)
	e.addEvent(n.now, "assigned", "every task of the gang has its room")
	n.event(EventGangStarted, string(e.request.Key), "")
}

// releaseGang drops all reservations of a gang.
func (n *Node) releaseGang(h *home, e *entry) {
	for _, owner := range n.regionOwners(h.homeRange.Region) {
		if _, held := e.gang.held[owner]; held {
			n.send(owner, &Release{Key: e.request.Key, Range: h.homeRange})
		}
	}
	e.gang = gangState{}
}

// gangTaskReturned handles a gang task that its owner did not start: the
// started tasks are stopped, and the gang is queued again as a whole.
func (n *Node) gangTaskReturned(h *home, e *entry, t *task, reason string) {
	t.state, t.result = taskEnded, &Result{Outcome: placement.Lost}
	t.notStarted = true
	e.addEvent(n.now, "returned", reason)
	n.gangTaskEnded(h, e, t)
}

// gangTaskEnded stops the rest of a gang when one task did not complete. Once
// none of its tasks can still run, it decides on a new attempt.
func (n *Node) gangTaskEnded(h *home, e *entry, failed *task) {
	failed.state = taskEnded
	mayStillRun := false
	for i := range e.tasks {
		t := &e.tasks[i]
		switch t.state {
		case taskAssigned, taskRunning:
			mayStillRun = true
			if !t.stopping {
				t.stopping = true
				n.send(t.owner, &Cancel{Key: e.request.Key, Range: h.homeRange, ToOwner: true, Task: t.id})
			}
		case taskInDoubt:
			mayStillRun = true
		case taskQueued, taskBackingOff:
			// After a change of the home only a part of the gang was found.
			t.state, t.result = taskEnded, &Result{Outcome: placement.Lost}
		}
	}
	if mayStillRun {
		return
	}
	n.gangEnded(h, e)
}

// endPartialGang ends a gang of which a complete recovery has found only some
// tasks: the others have ended unnoticed or were never started.
func (n *Node) endPartialGang(h *home, e *entry) {
	if e.gangSize() < 2 || e.ended() || e.state == workload.StateQueued || !h.recovery.complete {
		return
	}
	missing := slices.IndexFunc(e.tasks, func(t task) bool {
		return t.state == taskQueued && n.now.Sub(t.changedAt) >= n.timing.RepeatAfter
	})
	if missing >= 0 {
		e.tasks[missing].result = &Result{Outcome: placement.Lost}
		n.gangTaskEnded(h, e, &e.tasks[missing])
	}
}

// gangEnded retries a gang none of whose tasks can still run, or ends its request.
func (n *Node) gangEnded(h *home, e *entry) {
	worst := e.tasks[0].result
	ran := false
	for i := range e.tasks {
		result := e.tasks[i].result
		ran = ran || !e.tasks[i].notStarted
		if result.Outcome == placement.Failed || worst.Outcome == placement.Completed {
			worst = result
		}
	}
	combined := &task{result: worst, preempted: slices.ContainsFunc(e.tasks, func(t task) bool { return t.preempted })}
	reason, allowed := "no task of the gang had started", true
	if ran {
		reason, allowed = n.retryAllowed(h, e, combined)
		if e.request.NonIdempotent {
			allowed = false
		}
	}
	if !allowed {
		n.endUncompleted(h, e, combined, reason)
		return
	}
	n.releaseQuota(h, e)
	e.addEvent(n.now, "retry", reason)
	e.attempt++
	e.state = workload.StateQueued
	e.gang = gangState{}
	e.resetTasks(n.now, taskQueued)
	n.queueEntry(h, e)
}

// joinBodies returns a JSON array of the task bodies. A body that is not valid
// JSON is encoded as a string.
func joinBodies(tasks []task) []byte {
	bodies := make([]json.RawMessage, len(tasks))
	for i := range tasks {
		body := bytes.TrimSpace(tasks[i].result.Body)
		if !json.Valid(body) {
			body, _ = json.Marshal(string(tasks[i].result.Body))
		}
		bodies[i] = body
	}
	joined, err := json.Marshal(bodies)
	if err != nil {
		return nil
	}
	return joined
}
