package shard

import (
	"fmt"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Outcome is the outcome of Accept or Cancel.
type Outcome int

// Outcomes of Accept and Cancel.
const (
	// Stored means that the effect is stored; answer at once.
	Stored Outcome = iota
	// Pending means that the answer has to wait until the job is listed in
	// Commands.StoredAcceptances, or for Cancel in Commands.StoredEnds.
	Pending
	// Refused means that the job was not accepted and never runs.
	Refused
	// Unknown means that there is no such job.
	Unknown
)

// AcceptResult is the result of Accept.
type AcceptResult struct {
	Outcome Outcome
	Reason  string // why the job was refused
	// RetryAfter is how long the caller of a refused job should wait before a retry.
	RetryAfter time.Duration
}

// Knows reports whether the job was accepted, whether or not that is stored.
func (s *Shard) Knows(id string) bool { return s.jobs[id] != nil }

// Acceptance returns whether the acceptance of a job is Stored, Pending or Unknown.
func (s *Shard) Acceptance(id string) Outcome {
	switch j := s.jobs[id]; {
	case j == nil:
		return Unknown
	case j.durable:
		return Stored
	}
	return Pending
}

// Accept decides whether to accept a job. If a job with this ID was accepted before,
// the new terms and spec are ignored.
func (s *Shard) Accept(now time.Time, id string, terms job.Terms, spec job.Spec) AcceptResult {
	if outcome := s.Acceptance(id); outcome != Unknown {
		return AcceptResult{Outcome: outcome}
	}
	if !s.authority {
		return AcceptResult{Outcome: Refused, Reason: "the holder of the service has lost touch with the store", RetryAfter: time.Second}
	}
	if reason, after := s.admit(now, &terms, &spec); reason != "" {
		s.options.Log("refused", "job", id, "queue", terms.Queue, "reason", reason, "retry-after", after)
		return AcceptResult{Outcome: Refused, Reason: reason, RetryAfter: after}
	}
	accepted := job.Accepted{Terms: terms, Spec: spec, At: now.Round(0)}
	record, err := encodeAcceptance(accepted)
	if err != nil {
		s.options.Log("record-not-encoded", "key", acceptedPrefix+id, "cause", err)
		return AcceptResult{Outcome: Refused, Reason: err.Error(), RetryAfter: neverFitsRetryAfter}
	}
	j := &jobState{
		id: id, accepted: accepted, acceptedAt: now,
		state: job.Queued, storedState: job.Queued, completedOccurrences: map[int]bool{}, unwrittenAcceptance: record,
	}
	s.jobs[id] = j
	s.activeJobs = append(s.activeJobs, j)
	s.waitingJobs[terms.Queue]++
	s.markJobDirty(j)
	s.createDueOccurrences(now, j)
	s.addToBacklog(&j.accepted.Terms, &j.accepted.Spec)
	return AcceptResult{Outcome: Pending}
}

// encodeAcceptance returns the acceptance record of a job, or an error if it can't be stored.
func encodeAcceptance(accepted job.Accepted) ([]byte, error) {
	record, err := job.Encode(accepted)
	if err != nil {
		return nil, fmt.Errorf("the job can't be stored: %w", err)
	}
	if len(record) > job.MaxRecordBytes {
		return nil, fmt.Errorf("the job can't be stored: its record has %d bytes; the limit is %d", len(record), job.MaxRecordBytes)
	}
	return record, nil
}

// Cancel ends a job at the request of its caller.
func (s *Shard) Cancel(now time.Time, id string) Outcome {
	j := s.jobs[id]
	if j == nil {
		return Unknown
	}
	if j.state.Ended() {
		if j.storedState == j.state {
			return Stored
		}
		return Pending
	}
	s.options.Log("cancelled", "job", id, "queue", j.accepted.Terms.Queue, "age", now.Sub(j.acceptedAt), "runs", j.runCount)
	s.endJob(now, j, job.Cancelled)
	return Pending
}

// endJob sets the final state of a job and stops its remaining runs.
func (s *Shard) endJob(now time.Time, j *jobState, state job.State) {
	if !j.started {
		s.waitingJobs[j.accepted.Terms.Queue]--
		j.started = true
	}
	j.state = state
	j.endedAt = now
	s.markJobDirty(j)
	s.options.Log("job-ended", "job", j.id, "queue", j.accepted.Terms.Queue, "state", state, "after", now.Sub(j.acceptedAt), "objective", j.objective())
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			delete(s.readySteps, st)
			s.stopStep(now, st)
		}
	}
	s.placementChanged = true
}

