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
	modelStep     = 10 * time.Millisecond
	modelNodes    = 5
	modelWorkers  = 12
	modelDuration = 120 * time.Second
	// modelWarmUp leaves the start, with its 5 s of list suspension, out of
	// the measure of availability.
	modelWarmUp  = 10 * time.Second
	suspectAfter = 1500 * time.Millisecond
	// frequentFaultInterval and seldomFaults are the longest times between two faults.
	frequentFaultInterval = 5 * time.Second
	rareFaultInterval     = time.Minute
)

var (
	modelRange  = Range{Region: "punjab", Team: "ledger"}
	nodeNames   = []string{"a", "b", "c", "d", "e"}
	workerNames = []string{
		"vm-00", "vm-01", "vm-02", "vm-03", "vm-04", "vm-05", "vm-06", "vm-07", "vm-08", "vm-09", "vm-10", "vm-11",
	}
)

// disabledRules takes one rule of the protocol away.
type disabledRules struct {
	sessionDelay bool
	clockMargins bool
	// ownerClockMargin lets owners keep a promise for Length by their clock.
	ownerClockMargin bool
}

type modelNode struct {
	id, rank          int
	leases            *Leases
	clockRate         float64
	clockOffset       time.Duration
	downUntil         time.Duration // crashed
	pausedUntil       time.Duration
	rolesFrom         time.Duration // no roles before that or all others are heard, as in the member table
	restarts          uint64
	inbox             []func()
	nextTick          time.Duration
	heardAt           [modelNodes]time.Time
	listed            [modelNodes]bool // whether the node's newest heartbeat listed this one
	ready             [modelNodes]bool // whether that heartbeat said that the node may be a home
	lastHeartbeatSent time.Time
	workers           [modelWorkers]nodeSession
	omittedWorker     int // index of a worker left out of the node's list, or -1
	lastLease         Lease
}

type nodeSession struct {
	open       bool
	token      int
	nextCallAt time.Time
}

type modelWorker struct {
	clockRate float64
	holder    int
	token     int
	heldUntil time.Duration // by the worker's clock
}

type model struct {
	random            *rand.Rand
	disabledRules     disabledRules
	faults            bool
	extremeClocks     bool
	now               time.Duration
	nodes             [modelNodes]*modelNode
	workers           [modelWorkers]*modelWorker
	pendingDeliveries map[time.Duration][]func()
	lossRate          float64
	cutUntil          [modelNodes][modelNodes]time.Duration
	competeUntil      [modelNodes]time.Duration // until when a node asks that isn't first choice
	nextFault         time.Duration
	maxFaultInterval  time.Duration // longest time between two faults

	// Until takeUntil the newOwner is the owner of all workers.
	newOwner      int
	newOwnerUntil time.Duration

	lastHome      int
	violations    []string
	stepsWithHome int
	steps         int
	homeMoves     int
}

func newModel(seed uint64, v disabledRules, faults bool) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 7)), disabledRules: v, faults: faults,
		pendingDeliveries: map[time.Duration][]func(){}, lastHome: -1, nextFault: 8 * time.Second, maxFaultInterval: 5 * time.Second,
	}
	if faults {
		m.lossRate = []float64{0, 0.02, 0.1}[m.random.IntN(3)]
	}
	ranks := m.random.Perm(modelNodes)
	m.extremeClocks = m.random.IntN(2) == 0
	for i := range m.nodes {
		m.nodes[i] = &modelNode{id: i, rank: ranks[i], clockRate: m.clockRate(), clockOffset: m.randomUpTo(30 * time.Second), omittedWorker: -1}
		m.startNode(m.nodes[i])
	}
	for i := range m.workers {
		m.workers[i] = &modelWorker{clockRate: m.clockRate(), holder: -1}
	}
	return m
}

// clockRate returns a clock clockRate that is at most a tenth off. In half of the runs all clocks are at an end of the span, most at
// the fast one.
func (m *model) clockRate() float64 {
	const slow, fast = 0.9, 1.1
	if m.extremeClocks {
		return []float64{slow, fast, fast, fast}[m.random.IntN(4)]
	}
	return []float64{slow, fast, slow + m.random.Float64()*(fast-slow), slow + m.random.Float64()*(fast-slow)}[m.random.IntN(4)]
}

