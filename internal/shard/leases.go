package shard

import "time"

// leaseUntil returns the end, on the worker's clock, of a lease that is granted now. It
// assumes the slowest clock, so that no lease lasts longer than leaseLength.
func (w *worker) leaseUntil(now time.Time, lease time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockReadAt))*slowestClockRate) + lease
}

// SetLeaseBasis sets when the call was sent on which the leases rest that are granted from now
// on: the last confirmation or, if that is older than Options.MaxUnwitnessedAge, the oldest of
// the polls that enough witnesses have answered. A successor knows that there is no later basis
// than its own reads of the store and of the workers, so it waits only for Options.Lease.
func (s *Shard) SetLeaseBasis(at time.Time) { s.leaseBasis = at }

// leaseLength returns the longest time that a lease granted now can last.
func (s *Shard) leaseLength() time.Duration {
	return time.Duration(float64(s.options.Lease)*LeaseDriftFactor) + orderTransitTime
}

// extendLease records that a lease is granted to the worker now. It returns the end of
// the lease on the worker's clock.
func (s *Shard) extendLease(now time.Time, w *worker) time.Duration {
	end := now.Add(s.leaseLength())
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	if s.options.MaxUnwitnessedAge == 0 {
		return w.leaseUntil(now, s.options.Lease)
	}
	return w.leaseUntil(now, max(0, s.options.Lease-now.Sub(s.leaseBasis)))
}

// longestLeaseLeft returns the longest time that a lease can last on a worker that this leader
// reads now for the first time. A former leader may have granted one just before.
func (s *Shard) longestLeaseLeft() time.Duration {
	for _, f := range s.formerLeaders {
		if !f.LimitsLeases {
			return s.leaseLength() + s.restartedLeaseExtension()
		}
	}
	return s.leaseLength()
}

// restartedLeaseExtension returns how much longer than leaseLength a lease can last that was
// granted by the clock of a former incarnation. The clock of the new one shows less, so it
// grants the longest lease that it allows.
func (s *Shard) restartedLeaseExtension() time.Duration {
	return time.Duration(float64(max(0, s.options.MaxWorkerLease-s.options.Lease)) * LeaseDriftFactor)
}

// lastLeaseEnd returns the time after which no lease is left on the worker.
func (s *Shard) lastLeaseEnd(w *worker) time.Time {
	return maxTime(s.withRestart(w, w.leaseEnd), w.formerClockEnd)
}

// withRestart returns the end of a lease on the worker that was expected to end at the given
// time. The worker may have restarted before the lease was granted. The incarnation is a wall
// clock's time, which can be set back.
func (s *Shard) withRestart(w *worker, end time.Time) time.Time {
	if w.Incarnation == w.observedIncarnation {
		return end
	}
	end = end.Add(s.restartedLeaseExtension())
	if !w.listsRead { // a former leader may have granted it so much later than its basis
		end = end.Add(s.options.MaxWitnessAge)
	}
	return end
}

// leasesOver reports whether no lease is left on the worker. Without a confirmation from after
// the end of the leases that this leader knows of, a successor may have renewed them.
func (s *Shard) leasesOver(now time.Time, w *worker) bool {
	end := s.lastLeaseEnd(w)
	return !now.Before(end) && !s.confirmedAt.Before(end)
}
