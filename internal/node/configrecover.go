package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/journal"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/internal/peer"
	"yuccalanding.example/yuccalanding/internal/policy"
)

// freshHeartbeat is the age up to which a member's heartbeat counts.
const freshHeartbeat = 2 * time.Second

// position is how far the log was replayed.
type position struct {
	Version    int64 `json:"version"`
	Next       int64 `json:"next-offset"`
	Incomplete bool  `json:"incomplete"`
}

func (c *configuration) position() position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return position{Version: c.history.Version().Number, Next: c.next, Incomplete: c.history.Incomplete()}
}

// requestCopies asks the members for their copies while records are missing
// here. Heartbeats lead to a request only from a member with a newer version,
// but one with the same version can close the gap as well.
func (c *configuration) requestCopies() {
	at := c.position()
	if !at.Incomplete || at.Version == 0 {
		return
	}
	frame, err := control.Encode(&control.PolicyRequest{Above: uint64(at.Version - 1)})
	if err != nil {
		return
	}
	for name, view := range c.process.views.fresh(time.Now().Add(-freshHeartbeat)) {
		if view.version == uint64(at.Version) {
			_ = c.process.transport.Send(name, peer.Control, frame)
		}
	}
}

// recover makes the version in force here the start of a new history, for the
// case that retention dropped records that no node has read. Changes in the
// dropped records are lost. All nodes take the record at the same place of the
// log, and none with a newer version takes it.
func (c *configuration) recover(ctx context.Context, author, reason string) (operator.Config, error) {
	p := c.process
	c.mu.Lock()
	incomplete, snapshot := c.history.Incomplete(), c.complete
	// Changes behind the gap are held and are applied after the snapshot.
	snapshot.LastOffset = c.lostTo - 1
	c.mu.Unlock()
	if !incomplete {
		return operator.Config{}, &operator.Failure{Status: http.StatusConflict, Message: "this node has the whole configuration; there is nothing to recover"}
	}
	for name, view := range p.views.fresh(time.Now().Add(-freshHeartbeat)) {
		if view.version > uint64(snapshot.Version.Number) {
			return operator.Config{}, &operator.Failure{Status: http.StatusConflict, Message: fmt.Sprintf(
				"node %s has version %d, newer than version %d here; recover there", name, view.version, snapshot.Version.Number)}
		}
	}
	body := policySnapshotBody{Kind: snapshotOfPolicy, Policy: snapshot}
	record, err := journal.NewRecord(journal.KindSnapshot, p.options.Settings.Node.Name, time.Now(), body)
	if err != nil {
		return operator.Config{}, err
	}
	if _, err := p.journal.Append(record); err != nil {
		return operator.Config{}, notApplied(err.Error())
	}
	p.record(event.PolicyRecovered, "version", snapshot.Version.Number, "through", snapshot.LastOffset, "who", author, "why", reason)
	for wait := time.Now().Add(applyBound); time.Now().Before(wait) && ctx.Err() == nil; pause(ctx, retryPause) {
		if !c.position().Incomplete {
			return c.show(ctx, 0)
		}
	}
	return operator.Config{}, &operator.Failure{Status: http.StatusGatewayTimeout, Message: "the snapshot was not read back in time; look at next-offset and incomplete in the dump before trying again"}
}

// keepComplete remembers the newest whole state; it needs the lock.
func (c *configuration) keepComplete(snapshot *policy.Snapshot) { c.complete = *snapshot }
