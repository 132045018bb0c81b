package control

import (
	"cmp"
	"slices"
	"time"
)

// path is a direction between two nodes, or between a node and a worker.
type path struct{ from, to string }

// simNetwork carries messages between nodes. Messages on one connection keep
// their order; connections don't.
type simNetwork struct {
	world *world
	// cuts are the paths that lose everything.
	cuts map[path]int
	// loss is the share of messages lost on every path.
	loss    float64
	slowest time.Duration
	// slowBulk delays messages with payloads further.
	slowBulk time.Duration
	lastSent map[connection]time.Duration
}

type connection struct {
	path
	bulk bool
}

func newSimNetwork(w *world) simNetwork {
	return simNetwork{
		world: w, cuts: map[path]int{}, loss: 0.002, slowest: 3 * time.Millisecond,
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
	delay := w.between(500*time.Microsecond, s.slowest)
	if to.region != n.region {
		delay += 30 * time.Millisecond
	}
	if out.Bulk && s.slowBulk > 0 {
		delay += w.between(0, s.slowBulk)
	}
	on := connection{p, out.Bulk}
	at := max(w.now+delay, s.lastSent[on]+1)
	s.lastSent[on] = at
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

// cut loses everything on a path until it is healed as often.
func (s *simNetwork) cut(from, to string, length time.Duration) {
	p := path{from, to}
	s.cuts[p]++
	s.world.after(length, func() { s.cuts[p]-- })
}

// reaches reports whether a call between a node and a worker gets through.
func (s *simNetwork) reaches(from, to string) bool { return s.cuts[path{from, to}] == 0 }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
