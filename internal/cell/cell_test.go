package cell_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/cell"
	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

func start(t *testing.T, nodes, workers int) (*cell.Cell, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	t.Cleanup(cancel)
	c, err := cell.Start(ctx, cell.Options{Nodes: cell.SmallNodes(nodes), Workers: cell.SmallWorkers(workers), Log: os.Stderr})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Stop()) })
	require.NoError(t, c.AwaitReady(ctx))
	return c, ctx
}

func request(runMS int) workload.Request {
	return workload.Request{
		Key: workload.NewKey(), Team: "ledger", Kind: "balance-check", NonIdempotent: true,
		Resources: workload.Resources{MilliCPU: 500, MemoryMB: 256},
		Payload:   fmt.Appendf(nil, `{"run-ms":%d}`, runMS),
	}
}

// Guards against answers that are lost, incomplete or delivered to the wrong
// caller. The requests go to three nodes, and any of them may own the worker.
func TestAnswersAreComplete(t *testing.T) {
	c, ctx := start(t, 3, 4)
	var group sync.WaitGroup
	for i := range 3 {
		client, err := c.Client(i)
		require.NoError(t, err)
		for range 20 {
			group.Go(func() {
				r := request(5)
				answer, err := client.Submit(ctx, r)
				if err != nil {
					t.Error(err)
					return
				}
				var echo workervm.Echo
				if err := json.Unmarshal(answer.Body, &echo); err != nil || echo.ID.Key != r.Key || echo.PayloadDigest != workervm.Digest(r.Payload) {
					t.Errorf("the answer %s does not belong to request %s", answer.Body, r.Key)
				}
			})
		}
	}
	group.Wait()
}

// Guards against AwaitReady waiting until its deadline for a node that ended
// because its address was in use, and against nodes that share a loopback address
// with each other or with other programs.
func TestAwaitReadyFailsIfANodeCannotListen(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	c, err := cell.Start(ctx, cell.Options{Nodes: cell.SmallNodes(2), Workers: cell.SmallWorkers(1)})
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Stop()) }()
	require.NoError(t, c.AwaitReady(ctx))
	address := c.Nodes[1].Settings.Addresses.Callers
	require.NotEqual(t, "127.0.0.1", address.Addr().String(), "other programs listen on 127.0.0.1")
	require.NotEqual(t, c.Nodes[0].Settings.Addresses.Callers.Addr(), address.Addr())
	require.NoError(t, c.KillNode(1))
	taken, err := net.Listen("tcp", address.String())
	require.NoError(t, err)
	defer taken.Close()
	require.NoError(t, c.StartNode(1))
	startedAt := time.Now()
	require.ErrorContains(t, c.AwaitReady(ctx), "address already in use")
	require.Less(t, time.Since(startedAt), 30*time.Second)
	require.ErrorContains(t, c.KillNode(1), "address already in use")
}
