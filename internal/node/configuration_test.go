package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/cell"
	"yuccalanding.example/yuccalanding/internal/journal"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/internal/policy"
	"yuccalanding.example/yuccalanding/internal/standin/logservice"
)

const testTimeout = 90 * time.Second

// startCell starts a cell with the given number of nodes and one worker and waits
// until it is ready.
func startCell(t *testing.T, nodes int) (*cell.Cell, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	c, err := cell.Start(ctx, cell.Options{Nodes: cell.SmallNodes(nodes), Workers: cell.SmallWorkers(1)})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Stop()) })
	require.NoError(t, c.AwaitReady(ctx))
	return c, ctx
}

// call makes an operator's call to a node. A refusal is an error of type
// *operator.Failure.
func call[T any](ctx context.Context, c *cell.Cell, node int, method, path string, body any) (T, error) {
	return callAt[T](ctx, c.Nodes[node].Settings.Addresses.Operators.String(), method, path, body)
}

// callAt makes an operator's call to a node's operator address.
func callAt[T any](ctx context.Context, address, method, path string, body any) (T, error) {
	var result T
	content, err := json.Marshal(body)
	if err != nil {
		return result, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(content))
	if err != nil {
		return result, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failure := &operator.Failure{}
		err := json.NewDecoder(response.Body).Decode(failure)
		failure.Status = response.StatusCode
		return result, errors.Join(err, failure)
	}
	return result, json.NewDecoder(response.Body).Decode(&result)
}

// newApplyRequest returns a request that applies a folder with one file to the base
// version.
func newApplyRequest(base int64, content string) operator.ApplyRequest {
	return operator.ApplyRequest{BaseVersion: base, Reason: "test", Files: []operator.File{{Name: "policy.ini", Content: content}}}
}

func apply(ctx context.Context, c *cell.Cell, node int, body operator.ApplyRequest) (operator.Change, error) {
	return call[operator.Change](ctx, c, node, http.MethodPost, "/config/apply", body)
}

// versionsOf returns the version in force on each node.
func versionsOf(ctx context.Context, t *testing.T, c *cell.Cell) []uint64 {
	var versions []uint64
	for i := range c.Nodes {
		dump, err := c.Dump(ctx, i)
		require.NoError(t, err)
		versions = append(versions, dump.PolicyVersion)
	}
	return versions
}

