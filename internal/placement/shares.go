package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// shareTolerance absorbs rounding when shares are compared.
	shareTolerance = 1e-9
	// guaranteeMemory is how long after its last work a kind's unused guarantee
	// is withheld from work that can't be reclaimed.
	guaranteeMemory = 10 * time.Minute
	// peakWindow is how long a kind's peak is remembered, at least. What the
	// kind used and asked for at its peak, and a quarter more, is expected to
	// be needed again.
	peakWindow = time.Minute
	// lentFraction is the divisor of the unused guarantees that stay free even
	// of work that can be reclaimed, so that ordinary variation of guaranteed
	// work needs no reclaiming. A twentieth costs at most 5% of packing.
	lentFraction = 20
)

// kindState is the account of one kind of work.
type kindState struct {
	policy     KindPolicy
	guaranteed float64
	ceiling    float64
	weight     float64

	used  amount
	share float64
	// reclaiming is the part of used that is about to end by preemption.
	reclaiming amount
	running    int
	waiting    int
	activeAt   time.Time
	// asked is the demand of the waiting tasks, and largest the largest demand
	// of one task in each dimension.
	asked, largest amount
	// peak and earlierPeak are the largest use and demand in the present and
	// the previous peakWindow.
	peak, earlierPeak amount
	peakSince         time.Time
	// reserve is the unused part of the guarantee in the dimensions that the
	// kind's work asks for; expected is the part of it that the kind is
	// expected to need, by its peaks.
	reserve, expected amount

	lanes  []*lane
	byTeam map[*teamState]*lane
	dryAt  uint64
	// short is a queue whose head is inside the guarantee and found no room.
	short *bucket
	// reclaimAgainAt limits how often workers are looked through in vain.
	reclaimAgainAt time.Time
}

// teamState is the account of one team.
type teamState struct {
	name    string
	weight  float64
	used    amount
	load    float64
	running int
	waiting int
}

// SetPolicy replaces the policy; it applies from the next call of Schedule.
// Guarantees that add up to more than 1 are scaled down to 1.
func (e *Engine) SetPolicy(policy Policy) {
	e.policy = Policy{Kinds: slices.Clone(policy.Kinds), Teams: slices.Clone(policy.Teams)}
	for _, kind := range policy.Kinds {
		e.kindNamed(kind.Name)
	}
	for _, k := range e.kinds {
		e.applyKindPolicy(k)
	}
	for _, t := range e.teams { // Each team is changed on its own; the order has no effect.
		t.weight = e.teamWeight(t.name)
	}
	e.capacityChanged()
}

func (e *Engine) applyKindPolicy(k *kindState) {
	total := 0.0
	policy := KindPolicy{Name: k.policy.Name}
	for _, kind := range e.policy.Kinds {
		total += max(kind.Guaranteed, 0)
		if kind.Name == k.policy.Name {
			policy = kind
		}
	}
	k.policy = policy
	k.weight = float64(max(policy.Weight, 1))
	k.guaranteed = max(policy.Guaranteed, 0) / max(total, 1)
	k.ceiling = policy.Ceiling
	if k.ceiling <= 0 {
		k.ceiling = 1
	}
}

func (e *Engine) teamWeight(name string) float64 {
	for _, team := range e.policy.Teams {
		if team.Name == name {
			return float64(max(team.Weight, 1))
		}
	}
	return 1
}

func compareKindName(k *kindState, name string) int {
	switch {
	case k.policy.Name < name:
		return -1
	case k.policy.Name > name:
		return 1
	}
	return 0
}

// kindNamed returns the kind's account. When the table is full, accounts
// without work are dropped; failing that, new kinds share the unnamed one.
func (e *Engine) kindNamed(name string) *kindState {
	at, found := slices.BinarySearchFunc(e.kinds, name, compareKindName)
	if found {
		return e.kinds[at]
	}
	if len(e.kinds) >= MaxKinds {
		e.kinds = slices.DeleteFunc(e.kinds, func(k *kindState) bool {
			return k.running == 0 && k.waiting == 0 && k.guaranteed == 0
		})
		if len(e.kinds) >= MaxKinds-1 {
			name = ""
		}
		at, found = slices.BinarySearchFunc(e.kinds, name, compareKindName)
		if found {
			return e.kinds[at]
		}
	}
	k := &kindState{policy: KindPolicy{Name: name}, byTeam: map[*teamState]*lane{}}
	e.applyKindPolicy(k)
	e.kinds = slices.Insert(e.kinds, at, k)
	return k
}

// teamNamed returns the team's account, with the same rule for a full table.
func (e *Engine) teamNamed(name string) *teamState {
	if t := e.teams[name]; t != nil {
		return t
	}
	if len(e.teams) >= MaxTeams {
		for other, t := range e.teams { // All idle teams are dropped; the order has no effect.
			if t.running == 0 && t.waiting == 0 {
				delete(e.teams, other)
			}
		}
		if len(e.teams) >= MaxTeams-1 {
			name = ""
		}
		if t := e.teams[name]; t != nil {
			return t
		}
	}
	t := &teamState{name: name, weight: e.teamWeight(name)}
	e.teams[name] = t
	return t
}

func (k *kindState) laneOf(t *teamState) *lane {
	l := k.byTeam[t]
	if l == nil {
		l = &lane{kind: k, team: t, position: len(k.lanes), byShape: map[*shape]*bucket{}}
		k.byTeam[t] = l
		k.lanes = append(k.lanes, l)
	}
	return l
}

