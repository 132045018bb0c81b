package front

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// silentConnectionBound is how long the kernel keeps a connection whose peer
// acknowledges nothing. Without it, unacknowledged keep-alive bytes would be
// retransmitted for about 15 minutes before the write fails.
const silentConnectionBound = 20 * time.Second

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// Listen opens a TCP listener whose connections end when their peer has been
// silent for 20 s.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 3},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) {
				// Accepted connections inherit the option. A kernel without
				// it keeps its own, longer bound, so the error is not fatal.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout,
					int(silentConnectionBound.Milliseconds()))
			})
		},
	}
	return config.Listen(ctx, "tcp", address.String())
}

// boundedListener closes connections above a maximum at once, so that callers
// turn to another entry VM and the process keeps its memory bound.
type boundedListener struct {
	net.Listener
	maximum int64
	open    atomic.Int64
}

func newBoundedListener(listener net.Listener, maximum int) *boundedListener {
	return &boundedListener{Listener: listener, maximum: int64(maximum)}
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maximum {
			return &countedConnection{Conn: connection, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = connection.Close()
	}
}

type countedConnection struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its place.
func (c *countedConnection) Close() error {
	c.release()
	return c.Conn.Close()
}
