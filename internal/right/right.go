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
//	if claim, cause := right.Decide(view); claim {
//		... append the claim ...
//	} else {
//		... look again after right.Wait(view) ...
//	}
package right

import (
	"math"
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
	// Released rights are free. Their holder acts until another node claims.
	Released bool
}

const (
	// KeepWithoutProof is how long a holder acts without a proof of its right:
	// longer than the outages of the store that the users plan for (9 s).
	KeepWithoutProof = 10 * time.Second
	// KeepOffered is the same for a holder that has released its right and
	// acts until another node claims it: two proofs may fail.
	KeepOffered = 1 * time.Second
	// SuspectAfter is how long a holder may be silent: two missed greetings
	// and the way of a third.
	SuspectAfter = 800 * time.Millisecond
	// IdleSuspectAfter is the same for a node that doesn't watch the holder
	// closely: two of its greetings, and the change of holder that a node which
	// does has made by then.
	IdleSuspectAfter = 2500 * time.Millisecond
	// RefusedAfter is how long a holder's port may refuse connections: a
	// process that is restarted at once is back before.
	RefusedAfter = 300 * time.Millisecond
	// AloneAfter is how long a node that reaches no other node waits before
	// it takes a silent holder for gone: a cut of this node alone (5.5 s on
	// the users' platform) mends by itself in this time.
	AloneAfter = 6 * time.Second
	// StoreStale is how old a holder's proof of its right may become while
	// the store serves the node that looks at it: then the store turns the
	// holder away alone. A store that is 60 times slower (360 ms an append)
	// still gives a proof in this time.
	StoreStale = 1000 * time.Millisecond
	// FarDelay and BusyDelay leave the right to a node that is nearer to the
	// store, or that holds nothing yet.
	FarDelay  = 350 * time.Millisecond
	BusyDelay = 500 * time.Millisecond
	// SmallDelay leaves the right to a larger VM, also one that is far from
	// the store.
	SmallDelay = 800 * time.Millisecond
	// OlderDelay leaves a released right to a node that was started after the
	// one that releases it: a rolling restart comes to the others yet.
	OlderDelay = 150 * time.Millisecond
	// Step is the longest pause between two looks.
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
	// Watches is set if the node greets the holder often; Pause is the time
	// between two of its greetings otherwise.
	Watches bool
	Pause   time.Duration
	// Newer is set if this process was started after the holder's.
	Newer bool
	// Jitter differs between nodes, from 0 to 1.
	Jitter float64
	// Rights is how many rights there are: many may be free at once.
	Rights int
}

// Cause is why a right may be claimed, or why not.
type Cause string

// Causes.
const (
	Holds         Cause = "holding"
	NeverHeld     Cause = "never-held"
	Released      Cause = "released"
	OwnFormerBoot Cause = "own-former-boot"
	NotHeld       Cause = "not-held"
	Refused       Cause = "refused"
	WithoutProof  Cause = "without-proof"
	Heard         Cause = "heard"
	HeardByOthers Cause = "heard-by-others"
	Alone         Cause = "alone"
	Silent        Cause = "silent"
)

// FormerActs is how long after the claim the former holder may still extend
// leases. A refused connection proves nothing: a network can refuse it too.
func (c Cause) FormerActs() time.Duration {
	switch c {
	case NeverHeld, OwnFormerBoot, NotHeld:
		return 0
	case Released:
		return KeepOffered
	}
	return KeepWithoutProof
}

// Decide reports whether to claim the right now, and the cause.
func Decide(v View) (claim bool, cause Cause) {
	if v.Holds {
		return false, Holds
	}
	since, cause := v.vacantSince()
	if since.IsZero() {
		return false, cause
	}
	return !v.Now.Before(since.Add(v.delay())), cause
}

// Wait is the pause until a node that doesn't claim yet looks again.
func Wait(v View) time.Duration {
	since, _ := v.vacantSince()
	if due := since.Add(v.delay()).Sub(v.Now); !since.IsZero() && due > 0 {
		return min(due, Step)
	}
	return Step
}

// vacantSince is since when the right may be claimed; zero if it may not.
func (v View) vacantSince() (time.Time, Cause) {
	switch {
	case v.Holding.Epoch == 0:
		return v.Vacant, NeverHeld
	case v.Holding.Released:
		return v.Vacant, Released
	case v.Self:
		return v.Vacant, OwnFormerBoot
	case !v.Vacant.IsZero():
		return v.Vacant, NotHeld
	case !v.Refused.IsZero() && v.Now.Sub(v.Refused) >= RefusedAfter:
		return v.Refused.Add(RefusedAfter), Refused
	case v.ProofAge >= StoreStale && v.StoreSound >= StoreStale:
		return v.Heard, WithoutProof
	case v.Now.Sub(v.Heard) < Suspect(v.Watches, v.Pause):
		return time.Time{}, Heard
	case v.Vouched:
		return time.Time{}, HeardByOthers
	case v.Others > 0 && v.Reached == 0 && v.Now.Sub(v.Heard) < AloneAfter:
		return time.Time{}, Alone
	}
	return v.Heard.Add(Suspect(v.Watches, v.Pause)), Silent
}

// Missed is how many pauses between greetings may pass without an answer.
const Missed = 2.5

// Suspect is how long a holder may be silent towards a node that watches it, or
// that greets it at the given pauses.
func Suspect(watches bool, pause time.Duration) time.Duration {
	if watches {
		return SuspectAfter
	}
	return max(IdleSuspectAfter, time.Duration(Missed*float64(pause)))
}

const (
	// jitterSpan spreads the claims of nodes that are alike.
	jitterSpan = 120 * time.Millisecond
	// claimSlot is the time in which one claim is stored and the nodes near the
	// store read it: claims that were sent meanwhile fail.
	claimSlot = 8 * time.Millisecond
	// ownSlots spreads the claims of nodes that all take their own rights back:
	// half of the slots stay free, so that few claims meet.
	ownSlots = 2
	// manyNodes is the number of nodes up to which about one begins first.
	manyNodes = 4000
)

// spread is the node's part of the span in which nodes that are alike claim. A
// node doesn't know how many others claim too. The shares of nodes that begin
// grow exponentially with time, so that of any number up to manyNodes a few
// begin, and the others see their claims.
func (v View) spread() time.Duration {
	if v.Watches {
		return time.Duration(v.Jitter * float64(jitterSpan)) // a few nodes watch a holder
	}
	logNodes := math.Log(manyNodes)
	span := max(float64(jitterSpan), float64(v.slots())*logNodes)
	const least = 1.0 / manyNodes
	return time.Duration(span * (1 + math.Log(least+v.Jitter*(1-least))/logNodes))
}

// slots is the time that the claims of all rights take one after the other.
func (v View) slots() time.Duration { return time.Duration(v.Rights) * claimSlot }

func (v View) delay() time.Duration {
	if v.Self && !v.Holding.Released {
		// Its own former process is over, so nobody else has a reason yet. All
		// nodes may have been restarted.
		return time.Duration(v.Jitter * ownSlots * float64(v.slots()))
	}
	delay := v.spread()
	if !v.Near {
		delay += FarDelay
	}
	if v.Small {
		delay += SmallDelay
	}
	if v.Holding.Released && !v.Newer {
		delay += OlderDelay
	}
	return delay + time.Duration(v.Load)*BusyDelay
}
