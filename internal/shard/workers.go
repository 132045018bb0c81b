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
	Listed              bool
	unlistedAt          time.Time // since when it isn't listed
	leavesAt            time.Time // when a draining worker may be gone
	used                job.Demand
	runs                []*run
	listsRead           bool // its lists were read by this holder
	observedIncarnation int64
	handledResult       int64 // the last end that was handled
	storedResult        int64 // the last end whose meaning is stored
	inFlightResult      int64
	acknowledgedResult  int64 // the last end that the worker was told to forget
	recordStored        bool  // the worker's note is stored, and lets it have tasks
	// suspended workers are noted as unreachable, or may be: see suspendAfter.
	suspended         bool
	inFlightSuspended bool
	dirty             bool
	unconfirmed       bool // the next look must confirm the worker's life first

	clock          time.Duration
	clockReadAt    time.Time
	leaseEnd       time.Time
	pollInFlight   bool
	nextPollAt     time.Time
	failedPolls    int // looks without an answer, in a row
	lastReply      time.Time
	pollSentAt     time.Time     // when the last look that was answered left
	replyInterval  time.Duration // between the last two answers
	health         health
	isSlow         bool
	bestEffortPace int // at which tasks work that fill beside serving ones, in percent
	paceSetAt      time.Time
}

const (
	// pollWait is how long a worker delays its answer to wait for an end. A
	// look whose answer is lost is noticed only after it, and with it the ends
	// that it would have told.
	pollWait = 700 * time.Millisecond
	// pollRetryDelay is the pause after a look that failed, but for the first one:
	// an answer that was lost alone.
	pollRetryDelay = 300 * time.Millisecond
	// urgentLeaseRest is the rest of a lease below which it is extended without
	// waiting for the store.
	urgentLeaseRest = 3500 * time.Millisecond
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
		if !slices.Contains(s.seenCapacities, info.Capacity) {
			s.seenCapacities = append(s.seenCapacities, info.Capacity)
		}
		w := s.workers[info.ID]
		if w == nil {
			w = &worker{WorkerInfo: info, observedIncarnation: info.Incarnation, Listed: true, bestEffortPace: fullPace}
			w.updateLeavesAt(now)
			s.workers[info.ID] = w
			s.sortWorkers()
			w.leaseEnd = s.loadedAt.Add(s.options.OrphanTimeout)
			s.recordIfPlaceable(w)
			s.options.Log("worker-listed", "worker", info.ID, "address", info.Address, "capacity", info.Capacity, "draining", info.Draining)
			s.placementChanged = true
			continue
		}
		if info.Draining && !w.Draining {
			s.options.Log("worker-draining", "worker", info.ID, "remaining", info.Remaining, "runs", len(w.runs))
		}
		if !w.Listed || w.Draining != info.Draining || w.Capacity != info.Capacity {
			s.placementChanged = true
		}
		if w.Address != info.Address || w.Incarnation != info.Incarnation {
			w.unconfirmed = true
			w.nextPollAt = now
		}
		w.WorkerInfo, w.Listed = info, true
		w.updateLeavesAt(now)
		s.recordIfPlaceable(w)
	}
	for _, w := range s.sortedWorkers {
		if w.Listed && !listed[w.ID] {
			w.Listed, w.unlistedAt = false, now
			s.options.Log("worker-unlisted", "worker", w.ID, "runs", len(w.runs), "lease-left", w.leaseEnd.Sub(now))
		}
	}
}

// forgetWorkers drops unlisted workers on which nothing can run any more.
func (s *Shard) forgetWorkers(now time.Time) {
	kept := s.sortedWorkers[:0]
	for _, w := range s.sortedWorkers {
		if !w.Listed && len(w.runs) == 0 && !w.pollInFlight && now.Sub(w.unlistedAt) > forgetWorkerAfter && now.After(w.leaseEnd) {
			delete(s.workers, w.ID)
			delete(s.workersToRead, w.ID)
			s.deleteWorkerRecord(w)
			s.options.Log("worker-forgotten", "worker", w.ID)
			continue
		}
		kept = append(kept, w)
	}
	s.sortedWorkers = kept
}

// recordIfPlaceable stores a note of a worker before it gets its first task.
func (s *Shard) recordIfPlaceable(w *worker) {
	if w.placeable() && !w.recordStored && !w.suspended {
		s.markWorker(w)
	}
}

// deleteIdleRecords drops the notes of workers that get no more tasks and run
// none: the next holder would wait for their lists before it starts anything
// that it finds in the store.
func (s *Shard) deleteIdleRecords() {
	if s.batchInFlight {
		return // a note may be on its way
	}
	for _, w := range s.sortedWorkers {
		if w.listsRead && !w.placeable() && len(w.runs) == 0 && !w.dirty {
			s.deleteWorkerRecord(w)
		}
	}
}

func (s *Shard) deleteWorkerRecord(w *worker) {
	if w.recordStored || w.suspended {
		w.recordStored, w.suspended = false, false
		s.deletedKeys = append(s.deletedKeys, workerKey(w.ID))
	}
}

