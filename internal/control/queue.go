package control

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// rateWindow is the time over which starts are counted for the expected wait.
const rateWindow = time.Second

// rateShare is the weight of the newest window in the smoothed start rate.
const rateShare = 0.3

// kindQueue holds a team's waiting requests of one kind, oldest first.
type kindQueue struct {
	name     string
	rule     KindRule
	waiting  *list.List
	elements map[*entry]*list.Element

	starts      int
	windowSince time.Time
	// emptied is set once the queue was empty in the window: its starts then
	// follow the arrivals and say nothing of how fast it could drain.
	emptied bool
	// startRate is in starts a second; 0 while it is not known.
	startRate float64
}

// queue returns the queue of a kind; queues are ordered by urgency, then name.
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

// pushFront puts back an entry that an owner returned; it keeps its turn.
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

// countStart counts a start for the rate.
func (q *kindQueue) countStart(now time.Time) {
	q.updateRate(now)
	q.starts++
}

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
		q.startRate += rateShare * (rate - q.startRate)
	}
	q.starts, q.windowSince, q.emptied = 0, now, q.length() == 0
}

// expectedWait is the time that a new request would wait at the present start
// rate; 0 while too little has been measured.
func (q *kindQueue) expectedWait(now time.Time) time.Duration {
	q.updateRate(now)
	if q.startRate <= 0 {
		return 0
	}
	return time.Duration(float64(q.length()) / q.startRate * float64(time.Second))
}

// retryDelay is when a caller who was refused for a full queue should try again.
func (q *kindQueue) retryDelay(now time.Time) time.Duration {
	return min(max(q.expectedWait(now)/2, time.Second), time.Minute)
}

// deadlines orders entries by the time by which they have to start.
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

// queueEntry puts an entry where it waits: suspects until the recovery is
// complete, gangs for their reservations, everything else in its kind's queue.
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
		// A worker's list or a front's question does not carry the payload.
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

// mustWait says why an entry that an earlier attempt or a former home may have
// run can't be decided yet. A durable job's end may stand in the log behind what
// this node has read of it.
func (n *Node) mustWait(h *home, e *entry) string {
	if e.unresolved && !(h.recovery.complete && n.mayAct(h)) {
		return "recovery of the home: an earlier attempt may have run"
	}
	if e.durable && !h.jobsKnown && (e.unresolved || e.mayHaveRun || e.attempt > 0) {
		return "log: the records of former homes have not been read yet"
	}
	return ""
}

// awaitRequest keeps an entry whose whole request is not known until its front
// has sent it again.
func (n *Node) awaitRequest(h *home, e *entry) {
	if e.incompleteSince.IsZero() {
		e.incompleteSince = n.now
	}
	e.setWaiting(n.now, "its request: only a front can send the whole of it")
	e.tasks[0].state, e.tasks[0].retryAt = taskBackingOff, n.now
	n.activate(h, e)
}

// refuseExpired refuses queued entries whose time to start has passed.
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
