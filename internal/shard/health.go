package shard

import "time"

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
)

// health is what runs have shown of a worker.
type health struct {
	failedJobs []string // different jobs that failed since the last success
	shunUntil  time.Time
	shunFor    time.Duration
	pauseUntil time.Time
}

func (h *health) failed(now time.Time, job string) {
	for _, known := range h.failedJobs {
		if known == job {
			return
		}
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
func (h *health) penalty(time.Time) float64 {
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
}

// restartStalled stops runs whose progress stands still.
func (s *Shard) restartStalled(now time.Time) {
	for _, w := range s.ordered {
		for _, r := range w.runs {
			atWork := r.task.step.spec.LongRunning && r.percent >= 100
			if r.phase != running || atWork || r.pace == 0 || w.lastReply.Sub(r.movedAt) < stalledAfter {
				continue
			}
			s.options.Log("run-stalled", "task", r.task.name(), "run", r.number, "worker", w.ID, "percent", r.percent, "still-for", now.Sub(r.movedAt))
			w.health.shun(now)
			r.task.avoid = w.ID
			s.stop(now, r)
		}
	}
}
