// Package tenure decides which node is the home of a range. Owners of workers
// promise a range to one candidate at a time, and a candidate acts while it
// holds promises for more than two thirds of the region's workers.
//
// The package is pure. It has no socket, file, goroutine, clock or global
// random source: time is an argument, and the same calls in the same order
// give the same decisions.
//
// # Usage
//
// A node has one Leases for all ranges, as owner and as candidate.
//
//	leases := tenure.New(tenure.Options{Self: "a", Seed: seed})
//	leases.SetRegion(now, tenure.Region{Name: "punjab", Workers: workers, Owners: nodes})
//	leases.SetWanted(now, ranges) // those for which this node is first choice
//	outgoing, events := leases.Tick(now)
//	reply := leases.ReceiveRequest(now, from, request) // as owner
//	leases.ReceiveResponse(now, from, reply)           // as candidate
//	if lease, ok := leases.Held(now, r); ok {
//		// Act, and name lease.Number in every assignment.
//	}
//	if err := leases.Check(now, r, number); err != nil {
//		// As owner: refuse the assignment.
//	}
//
// Times passed in come from one monotonic clock of the process. The time that
// goes with a message is read after the message was received, the time of Tick
// before its requests are sent, and the time of Held right before the action.
// The proof below fails with a time that is older than the message.
//
// # Why there is one home
//
// Let A and B be nodes that both hold the same range at one instant. For every
// worker that counts for A there is a promise, given by an owner that held the
// worker's session, and the same for B.
//
//  1. No owner has a promise of the range to A and another to B that both still
//     count. An owner keeps a promise for 1.1 T by its clock after it gave it.
//     A candidate uses it for 0.9 T by its clock from the time it sent the
//     request, which is earlier. Assumption (rates): every clock, workers'
//     included, runs at 0.9 to 1.1 of the true rate. So the candidate stops
//     within T of true time, and the owner doesn't promise again before T.
//     Assumption (names): one process at a time runs under a node's name, and
//     a process uses only its newest attempt at a range. A promise ends early
//     only by a release or a handover, which its candidate sends after it
//     stopped using the lease.
//  2. No worker counts for both by way of two owners. Let P have counted it
//     for A, and Q for B, where Q opened its session later. P counts a worker
//     only while the session is live by the worker's clock: for 0.8 of the
//     session's length from the time the renewal was sent (rates). Assumption
//     (sessions): a worker has one live session at a time. So Q opened after P
//     gave its promise, and Q counts the worker after 1.1 T by its clock, when
//     A's use of the promise has ended (rates).
//  3. An owner that restarts forgets its promises. Its sessions are new to it,
//     so it counts no worker before T has passed, as in 2.
//  4. So the sets of workers that count for A and B are disjoint. Each lies
//     within its candidate's list and has more than two thirds of its size:
//     the candidate counts only workers of its own list. Let a and b be the
//     sizes of the lists. The lists' union has more than 2/3 (a + b) workers,
//     so their symmetric difference has more than 1/3 (a + b). Assumption
//     (lists): it has at most 1/3 (a + b) workers, which holds if the lists
//     differ by less than a third of the larger one. That is a contradiction.
//
// A node whose own list changed by a third or more within ListStable begins no
// lease. Until the list was stable for that time, a lease that it holds needs
// two thirds of the list before the change and of the newest list.
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
	// Length is how long a promise lasts in true time; the design page calls it
	// T. Each side allows for a clock that is a tenth off.
	Length = 1500 * time.Millisecond
	// RenewInterval is the time between two requests of a holder. Two
	// renewals fall within the time that a promise counts.
	RenewInterval = 500 * time.Millisecond
	// SessionLength is the length of a worker's session by the worker's clock.
	SessionLength = 3 * time.Second
	// ListStable is the time for which a list must not have changed by a third
	// before a new lease begins.
	ListStable = 5 * time.Second

	// guardedLength is how long a candidate uses a promise by its clock. It is
	// at most Length by a clock that is a tenth slow.
	guardedLength = Length * 9 / 10
	// promiseLength is how long an owner keeps a promise by its clock. It is at
	// least Length by a clock that is a tenth fast. With Length instead, the
	// model found two homes in 36 of 1,000 runs with every clock up to a
	// tenth off.
	promiseLength = Length * 11 / 10
	// sessionWait is the time by the owner's clock after which a newly opened
	// session counts; it is at least Length.
	sessionWait = Length * 11 / 10
	// guardedSession is how long an owner relies on a session by its clock. The
	// worker keeps SessionLength by its own clock without a guard, so this one
	// covers both clocks: 0.8 / 0.9 is less than 1 / 1.1.
	guardedSession = SessionLength * 8 / 10
	// attemptInterval is the time between two requests of a candidate that
	// doesn't hold the lease yet.
	attemptInterval = 200 * time.Millisecond
	// acquireTimeout bounds an attempt while another node wants the range, as
	// the attempt's promises keep that node out.
	acquireTimeout = Length
	// retryJitter spreads the candidates that wait for the same promises to
	// end; it doubles with each failed attempt, up to maxRetryJitter.
	retryJitter    = 50 * time.Millisecond
	maxRetryJitter = Length / 4
	// freshRetry is the retry time that an owner names for a promise that is
	// younger than RenewInterval: its candidate may fail and release it.
	freshRetry = 200 * time.Millisecond
	// maxTickGap is the longest time between two ticks that counts towards
	// ListStable; a longer one is a pause.
	maxTickGap = 250 * time.Millisecond
	// forgetAfter is the age at which an expired entry of the promise table may
	// be dropped to make room. No assignment is in flight for that long.
	forgetAfter = 10 * time.Minute
)

