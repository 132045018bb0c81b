package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Intervals and limits of the owner role.
const (
	// openRetryInterval is the interval between two attempts to open a session.
	openRetryInterval = 250 * time.Millisecond
	// rebalanceInterval is the least time between two sessions that this node
	// gives to a preferred member. A moved worker counts for no home lease
	// until the new owner's promises are valid (2.2 s), so moving workers
	// faster would end leases.
	rebalanceInterval = 3 * time.Second
	// ownershipCheckInterval is the interval between two checks of which
	// sessions this node should hold.
	ownershipCheckInterval = 250 * time.Millisecond
	// scheduleLimit limits the engine's decisions in one step.
	scheduleLimit = 256
	// keptResultsPerWorker limits the acknowledged results that are kept for
	// callers that reconnect.
	keptResultsPerWorker = 64
	// assignmentValidity is how long an assignment may wait without a query
	// from its home. A home without its lease sends no queries, so that its
	// assignments expire before a successor starts the same requests. This also
	// holds at an owner that was paused and reopens its sessions.
	assignmentValidity = 2500 * time.Millisecond
	// resultRepeatLimit is how long an unacknowledged result is sent again.
	resultRepeatLimit = 10 * time.Minute
)

// session is this node's exclusive right to place tasks on one worker.
type session struct {
	worker  placement.Worker
	token   uint64
	leaving bool
	// closing is set while the session is being moved to another member.
	closing bool
	// starting counts the tasks whose start is sent and neither confirmed nor
	// refused.
	starting    int
	keptResults []*ownerTask
	// otherPreferredSince is when another member became the preferred owner. It
	// is the current time while this node is the preferred one.
	otherPreferredSince time.Time
}

// ownerTaskState is the state of a task at its owner.
type ownerTaskState string

const (
	ownerTaskWaiting  ownerTaskState = "waiting"
	ownerTaskStarting ownerTaskState = "starting"
	ownerTaskRunning  ownerTaskState = "running"
	ownerTaskFinished ownerTaskState = "finished"
)

// ownerTask is a task at its owner.
type ownerTask struct {
	assignment Assignment
	payload    []byte
	state      ownerTaskState
	worker     string
	receivedAt time.Time
	// confirmedAt is when the home last confirmed the assignment with a query.
	confirmedAt       time.Time
	startedAt         time.Time
	result            *Result
	frontAcknowledged bool
	homeAcknowledged  bool
	// sentAt is when the result was last sent; repeats counts the times that it
	// was sent again.
	sentAt     time.Time
	repeats    int
	finishedAt time.Time
	keptAt     time.Time
}

type reservation struct {
	homeRange  tenure.Range
	enqueuedAt time.Time
	until      time.Time
}

type ownerRole struct {
	engine          *placement.Engine
	outcomes        *outcomes
	sessions        map[string]*session
	openRequestedAt map[string]time.Time
	tasks           map[placement.TaskID]*ownerTask
	fenced          map[placement.TaskID]bool
	// newestLeases holds, by range, the newest lease that a home has shown to
	// this owner.
	newestLeases map[tenure.Range]tenure.LeaseNumber
	fencedOrder  []placement.TaskID
	// lost holds the workers of tasks whose session has ended or whose result
	// was dropped, so that a home which missed the message is not told that the
	// task is unknown.
	lost           map[placement.TaskID]string
	lostOrder      []placement.TaskID
	reservations   map[workload.Key]*reservation
	unacknowledged []*ownerTask
	keptResults    []*ownerTask
	checkedAt      time.Time
	rebalancedAt   time.Time
}

func newOwnerRole(options Options) ownerRole {
	outcomes := &outcomes{}
	return ownerRole{
		outcomes:        outcomes,
		engine:          outcomes.newEngine(options.Seed),
		sessions:        map[string]*session{},
		openRequestedAt: map[string]time.Time{},
		tasks:           map[placement.TaskID]*ownerTask{},
		fenced:          map[placement.TaskID]bool{},
		newestLeases:    map[tenure.Range]tenure.LeaseNumber{},
		lost:            map[placement.TaskID]string{},
		reservations:    map[workload.Key]*reservation{},
	}
}

