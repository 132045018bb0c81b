package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// simLog is the log together with each node's client of it: outages, slow
// appends, and confirmations lost after a successful append.
type simLog struct {
	world   *world
	up      bool
	latency time.Duration
	records []RecordRead
	written map[string]bool
	// endPositions and homePositions hold the positions of records, counted from
	// 1: the first end record of a job, and the newest HomeBegan record of a
	// range.
	endPositions  map[workload.Key]int
	homePositions map[tenure.Range]int
}

// append writes a record. In an outage the append either fails definitely, or
// the client holds the record and writes it after the outage.
func (s *simLog) append(n *simNode, out *AppendRecord) {
	w := s.world
	if !s.up && w.chance(0.5) {
		n.afterIfUp(100*time.Millisecond, func() { n.deliver(&AppendFailed{Identity: out.Identity, Reason: "the log is down"}) })
		return
	}
	if !s.up {
		n.pendingAppends = append(n.pendingAppends, out)
		return
	}
	// The write is already in progress, so a crash of the node does not stop
	// it.
	w.after(w.between(time.Millisecond, s.latency), func() {
		if !s.up && n.up && w.chance(0.5) {
			n.pendingAppends = append(n.pendingAppends, out)
			return
		}
		s.write(out)
	})
}

// write appends a record. A record whose identity is in the log may be skipped,
// as by a client that looks it up before it repeats an append.
func (s *simLog) write(out *AppendRecord) {
	if s.written[out.Identity] && s.world.chance(0.5) {
		return
	}
	s.written[out.Identity] = true
	s.world.trace("log %d: %s", len(s.records), out.Identity)
	record := RecordRead{Offset: uint64(len(s.records)), Accepted: out.Accepted, Ended: out.Ended, Began: out.Began}
	if out.Accepted != nil {
		accepted := *out.Accepted
		record.Accepted = &accepted
	}
	s.records = append(s.records, record)
	switch {
	case record.Ended != nil && s.endPositions[record.Ended.Key] == 0:
		s.endPositions[record.Ended.Key] = len(s.records)
	case record.Began != nil:
		s.homePositions[tenure.Range{Region: record.Began.Region, Team: record.Began.Team}] = len(s.records)
	}
	s.world.checks.recorded(&record)
}

func (s *simLog) nodeCrashed(n *simNode) {
	pending := n.pendingAppends
	n.pendingAppends = nil
	for _, out := range pending {
		if s.world.chance(0.2) {
			// The record was sent before the outage and takes effect later.
			s.world.after(s.world.between(0, 2*time.Second), func() { s.write(out) })
		}
	}
}

// outage makes the log unavailable for a while.
func (s *simLog) outage(length time.Duration) {
	s.world.trace("the log is down for %s", length)
	s.up = false
	s.notifyNodes()
	s.world.after(length, func() {
		s.world.trace("the log is up again")
		s.up = true
		for _, n := range s.world.nodes {
			for _, out := range n.pendingAppends {
				s.world.after(s.world.between(0, 500*time.Millisecond), func() { s.write(out) })
			}
			n.pendingAppends = nil
		}
		s.notifyNodes()
	})
}

// notifyNodes delivers the state of the log to each node after a random delay.
func (s *simLog) notifyNodes() {
	up := s.up
	for _, n := range s.world.nodes {
		n.afterIfUp(s.world.between(50*time.Millisecond, time.Second), func() { n.deliver(&LogState{Up: up}) })
	}
}

// readLog delivers the next records to the node and schedules the next read.
func (n *simNode) readLog() {
	s := n.log()
	for limit := 50; s.up && n.world.now >= n.readLogFrom && n.logOffset < len(s.records) && limit > 0; limit-- {
		record := s.records[n.logOffset]
		if record.Accepted != nil {
			accepted := *record.Accepted
			record.Accepted = &accepted
		}
		n.logOffset++
		n.deliver(&record)
	}
	n.afterIfUp(n.world.between(5*time.Millisecond, 60*time.Millisecond), n.readLog)
}

// jobState returns the state of a job according to the log.
func (s *simLog) jobState(key workload.Key) (accepted bool, ended *JobEnded) {
	for i := range s.records {
		switch r := &s.records[i]; {
		case r.Accepted != nil && r.Accepted.Request.Key == key:
			accepted = true
		case r.Ended != nil && r.Ended.Key == key && ended == nil:
			ended = r.Ended
		}
	}
	return accepted, ended
}
