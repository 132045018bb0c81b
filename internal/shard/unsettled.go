package shard

import (
	"fmt"
	"strings"
	"time"
)

const (
	// firstUnsettledLog is the time after Load at which a leader that isn't settled logs
	// what it waits for, and unsettledLogInterval the pause before it does so again.
	firstUnsettledLog    = time.Second
	unsettledLogInterval = 2 * time.Second
)

// Values of formerLeader.evidence.
const (
	evidenceEnded       = "ended"        // its process, or a later one at its address, said so
	evidenceWorkersRead = "workers-read" // more than the witness share of the workers refuses it
)

// addEvidence records what bounds the time for which the leader acts.
func (f *formerLeader) addEvidence(evidence string) {
	if f.evidence != evidenceEnded {
		f.evidence = evidence
	}
}

// explainUnsettled logs what a leader that isn't settled waits for.
func (s *Shard) explainUnsettled(now time.Time) {
	if s.recovered || now.Sub(s.loadedAt) < firstUnsettledLog || now.Sub(s.unsettledLoggedAt) < unsettledLogInterval {
		return
	}
	s.unsettledLoggedAt = now
	var last *worker // whose leases end last
	blocking, incomplete := 0, 0
	for id := range s.workersToRead {
		w := s.workers[id]
		if w == nil || !s.mayHaveUnknownRuns(now, w) {
			continue
		}
		blocking++
		if w.listsRead {
			incomplete++
		}
		if last == nil || s.endsLater(w, last) {
			last = w
		}
	}
	fields := []any{
		"service", s.options.Service, "for", now.Sub(s.loadedAt), "unread", blocking - incomplete, "incomplete", incomplete,
	}
	fields = append(fields, s.formerLeaderFields(now)...)
	if last != nil {
		fields = append(fields, "worker", last.ID)
		fields = append(fields, s.leaseFields(now, last)...)
	}
	s.options.Log("unsettled", append(fields, "proof-age", now.Sub(s.confirmedAt))...)
}

// endsLater reports whether the leases on a worker end later than those on another one.
func (s *Shard) endsLater(w, other *worker) bool {
	end, otherEnd := s.lastLeaseEnd(w), s.lastLeaseEnd(other)
	return end.After(otherEnd) || end.Equal(otherEnd) && w.ID < other.ID
}

// readsNeeded returns how many of its recorded workers have to be read to know that the leader
// soon acts no more; 0 if no number shows that.
func (f *formerLeader) readsNeeded() int {
	if !f.LimitsLeases {
		return 0
	}
	needed := 0
	for !excludesWitnesses(needed, f.recorded) {
		needed++
	}
	return needed
}

// formerLeaderFields returns log fields of the former leader whose leases end last, and of all
// former leaders that may act or have leases.
func (s *Shard) formerLeaderFields(now time.Time) []any {
	var last *formerLeader
	all := make([]string, 0, len(s.formerLeaders))
	for i := range s.formerLeaders {
		f := &s.formerLeaders[i]
		if last == nil || f.leasesEnd.After(last.leasesEnd) {
			last = f
		}
		all = append(all, fmt.Sprintf("%d %s acts %s leases %s", f.Epoch, f.logEvidence(), timeLeft(now, f.actsUntil), timeLeft(now, f.leasesEnd)))
	}
	if last == nil {
		return []any{"former-epoch", 0, "former-evidence", evidenceEnded, "read", 0, "recorded", 0, "needed", 0, "former-acts", time.Duration(0), "former-leases", timeLeft(now, s.formerLeasesEnd()), "formers", ""}
	}
	return []any{
		"former-epoch", last.Epoch, "former-evidence", last.logEvidence(), "read", last.read, "recorded", last.recorded, "needed", last.readsNeeded(), "former-acts", timeLeft(now, last.actsUntil), "former-leases", timeLeft(now, last.leasesEnd),
		"formers", strings.Join(all, ", "),
	}
}

// logEvidence returns why the bounds of the leader are as they are.
func (f *formerLeader) logEvidence() string {
	switch {
	case f.Epoch == UnknownEpoch:
		return "unknown-epoch"
	case f.evidence != "":
		return f.evidence
	}
	return "no-answer"
}

// timeLeft returns the time until the given one, or 0 if it has passed.
func timeLeft(now, until time.Time) time.Duration { return max(0, until.Sub(now)) }

// leaseFields returns log fields that say until when runs on a worker that isn't read now can
// last. With only-proof-missing the leases are over, but no later confirmation shows that no
// successor has renewed them.
func (s *Shard) leaseFields(now time.Time, w *worker) []any {
	end := s.lastLeaseEnd(w)
	return []any{
		"lease-left", timeLeft(now, end), "only-proof-missing", !now.Before(end) && s.confirmedAt.Before(end), "lease-reported", !w.listsRead && w.leaseEndReported,
		"looks-failed", w.failedPolls, "listed", w.listed, "absent", w.absent,
	}
}
