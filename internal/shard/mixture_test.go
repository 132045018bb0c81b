package shard_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// mixture generates a random stream of jobs of several kinds. Their proportions and
// sizes are those of the users' sites.
type mixture struct {
	simulation     *simulation
	random         *rand.Rand
	kinds          []mixtureKind
	submittedCount int
	jobs           []mixtureJob
}

type mixtureKind struct {
	name          string
	jobsPerSecond float64
	meanTasks     float64 // mean number of tasks; the relative spread is 0.6
	maxTasks      int
	gpus          []int
	milliCPU      int
	meanRunTime   time.Duration // mean run time; the relative spread is 0.5
	gang          bool
	terms         job.Terms
	allowedShare  float64
	maxPerWorker  int
}

type mixtureJob struct {
	kind        string
	id          string
	submittedAt time.Duration
	objective   time.Duration
	refused     bool
	endedAt     time.Duration
}

// lognormal returns a random value of the log-normal distribution with this mean and
// relative spread (standard deviation divided by mean).
func (m *mixture) lognormal(mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return math.Exp(math.Log(mean) - sigma*sigma/2 + sigma*m.random.NormFloat64())
}

func (m *mixture) submit(kind *mixtureKind) {
	// The run time is bounded by 2.5 times its mean, and the estimate is off by up
	// to 20%.
	runTime := time.Duration(min(m.lognormal(kind.meanRunTime.Seconds(), 0.5), 2.5*kind.meanRunTime.Seconds()) * float64(time.Second))
	estimate := time.Duration(float64(runTime) * (0.8 + 0.4*m.random.Float64()))
	step := job.Step{
		Count:    min(max(1, int(m.lognormal(kind.meanTasks, 0.6)+0.5)), kind.maxTasks),
		Demand:   job.Demand{MilliCPU: kind.milliCPU, MemoryMB: 1000, GPUs: kind.gpus[m.random.IntN(len(kind.gpus))]},
		Estimate: estimate, Gang: kind.gang, MaxPerWorker: kind.maxPerWorker,
	}
	// The IDs are distinct and not consecutive.
	jobID := fmt.Sprintf("%016x", 0x5000000+m.submittedCount*7919)
	m.submittedCount++
	refusedBefore := m.simulation.refusedCount
	m.simulation.submit(jobID, kind.terms, job.Spec{Steps: []job.Step{step}}, runTime)
	m.jobs = append(m.jobs, mixtureJob{
		kind: kind.name, id: jobID, submittedAt: m.simulation.now, refused: m.simulation.refusedCount > refusedBefore,
		objective: time.Duration(kind.terms.Stretch*float64(runTime)) + kind.terms.Target,
	})
}

// simulate submits jobs for a time, at the rates of their kinds times a factor. It
// returns the share of each kind's jobs that met their objective, and the mean share of
// GPUs in use in the second half of the time.
func (m *mixture) simulate(length time.Duration, factor float64) (onTime map[string]float64, gpuUse float64) {
	samples := 0
	usedGPUs, totalGPUs := 0, 0
	for _, worker := range m.simulation.workers {
		totalGPUs += worker.capacity.GPUs
	}
	for end := m.simulation.now + length; m.simulation.now < end; {
		for i := range m.kinds {
			// The expected number of further jobs in this tick may exceed 1.
			for expectedJobs := m.kinds[i].jobsPerSecond * factor * tickLength.Seconds(); expectedJobs > 0; expectedJobs-- {
				if m.random.Float64() < expectedJobs {
					m.submit(&m.kinds[i])
				}
			}
		}
		m.simulation.advance(tickLength)
		if end-m.simulation.now < length/2 {
			samples++
			for _, worker := range m.simulation.workers {
				usedGPUs += worker.used().GPUs
			}
		}
	}
	for range 3000 { // 30 s, in which the remaining jobs end
		for i := range m.jobs {
			j := &m.jobs[i]
			if state, known := m.simulation.leader.shard.State(j.id); j.endedAt == 0 && known && state.Ended() {
				j.endedAt = m.simulation.now
			}
		}
		m.simulation.advance(tickLength)
	}
	jobs, onTimeJobs := map[string]float64{}, map[string]float64{}
	for i := range m.jobs {
		j := &m.jobs[i]
		jobs[j.kind]++
		submitted := m.simulation.jobs[j.id]
		if submitted == nil {
			continue
		}
		ended := time.Duration(0)
		for _, at := range submitted.doneHandledAt {
			ended = max(ended, at)
		}
		if state, known := m.simulation.leader.shard.State(j.id); known && state == job.Completed && ended-j.submittedAt <= j.objective {
			onTimeJobs[j.kind]++
		}
	}
	onTime = map[string]float64{}
	for kind, count := range jobs {
		onTime[kind] = onTimeJobs[kind] / count
	}
	return onTime, float64(usedGPUs) / float64(samples*totalGPUs)
}

