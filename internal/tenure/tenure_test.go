package tenure

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testTick = 50 * time.Millisecond

// testCell joins some nodes by a network without delay. Each node owns the same
// number of workers.
type testCell struct {
	now            time.Time
	names          []string
	nodes          map[string]*Leases
	workerLists    map[string][]string
	isolated       map[string]bool
	losesResponses map[string]bool // gets no answers
	messages       int
	bytes          int
	events         []Event
}

func newTestCell(nodes, workers int) *testCell {
	g := &testCell{
		now: time.Unix(1_800_000_000, 0), nodes: map[string]*Leases{}, workerLists: map[string][]string{}, isolated: map[string]bool{},
		losesResponses: map[string]bool{},
	}
	var list []string
	for i := range workers {
		list = append(list, fmt.Sprintf("punjab-vm-%03d", i))
	}
	for i := range nodes {
		g.names = append(g.names, fmt.Sprintf("n%d", i))
	}
	for i, name := range g.names {
		g.nodes[name] = New(Options{Self: name, Seed: uint64(i)})
		g.setList(name, list)
	}
	for i, worker := range list {
		g.nodes[g.names[i%nodes]].SessionOpened(g.now, g.now, worker)
	}
	g.run(6 * time.Second)
	return g
}

func (g *testCell) setList(name string, list []string) {
	g.workerLists[name] = list
	g.nodes[name].SetRegion(g.now, Region{Name: modelRange.Region, Workers: list, Owners: g.names})
}

func (g *testCell) want(name string, ranges ...Range) { g.nodes[name].SetWanted(g.now, ranges) }

func (g *testCell) held(name string) bool {
	_, held := g.nodes[name].Held(g.now, modelRange)
	return held
}

func (g *testCell) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(testTick) {
		for _, name := range g.names {
			node := g.nodes[name]
			for _, s := range node.sessions {
				node.SessionRenewed(g.now, s.worker)
			}
			outgoing, events := node.Tick(g.now)
			g.events = append(g.events, events...)
			for _, o := range outgoing {
				if g.isolated[name] || g.isolated[o.To] {
					continue
				}
				answer := g.nodes[o.To].ReceiveRequest(g.now, name, o.Request)
				if !g.losesResponses[name] {
					node.ReceiveResponse(g.now, o.To, answer)
				}
				request, _ := cbor.Marshal(o.Request)
				reply, _ := cbor.Marshal(answer)
				g.messages, g.bytes = g.messages+2, g.bytes+len(request)+len(reply)
			}
		}
	}
}

// Guards against an owner that promises one range to two nodes, promises an
// old lease again, or keeps others out after a release or handover.
func TestOwnerPromises(t *testing.T) {
	old, newer := LeaseNumber{100, "a"}, LeaseNumber{200, "b"}
	ask := func(n LeaseNumber) RangeRequest { return RangeRequest{Range: modelRange, Timestamp: n.Timestamp} }
	release := func(n LeaseNumber) RangeRequest {
		return RangeRequest{Range: modelRange, Timestamp: n.Timestamp, Release: true}
	}
	type step struct {
		after   time.Duration
		node    string
		request RangeRequest
		refused Reason
	}
	cases := map[string][]step{
		"renewed":                {{0, "a", ask(old), ""}, {time.Second, "a", ask(old), ""}},
		"held by another":        {{0, "a", ask(old), ""}, {ownerPromiseDuration - 1, "b", ask(newer), ReasonHeld}},
		"expired":                {{0, "a", ask(old), ""}, {ownerPromiseDuration, "b", ask(newer), ""}, {0, "a", ask(old), ReasonStale}},
		"released":               {{0, "a", ask(old), ""}, {0, "a", release(old), ""}, {0, "b", ask(newer), ""}},
		"released, asked late":   {{0, "a", ask(old), ""}, {0, "a", release(old), ""}, {0, "a", ask(old), ReasonStale}},
		"late release":           {{0, "a", ask(old), ""}, {0, "a", ask(LeaseNumber{300, "a"}), ""}, {0, "a", release(old), ""}, {0, "b", ask(LeaseNumber{400, "b"}), ReasonHeld}},
		"release by another":     {{0, "a", ask(old), ""}, {0, "b", release(old), ""}, {0, "b", ask(newer), ReasonHeld}},
		"newer number of holder": {{0, "a", ask(old), ""}, {0, "a", ask(LeaseNumber{300, "a"}), ""}, {0, "a", ask(old), ReasonStale}},
		"handed over":            {{0, "a", ask(old), ""}, {0, "b", RangeRequest{Range: modelRange, Timestamp: 200, Replaces: &old}, ""}},
		"other handed over":      {{0, "a", ask(old), ""}, {0, "b", RangeRequest{Range: modelRange, Timestamp: 200, Replaces: &newer}, ReasonHeld}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			owner, now := New(Options{Self: "o"}), time.Unix(1, 0)
			for i, s := range steps {
				now = now.Add(s.after)
				answer := owner.ReceiveRequest(now, s.node, PromiseRequest{Round: 1, Ranges: []RangeRequest{s.request}})
				if s.refused != "" {
					require.Len(t, answer.Refused, 1, "step %d", i)
					require.Equal(t, s.refused, answer.Refused[0].Reason, "step %d", i)
				} else {
					require.Empty(t, answer.Refused, "step %d", i)
				}
			}
		})
	}
}

