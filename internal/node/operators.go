package node

import (
	"context"
	"net"
	"net/netip"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// The states of nodes and workers as operators see them.
const (
	nodeLive          = "live"
	nodeSuspect       = "suspect"
	nodeDraining      = "draining"
	nodeLeft          = "left"
	workerLive        = "live"
	workerLeaving     = "leaving"
	workerQuarantined = "quarantined"
	workerLost        = "lost"
)

// newOperator serves the operators' address.
func (p *Process) newOperator(ctx context.Context) (func(context.Context) error, error) {
	served, err := operator.New(operator.Options{
		Dump:         func(ctx context.Context) (any, error) { return p.wholeDump(ctx) },
		Nodes:        p.nodes,
		Workers:      p.workers,
		Alarms:       p.alarms.list,
		Drain:        p.drain,
		Config:       p.configuration.show,
		History:      p.configuration.changes,
		Check:        p.configuration.check,
		Diff:         p.configuration.diff,
		Apply:        p.configuration.apply,
		Recover:      p.configuration.recover,
		WriteMetrics: p.metrics.write,
		TLS:          p.certificates.config(),
		Authorize:    p.access.Authorize,
	})
	if err != nil {
		return nil, err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.options.Settings.Addresses.Operators.String())
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) error { return served.Serve(ctx, listener) }, nil
}

// View returns the control state at one instant with what operators need
// beyond the dump.
func (p *Process) View(ctx context.Context) (control.View, error) {
	answer := make(chan control.View, 1)
	select {
	case p.viewRequests <- answer:
		return <-answer, nil
	case <-ctx.Done():
		return control.View{}, ctx.Err()
	}
}

// wholeDump is the body of /dump: the control state and the parts around it.
type wholeDump struct {
	control.Dump
	Isolated      bool              `json:"isolated"`
	PolicyDigest  string            `json:"policy-digest"`
	Configuration position          `json:"configuration"`
	MemberVersion map[string]uint64 `json:"member-policy-versions"`
	OpenCalls     int               `json:"open-calls"`
	Inputs        control.Use       `json:"inputs"`
	DroppedInputs uint64            `json:"dropped-inputs"`
	Quarantined   []string          `json:"quarantined-workers"`
	Alarms        []operator.Alarm  `json:"alarms"`
}

func (p *Process) wholeDump(ctx context.Context) (wholeDump, error) {
	view, err := p.View(ctx)
	if err != nil {
		return wholeDump{}, err
	}
	alarms, err := p.alarms.list(ctx)
	dump := wholeDump{
		Dump: view.Dump, Isolated: view.Isolated, PolicyDigest: digestText(view.PolicyDigest), MemberVersion: map[string]uint64{},
		Configuration: p.configuration.position(),
		OpenCalls:     p.calls.open(), Inputs: control.Use{Used: len(p.inputs), Bound: cap(p.inputs)}, DroppedInputs: p.dropped.Load(),
		Quarantined: p.observed.quarantinedWorkers(), Alarms: alarms,
	}
	for _, member := range view.Members.Members {
		if member.Name != view.Name {
			dump.MemberVersion[member.Name] = p.views.of(member.Name).version
		}
	}
	return dump, err
}

func (p *Process) nodes(ctx context.Context) ([]operator.Node, error) {
	view, err := p.View(ctx)
	if err != nil {
		return nil, err
	}
	callers := map[string]netip.AddrPort{}
	for _, member := range p.options.Settings.Members {
		callers[member.Name] = member.Callers
	}
	var nodes []operator.Node
	for i := range view.Members.Members {
		member := &view.Members.Members[i]
		node := operator.Node{
			Name: member.Name, PeerAddress: member.Address, CallerAddress: callers[member.Name], Region: member.Region,
			FailureDomain: member.FailureDomain, State: nodeState(member), Incarnation: member.Incarnation, HeartbeatAgeMS: member.SilentMS,
		}
		if member.Name == view.Name {
			node.CallerAddress, node.Incarnation = p.options.Settings.Addresses.Callers, view.Members.Incarnation
			node.PolicyVersion, node.PolicyDigest = int64(view.PolicyVersion), digestText(view.PolicyDigest)
			node.Sessions, node.Homes = len(view.Capacities), heldHomes(&view.Dump)
			if view.Draining {
				node.State = nodeDraining
			}
		} else {
			heard := p.views.of(member.Name)
			node.PolicyVersion, node.PolicyDigest, node.Sessions = int64(heard.version), digestText(heard.digest), heard.sessions
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

func nodeState(member *membership.MemberDump) string {
	switch {
	case member.Reach == membership.Live && member.Draining:
		return nodeDraining
	case member.Reach == membership.Live:
		return nodeLive
	case member.Draining:
		return nodeLeft
	}
	return nodeSuspect
}

func heldHomes(dump *control.Dump) int {
	held := 0
	for i := range dump.Homes {
		if dump.Homes[i].LeaseHeld {
			held++
		}
	}
	return held
}

// workers lists the workers of this node's VM list. Capacity and free room are
// known of the workers that this node owns.
func (p *Process) workers(ctx context.Context) ([]operator.Worker, error) {
	view, err := p.View(ctx)
	if err != nil {
		return nil, err
	}
	addresses := map[string]netip.AddrPort{}
	for _, vm := range p.poller.Current().VMs {
		addresses[vm.Name] = vm.Address
	}
	free := map[string]workload.Resources{}
	for _, w := range view.Engine.Workers {
		free[w.Name] = workload.Resources{MilliCPU: w.FreeMilliCPU, MemoryMB: w.FreeMemoryMB, Accelerators: w.FreeAccelerators}
	}
	var workers []operator.Worker
	for _, w := range view.Workers {
		out := operator.Worker{
			Name: w.Name, Address: addresses[w.Name], Region: w.Region, FailureDomain: w.FailureDomain, Rack: w.Rack,
			Owner: w.Owner, State: workerLive, Capacity: view.Capacities[w.Name].Capacity, Free: free[w.Name], Tasks: w.Tasks,
		}
		switch {
		case !w.InList:
			out.State = workerLost
		case w.Leaving:
			out.State = workerLeaving
		case p.observed.isQuarantined(w.Name):
			out.State = workerQuarantined
		}
		workers = append(workers, out)
	}
	return workers, nil
}

// drain starts the planned stop.
func (p *Process) drain(ctx context.Context) (operator.DrainState, error) {
	view, err := p.View(ctx)
	p.Drain()
	if err != nil {
		return operator.DrainState{}, err
	}
	return operator.DrainState{
		State: nodeDraining, OpenRequests: p.calls.open(), Sessions: len(view.Capacities), Homes: heldHomes(&view.Dump),
	}, nil
}
