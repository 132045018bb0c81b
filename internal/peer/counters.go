package peer

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// trafficCounts counts the sent, received and dropped frames of one peer and purpose.
type trafficCounts struct {
	framesSent, bytesSent, framesReceived, bytesReceived atomic.Uint64
	droppedFull, droppedDown, droppedBroken, droppedSize atomic.Uint64
}

// wireCounts counts bytes on the network, including packet headers.
type wireCounts struct{ sent, received atomic.Uint64 }

func (w *wireCounts) add(stats quic.ConnectionStats) {
	sent, received := wireBytes(stats)
	w.sent.Add(sent)
	w.received.Add(received)
}

// wireBytes returns the bytes on the network, including IPv4 and UDP headers.
func wireBytes(stats quic.ConnectionStats) (sent, received uint64) {
	return stats.BytesSent + packetHeaderBytes*stats.PacketsSent, stats.BytesReceived + packetHeaderBytes*stats.PacketsReceived
}

// Traffic counts the frames of one peer and purpose. Bytes include heartbeats and
// the length that precedes each frame.
type Traffic struct {
	FramesSent     uint64 `json:"frames-sent"`
	BytesSent      uint64 `json:"bytes-sent"`
	FramesReceived uint64 `json:"frames-received"`
	BytesReceived  uint64 `json:"bytes-received"`
	// DroppedFull and DroppedDown count frames that Send dropped because of a
	// full queue and a missing connection. DroppedSize counts empty and too
	// large frames.
	DroppedFull uint64 `json:"dropped-full"`
	DroppedDown uint64 `json:"dropped-down"`
	DroppedSize uint64 `json:"dropped-size"`
	// DroppedBroken counts frames that were queued or partly sent when their
	// connection ended.
	DroppedBroken uint64 `json:"dropped-broken"`
}

func (c *trafficCounts) traffic() Traffic {
	return Traffic{
		FramesSent: c.framesSent.Load(), BytesSent: c.bytesSent.Load(),
		FramesReceived: c.framesReceived.Load(), BytesReceived: c.bytesReceived.Load(),
		DroppedFull: c.droppedFull.Load(), DroppedDown: c.droppedDown.Load(),
		DroppedSize: c.droppedSize.Load(), DroppedBroken: c.droppedBroken.Load(),
	}
}

// PeerCounters counts the traffic with one peer since its entry in the member
// list last changed.
type PeerCounters struct {
	Name      string  `json:"name"`
	Region    string  `json:"region"`
	Connected bool    `json:"connected"`
	Control   Traffic `json:"control"`
	Bulk      Traffic `json:"bulk"`
	// WireSent and WireReceived are bytes on the network, including the QUIC,
	// UDP and IPv4 headers.
	WireSent     uint64 `json:"wire-sent"`
	WireReceived uint64 `json:"wire-received"`
}

// Counters is the traffic of a node. OtherRegions is the sum for the peers
// outside the node's own region.
type Counters struct {
	Peers        []PeerCounters `json:"peers"`
	OtherRegions WireCounters   `json:"other-regions"`
}

// WireCounters counts bytes on the network in both directions.
type WireCounters struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// Counters returns the counters of the current members, sorted by name.
func (t *Transport) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result Counters
	for _, p := range t.peers {
		c := p.counters()
		result.Peers = append(result.Peers, c)
		if c.Region != t.options.Region {
			result.OtherRegions.Sent += c.WireSent
			result.OtherRegions.Received += c.WireReceived
		}
	}
	slices.SortFunc(result.Peers, func(a, b PeerCounters) int { return cmp.Compare(a.Name, b.Name) })
	return result
}

func (p *peer) counters() PeerCounters {
	c := PeerCounters{
		Name: p.member.Name, Region: p.member.Region,
		Control: p.counts[Control].traffic(), Bulk: p.counts[Bulk].traffic(),
		WireSent: p.endedWireCounts.sent.Load(), WireReceived: p.endedWireCounts.received.Load(),
	}
	if l := p.link.Load(); l != nil {
		sent, received := wireBytes(l.conn.ConnectionStats())
		c.Connected, c.WireSent, c.WireReceived = true, c.WireSent+sent, c.WireReceived+received
	}
	return c
}
