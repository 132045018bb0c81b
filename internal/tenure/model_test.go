package tenure

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model runs nodes, workers and a network in virtual time, in steps of
// 10 ms. Its checker reads only who acted when and whose sessions were live.
const (
	modelStep    = 10 * time.Millisecond
	modelNodes   = 5
	modelWorkers = 12
	modelLength  = 120 * time.Second
	// modelWarmUp leaves the start, with its 5 s of list suspension, out of
	// the measure of availability.
	modelWarmUp = 10 * time.Second
	suspectTime = 1500 * time.Millisecond
	// oftenFaults and seldomFaults are the longest times between two faults.
	oftenFaults  = 5 * time.Second
	seldomFaults = time.Minute
)

var (
	modelRange  = Range{Region: "punjab", Team: "ledger"}
	nodeNames   = []string{"a", "b", "c", "d", "e"}
	workerNames = []string{
		"vm-00", "vm-01", "vm-02", "vm-03", "vm-04", "vm-05", "vm-06", "vm-07", "vm-08", "vm-09", "vm-10", "vm-11",
	}
)

// variant takes one rule of the protocol away.
type variant struct {
	withoutWait  bool
	withoutGuard bool
	// withoutOwnerGuard lets owners keep a promise for Length by their clock.
	withoutOwnerGuard bool
}

type modelNode struct {
	id, rank   int
	leases     *Leases
	rate       float64
	offset     time.Duration
	downUntil  time.Duration // crashed
	pauseUntil time.Duration
	settledAt  time.Duration // no roles before that or all others are heard, as in the member table
	restarts   uint64
	inbox      []func()
	nextTick   time.Duration
	heardAt    [modelNodes]time.Time
	lists      [modelNodes]bool // whether the node's newest heartbeat listed this one
	ready      [modelNodes]bool // whether that heartbeat said that the node may be a home
	heartbeat  time.Time
	workers    [modelWorkers]nodeSession
	missing    int // index of a worker left out of the node's list, or -1
	act        Lease
}

type nodeSession struct {
	open   bool
	token  int
	nextAt time.Time
}

type modelWorker struct {
	rate   float64
	holder int
	token  int
	until  time.Duration // by the worker's clock
}

type model struct {
	random  *rand.Rand
	variant variant
	faults  bool
	skewed  bool
	now     time.Duration
	nodes   [modelNodes]*modelNode
	workers [modelWorkers]*modelWorker
	mail    map[time.Duration][]func()
	loss    float64
	cut     [modelNodes][modelNodes]time.Duration
	compete [modelNodes]time.Duration // until when a node asks that isn't first choice
	faultAt time.Duration
	spacing time.Duration // longest time between two faults

	// Until takeUntil the taker is the owner of all workers.
	taker     int
	takeUntil time.Duration

	lastActor  int
	violations []string
	actedSteps int
	steps      int
	moves      int
}

func newModel(seed uint64, v variant, faults bool) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 7)), variant: v, faults: faults,
		mail: map[time.Duration][]func(){}, lastActor: -1, faultAt: 8 * time.Second, spacing: 5 * time.Second,
	}
	if faults {
		m.loss = []float64{0, 0.02, 0.1}[m.random.IntN(3)]
	}
	ranks := m.random.Perm(modelNodes)
	m.skewed = m.random.IntN(2) == 0
	for i := range m.nodes {
		m.nodes[i] = &modelNode{id: i, rank: ranks[i], rate: m.rate(), offset: m.upTo(30 * time.Second), missing: -1}
		m.start(m.nodes[i])
	}
	for i := range m.workers {
		m.workers[i] = &modelWorker{rate: m.rate(), holder: -1}
	}
	return m
}

// rate returns a clock rate that is at most a tenth off. In half of the runs all clocks are at an end of the span, most at
// the fast one.
func (m *model) rate() float64 {
	const slow, fast = 0.9, 1.1
	if m.skewed {
		return []float64{slow, fast, fast, fast}[m.random.IntN(4)]
	}
	return []float64{slow, fast, slow + m.random.Float64()*(fast-slow), slow + m.random.Float64()*(fast-slow)}[m.random.IntN(4)]
}

func (m *model) upTo(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d) + 1))
}

func (n *modelNode) name() string { return nodeNames[n.id] }

