package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/platform"
)

// applyLeadershipRecord applies a record of the leadership topic. One that can't be
// read still replaces the leader before it, by a leader of which only the epoch is
// known. The caller holds p.mu.
func (p *Process) applyLeadershipRecord(record platform.Record) {
	if service, found := strings.CutPrefix(record.Key, shardCountKey); found {
		p.applyShardCount(service, record)
		return
	}
	if service, found := strings.CutPrefix(record.Key, countingKey); found {
		p.applyCountingNode(service, string(record.Value))
		return
	}
	if strings.HasPrefix(record.Key, queueHistoryKey) {
		p.applyQueueRecord(record)
		return
	}
	var decoded leaderRecord
	if err := cbor.Unmarshal(record.Value, &decoded); err != nil {
		p.log("record-unreadable", "key", record.Key, "cause", err)
		decoded = leaderRecord{}
	}
	p.updateLeader(record.Key, election.Leader{
		Epoch: record.Offset + 1, Node: decoded.Node, Boot: decoded.Boot, Address: decoded.Address, Released: decoded.Released, ReleasedClaim: decoded.ReleasedClaim,
		Predecessors: decoded.Predecessors, LimitsLeases: decoded.LimitsLeases,
	}, "store")
}

// updateLeader records a shard's leader as reported by the store or another
// node, if its epoch is newer. The caller holds p.mu.
func (p *Process) updateLeader(key string, leader election.Leader, from string) {
	if p.leaders[key].Epoch >= leader.Epoch {
		return
	}
	p.leaders[key] = leader
	p.log("right-seen", "service", key, "epoch", leader.Epoch, "holder", leader.Node, "boot", leader.Boot, "released", leader.Released, "from", from)
	if l := p.ledShards[key]; l != nil && leader.Epoch > l.epoch && !(leader.Node == p.settings.Node && leader.Boot == p.boot) {
		l.stepDown("another node has a newer claim")
	}
	p.notifyLeadersChanged()
}

// notifyLeadersChanged wakes the goroutines that wait for a change of leaders
// or of shard counts. The caller holds p.mu.
func (p *Process) notifyLeadersChanged() {
	close(p.leadersChanged)
	p.leadersChanged = make(chan struct{})
}

// superviseShards runs superviseShard for each shard until the context ends.
func (p *Process) superviseShards(ctx context.Context) {
	supervised := map[string]chan struct{}{}
	for ctx.Err() == nil {
		p.mu.Lock()
		leadersChanged := p.leadersChanged
		p.mu.Unlock()
		for _, ref := range p.shards(ctx) {
			if supervised[ref.key()] == nil {
				done := make(chan struct{})
				supervised[ref.key()] = done
				go func() {
					defer close(done)
					p.keepRunning(ctx, "shard "+ref.key(), func(ctx context.Context) { p.superviseShard(ctx, ref) })
				}()
			}
		}
		select {
		case <-ctx.Done():
		case <-leadersChanged:
		case <-time.After(election.CheckInterval):
		}
	}
	for _, done := range supervised {
		<-done
	}
}

// shards returns the shards of all services that may have jobs. For a service without a
// shard count it calls countShards.
func (p *Process) shards(ctx context.Context) []shardRef {
	if p.manifest.Load() == nil {
		return nil
	}
	var shards []shardRef
	for _, service := range p.jobServices() {
		p.mu.Lock()
		count, leadersRead := p.shardCounts[service], p.leadersRead
		p.mu.Unlock()
		if count == 0 && leadersRead {
			p.countShards(ctx, service)
			continue
		}
		for index := range count {
			shards = append(shards, shardRef{service, index, count})
		}
	}
	return shards
}

