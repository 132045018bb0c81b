// Package entry is the process on an entry VM on the users' platform. It takes
// callers' requests, forwards each to the node that leads the shard of the job,
// and leads shards itself.
//
// # Usage
//
//	process := entry.New(settings, recorder)
//	err := process.Run(ctx) // until the context ends and open requests are answered
//
// Every process serves callers. A service's workers and jobs are divided into
// shards. The leader of a shard is named by a record in the platform's store
// (package election). The leader runs the shard (package shard), and no other node
// orders starts on the shard's workers. Nodes learn of each other from the
// leadership records and by sending heartbeats to the leaders. Events and
// topics call leadership of a shard a "right".
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

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/internal/uptime"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// followPollWait is how long the store may delay its answer to a long poll.
	// followTimeout is how long no byte of the answer may arrive, so that a dead
	// connection is noticed well within the 3 s in which a new manifest has to be
	// in force.
	followPollWait = 1000 * time.Millisecond
	followTimeout  = 1600 * time.Millisecond
	// pollMargin is how much longer than followPollWait a poll takes at a store that answers.
	pollMargin = 100 * time.Millisecond
	// firstReadTimeout bounds the first try to read a topic's newest records.
	// It doubles up to followTimeout, so that a store that didn't answer when
	// the process started is read soon after its recovery.
	firstReadTimeout = 400 * time.Millisecond
	// followRetryPause is the pause after a failed poll.
	followRetryPause = 100 * time.Millisecond
	// overloadRetryPause is the pause after a poll that the store refused
	// because of its rate limit. With it, 1,000 nodes that poll two topics each
	// make 5,000 calls a second.
	overloadRetryPause = 400 * time.Millisecond
	// monitorHeartbeatInterval is the time between two heartbeats of a monitor,
	// so that three fit into election.SuspectAfter. The other nodes send
	// heartbeats so that the leader knows them.
	monitorHeartbeatInterval    = 250 * time.Millisecond
	backgroundHeartbeatInterval = 800 * time.Millisecond
	// nodesAtBackgroundInterval is the number of nodes up to which each sends
	// heartbeats to a leader at backgroundHeartbeatInterval. With more nodes
	// the interval grows, which bounds a leader's load to 80 heartbeats a
	// second and the traffic between regions to some Mbit/s.
	nodesAtBackgroundInterval = 64
	// maxMonitors is how many nodes monitor a leader: enough that one of them
	// is alive to claim. The answer to each heartbeat lists them all, so
	// without this bound the traffic would grow with the square of the nodes.
	maxMonitors = 8
	// heartbeatTimeout bounds a heartbeat: a few round trips between regions
	// (60 ms each).
	heartbeatTimeout = 400 * time.Millisecond
	// peerViewTimeout bounds the calls that ask other nodes about a leader.
	peerViewTimeout = 300 * time.Millisecond
	// nearStoreLatency is the highest latency of a store in the node's own
	// region.
	nearStoreLatency = 25 * time.Millisecond
	// smallVMCores is the share of a core below which a VM leaves leadership to
	// larger ones: a shard of 90 workers takes up to 0.15 cores.
	smallVMCores = 0.3
	// unreadyAfter is how long a node may reach no leader before it tells the
	// load balancer that it isn't ready: the time in which a dead leader is
	// detected and replaced.
	unreadyAfter = 2 * time.Second
	// claimRetryPause is the pause of a node that may not claim now, or has
	// just claimed, until it decides again: as long as the longest pause after
	// one failed claim.
	claimRetryPause = 20 * time.Millisecond
	// claimProbeTimeout bounds the read that shows, before a claim, that the store
	// serves this node. It covers a store that is 60 times slower than usual (240 ms
	// for a read), called from another region.
	claimProbeTimeout = 400 * time.Millisecond
	// claimTimeout bounds the append of a leadership record.
	claimTimeout = 1 * time.Second
	// vacantAfter is how long after its claim a leader may refuse heartbeats until
	// the shard counts as vacant: claimTimeout, with a margin for the difference
	// of two clocks.
	vacantAfter = claimTimeout + claimTimeout/10
	// drainListenTime is how long a stopping process still accepts connections:
	// the load balancer needs two health checks, a second apart.
	drainListenTime = 2200 * time.Millisecond
	// drainReserve is the part of the grace period that is kept for the end of
	// the process.
	drainReserve = 800 * time.Millisecond
)

// leadershipPartition holds the newest leadership record of each shard.
var leadershipPartition = platform.Partition{Topic: platform.KeyedPrefix + "rights"}

