package demo

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/load"
)

// Guards against a demo that doesn't run, and against lost, doubled or wrong
// answers during a flood and after a node is killed. The cell is smaller than in
// the demo.
func TestShortDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	result, err := Run(ctx, Options{Deployments: []Deployment{{Name: "short", Mix: mustReadMix("short"), ConfigurationFolder: "ravi-levy"}}, Examples: "../../examples"})
	require.NoError(t, err)
	require.Empty(t, result.Faults, result.Deployments[0].Report.Checks.Examples)
	require.NotZero(t, result.Deployments[0].Report.Checks.TaskStarts)
	var text bytes.Buffer
	require.NoError(t, result.WriteText(&text))
	require.Contains(t, text.String(), "No answer was lost, doubled or wrong.")
}

// Guards against mixes of the demo that are invalid, that lack their overloads, or
// whose floods and windows are at different times. The CPU time per start is
// computed over all deployments and needs the same times.
func TestDeployments(t *testing.T) {
	deployments := Deployments()
	require.Len(t, deployments, 2)
	for _, deployment := range deployments {
		require.Len(t, deployment.Mix.Floods, 2)
		require.Len(t, load.CellOptions(deployment.Mix).Nodes, 6)
		require.Len(t, load.CellOptions(deployment.Mix).Workers, 48)
		for i, flood := range deployment.Mix.Floods {
			require.Equal(t, deployments[0].Mix.Floods[i].From, flood.From)
			require.Equal(t, deployments[0].Mix.Floods[i].Until, flood.Until)
		}
		require.Equal(t, deployments[0].Mix.Windows, deployment.Mix.Windows)
	}
}
