// Package cell runs a whole cell inside one process: several nodes, and stand-ins
// for the log, the VM list and the workers. They communicate over real network
// connections on loopback addresses. The demo, the load tool and tests use it.
//
// # Usage
//
//	c, err := cell.Start(ctx, cell.Options{Nodes: cell.SmallNodes(3), Workers: cell.SmallWorkers(4)})
//	client, err := c.Client(0)
//	answer, err := client.Submit(ctx, request)
//	err = c.Stop()
package cell

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/loopback"
	"yuccalanding.example/yuccalanding/internal/node"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/settings"
	"yuccalanding.example/yuccalanding/internal/standin/logservice"
	"yuccalanding.example/yuccalanding/internal/standin/vmlistservice"
	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/internal/vmlist"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// clusterSecret is the cluster secret of every cell. It needs no protection,
// because cells use loopback addresses only.
const clusterSecret = "a cell that lives on loopback only"

// appendPath is the HTTP path of the log's appends.
const appendPath = "/append"

// NodeSpec describes one entry VM.
type NodeSpec struct {
	Name          string
	Region        string
	FailureDomain string
}

// Options describe a cell.
type Options struct {
	Nodes   []NodeSpec
	Workers []placement.Worker
	// PeerDelay and WorkerDelay return the simulated one-way network delay between
	// two entry VMs and from an entry VM to a worker. A nil function adds none.
	PeerDelay   func(from, to NodeSpec) time.Duration
	WorkerDelay func(from NodeSpec, to placement.Worker) time.Duration
	// ClientDelay is the one-way network delay between callers and entry VMs. The
	// cell itself doesn't apply it; the code that sends the requests does.
	ClientDelay time.Duration
	// RelayedNodes holds the names of the nodes whose callers connect through a relay
	// of the cell, so that KillNode closes these connections at once, as the end of a
	// process does. Any other node that is killed keeps its callers' connections open
	// until its shutdown timeout is over. A relay doubles the number of open files for
	// each connection.
	RelayedNodes []string
	// Log receives the nodes' log events; nil discards them.
	Log io.Writer
	// TaskLease is the duration of the workers' and the nodes' task leases; 0
	// selects the default.
	TaskLease time.Duration
}

// Node is one entry VM of a cell, running or stopped.
type Node struct {
	Spec     NodeSpec
	Settings settings.Settings
	Process  *node.Process
	relay    *relay
	// relayAddress is the address of the relay. It stays the same when the node is
	// replaced.
	relayAddress netip.AddrPort
	cancel       context.CancelFunc
	exited       chan error
	isRunning    bool
}

// Cell is a running cell. An index passed to its methods is that of a node in
// Options.Nodes. Methods that start or stop nodes must not be called concurrently
// for the same node.
type Cell struct {
	Options Options
	Log     *logservice.Service
	VMList  *vmlistservice.Service
	Fleet   *workervm.Fleet
	Nodes   []*Node

	ctx       context.Context
	cancel    context.CancelFunc
	platform  settings.Platform
	servers   []*http.Server
	addresses []settings.Addresses
	appends   atomic.Int64
}

// SmallNodes returns count entry VMs in one region and one failure domain.
func SmallNodes(count int) []NodeSpec {
	var nodes []NodeSpec
	for i := range count {
		nodes = append(nodes, NodeSpec{Name: fmt.Sprintf("entry-%d", i+1), Region: "punjab", FailureDomain: "lahore"})
	}
	return nodes
}

// SmallWorkers returns count workers with 16 cores and 32 GB of memory each, five
// in a rack.
func SmallWorkers(count int) []placement.Worker {
	var workers []placement.Worker
	for i := range count {
		workers = append(workers, placement.Worker{
			Name: fmt.Sprintf("worker-%02d", i+1), Region: "punjab", FailureDomain: "lahore", Rack: fmt.Sprintf("rack-%d", i/5+1),
			Capacity: workload.Resources{MilliCPU: 16_000, MemoryMB: 32_768}, Slots: 8, Connections: 64,
		})
	}
	return workers
}

// Start starts the stand-ins and all nodes. They run until Stop is called or ctx
// ends. It fails if a listener can't be opened or a node's settings are invalid. A
// node that ends later, for example because its address is in use, makes
// AwaitReady fail.
func Start(ctx context.Context, options Options) (*Cell, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Cell{Options: options, ctx: ctx, cancel: cancel}
	if err := c.startPlatform(); err != nil {
		cancel()
		return nil, err
	}
	for _, spec := range options.Nodes {
		c.addresses = append(c.addresses, newAddresses())
		c.Nodes = append(c.Nodes, &Node{Spec: spec})
	}
	for i := range c.Nodes {
		if err := c.StartNode(i); err != nil {
			cancel()
			return nil, err
		}
	}
	return c, nil
}

