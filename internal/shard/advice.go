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
	// maxAdvised is how many workers one call names at the most (platform
	// contract).
	maxAdvised = 100
	// leastTimeShare is the share of its fixed time by which a call may always
	// be longer: naming fewer workers saves little, and a second call costs the
	// fixed time again.
	leastTimeShare = 0.4
	// shareAdvised is from how many workers on an answer shows a queue's share.
	shareAdvised = 8
	// adviceSpare is how much more room than it needs a step asks for: other
	// steps take some of it before the answer is there.
	adviceSpare = 3.0
	// firstShare is taken for the share of good workers of a queue until an
	// answer shows more: that of the strictest queue. leastShare bounds what
	// is learned, and shareWeight is the weight of the newest answer.
	firstShare  = 0.3
	leastShare  = 0.1
	shareWeight = 0.1
	// renewalSpread is how long after the planned start a worker's room still
	// helps: run times of some seconds are told wrong by up to half.
	renewalSpread = time.Second
	// adviceLead is added to the adviser's time, for the way to it and back.
	adviceLead = 100 * time.Millisecond
	// lateAsked is how many of the most urgent steps ask about workers that
	// joined after their first call.
	lateAsked = 24
	// lateAskedAfter is the pause before they do: room comes free meanwhile.
	lateAskedAfter = 500 * time.Millisecond
	// MaxShortAdvice is the longest call that goes to the nodes which take no
	// long ones, so that urgent work isn't queued behind them.
	MaxShortAdvice = 100 * time.Millisecond
	// adviceRetry is the pause after a call for advice that failed.
	adviceRetry = 150 * time.Millisecond
)

// advice is what the placement adviser said of a step.
type advice struct {
	asked    map[string]int64 // worker to the life that was asked about
	good     map[string]ticket
	inFlight bool
	askedAt  time.Time
	again    time.Time
}

type ticket struct {
	text  string
	life  int64
	until time.Time
}

// allowed reports whether the worker may run the step, and whether its ticket
// is valid now.
func (a *advice) allowed(w *worker, now time.Time) (good, valid bool) {
	t, found := a.good[w.ID]
	if !found || t.life != w.life {
		return false, false
	}
	return true, now.Before(t.until)
}

func (a *advice) drop(w *worker) {
	if t, found := a.good[w.ID]; found {
		t.until = time.Time{}
		a.good[w.ID] = t
	}
}

// plan is when and where a step that found no room can start soonest.
type plan struct {
	workers []*worker
	at      time.Time
}

// ask sends the calls for advice that the waiting steps need, most urgent
// first. A step's first call comes at once and shows where it may run. Later
// calls renew tickets only in time for the room that becomes free: the adviser
// takes one call at a time from each node.
func (s *Shard) ask(now time.Time, order []*step, wanted map[*step][]*worker, plans map[*step]plan) {
	for rank, st := range order {
		if s.quickOut >= s.quickSlots && s.slowOut >= s.slowSlots {
			return
		}
		if !st.wants(now) {
			continue // this pass has just started it
		}
		terms := &st.occurrence.job.record.Terms
		out, limit := s.slots(adviceTime(st, 1))
		if !terms.RequiresTicket || st.advice.inFlight || now.Before(st.advice.again) || *out >= limit {
			continue
		}
		var workers []*worker
		planned, blocked := plans[st]
		switch {
		case len(st.advice.asked) == 0:
			workers = s.unasked(now, st)
		case len(wanted[st]) > 0:
			workers = wanted[st]
		case blocked && len(planned.workers) > 0:
			workers = s.renewals(now, st, planned)
		}
		if len(workers) == 0 && rank < lateAsked && now.Sub(st.advice.askedAt) >= lateAskedAfter {
			workers = s.unasked(now, st)
		}
		if len(workers) > 0 {
			s.advise(now, st, workers)
		}
	}
}

