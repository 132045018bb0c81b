package shard

import "time"

const (
	// minPace is the pace below which a filling task is halted: at less it
	// does little and still disturbs.
	minPace = 20
	// fullPace is the pace at which a task works as if it were alone.
	fullPace = 100
	// speedUpShare is the share of its target below which a serving task's tail
	// has to stay before the tasks that fill beside it work faster again.
	speedUpShare = 0.7
	// speedUpDelay is the pause before each step up: the tail that a worker
	// reports is that of the last half second, and loads change within seconds.
	speedUpDelay = 2 * time.Second
	// slowedPenalty keeps new filling tasks from workers whose serving tasks
	// are disturbed, if others have room.
	slowedPenalty = 3
)

// paceUnknown is the pace of a run that a former holder may have paced.
const paceUnknown = -1

// adjustPace slows the tasks that fill beside serving ones whose tail is over its
// target, and lets them work faster again once there is slack. The target may
// be missed for a few seconds only, so each report of the worker halves their
// adjustPace, and the second one halts them.
func (s *Shard) adjustPace(now time.Time, w *worker) {
	over, slack := w.servingTails()
	before := w.bestEffortPace
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
	if over || w.bestEffortPace != before {
		w.paceSetAt = now
	}
	if w.bestEffortPace != before {
		s.options.Log("fillers-paced", "worker", w.ID, "percent", w.bestEffortPace, "before", before, "over-target", over)
	}
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase == phaseRunning && r.pace != w.bestEffortPace && s.authority {
			r.pace = w.bestEffortPace
			s.commands.Paces = append(s.commands.Paces, Pace{RunKey: RunKey{r.task.name(), r.number}, Target: w.target(), Percent: w.bestEffortPace})
		}
	}
}

// servingTails reports whether a serving task of the worker is over its target, and
// whether all of them are well below it.
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

// PaceAnswered takes the answer to a Pace. One that failed is sent again after
// the worker's next report.
func (s *Shard) PaceAnswered(worker string, key RunKey, done bool) {
	if r := s.findRun(worker, key); r != nil && !done {
		r.pace = paceUnknown
	}
}