// startPlatform starts the stand-ins of the log, the VM list and the workers.
func (c *Cell) startPlatform() error {
	c.Log = logservice.New(logservice.Options{})
	c.VMList = vmlistservice.New(vmlistservice.Options{})
	var err error
	if c.platform.Log, err = c.serve(c.countAppends()); err != nil {
		return err
	}
	if c.platform.VMList, err = c.serve(c.VMList); err != nil {
		return err
	}
	var vms []workervm.Options
	for _, w := range c.Options.Workers {
		vms = append(vms, workervm.Options{Worker: w, TaskLease: c.Options.TaskLease})
	}
	if c.Fleet, err = workervm.Serve(c.ctx, vms); err != nil {
		return err
	}
	c.VMList.Set(c.ListedVMs())
	return nil
}

// countAppends returns a handler that serves the log and counts the appends.
func (c *Cell) countAppends() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == appendPath {
			c.appends.Add(1)
		}
		c.Log.ServeHTTP(w, r)
	})
}

// Appends returns the number of appends that the log has received, including
// repeated and refused ones.
func (c *Cell) Appends() int64 { return c.appends.Load() }

// WorkerStates returns the state of each worker with its start records.
func (c *Cell) WorkerStates() []worker.State {
	states := make([]worker.State, len(c.Fleet.VMs))
	for i, vm := range c.Fleet.VMs {
		states[i] = vm.State()
	}
	return states
}

// Regions returns the regions that have entry VMs, in the order of the nodes.
func (c *Cell) Regions() []string {
	var regions []string
	for _, spec := range c.Options.Nodes {
		if !slices.Contains(regions, spec.Region) {
			regions = append(regions, spec.Region)
		}
	}
	return regions
}

// CallerAddresses returns the addresses at which the entry VMs of a region take
// requests, or those of all regions if the region is empty.
func (c *Cell) CallerAddresses(region string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i, spec := range c.Options.Nodes {
		if region == "" || spec.Region == region {
			addresses = append(addresses, c.callerAddress(i))
		}
	}
	return addresses
}

// callerAddress returns the address at which a node takes requests: that of its
// relay, if it has one.
func (c *Cell) callerAddress(i int) netip.AddrPort {
	if c.Nodes[i].relayAddress.IsValid() {
		return c.Nodes[i].relayAddress
	}
	return c.addresses[i].Callers
}

// OperatorAddress returns the address of a node's operator interface.
func (c *Cell) OperatorAddress(i int) netip.AddrPort { return c.addresses[i].Operators }

// ListedVMs returns the VM list with all workers.
func (c *Cell) ListedVMs() []vmlist.VM {
	var listed []vmlist.VM
	for i, w := range c.Options.Workers {
		listed = append(listed, vmlist.VM{
			Name: w.Name, Address: c.Fleet.Addresses[i], Region: w.Region, FailureDomain: w.FailureDomain, Rack: w.Rack,
		})
	}
	return listed
}

// serve serves a handler on a free port of 127.0.0.1 and returns the address.
func (c *Cell) serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := (&net.ListenConfig{}).Listen(c.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return netip.ParseAddrPort(listener.Addr().String())
}

// Ports of a node. Each node has a loopback address of its own, so that its ports
// are free when it listens, also after a restart.
const (
	callersPort   = 8080
	operatorsPort = 8081
	peersPort     = 8082
)

// newAddresses returns the addresses of a node on a new loopback address.
func newAddresses() settings.Addresses {
	ip := loopback.New()
	return settings.Addresses{
		Callers: netip.AddrPortFrom(ip, callersPort), Operators: netip.AddrPortFrom(ip, operatorsPort), Peers: netip.AddrPortFrom(ip, peersPort),
	}
}

// Settings returns the settings of a node.
func (c *Cell) Settings(i int) settings.Settings {
	spec := c.Options.Nodes[i]
	s := settings.Defaults()
	s.Node = settings.Node{Name: spec.Name, Region: spec.Region, FailureDomain: spec.FailureDomain}
	s.Addresses = c.addresses[i]
	s.Cluster.Secret = clusterSecret
	s.Platform = c.platform
	if c.Options.TaskLease > 0 {
		s.Timing.TaskLease = c.Options.TaskLease
	}
	for j, other := range c.Options.Nodes {
		s.Members = append(s.Members, settings.Member{
			Name: other.Name, Peers: c.addresses[j].Peers, Callers: c.addresses[j].Callers,
			Region: other.Region, FailureDomain: other.FailureDomain,
		})
	}
	return s
}

