package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reclaimGrace is the longest expected wait for borrowed resources at which
	// nothing is preempted. An urgent task must start within 1.8 s.
	reclaimGrace = 250 * time.Millisecond
	// claimTimeout removes a claim if the preempted tasks do not end.
	claimTimeout = 30 * time.Second
	// maxClaimsPerCall bounds the time that one call of Schedule spends on
	// choosing tasks to preempt.
	maxClaimsPerCall = 4
	// reclaimInterval is the shortest time between two searches for borrowed
	// resources after a search found none. A search examines every running
	// task.
	reclaimInterval = 20 * time.Millisecond
	// claimInterval is the shortest time between two rounds of claims for a
	// kind. maxClaimCandidates is how many suitable workers are compared for a
	// claim. When each call compared all of 650 workers, this took 68 µs of a
	// placement that otherwise takes 10 µs.
	claimInterval      = time.Millisecond
	maxClaimCandidates = 32
	// maxTasksPerClaim is the largest number of tasks that one claim is made
	// for.
	maxTasksPerClaim = 8
)

// claim keeps a worker from getting other tasks, so that the resources that its
// tasks free go to work within the guarantee of its kind.
type claim struct {
	worker     *workerState
	shapeQueue *shapeQueue
	tasks      int // that are still to be started on the worker
	createdAt  time.Time
}

func (e *Engine) dropClaim(c *claim) {
	if c == nil {
		return
	}
	c.worker.claim = nil
	e.index.update(c.worker)
	e.claims = slices.DeleteFunc(e.claims, func(other *claim) bool { return other == c })
	e.resourcesFreed(c.worker)
}

// startClaimed starts tasks on the resources that were freed on claimed
// workers.
func (e *Engine) startClaimed(now time.Time, limit int, decisions []Decision) []Decision {
	for _, c := range slices.Clone(e.claims) {
		w, k := c.worker, c.shapeQueue.teamQueue.kind
		keep := now.Sub(c.createdAt) < claimTimeout && (e.options.Excluded == nil || !e.options.Excluded(w.worker.Name))
		for keep && c.tasks > 0 && len(decisions) < limit {
			en := c.shapeQueue.head
			if keep = en != nil && en.gang == nil && !en.startByPassed(now); !keep {
				break
			}
			demand := taskDemand(&en.task)
			if keep, _ = e.checkQuota(k, &demand, en.runTime); !keep || !demand.fits(&w.free) {
				break
			}
			e.removeWaiting(en)
			e.startOn(now, w, en.task, nil)
			decisions = append(decisions, Decision{Verb: VerbStart, Task: en.task, Worker: w.worker.Name})
			c.tasks--
		}
		if !keep || c.tasks == 0 {
			e.dropClaim(c)
		}
	}
	return decisions
}

