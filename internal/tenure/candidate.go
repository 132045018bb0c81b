package tenure

import (
	"slices"
	"strings"
	"time"
)

// candidate is this node's attempt at, or lease of, one range.
type candidate struct {
	scope  Range
	wanted bool
	// number is the zero value while the node neither asks nor holds.
	number LeaseNumber
	held   bool
	// since is when the lease was gained, or else when the attempt began.
	since time.Time
	// askAt is when to ask next, apart from the regular renewals.
	askAt time.Time
	votes []vote
	// validUntil is when the weight falls to two thirds or less.
	validUntil time.Time
	// newest is the newest number that an owner or a former home named.
	newest   LeaseNumber
	replaces *LeaseNumber
	// contended is set once an owner told of another candidate.
	contended bool
	failures  int
}

// vote is what one owner last said.
type vote struct {
	owner      string
	validUntil time.Time
	set        *workerSet
	// refusedUntil is when the owner may promise.
	refusedUntil time.Time
}

// SetWanted replaces the ranges for which this node is first choice. A lease
// that is held is kept when its range is no longer wanted, until it is lost or
// handed over, so that a new first choice moves no home.
func (l *Leases) SetWanted(now time.Time, ranges []Range) {
	wanted := slices.Compact(slices.SortedFunc(slices.Values(ranges), Range.Compare))
	for _, c := range l.candidates {
		_, c.wanted = slices.BinarySearchFunc(wanted, c.scope, Range.Compare)
	}
	for _, scope := range wanted {
		l.candidate(now, scope, true)
	}
}

// candidate returns the entry of a range; with add set it makes one, unless
// there are too many.
func (l *Leases) candidate(now time.Time, scope Range, add bool) *candidate {
	i, found := slices.BinarySearchFunc(l.candidates, scope, func(c *candidate, r Range) int {
		return c.scope.Compare(r)
	})
	if found {
		return l.candidates[i]
	}
	if !add || len(l.candidates) >= MaxRanges {
		return nil
	}
	c := &candidate{scope: scope, wanted: true, askAt: now}
	l.candidates = slices.Insert(l.candidates, i, c)
	return c
}

// Held reports whether this node is the home of the range at this moment. It
// is called before each action.
func (l *Leases) Held(now time.Time, scope Range) (Lease, bool) {
	c := l.candidate(now, scope, false)
	if c == nil || !c.held || !now.Before(c.validUntil) {
		return Lease{}, false
	}
	return Lease{Number: c.number, Since: c.since, Until: c.validUntil}, true
}

// HandOver gives up a lease in favour of the node that gets the message. That
// node need not wait until the promises end. It reports false if the lease is
// not held.
func (l *Leases) HandOver(now time.Time, scope Range) (Handover, bool) {
	lease, held := l.Held(now, scope)
	if !held {
		return Handover{}, false
	}
	c := l.candidate(now, scope, false)
	l.record(c, false)
	c.stop(now.Add(2 * Length))
	c.wanted = false
	return Handover{Range: scope, Number: lease.Number}, true
}

// ReceiveHandover makes this node ask for the range at its next tick.
func (l *Leases) ReceiveHandover(now time.Time, handover Handover) {
	c := l.candidate(now, handover.Range, true)
	if c == nil || c.held {
		return
	}
	c.wanted, c.askAt, c.replaces = true, now, &handover.Number
	c.learn(handover.Number)
}

// Tick applies the passage of time. It returns the requests to send, at most
// one for each owner, in the order of the owners' names, and the leases gained
// and lost since the last tick. The caller calls it every 50 ms; a call in
// which nothing is due sends nothing.
func (l *Leases) Tick(now time.Time) ([]Outgoing, []Event) {
	l.resume(now)
	all := !now.Before(l.renewAt)
	if all {
		l.renewAt = now.Add(RenewInterval)
	}
	var asked []asking
	for _, c := range l.candidates {
		asked = l.step(now, c, all, asked)
	}
	l.candidates = slices.DeleteFunc(l.candidates, func(c *candidate) bool {
		return !c.wanted && c.number == LeaseNumber{}
	})
	outgoing := l.send(now, asked)
	events := l.events
	l.events = nil
	return outgoing, events
}

// resume adds the time of a pause to the time for which lists have to be
// stable, as the node saw no changes in it.
func (l *Leases) resume(now time.Time) {
	if gap := now.Sub(l.lastTick); !l.lastTick.IsZero() && gap > maxTickGap {
		for _, r := range l.regions {
			r.suspendedUntil = r.suspendedUntil.Add(gap)
		}
	}
	l.lastTick = now
	for _, r := range l.regions {
		l.settle(now, r)
	}
}

type asking struct {
	owners  []string
	request RangeRequest
}

