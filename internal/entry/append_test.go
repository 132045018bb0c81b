package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against a leader that steps down without a successor because its own newer copy of a
// batch fenced an older one: it then claims again as its own previous boot (issue 36, TWICE).
func TestOnlyAnotherLeaderFencesABatch(t *testing.T) {
	for name, c := range map[string]struct {
		successor bool
		delay     time.Duration // of each answer
		lost      bool
	}{
		"the second copy arrives first":                         {false, 0, false},
		"another leader fences both":                            {true, 0, true},
		"another leader fences all, and refusals arrive late":   {true, 800 * time.Millisecond, true},
		"another leader fences all, and refusals take a second": {true, 1500 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := standin.New()
			defer site.Close()
			direct, err := site.Serve(site.Store)
			require.NoError(t, err)
			var copies atomic.Int64
			secondDone := make(chan struct{})
			address, err := site.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasSuffix(r.URL.Path, "/log-append") || r.URL.Query().Get("part") != "0" {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				number := copies.Add(1)
				if number == 1 {
					<-secondDone
				}
				answer := httptest.NewRecorder()
				site.Store.ServeHTTP(answer, r)
				if number == 2 {
					close(secondDone)
					time.Sleep(minSecondDelay) // the refusal of the first copy overtakes this answer
				}
				time.Sleep(c.delay)
				w.WriteHeader(answer.Code)
				_, _ = w.Write(answer.Body.Bytes())
			}))
			require.NoError(t, err)
			settings := platform.Settings{Store: platform.StoreSettings{Address: netip.MustParseAddrPort(address), Partitions: standin.Partitions}}
			p := New(settings, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
			l := newShardLeader(t.Context(), p, shardRef{"ledger", 0, 1}, 7, election.Leader{}, 0)
			l.shard.Load(time.Now(), nil)
			if c.successor {
				settings.Store.Address = netip.MustParseAddrPort(direct)
				successor := newShardLeader(t.Context(), New(settings, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-2"})), l.shardRef, l.epoch+1, election.Leader{}, 0)
				for p := range ledger.Partitions {
					require.NoError(t, successor.fence(t.Context(), p, successor.ledger.Epoch(p)))
				}
			}
			appended := make(chan struct{})
			go func() { l.appendRecords([]shard.Record{{Key: "a", Value: []byte{1}}}); close(appended) }()
			select {
			case <-appended:
			case <-time.After(5 * time.Second):
				l.cancel()
			}
			require.Equal(t, c.lost, l.lost.Load())
			require.GreaterOrEqual(t, copies.Load(), int64(2))
		})
	}
}