// Bounds of tables and messages.
const (
	MaxRanges  = 1024
	MaxWorkers = 4096
	maxRegions = 64
	maxEvents  = 2 * MaxRanges
	maxOwners  = 64
	keptRounds = 64
	keptLists  = 16
)

// Range is a team in a region.
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
	// Timestamp is the candidate's time in nanoseconds since 1970, raised where
	// needed above every number that the candidate knows of.
	Timestamp int64  `json:"at" cbor:"1,keyasint"`
	Node      string `json:"node" cbor:"2,keyasint"`
}

// Compare orders numbers by time, then node.
func (n LeaseNumber) Compare(other LeaseNumber) int {
	return cmp.Or(cmp.Compare(n.Timestamp, other.Timestamp), cmp.Compare(n.Node, other.Node))
}

// PromiseRequest carries all requests of one candidate to one owner.
type PromiseRequest struct {
	// Round names the sending; the owner repeats it in its answer.
	Round uint64 `json:"round" cbor:"1,keyasint"`
	// KnownSet is the digest of the owner's counted workers as the candidate
	// knows them; 0 for none.
	KnownSet uint64         `json:"known-set" cbor:"2,keyasint,omitempty"`
	Ranges   []RangeRequest `json:"ranges" cbor:"3,keyasint,omitempty"`
}

// RangeRequest asks for, or releases, the promise of one range.
type RangeRequest struct {
	Range Range `json:"range" cbor:"1,keyasint"`
	// Timestamp is the time part of the lease number; its node is the sender.
	Timestamp int64 `json:"at" cbor:"2,keyasint"`
	// Replaces is the lease that its holder handed over to the sender.
	Replaces *LeaseNumber `json:"replaces,omitempty" cbor:"3,keyasint,omitempty"`
	// Release ends the promise at once.
	Release bool `json:"release,omitempty" cbor:"4,keyasint,omitempty"`
}

// PromiseResponse is an owner's answer to a PromiseRequest.
type PromiseResponse struct {
	Round uint64 `json:"round" cbor:"1,keyasint"`
	// Set is the digest of the workers that the owner counts; Workers lists
	// them if the request didn't name this digest.
	Set     uint64   `json:"set" cbor:"2,keyasint"`
	Workers []string `json:"workers,omitempty" cbor:"3,keyasint,omitempty"`
	// Promised holds the time parts of the lease numbers promised for Length.
	Promised []int64        `json:"promised" cbor:"4,keyasint,omitempty"`
	Refused  []RangeRefusal `json:"refused,omitempty" cbor:"5,keyasint,omitempty"`
	// Contended holds those of Promised which another node asked for as well
	// within the last Length.
	Contended []int64 `json:"contended,omitempty" cbor:"6,keyasint,omitempty"`
}

// Reason says why an owner refused a promise.
type Reason string

