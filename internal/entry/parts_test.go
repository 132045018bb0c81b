package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/platform"
)

// Guards against shards that get far more workers or jobs than others.
func TestDealIsEven(t *testing.T) {
	const ids, count = 3000, 3
	dealt := [count]int{}
	for i := range ids {
		dealt[deal(fmt.Sprintf("%016x", i*7919), count)]++
	}
	for _, share := range dealt {
		require.InDelta(t, ids/count, share, ids/count/5)
	}
}

// Guards against a job that a process gives to shard 0 because it has not read
// how many shards there are (grown mcog-bakehouse, trouble-1: jobs accepted
// 0.2 s after the restart of all processes were unknown at their own shard).
func TestPartOfWaitsForTheCount(t *testing.T) {
	p := New(platform.Settings{}, nil)
	const id = "69a182190bc5620e"
	wanted := part{"ledger", deal(id, 3), 3}
	require.NotZero(t, wanted.index)
	request := &request{queue: manifest.Queue{Service: "ledger"}, ctx: context.Background(), began: time.Now()}
	go func() {
		time.Sleep(50 * time.Millisecond)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.counts["ledger"] = 3
		close(p.changed)
		p.changed = make(chan struct{})
	}()
	got, err := p.partOf(request, "ledger", id)
	require.NoError(t, err)
	require.Equal(t, wanted, got)

	request.began = time.Now().Add(-time.Hour)
	_, err = p.partOf(request, "unknown", id)
	require.ErrorIs(t, err, errNoHolder)
}

// Guards against a holder that takes in a job of another shard.
func TestHolderRefusesJobsOfOtherShards(t *testing.T) {
	p := New(platform.Settings{}, nil)
	const id = "69a182190bc5620e"
	h := newHolder(context.Background(), p, part{"ledger", (deal(id, 3) + 1) % 3, 3}, 1, 0)
	_, err := h.submit(context.Background(), submitRequest{ID: id})
	require.ErrorIs(t, err, errNotHolder)
}

// Pattern: hundreds of nodes greet each of many holders. The greetings that a
// holder gets don't grow with them, and nobody is forgotten between two of his.
func TestGreetingsOfLargeFleetsAreBounded(t *testing.T) {
	cases := map[int]time.Duration{2: idleHelloEvery, 64: idleHelloEvery, 128: 2 * idleHelloEvery, 320: 5 * idleHelloEvery}
	for nodes, want := range cases {
		require.Equal(t, want, idlePause(nodes), "%d nodes", nodes)
		require.Less(t, idlePause(nodes), max(peerKept, missed(idlePause(nodes))))
		require.LessOrEqual(t, float64(nodes)/idlePause(nodes).Seconds(), 80.0)
	}
}

// Guards against a service with more shards than the topic has partitions, the
// rest of which no node can hold (sweep of rlts-voucher-grown at 300 VMs: 17
// and more shards of two partitions each, 32 partitions).
func TestEachShardHasPartitionsThatExist(t *testing.T) {
	for _, perTopic := range []int{1, 2, 31, 32} {
		seen := map[platform.Partition]bool{}
		for _, service := range []string{"ledger", "1-ledger"} {
			for index := range 80 {
				for number := range ledger.Partitions {
					at := part{service, index, 80}.partition(number, perTopic)
					require.Less(t, at.Part, perTopic)
					require.False(t, seen[at], "%v is another shard's", at)
					seen[at] = true
				}
			}
		}
	}
	require.Equal(t, platform.Partition{Topic: "keyed.jobs-ledger", Part: 31}, part{"ledger", 15, 17}.partition(1, 32))
	require.Equal(t, platform.Partition{Topic: "keyed.jobs1-ledger", Part: 0}, part{"ledger", 16, 17}.partition(0, 32))
}
