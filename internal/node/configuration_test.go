package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/cell"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/internal/standin/logservice"
)

const testBound = 90 * time.Second

func startCell(t *testing.T, nodes int) (*cell.Cell, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testBound)
	t.Cleanup(cancel)
	c, err := cell.Start(ctx, cell.Options{Nodes: cell.SmallNodes(nodes), Workers: cell.SmallWorkers(1)})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Stop()) })
	require.NoError(t, c.AwaitReady(ctx))
	return c, ctx
}

// call makes one operator's call; a refusal is an error of type *operator.Failure.
func call[T any](ctx context.Context, c *cell.Cell, node int, method, path string, body any) (T, error) {
	var answer T
	content, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	url := "http://" + c.Nodes[node].Settings.Addresses.Operators.String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return answer, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failure := &operator.Failure{}
		err := json.NewDecoder(response.Body).Decode(failure)
		failure.Status = response.StatusCode
		return answer, errors.Join(err, failure)
	}
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

func folder(base int64, content string) operator.Apply {
	return operator.Apply{BaseVersion: base, Reason: "test", Files: []operator.File{{Name: "policy.ini", Content: content}}}
}

func apply(ctx context.Context, c *cell.Cell, node int, body operator.Apply) (operator.Change, error) {
	return call[operator.Change](ctx, c, node, http.MethodPost, "/config/apply", body)
}

func versionsOf(ctx context.Context, t *testing.T, c *cell.Cell) []uint64 {
	var versions []uint64
	for i := range c.Nodes {
		dump, err := c.Dump(ctx, i)
		require.NoError(t, err)
		versions = append(versions, dump.PolicyVersion)
	}
	return versions
}

