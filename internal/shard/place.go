package shard

import (
	"cmp"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// worthlessFactor is the age, as a multiple of the objective, at which the
	// platform contract starts to count a job as worthless to its caller.
	worthlessFactor = 3
	// A step with large tasks that don't fit now reserves the workers on which they
	// can start earliest, until that start. There is at most one such step per
	// workersPerReservation workers, but minReservations are always allowed: with
	// more, most workers would be reserved and idle.
	minReservations       = 2
	workersPerReservation = 16
	// backfillMargin is the ratio of the remaining time of a reservation to the estimate
	// of a task that may start on the reserved worker: estimates are off by up to 90%.
	backfillMargin = 2
	// maxReservation is the longest time for which workers are reserved ahead of a
	// planned start. Behind long-running tasks it would be an hour.
	maxReservation = 30 * time.Second
	// spareTickets is the number of further workers for which a step requests tickets,
	// in case a reserved one can't be used when they arrive.
	spareTickets = 2
	// maxTicketWaits bounds the steps that reserve workers while they wait for
	// tickets.
	maxTicketWaits = 24
	// maxPlans bounds the waiting steps whose earliest start is computed in a pass.
	// The next free capacity goes to them, not to less urgent steps.
	maxPlans = 24
	// A task is large if it needs at least 1/largeTaskDivisor of a worker's CPU or
	// GPUs. Large tasks reserve workers; otherwise small ones would always take the
	// free capacity first.
	largeTaskDivisor = 4
)

// matches reports whether the worker could run a task of the step if it had no other
// runs.
func (w *worker) matches(st *step) bool {
	spec := st.spec
	if spec.RequiredLabel != "" && !slices.Contains(w.Labels, spec.RequiredLabel) {
		return false
	}
	return spec.Reserved().Fits(w.Capacity)
}

// pass is one placement pass over the ready steps.
type pass struct {
	shard *Shard
	now   time.Time
	// reserved holds the end of the reservation of each worker that is reserved for
	// a more urgent step.
	reserved      map[*worker]time.Time
	reservations  int                 // steps that reserve workers for a planned start
	ticketsWanted map[*step][]*worker // workers for which a step lacks only a valid ticket
	plans         map[*step]plan
	usable        []*worker // by ID
}

// schedule starts the waiting tasks that fit on workers, and requests the advice that
// the others need.
func (s *Shard) schedule(now time.Time) {
	s.placementChanged = false
	if !s.authority || len(s.readySteps) == 0 {
		return
	}
	order := s.stepsByUrgency(now)
	p := &pass{shard: s, now: now, reserved: map[*worker]time.Time{}, ticketsWanted: map[*step][]*worker{}, plans: map[*step]plan{}}
	for _, w := range s.sortedWorkers {
		if w.usable() {
			p.usable = append(p.usable, w)
		}
	}
	for _, st := range order {
		if !st.occurrence.job.durable || !s.recovered && st.mayRunElsewhere() {
			continue
		}
		if st.spec.Gang {
			p.placeGang(st)
		} else {
			p.placeTasks(st)
		}
	}
	p.placeSpeculative()
	s.requestAdvice(now, order, p.ticketsWanted, p.plans)
	p.explain(order)
}

// mayRunElsewhere reports whether a former leader may have started tasks of the step. It
// can't have if a step before this one was complete only after this leader had read a
// run of it: the worker of that run refuses the former leader since then. With
// speculative runs another one may have completed that step before.
func (st *step) mayRunElsewhere() bool {
	o := st.occurrence
	if !o.job.loaded {
		return false
	}
	for _, dependency := range st.spec.After {
		if earlier := o.steps[dependency]; earlier.endedHere && !earlier.spec.Speculative {
			return false
		}
	}
	return true
}

// candidate is a worker on which at least one task of a step fits now.
type candidate struct {
	worker      *worker
	slots       int // number of further tasks of the step that fit
	ticket      string
	ticketValid bool
	score       float64 // lower is better
}

// canOnlyWait reports whether the step has no valid ticket, so that it can't start, and
// more urgent steps already make the most requests for tickets and the most plans.
func (p *pass) canOnlyWait(st *step) bool {
	return st.occurrence.job.accepted.Terms.RequiresTicket && !p.now.Before(st.advice.ticketsEnd) &&
		len(p.ticketsWanted) >= maxTicketWaits && len(p.plans) >= maxPlans
}

// permittedWorkers returns the usable workers that may run the step. If the step needs a
// ticket, these are the workers that the adviser has allowed, in any order: far fewer than
// all, and none before the first answer.
func (p *pass) permittedWorkers(st *step) []*worker {
	if !st.occurrence.job.accepted.Terms.RequiresTicket {
		return p.usable
	}
	permitted := make([]*worker, 0, len(st.advice.tickets))
	for id, t := range st.advice.tickets {
		if w := p.shard.workers[id]; w != nil && t.incarnation == w.observedIncarnation && w.usable() {
			permitted = append(permitted, w)
		}
	}
	return permitted
}

