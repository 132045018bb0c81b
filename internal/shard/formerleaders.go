package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// How the replaced leader ended says nothing of the leaders before it. One that is cut off
// from the store may act, and renew leases, until its last confirmation is too old. So each
// leader records when no leader before it acts any more. The next one has to consider only
// the writer of that record and the leaders after it, each of which may be shown to have
// ended.

// formerLeader is a leader before this one.
type formerLeader struct {
	epoch     int64
	actsUntil time.Time // it grants no lease later
	leasesEnd time.Time // no lease that it granted lasts longer
}

func (s *Shard) newFormerLeader(epoch int64, actsFor time.Duration) formerLeader {
	actsUntil := s.loadedAt.Add(actsFor)
	return formerLeader{epoch, actsUntil, actsUntil.Add(s.options.FormerLease)}
}

// limit lowers the bounds of the leader.
func (f *formerLeader) limit(actsUntil, leasesEnd time.Time) {
	if actsUntil.Before(f.actsUntil) {
		f.actsUntil = actsUntil
	}
	if leasesEnd.Before(f.leasesEnd) {
		f.leasesEnd = leasesEnd
	}
}

// loadFormerLeaders determines the leaders that may still act. If the record names none of
// FormerEpochs, leaders that aren't known may act too.
func (s *Shard) loadFormerLeaders(records []Record) {
	stored, readable := job.FormerLeadersRecord{}, true
	for _, record := range records {
		if record.Key != formerLeadersKey {
			continue
		}
		if err := job.Decode(record.Value, &stored); err != nil {
			s.options.Log("record-unreadable", "key", record.Key, "cause", err)
			readable = false
		}
	}
	first := slices.Index(s.options.FormerEpochs, stored.OverBefore)
	if !readable || first < 0 {
		s.formerLeaders = []formerLeader{s.newFormerLeader(UnknownEpoch, s.options.FormerActsFor)}
		return
	}
	for _, epoch := range s.options.FormerEpochs[first:] {
		if epoch != 0 {
			s.formerLeaders = append(s.formerLeaders, s.newFormerLeader(epoch, s.options.FormerActsFor))
		}
	}
	if last := len(s.formerLeaders) - 1; last >= 0 {
		s.formerLeaders[last] = s.newFormerLeader(s.formerLeaders[last].epoch, s.options.ReplacedActsFor)
	}
}

// FormerLeaderEnded applies the proof that the leader of an epoch granted no lease after
// endedAt. It returns the number of unread workers whose lease bound it lowered.
func (s *Shard) FormerLeaderEnded(epoch int64, endedAt time.Time) int {
	for i := range s.formerLeaders {
		if f := &s.formerLeaders[i]; f.epoch == epoch {
			f.limit(endedAt, endedAt.Add(s.options.FormerLease))
		}
	}
	s.recordFormerEvidence(epoch, evidenceEnded)
	return s.lowerUnreadLeaseEnds()
}

// lowerUnreadLeaseEnds applies lower bounds of former leaders to the workers that this leader
// has not read. It returns how many it changed.
func (s *Shard) lowerUnreadLeaseEnds() int {
	lowered, end := 0, s.formerLeasesEnd()
	for _, w := range s.sortedWorkers {
		if !w.listsRead && end.Before(w.leaseEnd) {
			w.leaseEnd = end
			lowered++
		}
	}
	return lowered
}

// formerLeadersActUntil returns the time after which no former leader grants a lease.
func (s *Shard) formerLeadersActUntil() time.Time {
	until := s.loadedAt
	for _, f := range s.formerLeaders {
		until = maxTime(until, f.actsUntil)
	}
	return until
}

// formerLeasesEnd returns the time after which no lease of a former leader is left on any
// worker.
func (s *Shard) formerLeasesEnd() time.Time {
	end := s.loadedAt.Add(s.options.FormerLease) // of leaders that are known to be over
	for _, f := range s.formerLeaders {
		end = maxTime(end, f.leasesEnd)
	}
	return end
}

// checkFormerLeadersOver schedules the record that no former leader acts any more once that
// is certain. The times without proof count from Load: by then both partitions of the store
// had refused the former leaders, so none of them has a later confirmation.
func (s *Shard) checkFormerLeadersOver(now time.Time) {
	if s.formerLeadersOver || now.Before(s.formerLeadersActUntil()) {
		return
	}
	s.formerLeadersOver, s.formerLeadersUnrecorded = true, true
}
