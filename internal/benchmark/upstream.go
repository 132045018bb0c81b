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
	// maxUpstreamLag is the longest delay until the end of a request is recorded in
	// the view of its upstream.
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
	// load is the offered load as a share of the upstreams' capacity. atDispatch is
	// set if a request was allocated only when a slot was free.
	load       float64
	strategy   string
	atDispatch bool
	mean       time.Duration
	p50, p99   time.Duration
}

// request is one short request in the benchmark of upstream strategies.
type request struct {
	// arrivedAt is the time since the start of the run.
	arrivedAt time.Duration
	// work is the run time on an upstream of speed 1, and estimate the estimate of
	// it. ran is the run time on the allocated upstream.
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
	queues        [][]*request
	busySlots     []int
	unallocated   []*request
	random        *rand.Rand
	events        eventQueue
	responseTimes *hdrhistogram.Histogram
}

// eventQueue holds future events in order of time.
type eventQueue struct {
	at  []time.Duration
	act []func(now time.Duration)
}

func (q *eventQueue) add(at time.Duration, act func(time.Duration)) {
	i, _ := slices.BinarySearchFunc(q.at, at, func(x, y time.Duration) int {
		if x > y {
			return 1
		}
		return -1 // An event goes after all events of the same time.
	})
	q.at, q.act = slices.Insert(q.at, i, at), slices.Insert(q.act, i, act)
}

func (q *eventQueue) runUntil(limit time.Duration) {
	for len(q.at) > 0 && q.at[0] <= limit {
		now, act := q.at[0], q.act[0]
		q.at, q.act = q.at[1:], q.act[1:]
		act(now)
	}
}

func newUpstreamSimulation(strategy upstream.Strategy, atDispatch bool, seed uint64) *upstreamSimulation {
	sim := &upstreamSimulation{strategy: strategy, atDispatch: atDispatch, random: rand.New(rand.NewPCG(seed, 1)),
		responseTimes: hdrhistogram.New(1, maxWaitMicros, 3), queues: make([][]*request, len(upstreamSpeeds)), busySlots: make([]int, len(upstreamSpeeds))}
	for i := range upstreamSpeeds {
		sim.views = append(sim.views, upstream.View{Name: fmt.Sprint("upstream-", i), Slots: 8})
	}
	return sim
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
	for sim.busySlots[i] < sim.views[i].Slots && len(sim.queues[i]) > 0 {
		r := sim.queues[i][0]
		sim.queues[i] = sim.queues[i][1:]
		sim.busySlots[i]++
		r.ran = time.Duration(float64(r.work) / upstreamSpeeds[i])
		sim.events.add(now+r.ran, func(now time.Duration) {
			sim.busySlots[i]--
			_ = sim.responseTimes.RecordValue((now - r.arrivedAt).Microseconds())
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
			sim.responseTimes.Reset()
		}
		sim.unallocated = append(sim.unallocated, &requests[i])
		sim.allocate(requests[i].arrivedAt)
	}
	sim.events.runUntil(time.Duration(maxWaitMicros) * time.Microsecond)
	return upstreamResult{0, sim.strategy.Name, sim.atDispatch, time.Duration(sim.responseTimes.Mean()) * time.Microsecond,
		time.Duration(sim.responseTimes.ValueAtQuantile(50)) * time.Microsecond, time.Duration(sim.responseTimes.ValueAtQuantile(99)) * time.Microsecond}
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
