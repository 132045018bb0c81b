package placement

import (
	"cmp"
	"slices"
)

// workerIndex finds workers with room. It is a binary tree over the workers in
// a fixed order; each node holds the largest free amount in every dimension
// below it, so that a search skips subtrees without room. Workers without
// accelerators come first.
type workerIndex struct {
	leaves    []*workerState
	nodes     []amount
	base      int
	firstWith int // first leaf with accelerators
	stale     bool
}

func compareWorkers(a, b *workerState) int {
	return cmp.Or(
		cmp.Compare(a.capacity[dimAccelerators], b.capacity[dimAccelerators]),
		cmp.Compare(a.worker.FailureDomain, b.worker.FailureDomain),
		cmp.Compare(a.worker.Rack, b.worker.Rack),
		cmp.Compare(a.worker.Name, b.worker.Name))
}

// rebuild sorts the leaves and computes every node. It is delayed to the next
// search, so that adding many workers costs one rebuild.
func (x *workerIndex) rebuild() {
	if !x.stale {
		return
	}
	x.stale = false
	slices.SortFunc(x.leaves, compareWorkers)
	x.firstWith = len(x.leaves)
	x.base = 1
	for x.base < len(x.leaves) {
		x.base *= 2
	}
	x.nodes = make([]amount, 2*x.base)
	for i := range x.nodes {
		x.nodes[i] = unavailable
	}
	for i, w := range x.leaves {
		w.leaf = i
		x.nodes[x.base+i] = w.offered()
		if w.capacity[dimAccelerators] > 0 {
			x.firstWith = min(x.firstWith, i)
		}
	}
	for i := x.base - 1; i >= 1; i-- {
		x.nodes[i] = x.nodes[2*i].highest(x.nodes[2*i+1])
	}
}

// update carries a worker's offered room up the tree.
func (x *workerIndex) update(w *workerState) {
	if x.stale {
		return
	}
	i := x.base + w.leaf
	x.nodes[i] = w.offered()
	for i /= 2; i >= 1; i /= 2 {
		highest := x.nodes[2*i].highest(x.nodes[2*i+1])
		if highest == x.nodes[i] {
			return
		}
		x.nodes[i] = highest
	}
}

// next returns the first leaf in [from, to) with room for the demand, or -1.
func (x *workerIndex) next(demand *amount, from, to int) int {
	if from >= to {
		return -1
	}
	i := x.base + from
	for {
		if demand.fits(&x.nodes[i]) {
			if i >= x.base {
				if i-x.base >= to {
					return -1
				}
				return i - x.base
			}
			i *= 2
			continue
		}
		for i&1 == 1 {
			i /= 2
		}
		if i == 0 {
			return -1
		}
		i++
	}
}

func (x *workerIndex) add(w *workerState) {
	x.leaves = append(x.leaves, w)
	x.stale = true
}

func (x *workerIndex) remove(w *workerState) {
	x.leaves = slices.DeleteFunc(x.leaves, func(other *workerState) bool { return other == w })
	x.stale = true
}
