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
	// base a change on: those of about 50 minutes at 910 changes a day.
	maxKeptVersions = 32
	// maxKeptRejected is the number of rejected changes that operators see in the
	// history.
	maxKeptRejected = 64
	// copyQueueLength bounds the copies of peers that wait to be adopted. A copy that
	// is dropped is requested again after a later heartbeat.
	copyQueueLength = 4
	// copyRenewalInterval is how often the copy that members can request is brought
	// up to the offset that this node has read. A node that starts after retention
	// dropped records waits up to this long for its configuration.
	copyRenewalInterval = 2 * time.Second
)

// policyVersion is a version of the configuration with its effective set and the
// time at which it was accepted.
type policyVersion struct {
	policy.Version
	set *policy.Set
	at  time.Time
}

// changeOutcome is the decision on a change at its offset in the log. accepted is
// nil if the change was rejected.
type changeOutcome struct {
	accepted *policy.Accepted
	findings policy.Findings
}

// rejectedChange is a change whose record this process read and rejected.
type rejectedChange struct {
	change policy.Change
	at     time.Time
}

// configuration replays the policy changes of the log. It gives the effective set
// to the control thread and exchanges copies of it with peers.
type configuration struct {
	process    *Process
	peerCopies chan *control.PolicyWanted

	mu      sync.Mutex
	history *policy.History
	// ready is set once the end of the log was reached or a peer's copy was adopted.
	// Until then no version is published, so that a restarted node does not put
	// every old version in force in turn.
	ready bool
	// publishedVersion is the newest version that the control thread was given.
	publishedVersion int64
	versions         []policyVersion
	rejected         []rejectedChange
	// nextOffset is the offset of the log that is read next.
	nextOffset int64
	// gapEnd is the first offset after the newest gap.
	gapEnd int64
	// lastComplete is the newest snapshot without a gap; recover starts from it.
	lastComplete policy.Snapshot
	// pending holds, by identity, the changes of this node's operators that were not
	// read back yet.
	pending map[string]chan changeOutcome
	// versionChanged is closed and replaced when the version increases.
	versionChanged chan struct{}

	snapshotSchedule snapshotSchedule
	// sharedCopy says when the copy that members can request was last renewed and
	// through which offset of the log.
	sharedCopy struct {
		at      time.Time
		through int64
	}
}

func newConfiguration(p *Process) *configuration {
	c := &configuration{
		process: p, peerCopies: make(chan *control.PolicyWanted, copyQueueLength), history: policy.NewHistory(),
		pending: map[string]chan changeOutcome{}, versionChanged: make(chan struct{}),
	}
	c.versions = []policyVersion{{Version: c.history.Version(), set: c.history.Set()}}
	c.lastComplete, _ = c.history.Snapshot()
	c.snapshotSchedule = newSnapshotSchedule(p, time.Now())
	return c
}

// queuePeerCopy queues a member's copy of the configuration, or drops it if the
// queue is full. It runs on the control thread and therefore doesn't decode the copy.
func (p *Process) queuePeerCopy(out *control.PolicyWanted) {
	select {
	case p.configuration.peerCopies <- out:
	default:
	}
}

// run adopts copies of peers, renews the shared copy and writes snapshots until
// the context ends.
func (c *configuration) run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case copied := <-c.peerCopies:
			c.adoptPeerCopy(ctx, copied)
		case <-ticker.C:
			c.requestPeerCopies()
			c.renewSharedCopy(ctx)
			c.writeSnapshotIfDue(ctx)
		}
	}
}

// adoptPeerCopy decodes and adopts a peer's copy.
func (c *configuration) adoptPeerCopy(ctx context.Context, copied *control.PolicyWanted) {
	var snapshot policy.Snapshot
	if err := cbor.Unmarshal(copied.Snapshot, &snapshot); err != nil {
		c.process.recordEvent(event.PolicySnapshotBad, "from", copied.From, "reason", err.Error())
		return
	}
	c.adoptSnapshot(ctx, copied.From, &snapshot, true)
}

