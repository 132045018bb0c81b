package journal

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/standin/logservice"
)

var seedFlag = flag.Uint64("journal.seed", 0, "seed of the random delays; 0 draws one from the clock")

const receiveTimeout = 20 * time.Second

// fixture is a client with a log service that counts the append requests.
type fixture struct {
	service *logservice.Service
	server  *httptest.Server
	client  *Client
	appends atomic.Int64
	// firstAppendStatus is the status with which the first append is refused; 0
	// passes it to the service.
	firstAppendStatus int
}

func newFixture(t *testing.T, options Options) *fixture {
	seed := cmp.Or(*seedFlag, uint64(time.Now().UnixNano()))
	t.Logf("repeat with -journal.seed=%d", seed)
	f := &fixture{service: logservice.New(logservice.Options{})}
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/append" {
			if f.appends.Add(1) == 1 && f.firstAppendStatus != 0 {
				w.WriteHeader(f.firstAppendStatus)
				return
			}
		}
		f.service.ServeHTTP(w, r)
	}))
	t.Cleanup(f.server.Close)
	options.Address = netip.MustParseAddrPort(f.server.Listener.Addr().String())
	options.Seed = seed
	f.client = New(options)
	return f
}

// start runs f until the test ends and requires that it then returns the
// context's error.
func start(t *testing.T, f func(ctx context.Context) <-chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := f(ctx)
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, receive(t, ended), context.Canceled)
	})
}

func follow(t *testing.T, client *Client, from int64) <-chan Delivery {
	var follower *Follower
	start(t, func(ctx context.Context) <-chan error {
		follower = client.Follow(ctx, from)
		return follower.Ended
	})
	return follower.Deliveries
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(receiveTimeout):
		require.FailNow(t, "nothing received before the timeout")
		panic("not reached")
	}
}

func (f *fixture) append(t *testing.T, count int) []<-chan Result {
	var results []<-chan Result
	for i := range count {
		record, err := NewRecord(KindJobAccepted, "node-1", time.Now(), i)
		require.NoError(t, err)
		result, err := f.client.Append(record)
		require.NoError(t, err)
		results = append(results, result)
	}
	return results
}

// requireSequence receives count entries and requires that body and offset of
// each equal its position: 0, 1, 2 and so on.
func requireSequence(t *testing.T, deliveries <-chan Delivery, count int) {
	t.Helper()
	for next := 0; next < count; {
		delivery := receive(t, deliveries)
		require.Nil(t, delivery.Lost)
		for _, entry := range delivery.Entries {
			var body int
			require.NoError(t, entry.DecodeErr)
			require.NoError(t, entry.Record.Decode(&body))
			require.Equal(t, next, body)
			require.Equal(t, int64(next), entry.Offset)
			next++
		}
	}
}

// Guards against records that are written twice when the response to their
// append is lost, and against results with wrong offsets.
func TestLostResponseIsNotAppendedTwice(t *testing.T) {
	f := newFixture(t, Options{})
	f.service.SetFault(logservice.Fault{DropResponses: 2})
	results := f.append(t, 20)
	start(t, f.client.Start)
	for i, result := range results {
		require.Equal(t, Result{Offset: int64(i)}, receive(t, result))
	}
	more := f.append(t, 1)
	require.Equal(t, Result{Offset: 20}, receive(t, more[0]), "the log holds a record twice")
	require.Equal(t, int64(4), f.appends.Load(), "each lost response costs one retry")
}

// Guards against records that are lost, reordered or repeated over an outage,
// followers that don't resume after it, and an outage that is not reported.
func TestOutageAndCatchUp(t *testing.T) {
	f := newFixture(t, Options{BackoffMax: 300 * time.Millisecond})
	start(t, f.client.Start)
	var followers []<-chan Delivery
	for range 4 {
		followers = append(followers, follow(t, f.client, 0))
	}
	for _, deliveries := range followers {
		require.True(t, receive(t, deliveries).CaughtUp)
	}
	f.service.SetFault(logservice.Fault{Outage: true})
	results := f.append(t, 1500)
	for receive(t, f.client.States()) != StateDown {
	}
	began := time.Now()
	f.service.SetFault(logservice.Fault{})
	for _, deliveries := range followers {
		requireSequence(t, deliveries, 1500)
	}
	t.Logf("4 followers caught up with 1500 records %v after the outage", time.Since(began))
	for _, result := range results {
		require.NoError(t, receive(t, result).Err)
	}
	for receive(t, f.client.States()) != StateUp {
	}
}

// Guards against dropping a record after a temporary refusal and against
// retrying one forever after a permanent refusal.
func TestRefusals(t *testing.T) {
	for name, test := range map[string]struct{ status, appends int }{
		"temporary":       {http.StatusTooManyRequests, 2},
		"outcome unknown": {http.StatusServiceUnavailable, 2},
		"permanent":       {http.StatusRequestEntityTooLarge, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Options{})
			f.firstAppendStatus = test.status
			start(t, f.client.Start)
			result := receive(t, f.append(t, 1)[0])
			require.Equal(t, test.appends == 1, result.Err != nil)
			require.Equal(t, int64(test.appends), f.appends.Load())
		})
	}
}

