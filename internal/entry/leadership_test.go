package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// newClaimant returns a process that isn't running, its platform, and the number of claims
// that it has sent. If silent is set the store answers it nothing.
func newClaimant(t *testing.T, silent bool) (*Process, *standin.Site, *atomic.Int64) {
	site, claims := standin.New(), &atomic.Int64{}
	t.Cleanup(site.Close)
	address, err := site.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/log-append") && r.URL.Query().Get("topic") == leadershipPartition.Topic {
			claims.Add(1)
		}
		if silent {
			<-r.Context().Done()
			return
		}
		site.Store.ServeHTTP(w, r)
	}))
	require.NoError(t, err)
	settings := platform.Settings{Node: "entry-1", Cores: 1, Store: platform.StoreSettings{Address: netip.MustParseAddrPort(address), Partitions: standin.Partitions}}
	return New(settings, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"})), site, claims
}

// A claim that is sent to a silent store may be carried out when the store recovers, and
// then replaces a leader that works.
func TestClaimNeedsAnAnswerOfTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		silent      bool
		expectedEnd int64
		confirmed   bool          // the leader answers that it was confirmed meanwhile
		unanswered  bool          // the leader answers no more
		lastAnswer  time.Duration // age of the store's last answer to a poll
		gapEnded    time.Duration // age of the answer before which the store was silent for 1.3 s; 0 for none
		claims      int64
	}{
		"the store answers":                  {claims: 1},
		"the store is silent":                {silent: true},
		"another record was appended":        {expectedEnd: 7},
		"the leader was confirmed meanwhile": {confirmed: true},
		"the leader doesn't answer any more": {unanswered: true},
		"a poll still waits":                 {lastAnswer: followPollWait, claims: 1},
		"a poll is overdue":                  {lastAnswer: 1300 * time.Millisecond},
		"a poll was answered late":           {gapEnded: 100 * time.Millisecond},
		"a poll was answered late before":    {gapEnded: election.StaleConfirmationAge + 100*time.Millisecond, claims: 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, _, claims := newClaimant(t, c.silent)
			p.startedAt = time.Now().Add(-time.Minute)
			p.recordStoreAnswer()
			now := time.Now().Add(election.StaleConfirmationAge)
			p.storeHealthySince.Add(-2 * int64(election.StaleConfirmationAge))
			p.storeAnsweredAt.Add(-int64(c.lastAnswer))
			if c.gapEnded > 0 {
				p.storeGap.Store(int64(1300 * time.Millisecond))
				p.storeGapEndedAt.Store(int64(time.Since(p.startedAt) - c.gapEnded))
			}
			leader := election.Leader{Epoch: 3, Node: "entry-2", Address: netip.MustParseAddrPort("127.0.0.1:1")}
			if c.confirmed || c.unanswered {
				peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if c.unanswered {
						_, _ = io.Copy(io.Discard, r.Body) // the server notices that the caller has left only once the body is read
						<-r.Context().Done()
						return
					}
					content, err := cbor.Marshal(heartbeatAnswer{Epoch: leader.Epoch, ConfirmationAge: election.StaleConfirmationAge / 2})
					require.NoError(t, err)
					_, _ = w.Write(content)
				}))
				defer peer.Close()
				leader.Address = netip.MustParseAddrPort(peer.Listener.Addr().String())
			}
			view := &leaderView{leader: leader, lastHeard: now.Add(100*time.Millisecond - election.SuspectAfter), confirmationAge: 2 * election.StaleConfirmationAge, isMonitor: true}
			p.maybeClaim(t.Context(), shardRef{"ledger", 0, 1}, leader, view, now, c.expectedEnd)
			require.Equal(t, c.claims, claims.Load())
		})
	}
}

