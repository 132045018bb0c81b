package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// A job that is handed in at another node must reach its leader with its exact start time.
// Cut to whole seconds, it started up to 1 s early (review/5).
func TestPeerMessagesKeepTimesExactly(t *testing.T) {
	firstStart := time.UnixMilli(1_700_000_000_900)
	received := make(chan job.Spec, 1)
	mux := http.NewServeMux()
	registerCall(mux, pathSubmit, func(_ context.Context, r submitRequest) (any, error) {
		received <- r.Spec
		return r.Spec, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	request := submitRequest{ID: "0000000000000001", Spec: job.Spec{Repeat: 2, FirstStart: firstStart}}
	answer, err := callPeer[job.Spec](t.Context(), newPeerClient(), address, pathSubmit, request)
	require.NoError(t, err)
	sent := <-received
	require.True(t, firstStart.Equal(sent.FirstStart), "request: %s", sent.FirstStart)
	require.True(t, firstStart.Equal(answer.FirstStart), "answer: %s", answer.FirstStart)
}
