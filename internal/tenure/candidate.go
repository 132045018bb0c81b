package tenure

import (
	"slices"
	"strings"
	"time"
)

// candidate is this node's state for one range: an attempt to gain the lease, or
// the lease that it holds.
type candidate struct {
	leaseRange Range
	wanted     bool
	// number is the zero value while there is neither an attempt nor a lease.
	number LeaseNumber
	held   bool
	// since is when the lease was gained, or when the attempt began if it is not
	// held.
	since time.Time
	// nextRequestAt is when to send the next request in addition to the regular
	// renewals; the zero time for none. While there is neither an attempt nor a
	// lease, it is when the next attempt may begin.
	nextRequestAt time.Time
	votes         []vote
	// validUntil is when the weight of the promises falls to two thirds or less.
	validUntil time.Time
	// newest is the newest number of the range that this node knows: its own, or
	// one that an owner or a former home sent.
	newest LeaseNumber
	// replaces is the lease that was handed over to this node, or nil.
	replaces *LeaseNumber
	// contended is set once an owner reports another candidate for the range.
	contended bool
	// failures counts the attempts that refusals ended since the lease was last
	// gained.
	failures int
}

// vote is the last promise and refusal of one owner.
type vote struct {
	owner string
	// validUntil is when the promise ends by this node's clock.
	validUntil time.Time
	// workers are those that the owner counted for its response.
	workers *workerSet
	// refusedUntil is when the owner may promise the range to this node.
	refusedUntil time.Time
}

// SetWanted replaces the ranges for which this node is first choice. A lease
// whose range is no longer wanted is kept until it is lost or handed over, so
// that a change of first choice alone moves no home.
func (l *Leases) SetWanted(now time.Time, ranges []Range) {
	wanted := slices.Compact(slices.SortedFunc(slices.Values(ranges), Range.Compare))
	for _, c := range l.candidates {
		_, c.wanted = slices.BinarySearchFunc(wanted, c.leaseRange, Range.Compare)
	}
	for _, leaseRange := range wanted {
		l.candidate(now, leaseRange, true)
	}
}

// candidate returns the entry of a range, or nil if there is none. If add is
// set, it adds a missing entry unless there are MaxRanges already.
func (l *Leases) candidate(now time.Time, leaseRange Range, add bool) *candidate {
	i, found := slices.BinarySearchFunc(l.candidates, leaseRange, func(c *candidate, r Range) int {
		return c.leaseRange.Compare(r)
	})
	if found {
		return l.candidates[i]
	}
	if !add || len(l.candidates) >= MaxRanges {
		return nil
	}
	c := &candidate{leaseRange: leaseRange, wanted: true, nextRequestAt: now}
	l.candidates = slices.Insert(l.candidates, i, c)
	return c
}

// Held returns the lease of the range, and false if this node is not the home of
// the range at this moment. Call it before each action as home.
func (l *Leases) Held(now time.Time, leaseRange Range) (Lease, bool) {
	c := l.candidate(now, leaseRange, false)
	if c == nil || !c.held || !now.Before(c.validUntil) {
		return Lease{}, false
	}
	return Lease{Number: c.number, Since: c.since, Until: c.validUntil}, true
}

// HandOver gives up a lease and returns the message for the node that is to take
// it over; that node needn't wait until the promises end. It returns false if
// the lease is not held.
func (l *Leases) HandOver(now time.Time, leaseRange Range) (Handover, bool) {
	lease, held := l.Held(now, leaseRange)
	if !held {
		return Handover{}, false
	}
	c := l.candidate(now, leaseRange, false)
	l.recordEvent(c, false)
	c.reset(now.Add(2 * PromiseDuration))
	c.wanted = false
	return Handover{Range: leaseRange, Number: lease.Number}, true
}

// ReceiveHandover makes this node request the range at its next tick. It does
// nothing if the node holds the lease or has MaxRanges ranges already.
func (l *Leases) ReceiveHandover(now time.Time, handover Handover) {
	c := l.candidate(now, handover.Range, true)
	if c == nil || c.held {
		return
	}
	c.wanted, c.nextRequestAt, c.replaces = true, now, &handover.Number
	c.observe(handover.Number)
}

