package shard

import (
	"net/netip"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// WorkerInfo is what the list of workers says of one worker.
type WorkerInfo struct {
	ID          string
	Address     netip.AddrPort
	Zone        string
	Incarnation int64
	Draining    bool
	// Remaining is the least time that a draining worker has left.
	Remaining time.Duration
	Capacity  job.Demand
	Labels    []string
}

// worker is one worker and what runs on it.
type worker struct {
	WorkerInfo
	Listed   bool
	gone     time.Time // since when it isn't listed
	leavesAt time.Time // when a draining worker may be gone
	used     job.Demand
	runs     []*run
	reached  bool // its lists were read by this holder
	life     int64
	seen     int64 // the last end that was handled
	stored   int64 // the last end whose meaning is stored
	flying   int64
	told     int64 // the last end that the worker was told to forget
	recorded bool  // the worker's note is stored, and lets it have tasks
	// suspended workers are noted as unreachable, or may be: see suspendAfter.
	suspended       bool
	flyingSuspended bool
	dirty           bool
	checking        bool // the next look must confirm the worker's life first

	clock     time.Duration
	clockAt   time.Time
	leaseEnd  time.Time
	holding   bool
	nextHold  time.Time
	failures  int // looks without an answer, in a row
	lastReply time.Time
	lookedAt  time.Time     // when the last look that was answered left
	unseen    time.Duration // between the last two answers
	health    health
	isSlow    bool
	fillPace  int // at which tasks work that fill beside serving ones, in percent
	pacedAt   time.Time
}

const (
	// holdWait is how long a worker delays its answer to wait for an end. A
	// look whose answer is lost is noticed only after it, and with it the ends
	// that it would have told.
	holdWait = 700 * time.Millisecond
	// lookAgain is the pause after a look that failed, but for the first one:
	// an answer that was lost alone.
	lookAgain = 300 * time.Millisecond
	// urgentLease is the rest of a lease below which it is extended without
	// waiting for the store.
	urgentLease = 3500 * time.Millisecond
	// suspendAfter is how many looks in a row fail before the worker's note
	// says that it is suspended (1.5 s and more). No holder extends a lease on
	// a suspended worker, so that the next one knows when its runs are over;
	// a worker that comes back gets a new note first.
	suspendAfter = 3
	// unreachableAfter is how many looks in a row may fail before nothing
	// new is placed on a worker.
	unreachableAfter = 1
)

// SetWorkers takes the current list of the service's workers.
func (s *Shard) SetWorkers(now time.Time, list []WorkerInfo) {
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		if !slices.Contains(s.shapes, info.Capacity) {
			s.shapes = append(s.shapes, info.Capacity)
		}
		w := s.workers[info.ID]
		if w == nil {
			w = &worker{WorkerInfo: info, life: info.Incarnation, Listed: true, fillPace: paceFull}
			w.noteLeaving(now)
			s.workers[info.ID] = w
			s.sortWorkers()
			w.leaseEnd = s.began.Add(s.options.OrphanTimeout)
			s.noteIfPlaceable(w)
			s.options.Log("worker-listed", "worker", info.ID, "address", info.Address, "capacity", info.Capacity, "draining", info.Draining)
			s.changed = true
			continue
		}
		if info.Draining && !w.Draining {
			s.options.Log("worker-draining", "worker", info.ID, "remaining", info.Remaining, "runs", len(w.runs))
		}
		if !w.Listed || w.Draining != info.Draining || w.Capacity != info.Capacity {
			s.changed = true
		}
		if w.Address != info.Address || w.Incarnation != info.Incarnation {
			w.checking = true
			w.nextHold = now
		}
		w.WorkerInfo, w.Listed = info, true
		w.noteLeaving(now)
		s.noteIfPlaceable(w)
	}
	for _, w := range s.ordered {
		if w.Listed && !listed[w.ID] {
			w.Listed, w.gone = false, now
			s.options.Log("worker-unlisted", "worker", w.ID, "runs", len(w.runs), "lease-left", w.leaseEnd.Sub(now))
		}
	}
}

