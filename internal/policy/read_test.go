package policy

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Guards against faults that are accepted, that are not reported because another
// fault was reported first, or that are reported with a wrong position.
func TestFindings(t *testing.T) {
	for name, test := range map[string]struct {
		files []File
		want  []string
	}{
		"unknown key": {
			[]File{{"a.ini", "# c\n[kind bake]\nqueue-bond = 3\n"}},
			[]string{"a.ini:3 [kind bake] queue-bond: unknown key; did you mean queue-bound?"},
		},
		"unknown section": {
			[]File{{"a.ini", "[kid bake]\nnot checked\n[team]\nweigt = 1\n[limits x]\n[open"}},
			[]string{
				"a.ini:1 [kid bake]: unknown type of section; did you mean kind?",
				"a.ini:3 [team]: needs a name of lower-case letters, digits and single hyphens, at most 64 characters",
				"a.ini:4 [team] weigt: unknown key; did you mean weight?",
				"a.ini:5 [limits x]: this section has no name",
				"a.ini:6: a section header has the form [kind NAME], [team NAME] or [limits]",
			},
		},
		"syntax": {
			[]File{{"a.ini", "weight = 1\n[team a]\nweight\n= 1\nweight = \"\"\"1\n"}},
			[]string{
				"a.ini:1: this line stands before the first section",
				"a.ini:3 [team a]: a line has the form key = value",
				"a.ini:4 [team a]: a line has the form key = value",
				"a.ini:5 [team a] weight: a value is not quoted",
			},
		},
		"duplicates within one file": {
			[]File{{"a.ini", "[team a]\nweight = 1\nweight = 2\n[kind b]\n[team  a]\nmemory-mb = 1\nweight = x"}},
			[]string{
				"a.ini:3 [team a] weight: the key is already in line 2 of this section",
				"a.ini:5 [team a]: the section is already in line 1 of this file",
				"a.ini:7 [team a] weight: the key is already in line 2 of this section",
			},
		},
		"values in two files": {
			[]File{
				{"b.ini", "[team a]\nguarantee = 1.1 ; too much\nmilli-cpu = -1\n"},
				{"a.ini", "[kind a]\nweight = 0\ndeadline = -1500ms\npreemption = kill\nurgency =\nceiling = NaN\n"},
			},
			[]string{
				`a.ini:2 [kind a] weight: must be a whole number from 1 to 1000000, got "0"`,
				`a.ini:3 [kind a] deadline: must be a duration of whole milliseconds from 0s to 720h0m0s, like 1500ms, got "-1500ms"`,
				`a.ini:4 [kind a] preemption: must be one of none, checkpoint, throttle, stop, got "kill"`,
				`a.ini:5 [kind a] urgency: must be a whole number from 0 to 1000, got ""`,
				`a.ini:6 [kind a] ceiling: must be a share from 0 to 1, got "NaN"`,
				`b.ini:2 [team a] guarantee: must be a share from 0 to 1, got "1.1"`,
				`b.ini:3 [team a] milli-cpu: must be a whole number from 0 to 1000000000, got "-1"`,
			},
		},
		"rules over the merged set": {
			[]File{
				{"a.ini", "[kind a]\nguaranteed-share = 0.6\n[kind b]\nguaranteed-share = 0.5\n[team a]\nguarantee = 1\n"},
				{"b.ini", "[kind a]\nceiling = 0.3\n[team b]\nguarantee = 0.01\n"},
			},
			[]string{
				"a.ini:4 [kind b] guaranteed-share: the sum over all sections is 1.1, more than 1: a 0.6, b 0.5",
				"b.ini:2 [kind a] ceiling: the ceiling 0.3 is below the guaranteed share 0.6",
				"b.ini:4 [team b] guarantee: the sum over all sections is 1.01, more than 1: a 1, b 0.01",
			},
		},
		"not text": {
			[]File{{"a.ini", "\xff\n"}, {"b.ini", strings.Repeat(" ", MaxFileBytes+1)}},
			[]string{"a.ini: a file is UTF-8 text of at most 1048576 bytes", "b.ini: a file is UTF-8 text of at most 1048576 bytes"},
		},
		"no files": {nil, []string{": a configuration has 1 to 256 files, got 0"}},
	} {
		t.Run(name, func(t *testing.T) {
			set, findings := Read(test.files)
			require.Nil(t, set)
			require.Equal(t, strings.Join(test.want, "\n"), findings.Error())
			require.Len(t, findings.Workload(), len(test.want))
		})
	}
	_, findings := Read([]File{{"a.ini", strings.Repeat("[team a]\n", MaxFindings+9)}})
	require.Len(t, findings, MaxFindings+1)
	require.Equal(t, Finding{File: "a.ini", Message: "there are more than 1000 findings; the rest is not shown"}, findings[0])
}