// Guards against an assignment that is taken from a former home, also by an
// owner that learns of the new home only through its assignment.
func TestCheckFencesOldLeases(t *testing.T) {
	owner, now := New(Options{Self: "o"}), time.Unix(1, 0)
	require.NoError(t, owner.Check(now, modelRange, LeaseNumber{100, "a"}))
	require.NoError(t, owner.Check(now, modelRange, LeaseNumber{100, "b"}))
	var stale *StaleLeaseError
	require.ErrorAs(t, owner.Check(now, modelRange, LeaseNumber{100, "a"}), &stale)
	require.Equal(t, LeaseNumber{100, "b"}, stale.Newest)
	for i := range MaxRanges - 1 {
		require.NoError(t, owner.Check(now, Range{Team: fmt.Sprint(i)}, LeaseNumber{1, "a"}))
	}
	require.Error(t, owner.Check(now, Range{Team: "one too many"}, LeaseNumber{1, "a"}))
	require.NoError(t, owner.Check(now.Add(2*expiredPromiseRetention), Range{Team: "one too many"}, LeaseNumber{1, "a"}))
}

// Guards against a worker that counts too early after its session opened, or
// too long after its last renewal.
func TestSessionCountsWorkerWhileValid(t *testing.T) {
	owner, opened := New(Options{Self: "o"}), time.Unix(1, 0)
	counts := func(after time.Duration) bool { return len(owner.countedWorkers(opened.Add(after)).names) == 1 }
	owner.SessionRenewed(opened, "vm")
	require.False(t, counts(time.Second), "a renewal without a session")
	owner.SessionOpened(opened.Add(-100*time.Millisecond), opened, "vm")
	const wait = PromiseDuration * 11 / 10 // by a clock that is a tenth fast
	require.False(t, counts(wait-1))
	require.True(t, counts(wait))
	require.True(t, counts(2300*time.Millisecond-1))
	require.False(t, counts(2300*time.Millisecond))
	owner.SessionRenewed(opened.Add(time.Second), "vm")
	owner.SessionRenewed(opened, "vm") // late
	require.True(t, counts(3400*time.Millisecond-1))
	require.False(t, counts(3400*time.Millisecond))
	owner.SessionClosed("vm")
	require.False(t, counts(2250*time.Millisecond))
}

// Guards against a lease that comes back to life through a late answer after
// its time has passed, for example during a pause of its holder.
func TestLateResponseDoesNotRenewExpiredLease(t *testing.T) {
	g := newTestCell(3, 12)
	g.want("n0", modelRange)
	g.run(time.Second)
	require.True(t, g.held("n0"))
	first, _ := g.nodes["n0"].Held(g.now, modelRange)
	outgoing, _ := []Outgoing(nil), []Event(nil)
	for len(outgoing) == 0 {
		g.now = g.now.Add(testTick)
		outgoing, _ = g.nodes["n0"].Tick(g.now)
	}
	g.now = g.now.Add(candidatePromiseDuration)
	require.False(t, g.held("n0"))
	for _, o := range outgoing {
		g.nodes["n0"].ReceiveResponse(g.now, o.To, g.nodes[o.To].ReceiveRequest(g.now, "n0", o.Request))
	}
	require.False(t, g.held("n0"))
	g.run(time.Second)
	second, held := g.nodes["n0"].Held(g.now, modelRange)
	require.True(t, held)
	require.Positive(t, second.Number.Compare(first.Number))
	require.True(t, second.Since.After(first.Since))
}