// Guards against reporting a slow log as up or down, and against sending the same
// batch endlessly to a log that is slower than the timeout.
func TestSlowLog(t *testing.T) {
	for name, test := range map[string]struct {
		timeoutMS, delayMS, maxAppends int64
		state                          State
	}{
		"within the timeout": {0, 1000, 1, StateSlow},
		// The timeout doubles twice, to 400 ms, so that the third attempt succeeds. Its
		// 250 ms are less than SlowAfter.
		"above the timeout": {100, 250, 3, StateUp},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Options{CallTimeout: time.Duration(test.timeoutMS) * time.Millisecond})
			start(t, f.client.Start)
			f.service.SetFault(logservice.Fault{AppendDelayMS: test.delayMS})
			require.NoError(t, receive(t, f.append(t, 1)[0]).Err)
			require.Equal(t, test.state, receive(t, f.client.States()))
			require.LessOrEqual(t, f.appends.Load(), test.maxAppends)
		})
	}
}

// Guards against a buffer that grows without bound while the log is down, and
// against writing a withdrawn record.
func TestBufferBound(t *testing.T) {
	for name, options := range map[string]Options{
		"by records": {BufferRecords: 3},
		"by bytes":   {BufferBytes: 3600},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, options)
			var results []<-chan Result
			var records []Record
			for i := range 4 {
				record, err := NewRecord(KindJobEnded, "node-1", time.Now(), bytes.Repeat([]byte{byte(i)}, 1000))
				require.NoError(t, err)
				result, err := f.client.Append(record)
				if i == 3 {
					require.ErrorIs(t, err, ErrBufferFull)
					break
				}
				require.NoError(t, err)
				results, records = append(results, result), append(records, record)
			}
			require.True(t, f.client.Withdraw(records[1].Identity))
			require.False(t, f.client.Withdraw(records[1].Identity))
			require.ErrorIs(t, receive(t, results[1]).Err, ErrWithdrawn)
			start(t, f.client.Start)
			require.Equal(t, Result{Offset: 0}, receive(t, results[0]))
			require.Equal(t, Result{Offset: 1}, receive(t, results[2]))
		})
	}
}

// Guards against not reporting records deleted by retention, and against an
// unreadable record that blocks those after it.
func TestRetentionGapAndUnreadableRecord(t *testing.T) {
	f := newFixture(t, Options{})
	f.append(t, 10)
	start(t, f.client.Start)
	requireSequence(t, follow(t, f.client, 0), 10)
	unreadable := httptest.NewRequest("POST", "/append", strings.NewReader(`{"identity":"x","records":["AA=="]}`))
	f.service.ServeHTTP(httptest.NewRecorder(), unreadable)
	require.NoError(t, receive(t, f.append(t, 1)[0]).Err)
	f.service.SetFault(logservice.Fault{TruncateBefore: 9})
	delivery := receive(t, follow(t, f.client, 4))
	require.Equal(t, &Gap{From: 4, To: 9}, delivery.Lost)
	require.Len(t, delivery.Entries, 3)
	require.NoError(t, delivery.Entries[0].DecodeErr)
	require.Error(t, delivery.Entries[1].DecodeErr)
	require.Equal(t, int64(11), delivery.Entries[2].Offset)
	require.NoError(t, delivery.Entries[2].DecodeErr)
	require.Equal(t, int64(12), delivery.Next)
}

// Guards against a node that exceeds its share of the appends per second that the
// log allows to all nodes together.
func TestAppendsAreGroupedAndLimited(t *testing.T) {
	f := newFixture(t, Options{})
	start(t, f.client.Start)
	began, records := time.Now(), 0
	var last <-chan Result
	for time.Since(began) < time.Second {
		last = f.append(t, 1)[0]
		records++
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, receive(t, last).Err)
	elapsed, appends := time.Since(began), f.appends.Load()
	t.Logf("%d records in %d appends over %v", records, appends, elapsed)
	require.LessOrEqual(t, float64(appends), 1+DefaultAppendsPerSecond*elapsed.Seconds())
}

// Guards against records without a result when the client stops, and against
// reporting a record as not written that may have been written.
func TestStop(t *testing.T) {
	f := newFixture(t, Options{AppendsPerSecond: 1})
	ctx, cancel := context.WithCancel(context.Background())
	f.service.SetFault(logservice.Fault{Outage: true})
	sent := f.append(t, 1)[0]
	ended := f.client.Start(ctx)
	require.Eventually(t, func() bool { return f.appends.Load() > 0 }, receiveTimeout, time.Millisecond)
	waiting := f.append(t, 1)[0]
	cancel()
	require.ErrorIs(t, receive(t, ended), context.Canceled)
	require.ErrorIs(t, receive(t, sent).Err, ErrOutcomeUnknown)
	require.ErrorIs(t, receive(t, waiting).Err, ErrStopped)
	_, err := f.client.Append(Record{})
	require.ErrorIs(t, err, ErrStopped)
}

// Guards against delays that make all nodes retry at once after an outage, and
// against delays above the bound.
func TestBackoffIsSpread(t *testing.T) {
	retry := newFixture(t, Options{}).client.newBackoff()
	retry.failures = 20
	lowest, highest := DefaultBackoffMax, time.Duration(0)
	for range 200 {
		delay := retry.nextDelay()
		lowest, highest = min(lowest, delay), max(highest, delay)
	}
	require.Less(t, lowest, DefaultBackoffMax/5)
	require.Greater(t, highest, DefaultBackoffMax*4/5)
	require.LessOrEqual(t, highest, DefaultBackoffMax)
}
