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

// The states of nodes and workers in the responses to operators.
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

// startOperatorServer opens the listener for operators and returns the function that
// serves it.
func (p *Process) startOperatorServer(ctx context.Context) (func(context.Context) error, error) {
	server, err := operator.New(operator.Options{
		Dump:         func(ctx context.Context) (any, error) { return p.processDump(ctx) },
		Nodes:        p.nodes,
		Workers:      p.workers,
		Alarms:       p.alarmMonitor.list,
		Drain:        p.drain,
		Config:       p.configuration.show,
		History:      p.configuration.changes,
		Check:        p.configuration.check,
		Diff:         p.configuration.diff,
		Apply:        p.configuration.apply,
		Recover:      p.configuration.recover,
		WriteMetrics: p.metrics.write,
		TLS:          p.certificates.tlsConfig(),
		Authorize:    p.access.Authorize,
	})
	if err != nil {
		return nil, err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.options.Settings.Addresses.Operators.String())
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) error { return server.Serve(ctx, listener) }, nil
}

// View returns the dump of the control state at one instant together with further
// state for operators. It fails only with the error of ctx.
func (p *Process) View(ctx context.Context) (control.View, error) {
	reply := make(chan control.View, 1)
	select {
	case p.viewRequests <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return control.View{}, ctx.Err()
	}
}

// processDump is the response body of /dump: the dump of the control state and the
// state of the other components of the node.
type processDump struct {
	control.Dump
	Isolated             bool              `json:"isolated"`
	PolicyDigest         string            `json:"policy-digest"`
	Configuration        replayPosition    `json:"configuration"`
	MemberPolicyVersions map[string]uint64 `json:"member-policy-versions"`
	OpenCalls            int               `json:"open-calls"`
	Inputs               control.Use       `json:"inputs"`
	DroppedInputs        uint64            `json:"dropped-inputs"`
	Quarantined          []string          `json:"quarantined-workers"`
	Alarms               []operator.Alarm  `json:"alarms"`
}

func (p *Process) processDump(ctx context.Context) (processDump, error) {
	view, err := p.View(ctx)
	if err != nil {
		return processDump{}, err
	}
	alarms, err := p.alarmMonitor.list(ctx)
	dump := processDump{
		Dump: view.Dump, Isolated: view.Isolated, PolicyDigest: formatDigest(view.PolicyDigest), MemberPolicyVersions: map[string]uint64{},
		Configuration: p.configuration.replayPosition(),
		OpenCalls:     p.pendingCalls.count(), Inputs: control.Use{Used: len(p.inputs), Bound: cap(p.inputs)}, DroppedInputs: p.droppedPeerMessages.Load(),
		Quarantined: p.eventState.quarantinedWorkers(), Alarms: alarms,
	}
	for _, member := range view.Members.Members {
		if member.Name != view.Name {
			dump.MemberPolicyVersions[member.Name] = p.heartbeatTable.latest(member.Name).policyVersion
		}
	}
	return dump, err
}

// nodes returns this node and the other members. The policy version and the number
// of sessions of another member are those of its newest heartbeat.
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
			FailureDomain: member.FailureDomain, State: memberState(member), Incarnation: member.Incarnation, HeartbeatAgeMS: member.LastHeartbeatAgeMS,
		}
		if member.Name == view.Name {
			node.CallerAddress, node.Incarnation = p.options.Settings.Addresses.Callers, view.Members.Incarnation
			node.PolicyVersion, node.PolicyDigest = int64(view.PolicyVersion), formatDigest(view.PolicyDigest)
			node.Sessions, node.Homes = len(view.Capacities), countHeldHomeLeases(&view.Dump)
			if view.Draining {
				node.State = nodeDraining
			}
		} else {
			heartbeat := p.heartbeatTable.latest(member.Name)
			node.PolicyVersion, node.PolicyDigest, node.Sessions = int64(heartbeat.policyVersion), formatDigest(heartbeat.policyDigest), heartbeat.sessions
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

// memberState returns the state of a member as this node sees it. A member that
// sends no heartbeats has left if it was draining, and is suspect otherwise.
func memberState(member *membership.MemberDump) string {
	switch {
	case member.Reachability == membership.Live && member.Draining:
		return nodeDraining
	case member.Reachability == membership.Live:
		return nodeLive
	case member.Draining:
		return nodeLeft
	}
	return nodeSuspect
}

// countHeldHomeLeases returns the number of home leases that the node holds.
func countHeldHomeLeases(dump *control.Dump) int {
	held := 0
	for i := range dump.Homes {
		if dump.Homes[i].LeaseHeld {
			held++
		}
	}
	return held
}

// workers returns the workers in this node's VM list, and also workers that are no
// longer in it, with the state lost. Capacity and free resources are set only for
// workers that this node owns.
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
		converted := operator.Worker{
			Name: w.Name, Address: addresses[w.Name], Region: w.Region, FailureDomain: w.FailureDomain, Rack: w.Rack,
			Owner: w.Owner, State: workerLive, Capacity: view.Capacities[w.Name].Capacity, Free: free[w.Name], Tasks: w.Tasks,
		}
		switch {
		case !w.InList:
			converted.State = workerLost
		case w.Leaving:
			converted.State = workerLeaving
		case p.eventState.isQuarantined(w.Name):
			converted.State = workerQuarantined
		}
		workers = append(workers, converted)
	}
	return workers, nil
}

// drain starts a graceful stop and returns what is left to hand over.
func (p *Process) drain(ctx context.Context) (operator.DrainState, error) {
	view, err := p.View(ctx)
	p.Drain()
	if err != nil {
		return operator.DrainState{}, err
	}
	return operator.DrainState{
		State: nodeDraining, OpenRequests: p.pendingCalls.count(), Sessions: len(view.Capacities), Homes: countHeldHomeLeases(&view.Dump),
	}, nil
}
