package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/tenure"
)

// remoteSummaryInterval is the interval between capacity summaries to members
// of another region. Their other heartbeats carry none.
const remoteSummaryInterval = 2 * time.Second

// members combines the member table with the member state of the control
// thread.
type members struct {
	*membership.Table
	self    string
	byName  map[string]membership.Member
	names   []string
	regions map[string][]string
	// incarnations holds the newest known incarnation of each member.
	incarnations map[string]uint64
	// heardAt is, by member, the last time at which this node, or a member from
	// which it receives heartbeats, heard from the member.
	heardAt map[string]time.Time
	live    map[string]bool
	// regionLive caches the live members of each region for one version of the
	// table.
	regionLive map[string][]string
	version    uint64

	// minoritySince is when this node began to reach less than half of its
	// region; it is zero otherwise, and in a region of fewer than three members.
	minoritySince time.Time
	isolated      bool
	// summaryAt is, by member, when a capacity summary was last sent to it.
	summaryAt map[string]time.Time
}

func newMembers(options Options) (*members, error) {
	table, err := membership.New(options.Start, membership.Options{
		Self: options.Name, Incarnation: options.Incarnation, Members: options.Members,
	})
	if err != nil {
		return nil, err
	}
	m := &members{
		Table: table, self: options.Name, byName: map[string]membership.Member{}, regions: map[string][]string{},
		incarnations: map[string]uint64{}, heardAt: map[string]time.Time{}, summaryAt: map[string]time.Time{},
	}
	for _, member := range options.Members {
		m.byName[member.Name] = member
		m.names = append(m.names, member.Name)
		m.regions[member.Region] = append(m.regions[member.Region], member.Name)
		m.heardAt[member.Name] = options.Start
	}
	slices.Sort(m.names)
	for _, names := range m.regions {
		slices.Sort(names)
	}
	return m, nil
}

// HasRegion reports whether the settings list a member in a region.
func (m *members) HasRegion(region string) bool { return len(m.regions[region]) > 0 }

// Incarnation returns the newest known incarnation of a member.
func (m *members) Incarnation(name string) uint64 { return m.incarnations[name] }

// refresh rebuilds the caches if the table has changed.
func (m *members) refresh() {
	if m.live != nil && m.version == m.Table.Version() {
		return
	}
	m.version = m.Table.Version()
	m.live, m.regionLive = map[string]bool{}, map[string][]string{}
	for _, member := range m.Table.Live() {
		m.live[member.Name] = true
		m.regionLive[member.Region] = append(m.regionLive[member.Region], member.Name)
	}
	for _, names := range m.regionLive {
		slices.Sort(names)
	}
}

// liveInRegion returns the live members of a region, sorted by name.
func (m *members) liveInRegion(region string) []string {
	m.refresh()
	return m.regionLive[region]
}

func (m *members) isLive(name string) bool {
	m.refresh()
	return m.live[name]
}

// heartbeat handles a heartbeat of another member.
func (n *Node) heartbeat(from string, m *Heartbeat) {
	if m.Member.From != from {
		return
	}
	changes, err := n.members.Receive(n.now, m.Member)
	if err != nil {
		return
	}
	n.members.incarnations[from] = max(n.members.incarnations[from], m.Member.Incarnation)
	n.members.heardAt[from] = n.now
	for _, name := range m.Member.Heard {
		n.members.heardAt[name] = n.now
	}
	n.applyMemberChanges(changes)
	n.ownerView(from).draining = m.Member.Draining
	if m.Summary != nil {
		view := n.ownerView(from)
		view.summary, view.at, view.sentSince = *m.Summary, n.now, 0
	}
	n.requestNewerPolicy(from, m.PolicyVersion)
}

// applyMemberChanges reports changes of the member table, and marks the tasks of
// lost and restarted members as in doubt.
func (n *Node) applyMemberChanges(changes []membership.Change) {
	for _, change := range changes {
		switch {
		case change.To == membership.Live:
			n.event(EventMemberReturned, change.Member, "")
		case change.From == membership.Live:
			n.event(EventMemberSuspected, change.Member, string(change.To))
		}
		if change.Restarted || change.To != membership.Live {
			n.memberLost(change.Member)
		}
	}
}

// tickMembers checks the members for time-outs and sends this node's heartbeat
// when it is due.
func (n *Node) tickMembers() {
	n.members.heardAt[n.options.Name] = n.now
	n.applyMemberChanges(n.members.Tick(n.now))
	heartbeat, due := n.members.HeartbeatDue(n.now)
	if !due {
		return
	}
	n.refreshOwnView()
	summary := n.ownerView(n.options.Name).summary
	for _, name := range n.members.names {
		if name == n.options.Name {
			continue
		}
		message := &Heartbeat{Member: heartbeat, PolicyVersion: n.policy.version, PolicyDigest: n.policy.digest, Sessions: len(n.owner.sessions)}
		if n.sameRegion(name) || n.now.Sub(n.members.summaryAt[name]) >= remoteSummaryInterval {
			message.Summary = &summary
			n.members.summaryAt[name] = n.now
		}
		n.send(name, message)
	}
	n.tickIsolation()
}

