package shard_test

import (
	"testing"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// BenchmarkBacklog plays a shard with more work than room: what a pass costs
// must not grow with what waits.
func BenchmarkBacklog(b *testing.B) {
	patient := urgentTerms
	patient.Stretch = 1000 // nothing is refused for load
	for b.Loop() {
		w := newWorld(b, 1, 90, workerSize)
		w.advised = true
		w.run(time.Second)
		for i := range 300 {
			w.submit(id(i), patient, job.Spec{Steps: []job.Step{tasks(20, 4000, 3*time.Second)}}, 3*time.Second)
			w.run(30 * time.Millisecond)
		}
	}
}

// BenchmarkGrownFleet plays the load of one shard of the grown fleets: 90
// workers and about 300 starts a second.
func BenchmarkGrownFleet(b *testing.B) {
	for b.Loop() {
		w := newWorld(b, 1, 90, workerSize)
		w.advised = true
		w.run(time.Second)
		for i := range 400 {
			w.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(10, 2700, 700*time.Millisecond), {
				Count: 5, Demand: job.Demand{MilliCPU: 2700, MemoryMB: 100}, Estimate: 700 * time.Millisecond, After: []int{0}}}},
				700*time.Millisecond, 700*time.Millisecond)
			w.run(50 * time.Millisecond)
		}
		w.requireWhole(time.Minute)
	}
}
