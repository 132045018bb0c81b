package control

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// guardSeeds bounds the search for a seed that shows a missing guard.
const guardSeeds = 400

// guardCases remove one safety rule each. The faults are those that the rule is
// made for; the seed is the first that shows the violation.
var guardCases = map[string]struct {
	guards guards
	faults []string
	finds  string
}{
	"home lease check":                {guards{keepLapsedLease: true}, []string{"isolation", "pause"}, ""},
	"recovery before suspects start":  {guards{skipRecovery: true, keepOldAssignments: true}, []string{"crash", "all-crash"}, "two places"},
	"fencing of withdrawn attempts":   {guards{skipFencing: true}, []string{"slow-bulk", "slow-bulk"}, ""},
	"lapse rule":                      {guards{lapseAtOnce: true}, []string{"isolation", "owner-worker-cut"}, ""},
	"assignments of a replaced lease": {guards{takeOldLeases: true, keepOldAssignments: true}, []string{"slow-bulk", "crash", "crash"}, ""},
	"read-back of the own log record": {guards{skipReadBack: true}, []string{"slow-readers", "crash"}, ""},
}

// Guards against checkers that would not see a missing safety rule: without the
// rule, some run has to show a violation, and with it the same run shows none.
func TestCheckersSeeMissingGuards(t *testing.T) {
	for name, test := range guardCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= guardSeeds; seed++ {
				w := build(seed, test.faults...)
				w.guards = test.guards
				simulate(w)
				if text := strings.Join(w.checks.violations, "\n"); len(text) > 0 && strings.Contains(text, test.finds) {
					t.Logf("seed %d: %.160s", seed, text)
					whole := simulate(build(seed, test.faults...))
					require.Empty(t, whole.checks.violations, "seed %d with every rule", seed)
					return
				}
			}
			require.Failf(t, "not found", "no run of %d shows that the rule is missing", guardSeeds)
		})
	}
}
