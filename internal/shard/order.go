package shard

import (
	"cmp"
	"slices"
	"time"
)

// lateStartFactor times its objective is when a late job is wanted: well before it is
// worth nothing (lateFactor).
const lateStartFactor = 2.5

// startMarginDivisor of its objective is the slack of a step below which it is taken
// for late: its start is likely to come too late.
const startMarginDivisor = 8

// startDeadline is when the step has to start for its job to end on time or, once
// that is too late, well before it is worth nothing. In the order of the latest
// starts for being on time alone, an overload would start each job at its last
// moment and end all of them late.
func (st *step) startDeadline(now time.Time) time.Time {
	o := st.occurrence
	objective := o.job.objective()
	margin := objective / startMarginDivisor
	inTime := st.latestStart().Add(-margin)
	if st.spec.LongRunning || now.Before(inTime) {
		return inTime
	}
	return o.due.Add(time.Duration(lateStartFactor*float64(objective)) - st.criticalPath)
}

// hasStartable reports whether the step has a task to start.
func (st *step) hasStartable(now time.Time) bool {
	for _, t := range st.tasks {
		if t.startable(now) {
			return true
		}
	}
	return false
}

func (t *task) startable(now time.Time) bool { return t.idle() && !now.Before(t.notBefore) }

// idle reports whether the task has no run and needs one, be it after a pause.
func (t *task) idle() bool { return !t.done && len(t.runs) == 0 }

// latestStart is when the step has to start for its job to end on time.
func (st *step) latestStart() time.Time {
	o := st.occurrence
	return o.due.Add(o.job.objective() - st.criticalPath)
}

// tooLate reports whether the job is too late to be worth anything.
func (st *step) tooLate(now time.Time) bool {
	o := st.occurrence
	return !st.spec.LongRunning && now.After(o.due.Add(worthlessFactor*o.job.objective()-st.criticalPath))
}

// stepsByUrgency returns the steps with tasks to start, most urgent first.
func (s *Shard) stepsByUrgency(now time.Time) []*step {
	type ranked struct {
		step     *step
		hopeless int
		deadline time.Time
	}
	list := make([]ranked, 0, len(s.readySteps))
	s.backlog = backlog{}
	for st := range s.readySteps {
		if !st.hasStartable(now) {
			if !st.hasIdle() {
				delete(s.readySteps, st)
			}
			continue
		}
		r := ranked{step: st, deadline: st.startDeadline(now)}
		if st.tooLate(now) {
			r.hopeless = 1
		} else {
			s.backlog.addStep(st)
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.hopeless, b.hopeless),
			cmp.Compare(a.step.occurrence.job.accepted.Terms.Priority, b.step.occurrence.job.accepted.Terms.Priority),
			a.deadline.Compare(b.deadline),
			cmp.Compare(a.step.occurrence.job.id, b.step.occurrence.job.id),
			cmp.Compare(a.step.occurrence.number, b.step.occurrence.number),
			cmp.Compare(a.step.number, b.step.number),
		)
	})
	order := make([]*step, len(list))
	for i, r := range list {
		order[i] = r.step
	}
	return order
}

// hasIdle reports whether a task without a run is left, also one that
// pauses after a failure.
func (st *step) hasIdle() bool {
	for _, t := range st.tasks {
		if t.idle() {
			return true
		}
	}
	return false
}
