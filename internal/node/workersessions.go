package node

import (
	"context"
	"net"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/worker"
)

// closeTimeout bounds the call that ends a session. If it fails, the session
// ends by the worker's clock.
const closeTimeout = time.Second

// linkOpened carries a new link beside the input that announces its session.
type linkOpened struct {
	*control.SessionOpened
	link *link
}

// linkOf returns the link of a worker if it has the session that is meant.
// Only the control thread calls it.
func (p *Process) linkOf(name string, token uint64) *link {
	l := p.links[name]
	if l == nil || uint64(l.token) != token {
		return nil
	}
	return l
}

func (p *Process) addLink(l *link) {
	if old := p.links[l.name]; old != nil {
		old.cancel()
	}
	p.links[l.name] = l
}

// startTask queues a start. A full queue gives the session up, which tells the
// control state that the start is not known to have happened.
func (p *Process) startTask(_ context.Context, out *control.StartTask) {
	l := p.linkOf(out.Worker, out.Token)
	if l == nil {
		return
	}
	task := worker.StartTask{ID: out.ID, Resources: out.Request, Connections: out.Connections, Label: out.Label, Payload: out.Payload}
	if out.StartWithin > 0 {
		task.StartBy = time.Now().Add(out.StartWithin)
	}
	select {
	case l.starts <- task:
	default:
		l.cancel()
		delete(p.links, out.Worker)
		lost := &control.SessionLost{Worker: out.Worker, Token: out.Token, Reason: "too many starts wait for the worker"}
		go func() { p.inputs <- lost }()
	}
}

// closeSession ends a session in a planned way.
func (p *Process) closeSession(ctx context.Context, out *control.CloseSession) {
	l := p.linkOf(out.Worker, out.Token)
	if l == nil {
		return
	}
	delete(p.links, out.Worker)
	go func() {
		closeContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		_ = l.client.CloseSession(closeContext, l.token)
		l.cancel()
	}()
}

func (p *Process) stopLinks() {
	for _, l := range p.links {
		l.cancel()
	}
}

func (p *Process) dialWorker(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	if p.options.WorkerDelay == nil {
		return nil
	}
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &delayedConn{Conn: conn, delay: p.options.WorkerDelay(name)}, nil
	}
}

// delayedConn adds the distance to a worker to each write.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

// Write waits for the delay, then writes.
func (c *delayedConn) Write(data []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(data)
}
