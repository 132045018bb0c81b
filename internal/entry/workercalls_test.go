package entry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/platform"
)

// Guards against calls that overlap, and so open connections, while a worker resets new ones, and
// against more orders at a time than maxOrdersInFlight.
func TestWorkerCallsInFlight(t *testing.T) {
	worker := netip.MustParseAddrPort("10.0.0.1:80")
	for name, c := range map[string]struct {
		err  error // of a call before the others
		most int64
	}{
		"new connections work":      {nil, maxOrdersInFlight + 1},
		"a call timed out":          {context.DeadlineExceeded, maxOrdersInFlight + 1},
		"a new connection is reset": {fmt.Errorf("%w: read", platform.ErrNewConnectionReset), 1},
	} {
		t.Run(name, func(t *testing.T) {
			shared := 0
			calls := newWorkerCalls(func(netip.AddrPort, error) { shared++ })
			for range 2 {
				slot, err := calls.beginOrder(t.Context(), worker)
				require.NoError(t, err)
				slot.end(c.err)
			}
			require.Equal(t, c.most == 1, shared == 1, "sharing begins once")
			var inFlight, most atomic.Int64
			var group sync.WaitGroup
			call := func(begin func(context.Context, netip.AddrPort) (*callSlot, error)) {
				group.Go(func() {
					slot, err := begin(t.Context(), worker)
					if err != nil {
						return
					}
					if now := inFlight.Add(1); now > most.Load() {
						most.Store(now)
					}
					time.Sleep(5 * time.Millisecond)
					inFlight.Add(-1)
					slot.end(nil)
				})
			}
			call(calls.beginPoll)
			for range 20 {
				call(calls.beginOrder)
			}
			group.Wait()
			require.LessOrEqual(t, most.Load(), c.most)
			require.Equal(t, c.most > 1, most.Load() > 1)
		})
	}
}

// Guards against a call that waits for a slot after the leadership has ended, and against slots
// that are kept for workers without calls.
func TestWorkerCallsEndWithTheirContext(t *testing.T) {
	worker := netip.MustParseAddrPort("10.0.0.1:80")
	calls := newWorkerCalls(func(netip.AddrPort, error) {})
	var slots []*callSlot
	for range maxOrdersInFlight {
		slot, err := calls.beginOrder(t.Context(), worker)
		require.NoError(t, err)
		slots = append(slots, slot)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := calls.beginOrder(ended, worker)
	require.ErrorIs(t, err, context.Canceled)
	for _, slot := range slots {
		slot.end(nil)
	}
	require.Empty(t, calls.workers)
}
