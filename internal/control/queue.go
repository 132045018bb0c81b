package control

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// rateWindow is the time over which starts are counted to estimate the wait.
const rateWindow = time.Second

// rateWeight is the weight of the newest window in the smoothed start rate.
const rateWeight = 0.3

// kindQueue holds a team's waiting requests of one kind, oldest first.
type kindQueue struct {
	name     string
	rule     KindRule
	waiting  *list.List
	elements map[*entry]*list.Element

	starts      int
	windowSince time.Time
	// emptied is set once the queue was empty during the window. Its starts
	// then follow the arrivals and do not show how fast waiting requests start.
	emptied bool
	// startRate is in starts per second; 0 while it is not known.
	startRate float64
}

// queue returns the queue of a kind, and creates it if needed. Queues are
// sorted by urgency, then by name.
func (h *home) queue(name string, rule KindRule) *kindQueue {
	for _, q := range h.queues {
		if q.name == name {
			return q
		}
	}
	q := &kindQueue{name: name, rule: rule, waiting: list.New(), elements: map[*entry]*list.Element{}}
	h.queues = append(h.queues, q)
	slices.SortFunc(h.queues, func(a, b *kindQueue) int {
		if a.rule.Urgency != b.rule.Urgency {
			return b.rule.Urgency - a.rule.Urgency
		}
		return compareNames(a.name, b.name)
	})
	return q
}

func (q *kindQueue) length() int { return q.waiting.Len() }

func (q *kindQueue) push(e *entry) {
	if e.queued {
		return
	}
	e.queued = true
	q.elements[e] = q.waiting.PushBack(e)
}

// pushFront puts back an entry that an owner returned, in front of the others.
func (q *kindQueue) pushFront(e *entry) {
	if e.queued {
		return
	}
	e.queued = true
	q.elements[e] = q.waiting.PushFront(e)
}

func (q *kindQueue) head() *entry {
	if front := q.waiting.Front(); front != nil {
		return front.Value.(*entry)
	}
	return nil
}

func (q *kindQueue) drop(e *entry) {
	if element := q.elements[e]; element != nil {
		q.waiting.Remove(element)
		delete(q.elements, e)
	}
	e.queued = false
	q.emptied = q.emptied || q.length() == 0
}

// countStart counts a start for the start rate.
func (q *kindQueue) countStart(now time.Time) {
	q.updateRate(now)
	q.starts++
}

// updateRate updates the smoothed start rate at the end of each window.
func (q *kindQueue) updateRate(now time.Time) {
	if q.windowSince.IsZero() {
		q.windowSince = now
	}
	elapsed := now.Sub(q.windowSince)
	if elapsed < rateWindow {
		return
	}
	rate := float64(q.starts) / elapsed.Seconds()
	switch {
	case q.emptied || q.length() == 0:
		q.startRate = 0
	case q.startRate == 0:
		q.startRate = rate
	default:
		q.startRate += rateWeight * (rate - q.startRate)
	}
	q.starts, q.windowSince, q.emptied = 0, now, q.length() == 0
}

// expectedWait returns the estimated wait of a new request at the current start
// rate, or 0 while the rate is not known.
func (q *kindQueue) expectedWait(now time.Time) time.Duration {
	q.updateRate(now)
	if q.startRate <= 0 {
		return 0
	}
	return time.Duration(float64(q.length()) / q.startRate * float64(time.Second))
}

// retryDelay returns the delay after which a caller should retry when the queue
// is full.
func (q *kindQueue) retryDelay(now time.Time) time.Duration {
	return min(max(q.expectedWait(now)/2, time.Second), time.Minute)
}

// deadlines is a heap of entries, ordered by their latest start time.
type deadlines []*entry

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].startBy.Before(d[j].startBy) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push appends an entry.
func (d *deadlines) Push(value any) { *d = append(*d, value.(*entry)) }

// Pop removes the last entry.
func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// queueEntry puts an entry where it waits: unresolved entries until recovery is
// complete, gangs for their reservations, all others in the queue of their
// kind.
func (n *Node) queueEntry(h *home, e *entry) {
	e.state = workload.StateQueued
	if !e.startBy.IsZero() && !e.inDeadlines {
		e.inDeadlines = true
		heap.Push(&h.deadlines, e)
	}
	if reason := n.mustWait(h, e); reason != "" {
		e.setWaiting(n.now, reason)
		h.unresolvedEntries = append(h.unresolvedEntries, e)
		return
	}
	if e.unresolved && !n.resolveEntry(h, e) {
		return
	}
	switch {
	case e.incomplete():
		// The payload is missing: the entry was made from a worker's list or from
		// a ResolveOnly message.
		n.awaitRequest(h, e)
	case e.gangSize() > 1:
		h.gangs = append(h.gangs, e)
	default:
		rule, _ := n.rules.kind(e.request.Kind)
		h.queue(e.request.Kind, rule).push(e)
		if n.mayAct(h) {
			n.dispatch(h)
		}
	}
}

// mustWait returns the reason why an entry that may have run can't be decided
// yet, or "". The end of a durable job may be in a part of the log that this
// node has not read yet.
func (n *Node) mustWait(h *home, e *entry) string {
	if e.unresolved && !(h.recovery.complete && n.mayAct(h)) {
		return "recovery of the home: an earlier attempt may have run"
	}
	if e.durable && !h.jobsKnown && (e.unresolved || e.mayHaveRun || e.attempt > 0) {
		return "log: the records of former homes have not been read yet"
	}
	return ""
}

// awaitRequest keeps an incomplete entry until its front has sent the request
// again. The entry's task counts as backing off: tickTask queues the entry once
// it is complete, or refuses it after homeSearchLimit.
func (n *Node) awaitRequest(h *home, e *entry) {
	if e.incompleteSince.IsZero() {
		e.incompleteSince = n.now
	}
	e.setWaiting(n.now, "its request: only a front can send the whole of it")
	e.tasks[0].state, e.tasks[0].retryAt = taskBackingOff, n.now
	n.activate(h, e)
}

// refuseExpired refuses queued entries whose start deadline has passed.
func (n *Node) refuseExpired(h *home) {
	for len(h.deadlines) > 0 && n.now.After(h.deadlines[0].startBy) {
		e := heap.Pop(&h.deadlines).(*entry)
		e.inDeadlines = false
		if e.state != workload.StateQueued || e.ended() {
			continue
		}
		if e.unresolved {
			n.refuseEntry(h, e, outcomeUnknown("its deadline passed while the home was recovering"))
			continue
		}
		n.refuseEntry(h, e, workload.Refuse(workload.CodeTooLate, 0, "it could not start before its deadline; it waited for: %s", waitedFor(e)))
	}
}

func waitedFor(e *entry) string {
	if e.waiting == "" {
		return "its turn"
	}
	return e.waiting
}
