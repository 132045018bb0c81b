// Package membership is one node's table of the cell's members: which of them
// are live, and which of them have which role.
//
// The package is pure. It has no socket, file, goroutine, clock or global
// random source: time is an argument, and the same calls in the same order
// give the same table.
//
// # What live means
//
// A member is live to this node when both directions work: a heartbeat of the
// member arrived within SuspectAfter, and the member's newest heartbeat lists
// this node among those that it hears. A member that is heard but doesn't list
// this node is cut off. So both ends of a one-way cut stop counting on each
// other, while a third node that reaches both goes on seeing both. Views can
// therefore differ between nodes; home leases and worker sessions decide in
// that case, not this table. A node always counts itself as live, so the last
// node of a cell keeps working.
//
// Silence is measured in the node's own running time, which advances by at
// most MaxStep between two calls. A node that wakes from a pause, or whose
// ticks are late, thereby extends every deadline by the time that it missed.
//
// A member that was lost several times within FlapMemory is withheld from
// roles for a growing time after its return. Withholding follows the majority
// of the live members, which heartbeats carry, so that the member itself
// learns of it and views converge.
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
//		// Send it to every address of table.Peers().
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
	// HeartbeatInterval is the time between two heartbeats of a node.
	HeartbeatInterval = 250 * time.Millisecond
	// SuspectAfter is the silence after which a member is not live. It spans
	// six heartbeats, so five in a row may be lost.
	SuspectAfter = 1500 * time.Millisecond
	// UnlistedGrace is how long a live member may leave this node out of its
	// heartbeats. It covers the first heartbeats after a member's restart.
	UnlistedGrace = 2 * HeartbeatInterval
	// MaxStep is the longest time between two calls that counts as silence.
	MaxStep = 250 * time.Millisecond
	// FlapMemory is the time without a loss after which losses are forgotten.
	FlapMemory = time.Minute
	// FirstBackOff is the time without roles after the second loss; it doubles
	// with every further loss, up to MaxBackOff.
	FirstBackOff = 2 * time.Second
	// MaxBackOff bounds the time without roles after a return.
	MaxBackOff = time.Minute
)

// MaxMembers bounds the static list of members.
const MaxMembers = 64

// Errors of Receive.
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
	// Self is the name of this node; it has to be one of Members.
	Self string
	// Incarnation is larger after every restart of the node, for example its
	// time of start.
	Incarnation uint64
	Members     []Member
}