// Guards against wrong defaults, values in the wrong field, a merge that is not in
// the order of the names, and a digest that depends on the layout of the files.
func TestRead(t *testing.T) {
	set, findings := Read([]File{
		{"b.ini", "\uFEFF[ kind  bake ] # x\r\nurgency = 7\r\nweight = 3 ; y\nqueue-bound=9\npreemption = none\n"},
		{"a.ini", "[kind bake]\nweight = 2\nguaranteed-share = .5\nceiling = 0.75\ndeadline = 1.5s\npreemption = stop\nretry-budget = 1\n" +
			"[team a]\nweight = 4\nmilli-cpu = 5\nmemory-mb = 6\naccelerators = 0\nrunning-tasks = 8\nguarantee = 1\n[team b]\n" +
			"[limits]\nwaiting-tasks = 10\ngang-size = 11\nquarantined-share = 0.2\n[kind zero]\n"},
	})
	require.Empty(t, findings)
	bake := Kind{Name: "bake", Urgency: 7, Weight: 3, GuaranteedShare: 0.5, Ceiling: 0.75, QueueBound: 9, Deadline: 1500 * time.Millisecond, RetryBudget: 1}
	require.Equal(t, []Kind{bake, {Name: "zero", Weight: 1, Ceiling: 1, RetryBudget: 0.1}}, set.Kinds())
	unlimited := workload.Resources{MilliCPU: Unlimited, MemoryMB: Unlimited, Accelerators: Unlimited}
	require.Equal(t, []Team{
		{Name: "a", Weight: 4, Quota: workload.Resources{MilliCPU: 5, MemoryMB: 6}, RunningTasks: 8, Guarantee: 1},
		{Name: "b", Weight: 1, Quota: unlimited, RunningTasks: Unlimited},
	}, set.Teams())
	require.Equal(t, Limits{WaitingTasks: 10, GangSize: 11, QuarantinedShare: 0.2}, set.Limits())
	require.Equal(t, placement.KindPolicy{Name: "bake", Urgency: 7, Weight: 3, Guaranteed: 0.5, Ceiling: 0.75, QueueBound: 9, Deadline: 1500 * time.Millisecond},
		set.Placement().Kinds[0])
	require.Equal(t, []placement.TeamPolicy{{Name: "a", Weight: 4}, {Name: "b", Weight: 1}}, set.Placement().Teams)
	same, findings := Read([]File{{"c.ini", set.Text()}})
	require.Empty(t, findings)
	require.Equal(t, set.Digest(), same.Digest())
	kind, found := set.Kind("bake")
	require.True(t, found)
	require.Equal(t, bake, kind)
	_, found = set.Team("c")
	require.False(t, found)
}

// Guards against invalid examples, which operators copy, and against a folder
// reader that reads other files or omits some.
func TestExamples(t *testing.T) {
	for name, want := range map[string]struct{ files, kinds, teams int }{
		"ravi-levy": {4, 6, 4},
		"guild":     {5, 6, 5},
	} {
		t.Run(name, func(t *testing.T) {
			files, err := ReadFolder("../../examples/" + name)
			require.NoError(t, err)
			set, findings := Read(files)
			require.Empty(t, findings)
			require.Len(t, set.Kinds(), want.kinds)
			require.Len(t, set.Teams(), want.teams)
			require.Len(t, files, want.files)
		})
	}
	_, err := ReadFolder(t.TempDir())
	require.ErrorContains(t, err, "has no *.ini files")
	_, err = ReadFolder("testdata/missing")
	require.Error(t, err)
}

// Guards against input that crashes the reader, findings without a position, and a
// canonical form that is not read as the same set. Saved inputs are in
// testdata/fuzz/FuzzRead.
func FuzzRead(f *testing.F) {
	f.Fuzz(func(t *testing.T, first, second string) {
		files := []File{{"1.ini", first}, {"2.ini", second}}
		set, findings := Read(files)
		for _, finding := range findings {
			require.NotEmpty(t, finding.Message)
			require.NotEmpty(t, finding.File)
			require.LessOrEqual(t, finding.Line, 1+strings.Count(first, "\n")+strings.Count(second, "\n"))
		}
		if len(findings) > 0 {
			require.Nil(t, set)
			return
		}
		same, findings := Read([]File{{"1.ini", set.Text()}})
		require.Empty(t, findings)
		require.Equal(t, set.Digest(), same.Digest())
		require.Equal(t, set.Placement(), same.Placement())
		require.Empty(t, Diff(set, same, 0).Sections)
	})
}
