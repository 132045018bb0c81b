package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// peer is another node for as long as its entry in the member list is unchanged.
type peer struct {
	transport *Transport
	member    Member
	// link is nil while there is no connection.
	link atomic.Pointer[link]
	// incoming holds the newest accepted connection.
	incoming chan *quic.Conn
	counts   [purposes]counts
	ended    wireCounts
}

func newPeer(t *Transport, member Member) *peer {
	return &peer{transport: t, member: member, incoming: make(chan *quic.Conn, 1)}
}

// dials reports whether this side dials.
func (p *peer) dials() bool { return p.transport.options.Self < p.member.Name }

// offer passes an accepted connection to run, in place of an older one that
// run has not taken. Only the accepting goroutine calls it.
func (p *peer) offer(conn *quic.Conn) {
	select {
	case older := <-p.incoming:
		closeConn(older, closeReplaced)
	default:
	}
	p.incoming <- conn
}

// run keeps a connection until ctx ends.
func (p *peer) run(ctx context.Context) {
	if p.dials() {
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
	case waiting := <-p.incoming:
		closeConn(waiting, closeStopping)
	default:
	}
	if newer != nil {
		closeConn(newer, closeStopping)
	}
}

// runDialing dials again after a random delay whose bound doubles until a
// connection has carried something.
func (p *peer) runDialing(ctx context.Context) {
	random := p.transport.randomFor(p.member.Name)
	bound := firstRetry
	for ctx.Err() == nil {
		if p.dialOnce(ctx) {
			bound = firstRetry
		}
		sleep(ctx, time.Duration(random.Int64N(int64(bound))))
		bound = min(2*bound, lastRetry)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// dialOnce serves one connection and reports whether anything arrived on it.
// Each dial has its own socket: a path that stopped delivering the packets of
// one socket often delivers those of another.
func (p *peer) dialOnce(ctx context.Context) bool {
	local := net.UDPAddrFromAddrPort(p.transport.options.Listen)
	local.Port = 0
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		p.event(DialFailed, err)
		return false
	}
	defer socket.Close()
	dialing := &quic.Transport{Conn: p.transport.options.WrapSocket(socket)}
	defer dialing.Close()
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	t := p.transport
	conn, err := dialing.Dial(dialContext, net.UDPAddrFromAddrPort(p.member.Address), t.clientTLS(p.member.Name), t.quicConfig())
	if err != nil {
		if ctx.Err() == nil {
			p.event(dialKind(err), err)
		}
		return false
	}
	_, heard := p.serve(ctx, conn)
	return heard
}

// serve serves one connection until it ends. It returns a newer connection
// that replaced it, and whether anything arrived.
func (p *peer) serve(ctx context.Context, conn *quic.Conn) (newer *quic.Conn, heard bool) {
	l, err := newLink(ctx, p, conn)
	if err == nil {
		p.link.Store(l)
		p.event(Connected, nil)
		newer, err = l.run(ctx)
	} else {
		closeConn(conn, closeBroken)
	}
	p.ended.add(conn.ConnectionStats())
	switch {
	case errors.Is(err, errSilent):
		p.event(Silent, err)
	case errors.Is(err, errMalformed):
		p.event(Malformed, err)
	}
	p.event(Disconnected, err)
	return newer, l.heard.Load() > 0
}

func (p *peer) event(kind Kind, err error) {
	p.transport.event(Event{Kind: kind, Peer: p.member.Name, Address: p.member.Address.String(), Err: err})
}
