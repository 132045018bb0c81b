package shard

import (
	"cmp"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// lateFactor times its objective is when a job is worth nothing any more
	// (platform contract).
	lateFactor = 3
	// minReservations and workersPerReservation bound the waiting steps that
	// keep workers free until the last one that they need is free too: with
	// many, most workers wait for others.
	minReservations       = 2
	workersPerReservation = 16
	// maxAwaited bounds the steps that keep room while their tickets come.
	maxAwaited = 24
	// maxPlans bounds the waiting steps whose soonest start is worked out in a
	// pass: those behind them are not next.
	maxPlans = 24
	// largeShare is the share of a worker from which on a task counts as
	// large: it keeps room, as small tasks would take it for ever.
	largeShare = 4
)

// wants reports whether the step has a task to start.
func (st *step) wants(now time.Time) bool {
	for _, t := range st.tasks {
		if t.waits(now) {
			return true
		}
	}
	return false
}

func (t *task) waits(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore)
}

// matches reports whether the worker could ever run a task of the step.
func (w *worker) matches(st *step) bool {
	spec := st.spec
	if spec.RequiredLabel != "" && !slices.Contains(w.Labels, spec.RequiredLabel) {
		return false
	}
	return spec.Reserved().Fits(w.Capacity)
}

// latest is when the step has to start for its job to end on time.
func (st *step) latest() time.Time {
	o := st.occurrence
	return o.due.Add(o.job.objective() - st.chain)
}

// hopeless reports whether the job is too late to be worth anything.
func (st *step) hopeless(now time.Time) bool {
	o := st.occurrence
	return !st.spec.LongRunning && now.After(o.due.Add(lateFactor*o.job.objective()-st.chain))
}

// readyOrder returns the steps with tasks to start, most urgent first.
func (s *Shard) readyOrder(now time.Time) []*step {
	type ranked struct {
		step     *step
		hopeless int
		latest   time.Time
	}
	list := make([]ranked, 0, len(s.ready))
	s.queued = backlog{}
	for st := range s.ready {
		if !st.wants(now) {
			if !st.anyWaiting() {
				delete(s.ready, st)
			}
			continue
		}
		r := ranked{step: st, latest: st.latest()}
		if st.hopeless(now) {
			r.hopeless = 1
		} else {
			s.queued.add(st)
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.hopeless, b.hopeless),
			cmp.Compare(a.step.occurrence.job.record.Terms.Priority, b.step.occurrence.job.record.Terms.Priority),
			a.latest.Compare(b.latest),
			cmp.Compare(a.step.occurrence.job.id, b.step.occurrence.job.id),
			cmp.Compare(a.step.occurrence.number, b.step.occurrence.number),
			cmp.Compare(a.step.number, b.step.number),
		)
	})
	order := make([]*step, len(list))
	for i, r := range list {
		order[i] = r.step
	}
	return order
}

// anyWaiting reports whether a task without a run is left, also one that
// pauses after a failure.
func (st *step) anyWaiting() bool {
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 {
			return true
		}
	}
	return false
}

// pass is one round of placement.
type pass struct {
	shard *Shard
	now   time.Time
	// reserved workers are kept for a more urgent step until the given time.
	reserved     map[*worker]time.Time
	reservations int
	wanted       map[*step][]*worker
	plans        map[*step]plan
}

// schedule places what waits, and asks for the advice that it needs.
func (s *Shard) schedule(now time.Time) {
	s.changed = false
	if !s.authority || len(s.ready) == 0 {
		return
	}
	order := s.readyOrder(now)
	p := &pass{shard: s, now: now, reserved: map[*worker]time.Time{}, wanted: map[*step][]*worker{}, plans: map[*step]plan{}}
	for _, st := range order {
		j := st.occurrence.job
		if !j.durable || j.loaded && !s.settled {
			continue
		}
		if st.spec.Gang {
			p.placeGang(st)
		} else {
			p.placeTasks(st)
		}
	}
	p.placeCopies()
	s.ask(now, order, p.wanted, p.plans)
	p.explain(order)
}

