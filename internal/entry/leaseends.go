package entry

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/election"
)

const (
	// leaseEndsInterval is the pause between two calls to the former leader, and
	// leaseEndsTimeout bounds one call: a few round trips between regions (60 ms
	// each).
	leaseEndsInterval = 400 * time.Millisecond
	leaseEndsTimeout  = 400 * time.Millisecond
)

// leaseEndsRequest asks the former leader of a shard to step down and to report when
// its leases end. Former is the leadership record that the new leader replaced.
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
	if former.Node != p.settings.Node || former.Boot != p.boot || request.New.Epoch <= former.Epoch {
		return leaseEndsAnswer{}, nil
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
	if ended.leaseEnds == nil || former.Epoch != ended.epoch && former.Epoch != ended.releasedEpoch {
		return leaseEndsAnswer{}, nil
	}
	answer := leaseEndsAnswer{Known: true, Remaining: make(map[string]time.Duration, len(ended.leaseEnds))}
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

// askFormerLeader asks the former leader when its leases end, until it answers or they
// have ended anyway. Without an answer nothing is known of the former leader and of those
// before it: another process at its address doesn't know what they granted.
func (l *shardLeader) askFormerLeader() {
	p, former := l.process, l.former
	if former.Epoch == 0 || !former.Address.IsValid() || former.Node == p.settings.Node && former.Boot != p.boot {
		return
	}
	request := leaseEndsRequest{
		Former: newPeerLeader(l.key, former),
		New:    newPeerLeader(l.key, election.Leader{Epoch: l.epoch, Node: p.settings.Node, Boot: p.boot, Address: p.address}),
	}
	for began := time.Now(); time.Since(began) < l.maxOrphanTimeout && l.ctx.Err() == nil; l.pause(leaseEndsInterval) {
		ctx, cancel := context.WithTimeout(l.ctx, leaseEndsTimeout)
		answer, err := callPeer[leaseEndsAnswer](ctx, p.peerClient, former.Address, pathLeaseEnds, request)
		cancel()
		if err != nil {
			continue
		}
		received := time.Now()
		l.enqueue(func(time.Time) {
			lowered := l.shard.LimitLeases(received, answer.Remaining)
			p.log("former-leases", "service", l.key, "epoch", l.epoch, "from", former.Node, "known", answer.Known, "workers", len(answer.Remaining), "lowered", lowered, "after", received.Sub(began))
		})
		return
	}
}