func (m *model) local(n *modelNode) time.Time {
	return time.Unix(1_800_000_000, 0).Add(n.offset + time.Duration(float64(m.now)*n.rate))
}

func (m *model) start(n *modelNode) {
	n.restarts++
	n.settledAt = max(m.now, n.downUntil) + suspectTime
	n.leases = New(Options{Self: n.name(), Seed: uint64(n.id)<<32 | n.restarts ^ m.random.Uint64()})
	if m.variant.withoutWait {
		n.leases.countAfter = 0
	}
	if m.variant.withoutGuard {
		n.leases.useFor, n.leases.promiseFor, n.leases.sessionsFor = Length, Length, SessionLength
	}
	if m.variant.withoutOwnerGuard {
		n.leases.promiseFor = Length
	}
	n.workers, n.inbox, n.act = [modelWorkers]nodeSession{}, nil, Lease{}
	n.heardAt, n.lists = [modelNodes]time.Time{}, [modelNodes]bool{}
	m.setList(n)
}

func (m *model) setList(n *modelNode) {
	region := Region{Name: modelRange.Region, Owners: nodeNames}
	for i := range m.workers {
		if i != n.missing {
			region.Workers = append(region.Workers, workerNames[i])
		}
	}
	n.leases.SetRegion(m.local(n), region)
}

// post delivers after a delay, sometimes late, or never.
func (m *model) post(deliver func()) {
	delay := 10*time.Millisecond + m.upTo(20*time.Millisecond)
	if m.faults {
		if m.random.Float64() < m.loss {
			return
		}
		if m.random.IntN(50) == 0 {
			delay += m.upTo(3 * time.Second)
		}
	}
	at := (m.now + delay).Truncate(modelStep)
	m.mail[at] = append(m.mail[at], deliver)
}

// sendTo delivers to a node: not at all if it is down or was restarted or cut
// off, and once it wakes if it is paused.
func (m *model) sendTo(from, to *modelNode, handle func()) {
	if m.now < m.cut[from.id][to.id] {
		return
	}
	m.post(func() { m.enqueue(to, to.restarts, handle) })
}

func (m *model) enqueue(n *modelNode, restarts uint64, handle func()) {
	if n.restarts == restarts && m.now >= n.downUntil && len(n.inbox) < 1000 {
		n.inbox = append(n.inbox, handle)
	}
}

func (m *model) run(length time.Duration) {
	for end := m.now + length; m.now < end; m.now += modelStep {
		if m.faults && m.now >= m.faultAt {
			m.fault()
			m.faultAt = m.now + 500*time.Millisecond + m.upTo(m.spacing)
		}
		deliveries := m.mail[m.now]
		delete(m.mail, m.now)
		for _, deliver := range deliveries {
			deliver()
		}
		actors := 0
		for _, n := range m.nodes {
			if m.now < n.downUntil || m.now < n.pauseUntil {
				continue
			}
			for len(n.inbox) > 0 {
				handle := n.inbox[0]
				n.inbox = n.inbox[1:]
				handle()
			}
			if m.now >= n.nextTick {
				n.nextTick = m.now + 50*time.Millisecond
				m.tick(n)
			}
			actors += m.actOf(n)
		}
		if actors > 1 {
			m.violations = append(m.violations, fmt.Sprintf("%v: %d homes acted in one step", m.now, actors))
		}
		if m.now >= modelWarmUp {
			m.steps++
			m.actedSteps += min(actors, 1)
		}
		m.checkSessions()
	}
}

// actOf lets the node act on the range and checks that nobody acted between
// two acts under one lease.
func (m *model) actOf(n *modelNode) int {
	lease, held := n.leases.Held(m.local(n), modelRange)
	if !held {
		return 0
	}
	if m.lastActor != n.id {
		if n.act.Since.Equal(lease.Since) {
			m.violations = append(m.violations, fmt.Sprintf("%v: %s and %d acted in turn", m.now, n.name(), m.lastActor))
		}
		m.moves++
	}
	m.lastActor, n.act = n.id, lease
	return 1
}

