package control

import (
	"fmt"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// localPreference is the share of the best owner's free capacity that suffices
// for a home to prefer the workers of its own node. Local assignments save a
// message in each direction.
const localPreference = 0.5

// tooLargeAfter is how long the fleet has to be too small for a request before
// the request is deferred or refused. It is longer than an owner takes to
// restart.
const tooLargeAfter = 10 * time.Second

// tooLargePerTick limits the deferred jobs that one tick checks.
const tooLargePerTick = 4

// ownerView is what a home knows about an owner's capacity.
type ownerView struct {
	summary placement.Summary
	at      time.Time
	// draining is set while the owner is draining and returns all assignments.
	draining bool
	// sentSince counts the assignments sent since the last summary.
	sentSince int
	// outstanding counts the assignments that have not started yet.
	outstanding map[teamKind]int
}

func (n *Node) ownerView(name string) *ownerView {
	view := n.owners[name]
	if view == nil {
		view = &ownerView{outstanding: map[teamKind]int{}}
		n.owners[name] = view
	}
	return view
}

// dispatch assigns queued requests to owners while quota and capacity allow it,
// the most urgent kind of the team first.
func (n *Node) dispatch(h *home) {
	n.refuseExpired(h)
	for _, q := range h.queues {
		for e := q.head(); e != nil; e = q.head() {
			if !n.dispatchEntry(h, q, e) {
				break
			}
		}
	}
}

// dispatchEntry assigns one request. It returns false if its kind has to wait.
func (n *Node) dispatchEntry(h *home, q *kindQueue, e *entry) bool {
	if e.canceled {
		n.refuseEntry(h, e, workload.Refuse(workload.CodeCanceled, 0, "canceled before it started"))
		return true
	}
	if reason := n.quotaReached(h, e); reason != "" {
		e.setWaiting(n.now, reason)
		return false
	}
	owner := n.pickOwner(e)
	if owner == "" && n.deferTooLarge(h, e) {
		return true
	}
	if owner == "" {
		e.setWaiting(n.now, "room: no owner takes more work of this size now")
		return false
	}
	q.drop(e)
	n.assignTask(h, e, 0, owner)
	return true
}

// quotaReached returns the reason why a quota of the team delays the request,
// or "".
func (n *Node) quotaReached(h *home, e *entry) string {
	rule, _ := n.rules.team(h.homeRange.Team)
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
			return fmt.Sprintf("quota: team %s has %s in use up to its quota of %d", h.homeRange.Team, limit.name, limit.max)
		}
	}
	return ""
}

// chargeQuota charges an entry to the quota of its team, at most once.
func (n *Node) chargeQuota(h *home, e *entry) {
	if !e.quotaCharged {
		e.quotaCharged = true
		h.used = h.used.Add(e.request.Resources.Times(int64(e.gangSize())))
		h.running += e.gangSize()
	}
}

// releaseQuota releases the quota of an entry.
func (n *Node) releaseQuota(h *home, e *entry) {
	if e.quotaCharged {
		e.quotaCharged = false
		h.used = h.used.Sub(e.request.Resources.Times(int64(e.gangSize())))
		h.running -= e.gangSize()
	}
}

