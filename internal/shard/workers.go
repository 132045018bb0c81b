package shard

import (
	"net/netip"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// WorkerInfo is the entry of a worker in the list of workers.
type WorkerInfo struct {
	ID          string
	Address     netip.AddrPort
	Zone        string
	Incarnation int64 // changes when the worker restarts
	Draining    bool
	// Remaining is the least time that a draining worker has left.
	Remaining time.Duration
	Capacity  job.Demand
	Labels    []string
}

// worker is the state of a worker and of its runs.
type worker struct {
	WorkerInfo
	listed              bool
	unlistedAt          time.Time // when it left the list
	leavesAt            time.Time // earliest time at which a draining worker may be gone
	used                job.Demand
	runs                []*run
	listsRead           bool  // this leader has read its lists of runs
	observedIncarnation int64 // from its last report; before the first one, from its record or the list
	handledResult       int64 // sequence number of the last result that was handled
	storedResult        int64 // the effects of the results up to this one are stored
	inFlightResult      int64 // as storedResult, once the batch in flight is stored
	unstoredResults     []unstoredResult
	acknowledgedResult  int64 // of the last result whose acknowledgement the worker has answered
	inFlightAck         int64 // the acknowledgement in the poll in flight
	recordStored        bool  // its record is stored and not suspended, so it may get tasks
	// recordTaken means that the store has a record of it or may have, and recordConfirmed
	// that it has one.
	recordTaken, recordConfirmed bool
	recordedBy                   int64         // epoch of the leader that added its record
	polledAt                     time.Duration // Report.PolledAt of its last report
	incarnationChangedAt         time.Time     // when a report last showed another incarnation
	// suspended means that the worker is recorded as suspended or will be, see
	// suspendAfter.
	suspended         bool
	inFlightSuspended bool
	suspensionTaken   bool // the stored record, or one of a batch that was taken since, is suspended
	dirty             bool
	stale             bool // its state may have changed: it gets no new task before its next report
	resultsIncomplete bool // its last report listed only the oldest results
	// hasUnknownRuns means that its last report listed runs of unknown jobs, which are being
	// stopped. What they reserve isn't known.
	hasUnknownRuns bool

	clock            time.Duration // reading of the worker's clock at clockReadAt
	clockReadAt      time.Time
	previousClock    time.Duration // the reading before clock; 0 if that was of another incarnation
	firstClock       time.Duration // the first reading of this incarnation
	leaseEnd         time.Time     // no lease that was granted by its present clock lasts longer
	formerClockEnd   time.Time     // no lease that was granted by a former incarnation's clock lasts longer
	leaseEndReported bool          // the former leader reported reportedLeaseEnd
	reportedLeaseEnd time.Time
	// unansweredStarts are the recent start orders without an answer, see lateorders.go.
	unansweredStarts   []unansweredStart
	pollInFlight       bool
	nextPollAt         time.Time
	failedPolls        int           // consecutive polls without an answer
	absent             bool          // the last poll was refused, or answered by another worker
	polledLease        time.Duration // of the poll in flight: Poll.LeaseUntil
	leaseHeldUntil     time.Time     // the last lease that is known to be granted doesn't end before
	hold               trialHold
	lastReply          time.Time
	answeredPollSentAt time.Time     // when the last answered poll was sent
	replyInterval      time.Duration // between the last two answers
	health             health
	isSlow             bool
	bestEffortPace     int // speed of its best-effort tasks in percent
	paceSetAt          time.Time
}

const (
	// pollWait is how long a worker may hold back its answer while no run ends. The
	// loss of a poll, and of the results that it would have returned, is noticed only
	// after this time.
	pollWait = 700 * time.Millisecond
	// pollRetryDelay is the pause after a failed poll. The first retry is sent at
	// once, as possibly only the answer was lost.
	pollRetryDelay = 300 * time.Millisecond
	// urgentLeaseRemaining is the remaining time of a lease below which the worker is
	// polled to renew it even if handled results aren't stored yet.
	urgentLeaseRemaining = 3 * time.Second
	// suspendAfter is the number of consecutive failed polls (1.5 s and more) after
	// which a worker is recorded as suspended. No leader renews a lease on a
	// suspended worker, so the next leader knows when its runs are over. When the
	// worker is reached again, a new record is stored before its leases are renewed,
	// unless no batch has taken the suspended one.
	// A worker that was not read is suspended only when the leases of former leaders,
	// who may renew them, last no longer than one that is granted now.
	suspendAfter = 3
	// maxSuspensionProofAge is the age of the confirmation from which a suspended worker
	// isn't recorded: a record that the store doesn't take can't be withdrawn when the
	// worker is reached again. It is the least time of suspendAfter failed polls.
	maxSuspensionProofAge = 1500 * time.Millisecond
	// unreachableAfter is the number of consecutive failed polls after which a worker
	// gets no new tasks.
	unreachableAfter = 1
	// maxClockAge is the age of its clock reading at which a worker without runs is
	// polled. Until then a lease can be up to 0.6 s shorter than Options.Lease.
	maxClockAge = 30 * time.Second
)

// placeable reports whether the worker is listed and not draining.
func (w *worker) placeable() bool { return w.listed && !w.Draining }

// usable reports whether new tasks can be placed on the worker now. A restarted worker may have
// another capacity and other labels than the entry of its former incarnation says.
func (w *worker) usable() bool {
	return w.placeable() && w.listsRead && w.recordStored && !w.stale && w.failedPolls < unreachableAfter && !w.hasUnknownRuns && w.Incarnation == w.observedIncarnation
}

func (w *worker) free() job.Demand { return w.Capacity.Minus(w.used) }

// overCapacity reports whether the worker's capacity has shrunk below what its runs reserve.
func (w *worker) overCapacity() bool { return !w.used.Fits(w.Capacity) }

// rack returns the last label of the worker, which is the name of its rack.
func (w *worker) rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

func (w *worker) target() Target { return Target{ID: w.ID, Address: w.Address} }

// sendDuePolls sends the polls that are due.
func (s *Shard) sendDuePolls(now time.Time) {
	for _, w := range s.sortedWorkers {
		if w.pollInFlight || now.Before(w.nextPollAt) {
			continue
		}
		needsReport := !w.listsRead || w.stale || w.hasUnknownRuns && len(w.runs) == 0
		resultsStored := w.storedResult == w.handledResult
		urgent := len(w.runs) > 0 && w.leaseEnd.Sub(now) < urgentLeaseRemaining
		switch {
		case needsReport:
			if !w.listed && now.After(w.leaseEnd) && len(w.runs) == 0 {
				continue
			}
			s.sendPoll(w, Poll{Target: w.target()})
		case len(w.runs) > 0 && (resultsStored || urgent):
			poll := Poll{Target: w.target(), AckThrough: w.storedResult, Wait: pollWait}
			if !resultsStored || w.hasNewlyConfirmedStop() {
				poll.Wait = 0
			}
			if s.authority && w.recordStored {
				poll.LeaseUntil = s.extendLease(now, w)
			}
			s.sendPoll(w, poll)
		case len(w.runs) == 0 && s.witnessPollDue(now, w):
			s.sendPoll(w, Poll{Target: w.target(), AckThrough: w.storedResult})
		case len(w.runs) == 0 && w.storedResult > w.acknowledgedResult && resultsStored:
			s.sendPoll(w, Poll{Target: w.target(), AckThrough: w.storedResult})
		case len(w.runs) == 0 && w.placeable() && now.Sub(w.clockReadAt) >= maxClockAge:
			s.sendPoll(w, Poll{Target: w.target(), AckThrough: w.storedResult})
		}
	}
}

// hasNewlyConfirmedStop reports whether a stop was confirmed since the last answered
// poll was sent. The next poll then has to be answered at once: if the worker never had
// the run, no result would end a waiting poll, and only a report shows that the run
// isn't there. If the worker has the run, its result ends the waiting poll that follows.
func (w *worker) hasNewlyConfirmedStop() bool {
	for _, r := range w.runs {
		if (r.phase == phaseStopping || r.phase == phaseUncertain) && !r.stopConfirmedAt.IsZero() && !r.stopConfirmedAt.Before(w.answeredPollSentAt) {
			return true
		}
	}
	return false
}

func (s *Shard) sendPoll(w *worker, poll Poll) {
	w.pollInFlight, w.polledLease, w.inFlightAck = true, poll.LeaseUntil, poll.AckThrough
	s.commands.Polls = append(s.commands.Polls, poll)
}

// Report is a worker's answer to a Poll.
type Report struct {
	// PolledAt is when the poll was sent, on a clock of the leader that goes on while its VM is
	// suspended.
	PolledAt    time.Duration
	Incarnation int64
	Clock       time.Duration // reading of the worker's clock
	Running     []RunStatus
	Ended       []RunResult // results that aren't acknowledged yet, the oldest first
	// ResultsIncomplete means that the worker may have further results.
	ResultsIncomplete bool
}

// RunStatus is the state of a run that is on the worker.
type RunStatus struct {
	RunKey
	Checkpoint string  // the newest one; empty if there is none
	Percent    float64 // progress from 0 to 100
	// Usage is the tail latency of a serving task in milliseconds; of any other
	// task it is the CPU use in thousandths of a core.
	Usage float64
}

// RunResult is the result of a run that has ended.
type RunResult struct {
	RunKey
	Sequence   int64 // rises with each result of an incarnation of the worker
	EndReason  EndReason
	Checkpoint string
}

// EndReason says why a run has ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed"
	EndGangFailed     EndReason = "broken" // another member of its gang failed
	EndGangIncomplete EndReason = "alone"  // its gang did not become complete in time
)

