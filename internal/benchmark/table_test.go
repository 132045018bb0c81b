package benchmark

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
)

var (
	full     = flag.Bool("full", false, "run the whole table")
	seed     = flag.Uint64("seed", 1, "the seed of all scenarios")
	document = flag.String("document", "", "the page to write the whole table into")
)

// The table is written into the page between these lines.
const (
	tableStart = "<!-- begin of the table of make bench -->\n"
	tableEnd   = "<!-- end of the table of make bench -->"
)

// Guards against an engine that misses a target of the design page. Without the flag
// -full it runs the short form and requires that every row meets its target. With
// -full it prints the whole table without requiring the targets, because the figures
// depend on the machine.
func TestTable(t *testing.T) {
	t.Log("seed", *seed)
	if *full {
		table := Run(targetSize, *seed)
		fmt.Print(table.Markdown())
		requireNoViolations(t, table)
		writeTable(t, table)
		return
	}
	table := RunShort(*seed)
	requireNoViolations(t, table)
	for _, row := range table.Rows {
		t.Run(row.Measure, func(t *testing.T) {
			require.True(t, row.Met(), row.markdown())
		})
	}
}

func requireNoViolations(t *testing.T, table *Table) {
	for _, c := range table.comparisons {
		for _, sim := range c.runs() {
			require.Empty(t, sim.fleet.violations, "%s, %s", c.title(), sim.name)
		}
	}
}

func writeTable(t *testing.T, table *Table) {
	if *document == "" {
		return
	}
	page, err := os.ReadFile(*document)
	require.NoError(t, err)
	before, rest, found := strings.Cut(string(page), tableStart)
	require.True(t, found, "no line %q", tableStart)
	_, after, found := strings.Cut(rest, tableEnd)
	require.True(t, found, "no line %q", tableEnd)
	require.NoError(t, os.WriteFile(*document, []byte(before+tableStart+"\n"+table.Markdown()+"\n"+tableEnd+after), 0o644))
}

// Guards against losing more than 8 tasks to a failing worker with seeds other than
// the default.
func TestBlackHoleFailuresAreBounded(t *testing.T) {
	for s := range uint64(10) {
		for _, name := range []string{nameBlackHole, nameBlackHoleCold} {
			sim := blackHoleScenario(name).run(newPlacementEngine(), smallSize, *seed+s)
			t.Log("seed", *seed+s, name, "lost", sim.failedBeforeQuarantine)
			require.LessOrEqual(t, sim.failedBeforeQuarantine, maxBlackHoleFailures)
			require.True(t, sim.failingQuarantined)
			require.Empty(t, sim.fleet.violations)
		}
	}
}

// Guards against lending so many slots of a small fleet that guaranteed work has to
// wait for preemptions. A reserve that is a fixed share of few slots is smaller than
// the random variation of the demand.
func TestGuaranteedWaitOnSmallFleet(t *testing.T) {
	for s := range uint64(4) {
		for _, verb := range []placement.Verb{"", placement.VerbCheckpoint} {
			sim := overloadScenario(nameMostUrgent, "alarm", overloadPolicy(verb)).run(newPlacementEngine(), smallSize, *seed+s)
			t.Log("seed", *seed+s, "preemption", verb, "p99 wait ratio", worstWaitRatio(sim), "packing", sim.metrics.packingMean())
			require.LessOrEqual(t, worstWaitRatio(sim), maxWaitRatio)
			require.Empty(t, sim.fleet.violations)
		}
	}
}

// Guards against runs that differ although their seed is the same.
func TestRunsAreReproducible(t *testing.T) {
	small := Size{Plain: 6, Accelerators: 3, Seconds: 5}
	for _, sc := range scenarios() {
		var reports [2]string
		for i := range reports {
			sim := sc.run(newPlacementEngine(), small, *seed)
			sim.metrics.engineTime = 0
			sim.metrics.callTimes.Reset()
			reports[i] = sim.summaryRow("") + sim.waitRows("")
		}
		require.Equal(t, reports[0], reports[1], sc.name)
	}
}

// Guards against strategies that do no better than a random choice when estimates
// are wrong and the ends of requests are recorded late. The p99 response time of the
// strategies that compare estimated response times or outstanding requests must be
// less than a third of that of a random choice.
func TestUpstreamStrategies(t *testing.T) {
	t.Log("seed", *seed)
	p99 := map[string]int64{}
	for _, r := range runUpstreams(*seed) {
		if !r.atDispatch && r.load == upstreamLoads[0] {
			p99[r.strategy] = r.p99.Milliseconds()
		}
	}
	require.Len(t, p99, 8)
	for _, strategy := range []string{"least-estimated-response", "least-outstanding", "two-choices"} {
		require.Less(t, 3*p99[strategy], p99["random"], strategy)
	}
}
