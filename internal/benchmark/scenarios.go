package benchmark

import (
	"math/rand/v2"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// The names of the scenarios.
const (
	nameMixed                 = "mixed sizes, gangs and accelerators"
	nameMixedWrong            = "the same with sizes and run times wrong by up to 5x"
	nameLeastUrgent           = "overload of the least urgent kind"
	nameMostUrgent            = "overload of the most urgent kind"
	nameMostUrgentPreemptible = "overload of the most urgent kind, preemptible"
	nameGang                  = "gang of half the accelerators"
	nameGangWrong             = "gang of half the accelerators, run times wrong by up to 5x"
	nameBlackHole             = "black-hole worker"
	nameBlackHoleCold         = "black-hole worker from the start"
)

// scenario is a stream of arrivals on a fleet. For a given seed every engine gets
// the same arrivals.
type scenario struct {
	name string
	// build returns a simulation that is ready to run.
	build func(tested *testedEngine, size Size, seed uint64) *simulation
	// length is the virtual time of the whole run. overload is the part of it in
	// which one kind arrives at ten times the capacity of the fleet; it may be
	// nil.
	length   func(size Size) time.Duration
	overload func(size Size) [2]time.Duration
}

// meanRunTime lets 650 workers with 8 slots each start 430 tasks/s.
const meanRunTime = 12 * time.Second

// queueBound limits the run time of the naive engine, which scans its whole queue
// in every call.
const queueBound = 2000

// startCapacity returns how many tasks of meanRunTime the fleet can start per
// second.
func startCapacity(size Size) float64 { return float64(size.slots()) / meanRunTime.Seconds() }

// run runs the scenario with one engine.
func (sc *scenario) run(tested *testedEngine, size Size, seed uint64) *simulation {
	sim := sc.build(tested, size, seed)
	if sc.overload != nil {
		overload := sc.overload(size)
		sim.metrics.phases = [][2]time.Duration{{overload[0] / 2, overload[0]}, overload}
	}
	sim.run(sc.length(size))
	sim.metrics.recordUnstarted(sim)
	return sim
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// slotTask returns a task, its true run time and its usage. The scarcest resource of
// the task is the slot.
func slotTask(class string, runTime time.Duration) (placement.Task, time.Duration, workload.Resources) {
	task := placement.Task{Team: class, Class: class, Resources: workload.Resources{MilliCPU: 1000, MemoryMB: 2000}, RunTime: meanRunTime}
	return task, runTime, task.Resources
}

// slotSource generates tasks whose scarcest resource is the slot, with
// exponentially distributed run times.
func slotSource(kind string, rate func(time.Duration) float64) *source {
	return &source{kind: kind, rate: rate, draw: func(random *rand.Rand) (placement.Task, time.Duration, workload.Resources) {
		return slotTask(kind, max(time.Duration(random.ExpFloat64()*float64(meanRunTime)), decisionInterval))
	}}
}

// overloadPhase starts after 4 mean run times: two to fill the fleet and two to
// measure it before the overload.
func overloadPhase(size Size) [2]time.Duration {
	before := 4 * meanRunTime
	return [2]time.Duration{before, before + time.Duration(size.Seconds)*time.Second}
}

// overloadScenario lets one kind arrive at ten times the capacity of the fleet
// during overloadPhase. Otherwise each guaranteed kind arrives at 70% of its
// guarantee and each other kind at a tenth of the capacity.
func overloadScenario(name, overloadedKind string, policy placement.Policy) *scenario {
	return &scenario{name: name, overload: overloadPhase,
		length: func(size Size) time.Duration { return overloadPhase(size)[1] },
		build: func(tested *testedEngine, size Size, seed uint64) *simulation {
			var sources []*source
			overload := overloadPhase(size)
			for _, k := range policy.Kinds {
				rate := 0.7 * k.Guaranteed * startCapacity(size)
				if k.Guaranteed == 0 {
					rate = 0.1 * startCapacity(size)
				}
				rateAt := constantRate(rate)
				if k.Name == overloadedKind {
					rateAt = func(since time.Duration) float64 {
						if since >= overload[0] && since < overload[1] {
							return 10 * startCapacity(size)
						}
						return rate
					}
				}
				sources = append(sources, slotSource(k.Name, rateAt))
			}
			return newSimulation(tested, size, policy, seed, sources...)
		}}
}

// overloadPolicy has three guaranteed kinds and two without a guarantee: alarm, the
// most urgent kind, whose preemption is urgentPreemption, and bulk, the least urgent.
func overloadPolicy(urgentPreemption placement.Verb) placement.Policy {
	return placement.Policy{Kinds: []placement.KindPolicy{
		{Name: "alarm", Urgency: 100, Weight: 1, QueueBound: queueBound, Preemption: urgentPreemption},
		{Name: "urgent", Urgency: 90, Weight: 4, Guaranteed: 0.25, QueueBound: queueBound},
		{Name: "steady", Urgency: 60, Weight: 3, Guaranteed: 0.25, QueueBound: queueBound, Preemption: placement.VerbCheckpoint},
		{Name: "nightly", Urgency: 30, Weight: 2, Guaranteed: 0.2, QueueBound: queueBound, Preemption: placement.VerbCheckpoint},
		{Name: "bulk", Urgency: 0, Weight: 1, QueueBound: queueBound, Preemption: placement.VerbStop},
	}}
}

// guaranteedKinds are the kinds of overloadPolicy with a guarantee.
var guaranteedKinds = []string{"urgent", "steady", "nightly"}

// mixedSources returns sources of tasks of mixed sizes, with accelerators and in
// gangs. load is the arrival rate as a multiple of the capacity of the fleet, so
// that a load above 1 keeps all workers busy. maxErrorFactor is the largest factor
// between declared and true sizes and run times, in either direction.
func mixedSources(size Size, load, maxErrorFactor float64) []*source {
	plain, accelerators := float64(size.Plain), float64(8*size.Accelerators)
	declare := func(random *rand.Rand, task placement.Task, runTime time.Duration) (placement.Task, time.Duration, workload.Resources) {
		usage := task.Resources
		if maxErrorFactor > 1 {
			task.RunTime = time.Duration(float64(runTime) * randomFactor(random, maxErrorFactor))
			usage.MilliCPU = int64(float64(usage.MilliCPU) * randomFactor(random, maxErrorFactor))
			usage.MemoryMB = int64(float64(usage.MemoryMB) * randomFactor(random, maxErrorFactor))
		} else {
			task.RunTime = runTime
		}
		return task, runTime, usage
	}
	return []*source{
		// The mean demand of 3,250 milli-CPU for 5.5 s lets a plain worker with
		// 16,000 milli-CPU carry 0.9 tasks/s.
		{kind: "plain", rate: constantRate(0.9 * load * plain), draw: func(random *rand.Rand) (placement.Task, time.Duration, workload.Resources) {
			i := random.IntN(8)
			task := placement.Task{Team: []string{"a", "b", "c"}[random.IntN(3)], Class: "plain", Resources: workload.Resources{
				MilliCPU: 500 + 500*int64(i) + 500*int64(random.IntN(5)), MemoryMB: 500 + 1000*int64(random.IntN(8))}}
			return declare(random, task, time.Second+time.Duration(random.Int64N(int64(9*time.Second))))
		}},
		// The mean demand of 1.75 accelerators for 10.5 s lets an accelerator carry
		// 0.054 tasks/s. Half of its capacity is left to gangs.
		{kind: "accelerated", rate: constantRate(0.027 * load * accelerators), draw: func(random *rand.Rand) (placement.Task, time.Duration, workload.Resources) {
			count := int64([]int{1, 1, 1, 4}[random.IntN(4)])
			task := placement.Task{Team: []string{"d", "e"}[random.IntN(2)], Class: "accelerated",
				Resources: workload.Resources{MilliCPU: 8000 * count, MemoryMB: 16_000 * count, Accelerators: count}}
			return declare(random, task, time.Second+time.Duration(random.Int64N(int64(19*time.Second))))
		}},
		// Gangs use the other half of the accelerators. The 8 tasks of a gang use 2
		// accelerators each for 10.5 s on average.
		{kind: "gang", rate: constantRate(0.003 * load * accelerators), draw: func(random *rand.Rand) (placement.Task, time.Duration, workload.Resources) {
			task := placement.Task{Team: "f", Class: "gang", GangSize: 8,
				Resources: workload.Resources{MilliCPU: 16_000, MemoryMB: 32_000, Accelerators: 2}}
			return declare(random, task, time.Second+time.Duration(random.Int64N(int64(19*time.Second))))
		}},
	}
}

func mixedPolicy() placement.Policy {
	return placement.Policy{Kinds: []placement.KindPolicy{{Name: "plain", QueueBound: queueBound},
		{Name: "accelerated", QueueBound: queueBound, Weight: 2}, {Name: "gang", QueueBound: queueBound, Weight: 2}}}
}

// mixedScenario submits mixed tasks at 1.5 times the capacity of the fleet.
func mixedScenario(name string, maxErrorFactor float64) *scenario {
	return &scenario{name: name, length: func(size Size) time.Duration { return 3 * time.Duration(size.Seconds) * time.Second },
		build: func(tested *testedEngine, size Size, seed uint64) *simulation {
			sim := newSimulation(tested, size, mixedPolicy(), seed, mixedSources(size, 1.5, maxErrorFactor)...)
			sim.correctSizes = maxErrorFactor > 1
			return sim
		}}
}

// maxSmallRunTime is the longest run time of the small tasks in gangScenario.
const maxSmallRunTime = 20 * time.Second

// gangScenario submits a gang that needs half the accelerators to a fleet full of
// small tasks, which keep arriving above its capacity.
func gangScenario(name string, maxErrorFactor float64) *scenario {
	submitAt := 2 * maxSmallRunTime
	return &scenario{name: name, length: func(Size) time.Duration { return submitAt + 6*maxSmallRunTime },
		build: func(tested *testedEngine, size Size, seed uint64) *simulation {
			accelerators := 8 * size.Accelerators
			// The mean run time of 11 s lets an accelerator carry 0.091 tasks/s; the
			// rate is 1.1 times that.
			small := &source{kind: "small", rate: constantRate(1.1 / 11 * float64(accelerators)),
				draw: func(random *rand.Rand) (placement.Task, time.Duration, workload.Resources) {
					runTime := 2*time.Second + time.Duration(random.Int64N(int64(maxSmallRunTime-2*time.Second)))
					task := placement.Task{Team: "a", Class: "small", RunTime: time.Duration(float64(runTime) * randomFactor(random, maxErrorFactor)),
						Resources: workload.Resources{MilliCPU: 8000, MemoryMB: 16_000, Accelerators: 1}}
					return task, runTime, task.Resources
				}}
			big := &source{kind: "gang", draw: func(*rand.Rand) (placement.Task, time.Duration, workload.Resources) {
				task := placement.Task{Team: "b", Class: "gang", RunTime: maxSmallRunTime, GangSize: accelerators / 2,
					Resources: workload.Resources{MilliCPU: 8000, MemoryMB: 16_000, Accelerators: 1}}
				return task, maxSmallRunTime, task.Resources
			}}
			// A very high rate until the first arrival submits the gang at submitAt.
			big.rate = func(since time.Duration) float64 {
				if since >= submitAt && big.count == 0 {
					return 1e9
				}
				return 0
			}
			policy := placement.Policy{Kinds: []placement.KindPolicy{{Name: "small", QueueBound: queueBound}, {Name: "gang", QueueBound: queueBound}}}
			return newSimulation(tested, size, policy, seed, small, big)
		}}
}

// gangWait returns the time from the gang's arrival to its start or, if it didn't
// start, to the end of the run.
func gangWait(sim *simulation) time.Duration {
	if sim.metrics.kinds["gang"] == nil {
		return 0
	}
	return time.Duration(sim.metrics.kinds["gang"].waits.Max()) * time.Microsecond
}

// blackHoleScenario has a worker that fails every task within 20 ms, on a fleet at
// 90% of its capacity. The worker fails from the start, when the tracker knows
// nothing of the other workers, or after all have worked normally for a while.
func blackHoleScenario(name string) *scenario {
	return &scenario{name: name, length: func(size Size) time.Duration { return 2 * time.Duration(size.Seconds) * time.Second },
		build: func(tested *testedEngine, size Size, seed uint64) *simulation {
			policy := placement.Policy{Kinds: []placement.KindPolicy{{Name: "a", QueueBound: queueBound}, {Name: "b", QueueBound: queueBound}}}
			sim := newSimulation(tested, size, policy, seed, slotSource("a", constantRate(0.45*startCapacity(size))), slotSource("b", constantRate(0.45*startCapacity(size))))
			// The worst case from the start is a failing worker that the engine
			// prefers.
			failingWorker := sim.fleet.vms[0].Name
			if name == nameBlackHole {
				sim.run(time.Duration(size.Seconds) * time.Second)
				failingWorker = sim.fleet.vms[size.Plain/2].Name
			}
			sim.failingWorker = failingWorker
			return sim
		}}
}

// scenarios returns all scenarios in the order of the table.
func scenarios() []*scenario {
	return []*scenario{
		mixedScenario(nameMixed, 1),
		mixedScenario(nameMixedWrong, 5),
		overloadScenario(nameLeastUrgent, "bulk", overloadPolicy("")),
		overloadScenario(nameMostUrgent, "alarm", overloadPolicy("")),
		overloadScenario(nameMostUrgentPreemptible, "alarm", overloadPolicy(placement.VerbCheckpoint)),
		gangScenario(nameGang, 1),
		gangScenario(nameGangWrong, 5),
		blackHoleScenario(nameBlackHole),
		blackHoleScenario(nameBlackHoleCold),
	}
}
