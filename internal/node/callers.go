package node

import (
	"context"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/front"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// pendingCalls maps each open call of a caller to the channel on which the control
// thread's reply is delivered.
type pendingCalls struct {
	mu      sync.Mutex
	lastID  uint64
	replies map[uint64]chan *control.Reply
}

func newPendingCalls() *pendingCalls { return &pendingCalls{replies: map[uint64]chan *control.Reply{}} }

// add registers a call and returns its identity and the channel of its reply.
func (c *pendingCalls) add() (uint64, chan *control.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	replyChannel := make(chan *control.Reply, 1)
	c.replies[c.lastID] = replyChannel
	return c.lastID, replyChannel
}

func (c *pendingCalls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replies, id)
}

// reply delivers a reply; it drops the reply of a call that has ended.
func (c *pendingCalls) reply(reply *control.Reply) {
	c.mu.Lock()
	replyChannel := c.replies[reply.RequestID]
	delete(c.replies, reply.RequestID)
	c.mu.Unlock()
	if replyChannel != nil {
		replyChannel <- reply
	}
}

func (c *pendingCalls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.replies)
}

// call sends an input to the control thread and waits for the reply. If the
// input queue is full, it refuses the call at once, before any state changes. If
// ctx ends first, the refusal says that the request may have run.
func (p *Process) call(ctx context.Context, input func(id uint64) control.Input) *control.Reply {
	id, replyChannel := p.pendingCalls.add()
	select {
	case p.inputs <- input(id):
	default:
		p.pendingCalls.remove(id)
		return &control.Reply{Refusal: workload.Refuse(workload.CodeQueueFull, time.Second, "the control thread's queue is full")}
	}
	select {
	case reply := <-replyChannel:
		p.sendInput(ctx, &control.AnswerDelivered{RequestID: id})
		return reply
	case <-ctx.Done():
		p.pendingCalls.remove(id)
		p.sendInput(context.WithoutCancel(ctx), &control.ConnectionClosed{RequestID: id})
		refusal := workload.Refuse(workload.CodeOutcome, time.Second, "the connection ended before the outcome was known")
		refusal.Run = workload.MayHaveRun
		return &control.Reply{Refusal: refusal}
	}
}

func (p *Process) newFront() (*front.Front, error) {
	s := &p.options.Settings
	return front.New(front.Options{
		Submit:                 p.submit,
		SubmitJob:              p.submitJob,
		Status:                 p.status,
		Wait:                   p.wait,
		Cancel:                 p.cancel,
		Explain:                p.explain,
		Draining:               p.Draining,
		Authorize:              p.access.Authorize,
		Record:                 p.recordEvent,
		Observe:                p.metrics.observeCall,
		TLS:                    p.certificates.tlsConfig(),
		MaxOpenRequests:        s.Limits.OpenRequests,
		MaxOpenRequestsPerTeam: s.Limits.OpenRequestsPerTeam,
		MaxConnections:         s.Limits.Connections,
		KeepAliveAfter:         s.Timing.KeepAliveAfter,
		KeepAliveEvery:         s.Timing.KeepAliveEvery,
	})
}

// submit runs a request and returns its answer.
func (p *Process) submit(ctx context.Context, request workload.Request) (workload.Answer, *workload.Refusal) {
	reply := p.call(ctx, func(id uint64) control.Input { return &control.Submit{RequestID: id, Request: request} })
	if reply.Answer != nil {
		p.metrics.observeWait(request.Kind, time.Duration(reply.Answer.WaitedMS)*time.Millisecond)
	}
	return answerFromReply(reply)
}

// answerFromReply returns the answer or the refusal that a reply holds.
func answerFromReply(reply *control.Reply) (workload.Answer, *workload.Refusal) {
	switch {
	case reply.Refusal != nil:
		return workload.Answer{}, reply.Refusal
	case reply.Answer != nil:
		return *reply.Answer, nil
	}
	return workload.Answer{}, unexpectedReplyRefusal()
}

// unexpectedReplyRefusal returns the refusal for a reply that holds none of the
// expected results.
func unexpectedReplyRefusal() *workload.Refusal {
	refusal := workload.Refuse(workload.CodeInternal, time.Second, "the control thread gave an unexpected reply")
	refusal.Run = workload.MayHaveRun
	return refusal
}

// submitJob returns once the job is accepted, without waiting for its answer.
func (p *Process) submitJob(ctx context.Context, request workload.Request) (caller.Receipt, *workload.Refusal) {
	reply := p.call(ctx, func(id uint64) control.Input { return &control.Submit{RequestID: id, Request: request} })
	switch {
	case reply.Refusal != nil:
		return caller.Receipt{}, reply.Refusal
	case reply.Accepted != nil || reply.Answer != nil:
		return caller.Receipt{Key: request.Key, State: workload.StateQueued, AcceptedAt: time.Now()}, nil
	}
	return caller.Receipt{}, unexpectedReplyRefusal()
}

// wait waits for a request that was submitted earlier and returns its answer.
func (p *Process) wait(ctx context.Context, query front.Query) (workload.Answer, *workload.Refusal) {
	reply := p.call(ctx, func(id uint64) control.Input {
		return &control.WaitFor{RequestID: id, Key: query.Key, Team: query.Team}
	})
	return answerFromReply(reply)
}

func (p *Process) status(ctx context.Context, query front.Query) (caller.Status, *workload.Refusal) {
	status, refusal := p.describe(ctx, func(id uint64) control.Input {
		return &control.DescribeRequest{RequestID: id, Key: query.Key, Team: query.Team}
	})
	return callerStatus(status), refusal
}

func (p *Process) cancel(ctx context.Context, query front.Query) (caller.Status, *workload.Refusal) {
	status, refusal := p.describe(ctx, func(id uint64) control.Input {
		return &control.CancelRequest{RequestID: id, Key: query.Key, Team: query.Team}
	})
	return callerStatus(status), refusal
}

func (p *Process) explain(ctx context.Context, query front.Query) (caller.Explanation, *workload.Refusal) {
	status, refusal := p.describe(ctx, func(id uint64) control.Input {
		return &control.DescribeRequest{RequestID: id, Key: query.Key, Team: query.Team}
	})
	if refusal != nil {
		return caller.Explanation{}, refusal
	}
	return callerExplanation(status), nil
}

// describe sends an input whose reply is a status. The status is never nil.
func (p *Process) describe(ctx context.Context, input func(id uint64) control.Input) (*control.Status, *workload.Refusal) {
	reply := p.call(ctx, input)
	switch {
	case reply.Refusal != nil:
		return &control.Status{}, reply.Refusal
	case reply.Status != nil:
		return reply.Status, nil
	}
	return &control.Status{}, unexpectedReplyRefusal()
}

// callerStatus converts a status to the form that callers receive.
func callerStatus(status *control.Status) caller.Status {
	converted := caller.Status{
		Key: status.Key, Team: status.Team, Kind: status.Kind, State: status.State, Attempt: status.Attempt, Answer: status.Answer,
	}
	if len(status.Workers) > 0 {
		converted.Worker = status.Workers[0]
	}
	if len(status.Timeline) > 0 {
		converted.Since = status.Timeline[len(status.Timeline)-1].At
	}
	return converted
}
