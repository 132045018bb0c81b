// Package benchmark drives a decision engine with virtual time and small fake
// workers, and compares what it measures with the targets of the design page
// and with the naive engine on the same inputs and seeds.
//
// The package is not pure: it measures processor time. What the engines decide
// depends only on the seed.
//
// # Usage
//
// `make bench` prints the whole table and writes it into docs/decisions.md.
// The tests run the short form of every scenario with a small fleet and check
// the bounds that are counts or ratios:
//
//	table := benchmark.Run(benchmark.Size{Plain: 35, Accelerators: 13, Seconds: 20}, 1)
//	fmt.Println(table.Markdown())
//
// The fake workers take tasks, run them for their true run time, report late,
// and fail. They check every start against what they hold, so that a fault of
// an engine's ledger shows.
package benchmark

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/estimate"
	"yuccalanding.example/yuccalanding/internal/naive"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/quarantine"
)

// Engine is the part of placement.Engine that the benchmarks drive.
type Engine interface {
	SetPolicy(placement.Policy)
	AddWorker(time.Time, placement.Worker, []placement.Running)
	RemoveWorker(time.Time, string) []placement.Task
	SetLeaving(string, bool)
	ExclusionChanged(string)
	Enqueue(time.Time, placement.Task) *placement.Rejection
	Cancel(placement.TaskID) bool
	Schedule(time.Time, int) []placement.Decision
	TaskEnded(time.Time, placement.TaskID, placement.Outcome)
}

// testedEngine is an engine with what it is used with.
type testedEngine struct {
	name      string
	engine    Engine
	estimator *estimate.Estimator
	tracker   *quarantine.Tracker
}

// newPlacement returns the engine with estimates and quarantine.
func newPlacement() *testedEngine {
	s := &testedEngine{name: "placement", estimator: estimate.New(estimate.Options{})}
	s.tracker = quarantine.New(quarantine.Options{ExclusionChanged: func(worker string) { s.engine.ExclusionChanged(worker) }})
	s.engine = placement.New(placement.Options{Estimate: s.estimator.RunTime, Excluded: s.tracker.Excluded, Started: s.tracker.Started})
	return s
}

// newNaive returns the naive engine, which has neither.
func newNaive() *testedEngine {
	return &testedEngine{name: "naive", engine: naive.New(placement.Options{})}
}
