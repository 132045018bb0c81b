package load

import (
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// MaxArrivals bounds the requests of one run, which are all held in memory.
const MaxArrivals = 1_000_000

// Process says how arrivals are spread over time.
type Process string

// The arrival processes.
const (
	// Poisson arrivals have exponentially distributed distances.
	Poisson Process = "poisson"
	// Fixed arrivals have equal distances.
	Fixed Process = "fixed"
)

// Mix is one load.
type Mix struct {
	Name string
	// Seed starts all random choices of the run.
	Seed uint64
	// Duration is the time in which requests arrive; WarmUp, at its start, is
	// left out of the measures. Settle is the longest wait for open answers
	// after it.
	Duration, WarmUp, Settle time.Duration
	// MaxOpen bounds the open requests; arrivals above it are not sent and are
	// counted.
	MaxOpen int
	// Attempts bounds the sends of one request by its caller.
	Attempts      int
	Arrivals      []Arrivals
	Floods        []Flood
	Cancellations []Cancellation
	Windows       []Window
	NodeStops     []NodeStop
	Cell          CellSpec
}

// NodeStop ends one node of a cell in this process.
type NodeStop struct {
	Node string
	At   time.Duration
	// Drain ends the node in the planned way, in place of a kill.
	Drain bool
	// ReplaceAfter is the time from the end to the start of a replacement with
	// the same name; 0 starts none.
	ReplaceAfter time.Duration
}

// CellSpec describes the cell that a run starts in its own process.
type CellSpec struct {
	// Deployment is "small", "ravi-levy" or "guild". Nodes and Workers apply to
	// "small".
	Deployment     string
	Nodes, Workers int
}

// Arrivals is one stream of requests.
type Arrivals struct {
	Name string
	Team string
	Kind string
	// Class is the class under which estimates are learned.
	Class string
	Mode  workload.Mode
	// Region is that of the callers; empty calls all entry VMs in turn.
	Region  string
	Process Process
	// Rate is in requests a second.
	Rate float64
	// From and Until bound the times of arrival.
	From, Until time.Duration
	Resources   workload.Resources
	GangSize    int
	// RunTime is the true run time; it varies evenly by RunTimeSpread, a share
	// from 0 to 1. DeclaredFactor multiplies the declared run time; 0 declares
	// none. UseFactor multiplies the declared sizes to give the true use.
	RunTime        time.Duration
	RunTimeSpread  float64
	DeclaredFactor float64
	UseFactor      float64
	// FailureShare is the share of tasks that end with an error.
	FailureShare  float64
	NonIdempotent bool
	StartWithin   time.Duration
	Hold          bool
	PayloadBytes  int
}

// Flood multiplies the rate of one stream for a time.
type Flood struct {
	Arrivals    string
	From, Until time.Duration
	Factor      float64
}

// Cancellation cancels a share of the open requests of one stream.
type Cancellation struct {
	Arrivals string
	At       time.Duration
	Share    float64
}

// Window is a part of the run with measures of its own.
type Window struct {
	Name        string
	From, Until time.Duration
}

func (w Window) seconds() float64 { return (w.Until - w.From).Seconds() }

func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.Until }

func (m *Mix) findArrivals(name string) *Arrivals {
	for i := range m.Arrivals {
		if m.Arrivals[i].Name == name {
			return &m.Arrivals[i]
		}
	}
	return nil
}

// baselineEnd is the start of the first flood or the first end of a node,
// or else the end of the run.
func (m *Mix) baselineEnd() time.Duration {
	first := m.Duration
	for _, flood := range m.Floods {
		first = min(first, flood.From)
	}
	for _, end := range m.NodeStops {
		first = min(first, end.At)
	}
	return first
}

// baselineWindow is the window that overloads are compared with.
func (m *Mix) baselineWindow() Window { return Window{"before", m.WarmUp, m.baselineEnd()} }

// windows returns all windows: the time before any flood, each flood and those
// that the mix names.
func (m *Mix) windows() []Window {
	windows := []Window{m.baselineWindow()}
	for _, flood := range m.Floods {
		windows = append(windows, Window{"overload of " + flood.Arrivals, flood.From, flood.Until})
	}
	return append(windows, m.Windows...)
}

// rate returns the rate of a stream at one time, and when it next changes.
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
