package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"yuccalanding.example/yuccalanding/internal/membership"
)

const step = 50 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// members returns n members in two regions with two failure domains each.
func members(n int) []membership.Member {
	list := make([]membership.Member, n)
	for i := range list {
		list[i] = membership.Member{
			Name:          fmt.Sprintf("n%02d", i),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000),
			Region:        fmt.Sprintf("r%d", i%2),
			FailureDomain: fmt.Sprintf("d%d", i%4),
		}
	}
	return list
}

// cell connects the tables of several nodes. lost reports whether a heartbeat is lost, and
// stopped holds the nodes that are paused or have failed.
type cell struct {
	t       require.TestingT
	now     time.Time
	list    []membership.Member
	tables  []*membership.Table
	lost    func(from, to int) bool
	stopped map[int]bool
	changes int
}

func newCell(t require.TestingT, n int) *cell {
	c := &cell{t: t, now: start, list: members(n), stopped: map[int]bool{}, lost: func(int, int) bool { return false }}
	c.tables = make([]*membership.Table, n)
	for i := range c.tables {
		c.restart(i)
	}
	return c
}

// restart starts a new process of node i.
func (c *cell) restart(i int) {
	table, err := membership.New(c.now, membership.Options{
		Self: c.list[i].Name, Incarnation: uint64(c.now.UnixNano()), Members: c.list,
	})
	require.NoError(c.t, err)
	c.tables[i], c.stopped[i] = table, false
}

func (c *cell) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		for i, table := range c.tables {
			if c.stopped[i] {
				continue
			}
			c.changes += len(table.Tick(c.now))
			heartbeat, due := table.HeartbeatDue(c.now)
			for j := range c.tables {
				if due && j != i && !c.stopped[j] && !c.lost(i, j) {
					changes, err := c.tables[j].Receive(c.now, heartbeat)
					require.NoError(c.t, err)
					c.changes += len(changes)
				}
			}
		}
	}
}

// live returns the number of live members in the table of node i.
func (c *cell) live(i int) int { return len(c.tables[i].Live()) }

// dumpOf returns the state of member j in the table of node i.
func (c *cell) dumpOf(i, j int) membership.MemberDump { return c.tables[i].Dump().Members[j] }

// Guards against invalid options that are reported one at a time or not at all, and
// against accepted heartbeats from unknown nodes or under this node's name.
func TestNewReportsEveryInvalidOption(t *testing.T) {
	list := members(3)
	list[1].Name, list[2].Region, list[2].Address = list[0].Name, "", list[0].Address
	_, err := membership.New(start, membership.Options{Self: "x", Members: list})
	for _, place := range []string{"members[1].name", "members[2]:", "members[2].address", "self"} {
		require.ErrorContains(t, err, place)
	}
	table, err := membership.New(start, membership.Options{Self: "n00", Members: members(2)})
	require.NoError(t, err)
	_, err = table.Receive(start, membership.Heartbeat{From: "other"})
	require.ErrorIs(t, err, membership.ErrUnknownMember)
	_, err = table.Receive(start, membership.Heartbeat{From: "n00"})
	require.ErrorIs(t, err, membership.ErrOwnName)
}

// Guards against a node that takes every role after its start, before it has heard the
// others, and against a failed node that keeps its roles.
func TestStartAndFailure(t *testing.T) {
	c := newCell(t, 5)
	_, ok := c.tables[0].HomeOf("r0", "ledger")
	require.False(t, ok)
	c.run(time.Second)
	require.Equal(t, 5, c.live(0))
	require.True(t, c.tables[0].StartComplete())
	c.stopped[4] = true
	c.run(1200 * time.Millisecond) // The last heartbeat was up to 250 ms earlier.
	require.Equal(t, 5, c.live(0))
	c.run(500 * time.Millisecond)
	require.Equal(t, 4, c.live(0))
	require.Equal(t, membership.Suspect, c.dumpOf(0, 4).Reachability)
	c.stopped = map[int]bool{1: true, 2: true, 3: true, 4: true}
	c.run(2 * time.Second)
	require.True(t, c.tables[0].Isolated())
	home, ok := c.tables[0].HomeOf("r0", "ledger")
	require.True(t, ok && home.Name == "n00")
}

// Guards against suspicion when no more than five heartbeats in a row are lost.
func TestLostHeartbeats(t *testing.T) {
	c := newCell(t, 5)
	c.run(time.Second)
	c.changes = 0
	c.lost = func(from, to int) bool { return c.now.Sub(start)/membership.HeartbeatInterval%6 != 0 }
	c.run(20 * time.Second)
	require.Zero(t, c.changes)
}