// step brings one candidate up to date and adds what it asks for.
func (l *Leases) step(now time.Time, c *candidate, all bool, asked []asking) []asking {
	lapsed := c.number
	l.lapse(now, c)
	r := l.region(c.scope.Region)
	if r == nil {
		return asked
	}
	if !c.wanted && lapsed != c.number {
		return append(asked, asking{r.owners, RangeRequest{Range: c.scope, Timestamp: lapsed.Timestamp, Release: true}})
	}
	if c.number != (LeaseNumber{}) && !c.held {
		if retryAt, stop := l.failed(now, c, r); stop {
			asked = append(asked, asking{r.owners, RangeRequest{Range: c.scope, Timestamp: c.number.Timestamp, Release: true}})
			c.stop(retryAt)
		}
	}
	due := all
	if c.number == (LeaseNumber{}) {
		if !c.wanted || now.Before(c.askAt) || r.inUse != r.newest || len(r.newest.names) == 0 {
			return asked
		}
		l.renumber(now, c)
		c.since, due = now, true
	} else if !c.askAt.IsZero() && !now.Before(c.askAt) {
		due = true
	}
	if !due {
		return asked
	}
	c.askAt = time.Time{}
	if !c.held {
		c.askAt = now.Add(attemptInterval)
	}
	return append(asked, asking{r.owners, RangeRequest{Range: c.scope, Timestamp: c.number.Timestamp, Replaces: c.replaces}})
}

// failed reports whether an attempt has to stop and when to try again. It
// stops when it is no longer wanted, has lasted too long while another node
// wants the range, or can't succeed before promises to others end: its own
// promises would only keep others out.
func (l *Leases) failed(now time.Time, c *candidate, r *region) (time.Time, bool) {
	if !c.wanted || r.inUse != r.newest {
		return now, true
	}
	if now.Sub(c.since) > acquireTimeout && (c.contended || l.unanswered(c, r)) {
		// The others retry within promiseLength, so they get their turn.
		return now.Add(promiseLength + l.upTo(Length/2)), true
	}
	refused := c.weight(r.newest, func(v *vote) bool { return now.Before(v.refusedUntil) })
	if hasQuorum(len(r.newest.names)-refused, r.newest) {
		return time.Time{}, false
	}
	c.failures++
	jitter := min(retryJitter<<min(c.failures-1, 8), maxRetryJitter)
	return c.freeAt(now, r.newest).Add(l.upTo(jitter)), true
}

// unanswered reports whether no other owner answered in this attempt. Then the
// node may be one that is heard and hears nobody, and its requests would renew
// promises that it never learns of.
func (l *Leases) unanswered(c *candidate, r *region) bool {
	others := 0
	for i := range c.votes {
		if c.votes[i].owner != l.self {
			others++
		}
	}
	return others == 0 && len(r.owners) > 1
}

// upTo returns a random time up to the limit.
func (l *Leases) upTo(limit time.Duration) time.Duration {
	return time.Duration(l.random.Int64N(int64(limit) + 1))
}

