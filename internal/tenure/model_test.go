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

// The model simulates nodes, workers and a network in virtual time, in steps of
// modelStep. Its checks read only which nodes acted as home and which sessions
// were valid at each step.
const (
	modelStep     = 10 * time.Millisecond
	modelNodes    = 5
	modelWorkers  = 12
	modelDuration = 120 * time.Second
	// modelWarmUp excludes the start from the measured availability, as new
	// leases are suspended for the first 5 s.
	modelWarmUp = 10 * time.Second
	// suspectAfter is the time without a heartbeat after which a node is no longer
	// live to another, as in the member table.
	suspectAfter = 1500 * time.Millisecond
	// The time between two faults is 500 ms plus a random time, which is at most
	// frequentFaultInterval or rareFaultInterval.
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

// disabledRules selects rules of the protocol that the nodes don't follow.
type disabledRules struct {
	sessionDelay bool
	clockMargins bool
	// ownerClockMargin makes owners keep a promise for PromiseDuration by their
	// clock.
	ownerClockMargin bool
}

// modelNode is a node; the lowest rank is first choice for the home.
type modelNode struct {
	id, rank          int
	leases            *Leases
	clockRate         float64
	clockOffset       time.Duration
	downUntil         time.Duration // crashed
	pausedUntil       time.Duration
	rolesFrom         time.Duration // no roles before this time unless all other nodes are live, as in the member table
	restarts          uint64
	inbox             []func()
	nextTick          time.Duration
	heardAt           [modelNodes]time.Time
	listed            [modelNodes]bool // whether each node's newest heartbeat lists this node
	ready             [modelNodes]bool // whether each node may begin leases, by its newest heartbeat
	lastHeartbeatSent time.Time
	sessions          [modelWorkers]nodeSession
	omittedWorker     int   // index of the worker that the node's list lacks, or -1
	lastLease         Lease // under which the node last acted
}

// nodeSession is a node's view of its session with one worker.
type nodeSession struct {
	open       bool
	token      int
	nextCallAt time.Time
}

// modelWorker is a worker with the node that holds its session.
type modelWorker struct {
	clockRate float64
	holder    int
	token     int
	heldUntil time.Duration // by the worker's clock
}

// model is one simulated cell.
type model struct {
	random           *rand.Rand
	disabledRules    disabledRules
	faults           bool
	extremeClocks    bool
	now              time.Duration
	nodes            [modelNodes]*modelNode
	workers          [modelWorkers]*modelWorker
	scheduledActions map[time.Duration][]func()
	lossRate         float64
	cutUntil         [modelNodes][modelNodes]time.Duration
	competeUntil     [modelNodes]time.Duration // until when a node wants the range though it isn't first choice
	nextFault        time.Duration
	maxFaultInterval time.Duration // longest random part of the time between two faults

	// Until newOwnerUntil, newOwner owns all workers.
	newOwner      int
	newOwnerUntil time.Duration

	lastHome      int // the node that last acted as home, or -1
	violations    []string
	stepsWithHome int // after the warm-up, like steps
	steps         int
	homeMoves     int
}

func newModel(seed uint64, disabled disabledRules, faults bool) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 7)), disabledRules: disabled, faults: faults,
		scheduledActions: map[time.Duration][]func(){}, lastHome: -1, nextFault: 8 * time.Second, maxFaultInterval: 5 * time.Second,
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

// clockRate returns a random clock rate that is at most a tenth off. In half of the
// runs all clocks run at the slowest or fastest rate, most of them at the fastest.
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

// localTime returns the present time by the node's clock.
func (m *model) localTime(n *modelNode) time.Time {
	return time.Unix(1_800_000_000, 0).Add(n.clockOffset + time.Duration(float64(m.now)*n.clockRate))
}

