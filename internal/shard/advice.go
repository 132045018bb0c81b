package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// ticketMargin is the least time between a start and the expiry of its ticket. It
	// covers the transit of the adviser's answer and of the start order.
	ticketMargin = 300 * time.Millisecond
	// maxWorkersPerCall is the largest number of workers that the platform contract
	// allows in one advice call.
	maxWorkersPerCall = 100
	// fixedTimeShare determines the least number of workers that a call names, unless
	// fewer are left to ask about. Their time (AdviceTimePerWorker each) adds up to
	// this share of the call's fixed time (AdviceTime, see job.Terms). Naming fewer
	// saves little, and a second call costs the fixed time again.
	fixedTimeShare = 0.4
	// minShareSample is the least number of workers in a call whose answer updates
	// the estimate of a queue's allowed share.
	minShareSample = 8
	// askedCapacityFactor is the ratio of the free capacity that a step asks about
	// to the capacity that it needs. Other steps take some of it before the answer
	// arrives.
	askedCapacityFactor = 3.0
	// initialAllowedShare is the share of workers that the adviser is assumed to
	// allow for a queue until its first answer: the share of the strictest queue.
	// minAllowedShare is the lower bound of the estimate, and allowedShareWeight is
	// the weight of the newest answer.
	initialAllowedShare = 0.3
	minAllowedShare     = 0.1
	allowedShareWeight  = 0.1
	// Tickets are renewed not only for the workers of a plan, but also for those that
	// become available within renewalWindow after the planned start, as estimates of
	// run times of a few seconds are off by up to half.
	renewalWindow = time.Second
	// adviceTransitTime is the transit time of a call and its answer together.
	adviceTransitTime = 100 * time.Millisecond
	// maxStepsAskingAgain is how many of the most urgent steps may ask about workers
	// that their earlier calls did not name.
	maxStepsAskingAgain = 24
	// askAgainDelay is the least time between a step's last call and a call about
	// workers that were not named: an allowed worker may become available in the
	// meantime, so that the call isn't needed.
	askAgainDelay = 500 * time.Millisecond
	// MaxShortAdvice is the longest expected time of a short advice call. Some nodes
	// make only short calls, so that urgent work isn't queued behind long ones.
	MaxShortAdvice = 100 * time.Millisecond
	// adviceRetryDelay is the pause before a step repeats a failed advice call.
	adviceRetryDelay = 150 * time.Millisecond
)

// advice holds the placement adviser's answers for a step.
type advice struct {
	askedWorkers map[string]int64  // by worker ID: the incarnation that was asked about
	tickets      map[string]ticket // by worker ID; expired tickets are kept
	ticketsEnd   time.Time         // no ticket is valid at this time or later
	inFlight     bool              // a call has no answer yet
	awaited      []string          // IDs of the workers that the call in flight names
	askedAt      time.Time         // when the last call was sent
	retryAt      time.Time         // no call is sent before this time
}

// ticket permits starts of a step on one incarnation of a worker.
type ticket struct {
	text        string
	incarnation int64
	validUntil  time.Time
}

// allowed reports whether the worker may run the step, and whether its ticket
// is valid at the given time.
func (a *advice) allowed(w *worker, now time.Time) (isAllowed, ticketValid bool) {
	t, found := a.tickets[w.ID]
	if !found || t.incarnation != w.observedIncarnation {
		return false, false
	}
	return true, now.Before(t.validUntil)
}

// awaits reports whether a call in flight names the worker.
func (a *advice) awaits(w *worker) bool { return a.inFlight && slices.Contains(a.awaited, w.ID) }

// invalidate marks the worker's ticket as expired.
func (a *advice) invalidate(w *worker) {
	if t, found := a.tickets[w.ID]; found {
		t.validUntil = time.Time{}
		a.tickets[w.ID] = t
	}
}

// plan holds the workers on which a step that doesn't fit now can start earliest,
// and the time.
type plan struct {
	workers []*worker
	at      time.Time
}

