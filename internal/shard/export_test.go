package shard

import "time"

// StartSpeculative starts a second run of each task of a step, as placeCopies does
// for runs on slow workers.
func (s *Shard) StartSpeculative(now time.Time, step string) {
	key, err := parseTask(step + ".0")
	if err != nil {
		return
	}
	for _, t := range s.findTask(key).step.tasks {
		for _, w := range s.sortedWorkers {
			if len(t.runs) == 1 && t.runs[0].worker != w {
				s.startRun(now, t, w, t.lastRun+1, "")
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
		tasks += j.runCount
	}
	return open, tasks
}