// placeable reports whether the list lets the worker have new tasks.
func (w *worker) placeable() bool { return w.Listed && !w.Draining }

// usable reports whether new tasks may be placed on the worker.
func (w *worker) usable() bool {
	return w.placeable() && w.listsRead && w.recordStored && !w.unconfirmed && w.failedPolls < unreachableAfter
}

func (w *worker) free() job.Demand { return w.Capacity.Minus(w.used) }

func (w *worker) rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

func (w *worker) target() Target { return Target{ID: w.ID, Address: w.Address} }

// leaseUntil is the end of a lease from now on the worker's clock.
func (w *worker) leaseUntil(now time.Time, lease time.Duration) time.Duration {
	return w.clock + now.Sub(w.clockReadAt) + lease
}

// leaseLength is the longest time for which a lease that is given now can last.
func (s *Shard) leaseLength() time.Duration {
	return time.Duration(float64(s.options.Lease)*LeaseDriftFactor) + orderTransitTime
}

// extendLease notes that an order with a lease leaves now.
func (s *Shard) extendLease(now time.Time, w *worker) time.Duration {
	end := now.Add(s.leaseLength())
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	return w.leaseUntil(now, s.options.Lease)
}

// sendDuePolls sends the holds that are due.
func (s *Shard) sendDuePolls(now time.Time) {
	for _, w := range s.sortedWorkers {
		if w.pollInFlight || now.Before(w.nextPollAt) {
			continue
		}
		first := !w.listsRead || w.unconfirmed
		settledEnds := w.storedResult == w.handledResult
		urgent := len(w.runs) > 0 && w.leaseEnd.Sub(now) < urgentLeaseRest
		switch {
		case first:
			if !w.Listed && now.After(w.leaseEnd) && len(w.runs) == 0 {
				continue
			}
			s.sendPoll(w, Poll{Target: w.target()})
		case len(w.runs) > 0 && (settledEnds || urgent):
			hold := Poll{Target: w.target(), AckThrough: w.storedResult, Wait: pollWait}
			if !settledEnds || w.hasNewlyConfirmedStop() {
				hold.Wait = 0
			}
			if s.authority && w.recordStored {
				hold.LeaseUntil = s.extendLease(now, w)
			}
			s.sendPoll(w, hold)
		case len(w.runs) == 0 && w.storedResult > w.acknowledgedResult && settledEnds:
			s.sendPoll(w, Poll{Target: w.target(), AckThrough: w.storedResult})
		}
	}
}

// hasNewlyConfirmedStop reports whether a stop was confirmed since the last look: its run
// may not be there at all, and then no end would come. If it is there, its end
// comes within a waiting look.
func (w *worker) hasNewlyConfirmedStop() bool {
	for _, r := range w.runs {
		if (r.phase == phaseStopping || r.phase == phaseUncertain) && !r.stopConfirmedAt.IsZero() && !r.stopConfirmedAt.Before(w.pollSentAt) {
			return true
		}
	}
	return false
}

func (s *Shard) sendPoll(w *worker, hold Poll) {
	w.pollInFlight = true
	w.acknowledgedResult = max(w.acknowledgedResult, hold.AckThrough)
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
	w.pollInFlight = false
	w.failedPolls++
	w.unconfirmed = true
	w.nextPollAt = now
	if w.failedPolls > 1 {
		w.nextPollAt = now.Add(pollRetryDelay)
	}
	s.placementChanged = true
	if w.failedPolls == suspendAfter && w.recordStored {
		w.recordStored, w.suspended = false, true
		s.markWorker(w)
	}
	if w.failedPolls == 1 {
		s.options.Log("worker-unreachable", "worker", id, "runs", len(w.runs), "lease-left", w.leaseEnd.Sub(now), "cause", cause)
	}
}

// PollAnswered takes a worker's answer to a Hold that left at the given time.
func (s *Shard) PollAnswered(now, sent time.Time, id string, report Report) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.pollInFlight = false
	if w.failedPolls > 0 {
		s.options.Log("worker-reachable", "worker", id, "silent", now.Sub(w.lastReply))
	}
	if w.failedPolls > 0 || !w.listsRead {
		s.placementChanged = true
	}
	w.replyInterval = now.Sub(w.lastReply)
	w.failedPolls, w.lastReply, w.pollSentAt = 0, now, sent
	if w.suspended {
		w.suspended = false
		s.markWorker(w) // its leases are extended once this is stored
	}
	w.clock, w.clockReadAt = report.Clock, now
	w.nextPollAt = now
	if report.Incarnation != w.observedIncarnation {
		s.handleRestart(now, w, report.Incarnation)
	}
	wasFirst := !w.listsRead
	w.listsRead, w.unconfirmed = true, false
	if wasFirst {
		// The fence shuts out every other holder: no lease is longer than one
		// that was given just before.
		w.leaseEnd = now.Add(s.leaseLength())
	}
	for _, row := range report.Ended {
		s.handleResult(now, w, row)
	}
	s.reconcileRuns(now, sent, w, report.Running)
	s.adjustPace(now, w)
	if wasFirst {
		s.options.Log("worker-read", "worker", id, "running", len(report.Running), "ended", len(report.Ended), "born", report.Incarnation)
	}
	s.checkRecovered(now)
}

