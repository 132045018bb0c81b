// Package node runs one node of the scheduler: it connects the control state
// machine to the HTTP interfaces for callers and operators, the transport between
// nodes, the workers, the VM list and the log.
//
// One goroutine, the control thread, owns all control state. The other goroutines
// send it inputs over one bounded channel; the control thread applies each input
// and carries out the resulting outputs without blocking.
//
// # Usage
//
//	process, err := node.New(node.Options{Settings: settings})
//	go func() { <-signals; process.Drain() }()
//	err = process.Run(ctx) // returns when ctx ends or a drain is complete
package node

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/access"
	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/front"
	"yuccalanding.example/yuccalanding/internal/journal"
	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/peer"
	"yuccalanding.example/yuccalanding/internal/settings"
	"yuccalanding.example/yuccalanding/internal/vmlist"
)

// inputQueueLength is the number of inputs that can wait for the control thread.
const inputQueueLength = 8192

// Options are fixed for the life of a process.
type Options struct {
	Settings settings.Settings
	// Out receives the event log; nil discards it.
	Out io.Writer
	// PeerDelay and WorkerDelay return the delay added before a message is sent to a
	// node or a worker, to simulate network latency in tests and the demo; nil adds
	// none.
	PeerDelay   func(to string) time.Duration
	WorkerDelay func(worker string) time.Duration
}

// Process is one node. Several can run in one operating-system process.
type Process struct {
	options        Options
	control        *control.Node
	inputs         chan control.Input
	dumpRequests   chan chan control.Dump
	transport      *peer.Transport
	journal        *journal.Client
	poller         *vmlist.Poller
	front          *front.Front
	access         *access.List
	events         *event.Recorder
	pendingCalls   *pendingCalls
	workerSessions map[string]*workerSession
	logAdapter     *logAdapter
	configuration  *configuration
	heartbeatTable *heartbeatTable
	viewRequests   chan chan control.View
	eventState     *eventState
	alarmMonitor   *alarmMonitor
	metrics        *processMetrics
	certificates   *certificates
	// addresses holds the workers' addresses by name. Like workerSessions, it is
	// accessed only by the control thread.
	addresses           map[string]netip.AddrPort
	draining            atomic.Bool
	vmListDown          atomic.Bool
	drained             chan struct{}
	sessionEnded        chan string
	droppedPeerMessages atomic.Uint64
	sentPeerMessages    atomic.Uint64
}

// New returns a node that already listens for peers. It returns an error if a
// component rejects its settings, such as the members, the addresses of peers, the
// certificate files or the token file.
func New(options Options) (*Process, error) {
	p := &Process{
		options:        options,
		inputs:         make(chan control.Input, inputQueueLength),
		dumpRequests:   make(chan chan control.Dump),
		pendingCalls:   newPendingCalls(),
		workerSessions: map[string]*workerSession{},
		addresses:      map[string]netip.AddrPort{},
		heartbeatTable: newHeartbeatTable(),
		viewRequests:   make(chan chan control.View),
		eventState:     newEventState(),
		drained:        make(chan struct{}),
		sessionEnded:   make(chan string, inputQueueLength),
	}
	s := &options.Settings
	state, err := control.New(control.Options{
		Name: s.Node.Name, Region: s.Node.Region, FailureDomain: s.Node.FailureDomain,
		Incarnation: uint64(time.Now().UnixNano()), Seed: newSeed(s.Node.Name), Members: p.members(), Start: time.Now(),
		Timing: control.Timing{TaskLease: s.Timing.TaskLease, SessionLength: s.Timing.Session, Heartbeat: s.Timing.Heartbeat},
	})
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	p.control = state
	if p.transport, err = p.newTransport(); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.journal = journal.New(journal.Options{
		Address: s.Platform.Log, AppendsPerSecond: s.Limits.AppendsPerSecond, Seed: newSeed(s.Node.Name),
	})
	p.logAdapter = newLogAdapter(p)
	p.configuration = newConfiguration(p)
	p.alarmMonitor, p.metrics = newAlarmMonitor(p), newMetrics(p)
	if p.certificates, err = openCertificates(s.TLS, p.recordEvent); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	if p.access, err = access.Open(access.Options{File: s.Access.TokenFile, Record: p.recordEvent}); err != nil {
		return nil, fmt.Errorf("access: %w", err)
	}
	return p, nil
}

// newSeed returns a seed for random numbers that differs between nodes and between
// starts of a node.
func newSeed(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64() ^ uint64(time.Now().UnixNano())
}

// members returns this node, followed by the other members in the settings.
func (p *Process) members() []membership.Member {
	s := &p.options.Settings
	members := []membership.Member{{
		Name: s.Node.Name, Address: s.Addresses.Peers, Region: s.Node.Region, FailureDomain: s.Node.FailureDomain,
	}}
	for _, m := range s.Members {
		if m.Name != s.Node.Name {
			members = append(members, membership.Member{Name: m.Name, Address: m.Peers, Region: m.Region, FailureDomain: m.FailureDomain})
		}
	}
	return members
}

func (p *Process) newTransport() (*peer.Transport, error) {
	s := &p.options.Settings
	var members []peer.Member
	for _, m := range p.members() {
		members = append(members, peer.Member{Name: m.Name, Address: m.Address, Region: m.Region})
	}
	return peer.New(peer.Options{
		Self: s.Node.Name, Region: s.Node.Region, Listen: s.Addresses.Peers, Secret: []byte(s.Cluster.Secret),
		Members: members, Receive: p.receiveFrame, OnEvent: p.handlePeerEvent, SendDelay: p.options.PeerDelay,
	})
}

