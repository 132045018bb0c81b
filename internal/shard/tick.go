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
	}
	if s.changed || s.pausedTasks(now) {
		s.schedule(now)
	}
	s.look(now)
	if now.Sub(s.tidied) >= tidyEvery {
		s.tidied = now
		s.tidy(now)
		s.forgetWorkers(now)
		s.expire(now)
	}
}

// pausedTasks reports whether steps wait at all: pauses and tickets end with
// time alone.
func (s *Shard) pausedTasks(time.Time) bool { return len(s.ready) > 0 }