// PollFailed handles a Poll of the worker with this ID that had no answer or was
// refused. The cause is only logged.
func (s *Shard) PollFailed(now time.Time, id string, failure PollFailure, cause string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.pollInFlight = false
	w.failedPolls++
	w.absent = failure != NoAnswer
	if failure == WorkerReplaced && !w.Draining {
		s.recordLoss(now, w, now, Report{})
	}
	w.stale = true
	w.nextPollAt = now
	if w.failedPolls > 1 {
		w.nextPollAt = now.Add(pollRetryDelay)
	}
	s.placementChanged = true
	s.sendPolledTrials(now, w)
	if w.failedPolls >= suspendAfter && w.recordStored && (w.listsRead || !s.formerLeaseEnd(w).After(now.Add(s.leaseLength()))) {
		w.recordStored, w.suspended = false, true
	}
	if w.suspended && !w.suspensionTaken && now.Sub(s.confirmedAt) < maxSuspensionProofAge {
		s.markWorkerDirty(w)
	}
	if w.failedPolls == 1 {
		s.options.Log("worker-unreachable", "worker", id, "runs", len(w.runs), "lease-left", w.leaseEnd.Sub(now), "cause", cause)
	}
}

// PollAnswered handles the report of the worker with this ID in answer to a Poll that
// was sent at sentAt.
func (s *Shard) PollAnswered(now, sentAt time.Time, id string, report Report) {
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
	w.failedPolls, w.absent, w.lastReply, w.answeredPollSentAt, w.polledAt = 0, false, now, sentAt, report.PolledAt
	if w.suspended {
		w.suspended = false
		if w.suspensionTaken {
			s.markWorkerDirty(w) // its leases are renewed once this record is stored
		} else {
			w.recordStored = true
		}
	}
	w.acknowledgedResult = max(w.acknowledgedResult, w.inFlightAck)
	w.previousClock, w.clock, w.clockReadAt = w.clock, report.Clock, now
	if w.polledLease > 0 && report.Incarnation == w.observedIncarnation {
		w.leaseHeldUntil = maxTime(w.leaseHeldUntil, w.earliestLeaseEnd(w.polledLease))
	}
	w.nextPollAt = now
	firstAnswer, handledBefore := !w.listsRead, w.handledResult
	if report.Incarnation != w.observedIncarnation {
		granted := w.leaseEnd
		if firstAnswer { // a former leader may have granted the last one just now
			granted = now.Add(s.leaseLength())
		}
		w.formerClockEnd = granted.Add(s.restartedLeaseExtension())
		s.handleRestart(now, w, report)
	}
	if firstAnswer {
		w.firstClock = report.Clock
	}
	w.listsRead, w.stale = true, false
	if firstAnswer {
		s.countRecordedRead(now, w)
		s.recordIfPlaceable(w)
		// The worker now refuses the orders of former leaders by their fencing
		// tokens, so no lease lasts longer than one that was granted just now.
		w.leaseEnd = now.Add(s.longestLeaseLeft())
	}
	for _, result := range report.Ended {
		s.handleResult(now, w, result)
	}
	w.resultsIncomplete = report.ResultsIncomplete
	if !w.resultsIncomplete {
		s.removeUnlistedResults(w)
	}
	s.reconcileRuns(now, sentAt, w, report.Running)
	s.adjustPace(now, w)
	s.sendPolledTrials(now, w)
	if firstAnswer {
		s.options.Log("worker-read", "worker", id, "running", len(report.Running), "ended", len(report.Ended), "born", report.Incarnation,
			"handled", handledBefore, "after", now.Sub(s.loadedAt))
	}
	s.checkRecovered(now)
}

