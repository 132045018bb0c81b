package shard

import "time"

const (
	// evacuateLate is how long before a worker leaves its last tasks are
	// stopped: a stop (0.9 s on the users' platform), and the age of the
	// list's entry (an interval of 1.5 s between two of them).
	evacuateLate = 2500 * time.Millisecond
)

// noteLeaving keeps the earliest time at which a draining worker may be gone.
// The same entry of the list may be read again later.
func (w *worker) noteLeaving(now time.Time) {
	if !w.Draining {
		w.leavesAt = time.Time{}
		return
	}
	if leaves := now.Add(w.Remaining); w.leavesAt.IsZero() || leaves.Before(w.leavesAt) {
		w.leavesAt = leaves
	}
}

// evacuate stops what a draining worker would take with it, so that it starts
// elsewhere at once and not when its lease is over.
func (s *Shard) evacuate(now time.Time) {
	for _, w := range s.ordered {
		if !w.Draining {
			continue
		}
		for _, r := range w.runs {
			if r.phase != running || r.asked || !s.mustLeave(now, r) {
				continue
			}
			s.options.Log("run-evacuated", "task", r.task.name(), "run", r.number, "worker", w.ID, "percent", r.percent, "leaves-in", w.leavesAt.Sub(now))
			s.stopWhole(now, r)
		}
	}
}

// mustLeave reports whether a run is to be stopped now on its draining worker.
func (s *Shard) mustLeave(now time.Time, r *run) bool {
	st := r.task.step
	late := r.worker.leavesAt.Sub(now) < evacuateLate
	switch {
	case !st.spec.LongRunning && r.expectedEnd(now).Before(r.worker.leavesAt):
		return false // it ends before
	case late:
		return true
	case st.spec.LongRunning:
		return st.away() < max(1, st.spec.MaxUnavailable) && s.roomElsewhere(r)
	case st.spec.SavesProgress:
		return false // what it does until then is kept
	}
	return s.roomElsewhere(r)
}

// away is how many tasks of a step aren't at work.
func (st *step) away() int {
	away := 0
	for _, t := range st.tasks {
		atWork := false
		for _, r := range t.runs {
			atWork = atWork || r.phase == running && !r.asked
		}
		if !atWork && !t.done {
			away++
		}
	}
	return away
}

// roomElsewhere reports whether a sound worker has room for a run's task.
func (s *Shard) roomElsewhere(r *run) bool {
	demand := r.task.step.spec.Reserved()
	for _, w := range s.ordered {
		if w != r.worker && !w.isSlow && w.usable() && w.matches(r.task.step) && demand.Fits(w.free()) {
			return true
		}
	}
	return false
}
