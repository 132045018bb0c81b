package shard

import "time"

// judgeEvery is the pause between two judgements of the workers' speed.
const judgeEvery = 200 * time.Millisecond

// tidyEvery bounds how often ended jobs and workers are looked through.
const tidyEvery = 500 * time.Millisecond

// Tick does what is due: occurrences, looks at workers, repeated stops, ended
// leases, and placement if anything changed. It is called after each group of
// inputs and at least every 50 ms.
func (s *Shard) Tick(now time.Time) {
	s.settle(now)
	for _, j := range s.active {
		if j.record.Spec.Repeat > 0 && !j.state.Ended() && j.next < j.record.Spec.Occurrences() {
			s.materialise(now, j)
		}
	}
	s.repeatStops(now)
	s.expireLeases(now)
	s.restartStalled(now)
	if now.Sub(s.judged) >= judgeEvery {
		s.judged = now
		s.judgeSpeed(now)
		s.moveSlow(now)
		s.evacuate(now)
	}
	if s.passDue(now) {
		s.passed = now
		s.schedule(now)
	}
	s.look(now)
	if now.Sub(s.tidied) >= tidyEvery {
		s.tidied = now
		s.tidy(now)
		s.forgetWorkers(now)
		s.dropIdleNotes()
		s.expire(now)
	}
}

const (
	// passEvery is the pause between two placement passes while more than
	// longQueue steps wait: a pass then costs up to a millisecond, and inputs
	// come by the hundred a second.
	passEvery = 15 * time.Millisecond
	longQueue = 12
	// idlePass is the pause between passes without a change: pauses of tasks
	// and tickets end with time alone.
	idlePass = 50 * time.Millisecond
)

// passDue reports whether waiting tasks are to be placed now.
func (s *Shard) passDue(now time.Time) bool {
	since := now.Sub(s.passed)
	switch {
	case s.changed && len(s.ready) <= longQueue:
		return true
	case s.changed:
		return since >= passEvery
	}
	return len(s.ready) > 0 && since >= idlePass
}
