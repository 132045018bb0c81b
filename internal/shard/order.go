package shard

import (
	"cmp"
	"slices"
	"time"
)

// wants reports whether the step has a task to start.
func (st *step) wants(now time.Time) bool {
	for _, t := range st.tasks {
		if t.waits(now) {
			return true
		}
	}
	return false
}

func (t *task) waits(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore)
}

// latest is when the step has to start for its job to end on time.
func (st *step) latest() time.Time {
	o := st.occurrence
	return o.due.Add(o.job.objective() - st.chain)
}

// hopeless reports whether the job is too late to be worth anything.
func (st *step) hopeless(now time.Time) bool {
	o := st.occurrence
	return !st.spec.LongRunning && now.After(o.due.Add(lateFactor*o.job.objective()-st.chain))
}

// readyOrder returns the steps with tasks to start, most urgent first.
func (s *Shard) readyOrder(now time.Time) []*step {
	type ranked struct {
		step     *step
		hopeless int
		latest   time.Time
	}
	list := make([]ranked, 0, len(s.ready))
	s.queued = backlog{}
	for st := range s.ready {
		if !st.wants(now) {
			if !st.anyWaiting() {
				delete(s.ready, st)
			}
			continue
		}
		r := ranked{step: st, latest: st.latest()}
		if st.hopeless(now) {
			r.hopeless = 1
		} else {
			s.queued.add(st)
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.hopeless, b.hopeless),
			cmp.Compare(a.step.occurrence.job.record.Terms.Priority, b.step.occurrence.job.record.Terms.Priority),
			a.latest.Compare(b.latest),
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

// anyWaiting reports whether a task without a run is left, also one that
// pauses after a failure.
func (st *step) anyWaiting() bool {
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 {
			return true
		}
	}
	return false
}
