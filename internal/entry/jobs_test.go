package entry

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// leaderWithoutStore returns a leader that has loaded an empty state and whose
// store can't be reached.
func leaderWithoutStore(ctx context.Context) *shardLeader {
	nowhere := netip.MustParseAddrPort("127.0.0.1:1")
	p := New(platform.Settings{Store: platform.StoreSettings{Address: nowhere, Partitions: standin.Partitions}}, event.New(ctx, event.Options{Out: io.Discard, Node: "entry-1", RateLimit: 1, Burst: 1}))
	l := newShardLeader(ctx, p, shardRef{"ledger", 0, 1}, 7, 0)
	l.shard.Load(time.Now(), nil)
	return l
}

// A leader has lost the store, and another node has claimed leadership and
// accepted a job. Guards against answering that the job is unknown because the
// last confirmation is recent (soak, seeds 20 and 28).
func TestUnknownJobNeedsNewConfirmation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leaderWithoutStore(ctx)
	l.confirm(time.Now())
	ended := make(chan struct{}, 2)
	go func() { l.controlLoop(); ended <- struct{}{} }()
	go func() { l.renewConfirmation(); ended <- struct{}{} }()
	calls := map[string]func(*shardLeader, context.Context, jobRequest) (stateAnswer, error){
		"state": (*shardLeader).jobState, "cancel": (*shardLeader).cancelJob,
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			caller, done := context.WithTimeout(ctx, 300*time.Millisecond)
			defer done()
			_, err := call(l, caller, jobRequest{ID: "0000000000000001"})
			require.ErrorIs(t, err, errOutcomeUnknown)
		})
	}
	cancel()
	<-ended
	<-ended
}

// The store stalls while a job's record is in flight, and the caller's node
// sends the job again. Guards against refusing the job, which runs once the
// store recovers (mcog-bakehouse-grown, trouble-2, seed 765021795764).
func TestStalledStoreDoesNotRefuseJobInFlight(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leaderWithoutStore(ctx)
	now := time.Now()
	l.shard.SetAuthority(true)
	const inFlight, other = "0000000000000001", "0000000000000002"
	require.Equal(t, shard.Pending, l.shard.Accept(now, inFlight, job.Terms{Queue: "q"}, job.Spec{}).Outcome)
	require.NotEmpty(t, l.shard.TakeBatch(now))
	l.appendStarted.Store(1)
	time.Sleep(storeStallTimeout)
	ended := make(chan struct{})
	go func() { l.controlLoop(); close(ended) }()
	submit := func(id string) (submitAnswer, error) {
		caller, done := context.WithTimeout(ctx, 2*storeStallTimeout)
		defer done()
		return l.submit(caller, submitRequest{ID: id, Terms: job.Terms{Queue: "q"}})
	}
	_, err := submit(inFlight)
	require.ErrorIs(t, err, errOutcomeUnknown)
	answer, err := submit(other)
	require.NoError(t, err)
	require.Equal(t, storeStalledAnswer(), answer)
	cancel()
	<-ended
}

// Guards against counting a confirmation from before the request as one from
// after it, when the goroutine was delayed between two readings of the clock.
func TestConfirmedSince(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leaderWithoutStore(ctx)
	for name, newer := range map[string]time.Duration{"older": -1, "as old": 0, "newer": 1} {
		t.Run(name, func(t *testing.T) {
			asked := time.Now()
			l.confirm(asked.Add(newer))
			caller, done := context.WithTimeout(ctx, 10*confirmPollInterval)
			defer done()
			require.Equal(t, newer >= 0, l.confirmedSince(caller, asked))
		})
	}
}
