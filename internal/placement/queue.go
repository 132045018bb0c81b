package placement

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// queueFullRetry is the delay after which callers may try again when a queue is
// full.
const queueFullRetry = time.Second

// entry is one waiting task, or the placeholder of a complete gang. The links
// come first, so that unlinking a neighbour touches only one of its cache
// lines.
type entry struct {
	// shapeQueue, previous and next are the position of the entry in its queue.
	// The members of a gang are in no queue; the placeholder of their gang is.
	previous, next *entry
	expiry         expiryLink
	shapeQueue     *shapeQueue
	gang           *gang
	kind           *kindState
	team           *teamState
	gangPosition   int // index in gang.members
	sequence       uint64
	runTime        time.Duration
	task           Task
}

// teamQueue is the waiting work of one team in one kind, in one queue for each
// shape.
type teamQueue struct {
	kind     *kindState
	team     *teamState
	position int // index in kind.teamQueues
	// queues lists the ready queues first, readyCount of them; the others are
	// blocked.
	queues     []*shapeQueue
	readyCount int
	byShape    map[*shape]*shapeQueue
	// exhaustedGeneration is the generation in which nothing in the team's
	// queues could start.
	exhaustedGeneration uint64
}

// shapeQueue is the first-in-first-out queue of the waiting tasks of one team
// and kind that have the same shape.
type shapeQueue struct {
	teamQueue *teamQueue
	shape     *shape
	// position and shapePosition are the indexes in the lists of the teamQueue
	// and of the shape.
	position      int
	shapePosition int
	head, tail    *entry
	length        int
	// skippedGeneration is the generation in which the head could not start
	// because of a rule of its kind, such as the ceiling, or because it is a
	// gang that did not fit.
	skippedGeneration uint64
}

// Enqueue queues a waiting task. It returns nil, or a rejection with the code
// workload.CodeBadRequest, CodeKeyReused, CodeTooLate or CodeQueueFull.
func (e *Engine) Enqueue(now time.Time, task Task) *Rejection {
	if message := validate(&task); message != "" {
		return &Rejection{Code: workload.CodeBadRequest, Message: message}
	}
	if e.waiting[task.ID] != nil || e.placed[task.ID] != nil {
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
	if rejection := e.checkQueueBounds(kind); rejection != nil {
		return rejection
	}
	en := e.entryPool.get()
	en.task, en.kind, en.team, en.runTime = task, kind, team, e.runTime(&task)
	if task.GangSize > 1 {
		if message := e.joinGang(en); message != "" {
			e.entryPool.put(en)
			return &Rejection{Code: workload.CodeBadRequest, Message: message}
		}
	} else {
		e.push(en)
	}
	e.addWaiting(now, en)
	return nil
}

// addWaiting adds a task to the table of waiting tasks and to the totals of its
// kind and team.
func (e *Engine) addWaiting(now time.Time, en *entry) {
	e.waiting[en.task.ID] = en
	en.kind.waiting++
	en.kind.waitingDemand = en.kind.waitingDemand.plus(taskDemand(&en.task))
	en.team.waiting++
	en.kind.lastActiveAt = now
	if en.task.Resources.Accelerators > 0 {
		e.waitingAcceleratorTasks++
		e.lastAcceleratorWorkAt = now
	}
	if en.kind.guaranteed > 0 {
		demand := taskDemand(&en.task)
		en.kind.largestDemand = en.kind.largestDemand.maximum(demand)
		e.updateKind(en.kind)
	}
	e.expiry.add(now, en)
}

func validate(task *Task) string {
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

func (e *Engine) checkQueueBounds(kind *kindState) *Rejection {
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

// push appends an entry to its queue. Because the entry may be able to start, its
// team queue and kind no longer count as exhausted.
func (e *Engine) push(en *entry) {
	e.sequence++
	en.sequence = e.sequence
	tq := en.kind.teamQueueOf(en.team)
	s := e.shapes.shapeOf(en)
	queue := tq.byShape[s]
	if queue == nil {
		queue = &shapeQueue{teamQueue: tq, shape: s, position: len(tq.queues), shapePosition: len(s.queues)}
		tq.queues = append(tq.queues, queue)
		tq.byShape[s] = queue
		s.queues = append(s.queues, queue)
		tq.unblock(queue)
	}
	en.shapeQueue, en.previous = queue, queue.tail
	if queue.tail != nil {
		queue.tail.next = en
	} else {
		queue.head = en
		queue.skippedGeneration = 0
		tq.unblock(queue)
	}
	queue.tail = en
	queue.length++
	tq.exhaustedGeneration, tq.kind.exhaustedGeneration = 0, 0
}

// unlink removes an entry from its queue in constant time. Queues, team queues
// and shapes that become empty are removed.
func (e *Engine) unlink(en *entry) {
	queue := en.shapeQueue
	if en.previous != nil {
		en.previous.next = en.next
	} else {
		// The limits of the kind may apply differently to the next head.
		queue.head, queue.skippedGeneration = en.next, 0
		queue.teamQueue.unblock(queue)
		queue.teamQueue.exhaustedGeneration, queue.teamQueue.kind.exhaustedGeneration = 0, 0
	}
	if en.next != nil {
		en.next.previous = en.previous
	} else {
		queue.tail = en.previous
	}
	en.shapeQueue, en.previous, en.next = nil, nil, nil
	queue.length--
	if queue.length > 0 {
		return
	}
	tq := queue.teamQueue
	tq.block(queue)
	tq.swap(queue.position, len(tq.queues)-1)
	tq.queues = tq.queues[:len(tq.queues)-1]
	delete(tq.byShape, queue.shape)
	e.shapes.removeQueue(queue)
	if len(tq.queues) == 0 {
		tq.kind.removeTeamQueue(tq)
	}
}

func (tq *teamQueue) swap(i, j int) {
	tq.queues[i], tq.queues[j] = tq.queues[j], tq.queues[i]
	tq.queues[i].position, tq.queues[j].position = i, j
}

// block excludes a queue whose head fits no worker from scheduling until
// unblock is called.
func (tq *teamQueue) block(queue *shapeQueue) {
	if queue.position < tq.readyCount {
		tq.readyCount--
		tq.swap(queue.position, tq.readyCount)
	}
}

// unblock makes a blocked queue ready, so that its head is tried again.
func (tq *teamQueue) unblock(queue *shapeQueue) {
	if queue.position >= tq.readyCount {
		tq.swap(queue.position, tq.readyCount)
		tq.readyCount++
	}
}

// removeWaiting removes a waiting task from all tables.
func (e *Engine) removeWaiting(en *entry) {
	delete(e.waiting, en.task.ID)
	en.kind.waiting--
	en.kind.waitingDemand = en.kind.waitingDemand.minus(taskDemand(&en.task))
	en.team.waiting--
	e.expiry.remove(en)
	if en.gang != nil {
		e.leaveGang(en)
	} else {
		e.unlink(en)
	}
	if en.task.Resources.Accelerators > 0 {
		if e.waitingAcceleratorTasks--; e.waitingAcceleratorTasks == 0 {
			e.generation++ // Other work may now use workers with accelerators.
		}
	}
	e.entryPool.put(en)
}
