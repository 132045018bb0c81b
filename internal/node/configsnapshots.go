package node

import (
	"context"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/journal"
	"yuccalanding.example/yuccalanding/internal/policy"
)

// A snapshot of the policy is due when the log has grown by snapshotRecordInterval
// records or snapshotInterval has passed since the newest snapshot in the log. Both
// are far below the log's retention, which is 100,000 records or several days, so
// that the loss of several consecutive snapshots is harmless. A node's rank r is its
// index among the sorted member names. The node multiplies both intervals by
// 1 + r*snapshotStaggerPerRank, so that only the first node writes snapshots unless
// it is down.
const (
	snapshotRecordInterval = 10_000
	snapshotInterval       = time.Hour
	snapshotStaggerPerRank = 0.05
	// snapshotRetryInterval is the time after which another snapshot is written if
	// the last one was not read back.
	snapshotRetryInterval = time.Minute
)

// The kinds of snapshot records. A record without a kind is a snapshot of a home,
// written by an older program version.
const (
	policySnapshotKind = "policy"
	homeSnapshotKind   = "home-began"
)

// policySnapshotBody is the body of a snapshot record of the policy. Its keys are
// 100 and above, and those of HomeBegan are below 100, so that program versions with
// and without the kind field can read each other's records.
type policySnapshotBody struct {
	Kind   string          `cbor:"100,keyasint"`
	Policy policy.Snapshot `cbor:"101,keyasint"`
}

// homeSnapshotBody is the body of a snapshot record of a home.
type homeSnapshotBody struct {
	control.HomeBegan
	Kind string `cbor:"100,keyasint,omitempty"`
}

// snapshotHeader is the part of a snapshot record's body that holds its kind.
type snapshotHeader struct {
	Kind string `cbor:"100,keyasint,omitempty"`
}

// snapshotSchedule decides when this node writes a snapshot of the policy to the log.
type snapshotSchedule struct {
	// intervalFactor multiplies the intervals; it increases with this node's rank.
	intervalFactor float64
	// newestAt is the time at which the newest snapshot was read from the log, and
	// newestOffset is its offset. Before the first snapshot they are the start of the
	// process and -1.
	newestAt     time.Time
	newestOffset int64
	// writtenAt is when this node wrote its last snapshot, or zero if a snapshot was
	// read since.
	writtenAt time.Time
}

func newSnapshotSchedule(p *Process, start time.Time) snapshotSchedule {
	var names []string
	for _, member := range p.members() {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	rank := slices.Index(names, p.options.Settings.Node.Name)
	return snapshotSchedule{intervalFactor: 1 + snapshotStaggerPerRank*float64(rank), newestAt: start, newestOffset: -1}
}

// due reports whether to write a snapshot; nextOffset is the offset of the next
// record to read from the log.
func (s *snapshotSchedule) due(now time.Time, nextOffset int64) bool {
	if !s.writtenAt.IsZero() && now.Sub(s.writtenAt) < snapshotRetryInterval {
		return false
	}
	return float64(nextOffset-s.newestOffset) >= snapshotRecordInterval*s.intervalFactor ||
		now.Sub(s.newestAt) >= time.Duration(float64(snapshotInterval)*s.intervalFactor)
}

// replaySnapshot adopts a policy snapshot that was read from the log.
func (c *configuration) replaySnapshot(ctx context.Context, offset int64, record *journal.Record) {
	var body policySnapshotBody
	if err := record.Decode(&body); err != nil {
		c.process.recordEvent(event.PolicySnapshotBad, "from", record.Writer, "reason", err.Error())
		return
	}
	c.mu.Lock()
	c.snapshotSchedule.newestAt, c.snapshotSchedule.newestOffset, c.snapshotSchedule.writtenAt = time.Now(), offset, time.Time{}
	c.mu.Unlock()
	c.adoptSnapshot(ctx, record.Writer, &body.Policy, false)
}

// writeSnapshotIfDue appends a snapshot when it is due. Snapshots of version 0 are
// needed too: without one, a node that starts after retention dropped records can't
// tell whether there were changes among them.
func (c *configuration) writeSnapshotIfDue(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	snapshot, complete := c.history.Snapshot()
	if !c.ready || !complete || !c.snapshotSchedule.due(now, c.history.NextOffset()) {
		c.mu.Unlock()
		return
	}
	c.snapshotSchedule.writtenAt = now
	c.mu.Unlock()
	p := c.process
	body := policySnapshotBody{Kind: policySnapshotKind, Policy: snapshot}
	record, err := journal.NewRecord(journal.KindSnapshot, p.options.Settings.Node.Name, now, body)
	if err == nil {
		p.metrics.countRecord(string(journal.KindSnapshot))
		_, err = p.journal.Append(record)
	}
	if err != nil && ctx.Err() == nil {
		p.recordEvent(event.PolicySnapshotBad, "from", p.options.Settings.Node.Name, "reason", err.Error())
	}
}
