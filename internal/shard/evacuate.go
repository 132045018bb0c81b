package shard

import "time"

const (
	// evacuationLead is how long before a worker leaves its last tasks are
	// stopped: a stop (0.9 s on the users' platform), and the age of the
	// list's entry (an interval of 1.5 s between two of them).
	evacuationLead = 2500 * time.Millisecond
)

// updateLeavesAt keeps the earliest time at which a draining worker may be gone.
// The same entry of the list may be read again later.
func (w *worker) updateLeavesAt(now time.Time) {
	if !w.Draining {
		w.leavesAt = time.Time{}
		return
	}
	if leaves := now.Add(w.Remaining); w.leavesAt.IsZero() || leaves.Before(w.leavesAt) {
		w.leavesAt = leaves
	}
}

// evacuateDraining stops what a draining worker would take with it, so that it starts
// elsewhere at once and not when its lease is over.
func (s *Shard) evacuateDraining(now time.Time) {
	for _, w := range s.sortedWorkers {
		if !w.Draining {
			continue
		}
		for _, r := range w.runs {
			if r.phase != phaseRunning || r.stopRequested || !s.mustEvacuate(now, r) {
				continue
			}
			s.options.Log("run-evacuated", "task", r.task.name(), "run", r.number, "worker", w.ID, "percent", r.percent, "leaves-in", w.leavesAt.Sub(now))
			s.stopRunOrGang(now, r)
		}
	}
}

// mustEvacuate reports whether a run is to be stopped now on its draining worker.
func (s *Shard) mustEvacuate(now time.Time, r *run) bool {
	st := r.task.step
	late := r.worker.leavesAt.Sub(now) < evacuationLead
	switch {
	case !st.spec.LongRunning && r.expectedEnd(now).Before(r.worker.leavesAt):
		return false // it ends before
	case late:
		return true
	case st.spec.LongRunning:
		return st.unavailable() < max(1, st.spec.MaxUnavailable) && s.roomElsewhere(r)
	case st.spec.SavesProgress:
		return false // what it does until then is kept
	}
	return s.roomElsewhere(r)
}

// unavailable is how many tasks of a step aren't at work.
func (st *step) unavailable() int {
	away := 0
	for _, t := range st.tasks {
		atWork := false
		for _, r := range t.runs {
			atWork = atWork || r.phase == phaseRunning && !r.stopRequested
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
	for _, w := range s.sortedWorkers {
		if w != r.worker && !w.isSlow && w.usable() && w.matches(r.task.step) && demand.Fits(w.free()) {
			return true
		}
	}
	return false
}
