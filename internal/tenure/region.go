package tenure

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Region describes a region as this node knows it, for SetRegion.
type Region struct {
	Name string
	// Workers are the workers of the region in this node's VM list.
	Workers []string
	// Owners are the nodes that may hold sessions there, this node included.
	Owners []string
}

// workerSet is a sorted set of workers. Its names never change, so that sets can
// be compared by digest and weights can be cached.
type workerSet struct {
	names   []string
	digest  uint64
	weights [2]struct { // the last two results of weightIn
		list   *workerSet
		weight int
	}
}

// newWorkerSet returns a set of names, which must be sorted and unique. It keeps
// the slice, which the caller must not change.
func newWorkerSet(names []string) *workerSet {
	var hash xxhash.Digest
	hash.Reset()
	for _, name := range names {
		_, _ = hash.WriteString(name)
		_, _ = hash.Write([]byte{0})
	}
	return &workerSet{names: names, digest: hash.Sum64()}
}

// intersectionSize returns the number of workers in both sets.
func (s *workerSet) intersectionSize(other *workerSet) int {
	count := 0
	for i, j := 0, 0; i < len(s.names) && j < len(other.names); {
		switch {
		case s.names[i] < other.names[j]:
			i++
		case s.names[i] > other.names[j]:
			j++
		default:
			count, i, j = count+1, i+1, j+1
		}
	}
	return count
}

// weightIn returns the number of workers of the set that are in the list. It
// caches the last two results, as a region has at most two lists.
func (s *workerSet) weightIn(list *workerSet) int {
	for _, cached := range s.weights {
		if cached.list == list {
			return cached.weight
		}
	}
	s.weights[1] = s.weights[0]
	s.weights[0].list, s.weights[0].weight = list, s.intersectionSize(list)
	return s.weights[0].weight
}

// differsByThird reports whether the sets differ and their symmetric difference is
// a third of the larger set or more.
func differsByThird(a, b *workerSet) bool {
	difference := len(a.names) + len(b.names) - 2*a.intersectionSize(b)
	return difference > 0 && 3*difference >= max(len(a.names), len(b.names))
}

// region holds a region's owners, its worker list and the list's recent history.
type region struct {
	name   string
	owners []string // sorted
	newest *workerSet
	// inUse is the newest list, or while new leases are suspended the list before
	// the change that suspended them.
	inUse          *workerSet
	suspendedUntil time.Time
	// formerLists holds the lists that were replaced within ListStablePeriod.
	formerLists []formerList
}

// formerList is a worker list that a newer one replaced.
type formerList struct {
	list       *workerSet
	replacedAt time.Time
}

// region returns the region of the given name, or nil.
func (l *Leases) region(name string) *region {
	for _, r := range l.regions {
		if r.name == name {
			return r
		}
	}
	return nil
}

// Ready reports whether this node may begin leases in the region, that is, whether
// its worker list isn't empty and has been stable for ListStablePeriod. A node that
// isn't ready tells the others, so that another node becomes first choice.
func (l *Leases) Ready(now time.Time, name string) bool {
	r := l.region(name)
	return r != nil && len(r.newest.names) > 0 && (r.inUse == r.newest || !now.Before(r.suspendedUntil))
}

// SetRegion sets a region's worker list and owners. It ignores regions beyond
// maxRegions and owners beyond maxOwners. An unchanged list costs one comparison,
// so it may be called often.
func (l *Leases) SetRegion(now time.Time, update Region) {
	r := l.region(update.Name)
	if r == nil {
		if len(l.regions) >= maxRegions {
			return
		}
		r = &region{name: update.Name, newest: newWorkerSet(nil)}
		r.inUse = r.newest
		l.regions = append(l.regions, r)
	}
	owners := slices.Compact(slices.Sorted(slices.Values(update.Owners)))
	r.owners = owners[:min(len(owners), maxOwners)]
	names := slices.Compact(slices.Sorted(slices.Values(update.Workers)))
	l.adoptStableList(now, r)
	if slices.Equal(names, r.newest.names) {
		return
	}
	r.replaceList(now, newWorkerSet(names))
	for _, c := range l.candidates {
		if c.leaseRange.Region == update.Name {
			l.expire(now, c)
			c.updateValidity(r)
			l.expire(now, c)
		}
	}
}

// replaceList makes the list the newest one. It suspends new leases for
// ListStablePeriod if they are suspended already, if the list differs by a third
// or more from one that was replaced within that time, or if more than
// maxFormerLists lists were replaced within that time.
func (r *region) replaceList(now time.Time, list *workerSet) {
	r.formerLists = slices.DeleteFunc(r.formerLists, func(f formerList) bool {
		return now.Sub(f.replacedAt) >= ListStablePeriod
	})
	r.formerLists = append(r.formerLists, formerList{r.newest, now})
	suspended := r.inUse != r.newest || len(r.formerLists) > maxFormerLists
	for _, f := range r.formerLists {
		suspended = suspended || differsByThird(f.list, list)
	}
	if len(r.formerLists) > maxFormerLists {
		r.formerLists = r.formerLists[1:]
	}
	r.newest = list
	if suspended {
		r.suspendedUntil = now.Add(ListStablePeriod)
	} else {
		r.inUse = list
	}
}

// adoptStableList makes the newest list the one in use, if it has been stable for
// long enough.
func (l *Leases) adoptStableList(now time.Time, r *region) {
	if r.inUse == r.newest || now.Before(r.suspendedUntil) {
		return
	}
	r.inUse = r.newest
	for _, c := range l.candidates {
		if c.leaseRange.Region == r.name {
			l.expire(now, c)
			c.updateValidity(r)
		}
	}
}