// candidatesToTry returns the workers that may run the step, and the candidates among them.
// It returns none for a step that can only wait.
func (p *pass) candidatesToTry(st *step) (permitted []*worker, valid, expired []candidate) {
	if p.canOnlyWait(st) {
		return nil, nil, nil
	}
	permitted = p.permittedWorkers(st)
	valid, expired = p.candidates(st, permitted)
	return permitted, valid, expired
}

// candidates returns those of the permitted workers that can run a task of the step now,
// best first, and those that lack only a valid ticket.
func (p *pass) candidates(st *step, permitted []*worker) (valid, expired []candidate) {
	p.shard.evaluations += len(permitted)
	terms := &st.occurrence.job.accepted.Terms
	demand := st.spec.Reserved()
	lastResort := st.mayUseQuarantined(p.now)
	for _, w := range permitted {
		if !demand.Fits(w.free()) || !w.matches(st) || w.health.paused(p.now) || w.health.quarantined(p.now) && !lastResort {
			continue
		}
		if w.held(p.now) && w.hold.task.step != st {
			continue
		}
		if end, reserved := p.reserved[w]; reserved && p.now.Add(backfillMargin*st.spec.Estimate).After(end) {
			continue
		}
		c := candidate{worker: w, ticketValid: true, slots: taskCapacity(demand, w.free())}
		if st.spec.MaxPerWorker > 0 {
			c.slots = min(c.slots, st.spec.MaxPerWorker-st.runsOn(w))
			if c.slots <= 0 {
				continue
			}
		}
		if terms.RequiresTicket {
			t := st.advice.tickets[w.ID]
			c.ticketValid, c.ticket = p.now.Before(t.validUntil), t.text
		}
		c.score = p.score(st, w, demand)
		if c.ticketValid {
			valid = append(valid, c)
		} else {
			expired = append(expired, c)
		}
	}
	byScore := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.worker.ID, b.worker.ID))
	}
	slices.SortFunc(valid, byScore)
	slices.SortFunc(expired, byScore)
	return valid, expired
}

// taskCapacity returns how many tasks with this demand fit into the free resources,
// or a million if the demand is empty.
func taskCapacity(demand, free job.Demand) int {
	count := int(1e6)
	if demand.MilliCPU > 0 {
		count = min(count, free.MilliCPU/demand.MilliCPU)
	}
	if demand.MemoryMB > 0 {
		count = min(count, free.MemoryMB/demand.MemoryMB)
	}
	if demand.GPUs > 0 {
		count = min(count, free.GPUs/demand.GPUs)
	}
	return count
}

// runsOn returns the number of runs of the step's tasks on the worker.
func (st *step) runsOn(w *worker) int {
	count := 0
	for _, r := range w.runs {
		if r.task.step == st {
			count++
		}
	}
	return count
}

// saturates reports whether the worker runs MaxPerWorker tasks of the step, so that
// it can't take another.
func (st *step) saturates(w *worker) bool {
	return st.spec.MaxPerWorker > 0 && st.runsOn(w) >= st.spec.MaxPerWorker
}

const (
	// otherRackPenalty outweighs any difference in free resources: on another rack
	// than its data a task takes a multiple of its time.
	otherRackPenalty = 10
	// avoidWorkerPenalty keeps a task off the worker on which its last run failed,
	// stalled or was slow, unless it fits only there.
	avoidWorkerPenalty = 5
	// quarantinePenalty outweighs the others: a quarantined worker is the last resort.
	quarantinePenalty = 20
)

