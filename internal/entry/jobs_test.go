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
	closedPort := netip.MustParseAddrPort("127.0.0.1:1")
	p := New(platform.Settings{Store: platform.StoreSettings{Address: closedPort, Partitions: standin.Partitions}}, event.New(ctx, event.Options{Out: io.Discard, Node: "entry-1", RateLimit: 1, Burst: 1}))
	l := newShardLeader(ctx, p, shardRef{"ledger", 0, 1}, 7, 0)
	l.shard.Load(time.Now(), nil)
	return l
}

// Guards against a leader that can't reach the store and answers that a job is
// unknown, relying on a recent confirmation. Since that confirmation another
// node may have claimed leadership and accepted the job (soak seeds 20 and 28).
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
			callerCtx, cancelCaller := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancelCaller()
			_, err := call(l, callerCtx, jobRequest{ID: "0000000000000001"})
			require.ErrorIs(t, err, errOutcomeUnknown)
		})
	}
	cancel()
	<-ended
	<-ended
}

// Guards against refusing a job that is sent again while the store stalls and
// the job's record is in flight: the job runs once the store recovers (site
// mcog-bakehouse-grown, run trouble-2, seed 765021795764).
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
		callerCtx, cancelCaller := context.WithTimeout(ctx, 2*storeStallTimeout)
		defer cancelCaller()
		return l.submit(callerCtx, submitRequest{ID: id, Terms: job.Terms{Queue: "q"}})
	}
	_, err := submit(inFlight)
	require.ErrorIs(t, err, errOutcomeUnknown)
	answer, err := submit(other)
	require.NoError(t, err)
	require.Equal(t, storeStalledAnswer(), answer)
	cancel()
	<-ended
}

// Guards against accepting a confirmation that is older than the request. That
// happened when the goroutine was delayed between two readings of the clock.
func TestConfirmedSince(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leaderWithoutStore(ctx)
	for name, newer := range map[string]time.Duration{"older": -1, "equal": 0, "newer": 1} {
		t.Run(name, func(t *testing.T) {
			asked := time.Now()
			l.confirm(asked.Add(newer))
			callerCtx, cancelCaller := context.WithTimeout(ctx, 10*confirmPollInterval)
			defer cancelCaller()
			require.Equal(t, newer >= 0, l.confirmedSince(callerCtx, asked))
		})
	}
}
