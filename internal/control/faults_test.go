package control

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	seedFlag    = flag.Uint64("seed", 0, "run this seed alone and print what happens")
	keyFlag     = flag.String("key", "", "a key that the run of -seed explains as well")
	verboseFlag = flag.Bool("messages", false, "print every message of the run of -seed")
	faultsFlag  = flag.String("faults", "", "faults of the run of -seed, separated by commas")
)

// defaultSeedCount is the number of seeds that run without CONTROL_SEEDS.
const defaultSeedCount = 30

// regressionSeeds are seeds whose runs once violated a rule. The other seeds that
// run by default did not show these faults: a retry of a listed task before
// recovery was complete, a drain while no member was ready, and a handover of a
// job held in a log outage.
var regressionSeeds = []uint64{180, 370, 698, 827, 1180, 1351, 1664}

// Guards against the return of faults that only single seeds have shown.
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range regressionSeeds {
		w := simulate(buildWorld(seed))
		require.Empty(t, w.checks.violations, "seed %d", seed)
	}
}

// Guards against violations of the safety and liveness rules under two faults
// at a time. CONTROL_SEEDS sets the number of seeds.
func TestRunsWithTwoFaults(t *testing.T) {
	if *seedFlag != 0 {
		runSeed(t)
		return
	}
	seeds := defaultSeedCount
	if text := os.Getenv("CONTROL_SEEDS"); text != "" {
		count, err := strconv.Atoi(text)
		require.NoError(t, err)
		seeds = count
	}
	var mu sync.Mutex
	next, failed := uint64(0), 0
	var group sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for {
				mu.Lock()
				next++
				seed := next
				mu.Unlock()
				if seed > uint64(seeds) {
					return
				}
				w := simulate(buildWorld(seed))
				mu.Lock()
				if len(w.checks.violations) > 0 {
					failed++
					t.Errorf("seed %d: %s", seed, strings.Join(w.checks.violations, "\n\t"))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d seeds failed; repeat one with -run TestRunsWithTwoFaults -seed N", failed, seeds)
}

func runSeed(t *testing.T) {
	var faults []string
	if *faultsFlag != "" {
		faults = strings.Split(*faultsFlag, ",")
	}
	w := buildWorld(*seedFlag, faults...)
	w.trace = func(format string, arguments ...any) {
		fmt.Printf("%8.3fs "+format+"\n", append([]any{w.now.Seconds()}, arguments...)...)
	}
	w.verbose = *verboseFlag
	simulate(w)
	w.explain()
	require.Empty(t, w.checks.violations, "seed %d", *seedFlag)
}

// Guards against outputs that depend on the iteration order of a map or on
// anything but the inputs: two runs of a seed have to give the same outputs.
func TestSameInputsGiveSameOutputs(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		first, second := buildWorld(seed), buildWorld(seed)
		first.hashOutputs, second.hashOutputs = true, true
		simulate(first)
		simulate(second)
		require.Equal(t, first.digest.Sum64(), second.digest.Sum64(), "seed %d", seed)
	}
}
