package shard

import "time"

const (
	// stalledAfter is the least time without proof of progress after which a run counts
	// as stalled. Workers report every 1.5 s.
	stalledAfter = 3 * time.Second
	// shortEstimate is the longest estimate of tasks that are stalled after stalledAfter.
	// One percent of such a task takes 0.3 s, and 3 s if the task is ten times longer than
	// estimated.
	shortEstimate = 30 * time.Second
	// A run whose speed hasn't been measured is stalled after a tenth of its estimate. Over
	// longEstimate it is half the estimate, up to maxUnmeasuredTime: a task that was estimated
	// at 10 min may take 8 h.
	longEstimate      = 100 * time.Second
	maxUnmeasuredTime = 5 * time.Minute
	// stallPercents is the number of percents that a run at its measured speed makes in the
	// time after which it is stalled. Workers may become six times slower, and best-effort
	// tasks be paced to a fifth of their speed.
	stallPercents = 8
	// shortStallPercents is the same for tasks with an estimate of at most shortEstimate. A
	// run that stands still early must not seem to be one of a long task.
	shortStallPercents = 3
	// noStallTimeout is the stall timeout of long-running tasks that are ready. It
	// is about 146 years, so they never count as stalled.
	noStallTimeout = 1 << 62 * time.Nanosecond
)

// unmeasuredTimeout returns how long a run with this estimate may show no progress before
// its speed is measured.
func unmeasuredTimeout(estimate time.Duration) time.Duration {
	timeout := max(stalledAfter, estimate/10)
	if estimate > longEstimate {
		timeout = max(timeout, min(estimate/2, maxUnmeasuredTime))
	}
	return timeout
}

// updateProgress updates the proofs of progress of a run: a higher percentage or another
// checkpoint.
func (s *Shard) updateProgress(now time.Time, r *run, status *RunStatus) {
	if r.mayBeHalted() {
		r.progressedAt, r.provedAt, r.measuredFrom = now, now, time.Time{}
	}
	if status.Checkpoint != "" && status.Checkpoint != r.checkpoint {
		r.checkpoint, r.madeCheckpoint, r.provedAt = status.Checkpoint, true, now
	}
	if status.Percent <= r.percent {
		return
	}
	r.percent, r.progressedAt, r.provedAt = status.Percent, now, now
	r.updateSlowness(now)
	switch {
	case r.mayJump:
		r.mayJump = false
		return
	case r.measuredFrom.IsZero():
		r.measuredFrom, r.measuredFromPercent = now, status.Percent
		return
	}
	r.percentTime = max(1, time.Duration(float64(now.Sub(r.measuredFrom))/(status.Percent-r.measuredFromPercent)))
	s.learnStallTimeout(r.task.step, r.measuredTimeout())
}

// measuredTimeout returns the stall timeout of a run whose speed is measured.
func (r *run) measuredTimeout() time.Duration {
	percents := time.Duration(stallPercents)
	if r.task.step.spec.Estimate <= shortEstimate {
		percents = shortStallPercents
	}
	return max(stalledAfter, percents*r.percentTime)
}

// learnStallTimeout raises the stall timeout of runs of a step whose speed isn't measured.
// It is stored, as the next leader doesn't know the history of the runs that it adopts.
func (s *Shard) learnStallTimeout(st *step, timeout time.Duration) {
	if timeout < 2*max(stalledAfter, st.stallTimeout) {
		return
	}
	st.stallTimeout = timeout
	s.markJobDirty(st.occurrence.job)
}

// stallTimeout returns how long the run may show no progress before it counts as
// stalled. At 100 percent a lack of progress is no sign of a fault: a gang member
// that is ready waits for the others, which may take half as long again on another
// rack.
func (r *run) stallTimeout() time.Duration {
	st := r.task.step
	switch {
	case st.spec.LongRunning && r.percent < 100:
		return stalledAfter
	case st.spec.LongRunning:
		return noStallTimeout
	case r.percent >= 100:
		worked := r.progressedAt.Sub(r.startedAt)
		if r.adopted() {
			worked = max(worked, st.spec.Estimate, 100/stallPercents*st.stallTimeout)
		}
		return stalledAfter + worked/2
	}
	if r.percentTime > 0 {
		return r.measuredTimeout()
	}
	return max(unmeasuredTimeout(st.spec.Estimate), st.stallTimeout)
}

// stopStalledRuns stops runs that have stalled, and quarantines their workers.
func (s *Shard) stopStalledRuns(now time.Time) {
	for _, w := range s.sortedWorkers {
		for _, r := range w.runs {
			timeout := r.stallTimeout()
			if r.phase != phaseRunning || w.lastReply.Sub(r.provedAt) < timeout {
				continue
			}
			s.options.Log("run-stalled", "task", r.task.name(), "run", r.number, "worker", w.ID, "percent", r.percent, "still-for", now.Sub(r.provedAt))
			wasExcluded := w.health.excluded(now)
			w.health.quarantine(now)
			s.logQuarantine(now, w, wasExcluded, "stalled")
			s.recordUnmeasuredStall(r, timeout)
			r.task.avoidWorker = w.ID
			s.stopRun(now, r)
		}
	}
}

// recordUnmeasuredStall doubles the stall timeout of a step if a second run of one of its tasks
// shows no progress: the task may be far longer than estimated.
func (s *Shard) recordUnmeasuredStall(r *run, timeout time.Duration) {
	t := r.task
	if r.percentTime > 0 || t.step.spec.LongRunning {
		return
	}
	if t.unmeasuredStall {
		s.learnStallTimeout(t.step, 2*timeout)
	}
	t.unmeasuredStall = true
}
