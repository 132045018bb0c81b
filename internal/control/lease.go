package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
)

// preferredHomeDelay is how long another member has to be the preferred home
// before the holder hands over the range. Fronts use the preferred home at
// once, so the delay adds to the wait of requests: a delay of 1 s raises the p99
// wait from 0.3 s to 1.3 s.
const preferredHomeDelay = 200 * time.Millisecond

// handoverClaimPeriod is how long a node requests the lease of a range that was
// handed over to it, even if its own member table does not prefer it yet.
const handoverClaimPeriod = time.Second

// formerHomeRetention is how long a node keeps the table of a range after it
// ceased to be the home, for fronts that still send requests here.
const formerHomeRetention = 30 * time.Second

// existingOrPreferredHome returns this node's home of a range. If there is none
// it creates the home when this node is the preferred one, even without a
// request from a front, and otherwise returns nil.
func (n *Node) existingOrPreferredHome(r tenure.Range) *home {
	if h := n.homes[r]; h != nil {
		return h
	}
	if r.Region != n.options.Region || n.draining || n.homeOf(r) != n.options.Name || len(n.homes) >= tenure.MaxRanges {
		return nil
	}
	return n.homeFor(r)
}

// tickLease handles the start and the end of a lease.
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

// dropFormerHome drops the table of a range that has belonged to another node
// for formerHomeRetention. Its fronts use the new home by then, and entries
// that are open here would otherwise never be removed. It reports whether the
// table was dropped.
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

// dropHome removes a range with all its state.
func (n *Node) dropHome(h *home) {
	for _, e := range h.active {
		for i := range e.tasks {
			n.decrementOutstanding(&e.tasks[i])
		}
	}
	delete(n.homes, h.homeRange)
}

// handOverToPreferred hands over a range to the member that rendezvous hashing
// now prefers, for example one that has returned, since fronts send requests
// there. It reports whether the range was handed over.
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

// endLease discards the state that is valid only under the lease. Another home
// may have acted in the meantime, so all open requests become unresolved.
func (n *Node) endLease(h *home) {
	h.leaseSince, h.completeSince, h.recovery = time.Time{}, time.Time{}, recovery{}
	h.jobsKnown, h.homeRecordSentAt = false, time.Time{}
	n.event(EventHomeLeaseLost, h.homeRange.Team, h.homeRange.Region)
	n.markUnresolved(h)
}

// mayAct reports whether the home may act: by its own clock, it holds the
// lease.
func (n *Node) mayAct(h *home) bool {
	_, held := n.tenure.Held(n.now, h.homeRange)
	return (held || n.overrides.keepExpiredLease) && !h.leaseSince.IsZero()
}
