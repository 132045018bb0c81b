package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// This file asks the former services of a queue for jobs that they may have accepted, see
// queueHistory.

// ownServedQueue returns this shard's service with the queue's present name.
func (l *shardLeader) ownServedQueue(request submitRequest) servedQueue {
	return servedQueue{Service: l.shardRef.service, Queue: request.Terms.Queue}
}

// queueMoved reports whether a newer manifest than the sender's has moved the queue to another
// service.
func (l *shardLeader) queueMoved(request submitRequest) bool {
	return l.process.queueHistory(request.QueueKey).outdates(request.ManifestVersion, l.ownServedQueue(request))
}

// checkFormerServices asks the former services of the job's queue whether they have accepted a job
// that this shard doesn't know, and stores first that the queue is served here. If it reports that the
// submission is decided, the answer is that for the caller.
func (l *shardLeader) checkFormerServices(ctx context.Context, request submitRequest) (answer submitAnswer, decided bool, err error) {
	if request.QueueKey == "" {
		return submitAnswer{}, false, nil
	}
	served := l.ownServedQueue(request)
	history := l.process.queueHistory(request.QueueKey)
	if history.covers(served, request.ManifestVersion) && len(history.formerServices()) == 0 {
		return submitAnswer{}, false, nil
	}
	known, err := askControlLoop(ctx, l, errNotLeader, func(time.Time) bool { return l.shard.Knows(request.ID) })
	if known || err != nil {
		return submitAnswer{}, false, err
	}
	history, err = l.process.recordQueue(ctx, request.QueueKey, served, request.ManifestVersion)
	switch {
	case errors.Is(err, errManifestOutdated):
		return submitAnswer{QueueMoved: true}, true, nil
	case err != nil:
		return submitAnswer{}, false, fmt.Errorf("%w: the queue's record can't be stored: %w", errOutcomeUnknown, err)
	}
	for _, service := range history.formerServices() {
		accepted, err := l.process.askFormerService(ctx, service, request, history)
		if err != nil {
			return submitAnswer{}, false, fmt.Errorf("%w: former service %s: %w", errOutcomeUnknown, service, err)
		}
		if accepted {
			l.process.log("accepted-elsewhere", "job", request.ID, "queue", request.Terms.Queue, "service", service)
			return submitAnswer{Accepted: true}, true, nil
		}
	}
	return submitAnswer{}, false, nil
}

// askFormerService reports whether a former service of the job's queue has accepted the job.
func (p *Process) askFormerService(ctx context.Context, service string, request submitRequest, history queueHistory) (bool, error) {
	startedAt := time.Now()
	ref, err := p.shardOf(ctx, startedAt, service, request.ID)
	if err != nil {
		return false, err
	}
	message := acceptedRequest{Shard: ref.key(), ID: request.ID, QueueKey: request.QueueKey, History: history}
	answer, _, err := forward(ctx, p, startedAt, ref, pathAccepted, message, (*shardLeader).acceptedHere)
	return answer.Accepted, err
}

// acceptedHere reports whether this shard has accepted a job of a queue that it served formerly, and
// waits until that is stored. After the answer no it accepts the job only if a newer manifest moves
// the queue back.
func (l *shardLeader) acceptedHere(ctx context.Context, request acceptedRequest) (acceptedAnswer, error) {
	requestedAt := l.process.sinceBoot()
	l.process.mu.Lock()
	l.process.updateQueueHistory(request.QueueKey, request.History)
	l.process.mu.Unlock()
	stored := make(chan struct{})
	outcome, err := askControlLoop(ctx, l, errNotLeader, func(time.Time) shard.Outcome {
		outcome := l.shard.Acceptance(request.ID)
		if outcome == shard.Pending {
			l.acceptanceWaiters.add(request.ID, stored)
		}
		return outcome
	})
	switch {
	case err != nil:
		return acceptedAnswer{}, err
	case outcome == shard.Stored:
		return acceptedAnswer{Accepted: true}, nil
	case outcome == shard.Pending:
		return acceptedAnswer{Accepted: true}, l.awaitChangeStored(ctx, stored)
	case !l.confirmedSince(ctx, requestedAt):
		return acceptedAnswer{}, errOutcomeUnknown // the job may be known to a newer leader
	}
	return acceptedAnswer{}, nil
}
