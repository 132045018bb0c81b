package entry

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/platform"
)

// Guards against a shard that counts as vacant, so that no lease of its leader is waited for,
// because its leader refused a heartbeat before it learned that its claim is stored.
func TestLeaderThatDoesNotKnowOfItsClaimYet(t *testing.T) {
	learnedAt := time.Now().Add(-time.Minute)
	leader := election.Leader{Epoch: 3, Node: "entry-2"}
	for name, c := range map[string]struct {
		sent   time.Duration // after this node learned of the claim
		vacant bool
	}{
		"a heartbeat that the answer to the claim may follow":       {claimTimeout - 100*time.Millisecond, false},
		"a heartbeat sent when the claim can be answered no more":   {vacantAfter, true},
		"a clock that is a little faster than that of the claimant": {claimTimeout * 101 / 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, _, _ := newClaimant(t, false)
			view := &leaderView{leader: leader, learnedAt: learnedAt}
			p.leaderViews["ledger/0"] = view
			p.applyHeartbeat("ledger/0", leader, heartbeatResult{err: errNotLeader, sent: learnedAt.Add(c.sent)})
			require.Equal(t, c.vacant, !view.vacantSince.IsZero())
		})
	}
}

// Guards against a process that leads with a claim that took so long that others may take the
// shard for vacant: it was frozen before it read the answer.
func TestLateAnswerToClaimDoesNotLead(t *testing.T) {
	for name, c := range map[string]struct {
		took  time.Duration
		leads bool
	}{
		"in time": {claimTimeout - time.Millisecond, true},
		"late":    {claimTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, _, _ := newClaimant(t, false)
			ref := shardRef{"ledger", 0, 1}
			readings := atomic.Int64{}
			p.sinceBoot = func() time.Duration {
				if readings.Add(1) == 1 {
					return time.Minute
				}
				return time.Minute + c.took
			}
			require.True(t, p.claim(t.Context(), ref, election.Leader{}, election.NeverLed, 0, 0))
			p.mu.Lock()
			defer p.mu.Unlock()
			require.Equal(t, c.leads, p.ledShards[ref.key()] != nil)
			require.Equal(t, election.Leader{Epoch: 1, Node: "entry-1", Boot: p.boot, Address: p.address, Predecessors: []election.Claim{{}}, LimitsLeases: true}, p.leaders[ref.key()], "the process claims again")
		})
	}
}

// Guards against a shard that counts as vacant because another node has the address of its
// leader, which may still act.
func TestOnlyTheNodeOfTheLeaderSaysThatItDoesNotLead(t *testing.T) {
	for name, c := range map[string]struct {
		node   string // that answers
		vacant bool
	}{
		"the leader's node":        {"entry-2", true},
		"another node":             {"entry-3", false},
		"an answer without a node": {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			other, _, _ := newClaimant(t, false)
			other.settings.Node = c.node
			peer := httptest.NewServer(other.peerHandler())
			defer peer.Close()
			p, _, _ := newClaimant(t, false)
			leader := election.Leader{Epoch: 3, Node: "entry-2", Address: netip.MustParseAddrPort(peer.Listener.Addr().String())}
			view := &leaderView{leader: leader, learnedAt: time.Now().Add(-2 * vacantAfter), lastHeard: time.Now()}
			p.leaderViews["ledger/0"] = view
			p.applyHeartbeat("ledger/0", leader, p.sendHeartbeat(t.Context(), "ledger/0", leader))
			require.Equal(t, c.vacant, !view.vacantSince.IsZero())
			require.Zero(t, view.refusedSince)
		})
	}
}

// Guards against a node that claims as if there were no leader, or the one of an older
// record, because it can't read the newest leadership record.
func TestUnreadableLeadershipRecordNamesALeader(t *testing.T) {
	known, err := cbor.Marshal(leaderRecord{Node: "entry-1", Boot: 1})
	require.NoError(t, err)
	for name, records := range map[string][]platform.Record{
		"the only record":      {{Key: "ledger/0", Value: []byte("?"), Offset: 6}},
		"after one of its own": {{Key: "ledger/0", Value: known, Offset: 2}, {Key: "ledger/0", Value: []byte("?"), Offset: 6}},
		"an empty record":      {{Key: "ledger/0", Offset: 6}},
	} {
		t.Run(name, func(t *testing.T) {
			p, _, _ := newClaimant(t, false)
			for _, record := range records {
				p.applyLeadershipRecord(record)
			}
			leader := p.leaders["ledger/0"]
			require.Equal(t, election.Leader{Epoch: 7}, leader)
			view := p.viewOfLeader("ledger/0", leader)
			result := p.sendHeartbeat(t.Context(), "ledger/0", leader)
			require.Error(t, result.err)
			p.applyHeartbeat("ledger/0", leader, result)
			later := view.learnedAt.Add(time.Hour)
			claim, cause := election.Decide(election.View{Now: later, Leader: leader, VacantSince: view.vacantSince, LastHeard: view.lastHeard, RefusedSince: view.refusedSince})
			require.True(t, claim)
			require.Equal(t, election.MaxConfirmationAge, cause.FormerLeaderActsFor(), cause)
			p.address = netip.MustParseAddrPort("127.0.0.1:1")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, _, err := forward(ctx, p, time.Time{}, shardRef{"ledger", 0, 1}, pathState, jobRequest{}, (*shardLeader).jobState)
			require.ErrorIs(t, err, errNoLeader, "nothing was sent")
		})
	}
}
