package entry

import (
	"context"
	"net/netip"
	"time"

	"yuccalanding.example/yuccalanding/internal/right"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// borrowEvery is the pause between two questions to other nodes while the
	// store turns this one away, and borrowTimeout bounds one.
	borrowEvery   = 400 * time.Millisecond
	borrowTimeout = 400 * time.Millisecond
)

// knownRequest asks for what is newer than what the asker knows.
type knownRequest struct {
	Version int64 `cbor:"1,keyasint"`
}

type knownRight struct {
	Shard    string         `cbor:"1,keyasint"`
	Epoch    int64          `cbor:"2,keyasint"`
	Node     string         `cbor:"3,keyasint"`
	Boot     int64          `cbor:"4,keyasint"`
	Address  netip.AddrPort `cbor:"5,keyasint"`
	Released bool           `cbor:"6,keyasint,omitempty"`
}

type knownAnswer struct {
	Rights []knownRight   `cbor:"1,keyasint,omitempty"`
	Counts map[string]int `cbor:"2,keyasint,omitempty"`
	// Manifest is the newest manifest as the operator wrote it, if it is
	// newer than the asker's.
	Manifest []byte `cbor:"3,keyasint,omitempty"`
}

// known answers another node.
func (p *Process) known(request knownRequest) knownAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := knownAnswer{Counts: map[string]int{}}
	for name, holding := range p.rights {
		answer.Rights = append(answer.Rights, knownRight{name, holding.Epoch, holding.Node, holding.Boot, holding.Address, holding.Released})
	}
	for service, count := range p.counts {
		answer.Counts[service] = count
	}
	if current := p.manifest.Load(); current != nil && current.Version > request.Version {
		answer.Manifest = p.manifestText
	}
	return answer
}

// borrow asks the other nodes for rights and manifest while the store turns
// this node away alone. What it learns only routes requests: a claim still
// needs the store.
func (p *Process) borrow(ctx context.Context) {
	turn := 0
	for ctx.Err() == nil {
		pause(ctx, borrowEvery)
		if p.storeSound() > followTimeout {
			continue
		}
		nodes := p.otherNodes()
		if len(nodes) == 0 {
			continue
		}
		turn++
		request := knownRequest{}
		if current := p.manifest.Load(); current != nil {
			request.Version = current.Version
		}
		call, cancel := context.WithTimeout(ctx, borrowTimeout)
		answer, err := ask[knownAnswer](call, p.peers, nodes[turn%len(nodes)], pathKnown, request)
		cancel()
		if err != nil {
			continue // the next node is asked soon
		}
		p.learn(answer)
	}
}

// otherNodes returns the nodes that this one has heard of.
func (p *Process) otherNodes() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[netip.AddrPort]bool{p.address: true}
	var nodes []netip.AddrPort
	for _, v := range p.views {
		for _, address := range append([]netip.AddrPort{v.holding.Address}, v.peers...) {
			if address.IsValid() && !seen[address] {
				seen[address] = true
				nodes = append(nodes, address)
			}
		}
	}
	return nodes
}

// learn takes what another node knows, if it is newer.
func (p *Process) learn(answer knownAnswer) {
	if len(answer.Manifest) > 0 {
		p.takeManifest(answer.Manifest, "node")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, count := range answer.Counts {
		p.noteCount(service, count, "node")
	}
	for _, known := range answer.Rights {
		p.noteRight(known.Shard, right.Holding{
			Epoch: known.Epoch, Node: known.Node, Boot: known.Boot, Address: known.Address, Released: known.Released,
		}, "node")
	}
}

// takeManifest puts a manifest in force if it is newer than the last.
func (p *Process) takeManifest(text []byte, from string) {
	read, err := platform.DecodeManifest(text)
	if err != nil {
		p.log("manifest-bad", "from", from, "cause", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.manifest.Load(); current != nil && current.Version >= read.Version {
		return
	}
	p.manifestText = text
	p.manifest.Store(read)
	p.log("manifest-in-force", "version", read.Version, "services", len(read.Services), "from", from)
}
