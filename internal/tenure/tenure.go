// Package tenure implements home leases: a quorum protocol that decides which
// node is the home of a range, that is, of one team in one region.
//
// A node takes part in two roles. As owner it holds sessions with workers and
// promises each range to one node at a time; a promise is an exclusive vote
// that expires. As candidate it asks the owners for their promises. The weight of
// a promise is the number of workers with which its owner has a session, and a
// candidate is the home while the weight of its promises is more than two thirds
// of the number of the region's workers.
//
// The package is deterministic and does no I/O. It has no socket, file,
// goroutine, clock or global random source: time is an argument, and the same
// calls in the same order give the same decisions.
//
// # Usage
//
// A node has one Leases for all ranges, as owner and as candidate.
//
//	leases := tenure.New(tenure.Options{Self: "a", Seed: seed})
//	leases.SetRegion(now, tenure.Region{Name: "punjab", Workers: workers, Owners: nodes})
//	leases.SetWanted(now, ranges) // those for which this node is first choice
//	outgoing, events := leases.Tick(now)
//	response := leases.ReceiveRequest(now, from, request) // as owner
//	leases.ReceiveResponse(now, from, response)           // as candidate
//	if lease, ok := leases.Held(now, r); ok {
//		// Act as home, and send lease.Number with every assignment.
//	}
//	if err := leases.Check(now, r, number); err != nil {
//		// As owner: refuse the assignment.
//	}
//
// All times come from one monotonic clock of the process. Read the time of a
// received message after the message has arrived, the time of Tick before its
// requests are sent, and the time of Held right before the action. The proof
// below doesn't hold if a message is passed with a time before its arrival.
//
// # Why there is one home
//
// Proof by contradiction. Let A and B be nodes that both hold the same range at
// one instant, and let T be PromiseDuration. Every worker that counts for A has
// an owner that held the worker's session and gave A a promise, and the same
// for B.
//
//  1. No owner has promises to both A and B for the range that still count. An
//     owner keeps a promise for 1.1 T by its clock after it gave it. A candidate
//     uses it for 0.9 T by its clock from the time it sent the request, which is
//     earlier. Assumption (rates): every clock, workers' included, runs at 0.9
//     to 1.1 of the true rate. So the candidate stops within T of true time, and
//     the owner doesn't promise again before T. Assumption (names): one process
//     at a time runs under a node's name, and a process uses only its newest
//     attempt at a range. A promise ends early only by a release or a handover,
//     which its candidate sends after it stopped using the lease.
//  2. No worker counts for both through two owners. Let owner P have counted it
//     for A, and owner Q for B, where Q opened its session later. P counts a
//     worker only while the session is valid by the worker's clock: for 0.8 of
//     the session's duration from the time the renewal was sent (rates).
//     Assumption (sessions): a worker has one valid session at a time. So Q
//     opened its session after P gave its promise, and Q counts the worker only
//     after 1.1 T by its clock, when A has stopped using the promise (rates).
//  3. An owner that restarts loses its promises. Its sessions are new to it, so
//     it counts no worker before T has passed, as in 2.
//  4. So the sets of workers that count for A and B are disjoint. A candidate
//     counts only workers of its own list, so each set is a subset of its
//     candidate's list, and it has more than two thirds of the list's size. Let
//     a and b be the sizes of the lists. The lists' union has more than
//     2/3 (a + b) workers, so their symmetric difference has more than
//     1/3 (a + b). Assumption (lists): it has at most 1/3 (a + b) workers, which
//     holds if the lists differ by less than a third of the larger one. That is
//     a contradiction.
//
// A rule supports the last assumption: a node whose own list changed by a
// third or more within ListStablePeriod begins no lease. Until the list has been
// stable for that time, a lease that the node holds needs more than two thirds
// of the list before the change and of the newest list.
package tenure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the protocol.
const (
	// PromiseDuration is how long a promise lasts in true time; the proof above
	// and the design page call it T. Owners and candidates each allow for a clock
	// rate that is off by a tenth.
	PromiseDuration = 1500 * time.Millisecond
	// RenewInterval is the time between two requests of a lease's holder. Two
	// renewals fit into the time for which a candidate uses a promise.
	RenewInterval = 500 * time.Millisecond
	// SessionDuration is the duration of a worker's session by the worker's
	// clock.
	SessionDuration = 3 * time.Second
	// ListStablePeriod is the time for which a worker list must not have changed
	// by a third or more before a new lease begins.
	ListStablePeriod = 5 * time.Second

	// candidatePromiseDuration is how long a candidate uses a promise by its
	// clock. It is at most PromiseDuration by a clock that is a tenth slow.
	candidatePromiseDuration = PromiseDuration * 9 / 10
	// ownerPromiseDuration is how long an owner keeps a promise by its clock. It
	// is at least PromiseDuration by a clock that is a tenth fast. With
	// PromiseDuration instead, 36 of 1,000 simulated runs with every clock up to
	// a tenth off had two homes at once.
	ownerPromiseDuration = PromiseDuration * 11 / 10
	// sessionCountDelay is the time by the owner's clock after which the worker
	// of a newly opened session counts; it is at least PromiseDuration.
	sessionCountDelay = PromiseDuration * 11 / 10
	// ownerSessionDuration is how long an owner relies on a session by its clock.
	// The worker keeps the session for SessionDuration by its own clock without
	// a margin, so this margin covers both clocks: 0.8 / 0.9 is less than 1 / 1.1.
	ownerSessionDuration = SessionDuration * 8 / 10
	// attemptInterval is the time between two requests of a candidate that
	// doesn't hold the lease yet.
	attemptInterval = 200 * time.Millisecond
	// attemptTimeout bounds an attempt while another node wants the range, as
	// the promises given to the attempt block that node.
	attemptTimeout = PromiseDuration
	// retryJitter is the longest random delay before a retry. It spreads the
	// candidates that wait for the same promises to end, and doubles with each
	// failed attempt, up to maxRetryJitter.
	retryJitter    = 50 * time.Millisecond
	maxRetryJitter = PromiseDuration / 4
	// newPromiseRetryDelay is the longest retry delay in an owner's refusal while
	// the range's promise is younger than RenewInterval: the attempt that got the
	// promise may still fail and release it.
	newPromiseRetryDelay = 200 * time.Millisecond
	// maxTickGap is the longest time between two ticks that counts towards
	// ListStablePeriod; a longer gap is a pause of the process.
	maxTickGap = 250 * time.Millisecond
	// expiredPromiseRetention is the time after expiry at which an entry of a
	// full promise table may be dropped. No assignment is in flight for that
	// long.
	expiredPromiseRetention = 10 * time.Minute
)