// reconcileRuns updates the runs of a worker to match the list of runs that it reported in
// answer to a poll that was sent at sentAt.
func (s *Shard) reconcileRuns(now, sentAt time.Time, w *worker, statuses []RunStatus) {
	listed := make(map[RunKey]*RunStatus, len(statuses))
	for i := range statuses {
		listed[statuses[i].RunKey] = &statuses[i]
	}
	for _, r := range slices.Clone(w.runs) {
		key := RunKey{r.task.name(), r.number}
		status := listed[key]
		delete(listed, key)
		switch {
		case status != nil:
			s.updateRun(now, r, status)
		case w.resultsIncomplete: // its result may not be listed yet
			r.progressedAt, r.provedAt = now, now
		case r.loaded: // the worker refuses a later order of the former leader
			s.removeRun(now, r, "not-listed")
		// A run is over if a report doesn't list it although the poll was sent after
		// the start or the stop of the run was confirmed.
		case (r.phase == phaseRunning || r.phase == phaseStopping) && !r.startedAt.IsZero() && r.startedAt.Before(sentAt):
			s.removeRun(now, r, "not-listed")
		case (r.phase == phaseStopping || r.phase == phaseUncertain) && !r.stopConfirmedAt.IsZero() && r.stopConfirmedAt.Before(sentAt):
			s.removeRun(now, r, "stopped")
		case r.orderExpired():
			s.endExpiredRun(now, r)
		}
	}
	w.hasUnknownRuns = false
	for i := range statuses {
		if status := listed[statuses[i].RunKey]; status != nil {
			s.adoptRun(now, w, status)
		}
	}
}

