package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// model tracks the state of the engine from its decisions alone, so that errors
// in the engine's account of free resources are detected.
type model struct {
	engine  *placement.Engine
	now     time.Time
	next    int
	workers map[string]placement.Worker
	leaving map[string]bool
	waiting map[placement.TaskID]placement.Task
	running map[placement.TaskID]placement.Decision
}

func (m *model) task(t *rapid.T) placement.Task {
	m.next++
	task := placement.Task{ID: placement.TaskID{Key: workload.Key(fmt.Sprint("task-", m.next))}, EnqueuedAt: m.now,
		Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
		Kind: rapid.SampledFrom([]string{"urgent", "steady", "batch"}).Draw(t, "kind"),
		Resources: workload.Resources{MilliCPU: rapid.Int64Range(1, 6000).Draw(t, "cpu"),
			MemoryMB: rapid.Int64Range(0, 8000).Draw(t, "memory"), Accelerators: rapid.SampledFrom([]int64{0, 0, 1, 4}).Draw(t, "accelerators")},
		Connections: rapid.IntRange(0, 20).Draw(t, "connections"), Service: rapid.Bool().Draw(t, "service"),
		RunTime: time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second}
	if rapid.Bool().Draw(t, "has start-by time") {
		task.StartBy = m.now.Add(3 * time.Second)
	}
	return task
}

func (m *model) enqueue(t *rapid.T) {
	task := m.task(t)
	task.GangSize = rapid.SampledFrom([]int{0, 0, 0, 1, 2, 5}).Draw(t, "gang")
	for i := range max(task.GangSize, 1) {
		task.ID.Index = i
		require.Nil(t, m.engine.Enqueue(m.now, task))
		m.waiting[task.ID] = task
	}
}

func sortedIDs[V any](tasks map[placement.TaskID]V) []placement.TaskID {
	ids := make([]placement.TaskID, 0, len(tasks))
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, placement.CompareTaskIDs)
	return ids
}

func (m *model) cancel(t *rapid.T) {
	if len(m.waiting) > 0 {
		id := rapid.SampledFrom(sortedIDs(m.waiting)).Draw(t, "id")
		require.True(t, m.engine.Cancel(id))
		require.False(t, m.engine.Cancel(id))
		delete(m.waiting, id)
	}
}

func (m *model) end(t *rapid.T) {
	for range rapid.IntRange(1, 5).Draw(t, "count") {
		if len(m.running) > 0 {
			id := rapid.SampledFrom(sortedIDs(m.running)).Draw(t, "id")
			m.engine.TaskEnded(m.now, id, placement.Completed)
			m.engine.TaskEnded(m.now, id, placement.Completed) // This must have no effect.
			delete(m.running, id)
		}
	}
}

func (m *model) schedule(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
	gangSizeSums := map[workload.Key]int{} // sums over the started members of each gang
	for _, d := range m.engine.Schedule(m.now, rapid.IntRange(1, 20).Draw(t, "limit")) {
		switch d.Verb {
		case placement.VerbStart:
			require.Contains(t, m.waiting, d.Task.ID)
			require.True(t, d.Task.StartBy.IsZero() || !m.now.After(d.Task.StartBy), "started after its start-by time")
			m.start(t, d)
			delete(m.waiting, d.Task.ID)
			if d.Task.GangSize > 1 {
				gangSizeSums[d.Task.ID.Key] += d.Task.GangSize
			}
		case placement.VerbExpire:
			require.Contains(t, m.waiting, d.Task.ID)
			delete(m.waiting, d.Task.ID)
		default:
			require.Contains(t, m.running, d.Task.ID)
		}
	}
	for key, sum := range gangSizeSums {
		size := 0
		for id, d := range m.running {
			if id.Key == key {
				size = d.Task.GangSize
			}
		}
		// Each of the gang's members adds the gang's size.
		require.Equal(t, size*size, sum, "only a part of the gang started")
	}
}

