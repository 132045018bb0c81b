// Package capacity measures the CPU time, traffic and memory of a node at
// several cell sizes and extrapolates them to the two-year target of the design
// page.
//
// The control nodes run in one process in virtual time, with fakes for the
// workers, the log and the VM list. Every message is encoded to get its size,
// and every step of a node is timed. One dimension of the cell size (an axis) is
// varied at a time, and a straight line is fitted to each figure. Traffic with
// workers is measured with the real client and stand-ins of workers over
// loopback, and the overhead of QUIC with real transports on loopback.
//
// CPU times of steps are wall-clock times on a machine that may be shared, so
// each is the median over the measured seconds of virtual time. Counts and bytes
// depend on the seed only.
//
// # Usage
//
//	measured, err := capacity.Measure(ctx, capacity.FullPlan())
//	page, err = capacity.Update(page, measured.Tables())
package capacity

import (
	"context"
	"time"
)

// Target is the two-year target of section 1.6 of the design page. That section
// gives no number of open requests; the measurement keeps 4,000 waiting, which
// is about ten seconds of starts.
var Target = Size{Workers: 650, RunningTasks: 2900, StartsPerSecond: 430, Teams: 61, Members: 9, OpenRequests: 4000}

// The limits for the control traffic and CPU time of a node, and other figures
// of the target. limitCPUShare is a share of one core.
// limitLinkBytesPerSecond is one hundredth of a region link of 30 Mbit/s.
// limitAppendsPerSecond applies to all nodes together, and slowAppendTime is the
// time of one append to a slow log.
// heapGarbageFactor is the ratio of the heap to its live objects, and
// clientHeapShare the client's part of the measured heap of a client and its
// stand-in.
const (
	limitCPUShare              = 0.011
	limitMemoryBytes           = 256e6
	limitBytesPerSecond        = 15e3
	limitLinkBytesPerSecond    = 0.01 * 30e6 / 8
	limitAppendsPerSecond      = 100
	limitUrgentWaitMS          = 1800
	jobsPerDay                 = 7400
	configurationChangesPerDay = 910
	limitConfigurationDelay    = 6 * time.Second
	slowAppendTime             = time.Second
	secondsPerDay              = 24 * 60 * 60
	heapGarbageFactor          = 2
	clientHeapShare            = 0.5
)

// Plan is a list of the measurements to make and their sizes.
type Plan struct {
	Seed uint64
	Base Size
	// Axes holds the values to measure by name of the axis.
	Axes   map[string][]int
	Target Size
	// WarmUp is how long the load runs before MeasuredSeconds are measured, both in
	// virtual time.
	WarmUp          time.Duration
	MeasuredSeconds int
	// WatchWorkers holds the numbers of idle workers. Each worker gets WatchRounds
	// watches in turn, each of which waits for WatchWait.
	WatchWorkers []int
	WatchRounds  int
	WatchWait    time.Duration
	// StartTasks holds the numbers of tasks started one by one on a worker.
	StartTasks []int
	// FrameRates holds the frames per second sent in each direction of one QUIC
	// connection. FrameDuration is how long frames are sent, there and in a mesh.
	FrameRates    []int
	FrameDuration time.Duration
	// SettleTime is the wait after transports connect, so that the traffic of path
	// MTU discovery isn't counted. With 0.7 s a mesh of nine nodes sends 8.8 KB/s above
	// payload, with 3 s or 8 s 4.9 KB/s.
	SettleTime time.Duration
	// MeshMembers holds the numbers of transports of a full mesh.
	MeshMembers []int
	// JobCounts holds the numbers of durable jobs whose log records are counted.
	JobCounts []int
	// TeamCounts holds the numbers of teams with which ConfigurationChanges changes
	// are replayed.
	TeamCounts           []int
	ConfigurationChanges int
	// FailureWorkers holds the numbers of workers of the cells in which failures are
	// injected.
	FailureWorkers []int
}

// FullPlan returns the plan of "make capacity". It measures 30 s, the period at
// which homes query the owners of their running tasks.
func FullPlan() Plan {
	return Plan{
		Seed: 1, Base: Size{Workers: 162, RunningTasks: 240, StartsPerSecond: 54, Teams: 15, Members: 9},
		Axes: map[string][]int{
			"workers": {48, 162, 325, 650}, "running tasks": {240, 480, 960}, "starts a second": {54, 108, 215, 430},
			"teams": {1, 15, 61}, "members": {3, 6, 9}, "open requests": {0, 1000, 2000, 4000},
		},
		Target: Target, WarmUp: 32 * time.Second, MeasuredSeconds: 30,
		WatchWorkers: []int{8, 16, 32}, WatchRounds: 3, WatchWait: watchWait, StartTasks: []int{20, 40, 80},
		FrameRates: []int{6, 12, 25, 50}, FrameDuration: 3 * time.Second, SettleTime: 2 * time.Second, MeshMembers: []int{3, 6, 9},
		JobCounts: []int{50, 100, 200}, TeamCounts: []int{1, 15, 61}, ConfigurationChanges: 910, FailureWorkers: []int{162, 325, 650},
	}
}

