package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Submit sends a request, waits for its answer and returns it. A request
// without a key gets a new one. request.Attempt is the number of the first
// attempt of this call; each retry increments it.
func (c *Client) Submit(ctx context.Context, request workload.Request) (workload.Answer, error) {
	submission := submission[workload.Answer]{
		client: c, path: "/v1/requests", request: request, mayHaveRun: request.MayHaveRun(),
		selectBody: func(o *Outcome) *workload.Answer { return o.Answer },
		lookUp: func(ctx context.Context, query Query) (workload.Answer, error) {
			return c.Wait(ctx, query)
		},
	}
	return submission.run(ctx)
}

// SubmitJob sends a durable job or service and returns its receipt once the
// scheduler has recorded it in the log. Key and Attempt are handled as in
// Submit.
func (c *Client) SubmitJob(ctx context.Context, request workload.Request) (Receipt, error) {
	submission := submission[Receipt]{
		client: c, path: "/v1/jobs", request: request, mayHaveRun: request.MayHaveRun(),
		selectBody: func(o *Outcome) *Receipt { return o.Receipt },
		lookUp: func(ctx context.Context, query Query) (Receipt, error) {
			status, err := c.Status(ctx, query)
			return Receipt{Key: status.Key, State: status.State, AcceptedAt: status.Since}, err
		},
	}
	return submission.run(ctx)
}

// submission is one call of Submit or SubmitJob with all its attempts.
type submission[T any] struct {
	client     *Client
	path       string
	request    workload.Request
	selectBody func(*Outcome) *T
	// lookUp asks by key for the outcome of an attempt whose response was lost.
	lookUp func(ctx context.Context, query Query) (T, error)
	// mayHaveRun is set while one of the attempts so far may have run.
	mayHaveRun bool
}

func (s *submission[T]) run(ctx context.Context) (T, error) {
	var zero T
	if s.request.Key == "" {
		s.request.Key = workload.NewKey()
	}
	s.client.retryBudget.addCall()
	for attempt := 1; ; attempt++ {
		body, err := s.send(ctx)
		if body != nil {
			return *body, nil
		}
		if !s.retryable(err) || attempt >= s.client.options.Attempts || ctx.Err() != nil {
			return zero, s.finalError(err)
		}
		if !s.client.retryBudget.takeRetry() {
			return zero, s.finalError(err.withCause(errRetryBudget))
		}
		if waitErr := s.client.backOff(ctx, attempt, err.retryAfter()); waitErr != nil {
			return zero, s.finalError(err.withCause(waitErr))
		}
		s.request.Attempt++
		if !s.mayHaveRun {
			s.request.NotRunAttempts = s.request.Attempt
		}
	}
}

// send makes one attempt. If its response was lost and the request must not be
// sent again, it looks up the outcome by key.
func (s *submission[T]) send(ctx context.Context) (*T, *Error) {
	body, err := json.Marshal(s.request)
	if err != nil {
		return nil, &Error{Refusal: *workload.Refuse(workload.CodeBadRequest, 0, "the request can't be written as JSON"), Cause: err}
	}
	result := send(ctx, s.client, s.client.nextAddress(), http.MethodPost, s.path, &encodedRequest{body, s.request.Attempt}, s.selectBody)
	if result.body != nil {
		return result.body, nil
	}
	if result.refusal != nil {
		failure := result.failure(workload.MayHaveRun)
		s.recordRefusal(failure)
		return nil, failure
	}
	if !result.maybeSent {
		return nil, result.failure(workload.NotRun)
	}
	s.mayHaveRun = true
	failure := result.failure(workload.MayHaveRun)
	if !s.request.NonIdempotent || ctx.Err() != nil {
		return nil, failure
	}
	found, lookUpErr := s.lookUp(ctx, Query{Key: s.request.Key, Team: s.request.Team})
	if lookUpErr == nil {
		return &found, nil
	}
	var refused *Error
	if errors.As(lookUpErr, &refused) && refused.Cause == nil {
		s.recordRefusal(refused)
		if refused.Refusal.Code == workload.CodeNotFound {
			// The attempt was lost with its connection. The cause makes the
			// refusal retryable, unless its run field is may-have-run.
			refused.Cause = result.sendErr
		}
		return nil, refused
	}
	return nil, failure.withCause(lookUpErr)
}

// recordRefusal updates mayHaveRun from a refusal. The run field of a refusal
// covers all attempts of the request.
func (s *submission[T]) recordRefusal(failure *Error) {
	s.mayHaveRun = failure.Refusal.Run != workload.NotRun
}

// retryable reports whether the request may be sent again and whether another
// attempt can succeed.
func (s *submission[T]) retryable(failure *Error) bool {
	if s.request.NonIdempotent && s.mayHaveRun {
		return false
	}
	return failure.Cause != nil || failure.Refusal.RetryAfterMS > 0
}

// finalError sets the run field of the last failure to may-have-run if any of the
// attempts may have run.
func (s *submission[T]) finalError(failure *Error) error {
	if s.mayHaveRun {
		failure.Refusal.Run = workload.MayHaveRun
	}
	return failure
}
