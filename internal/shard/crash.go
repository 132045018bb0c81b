package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// A poison task crashes each worker that starts it. Of the runs on a worker that crashed,
// only those that had not survived their start can be the cause; their tasks are
// suspected. The next run of a suspected task is its trial: no other run on the worker is
// at its start meanwhile, so a second crash shows the cause. A trial is stored before its
// start order is sent, so that the next leader counts a crash under it.
//
// A crash is counted only if the process of the worker ended while the lease of the run
// lasted. A later report of another incarnation shows that, or another worker that
// answers at its address. A worker that is cut off runs on: its silence, its expired
// entry, refused connections and the end of its lease make its tasks suspected at most.

const (
	// maxCrashes is the number of workers that may crash under a task, counted for runs
	// whose start was confirmed and again for trials. An unconfirmed start may not have
	// reached the worker, so a single one doesn't show that two workers crashed under it.
	maxCrashes = 2
	// startupPeriod is the age at which a run has survived its start if the worker's
	// report shows it.
	startupPeriod = 500 * time.Millisecond
	// The trial after a lost one waits for firstTrialDelay, which doubles with each
	// further one up to maxTrialDelay: if no crash can be shown, a poison task isn't given
	// up, but the number of workers that it crashes grows only with the logarithm of time.
	firstTrialDelay = time.Second
	maxTrialDelay   = 64 * time.Second
	// maxLongRunningTrialDelay is lower: callers count a long-running task as lost that has
	// no run for 9 s, of which its last lease may take 4.3 s.
	maxLongRunningTrialDelay = 3 * time.Second
)

// crashOwner returns the task that has the crash count of a task: the first task of a
// gang, as its tasks only run together.
func (t *task) crashOwner() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// isSuspected reports whether a worker crashed while a run of the task, or of its gang, was
// at its start, and no run has survived its start since.
func (t *task) isSuspected() bool { return t.crashOwner().suspected }

// trialDelay returns the pause before the next trial of the task.
func (t *task) trialDelay() time.Duration {
	limit := maxTrialDelay
	if t.step.spec.LongRunning {
		limit = maxLongRunningTrialDelay
	}
	delay := firstTrialDelay
	for range t.crashOwner().lostTrials - 1 {
		delay = min(2*delay, limit)
	}
	return delay
}

// mayHaveCrashed reports whether a worker that is lost may have crashed. Most workers that
// are only cut off from this process are listed, and their address refuses nothing.
func (w *worker) mayHaveCrashed() bool { return !w.Draining && (!w.listed || w.absent) }

// earliestLeaseEnd returns the earliest end of a lease that lasts until the given reading
// of the worker's clock, which is never fast.
func (w *worker) earliestLeaseEnd(until time.Duration) time.Time {
	return w.clockReadAt.Add(until - w.clock)
}

// recordLoss makes the tasks suspected whose runs on a lost worker had not survived their
// start, or only those on trial if there are any. Runs that the new incarnation has
// reported are none of them. If the process of the worker is known to have ended, endedBy
// is the latest time at which it did, and the crash is counted for the runs that can't
// have lapsed before; otherwise endedBy is the zero time.
func (s *Shard) recordLoss(now time.Time, w *worker, endedBy time.Time, report Report) {
	var young []*run
	onTrial := false
	for _, r := range w.runs {
		if r.survivedStart || r.unsent || r.lossRecorded || report.lists(RunKey{r.task.name(), r.number}) {
			continue
		}
		r.lossRecorded = true
		young = append(young, r)
		onTrial = onTrial || r.trial
	}
	for _, r := range young {
		j := r.task.step.occurrence.job
		owner := r.task.crashOwner()
		if r.trial != onTrial || r.task.done || j.state.Ended() {
			continue
		}
		crashed := !endedBy.IsZero() && endedBy.Before(maxTime(r.leaseHeldUntil, w.leaseHeldUntil))
		s.options.Log("start-lost", "task", r.task.name(), "run", r.number, "worker", w.ID, "crashed", crashed, "trial", r.trial, "starting", len(young),
			"runs", len(w.runs), "born", report.Incarnation, "listed", w.listed, "absent", w.absent, "failed-polls", w.failedPolls)
		owner.suspected = true
		r.task.avoidWorker = w.ID
		if r.trial {
			if owner.lostTrial != r.number {
				owner.lostTrial = r.number
				owner.lostTrials++
			}
			r.task.notBefore = now.Add(r.task.trialDelay())
		}
		j.storesProgress = true // also if none of its tasks has begun
		s.markJobDirty(j)
		if crashed {
			s.countCrash(now, r)
		}
	}
}