func (n *Node) sameRegion(name string) bool {
	return n.members.byName[name].Region == n.options.Region
}

// tickIsolation closes this node's sessions after it has reached less than half
// of its region for SelfFence. The other members then assume that its tasks end
// with their leases, so these must not be renewed any more. The rule does not
// apply to a region of fewer than three members, where the loss of half can't be
// told from the crash of one member.
func (n *Node) tickIsolation() {
	region := n.members.regions[n.options.Region]
	if len(region) < 3 || 2*len(n.members.liveInRegion(n.options.Region)) >= len(region) {
		n.members.minoritySince, n.members.isolated = time.Time{}, false
		return
	}
	if n.members.minoritySince.IsZero() {
		n.members.minoritySince = n.now
	}
	if !n.members.isolated && n.now.Sub(n.members.minoritySince) >= n.timing.SelfFence {
		n.members.isolated = true
		n.event(EventOwnerFenced, n.options.Name, "it reaches less than half of its region; its sessions are closed")
		n.closeSessions("isolated")
	}
}

// mayAssumeExpired reports whether the tasks of a lost owner can be assumed to
// have ended once their leases have expired. Every member of the region then
// has to be live to this node, or not heard by any member for taskExpiryTime.
func (n *Node) mayAssumeExpired(region string) bool {
	names := n.members.regions[region]
	if len(names) < 3 || region != n.options.Region || 2*len(n.members.liveInRegion(region)) <= len(names) {
		// The other half of the region may keep its sessions.
		return false
	}
	for _, name := range names {
		if !n.members.isLive(name) && n.now.Sub(n.members.heardAt[name]) < n.taskExpiryTime() {
			return false
		}
	}
	return true
}

// taskExpiryTime is the longest time that a task runs after any member last
// heard its owner: the owner keeps its sessions until it fences itself, then
// the session and the task lease expire by the worker's clock, which may run a
// tenth slower.
func (n *Node) taskExpiryTime() time.Duration {
	return membership.SuspectAfter + n.timing.SelfFence + n.timing.SessionLength*11/10 + n.timing.TaskLease*11/10
}

// promises passes the messages about home leases to the lease table.
func (n *Node) promises(from string, m *Promises) {
	if m.Request != nil {
		reply := n.tenure.ReceiveRequest(n.now, from, *m.Request)
		n.send(from, &Promises{Reply: &reply})
	}
	if m.Reply != nil {
		n.tenure.ReceiveResponse(n.now, from, *m.Reply)
	}
}

// tickLeases tells the lease table which ranges this node wants to hold, and
// sends the table's requests.
func (n *Node) tickLeases() {
	if n.now.Sub(n.leaseRegionSetAt) >= n.timing.Heartbeat {
		n.leaseRegionSetAt = n.now
		n.setLeaseRegion()
	}
	outgoing, _ := n.tenure.Tick(n.now)
	for _, out := range outgoing {
		request := out.Request
		n.send(out.To, &Promises{Request: &request})
	}
}

// setLeaseRegion tells the lease table the current workers and owners of the region
// and the ranges that this node wants to hold.
func (n *Node) setLeaseRegion() {
	n.tenure.SetRegion(n.now, tenure.Region{
		Name:    n.options.Region,
		Workers: n.workers.listed(n.options.Region),
		Owners:  n.members.liveInRegion(n.options.Region),
	})
	var wanted []tenure.Range
	for _, r := range n.sortedRanges() {
		h := n.homes[r]
		mayClaim := n.homeOf(r) == n.options.Name || n.now.Sub(h.handoverAt) < handoverClaimPeriod
		if r.Region == n.options.Region && mayClaim && !h.handedOver && !n.draining {
			wanted = append(wanted, r)
		}
	}
	n.tenure.SetWanted(n.now, wanted)
	// A node that can't begin a lease yet leaves the ranges to others. A holder
	// stays ready: its leases survive a change of the member list.
	n.members.SetReady(n.tenure.Ready(n.now, n.options.Region) || n.holdsAnyLease())
}

func (n *Node) holdsAnyLease() bool {
	for _, h := range n.homes {
		if _, held := n.tenure.Held(n.now, h.homeRange); held {
			return true
		}
	}
	return false
}

// memberLost marks every task of a lost or restarted member as in doubt.
func (n *Node) memberLost(name string) {
	delete(n.owners, name)
	for _, r := range n.sortedRanges() {
		n.markOwnerTasksInDoubt(n.homes[r], name)
	}
}
