package shard

import "time"

const (
	// evacuationLead is the time before a draining worker leaves at which its last
	// runs are stopped. It covers a stop (0.9 s on the users' platform) and the age
	// of the worker's list entry (1.5 s between two updates).
	evacuationLead = 2500 * time.Millisecond
)

// updateLeavesAt sets the time at which a draining worker may be gone. It keeps the
// earliest one: a list entry that is read again without an update gives a time that is
// too late, as its remaining time counts from the update.
func (w *worker) updateLeavesAt(now time.Time) {
	if !w.Draining {
		w.leavesAt = time.Time{}
		return
	}
	if leaves := now.Add(w.Remaining); w.leavesAt.IsZero() || leaves.Before(w.leavesAt) {
		w.leavesAt = leaves
	}
}

// evacuateDraining stops the runs that would be lost when a draining worker leaves,
// so that their tasks start elsewhere at once and not only after the lease.
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

// mustEvacuate reports whether a run on a draining worker has to be stopped now.
func (s *Shard) mustEvacuate(now time.Time, r *run) bool {
	st := r.task.step
	leavesSoon := r.worker.leavesAt.Sub(now) < evacuationLead
	switch {
	case !st.spec.LongRunning && r.expectedEnd(now).Before(r.worker.leavesAt):
		return false // it ends before the worker leaves
	case leavesSoon:
		return true
	case st.spec.LongRunning:
		return st.unavailable() < max(1, st.spec.MaxUnavailable) && s.fitsElsewhere(r)
	case st.spec.SavesProgress:
		return false // it continues elsewhere with the progress that it makes until then
	}
	return s.fitsElsewhere(r)
}

// unavailable returns the number of tasks of a step that are neither done nor
// running.
func (st *step) unavailable() int {
	unavailable := 0
	for _, t := range st.tasks {
		running := false
		for _, r := range t.runs {
			running = running || r.phase == phaseRunning && !r.stopRequested
		}
		if !running && !t.done {
			unavailable++
		}
	}
	return unavailable
}

// fitsElsewhere reports whether the run's task fits on another worker that isn't
// slow.
func (s *Shard) fitsElsewhere(r *run) bool {
	demand := r.task.step.spec.Reserved()
	for _, w := range s.sortedWorkers {
		if w != r.worker && !w.isSlow && w.usable() && w.matches(r.task.step) && demand.Fits(w.free()) {
			return true
		}
	}
	return false
}
