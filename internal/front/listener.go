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

// unacknowledgedDataTimeout is how long the kernel keeps a connection whose
// remote side acknowledges nothing. Without it, the kernel would retransmit
// keep-alive bytes for about 15 minutes before the write fails.
const unacknowledgedDataTimeout = 20 * time.Second

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// Listen opens a TCP listener. The kernel closes its connections when the
// remote side has acknowledged nothing for 20 s. It returns the errors of
// net.ListenConfig.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 3},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) {
				// Accepted connections inherit the option. A kernel without
				// it uses its own, longer timeout, so the error is ignored.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout,
					int(unacknowledgedDataTimeout.Milliseconds()))
			})
		},
	}
	return config.Listen(ctx, "tcp", address.String())
}

// limitedListener immediately closes connections above the limit, so that
// callers try another entry VM and the memory of the process stays bounded.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

func newLimitedListener(listener net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: listener, limit: int64(limit)}
}

// Accept returns the next connection within the limit, or the error of the
// wrapped listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: connection, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = connection.Close()
	}
}

// countedConn is a connection that counts towards a limitedListener's limit.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and stops counting it.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