// adoptSnapshot replaces the history by a snapshot from a peer or the log, unless
// the snapshot has a lower version. from is the name of the node that made it.
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

// recordLoss tells the history that retention dropped unread records before the
// offset to.
func (c *configuration) recordLoss(to int64) {
	c.mu.Lock()
	c.history.MarkDropped(to)
	c.gapEnd = max(c.gapEnd, to)
	incomplete := c.history.Incomplete()
	c.mu.Unlock()
	if incomplete {
		c.process.recordEvent(event.PolicyIncomplete, "before-offset", to)
	}
}

// replayChange decides on a change that was read from the log: the history accepts
// it, rejects it, or holds it until a gap before it is closed.
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
		newest := c.history.Accepted()
		c.resolveLocked(change.Identity, changeOutcome{accepted: &newest[len(newest)-1]})
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
// decoded, or is of another kind.
func (c *configuration) markReplayed(offset int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.AdvanceTo(offset)
}

// advance records that the log was read up to nextOffset (exclusive) and whether
// that is its end.
func (c *configuration) advance(ctx context.Context, nextOffset int64, caughtUp bool) {
	c.mu.Lock()
	c.history.AdvanceTo(nextOffset - 1)
	c.nextOffset = max(c.nextOffset, nextOffset)
	c.ready = c.ready || (caughtUp && !c.history.Incomplete())
	c.mu.Unlock()
	c.publish(ctx)
}

// appendVersionLocked adds the history's version to the kept versions if it is
// newer than them. The caller holds the mutex.
func (c *configuration) appendVersionLocked() {
	current := c.history.Version()
	if current.Number <= c.versions[len(c.versions)-1].Number {
		return
	}
	next := policyVersion{Version: current, set: c.history.Set()}
	if accepted := c.history.Accepted(); len(accepted) > 0 {
		next.at = accepted[len(accepted)-1].CreatedAt
	}
	c.versions = append(c.versions, next)
	c.versions = slices.Delete(c.versions, 0, max(0, len(c.versions)-maxKeptVersions))
	close(c.versionChanged)
	c.versionChanged = make(chan struct{})
}

// isKnownLocked reports whether the change was accepted or rejected before. The log
// can hold a change twice; the second record is no rejected change. The caller
// holds the mutex.
func (c *configuration) isKnownLocked(identity string) bool {
	return slices.ContainsFunc(c.history.Accepted(), func(a policy.Accepted) bool { return a.Identity == identity }) ||
		slices.ContainsFunc(c.rejected, func(r rejectedChange) bool { return r.change.Identity == identity })
}

// resolveLocked gives a pending change its outcome. The caller holds the mutex.
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

// publish gives the version in force to the control thread if it is newer than the
// last one given.
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
	c.sharedCopy.at, c.sharedCopy.through = time.Now(), snapshot.LastOffset
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

// renewedCopyInput carries a renewed copy of the version in force to the control
// thread. The embedded Tick is nil and only makes the type an input.
type renewedCopyInput struct {
	*control.Tick
	version  uint64
	snapshot []byte
}

// renewSharedCopy brings the copy that members can request up to the offset that
// was read. It does so at most once per copyRenewalInterval.
func (c *configuration) renewSharedCopy(ctx context.Context) {
	c.mu.Lock()
	due := c.publishedVersion > 0 && c.history.NextOffset()-1 > c.sharedCopy.through && time.Since(c.sharedCopy.at) >= copyRenewalInterval
	snapshot, complete := policy.Snapshot{}, false
	if due {
		snapshot, complete = c.history.Snapshot()
	}
	if !complete {
		c.mu.Unlock()
		return
	}
	c.setLastCompleteLocked(&snapshot)
	c.sharedCopy.at, c.sharedCopy.through = time.Now(), snapshot.LastOffset
	c.mu.Unlock()
	if encoded, err := encodeSnapshot(&snapshot); err == nil {
		c.process.sendInput(ctx, &renewedCopyInput{version: uint64(snapshot.Version.Number), snapshot: encoded})
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
