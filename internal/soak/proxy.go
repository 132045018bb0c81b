// Package soak tests entry processes on one machine under faults that are
// injected from outside: signals, and loopback proxies on each process's ways to the
// store, the workers and the other processes.
//
// # Usage
//
//	go test ./internal/soak                        # one short run, as in CI
//	SOAK_SEEDS=50 go test -timeout 60m ./internal/soak
//	SOAK_SEED=17 go test -v ./internal/soak
//
// The seed determines the jobs and faults of a run, but not the timing of the
// processes. A failed run may therefore not be reproducible, and its output
// includes the logs of its processes.
package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats data and connections.
type Mode int

// Forward passes all data on, and Delay does so after a delay. Blackhole drops
// the data of both directions and leaves the connections open. DropResponses
// drops only the data from the server to the client, so that requests take
// effect without a response. Reset closes all connections.
const (
	Forward Mode = iota
	Delay
	Blackhole
	DropResponses
	Reset
)

// forwardDelay is the delay of each chunk of data in the mode Delay.
const forwardDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	rewrite  func(content []byte, isResponse bool) []byte // nil for none
	mu       sync.Mutex
	mode     Mode
	cut      bool
	// tracked holds both sides of each open connection, except those that were
	// open when the mode Blackhole ended.
	tracked map[net.Conn]bool
}

// NewProxy starts a proxy on a free loopback port. It runs until Close.
func NewProxy(target string) (*Proxy, error) { return NewRewritingProxy(target, nil) }

// NewRewritingProxy starts a proxy that forwards what rewrite returns for each chunk of
// data.
func NewRewritingProxy(target string, rewrite func(content []byte, isResponse bool) []byte) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{listener: listener, target: target, rewrite: rewrite, tracked: map[net.Conn]bool{}}
	go p.accept() // ends with the listener
	return p, nil
}

// Address returns the address on which the proxy listens, as "host:port".
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode of new and open connections. Connections that are
// open when the mode Blackhole ends keep losing their data; only new ones
// work.
func (p *Proxy) SetMode(mode Mode) { p.change(func() { p.mode = mode }) }

// SetCut puts the proxy into the mode Blackhole until it is called with false; the mode
// that SetMode has set applies again after that.
func (p *Proxy) SetCut(cut bool) { p.change(func() { p.cut = cut }) }

func (p *Proxy) change(set func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.currentMode()
	set()
	if before == Blackhole && p.currentMode() != Blackhole {
		for conn := range p.tracked {
			delete(p.tracked, conn) // its data is dropped, and Reset and Close leave it open
		}
	}
	if p.currentMode() == Reset {
		for conn := range p.tracked {
			_ = conn.Close()
			delete(p.tracked, conn)
		}
	}
}

// currentMode returns the mode that applies. The caller holds p.mu.
func (p *Proxy) currentMode() Mode {
	if p.cut {
		return Blackhole
	}
	return p.mode
}

// Close stops the proxy and closes all tracked connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.tracked {
		_ = conn.Close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		mode := p.currentMode()
		p.mu.Unlock()
		if mode == Reset {
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.tracked[client], p.tracked[server] = true, true
		p.mu.Unlock()
		go p.copy(server, client, false)
		go p.copy(client, server, true)
	}
}

// copy forwards one direction until either side is closed.
func (p *Proxy) copy(to, from net.Conn, isResponse bool) {
	defer p.closePair(to, from)
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && p.forwards(to, isResponse) {
			content := buffer[:count]
			if p.rewrite != nil {
				content = p.rewrite(content, isResponse)
			}
			if _, err := to.Write(content); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// forwards reports whether a chunk of data for a connection is to be forwarded
// rather than dropped. In the mode Delay it sleeps first.
func (p *Proxy) forwards(to net.Conn, isResponse bool) bool {
	p.mu.Lock()
	mode, isTracked := p.currentMode(), p.tracked[to]
	p.mu.Unlock()
	switch {
	case !isTracked || mode == Blackhole || mode == DropResponses && isResponse:
		return false
	case mode == Delay:
		time.Sleep(forwardDelay)
	}
	return true
}

// closePair closes both sides of a connection and stops tracking them. In the mode
// Blackhole, and for connections that are no longer tracked, the receiving side
// stays open, so that the peer can't detect the fault.
func (p *Proxy) closePair(to, from net.Conn) {
	p.mu.Lock()
	isTracked := p.tracked[to] || p.tracked[from]
	delete(p.tracked, to)
	delete(p.tracked, from)
	blackhole := p.currentMode() == Blackhole
	p.mu.Unlock()
	if isTracked && !blackhole {
		_ = to.Close()
	}
	_ = from.Close()
}
