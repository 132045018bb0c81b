package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// longRunningCheckInterval is the longest time between two checks for long-running tasks
	// that wait.
	longRunningCheckInterval = 500 * time.Millisecond
	// maxWaitsLogged bounds the lines that a check logs. Those that were not logged for the
	// longest time come first.
	maxWaitsLogged = 8
	// maxTasksNamed bounds the tasks that a line names.
	maxTasksNamed = 8
)

// longRunningWaits is the state of the log of long-running tasks that wait: those without a
// confirmed run.
type longRunningWaits struct {
	checkedAt, nextCheck time.Time
	since                map[*task]time.Time
	longestSince         time.Time
	loggedAt             map[waitKey]time.Time
}

// waitKey identifies waiting tasks with a common cause: the idle ones of a step, or those with
// a run on a worker.
type waitKey struct {
	step   *step
	worker *worker
}

// waitGroup is the waiting long-running tasks of a waitKey.
type waitGroup struct {
	key      waitKey
	tasks    []*task
	first    *task // waits longest
	firstRun *run  // the run of first; nil if it has none
	since    time.Time
}

// waitsSince returns since when the tasks of the group wait, or since when the start order of
// the first one waits for its answer.
func (g *waitGroup) waitsSince() time.Time {
	if g.firstRun != nil && g.firstRun.phase == phaseStarting {
		return g.firstRun.orderedAt
	}
	return g.since
}

// confirmed reports whether the run is known to be on its worker and is to stay there.
func (r *run) confirmed() bool {
	return r.phase == phaseRunning && !r.stopRequested && r.worker.failedPolls == 0
}

// unconfirmedSince returns since when a run that isn't confirmed may not be on its worker.
func (r *run) unconfirmedSince() time.Time {
	switch {
	case r.worker.failedPolls > 0 && !r.startedAt.IsZero():
		return maxTime(r.worker.lastReply, r.startedAt)
	case r.phase == phaseStopping:
		return r.stopSentAt
	}
	return r.task.idleSince()
}

// idleSince returns when the task last lost its run or, without one before, became ready.
func (t *task) idleSince() time.Time { return maxTime(t.waitingSince, t.step.readyAt) }

// LongRunningWaits returns how many long-running tasks had no confirmed run when that was last
// checked, and for how long the first of them had waited then.
func (s *Shard) LongRunningWaits() (count int, longest time.Duration) {
	waits := &s.longRunningWaits
	if len(waits.since) == 0 {
		return 0, 0
	}
	return len(waits.since), waits.checkedAt.Sub(waits.longestSince)
}

// checkLongRunning determines which long-running tasks wait, and logs why.
func (s *Shard) checkLongRunning(now time.Time) {
	waits := &s.longRunningWaits
	if now.Before(waits.nextCheck) {
		return
	}
	groups := s.findLongRunningWaits(now)
	loggedAt := make(map[waitKey]time.Time, len(groups))
	for _, g := range groups {
		if at, logged := waits.loggedAt[g.key]; logged {
			loggedAt[g.key] = at
		}
	}
	waits.loggedAt = loggedAt
	slices.SortFunc(groups, func(a, b *waitGroup) int {
		return cmp.Or(loggedAt[a.key].Compare(loggedAt[b.key]), a.since.Compare(b.since), cmp.Compare(a.first.name(), b.first.name()))
	})
	waits.nextCheck = now.Add(longRunningCheckInterval)
	logged := 0
	for _, g := range groups {
		due := maxTime(g.waitsSince(), loggedAt[g.key]).Add(explainInterval)
		if !now.Before(due) && logged < maxWaitsLogged {
			logged++
			loggedAt[g.key] = now
			s.logLongRunningWait(now, g)
			due = now.Add(explainInterval)
		}
		if due.After(now) && due.Before(waits.nextCheck) {
			waits.nextCheck = due
		}
	}
}

