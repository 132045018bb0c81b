package alarm_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"yuccalanding.example/yuccalanding/internal/alarm"
)

var update = flag.Bool("update", false, "write docs/alarms.md from the table")

const page = "../../docs/alarms.md"

// Guards against a docs/alarms.md that differs from the table, and against a
// condition without a description, a remedy or an action.
func TestPageMatchesTable(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(alarm.Markdown()), 0o644))
	}
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, alarm.Markdown(), string(content), "run: go test ./internal/alarm -update")
	names := map[string]bool{}
	for _, c := range alarm.Table() {
		require.False(t, names[c.Name], c.Name)
		names[c.Name] = true
		for _, text := range []string{c.Name, c.Description, c.Remedy, c.Affected, c.Action} {
			require.NotEmpty(t, text, c.Name)
		}
		require.Greater(t, c.RaiseAfter, time.Duration(0), c.Name)
		require.Greater(t, c.ClearAfter, time.Duration(0), c.Name)
	}
}

var start = time.Unix(1_000_000, 0)

func activeIf(held bool) []alarm.ActiveCondition {
	if !held {
		return nil
	}
	return []alarm.ActiveCondition{{Condition: alarm.NodeFenced, Subject: "entry-1"}}
}

// Guards against an alarm for a condition that ends before RaiseAfter, and
// against a flapping condition that raises an alarm more than once. The
// condition starts and ends at random times during ReopenPeriod.
func TestFlappingRaisesOneAlarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := alarm.New(), start
		transitions := map[alarm.Transition]int{}
		var longest, held time.Duration
		for now.Sub(start) < alarm.ReopenPeriod {
			active := rapid.Bool().Draw(t, "active")
			length := time.Duration(rapid.IntRange(1, 240).Draw(t, "seconds")) * time.Second
			for end := now.Add(length); now.Before(end); now = now.Add(time.Second) {
				for _, change := range tracker.Observe(now, activeIf(active)) {
					transitions[change.Transition]++
					require.Equal(t, "node-fenced/entry-1", change.Alarm.Identity)
				}
				if held += time.Second; !active {
					held = 0
				}
				longest = max(longest, held)
			}
		}
		require.LessOrEqual(t, transitions[alarm.Raised], 1)
		require.LessOrEqual(t, transitions[alarm.Returned], 1)
		require.Equal(t, longest > alarm.NodeFenced.RaiseAfter, transitions[alarm.Raised] == 1, "the condition held for at most %s", longest)
	})
}

// Guards against an alarm that is not cleared after its condition ended, an alarm
// that is cleared by a short absence, and a pause of the process that is counted
// as time for which the condition held.
func TestRaiseAndClear(t *testing.T) {
	raiseAfter, clearAfter := alarm.NodeFenced.RaiseAfter, alarm.NodeFenced.ClearAfter
	type phase struct {
		active bool
		length time.Duration
		// pause is the time without observations before the phase.
		pause       time.Duration
		alarmCount  int
		transitions []alarm.Transition
	}
	for name, phases := range map[string][]phase{
		"held":           {{true, raiseAfter + time.Second, 0, 1, []alarm.Transition{alarm.Raised}}, {false, clearAfter + time.Second, 0, 0, []alarm.Transition{alarm.Cleared}}},
		"held too short": {{true, raiseAfter, 0, 0, nil}, {false, time.Second, 0, 0, nil}, {true, raiseAfter, 0, 0, nil}},
		"short absence":  {{true, raiseAfter + time.Second, 0, 1, []alarm.Transition{alarm.Raised}}, {false, clearAfter, 0, 1, nil}, {true, time.Second, 0, 1, nil}},
		"pause":          {{true, raiseAfter / 2, 0, 0, nil}, {true, raiseAfter, raiseAfter, 0, nil}, {true, time.Second, 0, 1, []alarm.Transition{alarm.Raised}}},
		"returns": {
			{true, raiseAfter + time.Second, 0, 1, []alarm.Transition{alarm.Raised}}, {false, clearAfter + time.Second, 0, 0, []alarm.Transition{alarm.Cleared}},
			{true, raiseAfter + time.Second, 0, 1, []alarm.Transition{alarm.Returned}}, {false, alarm.ReopenPeriod, 0, 1, nil}, {false, time.Second, 0, 0, []alarm.Transition{alarm.Cleared}},
		},
		"again after the reopen period": {
			{true, raiseAfter + time.Second, 0, 1, []alarm.Transition{alarm.Raised}}, {false, alarm.ReopenPeriod + time.Second, 0, 0, []alarm.Transition{alarm.Cleared}},
			{true, raiseAfter + time.Second, 0, 1, []alarm.Transition{alarm.Raised}},
		},
	} {
		tracker, now := alarm.New(), start
		for i, p := range phases {
			now = now.Add(p.pause)
			var transitions []alarm.Transition
			for end := now.Add(p.length); now.Before(end); now = now.Add(time.Second) {
				for _, change := range tracker.Observe(now, activeIf(p.active)) {
					transitions = append(transitions, change.Transition)
				}
			}
			require.Equal(t, p.transitions, transitions, "%s, phase %d", name, i)
			require.Len(t, tracker.Alarms(), p.alarmCount, "%s, phase %d", name, i)
		}
	}
}