// ShortPlan returns a plan of a few seconds, for tests of the table layout.
func ShortPlan() Plan {
	return Plan{
		Seed: 1, Base: Size{Workers: 12, RunningTasks: 10, StartsPerSecond: 10, Teams: 2, Members: 9},
		Axes: map[string][]int{
			"workers": {12, 24, 36}, "running tasks": {10, 20, 30}, "starts a second": {10, 20, 30},
			"teams": {1, 2, 3}, "members": {3, 6, 9}, "open requests": {0, 10, 20},
		},
		Target: Size{Workers: 48, RunningTasks: 40, StartsPerSecond: 40, Teams: 4, Members: 9, OpenRequests: 40}, WarmUp: time.Second, MeasuredSeconds: 2,
		WatchWorkers: []int{1, 2, 3}, WatchRounds: 1, WatchWait: 10 * time.Millisecond, StartTasks: []int{1, 2, 3},
		FrameRates: []int{10, 20, 40}, FrameDuration: 200 * time.Millisecond, SettleTime: 50 * time.Millisecond, MeshMembers: []int{2, 3, 4},
		JobCounts: []int{5, 10, 20}, TeamCounts: []int{1, 2, 3}, ConfigurationChanges: 10, FailureWorkers: []int{12, 18, 24},
	}
}

// Measurement holds the results of a plan.
type Measurement struct {
	plan           Plan
	axes           map[string][]*Sample
	target         *Sample
	idleWatches    []idleWatchSample
	starts         []startSample
	quic           []quicSample
	mesh           []meshSample
	jobs           []jobSample
	configurations []configurationSample
	failures       map[string][]failureSample
}

// Measure makes all measurements of a plan. It stops all goroutines and servers
// that it started before it returns. It returns an error if ctx ends, or if a
// node, transport or stand-in doesn't start or a call to a stand-in fails.
func Measure(ctx context.Context, plan Plan) (*Measurement, error) {
	m := &Measurement{plan: plan, axes: map[string][]*Sample{}, failures: map[string][]failureSample{}}
	for _, measure := range []func(context.Context) error{
		m.measureTransport, m.measureAxes, m.measureRecords, m.measureFailures,
	} {
		if err := measure(ctx); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Measurement) measureAxes(ctx context.Context) error {
	for _, axis := range axes {
		for _, value := range m.plan.Axes[axis] {
			if err := ctx.Err(); err != nil {
				return err
			}
			size := m.plan.Base
			*size.axisValue(axis) = value
			sample, err := measureSize(size, m.plan.WarmUp, m.plan.MeasuredSeconds, m.plan.Seed)
			if err != nil {
				return err
			}
			m.axes[axis] = append(m.axes[axis], sample)
		}
	}
	var err error
	m.target, err = measureSize(m.plan.Target, m.plan.WarmUp, m.plan.MeasuredSeconds, m.plan.Seed)
	return err
}

func (m *Measurement) measureTransport(ctx context.Context) error {
	for _, workers := range m.plan.WatchWorkers {
		sample, err := measureIdleWatches(ctx, workers, m.plan.WatchRounds, m.plan.WatchWait)
		if err != nil {
			return err
		}
		m.idleWatches = append(m.idleWatches, sample)
	}
	for _, tasks := range m.plan.StartTasks {
		sample, err := measureStarts(ctx, tasks)
		if err != nil {
			return err
		}
		m.starts = append(m.starts, sample)
	}
	for _, rate := range m.plan.FrameRates {
		sample, err := measureQUIC(ctx, rate, m.plan.SettleTime, m.plan.FrameDuration)
		if err != nil {
			return err
		}
		m.quic = append(m.quic, sample)
	}
	for _, members := range m.plan.MeshMembers {
		sample, err := measureMesh(ctx, members, m.plan.SettleTime, m.plan.FrameDuration)
		if err != nil {
			return err
		}
		m.mesh = append(m.mesh, sample)
	}
	return nil
}

func (m *Measurement) measureRecords(context.Context) error {
	for _, jobs := range m.plan.JobCounts {
		sample, err := measureJobs(jobs, m.plan.Seed)
		if err != nil {
			return err
		}
		m.jobs = append(m.jobs, sample)
	}
	for _, teams := range m.plan.TeamCounts {
		sample, err := measureConfiguration(teams, m.plan.ConfigurationChanges, m.plan.Seed)
		if err != nil {
			return err
		}
		m.configurations = append(m.configurations, sample)
	}
	return nil
}

func (m *Measurement) measureFailures(ctx context.Context) error {
	for _, f := range failures {
		for _, workers := range m.plan.FailureWorkers {
			if err := ctx.Err(); err != nil {
				return err
			}
			size := m.plan.Target
			size.Workers, size.RunningTasks, size.OpenRequests = workers, workers*4, 0
			size.StartsPerSecond = min(size.StartsPerSecond, workers/2)
			sample, err := measureFailure(f, size, m.plan.Seed)
			if err != nil {
				return err
			}
			m.failures[f.name] = append(m.failures[f.name], sample)
		}
	}
	return nil
}