// StartNode starts a node that is not running. It fails if the node's settings are
// invalid or its relay can't listen. A node that can't listen on its own addresses
// ends after StartNode has returned; KillNode or DrainNode then returns its error.
func (c *Cell) StartNode(i int) error {
	n := c.Nodes[i]
	n.Settings = c.Settings(i)
	process, err := node.New(node.Options{
		Settings: n.Settings, Out: c.Options.Log, PeerDelay: c.peerDelay(n.Spec), WorkerDelay: c.workerDelay(n.Spec),
	})
	if err != nil {
		return fmt.Errorf("node %s: %w", n.Spec.Name, err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	n.Process, n.cancel, n.exited, n.isRunning = process, cancel, make(chan error, 1), true
	go func() { n.exited <- process.Run(ctx) }()
	if slices.Contains(c.Options.RelayedNodes, n.Spec.Name) {
		n.relay, err = startRelay(c.ctx, n.relayAddress, n.Settings.Addresses.Callers)
		if err != nil {
			return fmt.Errorf("relay of node %s: %w", n.Spec.Name, err)
		}
		n.relayAddress = n.relay.address()
	}
	return nil
}

// peerDelay returns the delays from a node to its peers by their names.
func (c *Cell) peerDelay(from NodeSpec) func(to string) time.Duration {
	if c.Options.PeerDelay == nil {
		return nil
	}
	delays := map[string]time.Duration{}
	for _, to := range c.Options.Nodes {
		delays[to.Name] = c.Options.PeerDelay(from, to)
	}
	return func(to string) time.Duration { return delays[to] }
}

// workerDelay returns the delays from a node to the workers by their names.
func (c *Cell) workerDelay(from NodeSpec) func(worker string) time.Duration {
	if c.Options.WorkerDelay == nil {
		return nil
	}
	delays := map[string]time.Duration{}
	for _, to := range c.Options.Workers {
		delays[to.Name] = c.Options.WorkerDelay(from, to)
	}
	return func(worker string) time.Duration { return delays[worker] }
}

// KillNode stops a node without draining it, waits for its end and returns its
// error. It does nothing if the node is not running.
func (c *Cell) KillNode(i int) error {
	n := c.Nodes[i]
	if n.relay != nil {
		n.relay.closeAll()
	}
	n.cancel()
	return c.awaitExit(n)
}

// DrainNode drains a node, waits for its end and returns its error.
func (c *Cell) DrainNode(i int) error {
	n := c.Nodes[i]
	n.Process.Drain()
	return c.awaitExit(n)
}

// awaitExit waits until a node has ended, closes its relay and returns its error.
func (c *Cell) awaitExit(n *Node) error {
	if !n.isRunning {
		return nil
	}
	n.isRunning = false
	err := <-n.exited
	if n.relay != nil {
		n.relay.closeAll()
	}
	return err
}

// Client returns a client that calls the nodes with the given indexes, or all
// nodes if none is given.
func (c *Cell) Client(nodes ...int) (*caller.Client, error) {
	var addresses []netip.AddrPort
	if len(nodes) == 0 {
		for i := range c.Nodes {
			nodes = append(nodes, i)
		}
	}
	for _, i := range nodes {
		addresses = append(addresses, c.callerAddress(i))
	}
	return caller.New(caller.Options{Addresses: addresses})
}

// Dump returns the control state of a node that is running.
func (c *Cell) Dump(ctx context.Context, i int) (control.Dump, error) {
	return c.Nodes[i].Process.Dump(ctx)
}

// Running reports whether a node was started and neither killed nor drained since.
func (c *Cell) Running(i int) bool { return c.Nodes[i].isRunning }

// AwaitReady waits until every worker has an owner among the running nodes. It
// fails if ctx ends first, and at once if a node ended without being stopped.
func (c *Cell) AwaitReady(ctx context.Context) error {
	for {
		owned := 0
		for i, n := range c.Nodes {
			if !n.isRunning {
				continue
			}
			dump, err := c.dumpOrExitError(ctx, i)
			if err != nil {
				return err
			}
			owned += dump.Owned.Workers
		}
		if owned >= len(c.Options.Workers) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d workers have an owner: %w", owned, len(c.Options.Workers), ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// dumpOrExitError returns a node's control state, or an error if the node ended
// without being stopped.
func (c *Cell) dumpOrExitError(ctx context.Context, i int) (control.Dump, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n, exitErrors := c.Nodes[i], make(chan error, 1)
	go func() {
		select {
		case err := <-n.exited:
			n.exited <- err // for awaitExit
			exitErrors <- fmt.Errorf("node %s ended: %w", n.Spec.Name, err)
			cancel()
		case <-ctx.Done():
			exitErrors <- nil
		}
	}()
	dump, err := c.Dump(ctx, i)
	cancel()
	return dump, cmp.Or(<-exitErrors, err)
}

// Stop stops all nodes without draining them and then the stand-ins. It returns
// the errors of the nodes and of the stand-ins, joined.
func (c *Cell) Stop() error {
	var errs []error
	for _, n := range c.Nodes {
		if n.isRunning {
			n.cancel()
		}
	}
	for _, n := range c.Nodes {
		errs = append(errs, c.awaitExit(n))
	}
	c.cancel()
	for _, server := range c.servers {
		errs = append(errs, server.Close())
	}
	errs = append(errs, <-c.Fleet.Done)
	return errors.Join(errs...)
}
