// Package entry is the process on an entry VM that runs on the users'
// platform: it takes callers' requests, passes them to the node that holds the
// right to the queue's service, and holds such rights itself.
//
// # Usage
//
//	process, err := entry.New(settings, os.Stdout)
//	err = process.Run(ctx) // until the context ends, and open requests with it
//
// Every process is a front. The right to a service is a record in the
// platform's store (package right); the process that holds it runs the
// service's shard (package shard) and is the only one that orders starts on
// the service's workers. Nodes learn of each other from the rights' records
// and by greeting the holders.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/internal/right"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// followWait is how long the store delays the answer to a follower; with
	// followTimeout, a silent connection is noticed well inside the 3 s in
	// which a manifest has to be in force.
	followWait    = 1000 * time.Millisecond
	followTimeout = 1600 * time.Millisecond
	// firstTimeout bounds the first try to read a topic's newest records. It
	// doubles up to followTimeout, so that a store that was silent when the
	// process started is read soon after its return.
	firstTimeout = 400 * time.Millisecond
	// followRetry is the pause after a failed call of a follower.
	followRetry = 100 * time.Millisecond
	// followRetryLoaded is the same after a call that the store refused for the
	// number of calls: 1,000 nodes with two followers make 5,000 calls a second.
	followRetryLoaded = 400 * time.Millisecond
	// helloEvery is the pause between two greetings by a node that watches a
	// holder, so that three fit into right.SuspectAfter. The others greet it to
	// be known to it.
	helloEvery     = 250 * time.Millisecond
	idleHelloEvery = 800 * time.Millisecond
	// nodesAtIdlePause is up to how many nodes greet a holder at these pauses;
	// with more of them the pauses grow, so that a holder has at most 80
	// greetings a second and the region link some Mbit/s of them.
	nodesAtIdlePause = 64
	// watchers is how many nodes watch a holder: enough that one of them is
	// there to claim. Each greeting names them all, so that bytes would grow
	// with the square of the nodes.
	watchers = 8
	// helloTimeout bounds a greeting: a few round trips of the region link (60 ms).
	helloTimeout = 400 * time.Millisecond
	// viewTimeout bounds the question to the other nodes about a holder.
	viewTimeout = 300 * time.Millisecond
	// nearStore is the longest answer of a store in the node's own region.
	nearStore = 25 * time.Millisecond
	// smallCores is the share of a core below which a VM leaves rights to
	// larger ones: a shard of 90 workers takes up to 0.15 cores.
	smallCores = 0.3
	// isolatedAfter is how long a node may reach no holder before it tells the
	// balancer that it isn't ready: the silence after which a holder is
	// replaced, and the replacement.
	isolatedAfter = 2 * time.Second
	// claimTurn is the pause until a node looks again that may not claim now, or
	// just has: the longest pause after one failure.
	claimTurn = 20 * time.Millisecond
	// claimTimeout bounds one claim.
	claimTimeout = 1 * time.Second
	// drainListen is how long a stopping process still takes new connections:
	// the balancer needs two looks, a second apart.
	drainListen = 2200 * time.Millisecond
	// drainReserve is kept of the grace time for the end of the process.
	drainReserve = 800 * time.Millisecond
)

// rightsPartition holds the newest record of each service's right.
var rightsPartition = platform.Partition{Topic: platform.KeyedPrefix + "rights"}

// rightRecord is a service's right in the store. The epoch is its offset + 1.
type rightRecord struct {
	Node     string         `cbor:"1,keyasint"`
	Boot     int64          `cbor:"2,keyasint"`
	Address  netip.AddrPort `cbor:"3,keyasint"`
	Released bool           `cbor:"4,keyasint,omitempty"`
}

// Process is one entry VM's process.
type Process struct {
	settings platform.Settings
	began    time.Time
	boot     int64
	address  netip.AddrPort
	store    *platform.Store
	workers  *platform.Workers
	adviser  *platform.Adviser
	peers    *peers
	recorder *event.Recorder
	metrics  *measures

	countTried time.Time // by the loop of the rights only

	manifest atomic.Pointer[manifest.Manifest]
	latency  atomic.Int64 // the quickest answer of the store, in ns
	failedAt atomic.Int64 // when a follower's call of the store last failed, in ns since the start
	stopping atomic.Bool

	mu sync.Mutex
	// manifestText is the manifest in force as the operator wrote it.
	manifestText []byte
	counts       map[string]int           // shards of each service
	counting     map[string]counter       // who counts a service's workers
	rights       map[string]right.Holding // by the shard's name
	rightsEnd    int64
	turns        right.Turns
	rightsRead   bool
	holders      map[string]*holder
	views        map[string]*view
	changed      chan struct{} // closed and replaced when a right changes
}

// view is what the process knows of a holder.
type view struct {
	holding  right.Holding
	since    time.Time
	heard    time.Time
	refused  time.Time
	vacant   time.Time
	proofAge time.Duration
	watches  bool          // this node is one of those that greet it often
	pause    time.Duration // between this node's greetings if it isn't
	peers    []netip.AddrPort
}

