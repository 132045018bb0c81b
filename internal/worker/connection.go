package worker

import (
	"errors"
	"net"
	"sync/atomic"
)

var errSealed = errors.New("connection is sealed after a failed call")

// States of a connection with regard to the call that uses it.
const (
	connectionUnused int32 = iota
	connectionWritten
	connectionSealed
)

// connection counts bytes and knows whether the current call may have written
// any. HTTP/1.1 uses a connection for one call at a time.
type connection struct {
	net.Conn
	state          atomic.Int32
	sent, received *atomic.Int64
}

// beginCall marks the connection as unused by the call that obtained it.
func (c *connection) beginCall() {
	c.state.CompareAndSwap(connectionWritten, connectionUnused)
}

// seal prevents later writes and reports whether the call has written nothing.
// Without it, a canceled call could still write after it returned.
func (c *connection) seal() bool {
	return c.state.CompareAndSwap(connectionUnused, connectionSealed) || c.state.Load() == connectionSealed
}

func (c *connection) Write(data []byte) (int, error) {
	if !c.state.CompareAndSwap(connectionUnused, connectionWritten) && c.state.Load() == connectionSealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}