// Guards against a gap in a planned handover, and against the former home
// acting after it.
func TestHandover(t *testing.T) {
	g := newTestCell(5, 12)
	_, ok := g.nodes["n0"].HandOver(g.now, modelRange)
	require.False(t, ok)
	g.want("n0", modelRange)
	g.run(time.Second)
	handover, ok := g.nodes["n0"].HandOver(g.now, modelRange)
	require.True(t, ok)
	require.False(t, g.held("n0"))
	g.nodes["n1"].ReceiveHandover(g.now, handover)
	g.run(testTick)
	require.True(t, g.held("n1"))
	require.Error(t, g.nodes["n2"].Check(g.now, modelRange, handover.Number))
}

// Guards against a home that moves while its holder lives, and against one
// that keeps others out after it died or was cut off.
func TestHolderKeepsRangeWhileReachable(t *testing.T) {
	g := newTestCell(5, 12)
	g.want("n0", modelRange)
	g.run(time.Second)
	g.want("n0")
	g.want("n1", modelRange)
	g.run(20 * time.Second)
	require.True(t, g.held("n0"))
	g.isolated["n0"] = true
	g.run(candidatePromiseDuration)
	require.False(t, g.held("n0"))
	g.run(time.Second)
	require.True(t, g.held("n1"))
}

// Guards against a node that hears nobody and whose requests keep renewing
// promises that it never learns of.
func TestNodeWithoutResponsesReleasesRange(t *testing.T) {
	for name, wasHome := range map[string]bool{"former home": true, "candidate": false} {
		t.Run(name, func(t *testing.T) {
			g := newTestCell(5, 15)
			g.losesResponses["n0"] = !wasHome
			g.want("n0", modelRange)
			g.run(time.Second)
			require.Equal(t, wasHome, g.held("n0"))
			g.losesResponses["n0"] = true
			g.want("n1", modelRange)
			g.run(8 * time.Second)
			require.True(t, g.held("n1"))
		})
	}
}

// Guards against candidates that split the promises and block each other.
func TestOneOfCompetingCandidatesWins(t *testing.T) {
	g := newTestCell(5, 12)
	for _, name := range g.names {
		g.want(name, modelRange)
	}
	g.run(3 * time.Second)
	homes := 0
	for _, name := range g.names {
		if g.held(name) {
			homes++
		}
	}
	require.Equal(t, 1, homes)
	require.Len(t, g.events, 1)
}

// Guards against two candidates with a large difference between their lists,
// and against a list that is used before it is stable.
func TestLargeListChangeSuspendsNewLeases(t *testing.T) {
	cases := map[string]struct {
		lists [][]int // numbers of the workers left out, one list a second
		ready bool    // a second after the last list
	}{
		"one worker leaves":            {[][]int{{0}}, true},
		"three of twelve leave":        {[][]int{{0, 1, 2}}, true},
		"four of twelve leave":         {[][]int{{0, 1, 2, 3}}, false},
		"four leave one at a time":     {[][]int{{0}, {0, 1}, {0, 1, 2}, {0, 1, 2, 3}}, false},
		"five leave and return":        {[][]int{{0, 1, 2, 3, 4}, {}}, false},
		"a small change after a large": {[][]int{{0, 1, 2, 3, 4}, {0, 1, 2, 3}}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			g := newTestCell(3, 12)
			all := g.workerLists["n0"]
			for _, missing := range test.lists {
				var list []string
				for i, worker := range all {
					if !contains(missing, i) {
						list = append(list, worker)
					}
				}
				g.setList("n0", list)
				g.run(time.Second)
			}
			require.Equal(t, test.ready, g.nodes["n0"].Ready(g.now, modelRange.Region))
			g.want("n0", modelRange)
			g.run(ListStablePeriod - time.Second - testTick)
			require.Equal(t, test.ready, g.held("n0"))
			g.run(2 * testTick)
			require.True(t, g.held("n0"))
		})
	}
}

func contains(list []int, wanted int) bool {
	for _, i := range list {
		if i == wanted {
			return true
		}
	}
	return false
}