// gpuMixture returns the load on the GPU workers of the users' larger sites: 98 workers,
// and jobs at the mean rates of these sites.
func gpuMixture(t *testing.T, seed uint64) *mixture {
	sim := newSimulation(t, seed, 98, job.Demand{MilliCPU: 64000, MemoryMB: 256000, GPUs: 8})
	m := &mixture{simulation: sim, random: rand.New(rand.NewPCG(seed, 9)), kinds: []mixtureKind{
		{
			name: "gang", jobsPerSecond: 4.47, meanTasks: 3.3, maxTasks: 16, gpus: []int{2, 4, 8, 8}, milliCPU: 31000, meanRunTime: 5600 * time.Millisecond, gang: true, allowedShare: 0.3,
			terms: job.Terms{
				Queue: "gang", Priority: 1, MaxAttempts: 2, Stretch: 2.2, Target: 1200 * time.Millisecond,
				RequiresTicket: true, AdviceTime: 715 * time.Millisecond, AdviceTimePerWorker: 10270 * time.Microsecond, TicketLifetime: 1500 * time.Millisecond,
			},
		},
		{
			name: "single", jobsPerSecond: 5.06, meanTasks: 13, maxTasks: 64, gpus: []int{1}, milliCPU: 5600, meanRunTime: 3800 * time.Millisecond, allowedShare: 0.45,
			terms: job.Terms{
				Queue: "single", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second,
				RequiresTicket: true, AdviceTime: 195 * time.Millisecond, AdviceTimePerWorker: 2730 * time.Microsecond, TicketLifetime: 1500 * time.Millisecond,
			},
		},
	}}
	sim.allowedShares = map[string]float64{}
	for _, kind := range m.kinds {
		sim.allowedShares[kind.name] = kind.allowedShare
	}
	// The adviser takes one call at a time from each of the 29 nodes. A third of the
	// nodes (9) is for short calls. Three shards share the calls of the others, and
	// this shard may have 9 of these calls in flight.
	sim.leader.shard.SetAdviceSlots(9, 9)
	return m
}

// Advice calls must not limit the use of GPUs when gangs and single tasks arrive at the
// mean rates of the users' larger sites, each start needs a ticket, and the shard may
// have only nine long calls in flight. GPUs stay idle while useless calls delay the
// others: when each call named 60 workers, and steps that had just started made calls
// too, a share of 0.24 of the jobs of kind "single" met their objective.
func TestAdviceCallsKeepGPUsBusy(t *testing.T) {
	for _, seed := range []uint64{31, 32, 33} {
		m := gpuMixture(t, seed)
		m.simulation.advance(time.Second)
		onTime, _ := m.simulate(40*time.Second, 1)
		for kind, share := range onTime {
			require.GreaterOrEqual(t, share, 0.75, "seed %d: %s: share of jobs on time", seed, kind)
		}
		// One call shows where a step may run, and one renews its tickets.
		require.LessOrEqual(t, m.simulation.adviceCalls, 2*len(m.jobs), "seed %d", seed)
		require.Empty(t, m.simulation.violations)
	}
}

// With one and a half times the work that the fleet can do, many jobs must still end on
// time. The fleet can do two thirds of them on time. If steps were ordered only by the
// latest start with which their jobs end on time, all jobs would be late from the first
// second of backlog on.
func TestOverloadKeepsJobsOnTime(t *testing.T) {
	sim := newSimulation(t, 34, 4, workerSize)
	sim.advance(time.Second)
	terms := job.Terms{Queue: "urgent", Priority: 0, MaxAttempts: 2, Stretch: 2, Target: time.Second}
	objective := 3 * time.Second
	submittedAt := map[string]time.Duration{}
	const jobs = 90
	for i := range jobs { // 6 per second; the fleet can do 4
		sim.submit(id(i), terms, job.Spec{Steps: []job.Step{tasks(4, 4000, time.Second)}}, time.Second)
		submittedAt[id(i)] = sim.now
		sim.advance(160 * time.Millisecond)
	}
	sim.requireAllEnded(time.Minute)
	onTime := 0
	for id, submitted := range sim.jobs {
		ended := time.Duration(0)
		for _, at := range submitted.doneHandledAt {
			ended = max(ended, at)
		}
		if ended-submittedAt[id] <= objective {
			onTime++
		}
	}
	require.GreaterOrEqual(t, onTime, jobs/2)
	require.Empty(t, sim.violations)
}