// startNode starts a process of the node without state.
func (m *model) startNode(n *modelNode) {
	n.restarts++
	n.rolesFrom = max(m.now, n.downUntil) + suspectAfter
	n.leases = New(Options{Self: n.name(), Seed: uint64(n.id)<<32 | n.restarts ^ m.random.Uint64()})
	if m.disabledRules.sessionDelay {
		n.leases.sessionCountDelay = 0
	}
	if m.disabledRules.clockMargins {
		n.leases.candidatePromiseDuration, n.leases.ownerPromiseDuration, n.leases.ownerSessionDuration = PromiseDuration, PromiseDuration, SessionDuration
	}
	if m.disabledRules.ownerClockMargin {
		n.leases.ownerPromiseDuration = PromiseDuration
	}
	n.sessions, n.inbox, n.lastLease = [modelWorkers]nodeSession{}, nil, Lease{}
	n.heardAt, n.listed = [modelNodes]time.Time{}, [modelNodes]bool{}
	m.setWorkerList(n)
}

// setWorkerList gives the node the list of all workers but its omittedWorker.
func (m *model) setWorkerList(n *modelNode) {
	region := Region{Name: modelRange.Region, Owners: nodeNames}
	for i := range m.workers {
		if i != n.omittedWorker {
			region.Workers = append(region.Workers, workerNames[i])
		}
	}
	n.leases.SetRegion(m.localTime(n), region)
}

// deliverLater calls deliver after a delay. With faults, some deliveries are lost and
// some are up to 3 s late.
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
	m.scheduledActions[at] = append(m.scheduledActions[at], deliver)
}

// sendTo delivers a message to a node. The message is lost if the connection is cut,
// or if the node is down or has restarted by then; it waits while the node is paused.
func (m *model) sendTo(from, to *modelNode, handle func()) {
	if m.now < m.cutUntil[from.id][to.id] {
		return
	}
	m.deliverLater(func() { m.enqueue(to, to.restarts, handle) })
}

// enqueue puts a message into the node's inbox, unless the node is down or has restarted.
func (m *model) enqueue(n *modelNode, restarts uint64, handle func()) {
	if n.restarts == restarts && m.now >= n.downUntil && len(n.inbox) < 1000 {
		n.inbox = append(n.inbox, handle)
	}
}

func (m *model) run(duration time.Duration) {
	for end := m.now + duration; m.now < end; m.now += modelStep {
		if m.faults && m.now >= m.nextFault {
			m.injectFault()
			m.nextFault = m.now + 500*time.Millisecond + m.randomUpTo(m.maxFaultInterval)
		}
		actions := m.scheduledActions[m.now]
		delete(m.scheduledActions, m.now)
		for _, act := range actions {
			act()
		}
		homes := 0
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
			homes += m.checkHome(n)
		}
		if homes > 1 {
			m.violations = append(m.violations, fmt.Sprintf("%v: %d homes acted in one step", m.now, homes))
		}
		if m.now >= modelWarmUp {
			m.steps++
			m.stepsWithHome += min(homes, 1)
		}
		m.checkSessions()
	}
}

// checkHome lets the node act as home if it holds the lease, and checks that no other
// node acted since this one first acted under the same lease. It returns the number of
// homes: 1 if the node acted, otherwise 0.
func (m *model) checkHome(n *modelNode) int {
	lease, held := n.leases.Held(m.localTime(n), modelRange)
	if !held {
		return 0
	}
	if m.lastHome != n.id {
		if n.lastLease.Since.Equal(lease.Since) {
			m.violations = append(m.violations, fmt.Sprintf("%v: during one lease of %s, node %d acted as home", m.now, n.name(), m.lastHome))
		}
		m.homeMoves++
	}
	m.lastHome, n.lastLease = n.id, lease
	return 1
}

// checkSessions checks that no two nodes rely on a session with the same worker. It does
// so every 100 ms, and only if no rule is disabled.
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
			workerIndex, _ := strconv.Atoi(s.worker[3:]) // workerNames are vm-00 to vm-11.
			if holders[workerIndex]++; holders[workerIndex] > 1 {
				m.violations = append(m.violations, fmt.Sprintf("%v: two nodes have a session with %s", m.now, s.worker))
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
		node := m.random.IntN(modelNodes) // loses all messages that it sends, or all sent to it
		inbound := m.random.IntN(2) == 0
		until := m.now + m.randomUpTo(6*time.Second)
		for other := range m.nodes {
			if inbound {
				m.cutUntil[other][node] = until
			} else {
				m.cutUntil[node][other] = until
			}
		}
	case 4:
		m.startContention()
	case 5:
		n := m.nodes[m.random.IntN(modelNodes)]
		n.omittedWorker = m.random.IntN(modelWorkers+1) - 1
		m.setWorkerList(n)
	case 6, 7:
		m.isolateHome()
	case 8:
		m.moveAllSessions()
	}
}

