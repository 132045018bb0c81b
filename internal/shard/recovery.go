package shard

import "time"

// mayHaveUnknownRuns reports whether the worker may run something, or may have a result,
// that this leader doesn't know.
func (s *Shard) mayHaveUnknownRuns(now time.Time, w *worker) bool {
	switch {
	case !w.listsRead:
		return !s.leasesOver(now, w)
	case w.resultsIncomplete:
		return w.failedPolls == 0 || !s.leasesOver(now, w)
	}
	return false
}

// checkRecovered checks whether all runs of former leaders are known or over. If so,
// tasks of stored jobs may start.
func (s *Shard) checkRecovered(now time.Time) {
	if s.recovered {
		return
	}
	// Workers without a record have no runs of former leaders.
	for id := range s.workersToRead {
		if w := s.workers[id]; w != nil && s.mayHaveUnknownRuns(now, w) {
			return
		}
	}
	s.recovered = true
	s.placementChanged = true
	s.options.Log("settled", "service", s.options.Service, "after", now.Sub(s.loadedAt), "unread", s.unreadWorkers(), "bound", s.formerLeasesEnd().Sub(s.loadedAt), "proof-age", now.Sub(s.confirmedAt))
	// A gang that is incomplete after a change of leader is stopped, and starts anew.
	for _, j := range s.activeJobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				s.stopIncompleteGang(now, st)
			}
		}
	}
}

// unreadWorkers returns the number of workers that a former leader recorded and this one
// has not read.
func (s *Shard) unreadWorkers() int {
	count := 0
	for id := range s.workersToRead {
		if w := s.workers[id]; w != nil && !w.listsRead {
			count++
		}
	}
	return count
}

// stopIncompleteGang stops the runs of a gang if only some of its tasks have runs.
func (s *Shard) stopIncompleteGang(now time.Time, st *step) {
	if !st.spec.Gang || st.doneTasks == len(st.tasks) {
		return
	}
	withRuns := 0
	for _, t := range st.tasks {
		if len(t.runs) > 0 {
			withRuns++
		}
	}
	if withRuns == 0 || withRuns == len(st.tasks) {
		return
	}
	s.stopStep(now, st)
}
