package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// maxStartAttempts is how often a start order without an answer is sent before
	// its run is stopped. Resending is harmless: a worker that has the run ignores
	// the order. A worker that answers nothing for a second counts as unreachable.
	maxStartAttempts = 4
	// stopRetryDelay is the pause before an unconfirmed stop order is sent again.
	stopRetryDelay = 400 * time.Millisecond
	// taskRetryDelay is the pause before the next run of a task whose last run
	// failed or was rejected.
	taskRetryDelay = 50 * time.Millisecond
)

// markJobStarted records that a task of the job is running or has run.
func (s *Shard) markJobStarted(j *jobState) {
	if !j.started {
		j.started = true
		s.waitingJobs[j.accepted.Terms.Queue]--
	}
	if j.state == job.Queued {
		j.state = job.Running
	}
}

func (s *Shard) attachRun(r *run) {
	r.task.runs = append(r.task.runs, r)
	r.worker.runs = append(r.worker.runs, r)
	r.worker.used = r.worker.used.Plus(r.task.step.spec.Reserved())
	r.task.step.occurrence.job.runCount++
}

func (s *Shard) detachRun(r *run) {
	s.endTrial(r)
	r.task.lastWorker = r.worker.ID
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
	r.worker.runs = slices.DeleteFunc(r.worker.runs, func(o *run) bool { return o == r })
	r.worker.used = r.worker.used.Minus(r.task.step.spec.Reserved())
	r.task.step.occurrence.job.runCount--
	s.placementChanged = true
}

// startRun creates a run of the task on the worker and sends the start order for it, or
// for a suspected task stores the run first.
func (s *Shard) startRun(now time.Time, t *task, w *worker, runNumber int64, ticket string) {
	checkpoint := t.newestCheckpoint()
	r := &run{task: t, number: runNumber, worker: w, phase: phaseStarting, orderedAt: now, progressedAt: now, provedAt: now, ticket: ticket, pace: fullPace, checkpoint: checkpoint, mayJump: checkpoint != ""}
	if !r.mayJump {
		r.measuredFrom = now
	}
	t.lastRunNumber, t.step.checkpointRun = runNumber, runNumber
	s.attachRun(r)
	if t.isSuspected() {
		s.prepareTrial(r)
	} else {
		s.sendStart(now, r)
	}
	s.options.Log("run-ordered", "task", t.name(), "run", runNumber, "worker", w.ID, "age", now.Sub(t.step.occurrence.due),
		"ready-for", now.Sub(t.step.readyAt), "free-cpu", w.free().MilliCPU, "free-gpu", w.free().GPUs, "trial", r.trial)
}

func (s *Shard) sendStart(now time.Time, r *run) {
	until := s.extendLease(now, r.worker)
	r.orderExpiresAt = max(r.orderExpiresAt, until)
	if r.startAttempts++; r.startAttempts == 1 {
		r.leaseHeldUntil = r.worker.earliestLeaseEnd(until)
	}
	s.commands.Starts = append(s.commands.Starts, Start{
		RunKey: RunKey{r.task.name(), r.number}, Target: r.worker.target(),
		Text: r.task.step.occurrence.job.accepted.Spec.Text, LeaseUntil: until,
		Checkpoint: r.checkpoint, Ticket: r.ticket,
	})
}

// markRunning records that the worker has started the run. The worker is polled at
// once unless a poll is in flight.
func (s *Shard) markRunning(now time.Time, r *run) {
	r.phase, r.startedAt, r.progressedAt, r.provedAt = phaseRunning, now, now, now
	s.markJobStarted(r.task.step.occurrence.job)
	if !r.worker.pollInFlight && r.worker.nextPollAt.After(now) {
		r.worker.nextPollAt = now
	}
}

// StartResult is the result of a start order.
type StartResult string

// Results of a start order. With results other than StartAccepted and StartUnknown,
// the worker didn't start the run on this order.
const (
	StartAccepted  StartResult = "accepted"
	StartUnknown   StartResult = "unknown" // no answer: the run may have started
	TicketInvalid  StartResult = "ticket-invalid"
	WorkerFull     StartResult = "worker-full"
	LeaseExpired   StartResult = "lease-expired"   // the lease had ended when the order arrived
	RunOutdated    StartResult = "run-outdated"    // the worker has had this run or a later one of the task
	WorkerDeclined StartResult = "worker-declined" // any other reason, or the order could not be sent
)

func (r StartResult) rejected() bool { return r != StartAccepted && r != StartUnknown }

