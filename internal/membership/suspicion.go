package membership

import (
	"time"
)

// Tick advances the time and returns the changes, sorted by the members' names.
// Call it every 50 ms.
func (t *Table) Tick(now time.Time) []Change {
	t.advanceClock(now)
	var changes []Change
	for _, r := range t.records {
		if change, changed := t.updateReachability(r); changed {
			changes = append(changes, change)
		}
	}
	t.updateEligibility()
	return changes
}

// Receive handles a heartbeat from another member and returns the changes, or
// ErrUnknownMember or ErrOwnName. It ignores a heartbeat that is older than one
// already received from the member.
func (t *Table) Receive(now time.Time, heartbeat Heartbeat) ([]Change, error) {
	t.advanceClock(now)
	r := t.byName[heartbeat.From]
	if r == nil {
		return nil, ErrUnknownMember
	}
	if r == t.self {
		return nil, ErrOwnName
	}
	if heartbeat.Incarnation < r.incarnation ||
		heartbeat.Incarnation == r.incarnation && heartbeat.Sequence <= r.sequence {
		return nil, nil
	}
	restarted := r.reachability != NeverHeard && heartbeat.Incarnation > r.incarnation
	if restarted && r.reachability == Live {
		// The member restarted within SuspectAfter. This counts as a loss, as the
		// roles of the old process ended with it.
		if !r.draining {
			t.countLoss(r)
		}
		r.liveSince, r.lastListedAt = t.runningTime, t.runningTime
		r.suppressedUntil = t.runningTime + backOff(r.losses)
	}
	r.incarnation, r.sequence = heartbeat.Incarnation, heartbeat.Sequence
	r.draining, r.unready = heartbeat.Draining, heartbeat.Unready
	r.heardNames, r.suppressedNames = t.knownNames(heartbeat.Heard), t.knownNames(heartbeat.Suppressed)
	r.lastHeardAt, r.listsThisNode = t.runningTime, r.heardNames[t.self.member.Name]
	if r.listsThisNode {
		r.lastListedAt = t.runningTime
	}
	change, changed := t.updateReachability(r)
	t.updateEligibility()
	if restarted {
		change.Restarted = true
	}
	if changed || restarted {
		return []Change{change}, nil
	}
	return nil, nil
}

// HeartbeatDue returns the next heartbeat, or false if HeartbeatInterval hasn't
// passed since the last one. Send it to all peers, also to those that aren't live.
func (t *Table) HeartbeatDue(now time.Time) (Heartbeat, bool) {
	t.advanceClock(now)
	if t.sequence > 0 && t.runningTime < t.nextHeartbeat {
		return Heartbeat{}, false
	}
	t.nextHeartbeat = max(t.nextHeartbeat+HeartbeatInterval, t.runningTime)
	t.sequence++
	heartbeat := Heartbeat{
		From: t.self.member.Name, Incarnation: t.incarnation, Sequence: t.sequence,
		Draining: t.self.draining, Unready: t.self.unready,
	}
	for _, r := range t.records {
		if r == t.self || !t.isHeard(r) {
			continue
		}
		heartbeat.Heard = append(heartbeat.Heard, r.member.Name)
		if t.suppresses(r) {
			heartbeat.Suppressed = append(heartbeat.Suppressed, r.member.Name)
		}
	}
	return heartbeat, true
}

// advanceClock increases the running time by the time since the last call, but by
// at most MaxCallGap. A clock that went back adds nothing.
func (t *Table) advanceClock(now time.Time) {
	t.runningTime += min(max(now.Sub(t.lastCall), 0), MaxCallGap)
	t.lastCall = now
}

// isHeard reports whether a heartbeat from the member arrived within SuspectAfter.
func (t *Table) isHeard(r *record) bool {
	return r.sequence > 0 && t.runningTime-r.lastHeardAt <= SuspectAfter
}

// updateReachability recomputes the reachability of a member and returns the change
// and whether there is one.
func (t *Table) updateReachability(r *record) (Change, bool) {
	if r == t.self {
		return Change{}, false
	}
	reachability := r.reachability
	switch {
	case t.isHeard(r) && r.listsThisNode:
		reachability = Live
	case t.isHeard(r) && r.reachability == Live && t.runningTime-r.lastListedAt <= UnlistedGrace:
	case t.isHeard(r):
		reachability = InboundOnly
	case r.reachability != NeverHeard:
		reachability = Suspect
	}
	change := Change{Member: r.member.Name, From: r.reachability, To: reachability}
	if reachability == r.reachability {
		if reachability == Live && t.runningTime-r.liveSince > FlapResetAfter {
			r.losses = 0
		}
		return change, false
	}
	if r.reachability == Live && !r.draining {
		t.countLoss(r)
	}
	if reachability == Live {
		r.liveSince = t.runningTime
		r.suppressedUntil = t.runningTime + backOff(r.losses)
	}
	r.reachability = reachability
	return change, true
}

// countLoss counts a loss of a live member. It resets the count first if the
// member was live for longer than FlapResetAfter.
func (t *Table) countLoss(r *record) {
	if t.runningTime-r.liveSince > FlapResetAfter {
		r.losses = 0
	}
	r.losses++
}

// backOff returns how long a member gets no roles after its return. It is zero
// after the first loss: a single crash or partition isn't flapping.
func backOff(losses int) time.Duration {
	if losses < 2 {
		return 0
	}
	return min(InitialBackOff<<min(losses-2, 10), MaxBackOff)
}

// suppresses reports whether this node would give the member no roles.
func (t *Table) suppresses(r *record) bool {
	return r.reachability == Live && t.runningTime < r.suppressedUntil
}

// suppressedByMajority reports whether more than half of the live members other
// than r would give r no roles.
func (t *Table) suppressedByMajority(r *record) bool {
	voters, votes := 0, 0
	for _, voter := range t.records {
		if voter == r || voter.reachability != Live {
			continue
		}
		voters++
		if voter.suppressedNames[r.member.Name] || voter == t.self && t.suppresses(r) {
			votes++
		}
	}
	return votes*2 > voters
}

// updateEligibility recomputes which members may have which roles, and increases
// the version if that changed.
func (t *Table) updateEligibility() {
	allLive, changed := true, false
	for i, r := range t.records {
		allLive = allLive && r.reachability == Live
		owner := r.reachability == Live && !r.draining && !t.suppressedByMajority(r)
		eligible := eligibility{home: owner && !r.unready, owner: owner}
		changed = changed || eligible != t.eligible[i]
		t.eligible[i] = eligible
	}
	if !t.startComplete && (allLive || t.runningTime >= SuspectAfter) {
		t.startComplete, changed = true, true
	}
	if changed {
		t.version++
	}
}

// knownNames returns the set of those names that are members, which bounds its size.
func (t *Table) knownNames(names []string) map[string]bool {
	set := make(map[string]bool, min(len(names), len(t.records)))
	for _, name := range names {
		if t.byName[name] != nil {
			set[name] = true
		}
	}
	return set
}
