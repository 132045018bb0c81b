package membership

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Owners are the two best nodes for a worker. Second is the zero Member if
// there is only one; First is as well if there is none.
type Owners struct {
	First  Member
	Second Member
}

// HomeOf returns the home of a team's range in a region, chosen by rendezvous
// hashing among the region's live members that may have roles. It reports
// false if there is none or the table is not settled.
func (t *Table) HomeOf(region, team string) (Member, bool) {
	ranked := t.rank("home", team+"\x00"+region, func(m *Member, may eligibility) int {
		if may.home && m.Region == region {
			return 0
		}
		return excluded
	})
	return ranked.First, ranked.First.Name != ""
}

// OwnersOf returns the first and second choice for the ownership of a worker.
// Members of the worker's failure domain come before others of its region, and
// those before members of other regions, which keep the sessions and task
// leases of a region that lost all its nodes.
func (t *Table) OwnersOf(worker, region, failureDomain string) Owners {
	return t.rank("owner", worker, func(m *Member, may eligibility) int {
		switch {
		case !may.owner:
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

// excluded is the tier of members that are no candidates.
const excluded = -1

// rank returns the two best eligible members: by tier, then by score. The
// score of a member doesn't depend on who else is a member, so that a member
// which is lost or new moves only what it had or gets.
func (t *Table) rank(role, key string, tierOf func(*Member, eligibility) int) Owners {
	if !t.settled {
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
