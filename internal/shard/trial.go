package shard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// holdTime is the longest time that a worker is held for a trial before its start.
	// Its other runs survive their start meanwhile: polls are at most pollWait apart.
	holdTime = 2 * time.Second
	// maxReplyAge is the time since a worker's last answer within which it gets the start
	// order of a trial.
	maxReplyAge = 250 * time.Millisecond
	// At most one of workersPerTrial usable workers is held at a time. The others take the
	// starts of tasks that aren't suspected.
	workersPerTrial = 2
)

// trialHold reserves a worker for a trial.
type trialHold struct {
	task  *task     // nil if the worker isn't held
	trial *run      // nil before the trial
	until time.Time // the zero time from the trial until its end is stored
}

// heldFromTask reports whether the worker is held for the trial of another task.
func (w *worker) heldFromTask(now time.Time, t *task) bool {
	return w.held(now) && w.hold.task != t.crashOwner()
}

func (w *worker) held(now time.Time) bool {
	return w.hold.task != nil && (w.hold.until.IsZero() || now.Before(w.hold.until))
}

// endTrial schedules the storage of a trial's end. The hold of its worker ends then: the
// next leader would count a crash of the worker for a trial that is stored.
func (s *Shard) endTrial(r *run) {
	if r.trial && r.worker.hold.trial == r {
		s.endedTrials = append(s.endedTrials, r)
		s.markJobDirty(r.task.step.occurrence.job)
	}
}

// quiet reports whether all runs on the worker have survived their start.
func (w *worker) quiet() bool {
	return !slices.ContainsFunc(w.runs, func(r *run) bool { return !r.survivedStart })
}

// prepareTrial schedules the storage of a trial. Its start order is sent afterwards.
func (s *Shard) prepareTrial(r *run) {
	r.trial, r.unsent = true, true
	r.worker.hold = trialHold{task: r.task.crashOwner(), trial: r}
	s.unrecordedTrials = append(s.unrecordedTrials, r)
	r.task.step.occurrence.job.storesProgress = true
	s.markJobDirty(r.task.step.occurrence.job)
}

// moveTrialsInBatch moves the trials, and the ended ones, that the batch contains to those
// in flight.
func (s *Shard) moveTrialsInBatch() {
	move := func(from, to *[]*run) {
		*from = slices.DeleteFunc(*from, func(r *run) bool {
			if r.task.step.occurrence.job.dirty {
				return false
			}
			*to = append(*to, r)
			return true
		})
	}
	move(&s.unrecordedTrials, &s.inFlightTrials)
	move(&s.endedTrials, &s.inFlightEnds)
}

// sendStoredTrials sends the start orders of the trials that are now stored, and ends the
// holds of those whose end is.
func (s *Shard) sendStoredTrials(now time.Time) {
	for _, r := range s.inFlightEnds {
		if r.worker.hold.trial == r {
			r.worker.hold = trialHold{}
		}
	}
	s.inFlightEnds = s.inFlightEnds[:0]
	stored := s.inFlightTrials
	s.inFlightTrials = nil
	for _, r := range stored {
		if slices.Contains(r.worker.runs, r) {
			s.sendTrial(now, r)
		}
	}
}

// sendPolledTrials sends or removes the stored trials of a worker that was just polled.
func (s *Shard) sendPolledTrials(now time.Time, w *worker) {
	var stored []*run
	for _, r := range w.runs {
		if r.unsent && !slices.Contains(s.unrecordedTrials, r) && !slices.Contains(s.inFlightTrials, r) {
			stored = append(stored, r)
		}
	}
	for _, r := range stored {
		s.sendTrial(now, r)
	}
}

// sendTrial sends the start order of a stored trial. If the worker hasn't just answered,
// it is polled first: a worker that crashed before the order didn't crash under the task.
func (s *Shard) sendTrial(now time.Time, r *run) {
	w := r.worker
	ticketExpired := false
	if r.ticket != "" {
		_, valid := r.task.step.advice.allowed(w, now)
		ticketExpired = !valid
	}
	switch {
	case r.stopRequested || ticketExpired || !s.authority || !w.placeable() || w.failedPolls >= unreachableAfter || w.overCapacity():
		s.removeRun(now, r, "not-sent")
	case now.Sub(w.lastReply) > maxReplyAge:
		w.stale, w.nextPollAt = true, now
	default:
		r.unsent = false
		s.sendStart(now, r)
	}
}

// storedTrial is a trial that a former leader stored.
type storedTrial struct {
	task   *task
	number int64
	worker string
}

