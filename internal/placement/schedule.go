package placement

import "time"

// Schedule makes up to limit decisions. A gang counts as one decision, as it
// starts in one call or not at all. Preemptions come on top of the limit; each
// call makes only a bounded number of them.
func (e *Engine) Schedule(now time.Time, limit int) []Decision {
	e.lapseReservations(now)
	e.lendIdleGuarantees(now)
	decisions := e.expire(now, limit, nil)
	e.retryShapes(true)
	decisions = e.fulfilClaims(now, limit, decisions)
	made := len(decisions)
	if h := e.hold; h != nil && made < limit {
		var started bool
		if decisions, started = e.startGang(now, h.gang, decisions); started {
			made++
		}
	}
	e.retryShapes(false)
	for made < limit {
		b := e.nextBucket(now)
		if b == nil {
			break
		}
		before := len(decisions)
		decisions = e.startHead(now, b, decisions)
		if len(decisions) > before {
			made++
		}
	}
	e.renewHold(now)
	return e.reclaim(now, decisions)
}

// late reports whether the entry must not start any more.
func (en *entry) late(now time.Time) bool {
	return !en.task.StartBy.IsZero() && now.After(en.task.StartBy)
}

// nextBucket returns the queue whose head goes next, or nil if nothing that
// waits could start.
func (e *Engine) nextBucket(now time.Time) *bucket {
	for {
		var best *kindState
		for _, k := range e.kinds {
			if len(k.lanes) > 0 && k.dryAt != e.wake && (best == nil || k.precedes(best)) {
				best = k
			}
		}
		if best == nil {
			return nil
		}
		if b := e.nextOfKind(now, best); b != nil {
			return b
		}
		best.dryAt = e.wake
	}
}

// nextOfKind returns the queue of the team with the smallest load.
func (e *Engine) nextOfKind(now time.Time, k *kindState) *bucket {
	for {
		var best *lane
		for _, l := range k.lanes {
			if l.dryAt != e.wake && (best == nil || l.team.load < best.team.load ||
				l.team.load == best.team.load && l.team.name < best.team.name) {
				best = l
			}
		}
		if best == nil {
			return nil
		}
		if b := e.nextOfLane(now, best); b != nil {
			return b
		}
		best.dryAt = e.wake
	}
}

// nextOfLane returns the queue with the oldest head that could start. Queues of
// kinds without a guarantee that don't fit are set aside: with hundreds of
// shapes, looking at each of them for every start took 230 µs of a placement.
func (e *Engine) nextOfLane(now time.Time, l *lane) *bucket {
	e.renewBlocks(now)
	var best *bucket
	for i := 0; i < l.ready; {
		b := l.buckets[i]
		if b.skipAt == e.wake || best != nil && best.head.sequence < b.head.sequence {
			i++
			continue
		}
		if !e.knownNotToFit(now, b) {
			best = b
		}
		// A queue that was set aside has left its place to another.
		if b.position == i {
			i++
		}
	}
	return best
}

func (e *Engine) knownNotToFit(now time.Time, b *bucket) bool {
	en := b.head
	if en.gang != nil {
		return false
	}
	k, demand := b.lane.kind, taskDemand(&en.task)
	entitled, allowed := e.entitlement(k, &demand, en.runTime)
	if !allowed {
		b.skipAt = e.wake
		return true
	}
	mode := e.modeOf(now, k, &demand, en.runTime, entitled)
	failed := b.shape.failed(mode, &demand, en.runTime) && e.stillFails(b.shape, mode, &demand)
	if failed && k.guaranteed == 0 {
		b.lane.block(b)
	}
	return failed
}

func (e *Engine) modeOf(now time.Time, k *kindState, demand *amount, runTime time.Duration, entitled bool) searchMode {
	var mode searchMode
	if entitled {
		mode |= modeEntitled
	}
	if e.keepsAccelerators(now, k, demand, runTime) {
		mode |= modeKeepAccelerators
	}
	return mode
}

func (e *Engine) searchFor(now time.Time, task *Task, k *kindState, runTime time.Duration) search {
	s := search{demand: taskDemand(task), runTime: runTime, now: now}
	s.keepAccelerators = e.keepsAccelerators(now, k, &s.demand, runTime)
	if task.Service {
		s.service = task
		s.runTime = 0
	}
	return s
}

// findEntitled returns the worker for a single task, and the hold beside which
// the task is placed, if any. Work inside its guarantee may use held workers,
// after all others, unless the gang is inside its own guarantee too.
func (e *Engine) findEntitled(s *search, entitled bool) (*workerState, *hold) {
	w := e.find(s)
	if w == nil && entitled && e.hold != nil && !e.hold.entitled {
		s.ignoreHolds = true
		w = e.find(s)
	}
	if w == nil || w.hold == nil || w.hold.endsBefore(s) {
		return w, nil
	}
	return w, w.hold
}

// startHead starts the head of a queue, or records why it can't.
func (e *Engine) startHead(now time.Time, b *bucket, decisions []Decision) []Decision {
	en := b.head
	if en.gang != nil {
		decisions, started := e.startGang(now, en.gang, decisions)
		if !started {
			b.skipAt = e.wake
		}
		return decisions
	}
	if en.late(now) {
		return e.expireEntry(en, decisions)
	}
	k := b.lane.kind
	s := e.searchFor(now, &en.task, k, en.runTime)
	entitled, _ := e.entitlement(k, &s.demand, en.runTime)
	w, besideHold := e.findEntitled(&s, entitled)
	if w == nil {
		b.shape.fail(e.modeOf(now, k, &s.demand, en.runTime, entitled), s.demand, en.runTime)
		if entitled && k.short == nil {
			k.short = b
		}
		return decisions
	}
	e.forget(en)
	e.startOn(now, w, en.task, besideHold)
	return append(decisions, Decision{Verb: VerbStart, Task: en.task, Worker: w.worker.Name})
}

// startOn takes room for the task on the worker.
func (e *Engine) startOn(now time.Time, w *workerState, task Task, besideHold *hold) {
	r := e.newRunning(task, now)
	r.usesSpare = besideHold
	e.occupy(w, r)
	e.place[task.ID] = r
	if task.Resources.Accelerators > 0 {
		e.acceleratorWork = now
	}
	e.tellStarted(now, r)
}

// tellStarted follows every start that was decided on. Where accelerators are
// taken, the room that was kept for them is open to other work.
func (e *Engine) tellStarted(now time.Time, r *runningTask) {
	if r.demand[dimAccelerators] > 0 {
		e.tryAgain(r.worker)
	}
	if e.options.Started != nil {
		e.options.Started(now, r.task, r.worker.worker.Name)
	}
}
