package node

import (
	"context"
	"net"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/worker"
)

// closeSessionTimeout bounds the call that ends a session. If the call fails, the
// session expires on the worker.
const closeSessionTimeout = time.Second

// sessionOpenedInput carries a new session together with the input that reports it to
// the control state.
type sessionOpenedInput struct {
	*control.SessionOpened
	workerSession *workerSession
}

// sessionFor returns the session with a worker, or nil if there is none with this
// token. Only the control thread calls it.
func (p *Process) sessionFor(name string, token uint64) *workerSession {
	session := p.workerSessions[name]
	if session == nil || uint64(session.token) != token {
		return nil
	}
	return session
}

// addSession adds a session and cancels the previous session with the same worker.
func (p *Process) addSession(session *workerSession) {
	if old := p.workerSessions[session.name]; old != nil {
		old.cancel()
	}
	p.workerSessions[session.name] = session
}

// startTask queues a start request. If the queue is full, it cancels the session and
// reports it as lost, which makes the outcome of the start unknown to the control
// state.
func (p *Process) startTask(_ context.Context, out *control.StartTask) {
	session := p.sessionFor(out.Worker, out.Token)
	if session == nil {
		return
	}
	task := worker.StartTask{ID: out.ID, Resources: out.Requested, Connections: out.Connections, Label: out.Label, Payload: out.Payload}
	if out.StartWithin > 0 {
		task.StartBy = time.Now().Add(out.StartWithin)
	}
	select {
	case session.starts <- task:
	default:
		session.cancel()
		delete(p.workerSessions, out.Worker)
		lost := &control.SessionLost{Worker: out.Worker, Token: out.Token, Reason: "too many starts wait for the worker"}
		go func() { p.inputs <- lost }()
	}
}

// closeSession ends a session with a call to the worker, in the background.
func (p *Process) closeSession(ctx context.Context, out *control.CloseSession) {
	session := p.sessionFor(out.Worker, out.Token)
	if session == nil {
		return
	}
	delete(p.workerSessions, out.Worker)
	go func() {
		closeContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeSessionTimeout)
		defer cancel()
		_ = session.client.CloseSession(closeContext, session.token)
		session.cancel()
	}()
}

func (p *Process) cancelSessions() {
	for _, session := range p.workerSessions {
		session.cancel()
	}
}

// dialWorker returns the dial function for a worker, or nil for the default one if
// no delay is configured.
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

// delayedConn delays each write, to simulate the network latency to a worker.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

// Write sleeps for the delay, then writes. Its errors are those of the connection.
func (c *delayedConn) Write(data []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(data)
}
