package shard

import "time"

// speedCheckInterval is the pause between two judgements of the workers' speed.
const speedCheckInterval = 200 * time.Millisecond

// cleanupInterval bounds how often ended jobs and workers are looked through.
const cleanupInterval = 500 * time.Millisecond

// Tick does what is due: occurrences, looks at workers, repeated stops, ended
// leases, and placement if anything changed. It is called after each group of
// inputs and at least every 50 ms.
func (s *Shard) Tick(now time.Time) {
	s.checkRecovered(now)
	for _, j := range s.active {
		if j.accepted.Spec.Repeat > 0 && !j.state.Ended() && j.nextOccurrence < j.accepted.Spec.Occurrences() {
			s.createDueOccurrences(now, j)
		}
	}
	s.resendStops(now)
	s.expireLeases(now)
	s.stopStalledRuns(now)
	if now.Sub(s.lastSpeedCheck) >= speedCheckInterval {
		s.lastSpeedCheck = now
		s.updateSpeeds(now)
		s.moveSlowRuns(now)
		s.evacuateDraining(now)
	}
	if s.passDue(now) {
		s.lastPass = now
		s.schedule(now)
	}
	s.sendDuePolls(now)
	if now.Sub(s.lastCleanup) >= cleanupInterval {
		s.lastCleanup = now
		s.removeEndedJobs(now)
		s.forgetWorkers(now)
		s.deleteIdleRecords()
		s.removeExpiredJobs(now)
	}
}

const (
	// busyPassInterval is the pause between two placement passes while more than
	// longQueue steps wait: a pass then costs up to a millisecond, and inputs
	// come by the hundred a second.
	busyPassInterval = 15 * time.Millisecond
	busyStepCount    = 12
	// idlePassInterval is the pause between passes without a change: pauses of tasks
	// and tickets end with time alone.
	idlePassInterval = 50 * time.Millisecond
)

// passDue reports whether waiting tasks are to be placed now.
func (s *Shard) passDue(now time.Time) bool {
	since := now.Sub(s.lastPass)
	switch {
	case s.placementChanged && len(s.readySteps) <= busyStepCount:
		return true
	case s.placementChanged:
		return since >= busyPassInterval
	}
	return len(s.readySteps) > 0 && since >= idlePassInterval
}