// Tick advances the time. It returns the requests to send, at most one for each
// owner and sorted by owner, and the leases gained and lost since the last tick.
// Call it every 50 ms; it returns no request when none is due.
func (l *Leases) Tick(now time.Time) ([]Outgoing, []Event) {
	l.updateRegions(now)
	renewalDue := !now.Before(l.nextRenewal)
	if renewalDue {
		l.nextRenewal = now.Add(RenewInterval)
	}
	var pending []pendingRequest
	for _, c := range l.candidates {
		pending = l.updateCandidate(now, c, renewalDue, pending)
	}
	l.candidates = slices.DeleteFunc(l.candidates, func(c *candidate) bool {
		return !c.wanted && c.number == LeaseNumber{}
	})
	outgoing := l.send(now, pending)
	events := l.events
	l.events = nil
	return outgoing, events
}

// updateRegions adopts the lists that have been stable for long enough. A pause of
// the process extends the required time, as the node saw no list changes during it.
func (l *Leases) updateRegions(now time.Time) {
	if gap := now.Sub(l.lastTick); !l.lastTick.IsZero() && gap > maxTickGap {
		for _, r := range l.regions {
			r.suspendedUntil = r.suspendedUntil.Add(gap)
		}
	}
	l.lastTick = now
	for _, r := range l.regions {
		l.adoptStableList(now, r)
	}
}

// pendingRequest is a request to send to each of the owners.
type pendingRequest struct {
	owners  []string
	request RangeRequest
}

// updateCandidate applies the passage of time to one candidate and appends the
// requests that are due.
func (l *Leases) updateCandidate(now time.Time, c *candidate, renewalDue bool, pending []pendingRequest) []pendingRequest {
	previousNumber := c.number
	l.expire(now, c)
	r := l.region(c.leaseRange.Region)
	if r == nil {
		return pending
	}
	if !c.wanted && previousNumber != c.number {
		// The lease has just expired, but owners keep its promises for longer than
		// this node uses them.
		return append(pending, pendingRequest{r.owners, RangeRequest{Range: c.leaseRange, Timestamp: previousNumber.Timestamp, Release: true}})
	}
	if c.number != (LeaseNumber{}) && !c.held {
		if retryAt, failed := l.attemptFailed(now, c, r); failed {
			pending = append(pending, pendingRequest{r.owners, RangeRequest{Range: c.leaseRange, Timestamp: c.number.Timestamp, Release: true}})
			c.reset(retryAt)
		}
	}
	due := renewalDue
	if c.number == (LeaseNumber{}) {
		if !c.wanted || now.Before(c.nextRequestAt) || r.inUse != r.newest || len(r.newest.names) == 0 {
			return pending
		}
		l.assignNumber(now, c)
		c.since, due = now, true
	} else if !c.nextRequestAt.IsZero() && !now.Before(c.nextRequestAt) {
		due = true
	}
	if !due {
		return pending
	}
	c.nextRequestAt = time.Time{}
	if !c.held {
		c.nextRequestAt = now.Add(attemptInterval)
	}
	return append(pending, pendingRequest{r.owners, RangeRequest{Range: c.leaseRange, Timestamp: c.number.Timestamp, Replaces: c.replaces}})
}

// attemptFailed reports whether an attempt has to stop, and returns when to try
// again. An attempt stops when the range is no longer wanted, when new leases are
// suspended, when it has lasted for attemptTimeout while another node wants the
// range or no other owner responded, or when it can't succeed before promises to
// others end. The promises that it has would only block other candidates.
func (l *Leases) attemptFailed(now time.Time, c *candidate, r *region) (time.Time, bool) {
	if !c.wanted || r.inUse != r.newest {
		return now, true
	}
	if now.Sub(c.since) > attemptTimeout && (c.contended || l.noOtherOwnerResponded(c, r)) {
		// The others retry within ownerPromiseDuration, so they can succeed first.
		return now.Add(ownerPromiseDuration + l.randomUpTo(PromiseDuration/2)), true
	}
	refused := c.weight(r.newest, func(v *vote) bool { return now.Before(v.refusedUntil) })
	if hasQuorum(len(r.newest.names)-refused, r.newest) {
		return time.Time{}, false
	}
	c.failures++
	jitter := min(retryJitter<<min(c.failures-1, 8), maxRetryJitter)
	return c.quorumPossibleAt(now, r.newest).Add(l.randomUpTo(jitter)), true
}

// noOtherOwnerResponded reports whether no owner other than this node responded in
// this attempt. Then the network may deliver this node's requests but no
// responses to it, and its requests would renew promises that it can't use.
func (l *Leases) noOtherOwnerResponded(c *candidate, r *region) bool {
	others := 0
	for i := range c.votes {
		if c.votes[i].owner != l.self {
			others++
		}
	}
	return others == 0 && len(r.owners) > 1
}

