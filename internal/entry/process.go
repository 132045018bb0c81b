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
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

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
	// helloEvery is the pause between two greetings of a holder.
	helloEvery   = 500 * time.Millisecond
	helloTimeout = 600 * time.Millisecond
	// viewTimeout bounds the question to the other nodes about a holder.
	viewTimeout = 400 * time.Millisecond
	// nearStore is the longest answer of a store in the node's own region.
	nearStore = 25 * time.Millisecond
	// smallCores is the share of a core below which a VM leaves rights to
	// larger ones: a shard of 90 workers takes up to 0.15 cores.
	smallCores = 0.3
	// isolatedAfter is how long a node may reach no holder before it tells the
	// balancer that it isn't ready: the silence after which a holder is
	// replaced, and the replacement.
	isolatedAfter = 2 * time.Second
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
	rights       map[string]right.Holding // by the shard's name
	rightsEnd    int64
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
		rights:   map[string]right.Holding{},
		holders:  map[string]*holder{},
		views:    map[string]*view{},
		changed:  make(chan struct{}),
	}
	if settings.Advice.IsValid() {
		p.adviser = platform.NewAdviser(settings.Advice)
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
		p.settings.Callers.String(): {Handler: p.front()},
		p.settings.Ready.String():   {Handler: http.HandlerFunc(p.ready)},
		p.address.String():          {Handler: p.peerHandler()},
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
	p.drain(servers[p.settings.Callers.String()])
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
	p.log("process-stopping", "grace", p.settings.Bounds.Grace)
	callers.SetKeepAlivesEnabled(false)
	p.releaseRights()
	time.Sleep(time.Until(began.Add(drainListen)))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(p.settings.Bounds.Grace-drainReserve))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		p.log("requests-left-open", "cause", err)
	}
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
		if v.holding.Epoch != holding.Epoch || time.Since(v.heard) < isolatedAfter {
			return false
		}
	}
	return known
}

// follow reads a topic's newest records and then its changes, until the
// context ends.
func (p *Process) follow(ctx context.Context, name string, partition platform.Partition, apply func(records []platform.Record, end int64)) {
	next := int64(-1)
	down := false
	timeout := firstTimeout
	for ctx.Err() == nil {
		if next >= 0 {
			timeout = followTimeout
		}
		call, cancel := context.WithTimeout(ctx, timeout)
		timeout = min(2*timeout, followTimeout)
		sent := time.Now()
		var err error
		if next < 0 {
			var records []platform.Record
			var end int64
			records, end, err = p.store.Newest(call, partition)
			if err == nil {
				next = end
				p.noteLatency(time.Since(sent))
				apply(records, end)
			}
		} else {
			var tail platform.Tail
			tail, err = p.store.Read(call, partition, next, followWait)
			if err == nil {
				next = tail.Next
				apply(tail.Records, tail.Next)
			} else if platform.StatusOf(err) == statusGone {
				next = -1
			}
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != down {
			down = err != nil
			if down {
				p.log("store-lost", "topic", name, "cause", err)
			} else {
				p.log("store-regained", "topic", name)
			}
		}
		if err != nil {
			p.failedAt.Store(int64(time.Since(p.began)))
			select {
			case <-time.After(followRetry):
			case <-ctx.Done():
			}
		}
	}
}

func (p *Process) noteLatency(took time.Duration) {
	if best := p.latency.Load(); best == 0 || int64(took) < best {
		p.latency.Store(int64(took))
	}
}

// storeSound is how long the followers' calls of the store have succeeded.
func (p *Process) storeSound() time.Duration {
	return time.Since(p.began) - time.Duration(p.failedAt.Load())
}

func (p *Process) near() bool {
	best := p.latency.Load()
	return best > 0 && time.Duration(best) < nearStore
}

// followManifest keeps the newest manifest. It never goes back.
func (p *Process) followManifest(ctx context.Context) {
	p.follow(ctx, "manifest", platform.Partition{Topic: platform.OperatorTopic}, func(records []platform.Record, _ int64) {
		for _, record := range records {
			if record.Key != platform.ManifestKey || len(record.Value) == 0 {
				continue
			}
			p.takeManifest(record.Value, "store")
		}
	})
}

// followRights keeps the newest record of each right.
func (p *Process) followRights(ctx context.Context) {
	p.follow(ctx, "rights", rightsPartition, func(records []platform.Record, end int64) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.rightsRead, p.rightsEnd = true, max(p.rightsEnd, end)
		for _, record := range records {
			p.takeRight(record)
		}
	})
}

