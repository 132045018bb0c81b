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

// Timing and limits of a worker session.
const (
	// watchWaitTime is how long a worker delays the response to a watch request while
	// it has nothing to report. Each request renews the session, so that a session of
	// 3 s is renewed three times within its length.
	watchWaitTime = time.Second
	// startQueueLength bounds the start requests that wait to be sent to a worker. An
	// owner never has more unanswered start requests than the worker has slots.
	startQueueLength = 256
	// retryInterval is the pause before a failed call is repeated.
	retryInterval = 50 * time.Millisecond
	// usableSessionShare is the fraction of a session's length for which this node uses
	// the session without a renewal; the rest is a margin before the worker ends it.
	usableSessionShare = 0.9
)

// workerSession exchanges messages with one worker in one session: it renews the
// session, sends starts and other actions, and receives reports.
type workerSession struct {
	process *Process
	name    string
	client  *worker.Client
	token   worker.Token
	length  time.Duration
	cancel  context.CancelFunc
	starts  chan worker.StartTask
	// actionsQueued holds at most one signal that actions wait to be sent.
	actionsQueued chan struct{}

	mu sync.Mutex
	// actions are sent with the next watch request.
	actions worker.WatchRequest
	// validUntil is when this node stops using the session unless it is renewed.
	validUntil time.Time
}

// openSession requests a session from a worker in the background.
func (p *Process) openSession(ctx context.Context, name string) {
	address, ok := p.addresses[name]
	if !ok {
		return
	}
	go p.openAndServe(ctx, name, address)
}

// openAndServe opens a session and runs it until it ends.
func (p *Process) openAndServe(ctx context.Context, name string, address netip.AddrPort) {
	length := p.options.Settings.Timing.Session
	client := worker.New(worker.Options{Address: address, Dial: p.dialWorker(name)})
	defer client.Close()
	sentAt := time.Now()
	opened, err := client.OpenSession(ctx, p.options.Settings.Node.Name, length)
	if err != nil {
		p.sendInput(ctx, &control.SessionRefused{Worker: name, Reason: err.Error()})
		return
	}
	if opened.Worker.Name != name {
		p.sendInput(ctx, &control.SessionRefused{Worker: name, Reason: "the worker reports the name " + opened.Worker.Name})
		return
	}
	sessionContext, cancel := context.WithCancel(ctx)
	defer cancel()
	session := &workerSession{
		process: p, name: name, client: client, token: opened.Token, length: length, cancel: cancel,
		starts: make(chan worker.StartTask, startQueueLength), actionsQueued: make(chan struct{}, 1),
		validUntil: sentAt.Add(time.Duration(float64(length) * usableSessionShare)),
	}
	p.sendInput(ctx, &sessionOpenedInput{workerSession: session, SessionOpened: newSessionOpened(&opened, sentAt)})
	session.run(sessionContext)
}

// newSessionOpened returns the input that announces a session, with the tasks that
// the worker listed.
func newSessionOpened(session *worker.Session, sentAt time.Time) *control.SessionOpened {
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

// run serves the session until it ends, and reports its loss to the control thread
// unless it was canceled.
func (s *workerSession) run(ctx context.Context) {
	loops := []func(context.Context) error{s.runWatch, s.runStarts, s.runActions}
	ended := make(chan error, len(loops))
	for _, loop := range loops {
		go func() { ended <- loop(ctx) }()
	}
	endErr := <-ended
	s.cancel()
	for range len(loops) - 1 {
		<-ended
	}
	if endErr != nil && !errors.Is(endErr, context.Canceled) {
		lost := &control.SessionLost{Worker: s.name, Token: uint64(s.token), Reason: endErr.Error()}
		s.process.sendInput(context.WithoutCancel(ctx), lost)
	}
}

// runWatch renews the session and receives the worker's reports by long polling.
func (s *workerSession) runWatch(ctx context.Context) error {
	var resultCursor uint64
	for ctx.Err() == nil {
		request := s.takeActions()
		request.Token, request.Wait, request.ResultCursor = s.token, watchWaitTime, resultCursor
		report, err := s.client.Watch(ctx, request)
		if err == nil {
			resultCursor = report.ResultCursor
			s.handleReport(ctx, &report)
			continue
		}
		s.requeueActions(request)
		if err := s.sessionEndError(err); err != nil {
			return err
		}
		sleep(ctx, retryInterval)
	}
	return ctx.Err()
}

// runActions sends queued actions immediately in its own requests, since the watch
// request of runWatch may be waiting at the worker.
func (s *workerSession) runActions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.actionsQueued:
		}
		request := s.takeActions()
		request.Token = s.token
		report, err := s.client.Watch(ctx, request)
		if err != nil {
			s.requeueActions(request)
			if err := s.sessionEndError(err); err != nil {
				return err
			}
			sleep(ctx, retryInterval)
			s.signalActions()
			continue
		}
		s.handleReport(ctx, &report)
	}
}