// randomUpTo returns a random duration from 0 to the limit.
func (l *Leases) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(l.random.Int64N(int64(limit) + 1))
}

// quorumPossibleAt returns the earliest time at which enough refusals have ended
// for the remaining workers to make a quorum of the list.
func (c *candidate) quorumPossibleAt(now time.Time, list *workerSet) time.Time {
	times := make([]time.Time, 0, len(c.votes))
	for i := range c.votes {
		if c.votes[i].refusedUntil.After(now) {
			times = append(times, c.votes[i].refusedUntil)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, at := range times {
		refused := c.weight(list, func(v *vote) bool { return v.refusedUntil.After(at) })
		if hasQuorum(len(list.names)-refused, list) {
			return at
		}
	}
	return now
}

// assignNumber gives the candidate a new number. Promises exclude other nodes, not
// other numbers of this node, so those given for the old number still count.
func (l *Leases) assignNumber(now time.Time, c *candidate) {
	l.lastTimestamp = max(now.UnixNano(), l.lastTimestamp+1, c.newest.Timestamp+1)
	c.number = LeaseNumber{l.lastTimestamp, l.self}
	c.observe(c.number)
}

// send groups the requests by owner, as one round. It handles those to this node
// itself directly and returns the others.
func (l *Leases) send(now time.Time, pending []pendingRequest) []Outgoing {
	if len(pending) == 0 {
		return nil
	}
	l.round++
	l.sentRounds[l.round%maxRounds] = sentRound{l.round, now}
	var outgoing []Outgoing
	for _, p := range pending {
		for _, owner := range p.owners {
			i, found := slices.BinarySearchFunc(outgoing, owner, func(o Outgoing, name string) int {
				return strings.Compare(o.To, name)
			})
			if !found {
				request := PromiseRequest{Round: l.round, Ranges: make([]RangeRequest, 0, len(pending))}
				if workers := l.workersByOwner[owner]; workers != nil {
					request.KnownDigest = workers.digest
				}
				outgoing = slices.Insert(outgoing, i, Outgoing{owner, request})
			}
			outgoing[i].Request.Ranges = append(outgoing[i].Request.Ranges, p.request)
		}
	}
	return slices.DeleteFunc(outgoing, func(o Outgoing) bool {
		if o.To != l.self {
			return false
		}
		l.ReceiveResponse(now, l.self, l.ReceiveRequest(now, l.self, o.Request))
		return true
	})
}

// ReceiveResponse handles an owner's response. It ignores a response to a request
// that is unknown or older than the last maxRounds rounds, and one whose list of
// workers is too long, unsorted or doesn't match its digest.
func (l *Leases) ReceiveResponse(now time.Time, from string, response PromiseResponse) {
	sent := l.sentRounds[response.Round%maxRounds]
	if response.Round == 0 || sent.round != response.Round || !l.isOwner(from) {
		return
	}
	workers := l.workersByOwner[from]
	if workers == nil || workers.digest != response.WorkersDigest {
		if len(response.Workers) > MaxWorkers || !slices.IsSorted(response.Workers) {
			return
		}
		workers = newWorkerSet(response.Workers)
		if workers.digest != response.WorkersDigest {
			return
		}
		l.workersByOwner[from] = workers
	}
	for _, timestamp := range response.Promised {
		if c := l.candidateByTimestamp(timestamp); c != nil {
			l.expire(now, c)
			l.recordPromise(now, c, from, workers, sent.at)
		}
	}
	for _, timestamp := range response.Contended {
		if c := l.candidateByTimestamp(timestamp); c != nil {
			c.contended = true
		}
	}
	for i := range response.Refused {
		if c := l.candidateByTimestamp(response.Refused[i].Timestamp); c != nil {
			l.recordRefusal(now, c, from, workers, &response.Refused[i])
		}
	}
}

func (l *Leases) isOwner(name string) bool {
	for _, r := range l.regions {
		if _, found := slices.BinarySearch(r.owners, name); found {
			return true
		}
	}
	return false
}

// candidateByTimestamp returns the candidate whose number has the given timestamp,
// or nil. The search starts after the one found last, as responses keep the order of
// the requests.
func (l *Leases) candidateByTimestamp(timestamp int64) *candidate {
	for range l.candidates {
		l.lastFoundIndex = (l.lastFoundIndex + 1) % len(l.candidates)
		if c := l.candidates[l.lastFoundIndex]; c.number.Timestamp == timestamp && timestamp != 0 {
			return c
		}
	}
	return nil
}

// recordPromise records a promise whose request was sent at sentAt.
func (l *Leases) recordPromise(now time.Time, c *candidate, owner string, workers *workerSet, sentAt time.Time) {
	r := l.region(c.leaseRange.Region)
	if r == nil || c.number == (LeaseNumber{}) {
		return
	}
	v := c.findOrAddVote(owner)
	if until := sentAt.Add(l.candidatePromiseDuration); until.After(v.validUntil) {
		v.validUntil, v.workers, v.refusedUntil = until, workers, time.Time{}
	}
	c.updateValidity(r)
	if !c.held && r.inUse == r.newest && now.Before(c.validUntil) {
		c.held, c.since, c.failures, c.replaces = true, now, 0, nil
		l.recordEvent(c, true)
	}
}

// recordRefusal records a refusal. If the number was stale, the candidate gets a newer
// one and requests the range with it at the next tick.
func (l *Leases) recordRefusal(now time.Time, c *candidate, owner string, workers *workerSet, refusal *RangeRefusal) {
	c.observe(refusal.Newest)
	if refusal.Reason == ReasonStale {
		if c.number.Compare(c.newest) < 0 {
			l.assignNumber(now, c)
			c.nextRequestAt = now
		}
		return
	}
	v := c.findOrAddVote(owner)
	if v.validUntil.Before(now) {
		v.workers = workers
	}
	retry := min(time.Duration(max(refusal.RetryAfterMS, 0))*time.Millisecond, ownerPromiseDuration)
	v.refusedUntil = now.Add(retry)
}

// expire ends a lease whose time has passed. It drops the lease's promises, so
// that late responses can't make the lease valid again.
func (l *Leases) expire(now time.Time, c *candidate) {
	if c.held && !now.Before(c.validUntil) {
		l.recordEvent(c, false)
		c.reset(now)
	}
}

func (l *Leases) recordEvent(c *candidate, gained bool) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, Event{c.leaseRange, c.number, gained})
	}
}

