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

// testCell is a cell of nodes that a network without delay connects. All workers have a
// session, spread evenly over the nodes.
type testCell struct {
	now            time.Time
	names          []string
	nodes          map[string]*Leases
	workerLists    map[string][]string
	isolated       map[string]bool
	losesResponses map[string]bool // nodes to which no response is delivered
	messages       int
	bytes          int
	events         []Event
}

func newTestCell(nodes, workers int) *testCell {
	c := &testCell{
		now: time.Unix(1_800_000_000, 0), nodes: map[string]*Leases{}, workerLists: map[string][]string{}, isolated: map[string]bool{},
		losesResponses: map[string]bool{},
	}
	var list []string
	for i := range workers {
		list = append(list, fmt.Sprintf("punjab-vm-%03d", i))
	}
	for i := range nodes {
		c.names = append(c.names, fmt.Sprintf("n%d", i))
	}
	for i, name := range c.names {
		c.nodes[name] = New(Options{Self: name, Seed: uint64(i)})
		c.setWorkerList(name, list)
	}
	for i, worker := range list {
		c.nodes[c.names[i%nodes]].SessionOpened(c.now, c.now, worker)
	}
	c.run(6 * time.Second)
	return c
}

func (c *testCell) setWorkerList(name string, list []string) {
	c.workerLists[name] = list
	c.nodes[name].SetRegion(c.now, Region{Name: modelRange.Region, Workers: list, Owners: c.names})
}

func (c *testCell) setWanted(name string, ranges ...Range) { c.nodes[name].SetWanted(c.now, ranges) }

func (c *testCell) held(name string) bool {
	_, held := c.nodes[name].Held(c.now, modelRange)
	return held
}

func (c *testCell) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(testTick) {
		for _, name := range c.names {
			node := c.nodes[name]
			for _, s := range node.sessions {
				node.SessionRenewed(c.now, s.worker)
			}
			outgoing, events := node.Tick(c.now)
			c.events = append(c.events, events...)
			for _, o := range outgoing {
				if c.isolated[name] || c.isolated[o.To] {
					continue
				}
				response := c.nodes[o.To].ReceiveRequest(c.now, name, o.Request)
				if !c.losesResponses[name] {
					node.ReceiveResponse(c.now, o.To, response)
				}
				encodedRequest, _ := cbor.Marshal(o.Request)
				encodedResponse, _ := cbor.Marshal(response)
				c.messages, c.bytes = c.messages+2, c.bytes+len(encodedRequest)+len(encodedResponse)
			}
		}
	}
}

// Guards against an owner that promises one range to two nodes, promises an old number
// again, or refuses other nodes after a release or handover.
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
		"renewed":                    {{0, "a", ask(old), ""}, {time.Second, "a", ask(old), ""}},
		"held by another":            {{0, "a", ask(old), ""}, {ownerPromiseDuration - 1, "b", ask(newer), ReasonHeld}},
		"expired":                    {{0, "a", ask(old), ""}, {ownerPromiseDuration, "b", ask(newer), ""}, {0, "a", ask(old), ReasonStale}},
		"released":                   {{0, "a", ask(old), ""}, {0, "a", release(old), ""}, {0, "b", ask(newer), ""}},
		"late request after release": {{0, "a", ask(old), ""}, {0, "a", release(old), ""}, {0, "a", ask(old), ReasonStale}},
		"late release":               {{0, "a", ask(old), ""}, {0, "a", ask(LeaseNumber{300, "a"}), ""}, {0, "a", release(old), ""}, {0, "b", ask(LeaseNumber{400, "b"}), ReasonHeld}},
		"release by another":         {{0, "a", ask(old), ""}, {0, "b", release(old), ""}, {0, "b", ask(newer), ReasonHeld}},
		"newer number of holder":     {{0, "a", ask(old), ""}, {0, "a", ask(LeaseNumber{300, "a"}), ""}, {0, "a", ask(old), ReasonStale}},
		"handed over":                {{0, "a", ask(old), ""}, {0, "b", RangeRequest{Range: modelRange, Timestamp: 200, Replaces: &old}, ""}},
		"another lease handed over":  {{0, "a", ask(old), ""}, {0, "b", RangeRequest{Range: modelRange, Timestamp: 200, Replaces: &newer}, ReasonHeld}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			owner, now := New(Options{Self: "o"}), time.Unix(1, 0)
			for i, s := range steps {
				now = now.Add(s.after)
				response := owner.ReceiveRequest(now, s.node, PromiseRequest{Round: 1, Ranges: []RangeRequest{s.request}})
				if s.refused != "" {
					require.Len(t, response.Refused, 1, "step %d", i)
					require.Equal(t, s.refused, response.Refused[0].Reason, "step %d", i)
				} else {
					require.Empty(t, response.Refused, "step %d", i)
				}
			}
		})
	}
}