// checkSessions checks that no worker has two nodes that count its session.
func (m *model) checkSessions() {
	if m.now%(100*time.Millisecond) != 0 || m.variant != (variant{}) {
		return
	}
	var holders [modelWorkers]int
	for _, n := range m.nodes {
		if m.now < n.downUntil || m.now < n.pauseUntil {
			continue
		}
		now := m.local(n)
		for _, s := range n.leases.sessions {
			if !now.Before(s.heldUntil) {
				continue
			}
			w, _ := strconv.Atoi(s.worker[3:])
			if holders[w]++; holders[w] > 1 {
				m.violations = append(m.violations, fmt.Sprintf("%v: two nodes hold %s", m.now, s.worker))
			}
		}
	}
}

func (m *model) fault() {
	switch m.random.IntN(9) {
	case 0:
		m.nodes[m.random.IntN(modelNodes)].pauseUntil = m.now + m.upTo(6*time.Second)
	case 1:
		m.crash(m.random.Perm(modelNodes)[:1+m.random.IntN(4)], []time.Duration{200 * time.Millisecond, 4 * time.Second}[m.random.IntN(2)])
	case 2:
		m.cut[m.random.IntN(modelNodes)][m.random.IntN(modelNodes)] = m.now + m.upTo(6*time.Second)
	case 3:
		from := m.random.IntN(modelNodes) // heard by nobody, or hears nobody
		in := m.random.IntN(2) == 0
		until := m.now + m.upTo(6*time.Second)
		for to := range m.nodes {
			if in {
				m.cut[to][from] = until
			} else {
				m.cut[from][to] = until
			}
		}
	case 4:
		m.contend()
	case 5:
		n := m.nodes[m.random.IntN(modelNodes)]
		n.missing = m.random.IntN(modelWorkers+1) - 1
		m.setList(n)
	case 6, 7:
		m.isolateHome()
	case 8:
		m.takeAll()
	}
}

// contend makes one node or all of them ask for the range.
func (m *model) contend() {
	until, only := m.now+m.upTo(6*time.Second), m.random.IntN(2*modelNodes)
	for i := range m.nodes {
		if only == i || only >= modelNodes {
			m.compete[i] = until
		}
	}
}

// isolateHome cuts the home off in one or both directions while others ask for
// its range, and may restart some of them.
func (m *model) isolateHome() {
	home := max(m.lastActor, 0)
	until, direction := m.now+m.upTo(6*time.Second), m.random.IntN(3)
	for i := range m.nodes {
		if direction != 0 {
			m.cut[i][home] = until
		}
		if direction != 1 {
			m.cut[home][i] = until
		}
	}
	others := slices.DeleteFunc(m.random.Perm(modelNodes), func(i int) bool { return i == home })
	m.compete[others[3]] = until
	if m.random.IntN(2) == 0 {
		m.crash(others[:1+m.random.IntN(4)], 150*time.Millisecond)
	}
}

// takeAll moves all sessions to a node that the home didn't reach for some
// time, so that it has promised nothing, and may cut the home off.
func (m *model) takeAll() {
	home := max(m.lastActor, 0)
	taker := (home + 1 + m.random.IntN(modelNodes-1)) % modelNodes
	from := m.now + 2500*time.Millisecond
	until := from + 3*time.Second
	m.cut[home][taker], m.cut[taker][home], m.compete[taker] = until, until, until
	isolate := m.random.IntN(2) == 0
	m.mail[from] = append(m.mail[from], func() {
		m.taker, m.takeUntil = taker, until
		for i := range m.nodes {
			if isolate {
				m.cut[home][i], m.cut[i][home] = until, until
			}
		}
	})
}

func (m *model) crash(nodes []int, longest time.Duration) {
	for _, i := range nodes {
		n := m.nodes[i]
		n.downUntil = m.now + 50*time.Millisecond + m.upTo(longest)
		n.pauseUntil = 0
		m.start(n)
	}
}

func (m *model) tick(n *modelNode) {
	now := m.local(n)
	m.beat(n, now)
	var wanted []Range
	if m.first(n, now, func(o *modelNode) int {
		if o != n && !n.ready[o.id] {
			return modelNodes
		}
		return o.rank
	}) || m.now < m.compete[n.id] {
		wanted = []Range{modelRange}
	}
	n.leases.SetWanted(now, wanted)
	outgoing, _ := n.leases.Tick(now)
	for _, o := range outgoing {
		to := m.nodes[o.To[0]-'a']
		m.sendTo(n, to, func() {
			answer := to.leases.ReceiveRequest(m.local(to), n.name(), o.Request)
			m.sendTo(to, n, func() { n.leases.ReceiveResponse(m.local(n), to.name(), answer) })
		})
	}
	for i := range m.workers {
		m.keepSession(n, i, now)
	}
}