// forgetWorkers drops unlisted workers on which nothing can run any more.
func (s *Shard) forgetWorkers(now time.Time) {
	kept := s.ordered[:0]
	for _, w := range s.ordered {
		if !w.Listed && len(w.runs) == 0 && !w.holding && now.Sub(w.gone) > forgetAfter && now.After(w.leaseEnd) {
			delete(s.workers, w.ID)
			delete(s.owed, w.ID)
			s.dropNote(w)
			s.options.Log("worker-forgotten", "worker", w.ID)
			continue
		}
		kept = append(kept, w)
	}
	s.ordered = kept
}

// noteIfPlaceable stores a note of a worker before it gets its first task.
func (s *Shard) noteIfPlaceable(w *worker) {
	if w.placeable() && !w.recorded && !w.suspended {
		s.markWorker(w)
	}
}

// dropIdleNotes drops the notes of workers that get no more tasks and run
// none: the next holder would wait for their lists before it starts anything
// that it finds in the store.
func (s *Shard) dropIdleNotes() {
	if s.writing {
		return // a note may be on its way
	}
	for _, w := range s.ordered {
		if w.reached && !w.placeable() && len(w.runs) == 0 && !w.dirty {
			s.dropNote(w)
		}
	}
}

func (s *Shard) dropNote(w *worker) {
	if w.recorded || w.suspended {
		w.recorded, w.suspended = false, false
		s.drops = append(s.drops, workerKey(w.ID))
	}
}

// placeable reports whether the list lets the worker have new tasks.
func (w *worker) placeable() bool { return w.Listed && !w.Draining }

// usable reports whether new tasks may be placed on the worker.
func (w *worker) usable() bool {
	return w.placeable() && w.reached && w.recorded && !w.checking && w.failures < unreachableAfter
}

func (w *worker) free() job.Demand { return w.Capacity.Minus(w.used) }

func (w *worker) rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

func (w *worker) target() Target { return Target{ID: w.ID, Address: w.Address} }

// until is the end of a lease from now on the worker's clock.
func (w *worker) until(now time.Time, lease time.Duration) time.Duration {
	return w.clock + now.Sub(w.clockAt) + lease
}

// leaseLength is the longest time for which a lease that is given now can last.
func (s *Shard) leaseLength() time.Duration {
	return time.Duration(float64(s.options.Lease)*LeaseDriftFactor) + travelSlack
}

// extend notes that an order with a lease leaves now.
func (s *Shard) extend(now time.Time, w *worker) time.Duration {
	end := now.Add(s.leaseLength())
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	return w.until(now, s.options.Lease)
}

// look sends the holds that are due.
func (s *Shard) look(now time.Time) {
	for _, w := range s.ordered {
		if w.holding || now.Before(w.nextHold) {
			continue
		}
		first := !w.reached || w.checking
		settledEnds := w.stored == w.seen
		urgent := len(w.runs) > 0 && w.leaseEnd.Sub(now) < urgentLease
		switch {
		case first:
			if !w.Listed && now.After(w.leaseEnd) && len(w.runs) == 0 {
				continue
			}
			s.send(w, Poll{Target: w.target()})
		case len(w.runs) > 0 && (settledEnds || urgent):
			hold := Poll{Target: w.target(), AckThrough: w.stored, Wait: holdWait}
			if !settledEnds || w.stopUnseen() {
				hold.Wait = 0
			}
			if s.authority && w.recorded {
				hold.LeaseUntil = s.extend(now, w)
			}
			s.send(w, hold)
		case len(w.runs) == 0 && w.stored > w.told && settledEnds:
			s.send(w, Poll{Target: w.target(), AckThrough: w.stored})
		}
	}
}

// stopUnseen reports whether a stop was confirmed since the last look: its run
// may not be there at all, and then no end would come. If it is there, its end
// comes within a waiting look.
func (w *worker) stopUnseen() bool {
	for _, r := range w.runs {
		if (r.phase == stopping || r.phase == doubtful) && !r.confirmed.IsZero() && !r.confirmed.Before(w.lookedAt) {
			return true
		}
	}
	return false
}

