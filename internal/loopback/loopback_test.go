package loopback

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against test programs that run side by side and meet at one address.
func TestAddressesDiffer(t *testing.T) {
	seen := map[netip.Addr]bool{netip.MustParseAddr("127.0.0.1"): true}
	for process := 100; process < 100+500; process++ {
		for number := range uint32(octets) {
			at := of(process, number)
			require.True(t, at.IsLoopback())
			require.False(t, seen[at], "process %d, number %d: %s", process, number, at)
			seen[at] = true
		}
	}
	require.NotEqual(t, New(), New())
}
