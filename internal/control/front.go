package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Intervals of the front role.
const (
	// receivedCheckInterval is how often a front asks again about a request
	// that the home has confirmed. A restarted home is noticed at once by its
	// incarnation, so this only covers a lost answer.
	receivedCheckInterval = 10 * time.Second
	// retryHomeAfter is the delay of the next try after a node reported that it
	// is not the home. The member tables of two nodes agree again within a
	// heartbeat.
	retryHomeAfter = 100 * time.Millisecond
	// homeSearchLimit is how long a front looks for a home before it refuses
	// the request, and how long a home waits for a front to send an incomplete
	// request again.
	homeSearchLimit = 60 * time.Second
	// clockSkewBound is the largest expected difference between the clocks of
	// callers and entry VMs. A key issued further in the future is refused.
	clockSkewBound = 5 * time.Second
)

// submission is a request with at least one open caller connection at this node.
type submission struct {
	connections []uint64
	request     workload.Request
	homeRange   tenure.Range
	acceptedAt  time.Time
	checkAt     time.Time
	home        string
	incarnation uint64
	try         int
	received    bool
	sentAt      time.Time
	// openTries counts, by process of a home, the tries that may have reached
	// it and that it has not reported as rejected.
	openTries map[process]int
	// notFoundHome is a home that reported, in the incarnation
	// notFoundIncarnation, that no try of the request can have been started
	// there. The complete request may be sent to it again.
	notFoundHome        string
	notFoundIncarnation uint64
	// retrying is set while the submission is in frontRole.retries.
	retrying bool
	retryAt  time.Time
	// wait is set for connections that only wait for the answer of an earlier
	// request.
	wait bool
	// answeredBy is the owner that is sent the acknowledgement of the delivery.
	answeredBy string
	task       placement.TaskID
	// answered is set once the callers were sent an answer, an acceptance or a
	// refusal, or have all disconnected.
	answered bool
}

// process is one incarnation of a node.
type process struct {
	name        string
	incarnation uint64
}

// describeCall is an open caller connection that waits for a Description.
type describeCall struct {
	connection uint64
	sentAt     time.Time
}

type frontRole struct {
	byKey        map[workload.Key]*submission
	byConnection map[uint64]*submission
	// checks lists the submissions in the order of their checkAt.
	checks []*submission
	// retries lists the submissions in the order of their retryAt.
	retries          []*submission
	describeCalls    map[uint64]describeCall
	nextDescribeCall uint64
	nextTry          int
}

func newFrontRole(options Options) frontRole {
	return frontRole{
		nextTry:       int(options.Start.UnixNano()),
		byKey:         map[workload.Key]*submission{},
		byConnection:  map[uint64]*submission{},
		describeCalls: map[uint64]describeCall{},
	}
}

func (n *Node) refuse(connection uint64, refusal *workload.Refusal) {
	n.emit(&Reply{RequestID: connection, Refusal: refusal})
}

// submit accepts a caller's request and sends it to its home.
func (n *Node) submit(in *Submit) {
	if refusal := n.admit(&in.Request); refusal != nil {
		n.refuse(in.RequestID, refusal)
		return
	}
	if s := n.front.byKey[in.Request.Key]; s != nil {
		n.joinSubmission(s, in)
		return
	}
	s := &submission{
		connections: []uint64{in.RequestID},
		request:     in.Request,
		homeRange:   n.rangeOf(in.Request.Team, in.Request.Region),
		acceptedAt:  n.now,
	}
	n.addSubmission(s)
}

// joinSubmission attaches a caller's retry to the open request with its key.
func (n *Node) joinSubmission(s *submission, in *Submit) {
	if !s.wait && s.request.Digest() != in.Request.Digest() {
		n.event(EventConflictingKeyUsed, string(in.Request.Key), "the open request with this key has a different body")
		n.refuse(in.RequestID, workload.Refuse(workload.CodeKeyReused, 0, "key %s is in use for a different request", in.Request.Key))
		return
	}
	s.connections = append(s.connections, in.RequestID)
	n.front.byConnection[in.RequestID] = s
}

// admit makes the checks that need no home, and returns a refusal or nil.
func (n *Node) admit(request *workload.Request) *workload.Refusal {
	refusal := n.checkRequest(request)
	if refusal != nil && request.MayHaveRun() {
		// An earlier attempt went to another node and may have run.
		refusal.Run = workload.MayHaveRun
	}
	return refusal
}

