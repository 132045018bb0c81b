package node

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/policy"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Guards against snapshot records of one kind that are taken for the other, and
// against records of the version before the kinds that can't be read any more.
func TestSnapshotRecordsAreToldApart(t *testing.T) {
	began := control.HomeBegan{Region: "punjab", Team: "ledger", Lease: tenure.LeaseNumber{Node: "entry-1"}}
	for name, kept := range map[string]struct {
		body any
		kind string
	}{
		"home of the version before": {began, ""},
		"home":                       {homeSnapshotBody{HomeBegan: began, Kind: snapshotOfHome}, snapshotOfHome},
		"policy":                     {policySnapshotBody{Kind: snapshotOfPolicy, Policy: policy.Snapshot{LastOffset: 7}}, snapshotOfPolicy},
	} {
		encoded, err := snapshotMode.Marshal(kept.body)
		require.NoError(t, err, name)
		var kind snapshotKind
		require.NoError(t, cbor.Unmarshal(encoded, &kind), name)
		require.Equal(t, kept.kind, kind.Kind, name)
		var home, former = homeSnapshotBody{}, control.HomeBegan{}
		require.NoError(t, cbor.Unmarshal(encoded, &home), name)
		require.NoError(t, cbor.Unmarshal(encoded, &former), "%s by the program before", name)
		if kept.kind != snapshotOfPolicy {
			require.Equal(t, began, home.HomeBegan, name)
			require.Equal(t, began, former, name)
		} else {
			require.Zero(t, former, name)
		}
	}
}

// Guards against snapshots that every node writes, that are written in a row
// while the log is slow, and that come later than retention allows.
func TestSnapshotIsDueOnOneNodeFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	first, second := snapshots{factor: 1, seenAt: start, seenOffset: -1}, snapshots{factor: 1 + snapshotStagger, seenAt: start, seenOffset: -1}
	require.False(t, first.due(start, snapshotRecords-2))
	require.True(t, first.due(start, snapshotRecords))
	require.False(t, second.due(start, snapshotRecords))
	require.True(t, second.due(start, snapshotRecords*11/10))
	require.True(t, first.due(start.Add(snapshotTime), 1))
	require.False(t, second.due(start.Add(snapshotTime), 1))
	first.writtenAt = start
	require.False(t, first.due(start.Add(snapshotRepeat-1), 2*snapshotRecords))
	require.True(t, first.due(start.Add(snapshotRepeat), 2*snapshotRecords))
}

// Guards against limits that change their meaning on the way to the control
// thread, where 0 is no limit.
func TestRulesKeepTheMeaningOfLimits(t *testing.T) {
	set, findings := policy.Read([]policy.File{{Name: "a.ini", Text: "[kind balance]\nretry-budget = 0.5\nqueue-bound = 900\n[kind audit]\n" +
		"[team free]\n[team bound]\nmilli-cpu = 500\naccelerators = 0\nrunning-tasks = 3\n[limits]\nwaiting-tasks = 500\n"}})
	require.Empty(t, findings)
	rules := rulesOf(set, 4)
	require.False(t, rules.Open)
	require.Equal(t, 500, rules.Kinds["balance"].QueueBound)
	require.Equal(t, 0.5, rules.Kinds["balance"].RetryBudget)
	require.Equal(t, control.DefaultRetries, rules.Kinds["audit"].Retries)
	require.Equal(t, workload.Resources{}, rules.Teams["free"].Quota)
	require.Zero(t, rules.Teams["free"].RunningTasks)
	require.Equal(t, workload.Resources{MilliCPU: 500, Accelerators: nothingAllowed}, rules.Teams["bound"].Quota)
	require.Equal(t, 3, rules.Teams["bound"].RunningTasks)
	require.True(t, rulesOf(policy.NewHistory().Set(), 0).Open)
}
