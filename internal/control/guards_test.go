package control

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxSeedsPerRule limits the seeds that are tried for one disabled rule.
const maxSeedsPerRule = 400

// disabledRules are cases that disable one safety rule each, with the faults
// against which the rule protects.
var disabledRules = map[string]struct {
	overrides overrides
	faults    []string
	// from is the first seed to try; the seeds after it follow in order.
	from uint64
}{
	"home lease check":                          {overrides{keepExpiredLease: true}, []string{"isolation", "pause"}, 10},
	"recovery before unresolved requests start": {overrides{skipRecovery: true, keepOldAssignments: true}, []string{"crash", "all-crash"}, 2},
	"fencing of withdrawn attempts":             {overrides{skipFencing: true}, []string{"slow-bulk", "slow-bulk"}, 1},
	"expiry rule":                               {overrides{expireAtOnce: true}, []string{"isolation", "owner-worker-cut"}, 1},
	"assignments of a replaced lease":           {overrides{acceptOldLeases: true, keepOldAssignments: true}, []string{"slow-bulk", "crash", "crash"}, 22},
	"read-back of the own log record":           {overrides{skipReadBack: true}, []string{"slow-readers", "crash"}, 53},
}

// Guards against checkers that do not detect a disabled safety rule: without the
// rule some run has to show a violation, and the same run with the rule shows none.
func TestCheckersDetectDisabledRules(t *testing.T) {
	for name, test := range disabledRules {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := test.from; seed < test.from+maxSeedsPerRule; seed++ {
				w := buildWorld(seed, test.faults...)
				w.overrides = test.overrides
				simulate(w)
				if text := strings.Join(w.checks.violations, "\n"); text != "" {
					t.Logf("seed %d: %.160s", seed, text)
					withRule := simulate(buildWorld(seed, test.faults...))
					require.Empty(t, withRule.checks.violations, "seed %d with every rule", seed)
					return
				}
			}
			require.Failf(t, "not found", "no run of %d shows that the rule is missing", maxSeedsPerRule)
		})
	}
}
