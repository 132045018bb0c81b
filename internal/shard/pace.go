package shard

import "time"

const (
	// minPace is the speed below which a best-effort task is halted: slower, it
	// does little work and still disturbs serving tasks.
	minPace = 20
	// fullPace is the full speed.
	fullPace = 100
	// The best-effort tasks on a worker speed up again once the tail latency of
	// each of its serving tasks is below speedUpShare of the target.
	speedUpShare = 0.7
	// speedUpDelay is the pause before each speed-up. The tail latency that a
	// worker reports covers the last half second, and loads change within seconds.
	speedUpDelay = 2 * time.Second
	// slowedPenalty keeps new best-effort tasks off workers whose serving tasks
	// are disturbed, if others have room.
	slowedPenalty = 3
)

// paceUnknown is the pace of a run whose speed isn't known: a former leader may have
// set it, or the last order failed.
const paceUnknown = -1

// adjustPace slows the best-effort tasks on a worker whose serving tasks exceed their
// tail latency target, and speeds them up again once there is slack. The target may
// be missed for a few seconds only, so each report halves the speed, and the second
// one halts the tasks.
func (s *Shard) adjustPace(now time.Time, w *worker) {
	over, slack := w.servingTails()
	former := w.bestEffortPace
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
	if over || w.bestEffortPace != former {
		w.paceSetAt = now
	}
	if w.bestEffortPace != former {
		s.options.Log("fillers-paced", "worker", w.ID, "percent", w.bestEffortPace, "before", former, "over-target", over)
	}
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase == phaseRunning && r.pace != w.bestEffortPace && s.authority {
			r.pace = w.bestEffortPace
			s.commands.Paces = append(s.commands.Paces, Pace{RunKey: RunKey{r.task.name(), r.number}, Target: w.target(), Percent: w.bestEffortPace})
		}
	}
}

// servingTails reports whether a serving task of the worker exceeds its tail latency
// target, and whether all of them are well below it.
func (w *worker) servingTails() (over, slack bool) {
	slack = true
	for _, r := range w.runs {
		spec := r.task.step.spec
		if spec.TailLatencyTarget <= 0 || r.phase != phaseRunning || r.percent < fullPace {
			continue
		}
		tail := time.Duration(r.usage * float64(time.Millisecond))
		over = over || tail > spec.TailLatencyTarget
		slack = slack && float64(tail) < speedUpShare*float64(spec.TailLatencyTarget)
	}
	return over, slack
}

// PaceAnswered handles the answer to a Pace. After a failure the order is sent again
// with the worker's next report.
func (s *Shard) PaceAnswered(worker string, key RunKey, done bool) {
	if r := s.findRun(worker, key); r != nil && !done {
		r.pace = paceUnknown
	}
}
