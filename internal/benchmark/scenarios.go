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
	nameWrong                 = "the same with sizes and run times wrong by up to 5x"
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
	build func(s *testedEngine, size Size, seed uint64) *simulation
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
func (sc *scenario) run(s *testedEngine, size Size, seed uint64) *simulation {
	sim := sc.build(s, size, seed)
	if sc.overload != nil {
		o := sc.overload(size)
		sim.metrics.phases = [][2]time.Duration{{o[0] / 2, o[0]}, o}
	}
	sim.run(sc.length(size))
	sim.metrics.recordUnstarted(sim)
	return sim
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func slotTask(class string, runs time.Duration) (placement.Task, time.Duration, workload.Resources) {
	task := placement.Task{Team: class, Class: class, Resources: workload.Resources{MilliCPU: 1000, MemoryMB: 2000}, RunTime: meanRunTime}
	return task, runs, task.Resources
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

// overloadScenario lets one kind arrive at ten times the capacity of the fleet.
// Before that, and for all other kinds, guaranteed kinds use 70% of their
// guarantee and each other kind a tenth of the capacity.
func overloadScenario(name, overloadedKind string, policy placement.Policy) *scenario {
	return &scenario{name: name, overload: overloadPhase,
		length: func(size Size) time.Duration { return overloadPhase(size)[1] },
		build: func(s *testedEngine, size Size, seed uint64) *simulation {
			var sources []*source
			o := overloadPhase(size)
			for _, k := range policy.Kinds {
				rate := 0.7 * k.Guaranteed * startCapacity(size)
				if k.Guaranteed == 0 {
					rate = 0.1 * startCapacity(size)
				}
				perSecond := constantRate(rate)
				if k.Name == overloadedKind {
					perSecond = func(since time.Duration) float64 {
						if since >= o[0] && since < o[1] {
							return 10 * startCapacity(size)
						}
						return rate
					}
				}
				sources = append(sources, slotSource(k.Name, perSecond))
			}
			return newSimulation(s, size, policy, seed, sources...)
		}}
}

// overloadPolicy has three guaranteed kinds, and without a guarantee the most and
// the least urgent kind.
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

// mixedSources generate tasks of mixed sizes, with accelerators and in gangs. A
// load above 1 keeps all workers busy. wrong is the largest factor between
// declared and true sizes and run times, in either direction.
func mixedSources(size Size, load, wrong float64) []*source {
	plain, accelerators := float64(size.Plain), float64(8*size.Accelerators)
	declare := func(random *rand.Rand, task placement.Task, runs time.Duration) (placement.Task, time.Duration, workload.Resources) {
		use := task.Resources
		if wrong > 1 {
			task.RunTime = time.Duration(float64(runs) * randomFactor(random, wrong))
			use.MilliCPU = int64(float64(use.MilliCPU) * randomFactor(random, wrong))
			use.MemoryMB = int64(float64(use.MemoryMB) * randomFactor(random, wrong))
		} else {
			task.RunTime = runs
		}
		return task, runs, use
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
		// The mean demand of 1.75 accelerators for 10.5 s lets each carry 0.054 tasks/s.
		// Half of that is left to gangs.
		{kind: "accelerated", rate: constantRate(0.027 * load * accelerators), draw: func(random *rand.Rand) (placement.Task, time.Duration, workload.Resources) {
			count := int64([]int{1, 1, 1, 4}[random.IntN(4)])
			task := placement.Task{Team: []string{"d", "e"}[random.IntN(2)], Class: "accelerated",
				Resources: workload.Resources{MilliCPU: 8000 * count, MemoryMB: 16_000 * count, Accelerators: count}}
			return declare(random, task, time.Second+time.Duration(random.Int64N(int64(19*time.Second))))
		}},
		// A gang of 8 tasks with 2 accelerators for 10.5 s.
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
func mixedScenario(name string, wrong float64) *scenario {
	return &scenario{name: name, length: func(size Size) time.Duration { return 3 * time.Duration(size.Seconds) * time.Second },
		build: func(s *testedEngine, size Size, seed uint64) *simulation {
			sim := newSimulation(s, size, mixedPolicy(), seed, mixedSources(size, 1.5, wrong)...)
			sim.correctSizes = wrong > 1
			return sim
		}}
}

// maxSmallRunTime is the longest run time of the small tasks in gangScenario.
const maxSmallRunTime = 20 * time.Second

// gangScenario submits a gang that needs half the accelerators to a fleet full of
// small tasks, which keep arriving above its capacity.
func gangScenario(name string, wrong float64) *scenario {
	submitAt := 2 * maxSmallRunTime
	return &scenario{name: name, length: func(Size) time.Duration { return submitAt + 6*maxSmallRunTime },
		build: func(s *testedEngine, size Size, seed uint64) *simulation {
			accelerators := 8 * size.Accelerators
			// The mean run time of 11 s lets an accelerator carry 0.091 tasks/s.
			small := &source{kind: "small", rate: constantRate(1.1 / 11 * float64(accelerators)),
				draw: func(random *rand.Rand) (placement.Task, time.Duration, workload.Resources) {
					runs := 2*time.Second + time.Duration(random.Int64N(int64(maxSmallRunTime-2*time.Second)))
					task := placement.Task{Team: "a", Class: "small", RunTime: time.Duration(float64(runs) * randomFactor(random, wrong)),
						Resources: workload.Resources{MilliCPU: 8000, MemoryMB: 16_000, Accelerators: 1}}
					return task, runs, task.Resources
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
			return newSimulation(s, size, policy, seed, small, big)
		}}
}

// gangWait returns the time from the gang's arrival to its start or, if it didn't
// start, to the end of the run.
func gangWait(sim *simulation) time.Duration {
	if sim.metrics.kinds["gang"] == nil {
		return 0
	}
	return time.Duration(sim.metrics.kinds["gang"].all.Max()) * time.Microsecond
}

// blackHoleScenario has a worker that fails every task within 20 ms, on a fleet at
// 90% of its capacity. The worker fails from the start, when the tracker knows
// nothing of the other workers, or after all have worked normally for a while.
func blackHoleScenario(name string) *scenario {
	return &scenario{name: name, length: func(size Size) time.Duration { return 2 * time.Duration(size.Seconds) * time.Second },
		build: func(s *testedEngine, size Size, seed uint64) *simulation {
			policy := placement.Policy{Kinds: []placement.KindPolicy{{Name: "a", QueueBound: queueBound}, {Name: "b", QueueBound: queueBound}}}
			sim := newSimulation(s, size, policy, seed, slotSource("a", constantRate(0.45*startCapacity(size))), slotSource("b", constantRate(0.45*startCapacity(size))))
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
		mixedScenario(nameWrong, 5),
		overloadScenario(nameLeastUrgent, "bulk", overloadPolicy("")),
		overloadScenario(nameMostUrgent, "alarm", overloadPolicy("")),
		overloadScenario(nameMostUrgentPreemptible, "alarm", overloadPolicy(placement.VerbCheckpoint)),
		gangScenario(nameGang, 1),
		gangScenario(nameGangWrong, 5),
		blackHoleScenario(nameBlackHole),
		blackHoleScenario(nameBlackHoleCold),
	}
}
