package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/journal"
	"yuccalanding.example/yuccalanding/internal/policy"
)

// Limits and intervals of the configuration.
const (
	// maxKeptVersions is the number of newest versions that operators can read and
	// base a change on. At 910 changes a day, they cover about 50 minutes.
	maxKeptVersions = 32
	// maxKeptRejected is the number of rejected changes that operators see in the
	// history.
	maxKeptRejected = 64
	// peerSnapshotQueueLength bounds the snapshots from peers that wait to be adopted.
	// A dropped snapshot is requested again after a later heartbeat.
	peerSnapshotQueueLength = 4
	// sharedSnapshotInterval is how often the snapshot that members can request is
	// updated to the offset that this node has read. A node that starts after
	// retention dropped records waits up to this long for its configuration.
	sharedSnapshotInterval = 2 * time.Second
)

// policyVersion is a version of the configuration with its effective set and the
// time at which it was accepted.
type policyVersion struct {
	policy.Version
	set        *policy.Set
	acceptedAt time.Time
}

// changeOutcome is the decision on a change at its offset in the log. accepted is
// nil if the change was rejected.
type changeOutcome struct {
	accepted *policy.Accepted
	findings policy.Findings
}

// rejectedChange is a change whose record this process read and rejected.
type rejectedChange struct {
	change     policy.Change
	recordedAt time.Time
}

// configuration replays the policy changes of the log. It passes the effective set
// to the control thread and exchanges snapshots of it with peers.
type configuration struct {
	process       *Process
	peerSnapshots chan *control.PolicyCopyReceived

	mu      sync.Mutex
	history *policy.History
	// ready is set once the end of the log was reached or a peer's snapshot was
	// adopted. Until then no version is published, so that a restarted node does not
	// put every old version in force in turn.
	ready bool
	// publishedVersion is the newest version that was passed to the control thread.
	publishedVersion int64
	versions         []policyVersion
	rejected         []rejectedChange
	// nextOffset is the offset of the next record to read from the log.
	nextOffset int64
	// gapEnd is the first offset after the newest gap: a range of records that
	// retention dropped before this node read them.
	gapEnd int64
	// lastComplete is the newest snapshot of a complete history; recover starts from
	// it.
	lastComplete policy.Snapshot
	// pending holds, by change identity, the channels of the calls at this node whose
	// change was not read back yet.
	pending map[string]chan changeOutcome
	// versionChanged is closed and replaced when the version increases.
	versionChanged chan struct{}

	snapshotSchedule snapshotSchedule
	// sharedSnapshot is the time at which the snapshot that members can request was
	// last renewed, and the last offset of the log that it covers.
	sharedSnapshot struct {
		renewedAt     time.Time
		throughOffset int64
	}
}

func newConfiguration(p *Process) *configuration {
	c := &configuration{
		process: p, peerSnapshots: make(chan *control.PolicyCopyReceived, peerSnapshotQueueLength), history: policy.NewHistory(),
		pending: map[string]chan changeOutcome{}, versionChanged: make(chan struct{}),
	}
	c.versions = []policyVersion{{Version: c.history.Version(), set: c.history.Set()}}
	c.lastComplete, _ = c.history.Snapshot()
	c.snapshotSchedule = newSnapshotSchedule(p, time.Now())
	return c
}

// queuePeerSnapshot queues a member's snapshot of the configuration, or drops it if
// the queue is full. It runs on the control thread and therefore doesn't decode the
// snapshot.
func (p *Process) queuePeerSnapshot(out *control.PolicyCopyReceived) {
	select {
	case p.configuration.peerSnapshots <- out:
	default:
	}
}

// run adopts snapshots from peers, renews the shared snapshot and writes snapshots to
// the log until the context ends.
func (c *configuration) run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case received := <-c.peerSnapshots:
			c.adoptPeerSnapshot(ctx, received)
		case <-ticker.C:
			c.requestPeerSnapshots()
			c.renewSharedSnapshot(ctx)
			c.writeSnapshotIfDue(ctx)
		}
	}
}

// adoptPeerSnapshot decodes and adopts a peer's snapshot.
func (c *configuration) adoptPeerSnapshot(ctx context.Context, received *control.PolicyCopyReceived) {
	var snapshot policy.Snapshot
	if err := cbor.Unmarshal(received.Snapshot, &snapshot); err != nil {
		c.process.recordEvent(event.PolicySnapshotBad, "from", received.From, "reason", err.Error())
		return
	}
	c.adoptSnapshot(ctx, received.From, &snapshot, true)
}

