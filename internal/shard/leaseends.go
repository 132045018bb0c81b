package shard

import "time"

// LeaseEnds returns for each worker the time after which no lease is left on it that this
// leader or an earlier one granted. Call it when this leader grants no more leases.
func (s *Shard) LeaseEnds() map[string]time.Time {
	ends := make(map[string]time.Time, len(s.workers))
	for id, w := range s.workers {
		end := s.lastLeaseEnd(w)
		if !w.listsRead {
			end = s.withRestart(w, s.formerLeaseEnd(w))
		}
		ends[id] = end
	}
	return ends
}

// formerLeaseEnd returns the time after which no lease of any earlier leader is left on a
// worker that this leader has not read.
func (s *Shard) formerLeaseEnd(w *worker) time.Time {
	end := s.formerLeasesEnd()
	if w.leaseEndReported && w.reportedLeaseEnd.Before(end) {
		return w.reportedLeaseEnd
	}
	return end
}

// LimitLeases applies the report of the former leader, which has stepped down: for how
// long after reportedAt leases of it or of earlier leaders can be left, by worker ID. It
// only lowers the bounds of workers that this leader has not read. It returns how many it
// lowered.
func (s *Shard) LimitLeases(reportedAt time.Time, remaining map[string]time.Duration) int {
	lowered := 0
	for id, left := range remaining {
		w := s.workers[id]
		if w == nil || w.listsRead {
			continue
		}
		// The clocks of two VMs may differ as much as that of a worker.
		end := reportedAt.Add(time.Duration(float64(max(0, left)) * LeaseDriftFactor))
		if !w.leaseEndReported || end.Before(w.reportedLeaseEnd) {
			w.reportedLeaseEnd, w.leaseEndReported = end, true
		}
		if end.Before(w.leaseEnd) {
			w.leaseEnd = end
			lowered++
		}
	}
	return lowered
}
