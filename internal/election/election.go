// Package election decides whether a node claims the leadership of a shard of a service.
//
// A shard's leader is named by the newest record under the shard's key in the
// platform's store. The platform's topics and this project's events call
// leadership a "right". A node claims leadership by an append that succeeds
// only if nobody else appended meanwhile. The offset of that record gives the
// leader's epoch, a fencing token: the store and the workers refuse the former
// leader's records and orders. Concurrent claims are therefore safe. The
// decision in this package only keeps nodes from replacing a leader that works.
//
// # Usage
//
//	if claim, cause := election.Decide(view); claim {
//		... append the claim ...
//	} else {
//		... check again after election.NextCheck(view) ...
//	}
package election

import (
	"math"
	"net/netip"
	"time"
)

// Leader is the newest leadership record of a shard.
type Leader struct {
	// Epoch is 0 if the shard never had a leader.
	Epoch int64
	Node  string
	// Boot is when the leader's process started, in ns of Unix time.
	Boot int64
	// Address is where the leader takes calls of other nodes.
	Address netip.AddrPort
	// Released means that any node may claim leadership. The leader goes on
	// until one does.
	Released bool
	// ReleasedClaim is the epoch of the claim that was released; 0 if leadership isn't
	// released, or the record doesn't say.
	ReleasedClaim int64
	// Predecessors are the claims of the leaders before this one, the oldest first and
	// without gaps. Older ones may be missing.
	Predecessors []Claim
	// LimitsLeases means that the leader acts for MaxUnwitnessedAge after its last
	// confirmation, and longer only with witnesses, and that its leases are limited from the
	// confirmation, or from the polls that its witnesses answered.
	LimitsLeases bool
}

// Claim is a claim of the leadership of a shard.
type Claim struct {
	// Epoch is the epoch of the leader; 0 stands for a shard that never had one.
	Epoch   int64          `cbor:"1,keyasint"`
	Node    string         `cbor:"2,keyasint"`
	Boot    int64          `cbor:"3,keyasint"`
	Address netip.AddrPort `cbor:"4,keyasint"`
	// LimitsLeases is that of Leader. It is not set by earlier programs.
	LimitsLeases bool `cbor:"5,keyasint,omitempty"`
}

const (
	// MaxConfirmationAge is how long a leader acts after the store last
	// confirmed its leadership: longer than the store outages that the users
	// plan for (9 s).
	MaxConfirmationAge = 10 * time.Second
	// MaxUnwitnessedAge is the same for a leader without witnesses, which are workers that
	// have answered polls that it sent within MaxWitnessAge. It is the age at which other
	// nodes replace a leader that alone is cut off from the store.
	MaxUnwitnessedAge = StaleConfirmationAge
	// MaxWitnessAge is how long ago a leader must have sent the polls that its witnesses
	// answered: two polls that wait at a worker (0.7 s each), and their travel.
	MaxWitnessAge = 2 * time.Second
	// MaxConfirmationAgeReleased is the same for a leader that has released its
	// leadership and acts until another node claims it: two confirmations may
	// fail.
	MaxConfirmationAgeReleased = 1 * time.Second
	// SuspectAfter is how long a leader may leave the heartbeats of a monitor
	// unanswered: two missed heartbeats and the travel time of a third.
	SuspectAfter = 800 * time.Millisecond
	// BackgroundSuspectAfter is the same for a node that is no monitor: two of
	// its heartbeat intervals, and the time in which a monitor has replaced the
	// leader.
	BackgroundSuspectAfter = 2500 * time.Millisecond
	// RefusedAfter is how long a leader's port may refuse connections. A
	// process that is restarted at once listens again within this time.
	RefusedAfter = 300 * time.Millisecond
	// IsolatedAfter is how long a node that reaches no other node waits after the
	// leader's last answer or append before it takes the leader for dead. A network failure of this node
	// alone (5.5 s on the users' platform) ends within this time.
	IsolatedAfter = 6 * time.Second
	// AppendInterval is the time after which a leader without changes appends a
	// record to the shard's partitions, so that nodes that don't reach it see
	// that it works.
	AppendInterval = 1 * time.Second
	// QuietAfter is for how long a leader must append nothing before a node that
	// reaches no other node claims.
	QuietAfter = 2 * AppendInterval
	// StaleConfirmationAge is how old a leader's confirmation may become while
	// the store serves this node. An older one means that only the leader is
	// cut off from the store. A store that is 60 times slower than usual (360
	// ms for an append) still confirms within this time.
	StaleConfirmationAge = 1000 * time.Millisecond
	// FarStoreDelay and LeaderLoadDelay postpone claims, so that a node closer
	// to the store, or one that leads fewer shards, claims first.
	FarStoreDelay   = 350 * time.Millisecond
	LeaderLoadDelay = 500 * time.Millisecond
	// SmallVMDelay lets a larger VM claim first, even one that is far from the
	// store.
	SmallVMDelay = 800 * time.Millisecond
	// EarlierStartDelay postpones the claim of a shard whose leader has
	// released it, by a node that was started before that leader. In a rolling
	// restart such a node is still to be restarted.
	EarlierStartDelay = 150 * time.Millisecond
	// CheckInterval is the longest time between two checks of a shard's
	// leadership.
	CheckInterval = 100 * time.Millisecond
)

