package entry

import (
	"context"
	"net/netip"
	"sort"
	"time"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// greeted notes a living node and returns those that watch this holder.
func (h *holder) greeted(_ context.Context, hello helloRequest) (helloAnswer, error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.members[hello.Address]
	if known == nil {
		known = &member{name: hello.Node}
		h.members[hello.Address] = known
		h.orderedAt = time.Time{}
	}
	known.heard, known.near = now, hello.Near
	answer := helloAnswer{Epoch: h.epoch, ProofAge: h.proofAge(), Pause: idlePause(len(h.members))}
	for _, address := range h.living(now) {
		if address == h.process.address {
			continue
		}
		if len(answer.Peers) == watchers {
			break
		}
		answer.Peers = append(answer.Peers, address)
		answer.Watch = answer.Watch || address == hello.Address
	}
	return answer, nil
}

// idlePause is the pause between two greetings of a node that doesn't watch a
// holder which so many nodes greet.
func idlePause(nodes int) time.Duration {
	return idleHelloEvery * time.Duration(max(nodes, nodesAtIdlePause)) / nodesAtIdlePause
}

// callsPerNode is how many calls for advice a node has on its way: the adviser
// takes one at a time from each machine, and one more waits there so that the
// next begins at once.
const callsPerNode = 2

// quickNodes is the share of the nodes, as 1 of n, that take only quick calls
// for advice. All holders choose the same ones: near ones first, by address.
const quickNodes = 3

// livingEvery is how long the order of the living nodes is used: a third of
// the time between two greetings of a node that watches the holder.
const livingEvery = 80 * time.Millisecond

// living returns the addresses of the nodes that greet this holder and its
// own, in order: near ones first, as the adviser stands near the store.
func (h *holder) living(now time.Time) []netip.AddrPort {
	if now.Sub(h.orderedAt) < livingEvery {
		return h.orderedNodes
	}
	own := h.members[h.process.address]
	if own == nil {
		own = &member{name: h.process.settings.Node}
		h.members[h.process.address] = own
	}
	own.heard, own.near = now, h.process.near()
	addresses := make([]netip.AddrPort, 0, len(h.members))
	kept := max(peerKept, missed(idlePause(len(h.members))))
	for address, m := range h.members {
		if now.Sub(m.heard) > kept {
			delete(h.members, address)
			continue
		}
		addresses = append(addresses, address)
	}
	sort.Slice(addresses, func(i, j int) bool {
		if first, second := h.members[addresses[i]].near, h.members[addresses[j]].near; first != second {
			return first
		}
		return addresses[i].Compare(addresses[j]) < 0
	})
	h.orderedNodes, h.orderedAt = addresses, now
	return addresses
}

// adviceSlots is how many calls for advice all living nodes take at once.
func (h *holder) adviceSlots() (quick, slow int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addresses := h.living(time.Now())
	quickOnly := len(addresses) / quickNodes
	if quickOnly == 0 {
		return len(addresses) * callsPerNode, len(addresses)
	}
	return quickOnly * callsPerNode, len(addresses) - quickOnly
}

// leastBusy picks the node for a call for advice, a near one among equals.
func (h *holder) leastBusy(quick bool) (netip.AddrPort, *member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addresses := h.living(time.Now())
	quickOnly := len(addresses) / quickNodes
	if quick && quickOnly > 0 {
		addresses = addresses[:quickOnly]
	} else {
		addresses = addresses[quickOnly:]
	}
	h.turn++
	best := addresses[h.turn%len(addresses)]
	for _, address := range addresses {
		m, chosen := h.members[address], h.members[best]
		if m.calls < chosen.calls || m.calls == chosen.calls && m.near && !chosen.near {
			best = address
		}
	}
	m := h.members[best]
	m.calls++
	return best, m
}

// advise sends a call for advice through the node with the fewest of them.
func (h *holder) advise(advise shard.AdviceRequest) {
	node, m := h.leastBusy(advise.ExpectedTime <= shard.MaxShortAdvice)
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, advise.ExpectedTime+adviceTimeout)
		defer cancel()
		var answer adviseAnswer
		var err error
		request := adviseRequest{Step: advise.Step, Workers: advise.Workers}
		if node != h.process.address {
			answer, err = ask[adviseAnswer](ctx, h.process.peers, node, pathAdvise, request)
		} else {
			answer = h.process.advise(ctx, request)
		}
		h.mu.Lock()
		m.calls--
		h.mu.Unlock()
		cause := answer.Cause
		if err != nil {
			cause = err.Error()
		}
		h.input(func(now time.Time) { h.shard.AdviceAnswered(now, advise, answer.Good, cause) })
	}()
}
