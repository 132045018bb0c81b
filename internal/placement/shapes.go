package placement

import (
	"math"
	"math/bits"
	"time"
)

// runTimeBits is the precision with which run times are told apart: 4 bits are
// steps of 6 to 12 percent.
const runTimeBits = 4

// shapeKey names tasks that fit the same workers. It includes the run time,
// because a gap before a gang's start admits only work that ends in time, and
// a long task must not stand in the queue before a short one.
type shapeKey struct {
	demand   amount
	service  bool
	runTime  int64
	gangSize int
}

// searchMode separates failures of searches that follow different rules.
type searchMode int

const (
	modeEntitled searchMode = 1 << iota
	modeKeepAccelerators
	searchModes = 1 << iota
)

// failure is a search that found no worker.
type failure struct {
	set     bool
	demand  amount
	runTime time.Duration
	// stale is set when only the workers in Engine.retryOn can have room now.
	stale bool
}

// shape is shared by all queues whose tasks fit the same workers.
type shape struct {
	key      shapeKey
	position int
	buckets  []*bucket
	failures [searchModes]failure
}

// unblock makes the shape's queues ready, after a failure was forgotten or
// replaced.
func (s *shape) unblock() {
	for _, b := range s.buckets {
		b.lane.unblock(b)
	}
}

// blockState is what decides, besides the shape's failures and the head, that
// a queue of a kind without a guarantee is blocked.
type blockState struct {
	// epoch counts the changes of policy and capacity.
	epoch uint64
	// acceleratorsWait and acceleratorWork decide whether accelerators are kept.
	acceleratorsWait, acceleratorWork bool
}

// renewBlocks makes all queues ready when the state has changed.
func (e *Engine) renewBlocks(now time.Time) {
	state := blockState{e.blockEpoch, e.acceleratorsWaiting > 0, now.Sub(e.acceleratorWork) <= acceleratorMemory}
	if state != e.blocksSeen {
		e.blocksSeen = state
		for _, s := range e.shapes.list {
			s.unblock()
		}
	}
}

// shapeTable holds the shapes of the waiting tasks.
type shapeTable struct {
	byKey map[shapeKey]*shape
	list  []*shape
}

// of returns the entry's shape. When half of the table is in use, new shapes
// are rounded up to powers of two; when it is full, they share one shape. A
// shared shape is still exact: each search uses the task's own demand.
func (t *shapeTable) of(en *entry) *shape {
	key := shapeKey{demand: taskDemand(&en.task), service: en.task.Service, runTime: en.runTime.Milliseconds()}
	key.runTime &= -1 << max(bits.Len64(uint64(key.runTime))-runTimeBits, 0)
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
		key = shapeKey{runTime: -1, gangSize: min(key.gangSize, 2)}
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
	k.runTime = 1 << bits.Len64(uint64(k.runTime))
	if k.gangSize > 0 {
		k.gangSize = 1 << bits.Len(uint(k.gangSize-1))
	}
	return k
}

// release removes a queue from its shape, and a shape without queues.
func (t *shapeTable) release(b *bucket) {
	s, end := b.shape, len(b.shape.buckets)-1
	s.buckets[b.shapePosition] = s.buckets[end]
	s.buckets[b.shapePosition].shapePosition = b.shapePosition
	s.buckets[end] = nil
	if s.buckets = s.buckets[:end]; end > 0 {
		return
	}
	last := t.list[len(t.list)-1]
	t.list[s.position], last.position = last, s.position
	t.list = t.list[:len(t.list)-1]
	delete(t.byKey, s.key)
}

// longest orders run times: an unknown one counts as the longest.
func longest(runTime time.Duration) time.Duration {
	if runTime <= 0 {
		return math.MaxInt64
	}
	return runTime
}

// failed reports whether a search at most as demanding has failed since room
// was freed.
func (s *shape) failed(mode searchMode, demand *amount, runTime time.Duration) bool {
	f := &s.failures[mode]
	return f.set && f.demand.fits(demand) && longest(f.runTime) <= longest(runTime)
}

func (s *shape) fail(mode searchMode, demand amount, runTime time.Duration) {
	f := failure{set: true, demand: demand, runTime: runTime}
	if was := &s.failures[mode]; was.set && (was.demand != demand || was.runTime != runTime) {
		s.unblock()
	}
	s.failures[mode] = f
}

// retryOnLimit is how many workers a stale failure is compared with at most;
// beyond it a search is cheaper.
const retryOnLimit = 64

// retryShapes makes the failures stale that the freed workers may have room
// for. The first time in a call of Schedule, stale failures that were not
// looked at since the call before are forgotten.
func (e *Engine) retryShapes(first bool) {
	if first {
		e.retryOn = e.retryOn[:0]
	}
	room := unavailable
	for _, w := range e.freed {
		w.freed = false
		room = room.highest(w.offered())
	}
	e.retryOn = append(e.retryOn, e.freed...)
	e.freed = e.freed[:0]
	for _, s := range e.shapes.list {
		for mode := range s.failures {
			f := &s.failures[mode]
			if f.set && f.stale && (first || len(e.retryOn) > retryOnLimit) {
				// Queues with larger demands may have been set aside by it.
				f.set = false
				s.unblock()
				e.wake++
			}
			if f.set && f.demand.fits(&room) {
				f.set, f.stale = len(e.retryOn) <= retryOnLimit, true
				s.unblock()
				e.wake++
			}
		}
	}
}

// stillFails reports whether none of the workers that were freed has room.
// Holds are left to the search. If none has, the failure holds until more room
// is freed.
func (e *Engine) stillFails(s *shape, mode searchMode, demand *amount) bool {
	f := &s.failures[mode]
	if !f.stale {
		return true
	}
	for _, w := range e.retryOn {
		offered := w.offered()
		if demand.fits(&offered) && (mode&modeKeepAccelerators == 0 || w.capacity[dimAccelerators] == 0 || leavesAcceleratorsUsable(w, demand)) {
			return false
		}
	}
	// The failure is for the smallest demand that is known to fail, so that
	// only an equal one makes it hold.
	f.stale = *demand != f.demand
	return true
}
