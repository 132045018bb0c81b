package worker

import (
	"errors"
	"net"
	"sync/atomic"
)

var errWritesBlocked = errors.New("writes are blocked after a failed call")

// States of a connection during the call that uses it: the call has written
// nothing, it may have written bytes, or later writes are blocked.
const (
	connUnused int32 = iota
	connWritten
	connBlocked
)

// trackedConn counts bytes and tracks whether the current call may have written
// any. HTTP/1.1 uses a connection for one call at a time.
type trackedConn struct {
	net.Conn
	state          atomic.Int32
	sent, received *atomic.Int64
}

// beginCall records that the call that obtained the connection has written
// nothing yet.
func (c *trackedConn) beginCall() {
	c.state.CompareAndSwap(connWritten, connUnused)
}

// blockWrites blocks later writes if the call has written nothing, and reports
// whether it has written nothing. Without the block, a canceled call could still
// write after it has returned.
func (c *trackedConn) blockWrites() bool {
	return c.state.CompareAndSwap(connUnused, connBlocked) || c.state.Load() == connBlocked
}

func (c *trackedConn) Write(data []byte) (int, error) {
	if !c.state.CompareAndSwap(connUnused, connWritten) && c.state.Load() == connBlocked {
		return 0, errWritesBlocked
	}
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}
