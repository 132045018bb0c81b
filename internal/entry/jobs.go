package entry

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// storeStalled reports whether an append has been unanswered for so long that
// the store counts as stalled.
func (l *shardLeader) storeStalled() bool {
	started := l.appendStarted.Load()
	return started != 0 && time.Since(l.process.startedAt)-time.Duration(started) >= l.stallTimeout()
}

// stallTimeout is how long an append may be unanswered before the store counts as
// stalled. A store whose recent appends took long is slow, but serves.
func (l *shardLeader) stallTimeout() time.Duration {
	return min(max(2*l.recentAppendLatency(), minStallTimeout), maxStallTimeout)
}

// disabledRetryAfter is when the caller of a job for a disabled service is told to retry: an operator
// has to enable it.
const disabledRetryAfter = time.Minute

// storeStalledReason is the reason that callers get while the store is stalled.
const storeStalledReason = "the store that keeps accepted jobs doesn't answer"

// storeStalledAnswer refuses a job that can't be stored. Callers are told to
// retry soon, because they wait only a few seconds in all, and it isn't known
// how long the store takes to recover.
func storeStalledAnswer() submitAnswer {
	return submitAnswer{Unavailable: true, Reason: storeStalledReason, RetryAfter: shortRetryAfter}
}

// askControlLoop runs a function on the control loop and returns its result.
// ifEnded is the error if the leader ends meanwhile; it isn't known then
// whether the function ran.
func askControlLoop[Answer any](ctx context.Context, l *shardLeader, ifEnded error, query func(now time.Time) Answer) (Answer, error) {
	var zero Answer
	answers := make(chan Answer, 1)
	if !l.enqueue(func(now time.Time) { answers <- query(now) }) {
		return zero, errNotLeader
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-l.ended:
		return zero, ifEnded
	case <-ctx.Done():
		return zero, errOutcomeUnknown
	}
}

// waiters are the callers that wait for one kind of change of a job to be stored, by job.
// Their channels are closed then. Only the control loop uses them.
type waiters map[string][]chan struct{}

func (w waiters) add(id string, stored chan struct{}) { w[id] = append(w[id], stored) }

// wake closes the channels of the callers that wait for these jobs.
func (w waiters) wake(ids []string) {
	for _, id := range ids {
		for _, stored := range w[id] {
			close(stored)
		}
		delete(w, id)
	}
}

// submit accepts a job and waits until it is stored. While the store is
// stalled, unknown jobs are refused. A known job isn't, because its record,
// sent at an earlier try, may be in flight.
func (l *shardLeader) submit(ctx context.Context, request submitRequest) (submitAnswer, error) {
	if !l.shardRef.owns(request.ID) {
		return submitAnswer{}, errNotLeader // another shard's job
	}
	if answer, decided, err := l.checkFormerServices(ctx, request); decided || err != nil {
		return answer, err
	}
	stored := make(chan struct{})
	result, err := askControlLoop(ctx, l, errOutcomeUnknown, func(now time.Time) acceptance {
		known := l.shard.Knows(request.ID)
		switch {
		case !known && l.queueMoved(request):
			return acceptance{queueMoved: true}
		case !known && request.ServiceDisabled:
			return acceptance{serviceDisabled: true}
		case !known && l.storeStalled():
			return acceptance{storeStalled: true}
		}
		result := l.shard.Accept(now, request.ID, request.Terms, request.Spec)
		if result.Outcome == shard.Pending {
			l.acceptanceWaiters.add(request.ID, stored)
		}
		return acceptance{AcceptResult: result}
	})
	switch {
	case err != nil:
		return submitAnswer{}, err
	case result.queueMoved:
		return submitAnswer{QueueMoved: true}, nil
	case result.serviceDisabled:
		return submitAnswer{Unavailable: true, Reason: "the service of the queue is disabled", RetryAfter: disabledRetryAfter}, nil
	case result.storeStalled:
		return storeStalledAnswer(), nil
	case result.Outcome == shard.Stored:
		return submitAnswer{Accepted: true}, nil
	case result.Outcome == shard.Refused:
		return submitAnswer{Reason: result.Reason, RetryAfter: result.RetryAfter}, nil
	}
	return l.awaitJobStored(ctx, request.ID, stored)
}

