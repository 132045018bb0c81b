package tenure

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Region is what a candidate knows of a region.
type Region struct {
	Name string
	// Workers are the workers of the region in this node's VM list.
	Workers []string
	// Owners are the nodes that may hold sessions there, this node included.
	Owners []string
}

// workerSet is a sorted set of workers. It is not changed once made, so that
// sets are compared by digest and weights are kept.
type workerSet struct {
	names   []string
	digest  uint64
	weights [2]struct {
		list   *workerSet
		weight int
	}
}

// newWorkerSet takes over names, which have to be sorted and unique.
func newWorkerSet(names []string) *workerSet {
	var hash xxhash.Digest
	hash.Reset()
	for _, name := range names {
		_, _ = hash.WriteString(name)
		_, _ = hash.Write([]byte{0})
	}
	return &workerSet{names: names, digest: hash.Sum64()}
}

// common returns the number of workers in both sets.
func (s *workerSet) common(other *workerSet) int {
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

// weightIn returns the number of workers of the set that are in the list. The
// two newest results are kept, as a range has at most two lists.
func (s *workerSet) weightIn(list *workerSet) int {
	for _, known := range s.weights {
		if known.list == list {
			return known.weight
		}
	}
	s.weights[1] = s.weights[0]
	s.weights[0].list, s.weights[0].weight = list, s.common(list)
	return s.weights[0].weight
}

// differsByThird reports whether the symmetric difference is a third of the
// larger set or more.
func differsByThird(a, b *workerSet) bool {
	difference := len(a.names) + len(b.names) - 2*a.common(b)
	return difference > 0 && 3*difference >= max(len(a.names), len(b.names))
}

// region is a region's worker list and its recent history.
type region struct {
	name   string
	owners []string
	newest *workerSet
	// inUse is the list before a change that suspended new leases; otherwise
	// it is the newest.
	inUse          *workerSet
	suspendedUntil time.Time
	// former holds the lists that were replaced within ListStable.
	former []formerList
}

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

// Ready reports whether this node may begin leases in the region: its worker
// list was stable for ListStable. A node that isn't ready says so to the
// others, so that another node becomes first choice.
func (l *Leases) Ready(now time.Time, name string) bool {
	r := l.region(name)
	return r != nil && len(r.newest.names) > 0 && (r.inUse == r.newest || !now.Before(r.suspendedUntil))
}

// SetRegion sets a region's worker list and owners. It may be called as often
// as the caller likes; an unchanged list costs one comparison.
func (l *Leases) SetRegion(now time.Time, given Region) {
	r := l.region(given.Name)
	if r == nil {
		if len(l.regions) >= maxRegions {
			return
		}
		r = &region{name: given.Name, newest: newWorkerSet(nil)}
		r.inUse = r.newest
		l.regions = append(l.regions, r)
	}
	owners := slices.Compact(slices.Sorted(slices.Values(given.Owners)))
	r.owners = owners[:min(len(owners), maxOwners)]
	names := slices.Compact(slices.Sorted(slices.Values(given.Workers)))
	l.settle(now, r)
	if slices.Equal(names, r.newest.names) {
		return
	}
	r.replace(now, newWorkerSet(names))
	for _, c := range l.candidates {
		if c.scope.Region == given.Name {
			l.lapse(now, c)
			c.revalue(r)
			l.lapse(now, c)
		}
	}
}

func (r *region) replace(now time.Time, list *workerSet) {
	r.former = slices.DeleteFunc(r.former, func(f formerList) bool {
		return now.Sub(f.replacedAt) >= ListStable
	})
	r.former = append(r.former, formerList{r.newest, now})
	suspended := r.inUse != r.newest || len(r.former) > keptLists
	for _, f := range r.former {
		suspended = suspended || differsByThird(f.list, list)
	}
	if len(r.former) > keptLists {
		r.former = r.former[1:]
	}
	r.newest = list
	if suspended {
		r.suspendedUntil = now.Add(ListStable)
	} else {
		r.inUse = list
	}
}

// settle takes the newest list into use once it was stable for long enough.
func (l *Leases) settle(now time.Time, r *region) {
	if r.inUse == r.newest || now.Before(r.suspendedUntil) {
		return
	}
	r.inUse = r.newest
	for _, c := range l.candidates {
		if c.scope.Region == r.name {
			l.lapse(now, c)
			c.revalue(r)
		}
	}
}
