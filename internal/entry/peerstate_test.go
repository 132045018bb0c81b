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

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against a manifest that another node sends again and again, and that never arrives,
// because each answer is cut off by a time limit on a busy link (incident inc1).
func TestManifestFromPeerArrivesOverABusyLink(t *testing.T) {
	const pause = 600 * time.Millisecond
	cases := map[string]struct{ beforeFirstByte, afterFirstPiece time.Duration }{
		"an idle link":                        {0, 0},
		"the first byte is late":              {pause, 0},
		"a pause in an answer that has begun": {0, pause},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := standin.Manifest(2, nil, []string{"ledger", strings.Repeat("s", 300_000)}, 4096)
			answer, err := cbor.Marshal(peerStateAnswer{Manifest: []byte(text)})
			require.NoError(t, err)
			var sent atomic.Int64
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(c.beforeFirstByte)
				for piece := answer; len(piece) > 0; {
					size := min(len(piece), len(answer)/2+1)
					count, err := w.Write(piece[:size])
					if err != nil {
						return
					}
					sent.Add(int64(count))
					w.(http.Flusher).Flush()
					if piece = piece[size:]; len(piece) > 0 {
						time.Sleep(c.afterFirstPiece)
					}
				}
			}))
			t.Cleanup(peer.Close)
			p := New(platform.Settings{Node: "entry-1"}, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
			leader := election.Leader{Epoch: 1, Node: "entry-2", Address: netip.MustParseAddrPort(peer.Listener.Addr().String())}
			p.leaderViews["ledger/0"] = &leaderView{leader: leader}
			p.manifestLost.Store(true)
			go p.pollPeers(t.Context())
			require.Eventually(t, func() bool { return p.manifest.Load() != nil }, 5*time.Second, 20*time.Millisecond,
				"the manifest is in force")
			require.LessOrEqual(t, sent.Load(), 2*int64(len(answer)), "the manifest is sent once, and another answer may have begun")
		})
	}
}

// Guards against a second copy of a large manifest from another node while the store's
// copy arrives over the same busy link (incident inc1).
func TestManifestIsAskedForOnlyIfTheStoreFails(t *testing.T) {
	cases := map[string]struct {
		lost  bool
		asked int64 // a manifest newer than this
	}{
		"the store's copy arrives": {false, noManifest},
		"reads of the store fail":  {true, 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(platform.Settings{Node: "entry-1"}, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
			p.applyManifest([]byte(standin.Manifest(7, nil, []string{"ledger"}, 4096)), "store")
			p.manifestLost.Store(c.lost)
			request := p.newPeerStateRequest()
			require.Equal(t, c.asked, request.ManifestVersion)
			require.Empty(t, p.peerState(request).Manifest)
		})
	}
}
