package cell

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"

	"yuccalanding.example/yuccalanding/internal/loopback"
)

// relay passes callers' connections on to one node, so that the death of the
// node can be imitated: a process that dies cuts all its connections at once,
// which a node that ends inside this process does not do.
type relay struct {
	listener net.Listener
	to       netip.AddrPort

	mu       sync.Mutex
	isClosed bool
	conns    map[net.Conn]bool
	group    sync.WaitGroup
}

// startRelay listens at an address, or at one of its own if that is not valid.
func startRelay(ctx context.Context, at, to netip.AddrPort) (*relay, error) {
	if !at.IsValid() {
		at = netip.AddrPortFrom(loopback.New(), callersPort)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", at.String())
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, to: to, conns: map[net.Conn]bool{}}
	r.group.Go(r.accept)
	return r, nil
}

func (r *relay) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.forward(conn) })
	}
}

// forward passes bytes both ways until either side ends.
func (r *relay) forward(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", r.to.String())
	if err != nil {
		return
	}
	defer to.Close()
	if !r.track(from, to) {
		return
	}
	defer r.untrack(from, to)
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			_, _ = io.Copy(pair[1], pair[0])
			ended <- struct{}{}
		}()
	}
	<-ended
	_, _ = from.Close(), to.Close()
	<-ended
}

func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = true
	}
	return !r.isClosed
}

func (r *relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
	}
}

// closeAll ends all connections and takes no new ones.
func (r *relay) closeAll() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.isClosed = true
	var conns []net.Conn
	for conn := range r.conns {
		conns = append(conns, conn)
	}
	r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	r.group.Wait()
}
