// Package load drives a scheduler with a mix of work and measures it. The mix
// is an INI file. The scheduler is either a running system, given by the
// addresses at which it takes requests, or a cell inside the same process.
//
// The load is an open loop: each request is sent at its scheduled time, whether
// or not earlier ones were answered, and waiting times are counted from the
// scheduled time. Slow answers therefore can't hide waiting time.
//
// Every answer is compared with its own request. The workers' start records
// show whether a task ran twice or ran although its request was refused.
//
// # Usage
//
//	mix, err := load.ReadFile("examples/load/mixed.ini")
//	target, err := load.CellTarget(mix, c)
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
// Each section [arrivals NAME] describes one stream of requests. [flood NAME]
// multiplies the rate of that stream for a time, and [cancellation NAME] cancels
// a share of its open requests. A second section for the same stream has one
// more word in its name, as in [flood NAME again]. [window NAME] has from and
// until and is measured separately. [cell] describes the cell to start in the
// same process. [kill NODE] and [drain NODE] stop one of its nodes and replace it
// after replace-after, if that is set. The tables in schema.go list all keys.
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
	// Clients holds one client for each region. The client under the empty name
	// sends the requests of arrivals without a region.
	Clients map[string]*caller.Client
	// ClientDelay is added before each send and after each answer. It simulates
	// the one-way network delay between callers and entry VMs.
	ClientDelay time.Duration
	// ReadWorkers returns each worker's state with its start records. If it is
	// nil, doubled and falsely refused work is not checked.
	ReadWorkers func(ctx context.Context) ([]worker.State, error)
	// Cost returns the resources used since a fixed time. If it is nil, the cost
	// is not measured.
	Cost func() Cost
	// MetricsSources are the nodes whose traffic is measured.
	MetricsSources []MetricsSource
	// CPUTimeScope says, for a reader of the report, which processes the CPU
	// time of Cost covers.
	CPUTimeScope string
}

// Cost is what a system has used so far: CPU time, and the number of appends
// sent to the log. A negative field was not measured.
type Cost struct {
	CPU     time.Duration
	Appends int64
}

// Options configure a run.
type Options struct {
	Mix    *Mix
	Target Target
	// Progress receives progress messages for the user; nil discards them.
	Progress func(format string, arguments ...any)
	// Actions run at their times, for example to kill a node.
	Actions []Action
}

// Action is an operation on the system during a run. At is the time since the
// start of the run. An error of Do is recorded in the report and doesn't end
// the run.
type Action struct {
	At   time.Duration
	Name string
	Do   func() error
}

// sampleInterval is the interval between samples of Target.Cost and of the nodes'
// traffic.
const sampleInterval = 250 * time.Millisecond

// sample holds the values of Target.Cost and of the nodes' traffic at one time. at
// is the time since the start of the run.
type sample struct {
	at   time.Duration
	cost Cost
	// sentBytes is the number of bytes that all nodes sent so far, crossRegionBytes
	// the part of them that went to other regions. Both are -1 if no metrics were
	// read.
	sentBytes, crossRegionBytes int64
}

// run is the state of one Run call.
type run struct {
	options Options
	start   time.Time
	records []*requestRecord
	samples []sample
	actions []ActionResult
	group   sync.WaitGroup
	traffic *trafficMeter
}

// Run sends the requests of the mix to the target and returns the measurements.
// It fails if the target has no client for a region of the mix, if ctx is
// cancelled or if the workers' states can't be read. Faults of the system under
// load are not errors; they are in the report's Checks.
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
			return nil, fmt.Errorf("read the workers' states: %w", err)
		}
	}
	return r.report(workers), nil
}