func (n *Node) checkRequest(request *workload.Request) *workload.Refusal {
	if n.draining {
		return workload.Refuse(workload.CodeLeaving, workload.LeavingRetryAfter, "this entry VM is stopping; try another one")
	}
	if findings := request.Validate(n.now); len(findings) > 0 {
		refusal := workload.Refuse(workload.CodeBadRequest, 0, "%d fields are wrong", len(findings))
		refusal.Findings = findings
		return refusal
	}
	if issued, _ := request.Key.IssuedAt(); issued.After(n.now.Add(clockSkewBound)) {
		return workload.Refuse(workload.CodeBadRequest, 0, "key: issued %s in the future; check the caller's clock", issued.Sub(n.now).Round(time.Millisecond))
	}
	if _, ok := n.rules.team(request.Team); !ok {
		return workload.Refuse(workload.CodeUnknownTeam, 0, "team %q has no section in the configuration", request.Team)
	}
	if _, ok := n.rules.kind(request.Kind); !ok {
		return workload.Refuse(workload.CodeUnknownKind, 0, "kind %q has no section in the configuration", request.Kind)
	}
	if request.Region != "" && !n.members.HasRegion(request.Region) {
		return workload.Refuse(workload.CodeBadRequest, 0, "region: %q is not a region of this cell", request.Region)
	}
	if len(n.front.byKey) >= maxOpenSubmissions {
		return workload.Refuse(workload.CodeQueueFull, time.Second, "this entry VM holds %d open requests", maxOpenSubmissions)
	}
	return nil
}

func (n *Node) addSubmission(s *submission) {
	n.front.byKey[s.request.Key] = s
	for _, connection := range s.connections {
		n.front.byConnection[connection] = s
	}
	n.sendToHome(s)
	s.checkAt = n.now.Add(n.timing.RepeatAfter)
	n.front.checks = append(n.front.checks, s)
}

// sendToHome makes one try to send a request to its home. A non-idempotent
// request that may have reached a home is not sent again; the front only asks
// for its outcome.
func (n *Node) sendToHome(s *submission) {
	home := n.homeOf(s.homeRange)
	if home == "" {
		return
	}
	s.home, s.incarnation, s.received = home, n.members.Incarnation(home), false
	n.front.nextTry++
	s.try = n.front.nextTry
	message := &Enqueue{
		Request: s.request,
		Front:   n.options.Name,
		Age:     n.now.Sub(s.acceptedAt),
		Try:     s.try,
		Resent:  len(s.openTries) > 0,
		Wait:    s.wait,
	}
	// A durable job may be sent again: its key in the log prevents a second
	// run.
	durable := s.request.Mode == workload.ModeJob || s.request.Mode == workload.ModeService
	notFound := s.notFoundHome == home && s.notFoundIncarnation == s.incarnation
	if s.wait || (len(s.openTries) > 0 && s.request.NonIdempotent && !durable && !notFound) {
		message.ResolveOnly = !s.wait
		message.Request.Payload = nil
	}
	if s.openTries == nil {
		s.openTries = map[process]int{}
	}
	s.openTries[process{home, s.incarnation}]++
	s.sentAt = n.now
	n.sendBulk(home, message)
}

// waitFor attaches an open connection to a request that was submitted before,
// here or at another entry VM.
func (n *Node) waitFor(in *WaitFor) {
	if s := n.front.byKey[in.Key]; s != nil && s.request.Team == in.Team {
		s.connections = append(s.connections, in.RequestID)
		n.front.byConnection[in.RequestID] = s
		return
	}
	if n.draining || len(n.front.byKey) >= maxOpenSubmissions {
		// The refusal implies nothing about the earlier request.
		refusal := workload.Refuse(workload.CodeLeaving, workload.LeavingRetryAfter, "this entry VM takes no more calls; try another one")
		refusal.Run = workload.MayHaveRun
		n.refuse(in.RequestID, refusal)
		return
	}
	s := &submission{
		connections: []uint64{in.RequestID},
		request:     workload.Request{Key: in.Key, Team: in.Team, Region: in.Region},
		homeRange:   n.rangeOf(in.Team, in.Region),
		acceptedAt:  n.now,
		wait:        true,
	}
	n.addSubmission(s)
}

