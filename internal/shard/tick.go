package shard

import "time"

// speedCheckInterval is the pause between two checks of the workers' speed.
const speedCheckInterval = 200 * time.Millisecond

// cleanupInterval is the pause between two removals of ended jobs and lost workers.
const cleanupInterval = 500 * time.Millisecond

// Tick does what is due at the given time: it creates occurrences, polls workers,
// resends stops, ends runs whose lease is over, and places tasks if anything
// changed. Call it after each group of events and at least every 50 ms.
func (s *Shard) Tick(now time.Time) {
	s.checkRecovered(now)
	for _, j := range s.activeJobs {
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
	// busyStepCount steps wait. A pass then takes up to a millisecond, and events
	// arrive by the hundred per second.
	busyPassInterval = 15 * time.Millisecond
	busyStepCount    = 12
	// idlePassInterval is the pause between passes while no event arrives: pauses
	// of tasks and the validity of tickets end with time alone.
	idlePassInterval = 50 * time.Millisecond
)

// passDue reports whether a placement pass is due.
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