// countCrash counts the crash of a worker for the task of a run, and ends its job after
// maxCrashes. A job with a long-running step ends only when it is cancelled.
func (s *Shard) countCrash(now time.Time, r *run) {
	owner := r.task.crashOwner()
	if owner.crashedRun == r.number {
		return
	}
	owner.crashedRun = r.number
	if r.trial {
		owner.trialCrashes++
	}
	if !r.startedAt.IsZero() && (r.trial || owner.crashes == 0) {
		owner.crashes++
	}
	if max(owner.crashes, owner.trialCrashes) >= maxCrashes {
		s.options.Log("poison-task", "task", r.task.name(), "run", r.number, "worker", r.worker.ID, "crashes", owner.crashes, "trials", owner.trialCrashes)
		if j := r.task.step.occurrence.job; !j.hasLongRunningStep() {
			s.endJob(now, j, job.Failed)
		}
	}
}

func (j *jobState) hasLongRunningStep() bool {
	return slices.ContainsFunc(j.accepted.Spec.Steps, func(spec job.Step) bool { return spec.LongRunning })
}

// lists reports whether the report has the run, running or ended.
func (r Report) lists(key RunKey) bool {
	return slices.ContainsFunc(r.Running, func(status RunStatus) bool { return status.RunKey == key }) ||
		slices.ContainsFunc(r.Ended, func(result RunResult) bool { return result.RunKey == key })
}

// updateSurvival records that a run that the worker has reported survived its start.
func (s *Shard) updateSurvival(now time.Time, r *run) {
	if r.survivedStart || r.startedAt.IsZero() || now.Sub(r.startedAt) < startupPeriod {
		return
	}
	r.survivedStart = true
	s.endTrial(r)
	if r.trial && (!r.task.step.spec.Gang || r.task.step.allSurvivedStart()) {
		s.clearSuspicion(r.task)
	}
}

func (st *step) allSurvivedStart() bool {
	for _, t := range st.tasks {
		if !slices.ContainsFunc(t.runs, func(r *run) bool { return r.survivedStart }) {
			return false
		}
	}
	return true
}

// clearSuspicion resets the counts of crashes and lost trials of a task.
func (s *Shard) clearSuspicion(t *task) {
	if owner := t.crashOwner(); owner.suspected {
		owner.suspected, owner.crashes, owner.trialCrashes, owner.lostTrials = false, 0, 0, 0
		s.markJobDirty(t.step.occurrence.job)
	}
}

// handleRestart removes the runs of the worker's former incarnation.
func (s *Shard) handleRestart(now time.Time, w *worker, report Report) {
	incarnation := report.Incarnation
	if w.listsRead || w.handledResult > 0 {
		s.options.Log("worker-restarted", "worker", w.ID, "born", incarnation, "before", w.observedIncarnation, "runs", len(w.runs))
	}
	w.observedIncarnation, w.handledResult, w.storedResult, w.acknowledgedResult, w.inFlightResult = incarnation, 0, 0, 0, 0
	w.unstoredResults = nil
	w.firstClock, w.previousClock, w.incarnationChangedAt = w.clock, 0, now
	s.markWorkerDirty(w)
	s.recordLoss(now, w, now.Add(-report.Clock), report)
	for _, r := range slices.Clone(w.runs) {
		if r.phase == phaseStarting || r.phase == phaseUncertain || r.phase == phaseStopping && r.startedAt.IsZero() {
			// The order may reach the new incarnation, which knows of no stop. Its answer,
			// or a report after a new stop, shows whether it does.
			r.stopConfirmedAt = time.Time{}
			continue
		}
		if !r.survivedStart && report.lists(RunKey{r.task.name(), r.number}) {
			continue // the order has reached the new incarnation; an adopted run would count as beyond its start
		}
		s.removeRun(now, r, "worker-restarted")
	}
	w.stopUnansweredStarts(now, report)
	s.stopLateStarts(now, w)
	s.placementChanged = true
}