func (m *model) start(t *rapid.T, d placement.Decision) {
	require.NotContains(t, m.running, d.Task.ID)
	require.Contains(t, m.workers, d.Worker)
	require.False(t, m.leaving[d.Worker], "started on a leaving worker")
	m.running[d.Task.ID] = d
}

func (m *model) changeWorkers(t *rapid.T) {
	i := rapid.IntRange(0, 5).Draw(t, "worker")
	worker := plainWorker(i)
	if i >= 3 {
		worker = acceleratorWorker(i)
	}
	_, known := m.workers[worker.Name]
	switch {
	case !known:
		m.engine.AddWorker(m.now, worker, nil)
		m.workers[worker.Name] = worker
	case rapid.Bool().Draw(t, "remove"):
		for _, task := range m.engine.RemoveWorker(m.now, worker.Name) {
			require.Equal(t, worker.Name, m.running[task.ID].Worker)
			delete(m.running, task.ID)
		}
		delete(m.workers, worker.Name)
		delete(m.leaving, worker.Name)
	case rapid.Bool().Draw(t, "add again"):
		var listed []placement.Running
		for _, id := range sortedIDs(m.running) {
			if d := m.running[id]; d.Worker == worker.Name {
				listed = append(listed, placement.Running{Task: d.Task, StartedAt: m.now})
			}
		}
		m.engine.AddWorker(m.now, worker, listed)
		delete(m.leaving, worker.Name)
	default:
		m.leaving[worker.Name] = !m.leaving[worker.Name]
		m.engine.SetLeaving(worker.Name, m.leaving[worker.Name])
	}
}

func (m *model) reserve(t *rapid.T) {
	task := m.task(t)
	task.GangSize, task.StartBy = 10, time.Time{}
	reserved := m.engine.Reserve(m.now, task.ID.Key, task, 3, m.now.Add(time.Second))
	require.LessOrEqual(t, reserved, 3)
	if rapid.Bool().Draw(t, "release") {
		m.engine.ReleaseReservation(task.ID.Key)
		reserved = 0
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	tasks := make([]placement.Task, rapid.IntRange(0, 4).Draw(t, "confirmed"))
	for i := range tasks {
		tasks[i] = task
		tasks[i].ID.Index = i
	}
	decisions := m.engine.Confirm(m.now, task.ID.Key, tasks)
	require.Contains(t, []int{0, len(tasks)}, len(decisions))
	require.LessOrEqual(t, len(decisions), reserved)
	for _, d := range decisions {
		m.start(t, d)
	}
}

// check compares the engine with the model, and the usage of each worker with
// its capacity.
func (m *model) check(t *rapid.T) {
	used, slots, connections := map[string]workload.Resources{}, map[string]int{}, map[string]int{}
	for id, d := range m.running {
		require.NotContains(t, m.waiting, id)
		used[d.Worker] = used[d.Worker].Add(d.Task.Resources)
		slots[d.Worker]++
		connections[d.Worker] += d.Task.Connections
	}
	require.Len(t, m.waiting, m.engine.Summary(m.now).Waiting)
	dump := m.engine.Dump()
	for _, table := range dump.Tables {
		require.LessOrEqual(t, table.Used, table.Bound, table.Name)
	}
	require.Len(t, m.workers, len(dump.Workers))
	for _, w := range dump.Workers {
		limits := m.workers[w.Name]
		require.True(t, used[w.Name].Fits(limits.Capacity), "%s uses %+v of %+v", w.Name, used[w.Name], limits.Capacity)
		require.LessOrEqual(t, slots[w.Name], limits.Slots)
		require.LessOrEqual(t, connections[w.Name], limits.Connections)
		// Tables[7] is the reservations. Without any, the free resources must match
		// exactly.
		if dump.Tables[7].Used == 0 {
			free := limits.Capacity.Sub(used[w.Name])
			require.Equal(t, free, workload.Resources{MilliCPU: w.FreeMilliCPU, MemoryMB: w.FreeMemoryMB, Accelerators: w.FreeAccelerators})
			require.EqualValues(t, limits.Slots-slots[w.Name], w.FreeSlots)
			require.EqualValues(t, limits.Connections-connections[w.Name], w.FreeConnections)
		}
	}
}

func newModel() *model {
	m := &model{engine: placement.New(placement.Options{}), now: start, workers: map[string]placement.Worker{}, leaving: map[string]bool{},
		waiting: map[placement.TaskID]placement.Task{}, running: map[placement.TaskID]placement.Decision{}}
	m.engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{
		{Name: "urgent", Urgency: 9, Ceiling: 0.9, Preemption: placement.VerbStop},
		{Name: "steady", Urgency: 1, Guaranteed: 0.4, Preemption: placement.VerbThrottle},
		{Name: "batch", Guaranteed: 0.2, Preemption: placement.VerbCheckpoint}}})
	return m
}

