package entry

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/platform"
)

const (
	// maxOrdersInFlight bounds the orders to one worker that are in flight, and so the
	// connections that a worker goes on counting when this VM loses power.
	maxOrdersInFlight = 4
	// connectionSharingTime is how long one connection serves all calls to a worker after the
	// worker has reset a new one.
	connectionSharingTime = 5 * time.Second
	// sharedPollWait is how long a poll waits at a worker while orders wait for its connection.
	sharedPollWait = 100 * time.Millisecond
)

// workerCalls limits the calls of one leader to each worker. Usually orders are sent beside the
// poll that waits at the worker. A worker that has as many connections as it accepts resets new
// ones; calls to it are then made one at a time, so that they use the connection that is open.
//
// It is safe for concurrent use.
type workerCalls struct {
	mu      sync.Mutex
	workers map[netip.AddrPort]*workerLimit
	// onSharing is called when calls to a worker begin to share a connection.
	onSharing func(worker netip.AddrPort, cause error)
}

// workerLimit is the state of workerCalls for one worker.
type workerLimit struct {
	calls       int           // that have or await a slot
	orders      chan struct{} // holds an element for each order with a slot
	connection  chan struct{} // holds an element while a call uses the shared connection
	sharedUntil time.Time     // the connection is shared until then
}

func newWorkerCalls(onSharing func(worker netip.AddrPort, cause error)) *workerCalls {
	return &workerCalls{workers: map[netip.AddrPort]*workerLimit{}, onSharing: onSharing}
}

// callSlot is the permission to make one call. Its owner calls end once.
type callSlot struct {
	calls   *workerCalls
	worker  netip.AddrPort
	limit   *workerLimit
	isOrder bool
	shares  bool
}

// beginOrder waits for a slot for an order. It fails if the context ends before.
func (c *workerCalls) beginOrder(ctx context.Context, worker netip.AddrPort) (*callSlot, error) {
	return c.begin(ctx, worker, true)
}

// beginPoll waits for a slot for a poll. It fails if the context ends before.
func (c *workerCalls) beginPoll(ctx context.Context, worker netip.AddrPort) (*callSlot, error) {
	return c.begin(ctx, worker, false)
}

func (c *workerCalls) begin(ctx context.Context, worker netip.AddrPort, isOrder bool) (*callSlot, error) {
	c.mu.Lock()
	limit := c.workers[worker]
	if limit == nil {
		limit = &workerLimit{orders: make(chan struct{}, maxOrdersInFlight), connection: make(chan struct{}, 1)}
		c.workers[worker] = limit
	}
	limit.calls++
	c.mu.Unlock()
	slot := &callSlot{calls: c, worker: worker, limit: limit}
	if isOrder {
		select {
		case limit.orders <- struct{}{}:
			slot.isOrder = true
		case <-ctx.Done():
			slot.end(nil)
			return nil, ctx.Err()
		}
	}
	if !c.sharing(limit) {
		return slot, nil
	}
	select {
	case limit.connection <- struct{}{}:
		slot.shares = true
	case <-ctx.Done():
		slot.end(nil)
		return nil, ctx.Err()
	}
	return slot, nil
}

func (c *workerCalls) sharing(limit *workerLimit) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(limit.sharedUntil)
}

// sharesConnection reports whether the call uses the connection that all calls to the worker share.
func (s *callSlot) sharesConnection() bool { return s.shares }

// end gives the slot back after the call, which returned err.
func (s *callSlot) end(err error) {
	if s.shares {
		<-s.limit.connection
	}
	if s.isOrder {
		<-s.limit.orders
	}
	s.calls.mu.Lock()
	now := time.Now()
	begins := false
	if errors.Is(err, platform.ErrNewConnectionReset) {
		begins = !now.Before(s.limit.sharedUntil)
		s.limit.sharedUntil = now.Add(connectionSharingTime)
	}
	s.limit.calls--
	if s.limit.calls == 0 && !now.Before(s.limit.sharedUntil) {
		delete(s.calls.workers, s.worker)
	}
	s.calls.mu.Unlock()
	if begins {
		s.calls.onSharing(s.worker, err)
	}
}
