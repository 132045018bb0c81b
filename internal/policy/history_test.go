package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"yuccalanding.example/yuccalanding/internal/journal"
)

func changeOf(identity string, base int64, sections ...SectionChange) Change {
	return Change{Identity: identity, Base: base, Sections: sections, Author: "op", Reason: "test", CreatedAt: time.Unix(0, 0).UTC()}
}

func teamChange(name, text string) SectionChange {
	return SectionChange{Name: "team " + name, Text: text}
}

// Guards against lost updates, changes that are applied in part or twice, and
// rejections that omit some of their findings.
func TestApply(t *testing.T) {
	removal := SectionChange{Name: "team a", Remove: true}
	longText := make([]byte, MaxTextBytes+1)
	for name, test := range map[string]struct {
		changes []Change
		// want holds the findings of each change; no findings mean that the change
		// is accepted.
		want []string
	}{
		"concurrent changes of one section": {
			[]Change{changeOf("1", 0, teamChange("a", "weight = 1")), changeOf("2", 0, teamChange("a", "weight = 2")), changeOf("3", 1, teamChange("a", "weight = 2"))},
			[]string{"", "change [team a]: version 1 by op touched the section after version 0, which the change was made against", ""},
		},
		"concurrent changes of two sections": {
			[]Change{changeOf("1", 0, teamChange("a", "")), changeOf("2", 0, teamChange("b", ""))},
			[]string{"", ""},
		},
		"concurrent removal": {
			[]Change{changeOf("1", 0, teamChange("a", "")), changeOf("2", 1, removal), changeOf("3", 1, teamChange("a", "weight = 2")), changeOf("4", 2, removal)},
			[]string{"", "", "change [team a]: version 2 by op touched the section after version 1, which the change was made against",
				"change [team a]: there is no such section to remove"},
		},
		"two changes that are valid only alone": {
			[]Change{changeOf("1", 0, teamChange("a", "guarantee = 0.6")), changeOf("2", 0, teamChange("b", "weight = 2\nguarantee = 0.6"))},
			[]string{"", "change:2 [team b] guarantee: the sum over all sections is 1.2, more than 1: a 0.6, b 0.6"},
		},
		"rejected as a whole": {
			[]Change{
				changeOf("1", 0, teamChange("a", ""), teamChange("b", "\nweigt = 1\nmemory-mb = -1"), teamChange("c", "[team d]"), SectionChange{Name: "kin x"}),
				changeOf("2", 0, teamChange("a", ""), teamChange("a", ""), SectionChange{Name: "team b", Text: "x", Remove: true}, teamChange("c", string(longText))),
				{Identity: "3"},
			},
			[]string{
				"change:2 [team b] weigt: unknown key; did you mean weight?\n" +
					`change:3 [team b] memory-mb: must be a whole number from 0 to 1000000000, got "-1"` + "\n" +
					"change [team c]: the text of a section has no header\nchange [kin x]: unknown type of section; did you mean kind?",
				"change [team a]: the change names the section twice\nchange [team b]: a removed section has no text\n" +
					"change [team c]: a section's text has at most 4096 bytes, got 4097",
				"change who: must have 1 to 256 bytes, got 0\nchange why: must have 1 to 256 bytes, got 0\n" +
					"change sections: must have 1 to 1024 sections, got 0",
			},
		},
		"invalid base and duplicate": {
			[]Change{changeOf("1", 1, teamChange("a", "")), changeOf("2", 0, teamChange("a", "")), changeOf("1", 1, teamChange("b", ""))},
			[]string{"change base: must be a version from 0 to 0, got 1", "", "change identity: the log holds this change twice; its first copy counts"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			history := NewHistory()
			for i, change := range test.changes {
				before := history.Version()
				accepted, findings := history.Apply(int64(i), change)
				require.Equal(t, test.want[i], findings.Error())
				require.Equal(t, test.want[i] == "", accepted)
				if !accepted {
					require.Equal(t, before, history.Version())
				}
			}
		})
	}
}

// Guards against a Diff that doesn't turn the effective set into the set of the
// folder, or that contains sections that are equal in both sets.
func TestDiff(t *testing.T) {
	effective, findings := Read([]File{{"a.ini", "[team a]\nweight = 1\n[team b]\nweight = 2\n[kind c]\n"}})
	require.Empty(t, findings)
	folder, findings := Read([]File{{"a.ini", "[team a]\nweight = 01\n[team b]\nweight = 3\n[team d]\n"}})
	require.Empty(t, findings)
	change := Diff(folder, effective, 4)
	require.Equal(t, []SectionChange{teamChange("b", "weight = 3\n"), teamChange("d", ""), {Name: "kind c", Remove: true}}, change.Sections)
	change.Identity, change.Author, change.Reason = "i", "op", "test"
	result, findings := effective.With(change)
	require.Empty(t, findings)
	require.Equal(t, folder.Digest(), result.Digest())
	require.Equal(t, "[kind c]\n\n[team a]\nweight = 1\n\n[team b]\nweight = 2\n", effective.Text(), "the old set was modified")
}

