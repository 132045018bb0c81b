package node

import (
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
)

// memberHeartbeat is the content of a member's newest heartbeat. receivedAt is zero
// if none was received.
type memberHeartbeat struct {
	policyVersion uint64
	policyDigest  uint64
	sessions      int
	receivedAt    time.Time
}

// heartbeatTable holds the newest heartbeat of each member. Its size is bounded by
// the members in the settings, since the transport accepts no other peers.
type heartbeatTable struct {
	mu      sync.Mutex
	members map[string]memberHeartbeat
}

func newHeartbeatTable() *heartbeatTable {
	return &heartbeatTable{members: map[string]memberHeartbeat{}}
}

func (t *heartbeatTable) store(from string, heartbeat *control.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[from] = memberHeartbeat{policyVersion: heartbeat.PolicyVersion, policyDigest: heartbeat.PolicyDigest, sessions: heartbeat.Sessions, receivedAt: time.Now()}
}

// latest returns a member's newest heartbeat, or the zero value if there is none.
func (t *heartbeatTable) latest(name string) memberHeartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[name]
}

// receivedSince returns, by member name, the newest heartbeats that were received
// after since.
func (t *heartbeatTable) receivedSince(since time.Time) map[string]memberHeartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := map[string]memberHeartbeat{}
	for name, heartbeat := range t.members {
		if heartbeat.receivedAt.After(since) {
			members[name] = heartbeat
		}
	}
	return members
}