const (
	// explainAfter is how long a step waits before a line says why, and the
	// pause between two such lines.
	explainAfter = 2 * time.Second
	// explainMost bounds the waiting steps that a pass explains: the most
	// urgent ones hold up those behind them.
	explainMost = 16
)

// explain logs why the most urgent steps still wait.
func (p *pass) explain(order []*step) {
	for rank, st := range order[:min(len(order), explainMost)] {
		since := p.now.Sub(maxTime(st.readyAt, st.explainedAt))
		if since < explainAfter || !st.wants(p.now) {
			continue
		}
		st.explainedAt = p.now
		p.shard.options.Log("step-waiting", append([]any{
			"step", st.name(), "queue", st.occurrence.job.record.Terms.Queue, "ready-for", p.now.Sub(st.readyAt), "rank", rank,
			"of", len(order), "late", st.hopeless(p.now),
		}, p.census(st)...)...)
	}
}

// census counts the workers by what keeps the step from them.
func (p *pass) census(st *step) []any {
	var usable, allowed, ticket, room, shunned int
	demand := st.spec.Reserved()
	for _, w := range p.shard.ordered {
		if !w.usable() || !w.matches(st) {
			continue
		}
		usable++
		if w.health.shunned(p.now) {
			shunned++
		}
		good, valid := true, true
		if st.occurrence.job.record.Terms.Advised {
			good, valid = st.advice.allowed(w, p.now)
		}
		if good {
			allowed++
		}
		if valid {
			ticket++
		}
		if good && demand.Fits(w.free()) && !st.saturates(w) {
			room++
		}
	}
	cause := "no-room"
	switch {
	case !st.occurrence.job.durable:
		cause = "not-stored"
	case st.occurrence.job.loaded && !p.shard.settled:
		cause = "former-holder-unsettled"
	case usable == 0:
		cause = "no-usable-worker"
	case len(st.advice.asked) == 0 && st.occurrence.job.record.Terms.Advised:
		cause = "advice-not-asked"
	case st.advice.inFlight:
		cause = "advice-on-its-way"
	case room > 0:
		cause = "room-kept-or-ticket-over"
	}
	return []any{"cause", cause, "usable", usable, "allowed", allowed, "with-ticket", ticket, "with-room", room, "shunned", shunned}
}

// candidate is a worker with room for at least one task of a step.
type candidate struct {
	worker *worker
	room   int
	ticket string
	valid  bool
	score  float64
}