// loadTrials creates the runs of the trials that a former leader stored. The first report
// of its worker, or its loss, shows what became of a run.
func (s *Shard) loadTrials(now time.Time, trials []storedTrial) {
	for _, trial := range trials {
		w := s.workers[trial.worker]
		if w == nil {
			continue
		}
		r := &run{task: trial.task, number: trial.number, worker: w, phase: phaseStarting, orderedAt: now, progressedAt: now, provedAt: now, pace: paceUnknown, mayJump: true, trial: true, loaded: true,
			leaseHeldUntil: now.Add(s.options.Lease), // it was ordered by now
		}
		trial.task.lastRunNumber = max(trial.task.lastRunNumber, trial.number)
		s.attachRun(r)
		w.hold = trialHold{task: trial.task.crashOwner(), trial: r}
	}
}

// trialOf returns the run that is the trial of a task, or nil.
func (t *task) trialOf() *run {
	for _, r := range t.runs {
		if r.trial && !r.survivedStart {
			return r
		}
	}
	return nil
}

// trialsLeft returns how many more workers may be held for trials.
func (p *pass) trialsLeft() int {
	held, usable := 0, 0
	for _, w := range p.shard.sortedWorkers {
		if !w.usable() {
			continue
		}
		usable++
		if w.held(p.now) {
			held++
		}
	}
	return max(1, usable/workersPerTrial) - held
}

// mayBeginTrial reports whether a worker may be held for a trial of the step. The trials of
// long-running tasks don't wait for those of others: a loss may make many tasks suspected, and
// callers count a long-running task without a run as lost after some seconds.
func (p *pass) mayBeginTrial(st *step) bool { return st.spec.LongRunning || p.trialsLeft() > 0 }

// placeTrial starts the trial of a suspected task on a worker without runs at their start,
// or holds a worker until it has none. It reports whether the task fits on a candidate.
func (p *pass) placeTrial(st *step, t *task, valid []candidate) bool {
	fits := func(c candidate) bool { return c.slots > 0 && !c.worker.heldFromTask(p.now, t) }
	free := filter(valid, fits)
	if len(free) == 0 {
		return false
	}
	quiet := emptiestFirst(filter(free, func(c candidate) bool { return c.worker.quiet() }))
	held := p.holdsWorkers(t)
	if !held && !p.mayBeginTrial(st) {
		return true
	}
	if c := bestCandidate(p.now, quiet, t); c != nil {
		p.releaseHolds(t)
		p.shard.startRun(p.now, t, c.worker, t.lastRunNumber+1, c.ticket)
		return true
	}
	if !held {
		bestCandidate(p.now, free, t).worker.hold = trialHold{task: t.crashOwner(), until: p.now.Add(holdTime)}
	}
	return true
}

// gangTrialCandidates returns the candidates for the trial of a gang, which are workers
// without runs at their start. If these don't hold the gang, but others do, it holds the
// others until they have none, and returns nil.
func (p *pass) gangTrialCandidates(st *step, valid []candidate, count int) []candidate {
	first := st.tasks[0]
	if !p.holdsWorkers(first) && !p.mayBeginTrial(st) {
		return nil
	}
	quiet := emptiestFirst(filter(valid, func(c candidate) bool { return c.worker.quiet() }))
	if assignGang(quiet, count, false) != nil {
		p.releaseHolds(first)
		return quiet
	}
	for _, c := range assignGang(valid, count, st.spec.SameRack) {
		if !c.worker.held(p.now) {
			c.worker.hold = trialHold{task: first, until: p.now.Add(holdTime)}
		}
	}
	return nil
}

// holdsWorkers reports whether workers are held for the trial of the task.
func (p *pass) holdsWorkers(t *task) bool {
	return slices.ContainsFunc(p.shard.sortedWorkers, func(w *worker) bool { return w.held(p.now) && w.hold.task == t.crashOwner() })
}

// releaseHolds ends the holds for a trial that is about to start.
func (p *pass) releaseHolds(t *task) {
	for _, w := range p.shard.sortedWorkers {
		if w.hold.task == t.crashOwner() {
			w.hold = trialHold{}
		}
	}
}

// emptiestFirst sorts the candidates for a trial, which may crash its worker. The share of
// the CPU in use outweighs the free share of pass.score, but no penalty there.
func emptiestFirst(candidates []candidate) []candidate {
	for i := range candidates {
		w := candidates[i].worker
		candidates[i].score += 2 * float64(w.used.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return candidates
}

func filter(candidates []candidate, keep func(candidate) bool) []candidate {
	var kept []candidate
	for _, c := range candidates {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}
