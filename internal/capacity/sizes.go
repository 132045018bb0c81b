package capacity

import (
	"fmt"
	"runtime"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	// payloadBytes and answerBytes are the sizes of a request's payload and of
	// its answer.
	payloadBytes = 200
	answerBytes  = 200
	// urgentOneIn is the share of urgent requests among the starts, one in so many.
	urgentOneIn = 10
	// shortRun is the run time of a started request and longRun that of a
	// running task, which outlives every measurement.
	shortRun = 800 * time.Millisecond
	longRun  = 10 * time.Hour
	// settleTime covers the 5 s for which a worker list has to be stable and
	// the 2.2 s after which a new session counts.
	settleTime = 9 * time.Second
	// fillRate is the rate at which running tasks are submitted, in tasks a second.
	fillRate = 400
	// waitingTeam may run one task, so that its other requests stay open.
	waitingTeam = "waiting"
)

// The kinds of requests of the measurements.
const (
	kindUrgent  = "urgent"
	kindBatch   = "batch"
	kindService = "service"
)

// Size is the size of a cell.
type Size struct {
	Workers int
	// Running tasks stay for the whole measurement; a fifth are services.
	Running int
	// Starts is the number of requests a second that arrive, run and end.
	Starts  int
	Teams   int
	Members int
	// Open is the number of requests that wait with open connections.
	Open int
}

// Axes are what is varied, one at a time, in the order of the page.
var axes = []string{"workers", "running tasks", "starts a second", "teams", "members", "open requests"}

func (s *Size) axis(name string) *int {
	return map[string]*int{
		"workers": &s.Workers, "running tasks": &s.Running, "starts a second": &s.Starts,
		"teams": &s.Teams, "members": &s.Members, "open requests": &s.Open,
	}[name]
}

// Sample is what was measured at one size. Processor figures are shares of a
// core, traffic is sent payload a second, and both are of one node.
type Sample struct {
	Size Size
	// Control and Work are means over the nodes; BusiestControl is the node
	// with the largest value.
	Control, BusiestControl, Work float64
	ControlMessages, ControlBytes float64
	BusiestControlBytes           float64
	BusiestControlMessages        float64
	WorkMessages, WorkBytes       float64
	// LinkMessages and LinkBytes are those of control over the region link in
	// the busier direction, of all nodes together.
	LinkMessages, LinkBytes float64
	WorkLinkBytes           float64
	HeapBytes               float64
	// UrgentWait is the p99 wait of urgent requests in milliseconds of virtual
	// time, which is the time of messages and ticks without processor time.
	UrgentWait float64
	Answered   int
	Refused    map[workload.Code]int
	meter      *meter
}

