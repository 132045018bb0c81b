package benchmark

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yuccalanding.example/yuccalanding/internal/upstream"
)

const (
	// upstreamRequests is the number of requests of one run. The first tenth is
	// not measured.
	upstreamRequests = 40_000
	// maxUpstreamLag is the longest delay until an end is recorded in the view.
	maxUpstreamLag = 20 * time.Millisecond
	// meanUpstreamRunTime is the mean run time on an upstream of speed 1.
	meanUpstreamRunTime = 50 * time.Millisecond
)

// upstreamLoads are the offered loads as shares of the upstreams' capacity.
var upstreamLoads = []float64{0.6, 0.75}

// upstreamSpeeds are the relative speeds of the upstreams. Each has 8 slots.
var upstreamSpeeds = []float64{0.5, 0.5, 0.5, 1, 1, 1, 1, 1, 1, 2, 2, 2}

// upstreamResult holds the response times of one strategy.
type upstreamResult struct {
	load       float64
	strategy   string
	atDispatch bool
	mean       time.Duration
	p50, p99   time.Duration
}

// request is one short request in the benchmark of upstream strategies.
type request struct {
	arrivedAt      time.Duration
	work, estimate time.Duration
	upstream       int
	ran            time.Duration
}

// drawRequests returns the same requests for every strategy. Estimates are wrong by a
// factor of up to 5 in either direction.
func drawRequests(seed uint64, load float64) []request {
	random := rand.New(rand.NewPCG(seed, 0))
	capacity := 0.0
	for _, speed := range upstreamSpeeds {
		capacity += 8 * speed
	}
	gap := float64(meanUpstreamRunTime) / (load * capacity)
	at, requests := time.Duration(0), make([]request, upstreamRequests)
	for i := range requests {
		at += time.Duration(random.ExpFloat64() * gap)
		work := max(time.Duration(random.ExpFloat64()*float64(meanUpstreamRunTime)), time.Millisecond)
		requests[i] = request{arrivedAt: at, work: work, estimate: time.Duration(float64(work) * randomFactor(random, 5))}
	}
	return requests
}

// upstreamSimulation is one run with one strategy.
type upstreamSimulation struct {
	strategy   upstream.Strategy
	atDispatch bool
	views      []upstream.View
	// queues holds the requests that wait at each upstream, unallocated those that
	// are not yet allocated to one.
	queues      [][]*request
	busy        []int
	unallocated []*request
	random      *rand.Rand
	events      eventQueue
	times       *hdrhistogram.Histogram
}

// eventQueue holds future events in order of time.
type eventQueue struct {
	at  []time.Duration
	act []func(now time.Duration)
}

func (a *eventQueue) add(at time.Duration, act func(time.Duration)) {
	i, _ := slices.BinarySearchFunc(a.at, at, func(x, y time.Duration) int {
		if x > y {
			return 1
		}
		return -1 // An event goes after all events of the same time.
	})
	a.at, a.act = slices.Insert(a.at, i, at), slices.Insert(a.act, i, act)
}

func (a *eventQueue) runUntil(limit time.Duration) {
	for len(a.at) > 0 && a.at[0] <= limit {
		now, act := a.at[0], a.act[0]
		a.at, a.act = a.at[1:], a.act[1:]
		act(now)
	}
}

func newUpstreamSimulation(strategy upstream.Strategy, atDispatch bool, seed uint64) *upstreamSimulation {
	c := &upstreamSimulation{strategy: strategy, atDispatch: atDispatch, random: rand.New(rand.NewPCG(seed, 1)),
		times: hdrhistogram.New(1, maxWaitMicros, 3), queues: make([][]*request, len(upstreamSpeeds)), busy: make([]int, len(upstreamSpeeds))}
	for i := range upstreamSpeeds {
		c.views = append(c.views, upstream.View{Name: fmt.Sprint("upstream-", i), Slots: 8})
	}
	return c
}

// allocate allocates requests to upstreams in order of arrival until the strategy
// selects none.
func (sim *upstreamSimulation) allocate(now time.Duration) {
	for len(sim.unallocated) > 0 {
		r := sim.unallocated[0]
		i := sim.strategy.Select(sim.views, upstream.Request{Estimate: r.estimate, AtDispatch: sim.atDispatch}, sim.random)
		if i < 0 {
			return
		}
		sim.unallocated = sim.unallocated[1:]
		r.upstream = i
		sim.views[i].RecordAllocation(startTime.Add(now), r.estimate)
		sim.queues[i] = append(sim.queues[i], r)
		sim.serve(now, i)
	}
}

// serve starts queued requests on the free slots of upstream i.
func (sim *upstreamSimulation) serve(now time.Duration, i int) {
	for sim.busy[i] < sim.views[i].Slots && len(sim.queues[i]) > 0 {
		r := sim.queues[i][0]
		sim.queues[i] = sim.queues[i][1:]
		sim.busy[i]++
		r.ran = time.Duration(float64(r.work) / upstreamSpeeds[i])
		sim.events.add(now+r.ran, func(now time.Duration) {
			sim.busy[i]--
			_ = sim.times.RecordValue((now - r.arrivedAt).Microseconds())
			sim.serve(now, i)
			sim.events.add(now+time.Duration(sim.random.Int64N(int64(maxUpstreamLag))), func(now time.Duration) {
				sim.views[i].RecordEnd(startTime.Add(now), r.estimate, r.ran)
				sim.allocate(now)
			})
		})
	}
}

func (sim *upstreamSimulation) run(requests []request) upstreamResult {
	for i := range requests {
		sim.events.runUntil(requests[i].arrivedAt)
		if i == len(requests)/10 {
			sim.times.Reset()
		}
		sim.unallocated = append(sim.unallocated, &requests[i])
		sim.allocate(requests[i].arrivedAt)
	}
	sim.events.runUntil(time.Duration(maxWaitMicros) * time.Microsecond)
	return upstreamResult{0, sim.strategy.Name, sim.atDispatch, time.Duration(sim.times.Mean()) * time.Microsecond,
		time.Duration(sim.times.ValueAtQuantile(50)) * time.Microsecond, time.Duration(sim.times.ValueAtQuantile(99)) * time.Microsecond}
}

// runUpstreams runs every strategy on the same requests, both with allocation on
// arrival and with allocation when a slot is free.
func runUpstreams(seed uint64) []upstreamResult {
	var results []upstreamResult
	for _, load := range upstreamLoads {
		for i := range upstream.Strategies() {
			for _, atDispatch := range []bool{false, true} {
				// Strategies keep state, so every run needs a new one.
				strategy := upstream.Strategies()[i]
				result := newUpstreamSimulation(strategy, atDispatch, seed).run(drawRequests(seed, load))
				result.load = load
				results = append(results, result)
			}
		}
	}
	return results
}

func upstreamMarkdown(results []upstreamResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "12 upstreams of speed 0.5, 1 and 2 with 8 slots, ends seen up to %s late, estimates wrong by up to 5x.\n\n", maxUpstreamLag)
	b.WriteString("| load | choice | allocated | mean response | p50 | p99 |\n|---|---|---|---|---|---|\n")
	for _, r := range results {
		allocated := "early"
		if r.atDispatch {
			allocated = "at dispatch"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", percent(r.load), r.strategy, allocated, r.mean.Round(time.Millisecond/10),
			r.p50.Round(time.Millisecond/10), r.p99.Round(time.Millisecond/10))
	}
	return b.String()
}
