package placement

import (
	"math"
	"math/bits"
	"time"
)

// runTimeBits is the number of significant bits by which run times are
// distinguished: 4 bits give steps of 6 to 12 percent.
const runTimeBits = 4

// shapeKey identifies tasks that fit the same workers. It includes the run
// time, because only work that ends in time may backfill before the start of a
// gang, and a long task must not block a short one behind it in the queue.
type shapeKey struct {
	demand    resourceVector
	service   bool
	runTimeMS int64
	gangSize  int
}

// searchMode distinguishes the failures of searches that follow different
// rules.
type searchMode int

const (
	modeWithinGuarantee searchMode = 1 << iota
	modeKeepAccelerators
	searchModes = 1 << iota
)

// searchFailure is a search that found no worker.
type searchFailure struct {
	recorded bool
	demand   resourceVector
	runTime  time.Duration
	// stale is set when only the workers in Engine.retryWorkers may fit the
	// demand now.
	stale bool
}

// shape is shared by all queues whose tasks fit the same workers.
type shape struct {
	key      shapeKey
	position int // index in shapeTable.list
	queues   []*shapeQueue
	failures [searchModes]searchFailure
}

// unblockQueues makes the shape's queues ready, after a failure was cleared or
// replaced.
func (s *shape) unblockQueues() {
	for _, queue := range s.queues {
		queue.teamQueue.unblock(queue)
	}
}

// blockState is the state that decides whether a queue of a kind without a
// guarantee is blocked, apart from the head of the queue and the failures of
// its shape.
type blockState struct {
	// quotaGeneration changes with the policy and the capacity.
	quotaGeneration uint64
	// acceleratorTasksWaiting and recentAcceleratorWork decide whether other work
	// must keep accelerators usable.
	acceleratorTasksWaiting, recentAcceleratorWork bool
}

// unblockOnChange makes all queues ready when the state has changed.
func (e *Engine) unblockOnChange(now time.Time) {
	state := blockState{e.quotaGeneration, e.waitingAcceleratorTasks > 0, now.Sub(e.lastAcceleratorWorkAt) <= acceleratorIdleTimeout}
	if state != e.lastBlockState {
		e.lastBlockState = state
		for _, s := range e.shapes.list {
			s.unblockQueues()
		}
	}
}

// shapeTable is the shapes of the waiting tasks.
type shapeTable struct {
	byKey map[shapeKey]*shape
	list  []*shape
}

// shapeOf returns the shape of the entry, which it adds if it is new. When the
// table holds MaxShapes/2 shapes, the keys of new shapes are rounded up to powers
// of two. The last two places are kept for shared shapes: one for all other single
// tasks and one for all other gangs. Results stay exact, because each search uses
// the demand of the task itself.
func (t *shapeTable) shapeOf(en *entry) *shape {
	key := shapeKey{demand: taskDemand(&en.task), service: en.task.Service, runTimeMS: en.runTime.Milliseconds()}
	// Clears all but the runTimeBits most significant bits.
	key.runTimeMS &= -1 << max(bits.Len64(uint64(key.runTimeMS))-runTimeBits, 0)
	if en.gang != nil {
		key.gangSize = en.gang.size
	}
	if t.byKey == nil {
		t.byKey = map[shapeKey]*shape{}
	}
	if s := t.byKey[key]; s != nil {
		return s
	}
	if len(t.list) >= MaxShapes/2 {
		key = key.rounded()
	}
	if t.byKey[key] == nil && len(t.list) >= MaxShapes-2 {
		key = shapeKey{runTimeMS: -1, gangSize: min(key.gangSize, 2)}
	}
	s := t.byKey[key]
	if s == nil {
		s = &shape{key: key, position: len(t.list)}
		t.byKey[key] = s
		t.list = append(t.list, s)
	}
	return s
}

func (k shapeKey) rounded() shapeKey {
	for d := range k.demand {
		if k.demand[d] > 0 {
			k.demand[d] = 1 << bits.Len64(uint64(k.demand[d]-1))
		}
	}
	k.runTimeMS = 1 << bits.Len64(uint64(k.runTimeMS))
	if k.gangSize > 0 {
		k.gangSize = 1 << bits.Len(uint(k.gangSize-1))
	}
	return k
}