// A node that reaches no other node is most likely the one that is cut off. Guards against
// its claim of a shard whose leader works (incident inc1).
func TestIsolatedNodeClaimsOnlyIfLeaderAppendsNothing(t *testing.T) {
	ref := shardRef{"ledger", 0, 1}
	partition := func(p int) platform.Partition { return ref.partition(p, standin.Partitions) }
	for name, c := range map[string]struct {
		appendsTo    []platform.Partition // between the node's checks
		unresponsive bool                 // one of the partitions
		claims       int64
	}{
		"the leader appends nothing":                   {nil, false, 1},
		"the leader appends to the first partition":    {[]platform.Partition{partition(0)}, false, 0},
		"the leader appends to the second partition":   {[]platform.Partition{partition(1)}, false, 0},
		"another shard's leader appends":               {[]platform.Partition{{Topic: partition(0).Topic, Part: 2}}, false, 1},
		"a partition of which the state can't be read": {nil, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, site, claims := newClaimant(t, false)
			appendTo := func(partition platform.Partition) {
				_, _, err := p.store.Append(t.Context(), platform.Append{Partition: partition, ExpectedEnd: -1, Records: []platform.Record{{Key: "p1", Value: []byte("1")}}})
				require.NoError(t, err)
			}
			appendTo(partition(0))
			site.Store.SetUnresponsive(partition(1).Topic, partition(1).Part, c.unresponsive)
			unreachable := netip.MustParseAddrPort("127.0.0.1:1")
			leader := election.Leader{Epoch: 3, Node: "entry-2", Address: netip.MustParseAddrPort("127.0.0.2:1")}
			now := time.Now()
			view := &leaderView{leader: leader, lastHeard: now.Add(-election.IsolatedAfter), isMonitor: true, monitorAddresses: []netip.AddrPort{unreachable}}
			p.maybeClaim(t.Context(), ref, leader, view, now, 0)
			require.Zero(t, claims.Load(), "the node doesn't know yet whether the leader appends")
			for _, partition := range c.appendsTo {
				appendTo(partition)
			}
			p.maybeClaim(t.Context(), ref, leader, view, now.Add(election.QuietAfter), 0)
			require.Equal(t, c.claims, claims.Load())
		})
	}
}

// Nodes of a region that the store isn't in reach each other while the link between the
// regions is full. Guards against their claim of a shard whose leader works (incident inc1).
func TestFarNodesClaimOnlyIfLeaderAppendsNothing(t *testing.T) {
	ref := shardRef{"ledger", 0, 1}
	cases := map[string]struct {
		idleLink, nearPeer, leaderAppends bool
		firstClaims, secondClaims         int64
	}{
		"the leader appends":                   {false, false, true, 0, 0},
		"the leader appends nothing":           {false, false, false, 0, 1},
		"a node near the store also misses it": {false, true, true, 1, 1},
		"the link to the store isn't full":     {true, false, true, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, _, claims := newClaimant(t, false)
			if c.idleLink {
				p.recordStoreLatency(2 * nearStoreLatency)
			}
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				content, err := cbor.Marshal(viewAnswer{Epoch: 3, SinceHeard: time.Minute, NearStore: c.nearPeer})
				require.NoError(t, err)
				_, _ = w.Write(content)
			}))
			defer peer.Close()
			leader := election.Leader{Epoch: 3, Node: "entry-2", Address: netip.MustParseAddrPort("127.0.0.2:1")}
			now := time.Now()
			view := &leaderView{
				leader: leader, lastHeard: now.Add(-election.IsolatedAfter), isMonitor: true,
				monitorAddresses: []netip.AddrPort{netip.MustParseAddrPort(peer.Listener.Addr().String())},
			}
			p.maybeClaim(t.Context(), ref, leader, view, now, 0)
			require.Equal(t, c.firstClaims, claims.Load())
			if c.leaderAppends {
				_, _, err := p.store.Append(t.Context(), platform.Append{Partition: ref.partition(0, standin.Partitions), ExpectedEnd: -1, Records: []platform.Record{{Key: "p1", Value: []byte("1")}}})
				require.NoError(t, err)
			}
			if c.firstClaims == 0 {
				p.maybeClaim(t.Context(), ref, leader, view, now.Add(election.QuietAfter), 0)
			}
			require.Equal(t, c.secondClaims, claims.Load())
		})
	}
}

