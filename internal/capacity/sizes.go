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
	// payloadBytes and answerBytes are the sizes of the payload of a request and of its
	// answer.
	payloadBytes = 200
	answerBytes  = 200
	// urgentInterval is the number of short requests from one urgent request to the
	// next.
	urgentInterval = 10
	// shortRunTime is the run time of requests that run and end during the measurement.
	// longRunTime is that of tasks that keep running; it exceeds every measurement.
	shortRunTime = 800 * time.Millisecond
	longRunTime  = 10 * time.Hour
	// sessionSettleTime covers the 5 s that a worker list must be stable and the 2.2 s
	// until a new session counts.
	sessionSettleTime = 9 * time.Second
	// fillTasksPerSecond is the rate at which the running tasks are submitted.
	fillTasksPerSecond = 400
	// waitingTeam has a quota of one running task, so its other requests stay open.
	waitingTeam = "waiting"
)

// The kinds of requests that the cell submits.
const (
	kindUrgent  = "urgent"
	kindBatch   = "batch"
	kindService = "service"
)

// Size is the size of a cell and of its load.
type Size struct {
	Workers int
	// RunningTasks is the number of tasks that run during the whole measurement; a
	// fifth of them are services.
	RunningTasks int
	// StartsPerSecond is the rate of requests that arrive, run for shortRunTime and end.
	StartsPerSecond int
	Teams           int
	Members         int
	// OpenRequests is the number of requests that stay in the queue with an open
	// connection.
	OpenRequests int
}

// axes names the dimensions that are varied one at a time, in the order of the
// page.
var axes = []string{"workers", "running tasks", "starts a second", "teams", "members", "open requests"}

// axisValue returns a pointer to the field that an axis varies.
func (s *Size) axisValue(axis string) *int {
	return map[string]*int{
		"workers": &s.Workers, "running tasks": &s.RunningTasks, "starts a second": &s.StartsPerSecond,
		"teams": &s.Teams, "members": &s.Members, "open requests": &s.OpenRequests,
	}[axis]
}

// Sample holds the figures measured at one size. Unless stated otherwise, they are
// those of one node: CPU figures are shares of a core, and traffic is sent payload
// bytes and messages a second.
type Sample struct {
	Size Size
	// ControlCPU and WorkCPU are means over the nodes; BusiestControlCPU is the largest
	// ControlCPU of a node.
	ControlCPU, BusiestControlCPU, WorkCPU float64
	ControlMessages, ControlBytes          float64
	BusiestControlBytes                    float64
	BusiestControlMessages                 float64
	WorkMessages, WorkBytes                float64
	// LinkMessages and LinkBytes are the control traffic of all nodes over the region
	// link in the busier direction.
	LinkMessages, LinkBytes float64
	// WorkLinkBytes is the same for work.
	WorkLinkBytes float64
	HeapBytes     float64
	// UrgentWaitMS is the p99 wait of urgent requests in milliseconds of virtual time.
	// It includes the delays of messages and ticks, but no CPU time.
	UrgentWaitMS float64
	// Answered counts the replies of all nodes, including the Refused ones.
	Answered int
	Refused  map[workload.Code]int
	meter    *meter
}

// rulesFor returns a policy with a section and a quota for every team.
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

// loadGenerator submits requests of all teams to all fronts in turn.
type loadGenerator struct {
	cell  *cell
	teams int
	next  int
}

func (l *loadGenerator) submit(kind string, mode workload.Mode, runTime time.Duration) {
	n := l.cell.nodes[l.next%len(l.cell.nodes)]
	if !n.stopped {
		l.cell.submit(n, teamName(l.next/len(l.cell.nodes)%l.teams), kind, mode, runTime)
	}
	l.next++
}

// createHomes submits a request of every team in every region, so that every range
// gets a home.
func (l *loadGenerator) createHomes() {
	for i := range l.teams {
		for region := range min(2, len(l.cell.nodes)) {
			l.cell.submit(l.cell.nodes[region], teamName(i), kindBatch, workload.ModeRequest, time.Millisecond)
		}
	}
}

