package entry

import (
	"io"
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

// Guards against lease ends that are concluded from the answer of a process that can't
// know them: leases of the former leader, or of a leader before it, may last longer.
func TestOnlyTheFormerLeaderReportsLeaseEnds(t *testing.T) {
	ended := endedLeadership{epoch: 7, releasedEpoch: 9, leaseEnds: map[string]time.Time{"i-1": time.Now().Add(time.Minute), "i-2": time.Now().Add(-time.Minute)}}
	notLoaded := endedLeadership{epoch: 7}
	for name, c := range map[string]struct {
		ended   endedLeadership
		epoch   int64 // in the record that the new leader replaced
		boot    int64 // difference to the boot of the called process
		node    string
		port    uint16
		claimed int64 // epoch of the new leader
		known   bool
		over    bool // the former leader is reported as ended
	}{
		"its claim":                            {ended, 7, 0, "entry-1", 1, 12, true, true},
		"its release":                          {ended, 9, 0, "entry-1", 1, 12, true, true},
		"another process at its address":       {ended, 7, 1, "entry-1", 1, 12, false, true},
		"another process at another address":   {ended, 7, 1, "entry-1", 2, 12, false, false},
		"another node at its address":          {ended, 7, 0, "entry-2", 1, 12, false, false},
		"a process of another node":            {ended, 7, 1, "entry-2", 1, 12, false, false},
		"a later leadership":                   {ended, 11, 0, "entry-1", 1, 12, false, false},
		"it had not loaded the state":          {notLoaded, 7, 0, "entry-1", 1, 12, false, true},
		"it never led the shard":               {endedLeadership{}, 7, 0, "entry-1", 1, 12, false, false},
		"the caller's claim is older":          {ended, 7, 0, "entry-1", 1, 6, false, false},
		"another process, an older new leader": {ended, 7, 1, "entry-1", 1, 6, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(platform.Settings{Node: "entry-1"}, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
			address := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
			p.address = address(1)
			p.endedLeaderships["ledger/0"] = c.ended
			result, err := p.handleLeaseEnds(t.Context(), leaseEndsRequest{
				Former: newPeerLeader("ledger/0", election.Leader{Epoch: c.epoch, Node: c.node, Boot: p.boot + c.boot, Address: address(c.port)}),
				New:    newPeerLeader("ledger/0", election.Leader{Epoch: c.claimed, Node: "entry-3", Boot: 1}),
			})
			require.NoError(t, err)
			answer := result.(leaseEndsAnswer)
			require.Equal(t, c.known, answer.Known)
			require.Equal(t, c.over, answer.Ended)
			if !c.known {
				require.Empty(t, answer.Remaining)
				return
			}
			require.InDelta(t, time.Minute.Seconds(), answer.Remaining["i-1"].Seconds(), 1)
			require.Contains(t, answer.Remaining, "i-2")
			require.Zero(t, answer.Remaining["i-2"])
		})
	}
}

// Guards against a former leader that reports its lease ends while it still grants leases:
// it must have stepped down before it answers, also if it is loading the state.
func TestFormerLeaderStepsDownBeforeItReports(t *testing.T) {
	l := leaderWithoutStore(t.Context())
	p := l.process
	p.ledShards[l.key] = l
	go l.run()
	result, err := p.handleLeaseEnds(t.Context(), leaseEndsRequest{
		Former: newPeerLeader(l.key, election.Leader{Epoch: l.epoch, Node: p.settings.Node, Boot: p.boot}),
		New:    newPeerLeader(l.key, election.Leader{Epoch: l.epoch + 1, Node: "entry-3", Boot: 1}),
	})
	require.NoError(t, err)
	require.False(t, result.(leaseEndsAnswer).Known, "it had not loaded the state")
	require.True(t, l.lost.Load())
	require.Error(t, l.ctx.Err(), "it sends no more orders")
	_, err = p.ledShard(l.key)
	require.ErrorIs(t, err, errNotLeader)
}

// Guards against a leader that takes the leases of the leader before the last one for over
// because the last one is known to be over: it led for a short time only, or a released
// leadership was taken for its claim.
func TestClaimBoundsLeasesOfAllFormerLeaders(t *testing.T) {
	const lastEpoch = 7
	leaseSeconds := maxLease.Seconds() * shard.LeaseDriftFactor
	lease := time.Duration(leaseSeconds*float64(time.Second)) + leaseMargin
	maxEnd := election.MaxConfirmationAge + lease
	longestLeaseSeconds := time.Minute.Seconds() * shard.LeaseDriftFactor
	maxEndOfUnlimited := election.MaxConfirmationAge + time.Duration(longestLeaseSeconds*float64(time.Second)) + leaseMargin
	predecessors := []election.Claim{{}, {Epoch: lastEpoch - 2, Node: "entry-3", LimitsLeases: true}}
	claim := leaderRecord{Node: "entry-2", Boot: 1, Predecessors: predecessors, LimitsLeases: true}
	oldClaim := leaderRecord{Node: "entry-2", Boot: 1}
	release := leaderRecord{Node: "entry-2", Boot: 1, Predecessors: predecessors, LimitsLeases: true, Released: true, ReleasedClaim: lastEpoch}
	oldRelease := leaderRecord{Node: "entry-2", Boot: 1, Released: true}
	for name, c := range map[string]struct {
		record *leaderRecord // that the new leader replaced; nil if there is none
		offset int64
		ledFor time.Duration // by the last leader
		cause  election.Cause
		want   time.Duration
	}{
		"the last leader crashed after a long time":      {&claim, lastEpoch - 1, 20 * time.Second, election.OwnPreviousBoot, lease},
		"the last leader crashed soon":                   {&claim, lastEpoch - 1, time.Second, election.OwnPreviousBoot, maxEnd},
		"the last leader stepped down soon":              {&claim, lastEpoch - 1, time.Second, election.NotLeading, maxEnd},
		"another leader claimed after the last one":      {&claim, lastEpoch, 20 * time.Second, election.OwnPreviousBoot, maxEndOfUnlimited},
		"the last leader released its leadership":        {&release, lastEpoch + 2, 20 * time.Second, election.Released, lease},
		"the last leader released its leadership soon":   {&release, lastEpoch + 2, time.Second, election.Released, maxEnd},
		"a release that doesn't say which claim":         {&oldRelease, lastEpoch + 2, 20 * time.Second, election.Released, maxEndOfUnlimited},
		"a leader is recorded, but no leadership record": {nil, 0, 20 * time.Second, election.NeverLed, maxEndOfUnlimited},
		"nothing is recorded":                            {nil, 0, 0, election.NeverLed, 0},
		"the last leader is silent":                      {&claim, lastEpoch - 1, 20 * time.Second, election.Silent, maxEnd},
		"the last leader doesn't limit its leases":       {&oldClaim, lastEpoch - 1, 20 * time.Second, election.Silent, maxEndOfUnlimited},
	} {
		t.Run(name, func(t *testing.T) {
			settings := platform.Settings{Node: "entry-1", Bounds: platform.Bounds{MaxLease: time.Minute}}
			p := New(settings, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
			ref, now := shardRef{"ledger", 0, 1}, time.Now()
			worker, err := job.Encode(job.WorkerRecord{Incarnation: 1})
			require.NoError(t, err)
			records := []shard.Record{{Key: "wi-1", Value: worker}}
			silent := election.Leader{Epoch: lastEpoch - 2, Node: "entry-3", Predecessors: predecessors[:1], LimitsLeases: true}
			last := newShardLeader(t.Context(), p, ref, lastEpoch, silent, election.Silent.FormerLeaderActsFor())
			last.shard.Load(now, records)
			last.shard.Tick(now.Add(c.ledFor))
			records = append(records, last.shard.TakeBatch(now.Add(c.ledFor))...)
			if c.record != nil {
				value, err := cbor.Marshal(c.record)
				require.NoError(t, err)
				p.applyLeadershipRecord(platform.Record{Key: ref.key(), Value: value, Offset: c.offset})
			}
			fromStore := p.leaders[ref.key()]
			for from, former := range map[string]election.Leader{"store": fromStore, "node": newPeerLeader(ref.key(), fromStore).leader()} {
				next := newShardLeader(t.Context(), p, ref, lastEpoch+10, former, c.cause.FormerLeaderActsFor())
				next.shard.Load(now, records)
				require.Equal(t, c.want, next.shard.LeaseEnds()["i-1"].Sub(now), "the record comes from the %s", from)
				require.GreaterOrEqual(t, next.maxOrphanTimeout, c.want, "for which the former leader is asked")
			}
		})
	}
}

// Guards against a release that doesn't tell the next leader which claim it ends.
func TestReleaseNamesTheClaim(t *testing.T) {
	p, _, _ := newClaimant(t, false)
	l := newShardLeader(t.Context(), p, shardRef{"ledger", 0, 1}, 7, election.Leader{}, 0)
	p.release(t.Context(), l)
	records, _, err := p.store.Newest(t.Context(), leadershipPartition, time.Second)
	require.NoError(t, err)
	require.Len(t, records, 1)
	p.applyLeadershipRecord(records[0])
	require.True(t, p.leaders[l.key].Released)
	require.Equal(t, l.epoch, replacedEpoch(p.leaders[l.key]))
}
