package placement

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// gangKey names one attempt of a gang.
type gangKey struct {
	key     workload.Key
	attempt int
}

// gang collects the tasks that have to start together.
type gang struct {
	key     gangKey
	size    int
	kind    *kindState
	team    *teamState
	members []*entry
	// total is the demand of all members; largest is the largest demand of one.
	total, largest amount
	runTime        time.Duration
	// ticket stands in the queue for the gang while it is complete.
	ticket        *entry
	before, after *gang
	// triedAt is the wake count at which the complete gang did not fit; 0 if
	// it was not tried yet.
	triedAt uint64
	// planAgainAt limits how often a start is planned that was not feasible.
	planAgainAt time.Time
}

// joinGang adds a member to its gang, or says why it does not belong there.
func (e *Engine) joinGang(en *entry) string {
	key := gangKey{en.task.ID.Key, en.task.ID.Attempt}
	g := e.gangs[key]
	if g == nil {
		g = &gang{key: key, size: en.task.GangSize, kind: en.kind, team: en.team}
		e.gangs[key] = g
	}
	if g.size != en.task.GangSize || g.kind != en.kind || g.team != en.team {
		return fmt.Sprintf("gang size, kind and team must be those of the other tasks with key %q", key.key)
	}
	en.gang, en.gangPosition = g, len(g.members)
	g.members = append(g.members, en)
	if len(g.members) == g.size {
		e.completeGang(g)
	}
	return ""
}

func (e *Engine) completeGang(g *gang) {
	g.total, g.largest, g.runTime = amount{}, amount{}, 0
	for _, member := range g.members {
		demand := taskDemand(&member.task)
		g.total, g.largest = g.total.plus(demand), g.largest.highest(demand)
		if longest(member.runTime) > longest(g.runTime) || g.runTime == 0 {
			g.runTime = member.runTime
		}
	}
	g.ticket = &entry{task: g.members[0].task, gang: g, kind: g.kind, team: g.team, runTime: g.runTime}
	g.triedAt, g.planAgainAt = 0, time.Time{}
	e.push(g.ticket)
	g.before = e.gangTail
	if g.before != nil {
		g.before.after = g
	} else {
		e.gangHead = g
	}
	e.gangTail = g
}

// leaveGang removes a member in constant time; the gang is no longer complete.
func (e *Engine) leaveGang(en *entry) {
	g := en.gang
	e.retractTicket(g)
	last := g.members[len(g.members)-1]
	g.members[en.gangPosition], last.gangPosition = last, en.gangPosition
	g.members[len(g.members)-1] = nil
	g.members = g.members[:len(g.members)-1]
	if len(g.members) == 0 {
		delete(e.gangs, g.key)
	}
}

func (e *Engine) retractTicket(g *gang) {
	if g.ticket == nil {
		return
	}
	if e.hold != nil && e.hold.gang == g {
		e.dropHold(e.hold)
	}
	e.unlink(g.ticket)
	g.ticket = nil
	if g.before != nil {
		g.before.after = g.after
	} else {
		e.gangHead = g.after
	}
	if g.after != nil {
		g.after.before = g.before
	} else {
		e.gangTail = g.before
	}
	g.before, g.after = nil, nil
}

// startGang starts all members or none.
func (e *Engine) startGang(now time.Time, g *gang, decisions []Decision) ([]Decision, bool) {
	if g.triedAt == e.wake {
		return decisions, false
	}
	g.triedAt = e.wake
	_, allowed := e.entitlement(g.kind, &g.total, g.runTime)
	if !allowed && e.hold != nil && e.hold.gang == g {
		// What the gang gets was drained for it; free room elsewhere that
		// others are guaranteed is not needed.
		allowed = e.mayHold(g.kind, &g.total)
	}
	if !allowed || !g.total.fits(&e.free) {
		return decisions, false
	}
	placed := make([]*runningTask, 0, g.size)
	for _, member := range g.members {
		s := e.searchFor(now, &member.task, g.kind, member.runTime)
		s.holder = g
		w := e.find(&s)
		if w == nil {
			for i := len(placed) - 1; i >= 0; i-- {
				e.vacate(placed[i])
			}
			return decisions, false
		}
		r := e.newRunning(member.task, now)
		if w.hold != nil && w.hold.gang != g && !w.hold.endsBefore(&s) {
			r.usesSpare = w.hold
		}
		e.occupy(w, r)
		placed = append(placed, r)
	}
	for i, member := range append([]*entry(nil), g.members...) {
		e.forget(member)
		e.place[member.task.ID] = placed[i]
		e.tellStarted(now, placed[i])
		decisions = append(decisions, Decision{Verb: VerbStart, Task: member.task, Worker: placed[i].worker.worker.Name})
	}
	return decisions, true
}