// View is what a node knows of a shard's leadership when it decides whether to
// claim it.
type View struct {
	Now    time.Time
	Leader Leader
	// OwnRecord is set if the record names this node, in this or an earlier
	// boot.
	OwnRecord bool
	// Leading is set if this process leads the shard now.
	Leading bool
	// VacantSince is the time since which the shard is known to have no leader;
	// zero if it has one.
	VacantSince time.Time
	// LastHeard is when the last heartbeat that the leader answered was sent; at
	// first, when this node learned of the leader.
	LastHeard time.Time
	// RefusedSince is the time since which the leader's port refuses
	// connections; zero if it doesn't.
	RefusedSince time.Time
	// ConfirmationAge is the age of the leader's confirmation, as the leader
	// reported it in its last answer. It counts only while the leader answers.
	ConfirmationAge time.Duration
	// StoreHealthyFor is for how long the store has answered this node's polls; 0 if
	// the last one failed.
	StoreHealthyFor time.Duration
	// PeersAsked is how many other nodes were asked whether the leader answers
	// their heartbeats, PeersReached how many of them replied, and HeardByPeer
	// whether the leader answers one of them.
	PeersAsked, PeersReached int
	HeardByPeer              bool
	// PeersChecked is set once the three fields above are valid. NearPeerReached is
	// set if one of the nodes that replied has the store in its region.
	PeersChecked, NearPeerReached bool
	// LeaderSilentOnIdleLink is set if the store has just answered this node as fast as
	// ever, and the leader didn't answer a heartbeat after that.
	LeaderSilentOnIdleLink bool
	// LastAppend is when this node last found that the leader had appended
	// records to the shard's partitions; zero if it never did. QuietFor is for
	// how long it has found none; 0 if it hasn't just read the partitions' ends.
	// A node reads them only if MustObserveAppends.
	LastAppend time.Time
	QuietFor   time.Duration
	// NearStore is set if the store is in the node's region.
	NearStore bool
	// SmallVM is set if the VM has only a small share of a core.
	SmallVM bool
	// ShardsLed is how many shards the node leads.
	ShardsLed int
	// IsMonitor is set if the node is one of the leader's monitors, which send
	// frequent heartbeats. HeartbeatInterval is the time between two of this
	// node's heartbeats if it isn't a monitor.
	IsMonitor         bool
	HeartbeatInterval time.Duration
	// StartedLater is set if this process was started after the leader's.
	StartedLater bool
	// Jitter differs between nodes. It is in [0, 1).
	Jitter float64
	// Shards is the number of shards of all services. All of them may be without
	// a leader at once, so claims are spread over a time that grows with their
	// number.
	Shards int
}

// Cause is why leadership may be claimed, or why not.
type Cause string

