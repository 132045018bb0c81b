package control

import (
	"fmt"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// localPreference is the share of the best owner's free room at which a home
// uses its own workers: it saves a message there and back.
const localPreference = 0.5

// tooLargeAfter is how long the fleet has to be too small for a request before
// the request is set aside; an owner's restart takes less.
const tooLargeAfter = 10 * time.Second

// asidePerTick bounds the jobs set aside that one tick looks at.
const asidePerTick = 4

// ownerView is what a home knows of an owner's room.
type ownerView struct {
	summary placement.Summary
	at      time.Time
	// draining is set while the owner is stopping and returns what it is given.
	draining bool
	// sentSince counts assignments since the summary.
	sentSince int
	// outstanding counts assignments without a start.
	outstanding map[work]int
}

func (n *Node) ownerView(name string) *ownerView {
	view := n.owners[name]
	if view == nil {
		view = &ownerView{outstanding: map[work]int{}}
		n.owners[name] = view
	}
	return view
}

// dispatch assigns queued requests to owners, the most urgent kind of the team
// first, while quota and room allow it.
func (n *Node) dispatch(h *home) {
	n.expire(h)
	for _, q := range h.queues {
		for e := q.head(); e != nil; e = q.head() {
			if !n.dispatchEntry(h, q, e) {
				break
			}
		}
	}
}

// dispatchEntry assigns one request; false means that its kind has to wait.
func (n *Node) dispatchEntry(h *home, q *kindQueue, e *entry) bool {
	if e.canceled {
		n.refuseEntry(h, e, workload.Refuse(workload.CodeCanceled, 0, "canceled before it started"))
		return true
	}
	if reason := n.quotaReached(h, e); reason != "" {
		e.wait(n.now, reason)
		return false
	}
	owner := n.pickOwner(e)
	if owner == "" && n.setAside(h, e) {
		return true
	}
	if owner == "" {
		e.wait(n.now, "room: no owner takes more work of this size now")
		return false
	}
	q.drop(e)
	n.assignTask(h, e, 0, owner)
	return true
}

// quotaReached says which quota of the team keeps the request waiting.
func (n *Node) quotaReached(h *home, e *entry) string {
	rule, _ := n.rules.team(h.place.Team)
	wanted := h.used.Add(e.request.Resources.Times(int64(e.gangSize())))
	for _, limit := range []struct {
		name        string
		wanted, max int64
	}{
		{"milli-cpu", wanted.MilliCPU, rule.Quota.MilliCPU},
		{"memory-mb", wanted.MemoryMB, rule.Quota.MemoryMB},
		{"accelerators", wanted.Accelerators, rule.Quota.Accelerators},
		{"running-tasks", int64(h.running + e.gangSize()), int64(rule.RunningTasks)},
	} {
		if limit.max != 0 && limit.wanted > max(limit.max, 0) {
			return fmt.Sprintf("quota: team %s has %s in use up to its quota of %d", h.place.Team, limit.name, limit.max)
		}
	}
	return ""
}

func (n *Node) count(h *home, e *entry) {
	if !e.counted {
		e.counted = true
		h.used = h.used.Add(e.request.Resources.Times(int64(e.gangSize())))
		h.running += e.gangSize()
	}
}

func (n *Node) uncount(h *home, e *entry) {
	if e.counted {
		e.counted = false
		h.used = h.used.Sub(e.request.Resources.Times(int64(e.gangSize())))
		h.running -= e.gangSize()
	}
}

// pickOwner chooses the owner with the most free room for a request, or the one
// with the fewest outstanding assignments if none has room. It is empty if
// every owner has its fill of this work. The bound is by team and kind: a flood
// of one kind must not keep another kind of the team away from the owners, who
// alone know the shares.
func (n *Node) pickOwner(e *entry) string {
	best, bestFree := "", 0.0
	waiting, least := "", 0.0
	wanted := work{e.request.Team, e.request.Kind}
	for _, name := range n.regionOwners(n.options.Region) {
		view := n.ownerView(name)
		s := &view.summary
		if view.draining || s.Workers == 0 || !e.request.Resources.Fits(s.LargestTotal) || e.avoids(name) {
			continue
		}
		free := float64(s.FreeSlots-view.sentSince) / float64(s.Workers)
		if free > 0 && e.request.Resources.Fits(s.LargestFree) && free > bestFree {
			best, bestFree = name, free
		}
		share := float64(view.outstanding[wanted]) / float64(s.Workers)
		if view.outstanding[wanted] < min(maxAssignments, 2*s.Workers) && (waiting == "" || share < least) {
			waiting, least = name, share
		}
	}
	if best == "" {
		return waiting
	}
	own := n.ownerView(n.options.Name)
	if own.summary.Workers > 0 && e.request.Resources.Fits(own.summary.LargestFree) && !e.avoids(n.options.Name) {
		free := float64(own.summary.FreeSlots-own.sentSince) / float64(own.summary.Workers)
		if free >= localPreference*bestFree && free > 0 {
			return n.options.Name
		}
	}
	return best
}

// avoids reports whether the last attempt was returned by this owner, which is
// then passed over once.
func (e *entry) avoids(owner string) bool {
	return e.returnedBy == owner && owner != ""
}

// assignTask hands one task to an owner.
func (n *Node) assignTask(h *home, e *entry, index int, owner string) {
	t := &e.tasks[index]
	h.beginAttempt(e, t)
	t.state, t.owner, t.worker, t.changedAt, t.askedAt = taskAssigned, owner, "", n.now, n.now
	e.state, e.waiting, e.returnedBy = workload.StateAssigned, "", ""
	n.count(h, e)
	n.activate(h, e)
	view := n.ownerView(owner)
	view.sentSince++
	view.outstanding[t.work]++
	e.note(n.now, "assigned", "to owner "+owner)
	message := &Assign{
		Assignment: e.assignment(index, h.place.Region, e.front(), e.acceptedAt),
		Lease:      h.number,
		Payload:    e.request.Payload,
	}
	if !e.startBy.IsZero() {
		message.StartWithin = max(e.startBy.Sub(n.now), time.Millisecond)
	}
	n.sendBulk(owner, message)
}

// beginAttempt gives a task an identity that no earlier attempt had, also not
// one of a former home: attempts are numbered from the lease's first number,
// which grows from home to home however their clocks differ.
func (h *home) beginAttempt(e *entry, t *task) {
	e.sequence++
	t.id.Attempt = int(h.recovery.first.Timestamp) + e.sequence
}

func (e *entry) front() string {
	if len(e.fronts) == 0 {
		return ""
	}
	return e.fronts[len(e.fronts)-1].Name
}

func (n *Node) activate(h *home, e *entry) {
	if !e.active {
		e.active = true
		h.active = append(h.active, e)
	}
}

// setAside takes a request out of the way of others once the fleet has been too
// small for it for a while. A job waits aside until the fleet has grown; any
// other request is refused. It reports whether the request was set aside.
func (n *Node) setAside(h *home, e *entry) bool {
	reason := n.neverRunnable(h, e)
	if reason == "" {
		e.tooLargeSince = time.Time{}
		return false
	}
	if e.tooLargeSince.IsZero() {
		e.tooLargeSince = n.now
	}
	if n.now.Sub(e.tooLargeSince) < tooLargeAfter {
		return false
	}
	n.event(EventNeverRunnable, string(e.request.Key), reason)
	if !e.durable {
		n.refuseEntry(h, e, workload.Refuse(workload.CodeNeverRunnable, 0, "%s", reason))
		return true
	}
	if e.queued {
		h.queue(e.request.Kind, KindRule{}).drop(e)
	}
	if e.gang.reserving {
		n.releaseGang(h, e)
	}
	h.gangs = slices.DeleteFunc(h.gangs, func(other *entry) bool { return other == e })
	e.wait(n.now, "a larger fleet: "+reason)
	h.aside = append(h.aside, e)
	return true
}

// tickAside queues jobs again for which the fleet has become large enough. It
// looks at a few in each tick, so that its work doesn't grow with their number.
func (n *Node) tickAside(h *home) {
	for range min(len(h.aside), asidePerTick) {
		e := h.aside[0]
		h.aside = h.aside[1:]
		switch {
		case e.ended() || e.state != workload.StateQueued:
		case e.canceled || n.neverRunnable(h, e) == "":
			e.tooLargeSince = time.Time{}
			n.queueEntry(h, e)
		default:
			h.aside = append(h.aside, e)
		}
	}
}

// neverRunnable says why a request could not run on any worker of the region,
// even if all were empty.
func (n *Node) neverRunnable(h *home, e *entry) string {
	known, fits := 0, 0
	var room int64
	for _, name := range n.regionOwners(h.place.Region) {
		s := n.ownerView(name).summary
		known += s.Workers
		if s.Workers > 0 && e.request.Resources.Fits(s.LargestTotal) {
			fits += s.Workers
			room += gangRoom(s.Capacity, e.request.Resources)
		}
	}
	switch {
	case known*3 < len(n.workers.listed(h.place.Region))*2 || known == 0:
		// Too few workers are known to say that none will do.
		return ""
	case fits == 0:
		return fmt.Sprintf("no worker of region %s is large enough for %d milli-cpu, %d MB and %d accelerators",
			h.place.Region, e.request.Resources.MilliCPU, e.request.Resources.MemoryMB, e.request.Resources.Accelerators)
	case int64(e.gangSize()) > room:
		return fmt.Sprintf("region %s has room for %d tasks of this size when empty, the gang has %d", h.place.Region, room, e.gangSize())
	}
	return ""
}

// gangRoom is an upper bound on the tasks of a size that fit in a capacity.
func gangRoom(capacity, size workload.Resources) int64 {
	room := int64(1) << 40
	for _, dimension := range [][2]int64{
		{capacity.MilliCPU, size.MilliCPU}, {capacity.MemoryMB, size.MemoryMB}, {capacity.Accelerators, size.Accelerators},
	} {
		if dimension[1] > 0 {
			room = min(room, dimension[0]/dimension[1])
		}
	}
	return room
}

// refreshOwnView takes this node's own room into its view, as heartbeats do for
// the room of others.
func (n *Node) refreshOwnView() {
	view := n.ownerView(n.options.Name)
	view.summary, view.at, view.sentSince = n.owner.engine.Summary(n.now), n.now, 0
}

// regionOwners are the members of a region that may be given work, by name.
func (n *Node) regionOwners(region string) []string {
	return n.members.liveInRegion(region)
}