// score rates a worker for a task of the step; lower is better. Penalties aside, it is
// the share of the worker's GPUs that is free after placement or, without GPUs, of its
// CPU, so that tasks fill some workers and leave others empty for large tasks. On GPU
// workers the free CPU decides between equal shares of GPUs.
func (p *pass) score(st *step, w *worker, demand job.Demand) float64 {
	free := w.free().Minus(demand)
	left := float64(free.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
	if w.Capacity.GPUs > 0 {
		left = float64(free.GPUs)/float64(w.Capacity.GPUs) + left/100
	}
	if st.spec.Rack != "" && !slices.Contains(w.Labels, st.spec.Rack) {
		left += otherRackPenalty
	}
	if w.isSlow {
		left += slowPenalty
	}
	if st.spec.BestEffort && w.bestEffortPace < fullPace {
		left += throttledPenalty
	}
	if w.health.quarantined(p.now) {
		left += quarantinePenalty
	}
	return left + w.health.penalty()
}

// placeTasks starts as many tasks of the step as fit. For the rest it requests tickets
// or plans a start.
func (p *pass) placeTasks(st *step) {
	permitted, valid, expired := p.candidatesToTry(st)
	if len(permitted) == 0 {
		return
	}
	blocked := false
	for _, t := range st.tasks {
		if !t.startable(p.now) {
			continue
		}
		if t.isSuspected() {
			blocked = !p.placeTrial(st, t, valid) || blocked
			continue
		}
		c := bestCandidate(p.now, valid, t)
		if c == nil {
			blocked = true
			break
		}
		p.shard.startRun(p.now, t, c.worker, t.lastRunNumber+1, c.ticket)
		c.slots--
		c.score = p.score(st, c.worker, st.spec.Reserved())
	}
	if !blocked {
		return
	}
	if len(expired) > 0 {
		p.requestTickets(st, expired, st.startableCount(p.now))
		return
	}
	p.planStart(st, permitted, 1)
}

// placeSpeculative starts second runs of speculative tasks whose first run is slow
// and on a slow worker.
func (p *pass) placeSpeculative() {
	for _, w := range p.shard.sortedWorkers {
		if !w.isSlow {
			continue
		}
		for _, r := range slices.Clone(w.runs) {
			t := r.task
			eligible := t.step.spec.Speculative && !t.step.spec.Gang && len(t.runs) == 1 && !t.done
			if !eligible || t.isSuspected() || r.phase != phaseRunning || r.slowness < slowFactor {
				continue
			}
			valid, _ := p.candidates(t.step, p.permittedWorkers(t.step))
			c := bestCandidate(p.now, valid, t)
			if c == nil || c.worker == w || c.worker.isSlow {
				continue
			}
			p.shard.startRun(p.now, t, c.worker, t.lastRunNumber+1, c.ticket)
		}
	}
}

// bestCandidate returns the candidate with the lowest score that has slots left and isn't
// held for another task, or nil. The worker that the task is to avoid gets a penalty.
func bestCandidate(now time.Time, candidates []candidate, t *task) *candidate {
	var best *candidate
	bestScore := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.slots <= 0 || c.worker.heldFromTask(now, t) {
			continue
		}
		score := c.score
		if t.avoidWorker == c.worker.ID {
			score += avoidWorkerPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// requestTickets records that the step needs new tickets for count tasks, and reserves
// the best candidates that hold them until the tickets are expected. It does nothing if
// maxTicketWaits steps already wait for tickets.
func (p *pass) requestTickets(st *step, candidates []candidate, count int) {
	if len(p.ticketsWanted) >= maxTicketWaits {
		return
	}
	// Keeps the workers reserved that the call in flight names.
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return boolToInt(st.advice.awaits(b.worker)) - boolToInt(st.advice.awaits(a.worker))
	})
	var workers []*worker
	for _, c := range candidates {
		if count <= 0 {
			break
		}
		workers = append(workers, c.worker)
		count -= c.slots
	}
	needed := len(workers)
	for _, c := range candidates[needed:min(needed+spareTickets, len(candidates))] {
		workers = append(workers, c.worker)
	}
	p.ticketsWanted[st] = workers
	p.reserve(workers[:needed], p.now.Add(adviceTime(st, len(workers))+adviceTransitTime))
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// reserve reserves the workers that aren't reserved yet until the given time.
func (p *pass) reserve(workers []*worker, until time.Time) {
	for _, w := range workers {
		if _, reserved := p.reserved[w]; !reserved {
			p.reserved[w] = until
		}
	}
}

// placeGang starts all tasks of the gang or none.
func (p *pass) placeGang(st *step) {
	count := 0
	runNumber := int64(0)
	for _, t := range st.tasks {
		if t.done || len(t.runs) > 0 || p.now.Before(t.notBefore) {
			return // all runs of the former attempt have to end first
		}
		runNumber = max(runNumber, t.lastRunNumber+1)
		count++
	}
	permitted, valid, expired := p.candidatesToTry(st)
	if len(permitted) == 0 {
		return
	}
	if st.tasks[0].isSuspected() && assignGang(valid, count, false) != nil {
		valid = p.gangTrialCandidates(st, valid, count)
		if valid == nil {
			return
		}
	}
	chosen := assignGang(valid, count, st.spec.SameRack)
	if chosen == nil {
		all := append(slices.Clone(valid), expired...)
		if len(expired) > 0 && assignGang(all, count, false) != nil {
			p.requestTickets(st, all, count)
			return
		}
		p.planStart(st, permitted, count)
		return
	}
	for i, t := range st.tasks {
		c := chosen[i]
		p.shard.startRun(p.now, t, c.worker, runNumber, c.ticket)
	}
}

// assignGang returns a candidate for each of count tasks, best candidates first, or
// nil if the tasks don't all fit. With sameRack it prefers a single rack.
func assignGang(candidates []candidate, count int, sameRack bool) []candidate {
	if sameRack {
		if chosen := assignGangInRack(candidates, count); chosen != nil {
			return chosen
		}
	}
	var chosen []candidate
	for _, c := range candidates {
		for range c.slots {
			chosen = append(chosen, c)
			if len(chosen) == count {
				return chosen
			}
		}
	}
	return nil
}

// assignGangInRack returns a candidate for each of count tasks, all in a single rack,
// or nil if there is no such rack.
func assignGangInRack(candidates []candidate, count int) []candidate {
	byRack := map[string][]candidate{}
	var racks []string
	for _, c := range candidates {
		rack := c.worker.rack()
		if byRack[rack] == nil {
			racks = append(racks, rack)
		}
		byRack[rack] = append(byRack[rack], c)
	}
	for _, rack := range racks {
		if chosen := assignGang(byRack[rack], count, false); chosen != nil {
			return chosen
		}
	}
	return nil
}