// The reasons of refusals.
const (
	// ReasonHeld: the range is promised to another node.
	ReasonHeld Reason = "held"
	// ReasonStale: the owner knows a newer number of the range.
	ReasonStale Reason = "stale"
	// ReasonFull: the owner's promise table is full.
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

// Handover passes a lease on to the node that gets the message. Its sender has
// stopped using the lease.
type Handover struct {
	Range  Range       `json:"range" cbor:"1,keyasint"`
	Number LeaseNumber `json:"number" cbor:"2,keyasint"`
}

// StaleLeaseError is returned by Check for a lease that a newer one replaced.
type StaleLeaseError struct {
	Range  Range
	Number LeaseNumber
	Newest LeaseNumber
}

// Error names both leases.
func (e *StaleLeaseError) Error() string {
	return fmt.Sprintf("lease %d of %q on %s/%s was replaced by %d of %q",
		e.Number.Timestamp, e.Number.Node, e.Range.Region, e.Range.Team, e.Newest.Timestamp, e.Newest.Node)
}

// Options are the fixed inputs of Leases.
type Options struct {
	Self string
	// Seed feeds the random back-off; it should differ between nodes.
	Seed uint64
}

// Outgoing is a request to send to another node.
type Outgoing struct {
	To      string
	Request PromiseRequest
}

// Lease is a home lease that is held.
type Lease struct {
	Number LeaseNumber `json:"number"`
	// Since is when this node gained the lease. Number may grow while the
	// lease is held; Since stays.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
}

// Event says that a lease was gained or lost.
type Event struct {
	Range  Range       `json:"range"`
	Number LeaseNumber `json:"number"`
	Held   bool        `json:"held"`
}

// Leases is a node's part in all home leases.
type Leases struct {
	self   string
	random *rand.Rand

	// These differ from the constants only in tests, which show that the
	// protocol fails without them.
	useFor      time.Duration
	promiseFor  time.Duration
	countAfter  time.Duration
	sessionsFor time.Duration

	promises map[Range]*promise
	sessions []*session

	regions    []*region
	candidates []*candidate
	owners     map[string]*workerSet
	round      uint64
	sentAt     [keptRounds]sending
	renewAt    time.Time
	lastAt     int64
	lastTick   time.Time
	events     []Event
	foundLast  int
}

type sending struct {
	round uint64
	at    time.Time
}

// New returns Leases that hold nothing and promise nothing.
func New(options Options) *Leases {
	return &Leases{
		self: options.Self, random: rand.New(rand.NewPCG(options.Seed, 0)),
		useFor: guardedLength, promiseFor: promiseLength, countAfter: sessionWait, sessionsFor: guardedSession,
		promises: make(map[Range]*promise), owners: make(map[string]*workerSet),
	}
}

// Dump is the state of Leases for operators; lists are sorted.
type Dump struct {
	Self     string          `json:"self"`
	Counted  int             `json:"counted"`
	Sessions []SessionDump   `json:"sessions"`
	Promises []PromiseDump   `json:"promises"`
	Regions  []RegionDump    `json:"regions"`
	Ranges   []CandidateDump `json:"ranges"`
}

// SessionDump is one worker session that this node opened.
type SessionDump struct {
	Worker  string `json:"worker"`
	Held    bool   `json:"held"`
	Counted bool   `json:"counted"`
}

// PromiseDump is one entry of the promise table.
type PromiseDump struct {
	Range       Range       `json:"range"`
	Newest      LeaseNumber `json:"newest"`
	Promised    LeaseNumber `json:"promised"`
	RemainingMS int64       `json:"remaining-ms"`
}

// RegionDump is the worker list of a region.
type RegionDump struct {
	Name        string `json:"name"`
	Workers     int    `json:"workers"`
	Owners      int    `json:"owners"`
	SuspendedMS int64  `json:"suspended-ms"`
}

// CandidateDump is the state of one range that this node wants or holds.
type CandidateDump struct {
	Range       Range       `json:"range"`
	Number      LeaseNumber `json:"number"`
	Wanted      bool        `json:"wanted"`
	Held        bool        `json:"held"`
	Weight      int         `json:"weight"`
	Failures    int         `json:"failures"`
	RemainingMS int64       `json:"remaining-ms"`
}

// Dump returns the state at the given time.
func (l *Leases) Dump(now time.Time) Dump {
	dump := Dump{Self: l.self, Counted: len(l.counted(now).names)}
	for _, s := range l.sessions {
		dump.Sessions = append(dump.Sessions, SessionDump{s.worker, now.Before(s.heldUntil), s.counts(now)})
	}
	for r, p := range l.promises {
		dump.Promises = append(dump.Promises, PromiseDump{r, p.newest, p.promised, remaining(now, p.until)})
	}
	slices.SortFunc(dump.Promises, func(a, b PromiseDump) int { return a.Range.Compare(b.Range) })
	for _, r := range l.regions {
		dump.Regions = append(dump.Regions, RegionDump{
			r.name, len(r.newest.names), len(r.owners), remaining(now, r.suspendedUntil),
		})
	}
	slices.SortFunc(dump.Regions, func(a, b RegionDump) int { return cmp.Compare(a.Name, b.Name) })
	for _, c := range l.candidates {
		_, held := l.Held(now, c.scope)
		entry := CandidateDump{
			Range: c.scope, Number: c.number, Wanted: c.wanted, Held: held, Failures: c.failures,
			RemainingMS: remaining(now, c.validUntil),
		}
		if r := l.region(c.scope.Region); r != nil {
			entry.Weight = c.weight(r.newest, func(v *vote) bool { return now.Before(v.validUntil) })
		}
		dump.Ranges = append(dump.Ranges, entry)
	}
	return dump
}

func remaining(now, until time.Time) int64 {
	return max(until.Sub(now), 0).Milliseconds()
}