// Limits on the sizes of tables and messages.
const (
	// MaxRanges limits the ranges of a candidate, of an owner's promise table
	// and of a request.
	MaxRanges = 1024
	// MaxWorkers limits the sessions of an owner and the workers in a response.
	MaxWorkers = 4096
	maxRegions = 64
	maxEvents  = 2 * MaxRanges
	maxOwners  = 64
	// maxRounds limits the rounds to which a response is still accepted.
	maxRounds = 64
	// maxFormerLists limits the former worker lists of a region. When more were
	// replaced within ListStablePeriod, new leases are suspended.
	maxFormerLists = 16
)

// Range is one team in one region; it is what a home lease covers.
type Range struct {
	Region string `json:"region" cbor:"1,keyasint"`
	Team   string `json:"team" cbor:"2,keyasint"`
}

// Compare orders ranges by region, then team.
func (r Range) Compare(other Range) int {
	return cmp.Or(cmp.Compare(r.Region, other.Region), cmp.Compare(r.Team, other.Team))
}

// LeaseNumber is the fencing token of a lease. The zero value is older than
// every lease.
type LeaseNumber struct {
	// Timestamp is the candidate's time in nanoseconds since 1970, increased
	// where needed to exceed every number that the candidate knows of.
	Timestamp int64  `json:"at" cbor:"1,keyasint"`
	Node      string `json:"node" cbor:"2,keyasint"`
}

// Compare orders numbers by time, then node.
func (n LeaseNumber) Compare(other LeaseNumber) int {
	return cmp.Or(cmp.Compare(n.Timestamp, other.Timestamp), cmp.Compare(n.Node, other.Node))
}

// PromiseRequest carries all requests of one candidate to one owner.
type PromiseRequest struct {
	// Round identifies the requests that were sent together; the owner repeats
	// it in its response.
	Round uint64 `json:"round" cbor:"1,keyasint"`
	// KnownDigest is the digest of the owner's counted workers as the candidate
	// knows them; 0 if it knows none.
	KnownDigest uint64         `json:"known-set" cbor:"2,keyasint,omitempty"`
	Ranges      []RangeRequest `json:"ranges" cbor:"3,keyasint,omitempty"`
}

// RangeRequest asks for, or releases, the promise of one range.
type RangeRequest struct {
	Range Range `json:"range" cbor:"1,keyasint"`
	// Timestamp is that of the lease number, whose node is the sender.
	Timestamp int64 `json:"at" cbor:"2,keyasint"`
	// Replaces is the lease that its holder handed over to the sender, or nil.
	Replaces *LeaseNumber `json:"replaces,omitempty" cbor:"3,keyasint,omitempty"`
	// Release ends the promise at once.
	Release bool `json:"release,omitempty" cbor:"4,keyasint,omitempty"`
}