// requestAdvice sends the advice calls that the waiting steps need, most urgent
// first. The first call of a step is sent at once and shows where it may run. Later
// calls renew tickets, but only shortly before a worker becomes available: the
// adviser takes one call at a time from each node.
func (s *Shard) requestAdvice(now time.Time, order []*step, ticketsWanted map[*step][]*worker, plans map[*step]plan) {
	for rank, st := range order {
		if s.shortAdviceCalls >= s.shortAdviceLimit && s.longAdviceCalls >= s.longAdviceLimit {
			return
		}
		if !st.hasStartable(now) {
			continue // started in this pass
		}
		terms := &st.occurrence.job.accepted.Terms
		calls, limit := s.adviceCalls(adviceTime(st, 1))
		if !terms.RequiresTicket || st.advice.inFlight || now.Before(st.advice.retryAt) || *calls >= limit {
			continue
		}
		var workers []*worker
		planned, hasPlan := plans[st]
		switch {
		case len(st.advice.askedWorkers) == 0:
			workers = s.workersToAsk(now, st)
		case len(ticketsWanted[st]) > 0:
			workers = ticketsWanted[st]
		case hasPlan && len(planned.workers) > 0:
			workers = s.workersToRenew(now, st, planned)
		}
		if len(workers) == 0 && rank < maxStepsAskingAgain && now.Sub(st.advice.askedAt) >= askAgainDelay {
			workers = s.workersToAsk(now, st)
		}
		if len(workers) > 0 {
			s.sendAdviceRequest(now, st, workers)
		}
	}
}

// workersToRenew returns the workers whose tickets must be requested now to arrive
// by the planned start: the planned workers, and those that become available within
// renewalWindow after it, as estimates of run times are inexact. It returns nil if
// it is too early or all planned workers have valid tickets.
func (s *Shard) workersToRenew(now time.Time, st *step, planned plan) []*worker {
	if now.Add(adviceTime(st, len(planned.workers)) + adviceTransitTime).Before(planned.at) {
		return nil
	}
	allValid := true
	for _, w := range planned.workers {
		_, valid := st.advice.allowed(w, maxTime(now, planned.at))
		allValid = allValid && valid
	}
	if allValid {
		return nil
	}
	demand := st.spec.Reserved()
	latest := planned.at.Add(renewalWindow)
	var workers []*worker
	for _, w := range s.sortedWorkers {
		if isAllowed, _ := st.advice.allowed(w, now); !isAllowed || !w.usable() || st.saturates(w) {
			continue
		}
		if slices.Contains(planned.workers, w) || !w.availableAt(now, demand).After(latest) {
			workers = append(workers, w)
		}
	}
	return workers
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// workersToAsk returns workers that could run a task of the step and that the
// adviser was not asked about yet: as many with free capacity as the step is likely
// to need. If there are too few, the workers that become available earliest follow.
func (s *Shard) workersToAsk(now time.Time, st *step) []*worker {
	demand := st.spec.Reserved()
	terms := &st.occurrence.job.accepted.Terms
	waiting := st.startableCount(now)
	minSlots := float64(waiting) * askedCapacityFactor / s.allowedShare(terms.Queue)
	minWorkers := int(fixedTimeShare * float64(terms.AdviceTime) / float64(max(1, terms.AdviceTimePerWorker)))
	slots := 0
	var workers, full []*worker
	for i := range s.sortedWorkers {
		// Jobs start at different places of the list, so that all workers are asked about.
		w := s.sortedWorkers[(i+st.listOffset())%len(s.sortedWorkers)]
		incarnation, asked := st.advice.askedWorkers[w.ID]
		if asked && incarnation == w.observedIncarnation || !s.worthAsking(w) || !w.matches(st) || w.health.excluded(now) {
			continue
		}
		workerSlots := taskCapacity(demand, w.free())
		if st.spec.MaxPerWorker > 0 {
			workerSlots = min(workerSlots, st.spec.MaxPerWorker)
		}
		if workerSlots <= 0 {
			full = append(full, w)
			continue
		}
		workers = append(workers, w)
		slots += min(workerSlots, waiting)
		if float64(slots) >= minSlots && len(workers) >= minWorkers || len(workers) == maxWorkersPerCall {
			return workers
		}
	}
	return append(workers, earliestFree(now, demand, full, maxWorkersPerCall-len(workers))...)
}

// earliestFree returns the workers that become available for the demand earliest,
// at most limit of them.
func earliestFree(now time.Time, demand job.Demand, workers []*worker, limit int) []*worker {
	if len(workers) <= limit {
		return workers
	}
	at := make(map[*worker]time.Time, len(workers))
	for _, w := range workers {
		at[w] = w.availableAt(now, demand)
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return at[a].Compare(at[b]) })
	return workers[:limit]
}

// worthAsking reports whether a step can use the worker soon. A new leader asks
// about workers before it has read their lists of runs.
func (s *Shard) worthAsking(w *worker) bool {
	return w.usable() || !s.recovered && w.placeable() && !w.listsRead
}

// startableCount returns the number of tasks of the step that can start now.
func (st *step) startableCount(now time.Time) int {
	count := 0
	for _, t := range st.tasks {
		if t.startable(now) {
			count++
		}
	}
	return count
}

// allowedShare is the share of workers on which the adviser lets a queue's steps
// run, estimated from its answers.
func (s *Shard) allowedShare(queue string) float64 {
	if share, known := s.allowedShares[queue]; known {
		return max(share, minAllowedShare)
	}
	return initialAllowedShare
}

