// Package soak runs the real entry processes on one machine and injects faults
// from outside them: signals, and a loopback proxy in front of the stand-ins of
// the store and the workers.
//
// # Usage
//
//	go test ./internal/soak                        # one short run, as in CI
//	SOAK_SEEDS=50 go test -timeout 60m ./internal/soak
//	SOAK_SEED=17 go test -v ./internal/soak
//
// A run's seed decides jobs and faults; the timing of the processes is the
// machine's, so a failed run keeps the logs of its processes in its output.
package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to the bytes between its two sides.
type Mode int

// Modes. Cut is from the server to the client only: requests arrive and their
// answers don't.
const (
	Pass Mode = iota
	Slow
	Silent
	Cut
	Reset
)

// slowDelay is the delay of each piece of data in the mode Slow.
const slowDelay = 150 * time.Millisecond

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     Mode
	open     map[net.Conn]bool
}

// NewProxy listens on a free loopback port until Close.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{listener: listener, target: target, open: map[net.Conn]bool{}}
	go p.accept() // ends with the listener
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode of all connections. Reset also breaks the open ones;
// after Silent they stay silent for good while new ones work.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Silent && mode != Silent {
		for conn := range p.open {
			delete(p.open, conn) // its bytes are lost, and it is never closed by the proxy
		}
	}
	p.mode = mode
	if mode == Reset {
		for conn := range p.open {
			_ = conn.Close()
			delete(p.open, conn)
		}
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
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
		mode := p.mode
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
		p.open[client], p.open[server] = true, true
		p.mu.Unlock()
		go p.copy(server, client, false)
		go p.copy(client, server, true)
	}
}

// copy forwards one direction; a closed side closes the other.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	defer p.end(to, from)
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && p.lets(to, answers) {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// lets reports whether bytes pass now. Bytes of silent and cut connections are lost.
func (p *Proxy) lets(to net.Conn, answers bool) bool {
	p.mu.Lock()
	mode, known := p.mode, p.open[to]
	p.mu.Unlock()
	switch {
	case !known || mode == Silent || mode == Cut && answers:
		return false
	case mode == Slow:
		time.Sleep(slowDelay)
	}
	return true
}

func (p *Proxy) end(to, from net.Conn) {
	p.mu.Lock()
	known := p.open[to] || p.open[from]
	delete(p.open, to)
	delete(p.open, from)
	silent := p.mode == Silent
	p.mu.Unlock()
	if known && !silent {
		_ = to.Close()
	}
	_ = from.Close()
}
