package shard

import "time"

// StartCopies starts a second run of each task of a step, as placeCopies does
// for runs on slow workers.
func (s *Shard) StartCopies(now time.Time, step string) {
	key, err := parseTask(step + ".0")
	if err != nil {
		return
	}
	for _, t := range s.find(key).step.tasks {
		for _, w := range s.ordered {
			if len(t.runs) == 1 && t.runs[0].worker != w {
				s.order(now, t, w, t.lastRun+1, "")
				break
			}
		}
	}
}

// Jobs returns the number of jobs that aren't ended, and of tasks that run.
func (s *Shard) Jobs() (open, tasks int) {
	for _, j := range s.active {
		if !j.state.Ended() {
			open++
		}
		tasks += j.runs
	}
	return open, tasks
}
