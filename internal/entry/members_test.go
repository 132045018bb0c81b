package entry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/entry"
)

// Two nodes must not share short and long calls for advice: each short call would wait at
// the adviser for long ones (review/6: calls of 19 ms waited for 490 ms).
func TestShortAdviceCallsHaveTheirNodeFromTwoNodesOn(t *testing.T) {
	for name, c := range map[string]struct{ nodes, short, long int }{
		"one node shares": {1, 8, 1},
		"two nodes":       {2, 4, 1},
		"three nodes":     {3, 4, 2},
		"six nodes":       {6, 8, 4},
	} {
		t.Run(name, func(t *testing.T) {
			short, long := entry.AdviceSlotsOf(c.nodes)
			require.Equal(t, c.short, short, "short calls")
			require.Equal(t, c.long, long, "long calls")
		})
	}
}
