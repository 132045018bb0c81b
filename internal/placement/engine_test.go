package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func plainWorker(i int) placement.Worker {
	return placement.Worker{Name: fmt.Sprintf("plain-%03d", i), Rack: fmt.Sprint("rack-", i/5), FailureDomain: fmt.Sprint("domain-", i/15),
		Capacity: workload.Resources{MilliCPU: 16000, MemoryMB: 32000}, Slots: 8, Connections: 64}
}

func acceleratorWorker(i int) placement.Worker {
	return placement.Worker{Name: fmt.Sprintf("accelerator-%03d", i), Rack: fmt.Sprint("gpu-rack-", i/3), FailureDomain: fmt.Sprint("domain-", i/9),
		Capacity: workload.Resources{MilliCPU: 128000, MemoryMB: 256000, Accelerators: 8}, Slots: 8, Connections: 64}
}

func newTask(key string, kind string) placement.Task {
	return placement.Task{ID: placement.TaskID{Key: workload.Key(key)}, Team: "team", Kind: kind, EnqueuedAt: start,
		Resources: workload.Resources{MilliCPU: 2000, MemoryMB: 4000}, RunTime: time.Second}
}

func withWorkers(options placement.Options, plain, accelerators int) *placement.Engine {
	engine := placement.New(options)
	for i := range plain {
		engine.AddWorker(start, plainWorker(i), nil)
	}
	for i := range accelerators {
		engine.AddWorker(start, acceleratorWorker(i), nil)
	}
	return engine
}

func enqueueMany(t require.TestingT, engine *placement.Engine, now time.Time, count int, prefix string, template placement.Task) {
	for i := range count {
		template.ID.Key = workload.Key(fmt.Sprintf("%s-%06d", prefix, i))
		require.Nil(t, engine.Enqueue(now, template))
	}
}

func enqueueGang(t require.TestingT, engine *placement.Engine, now time.Time, size int, template placement.Task) {
	template.GangSize = size
	for i := range size {
		template.ID.Index = i
		require.Nil(t, engine.Enqueue(now, template))
	}
}

func starts(decisions []placement.Decision) []placement.Decision {
	var started []placement.Decision
	for _, d := range decisions {
		if d.Verb == placement.VerbStart {
			started = append(started, d)
		}
	}
	return started
}

// Guards against accepting tasks that could never leave the queue or would
// corrupt the account of free resources.
func TestEnqueueRejects(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*placement.Task)
		code   workload.Code
	}{
		"negative resources":  {func(task *placement.Task) { task.Resources.MilliCPU = -1 }, workload.CodeBadRequest},
		"no key":              {func(task *placement.Task) { task.ID.Key = "" }, workload.CodeBadRequest},
		"index outside gang":  {func(task *placement.Task) { task.GangSize, task.ID.Index = 2, 2 }, workload.CodeBadRequest},
		"other gang size":     {func(task *placement.Task) { task.ID.Key, task.ID.Index, task.GangSize = "gang", 1, 3 }, workload.CodeBadRequest},
		"same task again":     {func(task *placement.Task) { task.ID.Key = "known" }, workload.CodeKeyReused},
		"start-by has passed": {func(task *placement.Task) { task.StartBy = start.Add(-1) }, workload.CodeTooLate},
		"deadline has passed": {func(task *placement.Task) { task.Kind, task.EnqueuedAt = "with deadline", start.Add(-time.Hour) }, workload.CodeTooLate},
		"queue is full":       {func(task *placement.Task) { task.Kind = "bounded" }, workload.CodeQueueFull},
	} {
		t.Run(name, func(t *testing.T) {
			engine := withWorkers(placement.Options{}, 1, 0)
			engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{{Name: "bounded", QueueBound: 1}, {Name: "with deadline", Deadline: time.Minute}}})
			gang := newTask("gang", "kind")
			gang.GangSize = 2
			for _, task := range []placement.Task{newTask("known", "kind"), newTask("first", "bounded"), gang} {
				require.Nil(t, engine.Enqueue(start, task))
			}
			task := newTask("new", "kind")
			test.change(&task)
			rejection := engine.Enqueue(start, task)
			require.NotNil(t, rejection)
			require.Equal(t, test.code, rejection.Code)
		})
	}
}

// Guards against starting a task after its start-by time, dropping it without a
// decision, and expiring it early, with waits of less and of more than one
// revolution of the timing wheel.
func TestStartByExpires(t *testing.T) {
	for name, wait := range map[string]time.Duration{"now": 0, "short": 20 * time.Millisecond, "several revolutions": 5 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			engine := placement.New(placement.Options{})
			task := newTask("task", "kind")
			task.StartBy = start.Add(wait)
			require.Nil(t, engine.Enqueue(start, task))
			for at := time.Duration(0); at <= wait; at += 10 * time.Millisecond {
				require.Empty(t, engine.Schedule(start.Add(at), 10))
			}
			decisions := engine.Schedule(start.Add(wait+time.Millisecond), 10)
			require.Len(t, decisions, 1)
			require.Equal(t, placement.VerbExpire, decisions[0].Verb)
			require.False(t, engine.Cancel(task.ID))
		})
	}
}

