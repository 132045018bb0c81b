package shard_test

import (
	"testing"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// BenchmarkBacklog runs a shard with more work than capacity. The cost of a placement
// pass must not grow with the number of waiting steps.
func BenchmarkBacklog(b *testing.B) {
	neverLate := urgentTerms
	neverLate.Stretch = 1000 // so that no job is refused for lack of capacity
	for b.Loop() {
		sim := newSimulation(b, 1, 90, workerSize)
		sim.requireTickets = true
		sim.advance(time.Second)
		for i := range 300 {
			sim.submit(id(i), neverLate, job.Spec{Steps: []job.Step{tasks(20, 4000, 3*time.Second)}}, 3*time.Second)
			sim.advance(30 * time.Millisecond)
		}
	}
}

// BenchmarkLargeFleet runs the load of one shard of a large fleet: 90 workers and about
// 300 starts per second.
func BenchmarkLargeFleet(b *testing.B) {
	for b.Loop() {
		sim := newSimulation(b, 1, 90, workerSize)
		sim.requireTickets = true
		sim.advance(time.Second)
		for i := range 400 {
			sim.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(10, 2700, 700*time.Millisecond), {
				Count: 5, Demand: job.Demand{MilliCPU: 2700, MemoryMB: 100}, Estimate: 700 * time.Millisecond, After: []int{0}}}},
				700*time.Millisecond, 700*time.Millisecond)
			sim.advance(50 * time.Millisecond)
		}
		sim.requireAllEnded(time.Minute)
	}
}
