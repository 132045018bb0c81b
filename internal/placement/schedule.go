package placement

import "time"

// Schedule makes up to limit decisions. A gang counts as one decision, because
// it starts in one call or not at all. Preemptions do not count towards the
// limit; each call makes only a bounded number of them.
func (e *Engine) Schedule(now time.Time, limit int) []Decision {
	e.expireReservations(now)
	e.updateIdleGuarantees(now)
	decisions := e.expire(now, limit, nil)
	e.markStaleFailures(true)
	decisions = e.startClaimed(now, limit, decisions)
	made := len(decisions)
	if plan := e.gangPlan; plan != nil && made < limit {
		var started bool
		if decisions, started = e.startGang(now, plan.gang, decisions); started {
			made++
		}
	}
	e.markStaleFailures(false)
	for made < limit {
		queue := e.nextQueue(now)
		if queue == nil {
			break
		}
		before := len(decisions)
		decisions = e.startHead(now, queue, decisions)
		if len(decisions) > before {
			made++
		}
	}
	e.updateGangPlan(now)
	return e.reclaim(now, decisions)
}

// startByPassed reports whether the entry must not start any more.
func (en *entry) startByPassed(now time.Time) bool {
	return !en.task.StartBy.IsZero() && now.After(en.task.StartBy)
}

// nextQueue returns the queue whose head is tried next, or nil if no waiting
// task could start.
func (e *Engine) nextQueue(now time.Time) *shapeQueue {
	for {
		var best *kindState
		for _, k := range e.kinds {
			if len(k.teamQueues) > 0 && k.exhaustedGeneration != e.generation && (best == nil || k.precedes(best)) {
				best = k
			}
		}
		if best == nil {
			return nil
		}
		if queue := e.nextQueueOfKind(now, best); queue != nil {
			return queue
		}
		best.exhaustedGeneration = e.generation
	}
}

// nextQueueOfKind returns the queue to try next from the team with the smallest
// weighted share.
func (e *Engine) nextQueueOfKind(now time.Time, k *kindState) *shapeQueue {
	for {
		var best *teamQueue
		for _, tq := range k.teamQueues {
			if tq.exhaustedGeneration != e.generation && (best == nil || tq.team.weightedShare < best.team.weightedShare ||
				tq.team.weightedShare == best.team.weightedShare && tq.team.name < best.team.name) {
				best = tq
			}
		}
		if best == nil {
			return nil
		}
		if queue := e.nextQueueOfTeam(now, best); queue != nil {
			return queue
		}
		best.exhaustedGeneration = e.generation
	}
}

// nextQueueOfTeam returns the queue with the oldest head that could start.
// Queues whose head does not fit are blocked if their kind has no guarantee:
// with hundreds of shapes, checking each of them for every start took 230 µs of
// a placement.
func (e *Engine) nextQueueOfTeam(now time.Time, tq *teamQueue) *shapeQueue {
	e.unblockOnChange(now)
	var best *shapeQueue
	for i := 0; i < tq.readyCount; {
		queue := tq.queues[i]
		if queue.skippedGeneration == e.generation || best != nil && best.head.sequence < queue.head.sequence {
			i++
			continue
		}
		if !e.knownNotToFit(now, queue) {
			best = queue
		}
		// If the queue was blocked, another one took its position.
		if queue.position == i {
			i++
		}
	}
	return best
}

// knownNotToFit reports whether it is known, without a search, that the head of a
// queue cannot start: because of its kind's quota, or because an equal or less
// demanding search has failed. It reports false for a gang.
func (e *Engine) knownNotToFit(now time.Time, queue *shapeQueue) bool {
	en := queue.head
	if en.gang != nil {
		return false
	}
	k, demand := queue.teamQueue.kind, taskDemand(&en.task)
	withinGuarantee, allowed := e.checkQuota(k, &demand, en.runTime)
	if !allowed {
		queue.skippedGeneration = e.generation
		return true
	}
	mode := e.modeOf(now, k, &demand, en.runTime, withinGuarantee)
	failed := queue.shape.failed(mode, &demand, en.runTime) && e.stillFails(queue.shape, mode, &demand)
	if failed && k.guaranteed == 0 {
		queue.teamQueue.block(queue)
	}
	return failed
}