// A new leader knows first the nodes that are close to it. Guards against a node that asks
// only these about the leader after it, and takes itself for connected (incident inc1).
func TestMonitorsOfFormerLeaderAreAskedAtFirst(t *testing.T) {
	near, far := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, []netip.AddrPort{netip.MustParseAddrPort("10.1.0.1:1")}
	p, _, _ := newClaimant(t, false)
	heartbeat := func(epoch int64, monitors []netip.AddrPort) *leaderView {
		leader := election.Leader{Epoch: epoch, Node: "entry-2"}
		v := p.viewOfLeader("ledger/0", leader)
		p.applyHeartbeat("ledger/0", leader, heartbeatResult{answer: heartbeatAnswer{Monitors: monitors}, sent: time.Now()})
		return v
	}
	require.Equal(t, near, heartbeat(3, near).monitorAddresses, "the first leader has no former one")
	v := heartbeat(4, far)
	require.Equal(t, near, v.monitorAddresses)
	v.learnedAt = v.learnedAt.Add(-memberTimeout)
	require.Equal(t, far, heartbeat(4, far).monitorAddresses)
	require.Equal(t, near, heartbeat(4, near).monitorAddresses)
}

// A silent store fails no poll before the poll's time limit, so its last answer tells
// whether it serves this node.
func TestStoreHealth(t *testing.T) {
	p := New(platform.Settings{}, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
	elapse := func(length time.Duration) { p.startedAt = p.startedAt.Add(-length) }
	requireHealthyFor := func(want time.Duration) {
		t.Helper()
		require.InDelta(t, want.Seconds(), p.storeHealthyFor().Seconds(), 0.3)
	}
	elapse(time.Minute)
	requireHealthyFor(0)
	p.recordStoreAnswer()
	elapse(time.Second)
	p.recordStoreAnswer()
	elapse(time.Second)
	requireHealthyFor(2 * time.Second)
	elapse(time.Second) // without an answer for more than followTimeout
	requireHealthyFor(0)
	p.recordStoreAnswer() // the first answer after the outage
	requireHealthyFor(0)
	elapse(time.Second)
	requireHealthyFor(time.Second)
}

// Guards against a process that leads with a claim that another node has replaced already: it
// would take itself for the leader, and forget the newer one.
func TestReplacedClaimDoesNotLead(t *testing.T) {
	key := shardRef{"ledger", 0, 1}.key()
	for name, c := range map[string]struct {
		learned []election.Leader // before the claim is answered
		leads   bool
	}{
		"nothing is learned": {nil, true},
		"its own record":     {[]election.Leader{{Epoch: 1, Node: "entry-1"}}, true},
		"a newer claim":      {[]election.Leader{{Epoch: 2, Node: "entry-2"}}, false},
		"both":               {[]election.Leader{{Epoch: 1, Node: "entry-1"}, {Epoch: 2, Node: "entry-2"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, site, _ := newClaimant(t, false)
			address, err := site.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/log-append") && r.URL.Query().Get("topic") == leadershipPartition.Topic {
					p.mu.Lock()
					for _, leader := range c.learned {
						p.updateLeader(key, leader, "store")
					}
					p.mu.Unlock()
				}
				site.Store.ServeHTTP(w, r)
			}))
			require.NoError(t, err)
			p.store = platform.NewStore(netip.MustParseAddrPort(address))
			require.True(t, p.claim(t.Context(), shardRef{"ledger", 0, 1}, election.Leader{}, election.NeverLed, 0, 0))
			p.mu.Lock()
			leader, led := p.leaders[key], p.ledShards[key]
			p.mu.Unlock()
			require.Equal(t, c.leads, led != nil)
			want := election.Leader{Epoch: 1, Node: "entry-1", Boot: p.boot, Address: p.address, Predecessors: []election.Claim{{}}, LimitsLeases: true}
			if !c.leads {
				want = c.learned[len(c.learned)-1]
			}
			require.Equal(t, want, leader)
		})
	}
}
