package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Outcome is what Accept or Cancel decided.
type Outcome int

// Outcomes.
const (
	// Stored: already stored, answer at once.
	Stored Outcome = iota
	// Pending: answer when the job is settled.
	Pending
	// Refused: the job was not taken and never runs.
	Refused
	// Unknown: there is no such job.
	Unknown
)

// AcceptResult is the answer of Accept.
type AcceptResult struct {
	Outcome Outcome
	Reason  string
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Knows reports whether the job was taken in, be it stored or not.
func (s *Shard) Knows(id string) bool { return s.jobs[id] != nil }

// Accept takes a job in. The same identity again finds the first job.
func (s *Shard) Accept(now time.Time, id string, terms job.Terms, spec job.Spec) AcceptResult {
	if j := s.jobs[id]; j != nil {
		if j.durable {
			return AcceptResult{Outcome: Stored}
		}
		return AcceptResult{Outcome: Pending}
	}
	if !s.authority {
		return AcceptResult{Outcome: Refused, Reason: "the holder of the service has lost touch with the store", RetryAfter: time.Second}
	}
	if reason, after := s.admit(&terms, &spec); reason != "" {
		s.options.Log("refused", "job", id, "queue", terms.Queue, "reason", reason, "retry-after", after)
		return AcceptResult{Outcome: Refused, Reason: reason, RetryAfter: after}
	}
	j := &jobState{
		id: id, record: job.Accepted{Terms: terms, Spec: spec, At: now.Round(0)}, arrived: now,
		state: job.Queued, visible: job.Queued, completed: map[int]bool{}, writeSpec: true,
	}
	s.jobs[id] = j
	s.active = append(s.active, j)
	s.waiting[terms.Queue]++
	s.markJob(j)
	s.materialise(now, j)
	s.noteAccepted(&j.record.Terms, &j.record.Spec)
	return AcceptResult{Outcome: Pending}
}

// Cancel ends a job at its caller's wish.
func (s *Shard) Cancel(now time.Time, id string) Outcome {
	j := s.jobs[id]
	if j == nil {
		return Unknown
	}
	if j.state.Ended() {
		if j.visible == j.state {
			return Stored
		}
		return Pending
	}
	s.options.Log("cancelled", "job", id, "queue", j.record.Terms.Queue, "age", now.Sub(j.arrived), "runs", j.runs)
	s.endJob(now, j, job.Cancelled)
	return Pending
}

// endJob gives a job its final state and stops what still runs of it.
func (s *Shard) endJob(now time.Time, j *jobState, state job.State) {
	if !j.began {
		s.waiting[j.record.Terms.Queue]--
		j.began = true
	}
	j.state = state
	j.endedAt = now
	s.markJob(j)
	s.options.Log("job-ended", "job", j.id, "queue", j.record.Terms.Queue, "state", state, "after", now.Sub(j.arrived), "objective", j.objective())
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			delete(s.ready, st)
			s.stopStep(now, st)
		}
	}
	s.changed = true
}

// materialise creates the occurrences that are due.
func (s *Shard) materialise(now time.Time, j *jobState) {
	for j.next < j.record.Spec.Occurrences() {
		if j.record.Spec.Repeat > 0 && wallSince(now, j.record.Spec.Due(j.next)) < 0 {
			return
		}
		if !j.completed[j.next] {
			s.create(now, j, j.next)
		}
		j.next++
	}
}

// admit returns why a job is refused, empty if it isn't.
func (s *Shard) admit(terms *job.Terms, spec *job.Spec) (reason string, retryAfter time.Duration) {
	for i := range spec.Steps {
		if len(s.shapes) > 0 && !s.fitsSomewhere(&spec.Steps[i]) {
			return "no worker of the service holds a task of this size", time.Minute
		}
	}
	return s.overload(terms, spec)
}

// fitsSomewhere reports whether a worker that was ever listed could hold a
// task of the step: a list that has just shrunk says little about the fleet.
func (s *Shard) fitsSomewhere(st *job.Step) bool {
	for _, capacity := range s.shapes {
		if st.Reserved().Fits(capacity) {
			return true
		}
	}
	return false
}

// Withdraw takes a job back of which no record was given out yet, so that its
// caller can be told that it never runs. It reports whether that is so.
func (s *Shard) Withdraw(now time.Time, id, reason string) bool {
	j := s.jobs[id]
	if j == nil || j.durable || !j.writeSpec || j.state.Ended() {
		return false
	}
	s.options.Log("refused", "job", id, "queue", j.record.Terms.Queue, "reason", reason, "after", now.Sub(j.arrived))
	s.dropReady(j)
	delete(s.jobs, id)
	s.active = slices.DeleteFunc(s.active, func(o *jobState) bool { return o == j })
	s.dirtyJobs = slices.DeleteFunc(s.dirtyJobs, func(o *jobState) bool { return o == j })
	s.waiting[j.record.Terms.Queue]--
	return true
}