func (s *Shard) send(w *worker, hold Poll) {
	w.holding = true
	w.told = max(w.told, hold.AckThrough)
	s.commands.Polls = append(s.commands.Polls, hold)
}

// Report is a worker's answer to a Hold.
type Report struct {
	Incarnation int64
	Clock       time.Duration
	Running     []RunStatus
	Ended       []RunResult
}

// RunStatus is a task that runs on the worker.
type RunStatus struct {
	RunKey
	Checkpoint string
	Percent    float64
	// Usage is the tail of a serving task's response time in milliseconds, and
	// of any other task the thousandths of a core that it uses.
	Usage float64
}

// RunResult is a run that is over.
type RunResult struct {
	RunKey
	Sequence   int64
	EndReason  EndReason
	Checkpoint string
}

// EndReason is why a run is over.
type EndReason string

// Ways in which a run ends.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed"
	EndGangFailed     EndReason = "broken"
	EndGangIncomplete EndReason = "alone"
)

// PollFailed says that a Hold had no answer, or a refusal.
func (s *Shard) PollFailed(now time.Time, id string, cause string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.holding = false
	w.failures++
	w.checking = true
	w.nextHold = now
	if w.failures > 1 {
		w.nextHold = now.Add(lookAgain)
	}
	s.changed = true
	if w.failures == suspendAfter && w.recorded {
		w.recorded, w.suspended = false, true
		s.markWorker(w)
	}
	if w.failures == 1 {
		s.options.Log("worker-unreachable", "worker", id, "runs", len(w.runs), "lease-left", w.leaseEnd.Sub(now), "cause", cause)
	}
}

// PollAnswered takes a worker's answer to a Hold that left at the given time.
func (s *Shard) PollAnswered(now, sent time.Time, id string, report Report) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.holding = false
	if w.failures > 0 {
		s.options.Log("worker-reachable", "worker", id, "silent", now.Sub(w.lastReply))
	}
	if w.failures > 0 || !w.reached {
		s.changed = true
	}
	w.unseen = now.Sub(w.lastReply)
	w.failures, w.lastReply, w.lookedAt = 0, now, sent
	if w.suspended {
		w.suspended = false
		s.markWorker(w) // its leases are extended once this is stored
	}
	w.clock, w.clockAt = report.Clock, now
	w.nextHold = now
	if report.Incarnation != w.life {
		s.restarted(now, w, report.Incarnation)
	}
	wasFirst := !w.reached
	w.reached, w.checking = true, false
	if wasFirst {
		// The fence shuts out every other holder: no lease is longer than one
		// that was given just before.
		w.leaseEnd = now.Add(s.leaseLength())
	}
	for _, row := range report.Ended {
		s.end(now, w, row)
	}
	s.compare(now, sent, w, report.Running)
	s.pace(now, w)
	if wasFirst {
		s.options.Log("worker-read", "worker", id, "running", len(report.Running), "ended", len(report.Ended), "born", report.Incarnation)
	}
	s.settle(now)
}

// restarted drops what a former life of the worker ran.
func (s *Shard) restarted(now time.Time, w *worker, born int64) {
	if w.reached || w.seen > 0 {
		s.options.Log("worker-restarted", "worker", w.ID, "born", born, "before", w.life, "runs", len(w.runs))
	}
	w.life, w.seen, w.stored, w.told, w.flying = born, 0, 0, 0, 0
	s.markWorker(w)
	for _, r := range slices.Clone(w.runs) {
		if r.phase == ordered || r.phase == doubtful {
			continue // may yet reach the new life; its list or answer decides
		}
		s.over(now, r, "worker-restarted")
	}
	s.changed = true
}

