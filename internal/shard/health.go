package shard

import (
	"math"
	"slices"
	"time"
)

const (
	// failuresToShun is how many different jobs must fail on a worker, with
	// no success between, before it is shunned.
	failuresToShun = 2
	// shunFirst and shunMost bound how long a worker is shunned; the time
	// doubles as long as the probe after it fails too.
	shunFirst = 5 * time.Second
	shunMost  = 20 * time.Second
	// refusedPause keeps new tasks from a worker that says it is unhealthy.
	refusedPause = 500 * time.Millisecond
	// stalledAfter is how long a run's progress may stand still. A sound run
	// of the longest work (11 s) moves by a percent each 110 ms; six times
	// slower it still moves within 0.7 s, and reports come each 1.5 s.
	stalledAfter = 3 * time.Second
	// forever is the patience with a service that is at work.
	forever = 1 << 62 * time.Nanosecond
)

// health is what runs have shown of a worker.
type health struct {
	ended      []slowSample // slowness of the last runs that were done
	failedJobs []string     // different jobs that failed since the last success
	shunUntil  time.Time
	shunFor    time.Duration
	pauseUntil time.Time
}

func (h *health) failed(now time.Time, job string) {
	if slices.Contains(h.failedJobs, job) {
		return
	}
	h.failedJobs = append(h.failedJobs, job)
	if len(h.failedJobs) >= failuresToShun {
		h.shun(now)
	}
}

func (h *health) shun(now time.Time) {
	if now.Before(h.shunUntil) {
		return
	}
	h.shunFor = min(max(shunFirst, 2*h.shunFor), shunMost)
	h.shunUntil = now.Add(h.shunFor)
	// The probe after it is judged by its first failure.
	h.failedJobs = h.failedJobs[:min(len(h.failedJobs), failuresToShun-1)]
}

// noteShunned logs that a worker gets no new task for a while.
func (s *Shard) noteShunned(now time.Time, w *worker, before bool, cause string) {
	if !before && w.health.shunned(now) {
		s.options.Log("worker-shunned", "worker", w.ID, "cause", cause, "for", w.health.shunUntil.Sub(now), "runs", len(w.runs))
	}
}

func (h *health) succeeded() {
	h.failedJobs = nil
	h.shunFor = 0
	h.shunUntil = time.Time{}
}

func (h *health) refused(now time.Time) { h.pauseUntil = now.Add(refusedPause) }

// shunned reports whether nothing new is to be placed on the worker.
func (h *health) shunned(now time.Time) bool {
	return now.Before(h.shunUntil) || now.Before(h.pauseUntil)
}

// penalty makes a worker with an unexplained failure the last choice.
func (h *health) penalty() float64 {
	if len(h.failedJobs) > 0 {
		return 1
	}
	return 0
}

// learn takes the time of a run that was done.
func (s *Shard) learn(now time.Time, r *run, duration time.Duration) {
	if r == nil {
		return
	}
	r.worker.health.succeeded()
	if estimate := r.task.step.spec.Estimate; estimate > 0 && !r.adopted() {
		r.worker.health.note(now, r.task.step.occurrence.job.id, float64(duration)/float64(estimate))
	}
}

// slowSample is the slowness of one run.
type slowSample struct {
	at    time.Time
	job   string
	ratio float64
}

const (
	// slowSamples is how many ended runs a worker is judged by, and
	// slowSampleAge how old they may be.
	slowSamples   = 6
	slowSampleAge = 10 * time.Second
	// slowFactor times its estimate is a run's time from which on its worker
	// counts as slow: estimates are off by half, and data elsewhere doubles it.
	slowFactor = 2.8
	// slowJobs is how many jobs have to show it, and surelySlowJobs how many
	// if they show surelySlowFactor.
	slowJobs         = 3
	surelySlowJobs   = 2
	surelySlowFactor = 4
	// measureAfter is the time of a run before its progress says anything.
	measureAfter = 400 * time.Millisecond
	// slowPenalty makes a slow worker the last choice but for far data.
	slowPenalty = 4
	// maxMoves is how often a task is moved: work whose estimate is far off
	// is slow everywhere.
	maxMoves = 2
	// moveGain is how much sooner a moved run has to end, as a multiple.
	moveGain = 1.5
	// moveCost covers the stop of the run that is given up (0.9 s on the
	// users' platform) and the restart.
	moveCost = time.Second
)

