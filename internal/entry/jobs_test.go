package entry

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
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
	l := newShardLeader(ctx, p, shardRef{"ledger", 0, 1}, 7, election.Leader{}, 0)
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
	l.confirm(l.process.sinceBoot())
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
	time.Sleep(minStallTimeout)
	ended := make(chan struct{})
	go func() { l.controlLoop(); close(ended) }()
	submit := func(id string) (submitAnswer, error) {
		callerCtx, cancelCaller := context.WithTimeout(ctx, 2*minStallTimeout)
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
			asked := l.process.sinceBoot()
			l.confirm(asked + newer)
			callerCtx, cancelCaller := context.WithTimeout(ctx, 10*confirmPollInterval)
			defer cancelCaller()
			require.Equal(t, newer >= 0, l.confirmedSince(callerCtx, asked))
		})
	}
}

// An order may wait to be sent while the process is paused. Guards against sending it on
// a leadership that expired meanwhile.
func TestPausedLeaderSendsNoStart(t *testing.T) {
	for name, c := range map[string]struct {
		paused    time.Duration
		released  bool
		witnessed time.Duration // when its witnesses were polled, after the confirmation; 0 stands for no witnesses
		sent      bool
	}{
		"not paused":                               {0, false, 0, true},
		"paused for a short time":                  {election.MaxUnwitnessedAge - time.Millisecond, false, 0, true},
		"paused for longer, without witnesses":     {election.MaxUnwitnessedAge, false, 0, false},
		"not confirmed for longer, with witnesses": {election.MaxConfirmationAge / 2, false, election.MaxConfirmationAge/2 - election.MaxWitnessAge + time.Millisecond, true},
		"paused since the witnesses were polled":   {election.MaxConfirmationAge / 2, false, election.MaxConfirmationAge/2 - election.MaxWitnessAge, false},
		"not confirmed for too long":               {election.MaxConfirmationAge, false, election.MaxConfirmationAge, false},
		"paused after it released":                 {election.MaxConfirmationAgeReleased, true, 0, false},
		"released, but not paused":                 {0, true, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			site := standin.New()
			defer site.Close()
			calls := make(chan string, 2)
			address, err := site.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				content, _ := io.ReadAll(r.Body)
				calls <- r.URL.Path + string(content)
				_, _ = w.Write([]byte(`{"clock-ms":1,"born":1}`))
			}))
			require.NoError(t, err)
			l := leaderWithoutStore(ctx)
			paused := time.Duration(0)
			l.process.sinceBoot = func() time.Duration { return time.Hour + paused }
			l.confirm(l.process.sinceBoot())
			l.released.Store(c.released)
			if c.witnessed > 0 {
				l.witnessed.Store(int64(l.process.sinceBoot() + c.witnessed))
			}
			paused = c.paused
			target := shard.Target{ID: "i-1", Address: netip.MustParseAddrPort(address)}
			l.start(shard.Start{RunKey: shard.RunKey{Task: "0000000000000001.0.0.0", Run: 1}, Target: target, LeaseUntil: time.Minute})
			require.Equal(t, c.sent, len(calls) == 1)
			l.poll(shard.Poll{Target: target, LeaseUntil: time.Minute})
			var last string
			for len(calls) > 0 {
				last = <-calls
			}
			require.Equal(t, c.sent, strings.Contains(last, "until-ms"), "the poll renews leases: %s", last)
		})
	}
}

// A slow store still stores jobs. Guards against refusing jobs because an append takes as
// long as the ones before it (site bouffon-hq, run trouble-2: with appends of 1 s nearly
// every job was refused for 4 s).
func TestSlowStoreIsNotStalled(t *testing.T) {
	for name, c := range map[string]struct {
		recent, unanswered time.Duration
		stalled            bool
	}{
		"a fast store doesn't answer":       {5 * time.Millisecond, 700 * time.Millisecond, true},
		"a slow store is as slow as before": {900 * time.Millisecond, 1200 * time.Millisecond, false},
		"a slow store doesn't answer":       {900 * time.Millisecond, 1600 * time.Millisecond, true},
		"nothing is known of the store":     {0, 500 * time.Millisecond, false},
		"nothing is known, and no answer":   {0, 700 * time.Millisecond, true},
		"a very slow store doesn't answer":  {3 * time.Second, 1600 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l := leaderWithoutStore(ctx)
			l.process.startedAt = time.Now().Add(-time.Minute)
			l.observeAppendLatency(c.recent)
			l.appendStarted.Store(int64(time.Minute - c.unanswered))
			require.Equal(t, c.stalled, l.storeStalled())
		})
	}
}

// Guards against a cancellation that is acknowledged when only the acceptance of its job is
// stored: if the leader is killed then, the next one runs the job (review/7).
func TestCallersWaitForTheirOwnChange(t *testing.T) {
	const id = "0000000000000001"
	for name, c := range map[string]struct {
		acceptanceSent         bool // when the job is cancelled
		submitNeeds, endsNeeds int  // number of batches that must be stored before an answer
	}{
		"the acceptance is being stored": {true, 1, 2},
		"the acceptance wasn't sent":     {false, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			l := leaderWithoutStore(ctx)
			l.confirm(l.process.sinceBoot())
			l.lastAppend = time.Now().Add(time.Hour) // the test takes the batches
			ended := make(chan struct{})
			go func() { l.controlLoop(); close(ended) }()
			defer func() { cancel(); <-ended }()
			onLoop := func(call func(now time.Time)) {
				done := make(chan struct{})
				require.True(t, l.enqueue(func(now time.Time) { call(now); close(done) }))
				<-done
			}
			submitted, ends := make(chan error, 1), make(chan error, 2)
			go func() {
				_, err := l.submit(ctx, submitRequest{ID: id, Terms: job.Terms{Queue: "q"}})
				submitted <- err
			}()
			require.Eventually(t, func() bool {
				known := false
				onLoop(func(time.Time) { known = l.shard.Knows(id) })
				return known
			}, 5*time.Second, time.Millisecond)
			if c.acceptanceSent {
				onLoop(func(now time.Time) { require.NotEmpty(t, l.shard.TakeBatch(now)) })
			}
			for range 2 {
				go func() {
					_, err := l.cancelJob(ctx, jobRequest{ID: id})
					ends <- err
				}()
			}
			require.Eventually(t, func() bool {
				waiting := 0
				onLoop(func(time.Time) { waiting = len(l.endWaiters[id]) })
				return waiting == 2
			}, 5*time.Second, time.Millisecond)
			for stored := 1; stored <= c.endsNeeds; stored++ {
				require.Empty(t, ends, "after %d batches", stored-1)
				onLoop(func(now time.Time) {
					l.shard.TakeBatch(now) // none if one is in flight
					l.shard.BatchStored(now)
				})
				if stored == c.submitNeeds {
					require.NoError(t, <-submitted)
				}
				time.Sleep(2 * tickInterval)
			}
			require.NoError(t, <-ends)
			require.NoError(t, <-ends)
		})
	}
}
