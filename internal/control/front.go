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
	// probeEvery is the interval at which a range without a home is asked for.
	probeEvery = 100 * time.Millisecond
	// retryHomeEvery is how often a front asks again while no home has
	// confirmed a request.
	retryHomeEvery = 200 * time.Millisecond
	// checkReceivedEvery is how often a front asks again for a request that the
	// home has confirmed. A restarted home is noticed by its incarnation at
	// once; this interval only covers a lost answer.
	checkReceivedEvery = 10 * time.Second
	// unresolvedLimit is how long a front looks for a home before it gives up.
	unresolvedLimit = 60 * time.Second
	// clockSkewBound is the largest difference between the clocks of callers
	// and entry VMs; a key issued later than this in the future is refused.
	clockSkewBound = 5 * time.Second
)

// submission is a request with at least one open caller connection at this node.
type submission struct {
	connections []uint64
	request     workload.Request
	place       tenure.Range
	acceptedAt  time.Time
	checkAt     time.Time
	home        string
	incarnation uint64
	try         int
	received    bool
	sentAt      time.Time
	// openTries counts the tries that may have reached a home and that no home
	// has said to have left alone.
	openTries int
	// wait is set for connections that only wait for an earlier request.
	wait bool
	// answeredBy is the owner to which the delivery is acknowledged.
	answeredBy string
	task       placement.TaskID
	answered   bool
	parked     bool
}

// parking holds the requests of one range that wait for a home with a lease.
// One of them asks for all, so that a takeover costs few messages.
type parking struct {
	place    tenure.Range
	waiting  []*submission
	probedAt time.Time
}

type ask struct {
	connection uint64
	askedAt    time.Time
}

type frontRole struct {
	byKey        map[workload.Key]*submission
	byConnection map[uint64]*submission
	checks       []*submission
	parked       []*parking
	asks         map[uint64]ask
	nextAsk      uint64
}

func newFrontRole() frontRole {
	return frontRole{
		byKey:        map[workload.Key]*submission{},
		byConnection: map[uint64]*submission{},
		asks:         map[uint64]ask{},
	}
}

func (n *Node) refuse(connection uint64, refusal *workload.Refusal) {
	n.emit(&Reply{RequestID: connection, Refusal: refusal})
}

// submit takes a caller's request and passes it to its home.
func (n *Node) submit(in *Submit) {
	if refusal := n.admit(&in.Request); refusal != nil {
		if in.Request.MayHaveRun() {
			refusal.Run = workload.MayHaveRun
		}
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
		place:       n.rangeOf(in.Request.Team, in.Request.Region),
		acceptedAt:  n.now,
	}
	n.addSubmission(s)
}

// joinSubmission attaches a caller's retry to the open request with its key.
func (n *Node) joinSubmission(s *submission, in *Submit) {
	if !s.wait && s.request.Digest() != in.Request.Digest() {
		n.event(EventConflictingKeyUsed, string(in.Request.Key), "the open request has another body")
		n.refuse(in.RequestID, workload.Refuse(workload.CodeKeyReused, 0, "key %s is in use for a different request", in.Request.Key))
		return
	}
	s.connections = append(s.connections, in.RequestID)
	n.front.byConnection[in.RequestID] = s
}

// admit refuses what can be seen to be wrong without the home.
func (n *Node) admit(request *workload.Request) *workload.Refusal {
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
	if n.front.parkingOf(s.place) != nil {
		n.park(s)
	} else {
		n.sendToHome(s)
	}
	s.checkAt = n.now.Add(retryHomeEvery)
	n.front.checks = append(n.front.checks, s)
}

// sendToHome makes one try to pass a request to its home. A non-idempotent
// request that may have reached a home is only asked about, never sent again.
func (n *Node) sendToHome(s *submission) {
	home := n.homeOf(s.place)
	if home == "" {
		n.park(s)
		return
	}
	s.parked = false
	s.home, s.incarnation, s.received = home, n.members.Incarnation(home), false
	s.try++
	message := &Enqueue{
		Request: s.request,
		Front:   n.options.Name,
		Age:     n.now.Sub(s.acceptedAt),
		Try:     s.try,
		Resent:  s.openTries > 0,
		Wait:    s.wait,
	}
	if s.wait || (s.openTries > 0 && s.request.NonIdempotent) {
		message.ResolveOnly = !s.wait
		message.Request.Payload = nil
	}
	s.openTries++
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
	s := &submission{
		connections: []uint64{in.RequestID},
		request:     workload.Request{Key: in.Key, Team: in.Team, Region: in.Region},
		place:       n.rangeOf(in.Team, in.Region),
		acceptedAt:  n.now,
		wait:        true,
	}
	n.addSubmission(s)
}

func (n *Node) cancelRequest(in *CancelRequest) {
	place := n.rangeOf(in.Team, in.Region)
	home := n.homeOf(place)
	if home == "" {
		n.refuse(in.RequestID, workload.Refuse(workload.CodeNoHome, time.Second, "no entry VM of region %s is known to be live", place.Region))
		return
	}
	n.send(home, &Cancel{Key: in.Key, Range: place, Front: n.options.Name})
	n.describeRequest(&DescribeRequest{RequestID: in.RequestID, Key: in.Key, Team: in.Team, Region: in.Region})
}

func (n *Node) describeRequest(in *DescribeRequest) {
	place := n.rangeOf(in.Team, in.Region)
	home := n.homeOf(place)
	if home == "" {
		n.refuse(in.RequestID, workload.Refuse(workload.CodeNoHome, time.Second, "no entry VM of region %s is known to be live", place.Region))
		return
	}
	n.front.nextAsk++
	n.front.asks[n.front.nextAsk] = ask{connection: in.RequestID, askedAt: n.now}
	n.send(home, &Describe{Key: in.Key, Range: place, Ask: n.front.nextAsk})
}

