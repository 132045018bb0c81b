package peer

import (
	"maps"
	"sync"
)

// Kind names an event.
type Kind string

// The kinds of events.
const (
	Connected    Kind = "connected"
	Disconnected Kind = "disconnected"
	DialFailed   Kind = "dial-failed"
	// Silent precedes the Disconnected of a connection on which nothing arrived.
	Silent Kind = "silent"
	// RefusedVersion and RefusedSecret are handshakes with a node of another
	// protocol version or cluster secret.
	RefusedVersion Kind = "refused-version"
	RefusedSecret  Kind = "refused-secret"
	// RefusedByPeer is a dial that a node of another protocol version or
	// cluster secret refused.
	RefusedByPeer Kind = "refused-by-peer"
	// RefusedMember is a node that knows the secret and is not in the list, or
	// is the one that should have been dialed.
	RefusedMember Kind = "refused-member"
	// Malformed is a frame or stream that breaks the protocol; its connection
	// is closed.
	Malformed Kind = "malformed"
)

// Event is something that happened to a connection. Peer is empty while the
// name is not proved.
type Event struct {
	Kind    Kind
	Peer    string
	Address string
	Err     error
}

type eventCounts struct {
	mu     sync.Mutex
	counts map[Kind]uint64
}

// event counts an event and passes it on.
func (t *Transport) event(e Event) {
	t.events.mu.Lock()
	if t.events.counts == nil {
		t.events.counts = map[Kind]uint64{}
	}
	t.events.counts[e.Kind]++
	t.events.mu.Unlock()
	t.options.OnEvent(e)
}

// Events returns the number of events of each kind since New.
func (t *Transport) Events() map[Kind]uint64 {
	t.events.mu.Lock()
	defer t.events.mu.Unlock()
	return maps.Clone(t.events.counts)
}
