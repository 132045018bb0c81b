package capacity

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// One-way delays of the simulated network, from section 1.6 of the design page, and
// times of worker sessions.
const (
	regionDelay = time.Millisecond
	linkDelay   = 30 * time.Millisecond
	logDelay    = 5 * time.Millisecond
	// watchWait is the watchWaitTime of internal/node, and sessionLength the default
	// of control.Timing.SessionLength.
	watchWait     = time.Second
	sessionLength = 3 * time.Second
	// sessionLossTimeout is how long an owner keeps a session that it can't renew. The
	// fraction is the usableSessionShare of internal/node.
	sessionLossTimeout = sessionLength * 9 / 10
)

var regionNames = [2]string{"punjab", "sindh"}

// domainsPerRegion is the number of failure domains of each region, 7 in total.
var domainsPerRegion = [2]int{4, 3}

// event is an action at a time of the virtual clock. Events of the same time run
// in the order of sequence.
type event struct {
	at       time.Time
	sequence uint64
	action   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(value any) { *q = append(*q, value.(event)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// cellNode is a control node of the cell. Its regionIndex is an index into
// regionNames.
type cellNode struct {
	index       int
	name        string
	regionIndex int
	domainIndex int
	node        *control.Node
	stopped     bool
}

// submission is a request of which no task has started.
type submission struct {
	kind        string
	submittedAt time.Time
}

// fakeWorker is a worker that keeps only a session, tasks and results.
type fakeWorker struct {
	vm            control.VMEntry
	regionIndex   int
	description   placement.Worker
	sessionToken  uint64
	sessionHolder *cellNode
	renewedAt     time.Time
	// watchNumber is that of the newest watch; timers of earlier ones do nothing.
	watchNumber uint64
	tasks       map[placement.TaskID]*control.ListedOnWorker
	results     []control.FinishedOnWorker
	stopped     bool
}

// cell runs control nodes in virtual time. A record appended to the log is
// delivered to every node.
type cell struct {
	now                time.Time
	sequence           uint64
	events             eventQueue
	rng                *rand.Rand
	nodes              []*cellNode
	nodesByName        map[string]*cellNode
	workers            []*fakeWorker
	workersByName      map[string]*fakeWorker
	meter              *meter
	regionsPartitioned bool

	lastRequestID uint64
	// unstarted holds the requests of which no task has started.
	unstarted map[workload.Key]submission
	// waitsMS holds the times from submission to start in milliseconds, by kind of
	// request.
	waitsMS map[string][]float64
	// answered counts all replies, including the refused ones.
	answered int
	refused  map[workload.Code]int
}

func newCell(members, workers, teams int, seed uint64) (*cell, error) {
	c := &cell{
		now: time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC), rng: rand.New(rand.NewPCG(seed, seed)),
		nodesByName: map[string]*cellNode{}, workersByName: map[string]*fakeWorker{}, meter: newMeter(),
		unstarted: map[workload.Key]submission{}, waitsMS: map[string][]float64{}, refused: map[workload.Code]int{},
	}
	memberList := c.addNodes(members)
	for _, n := range c.nodes {
		node, err := control.New(control.Options{
			Name: n.name, Region: regionNames[n.regionIndex], FailureDomain: domainName(n.regionIndex, n.domainIndex),
			Incarnation: 1, Seed: seed + uint64(n.index), Members: memberList, Start: c.now,
		})
		if err != nil {
			return nil, err
		}
		n.node = node
	}
	for i := range workers {
		c.addWorker(i)
	}
	for _, n := range c.nodes {
		// The ticks of the nodes are spread evenly over one interval.
		offset := control.TickInterval * time.Duration(n.index) / time.Duration(members)
		c.schedule(offset, func() {
			c.step(n, &control.LogState{Up: true})
			c.step(n, &control.PolicyAccepted{Version: 1, Digest: 1, Rules: rulesFor(teams)})
			c.step(n, c.vmList())
			c.tick(n)
		})
	}
	return c, nil
}

func domainName(region, domain int) string { return fmt.Sprintf("%s-%d", regionNames[region], domain) }

func (c *cell) addNodes(count int) []membership.Member {
	var list []membership.Member
	for i := range count {
		region := i % 2
		n := &cellNode{index: i, name: fmt.Sprintf("entry-%d", i+1), regionIndex: region, domainIndex: i / 2 % domainsPerRegion[region]}
		c.nodes = append(c.nodes, n)
		c.nodesByName[n.name] = n
		list = append(list, membership.Member{
			Name: n.name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(region), 0, byte(i + 1)}), 7000),
			Region: regionNames[region], FailureDomain: domainName(region, n.domainIndex),
		})
	}
	return list
}

