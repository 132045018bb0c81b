package placement

import (
	"cmp"
	"slices"
)

// workerIndex finds workers with enough free resources. It is a binary tree
// over the workers in a fixed order. Each node holds, for each dimension, the
// largest free quantity below it, so that a search skips subtrees in which the
// demand cannot fit. Workers without accelerators come first.
type workerIndex struct {
	leaves           []*workerState
	nodes            []resourceVector
	base             int
	firstAccelerated int // index of the first leaf with accelerators
	stale            bool
}

func compareWorkers(a, b *workerState) int {
	return cmp.Or(
		cmp.Compare(a.capacity[dimAccelerators], b.capacity[dimAccelerators]),
		cmp.Compare(a.worker.FailureDomain, b.worker.FailureDomain),
		cmp.Compare(a.worker.Rack, b.worker.Rack),
		cmp.Compare(a.worker.Name, b.worker.Name))
}

// rebuild sorts the leaves and computes all nodes. It is deferred to the next
// search, so that adding many workers costs one rebuild.
func (x *workerIndex) rebuild() {
	if !x.stale {
		return
	}
	x.stale = false
	slices.SortFunc(x.leaves, compareWorkers)
	x.firstAccelerated = len(x.leaves)
	x.base = 1
	for x.base < len(x.leaves) {
		x.base *= 2
	}
	x.nodes = make([]resourceVector, 2*x.base)
	for i := range x.nodes {
		x.nodes[i] = unavailable
	}
	for i, w := range x.leaves {
		w.leaf = i
		x.nodes[x.base+i] = w.available()
		if w.capacity[dimAccelerators] > 0 {
			x.firstAccelerated = min(x.firstAccelerated, i)
		}
	}
	for i := x.base - 1; i >= 1; i-- {
		x.nodes[i] = x.nodes[2*i].maximum(x.nodes[2*i+1])
	}
}

// update propagates a change of a worker's available resources up the tree.
func (x *workerIndex) update(w *workerState) {
	if x.stale {
		return
	}
	i := x.base + w.leaf
	x.nodes[i] = w.available()
	for i /= 2; i >= 1; i /= 2 {
		maximum := x.nodes[2*i].maximum(x.nodes[2*i+1])
		if maximum == x.nodes[i] {
			return
		}
		x.nodes[i] = maximum
	}
}

// next returns the first leaf in [from, to) whose available resources fit the
// demand, or -1.
func (x *workerIndex) next(demand *resourceVector, from, to int) int {
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