func (n *Node) cancelRequest(in *CancelRequest) {
	homeRange := n.rangeOf(in.Team, in.Region)
	home := n.homeOf(homeRange)
	if home == "" {
		n.refuse(in.RequestID, workload.Refuse(workload.CodeNoHome, time.Second, "no entry VM of region %s is known to be live", homeRange.Region))
		return
	}
	n.send(home, &Cancel{Key: in.Key, Range: homeRange, Front: n.options.Name})
	n.describeRequest(&DescribeRequest{RequestID: in.RequestID, Key: in.Key, Team: in.Team, Region: in.Region})
}

func (n *Node) describeRequest(in *DescribeRequest) {
	homeRange := n.rangeOf(in.Team, in.Region)
	home := n.homeOf(homeRange)
	if home == "" {
		n.refuse(in.RequestID, workload.Refuse(workload.CodeNoHome, time.Second, "no entry VM of region %s is known to be live", homeRange.Region))
		return
	}
	n.front.nextDescribeCall++
	n.front.describeCalls[n.front.nextDescribeCall] = describeCall{connection: in.RequestID, sentAt: n.now}
	n.send(home, &Describe{Key: in.Key, Range: homeRange, CallID: n.front.nextDescribeCall})
}

func (n *Node) described(m *Description) {
	call, ok := n.front.describeCalls[m.CallID]
	if !ok {
		return
	}
	delete(n.front.describeCalls, m.CallID)
	if !m.Known {
		refusal := workload.Refuse(workload.CodeNotFound, 0, "the key is not known; it was never accepted or was dropped after its retention")
		refusal.Run = workload.MayHaveRun
		n.refuse(call.connection, refusal)
		return
	}
	status := m.Status
	n.emit(&Reply{RequestID: call.connection, Status: &status})
}

// finishedAtFront passes an answer to the caller that waits for it.
func (n *Node) finishedAtFront(from string, m *Finished) {
	s := n.front.byKey[m.Task.Key]
	if s == nil {
		n.send(from, &AcknowledgeAnswer{Task: m.Task, FromFront: true, NotWaiting: true})
		return
	}
	if s.answered {
		return
	}
	s.answeredBy, s.task = from, m.Task
	n.answer(s, workload.Answer{
		Key:      m.Task.Key,
		Failed:   m.Result.Outcome != placement.Completed,
		Body:     m.Result.Body,
		Worker:   m.Result.Worker,
		WaitedMS: m.Result.Waited.Milliseconds(),
		RanMS:    m.Result.Ran.Milliseconds(),
	})
}

func (n *Node) answer(s *submission, answer workload.Answer) {
	s.answered = true
	for _, connection := range s.connections {
		n.emit(&Reply{RequestID: connection, Answer: &answer})
	}
}

// requestAnswered handles a home's confirmation, acceptance or answer of a
// request.
func (n *Node) requestAnswered(from string, m *Answered) {
	s := n.front.byKey[m.Key]
	if s == nil || s.answered {
		return
	}
	switch {
	case m.Received:
		if from == s.home {
			s.received = true
		}
	case m.Accepted:
		s.answered = true
		for _, connection := range s.connections {
			n.emit(&Reply{RequestID: connection, Accepted: &Accepted{Key: m.Key}})
		}
	default:
		n.answer(s, m.Answer)
	}
}

// requestRefused handles a home's refusal. A refusal of an earlier try does not
// decide the current one.
func (n *Node) requestRefused(from string, m *Refused) {
	s := n.front.byKey[m.Key]
	if s == nil || s.answered {
		return
	}
	if m.NotHome {
		s.dropTry(from, m)
		if from == s.home {
			if m.Refusal.Code == workload.CodeNotFound && m.Try == s.try {
				s.notFoundHome, s.notFoundIncarnation = s.home, s.incarnation
			}
			s.received = false
			n.scheduleRetry(s)
		}
		return
	}
	if m.Try != s.try || from != s.home {
		return
	}
	if s.countOpenTries() > 1 || s.request.MayHaveRun() && m.Refusal.Code == workload.CodeLeaving {
		// An earlier try may still be in transit to another home.
		m.Refusal.Run = workload.MayHaveRun
	}
	s.answered = true
	for _, connection := range s.connections {
		n.refuse(connection, &m.Refusal)
	}
}

