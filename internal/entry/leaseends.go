package entry

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/shard"
)

const (
	// leaseEndsInterval is the pause between two calls to the former leader, and
	// leaseEndsTimeout bounds one call: a few round trips between regions (60 ms
	// each).
	leaseEndsInterval = 400 * time.Millisecond
	leaseEndsTimeout  = 400 * time.Millisecond
)

// leaseEndsRequest asks a former leader of a shard to step down and to report when its
// leases end. Former is its claim, or the leadership record that the new leader replaced.
type leaseEndsRequest struct {
	Former peerLeader `cbor:"1,keyasint"`
	New    peerLeader `cbor:"2,keyasint"`
}

type leaseEndsAnswer struct {
	// Known means that the called process led the shard as Former, had loaded its
	// state, and grants no more leases.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Remaining is for how long leases of the former leader, or of leaders before
	// it, may last, by worker ID.
	Remaining map[string]time.Duration `cbor:"2,keyasint,omitempty"`
	// Ended means that Former grants no more leases, and EndedFor for how long it has
	// granted none at least.
	Ended    bool          `cbor:"3,keyasint,omitempty"`
	EndedFor time.Duration `cbor:"4,keyasint,omitempty"`
}

// endedLeadership is what a process keeps of its last leadership of a shard.
type endedLeadership struct {
	epoch, releasedEpoch int64
	leaseEnds            map[string]time.Time // nil if the shard's state was not loaded, or may be half changed
}

// handleLeaseEnds answers a leaseEndsRequest. The leader of the shard steps down first;
// an order that it still sends afterwards was decided, and its lease recorded, before.
func (p *Process) handleLeaseEnds(ctx context.Context, request leaseEndsRequest) (any, error) {
	former := request.Former
	if former.Node != p.settings.Node || request.New.Epoch <= former.Epoch {
		return leaseEndsAnswer{}, nil
	}
	if former.Boot != p.boot {
		// A node runs one process at a time, so the other one ended before this one started.
		if former.Address != p.address {
			return leaseEndsAnswer{}, nil
		}
		return leaseEndsAnswer{Ended: true, EndedFor: time.Since(p.startedAt)}, nil
	}
	p.mu.Lock()
	l, ended := p.ledShards[former.Shard], p.endedLeaderships[former.Shard]
	p.updateLeader(former.Shard, request.New.leader(), "node")
	p.mu.Unlock()
	if l != nil && l.isLeadership(former.Epoch) {
		l.stepDown("the next leader asked when the leases end")
		select {
		case <-l.ended:
			ended = l.endedLeadership()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if former.Epoch != ended.epoch && former.Epoch != ended.releasedEpoch {
		return leaseEndsAnswer{}, nil
	}
	if ended.leaseEnds == nil {
		return leaseEndsAnswer{Ended: true}, nil
	}
	answer := leaseEndsAnswer{Known: true, Ended: true, Remaining: make(map[string]time.Duration, len(ended.leaseEnds))}
	now := time.Now()
	for id, end := range ended.leaseEnds {
		answer.Remaining[id] = max(0, end.Sub(now))
	}
	return answer, nil
}

// endedLeadership returns what is kept of this leader. Call it once ended is closed.
func (l *shardLeader) endedLeadership() endedLeadership {
	return endedLeadership{epoch: l.epoch, releasedEpoch: l.releasedEpoch.Load(), leaseEnds: l.leaseEnds}
}

// isLeadership reports whether the leadership record of this epoch stands for this
// leader: its claim, or its release.
func (l *shardLeader) isLeadership(epoch int64) bool {
	return epoch == l.epoch || epoch == l.releasedEpoch.Load()
}

// askFormerLeaders asks the leaders before this one when their leases end, each until it
// answers or its leases have ended anyway.
func (l *shardLeader) askFormerLeaders() {
	asked := make(chan struct{}, len(l.predecessors))
	for i, claim := range l.predecessors {
		former := election.Leader{Epoch: claim.Epoch, Node: claim.Node, Boot: claim.Boot, Address: claim.Address}
		replaced := i == len(l.predecessors)-1
		if replaced {
			former = l.former
		}
		go func() {
			defer func() { asked <- struct{}{} }()
			l.guard("former leader", func() { l.askFormerLeader(claim.Epoch, former, replaced) })
		}()
	}
	for range l.predecessors {
		<-asked
	}
}

// askFormerLeader asks one former leader. The leases that it reports include those of the
// leaders before it, but only the replaced one knows them all. A process that was started
// later on its VM shows that it has ended.
func (l *shardLeader) askFormerLeader(epoch int64, former election.Leader, replaced bool) {
	p := l.process
	if former.Epoch == 0 || !former.Address.IsValid() {
		return
	}
	if former.Node == p.settings.Node && former.Boot != p.boot {
		endedAt := p.startedAt
		l.enqueue(func(time.Time) { l.shard.FormerLeaderEnded(epoch, endedAt) })
		return
	}
	request := leaseEndsRequest{
		Former: newPeerLeader(l.key, former),
		New:    newPeerLeader(l.key, election.Leader{Epoch: l.epoch, Node: p.settings.Node, Boot: p.boot, Address: p.address}),
	}
	var silence formerSilence
	for began := time.Now(); time.Since(began) < l.maxOrphanTimeout && l.ctx.Err() == nil; l.pause(leaseEndsInterval) {
		ctx, cancel := context.WithTimeout(l.ctx, leaseEndsTimeout)
		answer, err := callPeer[leaseEndsAnswer](ctx, p.peerClient, former.Address, pathLeaseEnds, request)
		cancel()
		if err != nil {
			silence.log(l, epoch, former, err)
			continue
		}
		received := time.Now()
		l.enqueue(func(time.Time) {
			lowered := 0
			if answer.Ended {
				// The clocks of two VMs may differ as much as that of a worker.
				endedFor := time.Duration(float64(answer.EndedFor) / shard.LeaseDriftFactor)
				lowered = l.shard.FormerLeaderEnded(epoch, received.Add(-endedFor))
			}
			if replaced {
				lowered += l.shard.LimitLeases(received, answer.Remaining)
			}
			p.log("former-leases", "service", l.key, "epoch", l.epoch, "from", former.Node, "former-epoch", epoch, "known", answer.Known, "ended", answer.Ended,
				"ended-for", answer.EndedFor, "workers", len(answer.Remaining), "lowered", lowered, "after", received.Sub(began))
		})
		return
	}
}
