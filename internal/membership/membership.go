// Package membership detects failures of a cluster's nodes by heartbeats and assigns
// roles to the live ones. Its Table is one node's view: which members are live,
// which of them is the home of a range, and which owns a worker.
//
// The package is deterministic and does no I/O. It has no socket, file,
// goroutine, clock or global random source: time is an argument, and the same
// calls in the same order give the same table.
//
// # Failure detection
//
// A member is live to this node when messages pass in both directions: a
// heartbeat of the member arrived within SuspectAfter, and the member's newest
// heartbeat lists this node among those that it hears. A member that is heard but
// doesn't list this node is inbound-only. So when one direction between two nodes
// fails, both stop relying on each other, while a third node that reaches both
// still sees both as live. Views can therefore differ between nodes; home leases
// and worker sessions then decide who may act, not this table. A node always
// counts itself as live, so the last node of a cluster continues to work.
//
// The time since a heartbeat is measured in the node's own running time, which
// advances by at most MaxCallGap between two calls. A node that resumes after a
// pause, or whose ticks are late, thus extends every deadline by the time that it
// missed.
//
// A member that flaps, that is, one that was lost repeatedly without being live
// for FlapResetAfter in between, is suppressed: it gets no roles for some time
// after its return, and for longer after every further loss. The majority of the
// live members decides on suppression. Heartbeats carry each member's decision,
// so that the suppressed member itself learns of it and views converge.
//
// # Usage
//
//	table, err := membership.New(now, membership.Options{Self: "a", Incarnation: 7, Members: members})
//	if err != nil {
//		return err
//	}
//	table.SetReady(leases.Ready(now, region))
//	changes := table.Tick(now)
//	if heartbeat, due := table.HeartbeatDue(now); due {
//		// Send it to the address of every member in table.Peers().
//	}
//	changes, err = table.Receive(now, heartbeat)
//	home, ok := table.HomeOf("punjab", "ledger")
//	owners := table.OwnersOf("vm-17", "punjab", "lahore")
package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Times of the protocol.
const (
	// HeartbeatInterval is the time between two heartbeats of one node.
	HeartbeatInterval = 250 * time.Millisecond
	// SuspectAfter is the time without a heartbeat after which a member is no
	// longer live. It spans six heartbeats, so five in a row may be lost.
	SuspectAfter = 1500 * time.Millisecond
	// UnlistedGrace is how long a member stays live while its heartbeats don't
	// list this node. It covers the first heartbeats after a member's restart.
	UnlistedGrace = 2 * HeartbeatInterval
	// MaxCallGap is the most that the running time advances between two calls; a
	// longer gap is a pause of this process.
	MaxCallGap = 250 * time.Millisecond
	// FlapResetAfter is how long a member must be live for its count of losses to
	// be reset.
	FlapResetAfter = time.Minute
	// InitialBackOff is how long a member gets no roles when it returns after its
	// second loss. The time doubles with every further loss, up to MaxBackOff.
	InitialBackOff = 2 * time.Second
	// MaxBackOff is the longest time without roles after a return.
	MaxBackOff = time.Minute
)

// MaxMembers limits the length of the static list of members.
const MaxMembers = 64

// Errors that Table.Receive returns.
var (
	ErrUnknownMember = errors.New("heartbeat from a node that is not in the list of members")
	ErrOwnName       = errors.New("heartbeat from another process with this node's name")
)

// Member is one entry of the static list of members.
type Member struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure-domain"`
}

// Options are the fixed inputs of a table.
type Options struct {
	// Self is the name of this node, which must be one of Members.
	Self string
	// Incarnation identifies this run of the node's process and must increase with
	// every restart, as for example the start time does.
	Incarnation uint64
	Members     []Member
}