// Causes. The values are written to the log.
const (
	Leading           Cause = "holding"         // this process leads the shard
	NeverLed          Cause = "never-held"      // the shard never had a leader
	Released          Cause = "released"        // the leader has released leadership
	OwnPreviousBoot   Cause = "own-former-boot" // the record names this node's previous process
	NotLeading        Cause = "not-held"        // the node in the record doesn't lead the shard
	ConnectionRefused Cause = "refused"         // the leader's port refuses connections
	Unconfirmed       Cause = "without-proof"   // the leader's confirmation is too old
	Heard             Cause = "heard"           // the leader answers heartbeats
	HeardByPeers      Cause = "heard-by-others" // the leader answers another node's heartbeats
	NoPeerReached     Cause = "alone"           // no node answers, and the leader may still append records
	NoNearPeerReached Cause = "far-alone"       // no node near the store answers, and the leader may still append records
	Silent            Cause = "silent"          // the leader answers no heartbeats
)

// FormerLeaderActsFor is how long after the claim the former leader may still
// extend leases. It says nothing of the leaders before that one. A refused connection doesn't prove that its process ended: a
// network can refuse connections too.
func (c Cause) FormerLeaderActsFor() time.Duration {
	switch c {
	case NeverLed, OwnPreviousBoot, NotLeading:
		return 0
	case Released:
		return MaxConfirmationAgeReleased
	}
	return MaxConfirmationAge
}

// NeedsProbe reports whether the store must have answered this node just before the
// claim: the leader may be the one that works, and the store the one that doesn't.
func (c Cause) NeedsProbe() bool {
	switch c {
	case NeverLed, OwnPreviousBoot, Released:
		return false
	}
	return true
}

// Decide reports whether to claim leadership now, and the cause.
func Decide(v View) (claim bool, cause Cause) {
	if v.Leading {
		return false, Leading
	}
	since, cause := v.claimableSince()
	if since.IsZero() {
		return false, cause
	}
	return !v.Now.Before(since.Add(v.claimDelay())), cause
}

// NextCheck is how long a node that doesn't claim yet waits before it decides
// again.
func NextCheck(v View) time.Duration {
	since, _ := v.claimableSince()
	if due := since.Add(v.claimDelay()).Sub(v.Now); !since.IsZero() && due > 0 {
		return min(due, CheckInterval)
	}
	return CheckInterval
}

// claimableSince returns the time since which leadership may be claimed; zero
// if it may not.
func (v View) claimableSince() (time.Time, Cause) {
	switch {
	case v.Leader.Epoch == 0:
		return v.VacantSince, NeverLed
	case v.Leader.Released:
		return v.VacantSince, Released
	case v.OwnRecord:
		return v.VacantSince, OwnPreviousBoot
	case !v.VacantSince.IsZero():
		return v.VacantSince, NotLeading
	case !v.RefusedSince.IsZero() && v.Now.Sub(v.RefusedSince) >= RefusedAfter:
		return v.RefusedSince.Add(RefusedAfter), ConnectionRefused
	case v.Now.Sub(v.LastHeard) < SuspectTimeout(v.IsMonitor, v.HeartbeatInterval):
		if v.ConfirmationAge >= StaleConfirmationAge && v.StoreHealthyFor >= StaleConfirmationAge {
			return v.unconfirmedSince(), Unconfirmed
		}
		return time.Time{}, Heard
	case v.HeardByPeer:
		return time.Time{}, HeardByPeers
	case v.isolated() && (v.Now.Sub(v.lastSign()) < IsolatedAfter || v.QuietFor < QuietAfter):
		return time.Time{}, NoPeerReached
	case v.CutOffFromStoreRegion() && !v.LeaderSilentOnIdleLink && v.QuietFor < QuietAfter:
		return time.Time{}, NoNearPeerReached
	}
	return v.LastHeard.Add(SuspectTimeout(v.IsMonitor, v.HeartbeatInterval)), Silent
}

// unconfirmedSince is the time since which the leader's confirmation has been stale while the
// store served this node. Heartbeats don't move it, as they come more often than some nodes may
// claim.
func (v View) unconfirmedSince() time.Time {
	stale := v.LastHeard.Add(StaleConfirmationAge - v.ConfirmationAge)
	if served := v.Now.Add(StaleConfirmationAge - v.StoreHealthyFor); served.After(stale) {
		return served
	}
	return stale
}

