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

// Delays of the virtual network, from section 1.6 of the design page.
const (
	regionDelay = time.Millisecond
	linkDelay   = 30 * time.Millisecond
	logDelay    = 5 * time.Millisecond
	// watchWait and sessionLength are those of internal/node.
	watchWait     = time.Second
	sessionLength = 3 * time.Second
	// lostAfter is how long an owner keeps a session that it can't renew.
	lostAfter = sessionLength * 9 / 10
)

var regionNames = [2]string{"punjab", "sindh"}

// domainsOf is the number of failure domains of each region; together 7.
var domainsOf = [2]int{4, 3}

// event is something that happens at a time of the virtual clock.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type agenda []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].sequence < a[j].sequence
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push appends an event.
func (a *agenda) Push(value any) { *a = append(*a, value.(event)) }

// Pop removes the last event.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// entry is one node of the cell.
type entry struct {
	index   int
	name    string
	region  int
	domain  int
	node    *control.Node
	stopped bool
}

// submission is a request that has not started.
type submission struct {
	kind string
	at   time.Time
}

// fakeWorker is a worker with sessions and tasks and nothing else.
type fakeWorker struct {
	entry   control.VMEntry
	region  int
	shape   placement.Worker
	token   uint64
	holder  *entry
	renewed time.Time
	// watch numbers the watches, so that a timer of an earlier one has no effect.
	watch   uint64
	tasks   map[placement.TaskID]*control.ListedOnWorker
	results []control.FinishedOnWorker
	stopped bool
}

// cell drives control nodes in virtual time. The log reads every record back to
// every node.
type cell struct {
	now      time.Time
	sequence uint64
	agenda   agenda
	random   *rand.Rand
	entries  []*entry
	byName   map[string]*entry
	workers  []*fakeWorker
	byWorker map[string]*fakeWorker
	meter    *meter
	cut      bool

	nextRequest uint64
	// submitted are the requests that have not started.
	submitted map[workload.Key]submission
	waits     map[string][]float64
	answered  int
	refused   map[workload.Code]int
}

func newCell(members, workers, teams int, seed uint64) (*cell, error) {
	c := &cell{
		now: time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, seed)),
		byName: map[string]*entry{}, byWorker: map[string]*fakeWorker{}, meter: newMeter(),
		submitted: map[workload.Key]submission{}, waits: map[string][]float64{}, refused: map[workload.Code]int{},
	}
	list := c.addEntries(members)
	for _, e := range c.entries {
		node, err := control.New(control.Options{
			Name: e.name, Region: regionNames[e.region], FailureDomain: domainName(e.region, e.domain),
			Incarnation: 1, Seed: seed + uint64(e.index), Members: list, Start: c.now,
		})
		if err != nil {
			return nil, err
		}
		e.node = node
	}
	for i := range workers {
		c.addWorker(i)
	}
	for _, e := range c.entries {
		offset := control.TickInterval * time.Duration(e.index) / time.Duration(members)
		c.after(offset, func() {
			c.step(e, &control.LogState{Up: true})
			c.step(e, &control.PolicyAccepted{Version: 1, Digest: 1, Rules: rulesFor(teams)})
			c.step(e, c.vmList())
			c.tick(e)
		})
	}
	return c, nil
}

func domainName(region, domain int) string { return fmt.Sprintf("%s-%d", regionNames[region], domain) }

func (c *cell) addEntries(count int) []membership.Member {
	var list []membership.Member
	for i := range count {
		region := i % 2
		e := &entry{index: i, name: fmt.Sprintf("entry-%d", i+1), region: region, domain: i / 2 % domainsOf[region]}
		c.entries = append(c.entries, e)
		c.byName[e.name] = e
		list = append(list, membership.Member{
			Name: e.name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(region), 0, byte(i + 1)}), 7000),
			Region: regionNames[region], FailureDomain: domainName(region, e.domain),
		})
	}
	return list
}

// addWorker adds a worker; every sixth of a region has 8 accelerators, so that
// 650 workers have 880.
func (c *cell) addWorker(i int) {
	region := i % 2
	rack := i / 2 / 5
	domain := rack % domainsOf[region]
	name := fmt.Sprintf("worker-%d", i+1)
	capacity := workload.Resources{MilliCPU: 32_000, MemoryMB: 131_072}
	if i/2%6 == 0 {
		capacity.Accelerators = 8
	}
	w := &fakeWorker{
		entry: control.VMEntry{
			Name: name, Region: regionNames[region], FailureDomain: domainName(region, domain), Rack: fmt.Sprintf("rack-%d-%d", region, rack),
		},
		region: region, tasks: map[placement.TaskID]*control.ListedOnWorker{}, token: 1000,
	}
	w.shape = placement.Worker{
		Name: name, Region: w.entry.Region, FailureDomain: w.entry.FailureDomain, Rack: w.entry.Rack,
		Capacity: capacity, Slots: 8, Connections: 64,
	}
	c.workers = append(c.workers, w)
	c.byWorker[name] = w
}

