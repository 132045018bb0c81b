package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// simLog is the log with the client that each node has of it: outages, slow
// appends, and answers lost after the write took effect.
type simLog struct {
	world   *world
	up      bool
	latency time.Duration
	records []RecordRead
	written map[string]bool
	// endedAt and beganAt are the positions, from 1, of the first record of a
	// job's end and of the newest record of a range's home.
	endedAt map[workload.Key]int
	beganAt map[tenure.Range]int
}

// append writes a record. In an outage it is either certainly not written, or
// it is kept by the client and written once the log is back.
func (s *simLog) append(n *simNode, out *AppendRecord) {
	w := s.world
	if !s.up && w.chance(0.5) {
		n.afterIfUp(100*time.Millisecond, func() { n.deliver(&AppendFailed{Identity: out.Identity, Reason: "the log is down"}) })
		return
	}
	if !s.up {
		n.pending = append(n.pending, out)
		return
	}
	// The write is under way: the node's death doesn't take it back.
	w.after(w.between(time.Millisecond, s.latency), func() {
		if !s.up && n.up && w.chance(0.5) {
			n.pending = append(n.pending, out)
			return
		}
		s.write(out)
	})
}

// write appends a record unless its identity is in the log, which a client
// looks up before it repeats an append.
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
	case record.Ended != nil && s.endedAt[record.Ended.Key] == 0:
		s.endedAt[record.Ended.Key] = len(s.records)
	case record.Began != nil:
		s.beganAt[tenure.Range{Region: record.Began.Region, Team: record.Began.Team}] = len(s.records)
	}
	s.world.checks.recorded(&record)
}

func (s *simLog) nodeDied(n *simNode) {
	pending := n.pending
	n.pending = nil
	for _, out := range pending {
		if s.world.chance(0.2) {
			// The bytes had left before the outage and take effect later.
			s.world.after(s.world.between(0, 2*time.Second), func() { s.write(out) })
		}
	}
}

// outage takes the log down for a while.
func (s *simLog) outage(length time.Duration) {
	s.world.trace("the log is down for %s", length)
	s.up = false
	s.notifyNodes()
	s.world.after(length, func() {
		s.world.trace("the log is back")
		s.up = true
		for _, n := range s.world.nodes {
			for _, out := range n.pending {
				s.world.after(s.world.between(0, 500*time.Millisecond), func() { s.write(out) })
			}
			n.pending = nil
		}
		s.notifyNodes()
	})
}

// notifyNodes has each node learn the log's state after a while.
func (s *simLog) notifyNodes() {
	up := s.up
	for _, n := range s.world.nodes {
		n.afterIfUp(s.world.between(50*time.Millisecond, time.Second), func() { n.deliver(&LogState{Up: up}) })
	}
}

// readLog reads the log from the first record on.
func (n *simNode) readLog() {
	s := n.log()
	for limit := 50; s.up && n.world.now >= n.readsFrom && n.logOffset < len(s.records) && limit > 0; limit-- {
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

// jobState is what the log says of a job.
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