// Guards against two nodes that still see each other as live when one direction of their
// connection has failed, and against a third node that no longer sees both as live.
func TestOneWayCut(t *testing.T) {
	c := newCell(t, 4)
	c.run(time.Second)
	c.lost = func(from, to int) bool { return from == 0 && to == 1 }
	c.run(3 * time.Second)
	require.Equal(t, membership.Suspect, c.dumpOf(1, 0).Reachability)
	require.Equal(t, membership.InboundOnly, c.dumpOf(0, 1).Reachability)
	require.Equal(t, 4, c.live(2))
	c.lost = func(from, to int) bool { return from == 0 }
	c.run(3 * time.Second)
	require.True(t, c.tables[0].Isolated(), "a node that no other node hears is isolated")
	c.lost = func(int, int) bool { return false }
	c.run(time.Second)
	require.Equal(t, 4, c.live(0))
}

// Guards against a node that suspects all others after a pause, and against one that never
// suspects a failed member because all its ticks are late.
func TestPauseExtendsDeadlines(t *testing.T) {
	c := newCell(t, 5)
	c.run(time.Second)
	c.stopped[0] = true
	c.run(6 * time.Second)
	require.Equal(t, 4, c.live(1))
	require.Empty(t, c.tables[0].Tick(c.now))
	require.Equal(t, 5, c.live(0))
	c.stopped[0] = false
	c.run(time.Second)
	require.Equal(t, 5, c.live(0))
	require.Equal(t, 5, c.live(1))

	var lost []membership.Change
	for tick := 1; tick <= 7; tick++ {
		lost = append(lost, c.tables[0].Tick(c.now.Add(time.Duration(tick)*2*time.Second))...)
	}
	require.Len(t, lost, 4)
}

// Guards against roles that move with every loss and return of a flapping node, against
// such a node that doesn't learn that it has no roles, and against a back-off after a
// single loss.
func TestFlappingNodeBacksOff(t *testing.T) {
	c := newCell(t, 5)
	c.run(time.Second)
	for loss := range 4 {
		c.stopped[2] = true
		c.run(2 * time.Second)
		c.restart(2)
		c.run(700 * time.Millisecond)
		require.Equal(t, membership.Live, c.dumpOf(0, 2).Reachability)
		require.Equal(t, loss == 0, c.dumpOf(0, 2).Eligible, "loss %d", loss)
		require.Equal(t, loss == 0, c.dumpOf(2, 2).Eligible, "loss %d", loss)
	}
	c.run(9 * time.Second)
	require.True(t, c.dumpOf(0, 2).Eligible)
	c.run(membership.FlapResetAfter)
	require.Zero(t, c.dumpOf(0, 2).Losses)
}

// Guards against a quick restart that isn't noticed, against late heartbeats and those of
// a former process that replace newer ones, and against the restart of a draining node
// that counts as a loss.
func TestRestartAndLateHeartbeats(t *testing.T) {
	table, err := membership.New(start, membership.Options{Self: "n00", Incarnation: 1, Members: members(3)})
	require.NoError(t, err)
	receive := func(incarnation, sequence uint64, draining bool) []membership.Change {
		changes, err := table.Receive(start, membership.Heartbeat{
			From: "n01", Incarnation: incarnation, Sequence: sequence, Draining: draining, Heard: []string{"n00"},
		})
		require.NoError(t, err)
		return changes
	}
	require.Len(t, receive(5, 9, false), 1)
	require.Empty(t, receive(5, 8, true))
	require.Empty(t, receive(4, 99, true))
	require.False(t, table.Dump().Members[1].Draining)
	require.True(t, receive(6, 1, false)[0].Restarted)
	require.Equal(t, 1, table.Dump().Members[1].Losses)
	require.Empty(t, receive(6, 2, true))
	require.True(t, receive(7, 1, false)[0].Restarted)
	require.Equal(t, 1, table.Dump().Members[1].Losses)
}

// Guards against a draining node that gets roles in its own table or in another's.
func TestDrainingMemberGetsNoRoles(t *testing.T) {
	c := newCell(t, 4)
	c.run(time.Second)
	version := c.tables[1].Version()
	c.tables[0].SetDraining(true)
	c.run(time.Second)
	require.NotEqual(t, version, c.tables[1].Version())
	for _, table := range c.tables {
		for team := range 50 {
			home, ok := table.HomeOf("r0", fmt.Sprint(team))
			require.True(t, ok && home.Name == "n02")
			require.NotContains(t, fmt.Sprint(table.OwnersOf(fmt.Sprint(team), "r0", "d0")), "n00")
		}
	}
}