// reclaim reclaims borrowed resources for work within its guarantee that found
// no worker.
func (e *Engine) reclaim(now time.Time, decisions []Decision) []Decision {
	decisions = e.preemptForGangPlan(now, decisions)
	made := 0
	for _, k := range e.starvedKinds() {
		before := made
		for made < maxClaimsPerCall && len(e.claims) < MaxClaims && !now.Before(k.nextReclaimAt) {
			deficit := e.deficit(k)
			if deficit <= 0 {
				k.selectNextStarvedQueue()
				break
			}
			c := e.claimWorker(now, k, deficit)
			if c == nil {
				k.nextReclaimAt = now.Add(reclaimInterval)
				k.selectNextStarvedQueue()
				break
			}
			decisions = e.preemptForClaim(now, c, decisions)
			made++
		}
		if made > before {
			k.nextReclaimAt = later(k.nextReclaimAt, now.Add(claimInterval))
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

// starvedKinds returns the kinds that found no free resources within their
// guarantee, the most urgent first.
func (e *Engine) starvedKinds() []*kindState {
	var starved []*kindState
	for _, k := range e.kinds {
		if k.starvedQueue != nil {
			starved = append(starved, k)
		}
	}
	slices.SortStableFunc(starved, func(a, b *kindState) int { return cmp.Compare(b.policy.Urgency, a.policy.Urgency) })
	return starved
}

// deficit returns the number of tasks of the kind's starved queue that are within
// its guarantee and for which no worker is claimed yet.
func (e *Engine) deficit(k *kindState) int {
	queue := k.starvedQueue
	if queue.length == 0 || queue.head.gang != nil {
		return 0
	}
	demand := taskDemand(&queue.head.task)
	claimed := int64(0)
	for _, c := range e.claims {
		if c.shapeQueue.teamQueue.kind == k {
			claimed += int64(c.tasks)
		}
	}
	var unusedGuarantee resourceVector
	for d := range unusedGuarantee {
		unusedGuarantee[d] = int64(k.guaranteed*float64(e.capacity[d])+shareTolerance) - k.used[d]
	}
	return int(demand.copies(&unusedGuarantee, int64(queue.length)+claimed) - claimed)
}

// selectNextStarvedQueue sets starvedQueue to the kind's next queue, so that a
// queue for which nothing can be reclaimed does not hold up the others. It sets
// none when the kind has reached its guarantee or has no work.
func (k *kindState) selectNextStarvedQueue() {
	var all []*shapeQueue
	for _, tq := range k.teamQueues {
		all = append(all, tq.queues...)
	}
	at := slices.Index(all, k.starvedQueue) + 1
	k.starvedQueue = nil
	if len(all) > 0 && k.share < k.guaranteed-shareTolerance {
		k.starvedQueue = all[at%len(all)]
	}
}

// claimWorker claims the worker whose borrowed resources are expected back
// within reclaimGrace, or else the worker with the fewest tasks to preempt, or
// else the one whose borrowed resources are expected back first. It returns nil
// if there is none.
func (e *Engine) claimWorker(now time.Time, k *kindState, deficit int) *claim {
	demand := taskDemand(&k.starvedQueue.head.task)
	var earliest, cheapest *workerState
	earliestWait, fewest := time.Duration(0), 0
	count := len(e.index.leaves)
	for examined, suitable := 0, 0; examined < count && suitable < maxClaimCandidates; examined++ {
		// Each search continues where the previous one ended.
		e.claimCursor = (e.claimCursor + 1) % count
		w := e.index.leaves[e.claimCursor]
		if w.leaving || w.claim != nil || w.gangPlan != nil || !demand.fits(&w.capacity) ||
			e.options.Excluded != nil && e.options.Excluded(w.worker.Name) {
			continue
		}
		wait, ok := reclaimWait(now, w, &demand, k)
		if !ok && !e.hasPreemptible(w) {
			continue
		}
		suitable++
		if ok && (earliest == nil || wait < earliestWait) {
			earliest, earliestWait = w, wait
		}
		if fewest == 1 {
			continue
		}
		if victims, ok := e.victims(w, demand, k); ok && (cheapest == nil || len(victims) < fewest) {
			cheapest, fewest = w, len(victims)
		}
	}
	c := &claim{worker: cheapest, shapeQueue: k.starvedQueue, tasks: 1, createdAt: now}
	if earliest != nil && (cheapest == nil || earliestWait <= reclaimGrace) {
		c.worker = earliest
	}
	if c.worker == nil {
		return nil
	}
	for c.tasks < min(deficit, maxTasksPerClaim) {
		if _, ok := e.victims(c.worker, demand.times(int64(c.tasks+1)), k); !ok {
			break
		}
		c.tasks++
	}
	c.worker.claim = c
	e.claims = append(e.claims, c)
	e.index.update(c.worker)
	return c
}

// hasPreemptible reports whether a task on the worker can be preempted.
func (e *Engine) hasPreemptible(w *workerState) bool {
	for _, alloc := range w.running {
		if alloc.kind.preemptible() {
			return true
		}
	}
	return false
}

// borrows reports whether the task belongs to another kind than k, and that
// kind uses more than its guarantee.
func (alloc *allocation) borrows(k *kindState) bool {
	return alloc.reservation == nil && alloc.kind != k && alloc.kind.share > alloc.kind.guaranteed+shareTolerance
}

// reclaimWait returns the estimated time until borrowing tasks have freed enough
// resources for the demand. It reports false if they cannot. Only the first 64
// tasks of the worker are considered.
func reclaimWait(now time.Time, w *workerState, demand *resourceVector, k *kindState) (time.Duration, bool) {
	available, wait := w.free, time.Duration(0)
	for counted := uint64(0); !demand.fits(&available); {
		next, nextWait := -1, time.Duration(0)
		for i, alloc := range w.running {
			if i >= 64 || counted&(1<<i) != 0 || !alloc.borrows(k) {
				continue
			}
			if at, ends := alloc.expectedEnd(now); ends && (next < 0 || at.Sub(now) < nextWait) {
				next, nextWait = i, at.Sub(now)
			}
		}
		if next < 0 {
			return 0, false
		}
		counted |= 1 << next
		available, wait = available.plus(w.running[next].demand), nextWait
	}
	return wait, true
}

// victims returns the tasks to preempt so that the demand fits the worker: the
// least urgent first, and among these the ones that lose the least work. No
// kind is reduced below its guarantee. It reports whether the demand then fits.
func (e *Engine) victims(w *workerState, demand resourceVector, k *kindState) ([]*allocation, bool) {
	available := w.free
	var candidates []*allocation
	for _, alloc := range w.running {
		if alloc.preempted {
			available = available.plus(alloc.demand)
		} else if alloc.kind.preemptible() && alloc.borrows(k) {
			candidates = append(candidates, alloc)
		}
	}
	if demand.fits(&available) {
		return nil, true
	}
	slices.SortStableFunc(candidates, func(a, b *allocation) int {
		return cmp.Or(cmp.Compare(a.kind.policy.Urgency, b.kind.policy.Urgency),
			b.startedAt.Compare(a.startedAt), CompareTaskIDs(a.task.ID, b.task.ID))
	})
	var chosen []*allocation
	for _, alloc := range candidates {
		remaining := alloc.kind.used.minus(alloc.kind.preemptedDemand).minus(alloc.demand)
		if remaining.dominantShare(&e.capacity) < alloc.kind.guaranteed-shareTolerance || !reducesShortage(&alloc.demand, &demand, &available) {
			continue
		}
		// Counts the task as preempted for its kind until this function returns.
		alloc.kind.preemptedDemand = alloc.kind.preemptedDemand.plus(alloc.demand)
		available = available.plus(alloc.demand)
		if chosen = append(chosen, alloc); demand.fits(&available) {
			break
		}
	}
	for _, alloc := range chosen {
		alloc.kind.preemptedDemand = alloc.kind.preemptedDemand.minus(alloc.demand)
	}
	return chosen, demand.fits(&available)
}

// reducesShortage reports whether the victim frees a resource of which the
// demand has too little.
func reducesShortage(victim, demand, free *resourceVector) bool {
	for d := range demand {
		if victim[d] > 0 && demand[d] > free[d] {
			return true
		}
	}
	return false
}

// preemptForClaim preempts tasks on the claimed worker. It preempts none if the
// claim is for one task whose resources are expected back within reclaimGrace.
func (e *Engine) preemptForClaim(now time.Time, c *claim, decisions []Decision) []Decision {
	k := c.shapeQueue.teamQueue.kind
	demand := taskDemand(&c.shapeQueue.head.task)
	if wait, ok := reclaimWait(now, c.worker, &demand, k); ok && wait <= reclaimGrace && c.tasks == 1 {
		return decisions
	}
	for _, alloc := range c.worker.running {
		// Throttling frees none of the allocated resources. It slows borrowing
		// tasks down in favour of work within its guarantee.
		if alloc.kind.policy.Preemption == VerbThrottle && !alloc.throttled && alloc.borrows(k) {
			alloc.throttled = true
			decisions = append(decisions, preemption(alloc, VerbThrottle, k))
		}
	}
	victims, _ := e.victims(c.worker, demand.times(int64(c.tasks)), k)
	return preempt(victims, k, decisions)
}

// preemptForGangPlan preempts tasks on the planned workers of a gang that is
// within its guarantee.
func (e *Engine) preemptForGangPlan(now time.Time, decisions []Decision) []Decision {
	plan := e.gangPlan
	if plan == nil || !plan.withinGuarantee || plan.start.Sub(now) <= reclaimGrace {
		return decisions
	}
	for i, w := range plan.workers {
		victims, _ := e.victims(w, plan.needed[i], plan.gang.kind)
		decisions = preempt(victims, plan.gang.kind, decisions)
	}
	return decisions
}

func preempt(victims []*allocation, k *kindState, decisions []Decision) []Decision {
	for _, alloc := range victims {
		alloc.preempted = true
		alloc.kind.preemptedDemand = alloc.kind.preemptedDemand.plus(alloc.demand)
		decisions = append(decisions, preemption(alloc, alloc.kind.policy.Preemption, k))
	}
	return decisions
}

func preemption(alloc *allocation, verb Verb, k *kindState) Decision {
	return Decision{Verb: verb, Task: alloc.task, Worker: alloc.worker.worker.Name,
		Reason: "room is guaranteed to kind " + k.policy.Name}
}
