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

// calls are the open calls of callers' connections.
type calls struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan *control.Reply
}

func newCalls() *calls { return &calls{waiting: map[uint64]chan *control.Reply{}} }

func (c *calls) add() (uint64, chan *control.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	answer := make(chan *control.Reply, 1)
	c.waiting[c.next] = answer
	return c.next, answer
}

func (c *calls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

func (c *calls) reply(reply *control.Reply) {
	c.mu.Lock()
	answer := c.waiting[reply.RequestID]
	delete(c.waiting, reply.RequestID)
	c.mu.Unlock()
	if answer != nil {
		answer <- reply
	}
}

func (c *calls) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}

// call passes an input to the control thread and waits for its reply. A full
// input queue refuses the call at once, before anything was done.
func (p *Process) call(ctx context.Context, input func(id uint64) control.Input) *control.Reply {
	id, answer := p.calls.add()
	select {
	case p.inputs <- input(id):
	default:
		p.calls.remove(id)
		return &control.Reply{Refusal: workload.Refuse(workload.CodeQueueFull, time.Second, "the control thread's queue is full")}
	}
	select {
	case reply := <-answer:
		p.push(ctx, &control.AnswerDelivered{RequestID: id})
		return reply
	case <-ctx.Done():
		p.calls.remove(id)
		p.push(context.WithoutCancel(ctx), &control.ConnectionClosed{RequestID: id})
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
		Record:                 p.record,
		Observe:                p.metrics.observeCall,
		TLS:                    p.certificates.config(),
		MaxOpenRequests:        s.Limits.OpenRequests,
		MaxOpenRequestsPerTeam: s.Limits.OpenRequestsPerTeam,
		MaxConnections:         s.Limits.Connections,
		KeepAliveAfter:         s.Timing.KeepAliveAfter,
		KeepAliveEvery:         s.Timing.KeepAliveEvery,
	})
}

func (p *Process) submit(ctx context.Context, request workload.Request) (workload.Answer, *workload.Refusal) {
	reply := p.call(ctx, func(id uint64) control.Input { return &control.Submit{RequestID: id, Request: request} })
	if reply.Answer != nil {
		p.metrics.observeWait(request.Kind, time.Duration(reply.Answer.WaitedMS)*time.Millisecond)
	}
	return answerOf(reply)
}

func answerOf(reply *control.Reply) (workload.Answer, *workload.Refusal) {
	switch {
	case reply.Refusal != nil:
		return workload.Answer{}, reply.Refusal
	case reply.Answer != nil:
		return *reply.Answer, nil
	}
	return workload.Answer{}, unexpectedReply()
}

func unexpectedReply() *workload.Refusal {
	refusal := workload.Refuse(workload.CodeInternal, time.Second, "the control thread gave an unexpected reply")
	refusal.Run = workload.MayHaveRun
	return refusal
}

func (p *Process) submitJob(ctx context.Context, request workload.Request) (caller.Receipt, *workload.Refusal) {
	reply := p.call(ctx, func(id uint64) control.Input { return &control.Submit{RequestID: id, Request: request} })
	switch {
	case reply.Refusal != nil:
		return caller.Receipt{}, reply.Refusal
	case reply.Accepted != nil || reply.Answer != nil:
		return caller.Receipt{Key: request.Key, State: workload.StateQueued, AcceptedAt: time.Now()}, nil
	}
	return caller.Receipt{}, unexpectedReply()
}

func (p *Process) wait(ctx context.Context, query front.Query) (workload.Answer, *workload.Refusal) {
	reply := p.call(ctx, func(id uint64) control.Input {
		return &control.WaitFor{RequestID: id, Key: query.Key, Team: query.Team}
	})
	return answerOf(reply)
}

func (p *Process) status(ctx context.Context, query front.Query) (caller.Status, *workload.Refusal) {
	status, refusal := p.describe(ctx, func(id uint64) control.Input {
		return &control.DescribeRequest{RequestID: id, Key: query.Key, Team: query.Team}
	})
	return statusOf(status), refusal
}

func (p *Process) cancel(ctx context.Context, query front.Query) (caller.Status, *workload.Refusal) {
	status, refusal := p.describe(ctx, func(id uint64) control.Input {
		return &control.CancelRequest{RequestID: id, Key: query.Key, Team: query.Team}
	})
	return statusOf(status), refusal
}

func (p *Process) explain(ctx context.Context, query front.Query) (caller.Explanation, *workload.Refusal) {
	status, refusal := p.describe(ctx, func(id uint64) control.Input {
		return &control.DescribeRequest{RequestID: id, Key: query.Key, Team: query.Team}
	})
	if refusal != nil {
		return caller.Explanation{}, refusal
	}
	return explanationOf(status), nil
}

func (p *Process) describe(ctx context.Context, input func(id uint64) control.Input) (*control.Status, *workload.Refusal) {
	reply := p.call(ctx, input)
	switch {
	case reply.Refusal != nil:
		return &control.Status{}, reply.Refusal
	case reply.Status != nil:
		return reply.Status, nil
	}
	return &control.Status{}, unexpectedReply()
}

func statusOf(status *control.Status) caller.Status {
	out := caller.Status{
		Key: status.Key, Team: status.Team, Kind: status.Kind, State: status.State, Attempt: status.Attempt, Answer: status.Answer,
	}
	if len(status.Workers) > 0 {
		out.Worker = status.Workers[0]
	}
	if len(status.Timeline) > 0 {
		out.Since = status.Timeline[len(status.Timeline)-1].At
	}
	return out
}
