package placement

import "time"

const (
	// With expiryTick and expirySlots, one revolution of the wheel takes about
	// 65 s. Entries with later times stay in their slot for several revolutions.
	expiryTick  = time.Millisecond
	expirySlots = 1 << 16
)

// expiryLink is the position of an entry in the wheel.
type expiryLink struct {
	listed         bool
	slot           int32
	previous, next *entry
}

// expiryWheel is a timing wheel of start-by times: adding and removing an entry
// take constant time, and a sweep visits only the slots whose time has passed.
type expiryWheel struct {
	slots []*entry
	// The slots of all ticks up to swept have been visited.
	swept int64
	count int
}

func tickOf(at time.Time) int64 { return at.UnixNano() / int64(expiryTick) }

func (wheel *expiryWheel) add(now time.Time, en *entry) {
	if en.task.StartBy.IsZero() {
		return
	}
	if wheel.slots == nil {
		wheel.slots = make([]*entry, expirySlots)
	}
	if wheel.count == 0 {
		wheel.swept = tickOf(now) - 1
	}
	// A time before the last sweep goes to the slot that is visited next.
	slot := int32(max(tickOf(en.task.StartBy), wheel.swept+1) & (expirySlots - 1))
	en.expiry = expiryLink{listed: true, slot: slot, next: wheel.slots[slot]}
	if first := wheel.slots[slot]; first != nil {
		first.expiry.previous = en
	}
	wheel.slots[slot] = en
	wheel.count++
}

func (wheel *expiryWheel) remove(en *entry) {
	link := &en.expiry
	if !link.listed {
		return
	}
	if link.previous != nil {
		link.previous.expiry.next = link.next
	} else {
		wheel.slots[link.slot] = link.next
	}
	if link.next != nil {
		link.next.expiry.previous = link.previous
	}
	*link = expiryLink{}
	wheel.count--
}

// expire removes waiting tasks whose start-by time has passed and appends a
// decision for each, up to limit decisions. A gang expires as a whole.
func (e *Engine) expire(now time.Time, limit int, decisions []Decision) []Decision {
	wheel := &e.expiry
	if wheel.count == 0 {
		return decisions
	}
	last := tickOf(now) - 1
	if last-wheel.swept > expirySlots {
		wheel.swept = last - expirySlots
	}
	for tick := wheel.swept + 1; tick <= last; tick++ {
		// The due entries are collected first, because a gang that expires
		// removes several entries from the list.
		var due []*entry
		for en := wheel.slots[tick&(expirySlots-1)]; en != nil && len(due) <= limit; en = en.expiry.next {
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
		wheel.swept = tick
	}
	return decisions
}

func (e *Engine) expireEntry(en *entry, decisions []Decision) []Decision {
	const reason = "start-by time has passed"
	if en.gang == nil {
		e.removeWaiting(en)
		return append(decisions, Decision{Verb: VerbExpire, Task: en.task, Reason: reason})
	}
	for members := en.gang.members; len(members) > 0; members = en.gang.members {
		member := members[len(members)-1]
		e.removeWaiting(member)
		decisions = append(decisions, Decision{Verb: VerbExpire, Task: member.task, Reason: reason})
	}
	return decisions
}