// acceptance is the result of a submission, or why the shard was not asked.
type acceptance struct {
	shard.AcceptResult
	queueMoved, serviceDisabled, storeStalled bool
}

// awaitJobStored waits until a job is stored. If the store stalls before the
// job's record was sent, the job is withdrawn and refused.
func (l *shardLeader) awaitJobStored(ctx context.Context, id string, stored chan struct{}) (submitAnswer, error) {
	timer := time.NewTimer(l.stallTimeout())
	defer timer.Stop()
	select {
	case <-stored:
		return submitAnswer{Accepted: true}, nil
	case <-timer.C:
	case <-l.ended:
		return submitAnswer{}, errOutcomeUnknown
	case <-ctx.Done():
		return submitAnswer{}, errOutcomeUnknown
	}
	// The job is withdrawn even if the caller leaves meanwhile.
	withdrawn, err := askControlLoop(context.WithoutCancel(ctx), l, errOutcomeUnknown, func(now time.Time) bool {
		return l.shard.Withdraw(now, id, storeStalledReason)
	})
	if err == nil && withdrawn {
		return storeStalledAnswer(), nil
	}
	return submitAnswer{Accepted: true}, l.awaitChangeStored(ctx, stored)
}

// awaitChangeStored waits until a change of a job is stored.
func (l *shardLeader) awaitChangeStored(ctx context.Context, stored chan struct{}) error {
	select {
	case <-stored:
		return nil
	case <-l.ended:
		return errOutcomeUnknown
	case <-ctx.Done():
		return errOutcomeUnknown
	}
}

// jobState returns a job's stored state.
func (l *shardLeader) jobState(ctx context.Context, request jobRequest) (stateAnswer, error) {
	id, requestedAt := request.ID, l.process.sinceBoot()
	answer, err := askControlLoop(ctx, l, errNotLeader, func(time.Time) stateAnswer {
		state, known := l.shard.State(id)
		if !known {
			l.process.log("job-unknown", "job", id, "service", l.key, "epoch", l.epoch, "detail", l.shard.Explain(id))
		}
		return stateAnswer{Known: known, State: state}
	})
	if err == nil && !answer.Known && !l.confirmedSince(ctx, requestedAt) {
		return stateAnswer{}, errOutcomeUnknown // the job may be known to a newer leader
	}
	return answer, err
}

// cancelJob cancels a job and waits until its final state is stored.
func (l *shardLeader) cancelJob(ctx context.Context, request jobRequest) (stateAnswer, error) {
	id, requestedAt := request.ID, l.process.sinceBoot()
	stored := make(chan struct{})
	outcome, err := askControlLoop(ctx, l, errOutcomeUnknown, func(now time.Time) shard.Outcome {
		outcome := l.shard.Cancel(now, id)
		if outcome == shard.Pending {
			l.endWaiters.add(id, stored)
		}
		return outcome
	})
	switch {
	case err != nil:
		return stateAnswer{}, err
	case outcome == shard.Stored:
		return stateAnswer{Known: true}, nil
	case outcome == shard.Unknown && !l.confirmedSince(ctx, requestedAt):
		return stateAnswer{}, errOutcomeUnknown
	case outcome == shard.Unknown:
		return stateAnswer{}, nil
	}
	return stateAnswer{Known: true}, l.awaitChangeStored(ctx, stored)
}

// waitingJobs returns the number of a queue's jobs that haven't started.
func (l *shardLeader) waitingJobs(ctx context.Context, request waitingRequest) (waitingAnswer, error) {
	count, err := askControlLoop(ctx, l, errNotLeader, func(time.Time) int { return l.shard.Waiting(request.Queue) })
	return waitingAnswer{Waiting: count}, err
}