// renewals returns the workers whose tickets have to be asked for now to be
// there when the step finds room: those that it is planned on, and those with
// room soon after, as run times are told wrong.
func (s *Shard) renewals(now time.Time, st *step, planned plan) []*worker {
	if now.Add(adviceTime(st, len(planned.workers)) + adviceLead).Before(planned.at) {
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
	soon := planned.at.Add(renewalSpread)
	var workers []*worker
	for _, w := range s.ordered {
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

// unasked returns workers that could run a task of the step and about which
// the adviser was not asked yet: as many with room now as the step is likely
// to need, or else all, those that have room soonest first.
func (s *Shard) unasked(now time.Time, st *step) []*worker {
	demand := st.spec.Reserved()
	terms := &st.occurrence.job.record.Terms
	waiting := st.waiting(now)
	need := float64(waiting) * adviceSpare / s.goodShare(terms.Queue)
	least := int(leastTimeShare * float64(terms.AdviceTime) / float64(max(1, terms.AdviceTimePerWorker)))
	found := 0
	var workers, full []*worker
	for i := range s.ordered {
		// Each step begins elsewhere in the list, so that all workers are asked about.
		w := s.ordered[(i+st.index())%len(s.ordered)]
		life, asked := st.advice.asked[w.ID]
		if asked && life == w.life || !s.mayAskAbout(w) || !w.matches(st) || w.health.shunned(now) {
			continue
		}
		room := roomFor(demand, w.free())
		if st.spec.MaxPerWorker > 0 {
			room = min(room, st.spec.MaxPerWorker)
		}
		if room <= 0 {
			full = append(full, w)
			continue
		}
		workers = append(workers, w)
		found += min(room, waiting)
		if float64(found) >= need && len(workers) >= least || len(workers) == maxAdvised {
			return workers
		}
	}
	return append(workers, soonestFree(now, demand, full, maxAdvised-len(workers))...)
}

// soonestFree returns those of some workers that have room for the demand
// first, at most so many.
func soonestFree(now time.Time, demand job.Demand, workers []*worker, most int) []*worker {
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

// mayAskAbout reports whether a worker is of use to a step that asks now. A
// new holder asks before it has read the workers' lists.
func (s *Shard) mayAskAbout(w *worker) bool {
	return w.usable() || !s.settled && w.placeable() && !w.reached
}

// waiting is how many of the step's tasks wait to be started.
func (st *step) waiting(now time.Time) int {
	count := 0
	for _, t := range st.tasks {
		if t.waits(now) {
			count++
		}
	}
	return count
}

// goodShare is the share of workers that the adviser lets run a queue's steps,
// as its last answers showed.
func (s *Shard) goodShare(queue string) float64 {
	if share, known := s.goodShares[queue]; known {
		return max(share, leastShare)
	}
	return firstShare
}

// learnShare takes the share of good workers in an answer.
func (s *Shard) learnShare(queue string, good, asked int) {
	if asked < shareAdvised {
		return
	}
	share := float64(good) / float64(asked)
	if before, known := s.goodShares[queue]; known {
		share = before + (share-before)*shareWeight
	}
	s.goodShares[queue] = share
}

// index spreads steps over a list.
func (st *step) index() int {
	sum := 0
	for _, c := range []byte(st.occurrence.job.id) {
		sum = sum*31 + int(c)
	}
	return sum & 0xffff
}

func adviceTime(st *step, workers int) time.Duration {
	terms := &st.occurrence.job.record.Terms
	return terms.AdviceTime + time.Duration(workers)*terms.AdviceTimePerWorker
}

func (s *Shard) advise(now time.Time, st *step, workers []*worker) {
	takes := adviceTime(st, len(workers))
	out, limit := s.slots(takes)
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

// slots returns the calls of this length that are on their way, and how many
// there may be.
func (s *Shard) slots(takes time.Duration) (out *int, limit int) {
	if takes <= MaxShortAdvice {
		return &s.quickOut, s.quickSlots
	}
	return &s.slowOut, s.slowSlots
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
	out, _ := s.slots(request.ExpectedTime)
	*out--
	s.changed = true
	key, err := parseTask(stepName + ".0")
	if err != nil {
		return
	}
	t := s.find(key)
	if t == nil {
		return
	}
	st := t.step
	st.advice.inFlight = false
	if cause != "" {
		s.options.Log("advice-failed", "step", stepName, "workers", len(asked), "cause", cause)
		st.advice.again = now.Add(adviceRetry)
		return
	}
	if st.advice.asked == nil {
		st.advice.asked, st.advice.good = map[string]int64{}, map[string]ticket{}
	}
	for _, id := range asked {
		if w := s.workers[id]; w != nil {
			st.advice.asked[id] = w.life
			delete(st.advice.good, id)
		}
	}
	until := now.Add(st.occurrence.job.record.Terms.TicketLifetime - ticketMargin)
	for _, worker := range good {
		if w := s.workers[worker.ID]; w != nil {
			st.advice.good[worker.ID] = ticket{worker.Ticket, w.life, until}
		}
	}
	if len(st.advice.asked) == len(asked) { // later calls name workers that are known to be good
		s.learnShare(st.occurrence.job.record.Terms.Queue, len(good), len(asked))
	}
	s.options.Log("advised", "step", stepName, "queue", st.occurrence.job.record.Terms.Queue, "asked", len(asked), "good", len(good), "takes", adviceTime(st, len(asked)), "waited", now.Sub(st.advice.askedAt), "ready-for", now.Sub(st.readyAt))
}
