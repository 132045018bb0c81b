package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
)

// giveBackAfter is how long another member has to be first choice before the
// holder hands the range over. Fronts ask the first choice at once, so a longer
// time shows as waiting: 1 s gave a p99 wait of 1.3 s beside 0.3 s now.
const giveBackAfter = 200 * time.Millisecond

// claimAfterHandover is how long a node asks for a range that was handed to it,
// although its own view may not name it as first choice yet.
const claimAfterHandover = time.Second

// unwantedLimit is how long a node keeps the table of a range of which it is no
// longer the home, for fronts that still ask here.
const unwantedLimit = 30 * time.Second

// wantedHome is homeFor for ranges that work runs for: the first choice becomes
// the home also if no request comes in. It is nil on other nodes.
func (n *Node) wantedHome(r tenure.Range) *home {
	if h := n.homes[r]; h != nil {
		return h
	}
	if r.Region != n.options.Region || n.draining || n.homeOf(r) != n.options.Name || len(n.homes) >= tenure.MaxRanges {
		return nil
	}
	return n.homeFor(r)
}

// tickLease notes when a lease begins and ends.
func (n *Node) tickLease(h *home) {
	lease, held := n.tenure.Held(n.now, h.place)
	if held && !h.leaseSince.IsZero() {
		if !lease.Since.Equal(h.tenureSince) && !n.guards.keepLapsedLease {
			n.loseLease(h)
		}
		h.number = lease.Number
	}
	switch {
	case held && h.leaseSince.IsZero():
		h.leaseSince, h.tenureSince, h.number = n.now, lease.Since, lease.Number
		n.event(EventHomeLeaseGained, h.place.Team, h.place.Region)
		if !n.takeOverKnowledge(h, lease.Number) {
			n.startRecovery(h)
		}
	case !held && !h.leaseSince.IsZero() && !n.guards.keepLapsedLease:
		n.loseLease(h)
	}
}

// dropUnwanted forgets the table of a range that another node has had for a
// while. Its fronts have turned to the new home, and what is open here would
// otherwise stay in the table for ever.
func (n *Node) dropUnwanted(h *home) bool {
	if n.wants(h) || n.draining {
		h.unwantedSince = time.Time{}
		return false
	}
	if h.unwantedSince.IsZero() {
		h.unwantedSince = n.now
	}
	if n.now.Sub(h.unwantedSince) < unwantedLimit {
		return false
	}
	n.dropHome(h)
	return true
}

// dropHome forgets a range with everything that this node knows of it.
func (n *Node) dropHome(h *home) {
	for _, e := range h.active {
		for i := range e.tasks {
			n.settleOutstanding(&e.tasks[i])
		}
	}
	delete(n.homes, h.place)
}

// giveBack hands a range over to the member that rendezvous hashing prefers now,
// for example one that has come back: fronts ask there.
func (n *Node) giveBack(h *home) bool {
	successor := n.homeOf(h.place)
	if successor == "" || successor == n.options.Name || !n.mayAct(h) || n.draining {
		h.strangerSince = time.Time{}
		return false
	}
	if h.strangerSince.IsZero() {
		h.strangerSince = n.now
	}
	if n.now.Sub(h.strangerSince) < giveBackAfter || !n.handOver(h) {
		return false
	}
	n.dropHome(h)
	return true
}

// loseLease forgets what only a holder may count on. Another home may have
// acted in the meantime, so everything open is suspect.
func (n *Node) loseLease(h *home) {
	h.leaseSince, h.knownSince, h.recovery = time.Time{}, time.Time{}, recovery{}
	h.jobsKnown, h.askedLog = false, time.Time{}
	n.event(EventHomeLeaseLost, h.place.Team, h.place.Region)
	n.suspectAll(h)
}

// mayAct reports whether the home may act: it holds the lease by its own clock.
func (n *Node) mayAct(h *home) bool {
	_, held := n.tenure.Held(n.now, h.place)
	return (held || n.guards.keepLapsedLease) && !h.leaseSince.IsZero()
}