func (c *cell) vmList() *control.VMListed {
	list := &control.VMListed{}
	for _, w := range c.workers {
		if !w.stopped {
			list.Workers = append(list.Workers, w.entry)
		}
	}
	return list
}

func (c *cell) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.agenda, event{c.now.Add(delay), c.sequence, run})
}

// run advances the virtual clock.
func (c *cell) run(length time.Duration) {
	end := c.now.Add(length)
	for len(c.agenda) > 0 && !c.agenda[0].at.After(end) {
		next := heap.Pop(&c.agenda).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// measure runs for some whole seconds with a new meter.
func (c *cell) measure(seconds int) *meter {
	c.meter = newMeter()
	for range seconds {
		c.meter.beginSecond()
		c.run(time.Second)
	}
	m := c.meter
	c.meter = newMeter()
	return m
}

func (c *cell) tick(e *entry) {
	if e.stopped {
		return
	}
	c.step(e, &control.Tick{})
	c.after(control.TickInterval, func() { c.tick(e) })
}

func (c *cell) step(e *entry, in control.Input) {
	if e.stopped {
		return
	}
	label := labelOf(in)
	start := time.Now()
	outputs := e.node.Step(c.now, in)
	c.meter.stepped(e.index, label, time.Since(start))
	for _, output := range outputs {
		c.carryOut(e, output)
	}
}

func (c *cell) carryOut(e *entry, output control.Output) {
	switch out := output.(type) {
	case *control.SendPeer:
		c.sendPeer(e, out)
	case *control.OpenSession:
		w, sentAt := c.byWorker[out.Worker], c.now
		c.after(regionDelay, func() { c.open(e, w, sentAt) })
	case *control.CloseSession:
		w := c.byWorker[out.Worker]
		c.after(regionDelay, func() {
			if w.token == out.Token {
				w.holder = nil
			}
		})
	case *control.StartTask:
		w := c.byWorker[out.Worker]
		c.after(regionDelay, func() { c.start(e, w, out) })
	case *control.StopTask:
		w := c.byWorker[out.Worker]
		c.after(regionDelay, func() { c.finish(w, out.ID, placement.Stopped) })
	case *control.Reply:
		c.reply(e, out)
	case *control.AppendRecord:
		c.appendRecord(out)
	}
}

func (c *cell) sendPeer(e *entry, out *control.SendPeer) {
	label := typeName(out.Message)
	start := time.Now()
	frame, err := control.Encode(out.Message)
	c.meter.spent(e.index, label, time.Since(start))
	if err != nil {
		panic(err)
	}
	to, delay, direction := c.byName[out.To], regionDelay, -1
	if to.region != e.region {
		delay, direction = linkDelay, e.region
	}
	c.meter.message(e.index, label, len(frame), direction)
	if direction >= 0 && c.cut {
		return
	}
	c.after(delay, func() {
		if to.stopped {
			return
		}
		start := time.Now()
		message, err := control.Decode(frame)
		c.meter.spent(to.index, label, time.Since(start))
		if err != nil {
			panic(err)
		}
		c.step(to, &control.PeerMessage{From: e.name, Message: message})
	})
}

// open grants a session unless another holder's is live.
func (c *cell) open(e *entry, w *fakeWorker, sentAt time.Time) {
	if w.stopped {
		c.after(time.Second, func() { c.step(e, &control.SessionRefused{Worker: w.entry.Name, Reason: "no answer"}) })
		return
	}
	if w.holder != nil && w.holder != e && c.now.Sub(w.renewed) < sessionLength {
		c.after(regionDelay, func() { c.step(e, &control.SessionRefused{Worker: w.entry.Name, Reason: "held"}) })
		return
	}
	w.token++
	w.holder, w.renewed = e, c.now
	in := &control.SessionOpened{Worker: w.shape, Token: w.token, SentAt: sentAt}
	for _, t := range w.tasks {
		in.Tasks = append(in.Tasks, *t)
	}
	slices.SortFunc(in.Tasks, func(a, b control.ListedOnWorker) int { return placement.CompareTaskIDs(a.ID, b.ID) })
	c.after(regionDelay, func() { c.step(e, in) })
	c.watch(w)
}

// watch answers after watchWait, or earlier when a task ends.
func (c *cell) watch(w *fakeWorker) {
	w.watch++
	number, token, sentAt, holder := w.watch, w.token, c.now, w.holder
	c.after(watchWait, func() {
		if w.watch == number && w.token == token && w.holder == holder && holder != nil && !holder.stopped {
			c.report(w, sentAt)
		}
	})
}

func (c *cell) report(w *fakeWorker, sentAt time.Time) {
	if w.stopped || w.holder == nil || w.holder.stopped {
		return
	}
	w.renewed = c.now
	in := &control.WorkerReport{Worker: w.entry.Name, Token: w.token, SentAt: sentAt, Finished: w.results}
	w.results = nil
	holder := w.holder
	c.after(regionDelay, func() { c.step(holder, in) })
	c.watch(w)
}

func (c *cell) start(e *entry, w *fakeWorker, out *control.StartTask) {
	if w.stopped || w.token != out.Token {
		c.after(regionDelay, func() { c.step(e, &control.SessionLost{Worker: w.entry.Name, Token: out.Token, Reason: "token"}) })
		return
	}
	if s, first := c.submitted[out.ID.Key]; first {
		c.waits[s.kind] = append(c.waits[s.kind], float64(c.now.Sub(s.at).Milliseconds()))
		delete(c.submitted, out.ID.Key)
	}
	w.tasks[out.ID] = &control.ListedOnWorker{ID: out.ID, Resources: out.Requested, Label: out.Label, StartedAt: c.now}
	c.after(regionDelay, func() { c.step(e, &control.TaskStarted{Worker: w.entry.Name, Token: out.Token, ID: out.ID}) })
	milliseconds, _ := strconv.Atoi(string(out.Payload))
	c.after(time.Duration(milliseconds)*time.Millisecond, func() { c.finish(w, out.ID, placement.Completed) })
}

func (c *cell) finish(w *fakeWorker, id placement.TaskID, outcome placement.Outcome) {
	t := w.tasks[id]
	if t == nil || w.stopped {
		return
	}
	delete(w.tasks, id)
	w.results = append(w.results, control.FinishedOnWorker{ID: id, Result: control.Result{
		Outcome: outcome, Ran: c.now.Sub(t.StartedAt), Body: make([]byte, answerBytes),
	}})
	c.report(w, c.now)
}

func (c *cell) reply(e *entry, out *control.Reply) {
	c.answered++
	if out.Refusal != nil {
		c.refused[out.Refusal.Code]++
		return
	}
	c.after(regionDelay, func() { c.step(e, &control.AnswerDelivered{RequestID: out.RequestID}) })
}

// submit sends one request to a front.
func (c *cell) submit(e *entry, team, kind string, mode workload.Mode, runs time.Duration) {
	c.nextRequest++
	request := workload.Request{
		Key: c.newKey(), Team: team, Kind: kind, Mode: mode, Class: kind,
		Resources: workload.Resources{MilliCPU: 1000, MemoryMB: 1024}, RunTimeMS: runs.Milliseconds(),
		Payload: fmt.Appendf(nil, "%0*d", payloadBytes, runs.Milliseconds()),
	}
	c.submitted[request.Key] = submission{kind, c.now}
	c.step(e, &control.Submit{RequestID: c.nextRequest, Request: request})
}

// newKey returns a version 7 UUID of the virtual time.
func (c *cell) newKey() workload.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(c.now.UnixMilli())<<16|uint64(c.random.Uint32()&0xfff)|0x7000)
	binary.BigEndian.PutUint64(id[8:], c.random.Uint64()&(1<<62-1)|1<<63)
	return workload.Key(id.String())
}

// stopWorker ends a VM; its owner loses the session and the VM list drops it.
func (c *cell) stopWorker(w *fakeWorker) {
	w.stopped = true
	holder, token := w.holder, w.token
	if holder != nil {
		c.after(lostAfter, func() {
			c.step(holder, &control.SessionLost{Worker: w.entry.Name, Token: token, Reason: "no answer"})
		})
	}
}

func (c *cell) renewVMList() {
	for _, e := range c.entries {
		c.step(e, c.vmList())
	}
}

// unowned counts live workers without a live session of a live node.
func (c *cell) unowned() int {
	count := 0
	for _, w := range c.workers {
		if !w.stopped && (w.holder == nil || w.holder.stopped) {
			count++
		}
	}
	return count
}
