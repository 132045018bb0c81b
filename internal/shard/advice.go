package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// ticketMargin is kept between a start and the end of its ticket, for
	// the way of the answer here and of the order to the worker.
	ticketMargin = 300 * time.Millisecond
	// maxWorkersPerCall is how many workers one call names at the most (platform
	// contract).
	maxWorkersPerCall = 100
	// fixedTimeShare is the share of its fixed time by which a call may always
	// be longer: naming fewer workers saves little, and a second call costs the
	// fixed time again.
	fixedTimeShare = 0.4
	// minShareSample is from how many workers on an answer shows a queue's share.
	minShareSample = 8
	// adviceOversupply is how much more room than it needs a step asks for: other
	// steps take some of it before the answer is there.
	adviceOversupply = 3.0
	// initialAllowedShare is taken for the share of good workers of a queue until an
	// answer shows more: that of the strictest queue. leastShare bounds what
	// is learned, and shareWeight is the weight of the newest answer.
	initialAllowedShare = 0.3
	minAllowedShare     = 0.1
	allowedShareWeight  = 0.1
	// renewalWindow is how long after the planned start a worker's room still
	// helps: run times of some seconds are told wrong by up to half.
	renewalWindow = time.Second
	// adviceTransitTime is added to the adviser's time, for the way to it and back.
	adviceTransitTime = 100 * time.Millisecond
	// maxStepsAskingAgain is how many of the most urgent steps ask about workers that
	// joined after their first call.
	maxStepsAskingAgain = 24
	// askAgainDelay is the pause before they do: room comes free meanwhile.
	askAgainDelay = 500 * time.Millisecond
	// MaxShortAdvice is the longest call that goes to the nodes which take no
	// long ones, so that urgent work isn't queued behind them.
	MaxShortAdvice = 100 * time.Millisecond
	// adviceRetryDelay is the pause after a call for advice that failed.
	adviceRetryDelay = 150 * time.Millisecond
)

// advice is what the placement adviser said of a step.
type advice struct {
	askedWorkers map[string]int64 // worker to the life that was asked about
	tickets      map[string]ticket
	inFlight     bool
	askedAt      time.Time
	retryAt      time.Time
}

type ticket struct {
	text        string
	incarnation int64
	validUntil  time.Time
}

// allowed reports whether the worker may run the step, and whether its ticket
// is valid now.
func (a *advice) allowed(w *worker, now time.Time) (good, valid bool) {
	t, found := a.tickets[w.ID]
	if !found || t.incarnation != w.observedIncarnation {
		return false, false
	}
	return true, now.Before(t.validUntil)
}

func (a *advice) invalidate(w *worker) {
	if t, found := a.tickets[w.ID]; found {
		t.validUntil = time.Time{}
		a.tickets[w.ID] = t
	}
}

// plan is when and where a step that found no room can start soonest.
type plan struct {
	workers []*worker
	at      time.Time
}