// awaitVersion waits until all nodes have the version or a newer one in force.
func awaitVersion(ctx context.Context, t *testing.T, c *cell.Cell, version int64) {
	for slices.Min(versionsOf(ctx, t, c)) < uint64(version) {
		require.NoError(t, ctx.Err())
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against a change that takes effect late or never on some node, and against
// a response that is sent before the change is in the log.
func TestChangeIsInForceOnAllNodes(t *testing.T) {
	c, ctx := startCell(t, 3)
	version := int64(0)
	for name, test := range map[string]struct {
		delayMS int64
		changes int
		maxP99  time.Duration
	}{
		"no append delay": {0, 60, 2 * time.Second},
		"1 s per append":  {1000, 6, 6 * time.Second},
	} {
		c.Log.SetFault(logservice.Fault{AppendDelayMS: test.delayMS})
		var durations []time.Duration
		for i := range test.changes {
			start := time.Now()
			change, err := apply(ctx, c, i%3, newApplyRequest(version, fmt.Sprintf("[kind balance]\nweight = %d\n", 2+version)))
			require.NoError(t, err)
			require.Equal(t, version+1, change.Version)
			version = change.Version
			awaitVersion(ctx, t, c, version)
			durations = append(durations, time.Since(start))
		}
		slices.Sort(durations)
		p99 := durations[(len(durations)*99+99)/100-1]
		t.Logf("%s: %d changes, p50 %s, p99 %s, max %s", name, test.changes, durations[len(durations)/2], p99, durations[len(durations)-1])
		require.LessOrEqual(t, p99, test.maxP99, name)
	}
}

// Guards against conflicting changes of which several or none are accepted, and
// against nodes that accept different changes.
func TestOneOfConflictingChangesIsAccepted(t *testing.T) {
	c, ctx := startCell(t, 3)
	for round := range int64(10) {
		var group sync.WaitGroup
		accepted, failures := make(chan operator.Change, 3), make(chan error, 3)
		for i := range 3 {
			group.Go(func() {
				change, err := apply(ctx, c, i, newApplyRequest(round, fmt.Sprintf("[kind balance]\nweight = %d\n", 10*round+int64(i)+2)))
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
		acceptedChange := <-accepted
		awaitVersion(ctx, t, c, acceptedChange.Version)
		for i := range 3 {
			config, err := call[operator.Config](ctx, c, i, http.MethodGet, "/config", nil)
			require.NoError(t, err)
			require.Equal(t, acceptedChange.Digest, config.Digest)
		}
	}
}

// A node is restarted during an outage of the log. Guards against a node that does
// not get the configuration from its peers, and against a version that decreases
// when the log recovers.
func TestNodeStartedInOutageAdoptsPeerConfiguration(t *testing.T) {
	c, ctx := startCell(t, 3)
	for version := range int64(5) {
		_, err := apply(ctx, c, 0, newApplyRequest(version, fmt.Sprintf("[kind balance]\nweight = %d\n[team ledger]\n", 2+version)))
		require.NoError(t, err)
	}
	awaitVersion(ctx, t, c, 5)
	c.Log.SetFault(logservice.Fault{Outage: true})
	require.NoError(t, c.KillNode(2))
	require.NoError(t, c.StartNode(2))
	startedAt, lastVersion := time.Now(), uint64(0)
	watch := func(done func() bool) {
		for !done() {
			require.NoError(t, ctx.Err())
			dump, err := c.Dump(ctx, 2)
			require.NoError(t, err)
			require.GreaterOrEqual(t, dump.PolicyVersion, lastVersion)
			require.Contains(t, []uint64{0, 5, 6}, dump.PolicyVersion, "an old version is in force")
			lastVersion = dump.PolicyVersion
			time.Sleep(time.Millisecond)
		}
	}
	watch(func() bool { return lastVersion == 5 })
	t.Logf("adopted the configuration of a peer %s after the start", time.Since(startedAt))
	logStateIs := func(up bool) func() bool {
		return func() bool {
			dump, err := c.Dump(ctx, 2)
			return err == nil && dump.LogUp == up
		}
	}
	// Until the node has detected the outage, the outcome of a change would be unknown.
	require.Eventually(t, logStateIs(false), 10*time.Second, 10*time.Millisecond)
	_, err := apply(ctx, c, 2, newApplyRequest(5, "[kind balance]\nweight = 90\n[team ledger]\n"))
	var failure *operator.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, http.StatusServiceUnavailable, failure.Status)
	require.ErrorContains(t, err, "was not applied and won't be")
	c.Log.SetFault(logservice.Fault{})
	require.Eventually(t, logStateIs(true), 10*time.Second, 10*time.Millisecond)
	change, err := apply(ctx, c, 2, newApplyRequest(5, "[kind balance]\nweight = 99\n[team ledger]\n"))
	require.NoError(t, err)
	require.EqualValues(t, 6, change.Version)
	watch(func() bool { return lastVersion == 6 })
	awaitVersion(ctx, t, c, 6)
}

// appendFiller appends 600 empty records to the log. number makes the identity of
// the append unique, since the log stores an identity only once.
func appendFiller(t *testing.T, c *cell.Cell, number int64) {
	appendRecords(t, c, fmt.Sprint("filler", number), make([][]byte, 600))
}

// appendRecords appends encoded records directly to the log, not through a node.
func appendRecords(t *testing.T, c *cell.Cell, identity string, records [][]byte) {
	body, err := json.Marshal(logservice.AppendRequest{Identity: identity, Records: records})
	require.NoError(t, err)
	response := httptest.NewRecorder()
	c.Log.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/append", bytes.NewReader(body)))
	require.Equal(t, http.StatusOK, response.Code)
}

// Retention drops the first records of the log before a node starts. Guards against
// a node that applies the remaining changes to an empty configuration, and against a
// node that does not get the configuration from its peers.
func TestNodeStartedAfterRetentionAdoptsPeerConfiguration(t *testing.T) {
	for name, truncateBefore := range map[string]int64{"some changes": 2, "all changes": 3, "all records": 603} {
		t.Run(name, func(t *testing.T) {
			c, ctx := startCell(t, 2)
			digest := ""
			for version := range int64(3) {
				change, err := apply(ctx, c, 0, newApplyRequest(version, fmt.Sprintf("[kind kind-%d]\n", version)))
				require.NoError(t, err)
				digest = change.Digest
			}
			appendFiller(t, c, 0)
			awaitVersion(ctx, t, c, 3)
			// The log holds 3 changes and 600 filler records.
			awaitOffset(ctx, t, c, 0, 603)
			require.NoError(t, c.KillNode(1))
			c.Log.SetFault(logservice.Fault{TruncateBefore: truncateBefore})
			require.NoError(t, c.StartNode(1))
			awaitVersion(ctx, t, c, 3)
			config, err := call[operator.Config](ctx, c, 1, http.MethodGet, "/config", nil)
			require.NoError(t, err)
			require.Equal(t, digest, config.Digest)
			change, err := apply(ctx, c, 1, newApplyRequest(3, "[kind kind-0]\nweight = 77\n"))
			require.NoError(t, err)
			require.EqualValues(t, 4, change.Version)
			awaitVersion(ctx, t, c, 4)
		})
	}
}

// dumpBody is the part of a dump that the tests read.
type dumpBody struct {
	Configuration struct {
		NextOffset int64 `json:"next-offset"`
		Incomplete bool  `json:"incomplete"`
	} `json:"configuration"`
}

// awaitOffset waits until a node has read the log up to the offset.
func awaitOffset(ctx context.Context, t *testing.T, c *cell.Cell, node int, offset int64) (dump dumpBody) {
	require.Eventually(t, func() bool {
		var err error
		dump, err = call[dumpBody](ctx, c, node, http.MethodGet, "/dump", nil)
		return err == nil && dump.Configuration.NextOffset >= offset
	}, 10*time.Second, 5*time.Millisecond)
	return dump
}

// Retention drops records that no node has read. Guards against a configuration that
// can't be changed afterwards, against a recovery that omits the changes after the
// gap, and against a recovery while no record is missing.
func TestRecoverAfterLossOfUnreadRecords(t *testing.T) {
	c, ctx := startCell(t, 2)
	_, err := apply(ctx, c, 0, newApplyRequest(0, "[kind balance]\n"))
	require.NoError(t, err)
	awaitVersion(ctx, t, c, 1)
	recovery := operator.RecoverRequest{Reason: "test"}
	_, err = call[operator.Config](ctx, c, 0, http.MethodPost, "/config/recover", recovery)
	require.ErrorContains(t, err, "nothing to recover")
	for i := range 2 {
		require.NoError(t, c.KillNode(i))
	}
	appendFiller(t, c, 0)
	afterGap, err := journal.NewRecord(journal.KindPolicyChange, "entry-9", time.Now(), policy.Change{
		Identity: "after-the-gap", Author: "test", Reason: "test", Sections: []policy.SectionChange{{Name: "kind audit"}},
	})
	require.NoError(t, err)
	encoded, err := cbor.Marshal(afterGap)
	require.NoError(t, err)
	appendRecords(t, c, "change-after-gap", [][]byte{encoded})
	// Only the record of the change after the gap, at offset 601, is left.
	c.Log.SetFault(logservice.Fault{TruncateBefore: 601})
	for i := range 2 {
		require.NoError(t, c.StartNode(i))
	}
	for i := range 2 {
		require.True(t, awaitOffset(ctx, t, c, i, 602).Configuration.Incomplete)
	}
	_, err = apply(ctx, c, 0, newApplyRequest(0, "[kind balance]\nweight = 3\n"))
	require.ErrorContains(t, err, "waits for a snapshot")
	_, err = call[operator.Config](ctx, c, 0, http.MethodPost, "/config/recover", recovery)
	require.NoError(t, err)
	awaitVersion(ctx, t, c, 1)
	for i := range 2 {
		history, err := call[operator.History](ctx, c, i, http.MethodGet, "/config/history", nil)
		require.NoError(t, err)
		require.Len(t, history.Changes, 1)
		require.Equal(t, "after-the-gap", history.Changes[0].Identity)
	}
	change, err := apply(ctx, c, 1, newApplyRequest(1, "[kind balance]\nweight = 3\n"))
	require.NoError(t, err)
	awaitVersion(ctx, t, c, change.Version)
}

// A node is killed while it waits for the append of a change. Guards against a
// response that reports the change as not applied although it is accepted later.
func TestUnknownOutcomeIsReportedAndCanBeLookedUp(t *testing.T) {
	c, ctx := startCell(t, 2)
	c.Log.SetFault(logservice.Fault{AppendDelayMS: 1000})
	applyErr := make(chan error, 1)
	go func() {
		body := newApplyRequest(0, "[kind balance]\n")
		body.Identity = "the-change"
		_, err := apply(ctx, c, 0, body)
		applyErr <- err
	}()
	time.Sleep(400 * time.Millisecond)
	require.NoError(t, c.KillNode(0))
	var failure *operator.Failure
	require.ErrorAs(t, <-applyErr, &failure)
	require.Equal(t, http.StatusGatewayTimeout, failure.Status)
	require.Contains(t, failure.Message, "config history --identity the-change")
	require.Eventually(t, func() bool {
		history, err := call[operator.History](ctx, c, 1, http.MethodGet, "/config/history", nil)
		return err == nil && len(history.Changes) == 1 && history.Changes[0].Identity == "the-change" && history.Changes[0].State == "accepted"
	}, 10*time.Second, 20*time.Millisecond)
}

// lockedBuffer collects the event logs of nodes. Write is safe for concurrent use.
type lockedBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write appends to the buffer. Its error is always nil.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(data)
}

// Guards against a restarted node that puts old versions in force while it replays a
// log that takes several reads.
func TestRestartedNodeSkipsOldVersions(t *testing.T) {
	events := &lockedBuffer{}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c, err := cell.Start(ctx, cell.Options{Nodes: cell.SmallNodes(1), Workers: cell.SmallWorkers(1), Log: events})
	require.NoError(t, err)
	require.NoError(t, c.AwaitReady(ctx))
	for version := range int64(4) {
		_, err := apply(ctx, c, 0, newApplyRequest(version, fmt.Sprintf("[kind balance]\nweight = %d\n", 2+version)))
		require.NoError(t, err)
		appendFiller(t, c, version)
	}
	awaitVersion(ctx, t, c, 4)
	require.NoError(t, c.KillNode(0))
	events.content.Reset()
	require.NoError(t, c.StartNode(0))
	awaitVersion(ctx, t, c, 4)
	require.NoError(t, c.Stop())
	require.Equal(t, 1, strings.Count(events.content.String(), "name=policy-in-force"), events.content.String())
}

// Guards against an invalid change that is appended to the log or refused with the
// wrong status, and against a response that has only the first of several findings.
func TestChangeWithFindingsIsRefused(t *testing.T) {
	c, ctx := startCell(t, 1)
	for name, test := range map[string]struct {
		body     operator.ApplyRequest
		status   int
		findings int
	}{
		"two findings":  {newApplyRequest(0, "[kind balance]\nwieght = 3\n[team]\n"), http.StatusUnprocessableEntity, 2},
		"newer base":    {newApplyRequest(7, "[kind balance]\n"), http.StatusConflict, 0},
		"no difference": {operator.ApplyRequest{Reason: "test", Sections: []string{"kind other"}, Files: newApplyRequest(0, "[kind balance]\n").Files}, http.StatusUnprocessableEntity, 0},
	} {
		_, err := apply(ctx, c, 0, test.body)
		var failure *operator.Failure
		require.ErrorAs(t, err, &failure, name)
		require.Equal(t, test.status, failure.Status, name)
		require.Len(t, failure.Findings, test.findings, name)
	}
	require.Equal(t, []uint64{0}, versionsOf(ctx, t, c))
}
