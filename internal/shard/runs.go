package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// maxStartTries is how often one order is sent before its run is stopped:
	// the same run again does nothing on a worker that has it. A worker that
	// answers nothing for a second is taken for unreachable.
	maxStartTries = 4
	// stopAgain is the pause between two orders to stop a run.
	stopAgain = 400 * time.Millisecond
	// failurePause delays the next run of a task that failed.
	failurePause = 50 * time.Millisecond
)

// begin notes that a job's first task is started.
func (s *Shard) begin(j *jobState) {
	if !j.began {
		j.began = true
		s.waiting[j.record.Terms.Queue]--
	}
	if j.state == job.Queued {
		j.state = job.Running
	}
}

func (s *Shard) attach(r *run) {
	r.task.runs = append(r.task.runs, r)
	r.worker.runs = append(r.worker.runs, r)
	r.worker.used = r.worker.used.Plus(r.task.step.spec.Reserved())
	r.task.step.occurrence.job.runs++
}

func (s *Shard) detach(r *run) {
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
	r.worker.runs = slices.DeleteFunc(r.worker.runs, func(o *run) bool { return o == r })
	r.worker.used = r.worker.used.Minus(r.task.step.spec.Reserved())
	r.task.step.occurrence.job.runs--
	s.changed = true
}

// order starts a run of the task on the worker.
func (s *Shard) order(now time.Time, t *task, w *worker, number int64, ticket string) {
	r := &run{task: t, number: number, worker: w, phase: ordered, orderedAt: now, movedAt: now, ticket: ticket, pace: paceFull}
	t.lastRun = number
	s.attach(r)
	s.sendStart(now, r)
	s.options.Log("run-ordered", "task", t.name(), "run", number, "worker", w.ID, "age", now.Sub(t.step.occurrence.due),
		"ready-for", now.Sub(t.step.readyAt), "free-cpu", w.free().MilliCPU, "free-gpu", w.free().GPUs)
}

func (s *Shard) sendStart(now time.Time, r *run) {
	r.tries++
	s.commands.Starts = append(s.commands.Starts, Start{
		RunKey: RunKey{r.task.name(), r.number}, Target: r.worker.target(),
		Text: r.task.step.occurrence.job.record.Spec.Text, LeaseUntil: s.extend(now, r.worker),
		Checkpoint: r.task.checkpoint, Ticket: r.ticket,
	})
}

// started notes that a run is there.
func (s *Shard) started(now time.Time, r *run) {
	r.phase, r.startedAt, r.movedAt = running, now, now
	s.begin(r.task.step.occurrence.job)
	if !r.worker.holding && r.worker.nextHold.After(now) {
		r.worker.nextHold = now
	}
}

// StartResult is how an order to start ended.
type StartResult string

// Results. After each but the first two the worker did nothing.
const (
	StartAccepted  StartResult = "accepted"
	StartUnknown   StartResult = "unknown" // no answer
	TicketInvalid  StartResult = "ticket-invalid"
	WorkerFull     StartResult = "worker-full"
	LeaseExpired   StartResult = "lease-expired"   // the lease was over when the order came
	RunOutdated    StartResult = "run-outdated"    // the worker had that run or a later one of the task
	WorkerDeclined StartResult = "worker-declined" // for another cause, or it wasn't reached
)

func (r StartResult) rejected() bool { return r != StartAccepted && r != StartUnknown }

// StartAnswered takes the answer to a Start; cause is for the log.
func (s *Shard) StartAnswered(now time.Time, worker string, key RunKey, result StartResult, cause string) {
	r := s.lookup(worker, key)
	if r == nil || r.phase == running {
		return
	}
	switch {
	case result == StartAccepted && (r.phase == stopping || r.asked):
		if r.startedAt.IsZero() {
			r.startedAt = now
		}
		r.phase = stopping
		s.sendStop(now, r)
	case result == StartAccepted:
		s.started(now, r)
	case result.rejected() && r.tries == 1:
		s.options.Log("run-rejected", "task", key.Task, "run", key.Run, "worker", worker, "result", result, "cause", cause)
		s.rejected(now, r, result)
	case r.asked || r.phase == stopping:
		r.phase = stopping
		s.sendStop(now, r)
	case result == RunOutdated:
		// An earlier try of this order was carried out, and is over or was stopped.
		r.phase = doubtful
		s.doubt(now, r, string(result))
	case r.tries < maxStartTries && s.authority:
		s.sendStart(now, r)
	default:
		s.doubt(now, r, cause)
	}
}