func (e *Engine) modeOf(now time.Time, k *kindState, demand *resourceVector, runTime time.Duration, withinGuarantee bool) searchMode {
	var mode searchMode
	if withinGuarantee {
		mode |= modeWithinGuarantee
	}
	if e.mustKeepAccelerators(now, k, demand, runTime) {
		mode |= modeKeepAccelerators
	}
	return mode
}

func (e *Engine) searchFor(now time.Time, task *Task, k *kindState, runTime time.Duration) search {
	s := search{demand: taskDemand(task), runTime: runTime, now: now}
	s.keepAccelerators = e.mustKeepAccelerators(now, k, &s.demand, runTime)
	if task.Service {
		s.service = task
		// A service does not end, so it cannot end before a gang starts.
		s.runTime = 0
	}
	return s
}

// findForTask returns the worker for a single task, and the gang plan whose
// spare resources the task uses, if any. A task within its guarantee may use
// planned workers when no other worker fits, unless the gang is within its own
// guarantee too.
func (e *Engine) findForTask(s *search, withinGuarantee bool) (*workerState, *gangPlan) {
	w := e.find(s)
	if w == nil && withinGuarantee && e.gangPlan != nil && !e.gangPlan.withinGuarantee {
		s.ignoreGangPlan = true
		w = e.find(s)
	}
	if w == nil || w.gangPlan == nil || w.gangPlan.endsBeforeStart(s) {
		return w, nil
	}
	return w, w.gangPlan
}

// startHead starts the head of a queue, or records why it cannot start.
func (e *Engine) startHead(now time.Time, queue *shapeQueue, decisions []Decision) []Decision {
	en := queue.head
	if en.gang != nil {
		decisions, started := e.startGang(now, en.gang, decisions)
		if !started {
			queue.skippedGeneration = e.generation
		}
		return decisions
	}
	if en.startByPassed(now) {
		return e.expireEntry(en, decisions)
	}
	k := queue.teamQueue.kind
	s := e.searchFor(now, &en.task, k, en.runTime)
	withinGuarantee, _ := e.checkQuota(k, &s.demand, en.runTime)
	w, backfilled := e.findForTask(&s, withinGuarantee)
	if w == nil {
		queue.shape.recordFailure(e.modeOf(now, k, &s.demand, en.runTime, withinGuarantee), s.demand, en.runTime)
		if withinGuarantee && k.starvedQueue == nil {
			k.starvedQueue = queue
		}
		return decisions
	}
	e.removeWaiting(en)
	e.startOn(now, w, en.task, backfilled)
	return append(decisions, Decision{Verb: VerbStart, Task: en.task, Worker: w.worker.Name})
}

// startOn allocates the resources for the task on the worker.
func (e *Engine) startOn(now time.Time, w *workerState, task Task, backfilled *gangPlan) {
	alloc := e.newAllocation(task, now)
	alloc.backfills = backfilled
	e.allocate(w, alloc)
	e.placed[task.ID] = alloc
	if task.Resources.Accelerators > 0 {
		e.lastAcceleratorWorkAt = now
	}
	e.notifyStarted(now, alloc)
}

// notifyStarted must be called after each start. If the task took accelerators,
// the resources that were kept for them become available to other work.
func (e *Engine) notifyStarted(now time.Time, alloc *allocation) {
	if alloc.demand[dimAccelerators] > 0 {
		e.markFreed(alloc.worker)
	}
	if e.options.Started != nil {
		e.options.Started(now, alloc.task, alloc.worker.worker.Name)
	}
}
