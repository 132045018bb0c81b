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

// Guards against answers that are lost, incomplete or given to the wrong caller
// on the whole path through separate nodes.
func TestRequestsAreAnsweredWhole(t *testing.T) {
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
					t.Errorf("the answer %s is not that of %s", answer.Body, r.Key)
				}
			})
		}
	}
	group.Wait()
}

// Guards against a node whose address is taken, on which tests wait until their
// bound ends, and against nodes that share addresses with other programs.
func TestNodeThatCannotListenEndsTheWait(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	c, err := cell.Start(ctx, cell.Options{Nodes: cell.SmallNodes(2), Workers: cell.SmallWorkers(1)})
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Stop()) }()
	require.NoError(t, c.AwaitReady(ctx))
	at := c.Nodes[1].Settings.Addresses.Callers
	require.NotEqual(t, "127.0.0.1", at.Addr().String(), "where every other program listens")
	require.NotEqual(t, c.Nodes[0].Settings.Addresses.Callers.Addr(), at.Addr())
	require.NoError(t, c.KillNode(1))
	taken, err := net.Listen("tcp", at.String())
	require.NoError(t, err)
	defer taken.Close()
	require.NoError(t, c.StartNode(1))
	began := time.Now()
	require.ErrorContains(t, c.AwaitReady(ctx), "address already in use")
	require.Less(t, time.Since(began), 30*time.Second)
	require.ErrorContains(t, c.KillNode(1), "address already in use")
}