// leaderRecord is a shard's leadership record in the store. The epoch is the
// record's offset + 1.
type leaderRecord struct {
	Node     string         `cbor:"1,keyasint"`
	Boot     int64          `cbor:"2,keyasint"`
	Address  netip.AddrPort `cbor:"3,keyasint"`
	Released bool           `cbor:"4,keyasint,omitempty"`
	// ReleasedClaim is the epoch of the claim that was released.
	ReleasedClaim int64 `cbor:"5,keyasint,omitempty"`
	// Predecessors are the claims of the leaders before the one of the claim.
	Predecessors []election.Claim `cbor:"6,keyasint,omitempty"`
	// LimitsLeases is that of election.Leader. It is not set by earlier programs.
	LimitsLeases bool `cbor:"8,keyasint,omitempty"`
}

// Process is the process of one entry VM.
type Process struct {
	settings   platform.Settings
	startedAt  time.Time
	boot       int64          // start of the process, in ns of Unix time; tells restarts apart
	address    netip.AddrPort // for traffic between nodes
	store      *platform.Store
	adviser    *platform.Adviser
	peerClient *peerClient
	recorder   *event.Recorder
	metrics    *processMetrics

	// sinceBoot reads the clock that times the confirmations of leadership. It goes on
	// while the VM is suspended.
	sinceBoot func() time.Duration

	lastCountAttempt time.Time // used only by superviseShards

	manifest     atomic.Pointer[manifest.Manifest]
	manifestLost atomic.Bool  // reads of the manifest from the store fail
	storeLatency atomic.Int64 // lowest latency of a read of the store's newest records, in ns
	// storeHealthySince is when the store answered first since a poll last failed, and
	// storeAnsweredAt when it answered last, in ns since startedAt. They are 0 if a poll
	// has failed since, or none was answered.
	storeHealthySince, storeAnsweredAt atomic.Int64
	// storeGap is the last time between two answered polls that was longer than followPollWait,
	// and storeGapEndedAt when it ended, both in ns; see storeSilentLately.
	storeGap, storeGapEndedAt atomic.Int64
	stopping                  atomic.Bool

	mu sync.Mutex
	// manifestText is the manifest in force, as the operator wrote it.
	manifestText   []byte
	shardCounts    map[string]int             // by service
	queueHistories map[string]queueHistory    // by queueKey
	countingNodes  map[string]countingNode    // by service; the node that computes the shard count
	leaders        map[string]election.Leader // by shard key
	leadersEnd     int64                      // highest known end offset of the leadership topic
	claimLimiter   election.ClaimLimiter
	leadersRead    bool                    // the leadership topic has been read once
	ledShards      map[string]*shardLeader // by shard key
	leaderViews    map[string]*leaderView  // by shard key
	leadersChanged chan struct{}           // closed and replaced when leaders, shardCounts or queueHistories change
	// endedLeaderships holds the last leadership of each shard that this process has
	// led and leads no more, by shard key.
	endedLeaderships map[string]endedLeadership
	leaderFailures   map[string]time.Time // by shard key; when a panic ended this node's leadership
}

// leaderView is what the process knows of a shard's leader.
type leaderView struct {
	leader            election.Leader
	learnedAt         time.Time     // when this process learned of the leader
	lastHeard         time.Time     // when the last answered heartbeat was sent; at first learnedAt
	refusedSince      time.Time     // zero unless connections to the leader are refused
	vacantSince       time.Time     // zero unless the shard seems to have no leader
	confirmationAge   time.Duration // in the leader's last answer
	isMonitor         bool          // this node is one of the leader's monitors
	heartbeatInterval time.Duration // of this node, unless it is a monitor
	monitorAddresses  []netip.AddrPort
	hasFormerMonitors bool // monitorAddresses are those of the former leader

	// The following fields are used only by superviseShard, through observeAppends.
	ends       [ledger.Partitions]int64 // of the shard's partitions, as last read
	quietSince time.Time                // when the node first read these ends
	lastAppend time.Time                // when the node last found that the ends had changed
	readEndsAt time.Time                // when to read the ends next
}

// New returns a process that has not started.
func New(settings platform.Settings, recorder *event.Recorder) *Process {
	now := time.Now()
	p := &Process{
		settings: settings, startedAt: now, boot: now.UnixNano(),
		address:          netip.AddrPortFrom(settings.IP, settings.FirstPeerPort),
		store:            platform.NewStore(settings.Store.Address),
		peerClient:       newPeerClient(),
		recorder:         recorder,
		metrics:          newProcessMetrics(),
		sinceBoot:        uptime.Now,
		shardCounts:      map[string]int{},
		queueHistories:   map[string]queueHistory{},
		countingNodes:    map[string]countingNode{},
		leaders:          map[string]election.Leader{},
		ledShards:        map[string]*shardLeader{},
		leaderViews:      map[string]*leaderView{},
		leadersChanged:   make(chan struct{}),
		leaderFailures:   map[string]time.Time{},
		endedLeaderships: map[string]endedLeadership{},
	}
	if settings.AdviserAddress.IsValid() {
		p.adviser = platform.NewAdviser(settings.AdviserAddress)
	}
	return p
}

