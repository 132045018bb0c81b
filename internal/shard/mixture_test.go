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

// mixture is a stream of jobs of some kinds, in proportions and sizes as the
// users' sites have them.
type mixture struct {
	world  *world
	random *rand.Rand
	kinds  []mixtureKind
	number int
	jobs   []mixtureJob
}

type mixtureKind struct {
	name    string
	perS    float64
	width   float64 // mean count of tasks, spread of 0.6
	most    int     // tasks at the most
	gpus    []int
	cpu     int
	work    time.Duration // mean, spread of a half
	gang    bool
	terms   job.Terms
	good    float64
	maxEach int
}

type mixtureJob struct {
	kind      string
	id        string
	began     time.Duration
	objective time.Duration
	refused   bool
	ended     time.Duration
}

// lognormal returns a value with the mean and the relative spread.
func (m *mixture) lognormal(mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return math.Exp(math.Log(mean) - sigma*sigma/2 + sigma*m.random.NormFloat64())
}

func (m *mixture) submit(kind *mixtureKind) {
	work := time.Duration(min(m.lognormal(kind.work.Seconds(), 0.5), 2.5*kind.work.Seconds()) * float64(time.Second))
	estimate := time.Duration(float64(work) * (0.8 + 0.4*m.random.Float64()))
	step := job.Step{
		Count:    min(max(1, int(m.lognormal(kind.width, 0.6)+0.5)), kind.most),
		Demand:   job.Demand{MilliCPU: kind.cpu, MemoryMB: 1000, GPUs: kind.gpus[m.random.IntN(len(kind.gpus))]},
		Estimate: estimate, Gang: kind.gang, MaxPerWorker: kind.maxEach,
	}
	name := fmt.Sprintf("%016x", 0x5000000+m.number*7919)
	m.number++
	before := m.world.refused
	m.world.submit(name, kind.terms, job.Spec{Steps: []job.Step{step}}, work)
	m.jobs = append(m.jobs, mixtureJob{
		kind: kind.name, id: name, began: m.world.now, refused: m.world.refused > before,
		objective: time.Duration(kind.terms.Stretch*float64(work)) + kind.terms.Target,
	})
}

// play submits at the kinds' rates and returns the share of each kind's jobs
// that ended within their objective, and the mean share of GPUs at work.
func (m *mixture) play(length time.Duration, factor float64) (inTime map[string]float64, busy float64) {
	samples := 0
	gpus, all := 0, 0
	for _, worker := range m.world.workers {
		all += worker.capacity.GPUs
	}
	for end := m.world.now + length; m.world.now < end; {
		for i := range m.kinds {
			for chance := m.kinds[i].perS * factor * step.Seconds(); chance > 0; chance-- {
				if m.random.Float64() < chance {
					m.submit(&m.kinds[i])
				}
			}
		}
		m.world.run(step)
		if end-m.world.now < length/2 {
			samples++
			for _, worker := range m.world.workers {
				gpus += worker.used().GPUs
			}
		}
	}
	for range 3000 {
		for i := range m.jobs {
			j := &m.jobs[i]
			if state, known := m.world.holder.shard.State(j.id); j.ended == 0 && known && state.Ended() {
				j.ended = m.world.now
			}
		}
		m.world.run(step)
	}
	counts, good := map[string]float64{}, map[string]float64{}
	for i := range m.jobs {
		j := &m.jobs[i]
		counts[j.kind]++
		facts := m.world.jobs[j.id]
		if facts == nil {
			continue
		}
		ended := time.Duration(0)
		for _, at := range facts.done {
			ended = max(ended, at)
		}
		if state, known := m.world.holder.shard.State(j.id); known && state == job.Completed && ended-j.began <= j.objective {
			good[j.kind]++
		}
	}
	inTime = map[string]float64{}
	for kind, count := range counts {
		inTime[kind] = good[kind] / count
	}
	return inTime, float64(gpus) / float64(samples*all)
}

