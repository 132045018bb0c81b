package shard

import (
	"time"
)

const (
	// ticketMargin is kept between a start and the end of its ticket, for
	// the way of the answer here and of the order to the worker.
	ticketMargin = 300 * time.Millisecond
	// maxAdvised is how many workers one call may name (platform contract).
	maxAdvised = 100
	// warmSteps is how many waiting steps keep their tickets valid, so that
	// room that becomes free isn't kept empty for the adviser's answer.
	warmSteps = 8
	// adviceRetry is the pause after a call for advice that failed.
	adviceRetry = 150 * time.Millisecond
)

// advice is what the placement adviser said of a step.
type advice struct {
	asked    map[string]int64 // worker to the life that was asked about
	good     map[string]ticket
	inFlight bool
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

// ask sends the calls for advice that the waiting steps need, most urgent first.
func (s *Shard) ask(now time.Time, order []*step, wanted map[*step][]*worker) {
	warm := 0
	for _, st := range order {
		if s.adviceOut >= s.adviceSlots {
			return
		}
		terms := &st.occurrence.job.record.Terms
		if !terms.Advised || st.advice.inFlight || now.Before(st.advice.again) || !st.wants(now) {
			continue
		}
		if len(st.advice.asked) == 0 {
			s.advise(now, st, s.unasked(st))
			continue
		}
		if workers := wanted[st]; len(workers) > 0 {
			s.advise(now, st, workers)
			continue
		}
		warm++
		if warm > warmSteps {
			continue
		}
		if workers := s.unasked(st); len(workers) > 0 {
			s.advise(now, st, workers)
			continue
		}
		if workers := s.expiring(now, st); len(workers) > 0 {
			s.advise(now, st, workers)
		}
	}
}

// unasked returns the workers that could run a task of the step and about
// which the adviser was not asked yet.
func (s *Shard) unasked(st *step) []*worker {
	var workers []*worker
	for _, w := range s.ordered {
		life, asked := st.advice.asked[w.ID]
		if asked && life == w.life || !w.usable() || !w.matches(st) {
			continue
		}
		workers = append(workers, w)
		if len(workers) == maxAdvised {
			break
		}
	}
	return workers
}

// expiring returns the good workers of a step if their tickets run out before
// new ones could arrive.
func (s *Shard) expiring(now time.Time, st *step) []*worker {
	var workers []*worker
	soon := false
	for _, w := range s.ordered {
		t, found := st.advice.good[w.ID]
		if !found || t.life != w.life || !w.usable() {
			continue
		}
		workers = append(workers, w)
		if now.Add(adviceTime(st, len(workers)) + ticketMargin).After(t.until) {
			soon = true
		}
	}
	if !soon {
		return nil
	}
	return workers
}

func adviceTime(st *step, workers int) time.Duration {
	terms := &st.occurrence.job.record.Terms
	return terms.AdviceTime + time.Duration(workers)*terms.AdvicePerWorker
}

func (s *Shard) advise(now time.Time, st *step, workers []*worker) {
	if len(workers) == 0 {
		return
	}
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	st.advice.inFlight = true
	s.adviceOut++
	s.commands.Advices = append(s.commands.Advices, Advise{Step: st.name(), Workers: ids, Takes: adviceTime(st, len(ids))})
}

// GoodWorker is a worker that may run a step, and its ticket.
type GoodWorker struct {
	ID     string
	Ticket string
}

// Advised takes the adviser's answer about the named workers. A call that
// failed has no good workers and a cause.
func (s *Shard) Advised(now time.Time, stepName string, asked []string, good []GoodWorker, cause string) {
	s.adviceOut--
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
	until := now.Add(st.occurrence.job.record.Terms.TicketLife - ticketMargin)
	for _, worker := range good {
		if w := s.workers[worker.ID]; w != nil {
			st.advice.good[worker.ID] = ticket{worker.Ticket, w.life, until}
		}
	}
	s.options.Log("advised", "step", stepName, "asked", len(asked), "good", len(good))
}
