package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// shareTolerance allows for rounding when shares are compared.
	shareTolerance = 1e-9
	// guaranteeIdleTimeout is the time without work of a kind after which its
	// unused guarantee is no longer withheld from other work.
	guaranteeIdleTimeout = 10 * time.Minute
	// peakWindow is the shortest time for which the peak of a kind is kept. The
	// kind is expected to need again what it used and asked for at its peak,
	// plus a quarter of that and one task.
	peakWindow = time.Minute
	// 1/headroomDivisor is the smallest part of the unused guarantees that is
	// withheld even from preemptible work, so that ordinary variation of
	// guaranteed work needs no preemption. This part leaves at most 5% of the
	// capacity unused.
	headroomDivisor = 20
)

// kindState is the usage and the queues of one kind of work.
type kindState struct {
	policy     KindPolicy
	guaranteed float64
	ceiling    float64
	weight     float64

	used  resourceVector
	share float64
	// preemptedDemand is the part of used whose tasks were preempted and have
	// not ended.
	preemptedDemand resourceVector
	running         int
	waiting         int
	lastActiveAt    time.Time
	// waitingDemand is the total demand of the waiting tasks. largestDemand is
	// the largest demand of a task in each dimension.
	waitingDemand, largestDemand resourceVector
	// peak and previousPeak are the largest sum of used and waitingDemand in
	// the current and the previous peakWindow.
	peak, previousPeak resourceVector
	peakStartedAt      time.Time
	// unusedGuarantee is the unused part of the guarantee, in the dimensions
	// that the kind's tasks use. expectedNeed is the part of it that the kind
	// is expected to need, judging by its peaks.
	unusedGuarantee, expectedNeed resourceVector

	teamQueues          []*teamQueue
	byTeam              map[*teamState]*teamQueue
	exhaustedGeneration uint64
	// starvedQueue is a queue whose head is within the guarantee and found no
	// worker.
	starvedQueue *shapeQueue
	// nextReclaimAt is the earliest time of the next search for resources to
	// reclaim.
	nextReclaimAt time.Time
}

// teamState is the usage of one team.
type teamState struct {
	name          string
	weight        float64
	used          resourceVector
	weightedShare float64
	running       int
	waiting       int
}

