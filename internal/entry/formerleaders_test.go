package entry

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

// Guards against a new leader that doesn't know the leaders before it, and waits for 15 s, because
// they were lost one after the other.
func TestLeadershipRecordNamesLeadersThatWereLostInARow(t *testing.T) {
	const lost = 7
	leader := election.Leader{}
	for epoch := range int64(lost + 1) {
		leader = election.Leader{Epoch: epoch + 1, LimitsLeases: true, Predecessors: formerClaims(leader)}
	}
	claims := formerClaims(leader)
	for i := range lost {
		require.Contains(t, claims, election.Claim{Epoch: int64(i + 2), LimitsLeases: true})
	}
}

// Guards against tasks that last and wait for 16 s because their worker and their leader
// crashed (review/8): the process of the leader is up again, so it grants no more leases.
// Also guards against a wait for leases that ended while the processes waited for the store (issue
// 47).
func TestRestartedProcessesBoundTheLeasesOfFormerLeaders(t *testing.T) {
	newProcess := func(node string, address netip.AddrPort) *Process {
		settings := platform.Settings{Node: node, Bounds: platform.Bounds{MaxLease: maxLease}}
		p := New(settings, event.New(t.Context(), event.Options{Out: io.Discard, Node: node}))
		p.address = address
		return p
	}
	restartedBefore := func(node string, upFor time.Duration) netip.AddrPort {
		server := httptest.NewUnstartedServer(nil)
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		p := newProcess(node, address)
		p.startedAt = p.startedAt.Add(-upFor)
		server.Config.Handler = p.peerHandler()
		server.Start()
		t.Cleanup(server.Close)
		return address
	}
	restarted := func(node string) netip.AddrPort { return restartedBefore(node, 0) }
	gone := netip.MustParseAddrPort("127.0.0.1:1")
	leaseSeconds := maxLease.Seconds() * shard.LeaseDriftFactor
	lease := time.Duration(leaseSeconds*float64(time.Second)) + leaseMargin
	maxEnd := election.MaxConfirmationAge + lease
	for name, c := range map[string]struct {
		overBefore   int64 // in the record that leaders before this epoch don't act
		predecessors []election.Claim
		last         netip.AddrPort // the address of the leader that is replaced, with epoch 7
		bounded      bool
		upFor        time.Duration // by the processes that were started again
	}{
		"the last leader was started again":                {7, nil, restarted("entry-2"), true, 0},
		"the last leader is gone":                          {7, nil, gone, false, 0},
		"another node has the last leader's address":       {7, nil, restarted("entry-4"), false, 0},
		"the last two leaders were started again":          {5, []election.Claim{{Epoch: 5, Node: "entry-3", Address: restarted("entry-3")}}, restarted("entry-2"), true, 0},
		"only the last one was started again":              {5, []election.Claim{{Epoch: 5, Node: "entry-3", Address: gone}}, restarted("entry-2"), false, 0},
		"only the one before it was started again":         {5, []election.Claim{{Epoch: 5, Node: "entry-3", Address: restarted("entry-3")}}, gone, false, 0},
		"no leader before the last one is known":           {5, nil, restarted("entry-2"), false, 0},
		"a leader between them isn't known":                {4, []election.Claim{{Epoch: 5, Node: "entry-3", Address: restarted("entry-3")}}, restarted("entry-2"), false, 0},
		"the one before the last is this node's own":       {5, []election.Claim{{Epoch: 5, Node: "entry-1", Address: gone}}, restarted("entry-2"), true, 0},
		"an earlier leader isn't relevant any more":        {7, []election.Claim{{Epoch: 5, Node: "entry-3", Address: gone}}, restarted("entry-2"), true, 0},
		"all leaders since the first were started again":   {0, []election.Claim{{}, {Epoch: 5, Node: "entry-3", Address: restarted("entry-3")}}, restarted("entry-2"), true, 0},
		"the last leader was started again long ago":       {7, nil, restartedBefore("entry-2", 10*time.Second), true, 10 * time.Second},
		"the last two leaders were started again long ago": {5, []election.Claim{{Epoch: 5, Node: "entry-3", Address: restartedBefore("entry-3", 6*time.Second)}}, restartedBefore("entry-2", 3*time.Second), true, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.predecessors {
				c.predecessors[i].LimitsLeases = true
			}
			p, ref := newProcess("entry-1", gone), shardRef{"ledger", 0, 1}
			worker, err := job.Encode(job.WorkerRecord{Incarnation: 1})
			require.NoError(t, err)
			over, err := job.Encode(job.FormerLeadersRecord{OverBefore: c.overBefore})
			require.NoError(t, err)
			records := []shard.Record{{Key: "wi-1", Value: worker}}
			if c.overBefore > 0 {
				records = append(records, shard.Record{Key: "f", Value: over})
			}
			value, err := cbor.Marshal(leaderRecord{Node: "entry-2", Boot: 1, Address: c.last, Predecessors: c.predecessors, LimitsLeases: true})
			require.NoError(t, err)
			p.applyLeadershipRecord(platform.Record{Key: ref.key(), Value: value, Offset: 6})
			ctx, cancel := context.WithTimeout(t.Context(), leaseEndsInterval)
			defer cancel()
			next := newShardLeader(ctx, p, ref, 9, p.leaders[ref.key()], election.ConnectionRefused.FormerLeaderActsFor())
			loaded := time.Now()
			next.shard.Load(loaded, records)
			require.Equal(t, maxEnd, next.shard.LeaseEnds()["i-1"].Sub(loaded))
			next.askFormerLeaders()
			for len(next.inputs) > 0 {
				(<-next.inputs)(time.Now())
			}
			if c.bounded {
				require.Less(t, next.shard.LeaseEnds()["i-1"].Sub(loaded), max(0, lease-time.Duration(float64(c.upFor)/shard.LeaseDriftFactor))+leaseEndsInterval)
				return
			}
			require.Equal(t, maxEnd, next.shard.LeaseEnds()["i-1"].Sub(loaded))
		})
	}
}