// Guards against conditions that are not detected, that are detected in a
// healthy cell, or that have different identities on different nodes.
func TestActiveConditions(t *testing.T) {
	healthy := func() alarm.State {
		return alarm.State{
			Now: start, Name: "entry-1", Region: "punjab", LogUp: true, QuarantineBound: 1, Workers: map[string]int{"punjab": 4},
			Members: []alarm.Member{
				{Name: "entry-1", Region: "punjab", Live: true, Sessions: 2, Version: 7, Digest: 1},
				{Name: "entry-2", Region: "punjab", Live: true, Sessions: 2, Version: 7, Digest: 1},
				{Name: "entry-3", Region: "sindh", Live: true, Version: 7, Digest: 1},
				{Name: "entry-4", Region: "sindh", Version: 3, Digest: 9},
			},
		}
	}
	for name, c := range map[string]struct {
		modify func(s *alarm.State)
		want   []string
	}{
		"healthy":                {func(*alarm.State) {}, nil},
		"log down, no jobs":      {func(s *alarm.State) { s.LogUp = false }, nil},
		"log down":               {func(s *alarm.State) { s.LogUp, s.HeldJobs = false, 3 }, []string{"log-down/log"}},
		"worker without owner":   {func(s *alarm.State) { s.Members[1].Sessions = 1 }, []string{"workers-without-owner/punjab"}},
		"workers of two regions": {func(s *alarm.State) { s.Workers["sindh"], s.Members[0].Sessions = 5, 0 }, []string{"workers-without-owner/punjab", "workers-without-owner/sindh"}},
		"region lost":            {func(s *alarm.State) { s.Workers["sindh"], s.Members[2].Live = 5, false }, []string{"region-lost/sindh"}},
		"range without home":     {func(s *alarm.State) { s.TeamsWithoutHome = []string{"ledger"} }, []string{"range-without-home/punjab"}},
		"quarantine":             {func(s *alarm.State) { s.Quarantined, s.QuarantineBound = []string{"worker-1"}, 2 }, nil},
		"quarantine bound":       {func(s *alarm.State) { s.Quarantined = []string{"worker-1"} }, []string{"quarantine-bound/punjab"}},
		"class blamed":           {func(s *alarm.State) { s.FaultyClasses = []alarm.Occurrence{{Name: "scoring", LastSeen: start}} }, []string{"class-blamed/scoring"}},
		"class blamed long ago": {func(s *alarm.State) {
			s.FaultyClasses = []alarm.Occurrence{{Name: "scoring", LastSeen: start.Add(-time.Hour)}}
		}, nil},
		"outcome unknown":   {func(s *alarm.State) { s.UnknownOutcomes = []alarm.Occurrence{{Name: "key", LastSeen: start}} }, []string{"outcome-unknown/entry-1"}},
		"fenced":            {func(s *alarm.State) { s.Isolated = true }, []string{"node-fenced/entry-1"}},
		"this node behind":  {func(s *alarm.State) { s.Members[1].Version = 8 }, []string{"policy-behind/entry-1", "policy-behind/entry-3"}},
		"other node behind": {func(s *alarm.State) { s.Members[1].Version = 6 }, []string{"policy-behind/entry-2"}},
		"records missing":   {func(s *alarm.State) { s.PolicyIncomplete = true }, []string{"policy-incomplete/entry-1"}},
		"contents differ":   {func(s *alarm.State) { s.Members[1].Digest = 2 }, []string{"policy-differs/configuration"}},
		"stale VM list":     {func(s *alarm.State) { s.VMListAge = time.Hour }, []string{"vm-list-stale/vm-list"}},
	} {
		state := healthy()
		c.modify(&state)
		var identities []string
		for _, active := range alarm.ActiveConditions(state) {
			identities = append(identities, active.Identity())
		}
		require.Equal(t, c.want, identities, name)
	}
}
