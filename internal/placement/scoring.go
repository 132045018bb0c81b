package placement

import "time"

const (
	// candidatesScored is how many workers with room are compared for a task.
	// The index returns them in a fixed order, so that the first ones fill up
	// first and a few comparisons are enough to pack tightly.
	candidatesScored = 6
	// shortRunTime is the longest run time of work that gives lent room back
	// soon enough by ending; an urgent start is due within 1.8 s.
	shortRunTime = 1500 * time.Millisecond
	// acceleratorMemory is how long after the last accelerator work room beside
	// idle accelerators is kept for such work.
	acceleratorMemory = 10 * time.Minute
)

// search is what a task asks of a worker.
type search struct {
	demand  amount
	runTime time.Duration
	now     time.Time
	service *Task
	// ignoreHolds lets guaranteed work use room that is held for a gang.
	ignoreHolds bool
	// holder is the gang on whose behalf the search is made.
	holder *gang
	// keepAccelerators leaves every idle accelerator its part of the worker.
	keepAccelerators bool
}

// find returns the best worker for the search, or nil.
func (e *Engine) find(s *search) *workerState {
	e.index.rebuild()
	if s.service != nil {
		return e.findSpread(s)
	}
	count, first := len(e.index.leaves), e.index.firstWith
	if s.demand[dimAccelerators] == 0 {
		if w := e.findPacked(s, 0, first); w != nil {
			return w
		}
	}
	return e.findPacked(s, first, count)
}

// findPacked returns the candidate that is left with the least room, weighted
// by how scarce each dimension is in the fleet.
func (e *Engine) findPacked(s *search, from, to int) *workerState {
	var best *workerState
	bestScore, left := 0.0, candidatesScored
	scarcity := e.scarcity()
	for leaf := e.index.next(&s.demand, from, to); leaf >= 0 && left > 0; leaf = e.index.next(&s.demand, leaf+1, to) {
		w := e.index.leaves[leaf]
		if !e.admits(w, s) {
			continue
		}
		left--
		score := remaining(w, &s.demand, &scarcity)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// scarcity returns the used fraction of the fleet in every dimension, plus a
// small constant so that an empty fleet is packed as well.
func (e *Engine) scarcity() [dimensions]float64 {
	var scarcity [dimensions]float64
	for d := range scarcity {
		if e.capacity[d] > 0 {
			scarcity[d] = 0.05 + 1 - float64(e.free[d])/float64(e.capacity[d])
		}
	}
	return scarcity
}

func remaining(w *workerState, demand *amount, scarcity *[dimensions]float64) float64 {
	score := 0.0
	for d := range demand {
		if w.capacity[d] > 0 {
			score += scarcity[d] * float64(w.free[d]-demand[d]) / float64(w.capacity[d])
		}
	}
	return score
}

// admits applies the rules that the index does not know.
func (e *Engine) admits(w *workerState, s *search) bool {
	if e.options.Excluded != nil && e.options.Excluded(w.worker.Name) {
		return false
	}
	if s.keepAccelerators && w.capacity[dimAccelerators] > 0 && !leavesAcceleratorsUsable(w, &s.demand) {
		return false
	}
	if w.hold == nil || s.ignoreHolds || w.hold.gang == s.holder {
		return true
	}
	return w.hold.endsBefore(s) || s.demand.fits(&w.spare)
}

// leavesAcceleratorsUsable reports whether each idle accelerator would keep
// its proportional part of the worker's other room.
func leavesAcceleratorsUsable(w *workerState, demand *amount) bool {
	idle, total := w.free[dimAccelerators], w.capacity[dimAccelerators]
	for _, d := range [...]int{dimCPU, dimMemory, dimSlots} {
		if (w.free[d]-demand[d])*total < idle*w.capacity[d] {
			return false
		}
	}
	return true
}

// keepsAccelerators reports whether a task has to leave idle accelerators
// usable. Work that fits only workers with accelerators is exempt, because it
// would never start otherwise.
func (e *Engine) keepsAccelerators(now time.Time, kind *kindState, demand *amount, runTime time.Duration) bool {
	if demand[dimAccelerators] > 0 || now.Sub(e.acceleratorWork) > acceleratorMemory {
		return false
	}
	e.index.rebuild()
	if !demand.fits(&e.largestPlain) {
		return false
	}
	return e.acceleratorsWaiting > 0 || !kind.reclaimable(runTime)
}

// findSpread returns the worker whose failure domain, and then whose rack, has
// the fewest services of the same team and kind. It looks at every worker:
// services start seldom and the spread has to be exact.
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
		score := remaining(w, &s.demand, &scarcity)
		if best == nil || lowerRank(rank, bestRank) || rank == bestRank && score < bestScore {
			best, bestRank, bestScore = w, rank, score
		}
	}
	return best
}

type rackName struct{ domain, rack string }

func rackOf(w *workerState) rackName { return rackName{w.worker.FailureDomain, w.worker.Rack} }

func lowerRank(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// serviceCounts counts the running services of the task's team and kind.
func (e *Engine) serviceCounts(task *Task) (domains map[string]int, racks map[rackName]int) {
	domains, racks = map[string]int{}, map[rackName]int{}
	for _, w := range e.index.leaves {
		for _, r := range w.running {
			if r.task.Service && r.task.Team == task.Team && r.task.Kind == task.Kind {
				domains[w.worker.FailureDomain]++
				racks[rackOf(w)]++
			}
		}
	}
	return domains, racks
}
