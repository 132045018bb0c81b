// Package benchmark simulates a fleet of workers in virtual time, runs the
// placement engine on it, and compares the measurements with the targets of the
// design page and with the naive engine on the same inputs and seeds.
//
// The decisions of the engines depend only on the seed. The measured processor
// times also depend on the machine.
//
// # Usage
//
// `make bench` prints the whole table and writes it into docs/decisions.md.
// The tests run RunShort and check every row against its bound. A table for any
// size and seed comes from Run:
//
//	table := benchmark.Run(benchmark.Size{Plain: 35, Accelerators: 13, Seconds: 20}, 1)
//	fmt.Println(table.Markdown())
//
// Simulated workers run each task for its true run time, report its end with a
// delay, and may fail tasks. They check every start against their own allocations,
// so that an accounting error of an engine is detected.
package benchmark

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/estimate"
	"yuccalanding.example/yuccalanding/internal/naive"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/quarantine"
)

// Engine is the set of methods of placement.Engine that the benchmarks use.
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

// testedEngine is an engine with the estimator and the quarantine tracker that it
// uses; both are nil if it uses none.
type testedEngine struct {
	name      string
	engine    Engine
	estimator *estimate.Estimator
	tracker   *quarantine.Tracker
}

// newPlacementEngine returns the placement engine with estimator and quarantine.
func newPlacementEngine() *testedEngine {
	tested := &testedEngine{name: "placement", estimator: estimate.New(estimate.Options{})}
	tested.tracker = quarantine.New(quarantine.Options{ExclusionChanged: func(worker string) { tested.engine.ExclusionChanged(worker) }})
	tested.engine = placement.New(placement.Options{Estimate: tested.estimator.RunTime, Excluded: tested.tracker.Excluded, Started: tested.tracker.Started})
	return tested
}

// newNaiveEngine returns the naive engine, which has no estimator and no quarantine.
func newNaiveEngine() *testedEngine {
	return &testedEngine{name: "naive", engine: naive.New(placement.Options{})}
}