// New returns a process that has not started.
func New(settings platform.Settings, recorder *event.Recorder) *Process {
	now := time.Now()
	p := &Process{
		settings: settings, began: now, boot: now.UnixNano(),
		address:  netip.AddrPortFrom(settings.IP, settings.FirstPeerPort),
		store:    platform.NewStore(settings.Store.Address),
		workers:  platform.NewWorkers(),
		peers:    newPeers(),
		recorder: recorder,
		metrics:  newMeasures(),
		counts:   map[string]int{},
		counting: map[string]counter{},
		rights:   map[string]right.Holding{},
		holders:  map[string]*holder{},
		views:    map[string]*view{},
		changed:  make(chan struct{}),
	}
	if settings.AdviserAddress.IsValid() {
		p.adviser = platform.NewAdviser(settings.AdviserAddress)
	}
	return p
}

// log records an event by its name in the catalogue.
func (p *Process) log(name string, keyvals ...any) {
	p.metrics.event(name)
	p.recorder.RecordByName(name, keyvals...)
}

// Run serves until the context ends, then hands its rights over, answers what
// is open and returns.
func (p *Process) Run(ctx context.Context) error {
	p.log("process-started", "zone", p.settings.Zone, "boot", p.boot, "peer-address", p.address, "first-start", p.settings.FirstStart)
	servers := map[string]*http.Server{
		p.settings.CallerAddress.String(): {Handler: p.front()},
		p.settings.ReadyAddress.String():  {Handler: http.HandlerFunc(p.ready)},
		p.address.String():                {Handler: p.peerHandler()},
	}
	metricsAddress := netip.AddrPortFrom(p.settings.IP, metricsPort).String()
	servers[metricsAddress] = &http.Server{Handler: p.metrics.handler()}
	failures := make(chan error, len(servers))
	for address, server := range servers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listening on %s: %w", address, err)
		}
		go func() { failures <- server.Serve(listener) }()
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	parts := []func(context.Context){p.followManifest, p.followRights, p.claimRights, p.borrow}
	ended := make(chan struct{}, len(parts))
	for _, part := range parts {
		go func() { part(work); ended <- struct{}{} }()
	}
	select {
	case err := <-failures:
		return fmt.Errorf("a listener ended: %w", err)
	case <-ctx.Done():
	}
	p.drain(servers[p.settings.CallerAddress.String()])
	cancel()
	for range parts {
		<-ended
	}
	p.log("process-stopped", "after", time.Since(p.began))
	return nil
}

// Reload takes settings that were read again, or the error of reading them.
// Bounds and names are in force until the process starts again; a change is
// logged so that an operator sees which process still runs with the old ones.
func (p *Process) Reload(settings platform.Settings, err error) {
	switch {
	case err != nil:
		p.log("settings-refused", "cause", err)
	case settings == p.settings:
		p.log("settings-reloaded", "changed", false)
	default:
		p.log("settings-reloaded", "changed", true, "in-force", "at the next start")
	}
}

// drain ends the process's part without breaking a request off.
func (p *Process) drain(callers *http.Server) {
	began := time.Now()
	p.stopping.Store(true)
	p.log("process-stopping", "grace", p.settings.Bounds.StopGrace)
	callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(p.settings.Bounds.StopGrace-drainReserve))
	defer cancel()
	awaitClaims := p.offerRights(ctx)
	time.Sleep(time.Until(began.Add(drainListen)))
	if err := callers.Shutdown(ctx); err != nil {
		p.log("requests-left-open", "cause", err)
	}
	awaitClaims()
}

// ready answers the balancer.
func (p *Process) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath || p.stopping.Load() || p.manifest.Load() == nil || p.isolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isolated reports whether the node can serve nobody: it holds no right, and
// hears none of the holders, for longer than a change of holder takes.
func (p *Process) isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.holders {
		if h.proofAge() < isolatedAfter {
			return false
		}
	}
	known := false
	for name, holding := range p.rights {
		v := p.views[name]
		if v == nil || holding.Epoch == 0 || holding.Node == p.settings.Node {
			continue
		}
		known = true
		if v.holding.Epoch != holding.Epoch || time.Since(v.heard) < max(isolatedAfter, missed(v.pause)) {
			return false
		}
	}
	return known
}

// missed is the time in which greetings at these pauses must have an answer.
func missed(pause time.Duration) time.Duration {
	return time.Duration(right.Missed * float64(pause))
}

// advise asks the placement adviser from this machine.
func (p *Process) advise(ctx context.Context, request adviseRequest) adviseAnswer {
	if p.adviser == nil {
		return adviseAnswer{Cause: "the settings name no adviser"}
	}
	good, err := p.adviser.Advise(ctx, request.Step, request.Workers)
	if err != nil {
		return adviseAnswer{Cause: err.Error()}
	}
	return adviseAnswer{Good: good}
}

// holderOf returns the holder of a service in this process.
func (p *Process) holderOf(service string) (*holder, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.holders[service]; h != nil && !h.lost.Load() {
		return h, nil
	}
	return nil, errNotHolder
}