// Guards against lists in a history that grow without limit, and against a change
// that is accepted although its conflicts can't be detected, because the versions
// of sections that were removed after its base are no longer kept.
func TestLimits(t *testing.T) {
	history := NewHistory()
	for i := range int64(2 * (MaxRemovedSections + 10)) {
		change := changeOf(fmt.Sprint(i), i, teamChange(fmt.Sprint(i/2), ""))
		change.Sections[0].Remove = i%2 == 1
		accepted, findings := history.Apply(i, change)
		require.True(t, accepted, findings.Error())
	}
	snapshot, complete := history.Snapshot()
	require.True(t, complete)
	require.Len(t, snapshot.Removed, MaxRemovedSections)
	require.Len(t, snapshot.Accepted, MaxAcceptedChanges)
	require.Len(t, snapshot.SeenIdentities, MaxSeenIdentities)
	// Section n was removed in version 2n+2. Sections 0 to 9 are over the limit, so
	// the versions up to 20 of removed sections are no longer kept.
	_, findings := history.Apply(snapshot.LastOffset+1, changeOf("late", 19, teamChange("0", "")))
	require.Equal(t, "change base: must be a version from 20 to 532, got 19", findings.Error())
	accepted, _ := history.Apply(snapshot.LastOffset+2, changeOf("in time", 20, teamChange("0", "")))
	require.True(t, accepted)
}

// Guards against a snapshot that is installed although it lowers the version, is
// invalid, or shows that two nodes have diverged.
func TestInstallSnapshotRefuses(t *testing.T) {
	history := NewHistory()
	history.Apply(0, changeOf("1", 0, teamChange("a", "weight = 2")))
	for name, test := range map[string]struct {
		modify func(snapshot *Snapshot)
		want   string
	}{
		"lower version":  {func(s *Snapshot) { s.Version.Number = 0 }, "snapshot version: is 0, lower than the effective version 1"},
		"damaged":        {func(s *Snapshot) { s.Version.Digest = 1 }, "snapshot digest: is 1, but the sections have"},
		"unreadable":     {func(s *Snapshot) { s.Sections[0].Text = "x" }, "snapshot:1 [team a]: a line has the form key = value"},
		"too long":       {func(s *Snapshot) { s.SeenIdentities = make([]uint64, MaxSeenIdentities+1) }, "snapshot: a list is longer than a history keeps"},
		"diverged":       {func(s *Snapshot) { s.Sections, s.Version.Digest = nil, NewHistory().Set().Digest() }, "at version 1, but the effective set has"},
		"older, ignored": {func(s *Snapshot) { s.LastOffset, s.Version.Digest = 0, 1 }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot, _ := history.Snapshot()
			snapshot.LastOffset++
			test.modify(&snapshot)
			before := history.Version()
			installed, findings := history.InstallSnapshot(snapshot)
			require.False(t, installed)
			require.Contains(t, findings.Error(), test.want)
			require.Equal(t, test.want == "", len(findings) == 0)
			require.Equal(t, before, history.Version())
		})
	}
}

// Guards against a history that loses changes while it waits for a snapshot, or
// that keeps them without limit.
func TestPendingChanges(t *testing.T) {
	full, lagging := NewHistory(), NewHistory()
	lagging.MarkDropped(2)
	var snapshots []Snapshot
	for i := range int64(MaxPendingChanges + 10) {
		change := changeOf(fmt.Sprint(i), i, teamChange("a", fmt.Sprint("weight = ", i+1)))
		accepted, _ := full.Apply(i, change)
		require.True(t, accepted)
		if i < 2 {
			continue
		}
		accepted, _ = lagging.Apply(i, change)
		require.False(t, accepted)
		snapshot, _ := full.Snapshot()
		snapshots = append(snapshots, snapshot)
	}
	require.Len(t, lagging.pending, MaxPendingChanges)
	// The changes at offsets 2 to 9 were dropped.
	installed, _ := lagging.InstallSnapshot(snapshots[8-2])
	require.False(t, installed)
	installed, _ = lagging.InstallSnapshot(snapshots[9-2])
	require.True(t, installed)
	require.Equal(t, full.Version(), lagging.Version())
}

// logRecord is one record of a generated log.
type logRecord struct {
	change   *Change
	snapshot *Snapshot
}

