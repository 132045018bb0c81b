// Package node joins the control state machine with its adapters into a
// process: callers' and operators' interfaces, the transport between nodes,
// the worker adapter, the VM list and the log.
//
// One goroutine, the control thread, owns all control state. Everything else
// talks to it over one bounded channel of inputs and carries out its outputs.
//
// # Usage
//
//	process, err := node.New(node.Options{Settings: settings})
//	go func() { <-signals; process.Drain() }()
//	err = process.Run(ctx) // until ctx ends or a drain is complete
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

// inputQueue bounds the inputs that wait for the control thread.
const inputQueue = 8192

// Options are fixed for the life of a process.
type Options struct {
	Settings settings.Settings
	// Out takes the event log; nil discards it.
	Out io.Writer
	// PeerDelay and WorkerDelay are added before a message is sent to a node or
	// a worker, to imitate distance in tests and the demo; nil adds nothing.
	PeerDelay   func(to string) time.Duration
	WorkerDelay func(worker string) time.Duration
}

// Process is one running node.
type Process struct {
	options       Options
	control       *control.Node
	inputs        chan control.Input
	dumps         chan chan control.Dump
	transport     *peer.Transport
	journal       *journal.Client
	poller        *vmlist.Poller
	front         *front.Front
	access        *access.List
	events        *event.Recorder
	calls         *calls
	links         map[string]*link
	records       *records
	configuration *configuration
	views         *views
	viewRequests  chan chan control.View
	observed      *observed
	alarms        *alarms
	metrics       *processMetrics
	certificates  *certificates
	addresses     map[string]netip.AddrPort
	draining      atomic.Bool
	vmListDown    atomic.Bool
	drained       chan struct{}
	linkEnded     chan string
	dropped       atomic.Uint64
	sent          atomic.Uint64
}

// New checks the settings that only the parts themselves can check, and
// listens for peers.
func New(options Options) (*Process, error) {
	p := &Process{
		options:      options,
		inputs:       make(chan control.Input, inputQueue),
		dumps:        make(chan chan control.Dump),
		calls:        newCalls(),
		links:        map[string]*link{},
		addresses:    map[string]netip.AddrPort{},
		views:        newViews(),
		viewRequests: make(chan chan control.View),
		observed:     newObserved(),
		drained:      make(chan struct{}),
		linkEnded:    make(chan string, inputQueue),
	}
	s := &options.Settings
	state, err := control.New(control.Options{
		Name: s.Node.Name, Region: s.Node.Region, FailureDomain: s.Node.FailureDomain,
		Incarnation: uint64(time.Now().UnixNano()), Seed: seedOf(s.Node.Name), Members: p.members(), Start: time.Now(),
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
		Address: s.Platform.Log, AppendsPerSecond: s.Limits.AppendsPerSecond, Seed: seedOf(s.Node.Name),
	})
	p.records = newRecords(p)
	p.configuration = newConfiguration(p)
	p.alarms, p.metrics = newAlarms(p), newMetrics(p)
	if p.certificates, err = openCertificates(s.TLS, p.record); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	if p.access, err = access.Open(access.Options{File: s.Access.TokenFile, Record: p.record}); err != nil {
		return nil, fmt.Errorf("access: %w", err)
	}
	return p, nil
}

func seedOf(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64() ^ uint64(time.Now().UnixNano())
}

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
		Members: members, Receive: p.receiveFrame, OnEvent: p.peerEvent, SendDelay: p.options.PeerDelay,
	})
}

// receiveFrame takes a frame from a peer. A frame that finds the control
// thread's queue full is dropped: every message between nodes may be lost.
func (p *Process) receiveFrame(from string, _ peer.Purpose, frame []byte) {
	message, err := control.Decode(frame)
	if err != nil {
		p.record(event.PeerRefused, "peer", from, "reason", err.Error())
		return
	}
	if beat, ok := message.(*control.Heartbeat); ok {
		p.views.heard(from, beat)
	}
	select {
	case p.inputs <- &control.PeerMessage{From: from, Message: message}:
	default:
		p.dropped.Add(1)
	}
}

func (p *Process) peerEvent(e peer.Event) {
	var definition event.Definition
	switch e.Kind {
	case peer.Silent:
		definition = event.PeerReplaced
	case peer.RefusedVersion, peer.RefusedSecret, peer.RefusedByPeer, peer.RefusedMember, peer.Malformed:
		definition = event.PeerRefused
	default:
		return
	}
	p.record(definition, "peer", e.Peer, "kind", string(e.Kind), "reason", fmt.Sprint(e.Err))
}

