package shard

import "time"

const (
	// paceLow is the pace below which a filling task is halted: at less it
	// does little and still disturbs.
	paceLow = 20
	// paceFull is the pace at which a task works as if it were alone.
	paceFull = 100
	// easeShare is the share of its target below which a serving task's tail
	// has to stay before the tasks that fill beside it work faster again.
	easeShare = 0.7
	// easeAfter is the pause before each step up: the tail that a worker
	// reports is that of the last half second, and loads change within seconds.
	easeAfter = 2 * time.Second
	// pacedPenalty keeps new filling tasks from workers whose serving tasks
	// are disturbed, if others have room.
	pacedPenalty = 3
)

// paceUnknown is the pace of a run that a former holder may have paced.
const paceUnknown = -1

// pace slows the tasks that fill beside serving ones whose tail is over its
// target, and lets them work faster again once there is slack. The target may
// be missed for a few seconds only, so each report of the worker halves their
// pace, and the second one halts them.
func (s *Shard) pace(now time.Time, w *worker) {
	over, slack := w.tails()
	before := w.fillPace
	switch {
	case over && w.fillPace > paceLow:
		w.fillPace /= 2
		if w.fillPace/2 < paceLow {
			w.fillPace = 0
		}
	case over:
		w.fillPace = 0
	case slack && w.fillPace < paceFull && now.Sub(w.pacedAt) >= easeAfter:
		w.fillPace = min(paceFull, max(paceLow, 2*w.fillPace))
	}
	if over || w.fillPace != before {
		w.pacedAt = now
	}
	if w.fillPace != before {
		s.options.Log("fillers-paced", "worker", w.ID, "percent", w.fillPace, "before", before, "over-target", over)
	}
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase == running && r.pace != w.fillPace && s.authority {
			r.pace = w.fillPace
			s.commands.Paces = append(s.commands.Paces, Pace{RunKey: RunKey{r.task.name(), r.number}, Target: w.target(), Percent: w.fillPace})
		}
	}
}

// tails reports whether a serving task of the worker is over its target, and
// whether all of them are well below it.
func (w *worker) tails() (over, slack bool) {
	slack = true
	for _, r := range w.runs {
		spec := r.task.step.spec
		if spec.TailLatencyTarget <= 0 || r.phase != running || r.percent < paceFull {
			continue
		}
		tail := time.Duration(r.usage * float64(time.Millisecond))
		over = over || tail > spec.TailLatencyTarget
		slack = slack && float64(tail) < easeShare*float64(spec.TailLatencyTarget)
	}
	return over, slack
}

// PaceAnswered takes the answer to a Pace. One that failed is sent again after
// the worker's next report.
func (s *Shard) PaceAnswered(worker string, key RunKey, done bool) {
	if r := s.lookup(worker, key); r != nil && !done {
		r.pace = paceUnknown
	}
}
