package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"yuccalanding.example/yuccalanding/internal/cell"
	"yuccalanding.example/yuccalanding/internal/vmlist"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/caller"
)

// Limits of readWorkerStates: the time for reading the VM list and the states of
// all workers, and the size of the VM list.
const (
	workerStatesTimeout = 5 * time.Second
	maxVMListBytes      = 16 << 20
)

// newClient returns a client that may open one connection for each open request
// and one more for other calls, so that no call waits in the client.
func newClient(mix *Mix, addresses []netip.AddrPort, token string) (*caller.Client, error) {
	return caller.New(caller.Options{Addresses: addresses, Token: token, Attempts: mix.Attempts, Connections: mix.MaxOpen + 1})
}

// CellTarget returns a cell of this process as the target of a run. It fails if a
// client can't be made.
func CellTarget(mix *Mix, c *cell.Cell) (Target, error) {
	target := Target{
		Clients: map[string]*caller.Client{}, ClientDelay: c.Options.ClientDelay,
		ReadWorkers:  func(context.Context) ([]worker.State, error) { return c.WorkerStates(), nil },
		Cost:         func() Cost { return Cost{processCPUTime(), c.Appends()} },
		CPUTimeScope: "of the whole process, which holds all nodes, the stand-ins of workers and log, and the load driver",
	}
	for _, region := range append(c.Regions(), "") {
		client, err := newClient(mix, c.CallerAddresses(region), "")
		if err != nil {
			return target, err
		}
		target.Clients[region] = client
	}
	for i, spec := range c.Options.Nodes {
		target.MetricsSources = append(target.MetricsSources, MetricsSource{Address: c.OperatorAddress(i), Region: spec.Region})
	}
	return target, nil
}

// processCPUTime returns the CPU time of this process in user and system mode, or
// -1 if it can't be read.
func processCPUTime() time.Duration {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return -1
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// RemoteTarget returns a running system as the target of a run. Requests of all
// regions go to all the addresses. If vmList is not valid, the workers' start
// records are not checked. token is the callers' token; it may be empty. It fails
// if a client can't be made.
func RemoteTarget(mix *Mix, addresses []netip.AddrPort, vmList netip.AddrPort, token string) (Target, error) {
	client, err := newClient(mix, addresses, token)
	if err != nil {
		return Target{}, err
	}
	target := Target{Clients: map[string]*caller.Client{"": client}}
	for i := range mix.Arrivals {
		target.Clients[mix.Arrivals[i].Region] = client
	}
	if vmList.IsValid() {
		target.ReadWorkers = func(ctx context.Context) ([]worker.State, error) { return readWorkerStates(ctx, vmList) }
	}
	return target, nil
}

// readWorkerStates reads the VM list and then the state of each listed worker.
func readWorkerStates(ctx context.Context, vmListAddress netip.AddrPort) ([]worker.State, error) {
	ctx, cancel := context.WithTimeout(ctx, workerStatesTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vmListAddress.String()+vmlist.Path, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list vmlist.Body
	if err := json.NewDecoder(io.LimitReader(response.Body, maxVMListBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("decode the VM list: %w", err)
	}
	states := []worker.State{}
	for _, entry := range list.VMs {
		var vm vmlist.VM
		if err := json.Unmarshal(entry, &vm); err != nil {
			return nil, fmt.Errorf("decode an entry of the VM list: %w", err)
		}
		state, err := worker.New(worker.Options{Address: vm.Address}).State(ctx)
		if err != nil {
			return nil, fmt.Errorf("worker %s: %w", vm.Name, err)
		}
		states = append(states, state)
	}
	return states, nil
}

// CellOptions returns the options of the cell that a mix describes.
func CellOptions(mix *Mix) cell.Options {
	options := cell.Options{Nodes: cell.SmallNodes(mix.Cell.Nodes), Workers: cell.SmallWorkers(mix.Cell.Workers)}
	switch mix.Cell.Deployment {
	case "ravi-levy":
		options = cell.RaviLevy()
	case "guild":
		options = cell.Guild()
	}
	for _, stop := range mix.NodeStops {
		if !stop.Drain {
			options.RelayedNodes = append(options.RelayedNodes, stop.Node)
		}
	}
	return options
}

// CellActions returns the actions that kill, drain and replace nodes as a mix
// says. It fails if the mix names a node that the cell doesn't have.
func CellActions(mix *Mix, c *cell.Cell) ([]Action, error) {
	var actions []Action
	for _, stop := range mix.NodeStops {
		i := slices.IndexFunc(c.Options.Nodes, func(spec cell.NodeSpec) bool { return spec.Name == stop.Node })
		if i < 0 {
			return nil, fmt.Errorf("the cell has no node %s", stop.Node)
		}
		name := fmt.Sprintf("%s (%s, %s)", stop.Node, c.Options.Nodes[i].FailureDomain, c.Options.Nodes[i].Region)
		ended := make(chan struct{})
		do, verb := c.KillNode, "kill "
		if stop.Drain {
			do, verb = c.DrainNode, "drain "
		}
		actions = append(actions, Action{At: stop.At, Name: verb + name, Do: func() error { defer close(ended); return do(i) }})
		if stop.ReplaceAfter > 0 {
			// The replacement uses the same name and addresses, so it starts after
			// the end of the node.
			replace := func() error { <-ended; return c.StartNode(i) }
			actions = append(actions, Action{At: stop.At + stop.ReplaceAfter, Name: "replace " + name, Do: replace})
		}
	}
	return actions, nil
}