// log records an event by its name in the catalogue.
func (p *Process) log(name string, keyvals ...any) {
	p.metrics.countEvent(name)
	p.recorder.RecordByName(name, keyvals...)
}

// Run serves until the context ends. It then releases leadership of its shards,
// answers open requests and returns. It returns an error only if a listener
// fails.
func (p *Process) Run(ctx context.Context) error {
	p.log("process-started", "zone", p.settings.Zone, "boot", p.boot, "peer-address", p.address, "first-start", p.settings.FirstStart)
	servers := map[string]*http.Server{
		p.settings.CallerAddress.String(): {Handler: p.callerAPI()},
		p.settings.ReadyAddress.String():  {Handler: http.HandlerFunc(p.serveReady)},
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
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	loops := map[string]func(context.Context){
		"manifest": p.followManifest, "leaders": p.followLeaders, "shards": p.superviseShards, "peers": p.pollPeers,
	}
	ended := make(chan struct{}, len(loops))
	for name, loop := range loops {
		go func() { p.keepRunning(workCtx, name, loop); ended <- struct{}{} }()
	}
	select {
	case err := <-failures:
		return fmt.Errorf("serving a listener: %w", err)
	case <-ctx.Done():
	}
	p.drain(servers[p.settings.CallerAddress.String()])
	cancel()
	for range loops {
		<-ended
	}
	p.log("process-stopped", "after", time.Since(p.startedAt))
	return nil
}

// Reload logs the result of reading the settings again: whether they changed,
// or the error. The settings in force stay until the next start. The log shows
// an operator which processes still run with the old ones.
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

// drain releases leadership and completes open requests within the grace
// period.
func (p *Process) drain(callers *http.Server) {
	drainStart := time.Now()
	p.stopping.Store(true)
	p.log("process-stopping", "grace", p.settings.Bounds.StopGrace)
	callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithDeadline(context.Background(), drainStart.Add(p.settings.Bounds.StopGrace-drainReserve))
	defer cancel()
	awaitClaims := p.releaseAll(ctx)
	time.Sleep(time.Until(drainStart.Add(drainListenTime)))
	if err := callers.Shutdown(ctx); err != nil {
		p.log("requests-left-open", "cause", err)
	}
	awaitClaims()
}

// serveReady answers the load balancer's health check.
func (p *Process) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath || p.stopping.Load() || p.manifest.Load() == nil || p.isolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isolated reports whether the node can serve no request: it leads no shard
// with a recent confirmation, and every leader has been silent for longer than
// its replacement takes.
func (p *Process) isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.ledShards {
		if l.confirmationAge() < unreadyAfter {
			return false
		}
	}
	known := false
	for key, leader := range p.leaders {
		v := p.leaderViews[key]
		if v == nil || leader.Epoch == 0 || leader.Node == p.settings.Node {
			continue
		}
		known = true
		if v.leader.Epoch != leader.Epoch || time.Since(v.lastHeard) < max(unreadyAfter, missedHeartbeatsTime(v.heartbeatInterval)) {
			return false
		}
	}
	return known
}

// missedHeartbeatsTime is how long election.MissedHeartbeats heartbeats take at
// this interval.
func missedHeartbeatsTime(interval time.Duration) time.Duration {
	return time.Duration(election.MissedHeartbeats * float64(interval))
}

// askAdviser calls the placement adviser from this machine.
func (p *Process) askAdviser(ctx context.Context, request adviseRequest) adviseAnswer {
	if p.adviser == nil {
		return adviseAnswer{Cause: "the settings name no adviser"}
	}
	allowed, err := p.adviser.Advise(ctx, request.Step, request.Workers)
	if err != nil {
		return adviseAnswer{Cause: err.Error()}
	}
	return adviseAnswer{Allowed: allowed}
}

// ledShard returns the shard with this key if this process leads it, and
// errNotLeader otherwise.
func (p *Process) ledShard(key string) (*shardLeader, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.ledShards[key]; l != nil && !l.lost.Load() {
		return l, nil
	}
	return nil, errNotLeader
}
