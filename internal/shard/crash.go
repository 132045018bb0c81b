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

const (
	// maxCrashes is the number of workers that may crash under a task, counted for runs
	// whose start was confirmed and again for trials. An unconfirmed start may not have
	// reached the worker, so a single one doesn't show that two workers crashed under it.
	maxCrashes = 2
	// startupPeriod is the age at which a run has survived its start if the worker's
	// report shows it.
	startupPeriod = 500 * time.Millisecond
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

// crashed reports whether a worker that is lost has crashed. A worker that is only cut off
// from this process is listed, and nothing else answers at its address.
func (w *worker) crashed() bool { return !w.Draining && (!w.listed || w.absent) }

// recordCrash counts the crash of a worker for the tasks whose runs had not survived their
// start, or only for those on trial if there are any. Runs that the new incarnation has
// reported are none of them.
func (s *Shard) recordCrash(now time.Time, w *worker, report Report) {
	var young []*run
	onTrial := false
	for _, r := range w.runs {
		if r.survivedStart || r.unsent || r.crashRecorded || report.lists(RunKey{r.task.name(), r.number}) {
			continue
		}
		r.crashRecorded = true
		young = append(young, r)
		onTrial = onTrial || r.trial
	}
	if len(young) > 0 {
		s.options.Log("worker-crashed", "worker", w.ID, "runs", len(w.runs), "starting", len(young), "trial", onTrial,
			"born", report.Incarnation, "listed", w.listed, "absent", w.absent, "failed-polls", w.failedPolls)
	}
	for _, r := range young {
		j := r.task.step.occurrence.job
		owner := r.task.crashOwner()
		if r.trial != onTrial || r.task.done || j.state.Ended() || owner.crashedRun == r.number {
			continue
		}
		owner.crashedRun = r.number
		if r.trial {
			owner.trialCrashes++
		}
		if !r.startedAt.IsZero() && (r.trial || !owner.suspected) {
			owner.crashes++
		}
		owner.suspected = true
		r.task.avoidWorker = w.ID
		s.markJobStarted(j)
		s.markJobDirty(j)
		if max(owner.crashes, owner.trialCrashes) >= maxCrashes {
			s.options.Log("poison-task", "task", r.task.name(), "run", r.number, "worker", w.ID, "crashes", owner.crashes, "trials", owner.trialCrashes)
			s.endJob(now, j, job.Failed)
		}
	}
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

// clearSuspicion resets the crash count of a task.
func (s *Shard) clearSuspicion(t *task) {
	if owner := t.crashOwner(); owner.suspected {
		owner.suspected, owner.crashes, owner.trialCrashes = false, 0, 0
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
	w.firstClock = w.clock
	s.markWorkerDirty(w)
	s.recordCrash(now, w, report)
	for _, r := range slices.Clone(w.runs) {
		if r.phase == phaseStarting || r.phase == phaseUncertain {
			continue // the order may reach the new incarnation; its answer or the next report shows that
		}
		s.removeRun(now, r, "worker-restarted")
	}
	s.placementChanged = true
}
