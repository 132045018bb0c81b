package peer

import (
	"maps"
	"sync"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	Connected    Kind = "connected"
	Disconnected Kind = "disconnected"
	DialFailed   Kind = "dial-failed"
	// Silent precedes Disconnected if no data arrived on the connection for
	// Options.ReceiveTimeout.
	Silent Kind = "silent"
	// RefusedVersion and RefusedSecret are handshakes that this node refused
	// because the other node has another protocol version or cluster secret.
	RefusedVersion Kind = "refused-version"
	RefusedSecret  Kind = "refused-secret"
	// RefusedByPeer is a dial that the other node refused because it has
	// another protocol version or cluster secret.
	RefusedByPeer Kind = "refused-by-peer"
	// RefusedMember is a connection that this node refused although the other
	// node knows the secret: the other node is not in the member list, it dialed
	// although this node is the one that dials, or it has another name than the
	// member with its address.
	RefusedMember Kind = "refused-member"
	// Malformed is a frame or stream that violates the protocol; its
	// connection is closed.
	Malformed Kind = "malformed"
)

// Event describes a change or a fault of a connection.
type Event struct {
	Kind Kind
	// Peer is the name of the other node. It is empty for a refused incoming
	// handshake, in which no valid certificate has proved the name.
	Peer    string
	Address string
	Err     error
}

type eventCounters struct {
	mu     sync.Mutex
	counts map[Kind]uint64
}

// reportEvent counts an event and passes it to Options.OnEvent.
func (t *Transport) reportEvent(e Event) {
	t.eventCounts.mu.Lock()
	if t.eventCounts.counts == nil {
		t.eventCounts.counts = map[Kind]uint64{}
	}
	t.eventCounts.counts[e.Kind]++
	t.eventCounts.mu.Unlock()
	t.options.OnEvent(e)
}

// Events returns the number of events of each kind since New.
func (t *Transport) Events() map[Kind]uint64 {
	t.eventCounts.mu.Lock()
	defer t.eventCounts.mu.Unlock()
	return maps.Clone(t.eventCounts.counts)
}
