package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/control"
)

// Guards against events of the control state that are dropped because their name is
// not in the catalogue, as twelve events once were.
func TestEveryControlEventIsInTheCatalogue(t *testing.T) {
	require.NotEmpty(t, control.Events)
	for _, event := range control.Events {
		require.Contains(t, eventsByName, string(event))
	}
}
