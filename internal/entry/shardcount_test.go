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

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against all nodes reading the whole list of workers at the first start.
// At 300 VMs each node read 0.7 MB over the link between regions, so that no
// manifest passed over the link for 12 s (site rlts-voucher-grown, sweep).
func TestOneNodeCountsWorkers(t *testing.T) {
	const nodes, workers = 40, 300
	site := standin.New()
	t.Cleanup(site.Close)
	var listReads atomic.Int64
	address, err := site.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("topic") == platform.WorkerTopic && r.URL.Query().Get("after") == "" {
			listReads.Add(1)
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
		}, event.New(ctx, event.Options{Out: io.Discard, RateLimit: 1, Burst: 1}))
		loops.Go(func() { p.followLeaders(ctx) })
		loops.Go(func() {
			for ctx.Err() == nil {
				p.mu.Lock()
				count := p.shardCounts["ledger"]
				p.mu.Unlock()
				if count > 0 {
					if count != 3 {
						t.Errorf("%s reads %d shards, want 3", p.settings.Node, count)
					}
					return
				}
				p.countShards(ctx, "ledger")
				pause(ctx, election.CheckInterval)
			}
			t.Errorf("%s doesn't learn the shard count", p.settings.Node)
		})
	}
	for listReads.Load() == 0 && ctx.Err() == nil {
		pause(ctx, election.CheckInterval)
	}
	pause(ctx, countTimeout)
	cancel()
	loops.Wait()
	require.LessOrEqual(t, listReads.Load(), int64(2), "one node reads the list, and another one if the first is slow")
}

// Guards against shards in which the adviser allows too few workers for a step:
// 24 of 124 workers for 26 tasks that need one worker each (site
// mcog-bakehouse-grown, mix, seed 945390005485). Guards also against shards too
// large for a small VM.
func TestShardCount(t *testing.T) {
	for name, c := range map[string]struct {
		weight, cores float64
		want          int
	}{
		"small site":                      {35, 0.4, 1},
		"grown site, VMs of 0.8 cores":    {252, 0.8, 1},
		"grown site, VMs of 0.4 cores":    {252, 0.4, 2},
		"grown site, VMs of 0.192 cores":  {252, 0.192, 2},
		"3,000 workers, VMs of 0.8 cores": {3000, 0.8, 12},
		"unknown cores":                   {252, 0, 2},
		"VM with many cores":              {1000, 16, 4},
		"total weight below 1":            {0.6, 0.8, 1},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, shardCountFor(c.weight, c.cores)) })
	}
}
