package shard

import "time"

const (
	// minPace is the speed in percent below which a best-effort task is halted: a
	// slower task does little work and still disturbs serving tasks.
	minPace = 20
	// fullPace is the full speed in percent.
	fullPace = 100
	// The best-effort tasks on a worker speed up again only while the tail latency of
	// each serving task on it is below speedUpShare of its target.
	speedUpShare = 0.7
	// speedUpDelay is the pause before each speed-up. The tail latency that a
	// worker reports covers the last half second, and loads change within seconds.
	speedUpDelay = 2 * time.Second
	// throttledPenalty is added to the score of a worker with slowed best-effort
	// tasks, so that new ones start on other workers if they fit there.
	throttledPenalty = 3
)

// paceUnknown is the pace of a run whose speed isn't known: a former leader may have
// set it, or the last Pace command failed.
const paceUnknown = -1

// mayBeHalted reports whether the run makes no progress because a leader halted it, or may
// have.
func (r *run) mayBeHalted() bool { return r.task.step.spec.BestEffort && r.pace <= 0 }

// adjustPace slows the best-effort tasks on a worker whose serving tasks exceed their
// tail latency target, and speeds them up again once there is slack. The target may
// be missed for a few seconds only, so each report halves the speed, or halts the
// tasks if a further halving would go below minPace: the second report halts them.
func (s *Shard) adjustPace(now time.Time, w *worker) {
	over, slack := w.compareTailLatency()
	formerPace := w.bestEffortPace
	switch {
	case over && w.bestEffortPace > minPace:
		w.bestEffortPace /= 2
		if w.bestEffortPace/2 < minPace {
			w.bestEffortPace = 0
		}
	case over:
		w.bestEffortPace = 0
	case slack && w.bestEffortPace < fullPace && now.Sub(w.paceSetAt) >= speedUpDelay:
		w.bestEffortPace = min(fullPace, max(minPace, 2*w.bestEffortPace))
	}
	if over || w.bestEffortPace != formerPace {
		w.paceSetAt = now
	}
	if w.bestEffortPace != formerPace {
		s.options.Log("fillers-paced", "worker", w.ID, "percent", w.bestEffortPace, "before", formerPace, "over-target", over)
	}
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase == phaseRunning && r.pace != w.bestEffortPace && s.authority {
			r.pace = w.bestEffortPace
			s.commands.Paces = append(s.commands.Paces, Pace{RunKey: RunKey{r.task.name(), r.number}, Target: w.target(), Percent: w.bestEffortPace})
		}
	}
}

// compareTailLatency reports whether any serving task of the worker exceeds its tail
// latency target, and whether all of them are well below it.
func (w *worker) compareTailLatency() (over, slack bool) {
	slack = true
	for _, r := range w.runs {
		spec := r.task.step.spec
		if spec.TailLatencyTarget <= 0 || r.phase != phaseRunning || r.percent < fullPace {
			continue
		}
		tailLatency := time.Duration(r.usage * float64(time.Millisecond))
		over = over || tailLatency > spec.TailLatencyTarget
		slack = slack && float64(tailLatency) < speedUpShare*float64(spec.TailLatencyTarget)
	}
	return over, slack
}

// PaceAnswered handles the answer to a Pace; done is false if the call failed. The
// speed is then ordered again after the worker's next report.
func (s *Shard) PaceAnswered(worker string, key RunKey, done bool) {
	if r := s.findRun(worker, key); r != nil && !done {
		r.pace = paceUnknown
	}
}
