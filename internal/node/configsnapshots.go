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

// A snapshot of the policy is due after either bound. They are far below a
// retention of 100,000 records or of days, so that several snapshots in a row
// may be lost. A node of rank r among the sorted members waits longer by r times
// the stagger, and all nodes count from the newest snapshot in the log, so that
// one node writes unless it is down.
const (
	snapshotRecords = 10_000
	snapshotTime    = time.Hour
	snapshotStagger = 0.05
	// snapshotRepeat is the time after which a snapshot that was not read back
	// is written again.
	snapshotRepeat = time.Minute
)

// The kinds of snapshot records. Records that were written before the kind
// existed have none and are those of a home.
const (
	snapshotOfPolicy = "policy"
	snapshotOfHome   = "home-began"
)

// policySnapshotBody and homeSnapshotBody are the bodies of snapshot records.
// The keys of HomeBegan are below 100, so that programs of both versions read
// each other's records.
type policySnapshotBody struct {
	Kind   string          `cbor:"100,keyasint"`
	Policy policy.Snapshot `cbor:"101,keyasint"`
}

type homeSnapshotBody struct {
	control.HomeBegan
	Kind string `cbor:"100,keyasint,omitempty"`
}

type snapshotKind struct {
	Kind string `cbor:"100,keyasint,omitempty"`
}

// snapshots decides when this node writes a snapshot of the policy.
type snapshots struct {
	factor float64
	// seenAt and seenOffset are of the newest snapshot in the log.
	seenAt     time.Time
	seenOffset int64
	writtenAt  time.Time
}

func newSnapshots(p *Process, start time.Time) snapshots {
	var names []string
	for _, member := range p.members() {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	rank := slices.Index(names, p.options.Settings.Node.Name)
	return snapshots{factor: 1 + snapshotStagger*float64(rank), seenAt: start, seenOffset: -1}
}

func (s *snapshots) due(now time.Time, next int64) bool {
	if !s.writtenAt.IsZero() && now.Sub(s.writtenAt) < snapshotRepeat {
		return false
	}
	return float64(next-s.seenOffset) >= snapshotRecords*s.factor ||
		now.Sub(s.seenAt) >= time.Duration(float64(snapshotTime)*s.factor)
}

// snapshotRead takes a policy snapshot of the log.
func (c *configuration) snapshotRead(ctx context.Context, offset int64, record *journal.Record) {
	var body policySnapshotBody
	if err := record.Decode(&body); err != nil {
		c.process.record(event.PolicySnapshotBad, "from", record.Writer, "reason", err.Error())
		return
	}
	c.mu.Lock()
	c.snapshots.seenAt, c.snapshots.seenOffset, c.snapshots.writtenAt = time.Now(), offset, time.Time{}
	c.mu.Unlock()
	c.adopt(ctx, record.Writer, &body.Policy, false)
}

// writeSnapshot appends a snapshot when it is due, also of version 0: a node
// that starts after retention dropped records can't tell otherwise that there
// was no change among them.
func (c *configuration) writeSnapshot(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	snapshot, complete := c.history.Snapshot()
	if !c.ready || !complete || !c.snapshots.due(now, c.history.NextOffset()) {
		c.mu.Unlock()
		return
	}
	c.snapshots.writtenAt = now
	c.mu.Unlock()
	p := c.process
	body := policySnapshotBody{Kind: snapshotOfPolicy, Policy: snapshot}
	record, err := journal.NewRecord(journal.KindSnapshot, p.options.Settings.Node.Name, now, body)
	if err == nil {
		p.metrics.appended(string(journal.KindSnapshot))
		_, err = p.journal.Append(record)
	}
	if err != nil && ctx.Err() == nil {
		p.record(event.PolicySnapshotBad, "from", p.options.Settings.Node.Name, "reason", err.Error())
	}
}
