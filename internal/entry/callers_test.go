package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// A call whose answer was lost may still be carried out. Guards against telling
// the caller that the job is refused when the same leader refuses a later call.
func TestRefusalAfterLostAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		nextLeader bool // the second call goes to a new leader
		accepted   bool
		want       int
	}{
		"refused by the same leader":  {false, false, http.StatusGatewayTimeout},
		"accepted by the same leader": {false, true, http.StatusOK},
		"refused by the next leader":  {true, false, http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(platform.Settings{Node: "entry-0"}, event.New(t.Context(), event.Options{Out: &strings.Builder{}}))
			calls := 0
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				if calls == 1 {
					if c.nextLeader {
						p.mu.Lock()
						defer p.mu.Unlock()
						next := p.leaders["ledger/0"]
						next.Epoch++
						p.leaders["ledger/0"] = next
					}
					panic(http.ErrAbortHandler) // the answer is lost
				}
				content, err := cbor.Marshal(submitAnswer{Accepted: c.accepted, Reason: "the queue is full"})
				require.NoError(t, err)
				_, err = w.Write(content)
				require.NoError(t, err)
			}))
			defer peer.Close()
			p.leaders["ledger/0"] = election.Leader{Epoch: 7, Node: "entry-1", Address: netip.MustParseAddrPort(peer.Listener.Addr().String())}
			p.shardCounts["ledger"] = 1
			p.recordStoreAnswer()

			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			body := standin.Submission(job.Spec{Text: "1", Steps: []job.Step{{Count: 1}}})
			answer := httptest.NewRecorder()
			httpRequest := httptest.NewRequest(http.MethodPost, "/quick/0000000000000001", strings.NewReader(body))
			require.NoError(t, p.submitJob(&request{
				Context: echo.New().NewContext(httpRequest, answer), queue: manifest.Queue{Service: "ledger"}, jobID: "0000000000000001", ctx: ctx, startedAt: time.Now(),
			}))
			require.Equal(t, c.want, answer.Code, answer.Body.String())
			require.Equal(t, 2, calls)
		})
	}
}

// While the store is away, no node can claim a shard whose leader is gone. Guards against
// callers that wait for a leader which can't come, until their deadline or for 0.6 s, and
// can't use that time for another try.
func TestRequestsDoNotWaitForALeaderWhileTheStoreIsAway(t *testing.T) {
	for name, c := range map[string]struct {
		storeAnswers bool
		leaderDies   bool // it reads the request and leaves without an answer
		want         int
		wantWait     time.Duration
	}{
		"no leader, store away":          {false, false, http.StatusServiceUnavailable, 0},
		"no leader, store answers":       {true, false, http.StatusServiceUnavailable, leaderWait},
		"leader dies, store away":        {false, true, http.StatusGatewayTimeout, 0},
		"leader dies, the store answers": {true, true, http.StatusGatewayTimeout, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(platform.Settings{Node: "entry-0"}, event.New(t.Context(), event.Options{Out: &strings.Builder{}}))
			p.shardCounts["ledger"] = 1
			if c.storeAnswers {
				p.recordStoreAnswer()
			}
			if c.leaderDies {
				peer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					p.mu.Lock()
					defer p.mu.Unlock()
					p.leaders["ledger/0"] = election.Leader{}
					panic(http.ErrAbortHandler)
				}))
				defer peer.Close()
				p.leaders["ledger/0"] = election.Leader{Epoch: 7, Node: "entry-1", Address: netip.MustParseAddrPort(peer.Listener.Addr().String())}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			answer := httptest.NewRecorder()
			body := standin.Submission(job.Spec{Text: "1", Steps: []job.Step{{Count: 1}}})
			httpRequest := httptest.NewRequest(http.MethodPost, "/quick/0000000000000001", strings.NewReader(body))
			startedAt := time.Now()
			require.NoError(t, p.submitJob(&request{
				Context: echo.New().NewContext(httpRequest, answer), queue: manifest.Queue{Service: "ledger"}, jobID: "0000000000000001", ctx: ctx, startedAt: startedAt,
			}))
			require.Equal(t, c.want, answer.Code, answer.Body.String())
			require.InDelta(t, c.wantWait.Seconds(), time.Since(startedAt).Seconds(), 0.3)
		})
	}
}
