package loopback

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against concurrent test programs that listen on the same address.
func TestAddressesDiffer(t *testing.T) {
	seen := map[netip.Addr]bool{netip.MustParseAddr("127.0.0.1"): true}
	for processID := 100; processID < 100+500; processID++ {
		for sequence := range uint32(octetValues) {
			address := addressFor(processID, sequence)
			require.True(t, address.IsLoopback())
			require.False(t, seen[address], "process %d, sequence number %d: %s", processID, sequence, address)
			seen[address] = true
		}
	}
	require.NotEqual(t, New(), New())
}
