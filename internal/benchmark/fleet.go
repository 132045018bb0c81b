package benchmark

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// startTime is the virtual time at which every scenario begins.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Size is the size of a scenario.
type Size struct {
	// Plain and Accelerators count the workers of either type; a worker has 8
	// accelerators or none.
	Plain, Accelerators int
	// Seconds is the length of a scenario's shortest phase in virtual time.
	Seconds int
	// Cycles is the number of timed turns in the measurements of cost.
	Cycles int
}

func (s Size) workers() []placement.Worker {
	var workers []placement.Worker
	for i := range s.Plain {
		workers = append(workers, placement.Worker{Name: fmt.Sprintf("plain-%03d", i), Rack: fmt.Sprint("rack-", i/5),
			FailureDomain: fmt.Sprint("domain-", i/5%7), Capacity: workload.Resources{MilliCPU: 16_000, MemoryMB: 32_000}, Slots: 8, Connections: 64})
	}
	for i := range s.Accelerators {
		workers = append(workers, placement.Worker{Name: fmt.Sprintf("accelerator-%03d", i), Rack: fmt.Sprint("accelerator-rack-", i/3),
			FailureDomain: fmt.Sprint("domain-", i/3%7), Capacity: workload.Resources{MilliCPU: 128_000, MemoryMB: 256_000, Accelerators: 8},
			Slots: 8, Connections: 64})
	}
	return workers
}

func (s Size) slots() int { return 8 * (s.Plain + s.Accelerators) }

// vm is one fake worker.
type vm struct {
	placement.Worker
	held        workload.Resources
	tasks       int
	connections int
	leaving     bool
	// use is what the tasks really use, which may be more than they were given.
	use workload.Resources
}

// fleet is all fake workers. It records every breach of an invariant.
type fleet struct {
	order  []*vm
	byName map[string]*vm
	// at holds the running tasks, whatever their attempt, and their workers.
	at       map[placement.TaskID]*vm
	breaches []string
	total    workload.Resources
	slots    int
	held     workload.Resources
	tasks    int
}

func newFleet(workers []placement.Worker) *fleet {
	f := &fleet{byName: map[string]*vm{}, at: map[placement.TaskID]*vm{}}
	for _, worker := range workers {
		v := &vm{Worker: worker}
		f.order = append(f.order, v)
		f.byName[worker.Name] = v
		f.total, f.slots = f.total.Add(worker.Capacity), f.slots+worker.Slots
	}
	return f
}

// maxBreaches bounds the breaches that are kept.
const maxBreaches = 20

func (f *fleet) breach(format string, arguments ...any) {
	if len(f.breaches) < maxBreaches {
		f.breaches = append(f.breaches, fmt.Sprintf(format, arguments...))
	}
}

func anyAttempt(id placement.TaskID) placement.TaskID {
	id.Attempt = 0
	return id
}

// where returns the worker that runs the task, or nil.
func (f *fleet) where(task *placement.Task) *vm { return f.at[anyAttempt(task.ID)] }

// start takes a task, as a worker would, and checks that it may.
func (f *fleet) start(now time.Time, task *placement.Task, worker string) *vm {
	v := f.byName[worker]
	switch {
	case v == nil:
		f.breach("start of %v on unknown worker %q", task.ID, worker)
		return nil
	case f.where(task) != nil:
		f.breach("%v runs on %s and starts on %s", task.ID, f.where(task).Name, worker)
		return nil
	case v.leaving:
		f.breach("start of %v on leaving worker %s", task.ID, worker)
	case !task.StartBy.IsZero() && now.After(task.StartBy):
		f.breach("%v starts %s after its start-by time", task.ID, now.Sub(task.StartBy))
	}
	f.change(v, task, 1)
	if !v.held.Fits(v.Capacity) || v.tasks > v.Slots || v.connections > v.Connections {
		f.breach("%s holds %+v in %d tasks with %d connections", worker, v.held, v.tasks, v.connections)
	}
	f.at[anyAttempt(task.ID)] = v
	return v
}

func (f *fleet) change(v *vm, task *placement.Task, sign int) {
	v.held = v.held.Add(task.Resources.Times(int64(sign)))
	v.tasks += sign
	v.connections += sign * task.Connections
	f.held, f.tasks = f.held.Add(task.Resources.Times(int64(sign))), f.tasks+sign
}

func (f *fleet) end(task *placement.Task) {
	if v := f.where(task); v != nil {
		f.change(v, task, -1)
		delete(f.at, anyAttempt(task.ID))
	}
}

// scarcest returns the allocated share of the resource that is allocated most.
func (f *fleet) scarcest() float64 {
	share := float64(f.tasks) / float64(max(f.slots, 1))
	for _, d := range [][2]int64{{f.held.MilliCPU, f.total.MilliCPU}, {f.held.MemoryMB, f.total.MemoryMB}, {f.held.Accelerators, f.total.Accelerators}} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// stranded returns the share of all accelerators that are idle and lack their
// part of the worker's other room.
func (f *fleet) stranded() float64 {
	count := int64(0)
	for _, v := range f.order {
		if total := v.Capacity.Accelerators; total > 0 {
			idle, free := total-v.held.Accelerators, v.Capacity.Sub(v.held)
			usable := min(free.MilliCPU*total/v.Capacity.MilliCPU, free.MemoryMB*total/v.Capacity.MemoryMB,
				int64(v.Slots-v.tasks)*total/int64(v.Slots))
			count += max(idle-max(usable, 0), 0)
		}
	}
	return float64(count) / float64(max(f.total.Accelerators, 1))
}
