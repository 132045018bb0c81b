package shard

import (
	"time"
)

const (
	// explainInterval is how long a step waits before the reason is logged, and
	// the pause before it is logged again.
	explainInterval = 2 * time.Second
	// maxExplained bounds the number of steps that a pass explains: the most urgent
	// steps delay the others.
	maxExplained = 16
)

// explain logs why the most urgent steps still wait.
func (p *pass) explain(order []*step) {
	for rank, st := range order[:min(len(order), maxExplained)] {
		since := p.now.Sub(maxTime(st.readyAt, st.lastExplained))
		if since < explainInterval || !st.hasStartable(p.now) {
			continue
		}
		st.lastExplained = p.now
		p.shard.options.Log("step-waiting", append([]any{
			"step", st.name(), "queue", st.occurrence.job.accepted.Terms.Queue, "ready-for", p.now.Sub(st.readyAt), "rank", rank,
			"of", len(order), "late", st.tooLate(p.now),
		}, p.waitFields(st)...)...)
	}
}

// waitFields returns log fields that explain why the step waits: the cause, and how
// many workers meet each condition.
func (p *pass) waitFields(st *step) []any {
	var usable, allowed, saturatedWorkers, withTicket, fitting, excludedWorkers int
	demand := st.spec.Reserved()
	for _, w := range p.shard.sortedWorkers {
		if !w.usable() || !w.matches(st) {
			continue
		}
		usable++
		if w.health.excluded(p.now) {
			excludedWorkers++
		}
		isAllowed, ticketValid := true, true
		if st.occurrence.job.accepted.Terms.RequiresTicket {
			isAllowed, ticketValid = st.advice.allowed(w, p.now)
		}
		saturated := st.saturates(w)
		if isAllowed {
			allowed++
		}
		if isAllowed && saturated {
			saturatedWorkers++
		}
		if ticketValid {
			withTicket++
		}
		if isAllowed && demand.Fits(w.free()) && !saturated {
			fitting++
		}
	}
	cause := "no-room"
	switch {
	case !st.occurrence.job.durable:
		cause = "not-stored"
	case !p.shard.recovered && st.mayRunElsewhere():
		cause = "former-holder-unsettled"
	case usable == 0:
		cause = "no-usable-worker"
	case len(st.advice.askedWorkers) == 0 && st.occurrence.job.accepted.Terms.RequiresTicket:
		cause = "advice-not-asked"
	case st.advice.inFlight:
		cause = "advice-on-its-way"
	case fitting > 0:
		cause = "room-kept-or-ticket-over"
	case allowed > 0 && saturatedWorkers == allowed:
		cause = "all-allowed-taken" // each runs MaxPerWorker tasks of the step
	}
	calls, limit := p.shard.adviceCalls(adviceTime(st, 1))
	return []any{"cause", cause, "advice-out", *calls, "advice-slots", limit, "usable", usable, "allowed", allowed, "taken", saturatedWorkers, "with-ticket", withTicket, "with-room", fitting, "shunned", excludedWorkers}
}
