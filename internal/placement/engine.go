package placement

import (
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Bounds of the engine's tables. Dump reports each with its present use.
const (
	// MaxWaiting keeps the waiting tasks of one engine below 200 MB at the 1 KB
	// that a waiting task may use.
	MaxWaiting = 200_000
	// DefaultQueueBound is the queue bound of a kind whose policy sets none.
	DefaultQueueBound = 100_000
	MaxWorkers        = 8192
	MaxKinds          = 256
	MaxTeams          = 1024
	MaxShapes         = 512
	MaxReservations   = 1024
	MaxClaims         = 64
)

// Engine decides placements for the workers of one owner. It is not safe for
// use by several goroutines.
type Engine struct {
	options Options
	policy  Policy

	workers map[string]*workerState
	index   workerIndex
	place   map[TaskID]*runningTask
	// capacity and free are sums over the workers that are not leaving.
	capacity, free amount
	// largestPlain is the largest capacity, per dimension, of the workers
	// without accelerators.
	largestPlain amount

	waiting  map[TaskID]*entry
	sequence uint64
	kinds    []*kindState
	teams    map[string]*teamState
	shapes   shapeTable
	expiry   expiryWheel
	gangs    map[gangKey]*gang
	// gangHead and gangTail list the complete gangs from the oldest on.
	gangHead, gangTail *gang

	// wake counts the events after which work that could not start is worth
	// another look.
	wake uint64
	// blockEpoch counts the changes of policy and capacity; blocksSeen is the
	// state for which queues are blocked.
	blockEpoch uint64
	blocksSeen blockState
	freed      []*workerState
	// retryOn lists the workers freed before this call of Schedule.
	retryOn []*workerState
	// reserved is the unused part of all guarantees of kinds with recent work.
	// expected is the part of it that those kinds are expected to need.
	reserved, expected amount
	claims             []*claim
	// claimCursor is the worker at which the last search for a claim ended.
	claimCursor int
	hold        *hold

	reservations []*reservation

	entries reused[entry]
	ended   reused[runningTask]

	acceleratorsWaiting int
	acceleratorWork     time.Time
}

// New returns an engine without workers.
func New(options Options) *Engine {
	return &Engine{
		options: options,
		workers: map[string]*workerState{},
		place:   map[TaskID]*runningTask{},
		waiting: map[TaskID]*entry{},
		teams:   map[string]*teamState{},
		gangs:   map[gangKey]*gang{},
		wake:    1,
	}
}

// runTime returns the expected run time of a task; 0 if it is not known.
func (e *Engine) runTime(task *Task) time.Duration {
	if e.options.Estimate != nil {
		return max(e.options.Estimate(*task), 0)
	}
	return task.RunTime
}

// ReportUsage records what a running task was seen to use. Reports lag, so
// they never change the room that the ledger holds for the task.
func (e *Engine) ReportUsage(time.Time, TaskID, workload.Resources) {}

// NeverRunnable says why the task can't run on this engine's workers even if
// they were empty; it is empty if the task could run.
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

// Summary returns the engine's present free room.
func (e *Engine) Summary(time.Time) Summary {
	summary := Summary{Waiting: len(e.waiting), Capacity: e.capacity.resources()}
	var free, largestFree, largestTotal amount
	for _, w := range e.index.leaves {
		if w.leaving {
			continue
		}
		summary.Workers++
		room := w.free.highest(amount{})
		free = free.plus(room)
		largestFree, largestTotal = largestFree.highest(room), largestTotal.highest(w.capacity)
	}
	summary.FreeSlots, summary.Free = int(free[dimSlots]), free.resources()
	summary.LargestFree, summary.LargestTotal = largestFree.resources(), largestTotal.resources()
	return summary
}

// capacityChanged recomputes what depends on the sum of the workers.
func (e *Engine) capacityChanged() {
	e.largestPlain = amount{}
	for _, w := range e.index.leaves {
		if !w.leaving && w.capacity[dimAccelerators] == 0 {
			e.largestPlain = e.largestPlain.highest(w.capacity)
		}
	}
	for _, k := range e.kinds {
		e.kindChanged(k)
	}
	for _, t := range e.teams { // Each team is changed on its own; the order has no effect.
		t.load = t.used.dominantShare(&e.capacity) / t.weight
	}
	e.wake++
	e.blockEpoch++
}