// PromiseResponse is an owner's response to a PromiseRequest.
type PromiseResponse struct {
	Round uint64 `json:"round" cbor:"1,keyasint"`
	// WorkersDigest is the digest of the workers that the owner counts; Workers
	// lists them if the request's KnownDigest is a different one.
	WorkersDigest uint64   `json:"set" cbor:"2,keyasint"`
	Workers       []string `json:"workers,omitempty" cbor:"3,keyasint,omitempty"`
	// Promised lists the timestamps of the lease numbers that got a promise; it
	// lasts PromiseDuration.
	Promised []int64        `json:"promised" cbor:"4,keyasint,omitempty"`
	Refused  []RangeRefusal `json:"refused,omitempty" cbor:"5,keyasint,omitempty"`
	// Contended lists those timestamps in Promised whose range the owner refused
	// to a node within the last PromiseDuration, as it was promised to another.
	Contended []int64 `json:"contended,omitempty" cbor:"6,keyasint,omitempty"`
}

// Reason says why an owner refused a promise.
type Reason string

// The reasons of refusals.
const (
	// ReasonHeld means that the range is promised to another node.
	ReasonHeld Reason = "held"
	// ReasonStale means that the owner knows a newer number of the range, or
	// that the requested number has been released.
	ReasonStale Reason = "stale"
	// ReasonFull means that the owner's promise table is full.
	ReasonFull Reason = "full"
)

// RangeRefusal is an owner's refusal of one range.
type RangeRefusal struct {
	Timestamp int64  `json:"at" cbor:"1,keyasint"`
	Reason    Reason `json:"reason" cbor:"2,keyasint"`
	// Newest is the newest number that the owner knows of the range.
	Newest       LeaseNumber `json:"newest" cbor:"3,keyasint"`
	RetryAfterMS int64       `json:"retry-after-ms,omitempty" cbor:"4,keyasint,omitempty"`
}

// Error describes the refusal.
func (r *RangeRefusal) Error() string {
	return fmt.Sprintf("promise refused (%s): newest lease is %d of %q, retry after %d ms",
		r.Reason, r.Newest.Timestamp, r.Newest.Node, r.RetryAfterMS)
}

// Handover is sent to the node that a lease is handed over to. Its sender has
// stopped using the lease.
type Handover struct {
	Range  Range       `json:"range" cbor:"1,keyasint"`
	Number LeaseNumber `json:"number" cbor:"2,keyasint"`
}

// StaleLeaseError is returned by Leases.Check for a lease that a newer one
// replaced.
type StaleLeaseError struct {
	Range  Range
	Number LeaseNumber
	Newest LeaseNumber
}

// Error describes both leases and their range.
func (e *StaleLeaseError) Error() string {
	return fmt.Sprintf("lease %d of %q on %s/%s was replaced by %d of %q",
		e.Number.Timestamp, e.Number.Node, e.Range.Region, e.Range.Team, e.Newest.Timestamp, e.Newest.Node)
}

// Options are the fixed inputs of Leases.
type Options struct {
	// Self is the name of this node.
	Self string
	// Seed initializes the random source of the retry delays; it should differ
	// between nodes.
	Seed uint64
}

// Outgoing is a request to send to another node.
type Outgoing struct {
	// To is the name of the owner.
	To      string
	Request PromiseRequest
}

// Lease is a home lease that is held.
type Lease struct {
	Number LeaseNumber `json:"number"`
	// Since is when this node gained the lease. Number may increase while the
	// lease is held; Since doesn't change.
	Since time.Time `json:"since"`
	// Until is when the lease expires unless it is renewed.
	Until time.Time `json:"until"`
}

// Event reports that this node gained or lost a lease.
type Event struct {
	Range  Range       `json:"range"`
	Number LeaseNumber `json:"number"`
	Gained bool        `json:"held"`
}

// Leases is the state of one node, as owner and as candidate, for all ranges.
type Leases struct {
	self   string
	random *rand.Rand

	// These differ from the constants of the same names only in tests, which show
	// that two nodes can be home at once without the clock margins and the delay.
	candidatePromiseDuration time.Duration
	ownerPromiseDuration     time.Duration
	sessionCountDelay        time.Duration
	ownerSessionDuration     time.Duration

	// State as owner.
	promises map[Range]*promiseEntry
	sessions []*session // sorted by worker

	// State as candidate.
	regions        []*region
	candidates     []*candidate          // sorted by range
	workersByOwner map[string]*workerSet // the counted workers that each owner last sent
	round          uint64
	sentRounds     [maxRounds]sentRound
	nextRenewal    time.Time
	lastTimestamp  int64 // of the newest number that this node used
	lastTick       time.Time
	events         []Event // since the last Tick
	lastFoundIndex int     // of the candidate that candidateByTimestamp last returned
}