// freeAt returns when so many refusals have ended that the rest may suffice.
func (c *candidate) freeAt(now time.Time, list *workerSet) time.Time {
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

// renumber gives the candidate a new number. Promises are exclusive by node,
// so those given for the old number still count.
func (l *Leases) renumber(now time.Time, c *candidate) {
	l.lastAt = max(now.UnixNano(), l.lastAt+1, c.newest.Timestamp+1)
	c.number = LeaseNumber{l.lastAt, l.self}
	c.learn(c.number)
}

// send puts the requests together by owner. Those to this node itself are
// answered at once.
func (l *Leases) send(now time.Time, asked []asking) []Outgoing {
	if len(asked) == 0 {
		return nil
	}
	l.round++
	l.sentAt[l.round%keptRounds] = sending{l.round, now}
	var outgoing []Outgoing
	for _, a := range asked {
		for _, owner := range a.owners {
			i, found := slices.BinarySearchFunc(outgoing, owner, func(o Outgoing, name string) int {
				return strings.Compare(o.To, name)
			})
			if !found {
				request := PromiseRequest{Round: l.round, Ranges: make([]RangeRequest, 0, len(asked))}
				if set := l.owners[owner]; set != nil {
					request.KnownSet = set.digest
				}
				outgoing = slices.Insert(outgoing, i, Outgoing{owner, request})
			}
			outgoing[i].Request.Ranges = append(outgoing[i].Request.Ranges, a.request)
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

// ReceiveResponse takes an owner's answer. An answer to a request that is
// unknown or older than the last keptRounds is ignored.
func (l *Leases) ReceiveResponse(now time.Time, from string, answer PromiseResponse) {
	sent := l.sentAt[answer.Round%keptRounds]
	if answer.Round == 0 || sent.round != answer.Round || !l.isOwner(from) {
		return
	}
	set := l.owners[from]
	if set == nil || set.digest != answer.Set {
		if len(answer.Workers) > MaxWorkers || !slices.IsSorted(answer.Workers) {
			return
		}
		set = newWorkerSet(answer.Workers)
		if set.digest != answer.Set {
			return
		}
		l.owners[from] = set
	}
	for _, at := range answer.Promised {
		if c := l.numbered(at); c != nil {
			l.lapse(now, c)
			l.count(now, c, from, set, sent.at)
		}
	}
	for _, at := range answer.Contended {
		if c := l.numbered(at); c != nil {
			c.contended = true
		}
	}
	for i := range answer.Refused {
		if c := l.numbered(answer.Refused[i].Timestamp); c != nil {
			l.refused(now, c, from, set, &answer.Refused[i])
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

// numbered returns the candidate with the given number, or nil. The search
// starts behind the one found last, as answers keep the order of the requests.
func (l *Leases) numbered(at int64) *candidate {
	for range l.candidates {
		l.foundLast = (l.foundLast + 1) % len(l.candidates)
		if c := l.candidates[l.foundLast]; c.number.Timestamp == at && at != 0 {
			return c
		}
	}
	return nil
}

// count takes a promise that was asked for at sentAt.
func (l *Leases) count(now time.Time, c *candidate, owner string, set *workerSet, sentAt time.Time) {
	r := l.region(c.scope.Region)
	if r == nil || c.number == (LeaseNumber{}) {
		return
	}
	v := c.vote(owner)
	if until := sentAt.Add(l.useFor); until.After(v.validUntil) {
		v.validUntil, v.set, v.refusedUntil = until, set, time.Time{}
	}
	c.revalue(r)
	if !c.held && r.inUse == r.newest && now.Before(c.validUntil) {
		c.held, c.since, c.failures, c.replaces = true, now, 0, nil
		l.record(c, true)
	}
}

// refused takes a refusal. After one for a stale number the candidate asks
// again under a newer one.
func (l *Leases) refused(now time.Time, c *candidate, owner string, set *workerSet, refusal *RangeRefusal) {
	c.learn(refusal.Newest)
	if refusal.Reason == ReasonStale {
		if c.number.Compare(c.newest) < 0 {
			l.renumber(now, c)
			c.askAt = now
		}
		return
	}
	v := c.vote(owner)
	if v.validUntil.Before(now) {
		v.set = set
	}
	retry := min(time.Duration(max(refusal.RetryAfterMS, 0))*time.Millisecond, promiseLength)
	v.refusedUntil = now.Add(retry)
}

// lapse ends a lease whose time has passed. Its promises are dropped, so that
// it can't come back to life through late answers.
func (l *Leases) lapse(now time.Time, c *candidate) {
	if c.held && !now.Before(c.validUntil) {
		l.record(c, false)
		c.stop(now)
	}
}

func (l *Leases) record(c *candidate, held bool) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, Event{c.scope, c.number, held})
	}
}

// stop forgets the attempt or lease and sets when the next may begin.
func (c *candidate) stop(retryAt time.Time) {
	c.number, c.held, c.contended, c.votes, c.replaces = LeaseNumber{}, false, false, nil, nil
	c.validUntil, c.askAt = time.Time{}, retryAt
}

func (c *candidate) learn(number LeaseNumber) {
	if number.Compare(c.newest) > 0 {
		c.newest = number
	}
}

// vote returns the entry of an owner, which is added if it is new. Owners are
// bounded by the region's list.
func (c *candidate) vote(owner string) *vote {
	i, found := slices.BinarySearchFunc(c.votes, owner, func(v vote, name string) int {
		return strings.Compare(v.owner, name)
	})
	if !found {
		c.votes = slices.Insert(c.votes, i, vote{owner: owner})
	}
	return &c.votes[i]
}

// weight returns the number of workers of the list that the included owners
// count.
func (c *candidate) weight(list *workerSet, include func(*vote) bool) int {
	weight := 0
	for i := range c.votes {
		if v := &c.votes[i]; v.set != nil && include(v) {
			weight += v.set.weightIn(list)
		}
	}
	return weight
}

// hasQuorum reports whether the weight is more than two thirds of the list.
func hasQuorum(weight int, list *workerSet) bool {
	return 3*weight > 2*len(list.names)
}

// revalue recomputes validUntil from the votes: the latest time at which the
// promises that still count have a quorum of every list.
func (c *candidate) revalue(r *region) {
	c.validUntil = c.quorumUntil(r.inUse)
	if r.newest != r.inUse {
		if until := c.quorumUntil(r.newest); until.Before(c.validUntil) {
			c.validUntil = until
		}
	}
}

// quorumUntil returns when the promises no longer have a quorum of the list; it
// is the zero time if they have none.
func (c *candidate) quorumUntil(list *workerSet) time.Time {
	var buffer [maxOwners]*vote
	byTime := buffer[:0]
	for i := range c.votes {
		if v := &c.votes[i]; v.set != nil && !v.validUntil.IsZero() && len(byTime) < maxOwners {
			byTime = append(byTime, v)
		}
	}
	slices.SortFunc(byTime, func(a, b *vote) int { return b.validUntil.Compare(a.validUntil) })
	weight := 0
	for _, v := range byTime {
		if weight += v.set.weightIn(list); hasQuorum(weight, list) {
			return v.validUntil
		}
	}
	return time.Time{}
}
