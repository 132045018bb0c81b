package shard

import "time"

// SetWorkers replaces the list of the service's workers.
func (s *Shard) SetWorkers(now time.Time, list []WorkerInfo) {
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		s.addSeenCapacity(info.Capacity)
		w := s.workers[info.ID]
		if w == nil {
			w = &worker{WorkerInfo: info, observedIncarnation: info.Incarnation, listed: true, bestEffortPace: fullPace}
			w.updateLeavesAt(now)
			s.workers[info.ID] = w
			s.sortWorkers()
			w.leaseEnd = s.formerLeasesEnd()
			s.recordIfPlaceable(w)
			s.options.Log("worker-listed", "worker", info.ID, "address", info.Address, "capacity", info.Capacity, "draining", info.Draining)
			s.placementChanged = true
			continue
		}
		if info.Draining && !w.Draining {
			s.options.Log("worker-draining", "worker", info.ID, "remaining", info.Remaining, "runs", len(w.runs))
		}
		if !w.listed || w.Draining != info.Draining || w.Capacity != info.Capacity {
			s.placementChanged = true
		}
		if w.Address != info.Address || w.Incarnation != info.Incarnation {
			w.stale = true
			w.nextPollAt = now
		}
		w.WorkerInfo, w.listed = info, true
		w.updateLeavesAt(now)
		s.recordIfPlaceable(w)
	}
	for _, w := range s.sortedWorkers {
		if w.listed && !listed[w.ID] {
			w.listed, w.unlistedAt = false, now
			s.options.Log("worker-unlisted", "worker", w.ID, "runs", len(w.runs), "lease-left", w.leaseEnd.Sub(now))
		}
	}
	if !s.listRead {
		s.listRead = true
		s.pollRecordedWorkers(now)
	}
}

// pollRecordedWorkers polls the workers that a former leader recorded, once the list is read.
// Those that it lacks are polled at their recorded addresses: an entry may have expired while
// its worker works on.
func (s *Shard) pollRecordedWorkers(now time.Time) {
	for id := range s.workersToRead {
		if w := s.workers[id]; w.Address.IsValid() {
			w.nextPollAt = now
		}
	}
}

// forgetWorkers removes the state and the record of unlisted workers on which nothing
// can run any more.
func (s *Shard) forgetWorkers(now time.Time) {
	kept := s.sortedWorkers[:0]
	for _, w := range s.sortedWorkers {
		if !w.listed && len(w.runs) == 0 && !w.pollInFlight && !w.dirty && w.recordTaken == w.recordConfirmed && now.Sub(w.unlistedAt) > forgetWorkerAfter && s.leasesOver(now, w) && !w.mayRepeatResults(now) {
			delete(s.workers, w.ID)
			delete(s.workersToRead, w.ID)
			s.deleteWorkerRecord(w)
			s.options.Log("worker-forgotten", "worker", w.ID)
			continue
		}
		kept = append(kept, w)
	}
	s.sortedWorkers = kept
}

// mayRepeatResults reports whether a worker that comes back would list results that were
// handled before: it hasn't answered their acknowledgement, and may be only cut off.
func (w *worker) mayRepeatResults(now time.Time) bool {
	return w.listsRead && w.acknowledgedResult < w.handledResult && (w.listed || now.Sub(w.unlistedAt) <= forgetResultsAfter)
}