// sentRound is a round of requests and the time at which it was sent.
type sentRound struct {
	round uint64
	at    time.Time
}

// New returns Leases without a lease, promise, session or region.
func New(options Options) *Leases {
	return &Leases{
		self: options.Self, random: rand.New(rand.NewPCG(options.Seed, 0)),
		candidatePromiseDuration: candidatePromiseDuration, ownerPromiseDuration: ownerPromiseDuration,
		sessionCountDelay: sessionCountDelay, ownerSessionDuration: ownerSessionDuration,
		promises: make(map[Range]*promiseEntry), workersByOwner: make(map[string]*workerSet),
	}
}

// Dump is the state of Leases for operators; all lists are sorted.
type Dump struct {
	Self string `json:"self"`
	// Counted is the number of workers that count for a promise given now.
	Counted  int             `json:"counted"`
	Sessions []SessionDump   `json:"sessions"`
	Promises []PromiseDump   `json:"promises"`
	Regions  []RegionDump    `json:"regions"`
	Ranges   []CandidateDump `json:"ranges"`
}

// SessionDump is one worker session that this node opened.
type SessionDump struct {
	Worker string `json:"worker"`
	// Held is set until the session expires by this node's clock.
	Held bool `json:"held"`
	// Counted is set while the worker counts for a promise given now.
	Counted bool `json:"counted"`
}

// PromiseDump is one entry of the promise table.
type PromiseDump struct {
	Range Range `json:"range"`
	// Newest is the newest number that this owner knows of the range.
	Newest LeaseNumber `json:"newest"`
	// Promised is the number of the last promise, which ends in RemainingMS
	// milliseconds; 0 if it has ended.
	Promised    LeaseNumber `json:"promised"`
	RemainingMS int64       `json:"remaining-ms"`
}

// RegionDump describes the worker list of a region.
type RegionDump struct {
	Name string `json:"name"`
	// Workers and Owners are the lengths of the lists.
	Workers int `json:"workers"`
	Owners  int `json:"owners"`
	// SuspendedMS is for how many more milliseconds no new lease may begin
	// because the worker list changed.
	SuspendedMS int64 `json:"suspended-ms"`
}

// CandidateDump is the state of one range that this node wants or holds.
type CandidateDump struct {
	Range  Range       `json:"range"`
	Number LeaseNumber `json:"number"`
	Wanted bool        `json:"wanted"`
	Held   bool        `json:"held"`
	// Weight is the number of workers of the region's newest list that the
	// valid promises count.
	Weight int `json:"weight"`
	// Failures is the number of attempts that refusals ended since the lease was
	// last gained.
	Failures int `json:"failures"`
	// RemainingMS is for how many more milliseconds the promises have a quorum.
	RemainingMS int64 `json:"remaining-ms"`
}

// Dump returns the state at the given time.
func (l *Leases) Dump(now time.Time) Dump {
	dump := Dump{Self: l.self, Counted: len(l.countedWorkers(now).names)}
	for _, s := range l.sessions {
		dump.Sessions = append(dump.Sessions, SessionDump{s.worker, now.Before(s.heldUntil), s.isCounted(now)})
	}
	for r, p := range l.promises {
		dump.Promises = append(dump.Promises, PromiseDump{r, p.newest, p.promised, remainingMS(now, p.expiresAt)})
	}
	slices.SortFunc(dump.Promises, func(a, b PromiseDump) int { return a.Range.Compare(b.Range) })
	for _, r := range l.regions {
		dump.Regions = append(dump.Regions, RegionDump{
			r.name, len(r.newest.names), len(r.owners), remainingMS(now, r.suspendedUntil),
		})
	}
	slices.SortFunc(dump.Regions, func(a, b RegionDump) int { return cmp.Compare(a.Name, b.Name) })
	for _, c := range l.candidates {
		_, held := l.Held(now, c.leaseRange)
		entry := CandidateDump{
			Range: c.leaseRange, Number: c.number, Wanted: c.wanted, Held: held, Failures: c.failures,
			RemainingMS: remainingMS(now, c.validUntil),
		}
		if r := l.region(c.leaseRange.Region); r != nil {
			entry.Weight = c.weight(r.newest, func(v *vote) bool { return now.Before(v.validUntil) })
		}
		dump.Ranges = append(dump.Ranges, entry)
	}
	return dump
}

// remainingMS returns the whole milliseconds from now until the given time, or 0 if
// it has passed.
func remainingMS(now, until time.Time) int64 {
	return max(until.Sub(now), 0).Milliseconds()
}
