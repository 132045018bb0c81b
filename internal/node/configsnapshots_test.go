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

// Guards against a snapshot record that is read as one of the other kind, and
// against program versions with and without the kind field that can't read each
// other's records.
func TestSnapshotKindsAreDistinguished(t *testing.T) {
	homeBegan := control.HomeBegan{Region: "punjab", Team: "ledger", Lease: tenure.LeaseNumber{Node: "entry-1"}}
	for name, test := range map[string]struct {
		body any
		kind string
	}{
		"home without a kind": {homeBegan, ""},
		"home":                {homeSnapshotBody{HomeBegan: homeBegan, Kind: homeSnapshotKind}, homeSnapshotKind},
		"policy":              {policySnapshotBody{Kind: policySnapshotKind, Policy: policy.Snapshot{LastOffset: 7}}, policySnapshotKind},
	} {
		encoded, err := snapshotEncMode.Marshal(test.body)
		require.NoError(t, err, name)
		var header snapshotHeader
		require.NoError(t, cbor.Unmarshal(encoded, &header), name)
		require.Equal(t, test.kind, header.Kind, name)
		var home, withoutKind = homeSnapshotBody{}, control.HomeBegan{}
		require.NoError(t, cbor.Unmarshal(encoded, &home), name)
		require.NoError(t, cbor.Unmarshal(encoded, &withoutKind), "%s read by a program without the kind", name)
		if test.kind != policySnapshotKind {
			require.Equal(t, homeBegan, home.HomeBegan, name)
			require.Equal(t, homeBegan, withoutKind, name)
		} else {
			require.Zero(t, withoutKind, name)
		}
	}
}

// Guards against snapshots that every node writes, that one node writes repeatedly
// while the log is slow, or that are written later than retention allows.
func TestSnapshotIsDueOnOneNodeFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	first, second := snapshotSchedule{intervalFactor: 1, newestAt: start, newestOffset: -1}, snapshotSchedule{intervalFactor: 1 + snapshotStaggerPerRank, newestAt: start, newestOffset: -1}
	require.False(t, first.due(start, snapshotRecordInterval-2))
	require.True(t, first.due(start, snapshotRecordInterval))
	require.False(t, second.due(start, snapshotRecordInterval))
	require.True(t, second.due(start, snapshotRecordInterval*11/10))
	require.True(t, first.due(start.Add(snapshotInterval), 1))
	require.False(t, second.due(start.Add(snapshotInterval), 1))
	first.writtenAt = start
	require.False(t, first.due(start.Add(snapshotRetryInterval-1), 2*snapshotRecordInterval))
	require.True(t, first.due(start.Add(snapshotRetryInterval), 2*snapshotRecordInterval))
}

// Guards against a quota of 0 that becomes no limit, and against no limit that
// becomes a quota, on conversion to the control state, where 0 means no limit.
func TestControlRulesKeepLimits(t *testing.T) {
	set, findings := policy.Read([]policy.File{{Name: "a.ini", Text: "[kind balance]\nretry-budget = 0.5\nqueue-bound = 900\n[kind audit]\n" +
		"[team free]\n[team bound]\nmilli-cpu = 500\naccelerators = 0\nrunning-tasks = 3\n[limits]\nwaiting-tasks = 500\n"}})
	require.Empty(t, findings)
	rules := controlRules(set, 4)
	require.False(t, rules.AdmitUnlisted)
	require.Equal(t, 500, rules.Kinds["balance"].QueueBound)
	require.Equal(t, 0.5, rules.Kinds["balance"].RetryBudget)
	require.Equal(t, control.DefaultRetries, rules.Kinds["audit"].Retries)
	require.Equal(t, workload.Resources{}, rules.Teams["free"].Quota)
	require.Zero(t, rules.Teams["free"].RunningTasks)
	require.Equal(t, workload.Resources{MilliCPU: 500, Accelerators: zeroQuota}, rules.Teams["bound"].Quota)
	require.Equal(t, 3, rules.Teams["bound"].RunningTasks)
	require.True(t, controlRules(policy.NewHistory().Set(), 0).AdmitUnlisted)
}
