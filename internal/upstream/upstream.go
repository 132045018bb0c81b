// Package upstream selects the upstream for a short request. All strategies have
// the same interface, so that one benchmark (internal/benchmark) can compare them
// and a caller can replace one with another.
//
// # Usage
//
//	strategy := upstream.LeastEstimatedResponse()
//	request := upstream.Request{Estimate: 50 * time.Millisecond, AtDispatch: true}
//	i := strategy.Select(views, request, random)
//	if i >= 0 {
//		views[i].RecordAllocation(now, request.Estimate)
//		// ... when the end of the request is reported:
//		views[i].RecordEnd(now, request.Estimate, runTime)
//	}
//
// A request is allocated in one of two ways: early, when it arrives, so that it
// then waits at its upstream; or at dispatch, once the view of an upstream shows a
// free slot. Views lag behind: the end of a request is known only when it is
// reported.
package upstream

import (
	"math/rand/v2"
	"time"
)

// slownessWeight is the weight of a new observation in View.Slowness.
const slownessWeight = 0.1

// View is the state of one upstream as known to the allocator of requests.
type View struct {
	Name  string
	Slots int
	// Outstanding is the number of allocated requests whose end was not reported.
	Outstanding int
	// OutstandingWork is the sum of the estimated run times of the outstanding
	// requests.
	OutstandingWork time.Duration
	// Slowness is the exponential moving average of the ratio of observed to
	// estimated run time. 0 means unknown, which counts as 1.
	Slowness float64
	// AllocatedAt and EndedAt are the times of the last allocation and of the last
	// reported end.
	AllocatedAt, EndedAt time.Time
	// BusyTime is the sum of the reported run times.
	BusyTime time.Duration
}

// RecordAllocation records that a request with this estimated run time was sent to
// the upstream.
func (v *View) RecordAllocation(now time.Time, estimate time.Duration) {
	v.Outstanding++
	v.OutstandingWork += estimate
	v.AllocatedAt = now
}

// RecordEnd records the reported end of a request with its estimated and its
// observed run time.
func (v *View) RecordEnd(now time.Time, estimate, runTime time.Duration) {
	v.Outstanding = max(v.Outstanding-1, 0)
	v.OutstandingWork = max(v.OutstandingWork-estimate, 0)
	v.EndedAt = now
	v.BusyTime += runTime
	if estimate > 0 {
		ratio := float64(runTime) / float64(estimate)
		if v.Slowness == 0 {
			v.Slowness = ratio
		}
		v.Slowness += slownessWeight * (ratio - v.Slowness)
	}
}

// slownessOrDefault returns Slowness, or 1 if it is unknown.
func (v *View) slownessOrDefault() float64 {
	if v.Slowness == 0 {
		return 1
	}
	return v.Slowness
}

// estimatedResponse returns the estimated response time of a request in
// nanoseconds: its own estimated run time plus, if no slot is free, the outstanding
// work per slot, both multiplied by the slowness.
func (v *View) estimatedResponse(estimate time.Duration) float64 {
	wait := 0.0
	if v.Outstanding >= v.Slots {
		wait = float64(v.OutstandingWork) / float64(v.Slots)
	}
	return (wait + float64(estimate)) * v.slownessOrDefault()
}

// Request is a request to allocate.
type Request struct {
	// Estimate is the estimated run time.
	Estimate time.Duration
	// AtDispatch excludes upstreams without a free slot.
	AtDispatch bool
}

// allows reports whether the upstream may be selected.
func (r Request) allows(v *View) bool { return !r.AtDispatch || v.Outstanding < v.Slots }

// Strategy is a named algorithm that selects an upstream for a request.
type Strategy struct {
	Name string
	// Select returns the index of the selected upstream, or -1 if there is none that
	// the request allows.
	Select func(views []View, request Request, random *rand.Rand) int
}

// lowestScore selects the allowed upstream with the lowest score, and the first of
// several with that score.
func lowestScore(name string, score func(v *View, request Request) float64) Strategy {
	return Strategy{Name: name, Select: func(views []View, request Request, _ *rand.Rand) int {
		best, lowest := -1, 0.0
		for i := range views {
			if v := &views[i]; request.allows(v) {
				if s := score(v, request); best < 0 || s < lowest {
					best, lowest = i, s
				}
			}
		}
		return best
	}}
}

func outstandingPerSlot(v *View) float64 { return float64(v.Outstanding) / float64(max(v.Slots, 1)) }

// LeastOutstanding selects the upstream with the fewest outstanding requests per
// slot.
func LeastOutstanding() Strategy {
	return lowestScore("least-outstanding", func(v *View, _ Request) float64 { return outstandingPerSlot(v) })
}

// LeastEstimatedResponse selects the upstream with the shortest estimated response
// time.
func LeastEstimatedResponse() Strategy {
	return lowestScore("least-estimated-response", func(v *View, r Request) float64 { return v.estimatedResponse(r.Estimate) })
}

// LeastRecentlyUsed selects the upstream whose last reported end is the oldest.
func LeastRecentlyUsed() Strategy {
	return lowestScore("least-recently-used", func(v *View, _ Request) float64 { return timeScore(v.EndedAt) })
}

// LeastRecentlyAllocated selects the upstream whose last allocation is the oldest.
func LeastRecentlyAllocated() Strategy {
	return lowestScore("least-recently-allocated", func(v *View, _ Request) float64 { return timeScore(v.AllocatedAt) })
}

// timeScore returns a score that is lower for an earlier time, and lowest for the
// zero time, which marks an upstream that was never used.
func timeScore(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return float64(at.UnixNano())
}

// LeastUtilised selects the upstream with the lowest reported run time per slot.
func LeastUtilised() Strategy {
	return lowestScore("least-utilised", func(v *View, _ Request) float64 { return float64(v.BusyTime) / float64(max(v.Slots, 1)) })
}

// Random selects one of the allowed upstreams, all with the same probability.
func Random() Strategy {
	return Strategy{Name: "random", Select: pickRandom}
}

// pickRandom selects by reservoir sampling, in one pass and without allocating
// memory.
func pickRandom(views []View, request Request, random *rand.Rand) int {
	selected, allowed := -1, 0
	for i := range views {
		if request.allows(&views[i]) {
			if allowed++; random.IntN(allowed) == 0 {
				selected = i
			}
		}
	}
	return selected
}

// TwoChoices selects the upstream with fewer outstanding requests per slot of two
// that are drawn at random (power of two choices).
func TwoChoices() Strategy {
	return Strategy{Name: "two-choices", Select: func(views []View, request Request, random *rand.Rand) int {
		a, b := pickRandom(views, request, random), pickRandom(views, request, random)
		if a >= 0 && outstandingPerSlot(&views[b]) < outstandingPerSlot(&views[a]) {
			return b
		}
		return a
	}}
}

// RoundRobin selects the allowed upstreams in turn. Each returned Strategy has its
// own state and is not safe for concurrent use.
func RoundRobin() Strategy {
	next := 0
	return Strategy{Name: "round-robin", Select: func(views []View, request Request, _ *rand.Rand) int {
		for range views {
			i := next % len(views)
			next = i + 1
			if request.allows(&views[i]) {
				return i
			}
		}
		return -1
	}}
}

// Strategies returns all strategies.
func Strategies() []Strategy {
	return []Strategy{LeastEstimatedResponse(), LeastOutstanding(), TwoChoices(), LeastRecentlyUsed(),
		LeastRecentlyAllocated(), LeastUtilised(), Random(), RoundRobin()}
}
