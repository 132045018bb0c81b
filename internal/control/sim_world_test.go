package control

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"time"

	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// simStart is the wall-clock time at the start of every run.
var simStart = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// simEvent is a scheduled event of a run.
type simEvent struct {
	at       time.Duration
	sequence int
	action   func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one run of a seed: nodes, workers, log, callers and faults in
// virtual time.
type world struct {
	seed     uint64
	random   *rand.Rand
	now      time.Duration
	sequence int
	events   simEvents
	digest   hash.Hash64

	nodes   []*simNode
	byName  map[string]*simNode
	workers []*simWorker
	log     *simLog
	callers []*simCaller
	network simNetwork
	checks  checker
	// overrides disables safety rules, in runs whose violations the checkers
	// have to find.
	overrides overrides
	policy    *PolicyAccepted
	// hashOutputs adds every output to the digest.
	hashOutputs bool
	// verbose adds every message between nodes to the trace.
	verbose bool
	trace   func(format string, arguments ...any)
}

func newWorld(seed uint64) *world {
	w := &world{
		seed: seed, random: rand.New(rand.NewPCG(seed, 0x5eed)), digest: fnv.New64a(), byName: map[string]*simNode{},
		trace: func(string, ...any) {},
	}
	w.network = newSimNetwork(w)
	w.log = &simLog{
		world: w, up: true, latency: 20 * time.Millisecond,
		written: map[string]bool{}, endPositions: map[workload.Key]int{}, homePositions: map[tenure.Range]int{},
	}
	w.checks = newChecker(w)
	return w
}

func (w *world) after(delay time.Duration, act func()) {
	w.sequence++
	heap.Push(&w.events, simEvent{w.now + max(delay, 0), w.sequence, act})
}

// between returns a random duration in the given bounds.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(share float64) bool { return w.random.Float64() < share }

// run executes all events up to a time, or until the first violation.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.checks.violations) == 0 {
		event := heap.Pop(&w.events).(simEvent)
		w.now = event.at
		event.action()
	}
	w.now = max(w.now, until)
}

// clock is a local clock with its own rate and offset.
type clock struct {
	rate   float64
	offset time.Duration
}

func (w *world) newClock() clock {
	return clock{0.95 + 0.1*w.random.Float64(), w.between(-time.Second, time.Second)}
}

func (c clock) read(now time.Duration) time.Time {
	return simStart.Add(c.offset + time.Duration(float64(now)*c.rate))
}

// elapsed returns the virtual time in which the clock advances by a duration.
func (c clock) elapsed(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / c.rate)
}

// simNode is one entry VM; its process may be down or paused.
type simNode struct {
	world          *world
	name           string
	region         string
	domain         string
	clock          clock
	node           *Node
	up             bool
	paused         bool
	inbox          []Input
	incarnation    uint64
	links          map[string]*simLink
	connections    map[uint64]*simCaller
	draining       bool
	drained        bool
	pendingAppends []*AppendRecord
	logOffset      int
	// readLogFrom is the time before which the node reads no records.
	readLogFrom time.Duration
	pausedAt    time.Duration
}

func (w *world) addNode(name, region, domain string) {
	n := &simNode{world: w, name: name, region: region, domain: domain, clock: w.newClock()}
	w.nodes = append(w.nodes, n)
	w.byName[name] = n
}

func (w *world) members() []membership.Member {
	var members []membership.Member
	for i, n := range w.nodes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i))
		members = append(members, membership.Member{Name: n.name, Address: address, Region: n.region, FailureDomain: n.domain})
	}
	return members
}

// start starts a new process of the node, without any state.
func (n *simNode) start() {
	n.incarnation++
	n.up, n.paused, n.inbox, n.draining, n.drained = true, false, nil, false, false
	n.links, n.connections, n.pendingAppends, n.logOffset = map[string]*simLink{}, map[uint64]*simCaller{}, nil, 0
	node, err := New(Options{
		Name: n.name, Region: n.region, FailureDomain: n.domain, Incarnation: n.incarnation,
		Seed: n.world.seed + n.incarnation, Members: n.world.members(), Start: n.clock.read(n.world.now),
	})
	if err != nil {
		panic(err)
	}
	node.overrides = n.world.overrides
	n.node = node
	n.world.trace("%s starts as incarnation %d", n.name, n.incarnation)
	n.afterIfUp(0, n.tick)
	n.afterIfUp(n.world.between(0, 200*time.Millisecond), n.pollVMList)
	n.afterIfUp(0, func() { n.deliver(&LogState{Up: true}) })
	n.afterIfUp(10*time.Millisecond, n.readLog)
	if n.world.policy != nil {
		n.afterIfUp(100*time.Millisecond, func() { n.deliver(n.world.policy) })
	}
}