// addWorker adds a worker. Every sixth worker of a region has 8 accelerators, so
// 650 workers have 880.
func (c *cell) addWorker(i int) {
	region := i % 2
	rack := i / 2 / 5
	domain := rack % domainsPerRegion[region]
	name := fmt.Sprintf("worker-%d", i+1)
	capacity := workload.Resources{MilliCPU: 32_000, MemoryMB: 131_072}
	if i/2%6 == 0 {
		capacity.Accelerators = 8
	}
	w := &fakeWorker{
		vm: control.VMEntry{
			Name: name, Region: regionNames[region], FailureDomain: domainName(region, domain), Rack: fmt.Sprintf("rack-%d-%d", region, rack),
		},
		regionIndex: region, tasks: map[placement.TaskID]*control.ListedOnWorker{}, sessionToken: 1000,
	}
	w.description = placement.Worker{
		Name: name, Region: w.vm.Region, FailureDomain: w.vm.FailureDomain, Rack: w.vm.Rack,
		Capacity: capacity, Slots: 8, Connections: 64,
	}
	c.workers = append(c.workers, w)
	c.workersByName[name] = w
}

func (c *cell) vmList() *control.VMListed {
	list := &control.VMListed{}
	for _, w := range c.workers {
		if !w.stopped {
			list.Workers = append(list.Workers, w.vm)
		}
	}
	return list
}

func (c *cell) schedule(delay time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now.Add(delay), c.sequence, action})
}

// advance runs the events of the next duration of virtual time.
func (c *cell) advance(duration time.Duration) {
	end := c.now.Add(duration)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.action()
	}
	c.now = end
}

// measure advances the clock by whole seconds and returns a meter of these
// seconds only.
func (c *cell) measure(seconds int) *meter {
	c.meter = newMeter()
	for range seconds {
		c.meter.beginSecond()
		c.advance(time.Second)
	}
	m := c.meter
	c.meter = newMeter()
	return m
}

func (c *cell) tick(n *cellNode) {
	if n.stopped {
		return
	}
	c.step(n, &control.Tick{})
	c.schedule(control.TickInterval, func() { c.tick(n) })
}

func (c *cell) step(n *cellNode, input control.Input) {
	if n.stopped {
		return
	}
	label := labelOf(input)
	start := time.Now()
	outputs := n.node.Step(c.now, input)
	c.meter.addStep(n.index, label, time.Since(start))
	for _, output := range outputs {
		c.handleOutput(n, output)
	}
}

func (c *cell) handleOutput(n *cellNode, output control.Output) {
	switch out := output.(type) {
	case *control.SendPeer:
		c.sendPeer(n, out)
	case *control.OpenSession:
		w, sentAt := c.workersByName[out.Worker], c.now
		c.schedule(regionDelay, func() { c.openSession(n, w, sentAt) })
	case *control.CloseSession:
		w := c.workersByName[out.Worker]
		c.schedule(regionDelay, func() {
			if w.sessionToken == out.Token {
				w.sessionHolder = nil
			}
		})
	case *control.StartTask:
		w := c.workersByName[out.Worker]
		c.schedule(regionDelay, func() { c.startTask(n, w, out) })
	case *control.StopTask:
		w := c.workersByName[out.Worker]
		c.schedule(regionDelay, func() { c.finishTask(w, out.ID, placement.Stopped) })
	case *control.Reply:
		c.handleReply(n, out)
	case *control.AppendRecord:
		c.appendRecord(out)
	}
}

func (c *cell) sendPeer(n *cellNode, out *control.SendPeer) {
	label := typeName(out.Message)
	start := time.Now()
	frame, err := control.Encode(out.Message)
	c.meter.addTime(n.index, label, time.Since(start))
	if err != nil {
		panic(err)
	}
	to, delay, direction := c.nodesByName[out.To], regionDelay, -1
	if to.regionIndex != n.regionIndex {
		delay, direction = linkDelay, n.regionIndex
	}
	c.meter.addMessage(n.index, label, len(frame), direction)
	if direction >= 0 && c.regionsPartitioned {
		return
	}
	c.schedule(delay, func() {
		if to.stopped {
			return
		}
		start := time.Now()
		message, err := control.Decode(frame)
		c.meter.addTime(to.index, label, time.Since(start))
		if err != nil {
			panic(err)
		}
		c.step(to, &control.PeerMessage{From: n.name, Message: message})
	})
}

// openSession opens a session unless another node holds a live one.
func (c *cell) openSession(n *cellNode, w *fakeWorker, sentAt time.Time) {
	if w.stopped {
		c.schedule(time.Second, func() { c.step(n, &control.SessionRefused{Worker: w.vm.Name, Reason: "no answer"}) })
		return
	}
	if w.sessionHolder != nil && w.sessionHolder != n && c.now.Sub(w.renewedAt) < sessionLength {
		c.schedule(regionDelay, func() { c.step(n, &control.SessionRefused{Worker: w.vm.Name, Reason: "held"}) })
		return
	}
	w.sessionToken++
	w.sessionHolder, w.renewedAt = n, c.now
	input := &control.SessionOpened{Worker: w.description, Token: w.sessionToken, SentAt: sentAt}
	for _, t := range w.tasks {
		input.Tasks = append(input.Tasks, *t)
	}
	slices.SortFunc(input.Tasks, func(a, b control.ListedOnWorker) int { return placement.CompareTaskIDs(a.ID, b.ID) })
	c.schedule(regionDelay, func() { c.step(n, input) })
	c.startWatch(w)
}