// adoptSnapshot replaces the history by a snapshot from a peer or the log. It ignores
// a snapshot that covers no more of the log than the history or ends before the last
// missing record. It logs the findings of a snapshot that is invalid, has a lower
// version, or has the same version with another digest. from is the name of the node
// that made the snapshot.
func (c *configuration) adoptSnapshot(ctx context.Context, from string, snapshot *policy.Snapshot, fromPeer bool) {
	c.mu.Lock()
	adopted, findings := c.history.InstallSnapshot(*snapshot)
	if adopted {
		c.ready = c.ready || fromPeer
		c.appendVersionLocked()
		c.resolveAcceptedLocked()
	}
	c.mu.Unlock()
	if len(findings) > 0 {
		c.process.recordEvent(event.PolicySnapshotBad, "from", from, "reason", findings.Error())
	}
	c.publish(ctx)
}

// markDropped records that retention dropped unread records before beforeOffset.
func (c *configuration) markDropped(beforeOffset int64) {
	c.mu.Lock()
	c.history.MarkDropped(beforeOffset)
	c.gapEnd = max(c.gapEnd, beforeOffset)
	incomplete := c.history.Incomplete()
	c.mu.Unlock()
	if incomplete {
		c.process.recordEvent(event.PolicyIncomplete, "before-offset", beforeOffset)
	}
}

// replayChange applies a change that was read from the log: the history accepts it,
// rejects it, or holds it until a gap before it is closed.
func (c *configuration) replayChange(offset int64, record *journal.Record) {
	var change policy.Change
	if err := record.Decode(&change); err != nil {
		c.process.recordEvent(event.PolicyRejected, "offset", offset, "reason", err.Error())
		return
	}
	c.mu.Lock()
	covered := offset < c.history.NextOffset()
	accepted, findings := c.history.Apply(offset, change)
	held := c.history.Incomplete()
	switch {
	case covered:
		// The snapshot that covers the offset lists every change that it accepted, so
		// a change that is still pending after resolveAcceptedLocked was rejected.
		c.resolveAcceptedLocked()
		c.resolveLocked(change.Identity, changeOutcome{findings: policy.Findings{{Message: "it was rejected before this node read it; another node's log has the reason"}}})
	case accepted:
		c.appendVersionLocked()
		allAccepted := c.history.Accepted()
		c.resolveLocked(change.Identity, changeOutcome{accepted: &allAccepted[len(allAccepted)-1]})
	case !held && !c.isKnownLocked(change.Identity):
		c.rejected = append(c.rejected, rejectedChange{change, record.Time})
		c.rejected = slices.Delete(c.rejected, 0, max(0, len(c.rejected)-maxKeptRejected))
		c.resolveLocked(change.Identity, changeOutcome{findings: findings})
	}
	ready := c.ready
	c.mu.Unlock()
	switch {
	case !ready || covered || held:
	case accepted:
		c.process.recordEvent(event.PolicyAccepted, "offset", offset, "identity", change.Identity, "who", change.Author, "why", change.Reason)
	default:
		c.process.recordEvent(event.PolicyRejected, "offset", offset, "identity", change.Identity, "who", change.Author, "reason", findings.Error())
	}
}

// markReplayed advances the history past a record that was replayed, could not be
// decoded, or does not concern the policy.
func (c *configuration) markReplayed(offset int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.AdvanceTo(offset)
}

// advance records that the log was read up to nextOffset (exclusive) and whether
// this is the end of the log.
func (c *configuration) advance(ctx context.Context, nextOffset int64, caughtUp bool) {
	c.mu.Lock()
	c.history.AdvanceTo(nextOffset - 1)
	c.nextOffset = max(c.nextOffset, nextOffset)
	c.ready = c.ready || (caughtUp && !c.history.Incomplete())
	c.mu.Unlock()
	c.publish(ctx)
}

