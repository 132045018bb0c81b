package cell

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"

	"yuccalanding.example/yuccalanding/internal/loopback"
)

// relay forwards callers' TCP connections to one node. It simulates the crash of
// the node's process, which closes all connections at once. A node that is
// stopped inside this process keeps them open until its shutdown timeout is over.
type relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu       sync.Mutex
	isClosed bool
	conns    map[net.Conn]bool
	group    sync.WaitGroup
}

// startRelay starts a relay that listens at listenAddress, or at a new loopback
// address if that is not valid. It fails if it can't listen.
func startRelay(ctx context.Context, listenAddress, target netip.AddrPort) (*relay, error) {
	if !listenAddress.IsValid() {
		listenAddress = netip.AddrPortFrom(loopback.New(), callersPort)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listenAddress.String())
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]bool{}}
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

// forward copies bytes in both directions until either side closes.
func (r *relay) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", r.target.String())
	if err != nil {
		return
	}
	defer server.Close()
	if !r.track(client, server) {
		return
	}
	defer r.untrack(client, server)
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			_, _ = io.Copy(pair[1], pair[0])
			ended <- struct{}{}
		}()
	}
	<-ended
	_, _ = client.Close(), server.Close()
	<-ended
}

// track registers connections and reports whether the relay is still open.
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

// closeAll closes the listener and all connections and waits for their goroutines.
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