// Guards against inexact free resources after a session opens on a worker with
// running tasks, also when these exceed its capacity, and against a task that
// is running and waiting at the same time.
func TestAddWorkerAllocatesListedTasks(t *testing.T) {
	for name, test := range map[string]struct{ listed, startable int }{
		"empty": {0, 8}, "half": {4, 4}, "full": {8, 0}, "more than its slots": {9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			engine := placement.New(placement.Options{})
			enqueueMany(t, engine, start, 20, "task", newTask("", "kind"))
			var running []placement.Running
			for i := range test.listed {
				running = append(running, placement.Running{Task: newTask(fmt.Sprintf("task-%06d", i), "kind"), StartedAt: start})
			}
			engine.AddWorker(start, plainWorker(0), running)
			require.Equal(t, 20-test.listed, engine.Summary(start).Waiting)
			require.Len(t, starts(engine.Schedule(start, 100)), test.startable)
			for i := range test.listed {
				for range 2 { // The second call must have no effect.
					engine.TaskEnded(start, placement.TaskID{Key: workload.Key(fmt.Sprintf("task-%06d", i))}, placement.Completed)
				}
			}
			require.Len(t, starts(engine.Schedule(start, 100)), min(test.listed, 8-test.startable))
			require.Len(t, engine.RemoveWorker(start, "plain-000"), 8)
		})
	}
}

// Guards against placing tasks on workers that are leaving or excluded.
func TestLeavingAndExcludedWorkersGetNoTasks(t *testing.T) {
	excluded := map[string]bool{"plain-000": true}
	engine := withWorkers(placement.Options{Excluded: func(name string) bool { return excluded[name] }}, 2, 0)
	engine.SetLeaving("plain-001", true)
	enqueueMany(t, engine, start, 1, "task", newTask("", "kind"))
	require.Empty(t, engine.Schedule(start, 10))
	excluded["plain-000"] = false
	engine.ExclusionChanged("plain-000")
	require.Len(t, engine.Schedule(start, 10), 1)
}

// Guards against placing other tasks on workers whose accelerators are needed,
// which makes the accelerators unusable, and against never starting other tasks
// that fit nowhere else.
func TestAcceleratorsStayUsable(t *testing.T) {
	engine := withWorkers(placement.Options{}, 1, 1)
	accelerated := newTask("accelerated", "kind")
	accelerated.Resources.Accelerators = 1
	require.Nil(t, engine.Enqueue(start, accelerated))
	require.Equal(t, "accelerator-000", engine.Schedule(start, 1)[0].Worker)
	long := newTask("", "kind")
	long.RunTime = time.Hour
	enqueueMany(t, engine, start, 20, "plain", long)
	for _, d := range engine.Schedule(start, 100) {
		require.Equal(t, "plain-000", d.Worker)
	}
	large := newTask("large", "kind")
	large.Resources.MilliCPU = 64000
	require.Nil(t, engine.Enqueue(start, large))
	require.Equal(t, "accelerator-000", engine.Schedule(start, 1)[0].Worker)
}

// Guards against services that share a rack or failure domain while others are
// free, and against small tasks that are spread over many workers.
func TestSpreadAndPacking(t *testing.T) {
	for name, test := range map[string]struct {
		service        bool
		tasks, workers int
	}{"services": {true, 6, 6}, "tasks": {false, 16, 2}} {
		t.Run(name, func(t *testing.T) {
			engine := withWorkers(placement.Options{}, 30, 0)
			task := newTask("", "kind")
			task.Service = test.service
			enqueueMany(t, engine, start, test.tasks, "task", task)
			workers, domains, racks := map[string]int{}, map[string]int{}, map[string]int{}
			for _, d := range engine.Schedule(start, 100) {
				var i int
				_, err := fmt.Sscanf(d.Worker, "plain-%d", &i)
				require.NoError(t, err)
				workers[d.Worker]++
				domains[plainWorker(i).FailureDomain]++
				racks[plainWorker(i).Rack]++
			}
			require.Len(t, workers, test.workers)
			if test.service {
				require.Len(t, racks, 6)
				require.Equal(t, map[string]int{"domain-0": 3, "domain-1": 3}, domains)
			}
		})
	}
}

// Guards against a burst of cancellations that leaves tasks in the queue or
// prevents the next call of Schedule from starting the others.
func TestManyCancellations(t *testing.T) {
	engine := withWorkers(placement.Options{}, 10, 0)
	enqueueMany(t, engine, start, 50_000, "cancelled", newTask("", "kind"))
	enqueueMany(t, engine, start, 10, "kept", newTask("", "kind"))
	for i := range 50_000 {
		require.True(t, engine.Cancel(placement.TaskID{Key: workload.Key(fmt.Sprintf("cancelled-%06d", i))}))
	}
	require.Len(t, starts(engine.Schedule(start, 100)), 10)
	require.Zero(t, engine.Summary(start).Waiting)
}