// updateAllowedShare updates the estimate of a queue's allowed share from the answer to
// one call: the number of workers that it allows, and the number that the call named.
func (s *Shard) updateAllowedShare(queue string, allowed, asked int) {
	if asked < minShareSample {
		return
	}
	share := float64(allowed) / float64(asked)
	if former, known := s.allowedShares[queue]; known {
		share = former + (share-former)*allowedShareWeight
	}
	s.allowedShares[queue] = share
}

// listOffset returns the offset, modulo the length of the list of workers, at which the
// step starts to ask about workers. It is a hash of the job ID, which spreads the jobs
// over the list.
func (st *step) listOffset() int {
	sum := 0
	for _, c := range []byte(st.occurrence.job.id) {
		sum = sum*31 + int(c)
	}
	return sum & 0xffff
}

// adviceTime returns the expected time of an advice call for the step that names this
// many workers.
func adviceTime(st *step, workers int) time.Duration {
	return adviceTimeFor(&st.occurrence.job.accepted.Terms, workers)
}

// adviceTimeFor returns the expected time of an advice call for a step of a queue.
func adviceTimeFor(terms *job.Terms, workers int) time.Duration {
	return terms.AdviceTime + time.Duration(workers)*terms.AdviceTimePerWorker
}

func (s *Shard) sendAdviceRequest(now time.Time, st *step, workers []*worker) {
	expected := adviceTime(st, len(workers))
	calls, limit := s.adviceCalls(expected)
	if *calls >= limit {
		return
	}
	*calls++
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	st.advice.inFlight, st.advice.awaited, st.advice.askedAt = true, ids, now
	s.commands.AdviceRequests = append(s.commands.AdviceRequests, AdviceRequest{Step: st.name(), Workers: ids, ExpectedTime: expected})
}

// adviceCalls returns the counter of the calls in flight, and its limit, for short
// or long calls, depending on the expected time of a call.
func (s *Shard) adviceCalls(expected time.Duration) (calls *int, limit int) {
	if expected <= MaxShortAdvice {
		return &s.shortAdviceCalls, s.shortAdviceLimit
	}
	return &s.longAdviceCalls, s.longAdviceLimit
}

// AllowedWorker is a worker that may run a step, with the ticket for its starts.
type AllowedWorker struct {
	ID     string
	Ticket string
}

// AdviceAnswered handles the adviser's answer to a request. If the call failed,
// cause says why and allowed is empty.
func (s *Shard) AdviceAnswered(now time.Time, request AdviceRequest, allowed []AllowedWorker, cause string) {
	stepName, asked := request.Step, request.Workers
	calls, _ := s.adviceCalls(request.ExpectedTime)
	*calls--
	s.placementChanged = true
	key, err := parseTask(stepName + ".0")
	if err != nil {
		return
	}
	t := s.findTask(key)
	if t == nil {
		return
	}
	st := t.step
	st.advice.inFlight = false
	if cause != "" {
		s.options.Log("advice-failed", "step", stepName, "workers", len(asked), "cause", cause)
		st.advice.retryAt = now.Add(adviceRetryDelay)
		return
	}
	s.waitingAdvice.recordCall(&st.occurrence.job.accepted.Terms, request.ExpectedTime, now.Sub(st.advice.askedAt))
	if st.advice.askedWorkers == nil {
		st.advice.askedWorkers, st.advice.tickets = map[string]int64{}, map[string]ticket{}
	}
	for _, id := range asked {
		if w := s.workers[id]; w != nil {
			st.advice.askedWorkers[id] = w.observedIncarnation
			delete(st.advice.tickets, id)
		}
	}
	validUntil := now.Add(st.occurrence.job.accepted.Terms.TicketLifetime - ticketMargin)
	for _, worker := range allowed {
		if w := s.workers[worker.ID]; w != nil {
			st.advice.tickets[worker.ID] = ticket{worker.Ticket, w.observedIncarnation, validUntil}
			st.advice.ticketsEnd = maxTime(st.advice.ticketsEnd, validUntil)
		}
	}
	// Answers to later calls of a step don't count: these calls also name workers that
	// are already known to be allowed, which would bias the estimated share.
	if len(st.advice.askedWorkers) == len(asked) {
		s.updateAllowedShare(st.occurrence.job.accepted.Terms.Queue, len(allowed), len(asked))
	}
	s.options.Log("advised", "step", stepName, "queue", st.occurrence.job.accepted.Terms.Queue, "asked", len(asked), "good", len(allowed), "takes", adviceTime(st, len(asked)), "waited", now.Sub(st.advice.askedAt), "ready-for", now.Sub(st.readyAt))
}