func (h *health) note(now time.Time, job string, ratio float64) {
	if len(h.ended) == slowSamples {
		h.ended = h.ended[1:]
	}
	h.ended = append(h.ended, slowSample{now, job, ratio})
}

// adopted runs were started by a former holder, at an unknown time.
func (r *run) adopted() bool { return r.tries == 0 }

// measure estimates a run's whole time from its progress between reports.
func (r *run) measure(now time.Time) {
	estimate := r.task.step.spec.Estimate
	if estimate <= 0 || r.task.step.spec.LongRunning {
		return
	}
	if r.beganAt.IsZero() {
		r.began, r.beganAt = r.percent, now
		if !r.adopted() && r.task.checkpoint == "" {
			r.began, r.beganAt = 0, r.startedAt
		}
	}
	if elapsed := now.Sub(r.beganAt); elapsed >= measureAfter && r.percent > r.began {
		r.slowness = float64(elapsed) * 100 / (r.percent - r.began) / float64(estimate)
	}
}

// slow reports whether the worker's runs take far longer than they should.
// One job's estimate may be far off, so runs of several jobs have to agree.
func (w *worker) slow(now time.Time) bool {
	byJob := map[string]float64{}
	note := func(job string, ratio float64) {
		if least, known := byJob[job]; !known || ratio < least {
			byJob[job] = ratio
		}
	}
	for _, sample := range w.health.ended {
		if now.Sub(sample.at) <= slowSampleAge {
			note(sample.job, sample.ratio)
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
	return len(byJob) >= slowJobs && least >= slowFactor || len(byJob) >= surelySlowJobs && least >= surelySlowFactor
}

// moveSlow stops runs on slow workers that would end sooner elsewhere.
func (s *Shard) moveSlow(now time.Time) {
	for _, w := range s.ordered {
		if !w.isSlow {
			continue
		}
		for _, r := range w.runs {
			if r.phase != running || r.asked || r.task.step.spec.Speculative || r.task.moves >= maxMoves || r.slowness < slowFactor || !s.endsSooner(now, r) {
				continue
			}
			s.options.Log("run-moved", "task", r.task.name(), "run", r.number, "worker", w.ID, "percent", r.percent, "slowness", r.slowness)
			r.task.avoid = w.ID
			r.task.moves++
			w.health.note(now, r.task.step.occurrence.job.id, r.slowness)
			s.stopWhole(now, r)
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
	if left < time.Duration(again*moveGain)+moveCost {
		return false
	}
	return s.roomElsewhere(r)
}

// judgeSpeed notes which workers are slow.
func (s *Shard) judgeSpeed(now time.Time) {
	for _, w := range s.ordered {
		slow := w.slow(now)
		if slow != w.isSlow {
			s.options.Log("worker-speed", "worker", w.ID, "slow", slow, "runs", len(w.runs))
		}
		w.isSlow = slow
	}
}

// patience is how long a run's progress may stand still. At its end it says
// nothing: the member of a gang that is ready waits for the others, which may
// take half as long again away from its rack.
func (r *run) patience() time.Duration {
	switch {
	case r.percent < 100:
		return stalledAfter
	case r.task.step.spec.LongRunning:
		return forever
	}
	return stalledAfter + r.movedAt.Sub(r.startedAt)/2
}

// restartStalled stops runs whose progress stands still.
func (s *Shard) restartStalled(now time.Time) {
	for _, w := range s.ordered {
		for _, r := range w.runs {
			if r.phase != running || w.lastReply.Sub(r.movedAt) < r.patience() {
				continue
			}
			s.options.Log("run-stalled", "task", r.task.name(), "run", r.number, "worker", w.ID, "percent", r.percent, "still-for", now.Sub(r.movedAt))
			before := w.health.shunned(now)
			w.health.shun(now)
			s.noteShunned(now, w, before, "stalled")
			r.task.avoid = w.ID
			s.stop(now, r)
		}
	}
}
