package placement

import (
	"cmp"
	"slices"
)

// workerIndex finds workers with enough free resources. It is a binary tree
// over the workers in a fixed order. Each node holds, for each dimension, the
// largest free quantity below it, so that a search skips subtrees in which the
// demand cannot fit. Workers without accelerators come first. The root is
// nodes[1], the children of nodes[i] are nodes[2*i] and nodes[2*i+1], and the
// node of leaves[i] is nodes[base+i].
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
func (index *workerIndex) rebuild() {
	if !index.stale {
		return
	}
	index.stale = false
	slices.SortFunc(index.leaves, compareWorkers)
	index.firstAccelerated = len(index.leaves)
	index.base = 1
	for index.base < len(index.leaves) {
		index.base *= 2
	}
	index.nodes = make([]resourceVector, 2*index.base)
	for i := range index.nodes {
		index.nodes[i] = unavailable
	}
	for i, w := range index.leaves {
		w.leaf = i
		index.nodes[index.base+i] = w.available()
		if w.capacity[dimAccelerators] > 0 {
			index.firstAccelerated = min(index.firstAccelerated, i)
		}
	}
	for i := index.base - 1; i >= 1; i-- {
		index.nodes[i] = index.nodes[2*i].maximum(index.nodes[2*i+1])
	}
}

// update propagates a change of a worker's available resources up the tree.
func (index *workerIndex) update(w *workerState) {
	if index.stale {
		return
	}
	i := index.base + w.leaf
	index.nodes[i] = w.available()
	for i /= 2; i >= 1; i /= 2 {
		maximum := index.nodes[2*i].maximum(index.nodes[2*i+1])
		if maximum == index.nodes[i] {
			return
		}
		index.nodes[i] = maximum
	}
}

// next returns the first leaf in [from, to) whose available resources fit the
// demand, or -1.
func (index *workerIndex) next(demand *resourceVector, from, to int) int {
	if from >= to {
		return -1
	}
	i := index.base + from
	for {
		if demand.fits(&index.nodes[i]) {
			if i >= index.base {
				if i-index.base >= to {
					return -1
				}
				return i - index.base
			}
			i *= 2
			continue
		}
		// Continues with the next subtree to the right.
		for i&1 == 1 {
			i /= 2
		}
		if i == 0 {
			return -1
		}
		i++
	}
}

func (index *workerIndex) add(w *workerState) {
	index.leaves = append(index.leaves, w)
	index.stale = true
}

func (index *workerIndex) remove(w *workerState) {
	index.leaves = slices.DeleteFunc(index.leaves, func(other *workerState) bool { return other == w })
	index.stale = true
}