// SetPolicy replaces the policy. It applies from the next call of Schedule on.
// Guarantees whose sum is more than 1 are scaled down to a sum of 1.
func (e *Engine) SetPolicy(policy Policy) {
	e.policy = Policy{Kinds: slices.Clone(policy.Kinds), Teams: slices.Clone(policy.Teams)}
	for _, kind := range policy.Kinds {
		e.kindNamed(kind.Name)
	}
	for _, k := range e.kinds {
		e.applyKindPolicy(k)
	}
	for _, t := range e.teams { // The teams are independent, so the order has no effect.
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

// kindNamed returns the state of the kind, which it adds if it is new. When the
// table is full, kinds without work and guarantee are removed. If it is still
// full, new kinds share the kind with the empty name.
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
	k := &kindState{policy: KindPolicy{Name: name}, byTeam: map[*teamState]*teamQueue{}}
	e.applyKindPolicy(k)
	e.kinds = slices.Insert(e.kinds, at, k)
	return k
}

// teamNamed returns the state of the team, which it adds if it is new. A full
// table is handled as in kindNamed.
func (e *Engine) teamNamed(name string) *teamState {
	if t := e.teams[name]; t != nil {
		return t
	}
	if len(e.teams) >= MaxTeams {
		for other, t := range e.teams { // All idle teams are removed, so the order has no effect.
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

func (k *kindState) teamQueueOf(t *teamState) *teamQueue {
	tq := k.byTeam[t]
	if tq == nil {
		tq = &teamQueue{kind: k, team: t, position: len(k.teamQueues), byShape: map[*shape]*shapeQueue{}}
		k.byTeam[t] = tq
		k.teamQueues = append(k.teamQueues, tq)
	}
	return tq
}

func (k *kindState) removeTeamQueue(tq *teamQueue) {
	last := k.teamQueues[len(k.teamQueues)-1]
	k.teamQueues[tq.position], last.position = last, tq.position
	k.teamQueues = k.teamQueues[:len(k.teamQueues)-1]
	delete(k.byTeam, tq.team)
}

// addUsage adds the demand, which may be negative, to the usage of a kind and a
// team.
func (e *Engine) addUsage(k *kindState, t *teamState, demand resourceVector) {
	k.used = k.used.plus(demand)
	e.updateKind(k)
	t.used = t.used.plus(demand)
	t.weightedShare = t.used.dominantShare(&e.capacity) / t.weight
}

// updateKind recomputes the share, the unused guarantee and the expected need of
// a kind, and the totals of the latter two in the engine.
func (e *Engine) updateKind(k *kindState) {
	k.share = k.used.dominantShare(&e.capacity)
	if k.guaranteed == 0 && k.unusedGuarantee == (resourceVector{}) {
		return
	}
	e.unusedGuarantees, e.expectedNeed = e.unusedGuarantees.minus(k.unusedGuarantee), e.expectedNeed.minus(k.expectedNeed)
	k.unusedGuarantee, k.expectedNeed = resourceVector{}, resourceVector{}
	k.peak = k.peak.maximum(k.used.plus(k.waitingDemand))
	peak := k.peak.maximum(k.previousPeak)
	for d := range peak {
		if k.largestDemand[d] > 0 {
			k.unusedGuarantee[d] = max(0, int64(k.guaranteed*float64(e.capacity[d]))-k.used[d])
			k.expectedNeed[d] = min(k.unusedGuarantee[d], max(0, peak[d]+peak[d]/4+k.largestDemand[d]-k.used[d]))
		}
	}
	e.unusedGuarantees, e.expectedNeed = e.unusedGuarantees.plus(k.unusedGuarantee), e.expectedNeed.plus(k.expectedNeed)
}

// updateIdleGuarantees stops withholding the guarantees of kinds that have been
// idle for guaranteeIdleTimeout, and starts a new peakWindow when one has
// passed.
func (e *Engine) updateIdleGuarantees(now time.Time) {
	for _, k := range e.kinds {
		if k.running+k.waiting > 0 {
			k.lastActiveAt = now
		} else if k.unusedGuarantee != (resourceVector{}) && now.Sub(k.lastActiveAt) > guaranteeIdleTimeout {
			k.peak, k.previousPeak, k.largestDemand = resourceVector{}, resourceVector{}, resourceVector{}
			e.updateKind(k)
			e.generation++
		}
		if now.Sub(k.peakStartedAt) > peakWindow {
			k.previousPeak, k.peak, k.peakStartedAt = k.peak, resourceVector{}, now
			e.updateKind(k)
			e.generation++
		}
	}
}

// reclaimable reports whether resources borrowed by work of the kind with the
// given run time are returned soon, by preemption or because the work is short.
func (k *kindState) reclaimable(runTime time.Duration) bool {
	return k.preemptible() || runTime > 0 && runTime <= shortRunTime
}

func (k *kindState) preemptible() bool {
	return k.policy.Preemption == VerbCheckpoint || k.policy.Preemption == VerbStop
}

// checkQuota reports whether the demand is within the kind's guarantee, and
// whether the kind may take the resources at all.
func (e *Engine) checkQuota(k *kindState, demand *resourceVector, runTime time.Duration) (withinGuarantee, allowed bool) {
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

// headroomShare returns the part of the unused guarantees that is withheld from
// preemptible work, if they include the given number of slots. It is at least
// 1/headroomDivisor. It is also at least 1/sqrt(slots), because tasks that arrive
// at random and use n slots on average vary by about sqrt(n) slots.
func headroomShare(slots int64) float64 {
	if slots <= 1 {
		return 1
	}
	return max(1.0/headroomDivisor, 1/math.Sqrt(float64(slots)))
}

// withheld returns the resources that have to stay free for the unused
// guarantees of other kinds: the part given by headroomShare if the work can be
// preempted, the expected need if the work is short, and otherwise all of them.
func (e *Engine) withheld(k *kindState, runTime time.Duration) resourceVector {
	all := e.unusedGuarantees.minus(k.unusedGuarantee)
	switch {
	case k.preemptible():
		part := headroomShare(all[dimSlots])
		for d := range all {
			all[d] = int64(math.Ceil(part * float64(all[d])))
		}
		return all
	case runTime > 0 && runTime <= shortRunTime:
		return e.expectedNeed.minus(k.expectedNeed)
	}
	return all
}

// mayPlanGang reports whether workers may be kept for the demand: it must stay
// below the ceiling and leave the unused guarantees of the other kinds.
func (e *Engine) mayPlanGang(k *kindState, demand *resourceVector) bool {
	after := k.used.plus(*demand)
	if after.dominantShare(&e.capacity) > max(k.ceiling, k.guaranteed)+shareTolerance {
		return false
	}
	for d := range after {
		if demand[d] > 0 && after[d] > e.capacity[d]-(e.unusedGuarantees[d]-k.unusedGuarantee[d]) {
			return false
		}
	}
	return true
}

// precedes reports whether k goes before other. Kinds below their guarantee go
// first, by urgency; the others follow by their share above the guarantee,
// divided by their weight.
func (k *kindState) precedes(other *kindState) bool {
	below, otherBelow := k.share < k.guaranteed-shareTolerance, other.share < other.guaranteed-shareTolerance
	if below != otherBelow {
		return below
	}
	if below && k.policy.Urgency != other.policy.Urgency {
		return k.policy.Urgency > other.policy.Urgency
	}
	rank, otherRank := (k.share-k.guaranteed)/k.weight, (other.share-other.guaranteed)/other.weight
	if below {
		rank, otherRank = k.share/k.guaranteed, other.share/other.guaranteed
	}
	if rank != otherRank {
		return rank < otherRank
	}
	return k.policy.Urgency > other.policy.Urgency
}