// takeRight notes a right's record; the lock is held.
func (p *Process) takeRight(record platform.Record) {
	if p.rights[record.Key].Epoch > record.Offset {
		return
	}
	if service, is := strings.CutPrefix(record.Key, countKey); is {
		p.takeCount(service, record)
		return
	}
	var read rightRecord
	if err := cbor.Unmarshal(record.Value, &read); err != nil {
		p.log("record-unreadable", "key", record.Key, "cause", err)
		return
	}
	holding := right.Holding{Epoch: record.Offset + 1, Node: read.Node, Boot: read.Boot, Address: read.Address, Released: read.Released}
	p.rights[record.Key] = holding
	p.log("right-seen", "service", record.Key, "epoch", holding.Epoch, "holder", read.Node, "released", read.Released)
	if h := p.holders[record.Key]; h != nil && holding.Epoch > h.epoch && !(read.Node == p.settings.Node && read.Boot == p.boot) {
		h.lose("a newer claim is stored")
	}
	p.announce()
}

// announce wakes those who wait for a change of a right; the lock is held.
func (p *Process) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// claimRights greets the holders and claims rights that nobody uses.
func (p *Process) claimRights(ctx context.Context) {
	watched := map[string]chan struct{}{}
	for ctx.Err() == nil {
		for _, part := range p.parts(ctx) {
			if watched[part.name()] == nil {
				done := make(chan struct{})
				watched[part.name()] = done
				go func() { defer close(done); p.watchRight(ctx, part) }()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(right.Step):
		}
	}
	for _, done := range watched {
		<-done
	}
}

// parts returns the shards of the services in force. It counts the shards of
// a service that is new.
func (p *Process) parts(ctx context.Context) []part {
	current := p.manifest.Load()
	if current == nil {
		return nil
	}
	var parts []part
	for _, service := range current.Services {
		if service.Spare {
			continue
		}
		p.mu.Lock()
		count, read := p.counts[service.Name], p.rightsRead
		p.mu.Unlock()
		if count == 0 && read {
			p.countShards(ctx, service.Name)
			continue
		}
		for index := range count {
			parts = append(parts, part{service.Name, index, count})
		}
	}
	return parts
}

// watchRight is the loop of one service.
func (p *Process) watchRight(ctx context.Context, shard part) {
	service := shard.name()
	lastHello := time.Time{}
	var greeting chan helloResult
	greeted := right.Holding{}
	for ctx.Err() == nil {
		p.mu.Lock()
		holding, read, changed, at := p.rights[service], p.rightsRead, p.changed, p.rightsEnd
		v := p.viewOf(service, holding)
		holds := p.holders[service] != nil
		p.mu.Unlock()
		now := time.Now()
		mine := holding.Node == p.settings.Node
		if greeting == nil && !mine && holding.Epoch > 0 && !holding.Released && now.Sub(lastHello) >= helloEvery {
			lastHello, greeted = now, holding
			greeting = make(chan helloResult, 1)
			go func(result chan helloResult) { result <- p.greet(ctx, service, holding) }(greeting)
		}
		if read && !holds && !p.stopping.Load() {
			p.consider(ctx, shard, holding, v, now, at)
		}
		select {
		case <-ctx.Done():
		case result := <-greeting:
			greeting = nil
			p.heard(service, greeted, result)
		case <-changed:
		case <-time.After(right.Step):
		}
	}
}

// viewOf returns the view of a holding; the lock is held.
func (p *Process) viewOf(service string, holding right.Holding) *view {
	v := p.views[service]
	if v == nil || v.holding.Epoch != holding.Epoch {
		next := &view{holding: holding, since: time.Now(), heard: time.Now()}
		if v != nil {
			next.peers = v.peers
		}
		if holding.Epoch == 0 || holding.Released || holding.Node == p.settings.Node {
			next.vacant = time.Now()
		}
		p.views[service] = next
		v = next
	}
	return v
}

type helloResult struct {
	answer helloAnswer
	err    error
	sent   time.Time
}

func (p *Process) greet(ctx context.Context, service string, holding right.Holding) helloResult {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := ask[helloAnswer](ctx, p.peers, holding.Address, pathHello, helloRequest{
		Service: service, Node: p.settings.Node, Address: p.address,
	})
	return helloResult{answer, err, sent}
}

// heard notes the answer to a greeting.
func (p *Process) heard(service string, greeted right.Holding, result helloResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.views[service]
	if v == nil || v.holding.Epoch != greeted.Epoch {
		return
	}
	now := time.Now()
	switch {
	case result.err == nil:
		v.heard, v.refused, v.vacant = result.sent, time.Time{}, time.Time{}
		v.proofAge, v.peers = result.answer.ProofAge, result.answer.Peers
	case errors.Is(result.err, errNotHolder):
		// A node that has just claimed may answer before it knows that it has.
		if v.vacant.IsZero() && now.Sub(v.since) >= claimTimeout {
			v.vacant = now
		}
	case notSent(result.err) && !isTimeout(result.err):
		if v.refused.IsZero() {
			v.refused = now
		}
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// consider claims the right if it is free.
func (p *Process) consider(ctx context.Context, shard part, holding right.Holding, v *view, now time.Time, at int64) {
	service := shard.name()
	p.mu.Lock()
	known := right.View{
		Now: now, Holding: holding, Self: holding.Node == p.settings.Node, Vacant: v.vacant, Heard: v.heard, Refused: v.refused,
		ProofAge: v.proofAge, StoreSound: p.storeSound(), Near: p.near(), Small: p.settings.Cores < smallCores, Load: len(p.holders), Jitter: p.jitter(service),
	}
	others := make([]netip.AddrPort, 0, len(v.peers))
	for _, address := range v.peers {
		if address != p.address && address != holding.Address {
			others = append(others, address)
		}
	}
	p.mu.Unlock()
	claim, cause := right.Decide(known)
	if !claim {
		return
	}
	if cause == "silent" {
		known.Others, known.Reached, known.Vouched = p.askOthers(ctx, service, holding, others)
		if claim, cause = right.Decide(known); !claim {
			return
		}
	}
	p.claim(ctx, shard, cause, now.Sub(v.heard), at)
}

func (p *Process) jitter(service string) float64 {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, p.settings.Node+"/"+service)
	return float64(sum.Sum32()%1000) / 1000
}

// askOthers asks the other nodes whether they hear the holder.
func (p *Process) askOthers(ctx context.Context, service string, holding right.Holding, others []netip.AddrPort) (asked, reached int, vouched bool) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	answers := make(chan *viewAnswer, len(others))
	for _, address := range others {
		go func() {
			answer, err := ask[viewAnswer](ctx, p.peers, address, pathView, jobRequest{Service: service})
			if err != nil {
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	for range others {
		if answer := <-answers; answer != nil {
			reached++
			if answer.Epoch == holding.Epoch && answer.Heard < right.SuspectAfter {
				vouched = true
			}
		}
	}
	return len(others), reached, vouched
}

// claim appends a claim, which fails if anybody appended after the node
// looked: at is the end of the rights then.
func (p *Process) claim(ctx context.Context, shard part, cause string, silence time.Duration, at int64) {
	service := shard.name()
	sent := time.Now()
	offset, end, err := p.appendRight(ctx, service, rightRecord{Node: p.settings.Node, Boot: p.boot, Address: p.address}, at)
	if err != nil {
		p.log("claim-failed", "service", service, "at", at, "cause", cause, "error", err)
		return
	}
	p.log("right-claimed", "service", service, "epoch", offset+1, "cause", cause, "silence", silence, "near", p.near())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rightsEnd = max(p.rightsEnd, end)
	p.rights[service] = right.Holding{Epoch: offset + 1, Node: p.settings.Node, Boot: p.boot, Address: p.address}
	h := newHolder(ctx, p, shard, offset+1)
	h.prove(sent)
	p.holders[service] = h
	p.announce()
	go func() {
		h.run()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.holders[service] == h {
			delete(p.holders, service)
		}
	}()
}

// appendRight appends a right's record if the rights still end at the offset.
func (p *Process) appendRight(ctx context.Context, service string, record rightRecord, at int64) (offset, end int64, err error) {
	value, err := cbor.Marshal(record)
	if err != nil {
		return 0, 0, fmt.Errorf("the right of %s: %w", service, err)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return p.store.Append(ctx, platform.Append{
		Partition: rightsPartition, At: at, Records: []platform.Record{{Key: service, Value: value}},
	})
}

// releaseRights stores what is left and gives the rights back.
func (p *Process) releaseRights() {
	p.mu.Lock()
	held := make([]*holder, 0, len(p.holders))
	for _, h := range p.holders {
		held = append(held, h)
	}
	p.mu.Unlock()
	for _, h := range held {
		p.release(h)
	}
}

// releaseSettle is the time in which orders on their way are answered and the
// last records stored before a right is released.
const releaseSettle = 150 * time.Millisecond

func (p *Process) release(h *holder) {
	h.released.Store(true)
	time.Sleep(releaseSettle)
	p.mu.Lock()
	at := p.rightsEnd
	p.mu.Unlock()
	record := rightRecord{Node: p.settings.Node, Boot: p.boot, Address: p.address, Released: true}
	offset, _, err := p.appendRight(context.Background(), h.service, record, at)
	if err != nil {
		p.log("release-failed", "service", h.service, "cause", err)
		return
	}
	p.log("right-released", "service", h.service, "epoch", h.epoch, "offset", offset)
	h.lose("released at the process's stop")
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

// peerHandler answers the other nodes.
func (p *Process) peerHandler() http.Handler {
	mux := http.NewServeMux()
	serveHolder(p, mux, pathSubmit, func(r submitRequest) string { return r.Service }, (*holder).submit)
	serveHolder(p, mux, pathState, func(r jobRequest) string { return r.Service }, (*holder).state)
	serveHolder(p, mux, pathCancel, func(r jobRequest) string { return r.Service }, (*holder).stopJob)
	serveHolder(p, mux, pathWaiting, func(r waitingRequest) string { return r.Service }, (*holder).waiting)
	serveHolder(p, mux, pathHello, func(r helloRequest) string { return r.Service }, (*holder).greeted)
	serve(mux, pathView, func(_ context.Context, r jobRequest) (any, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		v := p.views[r.Service]
		if v == nil || !v.refused.IsZero() || !v.vacant.IsZero() {
			return viewAnswer{}, nil
		}
		return viewAnswer{Epoch: v.holding.Epoch, Heard: time.Since(v.heard)}, nil
	})
	serve(mux, pathKnown, func(_ context.Context, r knownRequest) (any, error) { return p.known(r), nil })
	serve(mux, pathAdvise, func(ctx context.Context, r adviseRequest) (any, error) { return p.advise(ctx, r), nil })
	return mux
}

// serveHolder registers a message that the holder of its shard answers.
func serveHolder[Request, Answer any](p *Process, mux *http.ServeMux, path string, service func(Request) string, handle func(*holder, context.Context, Request) (Answer, error)) {
	serve(mux, path, func(ctx context.Context, request Request) (any, error) {
		h, err := p.holderOf(service(request))
		if err != nil {
			return nil, err
		}
		return handle(h, ctx, request)
	})
}

// holderOf returns the holder of a service in this process.
func (p *Process) holderOf(service string) (*holder, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.holders[service]; h != nil && !h.lost.Load() && !h.released.Load() {
		return h, nil
	}
	return nil, errNotHolder
}
