package placement

import (
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Upper bounds of the engine's tables, in entries. Dump reports each with its
// current size.
const (
	// MaxWaiting keeps the waiting tasks of one engine below 200 MB, at up to 1
	// KB for each.
	MaxWaiting = 200_000
	// DefaultQueueBound is the largest number of waiting tasks of a kind whose
	// policy sets no bound.
	DefaultQueueBound = 100_000
	MaxWorkers        = 8192
	MaxKinds          = 256
	MaxTeams          = 1024
	MaxShapes         = 512
	MaxReservations   = 1024
	MaxClaims         = 64
)

// Engine places tasks on the workers of one owner. It is not safe for
// concurrent use.
type Engine struct {
	options Options
	policy  Policy

	workers map[string]*workerState
	index   workerIndex
	// placed holds the newest allocation of each task.
	placed map[TaskID]*allocation
	// capacity and free are totals over the workers that are not leaving.
	capacity, free resourceVector
	// largestWithoutAccelerators is the largest capacity in each dimension
	// among the workers without accelerators.
	largestWithoutAccelerators resourceVector

	waiting  map[TaskID]*entry
	sequence uint64 // of the newest queue entry
	kinds    []*kindState
	teams    map[string]*teamState
	shapes   shapeTable
	expiry   expiryWheel
	gangs    map[gangKey]*gang
	// gangHead and gangTail are the ends of the list of complete gangs, oldest
	// first.
	gangHead, gangTail *gang

	// generation counts the changes after which tasks that could not start are
	// tried again. Gangs and queues store the generation in which they last
	// failed.
	generation uint64
	// quotaGeneration counts the changes of policy and capacity, on which the
	// quotas of the kinds depend.
	quotaGeneration uint64
	// lastBlockState is the state under which the blocked queues were blocked.
	// All queues are made ready when it changes.
	lastBlockState blockState
	// freedWorkers lists the workers on which resources were freed since
	// markStaleFailures last ran. retryWorkers lists those with which stale
	// search failures are compared.
	freedWorkers []*workerState
	retryWorkers []*workerState
	// unusedGuarantees is the unused part of the guarantees of all kinds with
	// recent work. expectedNeed is the part of it that these kinds are expected
	// to use.
	unusedGuarantees, expectedNeed resourceVector
	claims                         []*claim
	// claimCursor is the index of the worker at which the last search for a
	// claim ended.
	claimCursor int
	gangPlan    *gangPlan

	reservations []*reservation

	entryPool      pool[entry]
	allocationPool pool[allocation]

	waitingAcceleratorTasks int
	lastAcceleratorWorkAt   time.Time
}

// New returns an engine without workers.
func New(options Options) *Engine {
	return &Engine{
		options:    options,
		workers:    map[string]*workerState{},
		placed:     map[TaskID]*allocation{},
		waiting:    map[TaskID]*entry{},
		teams:      map[string]*teamState{},
		gangs:      map[gangKey]*gang{},
		generation: 1,
	}
}

// runTime returns the expected run time of a task, or 0 if it is not known.
func (e *Engine) runTime(task *Task) time.Duration {
	if e.options.Estimate != nil {
		return max(e.options.Estimate(*task), 0)
	}
	return task.RunTime
}

// ReportUsage takes the measured usage of a running task. It has no effect:
// reports lag, so the task keeps the resources that it was placed with.
func (e *Engine) ReportUsage(time.Time, TaskID, workload.Resources) {}

// NeverRunnable returns the reason why the task could not run on this engine's
// workers even if they were idle, or an empty string if it could.
func (e *Engine) NeverRunnable(task Task) string {
	demand, need := taskDemand(&task), int64(max(task.GangSize, 1))
	found := int64(0)
	for _, w := range e.index.leaves {
		if !w.leaving {
			found += demand.copies(&w.capacity, need)
		}
	}
	switch {
	case found == 0:
		return "no worker is large enough"
	case found < need:
		return "the workers are too few for the whole gang"
	}
	return ""
}

// Summary returns totals over the workers that are not leaving, and the number
// of waiting tasks.
func (e *Engine) Summary(time.Time) Summary {
	summary := Summary{Waiting: len(e.waiting), Capacity: e.capacity.resources()}
	var free, largestFree, largestTotal resourceVector
	for _, w := range e.index.leaves {
		if w.leaving {
			continue
		}
		summary.Workers++
		workerFree := w.free.maximum(resourceVector{})
		free = free.plus(workerFree)
		largestFree, largestTotal = largestFree.maximum(workerFree), largestTotal.maximum(w.capacity)
	}
	summary.FreeSlots, summary.Free = int(free[dimSlots]), free.resources()
	summary.LargestFree, summary.LargestTotal = largestFree.resources(), largestTotal.resources()
	return summary
}

// capacityChanged recomputes what depends on the total capacity of the workers.
func (e *Engine) capacityChanged() {
	e.largestWithoutAccelerators = resourceVector{}
	for _, w := range e.index.leaves {
		if !w.leaving && w.capacity[dimAccelerators] == 0 {
			e.largestWithoutAccelerators = e.largestWithoutAccelerators.maximum(w.capacity)
		}
	}
	for _, k := range e.kinds {
		e.updateKind(k)
	}
	for _, t := range e.teams { // The teams are independent, so the order has no effect.
		t.weightedShare = t.used.dominantShare(&e.capacity) / t.weight
	}
	e.generation++
	e.quotaGeneration++
}