// startContention makes one node or all of them want the range for up to 6 s.
func (m *model) startContention() {
	until, chosen := m.now+m.randomUpTo(6*time.Second), m.random.IntN(2*modelNodes)
	for i := range m.nodes {
		if chosen == i || chosen >= modelNodes {
			m.competeUntil[i] = until
		}
	}
}

// isolateHome cuts the home's connections in one or both directions while another node
// wants its range, and may restart some of the others.
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

// moveAllSessions cuts a node off from the home and 2.5 s later moves all sessions to
// that node, whose promises to the home have expired by then. It may also isolate the
// home.
func (m *model) moveAllSessions() {
	home := max(m.lastHome, 0)
	newOwner := (home + 1 + m.random.IntN(modelNodes-1)) % modelNodes
	from := m.now + 2500*time.Millisecond
	until := from + 3*time.Second
	m.cutUntil[home][newOwner], m.cutUntil[newOwner][home], m.competeUntil[newOwner] = until, until, until
	isolate := m.random.IntN(2) == 0
	m.scheduledActions[from] = append(m.scheduledActions[from], func() {
		m.newOwner, m.newOwnerUntil = newOwner, until
		for i := range m.nodes {
			if isolate {
				m.cutUntil[home][i], m.cutUntil[i][home] = until, until
			}
		}
	})
}

// crash restarts the nodes; each is down for 50 ms plus up to maxExtraDowntime.
func (m *model) crash(nodes []int, maxExtraDowntime time.Duration) {
	for _, i := range nodes {
		n := m.nodes[i]
		n.downUntil = m.now + 50*time.Millisecond + m.randomUpTo(maxExtraDowntime)
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
		to := m.nodes[o.To[0]-'a'] // nodeNames are a to e.
		m.sendTo(n, to, func() {
			response := to.leases.ReceiveRequest(m.localTime(to), n.name(), o.Request)
			m.sendTo(to, n, func() { n.leases.ReceiveResponse(m.localTime(n), to.name(), response) })
		})
	}
	for i := range m.workers {
		m.manageSession(n, i, now)
	}
}

// sendHeartbeats sends heartbeats when they are due. After a pause it doesn't count the
// pause as silence of the others, as in the member table.
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
		listed := now.Sub(n.heardAt[to.id]) < suspectAfter
		ready := n.leases.Ready(now, modelRange.Region)
		m.sendTo(n, to, func() { to.heardAt[n.id], to.listed[n.id], to.ready[n.id] = m.localTime(to), listed, ready })
	}
}

// isFirstChoice reports whether no live node has a lower rank, as far as the node knows.
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