// Heartbeat is the message that a node sends to every other node once every
// HeartbeatInterval.
type Heartbeat struct {
	From        string `json:"from" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
	// Sequence increases with every heartbeat of an incarnation, so that a late
	// heartbeat doesn't replace a newer one.
	Sequence uint64 `json:"sequence" cbor:"3,keyasint"`
	Draining bool   `json:"draining" cbor:"4,keyasint,omitempty"`
	// Heard lists the members from which the sender got a heartbeat within
	// SuspectAfter.
	Heard []string `json:"heard" cbor:"5,keyasint,omitempty"`
	// Suppressed lists the members that the sender would give no roles because
	// they flap.
	Suppressed []string `json:"withheld" cbor:"6,keyasint,omitempty"`
	// Unready is set while the sender can't begin home leases.
	Unready bool `json:"unready" cbor:"7,keyasint,omitempty"`
}

// Reachability is the state of the connection between this node and a member.
type Reachability string

// The values of Reachability.
const (
	// Live members are heard and hear this node.
	Live Reachability = "live"
	// InboundOnly members are heard but don't hear this node.
	InboundOnly Reachability = "cut"
	// Suspect members were heard before, but not within SuspectAfter.
	Suspect Reachability = "suspect"
	// NeverHeard members haven't been heard since this node started.
	NeverHeard Reachability = "unheard"
)

// Change is a change of one member's state, for the event log and for callers that
// then recompute assignments.
type Change struct {
	Member string       `json:"member"`
	From   Reachability `json:"from"`
	To     Reachability `json:"to"`
	// Restarted is set if a heartbeat came from a new incarnation; From and To may
	// then be equal.
	Restarted bool `json:"restarted,omitempty"`
}

// Table is the member table of one node.
type Table struct {
	self        *record
	incarnation uint64
	sequence    uint64
	records     []*record // sorted by name
	byName      map[string]*record

	// runningTime is the node's running time, which excludes pauses. All times in
	// records are running times.
	runningTime   time.Duration
	lastCall      time.Time
	nextHeartbeat time.Duration
	startComplete bool
	version       uint64
	eligible      []eligibility // in the order of records
}

// eligibility states which roles a member may have.
type eligibility struct {
	home  bool
	owner bool
}

// record is the table's entry for one member.
type record struct {
	member Member
	hash   uint64 // of the name

	reachability    Reachability
	incarnation     uint64
	sequence        uint64
	draining        bool
	unready         bool
	heardNames      map[string]bool
	suppressedNames map[string]bool

	lastHeardAt   time.Duration // time of the newest heartbeat
	lastListedAt  time.Duration // time of the newest heartbeat that lists this node, or of a restart
	listsThisNode bool          // whether the newest heartbeat lists this node

	liveSince       time.Duration
	losses          int
	suppressedUntil time.Duration
}

// New returns a table in which only this node is live. The error is of type
// workload.Findings and lists everything that is invalid in the options.
func New(now time.Time, options Options) (*Table, error) {
	var findings workload.Findings
	if len(options.Members) > MaxMembers {
		findings.Add("members", "must be at most %d, got %d", MaxMembers, len(options.Members))
	}
	t := &Table{incarnation: options.Incarnation, byName: make(map[string]*record), lastCall: now, version: 1}
	addresses := make(map[netip.AddrPort]string)
	for i, member := range options.Members {
		place := fmt.Sprintf("members[%d]", i)
		if member.Name == "" || member.Region == "" || member.FailureDomain == "" {
			findings.Add(place, "must have a name, a region and a failure domain")
		}
		if !member.Address.IsValid() {
			findings.Add(place+".address", "must be an IP address and a port")
		} else if other, taken := addresses[member.Address]; taken {
			findings.Add(place+".address", "%s is the address of %q as well", member.Address, other)
		}
		if t.byName[member.Name] != nil {
			findings.Add(place+".name", "%q is listed twice", member.Name)
		}
		addresses[member.Address] = member.Name
		added := &record{member: member, hash: xxhash.Sum64String(member.Name), reachability: NeverHeard}
		t.byName[member.Name] = added
		t.records = append(t.records, added)
	}
	t.self = t.byName[options.Self]
	if t.self == nil {
		findings.Add("self", "%q is not in the list of members", options.Self)
	}
	if len(findings) > 0 {
		return nil, findings
	}
	t.self.reachability, t.self.incarnation = Live, options.Incarnation
	slices.SortFunc(t.records, func(a, b *record) int { return strings.Compare(a.member.Name, b.member.Name) })
	t.eligible = make([]eligibility, len(t.records))
	t.updateEligibility()
	return t, nil
}

// SetDraining sets whether this node is draining; a draining node gets no roles.
func (t *Table) SetDraining(draining bool) {
	t.self.draining = draining
	t.updateEligibility()
}

// SetReady sets whether this node can begin home leases. A node that can't, for
// example because its worker list changed a moment ago, is home of no range but may
// own workers. A new table is ready.
func (t *Table) SetReady(ready bool) {
	t.self.unready = !ready
	t.updateEligibility()
}

// Peers returns the members other than this node, sorted by name.
func (t *Table) Peers() []Member {
	return t.members(func(r *record) bool { return r != t.self })
}

// Live returns the live members, this node included, sorted by name.
func (t *Table) Live() []Member {
	return t.members(func(r *record) bool { return r.reachability == Live })
}

func (t *Table) members(include func(*record) bool) []Member {
	var members []Member
	for _, r := range t.records {
		if include(r) {
			members = append(members, r.member)
		}
	}
	return members
}

// Isolated reports whether the cluster has other members and none of them is live.
// The node then can't tell whether it has failed itself or all others have.
func (t *Table) Isolated() bool {
	return len(t.records) > 1 && len(t.Live()) == 1
}

// StartComplete reports whether the node has had time to hear the others: it has run
// for SuspectAfter, or all members are live. Until then HomeOf and OwnersOf assign
// no roles, as a node that has just started would take all of them.
func (t *Table) StartComplete() bool {
	return t.startComplete
}

// Version returns a number that increases whenever assignments may have changed.
func (t *Table) Version() uint64 {
	return t.version
}

// Dump is the state of a table for operators. Members are sorted by name.
type Dump struct {
	Self          string       `json:"self"`
	Incarnation   uint64       `json:"incarnation"`
	Version       uint64       `json:"version"`
	StartComplete bool         `json:"settled"`
	Isolated      bool         `json:"alone"`
	Members       []MemberDump `json:"members"`
}

// MemberDump is the state of one member.
type MemberDump struct {
	Member
	Reachability Reachability `json:"reach"`
	Incarnation  uint64       `json:"incarnation"`
	Draining     bool         `json:"draining"`
	Unready      bool         `json:"unready"`
	// Eligible is set if the member may own workers.
	Eligible bool `json:"eligible"`
	// Losses is the count of losses that the back-off depends on.
	Losses int `json:"losses"`
	// LastHeartbeatAgeMS is the running time since the member's last heartbeat in
	// milliseconds; 0 for this node and for a member that was never heard.
	LastHeartbeatAgeMS int64 `json:"silent-ms"`
}

// Dump returns the state of the table.
func (t *Table) Dump() Dump {
	dump := Dump{
		Self: t.self.member.Name, Incarnation: t.incarnation, Version: t.version,
		StartComplete: t.startComplete, Isolated: t.Isolated(),
	}
	for i, r := range t.records {
		entry := MemberDump{
			Member: r.member, Reachability: r.reachability, Incarnation: r.incarnation, Draining: r.draining,
			Unready: r.unready, Eligible: t.eligible[i].owner, Losses: r.losses,
		}
		if r != t.self && r.reachability != NeverHeard {
			entry.LastHeartbeatAgeMS = (t.runningTime - r.lastHeardAt).Milliseconds()
		}
		dump.Members = append(dump.Members, entry)
	}
	return dump
}
