package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reclaimGrace is how soon lent room has to come back by itself for
	// nothing to be preempted; an urgent start is due within 1.8 s.
	reclaimGrace = 250 * time.Millisecond
	// claimLifetime ends a claim whose victims never end.
	claimLifetime = 30 * time.Second
	// claimsPerCall bounds the time that one call spends on choosing victims.
	claimsPerCall = 4
	// reclaimInterval is the shortest time between two searches for lent room
	// when the first found none; a search looks at every running task.
	reclaimInterval = 20 * time.Millisecond
	// claimInterval is the shortest time between two rounds of claims for a
	// kind, and claimCandidates how many suitable workers are compared for a
	// claim. Comparing all of 650 workers in every call took 68 µs of a
	// placement where 10 µs are usual.
	claimInterval   = time.Millisecond
	claimCandidates = 32
	// tasksPerClaim is the largest number of tasks that one claim is for.
	tasksPerClaim = 8
)

// claim keeps a worker from being refilled, so that work inside its kind's
// guarantee gets the room that its present tasks give back.
type claim struct {
	worker *workerState
	bucket *bucket
	want   int
	since  time.Time
}

func (e *Engine) dropClaim(c *claim) {
	if c == nil {
		return
	}
	c.worker.claim = nil
	e.index.update(c.worker)
	e.claims = slices.DeleteFunc(e.claims, func(other *claim) bool { return other == c })
	e.roomFreed(c.worker)
}

// fulfilClaims starts work in claimed room that has come back.
func (e *Engine) fulfilClaims(now time.Time, limit int, decisions []Decision) []Decision {
	for _, c := range slices.Clone(e.claims) {
		w, k := c.worker, c.bucket.lane.kind
		keep := now.Sub(c.since) < claimLifetime && (e.options.Excluded == nil || !e.options.Excluded(w.worker.Name))
		for keep && c.want > 0 && len(decisions) < limit {
			en := c.bucket.head
			if keep = en != nil && en.gang == nil && !en.late(now); !keep {
				break
			}
			demand := taskDemand(&en.task)
			if keep, _ = e.entitlement(k, &demand, en.runTime); !keep || !demand.fits(&w.free) {
				break
			}
			e.forget(en)
			e.startOn(now, w, en.task, nil)
			decisions = append(decisions, Decision{Verb: VerbStart, Task: en.task, Worker: w.worker.Name})
			c.want--
		}
		if !keep || c.want == 0 {
			e.dropClaim(c)
		}
	}
	return decisions
}