func (k *kindState) removeLane(l *lane) {
	last := k.lanes[len(k.lanes)-1]
	k.lanes[l.position], last.position = last, l.position
	k.lanes = k.lanes[:len(k.lanes)-1]
	delete(k.byTeam, l.team)
}

// charge changes what a kind and a team use.
func (e *Engine) charge(k *kindState, t *teamState, demand amount) {
	k.used = k.used.plus(demand)
	e.kindChanged(k)
	t.used = t.used.plus(demand)
	t.load = t.used.dominantShare(&e.capacity) / t.weight
}

// kindChanged recomputes what follows from a kind's use and policy.
func (e *Engine) kindChanged(k *kindState) {
	k.share = k.used.dominantShare(&e.capacity)
	if k.guaranteed == 0 && k.reserve == (amount{}) {
		return
	}
	e.reserved, e.expected = e.reserved.minus(k.reserve), e.expected.minus(k.expected)
	k.reserve, k.expected = amount{}, amount{}
	k.peak = k.peak.highest(k.used.plus(k.asked))
	peak := k.peak.highest(k.earlierPeak)
	for d := range peak {
		if k.largest[d] > 0 {
			k.reserve[d] = max(0, int64(k.guaranteed*float64(e.capacity[d]))-k.used[d])
			k.expected[d] = min(k.reserve[d], max(0, peak[d]+peak[d]/4+k.largest[d]-k.used[d]))
		}
	}
	e.reserved, e.expected = e.reserved.plus(k.reserve), e.expected.plus(k.expected)
}

// lendIdleGuarantees ends the reserve of kinds that had no work for long.
func (e *Engine) lendIdleGuarantees(now time.Time) {
	for _, k := range e.kinds {
		if k.running+k.waiting > 0 {
			k.activeAt = now
		} else if k.reserve != (amount{}) && now.Sub(k.activeAt) > guaranteeMemory {
			k.peak, k.earlierPeak, k.largest = amount{}, amount{}, amount{}
			e.kindChanged(k)
			e.wake++
		}
		if now.Sub(k.peakSince) > peakWindow {
			k.earlierPeak, k.peak, k.peakSince = k.peak, amount{}, now
			e.kindChanged(k)
			e.wake++
		}
	}
}

// reclaimable reports whether room lent to such work comes back promptly, by
// preemption or because the work is short.
func (k *kindState) reclaimable(runTime time.Duration) bool {
	return k.preempted() || runTime > 0 && runTime <= shortRunTime
}

func (k *kindState) preempted() bool {
	return k.policy.Preemption == VerbCheckpoint || k.policy.Preemption == VerbStop
}

// entitlement reports whether the demand is inside the kind's guarantee, and
// whether the kind may take it at all.
func (e *Engine) entitlement(k *kindState, demand *amount, runTime time.Duration) (entitled, allowed bool) {
	after := k.used.plus(*demand)
	share := after.dominantShare(&e.capacity)
	if k.guaranteed > 0 && share <= k.guaranteed+shareTolerance {
		return true, true
	}
	if share > k.ceiling+shareTolerance {
		return false, false
	}
	withheld := e.withheld(k, runTime)
	for d := range demand {
		if demand[d] > 0 && withheld[d] > 0 && e.free[d]-demand[d] < withheld[d] {
			return false, false
		}
	}
	return false, true
}

// keptFree returns the part of unused guarantees, of the given number of slots,
// that stays free of work that can be preempted: at least one lentFraction-th,
// and at least the square root of the slots, which is how much the number of
// tasks that arrive at random varies.
func keptFree(slots int64) float64 {
	if slots <= 1 {
		return 1
	}
	return max(1.0/lentFraction, 1/math.Sqrt(float64(slots)))
}

// withheld returns the room that has to stay free for the unused guarantees of
// other kinds: a small part if the room can be reclaimed by preemption, what is
// expected to be needed if it comes back soon, and otherwise all of it.
func (e *Engine) withheld(k *kindState, runTime time.Duration) amount {
	all := e.reserved.minus(k.reserve)
	switch {
	case k.preempted():
		part := keptFree(all[dimSlots])
		for d := range all {
			all[d] = int64(math.Ceil(part * float64(all[d])))
		}
		return all
	case runTime > 0 && runTime <= shortRunTime:
		return e.expected.minus(k.expected)
	}
	return all
}

// mayHold reports whether workers may be held for the demand: it stays below
// the ceiling and leaves what others are guaranteed and don't use.
func (e *Engine) mayHold(k *kindState, demand *amount) bool {
	after := k.used.plus(*demand)
	if after.dominantShare(&e.capacity) > max(k.ceiling, k.guaranteed)+shareTolerance {
		return false
	}
	for d := range after {
		if demand[d] > 0 && after[d] > e.capacity[d]-(e.reserved[d]-k.reserve[d]) {
			return false
		}
	}
	return true
}

// precedes orders kinds: those below their guarantee by urgency, then the
// others by their share above the guarantee for their weight.
func (k *kindState) precedes(other *kindState) bool {
	below, otherBelow := k.share < k.guaranteed-shareTolerance, other.share < other.guaranteed-shareTolerance
	if below != otherBelow {
		return below
	}
	if below && k.policy.Urgency != other.policy.Urgency {
		return k.policy.Urgency > other.policy.Urgency
	}
	mine, theirs := (k.share-k.guaranteed)/k.weight, (other.share-other.guaranteed)/other.weight
	if below {
		mine, theirs = k.share/k.guaranteed, other.share/other.guaranteed
	}
	if mine != theirs {
		return mine < theirs
	}
	return k.policy.Urgency > other.policy.Urgency
}