func (m *model) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d) + 1))
}

func (n *modelNode) name() string { return nodeNames[n.id] }

func (m *model) localTime(n *modelNode) time.Time {
	return time.Unix(1_800_000_000, 0).Add(n.clockOffset + time.Duration(float64(m.now)*n.clockRate))
}

func (m *model) startNode(n *modelNode) {
	n.restarts++
	n.rolesFrom = max(m.now, n.downUntil) + suspectAfter
	n.leases = New(Options{Self: n.name(), Seed: uint64(n.id)<<32 | n.restarts ^ m.random.Uint64()})
	if m.disabledRules.sessionDelay {
		n.leases.countSessionAfter = 0
	}
	if m.disabledRules.clockMargins {
		n.leases.usePromiseFor, n.leases.keepPromiseFor, n.leases.useSessionFor = PromiseDuration, PromiseDuration, SessionDuration
	}
	if m.disabledRules.ownerClockMargin {
		n.leases.keepPromiseFor = PromiseDuration
	}
	n.workers, n.inbox, n.lastLease = [modelWorkers]nodeSession{}, nil, Lease{}
	n.heardAt, n.listed = [modelNodes]time.Time{}, [modelNodes]bool{}
	m.setList(n)
}

func (m *model) setList(n *modelNode) {
	region := Region{Name: modelRange.Region, Owners: nodeNames}
	for i := range m.workers {
		if i != n.omittedWorker {
			region.Workers = append(region.Workers, workerNames[i])
		}
	}
	n.leases.SetRegion(m.localTime(n), region)
}

// deliverLater delivers after a delay, sometimes late, or never.
func (m *model) deliverLater(deliver func()) {
	delay := 10*time.Millisecond + m.randomUpTo(20*time.Millisecond)
	if m.faults {
		if m.random.Float64() < m.lossRate {
			return
		}
		if m.random.IntN(50) == 0 {
			delay += m.randomUpTo(3 * time.Second)
		}
	}
	at := (m.now + delay).Truncate(modelStep)
	m.pendingDeliveries[at] = append(m.pendingDeliveries[at], deliver)
}

// sendTo delivers to a node: not at all if it is down or was restarted or cut
// off, and once it wakes if it is paused.
func (m *model) sendTo(from, to *modelNode, handle func()) {
	if m.now < m.cutUntil[from.id][to.id] {
		return
	}
	m.deliverLater(func() { m.enqueue(to, to.restarts, handle) })
}

func (m *model) enqueue(n *modelNode, restarts uint64, handle func()) {
	if n.restarts == restarts && m.now >= n.downUntil && len(n.inbox) < 1000 {
		n.inbox = append(n.inbox, handle)
	}
}

func (m *model) run(length time.Duration) {
	for end := m.now + length; m.now < end; m.now += modelStep {
		if m.faults && m.now >= m.nextFault {
			m.injectFault()
			m.nextFault = m.now + 500*time.Millisecond + m.randomUpTo(m.maxFaultInterval)
		}
		deliveries := m.pendingDeliveries[m.now]
		delete(m.pendingDeliveries, m.now)
		for _, deliver := range deliveries {
			deliver()
		}
		actors := 0
		for _, n := range m.nodes {
			if m.now < n.downUntil || m.now < n.pausedUntil {
				continue
			}
			for len(n.inbox) > 0 {
				handle := n.inbox[0]
				n.inbox = n.inbox[1:]
				handle()
			}
			if m.now >= n.nextTick {
				n.nextTick = m.now + 50*time.Millisecond
				m.tickNode(n)
			}
			actors += m.checkHome(n)
		}
		if actors > 1 {
			m.violations = append(m.violations, fmt.Sprintf("%v: %d homes acted in one step", m.now, actors))
		}
		if m.now >= modelWarmUp {
			m.steps++
			m.stepsWithHome += min(actors, 1)
		}
		m.checkSessions()
	}
}

