package processcell_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/processcell"
	"yuccalanding.example/yuccalanding/internal/standin/logservice"
	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

var long = flag.Bool("long", false, "run every fault script in place of the short set")

// script injects faults during steady traffic.
type script struct {
	run func(t *testing.T, c *processcell.Cell)
	// short scripts run without -long, as in CI.
	short bool
	// noRefusals means that every request must be answered.
	noRefusals bool
}

func scripts() map[string]script {
	return map[string]script{
		"node killed and restarted": {short: true, run: func(t *testing.T, c *processcell.Cell) {
			require.NoError(t, c.Nodes[0].Kill())
			time.Sleep(6 * time.Second)
			require.NoError(t, c.Nodes[0].Start())
			time.Sleep(5 * time.Second)
		}},
		"node paused for 6 s": {short: true, run: func(t *testing.T, c *processcell.Cell) {
			require.NoError(t, c.Nodes[1].Pause())
			time.Sleep(6 * time.Second)
			require.NoError(t, c.Nodes[1].Resume())
			time.Sleep(5 * time.Second)
		}},
		"node drained": {short: true, noRefusals: true, run: func(t *testing.T, c *processcell.Cell) {
			require.NoError(t, c.Nodes[2].Drain(20*time.Second))
			time.Sleep(4 * time.Second)
		}},
		"rolling replacement": {noRefusals: true, run: func(t *testing.T, c *processcell.Cell) {
			for _, node := range c.Nodes {
				require.NoError(t, node.Drain(20*time.Second))
				require.NoError(t, node.Start())
				time.Sleep(8 * time.Second)
			}
		}},
		"log outage": {noRefusals: true, run: func(t *testing.T, c *processcell.Cell) {
			require.NoError(t, c.SetFault(t.Context(), c.LogAddress, logservice.Fault{Outage: true}))
			time.Sleep(8 * time.Second)
			require.NoError(t, c.SetFault(t.Context(), c.LogAddress, logservice.Fault{}))
			time.Sleep(2 * time.Second)
		}},
		"all nodes killed": {run: func(t *testing.T, c *processcell.Cell) {
			for _, node := range c.Nodes {
				require.NoError(t, node.Kill())
			}
			for _, node := range c.Nodes {
				require.NoError(t, node.Start())
			}
			time.Sleep(12 * time.Second)
		}},
		"unresponsive connections to a worker": {run: func(t *testing.T, c *processcell.Cell) {
			require.NoError(t, c.SetFault(t.Context(), c.WorkerAddress(0), workervm.Fault{Unresponsive: true}))
			time.Sleep(8 * time.Second)
		}},
		"node killed while another is paused": {run: func(t *testing.T, c *processcell.Cell) {
			require.NoError(t, c.Nodes[1].Pause())
			time.Sleep(time.Second)
			require.NoError(t, c.Nodes[0].Kill())
			time.Sleep(5 * time.Second)
			require.NoError(t, c.Nodes[1].Resume())
			require.NoError(t, c.Nodes[0].Start())
			time.Sleep(8 * time.Second)
		}},
		"node killed during a log outage": {run: func(t *testing.T, c *processcell.Cell) {
			require.NoError(t, c.SetFault(t.Context(), c.LogAddress, logservice.Fault{Outage: true}))
			require.NoError(t, c.Nodes[3].Kill())
			time.Sleep(6 * time.Second)
			require.NoError(t, c.Nodes[3].Start())
			time.Sleep(3 * time.Second)
			require.NoError(t, c.SetFault(t.Context(), c.LogAddress, logservice.Fault{}))
		}},
	}
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "yuccalanding")
	output, err := exec.Command("go", "build", "-o", binary, "yuccalanding.example/yuccalanding/cmd/yuccalanding").CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

// Guards against tasks that run twice at the same time, are lost or get a wrong
// answer when nodes are killed, paused or drained, or the log or a worker does
// not respond, during steady traffic.
func TestFaultScripts(t *testing.T) {
	binary := buildBinary(t)
	for name, script := range scripts() {
		if !script.short && !*long {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScript(t, binary, script)
		})
	}
}

// awaitTeamHome waits until the home node of a team serves requests.
func awaitTeamHome(t *testing.T, ctx context.Context, client *caller.Client, team int) {
	t.Helper()
	_, err := client.Submit(ctx, workload.Request{
		Key: workload.NewKey(), Team: fmt.Sprintf("team-%d", team), Kind: "balance-check",
		Resources: workload.Resources{MilliCPU: 500, MemoryMB: 256}, Payload: []byte(`{"run-ms":1}`),
	})
	require.NoError(t, err)
}

func runScript(t *testing.T, binary string, script script) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	folder, err := os.MkdirTemp("", "processcell")
	require.NoError(t, err)
	c, err := processcell.Start(ctx, processcell.Options{Binary: binary, Folder: folder, Nodes: 5, Workers: 10})
	require.NoError(t, err)
	t.Cleanup(func() {
		c.Stop()
		if !t.Failed() {
			_ = os.RemoveAll(folder)
		}
	})
	client, err := c.Client()
	require.NoError(t, err)
	for team := range 7 {
		awaitTeamHome(t, ctx, client, team)
	}
	traffic := &processcell.Traffic{Client: client, Interval: 10 * time.Millisecond, RunTime: 50 * time.Millisecond, Teams: 7}
	trafficContext, stopTraffic := context.WithCancel(ctx)
	trafficEnded := make(chan struct{})
	go func() { traffic.Run(trafficContext, 45*time.Second); close(trafficEnded) }()
	time.Sleep(3 * time.Second)
	script.run(t, c)
	stopTraffic()
	<-trafficEnded
	states, err := c.WorkerStates(ctx)
	require.NoError(t, err)
	outcomes := traffic.Outcomes()
	summary := processcell.Summarize(outcomes)
	t.Log(summary.String())
	require.Empty(t, processcell.Violations(outcomes, states), "see the logs in %s", folder)
	require.Positive(t, summary.Answered)
	if script.noRefusals {
		require.Zero(t, summary.NotRun+summary.MayHaveRun, "requests must not fail during a drain or a log outage: %s", summary.Examples)
	}
}

// Guards against a Start that waits until its deadline although a process has
// exited, and against an error that does not name the process.
func TestStartFailsWhenProcessExits(t *testing.T) {
	binary, err := exec.LookPath("false")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c, err := processcell.Start(ctx, processcell.Options{Binary: binary, Folder: t.TempDir(), Nodes: 1, Workers: 1})
	require.ErrorContains(t, err, "log exited unexpectedly: exit status 1")
	require.NoError(t, ctx.Err())
	c.Stop()
}