// findLongRunningWaits returns the long-running tasks without a confirmed run.
func (s *Shard) findLongRunningWaits(now time.Time) []*waitGroup {
	waits := &s.longRunningWaits
	former := waits.since
	waits.checkedAt, waits.longestSince, waits.since = now, now, map[*task]time.Time{}
	byKey := map[waitKey]*waitGroup{}
	add := func(key waitKey, t *task, r *run, since time.Time) {
		if _, added := waits.since[t]; added || !t.step.spec.LongRunning || t.step.occurrence.job.state.Ended() {
			return
		}
		if before, waited := former[t]; waited && before.Before(since) {
			since = before
		}
		waits.since[t] = since
		if since.Before(waits.longestSince) {
			waits.longestSince = since
		}
		g := byKey[key]
		if g == nil {
			g = &waitGroup{key: key}
			byKey[key] = g
		}
		g.tasks = append(g.tasks, t)
		if g.first == nil || since.Before(g.since) {
			g.first, g.firstRun, g.since = t, r, since
		}
	}
	for st := range s.readySteps {
		if !st.spec.LongRunning {
			continue
		}
		for _, t := range st.tasks {
			if t.idle() {
				add(waitKey{step: st}, t, nil, t.idleSince())
			}
		}
	}
	for _, w := range s.sortedWorkers {
		for _, r := range w.runs {
			if r.task.step.spec.LongRunning && !slices.ContainsFunc(r.task.runs, (*run).confirmed) {
				add(waitKey{worker: w}, r.task, r, r.unconfirmedSince())
			}
		}
	}
	groups := make([]*waitGroup, 0, len(byKey))
	for _, g := range byKey {
		groups = append(groups, g)
	}
	return groups
}

// logLongRunningWait logs why the tasks of a group wait.
func (s *Shard) logLongRunningWait(now time.Time, g *waitGroup) {
	count, longest := s.LongRunningWaits()
	names := make([]string, 0, maxTasksNamed)
	for _, t := range g.tasks[:min(len(g.tasks), maxTasksNamed)] {
		names = append(names, t.name())
	}
	worker := g.first.lastWorker
	if g.key.worker != nil {
		worker = g.key.worker.ID
	}
	s.options.Log("long-running-waiting", append([]any{
		"service", s.options.Service, "task", g.first.name(), "for", now.Sub(g.since), "worker", worker, "alike", len(g.tasks), "tasks", strings.Join(names, " "),
		"waiting", count, "longest", longest, "settled", s.recovered, "proof-age", now.Sub(s.confirmedAt), "witnesses-age", s.witnessesAge(now),
	}, s.longRunningWaitFields(now, g)...)...)
}

// longRunningWaitFields returns log fields with the cause of the wait of a group.
func (s *Shard) longRunningWaitFields(now time.Time, g *waitGroup) []any {
	st := g.first.step
	switch {
	case g.firstRun != nil:
		return append([]any{"cause", g.firstRun.waitCause(), "run", g.firstRun.number}, s.leaseFields(now, g.key.worker)...)
	case !s.authority:
		return []any{"cause", "no-authority"}
	case st.spec.Gang && len(g.tasks) < len(st.tasks):
		return []any{"cause", "former-attempt-not-over"}
	}
	return (&pass{shard: s, now: now}).waitFields(st)
}

// waitCause returns why the task of a run that isn't confirmed gets no other run.
func (r *run) waitCause() string {
	switch {
	case r.worker.failedPolls > 0 || !r.worker.listsRead:
		return "lease-of-silent-worker"
	case r.unsent:
		return "trial-not-stored"
	case r.phase == phaseStarting:
		return "start-not-answered"
	case r.phase == phaseUncertain:
		return "run-in-doubt"
	}
	return "stop-not-confirmed"
}

// witnessesAge returns the age of WitnessedAt, or "none" if too few workers are witnesses.
func (s *Shard) witnessesAge(now time.Time) any {
	witnessedAt := s.WitnessedAt()
	if witnessedAt == unwitnessed {
		return "none"
	}
	newest := slices.MaxFunc(s.sortedWorkers, func(a, b *worker) int { return cmp.Compare(a.polledAt, b.polledAt) })
	return now.Sub(newest.answeredPollSentAt) + newest.polledAt - witnessedAt
}
