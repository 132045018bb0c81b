// Package capacity measures what a node costs at several sizes of a cell and
// works out from it the cost at the two-year target of the design page.
//
// Control nodes run in one process in virtual time with small fakes of
// workers, log and VM list. Every message is encoded for its size, and the
// processor time of every step is taken. One thing is varied at a time and a
// straight line is fitted to each figure. The traffic with workers is that of
// the real client with stand-ins over loopback, and the overhead of QUIC is
// that of two real transports on loopback.
//
// Processor times are real time and the machine may be shared, so they are
// medians over seconds of virtual time. Counts and bytes repeat from the seed.
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

// Target is the two-year target of section 1.6 of the design page. It gives no
// number of open requests; the measurement keeps 4,000 waiting, which is about
// ten seconds of starts.
var Target = Size{Workers: 650, Running: 2900, Starts: 430, Teams: 61, Members: 9, Open: 4000}

// The limits for control and the other figures of the target.
const (
	limitProcessor       = 0.011
	limitMemory          = 256e6
	limitBytes           = 15e3
	limitLinkBytes       = 0.01 * 30e6 / 8
	limitAppends         = 100
	limitUrgentWait      = 1800
	jobsADay             = 7400
	configurationsADay   = 910
	limitConfiguration   = 6 * time.Second
	slowAppend           = time.Second
	secondsADay          = 24 * 60 * 60
	garbageFactor        = 2
	workerHeapOwnerShare = 0.5
)

// Plan says what is measured.
type Plan struct {
	Seed uint64
	Base Size
	// Axes holds the sizes of each axis.
	Axes   map[string][]int
	Target Size
	// Steady is how long load runs before a measurement of Seconds.
	Steady       time.Duration
	Seconds      int
	WatchWorkers []int
	WatchRounds  int
	WatchWait    time.Duration
	StartTasks   []int
	FrameRates   []int
	FrameTime    time.Duration
	// Settle covers a new connection's search for the largest packet size. With
	// 0.7 s a mesh of nine sent 8.8 KB/s above payload, with 3 s or 8 s 4.9 KB/s.
	Settle         time.Duration
	MeshMembers    []int
	Jobs           []int
	Configurations []int
	Changes        int
	FailureWorkers []int
}

// FullPlan returns the plan of make capacity. The measured seconds include the
// 10 s of questions that homes ask after running tasks every 30 s.
func FullPlan() Plan {
	return Plan{
		Seed: 1, Base: Size{Workers: 162, Running: 240, Starts: 54, Teams: 15, Members: 9},
		Axes: map[string][]int{
			"workers": {48, 162, 325, 650}, "running tasks": {240, 480, 960}, "starts a second": {54, 108, 215, 430},
			"teams": {1, 15, 61}, "members": {3, 6, 9}, "open requests": {0, 1000, 2000, 4000},
		},
		Target: Target, Steady: 32 * time.Second, Seconds: 20,
		WatchWorkers: []int{8, 16, 32}, WatchRounds: 3, WatchWait: watchWait, StartTasks: []int{20, 40, 80},
		FrameRates: []int{6, 12, 25, 50}, FrameTime: 3 * time.Second, Settle: 2 * time.Second, MeshMembers: []int{3, 6, 9},
		Jobs: []int{50, 100, 200}, Configurations: []int{1, 15, 61}, Changes: 910, FailureWorkers: []int{162, 325, 650},
	}
}

// ShortPlan returns a plan of a few seconds for tests of the tables' form.
func ShortPlan() Plan {
	return Plan{
		Seed: 1, Base: Size{Workers: 12, Running: 10, Starts: 10, Teams: 2, Members: 9},
		Axes: map[string][]int{
			"workers": {12, 24, 36}, "running tasks": {10, 20, 30}, "starts a second": {10, 20, 30},
			"teams": {1, 2, 3}, "members": {3, 6, 9}, "open requests": {0, 10, 20},
		},
		Target: Size{Workers: 48, Running: 40, Starts: 40, Teams: 4, Members: 9, Open: 40}, Steady: time.Second, Seconds: 2,
		WatchWorkers: []int{1, 2, 3}, WatchRounds: 1, WatchWait: 10 * time.Millisecond, StartTasks: []int{1, 2, 3},
		FrameRates: []int{10, 20, 40}, FrameTime: 200 * time.Millisecond, Settle: 50 * time.Millisecond, MeshMembers: []int{2, 3, 4},
		Jobs: []int{5, 10, 20}, Configurations: []int{1, 2, 3}, Changes: 10, FailureWorkers: []int{12, 18, 24},
	}
}

// Measurement is the result of a plan.
type Measurement struct {
	plan           Plan
	axes           map[string][]*Sample
	target         *Sample
	watches        []workerSample
	starts         []startSample
	quic           []quicSample
	mesh           []meshSample
	jobs           []jobSample
	configurations []configurationSample
	failures       map[string][]failureSample
}

// Measure carries out a plan. It leaves nothing running.
func Measure(ctx context.Context, plan Plan) (*Measurement, error) {
	m := &Measurement{plan: plan, axes: map[string][]*Sample{}, failures: map[string][]failureSample{}}
	for _, part := range []func(context.Context) error{
		m.measureWire, m.measureSizes, m.measureRecords, m.measureFailures,
	} {
		if err := part(ctx); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Measurement) measureSizes(ctx context.Context) error {
	for _, axis := range axes {
		for _, value := range m.plan.Axes[axis] {
			if err := ctx.Err(); err != nil {
				return err
			}
			size := m.plan.Base
			*size.axis(axis) = value
			sample, err := sampleAt(size, m.plan.Steady, m.plan.Seconds, m.plan.Seed)
			if err != nil {
				return err
			}
			m.axes[axis] = append(m.axes[axis], sample)
		}
	}
	var err error
	m.target, err = sampleAt(m.plan.Target, m.plan.Steady, m.plan.Seconds, m.plan.Seed)
	return err
}

func (m *Measurement) measureWire(ctx context.Context) error {
	for _, workers := range m.plan.WatchWorkers {
		sample, err := measureIdleWatches(ctx, workers, m.plan.WatchRounds, m.plan.WatchWait)
		if err != nil {
			return err
		}
		m.watches = append(m.watches, sample)
	}
	for _, tasks := range m.plan.StartTasks {
		sample, err := measureStarts(ctx, tasks)
		if err != nil {
			return err
		}
		m.starts = append(m.starts, sample)
	}
	for _, rate := range m.plan.FrameRates {
		sample, err := measureQUIC(ctx, rate, m.plan.Settle, m.plan.FrameTime)
		if err != nil {
			return err
		}
		m.quic = append(m.quic, sample)
	}
	for _, members := range m.plan.MeshMembers {
		sample, err := measureMesh(ctx, members, m.plan.Settle, m.plan.FrameTime)
		if err != nil {
			return err
		}
		m.mesh = append(m.mesh, sample)
	}
	return nil
}

func (m *Measurement) measureRecords(context.Context) error {
	for _, jobs := range m.plan.Jobs {
		sample, err := measureJobs(jobs, m.plan.Seed)
		if err != nil {
			return err
		}
		m.jobs = append(m.jobs, sample)
	}
	for _, teams := range m.plan.Configurations {
		sample, err := measureConfiguration(teams, m.plan.Changes, m.plan.Seed)
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
			size.Workers, size.Running, size.Open = workers, workers*4, 0
			size.Starts = min(size.Starts, workers/2)
			sample, err := measureFailure(f, size, m.plan.Seed)
			if err != nil {
				return err
			}
			m.failures[f.name] = append(m.failures[f.name], sample)
		}
	}
	return nil
}