// superviseShard sends heartbeats to a shard's leader and claims leadership
// when it is vacant, until the context ends.
func (p *Process) superviseShard(ctx context.Context, ref shardRef) {
	key := ref.key()
	lastHeartbeat := time.Time{}
	var pending chan heartbeatResult
	heartbeatTarget := election.Leader{}
	for ctx.Err() == nil {
		p.mu.Lock()
		leader, leadersRead, leadersChanged, expectedEnd := p.leaders[key], p.leadersRead, p.leadersChanged, p.leadersEnd
		v := p.viewOfLeader(key, leader)
		leading := p.ledShards[key] != nil
		p.mu.Unlock()
		now := time.Now()
		ownRecord := leader.Node == p.settings.Node
		due := now.Sub(lastHeartbeat) >= heartbeatInterval(v) || heartbeatTarget.Epoch != leader.Epoch
		if pending == nil && !ownRecord && leader.Epoch > 0 && due {
			lastHeartbeat, heartbeatTarget = now, leader
			pending = make(chan heartbeatResult, 1)
			go func(result chan heartbeatResult) { result <- p.sendHeartbeat(ctx, key, leader) }(pending)
		}
		wait := election.CheckInterval
		if leadersRead && !leading && !p.stopping.Load() {
			wait = p.maybeClaim(ctx, ref, leader, v, now, expectedEnd)
		}
		select {
		case <-ctx.Done():
		case result := <-pending:
			pending = nil
			p.applyHeartbeat(key, heartbeatTarget, result)
		case <-leadersChanged:
		case <-time.After(wait):
		}
	}
}

// viewOfLeader returns the view of a shard's leader. For a new leader it
// creates one, which keeps the monitors of the former leader. The caller holds
// p.mu.
func (p *Process) viewOfLeader(key string, leader election.Leader) *leaderView {
	v := p.leaderViews[key]
	if v == nil || v.leader.Epoch != leader.Epoch {
		next := &leaderView{leader: leader, learnedAt: time.Now(), lastHeard: time.Now()}
		if v != nil {
			next.monitorAddresses, next.isMonitor, next.heartbeatInterval = v.monitorAddresses, v.isMonitor, v.heartbeatInterval
			next.hasFormerMonitors = len(v.monitorAddresses) > 0
		}
		if leader.Epoch == 0 || leader.Released || leader.Node == p.settings.Node {
			next.vacantSince = time.Now()
		}
		p.leaderViews[key] = next
		v = next
	}
	return v
}

// heartbeatResult is the answer to a heartbeat, or the error, and when the
// heartbeat was sent.
type heartbeatResult struct {
	answer heartbeatAnswer
	err    error
	sent   time.Time
}

// sendHeartbeat sends one heartbeat to the leader of a shard.
func (p *Process) sendHeartbeat(ctx context.Context, key string, leader election.Leader) heartbeatResult {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := callPeer[heartbeatAnswer](ctx, p.peerClient, leader.Address, pathHeartbeat, heartbeatRequest{
		Shard: key, Leader: leader.Node, Node: p.settings.Node, Address: p.address, NearStore: p.nearStore() && p.settings.Cores >= smallVMCores,
	})
	return heartbeatResult{answer, err, sent}
}

