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

// Bounds and times of the configuration.
const (
	// keptSets is the number of newest versions whose sets can be shown and
	// changed against; 910 changes a day make it about 50 minutes.
	keptSets = 32
	// keptRejected is the number of rejected changes in the history.
	keptRejected = 64
	// copyQueue bounds peers' copies that wait to be read. A copy that is
	// dropped is asked for again with a later heartbeat.
	copyQueue = 4
	// renewCopyEvery is how often the copy for members is brought up to the
	// offset of the log that was read. A node that starts after retention
	// dropped records waits this long for its configuration.
	renewCopyEvery = 2 * time.Second
)

// version is one effective set and when it was accepted.
type version struct {
	policy.Version
	set *policy.Set
	at  time.Time
}

// outcome is what became of a change at its place in the log.
type outcome struct {
	accepted *policy.Accepted
	findings policy.Findings
}

// rejected is a change that this process saw rejected.
type rejected struct {
	change policy.Change
	at     time.Time
}

// configuration replays the policy changes of the log. It passes the effective
// set to the control thread and copies of it to and from peers.
type configuration struct {
	process *Process
	copies  chan *control.PolicyWanted

	mu      sync.Mutex
	history *policy.History
	// ready is set once the end of the log was reached or a peer's copy was
	// taken. A restarted node would otherwise pass through every old version.
	ready    bool
	handed   int64
	versions []version
	rejected []rejected
	// next is the offset of the log that is read next, lostTo the end of the
	// newest gap. complete is the newest whole state, from which recover starts.
	next     int64
	lostTo   int64
	complete policy.Snapshot
	// waiting are the changes of this node's operators that were not read back
	// yet. changed is closed and replaced when the version grows.
	waiting map[string]chan outcome
	changed chan struct{}

	snapshots snapshots
	renewed   struct {
		at      time.Time
		through int64
	}
}

func newConfiguration(p *Process) *configuration {
	c := &configuration{
		process: p, copies: make(chan *control.PolicyWanted, copyQueue), history: policy.NewHistory(),
		waiting: map[string]chan outcome{}, changed: make(chan struct{}),
	}
	c.versions = []version{{Version: c.history.Version(), set: c.history.Set()}}
	c.complete, _ = c.history.Snapshot()
	c.snapshots = newSnapshots(p, time.Now())
	return c
}

// policyCopy takes a member's copy of a newer configuration. It is called on the
// control thread, so that the copy is read elsewhere.
func (p *Process) policyCopy(out *control.PolicyWanted) {
	select {
	case p.configuration.copies <- out:
	default:
	}
}

// run takes copies of peers and writes snapshots until the context ends.
func (c *configuration) run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case copied := <-c.copies:
			c.adoptCopy(ctx, copied)
		case <-ticker.C:
			c.requestCopies()
			c.renewCopy(ctx)
			c.writeSnapshot(ctx)
		}
	}
}

func (c *configuration) adoptCopy(ctx context.Context, copied *control.PolicyWanted) {
	var snapshot policy.Snapshot
	if err := cbor.Unmarshal(copied.Snapshot, &snapshot); err != nil {
		c.process.record(event.PolicySnapshotBad, "from", copied.From, "reason", err.Error())
		return
	}
	c.adopt(ctx, copied.From, &snapshot, true)
}

// adopt takes over a snapshot of a peer or of the log. A snapshot with a lower
// version is never taken.
func (c *configuration) adopt(ctx context.Context, from string, snapshot *policy.Snapshot, fromPeer bool) {
	c.mu.Lock()
	adopted, findings := c.history.InstallSnapshot(*snapshot)
	if adopted {
		c.ready = c.ready || fromPeer
		c.keepVersion()
		c.resolveCovered()
	}
	c.mu.Unlock()
	if len(findings) > 0 {
		c.process.record(event.PolicySnapshotBad, "from", from, "reason", findings.Error())
	}
	c.publish(ctx)
}

// lost notes that retention dropped the offsets before to.
func (c *configuration) lost(to int64) {
	c.mu.Lock()
	c.history.MarkDropped(to)
	c.lostTo = max(c.lostTo, to)
	incomplete := c.history.Incomplete()
	c.mu.Unlock()
	if incomplete {
		c.process.record(event.PolicyIncomplete, "before-offset", to)
	}
}

