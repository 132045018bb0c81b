package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// A claim that is sent to a silent store may be carried out when the store recovers, and
// then replaces a leader that works.
func TestClaimNeedsAnAnswerOfTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		silent      bool
		expectedEnd int64
		confirmed   bool // the leader answers that it was confirmed meanwhile
		claims      int64
	}{
		"the store answers":                  {false, 0, false, 1},
		"the store is silent":                {true, 0, false, 0},
		"another record was appended":        {false, 7, false, 0},
		"the leader was confirmed meanwhile": {false, 0, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			site := standin.New()
			defer site.Close()
			var appends atomic.Int64
			address, err := site.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/log-append") && r.URL.Query().Get("topic") == leadershipPartition.Topic {
					appends.Add(1)
				}
				if c.silent {
					<-r.Context().Done()
					return
				}
				site.Store.ServeHTTP(w, r)
			}))
			require.NoError(t, err)
			settings := platform.Settings{Node: "entry-1", Cores: 1, Store: platform.StoreSettings{Address: netip.MustParseAddrPort(address), Partitions: standin.Partitions}}
			p := New(settings, event.New(ctx, event.Options{Out: io.Discard, Node: "entry-1"}))
			p.startedAt = time.Now().Add(-time.Minute)
			p.recordStoreAnswer()
			now := time.Now().Add(election.StaleConfirmationAge)
			p.storeHealthySince.Add(-int64(election.StaleConfirmationAge))
			leader := election.Leader{Epoch: 3, Node: "entry-2", Address: netip.MustParseAddrPort("127.0.0.1:1")}
			if c.confirmed {
				peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					content, err := cbor.Marshal(heartbeatAnswer{Epoch: leader.Epoch, ConfirmationAge: election.StaleConfirmationAge / 2})
					require.NoError(t, err)
					_, _ = w.Write(content)
				}))
				defer peer.Close()
				leader.Address = netip.MustParseAddrPort(peer.Listener.Addr().String())
			}
			view := &leaderView{leader: leader, lastHeard: now.Add(-time.Minute), confirmationAge: 2 * election.StaleConfirmationAge, isMonitor: true}
			p.maybeClaim(ctx, shardRef{"ledger", 0, 1}, leader, view, now, c.expectedEnd)
			require.Equal(t, c.claims, appends.Load())
		})
	}
}

// A silent store fails no poll before the poll's time limit, so its last answer tells
// whether it serves this node.
func TestStoreHealth(t *testing.T) {
	p := New(platform.Settings{}, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
	elapse := func(length time.Duration) { p.startedAt = p.startedAt.Add(-length) }
	requireHealthyFor := func(want time.Duration) {
		t.Helper()
		require.InDelta(t, want.Seconds(), p.storeHealthyFor().Seconds(), 0.3)
	}
	elapse(time.Minute)
	requireHealthyFor(0)
	p.recordStoreAnswer()
	elapse(time.Second)
	p.recordStoreAnswer()
	elapse(time.Second)
	requireHealthyFor(2 * time.Second)
	elapse(time.Second) // without an answer for more than followTimeout
	requireHealthyFor(0)
	p.recordStoreAnswer() // the first answer after the outage
	requireHealthyFor(0)
	elapse(time.Second)
	requireHealthyFor(time.Second)
}
