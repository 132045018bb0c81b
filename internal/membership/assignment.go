package membership

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Owners are the first and second choice for a role. If only one member is
// eligible, Second is the zero Member; if none is, both are.
type Owners struct {
	First  Member
	Second Member
}

// HomeOf returns the home of a team's range in a region. It is chosen by rendezvous
// hashing among the members of the region that may be home. HomeOf returns false if
// there is none or if StartComplete is false.
func (t *Table) HomeOf(region, team string) (Member, bool) {
	ranked := t.rank("home", team+"\x00"+region, func(m *Member, eligible eligibility) int {
		if eligible.home && m.Region == region {
			return 0
		}
		return excluded
	})
	return ranked.First, ranked.First.Name != ""
}

// OwnersOf returns the first and second choice for the owner of a worker, chosen by
// rendezvous hashing among the members that may own workers. Members of the worker's
// failure domain come first, then others of its region, then members of other
// regions, which keep the sessions and task leases of a region that lost all its
// nodes. Both choices are the zero Member if StartComplete is false.
func (t *Table) OwnersOf(worker, region, failureDomain string) Owners {
	return t.rank("owner", worker, func(m *Member, eligible eligibility) int {
		switch {
		case !eligible.owner:
			return excluded
		case m.Region == region && m.FailureDomain == failureDomain:
			return 0
		case m.Region == region:
			return 1
		default:
			return 2
		}
	})
}

// excluded is the tier of members that may not have the role.
const excluded = -1

// rank returns the two best members for a role: those of the lowest tier, and within
// a tier those with the highest score, a hash of key, role and member. A member's
// score doesn't depend on the other members, so the loss or the return of a member
// changes no assignments other than its own.
func (t *Table) rank(role, key string, tierOf func(*Member, eligibility) int) Owners {
	if !t.startComplete {
		return Owners{}
	}
	type choice struct {
		record *record
		tier   int
		score  uint64
	}
	var choices [MaxMembers]choice
	count := 0
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], xxhash.Sum64String(key)^xxhash.Sum64String(role))
	for i, r := range t.records {
		tier := tierOf(&r.member, t.eligible[i])
		if tier == excluded {
			continue
		}
		binary.LittleEndian.PutUint64(buffer[8:], r.hash)
		choices[count] = choice{r, tier, xxhash.Sum64(buffer[:])}
		count++
	}
	slices.SortFunc(choices[:count], func(a, b choice) int {
		switch {
		case a.tier != b.tier:
			return a.tier - b.tier
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return strings.Compare(a.record.member.Name, b.record.member.Name)
	})
	var owners Owners
	if count > 0 {
		owners.First = choices[0].record.member
	}
	if count > 1 {
		owners.Second = choices[1].record.member
	}
	return owners
}