// updateRun updates a known run from a worker's report.
func (s *Shard) updateRun(now time.Time, r *run, status *RunStatus) {
	r.loaded = false
	if r.phase == phaseStarting || r.phase == phaseUncertain {
		if r.stopRequested {
			r.phase = phaseStopping
			s.sendStop(now, r)
		} else {
			s.markRunning(now, r)
		}
	}
	s.updateSurvival(now, r)
	r.usage = status.Usage
	s.updateProgress(now, r, status)
	r.updateProof(now, status)
	r.task.saveCheckpoint(r.number, status.Checkpoint)
}

// adoptRun takes over a listed run that this leader doesn't know, such as one that a
// former leader started.
func (s *Shard) adoptRun(now time.Time, w *worker, status *RunStatus) {
	key, err := parseTask(status.Task)
	if err != nil {
		s.options.Log("foreign-run", "worker", w.ID, "task", status.Task, "cause", err)
		return
	}
	t := s.restoreTask(now, key)
	if t == nil {
		w.hasUnknownRuns = true
		s.options.Log("unknown-run", "worker", w.ID, "task", status.Task, "run", status.Run)
		s.commands.Stops = append(s.commands.Stops, Stop{RunKey: status.RunKey, Target: w.target()})
		w.nextPollAt = now.Add(pollRetryDelay)
		return
	}
	// When the run started isn't known. Most are beyond their start, and a run that isn't
	// known to be at it must not make its task suspected.
	r := &run{
		task: t, number: status.Run, worker: w, phase: phaseRunning, orderedAt: now, startedAt: now, progressedAt: now, provedAt: now, pace: paceUnknown, mayJump: true, survivedStart: true,
	}
	s.attachRun(r)
	t.lastRunNumber = max(t.lastRunNumber, status.Run)
	s.markJobStarted(t.step.occurrence.job)
	s.updateRun(now, r, status)
	s.options.Log("run-adopted", "task", status.Task, "run", status.Run, "worker", w.ID, "percent", status.Percent)
	j := t.step.occurrence.job
	runNumbersDiffer := t.step.spec.Gang && s.gangRunNumbersDiffer(t.step)
	// The run is stopped if it isn't needed, is a second run of a task that isn't
	// speculative, or belongs to another attempt than the rest of its gang.
	if t.done || j.state.Ended() || runNumbersDiffer || len(t.runs) > 1 && !t.step.spec.Speculative {
		s.stopRun(now, r)
	}
}

// gangRunNumbersDiffer reports whether the gang has runs of different attempts, which
// have different run numbers.
func (s *Shard) gangRunNumbersDiffer(st *step) bool {
	runNumber := int64(0)
	for _, t := range st.tasks {
		for _, r := range t.runs {
			if runNumber != 0 && r.number != runNumber {
				return true
			}
			runNumber = r.number
		}
	}
	return false
}