// changeRead replays a change at its place in the log.
func (c *configuration) changeRead(offset int64, record *journal.Record) {
	var change policy.Change
	if err := record.Decode(&change); err != nil {
		c.process.record(event.PolicyRejected, "offset", offset, "reason", err.Error())
		return
	}
	c.mu.Lock()
	covered := offset < c.history.NextOffset()
	accepted, findings := c.history.Apply(offset, change)
	held := c.history.Incomplete()
	switch {
	case covered:
		// The snapshot that covers the offset names every change that it accepted.
		c.resolveCovered()
		c.resolve(change.Identity, outcome{findings: policy.Findings{{Message: "it was rejected before this node read it; another node's log has the reason"}}})
	case accepted:
		c.keepVersion()
		newest := c.history.Accepted()
		c.resolve(change.Identity, outcome{accepted: &newest[len(newest)-1]})
	case !held && !c.known(change.Identity):
		c.rejected = append(c.rejected, rejected{change, record.Time})
		c.rejected = slices.Delete(c.rejected, 0, max(0, len(c.rejected)-keptRejected))
		c.resolve(change.Identity, outcome{findings: findings})
	}
	ready := c.ready
	c.mu.Unlock()
	switch {
	case !ready || covered || held:
	case accepted:
		c.process.record(event.PolicyAccepted, "offset", offset, "identity", change.Identity, "who", change.Author, "why", change.Reason)
	default:
		c.process.record(event.PolicyRejected, "offset", offset, "identity", change.Identity, "who", change.Author, "reason", findings.Error())
	}
}

// passed notes that the record at an offset was replayed or is of another kind.
func (c *configuration) passed(offset int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.AdvanceTo(offset)
}

// advance notes that the log was read up to an offset and whether that is its end.
func (c *configuration) advance(ctx context.Context, next int64, caughtUp bool) {
	c.mu.Lock()
	c.history.AdvanceTo(next - 1)
	c.next = max(c.next, next)
	c.ready = c.ready || (caughtUp && !c.history.Incomplete())
	c.mu.Unlock()
	c.publish(ctx)
}

// keepVersion needs the lock, like all methods below it up to publish.
func (c *configuration) keepVersion() {
	present := c.history.Version()
	if present.Number <= c.versions[len(c.versions)-1].Number {
		return
	}
	next := version{Version: present, set: c.history.Set()}
	if accepted := c.history.Accepted(); len(accepted) > 0 {
		next.at = accepted[len(accepted)-1].CreatedAt
	}
	c.versions = append(c.versions, next)
	c.versions = slices.Delete(c.versions, 0, max(0, len(c.versions)-keptSets))
	close(c.changed)
	c.changed = make(chan struct{})
}

// known reports whether the history has the change already: the log can hold a
// change twice, and its second copy is not a rejected change.
func (c *configuration) known(identity string) bool {
	return slices.ContainsFunc(c.history.Accepted(), func(a policy.Accepted) bool { return a.Identity == identity }) ||
		slices.ContainsFunc(c.rejected, func(r rejected) bool { return r.change.Identity == identity })
}

func (c *configuration) resolve(identity string, end outcome) {
	if result := c.waiting[identity]; result != nil {
		delete(c.waiting, identity)
		result <- end
	}
}

// resolveCovered answers waiting changes that a snapshot has brought. Those that
// it has not accepted are not answered: they may be behind its offset.
func (c *configuration) resolveCovered() {
	if len(c.waiting) == 0 {
		return
	}
	for _, accepted := range c.history.Accepted() {
		c.resolve(accepted.Identity, outcome{accepted: &accepted})
	}
}

// publish passes a version that has grown to the control thread.
func (c *configuration) publish(ctx context.Context) {
	c.mu.Lock()
	present := c.history.Version()
	snapshot, complete := c.history.Snapshot()
	if !c.ready || !complete || present.Number <= c.handed {
		c.mu.Unlock()
		return
	}
	c.handed = present.Number
	c.keepComplete(&snapshot)
	c.renewed.at, c.renewed.through = time.Now(), snapshot.LastOffset
	set := c.history.Set()
	c.mu.Unlock()
	encoded, err := encodeSnapshot(&snapshot)
	if err != nil {
		c.process.record(event.PolicySnapshotBad, "from", c.process.options.Settings.Node.Name, "reason", err.Error())
	}
	c.process.push(ctx, &control.PolicyAccepted{
		Version: uint64(present.Number), Digest: present.Digest, Rules: rulesOf(set, present.Number), Snapshot: encoded,
	})
}

// policyRenewed carries a newer copy of the version in force to the control
// thread; the input beside it has no meaning.
type policyRenewed struct {
	*control.Tick
	version  uint64
	snapshot []byte
}

// renewCopy brings the copy for members up to the offset that was read.
func (c *configuration) renewCopy(ctx context.Context) {
	c.mu.Lock()
	due := c.handed > 0 && c.history.NextOffset()-1 > c.renewed.through && time.Since(c.renewed.at) >= renewCopyEvery
	snapshot, complete := policy.Snapshot{}, false
	if due {
		snapshot, complete = c.history.Snapshot()
	}
	if !complete {
		c.mu.Unlock()
		return
	}
	c.keepComplete(&snapshot)
	c.renewed.at, c.renewed.through = time.Now(), snapshot.LastOffset
	c.mu.Unlock()
	if encoded, err := encodeSnapshot(&snapshot); err == nil {
		c.process.push(ctx, &policyRenewed{version: uint64(snapshot.Version.Number), snapshot: encoded})
	}
}

// snapshotMode keeps nanoseconds of times, which the default mode drops.
var snapshotMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encodeSnapshot(snapshot *policy.Snapshot) ([]byte, error) { return snapshotMode.Marshal(snapshot) }