// pickOwner returns the owner with the most free capacity for a request. If
// none has free capacity it returns the owner with the fewest outstanding
// assignments, or "" if all have reached their limit for this team and kind.
// The limit is per team and kind so that a flood of one kind does not keep
// another kind of the team from the owners; only owners know the fair shares.
func (n *Node) pickOwner(e *entry) string {
	best, bestFree := "", 0.0
	leastLoaded, leastShare := "", 0.0
	key := teamKind{e.request.Team, e.request.Kind}
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
		share := float64(view.outstanding[key]) / float64(s.Workers)
		if view.outstanding[key] < min(maxOutstandingAssignments, 2*s.Workers) && (leastLoaded == "" || share < leastShare) {
			leastLoaded, leastShare = name, share
		}
	}
	if best == "" {
		return leastLoaded
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

// avoids reports whether this owner returned the last attempt. Such an owner is
// skipped for one attempt.
func (e *entry) avoids(owner string) bool {
	return e.returnedBy == owner && owner != ""
}

// assignTask sends one task to an owner.
func (n *Node) assignTask(h *home, e *entry, index int, owner string) {
	t := &e.tasks[index]
	h.beginAttempt(e, t)
	t.state, t.owner, t.worker, t.changedAt, t.queriedAt = taskAssigned, owner, "", n.now, n.now
	e.state, e.waiting, e.returnedBy = workload.StateAssigned, "", ""
	n.chargeQuota(h, e)
	n.activate(h, e)
	view := n.ownerView(owner)
	view.sentSince++
	view.outstanding[t.teamKind]++
	e.addEvent(n.now, "assigned", "to owner "+owner)
	message := &Assign{
		Assignment: e.assignment(index, h.homeRange.Region, e.newestFront(), e.acceptedAt),
		Lease:      h.leaseNumber,
		Payload:    e.request.Payload,
	}
	if !e.startBy.IsZero() {
		message.StartWithin = max(e.startBy.Sub(n.now), time.Millisecond)
	}
	n.sendBulk(owner, message)
}

// beginAttempt gives a task an attempt number that no earlier attempt had, at
// this or at a former home. Attempts are numbered from the lease's first
// number, which increases from home to home whatever their clocks show.
func (h *home) beginAttempt(e *entry, t *task) {
	e.sequence++
	t.id.Attempt = int(h.recovery.firstNumber.Timestamp) + e.sequence
}

func (e *entry) newestFront() string {
	if len(e.fronts) == 0 {
		return ""
	}
	return e.fronts[len(e.fronts)-1].Name
}

// activate adds an entry to the active entries of its home.
func (n *Node) activate(h *home, e *entry) {
	if !e.active {
		e.active = true
		h.active = append(h.active, e)
	}
}

// deferTooLarge removes a request from the queue once the fleet has been too
// small for it for tooLargeAfter. A durable job waits in h.tooLarge until the
// fleet has grown; any other request is refused. It reports whether the request
// was removed.
func (n *Node) deferTooLarge(h *home, e *entry) bool {
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
	e.setWaiting(n.now, "a larger fleet: "+reason)
	h.tooLarge = append(h.tooLarge, e)
	return true
}

// retryTooLarge queues deferred jobs again once the fleet is large enough. Each
// tick checks only a few, so that its cost does not grow with their number.
func (n *Node) retryTooLarge(h *home) {
	for range min(len(h.tooLarge), tooLargePerTick) {
		e := h.tooLarge[0]
		h.tooLarge = h.tooLarge[1:]
		switch {
		case e.ended() || e.state != workload.StateQueued:
		case e.canceled || n.neverRunnable(h, e) == "":
			e.tooLargeSince = time.Time{}
			n.queueEntry(h, e)
		default:
			h.tooLarge = append(h.tooLarge, e)
		}
	}
}

// neverRunnable returns the reason why a request can't run on any worker of the
// region even if all were idle, or "".
func (n *Node) neverRunnable(h *home, e *entry) string {
	knownWorkers, fittingWorkers := 0, 0
	var total int64
	for _, name := range n.regionOwners(h.homeRange.Region) {
		s := n.ownerView(name).summary
		knownWorkers += s.Workers
		if s.Workers > 0 && e.request.Resources.Fits(s.LargestTotal) {
			fittingWorkers += s.Workers
			total += gangCapacity(s.Capacity, e.request.Resources)
		}
	}
	switch {
	case knownWorkers*3 < len(n.workers.listed(h.homeRange.Region))*2 || knownWorkers == 0:
		// Too few workers are known to rule the request out.
		return ""
	case fittingWorkers == 0:
		return fmt.Sprintf("no worker of region %s is large enough for %d milli-cpu, %d MB and %d accelerators",
			h.homeRange.Region, e.request.Resources.MilliCPU, e.request.Resources.MemoryMB, e.request.Resources.Accelerators)
	case int64(e.gangSize()) > total:
		return fmt.Sprintf("region %s has room for %d tasks of this size when empty, the gang has %d", h.homeRange.Region, total, e.gangSize())
	}
	return ""
}

// gangCapacity returns an upper bound on the number of tasks of a size that fit
// in a capacity.
func gangCapacity(capacity, size workload.Resources) int64 {
	limit := int64(1) << 40
	for _, dimension := range [][2]int64{
		{capacity.MilliCPU, size.MilliCPU}, {capacity.MemoryMB, size.MemoryMB}, {capacity.Accelerators, size.Accelerators},
	} {
		if dimension[1] > 0 {
			limit = min(limit, dimension[0]/dimension[1])
		}
	}
	return limit
}

// refreshOwnView updates this node's view of its own capacity, as heartbeats do
// for other owners.
func (n *Node) refreshOwnView() {
	view := n.ownerView(n.options.Name)
	view.summary, view.at, view.sentSince = n.owner.engine.Summary(n.now), n.now, 0
}

// regionOwners returns the live members of a region, sorted by name.
func (n *Node) regionOwners(region string) []string {
	return n.members.liveInRegion(region)
}