// candidates returns the workers that may run the step now, best first, and
// those that lack only a valid ticket.
func (p *pass) candidates(st *step) (valid, expired []candidate) {
	terms := &st.occurrence.job.record.Terms
	demand := st.spec.Reserved()
	for _, w := range p.shard.ordered {
		if !w.usable() || !demand.Fits(w.free()) || !w.matches(st) || w.health.shunned(p.now) {
			continue
		}
		if end, reserved := p.reserved[w]; reserved && p.now.Add(st.spec.Estimate).After(end) {
			continue
		}
		c := candidate{worker: w, valid: true, room: roomFor(demand, w.free())}
		if st.spec.MaxPerWorker > 0 {
			c.room = min(c.room, st.spec.MaxPerWorker-st.runsOn(w))
			if c.room <= 0 {
				continue
			}
		}
		if terms.Advised {
			good, fresh := st.advice.allowed(w, p.now)
			if !good {
				continue
			}
			c.valid, c.ticket = fresh, st.advice.good[w.ID].text
		}
		c.score = p.score(st, w, demand)
		if c.valid {
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

func roomFor(demand, free job.Demand) int {
	room := int(1e6)
	if demand.MilliCPU > 0 {
		room = min(room, free.MilliCPU/demand.MilliCPU)
	}
	if demand.MemoryMB > 0 {
		room = min(room, free.MemoryMB/demand.MemoryMB)
	}
	if demand.GPUs > 0 {
		room = min(room, free.GPUs/demand.GPUs)
	}
	return room
}

func (st *step) runsOn(w *worker) int {
	count := 0
	for _, t := range st.tasks {
		for _, r := range t.runs {
			if r.worker == w {
				count++
			}
		}
	}
	return count
}

// saturates reports whether the worker has as many tasks of the step as it may.
func (st *step) saturates(w *worker) bool {
	return st.spec.MaxPerWorker > 0 && st.runsOn(w) >= st.spec.MaxPerWorker
}

const (
	// farPenalty outweighs any difference in room: away from its data a task
	// takes a multiple of its time.
	farPenalty = 10
	// avoidPenalty keeps a task from the worker where it failed last.
	avoidPenalty = 5
)

// score is lower for a better worker: the one whose scarcest resource has the
// least left afterwards, so that large tasks still find whole workers.
func (p *pass) score(st *step, w *worker, demand job.Demand) float64 {
	free := w.free().Minus(demand)
	left := float64(free.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
	if w.Capacity.GPUs > 0 {
		left = float64(free.GPUs)/float64(w.Capacity.GPUs) + left/100
	}
	if st.spec.Rack != "" && !slices.Contains(w.Labels, st.spec.Rack) {
		left += farPenalty
	}
	if w.isSlow {
		left += slowPenalty
	}
	return left + w.health.penalty()
}

// placeTasks starts as many tasks of the step as find room.
func (p *pass) placeTasks(st *step) {
	valid, expired := p.candidates(st)
	blocked := false
	for _, t := range st.tasks {
		if !t.waits(p.now) {
			continue
		}
		c := pick(valid, t)
		if c == nil {
			blocked = true
			break
		}
		p.shard.order(p.now, t, c.worker, t.lastRun+1, c.ticket)
		c.room--
		c.score = p.score(st, c.worker, st.spec.Reserved())
	}
	if !blocked {
		return
	}
	if len(expired) > 0 {
		p.want(st, expired)
		return
	}
	p.postpone(st, 1)
}

// placeCopies starts second runs of tasks that may run twice and whose first
// run is on a slow worker.
func (p *pass) placeCopies() {
	for _, w := range p.shard.ordered {
		if !w.isSlow {
			continue
		}
		for _, r := range slices.Clone(w.runs) {
			t := r.task
			copies := t.step.spec.Speculative && !t.step.spec.Gang && len(t.runs) == 1 && !t.done
			if !copies || r.phase != running || r.slowness < slowFactor {
				continue
			}
			valid, _ := p.candidates(t.step)
			c := pick(valid, t)
			if c == nil || c.worker == w || c.worker.isSlow {
				continue
			}
			p.shard.order(p.now, t, c.worker, t.lastRun+1, c.ticket)
		}
	}
}

// pick returns the best candidate with room, rather not the task's last one.
func pick(candidates []candidate, t *task) *candidate {
	var best *candidate
	bestScore := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.room <= 0 {
			continue
		}
		score := c.score
		if t.avoid == c.worker.ID {
			score += avoidPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// want notes that the candidates' tickets are needed, and keeps their room.
func (p *pass) want(st *step, expired []candidate) {
	workers := make([]*worker, len(expired))
	for i, c := range expired {
		workers[i] = c.worker
	}
	if len(p.wanted) >= maxAwaited {
		return
	}
	p.wanted[st] = workers
	p.hold(workers, p.now.Add(adviceTime(st, len(workers))))
}

func (p *pass) hold(workers []*worker, until time.Time) {
	for _, w := range workers {
		if _, reserved := p.reserved[w]; !reserved {
			p.reserved[w] = until
		}
	}
}

// postpone plans the soonest start of a step that found no room. A large task
// also keeps the workers on which it can start: small tasks would take their
// room for ever.
func (p *pass) postpone(st *step, count int) {
	if len(p.plans) >= maxPlans {
		return
	}
	planned := p.soonest(st, count)
	if len(planned.workers) == 0 {
		return
	}
	p.plans[st] = planned
	if isLarge(st.spec.Reserved(), planned.workers[0].Capacity) {
		if p.reservations >= max(minReservations, len(p.shard.ordered)/workersPerReservation) {
			return
		}
		p.reservations++
		p.hold(planned.workers, planned.at)
	}
}

// soonest finds the workers on which count tasks of the step have room first.
func (p *pass) soonest(st *step, count int) plan {
	type entry struct {
		worker *worker
		at     time.Time
		room   int
	}
	var list []entry
	demand := st.spec.Reserved()
	for _, w := range p.shard.ordered {
		if !w.usable() || !w.matches(st) || st.saturates(w) {
			continue
		}
		if _, reserved := p.reserved[w]; reserved {
			continue
		}
		if st.occurrence.job.record.Terms.Advised {
			if good, _ := st.advice.allowed(w, p.now); !good {
				continue
			}
		}
		list = append(list, entry{w, w.roomAt(p.now, demand), max(1, roomFor(demand, w.Capacity))})
	}
	slices.SortStableFunc(list, func(a, b entry) int { return a.at.Compare(b.at) })
	var planned plan
	for _, e := range list {
		if count <= 0 {
			break
		}
		planned.workers = append(planned.workers, e.worker)
		planned.at = e.at
		count -= e.room
	}
	return planned
}

func isLarge(demand, capacity job.Demand) bool {
	return demand.MilliCPU*largeShare >= capacity.MilliCPU || demand.GPUs*largeShare >= max(1, capacity.GPUs)
}

// roomAt is when the worker has room for the demand if nothing is added.
func (w *worker) roomAt(now time.Time, demand job.Demand) time.Time {
	free := w.free()
	if demand.Fits(free) {
		return now
	}
	type ending struct {
		at   time.Time
		free job.Demand
	}
	endings := make([]ending, 0, len(w.runs))
	for _, r := range w.runs {
		endings = append(endings, ending{r.expectedEnd(now), r.task.step.spec.Reserved()})
	}
	slices.SortStableFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	for _, e := range endings {
		free = free.Plus(e.free)
		if demand.Fits(free) {
			return e.at
		}
	}
	return now.Add(time.Hour)
}

// minPercent is how far a run must be before its speed says anything.
const minPercent = 10

// expectedEnd is when a run ends, by its progress or by its estimate.
func (r *run) expectedEnd(now time.Time) time.Time {
	spec := r.task.step.spec
	if spec.LongRunning {
		return now.Add(time.Hour)
	}
	if r.percent >= minPercent && !r.startedAt.IsZero() {
		elapsed := r.movedAt.Sub(r.startedAt)
		end := r.startedAt.Add(time.Duration(float64(elapsed) * 100 / r.percent))
		if end.After(now) {
			return end
		}
		return now
	}
	end := r.orderedAt.Add(spec.Estimate)
	if end.Before(now) {
		end = now.Add(spec.Estimate / 4)
	}
	return end
}

// placeGang starts all tasks of the step or none.
func (p *pass) placeGang(st *step) {
	count := 0
	number := int64(0)
	for _, t := range st.tasks {
		if t.done || len(t.runs) > 0 || p.now.Before(t.notBefore) {
			return // what is left of a former run has to end first
		}
		number = max(number, t.lastRun+1)
		count++
	}
	valid, expired := p.candidates(st)
	chosen := spread(valid, count, st.spec.SameRack)
	if chosen == nil {
		all := append(slices.Clone(valid), expired...)
		if len(expired) > 0 && spread(all, count, false) != nil {
			p.want(st, all)
			return
		}
		p.postpone(st, count)
		return
	}
	for i, t := range st.tasks {
		c := chosen[i]
		p.shard.order(p.now, t, c.worker, number, c.ticket)
	}
}

// spread deals count tasks to candidates, best first; nil if they don't fit.
func spread(candidates []candidate, count int, sameRack bool) []candidate {
	if sameRack {
		if chosen := spreadInRack(candidates, count); chosen != nil {
			return chosen
		}
	}
	var chosen []candidate
	for _, c := range candidates {
		for range c.room {
			chosen = append(chosen, c)
			if len(chosen) == count {
				return chosen
			}
		}
	}
	return nil
}

func spreadInRack(candidates []candidate, count int) []candidate {
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
		if chosen := spread(byRack[rack], count, false); chosen != nil {
			return chosen
		}
	}
	return nil
}