// compare brings the shard's runs in line with a worker's list.
func (s *Shard) compare(now, sent time.Time, w *worker, rows []RunStatus) {
	listed := make(map[RunKey]*RunStatus, len(rows))
	for i := range rows {
		listed[rows[i].RunKey] = &rows[i]
	}
	for _, r := range slices.Clone(w.runs) {
		key := RunKey{r.task.name(), r.number}
		row := listed[key]
		delete(listed, key)
		switch {
		case row != nil:
			s.progress(now, r, row)
		case (r.phase == running || r.phase == stopping) && !r.startedAt.IsZero() && r.startedAt.Before(sent):
			s.over(now, r, "not-listed")
		case (r.phase == stopping || r.phase == doubtful) && !r.confirmed.IsZero() && r.confirmed.Before(sent):
			s.over(now, r, "stopped")
		}
	}
	for i := range rows {
		if row := listed[rows[i].RunKey]; row != nil {
			s.adopt(now, w, row)
		}
	}
}

// progress takes a row of a run that the shard knows.
func (s *Shard) progress(now time.Time, r *run, row *RunStatus) {
	if r.phase == ordered || r.phase == doubtful {
		if r.asked {
			r.phase = stopping
			s.sendStop(now, r)
		} else {
			s.started(now, r)
		}
	}
	r.usage = row.Usage
	if row.Percent > r.percent {
		r.percent, r.movedAt = row.Percent, now
		r.measure(now)
	}
	if row.Checkpoint != "" && row.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = row.Checkpoint
	}
}

// adopt takes over a run that a former holder started.
func (s *Shard) adopt(now time.Time, w *worker, row *RunStatus) {
	key, err := parseTask(row.Task)
	if err != nil {
		s.options.Log("foreign-run", "worker", w.ID, "task", row.Task, "cause", err)
		return
	}
	t := s.find(key)
	if t == nil {
		s.options.Log("unknown-run", "worker", w.ID, "task", row.Task, "run", row.Run)
		s.commands.Stops = append(s.commands.Stops, Stop{RunKey: row.RunKey, Target: w.target()})
		w.nextHold = now.Add(lookAgain)
		return
	}
	r := &run{task: t, number: row.Run, worker: w, phase: running, orderedAt: now, startedAt: now, movedAt: now, pace: paceUnknown}
	s.attach(r)
	t.lastRun = max(t.lastRun, row.Run)
	s.begin(t.step.occurrence.job)
	s.progress(now, r, row)
	s.options.Log("run-adopted", "task", row.Task, "run", row.Run, "worker", w.ID, "percent", row.Percent)
	j := t.step.occurrence.job
	gangMismatch := t.step.spec.Gang && s.gangBroken(t.step)
	if t.done || j.state.Ended() || gangMismatch || len(t.runs) > 1 && !t.step.spec.Speculative {
		s.stop(now, r)
	}
}

// gangBroken reports whether runs of a gang have unlike numbers.
func (s *Shard) gangBroken(st *step) bool {
	number := int64(0)
	for _, t := range st.tasks {
		for _, r := range t.runs {
			if number != 0 && r.number != number {
				return true
			}
			number = r.number
		}
	}
	return false
}

// settle checks whether all that a former holder may have started is known.
func (s *Shard) settle(now time.Time) {
	if s.settled {
		return
	}
	// A worker without a note never had a task of a former holder.
	for id := range s.owed {
		if w := s.workers[id]; w != nil && !w.reached && now.Before(w.leaseEnd) {
			return
		}
	}
	s.settled = true
	s.changed = true
	s.options.Log("settled", "service", s.options.Service, "after", now.Sub(s.began))
	// A gang that isn't whole after a change of holder starts anew.
	for _, j := range s.active {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				s.checkGang(now, st)
			}
		}
	}
}

func (s *Shard) checkGang(now time.Time, st *step) {
	if !st.spec.Gang || st.done == len(st.tasks) {
		return
	}
	present := 0
	for _, t := range st.tasks {
		if len(t.runs) > 0 {
			present++
		}
	}
	if present == 0 || present == len(st.tasks) {
		return
	}
	s.stopStep(now, st)
}
