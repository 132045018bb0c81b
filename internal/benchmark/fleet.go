package benchmark

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// startTime is the virtual time at which every scenario begins.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Size is the number of workers and the lengths of scenarios and cost measurements.
type Size struct {
	// Plain is the number of workers without accelerators, Accelerators the number
	// of workers with 8 accelerators each.
	Plain, Accelerators int
	// Seconds is the length of a scenario's shortest phase in seconds of virtual
	// time.
	Seconds int
	// Cycles is the number of placement cycles timed in one round of a cost
	// measurement.
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

// vm is one simulated worker.
type vm struct {
	placement.Worker
	allocated       workload.Resources
	tasks           int
	usedConnections int
	leaving         bool
	// usage is what the tasks actually use, which may exceed their allocation.
	usage workload.Resources
}

// fleet is the set of simulated workers. It records violations of invariants.
type fleet struct {
	vms    []*vm
	byName map[string]*vm
	// vmByTask maps running tasks, by ID without the attempt, to their workers.
	vmByTask   map[placement.TaskID]*vm
	violations []string
	total      workload.Resources
	slots      int
	allocated  workload.Resources
	tasks      int
}

func newFleet(workers []placement.Worker) *fleet {
	f := &fleet{byName: map[string]*vm{}, vmByTask: map[placement.TaskID]*vm{}}
	for _, worker := range workers {
		v := &vm{Worker: worker}
		f.vms = append(f.vms, v)
		f.byName[worker.Name] = v
		f.total, f.slots = f.total.Add(worker.Capacity), f.slots+worker.Slots
	}
	return f
}

// maxViolations bounds the number of violations that a fleet records.
const maxViolations = 20

func (f *fleet) recordViolation(format string, arguments ...any) {
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, fmt.Sprintf(format, arguments...))
	}
}

func withoutAttempt(id placement.TaskID) placement.TaskID {
	id.Attempt = 0
	return id
}

// vmOf returns the worker that runs any attempt of the task, or nil.
func (f *fleet) vmOf(task *placement.Task) *vm { return f.vmByTask[withoutAttempt(task.ID)] }

// start allocates a task on a worker and checks the invariants. It returns nil if
// the worker is unknown or the task already runs.
func (f *fleet) start(now time.Time, task *placement.Task, worker string) *vm {
	v := f.byName[worker]
	switch {
	case v == nil:
		f.recordViolation("start of %v on unknown worker %q", task.ID, worker)
		return nil
	case f.vmOf(task) != nil:
		f.recordViolation("%v runs on %s and starts on %s", task.ID, f.vmOf(task).Name, worker)
		return nil
	case v.leaving:
		f.recordViolation("start of %v on leaving worker %s", task.ID, worker)
	case !task.StartBy.IsZero() && now.After(task.StartBy):
		f.recordViolation("%v starts %s after its start-by time", task.ID, now.Sub(task.StartBy))
	}
	f.adjust(v, task, 1)
	if !v.allocated.Fits(v.Capacity) || v.tasks > v.Slots || v.usedConnections > v.Connections {
		f.recordViolation("%s holds %+v in %d tasks with %d connections", worker, v.allocated, v.tasks, v.usedConnections)
	}
	f.vmByTask[withoutAttempt(task.ID)] = v
	return v
}

// adjust allocates the task's resources for sign 1 and releases them for sign -1.
func (f *fleet) adjust(v *vm, task *placement.Task, sign int) {
	v.allocated = v.allocated.Add(task.Resources.Times(int64(sign)))
	v.tasks += sign
	v.usedConnections += sign * task.Connections
	f.allocated, f.tasks = f.allocated.Add(task.Resources.Times(int64(sign))), f.tasks+sign
}

// end releases the allocation of a task, if it runs.
func (f *fleet) end(task *placement.Task) {
	if v := f.vmOf(task); v != nil {
		f.adjust(v, task, -1)
		delete(f.vmByTask, withoutAttempt(task.ID))
	}
}

// scarcestShare returns the highest allocated share among slots, processors,
// memory and accelerators, from 0 to 1.
func (f *fleet) scarcestShare() float64 {
	share := float64(f.tasks) / float64(max(f.slots, 1))
	for _, d := range [][2]int64{{f.allocated.MilliCPU, f.total.MilliCPU}, {f.allocated.MemoryMB, f.total.MemoryMB}, {f.allocated.Accelerators, f.total.Accelerators}} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// strandedShare returns the share of all accelerators, from 0 to 1, that are idle
// but unusable because their worker lacks a proportional part of free processors,
// memory or slots.
func (f *fleet) strandedShare() float64 {
	count := int64(0)
	for _, v := range f.vms {
		if total := v.Capacity.Accelerators; total > 0 {
			idle, free := total-v.allocated.Accelerators, v.Capacity.Sub(v.allocated)
			usable := min(free.MilliCPU*total/v.Capacity.MilliCPU, free.MemoryMB*total/v.Capacity.MemoryMB,
				int64(v.Slots-v.tasks)*total/int64(v.Slots))
			count += max(idle-max(usable, 0), 0)
		}
	}
	return float64(count) / float64(max(f.total.Accelerators, 1))
}
