package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/tenure"
)

// remoteSummaryEvery is the interval between summaries to another region's
// members; their heartbeats carry no summary in between.
const remoteSummaryEvery = 2 * time.Second

// members joins the member table with what the control thread asks of it.
type members struct {
	*membership.Table
	self    string
	byName  map[string]membership.Member
	names   []string
	regions map[string][]string
	// incarnations are the newest ones heard.
	incarnations map[string]uint64
	// heardAt is when any live member last heard a member.
	heardAt map[string]time.Time
	live    map[string]bool
	// regionLive caches the live members of each region for one table version.
	regionLive map[string][]string
	version    uint64

	unheardSince time.Time
	fenced       bool
	summaryAt    map[string]time.Time
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

// HasRegion reports whether a region has members in the settings.
func (m *members) HasRegion(region string) bool { return len(m.regions[region]) > 0 }

// Incarnation returns the newest incarnation heard of a member.
func (m *members) Incarnation(name string) uint64 { return m.incarnations[name] }

// refresh rebuilds the caches after a change of the table.
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

// liveInRegion returns the live members of a region by name.
func (m *members) liveInRegion(region string) []string {
	m.refresh()
	return m.regionLive[region]
}

func (m *members) isLive(name string) bool {
	m.refresh()
	return m.live[name]
}

// heartbeat takes another member's heartbeat.
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
	n.noteChanges(changes)
	n.ownerView(from).draining = m.Member.Draining
	if m.Summary != nil {
		view := n.ownerView(from)
		view.summary, view.at, view.sentSince = *m.Summary, n.now, 0
	}
	n.policyBehind(from, m.PolicyVersion)
}

func (n *Node) noteChanges(changes []membership.Change) {
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

// tickMembers judges silence and sends this node's heartbeat when it is due.
func (n *Node) tickMembers() {
	n.members.heardAt[n.options.Name] = n.now
	n.noteChanges(n.members.Tick(n.now))
	beat, due := n.members.HeartbeatDue(n.now)
	if !due {
		return
	}
	n.refreshOwnView()
	summary := n.ownerView(n.options.Name).summary
	for _, name := range n.members.names {
		if name == n.options.Name {
			continue
		}
		message := &Heartbeat{Member: beat, PolicyVersion: n.policy.version, PolicyDigest: n.policy.digest, Sessions: len(n.owner.sessions)}
		if n.sameRegion(name) || n.now.Sub(n.members.summaryAt[name]) >= remoteSummaryEvery {
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

// tickIsolation closes this node's sessions when it has worked with less than
// half of its region for a while: the others then count its tasks as over after
// their leases, which must not be renewed any more. A region of fewer than
// three members has no such rule, since half of it can't be told from a death.
func (n *Node) tickIsolation() {
	region := n.members.regions[n.options.Region]
	if len(region) < 3 || 2*len(n.members.liveInRegion(n.options.Region)) >= len(region) {
		n.members.unheardSince, n.members.fenced = time.Time{}, false
		return
	}
	if n.members.unheardSince.IsZero() {
		n.members.unheardSince = n.now
	}
	if !n.members.fenced && n.now.Sub(n.members.unheardSince) >= n.timing.SelfFence {
		n.members.fenced = true
		n.event(EventOwnerFenced, n.options.Name, "it works with less than half of its region")
		n.closeSessions("isolated")
	}
}

// lapseAllowed reports whether tasks of a lost owner may be taken as over once
// their leases have run out. That needs every member of the region to be either
// live to this node, or not heard by anybody for long enough.
func (n *Node) lapseAllowed(region string) bool {
	names := n.members.regions[region]
	if len(names) < 3 || region != n.options.Region || 2*len(n.members.liveInRegion(region)) <= len(names) {
		// The other half may go on with its sessions.
		return false
	}
	for _, name := range names {
		if !n.members.isLive(name) && n.now.Sub(n.members.heardAt[name]) < n.lapseTime() {
			return false
		}
	}
	return true
}

// lapseTime is the longest time that a task runs on after its owner was last
// heard by anybody: the owner keeps its sessions until it fences itself, the
// session and the task lease then end by the worker's clock, a tenth slower.
func (n *Node) lapseTime() time.Duration {
	return membership.SuspectAfter + n.timing.SelfFence + n.timing.SessionLength*11/10 + n.timing.TaskLease*11/10
}

// promises passes home lease messages to the lease table.
func (n *Node) promises(from string, m *Promises) {
	if m.Request != nil {
		reply := n.tenure.ReceiveRequest(n.now, from, *m.Request)
		n.send(from, &Promises{Reply: &reply})
	}
	if m.Reply != nil {
		n.tenure.ReceiveResponse(n.now, from, *m.Reply)
	}
}

// tickTenure tells the lease table what this node wants to hold and sends its requests.
func (n *Node) tickTenure() {
	if n.now.Sub(n.regionSetAt) >= n.timing.Heartbeat {
		n.regionSetAt = n.now
		n.setTenureRegion()
	}
	outgoing, _ := n.tenure.Tick(n.now)
	for _, out := range outgoing {
		request := out.Request
		n.send(out.To, &Promises{Request: &request})
	}
}

func (n *Node) setTenureRegion() {
	n.tenure.SetRegion(n.now, tenure.Region{
		Name:    n.options.Region,
		Workers: n.workers.listed(n.options.Region),
		Owners:  n.members.liveInRegion(n.options.Region),
	})
	var wanted []tenure.Range
	for _, r := range n.sortedRanges() {
		h := n.homes[r]
		chosen := n.homeOf(r) == n.options.Name || n.now.Sub(h.handoverAt) < claimAfterHandover
		if r.Region == n.options.Region && chosen && !h.handedOver && !n.draining {
			wanted = append(wanted, r)
		}
	}
	n.tenure.SetWanted(n.now, wanted)
	// A node that can't begin a lease yet leaves the ranges to others. A holder
	// stays: its leases outlast a change of the list.
	n.members.SetReady(n.tenure.Ready(n.now, n.options.Region) || n.holdsLease())
}

func (n *Node) holdsLease() bool {
	for _, h := range n.homes {
		if _, held := n.tenure.Held(n.now, h.place); held {
			return true
		}
	}
	return false
}

// memberLost puts every task that a lost or restarted member had into doubt.
func (n *Node) memberLost(name string) {
	delete(n.owners, name)
	for _, r := range n.sortedRanges() {
		n.doubtTasksOf(n.homes[r], name)
	}
}