// Guards against an owner that accepts an assignment of a former home, also when it knows
// the new home only from an assignment.
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

// Guards against a worker that counts too early after its session was opened, or too
// long after the last renewal.
func TestSessionCountsWorkerWhileValid(t *testing.T) {
	owner, openedAt := New(Options{Self: "o"}), time.Unix(1, 0)
	counts := func(after time.Duration) bool { return len(owner.countedWorkers(openedAt.Add(after)).names) == 1 }
	owner.SessionRenewed(openedAt, "vm")
	require.False(t, counts(time.Second), "a renewal without a session")
	owner.SessionOpened(openedAt.Add(-100*time.Millisecond), openedAt, "vm")
	const countDelay = PromiseDuration * 11 / 10 // by a clock that is a tenth fast
	require.False(t, counts(countDelay-1))
	require.True(t, counts(countDelay))
	require.True(t, counts(2300*time.Millisecond-1))
	require.False(t, counts(2300*time.Millisecond))
	owner.SessionRenewed(openedAt.Add(time.Second), "vm")
	owner.SessionRenewed(openedAt, "vm") // late
	require.True(t, counts(3400*time.Millisecond-1))
	require.False(t, counts(3400*time.Millisecond))
	owner.SessionClosed("vm")
	require.False(t, counts(2250*time.Millisecond))
}

// Guards against an expired lease that a late response makes valid again, for example
// after a pause of its holder.
func TestLateResponseDoesNotRenewExpiredLease(t *testing.T) {
	c := newTestCell(3, 12)
	c.setWanted("n0", modelRange)
	c.run(time.Second)
	require.True(t, c.held("n0"))
	first, _ := c.nodes["n0"].Held(c.now, modelRange)
	outgoing, _ := []Outgoing(nil), []Event(nil)
	for len(outgoing) == 0 {
		c.now = c.now.Add(testTick)
		outgoing, _ = c.nodes["n0"].Tick(c.now)
	}
	c.now = c.now.Add(candidatePromiseDuration)
	require.False(t, c.held("n0"))
	for _, o := range outgoing {
		c.nodes["n0"].ReceiveResponse(c.now, o.To, c.nodes[o.To].ReceiveRequest(c.now, "n0", o.Request))
	}
	require.False(t, c.held("n0"))
	c.run(time.Second)
	second, held := c.nodes["n0"].Held(c.now, modelRange)
	require.True(t, held)
	require.Positive(t, second.Number.Compare(first.Number))
	require.True(t, second.Since.After(first.Since))
}

// Guards against a planned handover after which the range has no home for more than one
// tick, and against assignments of the former home after it.
func TestHandover(t *testing.T) {
	c := newTestCell(5, 12)
	_, ok := c.nodes["n0"].HandOver(c.now, modelRange)
	require.False(t, ok)
	c.setWanted("n0", modelRange)
	c.run(time.Second)
	handover, ok := c.nodes["n0"].HandOver(c.now, modelRange)
	require.True(t, ok)
	require.False(t, c.held("n0"))
	c.nodes["n1"].ReceiveHandover(c.now, handover)
	c.run(testTick)
	require.True(t, c.held("n1"))
	require.Error(t, c.nodes["n2"].Check(c.now, modelRange, handover.Number))
}