// appendVersionLocked adds the history's current version to the kept versions if it
// is newer than all of them. The caller holds the mutex.
func (c *configuration) appendVersionLocked() {
	current := c.history.Version()
	if current.Number <= c.versions[len(c.versions)-1].Number {
		return
	}
	next := policyVersion{Version: current, set: c.history.Set()}
	if accepted := c.history.Accepted(); len(accepted) > 0 {
		next.acceptedAt = accepted[len(accepted)-1].CreatedAt
	}
	c.versions = append(c.versions, next)
	c.versions = slices.Delete(c.versions, 0, max(0, len(c.versions)-maxKeptVersions))
	close(c.versionChanged)
	c.versionChanged = make(chan struct{})
}

// isKnownLocked reports whether the change was accepted or rejected before. The log
// can hold a change twice; the second record is not a rejected change. The caller
// holds the mutex.
func (c *configuration) isKnownLocked(identity string) bool {
	return slices.ContainsFunc(c.history.Accepted(), func(a policy.Accepted) bool { return a.Identity == identity }) ||
		slices.ContainsFunc(c.rejected, func(r rejectedChange) bool { return r.change.Identity == identity })
}

// resolveLocked sends the outcome of a change to the call that waits for it, if there
// is one. The caller holds the mutex.
func (c *configuration) resolveLocked(identity string, outcome changeOutcome) {
	if outcomes := c.pending[identity]; outcomes != nil {
		delete(c.pending, identity)
		outcomes <- outcome
	}
}

// resolveAcceptedLocked resolves the pending changes that an adopted snapshot lists
// as accepted. The others stay pending, since their records may come after the
// snapshot. The caller holds the mutex.
func (c *configuration) resolveAcceptedLocked() {
	if len(c.pending) == 0 {
		return
	}
	for _, accepted := range c.history.Accepted() {
		c.resolveLocked(accepted.Identity, changeOutcome{accepted: &accepted})
	}
}

// publish passes the version in force to the control thread if it is newer than the
// last one passed.
func (c *configuration) publish(ctx context.Context) {
	c.mu.Lock()
	current := c.history.Version()
	snapshot, complete := c.history.Snapshot()
	if !c.ready || !complete || current.Number <= c.publishedVersion {
		c.mu.Unlock()
		return
	}
	c.publishedVersion = current.Number
	c.setLastCompleteLocked(&snapshot)
	c.sharedSnapshot.renewedAt, c.sharedSnapshot.throughOffset = time.Now(), snapshot.LastOffset
	set := c.history.Set()
	c.mu.Unlock()
	encoded, err := encodeSnapshot(&snapshot)
	if err != nil {
		c.process.recordEvent(event.PolicySnapshotBad, "from", c.process.options.Settings.Node.Name, "reason", err.Error())
	}
	c.process.sendInput(ctx, &control.PolicyAccepted{
		Version: uint64(current.Number), Digest: current.Digest, Rules: controlRules(set, current.Number), Snapshot: encoded,
	})
}

// snapshotRenewedInput carries a renewed snapshot of the version in force to the
// control thread. The embedded Tick is nil and only makes the type an input.
type snapshotRenewedInput struct {
	*control.Tick
	version  uint64
	snapshot []byte
}

// renewSharedSnapshot updates the snapshot that members can request to the offset
// that was read. It does so at most once per sharedSnapshotInterval.
func (c *configuration) renewSharedSnapshot(ctx context.Context) {
	c.mu.Lock()
	due := c.publishedVersion > 0 && c.history.NextOffset()-1 > c.sharedSnapshot.throughOffset && time.Since(c.sharedSnapshot.renewedAt) >= sharedSnapshotInterval
	snapshot, complete := policy.Snapshot{}, false
	if due {
		snapshot, complete = c.history.Snapshot()
	}
	if !complete {
		c.mu.Unlock()
		return
	}
	c.setLastCompleteLocked(&snapshot)
	c.sharedSnapshot.renewedAt, c.sharedSnapshot.throughOffset = time.Now(), snapshot.LastOffset
	c.mu.Unlock()
	if encoded, err := encodeSnapshot(&snapshot); err == nil {
		c.process.sendInput(ctx, &snapshotRenewedInput{version: uint64(snapshot.Version.Number), snapshot: encoded})
	}
}

// snapshotEncMode encodes times with nanoseconds, which the default mode drops.
var snapshotEncMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encodeSnapshot(snapshot *policy.Snapshot) ([]byte, error) {
	return snapshotEncMode.Marshal(snapshot)
}
