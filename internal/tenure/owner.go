package tenure

import (
	"slices"
	"strings"
	"time"
)

// promiseEntry is an owner's entry for one range.
type promiseEntry struct {
	// newest is the newest number that this owner knows; it never decreases.
	newest LeaseNumber
	// promised is the number of the last promise, which ends at expiresAt.
	promised  LeaseNumber
	expiresAt time.Time
	// promisedSince is since when the range has been promised without a gap to
	// the node of the last promise.
	promisedSince time.Time
	// contendedAt is when a node was last refused because of another's promise.
	contendedAt time.Time
	// released is set if the candidate released the promise; the number must not
	// be promised again.
	released bool
}

// session is a session that this node holds with a worker.
type session struct {
	worker      string
	heldUntil   time.Time // by this node's clock
	countedFrom time.Time // when the worker begins to count for promises
}

// isCounted reports whether the worker counts for a promise given now.
func (s *session) isCounted(now time.Time) bool {
	return now.Before(s.heldUntil) && !now.Before(s.countedFrom)
}

// SessionOpened records a session that a worker granted: sentAt is when the
// request was sent and now is when the response was read. It ignores the session if
// there are MaxWorkers already. The caller must drop a late response, that is, one
// with an older token than that of another response of the worker.
func (l *Leases) SessionOpened(sentAt, now time.Time, worker string) {
	i, found := l.findSession(worker)
	if !found {
		if len(l.sessions) >= MaxWorkers {
			return
		}
		l.sessions = slices.Insert(l.sessions, i, &session{worker: worker})
	}
	*l.sessions[i] = session{worker, sentAt.Add(l.ownerSessionDuration), now.Add(l.sessionCountDelay)}
}

// SessionRenewed records that the worker renewed its session with this node, by a
// request sent at sentAt. It ignores an unknown session.
func (l *Leases) SessionRenewed(sentAt time.Time, worker string) {
	if i, found := l.findSession(worker); found {
		if until := sentAt.Add(l.ownerSessionDuration); until.After(l.sessions[i].heldUntil) {
			l.sessions[i].heldUntil = until
		}
	}
}

// SessionClosed records that the session has ended. For a planned close, call it
// before the request is sent to the worker.
func (l *Leases) SessionClosed(worker string) {
	if i, found := l.findSession(worker); found {
		l.sessions = slices.Delete(l.sessions, i, i+1)
	}
}

// findSession returns the index of the worker's session, or where to insert it.
func (l *Leases) findSession(worker string) (int, bool) {
	return slices.BinarySearchFunc(l.sessions, worker, func(s *session, name string) int {
		return strings.Compare(s.worker, name)
	})
}

// countedWorkers returns the workers that count for a promise given now.
func (l *Leases) countedWorkers(now time.Time) *workerSet {
	names := make([]string, 0, len(l.sessions))
	for _, s := range l.sessions {
		if s.isCounted(now) {
			names = append(names, s.worker)
		}
	}
	return newWorkerSet(names)
}

// ReceiveRequest handles a candidate's request as owner and returns the response.
// It ignores ranges of the request beyond MaxRanges.
func (l *Leases) ReceiveRequest(now time.Time, from string, request PromiseRequest) PromiseResponse {
	workers := l.countedWorkers(now)
	response := PromiseResponse{Round: request.Round, WorkersDigest: workers.digest}
	if request.KnownDigest != workers.digest {
		response.Workers = workers.names
	}
	for _, rangeRequest := range request.Ranges[:min(len(request.Ranges), MaxRanges)] {
		if rangeRequest.Release {
			l.release(now, rangeRequest.Range, LeaseNumber{rangeRequest.Timestamp, from})
			continue
		}
		if refusal := l.tryPromise(now, from, rangeRequest); refusal != nil {
			response.Refused = append(response.Refused, *refusal)
		} else {
			response.Promised = append(response.Promised, rangeRequest.Timestamp)
			if now.Sub(l.promises[rangeRequest.Range].contendedAt) < PromiseDuration {
				response.Contended = append(response.Contended, rangeRequest.Timestamp)
			}
		}
	}
	return response
}

// tryPromise promises the range to the node, or returns the refusal.
func (l *Leases) tryPromise(now time.Time, from string, rangeRequest RangeRequest) *RangeRefusal {
	number := LeaseNumber{rangeRequest.Timestamp, from}
	p := l.findOrAddPromise(now, rangeRequest.Range)
	if p == nil {
		return &RangeRefusal{Timestamp: rangeRequest.Timestamp, Reason: ReasonFull, RetryAfterMS: PromiseDuration.Milliseconds()}
	}
	active := now.Before(p.expiresAt)
	order := number.Compare(p.newest)
	if order < 0 || order == 0 && p.released {
		return &RangeRefusal{Timestamp: rangeRequest.Timestamp, Reason: ReasonStale, Newest: p.newest}
	}
	handedOver := rangeRequest.Replaces != nil && *rangeRequest.Replaces == p.promised
	if active && p.promised.Node != from && !handedOver {
		p.contendedAt = now
		retry := p.expiresAt.Sub(now)
		if now.Sub(p.promisedSince) < RenewInterval {
			retry = min(retry, newPromiseRetryDelay)
		}
		return &RangeRefusal{
			Timestamp: rangeRequest.Timestamp, Reason: ReasonHeld, Newest: p.newest, RetryAfterMS: retry.Milliseconds() + 1,
		}
	}
	if !active || p.promised.Node != from {
		p.promisedSince = now
	}
	p.newest, p.promised, p.expiresAt, p.released = number, number, now.Add(l.ownerPromiseDuration), false
	return nil
}

// release ends the promise with the given number at once.
func (l *Leases) release(now time.Time, leaseRange Range, number LeaseNumber) {
	if p := l.promises[leaseRange]; p != nil && p.promised == number {
		p.expiresAt, p.released = now, true
	}
}

// Check returns a *StaleLeaseError if this owner knows a newer lease of the range,
// and a *RangeRefusal if the promise table is full. An owner calls it before it
// accepts an assignment. If the number is newer than the newest known, Check
// records it, so that later assignments of the former home are refused.
func (l *Leases) Check(now time.Time, leaseRange Range, number LeaseNumber) error {
	p := l.findOrAddPromise(now, leaseRange)
	if p == nil {
		return &RangeRefusal{Timestamp: number.Timestamp, Reason: ReasonFull, RetryAfterMS: PromiseDuration.Milliseconds()}
	}
	switch order := number.Compare(p.newest); {
	case order < 0:
		return &StaleLeaseError{leaseRange, number, p.newest}
	case order > 0:
		p.newest, p.released = number, false
	}
	return nil
}

// Newest returns the newest number that this owner knows of a range, or the zero
// value if it knows none. The number's node is the range's home as far as the
// owner knows.
func (l *Leases) Newest(leaseRange Range) LeaseNumber {
	if p := l.promises[leaseRange]; p != nil {
		return p.newest
	}
	return LeaseNumber{}
}

// findOrAddPromise returns the entry of a range, which it adds if there is none. It
// returns nil if the table is full.
func (l *Leases) findOrAddPromise(now time.Time, leaseRange Range) *promiseEntry {
	p := l.promises[leaseRange]
	if p != nil {
		return p
	}
	if len(l.promises) >= MaxRanges {
		for key, old := range l.promises {
			if now.Sub(old.expiresAt) > expiredPromiseRetention {
				delete(l.promises, key)
			}
		}
		if len(l.promises) >= MaxRanges {
			return nil
		}
	}
	p = &promiseEntry{expiresAt: now}
	l.promises[leaseRange] = p
	return p
}