// startWatch begins a watch by the session holder. It is answered after
// watchWait, or earlier when a task ends.
func (c *cell) startWatch(w *fakeWorker) {
	w.watchNumber++
	number, token, sentAt, holder := w.watchNumber, w.sessionToken, c.now, w.sessionHolder
	c.schedule(watchWait, func() {
		if w.watchNumber == number && w.sessionToken == token && w.sessionHolder == holder && holder != nil && !holder.stopped {
			c.sendReport(w, sentAt)
		}
	})
}

func (c *cell) sendReport(w *fakeWorker, sentAt time.Time) {
	if w.stopped || w.sessionHolder == nil || w.sessionHolder.stopped {
		return
	}
	w.renewedAt = c.now
	input := &control.WorkerReport{Worker: w.vm.Name, Token: w.sessionToken, SentAt: sentAt, Finished: w.results}
	w.results = nil
	holder := w.sessionHolder
	c.schedule(regionDelay, func() { c.step(holder, input) })
	c.startWatch(w)
}

func (c *cell) startTask(n *cellNode, w *fakeWorker, out *control.StartTask) {
	if w.stopped || w.sessionToken != out.Token {
		c.schedule(regionDelay, func() { c.step(n, &control.SessionLost{Worker: w.vm.Name, Token: out.Token, Reason: "token"}) })
		return
	}
	if s, found := c.unstarted[out.ID.Key]; found {
		c.waitsMS[s.kind] = append(c.waitsMS[s.kind], float64(c.now.Sub(s.submittedAt).Milliseconds()))
		delete(c.unstarted, out.ID.Key)
	}
	w.tasks[out.ID] = &control.ListedOnWorker{ID: out.ID, Resources: out.Requested, Label: out.Label, StartedAt: c.now}
	c.schedule(regionDelay, func() { c.step(n, &control.TaskStarted{Worker: w.vm.Name, Token: out.Token, ID: out.ID}) })
	// The payload is the run time in milliseconds, see submit.
	runTimeMS, _ := strconv.Atoi(string(out.Payload))
	c.schedule(time.Duration(runTimeMS)*time.Millisecond, func() { c.finishTask(w, out.ID, placement.Completed) })
}

func (c *cell) finishTask(w *fakeWorker, id placement.TaskID, outcome placement.Outcome) {
	t := w.tasks[id]
	if t == nil || w.stopped {
		return
	}
	delete(w.tasks, id)
	w.results = append(w.results, control.FinishedOnWorker{ID: id, Result: control.Result{
		Outcome: outcome, Ran: c.now.Sub(t.StartedAt), Body: make([]byte, answerBytes),
	}})
	c.sendReport(w, c.now)
}

func (c *cell) handleReply(n *cellNode, out *control.Reply) {
	c.answered++
	if out.Refusal != nil {
		c.refused[out.Refusal.Code]++
		return
	}
	c.schedule(regionDelay, func() { c.step(n, &control.AnswerDelivered{RequestID: out.RequestID}) })
}

// submit sends a request to a node as its front. The payload is the run time in
// milliseconds, padded with zeros to payloadBytes.
func (c *cell) submit(n *cellNode, team, kind string, mode workload.Mode, runTime time.Duration) {
	c.lastRequestID++
	request := workload.Request{
		Key: c.newKey(), Team: team, Kind: kind, Mode: mode, Class: kind,
		Resources: workload.Resources{MilliCPU: 1000, MemoryMB: 1024}, RunTimeMS: runTime.Milliseconds(),
		Payload: fmt.Appendf(nil, "%0*d", payloadBytes, runTime.Milliseconds()),
	}
	c.unstarted[request.Key] = submission{kind, c.now}
	c.step(n, &control.Submit{RequestID: c.lastRequestID, Request: request})
}

// newKey returns a version 7 UUID with the virtual time and random bits of the
// seed.
func (c *cell) newKey() workload.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(c.now.UnixMilli())<<16|uint64(c.rng.Uint32()&0xfff)|0x7000)
	binary.BigEndian.PutUint64(id[8:], c.rng.Uint64()&(1<<62-1)|1<<63)
	return workload.Key(id.String())
}

// stopWorker stops a worker VM. Its owner loses the session after
// sessionLossTimeout, and later VM lists don't contain it.
func (c *cell) stopWorker(w *fakeWorker) {
	w.stopped = true
	holder, token := w.sessionHolder, w.sessionToken
	if holder != nil {
		c.schedule(sessionLossTimeout, func() {
			c.step(holder, &control.SessionLost{Worker: w.vm.Name, Token: token, Reason: "no answer"})
		})
	}
}

func (c *cell) deliverVMList() {
	for _, n := range c.nodes {
		c.step(n, c.vmList())
	}
}

// countUnowned counts the live workers whose session isn't held by a live node.
func (c *cell) countUnowned() int {
	count := 0
	for _, w := range c.workers {
		if !w.stopped && (w.sessionHolder == nil || w.sessionHolder.stopped) {
			count++
		}
	}
	return count
}
