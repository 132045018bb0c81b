package placement

import "yuccalanding.example/yuccalanding/pkg/workload"

// The dimensions of an amount.
const (
	dimCPU = iota
	dimMemory
	dimAccelerators
	dimSlots
	dimConnections
	dimensions
)

// amount is a quantity in every dimension that a worker's room has.
type amount [dimensions]int64

// unavailable is the room of a worker that takes no new task. No demand fits
// it, because demands are at least 0.
var unavailable = amount{-1, -1, -1, -1, -1}

func resourceAmount(r workload.Resources, slots, connections int) amount {
	return amount{r.MilliCPU, r.MemoryMB, r.Accelerators, int64(slots), int64(connections)}
}

func taskDemand(task *Task) amount {
	return resourceAmount(task.Resources, 1, task.Connections)
}

func (a amount) resources() workload.Resources {
	return workload.Resources{MilliCPU: a[dimCPU], MemoryMB: a[dimMemory], Accelerators: a[dimAccelerators]}
}

func (a amount) plus(b amount) amount {
	for d := range a {
		a[d] += b[d]
	}
	return a
}

func (a amount) minus(b amount) amount {
	for d := range a {
		a[d] -= b[d]
	}
	return a
}

func (a amount) times(n int64) amount {
	for d := range a {
		a[d] *= n
	}
	return a
}

func (a amount) highest(b amount) amount {
	for d := range a {
		a[d] = max(a[d], b[d])
	}
	return a
}

func (a *amount) fits(room *amount) bool {
	return a[0] <= room[0] && a[1] <= room[1] && a[2] <= room[2] && a[3] <= room[3] && a[4] <= room[4]
}

// copies returns how often the amount fits into room, at most limit times.
func (a *amount) copies(room *amount, limit int64) int64 {
	for d := range a {
		if a[d] > 0 {
			limit = min(limit, room[d]/a[d])
		} else if room[d] < 0 {
			return 0
		}
	}
	return max(limit, 0)
}

// dominantShare returns the largest fraction of capacity over all dimensions.
// An amount of something that the capacity lacks is a share of 1.
func (a *amount) dominantShare(capacity *amount) float64 {
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
