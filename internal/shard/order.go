package shard

import (
	"cmp"
	"slices"
	"time"
)

// lateEndFactor is the age, as a multiple of the objective, at which a job that
// can't end on time any more should end: well before it is worthless (see
// worthlessFactor).
const lateEndFactor = 2.5

// startMarginDivisor determines how long before its latest start a step has its start
// deadline: the objective of its job divided by startMarginDivisor. A step that waits
// beyond that is likely to start too late.
const startMarginDivisor = 8

// startDeadline returns the time by which the step should start for its job to end on
// time or, once that has passed, well before it is worthless. If late jobs kept their
// on-time deadline, an overloaded shard would start each job at its last moment and
// end all of them late.
func (st *step) startDeadline(now time.Time) time.Time {
	o := st.occurrence
	objective := o.job.objective()
	margin := objective / startMarginDivisor
	onTimeDeadline := st.latestStart().Add(-margin)
	if st.spec.LongRunning || now.Before(onTimeDeadline) {
		return onTimeDeadline
	}
	return o.due.Add(time.Duration(lateEndFactor*float64(objective)) - st.criticalPath)
}

// hasStartable reports whether the step has a task that can start now.
func (st *step) hasStartable(now time.Time) bool {
	for _, t := range st.tasks {
		if t.startable(now) {
			return true
		}
	}
	return false
}

func (t *task) startable(now time.Time) bool { return t.idle() && !now.Before(t.notBefore) }

// idle reports whether the task isn't done and has no run. It may have to wait for
// its retry delay.
func (t *task) idle() bool { return !t.done && len(t.runs) == 0 }

// latestStart returns the latest time at which the step can start for its job to end on
// time.
func (st *step) latestStart() time.Time {
	o := st.occurrence
	return o.due.Add(o.job.objective() - st.criticalPath)
}

// tooLate reports whether the job would be worthless at its end if the step started
// now. Long-running steps are never too late.
func (st *step) tooLate(now time.Time) bool {
	o := st.occurrence
	return !st.spec.LongRunning && now.After(o.due.Add(worthlessFactor*o.job.objective()-st.criticalPath))
}

// stepsByUrgency returns the steps with tasks that can start now, most urgent first.
// It also recomputes the backlog, and removes ready steps without idle tasks.
func (s *Shard) stepsByUrgency(now time.Time) []*step {
	type ranked struct {
		step          *step
		tooLate       int
		startDeadline time.Time
	}
	list := make([]ranked, 0, len(s.readySteps))
	s.waitingWork, s.waitingAdvice.waiting = backlog{}, [adviceKinds][priorityLevels]time.Duration{}
	for st := range s.readySteps {
		if !st.hasStartable(now) {
			if !st.hasIdle() {
				delete(s.readySteps, st)
			}
			continue
		}
		r := ranked{step: st, startDeadline: st.startDeadline(now)}
		if st.tooLate(now) {
			r.tooLate = 1
		} else {
			s.waitingWork.addStep(st)
		}
		s.addStepAdvice(st, r.tooLate == 1)
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.tooLate, b.tooLate),
			cmp.Compare(a.step.occurrence.job.accepted.Terms.Priority, b.step.occurrence.job.accepted.Terms.Priority),
			a.startDeadline.Compare(b.startDeadline),
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

// hasIdle reports whether the step has an idle task.
func (st *step) hasIdle() bool {
	for _, t := range st.tasks {
		if t.idle() {
			return true
		}
	}
	return false
}
