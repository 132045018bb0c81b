// Package right decides which node may act for a service.
//
// The right to a service is a record in the platform's store. It is taken by
// an append that succeeds only if nobody else appended meanwhile, and its
// offset is the holder's epoch, which fences the former holder's records and
// orders. So two claims at a time do no harm; the decision here only keeps
// nodes from taking a right that is in good hands.
//
// # Usage
//
//	claim, wait := right.Decide(view)
//	if claim { ... append the claim ... } else { ... look again after wait ... }
package right

import (
	"net/netip"
	"time"
)

// Holding is the newest record of a service's right.
type Holding struct {
	// Epoch is 0 as long as nobody ever held the right.
	Epoch   int64
	Node    string
	Boot    int64
	Address netip.AddrPort
	// Released rights are free.
	Released bool
}

const (
	// SuspectAfter is how long a holder may be silent: two missed greetings
	// and the way of a third.
	SuspectAfter = 1300 * time.Millisecond
	// RefusedAfter is how long a holder's port may refuse connections: a
	// process that is restarted at once is back before.
	RefusedAfter = 300 * time.Millisecond
	// AloneAfter is how long a node that reaches no other node waits before
	// it takes a silent holder for gone: a cut of this node alone (5.5 s on
	// the users' platform) mends by itself in this time.
	AloneAfter = 6 * time.Second
	// StoreStale is how old a holder's proof of its right may become while
	// the store serves the node that looks at it: then the store turns the
	// holder away alone.
	StoreStale = 1500 * time.Millisecond
	// FarDelay and BusyDelay leave the right to a node that is nearer to the
	// store, or that holds nothing yet.
	FarDelay  = 350 * time.Millisecond
	BusyDelay = 500 * time.Millisecond
	// SmallDelay leaves the right to a larger VM, also one that is far from
	// the store.
	SmallDelay = 800 * time.Millisecond
	// Step is the pause between two looks.
	Step = 100 * time.Millisecond
)

// View is what a node knows when it decides.
type View struct {
	Now     time.Time
	Holding Holding
	// Self is set if the record names this node, in whatever boot.
	Self bool
	// Holds is set if this process holds the right now.
	Holds bool
	// Vacant is since when the right is known to be free; zero if it isn't.
	Vacant time.Time
	// Heard is when the holder last answered a greeting, or since when it is known.
	Heard time.Time
	// Refused is since when the holder's port refuses connections; zero if it doesn't.
	Refused time.Time
	// ProofAge is the age of the holder's proof as it said itself.
	ProofAge time.Duration
	// StoreSound is how long the node's own calls of the store have succeeded.
	StoreSound time.Duration
	// Others is how many other nodes were asked, Reached how many answered,
	// and Vouched whether one of them hears the holder.
	Others, Reached int
	Vouched         bool
	// Near is set if the store is near, Small if the VM has little processor
	// time; Load is how many rights the node holds.
	Near  bool
	Small bool
	Load  int
	// Jitter differs between nodes, from 0 to 1.
	Jitter float64
}

// Decide reports whether to claim the right now, and the cause in a word.
func Decide(v View) (claim bool, cause string) {
	if v.Holds {
		return false, "holding"
	}
	since, cause := v.vacantSince()
	if since.IsZero() {
		return false, cause
	}
	return !v.Now.Before(since.Add(v.delay())), cause
}

// vacantSince is since when the right may be claimed; zero if it may not.
func (v View) vacantSince() (time.Time, string) {
	switch {
	case v.Holding.Epoch == 0:
		return v.Vacant, "never-held"
	case v.Holding.Released:
		return v.Vacant, "released"
	case v.Self:
		return v.Vacant, "own-former-boot"
	case !v.Vacant.IsZero():
		return v.Vacant, "not-held"
	case !v.Refused.IsZero() && v.Now.Sub(v.Refused) >= RefusedAfter:
		return v.Refused.Add(RefusedAfter), "refused"
	case v.ProofAge >= StoreStale && v.StoreSound >= StoreStale:
		return v.Heard, "without-proof"
	case v.Now.Sub(v.Heard) < SuspectAfter:
		return time.Time{}, "heard"
	case v.Vouched:
		return time.Time{}, "heard-by-others"
	case v.Others > 0 && v.Reached == 0 && v.Now.Sub(v.Heard) < AloneAfter:
		return time.Time{}, "alone"
	}
	return v.Heard.Add(SuspectAfter), "silent"
}

// jitterSpan spreads the claims of nodes that are alike.
const jitterSpan = 120 * time.Millisecond

func (v View) delay() time.Duration {
	delay := time.Duration(v.Jitter * float64(jitterSpan))
	if !v.Near {
		delay += FarDelay
	}
	if v.Small {
		delay += SmallDelay
	}
	return delay + time.Duration(v.Load)*BusyDelay
}
