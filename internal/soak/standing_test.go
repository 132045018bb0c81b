package soak_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/platform/standin"
)

// The rule for a standing task: it may not lack a run for lackTime from lackGrace after the
// end of its last run, in a time that is calm and was so for calmTime.
const (
	lackGrace = 6 * time.Second
	lackTime  = 3 * time.Second
	calmTime  = 4 * time.Second
)

// impairment is a time in which the rule doesn't count, with calmTime after it.
type impairment struct{ from, to time.Time }

// missingRuns returns the violations of the rule for standing tasks. Runs without an end go
// on. It considers the time from the first run of a task until the given one.
func missingRuns(runs []standin.Run, impairments []impairment, until time.Time) (violations []string) {
	byTask := map[string][]standin.Run{}
	for _, run := range runs {
		if run.EndedAt.IsZero() {
			run.EndedAt = until
		}
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.StartedAt.Compare(b.StartedAt) })
		last := runs[0]
		for _, next := range append(runs[1:], standin.Run{StartedAt: until, EndedAt: until}) {
			if due := runDueBy(last.EndedAt, impairments); next.StartedAt.After(due) {
				violations = append(violations, fmt.Sprintf("%s had no run for %s after run %d on %s, %s longer than allowed",
					task, next.StartedAt.Sub(last.EndedAt).Round(time.Millisecond), last.Number, last.Worker, next.StartedAt.Sub(due).Round(time.Millisecond)))
			}
			if next.EndedAt.After(last.EndedAt) {
				last = next
			}
		}
	}
	slices.Sort(violations)
	return violations
}

// runDueBy returns until when a standing task must have a run again.
func runDueBy(ended time.Time, impairments []impairment) time.Time {
	from := ended.Add(lackGrace)
	for changed := true; changed; {
		changed = false
		for _, i := range impairments {
			if calm := i.to.Add(calmTime); from.Before(calm) && i.from.Before(from.Add(lackTime)) {
				from, changed = calm, true
			}
		}
	}
	return from.Add(lackTime)
}

// Guards against a check that misses a standing task without a run, or counts a time in which
// the rule doesn't.
func TestMissingRuns(t *testing.T) {
	t.Parallel()
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	for name, c := range map[string]struct {
		second      int // when the second run starts; 0 for none
		until       int
		impairments []impairment
		violated    bool
	}{
		"in time":                       {19, 30, nil, false},
		"late":                          {20, 30, nil, true},
		"never":                         {0, 20, nil, true},
		"not yet":                       {0, 19, nil, false},
		"in time after an impairment":   {22, 30, []impairment{{at(8), at(15)}}, false},
		"late after an impairment":      {23, 30, []impairment{{at(8), at(15)}}, true},
		"in time after a second one":    {27, 30, []impairment{{at(20), at(20)}, {at(8), at(15)}}, false},
		"late before an impairment":     {23, 30, []impairment{{at(21), at(25)}}, true},
		"impaired while it has a run":   {20, 30, []impairment{{at(2), at(4)}}, true},
		"overlaps the end of the first": {9, 30, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := []standin.Run{{Task: "a", Number: 1, StartedAt: at(1), EndedAt: at(10)}}
			if c.second > 0 {
				runs = append(runs, standin.Run{Task: "a", Number: 2, StartedAt: at(c.second)})
			}
			require.Equal(t, c.violated, len(missingRuns(runs, c.impairments, at(c.until))) > 0)
		})
	}
}
