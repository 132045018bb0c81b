package shard_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// simulatePartitionedLeaders plays a chain of leaders that each lose the store and may go on: most
// workers are reached by the former leaders or by the next ones only. Each next leader adds workers.
func simulatePartitionedLeaders(t testing.TB, seed uint64) *simulation {
	sim := newSimulation(t, seed, 5+int(seed%6), workerSize)
	random := sim.random
	upTo := func(milliseconds int) time.Duration {
		return time.Duration(random.IntN(milliseconds)) * time.Millisecond
	}
	oneIn := func(count int) bool { return random.IntN(count) == 0 }
	sim.crashesUnknown, sim.formerLeadersReport, sim.onlyConcurrentRuns = true, true, true
	prepare := func(worker *modelWorker) {
		worker.cutOff = map[*instance]bool{}
		if !oneIn(3) {
			worker.clockRate = 0.98
		}
	}
	tenthsOfFormer := 3 + random.IntN(8) // of the first workers, which only former leaders reach
	onlyFormer := map[*modelWorker]bool{}
	for _, worker := range sim.workers {
		prepare(worker)
		onlyFormer[worker] = random.IntN(10) < tenthsOfFormer
	}
	sim.advance(time.Second)
	sim.standingTasks(9000)
	sim.advance(upTo(2000))
	disturb := func() {
		sim.advance(upTo(700))
		worker := sim.workers[random.IntN(len(sim.workers))]
		switch random.IntN(6) {
		case 0:
			worker.listed = false
			sim.schedule(upTo(8000), nil, func(time.Time) { worker.listed = true })
		case 1:
			worker.draining = true
			sim.schedule(upTo(3000), nil, func(time.Time) { worker.draining = false })
		case 2:
			worker.capacity.MilliCPU *= 2
		case 3:
			onlyFormer[worker] = !onlyFormer[worker] && oneIn(3)
		}
	}
	for range 1 + random.IntN(4) {
		former := sim.leader
		if oneIn(4) {
			sim.storeDown = true
			sim.advance(upTo(4000))
			sim.storeDown = false
		}
		former.storeUnreachable, former.dead, former.released = true, oneIn(4), oneIn(5)
		if former.dead && oneIn(2) {
			former.restartsAt = sim.now + upTo(4000)
		}
		if oneIn(6) {
			former.frozen = true
			sim.schedule(upTo(6000), nil, func(time.Time) { former.frozen = false })
		}
		former.cutOffFromPeers, sim.crashesUnknown = !oneIn(4), !oneIn(4)
		for range random.IntN(3) {
			disturb()
		}
		sim.replaceLeader()
		for _, worker := range sim.workers {
			worker.cutOff[sim.leader] = onlyFormer[worker]
			worker.cutOff[former] = !onlyFormer[worker] && !oneIn(4)
		}
		if oneIn(2) {
			for range 1 + random.IntN(14) {
				prepare(sim.addWorker(job.Demand{MilliCPU: 16000, MemoryMB: 32000}))
			}
		}
		for range random.IntN(6) {
			disturb()
		}
	}
	for range 8 {
		disturb()
	}
	sim.advance(16 * time.Second)
	return sim
}

// Guards against two runs of a task when former leaders renew leases as long as they have
// witnesses, and the next leaders read other workers and add new ones.
func TestInvariantsUnderPartitionedLeaders(t *testing.T) {
	for seed := range 5 * seedCount(t) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			require.Empty(t, simulatePartitionedLeaders(t, uint64(seed)).violations)
		})
	}
}
