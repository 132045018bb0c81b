package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// How the replaced leader ended says nothing of the leaders before it. One that is cut off
// from the store may act, and renew leases, until its last confirmation is too old. So each
// leader records when the leases of the leaders before it end no later than its own. The next
// one has to consider only the writer of that record and the leaders after it, each of which
// may be shown to have ended or to have no witnesses.

// formerLeader is a leader before this one that may still act at Load.
type formerLeader struct {
	FormerLeader
	actsUntil time.Time // it grants no lease later; only logged
	leasesEnd time.Time // no lease that it granted lasts longer
	// recorded is the number of workers that it knows to have a record, and read how many
	// of them this leader has read.
	recorded, read int
	evidence       string // why it has these bounds; only logged
}

func (s *Shard) newFormerLeader(leader FormerLeader, actsFor time.Duration) formerLeader {
	f := formerLeader{FormerLeader: leader, actsUntil: s.loadedAt.Add(actsFor)}
	f.leasesEnd = f.actsUntil.Add(s.formerLease(leader))
	if leader.LimitsLeases && actsFor <= s.options.MaxUnwitnessedAge {
		// Its leases rest on confirmations, and both partitions had refused it at Load.
		f.leasesEnd = s.loadedAt.Add(s.options.FormerLease)
	}
	return f
}

// formerLease returns how long a lease of the leader can last after it was granted.
func (s *Shard) formerLease(leader FormerLeader) time.Duration {
	if leader.LimitsLeases {
		return s.options.FormerLease
	}
	return s.options.FormerLease + s.restartedLeaseExtension() // it may have used the longest lease
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
// Options.FormerLeaders, leaders that aren't known may act too.
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
	first := slices.IndexFunc(s.options.FormerLeaders, func(leader FormerLeader) bool { return leader.Epoch == stored.OverBefore })
	if !readable || first < 0 {
		s.formerLeaders = []formerLeader{s.newFormerLeader(FormerLeader{Epoch: UnknownEpoch}, s.options.FormerActsFor)}
		return
	}
	for _, leader := range s.options.FormerLeaders[first:] {
		if leader.Epoch != 0 {
			s.formerLeaders = append(s.formerLeaders, s.newFormerLeader(leader, s.options.FormerActsFor))
		}
	}
	if last := len(s.formerLeaders) - 1; last >= 0 {
		s.formerLeaders[last] = s.newFormerLeader(s.formerLeaders[last].FormerLeader, s.options.ReplacedActsFor)
	}
}

// FormerLeaderEnded applies the proof that the leader of an epoch granted no lease after
// endedAt. It returns the number of unread workers whose lease bound it lowered.
func (s *Shard) FormerLeaderEnded(epoch int64, endedAt time.Time) int {
	for i := range s.formerLeaders {
		if f := &s.formerLeaders[i]; f.Epoch == epoch {
			f.limit(endedAt, endedAt.Add(s.formerLease(f.FormerLeader)))
			f.addEvidence(evidenceEnded)
		}
	}
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

// formerLeasesEnd returns the time after which no lease of a former leader is left on any
// worker. Leases of the leaders before the first of formerLeaders last no longer than those of
// that one, which recorded it, see checkFormerLeadersOver.
func (s *Shard) formerLeasesEnd() time.Time {
	end := s.loadedAt
	for _, f := range s.formerLeaders {
		end = maxTime(end, f.leasesEnd)
	}
	return end
}

// checkFormerLeadersOver schedules the record that the next leader needs to consider no leader
// before this one, once no lease that one of them grants lasts longer than a lease of this leader.
// A former leader may still act then, on what it was shown before.
func (s *Shard) checkFormerLeadersOver(now time.Time) {
	if s.formerLeadersOver || now.Add(s.options.FormerLease).Before(s.formerLeasesEnd()) {
		return
	}
	s.formerLeadersOver, s.formerLeadersUnrecorded = true, true
}
