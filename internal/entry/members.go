package entry

import (
	"context"
	"net/netip"
	"sort"
	"time"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// handleHeartbeat answers a heartbeat for the leader of a shard. Only the node that is
// named as the leader may say that it isn't.
func (p *Process) handleHeartbeat(ctx context.Context, heartbeat heartbeatRequest) (any, error) {
	if heartbeat.Leader != "" && heartbeat.Leader != p.settings.Node {
		return nil, errOtherNode
	}
	l, err := p.ledShard(heartbeat.Shard)
	if err != nil {
		return nil, err
	}
	return l.handleHeartbeat(ctx, heartbeat)
}

// handleHeartbeat records the sender as a live node and returns the leader's
// monitors.
func (l *shardLeader) handleHeartbeat(_ context.Context, heartbeat heartbeatRequest) (heartbeatAnswer, error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	sender := l.members[heartbeat.Address]
	if sender == nil {
		sender = &member{name: heartbeat.Node}
		l.members[heartbeat.Address] = sender
		l.liveSortedAt = time.Time{}
	}
	sender.lastHeard, sender.nearStore = now, heartbeat.NearStore
	answer := heartbeatAnswer{Epoch: l.epoch, ConfirmationAge: l.confirmationAge(), Interval: backgroundInterval(len(l.members))}
	for _, address := range l.liveNodes(now) {
		if address == l.process.address {
			continue
		}
		if len(answer.Monitors) == maxMonitors {
			break
		}
		answer.Monitors = append(answer.Monitors, address)
		answer.Monitor = answer.Monitor || address == heartbeat.Address
	}
	return answer, nil
}

// backgroundInterval is the heartbeat interval of a node that is no monitor of
// a leader with this number of nodes.
func backgroundInterval(nodes int) time.Duration {
	return backgroundHeartbeatInterval * time.Duration(max(nodes, nodesAtBackgroundInterval)) / nodesAtBackgroundInterval
}

// shortAdviceCallsPerNode is how many short calls for advice a leader may have in
// flight for each node that makes them: the adviser serves one at a time from
// each machine, and the others wait there, so that each begins as soon as the
// one before ends, also if the leader is in another region. The leader may have one long call in flight for each node that
// makes long calls.
const shortAdviceCallsPerNode = 4

// shortAdviceCallsPerSharedNode is the same for a node that also makes long calls: between
// two long calls the adviser serves all short calls that wait.
const shortAdviceCallsPerSharedNode = 8

// shortAdviceNodeDivisor reserves 1 of every 3 nodes, and 1 of 2, for short calls for
// advice, which take at most shard.MaxShortAdvice. All leaders choose the same
// nodes, in the order of liveNodes.
const shortAdviceNodeDivisor = 3

// liveNodesTTL is how long the sorted list of live nodes is cached: a third of
// a monitor's heartbeat interval.
const liveNodesTTL = 80 * time.Millisecond

// liveNodes returns the addresses of the live nodes, this one included. Nodes
// near the store come first, because the adviser is close to the store; nodes
// that are equal in this are sorted by address. The caller holds l.mu.
func (l *shardLeader) liveNodes(now time.Time) []netip.AddrPort {
	if now.Sub(l.liveSortedAt) < liveNodesTTL {
		return l.liveSorted
	}
	own := l.members[l.process.address]
	if own == nil {
		own = &member{name: l.process.settings.Node}
		l.members[l.process.address] = own
	}
	own.lastHeard, own.nearStore = now, l.process.nearStore()
	addresses := make([]netip.AddrPort, 0, len(l.members))
	timeout := max(memberTimeout, missedHeartbeatsTime(backgroundInterval(len(l.members))))
	for address, m := range l.members {
		if now.Sub(m.lastHeard) > timeout {
			delete(l.members, address)
			continue
		}
		addresses = append(addresses, address)
	}
	sort.Slice(addresses, func(i, j int) bool {
		if first, second := l.members[addresses[i]].nearStore, l.members[addresses[j]].nearStore; first != second {
			return first
		}
		return addresses[i].Compare(addresses[j]) < 0
	})
	l.liveSorted, l.liveSortedAt = addresses, now
	return addresses
}

// reservedNodes returns how many of the live nodes are reserved for short calls for
// advice. It is at least one as soon as there are two nodes: where both kinds share a node,
// each short call waits for a long call of each leader.
func reservedNodes(nodes int) int {
	if nodes < 2 {
		return 0
	}
	return max(1, nodes/shortAdviceNodeDivisor)
}

// adviceSlots is how many calls for advice, short and long, all live nodes
// together may have in flight.
func (l *shardLeader) adviceSlots() (short, long int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return adviceSlotsOf(len(l.liveNodes(time.Now())))
}

// adviceSlotsOf is how many calls for advice, short and long, this number of nodes may
// have in flight.
func adviceSlotsOf(nodes int) (short, long int) {
	reserved := reservedNodes(nodes)
	if reserved == 0 {
		return nodes * shortAdviceCallsPerSharedNode, nodes
	}
	return reserved * shortAdviceCallsPerNode, nodes - reserved
}

// leastLoadedNode picks the node for a call for advice: the one with the fewest
// such calls in flight, and of several the one near the store. Short calls go
// to the nodes that are reserved for them, long calls to the others. It adds the
// call to the node's adviceCalls.
func (l *shardLeader) leastLoadedNode(short bool) (netip.AddrPort, *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := l.liveNodes(time.Now())
	shortAdviceNodes := reservedNodes(len(addresses))
	if short && shortAdviceNodes > 0 {
		addresses = addresses[:shortAdviceNodes]
	} else {
		addresses = addresses[shortAdviceNodes:]
	}
	l.nextNode++
	best := addresses[l.nextNode%len(addresses)]
	for _, address := range addresses {
		m, bestMember := l.members[address], l.members[best]
		if m.adviceCalls < bestMember.adviceCalls || m.adviceCalls == bestMember.adviceCalls && m.nearStore && !bestMember.nearStore {
			best = address
		}
	}
	m := l.members[best]
	m.adviceCalls++
	return best, m
}

// requestAdvice sends a call for advice through the least loaded node.
func (l *shardLeader) requestAdvice(adviceRequest shard.AdviceRequest) {
	node, m := l.leastLoadedNode(adviceRequest.ExpectedTime <= shard.MaxShortAdvice)
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, adviceRequest.ExpectedTime+adviceTimeout)
		defer cancel()
		var answer adviseAnswer
		var err error
		request := adviseRequest{Step: adviceRequest.Step, Workers: adviceRequest.Workers}
		err = guardedCall(func() (err error) {
			if node != l.process.address {
				answer, err = callPeer[adviseAnswer](ctx, l.process.peerClient, node, pathAdvise, request)
			} else {
				answer = l.process.askAdviser(ctx, request)
			}
			return err
		})
		l.mu.Lock()
		m.adviceCalls--
		l.mu.Unlock()
		cause := answer.Cause
		if err != nil {
			cause = err.Error()
		}
		l.enqueue(func(now time.Time) { l.shard.AdviceAnswered(now, adviceRequest, answer.Allowed, cause) })
	}()
}
