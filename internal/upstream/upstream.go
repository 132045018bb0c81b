// Package upstream chooses the upstream for a short request. The choices share
// one form, so that they can be compared in one benchmark
// (internal/benchmark) and replaced at one place.
//
// # Usage
//
//	choice := upstream.LeastEstimatedResponse()
//	request := upstream.Request{Estimate: 50 * time.Millisecond, AtDispatch: true}
//	if i := choice.Choose(views, request, random); i >= 0 {
//		views[i].Allocate(now, request.Estimate)
//	}
//	views[i].Ended(now, request.Estimate, ran)
//
// A request is allocated early, when it arrives, and then waits at its
// upstream; or at dispatch, when an upstream has a free slot by the view. The
// view lags: ends of requests are seen when they are reported.
package upstream

import (
	"math/rand/v2"
	"time"
)

// speedWeight is the weight of one more observation of an upstream's speed.
const speedWeight = 0.1

// View is what the chooser knows of one upstream.
type View struct {
	Name  string
	Slots int
	// Outstanding is the number of requests allocated and not seen to end.
	Outstanding int
	// Work is the estimated run time of the outstanding requests.
	Work time.Duration
	// Slowness is the observed run time divided by the estimated one,
	// smoothed; 0 is unknown and taken as 1.
	Slowness float64
	// AllocatedAt and EndedAt are the last allocation and the last seen end.
	AllocatedAt, EndedAt time.Time
	// Busy is the sum of the run times seen so far.
	Busy time.Duration
}

// Allocate records that a request was given to the upstream.
func (v *View) Allocate(now time.Time, estimate time.Duration) {
	v.Outstanding++
	v.Work += estimate
	v.AllocatedAt = now
}

// Ended records that a request was seen to end.
func (v *View) Ended(now time.Time, estimate, ran time.Duration) {
	v.Outstanding = max(v.Outstanding-1, 0)
	v.Work = max(v.Work-estimate, 0)
	v.EndedAt = now
	v.Busy += ran
	if estimate > 0 {
		seen := float64(ran) / float64(estimate)
		if v.Slowness == 0 {
			v.Slowness = seen
		}
		v.Slowness += speedWeight * (seen - v.Slowness)
	}
}

func (v *View) slowness() float64 {
	if v.Slowness == 0 {
		return 1
	}
	return v.Slowness
}

// response estimates the time until a request's answer: its share of the work
// that is ahead of it, if no slot is free, and its own run time.
func (v *View) response(estimate time.Duration) float64 {
	wait := 0.0
	if v.Outstanding >= v.Slots {
		wait = float64(v.Work) / float64(v.Slots)
	}
	return (wait + float64(estimate)) * v.slowness()
}

// Request is what is known of a request.
type Request struct {
	Estimate time.Duration
	// AtDispatch admits only upstreams with a free slot.
	AtDispatch bool
}

func (r Request) admits(v *View) bool { return !r.AtDispatch || v.Outstanding < v.Slots }

// Choice is one way to choose.
type Choice struct {
	Name string
	// Choose returns the index of an upstream, and -1 if none is admitted.
	Choose func(views []View, request Request, random *rand.Rand) int
}

// lowest chooses the admitted upstream with the lowest rank, the first of
// several.
func lowest(name string, rank func(v *View, request Request) float64) Choice {
	return Choice{Name: name, Choose: func(views []View, request Request, _ *rand.Rand) int {
		best, bestRank := -1, 0.0
		for i := range views {
			if v := &views[i]; request.admits(v) {
				if r := rank(v, request); best < 0 || r < bestRank {
					best, bestRank = i, r
				}
			}
		}
		return best
	}}
}

func outstandingPerSlot(v *View) float64 { return float64(v.Outstanding) / float64(max(v.Slots, 1)) }

// LeastOutstanding chooses by requests outstanding per slot.
func LeastOutstanding() Choice {
	return lowest("least-outstanding", func(v *View, _ Request) float64 { return outstandingPerSlot(v) })
}

// LeastEstimatedResponse chooses by the estimated time until the answer.
func LeastEstimatedResponse() Choice {
	return lowest("least-estimated-response", func(v *View, r Request) float64 { return v.response(r.Estimate) })
}

// LeastRecentlyUsed chooses the upstream whose last seen end is the oldest.
func LeastRecentlyUsed() Choice {
	return lowest("least-recently-used", func(v *View, _ Request) float64 { return age(v.EndedAt) })
}

// LeastRecentlyAllocated chooses the upstream whose last allocation is the oldest.
func LeastRecentlyAllocated() Choice {
	return lowest("least-recently-allocated", func(v *View, _ Request) float64 { return age(v.AllocatedAt) })
}

// age orders times; an upstream that was never used comes first.
func age(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return float64(at.UnixNano())
}

// LeastUtilised chooses by the busy time seen so far per slot.
func LeastUtilised() Choice {
	return lowest("least-utilised", func(v *View, _ Request) float64 { return float64(v.Busy) / float64(max(v.Slots, 1)) })
}

// Random chooses any admitted upstream.
func Random() Choice {
	return Choice{Name: "random", Choose: pick}
}

func pick(views []View, request Request, random *rand.Rand) int {
	chosen, seen := -1, 0
	for i := range views {
		if request.admits(&views[i]) {
			if seen++; random.IntN(seen) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

// TwoChoices chooses the one with fewer outstanding requests of two that are
// drawn at random.
func TwoChoices() Choice {
	return Choice{Name: "two-choices", Choose: func(views []View, request Request, random *rand.Rand) int {
		a, b := pick(views, request, random), pick(views, request, random)
		if a >= 0 && outstandingPerSlot(&views[b]) < outstandingPerSlot(&views[a]) {
			return b
		}
		return a
	}}
}

// RoundRobin chooses the upstreams in turn.
func RoundRobin() Choice {
	next := 0
	return Choice{Name: "round-robin", Choose: func(views []View, request Request, _ *rand.Rand) int {
		for range views {
			i := next % len(views)
			next = i + 1
			if request.admits(&views[i]) {
				return i
			}
		}
		return -1
	}}
}

// Choices returns every way to choose.
func Choices() []Choice {
	return []Choice{LeastEstimatedResponse(), LeastOutstanding(), TwoChoices(), LeastRecentlyUsed(),
		LeastRecentlyAllocated(), LeastUtilised(), Random(), RoundRobin()}
}