func awaitVersion(ctx context.Context, t *testing.T, c *cell.Cell, version int64) {
	for slices.Min(versionsOf(ctx, t, c)) < uint64(version) {
		require.NoError(t, ctx.Err())
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against a configuration that reaches a node late or not at all, and
// against an answer that comes before the change is in the log.
func TestChangeIsInForceOnAllNodes(t *testing.T) {
	c, ctx := startCell(t, 3)
	version := int64(0)
	for name, run := range map[string]struct {
		delayMS int64
		changes int
		bound   time.Duration
	}{
		"quick log":      {0, 60, 2 * time.Second},
		"1 s per append": {1000, 6, 6 * time.Second},
	} {
		c.Log.SetFault(logservice.Fault{AppendDelayMS: run.delayMS})
		var took []time.Duration
		for i := range run.changes {
			began := time.Now()
			change, err := apply(ctx, c, i%3, folder(version, fmt.Sprintf("[kind balance]\nweight = %d\n", 2+version)))
			require.NoError(t, err)
			require.Equal(t, version+1, change.Version)
			version = change.Version
			awaitVersion(ctx, t, c, version)
			took = append(took, time.Since(began))
		}
		slices.Sort(took)
		p99 := took[(len(took)*99+99)/100-1]
		t.Logf("%s: %d changes, p50 %s, p99 %s, max %s", name, run.changes, took[len(took)/2], p99, took[len(took)-1])
		require.LessOrEqual(t, p99, run.bound, name)
	}
}

// Guards against two conflicting changes that are both accepted or both
// rejected, and against nodes that accept different ones.
func TestOneOfTwoConflictingChangesWins(t *testing.T) {
	c, ctx := startCell(t, 3)
	for round := range int64(10) {
		var group sync.WaitGroup
		accepted, failures := make(chan operator.Change, 3), make(chan error, 3)
		for i := range 3 {
			group.Go(func() {
				change, err := apply(ctx, c, i, folder(round, fmt.Sprintf("[kind balance]\nweight = %d\n", 10*round+int64(i)+2)))
				if err != nil {
					failures <- err
					return
				}
				accepted <- change
			})
		}
		group.Wait()
		require.Len(t, accepted, 1)
		require.Len(t, failures, 2)
		for range 2 {
			var failure *operator.Failure
			require.ErrorAs(t, <-failures, &failure)
			require.Equal(t, http.StatusConflict, failure.Status)
			require.NotEmpty(t, failure.Findings)
		}
		winner := <-accepted
		awaitVersion(ctx, t, c, winner.Version)
		for i := range 3 {
			config, err := call[operator.Config](ctx, c, i, http.MethodGet, "/config", nil)
			require.NoError(t, err)
			require.Equal(t, winner.Digest, config.Digest)
		}
	}
}

// Guards against a node that starts during an outage of the log and decides
// without a configuration, and against versions that go down when the log is back.
func TestNodeStartedInOutageTakesThePolicyOfAPeer(t *testing.T) {
	c, ctx := startCell(t, 3)
	for version := range int64(5) {
		_, err := apply(ctx, c, 0, folder(version, fmt.Sprintf("[kind balance]\nweight = %d\n[team ledger]\n", 2+version)))
		require.NoError(t, err)
	}
	awaitVersion(ctx, t, c, 5)
	c.Log.SetFault(logservice.Fault{Outage: true})
	require.NoError(t, c.KillNode(2))
	require.NoError(t, c.StartNode(2))
	began, seen := time.Now(), uint64(0)
	watch := func(until func() bool) {
		for !until() {
			require.NoError(t, ctx.Err())
			dump, err := c.Dump(ctx, 2)
			require.NoError(t, err)
			require.GreaterOrEqual(t, dump.PolicyVersion, seen)
			require.Contains(t, []uint64{0, 5, 6}, dump.PolicyVersion, "no old version is in force in between")
			seen = dump.PolicyVersion
			time.Sleep(time.Millisecond)
		}
	}
	watch(func() bool { return seen == 5 })
	t.Logf("the policy came from a peer %s after the start", time.Since(began))
	logIs := func(up bool) func() bool {
		return func() bool {
			dump, err := c.Dump(ctx, 2)
			return err == nil && dump.LogUp == up
		}
	}
	// Before the outage is noticed, the outcome of a change would be unknown.
	require.Eventually(t, logIs(false), 10*time.Second, 10*time.Millisecond)
	_, err := apply(ctx, c, 2, folder(5, "[kind balance]\nweight = 90\n[team ledger]\n"))
	var failure *operator.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, http.StatusServiceUnavailable, failure.Status)
	require.ErrorContains(t, err, "was not applied and won't be")
	c.Log.SetFault(logservice.Fault{})
	require.Eventually(t, logIs(true), 10*time.Second, 10*time.Millisecond)
	change, err := apply(ctx, c, 2, folder(5, "[kind balance]\nweight = 99\n[team ledger]\n"))
	require.NoError(t, err)
	require.EqualValues(t, 6, change.Version)
	watch(func() bool { return seen == 6 })
	awaitVersion(ctx, t, c, 6)
}

// Guards against a node that stays without a configuration after retention
// dropped the changes, although peers have it.
func TestNodeStartedAfterRetentionTakesThePolicyOfAPeer(t *testing.T) {
	c, ctx := startCell(t, 3)
	for version := range int64(3) {
		_, err := apply(ctx, c, 0, folder(version, fmt.Sprintf("[kind balance]\nweight = %d\n", 2+version)))
		require.NoError(t, err)
	}
	awaitVersion(ctx, t, c, 3)
	require.NoError(t, c.KillNode(2))
	c.Log.SetFault(logservice.Fault{CutBefore: 1 << 40})
	require.NoError(t, c.StartNode(2))
	awaitVersion(ctx, t, c, 3)
	_, err := apply(ctx, c, 2, folder(3, "[kind balance]\nweight = 77\n"))
	require.NoError(t, err)
	awaitVersion(ctx, t, c, 4)
}

// Guards against findings that are reported one at a time, reach the log, or
// hide that a change is refused.
func TestChangeWithFindingsIsRefused(t *testing.T) {
	c, ctx := startCell(t, 1)
	for name, refused := range map[string]struct {
		body     operator.Apply
		status   int
		findings int
	}{
		"two faults":     {folder(0, "[kind balance]\nwieght = 3\n[team]\n"), http.StatusUnprocessableEntity, 2},
		"newer base":     {folder(7, "[kind balance]\n"), http.StatusConflict, 0},
		"no such change": {operator.Apply{Reason: "test", Sections: []string{"kind other"}, Files: folder(0, "[kind balance]\n").Files}, http.StatusUnprocessableEntity, 0},
	} {
		_, err := apply(ctx, c, 0, refused.body)
		var failure *operator.Failure
		require.ErrorAs(t, err, &failure, name)
		require.Equal(t, refused.status, failure.Status, name)
		require.Len(t, failure.Findings, refused.findings, name)
	}
	require.Equal(t, []uint64{0}, versionsOf(ctx, t, c))
}