// checkHome lets the node act on the range and checks that nobody acted between
// two acts under one lease.
func (m *model) checkHome(n *modelNode) int {
	lease, held := n.leases.Held(m.localTime(n), modelRange)
	if !held {
		return 0
	}
	if m.lastHome != n.id {
		if n.lastLease.Since.Equal(lease.Since) {
			m.violations = append(m.violations, fmt.Sprintf("%v: %s and %d acted in turn", m.now, n.name(), m.lastHome))
		}
		m.homeMoves++
	}
	m.lastHome, n.lastLease = n.id, lease
	return 1
}

// checkSessions checks that no worker has two nodes that count its session.
func (m *model) checkSessions() {
	if m.now%(100*time.Millisecond) != 0 || m.disabledRules != (disabledRules{}) {
		return
	}
	var holders [modelWorkers]int
	for _, n := range m.nodes {
		if m.now < n.downUntil || m.now < n.pausedUntil {
			continue
		}
		now := m.localTime(n)
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

func (m *model) injectFault() {
	switch m.random.IntN(9) {
	case 0:
		m.nodes[m.random.IntN(modelNodes)].pausedUntil = m.now + m.randomUpTo(6*time.Second)
	case 1:
		m.crash(m.random.Perm(modelNodes)[:1+m.random.IntN(4)], []time.Duration{200 * time.Millisecond, 4 * time.Second}[m.random.IntN(2)])
	case 2:
		m.cutUntil[m.random.IntN(modelNodes)][m.random.IntN(modelNodes)] = m.now + m.randomUpTo(6*time.Second)
	case 3:
		from := m.random.IntN(modelNodes) // heard by nobody, or hears nobody
		in := m.random.IntN(2) == 0
		until := m.now + m.randomUpTo(6*time.Second)
		for to := range m.nodes {
			if in {
				m.cutUntil[to][from] = until
			} else {
				m.cutUntil[from][to] = until
			}
		}
	case 4:
		m.startContention()
	case 5:
		n := m.nodes[m.random.IntN(modelNodes)]
		n.omittedWorker = m.random.IntN(modelWorkers+1) - 1
		m.setList(n)
	case 6, 7:
		m.isolateHome()
	case 8:
		m.moveAllSessions()
	}
}

// startContention makes one node or all of them ask for the range.
func (m *model) startContention() {
	until, only := m.now+m.randomUpTo(6*time.Second), m.random.IntN(2*modelNodes)
	for i := range m.nodes {
		if only == i || only >= modelNodes {
			m.competeUntil[i] = until
		}
	}
}

// isolateHome cuts the home off in one or both directions while others ask for
// its range, and may restart some of them.
func (m *model) isolateHome() {
	home := max(m.lastHome, 0)
	until, direction := m.now+m.randomUpTo(6*time.Second), m.random.IntN(3)
	for i := range m.nodes {
		if direction != 0 {
			m.cutUntil[i][home] = until
		}
		if direction != 1 {
			m.cutUntil[home][i] = until
		}
	}
	others := slices.DeleteFunc(m.random.Perm(modelNodes), func(i int) bool { return i == home })
	m.competeUntil[others[3]] = until
	if m.random.IntN(2) == 0 {
		m.crash(others[:1+m.random.IntN(4)], 150*time.Millisecond)
	}
}

// moveAllSessions moves all sessions to a node that the home didn't reach for some
// time, so that it has promised nothing, and may cut the home off.
func (m *model) moveAllSessions() {
	home := max(m.lastHome, 0)
	taker := (home + 1 + m.random.IntN(modelNodes-1)) % modelNodes
	from := m.now + 2500*time.Millisecond
	until := from + 3*time.Second
	m.cutUntil[home][taker], m.cutUntil[taker][home], m.competeUntil[taker] = until, until, until
	isolate := m.random.IntN(2) == 0
	m.pendingDeliveries[from] = append(m.pendingDeliveries[from], func() {
		m.newOwner, m.newOwnerUntil = taker, until
		for i := range m.nodes {
			if isolate {
				m.cutUntil[home][i], m.cutUntil[i][home] = until, until
			}
		}
	})
}

func (m *model) crash(nodes []int, longest time.Duration) {
	for _, i := range nodes {
		n := m.nodes[i]
		n.downUntil = m.now + 50*time.Millisecond + m.randomUpTo(longest)
		n.pausedUntil = 0
		m.startNode(n)
	}
}

func (m *model) tickNode(n *modelNode) {
	now := m.localTime(n)
	m.sendHeartbeats(n, now)
	var wanted []Range
	if m.isFirstChoice(n, now, func(o *modelNode) int {
		if o != n && !n.ready[o.id] {
			return modelNodes
		}
		return o.rank
	}) || m.now < m.competeUntil[n.id] {
		wanted = []Range{modelRange}
	}
	n.leases.SetWanted(now, wanted)
	outgoing, _ := n.leases.Tick(now)
	for _, o := range outgoing {
		to := m.nodes[o.To[0]-'a']
		m.sendTo(n, to, func() {
			answer := to.leases.ReceiveRequest(m.localTime(to), n.name(), o.Request)
			m.sendTo(to, n, func() { n.leases.ReceiveResponse(m.localTime(n), to.name(), answer) })
		})
	}
	for i := range m.workers {
		m.manageSession(n, i, now)
	}
}

// sendHeartbeats sends heartbeats and forgives the silence of a pause, as the member
// table does.
func (m *model) sendHeartbeats(n *modelNode, now time.Time) {
	gap := now.Sub(n.lastHeartbeatSent)
	if gap < 250*time.Millisecond {
		return
	}
	if gap > time.Second {
		for i := range n.heardAt {
			n.heardAt[i] = n.heardAt[i].Add(min(gap, 10*time.Second))
		}
	}
	n.lastHeartbeatSent = now
	for _, to := range m.nodes {
		lists := now.Sub(n.heardAt[to.id]) < suspectAfter
		ready := n.leases.Ready(now, modelRange.Region)
		m.sendTo(n, to, func() { to.heardAt[n.id], to.listed[n.id], to.ready[n.id] = m.localTime(to), lists, ready })
	}
}

func (m *model) isFirstChoice(n *modelNode, now time.Time, rank func(*modelNode) int) bool {
	if m.now < n.rolesFrom {
		for _, o := range m.nodes {
			if o != n && (now.Sub(n.heardAt[o.id]) >= suspectAfter || !n.listed[o.id]) {
				return false
			}
		}
	}
	for _, o := range m.nodes {
		if o != n && now.Sub(n.heardAt[o.id]) < suspectAfter && n.listed[o.id] && rank(o) < rank(n) {
			return false
		}
	}
	return true
}

// manageSession opens, renews or closes the session of one worker.
func (m *model) manageSession(n *modelNode, i int, now time.Time) {
	s := &n.workers[i]
	taking := m.now < m.newOwnerUntil
	if now.Before(s.nextCallAt) && !(taking && s.open) {
		return
	}
	name := workerNames[i]
	first := n.id == m.newOwner
	if !taking {
		first = m.isFirstChoice(n, now, func(o *modelNode) int { return (o.id + i) % modelNodes })
	}
	token := s.token
	switch {
	case s.open && !first && (taking || m.random.IntN(10) == 0): // Other moves are spread over time.
		n.leases.SessionClosed(name)
		*s = nodeSession{token: token, nextCallAt: now.Add(time.Second)}
		m.deliverLater(func() {
			if w := m.workers[i]; w.token == token {
				w.heldUntil = 0
			}
		})
	case s.open && now.Before(s.nextCallAt):
	case s.open:
		s.nextCallAt = now.Add(time.Second)
		m.callWorker(n, i, func(w *modelWorker, clock time.Duration) bool {
			if w.token != token || clock >= w.heldUntil {
				return false
			}
			w.heldUntil = clock + SessionDuration
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
		s.nextCallAt = now.Add(200 * time.Millisecond)
	default:
		s.nextCallAt = now.Add(500 * time.Millisecond)
		m.callWorker(n, i, func(w *modelWorker, clock time.Duration) bool {
			if clock < w.heldUntil && w.holder != n.id {
				return false
			}
			w.holder, w.heldUntil = n.id, clock+SessionDuration
			w.token++
			return true
		}, func(granted bool, token int) {
			if granted && token > s.token {
				n.leases.SessionOpened(now, m.localTime(n), name)
				*s = nodeSession{open: true, token: token, nextCallAt: m.localTime(n)}
			}
		})
	}
}

func (m *model) callWorker(n *modelNode, i int, act func(*modelWorker, time.Duration) bool, answer func(bool, int)) {
	restarts := n.restarts
	m.deliverLater(func() {
		w := m.workers[i]
		granted := act(w, time.Duration(float64(m.now)*w.clockRate))
		token := w.token
		m.deliverLater(func() { m.enqueue(n, restarts, func() { answer(granted, token) }) })
	})
}

// modelTotals sums up runs of the model.
type modelTotals struct {
	runs, failed              int
	totalStepsWithHome, steps int
	homeMoves                 int
	firstViolations           []string
}

// runModels runs the seeds from 1 on as many processors as there are. Faults
// follow each other within the spacing; 0 is no faults.
func runModels(runs int, v disabledRules, spacing time.Duration) modelTotals {
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
				models[i].maxFaultInterval = spacing
				models[i].run(modelDuration)
				models[i].pendingDeliveries = nil
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
		totals.totalStepsWithHome, totals.steps, totals.homeMoves = totals.totalStepsWithHome+m.stepsWithHome, totals.steps+m.steps, totals.homeMoves+m.homeMoves
	}
	return totals
}

func (s modelTotals) availability() float64 { return float64(s.totalStepsWithHome) / float64(s.steps) }

func (s modelTotals) String() string {
	return fmt.Sprintf("seeds 1 to %d: two homes in %d runs, availability %.2f%%, %.1f moves a run",
		s.runs, s.failed, 100*s.availability(), float64(s.homeMoves)/float64(s.runs))
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
	totals := runModels(modelRuns(t, 1000), disabledRules{}, frequentFaultInterval)
	t.Log(totals)
	require.Empty(t, totals.firstViolations)
}

// Guards against two homes at once when the cell recovers between faults, and
// against a lower availability in that case.
func TestOneHomeUnderRareFaults(t *testing.T) {
	totals := runModels(modelRuns(t, 100), disabledRules{}, rareFaultInterval)
	t.Log(totals)
	require.Empty(t, totals.firstViolations)
	require.Greater(t, totals.availability(), 0.9)
}

// Guards against a home that is lost or moves without a fault.
func TestHomeStaysWithoutFaults(t *testing.T) {
	totals := runModels(20, disabledRules{}, 0)
	t.Log(totals)
	require.Empty(t, totals.firstViolations)
	require.Equal(t, totals.steps, totals.totalStepsWithHome)
	require.Equal(t, totals.runs, totals.homeMoves)
}

// Guards against a model that can't see two homes: without one of the rules it
// has to find them.
func TestModelFindsTwoHomesWithoutRule(t *testing.T) {
	for name, v := range map[string]disabledRules{
		"without the wait of a new session": {sessionDelay: true},
		"without the clock guard":           {clockMargins: true},
		"without the owner's clock guard":   {ownerClockMargin: true},
	} {
		t.Run(name, func(t *testing.T) {
			totals := runModels(modelRuns(t, 200), v, frequentFaultInterval)
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
		m := newModel(seed, disabledRules{}, false)
		m.run(modelWarmUp + m.randomUpTo(time.Second))
		home := m.lastHome
		require.GreaterOrEqual(t, home, 0, "seed %d", seed)
		died := m.now
		m.nodes[home].downUntil = time.Hour
		for m.lastHome == home && m.now < died+20*time.Second {
			m.run(modelStep)
		}
		times = append(times, m.now-died)
	}
	slices.Sort(times)
	t.Logf("seeds 1 to 100: p50 %v, p99 %v, maximum %v", times[49], times[98], times[99])
	require.Less(t, times[99], 5*time.Second)
}
