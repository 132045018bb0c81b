package control

import (
	"fmt"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Limits and intervals of durable jobs.
const (
	maxOpenJobs  = 100_000
	maxEndedJobs = 50_000
	// logRetryAfter is the delay after which a caller should retry a job that
	// was refused because the log is down. It is also the interval at which a
	// home appends its HomeBegan record until it has read the record back.
	logRetryAfter = 5 * time.Second
	// recordRetryInterval is the interval between two checks of the pending
	// records, and of the ranges with open jobs.
	recordRetryInterval = time.Second
	// appendAgainAfter is how long a record may be in transit before it is
	// appended again. Readers ignore a second copy.
	appendAgainAfter = 15 * time.Second
)

// jobTable holds the durable jobs of all ranges as read from the log, so that a
// new home knows them at once.
type jobTable struct {
	open map[workload.Key]*JobAccepted
	// openByRange counts the open jobs of each range.
	openByRange map[tenure.Range]int
	checkedAt   time.Time
	// order lists the keys of open and ended jobs in log order.
	order []workload.Key
	// ended holds the keys of ended jobs. A second acceptance record, written
	// by a retry, then does not reopen a job.
	ended      map[workload.Key]bool
	endedOrder []workload.Key
	// pendingRecords are the entries whose acceptance or end record was not
	// read back yet.
	pendingRecords []*entry
	retriedAt      time.Time
}

func newJobTable() jobTable {
	return jobTable{openByRange: map[tenure.Range]int{}, open: map[workload.Key]*JobAccepted{}, ended: map[workload.Key]bool{}}
}

func (j *JobAccepted) homeRange() tenure.Range {
	return tenure.Range{Region: j.Region, Team: j.Request.Team}
}

func acceptIdentity(key workload.Key) string { return "accepted/" + string(key) }
func endIdentity(key workload.Key) string    { return "ended/" + string(key) }

// acceptJob appends a job's acceptance record. The job is acknowledged and
// queued once the record was read back.
func (n *Node) acceptJob(h *home, e *entry) {
	if !n.log.Up {
		if e.request.HoldInOutage {
			e.setWaiting(n.now, "log: it can't be written to")
			n.addPendingRecord(e)
			return
		}
		n.refuseLogDown(h, e)
		return
	}
	n.appendAcceptance(e)
}

func (n *Node) appendAcceptance(e *entry) {
	e.appending, e.appendedAt = true, n.now
	e.appendCount++
	n.addPendingRecord(e)
	e.setWaiting(n.now, "log: its record is being written")
	n.emit(&AppendRecord{Identity: acceptIdentity(e.request.Key), Accepted: &JobAccepted{
		Request: e.request, Region: n.rangeOf(e.request.Team, e.request.Region).Region, At: e.acceptedAt,
	}})
}

// recordRead handles a record of the log, in log order.
func (n *Node) recordRead(in *RecordRead) {
	switch {
	case in.Accepted != nil:
		n.jobAccepted(in.Accepted)
	case in.Ended != nil:
		n.jobEnded(in.Ended)
	case in.Began != nil:
		n.homeBegan(in.Began)
	}
}

// appendHomeRecord appends the HomeBegan record. When this node reads the
// record back, it has read everything that former homes of the range wrote.
func (n *Node) appendHomeRecord(h *home) {
	h.homeRecordSentAt = n.now
	if n.overrides.skipReadBack {
		h.jobsKnown = true
		n.adoptJobs(h)
	}
	n.emit(&AppendRecord{
		Identity: fmt.Sprintf("began/%s/%s/%d/%s", h.homeRange.Region, h.homeRange.Team, h.leaseNumber.Timestamp, h.leaseNumber.Node),
		Began:    &HomeBegan{Region: h.homeRange.Region, Team: h.homeRange.Team, Lease: h.leaseNumber},
	})
}

func (n *Node) homeBegan(record *HomeBegan) {
	h := n.homes[tenure.Range{Region: record.Region, Team: record.Team}]
	if h == nil || h.jobsKnown || h.leaseSince.IsZero() {
		return
	}
	if record.Lease.Node == n.options.Name && record.Lease.Compare(h.recovery.firstNumber) >= 0 {
		h.jobsKnown = true
		n.adoptJobs(h)
		if h.recovery.complete {
			n.queueUnresolved(h)
		}
	}
}

func (n *Node) jobAccepted(record *JobAccepted) {
	key := record.Request.Key
	first := n.jobs.open[key] == nil && !n.jobs.ended[key]
	if first && len(n.jobs.open) >= maxOpenJobs {
		n.event(EventBoundReached, "open-jobs", "too many open jobs: this node does not track a durable job")
		return
	}
	if first {
		n.jobs.open[key] = record
		n.jobs.openByRange[record.homeRange()]++
		n.jobs.order = append(n.jobs.order, key)
	}
	r := tenure.Range{Region: record.Region, Team: record.Request.Team}
	h := n.homes[r]
	if h == nil && n.homeOf(r) == n.options.Name {
		h = n.homeFor(r)
	}
	if h == nil {
		return
	}
	e := h.entries[key]
	switch {
	case n.jobs.ended[key]:
		if e != nil && e.appending && !e.ended() {
			n.jobEndedBefore(h, e)
		}
	case h.jobsKnown && (first || e != nil), e != nil && e.appending:
		n.adoptJob(h, record)
	}
}

// jobEndedBefore ends a job that was submitted again after its end, when the
// home no longer had its answer.
func (n *Node) jobEndedBefore(h *home, e *entry) {
	for _, front := range e.fronts {
		n.send(front.Name, &Answered{Key: e.request.Key, Accepted: true})
	}
	e.fronts, e.mayHaveRun, e.appending = nil, true, false
	n.refuseEntry(h, e, outcomeUnknown("the job has ended and its answer is no longer kept"))
}

// adoptJobs takes over the open jobs of a range after all records of former
// homes were read.
func (n *Node) adoptJobs(h *home) {
	for _, key := range n.jobs.order {
		record := n.jobs.open[key]
		if record != nil && record.Region == h.homeRange.Region && record.Request.Team == h.homeRange.Team {
			n.adoptJob(h, record)
		}
	}
}

// adoptJob queues a job whose acceptance record was read. A job whose record
// this home did not write itself may have been started by another home.
func (n *Node) adoptJob(h *home, record *JobAccepted) {
	e := h.entries[record.Request.Key]
	switch {
	case e == nil:
		e = &entry{
			request: record.Request, digest: record.Request.Digest(), acceptedAt: record.At,
			durable: true, recorded: true, unresolved: true,
		}
		e.resetTasks(n.now, taskQueued)
		h.entries[e.request.Key] = e
		e.addEvent(record.At, "accepted", "read from the log")
		n.queueEntry(h, e)
	case e.incomplete():
		e.request, e.digest, e.durable, e.recorded = record.Request, record.Request.Digest(), true, true
		if e.ended() && !e.endRead {
			n.recordEnd(h, e)
		}
	case !e.recorded && !e.ended():
		e.recorded, e.appending = true, false
		if !h.jobsKnown && !h.coversKey(e.request.Key) {
			// The record may be from a former home, which may have started the
			// job.
			e.unresolved, e.mayHaveRun = true, true
		}
		if e.canceled && !e.unresolved {
			n.refuseEntry(h, e, workload.Refuse(workload.CodeCanceled, 0, "canceled before it started"))
			return
		}
		e.addEvent(n.now, "accepted", "its record was read back from the log")
		for _, front := range e.fronts {
			n.send(front.Name, &Answered{Key: e.request.Key, Accepted: true})
		}
		if e.state != workload.StateQueued {
			return // A worker's list has shown that the job runs.
		}
		n.queueEntry(h, e)
	}
}

func (n *Node) jobEnded(record *JobEnded) {
	if job := n.jobs.open[record.Key]; job != nil {
		delete(n.jobs.open, record.Key)
		if n.jobs.openByRange[job.homeRange()]--; n.jobs.openByRange[job.homeRange()] == 0 {
			delete(n.jobs.openByRange, job.homeRange())
		}
	}
	n.rememberEnded(record.Key)
	h := n.homes[tenure.Range{Region: record.Region, Team: record.Team}]
	if h == nil {
		return
	}
	e := h.entries[record.Key]
	if e == nil {
		return
	}
	e.endRead = true
	if !e.ended() {
		n.endAsRecorded(h, e, record)
	}
	for i := range e.tasks {
		if t := &e.tasks[i]; t.owner != "" {
			n.send(t.owner, &AcknowledgeAnswer{Task: t.id, Final: true})
		}
	}
}

// endAsRecorded ends an entry with the outcome in the log.
func (n *Node) endAsRecorded(h *home, e *entry, record *JobEnded) {
	e.answer, e.refusal = record.Answer, record.Refusal
	if e.refusal != nil && e.refusal.Run == workload.NotRun && (e.mayHaveRun || !n.mayAct(h)) {
		// Another home may have started the job since the refusal was written.
		refusal := *e.refusal
		refusal.Run, e.refusal = workload.MayHaveRun, &refusal
	}
	if e.answer == nil && e.refusal == nil {
		e.refusal = outcomeUnknown("the job has ended without an answer")
	}
	n.end(h, e, record.State)
}

// refuseJob refuses a recorded job that did not run. The refusal is sent once
// the end record was read back; until then another home could still start the
// job.
func (n *Node) refuseJob(h *home, e *entry, refusal *workload.Refusal) {
	if e.pendingRefusal != nil {
		return
	}
	e.pendingRefusal = refusal
	if e.queued {
		h.queue(e.request.Kind, KindRule{}).drop(e)
	}
	n.releaseQuota(h, e)
	h.gangs = slices.DeleteFunc(h.gangs, func(other *entry) bool { return other == e })
	if e.gang.reserving {
		n.releaseGang(h, e)
	}
	e.setWaiting(n.now, "log: its end is being written")
	n.recordEnd(h, e)
}

// addPendingRecord keeps an entry until its record was read back, so that a
// lost record is appended again.
func (n *Node) addPendingRecord(e *entry) {
	if !e.recordPending {
		e.recordPending = true
		n.jobs.pendingRecords = append(n.jobs.pendingRecords, e)
	}
}

func (n *Node) rememberEnded(key workload.Key) {
	if n.jobs.ended[key] {
		return
	}
	n.jobs.ended[key] = true
	n.jobs.endedOrder = append(n.jobs.endedOrder, key)
	if len(n.jobs.endedOrder) > maxEndedJobs {
		delete(n.jobs.ended, n.jobs.endedOrder[0])
		n.jobs.endedOrder = n.jobs.endedOrder[1:]
	}
	if len(n.jobs.order) > 2*len(n.jobs.open)+1024 {
		n.jobs.order = slices.DeleteFunc(n.jobs.order, func(key workload.Key) bool { return n.jobs.open[key] == nil })
	}
}

// recordEnd appends a durable job's end record.
func (n *Node) recordEnd(_ *home, e *entry) {
	e.appendedAt = n.now
	n.addPendingRecord(e)
	state, refusal := e.state, e.refusal
	if e.pendingRefusal != nil {
		state, refusal = workload.StateCanceled, e.pendingRefusal
	}
	n.emit(&AppendRecord{Identity: endIdentity(e.request.Key), Ended: &JobEnded{
		Key: e.request.Key, Region: n.rangeOf(e.request.Team, e.request.Region).Region, Team: e.request.Team,
		State: state, Answer: e.answer, Refusal: refusal, At: n.now,
	}})
}

// appendFailed handles the report that a record was definitely not written.
func (n *Node) appendFailed(in *AppendFailed) {
	for _, r := range n.sortedRanges() {
		h := n.homes[r]
		for _, e := range []*entry{h.entries[keyOfIdentity(in.Identity, "accepted/")], h.entries[keyOfIdentity(in.Identity, "ended/")]} {
			switch {
			case e == nil:
			case e.appending && !e.recorded && !e.ended():
				n.acceptanceFailed(h, e)
			default:
				e.appendedAt = time.Time{} // The record is appended again once the log is up.
			}
		}
	}
}

func (n *Node) acceptanceFailed(h *home, e *entry) {
	e.appending = false
	if e.appendCount--; e.appendCount > 0 {
		e.mayHaveRun = true // An earlier copy of the record may still be written.
	}
	if e.request.HoldInOutage {
		e.setWaiting(n.now, "log: it can't be written to")
		n.addPendingRecord(e)
		return
	}
	n.refuseLogDown(h, e)
}

// refuseLogDown refuses a job that can't be made durable and forgets it, so that
// the next attempt is a new request.
func (n *Node) refuseLogDown(h *home, e *entry) {
	delete(h.entries, e.request.Key)
	e.state = workload.StateRefused
	refusal := workload.Refuse(workload.CodeLogDown, logRetryAfter, "the log can't be written to, so the job can't be made durable")
	if e.mayHaveRun {
		refusal.Run = workload.MayHaveRun
	}
	for _, front := range e.fronts {
		n.refuseAtFront(front.Name, e.request.Key, front.Try, refusal)
	}
}

func keyOfIdentity(identity, prefix string) workload.Key {
	if len(identity) > len(prefix) && identity[:len(prefix)] == prefix {
		return workload.Key(identity[len(prefix):])
	}
	return ""
}

// logState handles a change of the log's state. tickJobs then appends the
// pending records.
func (n *Node) logState(in *LogState) {
	if in.Up != n.log.Up {
		event := EventLogDown
		if in.Up {
			event = EventLogUp
		}
		n.event(event, "log", "")
	}
	n.log = *in
}

// ensureJobHomes makes this node the home of ranges with open jobs for which it
// is the preferred home, even without new requests.
func (n *Node) ensureJobHomes() {
	if n.now.Sub(n.jobs.checkedAt) < recordRetryInterval {
		return
	}
	n.jobs.checkedAt = n.now
	ranges := make([]tenure.Range, 0, len(n.jobs.openByRange))
	for r := range n.jobs.openByRange {
		ranges = append(ranges, r)
	}
	slices.SortFunc(ranges, tenure.Range.Compare)
	for _, r := range ranges {
		n.existingOrPreferredHome(r)
	}
}

// tickJobs appends pending records while the log is up.
func (n *Node) tickJobs() {
	n.ensureJobHomes()
	if !n.log.Up || len(n.jobs.pendingRecords) == 0 || n.now.Sub(n.jobs.retriedAt) < recordRetryInterval {
		return
	}
	n.jobs.retriedAt = n.now
	n.jobs.pendingRecords = slices.DeleteFunc(n.jobs.pendingRecords, func(e *entry) bool {
		h := n.homes[n.rangeOf(e.request.Team, e.request.Region)]
		// Nothing is pending for an entry that has left its table, that ended
		// before its acceptance was recorded, or whose record was read back.
		if h == nil || h.entries[e.request.Key] != e || e.endRead || (e.ended() && !e.recorded) || (e.recorded && !e.ended() && e.pendingRefusal == nil) {
			e.recordPending = false
			return true
		}
		if n.now.Sub(e.appendedAt) < appendAgainAfter {
			return false
		}
		if e.recorded {
			n.recordEnd(h, e)
		} else {
			n.appendAcceptance(e)
		}
		return false
	})
}