// afterIfUp runs an action after a delay unless the process has ended by then.
// The actions of a paused process run after the pause.
func (n *simNode) afterIfUp(delay time.Duration, act func()) {
	incarnation := n.incarnation
	var guarded func()
	guarded = func() {
		switch {
		case !n.up || n.incarnation != incarnation:
		case n.paused:
			n.world.after(10*time.Millisecond, guarded)
		default:
			act()
		}
	}
	n.world.after(delay, guarded)
}

func (n *simNode) tick() {
	n.deliver(&Tick{})
	n.afterIfUp(n.clock.elapsed(TickInterval), n.tick)
}

// crash ends the process. Its callers notice this after up to 3 s.
func (n *simNode) crash() {
	if !n.up {
		return
	}
	n.world.trace("%s crashes", n.name)
	n.up = false
	n.log().nodeCrashed(n)
	for _, id := range sortedKeys(n.connections) {
		n.connections[id].connectionLost(n, id, n.world.between(0, 3*time.Second))
	}
}

func (n *simNode) log() *simLog { return n.world.log }

func (n *simNode) pause(length time.Duration) {
	if !n.up || n.paused {
		return
	}
	n.world.trace("%s pauses for %s", n.name, length)
	n.paused, n.pausedAt = true, n.world.now
	incarnation := n.incarnation
	n.world.after(length, func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		n.world.trace("%s resumes", n.name)
		n.paused = false
		if n.world.chance(0.5) {
			n.deliver(&Tick{})
		}
		waiting := n.inbox
		n.inbox = nil
		for _, in := range waiting {
			n.deliver(in)
		}
	})
}

// deliver passes an input to the node and applies the outputs. A paused node
// queues the input.
func (n *simNode) deliver(in Input) {
	if !n.up {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, in)
		return
	}
	outputs := append([]Output(nil), n.node.Step(n.clock.read(n.world.now), in)...)
	for _, output := range outputs {
		n.apply(output)
	}
}

func (n *simNode) apply(output Output) {
	w := n.world
	switch out := output.(type) {
	case *SendPeer:
		frame, err := Encode(out.Message)
		if err != nil {
			w.checks.fail("%s: %T can't be encoded: %v", n.name, out.Message, err)
			return
		}
		if w.hashOutputs {
			w.addToDigest(n.name, out.To, frame)
		}
		w.network.send(n, out, frame)
		return
	case *OpenSession:
		n.openSession(out.Worker)
	case *CloseSession:
		n.closeSession(out)
	case *StartTask:
		n.startTask(out)
	case *StopTask:
		if l := n.linkOf(out.Worker, out.Token); l != nil {
			l.stops = append(l.stops, out.ID)
			l.watchSoon()
		}
	case *AcknowledgeResult:
		if l := n.linkOf(out.Worker, out.Token); l != nil {
			l.acknowledged = append(l.acknowledged, out.ID)
		}
	case *Reply:
		if c := n.connections[out.RequestID]; c != nil {
			c.reply(n, out)
		}
	case *AppendRecord:
		n.log().append(n, out)
	case *RecordEvent:
		w.trace("%s event %s %s %s", n.name, out.Event, out.Subject, out.Detail)
	case *Drained:
		n.processDrained()
	}
	if w.hashOutputs {
		body, err := json.Marshal(output)
		if err != nil {
			w.checks.fail("%T can't be encoded: %v", output, err)
		}
		w.addToDigest(n.name, fmt.Sprintf("%T", output), body)
	}
}

// addToDigest adds an output to the digest that compares two runs.
func (w *world) addToDigest(from, to string, body []byte) {
	_, _ = fmt.Fprintf(w.digest, "%d|%s|%s|", w.now, from, to)
	_, _ = w.digest.Write(body)
}

func (n *simNode) processDrained() {
	n.drained = true
	n.world.trace("%s is drained", n.name)
	n.world.checks.drained(n)
	n.world.after(10*time.Millisecond, func() {
		if n.drained {
			n.crash()
		}
	})
}

func (n *simNode) drain() {
	if n.up && !n.draining {
		n.world.trace("%s begins to drain", n.name)
		n.draining = true
		n.deliver(&Drain{})
	}
}
