package placement

import "yuccalanding.example/yuccalanding/pkg/workload"

// The dimensions of a resourceVector.
const (
	dimCPU = iota
	dimMemory
	dimAccelerators
	dimSlots
	dimConnections
	dimensions
)

// resourceVector is a quantity of each resource that a worker provides.
type resourceVector [dimensions]int64

// unavailable stands for the free resources of a worker that takes no new task.
// No demand fits it, because demands are at least 0.
var unavailable = resourceVector{-1, -1, -1, -1, -1}

func newResourceVector(r workload.Resources, slots, connections int) resourceVector {
	return resourceVector{r.MilliCPU, r.MemoryMB, r.Accelerators, int64(slots), int64(connections)}
}

func taskDemand(task *Task) resourceVector {
	return newResourceVector(task.Resources, 1, task.Connections)
}

func (a resourceVector) resources() workload.Resources {
	return workload.Resources{MilliCPU: a[dimCPU], MemoryMB: a[dimMemory], Accelerators: a[dimAccelerators]}
}

func (a resourceVector) plus(b resourceVector) resourceVector {
	for d := range a {
		a[d] += b[d]
	}
	return a
}

func (a resourceVector) minus(b resourceVector) resourceVector {
	for d := range a {
		a[d] -= b[d]
	}
	return a
}

func (a resourceVector) times(n int64) resourceVector {
	for d := range a {
		a[d] *= n
	}
	return a
}

func (a resourceVector) maximum(b resourceVector) resourceVector {
	for d := range a {
		a[d] = max(a[d], b[d])
	}
	return a
}

// fits reports whether a is at most free in each of the dimensions.
func (a *resourceVector) fits(free *resourceVector) bool {
	return a[0] <= free[0] && a[1] <= free[1] && a[2] <= free[2] && a[3] <= free[3] && a[4] <= free[4]
}

// copies returns how many times a fits into free, at most limit.
func (a *resourceVector) copies(free *resourceVector, limit int64) int64 {
	for d := range a {
		if a[d] > 0 {
			limit = min(limit, free[d]/a[d])
		} else if free[d] < 0 {
			return 0
		}
	}
	return max(limit, 0)
}

// dominantShare returns the largest fraction of capacity over all dimensions.
// If a has some of a resource that the capacity lacks, the share is 1.
func (a *resourceVector) dominantShare(capacity *resourceVector) float64 {
	share := 0.0
	for d := range a {
		switch {
		case a[d] <= 0:
		case capacity[d] <= 0:
			share = max(share, 1)
		default:
			share = max(share, float64(a[d])/float64(capacity[d]))
		}
	}
	return share
}