// Guards against overcommitted workers, tasks that wait and run at once, lost
// tasks, partly started gangs and wrong free resources, after each step of
// random sequences of calls.
func TestInvariantsAfterEachStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		// Actions are drawn with equal probability, so those listed twice are
		// drawn more often.
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "enqueue": m.enqueue, "enqueue more": m.enqueue, "cancel": m.cancel, "end": m.end,
			"schedule": m.schedule, "schedule more": m.schedule, "workers": m.changeWorkers, "reserve": m.reserve,
		})
	})
}

// Guards against a flood of tasks that keeps a kind below its guarantee, for
// random sizes, urgencies and guarantees. Within 3 s the kind has to get the
// tasks that fit its guarantee.
func TestGuaranteeHoldsInAnyFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(2, 20).Draw(t, "workers")
		guaranteed := float64(rapid.IntRange(1, 9).Draw(t, "tenths")) / 10
		engine := withWorkers(placement.Options{}, workers, 0)
		engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{
			{Name: "flood", Urgency: rapid.IntRange(-5, 5).Draw(t, "urgency"), Preemption: placement.VerbCheckpoint},
			{Name: "steady", Guaranteed: guaranteed}}})
		flood, steady := newTask("", "flood"), newTask("", "steady")
		steady.RunTime = time.Hour
		flood.RunTime = time.Duration(rapid.IntRange(0, 100).Draw(t, "run time")) * time.Second
		flood.Resources.MilliCPU = rapid.Int64Range(500, 4000).Draw(t, "flood cpu")
		steady.Resources.MilliCPU = rapid.Int64Range(500, 2000).Draw(t, "steady cpu")
		sim := newSimulation(engine)
		enqueueMany(t, engine, start, 3000, "flood", flood)
		sim.step()
		enqueueMany(t, engine, sim.now, 8*workers, "steady", steady)
		for range 300 {
			sim.step()
		}
		require.GreaterOrEqual(t, sim.runningByKind["steady"], int(guaranteed*float64(8*workers)+1e-9))
		require.Positive(t, sim.runningByKind["flood"]+sim.runningByKind["steady"])
	})
}

// Guards against decisions that depend on the iteration order of a map: the
// same calls on two engines have to give the same decisions.
func TestSameCallsGiveSameDecisions(t *testing.T) {
	run := func(seed int) (all []placement.Decision) {
		engine := withWorkers(placement.Options{}, 5, 3)
		engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{{Name: "kind-1", Guaranteed: 0.5}, {Name: "kind-2", Preemption: placement.VerbStop}}})
		for i := range 400 {
			task := newTask(fmt.Sprint("task-", i), fmt.Sprint("kind-", i*seed%5))
			task.Team, task.Service = fmt.Sprint("team-", i%7), i%11 == 0
			task.Resources.MilliCPU = int64(500 + i*seed%37*100)
			require.Nil(t, engine.Enqueue(start, task))
			if i%10 == 0 {
				all = append(all, engine.Schedule(start.Add(time.Duration(i)*time.Millisecond), 20)...)
			}
			if i%15 == 0 {
				engine.TaskEnded(start, all[i/15].Task.ID, placement.Completed)
			}
		}
		return all
	}
	for seed := range 5 {
		require.Equal(t, run(seed+1), run(seed+1))
	}
}
