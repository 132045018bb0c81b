package node

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/worker"
)

// Times and bounds of a worker's link.
const (
	// watchWait is how long a worker holds a watch without news. The session
	// of 3 s is thereby renewed three times within its length.
	watchWait = time.Second
	// startQueue bounds the starts that wait for a worker. An owner never has
	// more starts open than the worker has slots.
	startQueue = 256
	retryPause = 50 * time.Millisecond
	// sessionGuard is the part of a session's length that its holder uses.
	sessionGuard = 0.9
)

// link is the traffic between this node and one worker under one session.
type link struct {
	process *Process
	name    string
	client  *worker.Client
	token   worker.Token
	length  time.Duration
	cancel  context.CancelFunc
	starts  chan worker.StartTask
	// urgent has room for one signal that actions wait.
	urgent chan struct{}

	mu      sync.Mutex
	actions worker.WatchRequest
	until   time.Time
}

// openSession asks a worker for a session in the background.
func (p *Process) openSession(ctx context.Context, name string) {
	address, ok := p.addresses[name]
	if !ok {
		return
	}
	go p.openAndServe(ctx, name, address)
}

func (p *Process) openAndServe(ctx context.Context, name string, address netip.AddrPort) {
	length := p.options.Settings.Timing.Session
	client := worker.New(worker.Options{Address: address, Dial: p.dialWorker(name)})
	defer client.Close()
	sentAt := time.Now()
	session, err := client.OpenSession(ctx, p.options.Settings.Node.Name, length)
	if err != nil {
		p.push(ctx, &control.SessionRefused{Worker: name, Reason: err.Error()})
		return
	}
	if session.Worker.Name != name {
		p.push(ctx, &control.SessionRefused{Worker: name, Reason: "the worker calls itself " + session.Worker.Name})
		return
	}
	linkContext, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{
		process: p, name: name, client: client, token: session.Token, length: length, cancel: cancel,
		starts: make(chan worker.StartTask, startQueue), urgent: make(chan struct{}, 1),
		until: sentAt.Add(time.Duration(float64(length) * sessionGuard)),
	}
	p.push(ctx, &linkOpened{link: l, SessionOpened: sessionOpened(&session, sentAt)})
	l.run(linkContext)
}

func sessionOpened(session *worker.Session, sentAt time.Time) *control.SessionOpened {
	in := &control.SessionOpened{Worker: session.Worker, Token: uint64(session.Token), SentAt: sentAt}
	now := time.Now()
	for i := range session.Tasks {
		t := &session.Tasks[i]
		in.Tasks = append(in.Tasks, control.ListedOnWorker{
			ID: t.ID, Resources: t.Resources, Label: t.Label, Finished: t.State == worker.Finished,
			StartedAt: now.Add(-time.Duration(t.StartedMSAgo) * time.Millisecond),
		})
	}
	return in
}

// run serves the link until its session ends.
func (l *link) run(ctx context.Context) {
	parts := []func(context.Context) error{l.runWatch, l.runStarts, l.runActions}
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go func() { ended <- part(ctx) }()
	}
	reason := <-ended
	l.cancel()
	for range len(parts) - 1 {
		<-ended
	}
	if reason != nil && !errors.Is(reason, context.Canceled) {
		lost := &control.SessionLost{Worker: l.name, Token: uint64(l.token), Reason: reason.Error()}
		l.process.push(context.WithoutCancel(ctx), lost)
	}
}

// runWatch renews the session and passes the worker's news on.
func (l *link) runWatch(ctx context.Context) error {
	var seen uint64
	for ctx.Err() == nil {
		request := l.takeActions()
		request.Token, request.Wait, request.ResultCursor = l.token, watchWait, seen
		report, err := l.client.Watch(ctx, request)
		if err == nil {
			seen = report.ResultCursor
			l.pass(ctx, &report)
			continue
		}
		l.putBack(request)
		if err := l.fatal(err); err != nil {
			return err
		}
		pause(ctx, retryPause)
	}
	return ctx.Err()
}

// runActions sends actions at once, while a watch waits for news.
func (l *link) runActions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.urgent:
		}
		request := l.takeActions()
		request.Token = l.token
		report, err := l.client.Watch(ctx, request)
		if err != nil {
			l.putBack(request)
			if err := l.fatal(err); err != nil {
				return err
			}
			pause(ctx, retryPause)
			l.signal()
			continue
		}
		l.pass(ctx, &report)
	}
}

