package load

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

var seed = flag.Uint64("load-seed", uint64(time.Now().UnixNano()), "seed of the random tests of package load")

// Guards against invalid mix files that are accepted, and against findings without
// the file, line, section and key.
func TestFindings(t *testing.T) {
	const valid = "[run]\nduration = 5s\n[arrivals a]\nteam = t\nkind = k\nrate = 1\nmilli-cpu = 100\n"
	for name, test := range map[string]struct{ text, want string }{
		"no arrivals":       {"[run]\nduration = 1s\n", "mix.ini: has no section"},
		"missing key":       {"[run]\n[arrivals a]\n", "mix.ini:1: [run] duration: is missing"},
		"unknown key":       {valid + "rat = 2\n", "mix.ini:8: [arrivals a] rat: unknown key"},
		"unknown section":   {valid + "[flod a]\n", "mix.ini:8: [flod a] unknown section"},
		"duplicate key":     {valid + "rate = 2\n", "mix.ini:8: [arrivals a] rate: is already set in line 6"},
		"duplicate section": {valid + "[run]\n", "mix.ini:8: [run] the section is already in line 1"},
		"bad number":        {valid + "gang-size = many\n", `mix.ini:8: [arrivals a] gang-size: must be a whole number from 0 to 1024, got "many"`},
		"not a number":      {valid + "failing = NaN\n", "mix.ini:8: [arrivals a] failing: must be a number"},
		"unknown value":     {valid + "process = uniform\n", "mix.ini:8: [arrivals a] process: must be one of poisson, fixed"},
		"unknown arrivals":  {valid + "[flood b]\nfrom = 1s\nuntil = 2s\nfactor = 2\n", "mix.ini:8: [flood b] there is no section [arrivals b]"},
		"flood past end":    {valid + "[flood a]\nfrom = 1s\nuntil = 9s\nfactor = 2\n", "mix.ini:8: [flood a] its times must be in order and within the run"},
		"before a section":  {"rate = 1\n" + valid, "mix.ini:1: rate: is set before the first section"},
		"too many requests": {valid + "[flood a]\nfrom = 0s\nuntil = 5s\nfactor = 10000\n[arrivals b]\nteam = t\nkind = k\nrate = 100000\nmilli-cpu = 1\n[flood b]\nfrom = 0s\nuntil = 5s\nfactor = 10\n", "mix.ini:1: [run] duration: the mix sends"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read("mix.ini", test.text)
			require.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against example mixes that are no longer valid.
func TestExampleMixes(t *testing.T) {
	files, err := filepath.Glob("../../examples/load/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := ReadFile(file)
		require.NoError(t, err)
	}
}

// Guards against arrivals that depend on anything but the seed, that lie outside
// From and Until, or that don't have the rate of the flood.
func TestSchedule(t *testing.T) {
	t.Logf("seed %d (-load-seed)", *seed)
	// The shift keeps the seed within the range that a mix file allows.
	mix, err := Read("mix.ini", fmt.Sprintf("[run]\nseed = %d\nduration = 20s\n[arrivals a]\nteam = t\nkind = k\nrate = 100\nfrom = 2s\nmilli-cpu = 1\n"+
		"[flood a]\nfrom = 10s\nuntil = 15s\nfactor = 10\n", *seed>>2))
	require.NoError(t, err)
	first, second := schedule(mix), schedule(mix)
	require.Equal(t, len(first), len(second))
	inFlood := 0
	for i := range first {
		require.Equal(t, first[i].dueAt, second[i].dueAt)
		require.True(t, first[i].dueAt >= 2*time.Second && first[i].dueAt < 20*time.Second)
		if first[i].dueAt >= 10*time.Second && first[i].dueAt < 15*time.Second {
			inFlood++
		}
	}
	// The counts have Poisson distributions with means of 5000 and 1300. The bounds
	// are at 6 standard deviations, so that a correct schedule fails less than once
	// in 10^8 runs.
	require.InDelta(t, 5000, inFlood, 6*71)
	require.InDelta(t, 1300, len(first)-inFlood, 6*36)
}

// answered returns a request with its correct answer and the start of its task.
func answered(index int) (*requestRecord, worker.StartRecord) {
	r := &requestRecord{arrivals: &Arrivals{Name: "a", GangSize: 1}, outcome: Answered}
	r.request()
	r.body, _ = json.Marshal(workervm.Echo{ID: placement.TaskID{Key: r.key}, PayloadDigest: r.digest, Worker: "w"})
	startedAtMS := int64(1000 + 100*index)
	return r, worker.StartRecord{ID: placement.TaskID{Key: r.key}, StartedAtMS: startedAtMS, EndedAtMS: startedAtMS + 50}
}

// Guards against checks that miss a fault. Each case adds one fault to a run
// without faults.
func TestCheck(t *testing.T) {
	for name, test := range map[string]struct {
		change func(r *requestRecord, states []worker.State)
		want   func(c *Checks) int
	}{
		"unanswered": {func(r *requestRecord, _ []worker.State) { r.outcome = Unanswered }, func(c *Checks) int { return c.Lost }},
		"job lost": {func(r *requestRecord, _ []worker.State) {
			r.outcome, r.accepted, r.code = MayHaveRun, true, workload.CodeOutcome
		},
			func(c *Checks) int { return c.Lost }},
		"wrong body": {func(r *requestRecord, _ []worker.State) {
			r.message = checkBody(r, &workload.Answer{Key: r.key, Body: []byte(`{}`)})
		},
			func(c *Checks) int { return c.Wrong }},
		"truncated body": {func(r *requestRecord, _ []worker.State) {
			r.message = checkBody(r, &workload.Answer{Key: r.key, Body: r.body[:len(r.body)-1]})
		}, func(c *Checks) int { return c.Wrong }},
		"never started": {func(_ *requestRecord, states []worker.State) { states[0].Started = states[0].Started[1:] }, func(c *Checks) int { return c.Wrong }},
		"refused but started": {func(r *requestRecord, _ []worker.State) { r.outcome, r.code = NotRun, workload.CodeTooLate },
			func(c *Checks) int { return c.FalselyRefused }},
		"ran twice at once": {func(_ *requestRecord, states []worker.State) {
			again := states[0].Started[0]
			again.ID.Attempt, again.StartedAtMS = 1, again.StartedAtMS+10
			states[1].Started = append(states[1].Started, again)
		}, func(c *Checks) int { return c.Doubled }},
		"non-idempotent started twice": {func(r *requestRecord, states []worker.State) {
			r.arrivals.NonIdempotent = true
			again := states[0].Started[0]
			again.ID.Attempt, again.StartedAtMS, again.EndedAtMS = 1, again.EndedAtMS+10, again.EndedAtMS+20
			states[1].Started = append(states[1].Started, again)
		}, func(c *Checks) int { return c.Doubled }},
	} {
		t.Run(name, func(t *testing.T) {
			var records []*requestRecord
			states := []worker.State{{Worker: placement.Worker{Name: "w"}}, {Worker: placement.Worker{Name: "v"}}}
			for i := range 3 {
				r, started := answered(i)
				r.message = checkBody(r, &workload.Answer{Key: r.key, Body: r.body})
				records, states[0].Started = append(records, r), append(states[0].Started, started)
			}
			clean := check(time.UnixMilli(0), records, states)
			require.Empty(t, clean.Faults(), clean.Examples)
			test.change(records[0], states)
			broken := check(time.UnixMilli(0), records, states)
			require.Equal(t, 1, test.want(&broken))
			require.Len(t, broken.Faults(), 1)
		})
	}
}

// Guards against a packing measurement that counts ended tasks, that misses
// waiting work, or that misses free accelerators on a worker without enough CPU.
func TestPacking(t *testing.T) {
	runStart := time.UnixMilli(1_000_000)
	vm := placement.Worker{Name: "w", Capacity: workload.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 4}, Slots: 4}
	states := []worker.State{{Worker: vm, Started: []worker.StartRecord{{
		ID: placement.TaskID{Key: "a"}, Resources: workload.Resources{MilliCPU: 900, Accelerators: 1},
		StartedAtMS: runStart.UnixMilli(), EndedAtMS: runStart.UnixMilli() + 1000,
	}}}}
	waiting := &requestRecord{
		arrivals: &Arrivals{Resources: workload.Resources{MilliCPU: 200, Accelerators: 1}}, key: "b",
		outcome: Answered, sentAt: 200 * time.Millisecond, doneAt: 900 * time.Millisecond,
	}
	points := packingOverTime(runStart, 2*time.Second, []*requestRecord{waiting}, states)
	got := packing(Window{From: 0, Until: 2 * time.Second}, points)
	require.InDelta(t, 0.35, got.WaitingShare, 1e-9)
	require.InDelta(t, 0.9, got.Mean, 1e-9)
	require.Equal(t, "milli-cpu", got.Scarcest)
	require.InDelta(t, 3, got.StrandedAccelerators, 1e-9)
	require.Zero(t, points[10].CPU)
}

// Guards against a JSON report that can't be read back for a comparison, and
// against an HTML report that needs other files.
func TestReportFormats(t *testing.T) {
	mix, err := Read("mix.ini", "[run]\nduration = 3s\n[arrivals a]\nteam = t\nkind = k\nrate = 50\nmilli-cpu = 1\n[flood a]\nfrom = 1s\nuntil = 2s\nfactor = 2\n")
	require.NoError(t, err)
	r := &run{options: Options{Mix: mix}, records: schedule(mix), traffic: newTrafficMeter(nil)}
	for _, record := range r.records {
		record.request()
		record.outcome, record.sentAt, record.doneAt = Answered, record.dueAt, record.dueAt+10*time.Millisecond
	}
	report := r.report(nil)
	require.InDelta(t, 10, report.Windows[0].findWait("a").CallerWait.P99, 0.1)
	var text, page bytes.Buffer
	require.NoError(t, report.WriteJSON(&text))
	read := &Report{}
	require.NoError(t, json.Unmarshal(text.Bytes(), read))
	comparison := Compare(read, report)
	for _, row := range comparison.Rows {
		require.True(t, row.Ratio == 0 || row.Ratio == 1, row)
	}
	require.NoError(t, report.WriteHTML(&page))
	require.Contains(t, page.String(), "<svg")
	require.NotContains(t, page.String(), "src=")
}
