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
	seed     = flag.Uint64("seed", 0, "seed of the random faults; 0 uses the current time")
	faultRun = flag.Duration("fault-run", 8*time.Second, "duration of the run with random faults")
)

// convergenceChecker collects the versions that nodes have in force and the responses
// to operators, and records violations.
type convergenceChecker struct {
	mu sync.Mutex
	// digests holds the digest of each version that was seen in force.
	digests    map[uint64]uint64
	violations []string
	// accepted holds the changes that were reported as accepted.
	accepted []operator.Change
	// refused holds the identities of the changes that were reported as not accepted.
	refused []string
}

func (checker *convergenceChecker) addViolation(format string, arguments ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.violations = append(checker.violations, fmt.Sprintf(format, arguments...))
}

// observe records a version in force with its digest. It records a violation if
// another digest of the version was seen before.
func (checker *convergenceChecker) observe(version, digest uint64) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if previous, found := checker.digests[version]; found && previous != digest {
		checker.violations = append(checker.violations, fmt.Sprintf("version %d has digests %x and %x", version, previous, digest))
	}
	checker.digests[version] = digest
}

// watch polls the version in force on one node until the context ends. A restarted
// node needs a new call, since its version starts again at 0.
func (checker *convergenceChecker) watch(ctx context.Context, n *cell.Node) {
	process, lastVersion := n.Process, uint64(0)
	for ctx.Err() == nil {
		viewContext, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		view, err := process.View(viewContext)
		cancel()
		if err == nil {
			if view.PolicyVersion < lastVersion {
				checker.addViolation("%s went from version %d to %d", n.Spec.Name, lastVersion, view.PolicyVersion)
			}
			lastVersion = view.PolicyVersion
			if lastVersion > 0 {
				checker.observe(lastVersion, view.PolicyDigest)
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// applyRandomChanges applies random changes as one operator until the context
// ends.
func (checker *convergenceChecker) applyRandomChanges(ctx context.Context, c *cell.Cell, random *rand.Rand, addresses []string) {
	for ctx.Err() == nil {
		address := addresses[random.IntN(len(addresses))]
		config, err := callAt[operator.Config](ctx, address, http.MethodGet, "/config", nil)
		if err == nil {
			body := newApplyRequest(config.Version, fmt.Sprintf("[kind kind-%d]\nweight = %d\n", random.IntN(3), 2+random.IntN(1000)))
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

// Several operators apply changes while nodes are killed and the log is down, is slow
// or drops responses. Guards against versions that decrease, nodes with different
// contents of one version, and accepted changes that are lost.
func TestConfigurationConvergesUnderFaults(t *testing.T) {
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", *seed)
	random := rand.New(rand.NewPCG(*seed, 1))
	c, ctx := startCell(t, 3)
	checker := &convergenceChecker{digests: map[uint64]uint64{}}
	var addresses []string
	for _, n := range c.Nodes {
		addresses = append(addresses, n.Settings.Addresses.Operators.String())
	}
	faultContext, stopFaults := context.WithTimeout(ctx, *faultRun)
	defer stopFaults()
	operatorContext, stopOperators := context.WithCancel(ctx)
	defer stopOperators()
	var group, operators sync.WaitGroup
	for i := range 3 {
		operatorRandom := rand.New(rand.NewPCG(*seed, uint64(10+i)))
		operators.Go(func() { checker.applyRandomChanges(operatorContext, c, operatorRandom, addresses) })
	}
	watchers := make([]context.CancelFunc, 3)
	startWatcher := func(i int) {
		watchContext, cancel := context.WithCancel(ctx)
		watchers[i] = cancel
		n := *c.Nodes[i]
		group.Go(func() { checker.watch(watchContext, &n) })
	}
	for i := range 3 {
		startWatcher(i)
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
			startWatcher(i)
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
	// The drawn faults may leave the log up too briefly for any change.
	require.Eventually(t, func() bool {
		checker.mu.Lock()
		defer checker.mu.Unlock()
		return len(checker.accepted) > 0
	}, 10*time.Second, 10*time.Millisecond, "seed %d: no change is accepted after the faults", *seed)
	stopOperators()
	operators.Wait()
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
	}, 20*time.Second, 50*time.Millisecond, "seed %d: the nodes have different configurations", *seed)
	for _, cancel := range watchers {
		cancel()
	}
	group.Wait()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	require.Empty(t, checker.violations, "seed %d", *seed)
	reported := map[int64]string{}
	for _, change := range checker.accepted {
		require.NotContains(t, reported, change.Version, "seed %d: two changes were reported with the same version", *seed)
		reported[change.Version] = change.Identity
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
			require.NotEqual(t, identity, accepted, "seed %d: a change that was reported as not accepted is in the history", *seed)
		}
	}
	// The history keeps only the newest policy.MaxAcceptedChanges (128) changes, so
	// that only the newest 100 versions are compared.
	for version, identity := range reported {
		if version > newest-100 {
			require.Equal(t, identity, inHistory[version], "seed %d: version %d", *seed, version)
		}
	}
	t.Logf("%d kills, %d outages, %d changes accepted, %d refused, newest version %d", kills, outages, len(reported), len(checker.refused), newest)
}
