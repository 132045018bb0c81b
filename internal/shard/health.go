package shard

import (
	"math"
	"slices"
	"time"
)

const (
	// quarantineFailures is how many different jobs must fail on a worker, with no
	// success in between, for it to be quarantined.
	quarantineFailures = 2
	// minQuarantine and maxQuarantine bound the length of a quarantine. It doubles
	// each time the first run after a quarantine fails too.
	minQuarantine = 5 * time.Second
	maxQuarantine = 20 * time.Second
	// maxQuarantineWait is how long a long-running task waits for a worker that isn't
	// quarantined. Callers count it as lost after 9 s without a run, of which its last
	// lease may take 4.3 s.
	maxQuarantineWait = 3 * time.Second
	// rejectionPause is how long a worker gets no new tasks after it rejected a
	// start, for example because it is unhealthy.
	rejectionPause = 500 * time.Millisecond
	// provenAfter is how long a long-running run must be ready to show that its worker
	// works. It never ends as done, which shows that for other runs, and may fail at any
	// time.
	provenAfter = 5 * time.Second
)

// health holds what past runs have shown about a worker.
type health struct {
	samples        []slownessSample // slowness of its last completed runs
	failedJobs     []string         // distinct jobs that failed since the last success
	quarantineEnd  time.Time
	quarantineTime time.Duration // length of the last quarantine; 0 after a success
	pauseEnd       time.Time     // end of the pause after a rejected start
}

func (h *health) recordFailure(now time.Time, job string) {
	if slices.Contains(h.failedJobs, job) {
		return
	}
	h.failedJobs = append(h.failedJobs, job)
	if len(h.failedJobs) >= quarantineFailures {
		h.quarantine(now)
	}
}

func (h *health) quarantine(now time.Time) {
	if now.Before(h.quarantineEnd) {
		return
	}
	h.quarantineTime = min(max(minQuarantine, 2*h.quarantineTime), maxQuarantine)
	h.quarantineEnd = now.Add(h.quarantineTime)
	// A single failure after this quarantine starts the next one.
	h.failedJobs = h.failedJobs[:min(len(h.failedJobs), quarantineFailures-1)]
}

// recordFailure records a failed run of a job in the health of its worker.
func (s *Shard) recordFailure(now time.Time, w *worker, job string) {
	wasExcluded := w.health.excluded(now)
	w.health.recordFailure(now, job)
	s.logQuarantine(now, w, wasExcluded, "failures")
}

// logQuarantine logs that a worker is now quarantined, unless it was already
// excluded.
func (s *Shard) logQuarantine(now time.Time, w *worker, wasExcluded bool, cause string) {
	if !wasExcluded && w.health.excluded(now) {
		s.options.Log("worker-shunned", "worker", w.ID, "cause", cause, "for", w.health.quarantineEnd.Sub(now), "runs", len(w.runs))
	}
}

// updateProof records a long-running run that has been ready for provenAfter as a success of
// its worker.
func (r *run) updateProof(now time.Time, status *RunStatus) {
	if !r.task.step.spec.LongRunning || r.provedWorker || status.Percent < 100 {
		return
	}
	if r.readyAt.IsZero() {
		r.readyAt = now
	}
	if now.Sub(r.readyAt) >= provenAfter {
		r.provedWorker = true
		r.worker.health.recordSuccess()
	}
}

func (h *health) recordSuccess() {
	h.failedJobs = nil
	h.quarantineTime = 0
	h.quarantineEnd = time.Time{}
}

func (h *health) pauseAfterRejection(now time.Time) { h.pauseEnd = now.Add(rejectionPause) }

// excluded reports whether the worker gets no new tasks for now.
func (h *health) excluded(now time.Time) bool { return h.quarantined(now) || h.paused(now) }

func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantineEnd) }

func (h *health) paused(now time.Time) bool { return now.Before(h.pauseEnd) }

// mayUseQuarantined reports whether a long-running task of the step has waited for
// maxQuarantineWait. A quarantined worker may fail its next run, but would leave it without
// one for longer than callers accept.
func (st *step) mayUseQuarantined(now time.Time) bool {
	return st.spec.LongRunning && slices.ContainsFunc(st.tasks, func(t *task) bool {
		return t.startable(now) && now.Sub(maxTime(t.waitingSince, st.readyAt)) >= maxQuarantineWait
	})
}

// penalty is added to the score of a worker. A worker that failed since its last
// success gets 1, about the largest possible difference in free resources.
func (h *health) penalty() float64 {
	if len(h.failedJobs) > 0 {
		return 1
	}
	return 0
}

// recordRunTime records a successful run and its run time in the health of its
// worker. It does nothing if the run isn't known.
func (s *Shard) recordRunTime(now time.Time, r *run, duration time.Duration) {
	if r == nil {
		return
	}
	r.worker.health.recordSuccess()
	if estimate := r.task.step.spec.Estimate; r.showsSlowness() && !r.adopted() {
		r.worker.health.addSample(now, r.task.step.occurrence.job.id, float64(duration)/float64(estimate))
	}
}

// slownessSample is the run time of one run as a multiple of its estimate.
type slownessSample struct {
	at       time.Time
	job      string
	slowness float64
}

