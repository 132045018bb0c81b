package shard_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// defaultSeedCount is the number of seeds with which faults are simulated, as in CI. The
// environment variable SHARD_SEEDS overrides it.
const defaultSeedCount = 60

func seedCount(t *testing.T) int {
	text := os.Getenv("SHARD_SEEDS")
	if text == "" {
		return defaultSeedCount
	}
	count, err := strconv.Atoi(text)
	require.NoError(t, err)
	return count
}

// submitRandomJob submits a job of a random kind.
func (sim *simulation) submitRandomJob(number int) {
	id := fmt.Sprintf("%016x", number+1)
	terms := job.Terms{Queue: "q", Priority: sim.random.IntN(3), MaxAttempts: 3, Stretch: 3, Target: 2 * time.Second}
	small := job.Step{Count: 1 + sim.random.IntN(6), Demand: job.Demand{MilliCPU: 1000, MemoryMB: 500}, Estimate: 700 * time.Millisecond}
	large := job.Step{Count: 1 + sim.random.IntN(4), Demand: job.Demand{MilliCPU: 4000, MemoryMB: 2000}, Estimate: 3 * time.Second, After: []int{0}}
	gang := job.Step{Count: 2, Demand: job.Demand{MilliCPU: 7000, MemoryMB: 3000}, Estimate: 2 * time.Second, Gang: true, SavesProgress: true}
	longRunning := job.Step{Count: 2, Demand: job.Demand{MilliCPU: 500, MemoryMB: 500}, Estimate: 500 * time.Millisecond, LongRunning: true}
	switch sim.random.IntN(8) {
	case 0, 1, 2:
		sim.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{small}}, 700*time.Millisecond)
	case 3, 4:
		sim.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{small, large}}, 600*time.Millisecond, 3*time.Second)
	case 5:
		sim.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{gang}}, 2*time.Second)
	case 6:
		sim.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{longRunning}}, time.Hour)
	case 7:
		sim.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{small}}, 700*time.Millisecond).alwaysFails = true
	}
}

// startRandomFault starts a random fault and returns a function that ends it.
func (sim *simulation) startRandomFault() func() {
	worker := sim.workers[sim.random.IntN(len(sim.workers))]
	switch sim.random.IntN(11) {
	case 0: // the leader crashes, and is replaced when the fault ends
		sim.leader.dead = true
		return func() { sim.replaceLeader() }
	case 1: // the leader freezes, is replaced, and continues when the fault ends
		former := sim.leader
		former.frozen = true
		sim.schedule(1500*time.Millisecond, nil, func(time.Time) { sim.replaceLeader() })
		return func() { former.frozen = false }
	case 2: // the leader can't reach the store, but still reaches the workers
		former := sim.leader
		former.storeUnreachable = true
		sim.schedule(1500*time.Millisecond, nil, func(time.Time) { sim.replaceLeader() })
		return func() { former.storeUnreachable = false }
	case 3: // the store fails
		sim.storeDown = true
		return func() { sim.storeDown = false }
	case 4: // a worker crashes, and leaves the list 4.5 s later
		if worker.down {
			return func() {}
		}
		worker.crash()
		sim.schedule(4500*time.Millisecond, nil, func(time.Time) { worker.listed = !worker.down })
		return func() {
			worker.restart()
			worker.listed = true
		}
	case 5: // a worker can't be reached, and leaves the list 4.5 s later
		worker.unreachable = true
		sim.schedule(4500*time.Millisecond, nil, func(time.Time) { worker.listed = !worker.unreachable })
		return func() { worker.unreachable, worker.listed = false, true }
	case 6: // some answers of workers are lost
		sim.lostAnswerShare = 0.2
		return func() { sim.lostAnswerShare = 0 }
	case 7: // some start orders arrive seconds late
		sim.lateStartShare = 0.1
		return func() { sim.lateStartShare = 0 }
	case 8: // a worker drains and leaves, and comes back when the fault ends
		if worker.down {
			return func() {}
		}
		worker.drain(time.Duration(1+sim.random.IntN(6)) * time.Second)
		return func() {
			worker.crash()
			worker.restart()
			worker.listed = true
		}
	case 9: // the runs on a worker make no progress
		worker.stallsTasks = true
		return func() { worker.stallsTasks = false }
	default: // the runs on a worker fail
		worker.failsTasks = true
		return func() { worker.failsTasks = false }
	}
}

// simulateFaults submits random jobs for 24 s with two pairs of overlapping faults, one
// from second 3 to 9 and one from second 12 to 20, and then ends all faults. It calls
// configure, unless it is nil, before the first job.
func simulateFaults(t testing.TB, seed uint64, configure func(sim *simulation)) *simulation {
	sim := newSimulation(t, seed, 8, job.Demand{MilliCPU: 16000, MemoryMB: 32000})
	if configure != nil {
		configure(sim)
	}
	sim.requireTickets = seed%2 == 0
	sim.advance(time.Second)
	number := 0
	var endFaults []func()
	for second := range 24 {
		for range 3 {
			sim.submitRandomJob(number)
			number++
			if sim.random.IntN(12) == 0 {
				sim.cancel(fmt.Sprintf("%016x", 1+sim.random.IntN(number)))
			}
			sim.advance(330 * time.Millisecond) // a third of a second
		}
		switch second {
		case 3, 5, 12, 14:
			endFaults = append(endFaults, sim.startRandomFault())
		case 9, 20:
			for _, endFault := range endFaults {
				endFault()
			}
			endFaults = nil
		}
	}
	sim.endAllFaults()
	return sim
}

// endAllFaults brings back all workers, the store and the leader.
func (sim *simulation) endAllFaults() {
	for _, worker := range sim.workers {
		if worker.down {
			worker.restart()
		}
		worker.unreachable, worker.listed, worker.stallsTasks, worker.failsTasks, worker.losesOrders = false, true, false, false, false
	}
	sim.storeDown, sim.lostAnswerShare, sim.lateStartShare = false, 0, 0
	if sim.leader.dead {
		sim.replaceLeader()
	}
}

// These rules must hold under two pairs of overlapping faults: no task has two runs at a
// time or starts again once it is done, no worker exceeds its capacity, steps keep their
// order, attempts are bounded, cancelled jobs don't start tasks, and every accepted job
// ends.
func TestInvariantsUnderFaults(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			sim := simulateFaults(t, uint64(seed), nil)
			sim.requireAllEnded(2 * time.Minute)
			require.Greater(t, sim.startCount, 50)
		})
	}
}
