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

// maxHeartbeatAge is the age up to which a heartbeat is taken as the current state
// of a member.
const maxHeartbeatAge = 2 * time.Second

// replayPosition is the progress of the replay of the log, as shown in the dump.
type replayPosition struct {
	Version    int64 `json:"version"`
	NextOffset int64 `json:"next-offset"`
	Incomplete bool  `json:"incomplete"`
}

func (c *configuration) replayPosition() replayPosition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return replayPosition{Version: c.history.Version().Number, NextOffset: c.nextOffset, Incomplete: c.history.Incomplete()}
}

// requestPeerSnapshots requests snapshots of the configuration from members with the
// same version as this node while this node lacks records: such a snapshot may cover
// them. The control state requests snapshots only from members whose heartbeat has a
// newer version.
func (c *configuration) requestPeerSnapshots() {
	position := c.replayPosition()
	if !position.Incomplete || position.Version == 0 {
		return
	}
	frame, err := control.Encode(&control.PolicyRequest{Above: uint64(position.Version - 1)})
	if err != nil {
		return
	}
	for name, heartbeat := range c.process.heartbeatTable.receivedSince(time.Now().Add(-maxHeartbeatAge)) {
		if heartbeat.policyVersion == uint64(position.Version) {
			_ = c.process.transport.Send(name, peer.Control, frame)
		}
	}
}

// recover appends a snapshot of the version in force on this node as the start of
// a new history. It is needed after retention dropped records that no node has
// read; the changes in those records are lost. All nodes adopt the snapshot at the
// same offset of the log, except nodes with a newer version, which ignore it.
// Refusals are errors of type *operator.Failure.
func (c *configuration) recover(ctx context.Context, author, reason string) (operator.Config, error) {
	p := c.process
	c.mu.Lock()
	incomplete, snapshot := c.history.Incomplete(), c.lastComplete
	// A snapshot that ends before the last missing record would be ignored. The history
	// has kept the changes after the gap and applies them after the snapshot.
	snapshot.LastOffset = c.gapEnd - 1
	c.mu.Unlock()
	if !incomplete {
		return operator.Config{}, &operator.Failure{Status: http.StatusConflict, Message: "this node has the whole configuration; there is nothing to recover"}
	}
	for name, heartbeat := range p.heartbeatTable.receivedSince(time.Now().Add(-maxHeartbeatAge)) {
		if heartbeat.policyVersion > uint64(snapshot.Version.Number) {
			return operator.Config{}, &operator.Failure{Status: http.StatusConflict, Message: fmt.Sprintf(
				"node %s has version %d, newer than version %d here; recover there", name, heartbeat.policyVersion, snapshot.Version.Number)}
		}
	}
	body := policySnapshotBody{Kind: policySnapshotKind, Policy: snapshot}
	record, err := journal.NewRecord(journal.KindSnapshot, p.options.Settings.Node.Name, time.Now(), body)
	if err != nil {
		return operator.Config{}, err
	}
	if _, err := p.journal.Append(record); err != nil {
		return operator.Config{}, notAppliedError(err.Error())
	}
	p.recordEvent(event.PolicyRecovered, "version", snapshot.Version.Number, "through", snapshot.LastOffset, "who", author, "why", reason)
	for deadline := time.Now().Add(applyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, retryInterval) {
		if !c.replayPosition().Incomplete {
			return c.show(ctx, 0)
		}
	}
	return operator.Config{}, &operator.Failure{Status: http.StatusGatewayTimeout, Message: "the snapshot was not read back in time; look at next-offset and incomplete in the dump before trying again"}
}

// setLastCompleteLocked stores the newest snapshot of a complete history. The caller
// holds the mutex.
func (c *configuration) setLastCompleteLocked(snapshot *policy.Snapshot) { c.lastComplete = *snapshot }