// applyHeartbeat updates the view of heartbeatTarget, the leader that a
// heartbeat was sent to, with its result.
func (p *Process) applyHeartbeat(key string, heartbeatTarget election.Leader, result heartbeatResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.leaderViews[key]
	if v == nil || v.leader.Epoch != heartbeatTarget.Epoch {
		return
	}
	now := time.Now()
	switch {
	case result.err == nil:
		v.lastHeard, v.refusedSince = result.sent, time.Time{}
		if !v.leader.Released {
			v.vacantSince = time.Time{}
		}
		v.confirmationAge, v.isMonitor = result.answer.ConfirmationAge, result.answer.Monitor
		v.heartbeatInterval = result.answer.Interval
		// At first a leader knows only the nodes close to it, which may all be cut off.
		if !v.hasFormerMonitors || now.Sub(v.learnedAt) >= memberTimeout {
			v.monitorAddresses, v.hasFormerMonitors = result.answer.Monitors, false
		}
	case errors.Is(result.err, errNotLeader):
		// A new leader refuses heartbeats until it learns that its claim was
		// stored. Only a heartbeat that was sent later shows that it never leads.
		if v.vacantSince.IsZero() && result.sent.Sub(v.learnedAt) >= vacantAfter {
			v.vacantSince = now
		}
	case hadNoEffect(result.err) && !isTimeout(result.err):
		if v.refusedSince.IsZero() {
			v.refusedSince = now
		}
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// maybeClaim claims leadership of the shard if it may. It returns the time
// until the next check.
func (p *Process) maybeClaim(ctx context.Context, ref shardRef, leader election.Leader, v *leaderView, now time.Time, expectedEnd int64) time.Duration {
	key := ref.key()
	p.mu.Lock()
	if failedAt, failed := p.leaderFailures[key]; failed && now.Sub(failedAt) < leaderFailurePause {
		p.mu.Unlock()
		return election.CheckInterval
	}
	view := election.View{
		Now: now, Leader: leader, OwnRecord: leader.Node == p.settings.Node, VacantSince: v.vacantSince, LastHeard: v.lastHeard, RefusedSince: v.refusedSince,
		ConfirmationAge: v.confirmationAge, StoreHealthyFor: p.storeHealthyFor(), NearStore: p.nearStore(), SmallVM: p.settings.Cores < smallVMCores,
		ShardsLed: len(p.ledShards), Shards: len(p.leaderViews), Jitter: p.jitter(key),
		StartedLater: p.boot > leader.Boot, IsMonitor: v.isMonitor, HeartbeatInterval: v.heartbeatInterval,
	}
	peers := make([]netip.AddrPort, 0, len(v.monitorAddresses))
	for _, address := range v.monitorAddresses {
		if address != p.address && address != leader.Address {
			peers = append(peers, address)
		}
	}
	p.mu.Unlock()
	claim, cause := election.Decide(view)
	if !claim {
		return election.NextCheck(view)
	}
	if cause == election.Silent {
		p.askPeers(ctx, key, peers, &view)
		if view.CutOffFromStoreRegion() {
			view.LeaderSilentOnIdleLink = p.leaderSilentOnIdleLink(ctx, key, leader, expectedEnd)
		}
		if view.MustObserveAppends() {
			view.LastAppend, view.QuietFor = p.observeAppends(ctx, ref, v, now)
		}
		if claim, cause = election.Decide(view); !claim {
			return election.CheckInterval
		}
	}
	if cause.NeedsProbe() {
		storeTime, served := p.probeStore(ctx, expectedEnd)
		if !served || cause == election.Unconfirmed && (p.storeSilentLately(storeTime) || p.leaderMayBeConfirmed(ctx, key, leader, storeTime)) {
			return election.CheckInterval
		}
	}
	p.mu.Lock()
	allowed := p.claimLimiter.Begin(now)
	p.mu.Unlock()
	if !allowed {
		return claimRetryPause
	}
	stored := p.claim(ctx, ref, leader, cause, now.Sub(v.lastHeard), expectedEnd)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claimLimiter.End(time.Now(), stored, rand.Float64())
	return claimRetryPause
}

// observeAppends reads the ends of the shard's partitions if that is due. It returns when
// this node last found that the leader had appended records, and for how long it has found
// none; 0 if it didn't read the ends now. Both partitions must answer, as a new leader has
// to read both.
func (p *Process) observeAppends(ctx context.Context, ref shardRef, v *leaderView, now time.Time) (lastAppend time.Time, quietFor time.Duration) {
	if now.Before(v.readEndsAt) {
		return v.lastAppend, 0
	}
	v.readEndsAt = now.Add(overloadRetryPause)
	var ends [ledger.Partitions]int64
	for i := range ends {
		end, err := p.store.End(ctx, ref.partition(i, p.settings.Store.Partitions), claimProbeTimeout)
		if err != nil {
			return v.lastAppend, 0
		}
		ends[i] = end
	}
	v.readEndsAt = now.Add(election.QuietAfter)
	switch {
	case v.quietSince.Before(v.lastHeard):
		v.ends, v.quietSince = ends, now
	case ends != v.ends:
		v.ends, v.quietSince, v.lastAppend = ends, now, now
	}
	return v.lastAppend, now.Sub(v.quietSince)
}

// appendsPerRead is how many times as long as a read an append may take at a slow store.
const appendsPerRead = 4

// leaderMayBeConfirmed asks a leader for the age of its confirmation, which may have been
// renewed since the last heartbeat. It reports whether the age is normal for a store that
// takes storeTime for a read, or the leader doesn't answer in time.
func (p *Process) leaderMayBeConfirmed(ctx context.Context, key string, leader election.Leader, storeTime time.Duration) bool {
	result := p.sendHeartbeat(ctx, key, leader)
	p.applyHeartbeat(key, leader, result)
	if result.err != nil {
		return isTimeout(result.err)
	}
	return result.answer.ConfirmationAge < election.StaleConfirmationAge+appendsPerRead*storeTime
}

// idleLinkFactor is up to how many times its lowest latency the store may take over a link
// that counts as idle.
const idleLinkFactor = 3

// leaderSilentOnIdleLink reports whether the link to the store is idle and the leader
// doesn't answer a heartbeat. If the link were full, neither would be answered in time.
func (p *Process) leaderSilentOnIdleLink(ctx context.Context, key string, leader election.Leader, expectedEnd int64) bool {
	lowest := time.Duration(p.storeLatency.Load())
	if took, served := p.probeStore(ctx, expectedEnd); !served || took > idleLinkFactor*lowest {
		return false
	}
	result := p.sendHeartbeat(ctx, key, leader)
	p.applyHeartbeat(key, leader, result)
	return result.err != nil
}

// probeStore reads the leadership topic. It reports the time that the store took, and
// whether it answered and the topic still ends at expectedEnd. A claim that is sent to a
// silent store may be carried out when the store recovers, and replace a leader that
// works.
func (p *Process) probeStore(ctx context.Context, expectedEnd int64) (took time.Duration, served bool) {
	ctx, cancel := context.WithTimeout(ctx, claimProbeTimeout)
	defer cancel()
	sent := time.Now()
	result, err := p.store.Read(ctx, leadershipPartition, expectedEnd, 0, claimProbeTimeout)
	return time.Since(sent), err == nil && result.End == expectedEnd
}

// jitter returns a number in [0, 1) that differs between nodes and between
// keys.
func (p *Process) jitter(key string) float64 {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, p.settings.Node+"/"+key)
	return float64(sum.Sum32()%1000) / 1000
}

// askPeers asks other nodes whether the leader of the view answers their heartbeats, and
// records in the view what they reply.
func (p *Process) askPeers(ctx context.Context, key string, peers []netip.AddrPort, view *election.View) {
	ctx, cancel := context.WithTimeout(ctx, peerViewTimeout)
	defer cancel()
	answers := make(chan *viewAnswer, len(peers))
	for _, address := range peers {
		go func() {
			answer, err := callPeer[viewAnswer](ctx, p.peerClient, address, pathView, jobRequest{Shard: key})
			if err != nil {
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	view.PeersAsked, view.PeersChecked = len(peers), true
	for range peers {
		answer := <-answers
		if answer == nil {
			continue
		}
		view.PeersReached++
		view.NearPeerReached = view.NearPeerReached || answer.NearStore
		view.HeardByPeer = view.HeardByPeer || answer.Epoch == view.Leader.Epoch && answer.SinceHeard < election.SuspectAfter
	}
}

// claim appends a leadership record that names this process. The append fails
// unless the topic still ends at expectedEnd. If it succeeds, this process
// starts to lead the shard, unless it has learned of a newer claim meanwhile, or
// the answer is so late that others may take the shard for vacant. claim reports
// whether the record is stored.
func (p *Process) claim(ctx context.Context, ref shardRef, former election.Leader, cause election.Cause, silence time.Duration, expectedEnd int64) bool {
	key := ref.key()
	sent := p.sinceBoot()
	predecessors := formerClaims(former)
	record := leaderRecord{Node: p.settings.Node, Boot: p.boot, Address: p.address, Predecessors: predecessors, LimitsLeases: true}
	offset, end, err := p.appendLeaderRecord(ctx, key, record, expectedEnd)
	if err != nil {
		p.log("claim-failed", "service", key, "at", expectedEnd, "cause", cause, "error", err)
		return false
	}
	p.log("right-claimed", "service", key, "epoch", offset+1, "cause", cause, "silence", silence, "near", p.nearStore(),
		"former", former.Node, "former-boot", former.Boot, "former-epoch", former.Epoch, "former-acts-for", cause.FormerLeaderActsFor(),
		"former-limits-leases", former.LimitsLeases, "predecessors", len(predecessors))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leadersEnd = max(p.leadersEnd, end)
	if p.leaders[key].Epoch > offset+1 {
		p.log("right-lost", "service", key, "epoch", offset+1, "cause", "another node has a newer claim")
		return true
	}
	p.leaders[key] = election.Leader{Epoch: offset + 1, Node: p.settings.Node, Boot: p.boot, Address: p.address, Predecessors: predecessors, LimitsLeases: true}
	if p.sinceBoot()-sent >= claimTimeout { // the process was paused
		p.log("right-lost", "service", key, "epoch", offset+1, "cause", "the answer to the claim was late")
		p.notifyLeadersChanged()
		return true
	}
	l := newShardLeader(ctx, p, ref, offset+1, former, cause.FormerLeaderActsFor())
	l.confirm(sent)
	p.ledShards[key] = l
	p.notifyLeadersChanged()
	go func() {
		l.run()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.ledShards[key] == l {
			delete(p.ledShards, key)
		}
		if p.endedLeaderships[key].epoch < l.epoch {
			p.endedLeaderships[key] = l.endedLeadership()
		}
	}()
	return true
}

// appendLeaderRecord appends a shard's leadership record if the topic still
// ends at expectedEnd.
func (p *Process) appendLeaderRecord(ctx context.Context, key string, record leaderRecord, expectedEnd int64) (offset, end int64, err error) {
	value, err := cbor.Marshal(record)
	if err != nil {
		return 0, 0, fmt.Errorf("encoding the leadership record of %s: %w", key, err)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return p.appendAtEnd(ctx, platform.Record{Key: key, Value: value}, expectedEnd)
}

// appendAtEnd appends a record to the leadership topic if it still ends at
// expectedEnd.
func (p *Process) appendAtEnd(ctx context.Context, record platform.Record, expectedEnd int64) (offset, end int64, err error) {
	return p.store.Append(ctx, platform.Append{Partition: leadershipPartition, ExpectedEnd: expectedEnd, Records: []platform.Record{record}})
}

// heartbeatInterval is the time between two heartbeats to a leader.
func heartbeatInterval(v *leaderView) time.Duration {
	if v.isMonitor {
		return monitorHeartbeatInterval
	}
	return max(backgroundHeartbeatInterval, v.heartbeatInterval)
}

// releaseAll releases leadership of all shards that this process leads, so that
// other nodes claim them. It returns a function that waits until they have or
// ctx ends.
func (p *Process) releaseAll(ctx context.Context) (wait func()) {
	p.mu.Lock()
	led := make([]*shardLeader, 0, len(p.ledShards))
	for _, l := range p.ledShards {
		led = append(led, l)
	}
	p.mu.Unlock()
	for _, l := range led {
		go p.release(ctx, l)
	}
	return func() {
		for _, l := range led {
			select {
			case <-l.ended:
			case <-ctx.Done():
				p.log("right-left", "service", l.key, "epoch", l.epoch, "offered", l.released.Load())
			}
		}
	}
}

// release releases leadership of a shard. It retries, because no node can claim
// until the store has the release. The leader goes on until another node
// claims, so no work waits meanwhile. Another node may claim before the answer
// arrives, so leadership counts as released unless no append can be carried out.
func (p *Process) release(ctx context.Context, l *shardLeader) {
	mayBeStored := false
	for ctx.Err() == nil && l.ctx.Err() == nil {
		p.mu.Lock()
		expectedEnd := p.leadersEnd
		p.mu.Unlock()
		record := leaderRecord{
			Node: p.settings.Node, Boot: p.boot, Address: p.address, Released: true, ReleasedClaim: l.epoch, Predecessors: l.predecessors,
			LimitsLeases: true,
		}
		l.released.Store(true)
		offset, _, err := p.appendLeaderRecord(ctx, l.key, record, expectedEnd)
		if err == nil {
			l.releasedEpoch.Store(offset + 1)
			p.log("right-released", "service", l.key, "epoch", l.epoch, "offset", offset)
			return
		}
		mayBeStored = mayBeStored || !platform.HadNoEffect(err)
		l.released.Store(mayBeStored)
		p.log("release-failed", "service", l.key, "cause", err)
		l.pause(appendRetryPause)
	}
}
