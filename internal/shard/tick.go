package shard

import "time"

// runCheckInterval is the time between two checks of all runs for stops to resend, leases
// that have ended, and stalls: a fraction of the shortest of these times.
const runCheckInterval = 50 * time.Millisecond

// speedCheckInterval is the time between two checks of the workers for slow or
// draining ones.
const speedCheckInterval = 200 * time.Millisecond

// cleanupInterval is the time between two removals of ended jobs, departed workers and
// records that are no longer needed.
const cleanupInterval = 500 * time.Millisecond

// Tick does what is due at the given time: it creates occurrences, resends stops, ends
// runs whose lease has ended, stops stalled runs and those that have to move off slow or
// draining workers, places tasks, polls workers, and removes what is no longer needed.
// Call it after each group of events and at least every 50 ms.
func (s *Shard) Tick(now time.Time) {
	s.checkRecovered(now)
	s.checkFormerLeadersOver(now)
	for _, j := range s.activeJobs {
		if j.accepted.Spec.Repeat > 0 && !j.state.Ended() && j.nextOccurrence < j.accepted.Spec.Occurrences() {
			s.createDueOccurrences(now, j)
		}
	}
	if now.Sub(s.lastRunCheck) >= runCheckInterval {
		s.lastRunCheck = now
		s.runChecks++
		s.resendStops(now)
		s.expireLeases(now)
		s.stopStalledRuns(now)
	}
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
	s.explainUnsettled(now)
	s.checkLongRunning(now)
	if now.Sub(s.lastCleanup) >= cleanupInterval {
		s.lastCleanup = now
		s.removeEndedJobs(now)
		s.forgetWorkers(now)
		s.deleteIdleRecords(now)
		s.removeExpiredJobs(now)
	}
}

const (
	// busyPassInterval is the least time between two placement passes while more
	// than busyStepCount steps wait. A pass then takes milliseconds, and hundreds of
	// events arrive per second.
	busyPassInterval = 15 * time.Millisecond
	busyStepCount    = 12
	// idlePassInterval is the time between two passes while no event arrives: retry
	// delays and tickets expire without one.
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