// startRunningTasks submits the tasks that run during the whole measurement and
// advances the cell until they run.
func (l *loadGenerator) startRunningTasks(running int) {
	for i := range running {
		delay := time.Duration(i) * time.Second / fillTasksPerSecond
		l.cell.schedule(delay, func() {
			if i%5 == 0 {
				l.submit(kindService, workload.ModeService, longRunTime)
			} else {
				l.submit(kindBatch, workload.ModeRequest, longRunTime)
			}
		})
	}
	l.cell.advance(time.Duration(running)*time.Second/fillTasksPerSecond + 2*time.Second)
}

// submitAtRate submits short requests, rate of them a second, while the cell runs.
func (l *loadGenerator) submitAtRate(rate int) {
	if rate == 0 {
		return
	}
	kind := kindBatch
	if l.next%urgentInterval == 0 {
		kind = kindUrgent
	}
	l.submit(kind, workload.ModeRequest, shortRunTime)
	l.cell.schedule(time.Second/time.Duration(rate), func() { l.submitAtRate(rate) })
}

// buildCell returns a cell in which the load of a size has run for the warm-up.
func buildCell(size Size, warmUp time.Duration, seed uint64) (*cell, *loadGenerator, error) {
	c, err := newCell(size.Members, size.Workers, size.Teams, seed)
	if err != nil {
		return nil, nil, err
	}
	l := &loadGenerator{cell: c, teams: size.Teams}
	c.advance(sessionSettleTime)
	l.createHomes()
	c.advance(2 * time.Second)
	l.startRunningTasks(size.RunningTasks)
	for i := range size.OpenRequests {
		c.submit(c.nodes[i%len(c.nodes)], waitingTeam, kindBatch, workload.ModeRequest, longRunTime)
		if i%100 == 99 {
			c.advance(20 * time.Millisecond)
		}
	}
	l.submitAtRate(size.StartsPerSecond)
	c.advance(warmUp)
	return c, l, nil
}

// measureSize measures a cell of one size for a number of seconds after a warm-up.
// The warm-up must exceed the retention of results (30 s), so that the heap holds
// as many results as in steady state.
func measureSize(size Size, warmUp time.Duration, seconds int, seed uint64) (*Sample, error) {
	heapBefore := liveHeapBytes()
	c, _, err := buildCell(size, warmUp, seed)
	if err != nil {
		return nil, err
	}
	clear(c.waitsMS)
	clear(c.refused)
	c.answered = 0
	s := &Sample{Size: size, meter: c.measure(seconds)}
	s.collect(c)
	// The fakes are not part of a node.
	c.events, c.workers, c.workersByName, c.unstarted, c.waitsMS = nil, nil, nil, nil, nil
	s.HeapBytes = (float64(liveHeapBytes()) - float64(heapBefore)) / float64(size.Members)
	runtime.KeepAlive(c)
	return s, nil
}

func (s *Sample) collect(c *cell) {
	members := float64(len(c.nodes))
	for i := range c.nodes {
		share := s.meter.cpuShare(i, isControl)
		s.ControlCPU += share / members
		s.BusiestControlCPU = max(s.BusiestControlCPU, share)
		s.WorkCPU += s.meter.cpuShare(i, isWork) / members
		messages, bytes, _, _ := s.meter.sendRates(i, isControl)
		s.BusiestControlBytes = max(s.BusiestControlBytes, bytes)
		s.BusiestControlMessages = max(s.BusiestControlMessages, messages)
	}
	messages, bytes, linkMessages, linkBytes := s.meter.sendRates(-1, isControl)
	s.ControlMessages, s.ControlBytes = messages/members, bytes/members
	s.LinkMessages, s.LinkBytes = max(linkMessages[0], linkMessages[1]), max(linkBytes[0], linkBytes[1])
	messages, bytes, _, linkBytes = s.meter.sendRates(-1, isWork)
	s.WorkMessages, s.WorkBytes = messages/members, bytes/members
	s.WorkLinkBytes = max(linkBytes[0], linkBytes[1])
	s.UrgentWaitMS = quantile(c.waitsMS[kindUrgent], 0.99)
	s.Answered = c.answered
	s.Refused = map[workload.Code]int{}
	for code, count := range c.refused {
		s.Refused[code] = count
	}
}

// liveHeapBytes collects garbage and returns the bytes of the remaining objects.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
