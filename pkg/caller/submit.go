package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Submit sends a request and returns its answer. A request without a key gets
// a new one; its Attempt is the number of the first send.
func (c *Client) Submit(ctx context.Context, request workload.Request) (workload.Answer, error) {
	submission := submission[workload.Answer]{
		client: c, path: "/v1/requests", request: request, uncertain: request.MayHaveRun(),
		pick: func(o *Outcome) *workload.Answer { return o.Answer },
		resolve: func(ctx context.Context, query Query) (workload.Answer, error) {
			return c.Wait(ctx, query)
		},
	}
	return submission.run(ctx)
}

// SubmitJob sends a durable job or service and returns its receipt once the
// scheduler has recorded it.
func (c *Client) SubmitJob(ctx context.Context, request workload.Request) (Receipt, error) {
	submission := submission[Receipt]{
		client: c, path: "/v1/jobs", request: request, uncertain: request.MayHaveRun(),
		pick: func(o *Outcome) *Receipt { return o.Receipt },
		resolve: func(ctx context.Context, query Query) (Receipt, error) {
			status, err := c.Status(ctx, query)
			return Receipt{Key: status.Key, State: status.State, AcceptedAt: status.Since}, err
		},
	}
	return submission.run(ctx)
}

// submission is one Submit or SubmitJob with all its sends.
type submission[T any] struct {
	client  *Client
	path    string
	request workload.Request
	pick    func(*Outcome) *T
	// resolve asks by key for the outcome of a send whose reply was lost.
	resolve func(ctx context.Context, query Query) (T, error)
	// uncertain is set while an earlier send may have run.
	uncertain bool
}

func (s *submission[T]) run(ctx context.Context) (T, error) {
	var zero T
	if s.request.Key == "" {
		s.request.Key = workload.NewKey()
	}
	s.client.budget.firstSend()
	for n := 1; ; n++ {
		got, err := s.send(ctx)
		if got != nil {
			return *got, nil
		}
		if !s.repeatable(err) || n >= s.client.options.Attempts || ctx.Err() != nil {
			return zero, s.final(err)
		}
		if !s.client.budget.take() {
			return zero, s.final(err.because(errBudget))
		}
		if waitErr := s.client.pause(ctx, n, err.retryAfter()); waitErr != nil {
			return zero, s.final(err.because(waitErr))
		}
		s.request.Attempt++
		if !s.uncertain {
			s.request.NotRunAttempts = s.request.Attempt
		}
	}
}

// send makes one send, and resolves it by key if its reply was lost and it
// must not be sent again.
func (s *submission[T]) send(ctx context.Context) (*T, *Error) {
	body, err := json.Marshal(s.request)
	if err != nil {
		return nil, &Error{Refusal: *workload.Refuse(workload.CodeBadRequest, 0, "the request can't be written as JSON"), Cause: err}
	}
	reply := send(ctx, s.client, s.client.address(), http.MethodPost, s.path, &payload{body, s.request.Attempt}, s.pick)
	if reply.body != nil {
		return reply.body, nil
	}
	if reply.refusal != nil {
		failure := reply.failure(workload.MayHaveRun)
		s.learn(failure)
		return nil, failure
	}
	if !reply.left {
		return nil, reply.failure(workload.NotRun)
	}
	s.uncertain = true
	failure := reply.failure(workload.MayHaveRun)
	if !s.request.NonIdempotent || ctx.Err() != nil {
		return nil, failure
	}
	resolved, resolveErr := s.resolve(ctx, Query{Key: s.request.Key, Team: s.request.Team})
	if resolveErr == nil {
		return &resolved, nil
	}
	var answer *Error
	if errors.As(resolveErr, &answer) && answer.Cause == nil {
		s.learn(answer)
		if answer.Refusal.Code == workload.CodeNotFound {
			// The send was lost with its connection, which is why it can be
			// worth repeating if it is proved not to have run.
			answer.Cause = reply.broken
		}
		return nil, answer
	}
	return nil, failure.because(resolveErr)
}

// learn updates what is known from a refusal, which is about all sends.
func (s *submission[T]) learn(failure *Error) {
	s.uncertain = failure.Refusal.Run != workload.NotRun
}

// repeatable reports whether the request may be sent again and whether that
// can help.
func (s *submission[T]) repeatable(failure *Error) bool {
	if s.request.NonIdempotent && s.uncertain {
		return false
	}
	return failure.Cause != nil || failure.Refusal.RetryAfterMS > 0
}

// final makes the run field of the last failure true for all sends together.
func (s *submission[T]) final(failure *Error) error {
	if s.uncertain {
		failure.Refusal.Run = workload.MayHaveRun
	}
	return failure
}