// reset ends the attempt or lease and sets when the next attempt may begin.
func (c *candidate) reset(retryAt time.Time) {
	c.number, c.held, c.contended, c.votes, c.replaces = LeaseNumber{}, false, false, nil, nil
	c.validUntil, c.nextRequestAt = time.Time{}, retryAt
}

func (c *candidate) observe(number LeaseNumber) {
	if number.Compare(c.newest) > 0 {
		c.newest = number
	}
}

// findOrAddVote returns the entry of an owner, which it adds if there is none. The
// region's list of owners bounds the number of entries.
func (c *candidate) findOrAddVote(owner string) *vote {
	i, found := slices.BinarySearchFunc(c.votes, owner, func(v vote, name string) int {
		return strings.Compare(v.owner, name)
	})
	if !found {
		c.votes = slices.Insert(c.votes, i, vote{owner: owner})
	}
	return &c.votes[i]
}

// weight returns how many workers of the list count for the included votes.
func (c *candidate) weight(list *workerSet, include func(*vote) bool) int {
	weight := 0
	for i := range c.votes {
		if v := &c.votes[i]; v.workers != nil && include(v) {
			weight += v.workers.weightIn(list)
		}
	}
	return weight
}

// hasQuorum reports whether the weight is more than two thirds of the list's size.
func hasQuorum(weight int, list *workerSet) bool {
	return 3*weight > 2*len(list.names)
}

// updateValidity recomputes validUntil from the votes: the time until which the
// valid promises have a quorum of each of the region's lists.
func (c *candidate) updateValidity(r *region) {
	c.validUntil = c.quorumUntil(r.inUse)
	if r.newest != r.inUse {
		if until := c.quorumUntil(r.newest); until.Before(c.validUntil) {
			c.validUntil = until
		}
	}
}

// quorumUntil returns when the promises stop having a quorum of the list, or the
// zero time if all of them together have none.
func (c *candidate) quorumUntil(list *workerSet) time.Time {
	var buffer [maxOwners]*vote
	byTime := buffer[:0]
	for i := range c.votes {
		if v := &c.votes[i]; v.workers != nil && !v.validUntil.IsZero() && len(byTime) < maxOwners {
			byTime = append(byTime, v)
		}
	}
	slices.SortFunc(byTime, func(a, b *vote) int { return b.validUntil.Compare(a.validUntil) })
	weight := 0
	for _, v := range byTime {
		if weight += v.workers.weightIn(list); hasQuorum(weight, list) {
			return v.validUntil
		}
	}
	return time.Time{}
}