func (p *Process) record(definition event.Definition, keyvals ...any) {
	if p.events != nil {
		p.events.Record(definition, keyvals...)
	}
}

// push passes an input to the control thread, or gives up when ctx ends.
func (p *Process) push(ctx context.Context, in control.Input) {
	select {
	case p.inputs <- in:
	case <-ctx.Done():
	}
}

// Drain starts the planned stop; Run returns once it is complete.
func (p *Process) Drain() {
	if p.draining.CompareAndSwap(false, true) {
		p.record(event.NodeStopping)
		select {
		case p.inputs <- &control.Drain{}:
		default:
			go func() { p.inputs <- &control.Drain{} }()
		}
	}
}

// Draining reports whether the node was told to stop.
func (p *Process) Draining() bool { return p.draining.Load() }

// Run serves until ctx ends or a drain is complete. It returns after all its
// goroutines have ended.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recorderContext, stopRecorder := context.WithCancel(context.WithoutCancel(ctx))
	p.events = event.New(recorderContext, event.Options{Out: p.options.Out, Node: p.options.Settings.Node.Name})
	defer func() { stopRecorder(); <-p.events.Done() }()
	parts, err := p.startParts(ctx)
	if err != nil {
		return err
	}
	p.record(event.NodeStarted, "callers", p.options.Settings.Addresses.Callers.String())
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go func() { ended <- part(ctx) }()
	}
	remaining := len(parts)
	var first error
	select {
	case <-ctx.Done():
	case <-p.drained:
	case first = <-ended:
		remaining--
	}
	cancel()
	for range remaining {
		if err := <-ended; first == nil && err != nil && !errors.Is(err, context.Canceled) {
			first = err
		}
	}
	p.record(event.NodeStopped, "open-requests", p.calls.open())
	if errors.Is(first, context.Canceled) {
		return nil
	}
	return first
}

// startParts opens the listeners and returns the goroutines of the process.
func (p *Process) startParts(ctx context.Context) ([]func(context.Context) error, error) {
	s := &p.options.Settings
	var err error
	if p.front, err = p.newFront(); err != nil {
		return nil, err
	}
	listener, err := front.Listen(ctx, s.Addresses.Callers)
	if err != nil {
		return nil, fmt.Errorf("callers' address: %w", err)
	}
	operators, err := p.newOperator(ctx)
	if err != nil {
		return nil, err
	}
	p.poller = vmlist.New(vmlist.Options{Address: s.Platform.VMList, Changed: func(list vmlist.List) { p.vmListed(ctx, list) }})
	journalEnded := p.journal.Start(ctx)
	return []func(context.Context) error{
		p.runControl,
		p.transport.Run,
		func(ctx context.Context) error { return p.front.Serve(ctx, listener) },
		operators,
		func(ctx context.Context) error { p.poller.Run(ctx); return nil },
		func(context.Context) error { return <-journalEnded },
		p.records.follow,
		p.configuration.run,
		p.alarms.run,
		p.certificates.watch,
		func(ctx context.Context) error { <-p.access.Watch(ctx); <-ctx.Done(); return nil },
	}, nil
}

// vmListed passes a changed list on. At the start and the end of an outage of
// the service the list in use is the same as before.
func (p *Process) vmListed(ctx context.Context, list vmlist.List) {
	if list.Err != nil {
		p.record(event.VMListDown, "reason", list.Err.Error())
		p.vmListDown.Store(true)
		return
	}
	if p.vmListDown.CompareAndSwap(true, false) {
		p.record(event.VMListUp)
	}
	in := &vmList{VMListed: &control.VMListed{}, addresses: map[string]netip.AddrPort{}}
	for _, vm := range list.VMs {
		in.Workers = append(in.Workers, control.VMEntry{
			Name: vm.Name, Region: vm.Region, FailureDomain: vm.FailureDomain, Rack: vm.Rack, Leaving: vm.Leaving,
		})
		in.addresses[vm.Name] = vm.Address
	}
	for _, finding := range list.Findings {
		p.record(event.VMListEntryBad, "place", finding.Place, "reason", finding.Message)
	}
	p.push(ctx, in)
}

// vmList carries the workers' addresses beside the input, since the control
// state has no use for them.
type vmList struct {
	*control.VMListed
	addresses map[string]netip.AddrPort
}