// manageSession opens, renews or closes the node's session with one worker.
func (m *model) manageSession(n *modelNode, i int, now time.Time) {
	s := &n.sessions[i]
	moveAll := m.now < m.newOwnerUntil
	if now.Before(s.nextCallAt) && !(moveAll && s.open) {
		return
	}
	name := workerNames[i]
	isFirstChoice := n.id == m.newOwner
	if !moveAll {
		isFirstChoice = m.isFirstChoice(n, now, func(o *modelNode) int { return (o.id + i) % modelNodes })
	}
	token := s.token
	switch {
	case s.open && !isFirstChoice && (moveAll || m.random.IntN(10) == 0):
		// Moves other than those of moveAllSessions are spread over time.
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
	case !isFirstChoice:
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

// callWorker calls act at the worker with the time of its clock, and then onResponse at
// the node. Either message may be late or lost.
func (m *model) callWorker(n *modelNode, i int, act func(*modelWorker, time.Duration) bool, onResponse func(bool, int)) {
	restarts := n.restarts
	m.deliverLater(func() {
		w := m.workers[i]
		granted := act(w, time.Duration(float64(m.now)*w.clockRate))
		token := w.token
		m.deliverLater(func() { m.enqueue(n, restarts, func() { onResponse(granted, token) }) })
	})
}

// modelTotals is the sum of the results of several runs of the model.
type modelTotals struct {
	runs, failed         int
	stepsWithHome, steps int
	homeMoves            int
	firstViolations      []string
}

// runModels runs the model with the seeds 1 to runs, in parallel. maxFaultInterval is the
// longest random part of the time between two faults; 0 disables faults.
func runModels(runs int, disabled disabledRules, maxFaultInterval time.Duration) modelTotals {
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
				models[i] = newModel(uint64(i+1), disabled, maxFaultInterval > 0)
				models[i].maxFaultInterval = maxFaultInterval
				models[i].run(modelDuration)
				models[i].scheduledActions = nil
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
		totals.stepsWithHome, totals.steps, totals.homeMoves = totals.stepsWithHome+m.stepsWithHome, totals.steps+m.steps, totals.homeMoves+m.homeMoves
	}
	return totals
}

func (s modelTotals) availability() float64 { return float64(s.stepsWithHome) / float64(s.steps) }

func (s modelTotals) String() string {
	return fmt.Sprintf("seeds 1 to %d: two homes in %d runs, availability %.2f%%, %.1f moves a run",
		s.runs, s.failed, 100*s.availability(), float64(s.homeMoves)/float64(s.runs))
}

// modelRuns returns the number of runs: that of the environment variable TENURE_RUNS, or
// the default if it is not set.
func modelRuns(t *testing.T, defaultRuns int) int {
	text := os.Getenv("TENURE_RUNS")
	if text == "" {
		return defaultRuns
	}
	runs, err := strconv.Atoi(text)
	require.NoError(t, err)
	return runs
}

// Guards against two homes at once under frequent faults. Also logs the availability,
// which shows whether a change to the protocol lowers it.
func TestOneHomeUnderFaults(t *testing.T) {
	totals := runModels(modelRuns(t, 1000), disabledRules{}, frequentFaultInterval)
	t.Log(totals)
	require.Empty(t, totals.firstViolations)
}

// Guards against two homes at once, and against an availability of 90% or less, when
// the cell recovers between faults.
func TestOneHomeUnderRareFaults(t *testing.T) {
	totals := runModels(modelRuns(t, 100), disabledRules{}, rareFaultInterval)
	t.Log(totals)
	require.Empty(t, totals.firstViolations)
	require.Greater(t, totals.availability(), 0.9)
}

// Guards against a home that is lost or moves although there is no fault.
func TestHomeStaysWithoutFaults(t *testing.T) {
	totals := runModels(20, disabledRules{}, 0)
	t.Log(totals)
	require.Empty(t, totals.firstViolations)
	require.Equal(t, totals.steps, totals.stepsWithHome)
	require.Equal(t, totals.runs, totals.homeMoves)
}

// Guards against a model that doesn't detect two homes at once: it must find them when
// one of the protocol's rules is disabled.
func TestModelFindsTwoHomesWithoutRule(t *testing.T) {
	for name, disabled := range map[string]disabledRules{
		"without the delay of a new session": {sessionDelay: true},
		"without the clock margins":          {clockMargins: true},
		"without the owner's clock margin":   {ownerClockMargin: true},
	} {
		t.Run(name, func(t *testing.T) {
			totals := runModels(modelRuns(t, 200), disabled, frequentFaultInterval)
			t.Log(totals, totals.firstViolations)
			require.NotZero(t, totals.failed)
		})
	}
}

// Guards against a slow takeover: measures the time from the failure of a home to the
// first action of its successor, in a cell without other faults.
func TestTakeoverTime(t *testing.T) {
	var takeoverTimes []time.Duration
	for seed := uint64(1); seed <= 100; seed++ {
		m := newModel(seed, disabledRules{}, false)
		m.run(modelWarmUp + m.randomUpTo(time.Second))
		home := m.lastHome
		require.GreaterOrEqual(t, home, 0, "seed %d", seed)
		failedAt := m.now
		m.nodes[home].downUntil = time.Hour
		for m.lastHome == home && m.now < failedAt+20*time.Second {
			m.run(modelStep)
		}
		takeoverTimes = append(takeoverTimes, m.now-failedAt)
	}
	slices.Sort(takeoverTimes)
	t.Logf("seeds 1 to 100: p50 %v, p99 %v, maximum %v", takeoverTimes[49], takeoverTimes[98], takeoverTimes[99])
	require.Less(t, takeoverTimes[99], 5*time.Second)
}
