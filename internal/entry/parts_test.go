package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/internal/right"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
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

// Guards against nodes that all read the whole list of workers at the first
// start (sweep of rlts-voucher-grown at 300 VMs: 0.7 MB for each of 300 nodes
// over the link between regions, which then carried no manifest for 12 s).
func TestOneNodeCountsTheWorkers(t *testing.T) {
	const nodes, workers = 40, 300
	site := standin.New()
	t.Cleanup(site.Close)
	var lists atomic.Int64
	address, err := site.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("topic") == platform.WorkerTopic && r.URL.Query().Get("after") == "" {
			lists.Add(1)
		}
		site.Store.ServeHTTP(w, r)
	}))
	require.NoError(t, err)
	for i := range workers {
		site.Store.Put(platform.WorkerTopic, fmt.Sprintf("worker-%03d", i), `{"service":"ledger","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":1000,"mem-mb":10}}`)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var loops sync.WaitGroup
	for i := range nodes {
		p := New(platform.Settings{
			Node: fmt.Sprintf("entry-%02d", i), Store: platform.StoreSettings{Address: netip.MustParseAddrPort(address), Partitions: standin.Partitions},
		}, event.New(ctx, event.Options{Out: io.Discard, PerSecond: 1, Burst: 1}))
		loops.Go(func() { p.followRights(ctx) })
		loops.Go(func() {
			for ctx.Err() == nil {
				p.mu.Lock()
				counted := p.counts["ledger"]
				p.mu.Unlock()
				if counted > 0 {
					if counted != 3 {
						t.Errorf("%s reads a count of %d shards", p.settings.Node, counted)
					}
					return
				}
				p.countShards(ctx, "ledger")
				pause(ctx, right.Step)
			}
			t.Errorf("%s never learned the count", p.settings.Node)
		})
	}
	for lists.Load() == 0 && ctx.Err() == nil {
		pause(ctx, right.Step)
	}
	pause(ctx, countPatience)
	cancel()
	loops.Wait()
	require.LessOrEqual(t, lists.Load(), int64(2), "one node reads the list, and a second one if the first is late")
}

// Guards against shards that are smaller than their holders can bear, in which
// a wide step finds too few workers that the adviser allows (hunt of
// mcog-bakehouse-grown, mix, seed 945390005485: 26 tasks on 26 workers, 24 of
// 124 allowed), and against shards that are too large for a small VM.
func TestShardsFitTheirHolders(t *testing.T) {
	for name, c := range map[string]struct {
		weight, cores float64
		want          int
	}{
		"a small site":                        {35, 0.4, 1},
		"a grown site, VMs of 0.8 cores":      {252, 0.8, 1},
		"a grown site, VMs of 0.4 cores":      {252, 0.4, 2},
		"a grown site, a small VM counts":     {252, 0.192, 2},
		"3,000 workers, VMs of 0.8 cores":     {3000, 0.8, 12},
		"no figure for the cores":             {252, 0, 2},
		"a VM of many cores":                  {1000, 16, 4},
		"less than one worker by its weights": {0.6, 0.8, 1},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, shardsFor(c.weight, c.cores)) })
	}
}