// fatal returns the reason for which the session is over, if it is.
func (l *link) fatal(err error) error {
	var token *worker.TokenError
	if errors.As(err, &token) {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.until) {
		return errors.New("the session could not be renewed: " + err.Error())
	}
	return nil
}

func (l *link) pass(ctx context.Context, report *worker.Report) {
	l.mu.Lock()
	l.until = report.RenewedAt.Add(time.Duration(float64(l.length) * sessionGuard))
	l.mu.Unlock()
	in := &control.WorkerReport{Worker: l.name, Token: uint64(l.token), SentAt: report.RenewedAt, Leaving: report.Leaving}
	for i := range report.Finished {
		f := &report.Finished[i]
		in.Finished = append(in.Finished, control.FinishedOnWorker{ID: f.ID, Result: control.Result{
			Outcome: f.Outcome, Worker: l.name, Ran: time.Duration(f.RanMS) * time.Millisecond, Body: f.Body,
		}})
	}
	for _, usage := range report.Usage {
		in.Usage = append(in.Usage, control.UsageOnWorker{ID: usage.ID, Used: usage.Used})
	}
	l.process.push(ctx, in)
}

// runStarts sends starts in batches. A batch whose outcome is unknown is not
// sent again: the session is given up, and the list that the next one begins
// with tells what was started.
func (l *link) runStarts(ctx context.Context) error {
	for {
		var batch []worker.StartTask
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-l.starts:
			batch = append(batch, first)
		}
		for len(l.starts) > 0 {
			batch = append(batch, <-l.starts)
		}
		if err := l.sendStarts(ctx, batch); err != nil {
			return err
		}
	}
}

func (l *link) sendStarts(ctx context.Context, batch []worker.StartTask) error {
	for {
		results, err := l.client.Start(ctx, l.token, batch)
		var notSent *worker.NotSentError
		var refused *worker.RefusedError
		switch {
		case err == nil:
			l.passResults(ctx, results)
			return nil
		case errors.As(err, &refused):
			for i := range batch {
				l.process.push(ctx, &control.StartRefused{Worker: l.name, Token: uint64(l.token), ID: batch[i].ID, Reason: err.Error()})
			}
			return nil
		case errors.As(err, &notSent) && l.fatal(err) == nil && ctx.Err() == nil:
			pause(ctx, retryPause)
		default:
			return err
		}
	}
}

func (l *link) passResults(ctx context.Context, results []worker.StartResult) {
	for _, result := range results {
		if result.Accepted {
			l.process.push(ctx, &control.TaskStarted{Worker: l.name, Token: uint64(l.token), ID: result.ID})
			continue
		}
		l.process.push(ctx, &control.StartRefused{
			Worker: l.name, Token: uint64(l.token), ID: result.ID, Reason: string(result.Reason),
		})
	}
}

// takeActions returns the actions that wait and forgets them.
func (l *link) takeActions() worker.WatchRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	actions := l.actions
	l.actions = worker.WatchRequest{}
	return actions
}

// putBack keeps the actions of a watch that may not have arrived; all of them
// are idempotent.
func (l *link) putBack(request worker.WatchRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actions.Acknowledge = append(l.actions.Acknowledge, request.Acknowledge...)
	l.actions.Stop = append(l.actions.Stop, request.Stop...)
	l.actions.Checkpoint = append(l.actions.Checkpoint, request.Checkpoint...)
	l.actions.Throttle = append(l.actions.Throttle, request.Throttle...)
}

func (l *link) acknowledge(id placement.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actions.Acknowledge = append(l.actions.Acknowledge, id)
}

func (l *link) act(id placement.TaskID, verb placement.Verb) {
	l.mu.Lock()
	switch verb {
	case placement.VerbStop:
		l.actions.Stop = append(l.actions.Stop, id)
	case placement.VerbCheckpoint:
		l.actions.Checkpoint = append(l.actions.Checkpoint, id)
	case placement.VerbThrottle:
		l.actions.Throttle = append(l.actions.Throttle, id)
	}
	l.mu.Unlock()
	l.signal()
}

func (l *link) signal() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