// Guards against a holder that follows a broken list down to a few workers,
// and against a pause that counts as time in which the list was stable.
func TestHolderNeedsBothLists(t *testing.T) {
	g := newTestCell(4, 12)
	g.want("n0", modelRange)
	g.run(time.Second)
	g.setList("n0", g.workerLists["n0"][:3])
	require.True(t, g.held("n0"))
	g.isolated["n3"], g.isolated["n2"] = true, true // n0 and n1 own two of the three, and half of all.
	g.run(candidatePromiseDuration)
	require.False(t, g.held("n0"))
	g.now = g.now.Add(time.Minute)
	g.run(testTick)
	require.False(t, g.nodes["n0"].Ready(g.now, modelRange.Region))
}

// Guards against a weight that counts workers outside the candidate's list.
func TestWeightIsWithinOwnList(t *testing.T) {
	g := newTestCell(3, 12)
	for i := range 8 {
		g.nodes["n1"].SessionOpened(g.now, g.now, fmt.Sprintf("unlisted-%d", i))
	}
	g.run(3 * time.Second)
	g.want("n0", modelRange)
	g.isolated["n2"] = true
	g.run(time.Second)
	require.Equal(t, 8, g.nodes["n0"].Dump(g.now).Ranges[0].Weight)
	require.False(t, g.held("n0"))
}

// Guards against an error in the proof's arithmetic: with lists that the rule
// lets pass, two disjoint sets of workers never both have a quorum.
func TestQuorumsIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "workers")
		var a, b, forA, forB []string
		for i := range size {
			name, where := fmt.Sprintf("%03d", i), rapid.IntRange(0, 9).Draw(t, "where")
			if where != 0 {
				a = append(a, name)
			}
			if where != 1 {
				b = append(b, name)
			}
			if where == 0 || where != 1 && rapid.Bool().Draw(t, "counts for b") {
				forB = append(forB, name)
			} else {
				forA = append(forA, name)
			}
		}
		listA, listB := newWorkerSet(a), newWorkerSet(b)
		if differsByThird(listA, listB) {
			t.Skip("lists differ by a third")
		}
		both := hasQuorum(newWorkerSet(forA).weightIn(listA), listA) && hasQuorum(newWorkerSet(forB).weightIn(listB), listB)
		require.False(t, both)
	})
}

// Guards against message sizes and counts that exceed the budget of 15 KB/s a
// node, and against a dump that changes from call to call.
func TestTrafficAtFullSize(t *testing.T) {
	g := newTestCell(9, 650)
	wanted := map[string][]Range{}
	for i := range 122 {
		name := g.names[i%9]
		wanted[name] = append(wanted[name], Range{Region: modelRange.Region, Team: fmt.Sprintf("team-name-%d", i)})
	}
	for _, name := range g.names {
		g.want(name, wanted[name]...)
	}
	g.run(5 * time.Second)
	g.messages, g.bytes = 0, 0
	g.run(10 * time.Second)
	// One request and one answer between each pair in each direction.
	require.LessOrEqual(t, g.messages, 2*9*8*(10*2+1))
	t.Logf("%d messages/s and %d bytes/s sent a node", g.messages/90, g.bytes/90)
	require.Less(t, g.bytes/90, 15_000)
	first, err := json.Marshal(g.nodes["n0"].Dump(g.now))
	require.NoError(t, err)
	second, err := json.Marshal(g.nodes["n0"].Dump(g.now))
	require.NoError(t, err)
	require.JSONEq(t, string(first), string(second))
	require.Len(t, g.nodes["n0"].Dump(g.now).Ranges, 14)
	require.True(t, g.nodes["n0"].Dump(g.now).Ranges[0].Held)
}

// Measures the time of one tick of a node that holds 122 ranges, with its
// share of the requests and answers of nine nodes and 650 workers.
func BenchmarkTick(b *testing.B) {
	g := newTestCell(9, 650)
	var wanted []Range
	for i := range 122 {
		wanted = append(wanted, Range{Region: modelRange.Region, Team: fmt.Sprintf("team-name-%d", i)})
	}
	g.want("n0", wanted...)
	g.run(time.Second)
	node := g.nodes["n0"]
	for b.Loop() {
		g.now = g.now.Add(testTick)
		for _, owner := range g.nodes {
			for _, s := range owner.sessions {
				s.heldUntil = g.now.Add(time.Second)
			}
		}
		outgoing, _ := node.Tick(g.now)
		for _, o := range outgoing {
			node.ReceiveResponse(g.now, o.To, g.nodes[o.To].ReceiveRequest(g.now, "n0", o.Request))
		}
	}
}