// Guards against a range without a home because its first choice can't begin leases yet,
// and against that node losing its workers for this reason.
func TestUnreadyMemberIsNotHome(t *testing.T) {
	c := newCell(t, 4)
	c.run(time.Second)
	c.tables[0].SetReady(false)
	c.run(time.Second)
	for _, table := range c.tables {
		for team := range 50 {
			home, ok := table.HomeOf("r0", fmt.Sprint(team))
			require.True(t, ok && home.Name == "n02")
			require.Equal(t, "n00", table.OwnersOf(fmt.Sprint(team), "r0", "d0").First.Name)
		}
	}
	c.tables[0].SetReady(true)
	c.run(time.Second)
	require.False(t, c.dumpOf(1, 0).Unready)
}

// Guards against a lost or new member that changes assignments other than its own, against
// a member with far more workers than others, against a second choice that doesn't become
// first choice, and against an owner from a less preferred failure domain.
func TestLostMemberMovesOnlyItsAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 9).Draw(t, "members")
		lostMember := rapid.IntRange(0, n-1).Draw(t, "lost member")
		c := newCell(t, n)
		c.run(time.Second)
		type assignment struct {
			homes  map[string]string
			owners map[string]membership.Owners
		}
		const workers, teams = 650, 61
		observer := c.tables[(lostMember+1)%n]
		assign := func() assignment {
			a := assignment{map[string]string{}, map[string]membership.Owners{}}
			for i := range workers {
				worker := fmt.Sprintf("vm-%d", i)
				a.owners[worker] = observer.OwnersOf(worker, fmt.Sprintf("r%d", i%2), fmt.Sprintf("d%d", i%4))
			}
			for i := range teams {
				for _, region := range []string{"r0", "r1"} {
					home, ok := observer.HomeOf(region, fmt.Sprintf("team-%d", i))
					require.True(t, ok)
					require.Equal(t, region, home.Region)
					a.homes[home.Region+fmt.Sprint(i)] = home.Name
				}
			}
			return a
		}
		before := assign()
		name, moved := c.list[lostMember].Name, 0
		c.stopped[lostMember] = true
		c.run(2 * time.Second)
		after := assign()
		for worker, old := range before.owners {
			if old.First.Name == name {
				moved++
				require.Equal(t, old.Second, after.owners[worker].First)
			} else {
				require.Equal(t, old.First, after.owners[worker].First)
			}
		}
		// Each failure domain has a quarter of the workers, which its members share.
		domainSize := 0
		for _, m := range c.list {
			if m.FailureDomain == c.list[lostMember].FailureDomain {
				domainSize++
			}
		}
		require.InDelta(t, float64(workers)/4/float64(domainSize), moved, 45)
		for r, old := range before.homes {
			if old != name {
				require.Equal(t, old, after.homes[r])
			}
		}
		c.restart(lostMember)
		c.run(time.Second)
		require.Equal(t, before, assign())
	})
}

// Guards against views that don't converge after random message loss, one-way cuts, pauses
// and restarts have ended. Each subtest is named after its seed.
func TestViewsConverge(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			c := newCell(t, 6)
			cutFrom, cutTo := -1, -1
			c.lost = func(from, to int) bool { return random.IntN(10) == 0 || from == cutFrom && to == cutTo }
			for range 10 {
				cutFrom, cutTo = random.IntN(6), random.IntN(6)
				node := random.IntN(6)
				c.stopped[node] = true
				c.run(time.Duration(random.IntN(4000)) * time.Millisecond)
				if random.IntN(2) == 0 {
					c.restart(node)
				}
				c.stopped[node] = false
			}
			c.lost = func(int, int) bool { return false }
			c.run(2*time.Second + membership.MaxBackOff)
			want, ok := c.tables[0].HomeOf("r1", "ledger")
			require.True(t, ok)
			for i, table := range c.tables {
				require.Equal(t, 6, c.live(i))
				home, _ := table.HomeOf("r1", "ledger")
				require.Equal(t, want, home)
			}
		})
	}
}

// Measures one call of OwnersOf with nine members.
func BenchmarkOwnersOf(b *testing.B) {
	c := newCell(b, 9)
	c.run(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		c.tables[0].OwnersOf("vm-17", "r0", "d0")
	}
}