// StartAnswered handles the answer to a Start. The cause of a result other than
// StartAccepted is only logged.
func (s *Shard) StartAnswered(now time.Time, worker string, key RunKey, result StartResult, cause string) {
	if result == StartUnknown {
		s.recordUnansweredStart(now, worker, key)
	}
	r := s.findRun(worker, key)
	if r == nil || r.phase == phaseRunning {
		return
	}
	switch {
	case result == StartAccepted && (r.phase == phaseStopping || r.stopRequested):
		if r.startedAt.IsZero() {
			r.startedAt = now
		}
		r.phase = phaseStopping
		s.sendStop(now, r)
	case result == StartAccepted:
		s.markRunning(now, r)
	case result.rejected() && r.startAttempts == 1:
		s.options.Log("run-rejected", "task", key.Task, "run", key.Run, "worker", worker, "result", result, "cause", cause)
		s.handleRejection(now, r, result)
	case r.stopRequested || r.phase == phaseStopping:
		r.phase = phaseStopping
		s.sendStop(now, r)
	case result == RunOutdated:
		// An earlier attempt at this order was carried out, and its run has ended or
		// was stopped.
		r.phase = phaseUncertain
		s.markUncertain(now, r, string(result))
	case r.startAttempts < maxStartAttempts && s.authority && r.worker.recordStored:
		s.sendStart(now, r)
	default:
		s.markUncertain(now, r, cause)
	}
}

// handleRejection ends a run whose first start order the worker rejected.
func (s *Shard) handleRejection(now time.Time, r *run, result StartResult) {
	st := r.task.step
	switch result {
	case TicketInvalid:
		st.advice.invalidate(r.worker)
	case WorkerFull:
		r.worker.stale = true
		r.worker.nextPollAt = now
	case LeaseExpired:
		r.worker.stale = true
	case RunOutdated:
		r.task.lastRunNumber++ // skips a number, as the worker may have had the next one too
	default:
		r.worker.health.pauseAfterRejection(now)
	}
	r.task.notBefore = now.Add(taskRetryDelay)
	s.removeRun(now, r, "rejected")
	s.stopIncompleteGang(now, st)
}

// markUncertain handles a run whose start order may or may not have been carried out.
// It stops the run, which also makes the worker reject the order if it arrives later.
func (s *Shard) markUncertain(now time.Time, r *run, cause string) {
	s.options.Log("run-in-doubt", "task", r.task.name(), "run", r.number, "worker", r.worker.ID, "tries", r.startAttempts, "cause", cause)
	r.phase = phaseUncertain
	s.sendStop(now, r)
	if r.task.step.spec.Gang {
		s.stopStep(now, r.task.step)
	}
}

// orderExpired reports whether the run can't start any more although no stop was confirmed: its
// start order had no answer, and the worker was polled after the order had expired on its clock.
// If that poll doesn't list the run, it is on the worker neither now nor later.
func (r *run) orderExpired() bool {
	unanswered := r.phase == phaseUncertain || r.phase == phaseStopping && r.startedAt.IsZero()
	return unanswered && r.startAttempts > 0 && r.worker.previousClock > r.orderExpiresAt
}

// endExpiredRun ends a run whose order has expired. Its worker, which gets no orders although it
// answers polls, is quarantined.
func (s *Shard) endExpiredRun(now time.Time, r *run) {
	wasExcluded := r.worker.health.quarantined(now)
	r.task.avoidWorker = r.worker.ID
	r.worker.health.quarantine(now)
	s.logQuarantine(now, r.worker, wasExcluded, "orders-lost")
	s.removeRun(now, r, "order-expired")
}

// stopStep stops all runs of a step.
func (s *Shard) stopStep(now time.Time, st *step) {
	for _, t := range st.tasks {
		for _, r := range t.runs {
			s.stopRun(now, r)
		}
	}
}

// stopRunOrGang stops a run and, if it is in a gang, the whole gang.
func (s *Shard) stopRunOrGang(now time.Time, r *run) {
	if r.task.step.spec.Gang {
		s.stopStep(now, r.task.step)
		return
	}
	s.stopRun(now, r)
}

// stopRun stops a run. It does nothing if a stop was requested before.
func (s *Shard) stopRun(now time.Time, r *run) {
	if r.stopRequested {
		return
	}
	r.stopRequested = true
	if r.phase == phaseRunning {
		r.phase = phaseStopping
		s.sendStop(now, r)
	}
	// The stop of a starting run is sent when its start order is answered. The stop
	// of an uncertain run was sent before.
}

func (s *Shard) sendStop(now time.Time, r *run) {
	r.stopSentAt = now
	s.commands.Stops = append(s.commands.Stops, Stop{RunKey: RunKey{r.task.name(), r.number}, Target: r.worker.target()})
}

// StopAnswered handles the answer to a Stop. If the call failed, done is false and the
// stop is sent again later.
func (s *Shard) StopAnswered(now time.Time, worker string, key RunKey, done bool) {
	if done {
		s.recordStoppedStart(worker, key)
	}
	r := s.findRun(worker, key)
	if r == nil {
		return
	}
	if done {
		r.stopConfirmedAt = now
		if !r.worker.pollInFlight {
			r.worker.nextPollAt = now
		}
		return
	}
	if r.phase == phaseUncertain {
		r.worker.health.pauseAfterRejection(now) // neither the start order nor the stop had an answer
	}
}

// resendStops resends the stop orders that the worker has not confirmed.
func (s *Shard) resendStops(now time.Time) {
	for _, w := range s.sortedWorkers {
		s.stopLateStarts(now, w)
		for _, r := range w.runs {
			stopUnconfirmed := (r.phase == phaseStopping || r.phase == phaseUncertain) && r.stopConfirmedAt.IsZero()
			if stopUnconfirmed && now.Sub(r.stopSentAt) > stopRetryDelay && s.authority {
				s.sendStop(now, r)
			}
		}
	}
}