// removeQueue removes a queue from its shape, and removes the shape if it has no
// queues left.
func (t *shapeTable) removeQueue(queue *shapeQueue) {
	s, lastQueue := queue.shape, len(queue.shape.queues)-1
	s.queues[queue.shapePosition] = s.queues[lastQueue]
	s.queues[queue.shapePosition].shapePosition = queue.shapePosition
	s.queues[lastQueue] = nil
	if s.queues = s.queues[:lastQueue]; lastQueue > 0 {
		return
	}
	last := t.list[len(t.list)-1]
	t.list[s.position], last.position = last, s.position
	t.list = t.list[:len(t.list)-1]
	delete(t.byKey, s.key)
}

// sortableRunTime returns the run time for comparisons: an unknown one counts
// as the longest.
func sortableRunTime(runTime time.Duration) time.Duration {
	if runTime <= 0 {
		return math.MaxInt64
	}
	return runTime
}

// failed reports whether a search that was at most as demanding has failed
// since resources were freed.
func (s *shape) failed(mode searchMode, demand *resourceVector, runTime time.Duration) bool {
	f := &s.failures[mode]
	return f.recorded && f.demand.fits(demand) && sortableRunTime(f.runTime) <= sortableRunTime(runTime)
}

func (s *shape) recordFailure(mode searchMode, demand resourceVector, runTime time.Duration) {
	f := searchFailure{recorded: true, demand: demand, runTime: runTime}
	if previous := &s.failures[mode]; previous.recorded && (previous.demand != demand || previous.runTime != runTime) {
		// The previous failure may have blocked queues that this one does not
		// apply to.
		s.unblockQueues()
	}
	s.failures[mode] = f
}

// maxRetryWorkers is the largest number of freed workers that a stale failure is
// compared with. When more workers were freed, a new search costs less than the
// comparison.
const maxRetryWorkers = 64

// markStaleFailures marks the failures whose demand may fit the freed workers as
// stale, or clears them if more than maxRetryWorkers workers were freed. The first
// time in a call of Schedule, it also clears the failures that are still stale from
// the previous call.
func (e *Engine) markStaleFailures(firstInCall bool) {
	if firstInCall {
		e.retryWorkers = e.retryWorkers[:0]
	}
	largestFree := unavailable
	for _, w := range e.freedWorkers {
		w.freed = false
		largestFree = largestFree.maximum(w.available())
	}
	e.retryWorkers = append(e.retryWorkers, e.freedWorkers...)
	e.freedWorkers = e.freedWorkers[:0]
	for _, s := range e.shapes.list {
		for mode := range s.failures {
			f := &s.failures[mode]
			if f.recorded && f.stale && (firstInCall || len(e.retryWorkers) > maxRetryWorkers) {
				// This failure may have blocked queues with larger demands.
				f.recorded = false
				s.unblockQueues()
				e.generation++
			}
			if f.recorded && f.demand.fits(&largestFree) {
				f.recorded, f.stale = len(e.retryWorkers) <= maxRetryWorkers, true
				s.unblockQueues()
				e.generation++
			}
		}
	}
}

// stillFails reports whether the demand fits none of the freed workers, in which
// case the failure holds until more resources are freed. If the demand fits one,
// a new search has to check whether a gang plan or an exclusion prevents its use.
func (e *Engine) stillFails(s *shape, mode searchMode, demand *resourceVector) bool {
	f := &s.failures[mode]
	if !f.stale {
		return true
	}
	for _, w := range e.retryWorkers {
		available := w.available()
		if demand.fits(&available) && (mode&modeKeepAccelerators == 0 || w.capacity[dimAccelerators] == 0 || leavesAcceleratorsUsable(w, demand)) {
			return false
		}
	}
	// The failure is stored for the smallest demand that is known to fail, so
	// it is confirmed only by an equal demand.
	f.stale = *demand != f.demand
	return true
}