// drawChange returns a change that is likely to be rejected: it changes one or two
// of four sections, has a base near the current version, may have an invalid text
// or a sum of shares above 1, or may be a duplicate of an earlier change.
func drawChange(t *rapid.T, version int64, earlier []Change) Change {
	if len(earlier) > 0 && rapid.IntRange(0, 5).Draw(t, "copy") == 5 {
		return rapid.SampledFrom(earlier).Draw(t, "earlier change")
	}
	change := changeOf(fmt.Sprint("change-", len(earlier)), max(0, version-rapid.SampledFrom([]int64{0, 1, 2, 4, -1}).Draw(t, "age")))
	for range rapid.IntRange(1, 2).Draw(t, "sections") {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
		text := rapid.SampledFrom([]string{"", "weight = 2", "guarantee = 0.3", "guarantee = 0.6", "weight = x"}).Draw(t, "text")
		section := teamChange(name, text)
		if rapid.IntRange(0, 3).Draw(t, "remove") == 3 {
			section.Text, section.Remove = "", true
		}
		change.Sections = append(change.Sections, section)
	}
	return change
}

// drawLog returns a log and, for each offset, the state of a node that read the log
// from the start to this offset. A snapshot in the log can be older than the
// record before it.
func drawLog(t *rapid.T) (log []logRecord, states []Snapshot) {
	history := NewHistory()
	var changes []Change
	for offset := range int64(rapid.IntRange(1, 40).Draw(t, "records")) {
		var next logRecord
		switch record := rapid.IntRange(0, 9).Draw(t, "record"); {
		case record == 0 && offset > 0:
			next.snapshot = &states[rapid.IntRange(0, int(offset)-1).Draw(t, "offset of the snapshot")]
		case record > 1: // Otherwise the record is of another kind.
			change := drawChange(t, history.Version().Number, changes)
			changes = append(changes, change)
			next.change = &change
			history.Apply(offset, change)
		}
		history.AdvanceTo(offset)
		state, _ := history.Snapshot()
		log, states = append(log, next), append(states, state)
	}
	return log, states
}

// node applies a log and requires that its version never decreases.
type node struct {
	t       *rapid.T
	history *History
	last    Version
}

func newNode(t *rapid.T) *node {
	history := NewHistory()
	return &node{t: t, history: history, last: history.Version()}
}

func (n *node) apply(offset int64, record logRecord) {
	switch {
	case record.change != nil:
		n.history.Apply(offset, *record.change)
	case record.snapshot != nil:
		n.install(*record.snapshot)
	}
	n.history.AdvanceTo(offset)
	n.check()
}

func (n *node) install(snapshot Snapshot) {
	// The snapshot is encoded and decoded as it is between nodes.
	record, err := journal.NewRecord(journal.KindSnapshot, "node", time.Time{}, snapshot)
	require.NoError(n.t, err)
	var copied Snapshot
	require.NoError(n.t, record.Decode(&copied))
	_, findings := n.history.InstallSnapshot(copied)
	require.Empty(n.t, findings)
	n.check()
}

func (n *node) check() {
	version := n.history.Version()
	require.GreaterOrEqual(n.t, version.Number, n.last.Number)
	if version.Number == n.last.Number {
		require.Equal(n.t, n.last.Digest, version.Digest)
	}
	n.last = version
}

// Guards against nodes that compute different configurations or accepted changes
// from the same log when records are delivered again or replaced by snapshots, and
// against a version that decreases. A failure prints its seed; to repeat it, use
// -rapid.seed.
func TestHistoriesAgree(t *testing.T) {
	accepted, rejected, gaps := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		log, states := drawLog(t)
		final := states[len(states)-1]
		accepted += len(final.Accepted)
		rejected += len(final.SeenIdentities) - len(final.Accepted)

		redelivered := newNode(t)
		for offset := range log {
			first := rapid.IntRange(0, offset).Draw(t, "delivered again from")
			for again := first; again <= offset; again++ {
				redelivered.apply(int64(again), log[again])
			}
		}
		requireState(t, final, redelivered.history)

		// Retention removes records that this node has not read, before it starts or
		// while it runs. It installs snapshots from the log and copies from peers.
		lagging := newNode(t)
		for offset := range rapid.IntRange(0, len(log)-1).Draw(t, "read before the gap") {
			lagging.apply(int64(offset), log[offset])
		}
		gapEnd := rapid.IntRange(int(lagging.history.NextOffset()), len(log)).Draw(t, "end of the gap")
		lagging.history.MarkDropped(int64(gapEnd))
		if lagging.history.Incomplete() {
			gaps++
		}
		for offset := gapEnd; offset < len(log); offset++ {
			lagging.apply(int64(offset), log[offset])
			if rapid.IntRange(0, 5).Draw(t, "peer") == 0 {
				lagging.install(states[rapid.IntRange(0, len(states)-1).Draw(t, "peer's offset")])
			}
		}
		if lagging.history.Incomplete() {
			lagging.install(states[max(gapEnd-1, 0)])
		}
		requireState(t, final, lagging.history)
	})
	t.Logf("%d accepted changes, %d rejected changes, %d gaps", accepted, rejected, gaps)
}

func requireState(t *rapid.T, want Snapshot, history *History) {
	state, complete := history.Snapshot()
	require.True(t, complete)
	require.Equal(t, want, state)
	require.True(t, slices.IsSortedFunc(state.Accepted, func(a, b Accepted) int { return int(a.Version.Number - b.Version.Number) }))
}