// sessionEndError returns the reason if a failed call means that the session has
// ended: the worker rejected the token, or the session was not renewed in time. It
// returns nil if the call can be repeated.
func (s *workerSession) sessionEndError(err error) error {
	var tokenError *worker.TokenError
	if errors.As(err, &tokenError) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.validUntil) {
		return errors.New("the session could not be renewed: " + err.Error())
	}
	return nil
}

// handleReport extends the validity of the session and passes a report to the control
// thread.
func (s *workerSession) handleReport(ctx context.Context, report *worker.Report) {
	s.mu.Lock()
	s.validUntil = report.RenewedAt.Add(time.Duration(float64(s.length) * usableSessionShare))
	s.mu.Unlock()
	in := &control.WorkerReport{Worker: s.name, Token: uint64(s.token), SentAt: report.RenewedAt, Leaving: report.Leaving}
	for i := range report.Finished {
		f := &report.Finished[i]
		in.Finished = append(in.Finished, control.FinishedOnWorker{ID: f.ID, Result: control.Result{
			Outcome: f.Outcome, Worker: s.name, Ran: time.Duration(f.RanMS) * time.Millisecond, Body: f.Body,
		}})
	}
	for _, usage := range report.Usage {
		in.Usage = append(in.Usage, control.UsageOnWorker{ID: usage.ID, Used: usage.Used})
	}
	s.process.sendInput(ctx, in)
}

// runStarts sends start requests in batches. A batch whose outcome is unknown is not
// sent again: the session ends, and the worker's list of tasks at the start of the
// next session says which tasks were started.
func (s *workerSession) runStarts(ctx context.Context) error {
	for {
		var batch []worker.StartTask
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-s.starts:
			batch = append(batch, first)
		}
		for len(s.starts) > 0 {
			batch = append(batch, <-s.starts)
		}
		if err := s.sendStarts(ctx, batch); err != nil {
			return err
		}
	}
}

// sendStarts sends a batch, and repeats the call after failures that are certain to
// have occurred before the batch was sent. It returns an error if the session must
// end.
func (s *workerSession) sendStarts(ctx context.Context, batch []worker.StartTask) error {
	for {
		results, err := s.client.Start(ctx, s.token, batch)
		var notSent *worker.NotSentError
		var refused *worker.RefusedError
		switch {
		case err == nil:
			s.handleStartResults(ctx, results)
			return nil
		case errors.As(err, &refused):
			for i := range batch {
				s.process.sendInput(ctx, &control.StartRefused{Worker: s.name, Token: uint64(s.token), ID: batch[i].ID, Reason: err.Error()})
			}
			return nil
		case errors.As(err, &notSent) && s.sessionEndError(err) == nil && ctx.Err() == nil:
			sleep(ctx, retryInterval)
		default:
			return err
		}
	}
}

// handleStartResults passes the result of each start request to the control thread.
func (s *workerSession) handleStartResults(ctx context.Context, results []worker.StartResult) {
	for _, result := range results {
		if result.Accepted {
			s.process.sendInput(ctx, &control.TaskStarted{Worker: s.name, Token: uint64(s.token), ID: result.ID})
			continue
		}
		s.process.sendInput(ctx, &control.StartRefused{
			Worker: s.name, Token: uint64(s.token), ID: result.ID, Reason: string(result.Reason),
		})
	}
}

// takeActions removes and returns the queued actions.
func (s *workerSession) takeActions() worker.WatchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.actions
	s.actions = worker.WatchRequest{}
	return actions
}

// requeueActions queues the actions of a watch request that failed. They may have
// arrived, but all of them are idempotent.
func (s *workerSession) requeueActions(request worker.WatchRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions.Acknowledge = append(s.actions.Acknowledge, request.Acknowledge...)
	s.actions.Stop = append(s.actions.Stop, request.Stop...)
	s.actions.Checkpoint = append(s.actions.Checkpoint, request.Checkpoint...)
	s.actions.Throttle = append(s.actions.Throttle, request.Throttle...)
}

// queueAcknowledgement queues the acknowledgement of a result, which is sent with
// the next watch request.
func (s *workerSession) queueAcknowledgement(id placement.TaskID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions.Acknowledge = append(s.actions.Acknowledge, id)
}

// queueAction queues an action on a task and has runActions send it immediately.
func (s *workerSession) queueAction(id placement.TaskID, verb placement.Verb) {
	s.mu.Lock()
	switch verb {
	case placement.VerbStop:
		s.actions.Stop = append(s.actions.Stop, id)
	case placement.VerbCheckpoint:
		s.actions.Checkpoint = append(s.actions.Checkpoint, id)
	case placement.VerbThrottle:
		s.actions.Throttle = append(s.actions.Throttle, id)
	}
	s.mu.Unlock()
	s.signalActions()
}

// signalActions tells runActions that actions are queued.
func (s *workerSession) signalActions() {
	select {
	case s.actionsQueued <- struct{}{}:
	default:
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
