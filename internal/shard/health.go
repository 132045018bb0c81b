package shard

import (
	"math"
	"slices"
	"time"
)

const (
	// quarantineFailures is how many different jobs must fail on a worker, with
	// no success between, before it is shunned.
	quarantineFailures = 2
	// minQuarantine and shunMost bound how long a worker is shunned; the time
	// doubles as long as the probe after it fails too.
	minQuarantine = 5 * time.Second
	maxQuarantine = 20 * time.Second
	// refusalPause keeps new tasks from a worker that says it is unhealthy.
	refusalPause = 500 * time.Millisecond
	// stalledAfter is how long a run's progress may stand still. A sound run
	// of the longest work (11 s) moves by a percent each 110 ms; six times
	// slower it still moves within 0.7 s, and reports come each 1.5 s.
	stalledAfter = 3 * time.Second
	// noStallTimeout is the patience with a service that is at work.
	noStallTimeout = 1 << 62 * time.Nanosecond
)

// health is what runs have shown of a worker.
type health struct {
	samples        []slownessSample // slowness of the last runs that were done
	failedJobs     []string         // different jobs that failed since the last success
	quarantineEnd  time.Time
	quarantineTime time.Duration
	pauseEnd       time.Time
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
	// The probe after it is judged by its first failure.
	h.failedJobs = h.failedJobs[:min(len(h.failedJobs), quarantineFailures-1)]
}

// logQuarantine logs that a worker gets no new task for a while.
func (s *Shard) logQuarantine(now time.Time, w *worker, before bool, cause string) {
	if !before && w.health.excluded(now) {
		s.options.Log("worker-shunned", "worker", w.ID, "cause", cause, "for", w.health.quarantineEnd.Sub(now), "runs", len(w.runs))
	}
}

func (h *health) recordSuccess() {
	h.failedJobs = nil
	h.quarantineTime = 0
	h.quarantineEnd = time.Time{}
}

func (h *health) pause(now time.Time) { h.pauseEnd = now.Add(refusalPause) }

// excluded reports whether nothing new is to be placed on the worker.
func (h *health) excluded(now time.Time) bool {
	return now.Before(h.quarantineEnd) || now.Before(h.pauseEnd)
}

// penalty makes a worker with an unexplained failure the last choice.
func (h *health) penalty() float64 {
	if len(h.failedJobs) > 0 {
		return 1
	}
	return 0
}

// recordRunTime takes the time of a run that was done.
func (s *Shard) recordRunTime(now time.Time, r *run, duration time.Duration) {
	if r == nil {
		return
	}
	r.worker.health.recordSuccess()
	if estimate := r.task.step.spec.Estimate; estimate > 0 && !r.adopted() {
		r.worker.health.addSample(now, r.task.step.occurrence.job.id, float64(duration)/float64(estimate))
	}
}

// slownessSample is the slowness of one run.
type slownessSample struct {
	at       time.Time
	job      string
	slowness float64
}

const (
	// maxSamples is how many ended runs a worker is judged by, and
	// slowSampleAge how old they may be.
	maxSamples   = 6
	maxSampleAge = 10 * time.Second
	// slowFactor times its estimate is a run's time from which on its worker
	// counts as slow: estimates are off by half, and data elsewhere doubles it.
	slowFactor = 2.8
	// minSlowJobs is how many jobs have to show it, and surelySlowJobs how many
	// if they show surelySlowFactor.
	minSlowJobs     = 3
	minVerySlowJobs = 2
	verySlowFactor  = 4
	// minMeasuredTime is the time of a run before its progress says anything.
	minMeasuredTime = 400 * time.Millisecond
	// slowPenalty makes a slow worker the last choice but for far data.
	slowPenalty = 4
	// maxMoves is how often a task is moved: work whose estimate is far off
	// is slow everywhere.
	maxMoves = 2
	// minMoveGain is how much sooner a moved run has to end, as a multiple.
	minMoveGain = 1.5
	// moveCost covers the stop of the run that is given up (0.9 s on the
	// users' platform) and the restart.
	moveCost = time.Second
)

func (h *health) addSample(now time.Time, job string, ratio float64) {
	if len(h.samples) == maxSamples {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, slownessSample{now, job, ratio})
}

// adopted runs were started by a former holder, at an unknown time.
func (r *run) adopted() bool { return r.startAttempts == 0 }