const (
	// maxSamples is the number of completed runs from which the slowness of a worker
	// is estimated, and maxSampleAge is their maximum age.
	maxSamples   = 6
	maxSampleAge = 10 * time.Second
	// slowFactor is the least slowness of a run that counts as slow. Estimates are
	// off by half and remote data doubles the run time, so lower values also occur
	// on healthy workers.
	slowFactor = 2.8
	// A worker is slow if it had runs of at least minSlowJobs jobs recently, all with
	// a slowness of at least slowFactor, or of at least minVerySlowJobs jobs, all with
	// a slowness of at least verySlowFactor.
	minSlowJobs     = 3
	minVerySlowJobs = 2
	verySlowFactor  = 4
	// minMeasuredTime is how long the progress of a run is observed before its
	// slowness is estimated.
	minMeasuredTime = 400 * time.Millisecond
	// slowPenalty is added to the score of a slow worker: less than
	// otherRackPenalty and avoidWorkerPenalty.
	slowPenalty = 4
	// maxMoves bounds how often a task is moved off slow workers. A task whose
	// estimate is far too low looks slow on every worker.
	maxMoves = 2
	// maxLostWork is how long a run of a long task that saves no progress may have worked
	// when it is moved. Its estimate may be far too low, so the move may gain nothing.
	maxLostWork = 30 * time.Second
	// minMoveGain is the least gain for which a run is moved. The gain is the
	// remaining time of the run, less moveCost, divided by the expected time of a new
	// run.
	minMoveGain = 1.5
	// moveCost is the time that a move takes: the stop of the present run (0.9 s on
	// the users' platform) and the restart.
	moveCost = time.Second
)

func (h *health) addSample(now time.Time, job string, slowness float64) {
	if len(h.samples) == maxSamples {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, slownessSample{now, job, slowness})
}

// adopted reports whether a former leader started the run. Its start time is
// unknown, and this leader has sent no start order for it.
func (r *run) adopted() bool { return r.startAttempts == 0 }

// updateSlowness estimates the slowness of a run from its progress since its start
// or, if that is unknown, since the first report.
func (r *run) updateSlowness(now time.Time) {
	estimate := r.task.step.spec.Estimate
	if estimate <= 0 || r.task.step.spec.LongRunning {
		return
	}
	if r.firstPercentAt.IsZero() {
		r.firstPercent, r.firstPercentAt = r.percent, now
		if !r.adopted() && r.task.newestCheckpoint() == "" { // it started at 0 percent
			r.firstPercent, r.firstPercentAt = 0, r.startedAt
		}
	}
	if elapsed := now.Sub(r.firstPercentAt); elapsed >= minMeasuredTime && r.percent > r.firstPercent {
		r.slowness = float64(elapsed) * 100 / (r.percent - r.firstPercent) / float64(estimate)
	}
}

// showsSlowness reports whether the slowness of the run counts for its worker. All
// estimates of long tasks may be far too low.
func (r *run) showsSlowness() bool {
	estimate := r.task.step.spec.Estimate
	return estimate > 0 && estimate <= shortEstimate
}

// keepsWork reports whether the run isn't moved, as more than maxLostWork of a long task
// would be lost.
func (r *run) keepsWork(now time.Time) bool {
	spec := r.task.step.spec
	return spec.Estimate > shortEstimate && !spec.SavesProgress && (r.adopted() || now.Sub(r.startedAt) > maxLostWork)
}

// measuredSlow reports whether the worker's runs take far longer than estimated.
// The estimate of a single job may be far off, so the runs of several jobs have to be
// slow.
func (w *worker) measuredSlow(now time.Time) bool {
	byJob := map[string]float64{}
	add := func(job string, slowness float64) {
		if least, known := byJob[job]; !known || slowness < least {
			byJob[job] = slowness
		}
	}
	for _, sample := range w.health.samples {
		if now.Sub(sample.at) <= maxSampleAge {
			add(sample.job, sample.slowness)
		}
	}
	for _, r := range w.runs {
		if r.slowness > 0 && r.showsSlowness() {
			add(r.task.step.occurrence.job.id, r.slowness)
		}
	}
	least := math.Inf(1)
	for _, slowness := range byJob {
		least = min(least, slowness)
	}
	return len(byJob) >= minSlowJobs && least >= slowFactor || len(byJob) >= minVerySlowJobs && least >= verySlowFactor
}

// moveSlowRuns stops runs on slow workers whose tasks would end sooner elsewhere.
func (s *Shard) moveSlowRuns(now time.Time) {
	for _, w := range s.sortedWorkers {
		if !w.isSlow {
			continue
		}
		for _, r := range w.runs {
			if r.phase != phaseRunning || r.stopRequested || r.task.step.spec.Speculative || r.task.moveCount >= maxMoves || r.slowness < slowFactor || r.keepsWork(now) || !s.endsSooner(now, r) {
				continue
			}
			s.options.Log("run-moved", "task", r.task.name(), "run", r.number, "worker", w.ID, "percent", r.percent, "slowness", r.slowness)
			r.task.avoidWorker = w.ID
			r.task.moveCount++
			if r.showsSlowness() {
				w.health.addSample(now, r.task.step.occurrence.job.id, r.slowness)
			}
			s.stopRunOrGang(now, r)
		}
	}
}

// endsSooner reports whether a run's task would end sooner on a worker that isn't
// slow and on which it fits.
func (s *Shard) endsSooner(now time.Time, r *run) bool {
	spec := r.task.step.spec
	projectedTime := float64(spec.Estimate) * r.slowness
	remaining := time.Duration(projectedTime * (100 - r.percent) / 100)
	newRunTime := float64(spec.Estimate)
	if spec.SavesProgress {
		newRunTime *= (100 - r.percent) / 100
	}
	if remaining < time.Duration(newRunTime*minMoveGain)+moveCost {
		return false
	}
	return s.fitsElsewhere(r)
}

// updateSpeeds determines which workers are slow.
func (s *Shard) updateSpeeds(now time.Time) {
	for _, w := range s.sortedWorkers {
		slow := w.measuredSlow(now)
		if slow != w.isSlow {
			s.options.Log("worker-speed", "worker", w.ID, "slow", slow, "runs", len(w.runs))
		}
		w.isSlow = slow
	}
}
