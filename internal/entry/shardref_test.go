package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/platform"
)

// Guards against shards with far more workers or jobs than others.
func TestShardIndexIsEven(t *testing.T) {
	const ids, count = 3000, 3
	perShard := [count]int{}
	for i := range ids {
		perShard[shardIndex(fmt.Sprintf("%016x", i*7919), count)]++
	}
	for _, share := range perShard {
		require.InDelta(t, ids/count, share, ids/count/5)
	}
}

// Guards against assigning a job to shard 0 before the process has read the
// shard count. Jobs accepted 0.2 s after the restart of all processes were
// unknown at their own shard (site mcog-bakehouse-grown, run trouble-1).
func TestShardOfWaitsForShardCount(t *testing.T) {
	p := New(platform.Settings{}, nil)
	const id = "69a182190bc5620e"
	wanted := shardRef{"ledger", shardIndex(id, 3), 3}
	require.NotZero(t, wanted.index)
	startedAt := time.Now()
	go func() {
		time.Sleep(50 * time.Millisecond)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.shardCounts["ledger"] = 3
		close(p.leadersChanged)
		p.leadersChanged = make(chan struct{})
	}()
	got, err := p.shardOf(t.Context(), startedAt, "ledger", id)
	require.NoError(t, err)
	require.Equal(t, wanted, got)

	_, err = p.shardOf(t.Context(), time.Now().Add(-time.Hour), "unknown", id)
	require.ErrorIs(t, err, errNoLeader)
}

// Guards against a leader that accepts another shard's job.
func TestLeaderRefusesJobsOfOtherShards(t *testing.T) {
	p := New(platform.Settings{}, nil)
	const id = "69a182190bc5620e"
	l := newShardLeader(context.Background(), p, shardRef{"ledger", (shardIndex(id, 3) + 1) % 3, 3}, 1, election.Leader{}, 0)
	_, err := l.submit(context.Background(), submitRequest{ID: id})
	require.ErrorIs(t, err, errNotLeader)
}

// Hundreds of nodes send heartbeats to each leader. Guards against a heartbeat
// rate that grows with their number, and against a leader that removes live
// nodes between two of their heartbeats.
func TestHeartbeatRateIsBounded(t *testing.T) {
	cases := map[int]time.Duration{2: backgroundHeartbeatInterval, 64: backgroundHeartbeatInterval, 128: 2 * backgroundHeartbeatInterval, 320: 5 * backgroundHeartbeatInterval}
	for nodes, want := range cases {
		require.Equal(t, want, backgroundInterval(nodes), "%d nodes", nodes)
		require.Less(t, backgroundInterval(nodes), max(memberTimeout, missedHeartbeatsTime(backgroundInterval(nodes))))
		require.LessOrEqual(t, float64(nodes)/backgroundInterval(nodes).Seconds(), 80.0)
	}
}

// Guards against shards whose partitions don't exist, because the shards of a
// service need more partitions than one topic has: 17 and more shards of two
// partitions each, with 32 partitions in the topic (site rlts-voucher-grown,
// sweep at 300 VMs).
func TestShardPartitionsExist(t *testing.T) {
	for _, perTopic := range []int{1, 2, 31, 32} {
		seen := map[platform.Partition]bool{}
		for _, service := range []string{"ledger", "1-ledger"} {
			for index := range 80 {
				for ledgerPartition := range ledger.Partitions {
					partition := shardRef{service, index, 80}.partition(ledgerPartition, perTopic)
					require.Less(t, partition.Part, perTopic)
					require.False(t, seen[partition], "%v is another shard's", partition)
					seen[partition] = true
				}
			}
		}
	}
	require.Equal(t, platform.Partition{Topic: "keyed.jobs-ledger", Part: 31}, shardRef{"ledger", 15, 17}.partition(1, 32))
	require.Equal(t, platform.Partition{Topic: "keyed.jobs1-ledger", Part: 0}, shardRef{"ledger", 16, 17}.partition(0, 32))
}
