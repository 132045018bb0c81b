package control

import (
	"fmt"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Bounds and times of durable jobs.
const (
	maxOpenJobs     = 100_000
	maxEndedJobs    = 50_000
	logRetryAfter   = 5 * time.Second
	endRecordsEvery = time.Second
	// appendAgainAfter is how long a record may be on its way before it is
	// written again; readers pass over a second copy.
	appendAgainAfter = 15 * time.Second
)

// jobTable holds what the log says of durable jobs, of every range, so that a
// new home has them at hand.
type jobTable struct {
	open map[workload.Key]*JobAccepted
	// openIn counts the open jobs of each range.
	openIn    map[tenure.Range]int
	checkedAt time.Time
	// order lists open and ended jobs in the order of the log.
	order []workload.Key
	// ended remembers ended keys, so that a second acceptance record, written by
	// a retry, does not open a job again.
	ended      map[workload.Key]bool
	endedOrder []workload.Key
	// unrecorded are ends whose append failed.
	unrecorded []*entry
	retriedAt  time.Time
}

func newJobTable() jobTable {
	return jobTable{openIn: map[tenure.Range]int{}, open: map[workload.Key]*JobAccepted{}, ended: map[workload.Key]bool{}}
}

func (j *JobAccepted) place() tenure.Range {
	return tenure.Range{Region: j.Region, Team: j.Request.Team}
}

func acceptIdentity(key workload.Key) string { return "accepted/" + string(key) }
func endIdentity(key workload.Key) string    { return "ended/" + string(key) }

// acceptJob writes a job's record; the job is acknowledged and queued once the
// record was read back.
func (n *Node) acceptJob(h *home, e *entry) {
	if !n.log.Up {
		if e.request.HoldInOutage {
			e.wait(n.now, "log: it can't be written to")
			n.keepUnwritten(e)
			return
		}
		n.logDown(h, e)
		return
	}
	n.appendAcceptance(e)
}

func (n *Node) appendAcceptance(e *entry) {
	e.appending, e.appendedAt = true, n.now
	e.appends++
	n.keepUnwritten(e)
	e.wait(n.now, "log: its record is being written")
	n.emit(&AppendRecord{Identity: acceptIdentity(e.request.Key), Accepted: &JobAccepted{
		Request: e.request, Region: n.rangeOf(e.request.Team, e.request.Region).Region, At: e.acceptedAt,
	}})
}

// recordRead takes a record of the log, in the log's order.
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

// announceHome writes the record that tells this node, when it is read back,
// that it has read what former homes of the range wrote.
func (n *Node) announceHome(h *home) {
	h.askedLog = n.now
	if n.guards.skipReadBack {
		h.jobsKnown = true
		n.adoptJobs(h)
	}
	n.emit(&AppendRecord{
		Identity: fmt.Sprintf("began/%s/%s/%d/%s", h.place.Region, h.place.Team, h.number.Timestamp, h.number.Node),
		Began:    &HomeBegan{Region: h.place.Region, Team: h.place.Team, Lease: h.number},
	})
}

func (n *Node) homeBegan(record *HomeBegan) {
	h := n.homes[tenure.Range{Region: record.Region, Team: record.Team}]
	if h == nil || h.jobsKnown || h.leaseSince.IsZero() {
		return
	}
	if record.Lease.Node == n.options.Name && record.Lease.Compare(h.recovery.first) >= 0 {
		h.jobsKnown = true
		n.adoptJobs(h)
		if h.recovery.complete {
			n.releaseSuspects(h)
		}
	}
}

func (n *Node) jobAccepted(record *JobAccepted) {
	key := record.Request.Key
	first := n.jobs.open[key] == nil && !n.jobs.ended[key]
	if first && len(n.jobs.open) >= maxOpenJobs {
		n.event(EventBoundReached, "open-jobs", "a durable job is not tracked by this node")
		return
	}
	if first {
		n.jobs.open[key] = record
		n.jobs.openIn[record.place()]++
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

// jobEndedBefore closes a job that was submitted again after its end, when its
// answer was no longer in the home's table.
func (n *Node) jobEndedBefore(h *home, e *entry) {
	for _, front := range e.fronts {
		n.send(front.Name, &Answered{Key: e.request.Key, Accepted: true})
	}
	e.fronts, e.mayHaveRun, e.appending = nil, true, false
	n.refuseEntry(h, e, outcomeUnknown("the job has ended and its answer is no longer kept"))
}

// adoptJobs takes over the open jobs of a range that this node is new to.
func (n *Node) adoptJobs(h *home) {
	for _, key := range n.jobs.order {
		record := n.jobs.open[key]
		if record != nil && record.Region == h.place.Region && record.Request.Team == h.place.Team {
			n.adoptJob(h, record)
		}
	}
}

// adoptJob queues a job whose record was read. One that this home has not
// written itself may have been started by another home.
func (n *Node) adoptJob(h *home, record *JobAccepted) {
	e := h.entries[record.Request.Key]
	switch {
	case e == nil:
		e = &entry{
			request: record.Request, digest: record.Request.Digest(), acceptedAt: record.At,
			durable: true, recorded: true, suspect: true,
		}
		e.resetTasks(n.now, taskQueued)
		h.entries[e.request.Key] = e
		e.note(record.At, "accepted", "read from the log")
		n.queueEntry(h, e)
	case e.listedOnly():
		e.request, e.digest, e.durable, e.recorded = record.Request, record.Request.Digest(), true, true
		if e.ended() && !e.endRead {
			n.recordEnd(h, e)
		}
	case !e.recorded && !e.ended():
		e.recorded, e.appending = true, false
		if !h.jobsKnown && !h.knowsAllSince(e.request.Key) {
			// The record may be a former home's, which may have started the job.
			e.suspect, e.mayHaveRun = true, true
		}
		if e.canceled && !e.suspect {
			n.refuseEntry(h, e, workload.Refuse(workload.CodeCanceled, 0, "canceled before it started"))
			return
		}
		e.note(n.now, "accepted", "its record was read back from the log")
		for _, front := range e.fronts {
			n.send(front.Name, &Answered{Key: e.request.Key, Accepted: true})
		}
		if e.state != workload.StateQueued {
			return // A list has shown that it runs.
		}
		n.queueEntry(h, e)
	}
}

func (n *Node) jobEnded(record *JobEnded) {
	if job := n.jobs.open[record.Key]; job != nil {
		delete(n.jobs.open, record.Key)
		if n.jobs.openIn[job.place()]--; n.jobs.openIn[job.place()] == 0 {
			delete(n.jobs.openIn, job.place())
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

// endAsRecorded ends an entry as the log says.
func (n *Node) endAsRecorded(h *home, e *entry, record *JobEnded) {
	e.answer, e.refusal = record.Answer, record.Refusal
	if e.refusal != nil && e.refusal.Run == workload.NotRun && (e.mayHaveRun || !n.mayAct(h)) {
		// The job was started, or could be, by another home since the refusal
		// was written.
		refusal := *e.refusal
		refusal.Run, e.refusal = workload.MayHaveRun, &refusal
	}
	if e.answer == nil && e.refusal == nil {
		e.refusal = outcomeUnknown("the job has ended without an answer")
	}
	n.end(h, e, record.State)
}

// refuseJob ends a recorded job that did not run. The refusal is told once the
// end was read back: before, another home could still start the job.
func (n *Node) refuseJob(h *home, e *entry, refusal *workload.Refusal) {
	if e.ending != nil {
		return
	}
	e.ending = refusal
	if e.queued {
		h.queue(e.request.Kind, KindRule{}).drop(e)
	}
	n.uncount(h, e)
	h.gangs = slices.DeleteFunc(h.gangs, func(other *entry) bool { return other == e })
	if e.gang.reserving {
		n.releaseGang(h, e)
	}
	e.wait(n.now, "log: its end is being written")
	n.recordEnd(h, e)
}

// keepUnwritten keeps an entry until its record was read back, so that a record
// that was lost on the way is written again.
func (n *Node) keepUnwritten(e *entry) {
	if !e.unwritten {
		e.unwritten = true
		n.jobs.unrecorded = append(n.jobs.unrecorded, e)
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

// recordEnd writes a durable job's end.
func (n *Node) recordEnd(_ *home, e *entry) {
	e.appendedAt = n.now
	n.keepUnwritten(e)
	state, refusal := e.state, e.refusal
	if e.ending != nil {
		state, refusal = workload.StateCanceled, e.ending
	}
	n.emit(&AppendRecord{Identity: endIdentity(e.request.Key), Ended: &JobEnded{
		Key: e.request.Key, Region: n.rangeOf(e.request.Team, e.request.Region).Region, Team: e.request.Team,
		State: state, Answer: e.answer, Refusal: refusal, At: n.now,
	}})
}

// appendFailed takes the news that a record was certainly not written.
func (n *Node) appendFailed(in *AppendFailed) {
	for _, r := range n.sortedRanges() {
		h := n.homes[r]
		for _, e := range []*entry{h.entries[keyOf(in.Identity, "accepted/")], h.entries[keyOf(in.Identity, "ended/")]} {
			switch {
			case e == nil:
			case e.appending && !e.recorded && !e.ended():
				n.acceptanceFailed(h, e)
			default:
				e.appendedAt = time.Time{} // It is written again once the log is up.
			}
		}
	}
}

func (n *Node) acceptanceFailed(h *home, e *entry) {
	e.appending = false
	if e.appends--; e.appends > 0 {
		e.mayHaveRun = true // An earlier copy of the record may still be written.
	}
	if e.request.HoldInOutage {
		e.wait(n.now, "log: it can't be written to")
		n.keepUnwritten(e)
		return
	}
	n.logDown(h, e)
}

// logDown refuses a job that can't be made durable and forgets it, so that the
// next attempt is judged anew.
func (n *Node) logDown(h *home, e *entry) {
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

func keyOf(identity, prefix string) workload.Key {
	if len(identity) > len(prefix) && identity[:len(prefix)] == prefix {
		return workload.Key(identity[len(prefix):])
	}
	return ""
}

// logState takes the state of the log and, when it is back, writes what could
// not be written.
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

// keepHomes makes this node the home of ranges with open jobs for which it is
// first choice, also if nothing else names them.
func (n *Node) keepHomes() {
	if n.now.Sub(n.jobs.checkedAt) < endRecordsEvery {
		return
	}
	n.jobs.checkedAt = n.now
	ranges := make([]tenure.Range, 0, len(n.jobs.openIn))
	for r := range n.jobs.openIn {
		ranges = append(ranges, r)
	}
	slices.SortFunc(ranges, tenure.Range.Compare)
	for _, r := range ranges {
		n.wantedHome(r)
	}
}

// tickJobs writes held records once the log is up.
func (n *Node) tickJobs() {
	n.keepHomes()
	if !n.log.Up || len(n.jobs.unrecorded) == 0 || n.now.Sub(n.jobs.retriedAt) < endRecordsEvery {
		return
	}
	n.jobs.retriedAt = n.now
	n.jobs.unrecorded = slices.DeleteFunc(n.jobs.unrecorded, func(e *entry) bool {
		h := n.homes[n.rangeOf(e.request.Team, e.request.Region)]
		if h == nil || h.entries[e.request.Key] != e || e.endRead || (e.ended() && !e.recorded) || (e.recorded && !e.ended() && e.ending == nil) {
			e.unwritten = false
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
