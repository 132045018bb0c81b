package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/control"
)

// Guards against events of the control thread that are dropped because the
// catalogue does not have their name, as twelve of them once were.
func TestEveryControlEventIsInTheCatalogue(t *testing.T) {
	require.NotEmpty(t, control.Events)
	for _, event := range control.Events {
		require.Contains(t, eventsByName, string(event))
	}
}