// Heartbeat is what a node sends to every other node once an interval.
type Heartbeat struct {
	From        string `json:"from" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
	// Sequence grows with every heartbeat of an incarnation, so that a late
	// heartbeat doesn't replace a newer one.
	Sequence uint64 `json:"sequence" cbor:"3,keyasint"`
	Draining bool   `json:"draining" cbor:"4,keyasint,omitempty"`
	// Heard lists the members that the sender hears.
	Heard []string `json:"heard" cbor:"5,keyasint,omitempty"`
	// Withheld lists the members that the sender would give no roles because
	// they were lost repeatedly.
	Withheld []string `json:"withheld" cbor:"6,keyasint,omitempty"`
	// Unready is set while the sender can't begin home leases.
	Unready bool `json:"unready" cbor:"7,keyasint,omitempty"`
}

// Reachability says whether a member can be worked with.
type Reachability string

// The values of a member's reach.
const (
	// Live members are heard and hear this node.
	Live Reachability = "live"
	// Cut members are heard and don't hear this node.
	Cut Reachability = "cut"
	// Suspect members were heard once and are silent now.
	Suspect Reachability = "suspect"
	// Unheard members were not heard since this node started.
	Unheard Reachability = "unheard"
)

// Change is a change of one member's state, for the event log and for those
// who recompute assignments.
type Change struct {
	Member    string       `json:"member"`
	From      Reachability `json:"from"`
	To        Reachability `json:"to"`
	Restarted bool         `json:"restarted,omitempty"`
}

// Table is the member table of one node.
type Table struct {
	self        *record
	incarnation uint64
	sequence    uint64
	records     []*record
	byName      map[string]*record

	// running is the node's running time, which leaves out pauses.
	running     time.Duration
	lastCall    time.Time
	heartbeatAt time.Duration
	settled     bool
	version     uint64
	eligible    []eligibility
}

// eligibility says which roles a member may have.
type eligibility struct {
	home  bool
	owner bool
}

type record struct {
	member Member
	hash   uint64

	reach       Reachability
	incarnation uint64
	sequence    uint64
	draining    bool
	unready     bool
	heard       map[string]bool
	withholds   map[string]bool

	heardAt  time.Duration
	listedAt time.Duration
	listed   bool

	liveSince     time.Duration
	losses        int
	withheldUntil time.Duration
}

// New returns a table in which only this node is live. The error lists every
// fault of the options.
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
		added := &record{member: member, hash: xxhash.Sum64String(member.Name), reach: Unheard}
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
	t.self.reach, t.self.incarnation = Live, options.Incarnation
	slices.SortFunc(t.records, func(a, b *record) int { return strings.Compare(a.member.Name, b.member.Name) })
	t.eligible = make([]eligibility, len(t.records))
	t.update()
	return t, nil
}

// SetDraining marks this node as leaving: it gets no roles from now on.
func (t *Table) SetDraining(draining bool) {
	t.self.draining = draining
	t.update()
}

// SetReady says whether this node can begin home leases. A node that can't, for
// example because its worker list is new, is no home and may own workers. A
// new table is ready.
func (t *Table) SetReady(ready bool) {
	t.self.unready = !ready
	t.update()
}

// Peers returns the other members in the order of their names.
func (t *Table) Peers() []Member {
	return t.members(func(r *record) bool { return r != t.self })
}

// Live returns the live members, this node included, in the order of their
// names.
func (t *Table) Live() []Member {
	return t.members(func(r *record) bool { return r.reach == Live })
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

// Alone reports whether the cell has other members and none of them is live.
// The node then can't tell its own failure from that of all others.
func (t *Table) Alone() bool {
	return len(t.records) > 1 && len(t.Live()) == 1
}

// Settled reports whether the node knows the others: it has run for
// SuspectAfter, or all members are live. Before that no roles are assigned, as
// a node that has just started would take all of them.
func (t *Table) Settled() bool {
	return t.settled
}

// Version changes whenever assignments may have changed.
func (t *Table) Version() uint64 {
	return t.version
}

// Dump is the state of a table for operators.
type Dump struct {
	Self        string       `json:"self"`
	Incarnation uint64       `json:"incarnation"`
	Version     uint64       `json:"version"`
	Settled     bool         `json:"settled"`
	Alone       bool         `json:"alone"`
	Members     []MemberDump `json:"members"`
}

// MemberDump is the state of one member.
type MemberDump struct {
	Member
	Reachability       Reachability `json:"reach"`
	Incarnation        uint64       `json:"incarnation"`
	Draining           bool         `json:"draining"`
	Unready            bool         `json:"unready"`
	Eligible           bool         `json:"eligible"`
	Losses             int          `json:"losses"`
	LastHeartbeatAgeMS int64        `json:"silent-ms"`
}

// Dump returns the state of the table; members are in the order of their names.
func (t *Table) Dump() Dump {
	dump := Dump{
		Self: t.self.member.Name, Incarnation: t.incarnation, Version: t.version,
		Settled: t.settled, Alone: t.Alone(),
	}
	for i, r := range t.records {
		entry := MemberDump{
			Member: r.member, Reachability: r.reach, Incarnation: r.incarnation, Draining: r.draining,
			Unready: r.unready, Eligible: t.eligible[i].owner, Losses: r.losses,
		}
		if r != t.self && r.reach != Unheard {
			entry.LastHeartbeatAgeMS = (t.running - r.heardAt).Milliseconds()
		}
		dump.Members = append(dump.Members, entry)
	}
	return dump
}