// reclaim takes lent room back for work inside its guarantee that found none.
func (e *Engine) reclaim(now time.Time, decisions []Decision) []Decision {
	decisions = e.preemptForHold(now, decisions)
	made := 0
	for _, k := range e.kindsByUrgency() {
		before := made
		for made < claimsPerCall && len(e.claims) < MaxClaims && !now.Before(k.reclaimAgainAt) {
			deficit := e.deficit(k)
			if deficit <= 0 {
				k.nextShort()
				break
			}
			c := e.claimWorker(now, k, deficit)
			if c == nil {
				k.reclaimAgainAt = now.Add(reclaimInterval)
				k.nextShort()
				break
			}
			decisions = e.preemptForClaim(now, c, decisions)
			made++
		}
		if made > before {
			k.reclaimAgainAt = later(k.reclaimAgainAt, now.Add(claimInterval))
		}
	}
	return decisions
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// kindsByUrgency returns the kinds that found no room inside their guarantee.
func (e *Engine) kindsByUrgency() []*kindState {
	var short []*kindState
	for _, k := range e.kinds {
		if k.short != nil {
			short = append(short, k)
		}
	}
	slices.SortStableFunc(short, func(a, b *kindState) int { return cmp.Compare(b.policy.Urgency, a.policy.Urgency) })
	return short
}

// deficit returns how many more tasks of the kind's short queue room has to be
// reclaimed for.
func (e *Engine) deficit(k *kindState) int {
	b := k.short
	if b.length == 0 || b.head.gang != nil {
		return 0
	}
	demand := taskDemand(&b.head.task)
	claimed := int64(0)
	for _, c := range e.claims {
		if c.bucket.lane.kind == k {
			claimed += int64(c.want)
		}
	}
	var room amount
	for d := range room {
		room[d] = int64(k.guaranteed*float64(e.capacity[d])+shareTolerance) - k.used[d]
	}
	return int(demand.copies(&room, int64(b.length)+claimed) - claimed)
}

// nextShort moves on to the kind's next queue, so that a queue that can't be
// helped does not keep the others from it. It ends when the kind has reached
// its guarantee or has no work.
func (k *kindState) nextShort() {
	var queues []*bucket
	for _, l := range k.lanes {
		queues = append(queues, l.buckets...)
	}
	at := slices.Index(queues, k.short) + 1
	k.short = nil
	if len(queues) > 0 && k.share < k.guaranteed-shareTolerance {
		k.short = queues[at%len(queues)]
	}
}

// claimWorker claims the worker on which the room comes back within the grace
// time by itself, or else the one that takes the fewest victims, or else the
// one on which lent room is expected to end first.
func (e *Engine) claimWorker(now time.Time, k *kindState, deficit int) *claim {
	demand := taskDemand(&k.short.head.task)
	var soonest, cheapest *workerState
	soonestWait, fewest := time.Duration(0), 0
	count := len(e.index.leaves)
	for looked, suitable := 0, 0; looked < count && suitable < claimCandidates; looked++ {
		// Each search goes on where the one before it ended.
		e.claimCursor = (e.claimCursor + 1) % count
		w := e.index.leaves[e.claimCursor]
		if w.leaving || w.claim != nil || w.hold != nil || !demand.fits(&w.capacity) ||
			e.options.Excluded != nil && e.options.Excluded(w.worker.Name) {
			continue
		}
		wait, ok := lentRoomReturns(now, w, &demand, k)
		if !ok && !e.hasPreemptible(w) {
			continue
		}
		suitable++
		if ok && (soonest == nil || wait < soonestWait) {
			soonest, soonestWait = w, wait
		}
		if fewest == 1 {
			continue
		}
		if victims, ok := e.victims(w, demand, k); ok && (cheapest == nil || len(victims) < fewest) {
			cheapest, fewest = w, len(victims)
		}
	}
	c := &claim{worker: cheapest, bucket: k.short, want: 1, since: now}
	if soonest != nil && (cheapest == nil || soonestWait <= reclaimGrace) {
		c.worker = soonest
	}
	if c.worker == nil {
		return nil
	}
	for c.want < min(deficit, tasksPerClaim) {
		if _, ok := e.victims(c.worker, demand.times(int64(c.want+1)), k); !ok {
			break
		}
		c.want++
	}
	c.worker.claim = c
	e.claims = append(e.claims, c)
	e.index.update(c.worker)
	return c
}

// hasPreemptible reports whether any task on the worker can be preempted.
func (e *Engine) hasPreemptible(w *workerState) bool {
	for _, r := range w.running {
		if r.kind.preempted() {
			return true
		}
	}
	return false
}

// lent reports whether the task runs outside its kind's guarantee.
func (r *runningTask) lent(k *kindState) bool {
	return r.reservation == nil && r.kind != k && r.kind.share > r.kind.guaranteed+shareTolerance
}

// lentRoomReturns returns how long it takes by estimate until tasks outside
// their guarantee have left enough room.
func lentRoomReturns(now time.Time, w *workerState, demand *amount, k *kindState) (time.Duration, bool) {
	room, wait := w.free, time.Duration(0)
	for taken := uint64(0); !demand.fits(&room); {
		next, nextWait := -1, time.Duration(0)
		for i, r := range w.running {
			if i >= 64 || taken&(1<<i) != 0 || !r.lent(k) {
				continue
			}
			if at, ends := r.expectedEnd(now); ends && (next < 0 || at.Sub(now) < nextWait) {
				next, nextWait = i, at.Sub(now)
			}
		}
		if next < 0 {
			return 0, false
		}
		taken |= 1 << next
		room, wait = room.plus(w.running[next].demand), nextWait
	}
	return wait, true
}

// victims returns tasks whose end gives the worker enough room: the least
// urgent first, and of these the ones that lose the least work. No kind is
// taken below its guarantee.
func (e *Engine) victims(w *workerState, demand amount, k *kindState) ([]*runningTask, bool) {
	room := w.free
	var candidates []*runningTask
	for _, r := range w.running {
		if r.preempted {
			room = room.plus(r.demand)
		} else if r.kind.preempted() && r.lent(k) {
			candidates = append(candidates, r)
		}
	}
	if demand.fits(&room) {
		return nil, true
	}
	slices.SortStableFunc(candidates, func(a, b *runningTask) int {
		return cmp.Or(cmp.Compare(a.kind.policy.Urgency, b.kind.policy.Urgency),
			b.startedAt.Compare(a.startedAt), CompareTaskIDs(a.task.ID, b.task.ID))
	})
	var chosen []*runningTask
	for _, r := range candidates {
		left := r.kind.used.minus(r.kind.reclaiming).minus(r.demand)
		if left.dominantShare(&e.capacity) < r.kind.guaranteed-shareTolerance || !helps(&r.demand, &demand, &room) {
			continue
		}
		// The kind's account includes the choice until the end of this call.
		r.kind.reclaiming = r.kind.reclaiming.plus(r.demand)
		room = room.plus(r.demand)
		if chosen = append(chosen, r); demand.fits(&room) {
			break
		}
	}
	for _, r := range chosen {
		r.kind.reclaiming = r.kind.reclaiming.minus(r.demand)
	}
	return chosen, demand.fits(&room)
}

// helps reports whether the victim gives back something that is lacking.
func helps(victim, demand, room *amount) bool {
	for d := range demand {
		if victim[d] > 0 && demand[d] > room[d] {
			return true
		}
	}
	return false
}

func (e *Engine) preemptForClaim(now time.Time, c *claim, decisions []Decision) []Decision {
	k := c.bucket.lane.kind
	demand := taskDemand(&c.bucket.head.task)
	if wait, ok := lentRoomReturns(now, c.worker, &demand, k); ok && wait <= reclaimGrace && c.want == 1 {
		return decisions
	}
	for _, r := range c.worker.running {
		// A throttled task keeps its room; throttling only leaves more of the
		// worker to the work inside its guarantee.
		if r.kind.policy.Preemption == VerbThrottle && !r.throttled && r.lent(k) {
			r.throttled = true
			decisions = append(decisions, preemption(r, VerbThrottle, k))
		}
	}
	victims, _ := e.victims(c.worker, demand.times(int64(c.want)), k)
	return preempt(victims, k, decisions)
}

// preemptForHold reclaims lent room on the workers that are held for a gang
// inside its guarantee.
func (e *Engine) preemptForHold(now time.Time, decisions []Decision) []Decision {
	h := e.hold
	if h == nil || !h.entitled || h.start.Sub(now) <= reclaimGrace {
		return decisions
	}
	for i, w := range h.workers {
		victims, _ := e.victims(w, h.needed[i], h.gang.kind)
		decisions = preempt(victims, h.gang.kind, decisions)
	}
	return decisions
}

func preempt(victims []*runningTask, k *kindState, decisions []Decision) []Decision {
	for _, r := range victims {
		r.preempted = true
		r.kind.reclaiming = r.kind.reclaiming.plus(r.demand)
		decisions = append(decisions, preemption(r, r.kind.policy.Preemption, k))
	}
	return decisions
}

func preemption(r *runningTask, verb Verb, k *kindState) Decision {
	return Decision{Verb: verb, Task: r.task, Worker: r.worker.worker.Name,
		Reason: "room is guaranteed to kind " + k.policy.Name}
}
