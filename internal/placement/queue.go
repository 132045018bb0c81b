package placement

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// queueFullRetry is the advice to callers when a queue is full.
const queueFullRetry = time.Second

// entry is one waiting task, or the ticket of a complete gang. The links come
// first, so that unlinking a neighbour touches one cache line of it.
type entry struct {
	// bucket, before and after place the entry in its queue. Members of gangs
	// are in no queue; their gang's ticket is.
	before, after *entry
	expiry        expiryLink
	bucket        *bucket
	gang          *gang
	kind          *kindState
	team          *teamState
	gangPosition  int
	sequence      uint64
	runTime       time.Duration
	task          Task
}

// lane holds the waiting work of one team in one kind, by shape.
type lane struct {
	kind     *kindState
	team     *teamState
	position int
	// buckets has the ready queues first; the rest are blocked.
	buckets []*bucket
	ready   int
	byShape map[*shape]*bucket
	// dryAt is the wake count at which nothing in the lane could start.
	dryAt uint64
}

// bucket is the first-in-first-out queue of one shape in a lane.
type bucket struct {
	lane  *lane
	shape *shape
	// position and shapePosition are the places in the lists of the lane and
	// of the shape.
	position      int
	shapePosition int
	head, tail    *entry
	length        int
	// skipAt is the wake count at which the head could not start for a reason
	// of its kind, such as the ceiling.
	skipAt uint64
}

// Enqueue takes a waiting task, or says why it does not.
func (e *Engine) Enqueue(now time.Time, task Task) *Rejection {
	if message := malformed(&task); message != "" {
		return &Rejection{Code: workload.CodeBadRequest, Message: message}
	}
	if e.waiting[task.ID] != nil || e.place[task.ID] != nil {
		return &Rejection{Code: workload.CodeKeyReused, Message: "the task is already waiting or running here"}
	}
	kind, team := e.kindNamed(task.Kind), e.teamNamed(task.Team)
	if task.EnqueuedAt.IsZero() {
		task.EnqueuedAt = now
	}
	if deadline := kind.policy.Deadline; deadline > 0 {
		if last := task.EnqueuedAt.Add(deadline); task.StartBy.IsZero() || last.Before(task.StartBy) {
			task.StartBy = last
		}
	}
	if !task.StartBy.IsZero() && now.After(task.StartBy) {
		return &Rejection{Code: workload.CodeTooLate, Message: "the start-by time has passed"}
	}
	if rejection := e.full(kind); rejection != nil {
		return rejection
	}
	en := e.entries.take()
	en.task, en.kind, en.team, en.runTime = task, kind, team, e.runTime(&task)
	if task.GangSize > 1 {
		if message := e.joinGang(en); message != "" {
			e.entries.give(en)
			return &Rejection{Code: workload.CodeBadRequest, Message: message}
		}
	} else {
		e.push(en)
	}
	e.admit(now, en)
	return nil
}

// admit counts a task that was taken.
func (e *Engine) admit(now time.Time, en *entry) {
	e.waiting[en.task.ID] = en
	en.kind.waiting++
	en.kind.asked = en.kind.asked.plus(taskDemand(&en.task))
	en.team.waiting++
	en.kind.activeAt = now
	if en.task.Resources.Accelerators > 0 {
		e.acceleratorsWaiting++
		e.acceleratorWork = now
	}
	if en.kind.guaranteed > 0 {
		demand := taskDemand(&en.task)
		en.kind.largest = en.kind.largest.highest(demand)
		e.kindChanged(en.kind)
	}
	e.expiry.add(now, en)
}

func malformed(task *Task) string {
	r := task.Resources
	switch {
	case task.ID.Key == "":
		return "the key is empty"
	case r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0 || task.Connections < 0:
		return "resources and connections must not be negative"
	case task.GangSize < 0 || task.GangSize > workload.MaxGangSize:
		return fmt.Sprintf("gang size must be from 0 to %d, got %d", workload.MaxGangSize, task.GangSize)
	case task.ID.Index < 0 || task.ID.Index >= max(task.GangSize, 1):
		return fmt.Sprintf("index must be below the gang size %d, got %d", max(task.GangSize, 1), task.ID.Index)
	}
	return ""
}

func (e *Engine) full(kind *kindState) *Rejection {
	bound := kind.policy.QueueBound
	if bound <= 0 {
		bound = DefaultQueueBound
	}
	if kind.waiting < bound && len(e.waiting) < MaxWaiting {
		return nil
	}
	return &Rejection{Code: workload.CodeQueueFull, RetryAfter: queueFullRetry,
		Message: fmt.Sprintf("%d tasks of kind %q are waiting", kind.waiting, kind.policy.Name)}
}

// push puts an entry at the end of its queue.
func (e *Engine) push(en *entry) {
	e.sequence++
	en.sequence = e.sequence
	l := en.kind.laneOf(en.team)
	s := e.shapes.of(en)
	b := l.byShape[s]
	if b == nil {
		b = &bucket{lane: l, shape: s, position: len(l.buckets), shapePosition: len(s.buckets)}
		l.buckets = append(l.buckets, b)
		l.byShape[s] = b
		s.buckets = append(s.buckets, b)
		l.unblock(b)
	}
	en.bucket, en.before = b, b.tail
	if b.tail != nil {
		b.tail.after = en
	} else {
		b.head = en
		b.skipAt = 0
		l.unblock(b)
	}
	b.tail = en
	b.length++
	l.dryAt, l.kind.dryAt = 0, 0
}

// unlink takes an entry out of its queue in constant time. Queues, lanes and
// shapes that become empty are removed.
func (e *Engine) unlink(en *entry) {
	b := en.bucket
	if en.before != nil {
		en.before.after = en.after
	} else {
		// The next head may differ in what its kind's rules say about it.
		b.head, b.skipAt = en.after, 0
		b.lane.unblock(b)
		b.lane.dryAt, b.lane.kind.dryAt = 0, 0
	}
	if en.after != nil {
		en.after.before = en.before
	} else {
		b.tail = en.before
	}
	en.bucket, en.before, en.after = nil, nil, nil
	b.length--
	if b.length > 0 {
		return
	}
	l := b.lane
	l.block(b)
	l.swap(b.position, len(l.buckets)-1)
	l.buckets = l.buckets[:len(l.buckets)-1]
	delete(l.byShape, b.shape)
	e.shapes.release(b)
	if len(l.buckets) == 0 {
		l.kind.removeLane(l)
	}
}

func (l *lane) swap(i, j int) {
	l.buckets[i], l.buckets[j] = l.buckets[j], l.buckets[i]
	l.buckets[i].position, l.buckets[j].position = i, j
}

// block sets a queue aside whose head fits no worker until unblock.
func (l *lane) block(b *bucket) {
	if b.position < l.ready {
		l.ready--
		l.swap(b.position, l.ready)
	}
}

func (l *lane) unblock(b *bucket) {
	if b.position >= l.ready {
		l.swap(b.position, l.ready)
		l.ready++
	}
}

// forget removes a waiting task from every table.
func (e *Engine) forget(en *entry) {
	delete(e.waiting, en.task.ID)
	en.kind.waiting--
	en.kind.asked = en.kind.asked.minus(taskDemand(&en.task))
	en.team.waiting--
	e.expiry.remove(en)
	if en.gang != nil {
		e.leaveGang(en)
	} else {
		e.unlink(en)
	}
	if en.task.Resources.Accelerators > 0 {
		if e.acceleratorsWaiting--; e.acceleratorsWaiting == 0 {
			e.wake++ // Other work may now use workers with accelerators.
		}
	}
	e.entries.give(en)
}
