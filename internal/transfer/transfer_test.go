package transfer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/transfer"
)

// Guards against a slow answer that is cut off while it arrives, and against a call that
// waits for good for an answer that has stopped.
func TestLimitIsOnTheSilence(t *testing.T) {
	const limit, pieces = 150 * time.Millisecond, 6
	cases := map[string]struct {
		first, between time.Duration // the limits
		pause          time.Duration // after each piece of the answer
		arrives        bool
	}{
		"slower than the limit as a whole":         {limit, limit, limit / 4, true},
		"pauses longer than to the first byte":     {limit, 4 * limit, limit + limit/2, true},
		"silent between two pieces":                {limit, limit, 4 * limit, false},
		"silent for longer than between two bytes": {limit, 2 * limit, 8 * limit, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for range pieces {
					_, _ = w.Write([]byte("x"))
					w.(http.Flusher).Flush()
					select {
					case <-time.After(c.pause):
					case <-r.Context().Done():
						return
					}
				}
			}))
			defer server.Close()
			began := time.Now()
			ctx, silence := transfer.Limit(t.Context(), c.first, c.between)
			defer silence.Stop()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(silence.Reader(response.Body))
			if c.arrives {
				require.NoError(t, err)
				require.Len(t, body, pieces)
				require.Greater(t, time.Since(began), limit)
				return
			}
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.Less(t, time.Since(began), c.pause)
		})
	}
}
