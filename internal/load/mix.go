package load

import (
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// MaxArrivals is the largest number of requests in one run. All of them are held
// in memory.
const MaxArrivals = 1_000_000

// Process is the arrival process: the distribution of the interarrival times.
type Process string

// Arrival processes.
const (
	// Poisson has exponentially distributed interarrival times.
	Poisson Process = "poisson"
	// Fixed has equal interarrival times.
	Fixed Process = "fixed"
)

// Mix is the content of a mix file: the load of one run and the events in it.
// Name is the file's name without its extension. All times of a mix are counted
// from the start of the run.
type Mix struct {
	Name string
	// Seed is the seed of all random choices of the run.
	Seed uint64
	// Duration is the time in which requests arrive. WarmUp is the part at its
	// start that is left out of the baseline window. Settle is the longest wait
	// for outstanding answers after Duration.
	Duration, WarmUp, Settle time.Duration
	// MaxOpen is the largest number of open requests. A request that is due while
	// so many are open is not sent, and counted as NotSent.
	MaxOpen int
	// Attempts is the largest number of times that a client sends one request.
	Attempts      int
	Arrivals      []Arrivals
	Floods        []Flood
	Cancellations []Cancellation
	Windows       []Window
	NodeStops     []NodeStop
	Cell          CellSpec
}

// NodeStop kills or drains one node of a cell in this process.
type NodeStop struct {
	Node string
	At   time.Duration
	// Drain is set to drain the node. Otherwise it is killed.
	Drain bool
	// ReplaceAfter is the time from At to the start of a replacement with the
	// same name. If the stopped node has not ended by then, the replacement
	// starts when it has. 0 means no replacement.
	ReplaceAfter time.Duration
}

// CellSpec describes the cell that a run starts in its own process.
type CellSpec struct {
	// Deployment is "small", "ravi-levy" or "guild". Nodes and Workers are the
	// sizes of a small deployment; the others have fixed sizes.
	Deployment     string
	Nodes, Workers int
}

// Arrivals is one arrival stream: requests of one kind at a given rate.
type Arrivals struct {
	Name string
	Team string
	Kind string
	// Class groups requests of similar size and run time. The scheduler learns per
	// class how far declared values differ from observed ones. If Class is empty,
	// Kind is used.
	Class string
	Mode  workload.Mode
	// Region is the region of the callers. If it is empty, requests go to the
	// entry VMs of all regions in turn.
	Region  string
	Process Process
	// Rate is in requests per second.
	Rate float64
	// From is the earliest time of arrival. Arrivals end before Until.
	From, Until time.Duration
	Resources   workload.Resources
	GangSize    int
	// RunTime is the mean of the actual run time, which is distributed uniformly
	// between 1-RunTimeSpread and 1+RunTimeSpread times RunTime. RunTimeSpread is
	// from 0 to 1. The declared run time is DeclaredFactor times RunTime; if the
	// factor is 0, no run time is declared. The actual use of CPU and memory is
	// UseFactor times the declared milli-CPU and memory.
	RunTime        time.Duration
	RunTimeSpread  float64
	DeclaredFactor float64
	UseFactor      float64
	// FailureShare is the share of the tasks that end with an error, from 0 to 1.
	FailureShare float64
	// NonIdempotent, StartWithin and HoldInOutage are those of each
	// workload.Request. If StartWithin is 0, the deadline of the kind applies.
	NonIdempotent bool
	StartWithin   time.Duration
	HoldInOutage  bool
	// PayloadBytes is the minimum size of a payload. Smaller payloads are padded.
	PayloadBytes int
}

// Flood multiplies the rate of one arrival stream by Factor between From and
// Until.
type Flood struct {
	Arrivals    string
	From, Until time.Duration
	Factor      float64
}

// Cancellation cancels a share of the open requests of one arrival stream. Share
// is from 0 to 1.
type Cancellation struct {
	Arrivals string
	At       time.Duration
	Share    float64
}

// Window is a part of the run that is measured separately. It includes From and
// excludes Until.
type Window struct {
	Name        string
	From, Until time.Duration
}

func (w Window) seconds() float64 { return (w.Until - w.From).Seconds() }

func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.Until }

// findArrivals returns the arrival stream with the given name, or nil.
func (m *Mix) findArrivals(name string) *Arrivals {
	for i := range m.Arrivals {
		if m.Arrivals[i].Name == name {
			return &m.Arrivals[i]
		}
	}
	return nil
}

// baselineEnd returns the time of the first flood or the first stop of a node,
// or the end of the run if there is none.
func (m *Mix) baselineEnd() time.Duration {
	first := m.Duration
	for _, flood := range m.Floods {
		first = min(first, flood.From)
	}
	for _, stop := range m.NodeStops {
		first = min(first, stop.At)
	}
	return first
}

// baselineWindow returns the window with which the windows of floods are compared:
// from the end of the warm-up to the first flood or stop of a node.
func (m *Mix) baselineWindow() Window { return Window{"before", m.WarmUp, m.baselineEnd()} }

// windows returns all windows: the baseline, then one for each flood, then those
// that the mix names.
func (m *Mix) windows() []Window {
	windows := []Window{m.baselineWindow()}
	for _, flood := range m.Floods {
		windows = append(windows, Window{"overload of " + flood.Arrivals, flood.From, flood.Until})
	}
	return append(windows, m.Windows...)
}

// rate returns the rate of an arrival stream at one time, in requests per second,
// and the time at which it changes next.
func (m *Mix) rate(a *Arrivals, at time.Duration) (perSecond float64, until time.Duration) {
	perSecond, until = a.Rate, a.Until
	for _, flood := range m.Floods {
		switch {
		case flood.Arrivals != a.Name || at >= flood.Until:
		case at < flood.From:
			until = min(until, flood.From)
		default:
			perSecond *= flood.Factor
			until = min(until, flood.Until)
		}
	}
	return perSecond, until
}