// beat sends heartbeats and forgives the silence of a pause, as the member
// table does.
func (m *model) beat(n *modelNode, now time.Time) {
	gap := now.Sub(n.heartbeat)
	if gap < 250*time.Millisecond {
		return
	}
	if gap > time.Second {
		for i := range n.heardAt {
			n.heardAt[i] = n.heardAt[i].Add(min(gap, 10*time.Second))
		}
	}
	n.heartbeat = now
	for _, to := range m.nodes {
		lists := now.Sub(n.heardAt[to.id]) < suspectTime
		ready := n.leases.Ready(now, modelRange.Region)
		m.sendTo(n, to, func() { to.heardAt[n.id], to.lists[n.id], to.ready[n.id] = m.local(to), lists, ready })
	}
}

func (m *model) first(n *modelNode, now time.Time, rank func(*modelNode) int) bool {
	if m.now < n.settledAt {
		for _, o := range m.nodes {
			if o != n && (now.Sub(n.heardAt[o.id]) >= suspectTime || !n.lists[o.id]) {
				return false
			}
		}
	}
	for _, o := range m.nodes {
		if o != n && now.Sub(n.heardAt[o.id]) < suspectTime && n.lists[o.id] && rank(o) < rank(n) {
			return false
		}
	}
	return true
}

// keepSession opens, renews or closes the session of one worker.
func (m *model) keepSession(n *modelNode, i int, now time.Time) {
	s := &n.workers[i]
	taking := m.now < m.takeUntil
	if now.Before(s.nextAt) && !(taking && s.open) {
		return
	}
	name := workerNames[i]
	first := n.id == m.taker
	if !taking {
		first = m.first(n, now, func(o *modelNode) int { return (o.id + i) % modelNodes })
	}
	token := s.token
	switch {
	case s.open && !first && (taking || m.random.IntN(10) == 0): // Other moves are spread over time.
		n.leases.SessionClosed(name)
		*s = nodeSession{token: token, nextAt: now.Add(time.Second)}
		m.post(func() {
			if w := m.workers[i]; w.token == token {
				w.until = 0
			}
		})
	case s.open && now.Before(s.nextAt):
	case s.open:
		s.nextAt = now.Add(time.Second)
		m.callWorker(n, i, func(w *modelWorker, clock time.Duration) bool {
			if w.token != token || clock >= w.until {
				return false
			}
			w.until = clock + SessionLength
			return true
		}, func(granted bool, _ int) {
			if s.token != token || !s.open {
				return
			}
			if granted {
				n.leases.SessionRenewed(now, name)
			} else {
				n.leases.SessionClosed(name)
				*s = nodeSession{token: token}
			}
		})
	case !first:
		s.nextAt = now.Add(200 * time.Millisecond)
	default:
		s.nextAt = now.Add(500 * time.Millisecond)
		m.callWorker(n, i, func(w *modelWorker, clock time.Duration) bool {
			if clock < w.until && w.holder != n.id {
				return false
			}
			w.holder, w.until = n.id, clock+SessionLength
			w.token++
			return true
		}, func(granted bool, token int) {
			if granted && token > s.token {
				n.leases.SessionOpened(now, m.local(n), name)
				*s = nodeSession{open: true, token: token, nextAt: m.local(n)}
			}
		})
	}
}

func (m *model) callWorker(n *modelNode, i int, act func(*modelWorker, time.Duration) bool, answer func(bool, int)) {
	restarts := n.restarts
	m.post(func() {
		w := m.workers[i]
		granted := act(w, time.Duration(float64(m.now)*w.rate))
		token := w.token
		m.post(func() { m.enqueue(n, restarts, func() { answer(granted, token) }) })
	})
}

// modelTotals sums up runs of the model.
type modelTotals struct {
	runs, failed    int
	acted, steps    int
	moves           int
	firstViolations []string
}

