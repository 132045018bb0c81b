package entry

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
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
		claimed int64 // epoch of the new leader
		known   bool
	}{
		"its claim":                      {ended, 7, 0, "entry-1", 12, true},
		"its release":                    {ended, 9, 0, "entry-1", 12, true},
		"another process at its address": {ended, 7, 1, "entry-1", 12, false},
		"another node at its address":    {ended, 7, 0, "entry-2", 12, false},
		"a later leadership":             {ended, 11, 0, "entry-1", 12, false},
		"it had not loaded the state":    {notLoaded, 7, 0, "entry-1", 12, false},
		"it never led the shard":         {endedLeadership{}, 7, 0, "entry-1", 12, false},
		"the caller's claim is older":    {ended, 7, 0, "entry-1", 6, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(platform.Settings{Node: "entry-1"}, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
			p.endedLeaderships["ledger/0"] = c.ended
			result, err := p.handleLeaseEnds(t.Context(), leaseEndsRequest{
				Former: newPeerLeader("ledger/0", election.Leader{Epoch: c.epoch, Node: c.node, Boot: p.boot + c.boot}),
				New:    newPeerLeader("ledger/0", election.Leader{Epoch: c.claimed, Node: "entry-3", Boot: 1}),
			})
			require.NoError(t, err)
			answer := result.(leaseEndsAnswer)
			require.Equal(t, c.known, answer.Known)
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
