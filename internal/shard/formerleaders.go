package shard

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// How the replaced leader ended bounds only its own leases. A leader before it that is cut
// off from the store may act, and renew leases, until its last confirmation is too old. So
// each leader records when the time is over for which its predecessors may do so, and the
// next leader relies on OrphanTimeout only with the record of the leader that it replaced.

// loadFormerLeaders sets OrphanTimeout to MaxOrphanTimeout unless the replaced leader recorded
// that the leaders before it are over.
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
	if !readable || stored.OverBefore != s.options.ReplacedEpoch {
		s.options.OrphanTimeout = s.options.MaxOrphanTimeout
	}
}

// checkFormerLeadersOver schedules the record that no former leader acts any more once that
// is certain. Only the time since Load counts: by then both partitions of the store had
// refused the former leaders, so none of them has a later confirmation.
func (s *Shard) checkFormerLeadersOver(now time.Time) {
	if s.formerLeadersOver || now.Before(s.loadedAt.Add(s.options.OrphanTimeout)) {
		return
	}
	s.formerLeadersOver, s.formerLeadersUnrecorded = true, true
}
