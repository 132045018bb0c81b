package control

import (
	"cmp"
	"slices"
	"time"
)

// path is one direction between two nodes, or between a node and a worker.
type path struct{ from, to string }

// simNetwork delivers messages between nodes. It keeps their order within a
// connection, but not between connections.
type simNetwork struct {
	world *world
	// cuts counts the active cuts of each path; a path with a cut loses
	// everything.
	cuts map[path]int
	// loss is the share of messages that every path loses.
	loss     float64
	maxDelay time.Duration
	// maxBulkDelay is the largest additional delay of messages with payloads.
	maxBulkDelay time.Duration
	lastSent     map[connection]time.Duration
}

type connection struct {
	path
	bulk bool
}

func newSimNetwork(w *world) simNetwork {
	return simNetwork{
		world: w, cuts: map[path]int{}, loss: 0.002, maxDelay: 3 * time.Millisecond,
		lastSent: map[connection]time.Duration{},
	}
}

func (s *simNetwork) send(n *simNode, out *SendPeer, frame []byte) {
	w := s.world
	to := w.byName[out.To]
	p := path{n.name, out.To}
	if to == nil || s.cuts[p] > 0 || w.chance(s.loss) {
		return
	}
	delay := w.between(500*time.Microsecond, s.maxDelay)
	if to.region != n.region {
		delay += 30 * time.Millisecond
	}
	if out.Bulk && s.maxBulkDelay > 0 {
		delay += w.between(0, s.maxBulkDelay)
	}
	conn := connection{p, out.Bulk}
	at := max(w.now+delay, s.lastSent[conn]+1)
	s.lastSent[conn] = at
	incarnation := to.incarnation
	w.after(at-w.now, func() {
		if s.cuts[p] > 0 || to.incarnation != incarnation {
			return
		}
		message, err := Decode(frame)
		if err != nil {
			w.checks.fail("frame from %s to %s can't be decoded: %v", p.from, p.to, err)
			return
		}
		if w.verbose {
			w.trace("%s <- %s %T %+v", p.to, p.from, message, message)
		}
		to.deliver(&PeerMessage{From: p.from, Message: message})
	})
}

// cut makes a path lose everything for a while. Cuts of the same path may
// overlap.
func (s *simNetwork) cut(from, to string, length time.Duration) {
	p := path{from, to}
	s.cuts[p]++
	s.world.after(length, func() { s.cuts[p]-- })
}

// reaches reports whether messages from a node to a worker, or back, get
// through.
func (s *simNetwork) reaches(from, to string) bool { return s.cuts[path{from, to}] == 0 }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
