package entry

import (
	"context"
	"math"
	"net/netip"
	"time"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/platform"
)

// peerStateInterval is the time between two calls to other nodes while this node
// can't use the store. A call fails if no byte of its answer arrives for followTimeout.
const peerStateInterval = 400 * time.Millisecond

// peerStateRequest asks for a manifest newer than ManifestVersion, and for all leaders
// and shard counts.
type peerStateRequest struct {
	ManifestVersion int64 `cbor:"1,keyasint"`
}

// noManifest is a ManifestVersion that no manifest exceeds.
const noManifest = math.MaxInt64

type peerLeader struct {
	Shard    string         `cbor:"1,keyasint"`
	Epoch    int64          `cbor:"2,keyasint"`
	Node     string         `cbor:"3,keyasint"`
	Boot     int64          `cbor:"4,keyasint"`
	Address  netip.AddrPort `cbor:"5,keyasint"`
	Released bool           `cbor:"6,keyasint,omitempty"`
	// ReleasedClaim is the epoch of the claim that was released.
	ReleasedClaim int64 `cbor:"7,keyasint,omitempty"`
	// Predecessors are the claims of the leaders before this one.
	Predecessors []election.Claim `cbor:"8,keyasint,omitempty"`
	LimitsLeases bool             `cbor:"10,keyasint,omitempty"`
}

func newPeerLeader(key string, leader election.Leader) peerLeader {
	return peerLeader{key, leader.Epoch, leader.Node, leader.Boot, leader.Address, leader.Released, leader.ReleasedClaim, leader.Predecessors, leader.LimitsLeases}
}

func (l peerLeader) leader() election.Leader {
	return election.Leader{
		Epoch: l.Epoch, Node: l.Node, Boot: l.Boot, Address: l.Address, Released: l.Released, ReleasedClaim: l.ReleasedClaim,
		Predecessors: l.Predecessors, LimitsLeases: l.LimitsLeases,
	}
}

type peerStateAnswer struct {
	Leaders     []peerLeader   `cbor:"1,keyasint,omitempty"`
	ShardCounts map[string]int `cbor:"2,keyasint,omitempty"`
	// Manifest is the newest manifest as the operator wrote it, if it is newer
	// than the caller's.
	Manifest []byte `cbor:"3,keyasint,omitempty"`
}

// peerState answers another node's peerStateRequest.
func (p *Process) peerState(request peerStateRequest) peerStateAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := peerStateAnswer{ShardCounts: map[string]int{}}
	for key, leader := range p.leaders {
		answer.Leaders = append(answer.Leaders, newPeerLeader(key, leader))
	}
	for service, count := range p.shardCounts {
		answer.ShardCounts[service] = count
	}
	if current := p.manifest.Load(); current != nil && current.Version > request.ManifestVersion {
		answer.Manifest = p.manifestText
	}
	return answer
}

// pollPeers reads leaders, shard counts and manifest from other nodes until this
// node has polled the store without a failure for followTimeout, and again after
// each failed poll. They serve only to route requests: a claim still needs the
// store.
func (p *Process) pollPeers(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		pause(ctx, peerStateInterval)
		if p.storeHealthyFor() > followTimeout {
			continue
		}
		nodes := p.peerAddresses()
		if len(nodes) == 0 {
			continue
		}
		next++
		answer, err := downloadFromPeer[peerStateAnswer](ctx, p.peerClient, nodes[next%len(nodes)], pathPeerState, p.newPeerStateRequest(), followTimeout)
		if err != nil {
			continue // the next node is asked after peerStateInterval
		}
		p.applyPeerState(answer)
	}
}

// newPeerStateRequest returns a request that asks for a manifest only if the store's copy
// isn't arriving: a second copy of a large manifest would slow down both.
func (p *Process) newPeerStateRequest() peerStateRequest {
	switch current := p.manifest.Load(); {
	case !p.manifestLost.Load():
		return peerStateRequest{ManifestVersion: noManifest}
	case current != nil:
		return peerStateRequest{ManifestVersion: current.Version}
	}
	return peerStateRequest{}
}

// peerAddresses returns the addresses of the other nodes that this one knows.
func (p *Process) peerAddresses() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[netip.AddrPort]bool{p.address: true}
	var nodes []netip.AddrPort
	for _, v := range p.leaderViews {
		for _, address := range append([]netip.AddrPort{v.leader.Address}, v.monitorAddresses...) {
			if address.IsValid() && !seen[address] {
				seen[address] = true
				nodes = append(nodes, address)
			}
		}
	}
	return nodes
}

// applyPeerState applies what another node knows, where it is newer.
func (p *Process) applyPeerState(answer peerStateAnswer) {
	if len(answer.Manifest) > 0 {
		p.applyManifest(answer.Manifest, "node")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, count := range answer.ShardCounts {
		p.updateShardCount(service, count, "node")
	}
	for _, leader := range answer.Leaders {
		p.updateLeader(leader.Shard, leader.leader(), "node")
	}
}

// applyManifest puts a manifest in force if it is newer than the current one.
func (p *Process) applyManifest(text []byte, from string) {
	decoded, err := platform.DecodeManifest(text)
	if err != nil {
		p.log("manifest-bad", "from", from, "cause", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.manifest.Load(); current != nil && current.Version >= decoded.Version {
		return
	}
	p.manifestText = text
	p.manifest.Store(decoded)
	p.log("manifest-in-force", "version", decoded.Version, "services", len(decoded.Services), "from", from)
}
