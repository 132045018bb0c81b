package control

import (
	"fmt"
	"runtime/debug"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	faultsFrom = 8 * time.Second
	faultsTo   = 30 * time.Second
	loadFrom   = 7 * time.Second
	loadTo     = 34 * time.Second
)

// faultKinds are the possible faults; each run has two.
var faultKinds = []struct {
	name   string
	inject func(w *world)
}{
	{"crash", func(w *world) {
		for range 1 + w.random.IntN(2) {
			w.crashAndRestart(w.anyNode(), w.between(500*time.Millisecond, 8*time.Second))
		}
	}},
	{"all-crash", func(w *world) {
		for _, n := range w.nodes {
			w.crashAndRestart(n, w.between(100*time.Millisecond, 2*time.Second))
		}
	}},
	{"pause", func(w *world) {
		for range 1 + w.random.IntN(2) {
			w.anyNode().pause(w.between(500*time.Millisecond, 6*time.Second))
		}
	}},
	{"one-way-cut", func(w *world) {
		from, to := w.anyNode(), w.anyNode()
		if from != to {
			w.trace("cut %s -> %s", from.name, to.name)
			w.network.cut(from.name, to.name, w.between(time.Second, 15*time.Second))
		}
	}},
	{"isolation", func(w *world) {
		n, length, both := w.anyNode(), w.between(time.Second, 15*time.Second), w.chance(0.5)
		w.trace("%s is isolated for %s (both ways: %t)", n.name, length, both)
		for _, other := range w.nodes {
			w.network.cut(n.name, other.name, length)
			if both {
				w.network.cut(other.name, n.name, length)
			}
		}
	}},
	{"region-cut", func(w *world) {
		length := w.between(2*time.Second, 20*time.Second)
		w.trace("regions are cut for %s", length)
		for _, a := range w.nodes {
			for _, b := range w.nodes {
				if a.region != b.region {
					w.network.cut(a.name, b.name, length)
				}
			}
			for _, s := range w.workers {
				if a.region != s.spec.Region {
					w.network.cut(a.name, s.spec.Name, length)
					w.network.cut(s.spec.Name, a.name, length)
				}
			}
		}
	}},
	{"loss", func(w *world) {
		length := w.between(2*time.Second, 10*time.Second)
		w.trace("messages are lost for %s", length)
		w.network.loss, w.network.maxDelay = 0.15, 150*time.Millisecond
		w.after(length, func() { w.network.loss, w.network.maxDelay = 0.002, 3*time.Millisecond })
	}},
	{"slow-bulk", func(w *world) {
		w.trace("messages with payloads are slow")
		w.network.maxBulkDelay = 6 * time.Second
		w.after(w.between(2*time.Second, 10*time.Second), func() { w.network.maxBulkDelay = 0 })
	}},
	{"worker-loss", func(w *world) {
		s := w.anyWorker()
		s.crash()
		w.after(w.between(500*time.Millisecond, 10*time.Second), s.restart)
	}},
	{"worker-gone", func(w *world) {
		s := w.anyWorker()
		s.crash()
		w.after(w.between(0, 5*time.Second), func() { s.inList = false })
		s.replaceLater()
	}},
	{"worker-unreachable", func(w *world) {
		s, length := w.anyWorker(), w.between(time.Second, 25*time.Second)
		w.trace("worker %s can't be reached for %s", s.spec.Name, length)
		for _, n := range w.nodes {
			w.network.cut(n.name, s.spec.Name, length)
			w.network.cut(s.spec.Name, n.name, length)
		}
	}},
	{"owner-worker-cut", func(w *world) {
		n, s, length := w.anyNode(), w.anyWorker(), w.between(time.Second, 10*time.Second)
		w.trace("cut %s -> %s for %s", s.spec.Name, n.name, length)
		w.network.cut(s.spec.Name, n.name, length)
	}},
	{"leaving", func(w *world) { w.anyWorker().leave() }},
	{"log-outage", func(w *world) { w.log.outage(w.between(time.Second, 20*time.Second)) }},
	{"log-slow", func(w *world) {
		w.trace("the log is slow")
		w.log.latency = 2 * time.Second
		w.after(w.between(2*time.Second, 15*time.Second), func() { w.log.latency = 20 * time.Millisecond })
	}},
	{"slow-readers", func(w *world) {
		for _, n := range w.nodes {
			if w.chance(0.6) {
				w.trace("%s reads the log late", n.name)
				n.readLogFrom = w.now + w.between(2*time.Second, 12*time.Second)
			}
		}
	}},
	{"drain", func(w *world) { w.replace([]*simNode{w.anyNode()}) }},
	{"rolling-replacement", func(w *world) { w.replace(w.nodes) }},
	{"broken-connections", func(w *world) {
		w.trace("connections of callers break")
		for _, c := range w.callers {
			if w.chance(0.5) {
				c.breakConnection()
			}
		}
	}},
}

func (w *world) anyNode() *simNode { return w.nodes[w.random.IntN(len(w.nodes))] }

func (w *world) anyWorker() *simWorker { return w.workers[w.random.IntN(len(w.workers))] }

func (w *world) crashAndRestart(n *simNode, downtime time.Duration) {
	if !n.up {
		return
	}
	n.crash()
	w.after(downtime, func() {
		if !n.up {
			n.start()
		}
	})
}

