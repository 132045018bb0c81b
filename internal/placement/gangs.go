package placement

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// gangKey identifies one attempt of a gang.
type gangKey struct {
	key     workload.Key
	attempt int
}

// gang is the waiting tasks that have to start together.
type gang struct {
	key     gangKey
	size    int
	kind    *kindState
	team    *teamState
	members []*entry
	// total is the demand of all members. largest is the largest demand of a
	// member in each dimension.
	total, largest resourceVector
	runTime        time.Duration
	// placeholder is the entry that represents the gang in its queue while the
	// gang is complete.
	placeholder    *entry
	previous, next *gang
	// triedGeneration is the generation in which the complete gang did not fit,
	// or 0 if it was not tried yet.
	triedGeneration uint64
	// nextPlanAt is the earliest time of the next plan, after a plan found no
	// feasible start.
	nextPlanAt time.Time
}

// joinGang adds a task to its gang. It returns the reason if the task does not
// belong to the gang, or else an empty string.
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

// completeGang queues a gang whose tasks are all waiting, as one placeholder.
func (e *Engine) completeGang(g *gang) {
	g.total, g.largest, g.runTime = resourceVector{}, resourceVector{}, 0
	for _, member := range g.members {
		demand := taskDemand(&member.task)
		g.total, g.largest = g.total.plus(demand), g.largest.maximum(demand)
		if sortableRunTime(member.runTime) > sortableRunTime(g.runTime) || g.runTime == 0 {
			g.runTime = member.runTime
		}
	}
	g.placeholder = &entry{task: g.members[0].task, gang: g, kind: g.kind, team: g.team, runTime: g.runTime}
	g.triedGeneration, g.nextPlanAt = 0, time.Time{}
	e.push(g.placeholder)
	g.previous = e.gangTail
	if g.previous != nil {
		g.previous.next = g
	} else {
		e.gangHead = g
	}
	e.gangTail = g
}

// leaveGang removes a member in constant time. The gang is then incomplete.
func (e *Engine) leaveGang(en *entry) {
	g := en.gang
	e.removePlaceholder(g)
	last := g.members[len(g.members)-1]
	g.members[en.gangPosition], last.gangPosition = last, en.gangPosition
	g.members[len(g.members)-1] = nil
	g.members = g.members[:len(g.members)-1]
	if len(g.members) == 0 {
		delete(e.gangs, g.key)
	}
}

func (e *Engine) removePlaceholder(g *gang) {
	if g.placeholder == nil {
		return
	}
	if e.gangPlan != nil && e.gangPlan.gang == g {
		e.dropGangPlan(e.gangPlan)
	}
	e.unlink(g.placeholder)
	g.placeholder = nil
	if g.previous != nil {
		g.previous.next = g.next
	} else {
		e.gangHead = g.next
	}
	if g.next != nil {
		g.next.previous = g.previous
	} else {
		e.gangTail = g.previous
	}
	g.previous, g.next = nil, nil
}

// startGang starts all members or none, and reports whether it started them.
func (e *Engine) startGang(now time.Time, g *gang, decisions []Decision) ([]Decision, bool) {
	if g.triedGeneration == e.generation {
		return decisions, false
	}
	g.triedGeneration = e.generation
	_, allowed := e.checkQuota(g.kind, &g.total, g.runTime)
	if !allowed && e.gangPlan != nil && e.gangPlan.gang == g {
		// Resources were kept free for this gang, so it may start even if the
		// other workers have less free than the unused guarantees of the other
		// kinds.
		allowed = e.mayPlanGang(g.kind, &g.total)
	}
	if !allowed || !g.total.fits(&e.free) {
		return decisions, false
	}
	allocated := make([]*allocation, 0, g.size)
	for _, member := range g.members {
		s := e.searchFor(now, &member.task, g.kind, member.runTime)
		s.forGang = g
		w := e.find(&s)
		if w == nil {
			for i := len(allocated) - 1; i >= 0; i-- {
				e.release(allocated[i])
			}
			return decisions, false
		}
		alloc := e.newAllocation(member.task, now)
		if w.gangPlan != nil && w.gangPlan.gang != g && !w.gangPlan.endsBeforeStart(&s) {
			alloc.backfills = w.gangPlan
		}
		e.allocate(w, alloc)
		allocated = append(allocated, alloc)
	}
	for i, member := range append([]*entry(nil), g.members...) {
		e.removeWaiting(member)
		e.placed[member.task.ID] = allocated[i]
		e.notifyStarted(now, allocated[i])
		decisions = append(decisions, Decision{Verb: VerbStart, Task: member.task, Worker: allocated[i].worker.worker.Name})
	}
	return decisions, true
}
