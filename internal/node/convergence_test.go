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

// ledger checks what nodes were seen to have in force.
type ledger struct {
	mu      sync.Mutex
	digests map[uint64]uint64
	faults  []string
	// accepted are the changes that operators were told of as accepted, refused
	// the identities of those that they were told of as not accepted.
	accepted []operator.Change
	refused  []string
}

func (l *ledger) fault(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, arguments...))
}

func (l *ledger) see(version, digest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, found := l.digests[version]; found && known != digest {
		l.faults = append(l.faults, fmt.Sprintf("version %d has digests %x and %x", version, known, digest))
	}
	l.digests[version] = digest
}

// watch samples one node for as long as its process is the same.
func (l *ledger) watch(ctx context.Context, n *cell.Node) {
	process, last := n.Process, uint64(0)
	for ctx.Err() == nil {
		bound, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		view, err := process.View(bound)
		cancel()
		if err == nil {
			if view.PolicyVersion < last {
				l.fault("%s went from version %d to %d", n.Spec.Name, last, view.PolicyVersion)
			}
			last = view.PolicyVersion
			if last > 0 {
				l.see(last, view.PolicyDigest)
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// operate applies changes of one operator until the context ends.
func (l *ledger) operate(ctx context.Context, c *cell.Cell, random *rand.Rand, nodes []string) {
	for ctx.Err() == nil {
		address := nodes[random.IntN(len(nodes))]
		config, err := callAt[operator.Config](ctx, address, http.MethodGet, "/config", nil)
		if err == nil {
			body := folder(config.Version, fmt.Sprintf("[kind kind-%d]\nweight = %d\n", random.IntN(3), 2+random.IntN(1000)))
			body.Identity = fmt.Sprintf("change-%d", random.Uint64())
			change, err := callAt[operator.Change](ctx, address, http.MethodPost, "/config/apply", body)
			var failure *operator.Failure
			l.mu.Lock()
			switch {
			case err == nil:
				l.accepted = append(l.accepted, change)
			case errors.As(err, &failure) && failure.Status != http.StatusGatewayTimeout:
				l.refused = append(l.refused, body.Identity)
			}
			l.mu.Unlock()
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// Guards against versions that go down, nodes that have different contents under
// one version, and accepted changes that are lost, while nodes are killed, the
// log is down, slow or loses answers and old records, and operators race.
func TestConfigurationConvergesUnderFaults(t *testing.T) {
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", *seed)
	random := rand.New(rand.NewPCG(*seed, 1))
	c, ctx := startCell(t, 3)
	l := &ledger{digests: map[uint64]uint64{}}
	var nodes []string
	for _, n := range c.Nodes {
		nodes = append(nodes, n.Settings.Addresses.Operators.String())
	}
	faults, stop := context.WithTimeout(ctx, *faultRun)
	defer stop()
	var group sync.WaitGroup
	for i := range 3 {
		operators := rand.New(rand.NewPCG(*seed, uint64(10+i)))
		group.Go(func() { l.operate(faults, c, operators, nodes) })
	}
	watchers := make([]context.CancelFunc, 3)
	start := func(i int) {
		watched, cancel := context.WithCancel(ctx)
		watchers[i] = cancel
		n := *c.Nodes[i]
		group.Go(func() { l.watch(watched, &n) })
	}
	for i := range 3 {
		start(i)
	}
	kills, outages := 0, 0
	for faults.Err() == nil {
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
		same := map[string]bool{}
		for i := range 3 {
			config, err := call[operator.Config](ctx, c, i, http.MethodGet, "/config", nil)
			if err != nil {
				return false
			}
			newest = config.Version
			same[fmt.Sprint(config.Version, config.Digest)] = true
		}
		versions := versionsOf(ctx, t, c)
		return len(same) == 1 && versions[0] == uint64(newest) && versions[1] == versions[0] && versions[2] == versions[0]
	}, 20*time.Second, 50*time.Millisecond, "seed %d: nodes differ", *seed)
	for _, cancel := range watchers {
		cancel()
	}
	group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Empty(t, l.faults, "seed %d", *seed)
	require.NotEmpty(t, l.accepted)
	told := map[int64]string{}
	for _, change := range l.accepted {
		require.NotContains(t, told, change.Version, "seed %d: two changes were told the same version", *seed)
		told[change.Version] = change.Identity
	}
	history, err := call[operator.History](ctx, c, 0, http.MethodGet, "/config/history?limit=1000", nil)
	require.NoError(t, err)
	inHistory := map[int64]string{}
	for _, change := range history.Changes {
		if change.State == "accepted" {
			inHistory[change.Version] = change.Identity
		}
	}
	for _, identity := range l.refused {
		for _, accepted := range inHistory {
			require.NotEqual(t, identity, accepted, "seed %d: an operator was told that the change is not accepted", *seed)
		}
	}
	for version, identity := range told {
		if version > newest-100 {
			require.Equal(t, identity, inHistory[version], "seed %d: version %d", *seed, version)
		}
	}
	t.Logf("%d kills, %d outages, %d changes accepted, %d refused, newest version %d", kills, outages, len(told), len(l.refused), newest)
}
