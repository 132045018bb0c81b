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

// holderWithoutStore returns a holder that has loaded an empty state and whose
// store can't be reached.
func holderWithoutStore(ctx context.Context) *holder {
	nowhere := netip.MustParseAddrPort("127.0.0.1:1")
	p := New(platform.Settings{Store: platform.StoreSettings{Address: nowhere, Partitions: standin.Partitions}}, event.New(ctx, event.Options{Out: io.Discard, Node: "entry-1", RateLimit: 1, Burst: 1}))
	h := newHolder(ctx, p, part{"ledger", 0, 1}, 7, 0)
	h.shard.Load(time.Now(), nil)
	return h
}

// Pattern: a holder has lost touch with the store a moment ago, and another one
// has claimed its right and accepted a job. The former one must not call that
// job unknown, however fresh its last proof is (soak, seeds 20 and 28).
func TestHolderWithoutANewProofCallsNoJobUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := holderWithoutStore(ctx)
	h.prove(time.Now())
	ended := make(chan struct{}, 2)
	go func() { h.decide(); ended <- struct{}{} }()
	go func() { h.keepProof(); ended <- struct{}{} }()
	calls := map[string]func(*holder, context.Context, jobRequest) (stateAnswer, error){
		"state": (*holder).state, "cancel": (*holder).stopJob,
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			caller, done := context.WithTimeout(ctx, 300*time.Millisecond)
			defer done()
			_, err := call(h, caller, jobRequest{ID: "0000000000000001"})
			require.ErrorIs(t, err, errUndecided)
		})
	}
	cancel()
	<-ended
	<-ended
}

// Pattern: the store falls silent while a job's record is on its way. The front
// loses the answer and sends the job again. The holder must not refuse it, as
// the job runs once the store is back (mcog-bakehouse-grown, trouble-2, seed
// 765021795764).
func TestStalledHolderDoesNotRefuseAJobOnItsWay(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := holderWithoutStore(ctx)
	now := time.Now()
	h.shard.SetAuthority(true)
	const onItsWay, other = "0000000000000001", "0000000000000002"
	require.Equal(t, shard.Pending, h.shard.Accept(now, onItsWay, job.Terms{Queue: "q"}, job.Spec{}).Outcome)
	require.NotEmpty(t, h.shard.TakeBatch(now))
	h.appending.Store(1)
	time.Sleep(storeStall)
	ended := make(chan struct{})
	go func() { h.decide(); close(ended) }()
	submit := func(id string) (submitAnswer, error) {
		caller, done := context.WithTimeout(ctx, 2*storeStall)
		defer done()
		return h.submit(caller, submitRequest{ID: id, Terms: job.Terms{Queue: "q"}})
	}
	_, err := submit(onItsWay)
	require.ErrorIs(t, err, errUndecided)
	answer, err := submit(other)
	require.NoError(t, err)
	require.Equal(t, refuseStalled(), answer)
	cancel()
	<-ended
}

// Pattern: a holder's thread is held up between two looks at the clock. A proof
// that is older than the question must not count as newer for it.
func TestProofBeforeTheQuestionIsNoProof(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := holderWithoutStore(ctx)
	for name, newer := range map[string]time.Duration{"older": -1, "as old": 0, "newer": 1} {
		t.Run(name, func(t *testing.T) {
			asked := time.Now()
			h.prove(asked.Add(newer))
			caller, done := context.WithTimeout(ctx, 10*provePoll)
			defer done()
			require.Equal(t, newer >= 0, h.provenSince(caller, asked))
		})
	}
}
