package placement

import "time"

const (
	// maxCandidates is how many workers with enough free resources are compared
	// for a task. The index returns workers in a fixed order, so the first ones
	// fill up first, and a few comparisons are enough for tight packing.
	maxCandidates = 6
	// shortRunTime is the longest run time of work that counts as reclaimable
	// without preemption: an urgent task must start within 1.8 s, and such work
	// frees its resources before that.
	shortRunTime = 1500 * time.Millisecond
	// acceleratorIdleTimeout is how long after the last accelerator work the
	// other resources of workers with idle accelerators are kept for such work.
	acceleratorIdleTimeout = 10 * time.Minute
)

// search is the requirements of a task for a worker.
type search struct {
	demand  resourceVector
	runTime time.Duration
	now     time.Time
	// service is the task if it is a service, and nil otherwise.
	service *Task
	// ignoreGangPlan allows work within its guarantee to use workers that are
	// kept for a gang.
	ignoreGangPlan bool
	// forGang is the gang whose member is placed, if any.
	forGang *gang
	// keepAccelerators leaves each idle accelerator its proportional part of
	// the worker's other resources.
	keepAccelerators bool
}

// find returns the best worker for the search, or nil.
func (e *Engine) find(s *search) *workerState {
	e.index.rebuild()
	if s.service != nil {
		return e.findSpread(s)
	}
	count, first := len(e.index.leaves), e.index.firstAccelerated
	if s.demand[dimAccelerators] == 0 {
		if w := e.findPacked(s, 0, first); w != nil {
			return w
		}
	}
	return e.findPacked(s, first, count)
}

// findPacked returns the candidate that has the least free resources left after
// the placement, weighted by how scarce each dimension is among all workers.
func (e *Engine) findPacked(s *search, from, to int) *workerState {
	var best *workerState
	bestScore, candidatesLeft := 0.0, maxCandidates
	scarcity := e.scarcity()
	for leaf := e.index.next(&s.demand, from, to); leaf >= 0 && candidatesLeft > 0; leaf = e.index.next(&s.demand, leaf+1, to) {
		w := e.index.leaves[leaf]
		if !e.admits(w, s) {
			continue
		}
		candidatesLeft--
		score := packingScore(w, &s.demand, &scarcity)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// scarcity returns the used fraction of the total capacity in each dimension,
// plus a small constant so that tasks are packed also when all workers are
// idle.
func (e *Engine) scarcity() [dimensions]float64 {
	var scarcity [dimensions]float64
	for d := range scarcity {
		if e.capacity[d] > 0 {
			scarcity[d] = 0.05 + 1 - float64(e.free[d])/float64(e.capacity[d])
		}
	}
	return scarcity
}

func packingScore(w *workerState, demand *resourceVector, scarcity *[dimensions]float64) float64 {
	score := 0.0
	for d := range demand {
		if w.capacity[d] > 0 {
			score += scarcity[d] * float64(w.free[d]-demand[d]) / float64(w.capacity[d])
		}
	}
	return score
}

// admits reports whether the worker may take the task under the rules that the
// index does not cover.
func (e *Engine) admits(w *workerState, s *search) bool {
	if e.options.Excluded != nil && e.options.Excluded(w.worker.Name) {
		return false
	}
	if s.keepAccelerators && w.capacity[dimAccelerators] > 0 && !leavesAcceleratorsUsable(w, &s.demand) {
		return false
	}
	if w.gangPlan == nil || s.ignoreGangPlan || w.gangPlan.gang == s.forGang {
		return true
	}
	return w.gangPlan.endsBeforeStart(s) || s.demand.fits(&w.spare)
}

// leavesAcceleratorsUsable reports whether each idle accelerator would keep its
// proportional part of the worker's other resources.
func leavesAcceleratorsUsable(w *workerState, demand *resourceVector) bool {
	idle, total := w.free[dimAccelerators], w.capacity[dimAccelerators]
	for _, d := range [...]int{dimCPU, dimMemory, dimSlots} {
		if (w.free[d]-demand[d])*total < idle*w.capacity[d] {
			return false
		}
	}
	return true
}

// mustKeepAccelerators reports whether a task has to leave idle accelerators
// usable. Work that fits only workers with accelerators is exempt, because it
// would never start otherwise.
func (e *Engine) mustKeepAccelerators(now time.Time, kind *kindState, demand *resourceVector, runTime time.Duration) bool {
	if demand[dimAccelerators] > 0 || now.Sub(e.lastAcceleratorWorkAt) > acceleratorIdleTimeout {
		return false
	}
	e.index.rebuild()
	if !demand.fits(&e.largestWithoutAccelerators) {
		return false
	}
	return e.waitingAcceleratorTasks > 0 || !kind.reclaimable(runTime)
}

// findSpread returns the worker whose failure domain, and then whose rack, runs
// the fewest services of the same team and kind. A service that needs no
// accelerators gets a worker with accelerators only if no other one fits. All
// workers are checked: services start rarely, and the spread has to be exact.
func (e *Engine) findSpread(s *search) *workerState {
	domains, racks := e.serviceCounts(s.service)
	var best *workerState
	var bestRank [3]int
	scarcity, bestScore := e.scarcity(), 0.0
	for leaf := e.index.next(&s.demand, 0, len(e.index.leaves)); leaf >= 0; leaf = e.index.next(&s.demand, leaf+1, len(e.index.leaves)) {
		w := e.index.leaves[leaf]
		if !e.admits(w, s) {
			continue
		}
		rank := [3]int{0, domains[w.worker.FailureDomain], racks[rackOf(w)]}
		if s.demand[dimAccelerators] == 0 && w.capacity[dimAccelerators] > 0 {
			rank[0] = 1
		}
		score := packingScore(w, &s.demand, &scarcity)
		if best == nil || lowerRank(rank, bestRank) || rank == bestRank && score < bestScore {
			best, bestRank, bestScore = w, rank, score
		}
	}
	return best
}

type rackKey struct{ domain, rack string }

func rackOf(w *workerState) rackKey { return rackKey{w.worker.FailureDomain, w.worker.Rack} }

func lowerRank(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// serviceCounts counts the running services of the task's team and kind for
// each failure domain and rack.
func (e *Engine) serviceCounts(task *Task) (domains map[string]int, racks map[rackKey]int) {
	domains, racks = map[string]int{}, map[rackKey]int{}
	for _, w := range e.index.leaves {
		for _, alloc := range w.running {
			if alloc.task.Service && alloc.task.Team == task.Team && alloc.task.Kind == task.Kind {
				domains[w.worker.FailureDomain]++
				racks[rackOf(w)]++
			}
		}
	}
	return domains, racks
}