// rejected handles a first order that a worker has not carried out.
func (s *Shard) rejected(now time.Time, r *run, result StartResult) {
	st := r.task.step
	switch result {
	case TicketInvalid:
		st.advice.drop(r.worker)
	case WorkerFull:
		r.worker.checking = true
		r.worker.nextHold = now
	case LeaseExpired:
		r.worker.checking = true
	case RunOutdated:
		r.task.lastRun++
	default:
		r.worker.health.refused(now)
	}
	r.task.notBefore = now.Add(failurePause)
	s.over(now, r, "rejected")
	s.checkGang(now, st)
}

// doubt begins to resolve an order whose effect is unknown: the run is
// stopped, which also shuts out an order that arrives later.
func (s *Shard) doubt(now time.Time, r *run, cause string) {
	s.options.Log("run-in-doubt", "task", r.task.name(), "run", r.number, "worker", r.worker.ID, "tries", r.tries, "cause", cause)
	r.phase = doubtful
	s.sendStop(now, r)
	if r.task.step.spec.Gang {
		s.stopStep(now, r.task.step)
	}
}

// stopStep asks for the end of all runs of a step.
func (s *Shard) stopStep(now time.Time, st *step) {
	for _, t := range st.tasks {
		for _, r := range t.runs {
			s.stop(now, r)
		}
	}
}

// stopWhole asks for the end of a run, and with a gang's member of the whole gang.
func (s *Shard) stopWhole(now time.Time, r *run) {
	if r.task.step.spec.Gang {
		s.stopStep(now, r.task.step)
		return
	}
	s.stop(now, r)
}

// stop asks for the end of a run.
func (s *Shard) stop(now time.Time, r *run) {
	if r.asked {
		return
	}
	r.asked = true
	if r.phase == running {
		r.phase = stopping
		s.sendStop(now, r)
	}
	// An order on its way is stopped when its answer comes; one in doubt is
	// being stopped already.
}

func (s *Shard) sendStop(now time.Time, r *run) {
	r.stopSent = now
	s.commands.Stops = append(s.commands.Stops, Stop{RunKey: RunKey{r.task.name(), r.number}, Target: r.worker.target()})
}

// StopAnswered takes the answer to a Stop.
func (s *Shard) StopAnswered(now time.Time, worker string, key RunKey, done bool) {
	r := s.lookup(worker, key)
	if r == nil {
		return
	}
	if done {
		r.confirmed = now
		if !r.worker.holding {
			r.worker.nextHold = now
		}
	}
}

// repeatStops sends stops again whose end isn't listed yet.
func (s *Shard) repeatStops(now time.Time) {
	for _, w := range s.ordered {
		for _, r := range w.runs {
			unconfirmed := (r.phase == stopping || r.phase == doubtful) && r.confirmed.IsZero()
			if unconfirmed && now.Sub(r.stopSent) > stopAgain && s.authority {
				s.sendStop(now, r)
			}
		}
	}
}

// expireLeases ends the runs of workers that nobody has extended.
func (s *Shard) expireLeases(now time.Time) {
	for _, w := range s.ordered {
		if len(w.runs) == 0 || now.Before(w.leaseEnd) || w.failures == 0 && w.reached {
			continue
		}
		s.options.Log("lease-over", "worker", w.ID, "runs", len(w.runs), "looks-failed", w.failures)
		for _, r := range slices.Clone(w.runs) {
			s.over(now, r, "lease-over")
		}
	}
}

// over removes a run that is no longer on its worker.
func (s *Shard) over(now time.Time, r *run, cause string) {
	s.options.Log("run-over", "task", r.task.name(), "run", r.number, "worker", r.worker.ID, "cause", cause)
	s.detach(r)
	s.requeue(now, r.task)
}