// runModels runs the seeds from 1 on as many processors as there are. Faults
// follow each other within the spacing; 0 is no faults.
func runModels(runs int, v variant, spacing time.Duration) modelTotals {
	var wait sync.WaitGroup
	models := make([]*model, runs)
	next := make(chan int, runs)
	for i := range runs {
		next <- i
	}
	close(next)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for i := range next {
				models[i] = newModel(uint64(i+1), v, spacing > 0)
				models[i].spacing = spacing
				models[i].run(modelLength)
				models[i].mail = nil
			}
		})
	}
	wait.Wait()
	totals := modelTotals{runs: runs}
	for i, m := range models {
		if len(m.violations) > 0 {
			totals.failed++
			if len(totals.firstViolations) < 5 {
				totals.firstViolations = append(totals.firstViolations, fmt.Sprintf("seed %d: %s", i+1, m.violations[0]))
			}
		}
		totals.acted, totals.steps, totals.moves = totals.acted+m.actedSteps, totals.steps+m.steps, totals.moves+m.moves
	}
	return totals
}

func (s modelTotals) availability() float64 { return float64(s.acted) / float64(s.steps) }

func (s modelTotals) String() string {
	return fmt.Sprintf("seeds 1 to %d: two homes in %d runs, availability %.2f%%, %.1f moves a run",
		s.runs, s.failed, 100*s.availability(), float64(s.moves)/float64(s.runs))
}

// modelRuns returns the number of runs, which TENURE_RUNS replaces.
func modelRuns(t *testing.T, usual int) int {
	text := os.Getenv("TENURE_RUNS")
	if text == "" {
		return usual
	}
	runs, err := strconv.Atoi(text)
	require.NoError(t, err)
	return runs
}

// Guards against two homes at once, and against an availability that falls
// because of a change to the protocol.
func TestOneHomeUnderFaults(t *testing.T) {
	totals := runModels(modelRuns(t, 1000), variant{}, oftenFaults)
	t.Log(totals)
	require.Empty(t, totals.firstViolations)
}

// Guards against two homes at once when the cell recovers between faults, and
// against a lower availability in that case.
func TestOneHomeUnderSeldomFaults(t *testing.T) {
	totals := runModels(modelRuns(t, 100), variant{}, seldomFaults)
	t.Log(totals)
	require.Empty(t, totals.firstViolations)
	require.Greater(t, totals.availability(), 0.9)
}

// Guards against a home that is lost or moves without a fault.
func TestHomeStaysWithoutFaults(t *testing.T) {
	totals := runModels(20, variant{}, 0)
	t.Log(totals)
	require.Empty(t, totals.firstViolations)
	require.Equal(t, totals.steps, totals.acted)
	require.Equal(t, totals.runs, totals.moves)
}

// Guards against a model that can't see two homes: without one of the rules it
// has to find them.
func TestModelFindsTwoHomesWithoutRule(t *testing.T) {
	for name, v := range map[string]variant{
		"without the wait of a new session": {withoutWait: true},
		"without the clock guard":           {withoutGuard: true},
		"without the owner's clock guard":   {withoutOwnerGuard: true},
	} {
		t.Run(name, func(t *testing.T) {
			totals := runModels(modelRuns(t, 200), v, oftenFaults)
			t.Log(totals, totals.firstViolations)
			require.NotZero(t, totals.failed)
		})
	}
}

// Guards against a slow takeover; it measures the time from a home's death to
// the first act of its successor in a cell without other faults.
func TestTakeoverTime(t *testing.T) {
	var times []time.Duration
	for seed := uint64(1); seed <= 100; seed++ {
		m := newModel(seed, variant{}, false)
		m.run(modelWarmUp + m.upTo(time.Second))
		home := m.lastActor
		require.GreaterOrEqual(t, home, 0, "seed %d", seed)
		died := m.now
		m.nodes[home].downUntil = time.Hour
		for m.lastActor == home && m.now < died+20*time.Second {
			m.run(modelStep)
		}
		times = append(times, m.now-died)
	}
	slices.Sort(times)
	t.Logf("seeds 1 to 100: p50 %v, p99 %v, maximum %v", times[49], times[98], times[99])
	require.Less(t, times[99], 5*time.Second)
}