// dropTry records that a node has rejected one try, or all tries. If no try is
// left open, the next one counts as a first try.
func (s *submission) dropTry(from string, m *Refused) {
	if m.AllTries {
		delete(s.openTries, process{from, m.Incarnation})
		return
	}
	receiver := process{from, m.Incarnation}
	if from == s.home && m.Try == s.try {
		receiver.incarnation = s.incarnation
	}
	if s.openTries[receiver] == 0 {
		return
	}
	if s.openTries[receiver]--; s.openTries[receiver] == 0 {
		delete(s.openTries, receiver)
	}
}

func (s *submission) countOpenTries() int {
	total := 0
	for _, count := range s.openTries {
		total += count
	}
	return total
}

// connectionClosed removes a connection. The worker keeps the answer, so that
// the caller can reconnect for it.
func (n *Node) connectionClosed(connection uint64) {
	s := n.front.byConnection[connection]
	if s == nil {
		return
	}
	delete(n.front.byConnection, connection)
	for i, other := range s.connections {
		if other == connection {
			s.connections = append(s.connections[:i], s.connections[i+1:]...)
			break
		}
	}
	if len(s.connections) == 0 {
		n.dropSubmission(s)
	}
}

func (n *Node) answerDelivered(connection uint64) {
	s := n.front.byConnection[connection]
	if s != nil && s.answeredBy != "" {
		n.send(s.answeredBy, &AcknowledgeAnswer{Task: s.task, FromFront: true})
		s.answeredBy = ""
	}
	n.connectionClosed(connection)
}

func (n *Node) dropSubmission(s *submission) {
	s.answered = true
	if n.front.byKey[s.request.Key] == s {
		delete(n.front.byKey, s.request.Key)
	}
}

// tickFront repeats unconfirmed tries and refuses requests for which no home
// was found in time.
func (n *Node) tickFront() {
	n.expireDescribeCalls()
	n.tickRetries()
	due := 0
	for due < len(n.front.checks) && !n.front.checks[due].checkAt.After(n.now) {
		due++
	}
	checks := n.front.checks[:due]
	n.front.checks = n.front.checks[due:]
	for _, s := range checks {
		if !s.answered {
			n.checkSubmission(s)
		}
	}
}

// scheduleRetry schedules a try shortly after a node reported that it is not
// the home.
func (n *Node) scheduleRetry(s *submission) {
	if !s.retrying {
		s.retrying, s.retryAt = true, n.now.Add(retryHomeAfter)
		n.front.retries = append(n.front.retries, s)
	}
}

func (n *Node) tickRetries() {
	due := 0
	for due < len(n.front.retries) && !n.front.retries[due].retryAt.After(n.now) {
		due++
	}
	retries := n.front.retries[:due]
	n.front.retries = n.front.retries[due:]
	for _, s := range retries {
		s.retrying = false
		if !s.answered && !s.received {
			n.sendToHome(s)
		}
	}
}

// expireDescribeCalls refuses the calls whose description did not arrive in time.
func (n *Node) expireDescribeCalls() {
	var overdue []uint64
	for id, call := range n.front.describeCalls {
		if n.now.Sub(call.sentAt) > 5*n.timing.RepeatAfter {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	for _, id := range overdue {
		connection := n.front.describeCalls[id].connection
		delete(n.front.describeCalls, id)
		n.refuse(connection, workload.Refuse(workload.CodeNoHome, time.Second, "the request's home did not answer"))
	}
}

func (n *Node) checkSubmission(s *submission) {
	if !s.received && n.now.Sub(s.acceptedAt) > homeSearchLimit {
		n.refuseWithoutHome(s)
		return
	}
	moved := n.homeOf(s.homeRange) != s.home || n.members.Incarnation(s.home) != s.incarnation
	overdue := n.now.Sub(s.sentAt) >= receivedCheckInterval
	if !s.received || moved || overdue {
		n.sendToHome(s)
	}
	s.checkAt = n.now.Add(n.timing.RepeatAfter)
	n.front.checks = append(n.front.checks, s)
}

func (n *Node) refuseWithoutHome(s *submission) {
	refusal := workload.Refuse(workload.CodeNoHome, time.Second, "no home for team %s answered within %s", s.homeRange.Team, homeSearchLimit)
	if len(s.openTries) > 0 {
		refusal.Run = workload.MayHaveRun
		refusal.Code = workload.CodeOutcome
	}
	s.answered = true
	for _, connection := range s.connections {
		n.refuse(connection, refusal)
	}
}
