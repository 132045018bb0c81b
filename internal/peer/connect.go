package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// peer is another node. When its entry in the member list changes, a new peer
// replaces it.
type peer struct {
	transport *Transport
	member    Member
	// link is nil while there is no connection.
	link atomic.Pointer[link]
	// incoming holds the newest accepted connection that run has not taken.
	incoming chan *quic.Conn
	counts   [purposeCount]trafficCounts
	// endedWireCounts is the traffic of the connections that have ended.
	endedWireCounts wireCounts
}

func newPeer(t *Transport, member Member) *peer {
	return &peer{transport: t, member: member, incoming: make(chan *quic.Conn, 1)}
}

// isDialer reports whether this node dials the peer, rather than the reverse.
func (p *peer) isDialer() bool { return p.transport.options.Self < p.member.Name }

// setIncoming passes an accepted connection to run and closes an older one that
// run has not taken. Only the goroutine of Transport.accept may call it.
func (p *peer) setIncoming(conn *quic.Conn) {
	select {
	case older := <-p.incoming:
		closeConnection(older, closeReplaced)
	default:
	}
	p.incoming <- conn
}

// run keeps the node connected to the peer until ctx ends.
func (p *peer) run(ctx context.Context) {
	if p.isDialer() {
		p.runDialing(ctx)
		return
	}
	var newer *quic.Conn
	for ctx.Err() == nil {
		if newer == nil {
			select {
			case newer = <-p.incoming:
			case <-ctx.Done():
				continue
			}
		}
		newer, _ = p.serve(ctx, newer)
	}
	select {
	case unused := <-p.incoming:
		closeConnection(unused, closeStopping)
	default:
	}
	if newer != nil {
		closeConnection(newer, closeStopping)
	}
}

// runDialing dials until ctx ends. It repeats a dial after a random delay, whose
// upper limit doubles up to maxRetryDelay. A connection on which data arrived
// resets the limit.
func (p *peer) runDialing(ctx context.Context) {
	random := p.transport.retryRandom(p.member.Name)
	maxDelay := initialRetryDelay
	for ctx.Err() == nil {
		if p.dialOnce(ctx) {
			maxDelay = initialRetryDelay
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxDelay))))
		maxDelay = min(2*maxDelay, maxRetryDelay)
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// dialOnce dials, serves the connection and reports whether data arrived on it.
// Each dial uses a new socket, because a network path that stopped delivering the
// packets of one socket often delivers those of another.
func (p *peer) dialOnce(ctx context.Context) bool {
	local := net.UDPAddrFromAddrPort(p.transport.options.Listen)
	local.Port = 0
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		p.reportEvent(DialFailed, err)
		return false
	}
	defer socket.Close()
	quicTransport := &quic.Transport{Conn: p.transport.options.WrapSocket(socket)}
	defer quicTransport.Close()
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	t := p.transport
	conn, err := quicTransport.Dial(dialContext, net.UDPAddrFromAddrPort(p.member.Address), t.clientTLS(p.member.Name), t.quicConfig())
	if err != nil {
		if ctx.Err() == nil {
			p.reportEvent(dialFailureKind(err), err)
		}
		return false
	}
	_, received := p.serve(ctx, conn)
	return received
}

// serve sends and receives frames on a connection until it ends. It returns the
// newer connection that replaced it, if any, and whether data arrived.
func (p *peer) serve(ctx context.Context, conn *quic.Conn) (newer *quic.Conn, received bool) {
	l, err := newLink(ctx, p, conn)
	if err == nil {
		p.link.Store(l)
		p.reportEvent(Connected, nil)
		newer, err = l.run(ctx)
	} else {
		closeConnection(conn, closeBroken)
	}
	p.endedWireCounts.add(conn.ConnectionStats())
	switch {
	case errors.Is(err, errReceiveTimeout):
		p.reportEvent(Silent, err)
	case errors.Is(err, errMalformed):
		p.reportEvent(Malformed, err)
	}
	p.reportEvent(Disconnected, err)
	return newer, l.lastReceived.Load() > 0
}

func (p *peer) reportEvent(kind Kind, err error) {
	p.transport.reportEvent(Event{Kind: kind, Peer: p.member.Name, Address: p.member.Address.String(), Err: err})
}