func (n *Node) sessionNames() []string {
	names := make([]string, 0, len(n.owner.sessions))
	for name := range n.owner.sessions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// fenceAttempt makes this owner refuse a late assignment of an attempt.
func (n *Node) fenceAttempt(id placement.TaskID) {
	if n.owner.fenced[id] || n.overrides.skipFencing {
		return
	}
	n.owner.fenced[id] = true
	n.owner.fencedOrder = append(n.owner.fencedOrder, id)
	if len(n.owner.fencedOrder) > maxFencedTasks {
		delete(n.owner.fenced, n.owner.fencedOrder[0])
		n.owner.fencedOrder = n.owner.fencedOrder[1:]
	}
}

// assign accepts a task from its home if the home's lease is the newest.
func (n *Node) assign(from string, m *Assign) {
	id := m.Assignment.Task.ID
	if known := n.owner.tasks[id]; known != nil {
		n.reportTask(from, known)
		return
	}
	if refusal := n.refusalReason(&m.Assignment, m.Lease); refusal != "" {
		n.returnTask(from, &m.Assignment, AssignReturned, refusal)
		return
	}
	task := m.Assignment.Task
	if m.StartWithin > 0 {
		task.StartBy = n.now.Add(m.StartWithin)
	}
	if rejection := n.owner.engine.Enqueue(n.now, task); rejection != nil {
		n.returnTask(from, &m.Assignment, AssignReturned, rejection.Message)
		return
	}
	m.Assignment.Task = task
	n.owner.tasks[id] = &ownerTask{assignment: m.Assignment, payload: m.Payload, state: ownerTaskWaiting, receivedAt: n.now, confirmedAt: n.now}
	n.schedule()
}

// refusalReason returns the reason why this node must not accept a task, or "".
func (n *Node) refusalReason(a *Assignment, lease tenure.LeaseNumber) string {
	switch {
	case n.draining:
		return "the owner is stopping"
	case n.owner.fenced[a.Task.ID]:
		return "the attempt was withdrawn"
	}
	if err := n.checkLease(a.Range(), lease); err != nil {
		n.event(EventAssignmentFenced, string(a.Task.ID.Key), err.Error())
		return "the home's lease was replaced"
	}
	return ""
}

// returnTask reports to a home that a task was not started and will not be.
func (n *Node) returnTask(home string, a *Assignment, state AssignState, reason string) {
	n.fenceAttempt(a.Task.ID)
	delete(n.owner.tasks, a.Task.ID)
	if home == "" {
		return // The next home queries the attempt.
	}
	n.send(home, &AssignResult{Task: a.Task.ID, Range: a.Range(), State: state, Reason: reason})
}

// sendToHolder sends a message to the current home of a range, if one is known.
func (n *Node) sendToHolder(r tenure.Range, message Message) {
	if home := n.holderOf(r); home != "" {
		n.send(home, message)
	}
}

// holderOf returns the node to notify about the tasks of a range: the newest
// known holder if it is live, since it may hold the lease after another member
// has become the preferred home, and otherwise the preferred home.
func (n *Node) holderOf(r tenure.Range) string {
	if holder := n.owner.newestLeases[r].Node; holder != "" && n.members.isLive(holder) {
		return holder
	}
	return n.homeOf(r)
}

// checkLease returns an error for a replaced lease, and stores the newest
// lease.
func (n *Node) checkLease(r tenure.Range, lease tenure.LeaseNumber) error {
	if err := n.tenure.Check(n.now, r, lease); err != nil && !n.overrides.acceptOldLeases {
		return err
	}
	if lease.Compare(n.owner.newestLeases[r]) > 0 && (len(n.owner.newestLeases) < tenure.MaxRanges || n.owner.newestLeases[r].Node != "") {
		n.owner.newestLeases[r] = lease
	}
	return nil
}

// schedule applies the decisions of the placement engine.
func (n *Node) schedule() {
	for _, decision := range n.owner.engine.Schedule(n.now, scheduleLimit) {
		n.applyDecision(decision)
	}
}

func (n *Node) applyDecision(decision placement.Decision) {
	t := n.owner.tasks[decision.Task.ID]
	switch decision.Verb {
	case placement.VerbStart:
		if t == nil {
			n.owner.engine.TaskEnded(n.now, decision.Task.ID, placement.Stopped)
			return
		}
		if n.now.Sub(t.confirmedAt) > assignmentValidity && !n.overrides.keepOldAssignments {
			t.worker = decision.Worker
			n.endTask(t, placement.Stopped)
			n.returnTask(n.holderOf(t.assignment.Range()), &t.assignment, AssignReturned, "its home did not ask after it in time")
			return
		}
		n.startOnWorker(t, decision.Worker)
	case placement.VerbExpire:
		if t != nil {
			reason := "its deadline passed at owner " + n.options.Name
			home := n.holderOf(t.assignment.Range())
			n.returnTask(home, &t.assignment, AssignExpired, reason)
		}
	case placement.VerbStop, placement.VerbCheckpoint, placement.VerbThrottle:
		if t != nil && t.state == ownerTaskRunning {
			n.preempt(t, decision)
		}
	}
}

func (n *Node) startOnWorker(t *ownerTask, worker string) {
	s := n.owner.sessions[worker]
	if s == nil {
		return
	}
	label, err := encodeMode.Marshal(&t.assignment)
	if err != nil {
		return
	}
	t.state, t.worker, t.startedAt = ownerTaskStarting, worker, n.now
	s.starting++
	task := &t.assignment.Task
	start := &StartTask{
		Worker: worker, Token: s.token, ID: task.ID, Label: label, Payload: t.payload,
		Requested: task.Resources, Connections: task.Connections,
	}
	if !task.StartBy.IsZero() {
		start.StartWithin = max(task.StartBy.Sub(n.now), time.Millisecond)
	}
	t.payload = nil
	n.emit(start)
}

// preempt stops, checkpoints or throttles a running task. The home retries a
// stopped or checkpointed task.
func (n *Node) preempt(t *ownerTask, decision placement.Decision) {
	s := n.owner.sessions[t.worker]
	if s == nil {
		return
	}
	n.emit(&StopTask{Worker: t.worker, Token: s.token, ID: decision.Task.ID, Verb: decision.Verb})
	if decision.Verb != placement.VerbThrottle {
		n.sendToHolder(t.assignment.Range(), &AssignResult{
			Task: decision.Task.ID, Range: t.assignment.Range(), State: AssignStarted, Worker: t.worker,
			Reason: decision.Reason, Preempting: true,
		})
	}
}

func (n *Node) taskStarted(in *TaskStarted) {
	t := n.owner.tasks[in.ID]
	s := n.owner.sessions[in.Worker]
	if t == nil || s == nil || s.token != in.Token || t.state != ownerTaskStarting {
		return
	}
	s.starting--
	t.state, t.startedAt = ownerTaskRunning, n.now
	n.reportTask(n.holderOf(t.assignment.Range()), t)
}

func (n *Node) startRefused(in *StartRefused) {
	t := n.owner.tasks[in.ID]
	s := n.owner.sessions[in.Worker]
	if t == nil || s == nil || s.token != in.Token || t.state != ownerTaskStarting {
		return
	}
	s.starting--
	n.endTask(t, placement.Stopped)
	n.returnTask(n.holderOf(t.assignment.Range()), &t.assignment, AssignReturned, "worker "+in.Worker+": "+in.Reason)
	n.schedule()
}

// reportTask reports the state of a task to its home.
func (n *Node) reportTask(home string, t *ownerTask) {
	if home == "" {
		return
	}
	result := &AssignResult{Task: t.assignment.Task.ID, Range: t.assignment.Range(), State: AssignWaiting, Worker: t.worker}
	switch t.state {
	case ownerTaskRunning:
		result.State = AssignStarted
	case ownerTaskFinished:
		t.sentAt = time.Time{}
		n.sendFinished(t)
		return
	}
	n.send(home, result)
}

// query answers a home that has not heard about its tasks for a while.
func (n *Node) query(from string, m *Query) {
	if n.checkLease(m.Range, m.Lease) != nil {
		return
	}
	for _, id := range m.Tasks {
		if t := n.owner.tasks[id]; t != nil {
			t.confirmedAt = n.now
			n.reportTask(from, t)
			continue
		}
		n.fenceAttempt(id)
		result := &AssignResult{
			Task: id, Range: m.Range, State: AssignUnknown, Incarnation: n.options.Incarnation,
			Reason: "owner " + n.options.Name + " does not know the attempt",
		}
		if worker, lost := n.owner.lost[id]; lost {
			result.State, result.Worker, result.Reason = AssignLost, worker, "the session with "+worker+" ended"
		}
		n.send(from, result)
	}
}

// reportAnswerGone reports to a home that a requested answer is no longer kept.
func (n *Node) reportAnswerGone(home string, m *Redirect) {
	n.send(home, &AssignResult{
		Task: m.Task, Range: m.Range, State: AssignGone, Reason: "the answer is not kept any more",
	})
}

// rememberLost stores the worker of a task whose session has ended or whose
// result was dropped.
func (n *Node) rememberLost(id placement.TaskID, worker string) {
	if _, known := n.owner.lost[id]; !known {
		n.owner.lostOrder = append(n.owner.lostOrder, id)
	}
	n.owner.lost[id] = worker
	if len(n.owner.lostOrder) > maxFencedTasks {
		delete(n.owner.lost, n.owner.lostOrder[0])
		n.owner.lostOrder = n.owner.lostOrder[1:]
	}
}

// returnAllWaiting returns the tasks that have not started to their homes.
func (n *Node) returnAllWaiting(reason string) {
	var waiting []*ownerTask
	for id, t := range n.owner.tasks {
		if t.state == ownerTaskWaiting && n.owner.engine.Cancel(id) {
			waiting = append(waiting, t)
		}
	}
	slices.SortFunc(waiting, func(a, b *ownerTask) int {
		return placement.CompareTaskIDs(a.assignment.Task.ID, b.assignment.Task.ID)
	})
	for _, t := range waiting {
		n.returnTask(n.holderOf(t.assignment.Range()), &t.assignment, AssignReturned, reason)
	}
}

func (n *Node) recall(from string, m *Recall) {
	t := n.owner.tasks[m.Task]
	if t != nil && t.state == ownerTaskWaiting && n.owner.engine.Cancel(m.Task) {
		n.returnTask(from, &t.assignment, AssignReturned, "recalled to an owner with room")
	}
}

func (n *Node) cancelAtOwner(from string, m *Cancel) {
	t := n.owner.tasks[m.Task]
	if t == nil {
		return
	}
	switch {
	case t.state == ownerTaskWaiting && n.owner.engine.Cancel(m.Task):
		n.returnTask(from, &t.assignment, AssignReturned, "canceled")
	case t.state == ownerTaskStarting || t.state == ownerTaskRunning:
		if s := n.owner.sessions[t.worker]; s != nil {
			n.emit(&StopTask{Worker: t.worker, Token: s.token, ID: m.Task, Verb: placement.VerbStop})
		}
	}
}

// reserve reserves capacity for a gang. An older gang takes the unconfirmed
// reservations of younger ones, so that the oldest gang always makes progress.
func (n *Node) reserve(from string, m *Reserve) {
	a := &m.Assignment
	key := a.Task.ID.Key
	if n.refusalReason(a, m.Lease) != "" {
		return
	}
	until := n.now.Add(reservationLength)
	count := n.owner.engine.Reserve(n.now, key, a.Task, m.Count, until)
	for count < m.Count && n.releaseYounger(a.Task.EnqueuedAt, key) {
		count = n.owner.engine.Reserve(n.now, key, a.Task, m.Count, until)
	}
	n.owner.reservations[key] = &reservation{homeRange: a.Range(), enqueuedAt: a.Task.EnqueuedAt, until: until}
	n.send(from, &Reserved{Key: key, Range: a.Range(), Count: count, HeldFor: reservationLength * 9 / 10})
}

// releaseYounger drops the youngest reservation that belongs to a younger gang.
// It reports whether there was one.
func (n *Node) releaseYounger(enqueuedAt time.Time, key workload.Key) bool {
	var youngest workload.Key
	var at time.Time
	for other, r := range n.owner.reservations {
		if other == key || !r.enqueuedAt.After(enqueuedAt) {
			continue
		}
		if youngest == "" || r.enqueuedAt.After(at) || (r.enqueuedAt.Equal(at) && other > youngest) {
			youngest, at = other, r.enqueuedAt
		}
	}
	if youngest == "" {
		return false
	}
	n.owner.engine.ReleaseReservation(youngest)
	delete(n.owner.reservations, youngest)
	return true
}

// confirm starts the tasks of a gang in its reserved capacity, or returns all
// of them.
func (n *Node) confirm(from string, m *Confirm) {
	var tasks []placement.Task
	for i := range m.Assignments {
		a := &m.Assignments[i]
		if refusal := n.refusalReason(a, m.Lease); refusal != "" {
			n.returnGang(from, m, refusal)
			return
		}
		tasks = append(tasks, a.Task)
	}
	decisions := n.owner.engine.Confirm(n.now, m.Key, tasks)
	delete(n.owner.reservations, m.Key)
	if len(decisions) < len(tasks) {
		n.returnGang(from, m, "the reservation has lapsed")
		return
	}
	for i := range m.Assignments {
		a := m.Assignments[i]
		n.owner.tasks[a.Task.ID] = &ownerTask{assignment: a, payload: m.Payload, state: ownerTaskWaiting, receivedAt: n.now, confirmedAt: n.now}
	}
	for _, decision := range decisions {
		n.applyDecision(decision)
	}
}

func (n *Node) returnGang(home string, m *Confirm, reason string) {
	for i := range m.Assignments {
		n.returnTask(home, &m.Assignments[i], AssignReturned, reason)
	}
}
