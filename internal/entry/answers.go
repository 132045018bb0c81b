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

// submit takes a job in and waits until it is stored. While the store is silent
// only a job that is not known is refused: the record of an earlier try may be
// on its way.
func (h *holder) submit(ctx context.Context, request submitRequest) (submitAnswer, error) {
	if !h.part.has(request.ID) {
		return submitAnswer{}, errNotHolder // of this job's shard
	}
	verdicts := make(chan shard.Verdict, 1)
	unavailable := make(chan struct{}, 1)
	settled := make(chan struct{})
	if !h.input(func(now time.Time) {
		if h.stalled() && !h.shard.Knows(request.ID) {
			unavailable <- struct{}{}
			return
		}
		verdict := h.shard.Accept(now, request.ID, request.Terms, request.Spec)
		if verdict.Outcome == shard.Pending {
			h.waiters[request.ID] = append(h.waiters[request.ID], settled)
		}
		verdicts <- verdict
	}) {
		return submitAnswer{}, errNotHolder
	}
	select {
	case verdict := <-verdicts:
		switch verdict.Outcome {
		case shard.Stored:
			return submitAnswer{Accepted: true}, nil
		case shard.Refused:
			return submitAnswer{Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}, nil
		}
	case <-unavailable:
		return refuseStalled(), nil
	case <-h.ended:
		return submitAnswer{}, errUndecided
	case <-ctx.Done():
		return submitAnswer{}, errUndecided
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
	withdrawn := make(chan bool, 1)
	if h.input(func(now time.Time) { withdrawn <- h.shard.Withdraw(now, id, reasonStalled) }) {
		select {
		case taken := <-withdrawn:
			if taken {
				return refuseStalled(), nil
			}
		case <-h.ended:
		}
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
	answers := make(chan stateAnswer, 1)
	if !h.input(func(time.Time) {
		state, known := h.shard.State(id)
		if !known {
			h.process.log("job-unknown", "job", id, "service", h.service, "epoch", h.epoch, "detail", h.shard.Explain(id))
		}
		answers <- stateAnswer{Known: known, State: state}
	}) {
		return stateAnswer{}, errNotHolder
	}
	select {
	case answer := <-answers:
		if !answer.Known && !h.provenSince(ctx, asked) {
			return stateAnswer{}, errUndecided // another holder may know it by now
		}
		return answer, nil
	case <-h.ended:
		return stateAnswer{}, errNotHolder
	case <-ctx.Done():
		return stateAnswer{}, errUndecided
	}
}

// stopJob cancels a job and waits until that is stored.
func (h *holder) stopJob(ctx context.Context, request jobRequest) (stateAnswer, error) {
	id, asked := request.ID, time.Now()
	outcomes := make(chan shard.Outcome, 1)
	settled := make(chan struct{})
	if !h.input(func(now time.Time) {
		outcome := h.shard.Cancel(now, id)
		if outcome == shard.Pending {
			h.waiters[id] = append(h.waiters[id], settled)
		}
		outcomes <- outcome
	}) {
		return stateAnswer{}, errNotHolder
	}
	select {
	case outcome := <-outcomes:
		switch {
		case outcome == shard.Stored:
			return stateAnswer{Known: true}, nil
		case outcome == shard.Unknown && !h.provenSince(ctx, asked):
			return stateAnswer{}, errUndecided
		case outcome == shard.Unknown:
			return stateAnswer{}, nil
		}
	case <-h.ended:
		return stateAnswer{}, errUndecided
	case <-ctx.Done():
		return stateAnswer{}, errUndecided
	}
	return stateAnswer{Known: true}, h.wait(ctx, settled)
}

// waiting returns the number of a queue's jobs that haven't begun.
func (h *holder) waiting(ctx context.Context, request waitingRequest) (waitingAnswer, error) {
	answers := make(chan int, 1)
	if !h.input(func(time.Time) { answers <- h.shard.Waiting(request.Queue) }) {
		return waitingAnswer{}, errNotHolder
	}
	select {
	case count := <-answers:
		return waitingAnswer{Waiting: count}, nil
	case <-h.ended:
		return waitingAnswer{}, errNotHolder
	case <-ctx.Done():
		return waitingAnswer{}, errUndecided
	}
}
