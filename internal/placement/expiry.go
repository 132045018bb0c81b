package placement

import "time"

const (
	// expiryTick and expirySlots give the wheel a turn of about 65 s. Later
	// times stay in their slot for more than one turn.
	expiryTick  = time.Millisecond
	expirySlots = 1 << 16
)

// expiryLink places an entry in a slot of the wheel.
type expiryLink struct {
	listed        bool
	slot          int32
	before, after *entry
}

// expiryWheel orders start-by times so that adding and removing take constant
// time and a sweep visits only the slots that have passed.
type expiryWheel struct {
	slots []*entry
	// swept is the tick up to which all slots were visited.
	swept int64
	count int
}

func tickOf(at time.Time) int64 { return at.UnixNano() / int64(expiryTick) }

func (x *expiryWheel) add(now time.Time, en *entry) {
	if en.task.StartBy.IsZero() {
		return
	}
	if x.slots == nil {
		x.slots = make([]*entry, expirySlots)
	}
	if x.count == 0 {
		x.swept = tickOf(now) - 1
	}
	// A time that the sweep has passed goes to the next slot that it visits.
	slot := int32(max(tickOf(en.task.StartBy), x.swept+1) & (expirySlots - 1))
	en.expiry = expiryLink{listed: true, slot: slot, after: x.slots[slot]}
	if first := x.slots[slot]; first != nil {
		first.expiry.before = en
	}
	x.slots[slot] = en
	x.count++
}

func (x *expiryWheel) remove(en *entry) {
	link := &en.expiry
	if !link.listed {
		return
	}
	if link.before != nil {
		link.before.expiry.after = link.after
	} else {
		x.slots[link.slot] = link.after
	}
	if link.after != nil {
		link.after.expiry.before = link.before
	}
	*link = expiryLink{}
	x.count--
}

// expire returns waiting tasks whose start-by time has passed, until there are
// limit decisions. A gang expires as a whole.
func (e *Engine) expire(now time.Time, limit int, decisions []Decision) []Decision {
	x := &e.expiry
	if x.count == 0 {
		return decisions
	}
	last := tickOf(now) - 1
	if last-x.swept > expirySlots {
		x.swept = last - expirySlots
	}
	for tick := x.swept + 1; tick <= last; tick++ {
		// The due entries are collected first, because a gang that expires
		// removes several entries of the list.
		var due []*entry
		for en := x.slots[tick&(expirySlots-1)]; en != nil && len(due) <= limit; en = en.expiry.after {
			if now.After(en.task.StartBy) {
				due = append(due, en)
			}
		}
		for _, en := range due {
			if !en.expiry.listed {
				continue
			}
			if len(decisions) >= limit {
				return decisions
			}
			decisions = e.expireEntry(en, decisions)
		}
		if len(due) > limit {
			return decisions
		}
		x.swept = tick
	}
	return decisions
}

func (e *Engine) expireEntry(en *entry, decisions []Decision) []Decision {
	const reason = "start-by time has passed"
	if en.gang == nil {
		e.forget(en)
		return append(decisions, Decision{Verb: VerbExpire, Task: en.task, Reason: reason})
	}
	for members := en.gang.members; len(members) > 0; members = en.gang.members {
		member := members[len(members)-1]
		e.forget(member)
		decisions = append(decisions, Decision{Verb: VerbExpire, Task: member.task, Reason: reason})
	}
	return decisions
}