// receiveFrame passes a message from a peer to the control thread, or drops it if
// the input queue is full: the protocol tolerates the loss of any message between
// nodes.
func (p *Process) receiveFrame(from string, _ peer.Purpose, frame []byte) {
	message, err := control.Decode(frame)
	if err != nil {
		p.recordEvent(event.PeerRefused, "peer", from, "reason", err.Error())
		return
	}
	if heartbeat, ok := message.(*control.Heartbeat); ok {
		p.heartbeatTable.store(from, heartbeat)
	}
	select {
	case p.inputs <- &control.PeerMessage{From: from, Message: message}:
	default:
		p.droppedPeerMessages.Add(1)
	}
}

// handlePeerEvent logs the transport events that matter to operators.
func (p *Process) handlePeerEvent(e peer.Event) {
	var definition event.Definition
	switch e.Kind {
	case peer.Silent:
		definition = event.PeerReplaced
	case peer.RefusedVersion, peer.RefusedSecret, peer.RefusedByPeer, peer.RefusedMember, peer.Malformed:
		definition = event.PeerRefused
	default:
		return
	}
	p.recordEvent(definition, "peer", e.Peer, "kind", string(e.Kind), "reason", fmt.Sprint(e.Err))
}

// recordEvent writes to the event log. Events before Run are dropped.
func (p *Process) recordEvent(definition event.Definition, keyvals ...any) {
	if p.events != nil {
		p.events.Record(definition, keyvals...)
	}
}

// sendInput passes an input to the control thread. It waits while the input queue is
// full and drops the input when ctx ends.
func (p *Process) sendInput(ctx context.Context, in control.Input) {
	select {
	case p.inputs <- in:
	case <-ctx.Done():
	}
}

// Drain starts a graceful stop: the node hands over its work, and then Run returns.
// Further calls have no effect.
func (p *Process) Drain() {
	if p.draining.CompareAndSwap(false, true) {
		p.recordEvent(event.NodeStopping)
		select {
		case p.inputs <- &control.Drain{}:
		default:
			go func() { p.inputs <- &control.Drain{} }()
		}
	}
}

// Draining reports whether Drain was called.
func (p *Process) Draining() bool { return p.draining.Load() }

// Run serves until ctx ends, a drain is complete or a component fails. It returns
// after all its goroutines have ended: the error of the first component that failed,
// or nil.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recorderContext, stopRecorder := context.WithCancel(context.WithoutCancel(ctx))
	p.events = event.New(recorderContext, event.Options{Out: p.options.Out, Node: p.options.Settings.Node.Name})
	defer func() { stopRecorder(); <-p.events.Done() }()
	components, err := p.startComponents(ctx)
	if err != nil {
		return err
	}
	p.recordEvent(event.NodeStarted, "callers", p.options.Settings.Addresses.Callers.String())
	ended := make(chan error, len(components))
	for _, component := range components {
		go func() { ended <- component(ctx) }()
	}
	remaining := len(components)
	var firstErr error
	select {
	case <-ctx.Done():
	case <-p.drained:
	case firstErr = <-ended:
		remaining--
	}
	cancel()
	for range remaining {
		if err := <-ended; firstErr == nil && err != nil && !errors.Is(err, context.Canceled) {
			firstErr = err
		}
	}
	p.recordEvent(event.NodeStopped, "open-requests", p.pendingCalls.count())
	if errors.Is(firstErr, context.Canceled) {
		return nil
	}
	return firstErr
}

// startComponents opens the listeners and returns the functions that Run starts as
// goroutines.
func (p *Process) startComponents(ctx context.Context) ([]func(context.Context) error, error) {
	s := &p.options.Settings
	var err error
	if p.front, err = p.newFront(); err != nil {
		return nil, err
	}
	listener, err := front.Listen(ctx, s.Addresses.Callers)
	if err != nil {
		return nil, fmt.Errorf("callers' address: %w", err)
	}
	operators, err := p.startOperatorServer(ctx)
	if err != nil {
		return nil, err
	}
	p.poller = vmlist.New(vmlist.Options{Address: s.Platform.VMList, OnChange: func(list vmlist.List) { p.handleVMList(ctx, list) }})
	journalEnded := p.journal.Start(ctx)
	return []func(context.Context) error{
		p.runControl,
		p.transport.Run,
		func(ctx context.Context) error { return p.front.Serve(ctx, listener) },
		operators,
		func(ctx context.Context) error { p.poller.Run(ctx); return nil },
		func(context.Context) error { return <-journalEnded },
		p.logAdapter.follow,
		p.configuration.run,
		p.alarmMonitor.run,
		p.certificates.watch,
		func(ctx context.Context) error { <-p.access.Watch(ctx); <-ctx.Done(); return nil },
	}, nil
}

// handleVMList passes a list to the control thread, and logs its findings and the
// start and end of an outage of the VM list service.
func (p *Process) handleVMList(ctx context.Context, list vmlist.List) {
	if list.Err != nil {
		p.recordEvent(event.VMListDown, "reason", list.Err.Error())
		p.vmListDown.Store(true)
		return
	}
	if p.vmListDown.CompareAndSwap(true, false) {
		p.recordEvent(event.VMListUp)
	}
	in := &vmListInput{VMListed: &control.VMListed{}, addresses: map[string]netip.AddrPort{}}
	for _, vm := range list.VMs {
		in.Workers = append(in.Workers, control.VMEntry{
			Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain, Rack: vm.Rack, Leaving: vm.Leaving,
		})
		in.addresses[vm.Name] = vm.Address
	}
	for _, finding := range list.Findings {
		p.recordEvent(event.VMListEntryBad, "place", finding.Place, "reason", finding.Message)
	}
	p.sendInput(ctx, in)
}

// vmListInput carries a VM list with the workers' addresses, which the control
// state doesn't need.
type vmListInput struct {
	*control.VMListed
	addresses map[string]netip.AddrPort
}
