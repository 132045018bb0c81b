package tenure

import (
	"slices"
	"strings"
	"time"
)

// promise is an owner's entry for one range.
type promise struct {
	// newest is the newest number seen; it only grows.
	newest LeaseNumber
	// promised is the number that until belongs to.
	promised LeaseNumber
	until    time.Time
	// firstAt is when the present holder got its first promise.
	firstAt time.Time
	// contendedAt is when another node was refused last.
	contendedAt time.Time
	// released marks that promised must not be promised again.
	released bool
}

type session struct {
	worker      string
	heldUntil   time.Time
	countedFrom time.Time
}

func (s *session) counts(now time.Time) bool {
	return now.Before(s.heldUntil) && !now.Before(s.countedFrom)
}

// SessionOpened records a session that a worker granted: sentAt is when the
// request was sent and now is when the answer was read. The caller drops late
// answers: those with an older token than one that it has seen of the worker.
func (l *Leases) SessionOpened(sentAt, now time.Time, worker string) {
	i, found := l.findSession(worker)
	if !found {
		if len(l.sessions) >= MaxWorkers {
			return
		}
		l.sessions = slices.Insert(l.sessions, i, &session{worker: worker})
	}
	*l.sessions[i] = session{worker, sentAt.Add(l.sessionsFor), now.Add(l.countAfter)}
}

// SessionRenewed records that the worker renewed the session of this node; a
// session that is not known is ignored.
func (l *Leases) SessionRenewed(sentAt time.Time, worker string) {
	if i, found := l.findSession(worker); found {
		if until := sentAt.Add(l.sessionsFor); until.After(l.sessions[i].heldUntil) {
			l.sessions[i].heldUntil = until
		}
	}
}

// SessionClosed records that the session is lost. Before a planned close it is
// called ahead of the request to the worker.
func (l *Leases) SessionClosed(worker string) {
	if i, found := l.findSession(worker); found {
		l.sessions = slices.Delete(l.sessions, i, i+1)
	}
}

func (l *Leases) findSession(worker string) (int, bool) {
	return slices.BinarySearchFunc(l.sessions, worker, func(s *session, name string) int {
		return strings.Compare(s.worker, name)
	})
}

// counted returns the workers that count for a promise given now.
func (l *Leases) counted(now time.Time) *workerSet {
	names := make([]string, 0, len(l.sessions))
	for _, s := range l.sessions {
		if s.counts(now) {
			names = append(names, s.worker)
		}
	}
	return newWorkerSet(names)
}

// ReceiveRequest answers a candidate's request as owner.
func (l *Leases) ReceiveRequest(now time.Time, from string, request PromiseRequest) PromiseResponse {
	set := l.counted(now)
	answer := PromiseResponse{Round: request.Round, Set: set.digest}
	if request.KnownSet != set.digest {
		answer.Workers = set.names
	}
	for _, asked := range request.Ranges[:min(len(request.Ranges), MaxRanges)] {
		if asked.Release {
			l.release(now, asked.Range, LeaseNumber{asked.Timestamp, from})
			continue
		}
		if refusal := l.promise(now, from, asked); refusal != nil {
			answer.Refused = append(answer.Refused, *refusal)
		} else {
			answer.Promised = append(answer.Promised, asked.Timestamp)
			if now.Sub(l.promises[asked.Range].contendedAt) < Length {
				answer.Contended = append(answer.Contended, asked.Timestamp)
			}
		}
	}
	return answer
}

// promise gives the promise or says why not.
func (l *Leases) promise(now time.Time, from string, asked RangeRequest) *RangeRefusal {
	number := LeaseNumber{asked.Timestamp, from}
	p := l.entry(now, asked.Range)
	if p == nil {
		return &RangeRefusal{Timestamp: asked.Timestamp, Reason: ReasonFull, RetryAfterMS: Length.Milliseconds()}
	}
	current := now.Before(p.until)
	order := number.Compare(p.newest)
	if order < 0 || order == 0 && p.released {
		return &RangeRefusal{Timestamp: asked.Timestamp, Reason: ReasonStale, Newest: p.newest}
	}
	handedOver := asked.Replaces != nil && *asked.Replaces == p.promised
	if current && p.promised.Node != from && !handedOver {
		p.contendedAt = now
		retry := p.until.Sub(now)
		if now.Sub(p.firstAt) < RenewInterval {
			retry = min(retry, freshRetry)
		}
		return &RangeRefusal{
			Timestamp: asked.Timestamp, Reason: ReasonHeld, Newest: p.newest, RetryAfterMS: retry.Milliseconds() + 1,
		}
	}
	if !current || p.promised.Node != from {
		p.firstAt = now
	}
	p.newest, p.promised, p.until, p.released = number, number, now.Add(l.promiseFor), false
	return nil
}

func (l *Leases) release(now time.Time, scope Range, number LeaseNumber) {
	if p := l.promises[scope]; p != nil && p.promised == number {
		p.until, p.released = now, true
	}
}

// Check returns a *StaleLeaseError if a newer lease of the range is known. An
// owner calls it before it accepts an assignment. A number that is newer than
// those known replaces them, so that later ones of the former home are refused.
func (l *Leases) Check(now time.Time, scope Range, number LeaseNumber) error {
	p := l.entry(now, scope)
	if p == nil {
		return &RangeRefusal{Timestamp: number.Timestamp, Reason: ReasonFull, RetryAfterMS: Length.Milliseconds()}
	}
	switch order := number.Compare(p.newest); {
	case order < 0:
		return &StaleLeaseError{scope, number, p.newest}
	case order > 0:
		p.newest, p.released = number, false
	}
	return nil
}

// Newest returns the newest number that this owner knows of a range; zero if it
// knows none. Its node is the range's home as far as the owner can tell.
func (l *Leases) Newest(scope Range) LeaseNumber {
	if p := l.promises[scope]; p != nil {
		return p.newest
	}
	return LeaseNumber{}
}

// entry returns the entry of a range, or nil if the table is full.
func (l *Leases) entry(now time.Time, scope Range) *promise {
	p := l.promises[scope]
	if p != nil {
		return p
	}
	if len(l.promises) >= MaxRanges {
		for key, old := range l.promises {
			if now.Sub(old.until) > forgetAfter {
				delete(l.promises, key)
			}
		}
		if len(l.promises) >= MaxRanges {
			return nil
		}
	}
	p = &promise{until: now}
	l.promises[scope] = p
	return p
}