// createDueOccurrences creates the occurrences of a job that are due and not yet
// created or completed. With job.MaxTasks open tasks or more the others wait: thousands
// of occurrences may be due at once.
func (s *Shard) createDueOccurrences(now time.Time, j *jobState) {
	open := j.openTaskCount()
	for j.nextOccurrence < j.accepted.Spec.Occurrences() && open < job.MaxTasks {
		if j.accepted.Spec.Repeat > 0 && wallSince(now, j.accepted.Spec.Due(j.nextOccurrence)) < 0 {
			return
		}
		if !j.completedOccurrences[j.nextOccurrence] && j.findOccurrence(j.nextOccurrence) == nil {
			s.createOccurrence(now, j, j.nextOccurrence)
			open += j.occurrences[len(j.occurrences)-1].taskCount()
		}
		j.nextOccurrence++
	}
}

// admit returns why a job is refused and when to retry, or "" if it is accepted.
func (s *Shard) admit(now time.Time, terms *job.Terms, spec *job.Spec) (reason string, retryAfter time.Duration) {
	for i := range spec.Steps {
		if len(s.seenCapacities) > 0 && !s.fitsSomewhere(&spec.Steps[i]) {
			return "no worker of the service holds a task of this size", neverFitsRetryAfter
		}
	}
	if s.openTasks >= maxOpenTasks {
		return "the service holds too many tasks", tooManyTasksRetryAfter
	}
	return s.checkOverload(now, terms, spec)
}

const (
	// maxOpenTasks bounds the memory for tasks, about 300 bytes each, on the smallest
	// VMs.
	maxOpenTasks = 100_000
	// neverFitsRetryAfter is when the caller of a job that can't be accepted as it is is told to
	// retry.
	neverFitsRetryAfter = time.Minute
	// tooManyTasksRetryAfter is when the caller of a job beyond maxOpenTasks is told to
	// retry.
	tooManyTasksRetryAfter = 5 * time.Second
)

// fitsSomewhere reports whether a task of the step fits the capacity of any worker
// that was ever listed. Workers that are no longer listed count, as the list may be
// incomplete for a moment.
func (s *Shard) fitsSomewhere(st *job.Step) bool {
	for _, capacity := range s.seenCapacities {
		if st.Reserved().Fits(capacity) {
			return true
		}
	}
	return false
}

// addSeenCapacity adds the capacity of a listed worker. Capacities shrink and grow again,
// so only the largest are kept.
func (s *Shard) addSeenCapacity(capacity job.Demand) {
	for _, seen := range s.seenCapacities {
		if capacity.Fits(seen) {
			return
		}
	}
	s.seenCapacities = slices.DeleteFunc(s.seenCapacities, func(seen job.Demand) bool { return seen.Fits(capacity) })
	s.seenCapacities = append(s.seenCapacities, capacity)
}

// Withdraw removes an accepted job if TakeBatch has not returned any of its records,
// so that its caller can be told that it never runs. It reports whether it removed
// the job.
func (s *Shard) Withdraw(now time.Time, id, reason string) bool {
	j := s.jobs[id]
	if j == nil || j.durable || j.unwrittenAcceptance == nil || j.state.Ended() {
		return false
	}
	s.options.Log("refused", "job", id, "queue", j.accepted.Terms.Queue, "reason", reason, "after", now.Sub(j.acceptedAt))
	s.removeReadySteps(j)
	s.removeOccurrences(j, func(*occurrence) bool { return true })
	delete(s.jobs, id)
	s.activeJobs = slices.DeleteFunc(s.activeJobs, func(o *jobState) bool { return o == j })
	s.dirtyJobs = slices.DeleteFunc(s.dirtyJobs, func(o *jobState) bool { return o == j })
	s.waitingJobs[j.accepted.Terms.Queue]--
	return true
}