// requeue makes a task wait again if nothing of it is left to run.
func (s *Shard) requeue(now time.Time, t *task) {
	st := t.step
	if t.done || st.occurrence.job.state.Ended() {
		return
	}
	if st.spec.Gang {
		s.checkGang(now, st)
	}
	s.ready[st] = true
	s.changed = true
}

// lookup finds a run by its worker and key.
func (s *Shard) lookup(worker string, key RunKey) *run {
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

// end takes a row of a worker's ended runs.
func (s *Shard) end(now time.Time, w *worker, row RunResult) {
	if row.Sequence <= w.seen {
		return
	}
	w.seen = row.Sequence
	s.markWorker(w)
	r := s.lookup(w.ID, row.RunKey)
	var t *task
	if r != nil {
		t = r.task
		s.detach(r)
	} else if key, err := parseTask(row.Task); err == nil {
		t = s.find(key)
	}
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, row.Run)
	j := t.step.occurrence.job
	duration := time.Duration(0)
	if r != nil {
		duration = now.Sub(r.orderedAt)
	}
	s.options.Log("run-ended", "task", row.Task, "run", row.Run, "worker", w.ID, "how", row.EndReason, "after", duration,
		"estimate", t.step.spec.Estimate, "unseen", min(w.unseen, duration), "worker-slow", w.isSlow)
	if row.Checkpoint != "" {
		t.checkpoint = row.Checkpoint
	}
	if j.state.Ended() {
		return
	}
	s.begin(j)
	switch row.EndReason {
	case EndDone:
		s.learn(now, r, duration)
		s.taskDone(now, t)
	case EndFailed:
		s.taskFailed(now, w, t, row.Run)
	case EndStopped, EndLeaseExpired, EndGangFailed, EndGangIncomplete:
		s.markJob(j)
		s.requeue(now, t)
	default:
		s.options.Log("unknown-end", "task", row.Task, "how", row.EndReason)
		s.requeue(now, t)
	}
}

// taskDone notes that a task, or its whole gang, is done.
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
		st.done++
		if st.spec.Gang {
			continue // its other members end by themselves
		}
		for _, copy := range member.runs {
			s.stop(now, copy)
		}
	}
	s.markJob(st.occurrence.job)
	if st.done < len(st.tasks) {
		return
	}
	delete(s.ready, st)
	s.stepDone(now, st)
}

// stepDone lets the steps begin that waited for this one. Each member of a gang
// and each copy of a task may end as done, so only the first time counts.
func (s *Shard) stepDone(now time.Time, st *step) {
	if st.complete {
		return
	}
	st.complete = true
	o := st.occurrence
	o.left--
	for _, later := range o.steps[st.number+1:] {
		for _, after := range later.spec.After {
			if after != st.number {
				continue
			}
			later.blocking--
			if later.blocking == 0 {
				s.becomeReady(now, later)
			}
		}
	}
	if o.left > 0 {
		return
	}
	j := o.job
	j.completed[o.number] = true
	if len(j.completed) == j.record.Spec.Occurrences() {
		s.endJob(now, j, job.Completed)
	}
}

// taskFailed counts a failed run and ends the job at its last attempt.
func (s *Shard) taskFailed(now time.Time, w *worker, t *task, number int64) {
	st := t.step
	j := st.occurrence.job
	before := w.health.shunned(now)
	w.health.failed(now, j.id)
	s.noteShunned(now, w, before, "failures")
	t.avoid = w.ID
	t.notBefore = now.Add(failurePause)
	failures := &t.failures
	if st.spec.Gang {
		t = st.tasks[0]
		failures = &t.failures
	}
	*failures++
	s.markJob(j)
	limit := j.record.Terms.MaxAttempts
	if !st.spec.LongRunning && limit > 0 && *failures >= limit {
		s.options.Log("attempts-used-up", "task", t.name(), "run", number, "failures", *failures)
		s.endJob(now, j, job.Failed)
		return
	}
	s.requeue(now, t)
}
