package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
)

// preferredHomeDelay is how long another member has to be first choice before the
// holder hands the range over. Fronts ask the first choice at once, so a longer
// time shows as waiting: 1 s gave a p99 wait of 1.3 s beside 0.3 s now.
const preferredHomeDelay = 200 * time.Millisecond

// handoverClaimPeriod is how long a node asks for a range that was handed to it,
// although its own view may not name it as first choice yet.
const handoverClaimPeriod = time.Second

// formerHomeRetention is how long a node keeps the table of a range of which it is no
// longer the home, for fronts that still ask here.
const formerHomeRetention = 30 * time.Second

// homeIfPreferred is homeFor for ranges that work runs for: the first choice becomes
// the home also if no request comes in. It is nil on other nodes.
func (n *Node) homeIfPreferred(r tenure.Range) *home {
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
	lease, held := n.tenure.Held(n.now, h.homeRange)
	if held && !h.leaseSince.IsZero() {
		if !lease.Since.Equal(h.tableLeaseSince) && !n.overrides.keepExpiredLease {
			n.endLease(h)
		}
		h.leaseNumber = lease.Number
	}
	switch {
	case held && h.leaseSince.IsZero():
		h.leaseSince, h.tableLeaseSince, h.leaseNumber = n.now, lease.Since, lease.Number
		n.event(EventHomeLeaseGained, h.homeRange.Team, h.homeRange.Region)
		if !n.adoptHandover(h, lease.Number) {
			n.startRecovery(h)
		}
	case !held && !h.leaseSince.IsZero() && !n.overrides.keepExpiredLease:
		n.endLease(h)
	}
}

// dropFormerHome forgets the table of a range that another node has had for a
// while. Its fronts have turned to the new home, and what is open here would
// otherwise stay in the table for ever.
func (n *Node) dropFormerHome(h *home) bool {
	if n.servesRange(h) || n.draining {
		h.formerSince = time.Time{}
		return false
	}
	if h.formerSince.IsZero() {
		h.formerSince = n.now
	}
	if n.now.Sub(h.formerSince) < formerHomeRetention {
		return false
	}
	n.dropHome(h)
	return true
}

// dropHome forgets a range with everything that this node knows of it.
func (n *Node) dropHome(h *home) {
	for _, e := range h.active {
		for i := range e.tasks {
			n.decrementOutstanding(&e.tasks[i])
		}
	}
	delete(n.homes, h.homeRange)
}

// handOverToPreferred hands a range over to the member that rendezvous hashing prefers now,
// for example one that has come back: fronts ask there.
func (n *Node) handOverToPreferred(h *home) bool {
	successor := n.homeOf(h.homeRange)
	if successor == "" || successor == n.options.Name || !n.mayAct(h) || n.draining {
		h.otherPreferredSince = time.Time{}
		return false
	}
	if h.otherPreferredSince.IsZero() {
		h.otherPreferredSince = n.now
	}
	if n.now.Sub(h.otherPreferredSince) < preferredHomeDelay || !n.handOver(h) {
		return false
	}
	n.dropHome(h)
	return true
}

// endLease forgets what only a holder may count on. Another home may have
// acted in the meantime, so everything open is suspect.
func (n *Node) endLease(h *home) {
	h.leaseSince, h.completeSince, h.recovery = time.Time{}, time.Time{}, recovery{}
	h.jobsKnown, h.homeRecordSentAt = false, time.Time{}
	n.event(EventHomeLeaseLost, h.homeRange.Team, h.homeRange.Region)
	n.markUnresolved(h)
}

// mayAct reports whether the home may act: it holds the lease by its own clock.
func (n *Node) mayAct(h *home) bool {
	_, held := n.tenure.Held(n.now, h.homeRange)
	return (held || n.overrides.keepExpiredLease) && !h.leaseSince.IsZero()
}