// isolated reports whether the node reaches no other node. Then it is most
// likely the node that is cut off, and not the leader.
func (v View) isolated() bool { return v.PeersAsked > 0 && v.PeersReached == 0 }

// CutOffFromStoreRegion reports whether a node of another region than the store's reaches
// only nodes like itself. Then the link between the regions may be full, and the leader may
// work.
func (v View) CutOffFromStoreRegion() bool {
	return v.PeersChecked && !v.isolated() && !v.NearStore && !v.NearPeerReached
}

// lastSign is when the leader last answered this node or was found to append.
func (v View) lastSign() time.Time {
	if v.LastAppend.After(v.LastHeard) {
		return v.LastAppend
	}
	return v.LastHeard
}

// MustObserveAppends reports whether the node has to find out whether the leader
// appends records. An isolated node begins QuietAfter before it may claim.
func (v View) MustObserveAppends() bool {
	return v.isolated() && v.Now.Sub(v.lastSign()) >= IsolatedAfter-QuietAfter || v.CutOffFromStoreRegion() && !v.LeaderSilentOnIdleLink
}

// MissedHeartbeats is how many heartbeat intervals a leader may leave
// unanswered.
const MissedHeartbeats = 2.5

// SuspectTimeout is how long a leader may be silent before a node suspects it.
// A node that is no monitor sends heartbeats at the given interval.
func SuspectTimeout(isMonitor bool, interval time.Duration) time.Duration {
	if isMonitor {
		return SuspectAfter
	}
	return max(BackgroundSuspectAfter, time.Duration(MissedHeartbeats*float64(interval)))
}

const (
	// claimJitter is the span over which nodes with equal delays spread their
	// claims.
	claimJitter = 120 * time.Millisecond
	// claimDuration is the time in which the store appends a claim and the
	// nodes near the store read it. Other claims sent in this time fail.
	claimDuration = 8 * time.Millisecond
	// reclaimSpread spreads the claims of restarted nodes that lead the same
	// shards again: the span is twice the time that the claims take, so that
	// few collide.
	reclaimSpread = 2
	// spreadNodes is the number of nodes up to which claimSpread lets about one
	// node claim first.
	spreadNodes = 4000
)

// claimSpread is the part of claimDelay that differs between nodes whose other
// delays are equal. A node doesn't know how many others claim too, so this part
// is distributed such that the share of nodes that have begun to claim grows
// exponentially with time. Of any number of nodes up to spreadNodes only a few
// begin first, and the others see their claims.
func (v View) claimSpread() time.Duration {
	if v.IsMonitor {
		return time.Duration(v.Jitter * float64(claimJitter)) // a leader has few monitors
	}
	logNodes := math.Log(spreadNodes)
	span := max(float64(claimJitter), float64(v.allClaimsDuration())*logNodes)
	const lowest = 1.0 / spreadNodes
	return time.Duration(span * (1 + math.Log(lowest+v.Jitter*(1-lowest))/logNodes))
}

// allClaimsDuration is the time that one claim of every shard takes, one after
// the other.
func (v View) allClaimsDuration() time.Duration { return time.Duration(v.Shards) * claimDuration }

// claimDelay is how long the node waits after leadership became claimable.
func (v View) claimDelay() time.Duration {
	if v.OwnRecord && !v.Leader.Released {
		// The record names this node's previous process, so no other node has a
		// reason to claim yet. All nodes may have been restarted.
		return time.Duration(v.Jitter * reclaimSpread * float64(v.allClaimsDuration()))
	}
	delay := v.claimSpread()
	if !v.NearStore {
		delay += FarStoreDelay
	}
	if v.SmallVM {
		delay += SmallVMDelay
	}
	if v.Leader.Released && !v.StartedLater {
		delay += EarlierStartDelay
	}
	return delay + time.Duration(v.ShardsLed)*LeaderLoadDelay
}