// expireLeases ends the runs of workers whose lease has ended, if the worker is unreachable
// or this leader has not read its lists of runs.
func (s *Shard) expireLeases(now time.Time) {
	for _, w := range s.sortedWorkers {
		if len(w.runs) == 0 || !s.leasesOver(now, w) || w.failedPolls == 0 && w.listsRead {
			continue
		}
		s.options.Log("lease-over", "worker", w.ID, "runs", len(w.runs), "looks-failed", w.failedPolls, "read", w.listsRead, "listed", w.listed, "absent", w.absent,
			"over-for", now.Sub(s.lastLeaseEnd(w)), "proof-age", now.Sub(s.confirmedAt), "silent", now.Sub(w.lastReply))
		if w.mayHaveCrashed() {
			s.recordLoss(now, w, time.Time{}, Report{})
		}
		for _, r := range slices.Clone(w.runs) {
			s.removeRun(now, r, "lease-over")
		}
	}
}

// removeRun removes a run that is no longer on its worker and requeues its task.
func (s *Shard) removeRun(now time.Time, r *run, cause string) {
	s.options.Log("run-over", "task", r.task.name(), "run", r.number, "worker", r.worker.ID, "cause", cause)
	s.detachRun(r)
	s.requeue(now, r.task)
}

// requeue makes a task wait again unless it is done or its job has ended.
func (s *Shard) requeue(now time.Time, t *task) {
	st := t.step
	if t.done || st.occurrence.job.state.Ended() {
		return
	}
	t.waitingSince = now
	if st.spec.Gang {
		s.stopIncompleteGang(now, st)
	}
	s.readySteps[st] = true
	s.placementChanged = true
}

// findRun returns the run with this key on a worker, or nil if there is none.
func (s *Shard) findRun(worker string, key RunKey) *run {
	w := s.workers[worker]
	if w == nil {
		return nil
	}
	for _, r := range w.runs {
		if r.number == key.Run && r.task.name() == key.Task {
			return r
		}
	}
	return nil
}

// taskDone marks a task, or its whole gang, as done. A long-running task that ends is
// started again.
func (s *Shard) taskDone(now time.Time, t *task) {
	st := t.step
	if st.spec.LongRunning {
		s.requeue(now, t)
		return
	}
	members := []*task{t}
	if st.spec.Gang {
		members = st.tasks
	}
	for _, member := range members {
		if member.done {
			continue
		}
		member.done = true
		st.doneTasks++
		if st.spec.Gang {
			continue // the runs of the other members end by themselves
		}
		for _, other := range member.runs {
			s.stopRun(now, other)
		}
	}
	s.markJobDirty(st.occurrence.job)
	if st.doneTasks < len(st.tasks) {
		return
	}
	delete(s.readySteps, st)
	s.stepDone(now, st)
}

// stepDone marks a step as complete, marks the steps that waited only for it as ready,
// and ends the job once all its occurrences are complete. Only the first call for a step
// has an effect: there are more if several members of a gang, or several runs of a
// speculative task, end as done.
func (s *Shard) stepDone(now time.Time, st *step) {
	if st.complete {
		return
	}
	st.complete = true
	o := st.occurrence
	o.openSteps--
	for _, later := range o.steps[st.number+1:] {
		for _, dependency := range later.spec.After {
			if dependency != st.number {
				continue
			}
			later.openDependencies--
			if later.openDependencies == 0 {
				s.markReady(now, later)
			}
		}
	}
	if o.openSteps > 0 {
		return
	}
	j := o.job
	j.completedOccurrences[o.number] = true
	if len(j.completedOccurrences) == j.accepted.Spec.Occurrences() {
		s.endJob(now, j, job.Completed)
	}
}

// taskFailed counts a failed run of a task, or of its gang, and fails the job if this
// was the last allowed attempt. A run of a gang in which several members fail is one
// attempt. A run of a task that another run has completed doesn't count.
func (s *Shard) taskFailed(now time.Time, w *worker, t *task, runNumber int64) {
	st := t.step
	j := st.occurrence.job
	if t.done {
		return
	}
	t.avoidWorker = w.ID
	t.notBefore = now.Add(taskRetryDelay)
	limit := j.accepted.Terms.MaxAttempts
	limited := !st.spec.LongRunning && limit > 0
	if st.spec.Gang {
		t = st.tasks[0]
		if slices.Contains(t.failedRuns, runNumber) {
			s.requeue(now, t)
			return
		}
		if limited {
			t.failedRuns = append(t.failedRuns, runNumber)
		}
	}
	t.failures++
	s.markJobDirty(j)
	if limited && t.failures >= limit {
		s.options.Log("attempts-used-up", "task", t.name(), "run", runNumber, "failures", t.failures)
		s.endJob(now, j, job.Failed)
		return
	}
	s.requeue(now, t)
}
