package shard

import (
	"time"
)

const (
	// explainInterval is how long a step waits before a line says why, and the
	// pause between two such lines.
	explainInterval = 2 * time.Second
	// maxExplained bounds the waiting steps that a pass explains: the most
	// urgent ones hold up those behind them.
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

// waitFields counts the workers by what keeps the step from them.
func (p *pass) waitFields(st *step) []any {
	var usable, allowed, taken, ticket, room, shunned int
	demand := st.spec.Reserved()
	for _, w := range p.shard.sortedWorkers {
		if !w.usable() || !w.matches(st) {
			continue
		}
		usable++
		if w.health.excluded(p.now) {
			shunned++
		}
		good, valid := true, true
		if st.occurrence.job.accepted.Terms.RequiresTicket {
			good, valid = st.advice.allowed(w, p.now)
		}
		saturated := st.saturates(w)
		if good {
			allowed++
		}
		if good && saturated {
			taken++
		}
		if valid {
			ticket++
		}
		if good && demand.Fits(w.free()) && !saturated {
			room++
		}
	}
	cause := "no-room"
	switch {
	case !st.occurrence.job.durable:
		cause = "not-stored"
	case st.occurrence.job.loaded && !p.shard.recovered:
		cause = "former-holder-unsettled"
	case usable == 0:
		cause = "no-usable-worker"
	case len(st.advice.askedWorkers) == 0 && st.occurrence.job.accepted.Terms.RequiresTicket:
		cause = "advice-not-asked"
	case st.advice.inFlight:
		cause = "advice-on-its-way"
	case room > 0:
		cause = "room-kept-or-ticket-over"
	case allowed > 0 && taken == allowed:
		cause = "all-allowed-taken" // each has as many of the step's tasks as it may
	}
	out, slots := p.shard.adviceCalls(adviceTime(st, 1))
	return []any{"cause", cause, "advice-out", *out, "advice-slots", slots, "usable", usable, "allowed", allowed, "taken", taken, "with-ticket", ticket, "with-room", room, "shunned", shunned}
}