func (n *Node) described(m *Description) {
	ask, ok := n.front.asks[m.Ask]
	if !ok {
		return
	}
	delete(n.front.asks, m.Ask)
	if !m.Known {
		n.refuse(ask.connection, workload.Refuse(workload.CodeNotFound, 0, "the key is not known; it was never accepted or was dropped after its retention"))
		return
	}
	status := m.Status
	n.emit(&Reply{RequestID: ask.connection, Status: &status})
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

// requestAnswered takes what the home says of a request.
func (n *Node) requestAnswered(from string, m *Answered) {
	s := n.front.byKey[m.Key]
	if s == nil || s.answered {
		return
	}
	switch {
	case m.Received:
		s.received = true
		n.unparkAll(s.place)
		if from != s.home {
			s.home, s.incarnation = from, n.members.Incarnation(from)
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

// requestRefused takes a home's refusal. A refusal of an old try says nothing
// of the present one.
func (n *Node) requestRefused(from string, m *Refused) {
	s := n.front.byKey[m.Key]
	if s == nil || s.answered {
		return
	}
	if m.NotHome {
		// The node took nothing in. With every try refused like this, the next
		// one is a first try again.
		n.tryRefused(s, m)
		return
	}
	if m.Try != s.try {
		return
	}
	s.answered = true
	for _, connection := range s.connections {
		n.refuse(connection, &m.Refusal)
	}
}

// tryRefused takes the news that a node is not the home of a request's range.
func (n *Node) tryRefused(s *submission, m *Refused) {
	switch {
	case m.Reached:
		s.received, s.sentAt = false, time.Time{}
		return
	case m.Refusal.Code == workload.CodeNotFound:
		// The acting home has proved that no try was started.
		s.openTries = 0
	default:
		s.openTries = max(s.openTries-1, 0)
	}
	if m.Try == s.try && !s.parked {
		n.park(s)
	}
}

func (f *frontRole) parkingOf(place tenure.Range) *parking {
	for _, p := range f.parked {
		if p.place == place {
			return p
		}
	}
	return nil
}

// park keeps a request until a home of its range takes requests in.
func (n *Node) park(s *submission) {
	if s.parked {
		return
	}
	s.parked, s.received = true, false
	p := n.front.parkingOf(s.place)
	if p == nil {
		p = &parking{place: s.place, probedAt: n.now}
		n.front.parked = append(n.front.parked, p)
	}
	p.waiting = append(p.waiting, s)
}

// unparkAll sends every parked request of a range, whose home has just taken
// one in.
func (n *Node) unparkAll(place tenure.Range) {
	p := n.front.parkingOf(place)
	if p == nil {
		return
	}
	n.front.parked = slices.DeleteFunc(n.front.parked, func(other *parking) bool { return other == p })
	for _, s := range p.waiting {
		if s.parked && !s.answered {
			n.sendToHome(s)
		}
	}
}

// probe sends one parked request of each range, to find out whether there is a
// home by now.
func (n *Node) probe() {
	for _, p := range slices.Clone(n.front.parked) {
		if n.now.Sub(p.probedAt) < probeEvery {
			continue
		}
		p.probedAt = n.now
		p.waiting = slices.DeleteFunc(p.waiting, func(s *submission) bool { return s.answered || !s.parked })
		if len(p.waiting) == 0 {
			n.front.parked = slices.DeleteFunc(n.front.parked, func(other *parking) bool { return other == p })
			continue
		}
		if n.homeOf(p.place) != "" {
			s := p.waiting[0]
			p.waiting = p.waiting[1:]
			n.sendToHome(s)
		}
	}
}

// connectionClosed forgets a connection. The answer stays with the worker, so
// that the caller can come back for it.
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

// tickFront repeats tries that got no confirmation and gives up on requests
// for which no home could be found.
func (n *Node) tickFront() {
	n.tickAsks()
	n.probe()
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

func (n *Node) tickAsks() {
	for id, ask := range n.front.asks {
		if n.now.Sub(ask.askedAt) > 5*n.timing.RepeatAfter {
			delete(n.front.asks, id)
			n.refuse(ask.connection, workload.Refuse(workload.CodeNoHome, time.Second, "the request's home did not answer"))
		}
	}
}

func (n *Node) checkSubmission(s *submission) {
	if !s.received && n.now.Sub(s.acceptedAt) > unresolvedLimit {
		n.giveUp(s)
		return
	}
	moved := n.homeOf(s.place) != s.home || n.members.Incarnation(s.home) != s.incarnation
	overdue := n.now.Sub(s.sentAt) >= checkReceivedEvery
	unanswered := !s.received && n.now.Sub(s.sentAt) >= n.timing.RepeatAfter
	if !s.parked && (unanswered || moved || overdue) {
		n.sendToHome(s)
	}
	s.checkAt = n.now.Add(retryHomeEvery)
	n.front.checks = append(n.front.checks, s)
}

func (n *Node) giveUp(s *submission) {
	refusal := workload.Refuse(workload.CodeNoHome, time.Second, "no home for team %s answered within %s", s.place.Team, unresolvedLimit)
	if s.openTries > 0 {
		refusal.Run = workload.MayHaveRun
		refusal.Code = workload.CodeOutcome
	}
	s.answered = true
	for _, connection := range s.connections {
		n.refuse(connection, refusal)
	}
}