// Guards against a home that moves while its node is reachable, and against one that
// still blocks other candidates after it was isolated.
func TestHolderKeepsRangeWhileReachable(t *testing.T) {
	c := newTestCell(5, 12)
	c.setWanted("n0", modelRange)
	c.run(time.Second)
	c.setWanted("n0")
	c.setWanted("n1", modelRange)
	c.run(20 * time.Second)
	require.True(t, c.held("n0"))
	c.isolated["n0"] = true
	c.run(candidatePromiseDuration)
	require.False(t, c.held("n0"))
	c.run(time.Second)
	require.True(t, c.held("n1"))
}

// Guards against a node that gets no responses and whose requests keep renewing promises
// that it can't use.
func TestNodeWithoutResponsesReleasesRange(t *testing.T) {
	for name, wasHome := range map[string]bool{"former home": true, "candidate": false} {
		t.Run(name, func(t *testing.T) {
			c := newTestCell(5, 15)
			c.losesResponses["n0"] = !wasHome
			c.setWanted("n0", modelRange)
			c.run(time.Second)
			require.Equal(t, wasHome, c.held("n0"))
			c.losesResponses["n0"] = true
			c.setWanted("n1", modelRange)
			c.run(8 * time.Second)
			require.True(t, c.held("n1"))
		})
	}
}

// Guards against candidates that each get a part of the promises and block each other.
func TestOneOfCompetingCandidatesWins(t *testing.T) {
	c := newTestCell(5, 12)
	for _, name := range c.names {
		c.setWanted(name, modelRange)
	}
	c.run(3 * time.Second)
	homes := 0
	for _, name := range c.names {
		if c.held(name) {
			homes++
		}
	}
	require.Equal(t, 1, homes)
	require.Len(t, c.events, 1)
}

