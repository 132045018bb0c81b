package shard

import "time"

// leaseUntil returns the end, on the worker's clock, of a lease that is granted now. It
// assumes the slowest clock, so that no lease lasts longer than leaseLength.
func (w *worker) leaseUntil(now time.Time, lease time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockReadAt))*slowestClockRate) + lease
}

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
	if s.needsWitnesses(now) {
		return w.leaseUntil(now, s.options.WitnessedLease)
	}
	return w.leaseUntil(now, s.options.Lease)
}

// restartedLeaseExtension returns how much longer than expected a lease of this length can
// last that was granted by the clock of a former incarnation. The clock of the new one shows
// less, so it grants the longest lease that it allows.
func (s *Shard) restartedLeaseExtension(lease time.Duration) time.Duration {
	return time.Duration(float64(max(0, s.options.MaxWorkerLease-lease)) * LeaseDriftFactor)
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
	lease := s.options.Lease
	if !w.listsRead { // a former leader may have granted it with witnesses
		lease = min(lease, s.options.WitnessedLease)
	}
	return end.Add(s.restartedLeaseExtension(lease))
}

// leasesOver reports whether no lease is left on the worker. Without a confirmation from after
// the end of the leases that this leader knows of, a successor may have renewed them.
func (s *Shard) leasesOver(now time.Time, w *worker) bool {
	end := s.lastLeaseEnd(w)
	return !now.Before(end) && !s.confirmedAt.Before(end)
}