// handleRestart drops what a former life of the worker ran.
func (s *Shard) handleRestart(now time.Time, w *worker, born int64) {
	if w.listsRead || w.handledResult > 0 {
		s.options.Log("worker-restarted", "worker", w.ID, "born", born, "before", w.observedIncarnation, "runs", len(w.runs))
	}
	w.observedIncarnation, w.handledResult, w.storedResult, w.acknowledgedResult, w.inFlightResult = born, 0, 0, 0, 0
	s.markWorker(w)
	for _, r := range slices.Clone(w.runs) {
		if r.phase == phaseStarting || r.phase == phaseUncertain {
			continue // may yet reach the new life; its list or answer decides
		}
		s.removeRun(now, r, "worker-restarted")
	}
	s.placementChanged = true
}

// reconcileRuns brings the shard's runs in line with a worker's list.
func (s *Shard) reconcileRuns(now, sent time.Time, w *worker, rows []RunStatus) {
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
			s.updateRun(now, r, row)
		case (r.phase == phaseRunning || r.phase == phaseStopping) && !r.startedAt.IsZero() && r.startedAt.Before(sent):
			s.removeRun(now, r, "not-listed")
		case (r.phase == phaseStopping || r.phase == phaseUncertain) && !r.stopConfirmedAt.IsZero() && r.stopConfirmedAt.Before(sent):
			s.removeRun(now, r, "stopped")
		}
	}
	for i := range rows {
		if row := listed[rows[i].RunKey]; row != nil {
			s.adoptRun(now, w, row)
		}
	}
}

// updateRun takes a row of a run that the shard knows.
func (s *Shard) updateRun(now time.Time, r *run, row *RunStatus) {
	if r.phase == phaseStarting || r.phase == phaseUncertain {
		if r.stopRequested {
			r.phase = phaseStopping
			s.sendStop(now, r)
		} else {
			s.markRunning(now, r)
		}
	}
	r.usage = row.Usage
	if row.Percent > r.percent {
		r.percent, r.progressedAt = row.Percent, now
		r.updateSlowness(now)
	}
	if row.Checkpoint != "" && row.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = row.Checkpoint
	}
}

// adoptRun takes over a run that a former holder started.
func (s *Shard) adoptRun(now time.Time, w *worker, row *RunStatus) {
	key, err := parseTask(row.Task)
	if err != nil {
		s.options.Log("foreign-run", "worker", w.ID, "task", row.Task, "cause", err)
		return
	}
	t := s.findTask(key)
	if t == nil {
		s.options.Log("unknown-run", "worker", w.ID, "task", row.Task, "run", row.Run)
		s.commands.Stops = append(s.commands.Stops, Stop{RunKey: row.RunKey, Target: w.target()})
		w.nextPollAt = now.Add(pollRetryDelay)
		return
	}
	r := &run{task: t, number: row.Run, worker: w, phase: phaseRunning, orderedAt: now, startedAt: now, progressedAt: now, pace: paceUnknown}
	s.attachRun(r)
	t.lastRun = max(t.lastRun, row.Run)
	s.markJobStarted(t.step.occurrence.job)
	s.updateRun(now, r, row)
	s.options.Log("run-adopted", "task", row.Task, "run", row.Run, "worker", w.ID, "percent", row.Percent)
	j := t.step.occurrence.job
	gangMismatch := t.step.spec.Gang && s.gangNumbersDiffer(t.step)
	if t.done || j.state.Ended() || gangMismatch || len(t.runs) > 1 && !t.step.spec.Speculative {
		s.stopRun(now, r)
	}
}

// gangNumbersDiffer reports whether runs of a gang have unlike numbers.
func (s *Shard) gangNumbersDiffer(st *step) bool {
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

// checkRecovered checks whether all that a former holder may have started is known.
func (s *Shard) checkRecovered(now time.Time) {
	if s.recovered {
		return
	}
	// A worker without a note never had a task of a former holder.
	for id := range s.workersToRead {
		if w := s.workers[id]; w != nil && !w.listsRead && now.Before(w.leaseEnd) {
			return
		}
	}
	s.recovered = true
	s.placementChanged = true
	s.options.Log("settled", "service", s.options.Service, "after", now.Sub(s.loadedAt))
	// A gang that isn't whole after a change of holder starts anew.
	for _, j := range s.active {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				s.stopIncompleteGang(now, st)
			}
		}
	}
}

func (s *Shard) stopIncompleteGang(now time.Time, st *step) {
	if !st.spec.Gang || st.doneTasks == len(st.tasks) {
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
