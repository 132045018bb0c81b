package shard

import "time"

// StartSpeculative starts a second run of each task of a step, as placeSpeculative
// does for runs on slow workers.
func (s *Shard) StartSpeculative(now time.Time, step string) {
	key, err := parseTask(step + ".0")
	if err != nil {
		return
	}
	for _, t := range s.findTask(key).step.tasks {
		for _, w := range s.sortedWorkers {
			if len(t.runs) == 1 && t.runs[0].worker != w {
				s.startRun(now, t, w, t.lastRunNumber+1, "")
				break
			}
		}
	}
}

// CountJobsAndRuns returns the number of jobs that have not ended, and the number of runs.
func (s *Shard) CountJobsAndRuns() (openJobs, runs int) {
	for _, j := range s.activeJobs {
		if !j.state.Ended() {
			openJobs++
		}
		runs += j.runCount
	}
	return openJobs, runs
}

// SeenCapacities returns the number of worker capacities that are kept in memory.
func (s *Shard) SeenCapacities() int { return len(s.seenCapacities) }

// OpenTasks returns the number of tasks that are kept in memory.
func (s *Shard) OpenTasks() int { return s.openTasks }

// Evaluations returns how many workers placement passes have evaluated for steps so far.
func (s *Shard) Evaluations() int { return s.evaluations }

// RunChecks returns how often all runs were checked so far.
func (s *Shard) RunChecks() int { return s.runChecks }

// RunCheckInterval is the time between two checks of all runs.
const RunCheckInterval = runCheckInterval

// BusyPassInterval is the least time between two passes while many steps wait.
const BusyPassInterval = busyPassInterval

// MaxTriedWithoutTicket is how many steps without a valid ticket a pass may try.
const MaxTriedWithoutTicket = maxTicketWaits + maxPlans

// LimitBatches sets the size in bytes above which a batch takes no more jobs.
func (s *Shard) LimitBatches(size int) { s.maxBatchBytes = size }