// updateSlowness estimates a run's whole time from its progress between reports.
func (r *run) updateSlowness(now time.Time) {
	estimate := r.task.step.spec.Estimate
	if estimate <= 0 || r.task.step.spec.LongRunning {
		return
	}
	if r.firstPercentAt.IsZero() {
		r.firstPercent, r.firstPercentAt = r.percent, now
		if !r.adopted() && r.task.checkpoint == "" {
			r.firstPercent, r.firstPercentAt = 0, r.startedAt
		}
	}
	if elapsed := now.Sub(r.firstPercentAt); elapsed >= minMeasuredTime && r.percent > r.firstPercent {
		r.slowness = float64(elapsed) * 100 / (r.percent - r.firstPercent) / float64(estimate)
	}
}

// measuredSlow reports whether the worker's runs take far longer than they should.
// One job's estimate may be far off, so runs of several jobs have to agree.
func (w *worker) measuredSlow(now time.Time) bool {
	byJob := map[string]float64{}
	note := func(job string, ratio float64) {
		if least, known := byJob[job]; !known || ratio < least {
			byJob[job] = ratio
		}
	}
	for _, sample := range w.health.samples {
		if now.Sub(sample.at) <= maxSampleAge {
			note(sample.job, sample.slowness)
		}
	}
	for _, r := range w.runs {
		if r.slowness > 0 {
			note(r.task.step.occurrence.job.id, r.slowness)
		}
	}
	least := math.Inf(1)
	for _, ratio := range byJob {
		least = min(least, ratio)
	}
	return len(byJob) >= minSlowJobs && least >= slowFactor || len(byJob) >= minVerySlowJobs && least >= verySlowFactor
}

// moveSlowRuns stops runs on slow workers that would end sooner elsewhere.
func (s *Shard) moveSlowRuns(now time.Time) {
	for _, w := range s.sortedWorkers {
		if !w.isSlow {
			continue
		}
		for _, r := range w.runs {
			if r.phase != phaseRunning || r.stopRequested || r.task.step.spec.Speculative || r.task.moveCount >= maxMoves || r.slowness < slowFactor || !s.endsSooner(now, r) {
				continue
			}
			s.options.Log("run-moved", "task", r.task.name(), "run", r.number, "worker", w.ID, "percent", r.percent, "slowness", r.slowness)
			r.task.avoidWorker = w.ID
			r.task.moveCount++
			w.health.addSample(now, r.task.step.occurrence.job.id, r.slowness)
			s.stopRunOrGang(now, r)
		}
	}
}

// endsSooner reports whether a run would end sooner on a sound worker, and
// whether one has room for it.
func (s *Shard) endsSooner(now time.Time, r *run) bool {
	spec := r.task.step.spec
	whole := float64(spec.Estimate) * r.slowness
	left := time.Duration(whole * (100 - r.percent) / 100)
	again := float64(spec.Estimate)
	if spec.SavesProgress {
		again *= (100 - r.percent) / 100
	}
	if left < time.Duration(again*minMoveGain)+moveCost {
		return false
	}
	return s.roomElsewhere(r)
}

// updateSpeeds notes which workers are slow.
func (s *Shard) updateSpeeds(now time.Time) {
	for _, w := range s.sortedWorkers {
		slow := w.measuredSlow(now)
		if slow != w.isSlow {
			s.options.Log("worker-speed", "worker", w.ID, "slow", slow, "runs", len(w.runs))
		}
		w.isSlow = slow
	}
}

// stallTimeout is how long a run's progress may stand still. At its end it says
// nothing: the member of a gang that is ready waits for the others, which may
// take half as long again away from its rack.
func (r *run) stallTimeout() time.Duration {
	switch {
	case r.percent < 100:
		return stalledAfter
	case r.task.step.spec.LongRunning:
		return noStallTimeout
	}
	return stalledAfter + r.progressedAt.Sub(r.startedAt)/2
}

// stopStalledRuns stops runs whose progress stands still.
func (s *Shard) stopStalledRuns(now time.Time) {
	for _, w := range s.sortedWorkers {
		for _, r := range w.runs {
			if r.phase != phaseRunning || w.lastReply.Sub(r.progressedAt) < r.stallTimeout() {
				continue
			}
			s.options.Log("run-stalled", "task", r.task.name(), "run", r.number, "worker", w.ID, "percent", r.percent, "still-for", now.Sub(r.progressedAt))
			before := w.health.excluded(now)
			w.health.quarantine(now)
			s.logQuarantine(now, w, before, "stalled")
			r.task.avoidWorker = w.ID
			s.stopRun(now, r)
		}
	}
}