// requestAdvice sends the calls for advice that the waiting steps need, most urgent
// first. A step's first call comes at once and shows where it may run. Later
// calls renew tickets only in time for the room that becomes free: the adviser
// takes one call at a time from each node.
func (s *Shard) requestAdvice(now time.Time, order []*step, wanted map[*step][]*worker, plans map[*step]plan) {
	for rank, st := range order {
		if s.shortCalls >= s.shortCallLimit && s.longCalls >= s.longCallLimit {
			return
		}
		if !st.hasStartable(now) {
			continue // this pass has just started it
		}
		terms := &st.occurrence.job.accepted.Terms
		out, limit := s.adviceCalls(adviceTime(st, 1))
		if !terms.RequiresTicket || st.advice.inFlight || now.Before(st.advice.retryAt) || *out >= limit {
			continue
		}
		var workers []*worker
		planned, blocked := plans[st]
		switch {
		case len(st.advice.askedWorkers) == 0:
			workers = s.workersToAsk(now, st)
		case len(wanted[st]) > 0:
			workers = wanted[st]
		case blocked && len(planned.workers) > 0:
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

// workersToRenew returns the workers whose tickets have to be asked for now to be
// there when the step finds room: those that it is planned on, and those with
// room soon after, as run times are told wrong.
func (s *Shard) workersToRenew(now time.Time, st *step, planned plan) []*worker {
	if now.Add(adviceTime(st, len(planned.workers)) + adviceTransitTime).Before(planned.at) {
		return nil
	}
	valid := true
	for _, w := range planned.workers {
		_, has := st.advice.allowed(w, maxTime(now, planned.at))
		valid = valid && has
	}
	if valid {
		return nil
	}
	demand := st.spec.Reserved()
	soon := planned.at.Add(renewalWindow)
	var workers []*worker
	for _, w := range s.sortedWorkers {
		if allowed, _ := st.advice.allowed(w, now); !allowed || !w.usable() || st.saturates(w) {
			continue
		}
		if slices.Contains(planned.workers, w) || !w.roomAt(now, demand).After(soon) {
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

// workersToAsk returns workers that could run a task of the step and about which
// the adviser was not asked yet: as many with room now as the step is likely
// to need, or else all, those that have room soonest first.
func (s *Shard) workersToAsk(now time.Time, st *step) []*worker {
	demand := st.spec.Reserved()
	terms := &st.occurrence.job.accepted.Terms
	waiting := st.startableCount(now)
	need := float64(waiting) * adviceOversupply / s.allowedShare(terms.Queue)
	least := int(fixedTimeShare * float64(terms.AdviceTime) / float64(max(1, terms.AdviceTimePerWorker)))
	found := 0
	var workers, full []*worker
	for i := range s.sortedWorkers {
		// Each step begins elsewhere in the list, so that all workers are asked about.
		w := s.sortedWorkers[(i+st.listOffset())%len(s.sortedWorkers)]
		life, asked := st.advice.askedWorkers[w.ID]
		if asked && life == w.observedIncarnation || !s.worthAsking(w) || !w.matches(st) || w.health.excluded(now) {
			continue
		}
		room := taskCapacity(demand, w.free())
		if st.spec.MaxPerWorker > 0 {
			room = min(room, st.spec.MaxPerWorker)
		}
		if room <= 0 {
			full = append(full, w)
			continue
		}
		workers = append(workers, w)
		found += min(room, waiting)
		if float64(found) >= need && len(workers) >= least || len(workers) == maxWorkersPerCall {
			return workers
		}
	}
	return append(workers, earliestFree(now, demand, full, maxWorkersPerCall-len(workers))...)
}

// earliestFree returns those of some workers that have room for the demand
// first, at most so many.
func earliestFree(now time.Time, demand job.Demand, workers []*worker, most int) []*worker {
	if len(workers) <= most {
		return workers
	}
	at := make(map[*worker]time.Time, len(workers))
	for _, w := range workers {
		at[w] = w.roomAt(now, demand)
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return at[a].Compare(at[b]) })
	return workers[:most]
}

// worthAsking reports whether a worker is of use to a step that asks now. A
// new holder asks before it has read the workers' lists.
func (s *Shard) worthAsking(w *worker) bool {
	return w.usable() || !s.recovered && w.placeable() && !w.listsRead
}

// startableCount is how many of the step's tasks wait to be started.
func (st *step) startableCount(now time.Time) int {
	count := 0
	for _, t := range st.tasks {
		if t.startable(now) {
			count++
		}
	}
	return count
}

// allowedShare is the share of workers that the adviser lets run a queue's steps,
// as its last answers showed.
func (s *Shard) allowedShare(queue string) float64 {
	if share, known := s.allowedShares[queue]; known {
		return max(share, minAllowedShare)
	}
	return initialAllowedShare
}

// updateAllowedShare takes the share of good workers in an answer.
func (s *Shard) updateAllowedShare(queue string, good, asked int) {
	if asked < minShareSample {
		return
	}
	share := float64(good) / float64(asked)
	if before, known := s.allowedShares[queue]; known {
		share = before + (share-before)*allowedShareWeight
	}
	s.allowedShares[queue] = share
}

// listOffset spreads steps over a list.
func (st *step) listOffset() int {
	sum := 0
	for _, c := range []byte(st.occurrence.job.id) {
		sum = sum*31 + int(c)
	}
	return sum & 0xffff
}

func adviceTime(st *step, workers int) time.Duration {
	terms := &st.occurrence.job.accepted.Terms
	return terms.AdviceTime + time.Duration(workers)*terms.AdviceTimePerWorker
}

func (s *Shard) sendAdviceRequest(now time.Time, st *step, workers []*worker) {
	takes := adviceTime(st, len(workers))
	out, limit := s.adviceCalls(takes)
	if *out >= limit {
		return
	}
	*out++
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	st.advice.inFlight, st.advice.askedAt = true, now
	s.commands.AdviceRequests = append(s.commands.AdviceRequests, AdviceRequest{Step: st.name(), Workers: ids, ExpectedTime: takes})
}

// adviceCalls returns the calls of this length that are on their way, and how many
// there may be.
func (s *Shard) adviceCalls(takes time.Duration) (out *int, limit int) {
	if takes <= MaxShortAdvice {
		return &s.shortCalls, s.shortCallLimit
	}
	return &s.longCalls, s.longCallLimit
}

// AllowedWorker is a worker that may run a step, and its ticket.
type AllowedWorker struct {
	ID     string
	Ticket string
}

// AdviceAnswered takes the adviser's answer to a request. A call that
// failed has no good workers and a cause.
func (s *Shard) AdviceAnswered(now time.Time, request AdviceRequest, good []AllowedWorker, cause string) {
	stepName, asked := request.Step, request.Workers
	out, _ := s.adviceCalls(request.ExpectedTime)
	*out--
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
	if st.advice.askedWorkers == nil {
		st.advice.askedWorkers, st.advice.tickets = map[string]int64{}, map[string]ticket{}
	}
	for _, id := range asked {
		if w := s.workers[id]; w != nil {
			st.advice.askedWorkers[id] = w.observedIncarnation
			delete(st.advice.tickets, id)
		}
	}
	until := now.Add(st.occurrence.job.accepted.Terms.TicketLifetime - ticketMargin)
	for _, worker := range good {
		if w := s.workers[worker.ID]; w != nil {
			st.advice.tickets[worker.ID] = ticket{worker.Ticket, w.observedIncarnation, until}
		}
	}
	if len(st.advice.askedWorkers) == len(asked) { // later calls name workers that are known to be good
		s.updateAllowedShare(st.occurrence.job.accepted.Terms.Queue, len(good), len(asked))
	}
	s.options.Log("advised", "step", stepName, "queue", st.occurrence.job.accepted.Terms.Queue, "asked", len(asked), "good", len(good), "takes", adviceTime(st, len(asked)), "waited", now.Sub(st.advice.askedAt), "ready-for", now.Sub(st.readyAt))
}