// acceleratedMixture is the load of the grown sites' workers with GPUs.
func acceleratedMixture(t *testing.T, seed uint64) *mixture {
	w := newWorld(t, seed, 98, job.Demand{MilliCPU: 64000, MemoryMB: 256000, GPUs: 8})
	m := &mixture{world: w, random: rand.New(rand.NewPCG(seed, 9)), kinds: []mixtureKind{
		{
			name: "gang", perS: 4.47, width: 3.3, most: 16, gpus: []int{2, 4, 8, 8}, cpu: 31000, work: 5600 * time.Millisecond, gang: true, good: 0.3,
			terms: job.Terms{
				Queue: "gang", Priority: 1, MaxAttempts: 2, Stretch: 2.2, Target: 1200 * time.Millisecond,
				RequiresTicket: true, AdviceTime: 715 * time.Millisecond, AdviceTimePerWorker: 10270 * time.Microsecond, TicketLifetime: 1500 * time.Millisecond,
			},
		},
		{
			name: "single", perS: 5.06, width: 13, most: 64, gpus: []int{1}, cpu: 5600, work: 3800 * time.Millisecond, good: 0.45,
			terms: job.Terms{
				Queue: "single", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second,
				RequiresTicket: true, AdviceTime: 195 * time.Millisecond, AdviceTimePerWorker: 2730 * time.Microsecond, TicketLifetime: 1500 * time.Millisecond,
			},
		},
	}}
	w.goodShares = map[string]float64{}
	for _, kind := range m.kinds {
		w.goodShares[kind.name] = kind.good
	}
	// The adviser takes one call at a time from each of 29 nodes; a third of
	// them are for quick calls, and three shards share the others.
	w.holder.shard.SetAdviceSlots(9, 9)
	return m
}

// Pattern: gangs and single tasks with accelerators at the grown sites' mean
// rates, on queues whose starts need tickets, and an adviser that takes less
// than ten calls at a time. What it is asked for in vain keeps the accelerators
// idle: with a fixed 60 workers a call, and calls for steps that were just
// started, 0.24 of the single tasks' jobs were in time.
func TestAdviserDoesNotBindTheAccelerators(t *testing.T) {
	for _, seed := range []uint64{31, 32, 33} {
		m := acceleratedMixture(t, seed)
		m.world.run(time.Second)
		inTime, _ := m.play(40*time.Second, 1)
		for kind, share := range inTime {
			require.GreaterOrEqual(t, share, 0.75, "seed %d: %s, the aim for the grown sites", seed, kind)
		}
		// One call shows where a step may run, one renews its tickets.
		require.LessOrEqual(t, m.world.calls, 2*len(m.jobs), "seed %d", seed)
		require.Empty(t, m.world.faults)
	}
}

// Pattern: half as much again of one queue's work as the fleet can do. In the
// order of their latest starts, all jobs would be late from the first second
// of backlog on; the fleet can do two thirds of them in time.
func TestOverloadKeepsJobsInTime(t *testing.T) {
	w := newWorld(t, 34, 4, workerSize)
	w.run(time.Second)
	terms := job.Terms{Queue: "urgent", Priority: 0, MaxAttempts: 2, Stretch: 2, Target: time.Second}
	objective := 3 * time.Second
	began := map[string]time.Duration{}
	const jobs = 90
	for i := range jobs { // 6 a second; the fleet does 4
		w.submit(id(i), terms, job.Spec{Steps: []job.Step{tasks(4, 4000, time.Second)}}, time.Second)
		began[id(i)] = w.now
		w.run(160 * time.Millisecond)
	}
	w.requireWhole(time.Minute)
	inTime := 0
	for id, facts := range w.jobs {
		ended := time.Duration(0)
		for _, at := range facts.done {
			ended = max(ended, at)
		}
		if ended-began[id] <= objective {
			inTime++
		}
	}
	require.GreaterOrEqual(t, inTime, jobs/2)
	require.Empty(t, w.faults)
}
