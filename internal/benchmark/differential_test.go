package benchmark

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// applyRandomChange makes one random change or none: a worker starts or stops leaving,
// tasks are cancelled, or a worker reconnects. Both engines get the same changes as far
// as their states allow.
func (sim *simulation) applyRandomChange(random *rand.Rand) {
	v := sim.fleet.vms[random.IntN(len(sim.fleet.vms))]
	switch random.IntN(4) {
	case 0:
		v.leaving = !v.leaving
		sim.engine.SetLeaving(v.Name, v.leaving)
	case 1:
		for _, s := range sim.sources {
			id := placement.TaskID{Key: workload.Key(fmt.Sprintf("%s-%08d", s.kind, max(s.count-random.IntN(20), 1)))}
			if j := sim.jobs[id]; j != nil && sim.engine.Cancel(id) {
				if sim.fleet.vmOf(&j.task) != nil {
					sim.fleet.recordViolation("%v was cancelled while it ran", id)
				}
				sim.metrics.waiting--
				delete(sim.jobs, id)
			}
		}
	case 2:
		// The worker reconnects and reports its running tasks.
		var running []placement.Running
		for id, j := range sim.jobs {
			if sim.fleet.vmOf(&j.task) == v && id.Attempt == j.task.ID.Attempt {
				running = append(running, placement.Running{Task: j.task, StartedAt: j.startedAt})
			}
		}
		slices.SortFunc(running, func(a, b placement.Running) int { return placement.CompareTaskIDs(a.Task.ID, b.Task.ID) })
		sim.engine.RemoveWorker(sim.now, v.Name)
		sim.engine.AddWorker(sim.now, v.Worker, running)
		sim.engine.SetLeaving(v.Name, v.leaving)
	}
}

// Guards against schedules that violate an invariant or leave startable work
// waiting. Both engines get the same inputs, and the simulated workers check the
// invariants at every start.
func TestSchedulesKeepInvariants(t *testing.T) {
	for s := *seed; s < *seed+15; s++ {
		for _, tested := range []*testedEngine{newPlacementEngine(), newNaiveEngine()} {
			t.Log("seed", s, tested.name)
			random := rand.New(rand.NewPCG(s, 99))
			size := Size{Plain: 1 + random.IntN(8), Accelerators: 1 + random.IntN(4)}
			policy := mixedPolicy()
			policy.Kinds[0].Deadline = 3 * time.Second
			policy.Kinds[0].Preemption = []placement.Verb{placement.VerbStop, placement.VerbCheckpoint, ""}[random.IntN(3)]
			policy.Kinds[1].Guaranteed = 0.4
			sim := newSimulation(tested, size, policy, s, mixedSources(size, 1.3, 1+4*random.Float64())...)
			for step := range 40 {
				sim.run(time.Duration(step+1) * 500 * time.Millisecond)
				if step < 30 {
					sim.applyRandomChange(random)
				}
				require.Empty(t, sim.fleet.violations)
			}
			for _, v := range sim.fleet.vms {
				v.leaving = false
				sim.engine.SetLeaving(v.Name, false)
			}
			for _, source := range sim.sources {
				source.rate = constantRate(0)
			}
			sim.run(3 * time.Minute)
			require.Empty(t, sim.fleet.violations)
			for _, j := range sim.jobs {
				// A gang that is larger than the fleet never starts, and one with
				// a cancelled member waits for that member.
				require.True(t, j.task.GangSize > 1, "%v still waits on an idle fleet", j.task.ID)
			}
		}
	}
}

// exhaustiveSearch finds the least total wait of small cases. In an optimal schedule
// every task starts as early as the tasks before it in some order allow, so all orders
// and workers are tried.
type exhaustiveSearch struct {
	tasks    []placement.Task
	workers  []placement.Worker
	starts   []time.Duration
	workerOf []int
	placed   []bool
	best     time.Duration
}

// search tries all ways to place the remaining tasks. placed is the number of placed
// tasks and sum the sum of their waits.
func (x *exhaustiveSearch) search(placed int, sum time.Duration) {
	if sum >= x.best {
		return
	}
	if placed == len(x.tasks) {
		x.best = sum
		return
	}
	for i := range x.tasks {
		for w := range x.workers {
			if x.placed[i] || !x.tasks[i].Resources.Fits(x.workers[w].Capacity) {
				continue
			}
			at := x.earliest(i, w)
			x.placed[i], x.starts[i], x.workerOf[i] = true, at, w
			x.search(placed+1, sum+at)
			x.placed[i] = false
		}
	}
}