// Guards against a new lease soon after a large change of the worker list, when lists of
// two candidates could differ too much, and against a suspension that lasts too long.
func TestLargeListChangeSuspendsNewLeases(t *testing.T) {
	cases := map[string]struct {
		workerLists [][]int // indexes of the workers that each list lacks; one list per second
		ready       bool    // whether the node is ready one second after the last list
	}{
		"one of twelve leaves":                  {[][]int{{0}}, true},
		"three of twelve leave":                 {[][]int{{0, 1, 2}}, true},
		"four of twelve leave":                  {[][]int{{0, 1, 2, 3}}, false},
		"four leave one at a time":              {[][]int{{0}, {0, 1}, {0, 1, 2}, {0, 1, 2, 3}}, false},
		"five leave and return":                 {[][]int{{0, 1, 2, 3, 4}, {}}, false},
		"a small change follows a large change": {[][]int{{0, 1, 2, 3, 4}, {0, 1, 2, 3}}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCell(3, 12)
			all := c.workerLists["n0"]
			for _, missing := range test.workerLists {
				var list []string
				for i, worker := range all {
					if !contains(missing, i) {
						list = append(list, worker)
					}
				}
				c.setWorkerList("n0", list)
				c.run(time.Second)
			}
			require.Equal(t, test.ready, c.nodes["n0"].Ready(c.now, modelRange.Region))
			c.setWanted("n0", modelRange)
			c.run(ListStablePeriod - time.Second - testTick)
			require.Equal(t, test.ready, c.held("n0"))
			c.run(2 * testTick)
			require.True(t, c.held("n0"))
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

// Guards against a holder that needs only a quorum of the newest list after a wrong list
// with few workers, and against a pause that counts as time in which the list was stable.
func TestHolderNeedsBothLists(t *testing.T) {
	c := newTestCell(4, 12)
	c.setWanted("n0", modelRange)
	c.run(time.Second)
	c.setWorkerList("n0", c.workerLists["n0"][:3])
	require.True(t, c.held("n0"))
	c.isolated["n3"], c.isolated["n2"] = true, true // n0 and n1 own two of the three listed workers, and half of all.
	c.run(candidatePromiseDuration)
	require.False(t, c.held("n0"))
	c.now = c.now.Add(time.Minute)
	c.run(testTick)
	require.False(t, c.nodes["n0"].Ready(c.now, modelRange.Region))
}

// Guards against a weight that counts workers which aren't in the candidate's list.
func TestWeightIsWithinOwnList(t *testing.T) {
	c := newTestCell(3, 12)
	for i := range 8 {
		c.nodes["n1"].SessionOpened(c.now, c.now, fmt.Sprintf("unlisted-%d", i))
	}
	c.run(3 * time.Second)
	c.setWanted("n0", modelRange)
	c.isolated["n2"] = true
	c.run(time.Second)
	require.Equal(t, 8, c.nodes["n0"].Dump(c.now).Ranges[0].Weight)
	require.False(t, c.held("n0"))
}

// Guards against an error in the proof's arithmetic: if two lists differ by less than a
// third of the larger one, two disjoint sets of workers never both have a quorum.
func TestQuorumsIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "workers")
		var a, b, forA, forB []string
		for i := range size {
			// 0 means only in list b, 1 only in list a, other values in both.
			name, lists := fmt.Sprintf("%03d", i), rapid.IntRange(0, 9).Draw(t, "lists")
			if lists != 0 {
				a = append(a, name)
			}
			if lists != 1 {
				b = append(b, name)
			}
			if lists == 0 || lists != 1 && rapid.Bool().Draw(t, "counts for b") {
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

// Guards against messages that exceed the limit of 15 KB/s per node, and against a dump
// that differs between two calls.
func TestTrafficAtFullSize(t *testing.T) {
	c := newTestCell(9, 650)
	wanted := map[string][]Range{}
	for i := range 122 {
		name := c.names[i%9]
		wanted[name] = append(wanted[name], Range{Region: modelRange.Region, Team: fmt.Sprintf("team-name-%d", i)})
	}
	for _, name := range c.names {
		c.setWanted(name, wanted[name]...)
	}
	c.run(5 * time.Second)
	c.messages, c.bytes = 0, 0
	c.run(10 * time.Second)
	// One request and one response between each pair of nodes in each direction.
	require.LessOrEqual(t, c.messages, 2*9*8*(10*2+1))
	// Nine nodes for 10 s.
	t.Logf("%d messages/s and %d bytes/s sent per node", c.messages/90, c.bytes/90)
	require.Less(t, c.bytes/90, 15_000)
	first, err := json.Marshal(c.nodes["n0"].Dump(c.now))
	require.NoError(t, err)
	second, err := json.Marshal(c.nodes["n0"].Dump(c.now))
	require.NoError(t, err)
	require.JSONEq(t, string(first), string(second))
	require.Len(t, c.nodes["n0"].Dump(c.now).Ranges, 14)
	require.True(t, c.nodes["n0"].Dump(c.now).Ranges[0].Held)
}

// Measures one tick of a node that holds 122 ranges, including the handling of its
// requests by nine nodes with 650 workers.
func BenchmarkTick(b *testing.B) {
	c := newTestCell(9, 650)
	var wanted []Range
	for i := range 122 {
		wanted = append(wanted, Range{Region: modelRange.Region, Team: fmt.Sprintf("team-name-%d", i)})
	}
	c.setWanted("n0", wanted...)
	c.run(time.Second)
	node := c.nodes["n0"]
	for b.Loop() {
		c.now = c.now.Add(testTick)
		for _, owner := range c.nodes {
			for _, s := range owner.sessions {
				s.heldUntil = c.now.Add(time.Second)
			}
		}
		outgoing, _ := node.Tick(c.now)
		for _, o := range outgoing {
			node.ReceiveResponse(c.now, o.To, c.nodes[o.To].ReceiveRequest(c.now, "n0", o.Request))
		}
	}
}
