package node_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/cell"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/internal/standin/logservice"
)

var (
	seed     = flag.Uint64("seed", 0, "seed of the random faults; 0 takes one from the clock")
	faultRun = flag.Duration("fault-run", 8*time.Second, "length of the run with random faults")
)

// convergenceChecker collects the versions that nodes have in force and the answers
// to operators, and notes contradictions.
type convergenceChecker struct {
	mu sync.Mutex
	// digests holds the digest of each version that was seen in force.
	digests    map[uint64]uint64
	violations []string
	// accepted are the changes that were answered as accepted.
	accepted []operator.Change
	// refused are the identities of the changes that were answered as not accepted.
	refused []string
}

// violation notes a contradiction.
func (checker *convergenceChecker) violation(format string, arguments ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.violations = append(checker.violations, fmt.Sprintf(format, arguments...))
}

// observe notes a version in force; its digest must be the same on all nodes.
func (checker *convergenceChecker) observe(version, digest uint64) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if known, found := checker.digests[version]; found && known != digest {
		checker.violations = append(checker.violations, fmt.Sprintf("version %d has digests %x and %x", version, known, digest))
	}
	checker.digests[version] = digest
}

// watch samples the version in force on one node until the context ends. A restarted
// node needs another call, since its version starts again at 0.
func (checker *convergenceChecker) watch(ctx context.Context, n *cell.Node) {
	process, last := n.Process, uint64(0)
	for ctx.Err() == nil {
		viewContext, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		view, err := process.View(viewContext)
		cancel()
		if err == nil {
			if view.PolicyVersion < last {
				checker.violation("%s went from version %d to %d", n.Spec.Name, last, view.PolicyVersion)
			}
			last = view.PolicyVersion
			if last > 0 {
				checker.observe(last, view.PolicyDigest)
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// operate applies random changes as one operator until the context ends.
func (checker *convergenceChecker) operate(ctx context.Context, c *cell.Cell, random *rand.Rand, nodes []string) {
	for ctx.Err() == nil {
		address := nodes[random.IntN(len(nodes))]
		config, err := callAt[operator.Config](ctx, address, http.MethodGet, "/config", nil)
		if err == nil {
			body := folder(config.Version, fmt.Sprintf("[kind kind-%d]\nweight = %d\n", random.IntN(3), 2+random.IntN(1000)))
			body.Identity = fmt.Sprintf("change-%d", random.Uint64())
			change, err := callAt[operator.Change](ctx, address, http.MethodPost, "/config/apply", body)
			var failure *operator.Failure
			checker.mu.Lock()
			switch {
			case err == nil:
				checker.accepted = append(checker.accepted, change)
			case errors.As(err, &failure) && failure.Status != http.StatusGatewayTimeout:
				checker.refused = append(checker.refused, body.Identity)
			}
			checker.mu.Unlock()
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// Several operators apply changes while nodes are killed and the log is down, slow or
// loses answers. Guards against versions that decrease, nodes with different contents
// of one version, and accepted changes that are lost.
func TestConfigurationConvergesUnderFaults(t *testing.T) {
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", *seed)
	random := rand.New(rand.NewPCG(*seed, 1))
	c, ctx := startCell(t, 3)
	checker := &convergenceChecker{digests: map[uint64]uint64{}}
	var nodes []string
	for _, n := range c.Nodes {
		nodes = append(nodes, n.Settings.Addresses.Operators.String())
	}
	faultContext, stop := context.WithTimeout(ctx, *faultRun)
	defer stop()
	var group sync.WaitGroup
	for i := range 3 {
		operatorRandom := rand.New(rand.NewPCG(*seed, uint64(10+i)))
		group.Go(func() { checker.operate(faultContext, c, operatorRandom, nodes) })
	}
	watchers := make([]context.CancelFunc, 3)
	start := func(i int) {
		watchContext, cancel := context.WithCancel(ctx)
		watchers[i] = cancel
		n := *c.Nodes[i]
		group.Go(func() { checker.watch(watchContext, &n) })
	}
	for i := range 3 {
		start(i)
	}
	kills, outages := 0, 0
	for faultContext.Err() == nil {
		switch random.IntN(4) {
		case 0:
			i := random.IntN(3)
			watchers[i]()
			require.NoError(t, c.KillNode(i))
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			require.NoError(t, c.StartNode(i))
			start(i)
			kills++
		case 1:
			c.Log.SetFault(logservice.Fault{Outage: true})
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			outages++
		case 2:
			c.Log.SetFault(logservice.Fault{AppendDelayMS: random.Int64N(400), DropResponses: random.IntN(3)})
		case 3:
			c.Log.SetFault(logservice.Fault{})
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	c.Log.SetFault(logservice.Fault{})
	newest := int64(0)
	require.Eventually(t, func() bool {
		states := map[string]bool{}
		for i := range 3 {
			config, err := call[operator.Config](ctx, c, i, http.MethodGet, "/config", nil)
			if err != nil {
				return false
			}
			newest = config.Version
			states[fmt.Sprint(config.Version, config.Digest)] = true
		}
		versions := versionsOf(ctx, t, c)
		return len(states) == 1 && versions[0] == uint64(newest) && versions[1] == versions[0] && versions[2] == versions[0]
	}, 20*time.Second, 50*time.Millisecond, "seed %d: nodes differ", *seed)
	for _, cancel := range watchers {
		cancel()
	}
	group.Wait()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	require.Empty(t, checker.violations, "seed %d", *seed)
	require.NotEmpty(t, checker.accepted)
	answered := map[int64]string{}
	for _, change := range checker.accepted {
		require.NotContains(t, answered, change.Version, "seed %d: two changes were answered with the same version", *seed)
		answered[change.Version] = change.Identity
	}
	history, err := call[operator.History](ctx, c, 0, http.MethodGet, "/config/history?limit=1000", nil)
	require.NoError(t, err)
	inHistory := map[int64]string{}
	for _, change := range history.Changes {
		if change.State == "accepted" {
			inHistory[change.Version] = change.Identity
		}
	}
	for _, identity := range checker.refused {
		for _, accepted := range inHistory {
			require.NotEqual(t, identity, accepted, "seed %d: a change that was answered as not accepted is in the history", *seed)
		}
	}
	for version, identity := range answered {
		if version > newest-100 {
			require.Equal(t, identity, inHistory[version], "seed %d: version %d", *seed, version)
		}
	}
	t.Logf("%d kills, %d outages, %d changes accepted, %d refused, newest version %d", kills, outages, len(answered), len(checker.refused), newest)
}
