// Package load drives a scheduler with a mix of work and measures it. The mix
// is a small INI file; the scheduler is a running system, named by its callers'
// addresses, or a cell inside the same process.
//
// Arrivals are an open loop: each request is sent at its scheduled time,
// whether earlier ones were answered or not, and every wait is counted from the
// scheduled time. Slow answers therefore can't hide waiting time.
//
// Every answer is compared with its own request, and the start records of the
// workers show whether a task ran twice or ran although it was refused.
//
// # Usage
//
//	mix, err := load.ReadFile("examples/load/mixed.ini")
//	target, err := load.CellTarget(c)
//	report, err := load.Run(ctx, load.Options{Mix: mix, Target: target})
//	report.WriteText(os.Stdout)
//	if faults := report.Checks.Faults(); len(faults) > 0 {
//		// Answers were lost, doubled or wrong.
//	}
//
// # The mix file
//
//	[run]
//	seed     = 1
//	duration = 20s
//	warm-up  = 2s
//	settle   = 10s
//
//	[arrivals balance]
//	team      = employer-services
//	kind      = balance-check
//	rate      = 40
//	process   = poisson
//	milli-cpu = 500
//	memory-mb = 256
//	run-time  = 20ms
//
//	[flood balance]
//	from   = 10s
//	until  = 15s
//	factor = 10
//
//	[cancellation balance]
//	at    = 12s
//	share = 0.5
//
// The sections [flood NAME] and [cancellation NAME] name a section
// [arrivals NAME]; a second one for the same arrivals is [flood NAME again].
// [window NAME] has from and until, and gets its own measures. [cell] says what
// cell to start in the process; [kill NODE] and [drain NODE] end one of its
// nodes at a time and replace it after replace-after, if that is set. The tables in schema.go list all keys.
package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/caller"
)

// Target is the system under load.
type Target struct {
	// Clients are the callers of each region. The entry with the empty name
	// serves arrivals without a region.
	Clients map[string]*caller.Client
	// ClientDelay is added before each send and after each answer, to imitate
	// the distance between callers and entry VMs.
	ClientDelay time.Duration
	// ReadWorkers returns what each worker saw; nil leaves doubled and falsely
	// refused work unchecked.
	ReadWorkers func(ctx context.Context) ([]worker.State, error)
	// Cost returns the resources used since some fixed time; nil is not known.
	Cost func() Cost
	// MetricsSources are the nodes whose traffic is measured.
	MetricsSources []MetricsSource
	// CPUTimeScope says what the CPU time of Cost covers.
	CPUTimeScope string
}

// Cost is what a system used up to now. Negative fields are not known.
type Cost struct {
	CPU     time.Duration
	Appends int64
}

// Options configure a run.
type Options struct {
	Mix    *Mix
	Target Target
	// Progress takes lines for a person who waits; nil drops them.
	Progress func(format string, arguments ...any)
	// Actions are called at their times, for example to end a node.
	Actions []Action
}

// Action is something that happens to the system during a run.
type Action struct {
	At   time.Duration
	Name string
	Do   func() error
}

// sampleInterval is the interval between samples of the cost.
const sampleInterval = 250 * time.Millisecond

// sample is the cost at one time of a run.
type sample struct {
	at   time.Duration
	cost Cost
	// sent and crossRegion are the bytes that nodes sent, and those between regions.
	sent, crossRegion int64
}

// run lives for one Run.
type run struct {
	options Options
	start   time.Time
	records []*requestRecord
	samples []sample
	actions []ActionResult
	group   sync.WaitGroup
	traffic *trafficMeter
}

// Run drives the target and returns what was measured. The error is that of
// the driver itself; faults of the system are in the report's Checks.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	mix := options.Mix
	for i := range mix.Arrivals {
		if options.Target.Clients[mix.Arrivals[i].Region] == nil {
			return nil, fmt.Errorf("arrivals %s: the target has no entry VM in region %q", mix.Arrivals[i].Name, mix.Arrivals[i].Region)
		}
	}
	r := &run{options: options, records: schedule(mix), traffic: newTrafficMeter(options.Target.MetricsSources)}
	ctx, cancel := context.WithTimeout(ctx, mix.Duration+mix.Settle)
	defer cancel()
	r.start = time.Now()
	r.drive(ctx)
	if err := context.Cause(ctx); err != nil && ctx.Err() == context.Canceled {
		return nil, err
	}
	r.explainUnanswered(context.WithoutCancel(ctx))
	var workers []worker.State
	if options.Target.ReadWorkers != nil {
		var err error
		if workers, err = options.Target.ReadWorkers(context.WithoutCancel(ctx)); err != nil {
			return nil, fmt.Errorf("workers' state: %w", err)
		}
	}
	return r.report(workers), nil
}
