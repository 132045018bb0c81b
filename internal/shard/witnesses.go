package shard

import (
	"cmp"
	"slices"
	"time"
)

// A leader that the store doesn't confirm can't know whether the store is down for all, so that
// running work must live on, or whether it has a successor. The workers tell: they refuse a
// leader once its successor has read them. So a leader without a recent confirmation acts only
// while more than the witness share of the workers with a record in the store answer it. Once a
// successor has read so many that no such share is left, the leader soon acts no more.
//
// A successor concludes this for each former leader, from the records that no later leader has
// added. A worker whose record a later leader has deleted refuses the former one, or its leases
// are over. A leader counts every record of its own that a successor may read.

const (
	// The witness share is witnessShareNumerator/witnessShareDenominator.
	witnessShareNumerator, witnessShareDenominator = 3, 5
	// witnessPollInterval is the time between two polls of a worker without runs while the
	// leader needs witnesses.
	witnessPollInterval = 800 * time.Millisecond
	// unwitnessed is a reading of Report.PolledAt that is too old for any use.
	unwitnessed = -time.Hour
)

// exceedsWitnessShare reports whether count is more than the witness share of the workers.
func exceedsWitnessShare(count, workers int) bool {
	return witnessShareDenominator*count > witnessShareNumerator*workers
}

// excludesWitnesses reports whether a leader has no witnesses if so many of the workers refuse it.
func excludesWitnesses(refusing, workers int) bool {
	return !exceedsWitnessShare(workers-refusing, workers)
}

// SetUndeletedWorkerRecords sets the number of records of workers that were deleted in a stored
// batch, but that a successor may read, as a partition of the store has missed the batch.
func (s *Shard) SetUndeletedWorkerRecords(count int) { s.undeletedWorkers = count }

// WitnessedAt returns the latest reading of the clock of Report.PolledAt since which more than
// the witness share of the recorded workers have answered a poll, or one that is an hour before
// the clock's start. A worker that has restarted since the last confirmation doesn't count, as
// it doesn't know the fencing token of a successor that read it before.
func (s *Shard) WitnessedAt() time.Duration {
	recorded := s.deletedWorkers + s.inFlightDeletedWorkers + s.undeletedWorkers
	polledAt := make([]time.Duration, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if !w.recordTaken {
			continue
		}
		recorded++
		if w.recordConfirmed && w.listsRead && w.incarnationChangedAt.Before(s.confirmedAt) {
			polledAt = append(polledAt, w.polledAt)
		}
	}
	slices.SortFunc(polledAt, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	for i, reading := range polledAt {
		if exceedsWitnessShare(i+1, recorded) {
			return reading
		}
	}
	return unwitnessed
}

// needsWitnesses reports whether this leader needs witnesses to act, or soon will.
func (s *Shard) needsWitnesses(now time.Time) bool {
	return s.options.MaxUnwitnessedAge > 0 && now.Sub(s.confirmedAt) >= s.options.MaxUnwitnessedAge*3/4
}

// witnessPollDue reports whether a worker without runs is due for a poll as a witness.
func (s *Shard) witnessPollDue(now time.Time, w *worker) bool {
	return s.needsWitnesses(now) && w.recordTaken && now.Sub(w.answeredPollSentAt) >= witnessPollInterval
}

// addRecordedWorker counts a worker that former leaders recorded. The caller has determined
// them.
func (s *Shard) addRecordedWorker(w *worker) {
	for i := range s.formerLeaders {
		if f := &s.formerLeaders[i]; w.recordedBy <= f.Epoch {
			f.recorded++
		}
	}
}

// limitUnwitnessedLeaders lowers the bounds of the former leaders that have no witnesses although
// this leader has read none of the workers that they know. Call it after addRecordedWorker.
func (s *Shard) limitUnwitnessedLeaders() {
	for i := range s.formerLeaders {
		if f := &s.formerLeaders[i]; f.LimitsLeases && excludesWitnesses(0, f.recorded) {
			f.limit(s.loadedAt.Add(s.options.MaxUnwitnessedAge), s.loadedAt.Add(s.options.FormerLease))
			f.addEvidence(evidenceWorkersRead)
		}
	}
	s.lowerUnreadLeaseEnds()
}

// countRecordedRead counts a worker that this leader has read for the first time. Once a former
// leader can have no more witnesses, all polls of those that it had were sent before.
func (s *Shard) countRecordedRead(now time.Time, w *worker) {
	if !s.workersToRead[w.ID] {
		return
	}
	limited := false
	for i := range s.formerLeaders {
		f := &s.formerLeaders[i]
		if !f.LimitsLeases || w.recordedBy > f.Epoch || excludesWitnesses(f.read, f.recorded) {
			continue
		}
		f.read++
		if excludesWitnesses(f.read, f.recorded) {
			f.limit(now.Add(s.options.MaxWitnessAge), now.Add(s.options.FormerLease))
			f.addEvidence(evidenceWorkersRead)
			limited = true
		}
	}
	if limited {
		s.lowerUnreadLeaseEnds()
	}
}
