package membership

import (
	"time"
)

// Tick applies the passage of time and returns what changed, in the order of
// the members' names. The caller calls it every 50 ms.
func (t *Table) Tick(now time.Time) []Change {
	t.advance(now)
	var changes []Change
	for _, r := range t.records {
		if change, changed := t.judge(r); changed {
			changes = append(changes, change)
		}
	}
	t.update()
	return changes
}

// Receive takes a heartbeat of another member. It returns what changed, or
// ErrUnknownMember or ErrOwnName.
func (t *Table) Receive(now time.Time, heartbeat Heartbeat) ([]Change, error) {
	t.advance(now)
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
	restarted := r.reach != Unheard && heartbeat.Incarnation > r.incarnation
	if restarted && r.reach == Live {
		// The restart was quicker than suspicion. The new process doesn't hear
		// anyone yet, and its roles were lost with the old one.
		if !r.draining {
			t.countLoss(r)
		}
		r.liveSince, r.listedAt = t.running, t.running
		r.withheldUntil = t.running + backOff(r.losses)
	}
	r.incarnation, r.sequence = heartbeat.Incarnation, heartbeat.Sequence
	r.draining, r.unready = heartbeat.Draining, heartbeat.Unready
	r.heard, r.withholds = t.nameSet(heartbeat.Heard), t.nameSet(heartbeat.Withheld)
	r.heardAt, r.listed = t.running, r.heard[t.self.member.Name]
	if r.listed {
		r.listedAt = t.running
	}
	change, changed := t.judge(r)
	t.update()
	if restarted {
		change.Restarted = true
	}
	if changed || restarted {
		return []Change{change}, nil
	}
	return nil, nil
}

// HeartbeatDue returns the next heartbeat once an interval. It goes to all
// peers, also to those that are not live.
func (t *Table) HeartbeatDue(now time.Time) (Heartbeat, bool) {
	t.advance(now)
	if t.sequence > 0 && t.running < t.heartbeatAt {
		return Heartbeat{}, false
	}
	t.heartbeatAt = max(t.heartbeatAt+HeartbeatInterval, t.running)
	t.sequence++
	heartbeat := Heartbeat{
		From: t.self.member.Name, Incarnation: t.incarnation, Sequence: t.sequence,
		Draining: t.self.draining, Unready: t.self.unready,
	}
	for _, r := range t.records {
		if r == t.self || !t.hears(r) {
			continue
		}
		heartbeat.Heard = append(heartbeat.Heard, r.member.Name)
		if t.withholds(r) {
			heartbeat.Withheld = append(heartbeat.Withheld, r.member.Name)
		}
	}
	return heartbeat, true
}

// advance moves the running time on by the time since the last call, at most
// by MaxStep. A clock that went back adds nothing.
func (t *Table) advance(now time.Time) {
	t.running += min(max(now.Sub(t.lastCall), 0), MaxStep)
	t.lastCall = now
}

func (t *Table) hears(r *record) bool {
	return r.sequence > 0 && t.running-r.heardAt <= SuspectAfter
}

// judge brings the reach of a member up to date.
func (t *Table) judge(r *record) (Change, bool) {
	if r == t.self {
		return Change{}, false
	}
	reach := r.reach
	switch {
	case t.hears(r) && r.listed:
		reach = Live
	case t.hears(r) && r.reach == Live && t.running-r.listedAt <= UnlistedGrace:
	case t.hears(r):
		reach = Cut
	case r.reach != Unheard:
		reach = Suspect
	}
	change := Change{Member: r.member.Name, From: r.reach, To: reach}
	if reach == r.reach {
		if reach == Live && t.running-r.liveSince > FlapMemory {
			r.losses = 0
		}
		return change, false
	}
	if r.reach == Live && !r.draining {
		t.countLoss(r)
	}
	if reach == Live {
		r.liveSince = t.running
		r.withheldUntil = t.running + backOff(r.losses)
	}
	r.reach = reach
	return change, true
}

func (t *Table) countLoss(r *record) {
	if t.running-r.liveSince > FlapMemory {
		r.losses = 0
	}
	r.losses++
}

// backOff returns how long a member stays without roles after its return. The
// first loss costs nothing: a single crash or partition is not flapping.
func backOff(losses int) time.Duration {
	if losses < 2 {
		return 0
	}
	return min(FirstBackOff<<min(losses-2, 10), MaxBackOff)
}

// withholds reports whether this node would give the member no roles.
func (t *Table) withholds(r *record) bool {
	return r.reach == Live && t.running < r.withheldUntil
}

// withheld reports whether more than half of the live members other than r
// would give r no roles.
func (t *Table) withheld(r *record) bool {
	voters, votes := 0, 0
	for _, voter := range t.records {
		if voter == r || voter.reach != Live {
			continue
		}
		voters++
		if voter.withholds[r.member.Name] || voter == t.self && t.withholds(r) {
			votes++
		}
	}
	return votes*2 > voters
}

// update recomputes who may have roles and raises the version if that changed.
func (t *Table) update() {
	everyone, changed := true, false
	for i, r := range t.records {
		everyone = everyone && r.reach == Live
		owner := r.reach == Live && !r.draining && !t.withheld(r)
		eligible := eligibility{home: owner && !r.unready, owner: owner}
		changed = changed || eligible != t.eligible[i]
		t.eligible[i] = eligible
	}
	if !t.settled && (everyone || t.running >= SuspectAfter) {
		t.settled, changed = true, true
	}
	if changed {
		t.version++
	}
}

// nameSet keeps the known names only, so that its size is bounded.
func (t *Table) nameSet(names []string) map[string]bool {
	set := make(map[string]bool, min(len(names), len(t.records)))
	for _, name := range names {
		if t.byName[name] != nil {
			set[name] = true
		}
	}
	return set
}