// rulesFor returns a configuration with a section and a quota for every team.
func rulesFor(teams int) control.Rules {
	rules := control.Rules{Kinds: map[string]control.KindRule{}, Teams: map[string]control.TeamRule{}}
	for urgency, name := range []string{kindService, kindBatch, kindUrgent} {
		rules.Kinds[name] = control.KindRule{
			KindPolicy: placement.KindPolicy{Name: name, Urgency: urgency, Weight: 1, Ceiling: 1, QueueBound: 100_000},
			Retries:    control.DefaultRetries, RetryBudget: control.DefaultRetryBudget,
		}
	}
	for i := range teams {
		rules.Teams[teamName(i)] = control.TeamRule{
			TeamPolicy: placement.TeamPolicy{Name: teamName(i), Weight: 1},
			Quota:      workload.Resources{MilliCPU: 20_000_000, MemoryMB: 80_000_000, Accelerators: 800}, RunningTasks: 5000,
		}
	}
	rules.Teams[waitingTeam] = control.TeamRule{TeamPolicy: placement.TeamPolicy{Name: waitingTeam, Weight: 1}, RunningTasks: 1}
	return rules
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// load sends requests of every team from every front.
type load struct {
	cell  *cell
	teams int
	next  int
}

func (l *load) submit(kind string, mode workload.Mode, runs time.Duration) {
	e := l.cell.entries[l.next%len(l.cell.entries)]
	if !e.stopped {
		l.cell.submit(e, teamName(l.next/len(l.cell.entries)%l.teams), kind, mode, runs)
	}
	l.next++
}

// touch sends one request of every team to every region, which makes the homes
// of all ranges.
func (l *load) touch() {
	for i := range l.teams {
		for region := range min(2, len(l.cell.entries)) {
			l.cell.submit(l.cell.entries[region], teamName(i), kindBatch, workload.ModeRequest, time.Millisecond)
		}
	}
}

func (l *load) fill(running int) {
	for i := range running {
		delay := time.Duration(i) * time.Second / fillRate
		l.cell.after(delay, func() {
			if i%5 == 0 {
				l.submit(kindService, workload.ModeService, longRun)
			} else {
				l.submit(kindBatch, workload.ModeRequest, longRun)
			}
		})
	}
	l.cell.run(time.Duration(running)*time.Second/fillRate + 2*time.Second)
}

// keepStarting submits short requests at a steady rate until the cell ends.
func (l *load) keepStarting(rate int) {
	if rate == 0 {
		return
	}
	kind := kindBatch
	if l.next%urgentOneIn == 0 {
		kind = kindUrgent
	}
	l.submit(kind, workload.ModeRequest, shortRun)
	l.cell.after(time.Second/time.Duration(rate), func() { l.keepStarting(rate) })
}

// build returns a cell that has reached a size.
func build(size Size, steady time.Duration, seed uint64) (*cell, *load, error) {
	c, err := newCell(size.Members, size.Workers, size.Teams, seed)
	if err != nil {
		return nil, nil, err
	}
	l := &load{cell: c, teams: size.Teams}
	c.run(settleTime)
	l.touch()
	c.run(2 * time.Second)
	l.fill(size.Running)
	for i := range size.Open {
		c.submit(c.entries[i%len(c.entries)], waitingTeam, kindBatch, workload.ModeRequest, longRun)
		if i%100 == 99 {
			c.run(20 * time.Millisecond)
		}
	}
	l.keepStarting(size.Starts)
	c.run(steady)
	return c, l, nil
}

// sampleAt measures one size. The steady time has to exceed the retention of
// results (30 s) for the heap to hold all of them.
func sampleAt(size Size, steady time.Duration, seconds int, seed uint64) (*Sample, error) {
	before := heapInUse()
	c, _, err := build(size, steady, seed)
	if err != nil {
		return nil, err
	}
	clear(c.waits)
	clear(c.refused)
	c.answered = 0
	s := &Sample{Size: size, meter: c.measure(seconds)}
	s.take(c)
	// The fakes are not part of a node.
	c.agenda, c.workers, c.byWorker, c.submitted, c.waits = nil, nil, nil, nil, nil
	s.HeapBytes = (float64(heapInUse()) - float64(before)) / float64(size.Members)
	runtime.KeepAlive(c)
	return s, nil
}

func (s *Sample) take(c *cell) {
	members := float64(len(c.entries))
	for i := range c.entries {
		share := s.meter.processorShare(i, isControl)
		s.Control += share / members
		s.BusiestControl = max(s.BusiestControl, share)
		s.Work += s.meter.processorShare(i, isWork) / members
		messages, bytes, _, _ := s.meter.perSecond(i, isControl)
		s.BusiestControlBytes = max(s.BusiestControlBytes, bytes)
		s.BusiestControlMessages = max(s.BusiestControlMessages, messages)
	}
	messages, bytes, linkMessages, linkBytes := s.meter.perSecond(-1, isControl)
	s.ControlMessages, s.ControlBytes = messages/members, bytes/members
	s.LinkMessages, s.LinkBytes = max(linkMessages[0], linkMessages[1]), max(linkBytes[0], linkBytes[1])
	messages, bytes, _, linkBytes = s.meter.perSecond(-1, isWork)
	s.WorkMessages, s.WorkBytes = messages/members, bytes/members
	s.WorkLinkBytes = max(linkBytes[0], linkBytes[1])
	s.UrgentWait = quantile(c.waits[kindUrgent], 0.99)
	s.Answered = c.answered
	s.Refused = map[workload.Code]int{}
	for code, count := range c.refused {
		s.Refused[code] = count
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