// replace drains nodes one after another and restarts each of them.
func (w *world) replace(nodes []*simNode) {
	if len(nodes) == 0 {
		return
	}
	n := nodes[0]
	n.drain()
	began := w.now
	var watch func()
	watch = func() {
		switch {
		case !n.up:
			n.draining = false
			w.after(w.between(500*time.Millisecond, 2*time.Second), func() {
				if !n.up {
					n.start()
				}
				w.after(8*time.Second, func() { w.replace(nodes[1:]) })
			})
		case n.draining && w.now-began < 60*time.Second:
			w.after(100*time.Millisecond, watch)
		case n.draining:
			w.checks.fail("drain: %s has not stopped for a minute", n.name)
		}
	}
	w.after(100*time.Millisecond, watch)
}

// buildWorld creates the cell of a seed: nodes, workers, load and faults. Without
// given faults the seed picks two.
func buildWorld(seed uint64, faults ...string) *world {
	w := newWorld(seed)
	regions := []string{"punjab"}
	count := 3 + w.random.IntN(3)
	if w.chance(0.4) {
		regions = append(regions, "sindh")
		count = 6 + w.random.IntN(2)
	}
	for i := range count {
		region := regions[i%len(regions)]
		w.addNode(fmt.Sprintf("entry-%d", i+1), region, fmt.Sprintf("%s-%d", region, i%2))
	}
	for i := range len(regions) * (4 + w.random.IntN(4)) {
		region := regions[i%len(regions)]
		w.addWorker(fmt.Sprintf("vm-%02d", i+1), region, fmt.Sprintf("%s-%d", region, i/2%2), workload.Resources{MilliCPU: 8000, MemoryMB: 16000})
	}
	if w.chance(0.5) {
		w.policy = quotaPolicy()
	}
	for _, n := range w.nodes {
		w.after(w.between(0, 100*time.Millisecond), n.start)
	}
	w.addLoad(regions)
	if len(faults) == 0 {
		for range 2 {
			faults = append(faults, faultKinds[w.random.IntN(len(faultKinds))].name)
		}
	}
	for _, name := range faults {
		for _, kind := range faultKinds {
			if kind.name == name {
				w.after(w.between(faultsFrom, faultsTo), func() { kind.inject(w) })
			}
		}
	}
	w.checks.plannedStopsOnly = true
	for _, name := range faults {
		w.checks.plannedStopsOnly = w.checks.plannedStopsOnly && (name == "drain" || name == "rolling-replacement")
	}
	if w.checks.plannedStopsOnly {
		w.network.loss = 0 // A lost message would be a fault of its own.
	}
	return w
}

// quotaPolicy gives each team a small quota, so that a leak in its accounting
// blocks the team.
func quotaPolicy() *PolicyAccepted {
	rules := Rules{AdmitUnlisted: true, Teams: map[string]TeamRule{}}
	for _, team := range []string{"ledger", "camera"} {
		rules.Teams[team] = TeamRule{TeamPolicy: placement.TeamPolicy{Name: team, Weight: 1}, RunningTasks: 12}
	}
	return &PolicyAccepted{Version: 1, Digest: 1, Rules: rules}
}

func (w *world) addLoad(regions []string) {
	for range 150 {
		request := workload.Request{
			Team: []string{"ledger", "camera"}[w.random.IntN(2)], Kind: "check", Mode: workload.ModeRequest,
			Region:    regions[w.random.IntN(len(regions))],
			Resources: workload.Resources{MilliCPU: 500 + w.random.Int64N(3000), MemoryMB: 500 + w.random.Int64N(3000)},
			RunTimeMS: 50 + w.random.Int64N(2500),
		}
		if w.chance(0.1) {
			request.RunTimeMS = 4000 + w.random.Int64N(8000)
		}
		switch percent := w.random.IntN(100); {
		case percent < 30:
			request.NonIdempotent = true
		case percent < 50:
			request.Mode, request.Kind, request.NonIdempotent = workload.ModeJob, "batch", w.chance(0.3)
			request.HoldInOutage = w.chance(0.5)
		case percent < 58:
			request.Kind, request.GangSize = "gang", 2+w.random.IntN(4)
			request.RunTimeMS = 200 + w.random.Int64N(1500)
			if w.chance(0.5) {
				request.Mode = workload.ModeJob
			}
		case percent < 60:
			request.Mode, request.Kind = workload.ModeService, "service"
			request.Resources = workload.Resources{MilliCPU: 300, MemoryMB: 200}
		case percent < 75:
			request.StartWithinMS = 300 + w.random.Int64N(4000)
		}
		c := w.addCaller(w.between(loadFrom, loadTo), request)
		if w.chance(0.08) {
			c.cancelAfter = w.between(time.Millisecond, 3*time.Second)
		}
	}
}

// simulate runs a seed to its end and returns its world. A panic counts as a
// violation, so that the other seeds still run.
func simulate(w *world) (result *world) {
	defer func() {
		if cause := recover(); cause != nil {
			w.checks.fail("panic: %v\n%s", cause, debug.Stack())
			result = w
		}
	}()
	w.run(loadTo + 2*time.Second)
	for until := w.now; until < faultsTo+livenessLimit+40*time.Second && !w.checks.allDone(); {
		until += time.Second
		w.run(until)
		if len(w.checks.violations) > 0 {
			return w
		}
	}
	w.run(w.now + 2*time.Second)
	if len(w.checks.violations) == 0 {
		w.checks.checkOutcomes()
	}
	return w
}
