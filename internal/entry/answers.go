package entry

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// stalled reports whether the store has left an append unanswered for so long
// that it counts as silent.
func (h *holder) stalled() bool {
	left := h.appending.Load()
	return left != 0 && time.Since(h.process.began)-time.Duration(left) >= storeStall
}

// reasonStalled is told to callers while the store is silent.
const reasonStalled = "the store that keeps accepted jobs doesn't answer"

// refuseStalled is the answer to a job that can't be stored. Nobody knows when
// the store is back, and callers wait a few seconds in all, so they return soon.
func refuseStalled() submitAnswer {
	return submitAnswer{Unavailable: true, Reason: reasonStalled, RetryAfter: retrySoon}
}

// askShard puts a question to the control thread and waits for its answer.
// ifEnded is the error if the holder ends meanwhile: whether the question was
// put isn't known then.
func askShard[Answer any](ctx context.Context, h *holder, ifEnded error, question func(now time.Time) Answer) (Answer, error) {
	var none Answer
	answers := make(chan Answer, 1)
	if !h.input(func(now time.Time) { answers <- question(now) }) {
		return none, errNotHolder
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-h.ended:
		return none, ifEnded
	case <-ctx.Done():
		return none, errUndecided
	}
}

// submit takes a job in and waits until it is stored. While the store is silent
// only a job that is not known is refused: the record of an earlier try may be
// on its way.
func (h *holder) submit(ctx context.Context, request submitRequest) (submitAnswer, error) {
	if !h.part.has(request.ID) {
		return submitAnswer{}, errNotHolder // of this job's shard
	}
	settled := make(chan struct{})
	verdict, err := askShard(ctx, h, errUndecided, func(now time.Time) *shard.AcceptResult {
		if h.stalled() && !h.shard.Knows(request.ID) {
			return nil
		}
		verdict := h.shard.Accept(now, request.ID, request.Terms, request.Spec)
		if verdict.Outcome == shard.Pending {
			h.waiters[request.ID] = append(h.waiters[request.ID], settled)
		}
		return &verdict
	})
	switch {
	case err != nil:
		return submitAnswer{}, err
	case verdict == nil:
		return refuseStalled(), nil
	case verdict.Outcome == shard.Stored:
		return submitAnswer{Accepted: true}, nil
	case verdict.Outcome == shard.Refused:
		return submitAnswer{Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}, nil
	}
	return h.awaitStored(ctx, request.ID, settled)
}

// awaitStored waits until a job is stored. When the store falls silent before
// the job's record has left, the job is taken back and refused.
func (h *holder) awaitStored(ctx context.Context, id string, settled chan struct{}) (submitAnswer, error) {
	timer := time.NewTimer(storeStall)
	defer timer.Stop()
	select {
	case <-settled:
		return submitAnswer{Accepted: true}, nil
	case <-timer.C:
	case <-h.ended:
		return submitAnswer{}, errUndecided
	case <-ctx.Done():
		return submitAnswer{}, errUndecided
	}
	// Also a caller that leaves meanwhile is told whether the job was taken back.
	withdrawn, err := askShard(context.WithoutCancel(ctx), h, errUndecided, func(now time.Time) bool {
		return h.shard.Withdraw(now, id, reasonStalled)
	})
	if err == nil && withdrawn {
		return refuseStalled(), nil
	}
	return submitAnswer{Accepted: true}, h.wait(ctx, settled)
}

func (h *holder) wait(ctx context.Context, settled chan struct{}) error {
	select {
	case <-settled:
		return nil
	case <-h.ended:
		return errUndecided
	case <-ctx.Done():
		return errUndecided
	}
}

// state returns a job's state as it is stored.
func (h *holder) state(ctx context.Context, request jobRequest) (stateAnswer, error) {
	id, asked := request.ID, time.Now()
	answer, err := askShard(ctx, h, errNotHolder, func(time.Time) stateAnswer {
		state, known := h.shard.State(id)
		if !known {
			h.process.log("job-unknown", "job", id, "service", h.service, "epoch", h.epoch, "detail", h.shard.Explain(id))
		}
		return stateAnswer{Known: known, State: state}
	})
	if err == nil && !answer.Known && !h.provenSince(ctx, asked) {
		return stateAnswer{}, errUndecided // another holder may know it by now
	}
	return answer, err
}

// stopJob cancels a job and waits until that is stored.
func (h *holder) stopJob(ctx context.Context, request jobRequest) (stateAnswer, error) {
	id, asked := request.ID, time.Now()
	settled := make(chan struct{})
	outcome, err := askShard(ctx, h, errUndecided, func(now time.Time) shard.Outcome {
		outcome := h.shard.Cancel(now, id)
		if outcome == shard.Pending {
			h.waiters[id] = append(h.waiters[id], settled)
		}
		return outcome
	})
	switch {
	case err != nil:
		return stateAnswer{}, err
	case outcome == shard.Stored:
		return stateAnswer{Known: true}, nil
	case outcome == shard.Unknown && !h.provenSince(ctx, asked):
		return stateAnswer{}, errUndecided
	case outcome == shard.Unknown:
		return stateAnswer{}, nil
	}
	return stateAnswer{Known: true}, h.wait(ctx, settled)
}

// waiting returns the number of a queue's jobs that haven't begun.
func (h *holder) waiting(ctx context.Context, request waitingRequest) (waitingAnswer, error) {
	count, err := askShard(ctx, h, errNotHolder, func(time.Time) int { return h.shard.Waiting(request.Queue) })
	return waitingAnswer{Waiting: count}, err
}