// earliest returns the first time at which task i fits on worker w beside the placed
// tasks: 0 (predecessor -1) or the end of a placed task.
func (x *exhaustiveSearch) earliest(i, w int) time.Duration {
	best := time.Duration(math.MaxInt64)
	for predecessor := -1; predecessor < len(x.tasks); predecessor++ {
		at := time.Duration(0)
		if predecessor >= 0 {
			if !x.placed[predecessor] || x.workerOf[predecessor] != w {
				continue
			}
			at = x.starts[predecessor] + x.tasks[predecessor].RunTime
		}
		if at < best && x.fits(i, w, at) {
			best = at
		}
	}
	return best
}

// fits reports whether task i fits on worker w from a time until its end. The used
// resources grow only when a task starts, so only the start of task i (starting -1)
// and the starts of the placed tasks during its run need checks.
func (x *exhaustiveSearch) fits(i, w int, at time.Duration) bool {
	until := at + x.tasks[i].RunTime
	for starting := -1; starting < len(x.tasks); starting++ {
		when := at
		if starting >= 0 {
			if !x.placed[starting] || x.workerOf[starting] != w || x.starts[starting] < at || x.starts[starting] >= until {
				continue
			}
			when = x.starts[starting]
		}
		used := x.tasks[i].Resources
		for j := range x.tasks {
			if x.placed[j] && x.workerOf[j] == w && x.starts[j] <= when && when < x.starts[j]+x.tasks[j].RunTime {
				used = used.Add(x.tasks[j].Resources)
			}
		}
		if !used.Fits(x.workers[w].Capacity) {
			return false
		}
	}
	return true
}

// totalWait runs the tasks with an engine and returns the sum of their waits. All
// tasks are enqueued at the start.
func totalWait(t *testing.T, engine Engine, tasks []placement.Task, workers []placement.Worker) time.Duration {
	for _, w := range workers {
		engine.AddWorker(startTime, w, nil)
	}
	for _, task := range tasks {
		require.Nil(t, engine.Enqueue(startTime, task))
	}
	ends, wait, started := map[placement.TaskID]time.Duration{}, time.Duration(0), 0
	for now := time.Duration(0); started < len(tasks); now += time.Second {
		require.Less(t, now, time.Hour)
		for _, task := range tasks {
			if end, isRunning := ends[task.ID]; isRunning && end == now {
				engine.TaskEnded(startTime.Add(now), task.ID, placement.Completed)
			}
		}
		for _, d := range engine.Schedule(startTime.Add(now), len(tasks)) {
			require.Equal(t, placement.VerbStart, d.Verb)
			ends[d.Task.ID] = now + d.Task.RunTime
			wait += now
			started++
		}
	}
	return wait
}

// maxWaitFactor is the largest allowed ratio of the engine's total wait to the optimum,
// over all cases together. A ratio of 1 is out of reach, because the optimum starts the
// shortest tasks first while the engine keeps the order of arrival.
const maxWaitFactor = 1.5

// Guards against schedules whose total wait is far above the optimum.
func TestTotalWaitNearOptimum(t *testing.T) {
	var best, ofPlacement, ofNaive time.Duration
	t.Log("seed", *seed)
	for s := range uint64(200) {
		random := rand.New(rand.NewPCG(*seed, s))
		workers := Size{Plain: 2}.workers()
		tasks := make([]placement.Task, 6)
		for i := range tasks {
			tasks[i] = placement.Task{ID: placement.TaskID{Key: workload.Key(fmt.Sprint("task-", i))}, Team: "team", Kind: "kind",
				EnqueuedAt: startTime, RunTime: time.Duration(1+random.IntN(9)) * time.Second, Resources: workload.Resources{
					MilliCPU: 4000 * (1 + random.Int64N(4)), MemoryMB: 8000 * (1 + random.Int64N(4))}}
		}
		x := exhaustiveSearch{tasks: tasks, workers: workers, starts: make([]time.Duration, 6), workerOf: make([]int, 6), placed: make([]bool, 6), best: math.MaxInt64}
		x.search(0, 0)
		best += x.best
		ofPlacement += totalWait(t, newPlacementEngine().engine, tasks, workers)
		ofNaive += totalWait(t, newNaiveEngine().engine, tasks, workers)
	}
	t.Logf("total wait: best %s, placement %s, naive %s", best, ofPlacement, ofNaive)
	require.LessOrEqual(t, ofPlacement, time.Duration(maxWaitFactor*float64(best)))
}
