package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/command"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/internal/standin/logservice"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Guards against config apply --wait that returns before every node has the version
// in force, and against a config history that can't find a change by its identity.
func TestApplyWaitsForAllNodes(t *testing.T) {
	c, ctx := startCell(t, 3)
	folder := t.TempDir()
	address := c.Nodes[1].Settings.Addresses.Operators.String()
	for version := range 20 {
		text := fmt.Sprintf("[kind balance]\nweight = %d\n", version+2)
		require.NoError(t, os.WriteFile(filepath.Join(folder, "a.ini"), []byte(text), 0o600))
		var out, errorOutput bytes.Buffer
		status := command.Main(ctx, []string{"config", "apply", folder, "--base", fmt.Sprint(version), "--reason", "test", "--wait", "--operator", address},
			command.Options{Out: &out, Err: &errorOutput})
		require.Zero(t, status, errorOutput.String())
		for i, inForce := range versionsOf(ctx, t, c) {
			require.EqualValues(t, version+1, inForce, "node %d", i)
		}
	}
	history, err := call[operator.History](ctx, c, 0, http.MethodGet, "/config/history", nil)
	require.NoError(t, err)
	require.Len(t, history.Changes, 20)
	var out bytes.Buffer
	require.Zero(t, command.Main(ctx, []string{"config", "history", "--identity", history.Changes[3].Identity, "--operator", address}, command.Options{Out: &out}))
	// The history is newest first, so that Changes[3] has version 17.
	require.Contains(t, out.String(), "17")
}

// Guards against metrics that are shared by several nodes in one operating-system
// process, and against metric names that differ from those on the operations page.
func TestMetricsAreSeparateForEachNode(t *testing.T) {
	c, ctx := startCell(t, 2)
	client, err := c.Client(0)
	require.NoError(t, err)
	defer client.Close()
	_, err = client.Submit(ctx, workload.Request{
		Key: workload.NewKey(), Team: "ledger", Kind: "balance", Resources: workload.Resources{MilliCPU: 100}, Payload: []byte(`{"run-ms":1}`),
	})
	require.NoError(t, err)
	_, err = apply(ctx, c, 0, newApplyRequest(0, "[kind balance]\n[team ledger]\n"))
	require.NoError(t, err)
	awaitVersion(ctx, t, c, 1)
	var pages [2]string
	for i := range pages {
		response, err := http.Get("http://" + c.Nodes[i].Settings.Addresses.Operators.String() + "/metrics")
		require.NoError(t, err)
		content, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		pages[i] = string(content)
		require.Contains(t, pages[i], "yuccalanding_policy_version 1\n")
	}
	const requests = `yuccalanding_requests_total{route="/v1/requests",status="200",code=""} 1`
	require.Contains(t, pages[0], requests)
	require.NotContains(t, pages[1], requests)
	require.Contains(t, pages[0], `yuccalanding_wait_seconds_count{kind="balance"} 1`)
	documentation, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	metricName := regexp.MustCompile(`yuccalanding_[a-z_]+`)
	exportedNames := map[string]bool{}
	for _, page := range pages {
		for _, name := range metricName.FindAllString(page, -1) {
			exportedNames[regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(name, "")] = true
		}
	}
	documentedNames := map[string]bool{}
	for _, name := range metricName.FindAllString(string(documentation), -1) {
		documentedNames[name] = true
	}
	require.Equal(t, exportedNames, documentedNames)
}

// Guards against lists of nodes and workers that lack their states, and against a
// drain command without effect.
func TestOperatorsSeeNodesAndWorkers(t *testing.T) {
	c, ctx := startCell(t, 2)
	require.Eventually(t, func() bool {
		nodes, err := call[operator.Nodes](ctx, c, 1, http.MethodGet, "/nodes", nil)
		return err == nil && len(nodes.Nodes) == 2 && nodes.Nodes[0].State == "live" && nodes.Nodes[1].State == "live" &&
			nodes.Nodes[0].Sessions+nodes.Nodes[1].Sessions == 1
	}, 10*time.Second, 20*time.Millisecond)
	owned := 0
	for i := range 2 {
		workers, err := call[operator.Workers](ctx, c, i, http.MethodGet, "/workers", nil)
		require.NoError(t, err)
		require.Len(t, workers.Workers, 1)
		require.Equal(t, "live", workers.Workers[0].State)
		require.Equal(t, c.Fleet.Addresses[0], workers.Workers[0].Address)
		if workers.Workers[0].Capacity.MilliCPU == 16_000 {
			owned++
		}
	}
	require.Equal(t, 1, owned, "only the owner reports the capacity")
	state, err := call[operator.DrainState](ctx, c, 0, http.MethodPost, "/drain", nil)
	require.NoError(t, err)
	require.Equal(t, "draining", state.State)
	require.NoError(t, c.DrainNode(0))
}

// Guards against alarm conditions that hold in a healthy cell, that are not detected
// during an outage of the log, or that still hold after it.
func TestAlarmConditionsMatchCellState(t *testing.T) {
	c, ctx := startCell(t, 3)
	client, err := c.Client()
	require.NoError(t, err)
	defer client.Close()
	submit := func(mode workload.Mode) {
		_, err := client.Submit(ctx, workload.Request{
			Key: workload.NewKey(), Team: "ledger", Kind: "balance", Mode: mode, Resources: workload.Resources{MilliCPU: 100}, Payload: []byte(`{"run-ms":1}`),
		})
		require.NoError(t, err)
	}
	submit(workload.ModeRequest)
	_, err = apply(ctx, c, 0, newApplyRequest(0, "[kind balance]\n[team ledger]\n"))
	require.NoError(t, err)
	awaitConditions := func(situation string, nodes []int, want ...string) {
		require.Eventually(t, func() bool {
			for _, i := range nodes {
				conditions, err := c.Nodes[i].Process.Conditions(ctx)
				if err != nil || !slices.Equal(conditions, want) {
					t.Logf("%s: node %d has the conditions %v (error: %v)", situation, i, conditions, err)
					return false
				}
			}
			return true
		}, 30*time.Second, 200*time.Millisecond, situation)
	}
	allNodes := []int{0, 1, 2}
	awaitConditions("healthy", allNodes)
	time.Sleep(3 * time.Second)
	awaitConditions("healthy for 3 s", allNodes)
	c.Log.SetFault(logservice.Fault{Outage: true})
	require.NoError(t, c.KillNode(2))
	awaitConditions("a node was killed during an outage of the log without held jobs", []int{0, 1})
	require.NoError(t, c.StartNode(2))
	submitErr := make(chan error, 1)
	go func() {
		_, err := client.SubmitJob(ctx, workload.Request{
			Key: workload.NewKey(), Team: "ledger", Kind: "balance", Mode: workload.ModeJob, HoldInOutage: true,
			Resources: workload.Resources{MilliCPU: 100}, Payload: []byte(`{"run-ms":1}`),
		})
		submitErr <- err
	}()
	require.Eventually(t, func() bool {
		detected := false
		for _, n := range c.Nodes {
			conditions, err := n.Process.Conditions(ctx)
			detected = detected || (err == nil && slices.Contains(conditions, "log-down/log"))
		}
		return detected
	}, 20*time.Second, 100*time.Millisecond, "a job is held")
	c.Log.SetFault(logservice.Fault{})
	require.NoError(t, <-submitErr)
	awaitConditions("healthy after the outage", allNodes)
	submit(workload.ModeRequest)
	awaitConditions("healthy after a request", allNodes)
}
