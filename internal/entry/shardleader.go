package entry

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// tickInterval is the longest time between two rounds of the control loop.
	tickInterval = 50 * time.Millisecond
	// inputQueueLength bounds the inputs that wait for the control loop.
	inputQueueLength = 1024
	// minStallTimeout and maxStallTimeout bound the time for which an append may
	// be unanswered before the store counts as stalled: new jobs are refused at
	// once, and jobs whose record has not been sent are withdrawn. The upper bound
	// leaves a caller that waits for 3 s the time for an append.
	minStallTimeout = 600 * time.Millisecond
	maxStallTimeout = 1500 * time.Millisecond
	// workerListInterval is the time between two reads of the list of workers.
	workerListInterval = 400 * time.Millisecond
	// workerListTimeout bounds one call that reads a page of the list, of at
	// most 500 workers.
	workerListTimeout = 900 * time.Millisecond
	// orderTimeout bounds one order to a worker: four round trips between
	// regions (62 ms each). An order without an answer is sent again; a worker
	// that has carried it out ignores it.
	orderTimeout = 250 * time.Millisecond
	// pollTimeout is added to the time that a status poll waits at the worker:
	// a round trip between regions on a machine slowed down by a factor of six.
	pollTimeout = 400 * time.Millisecond
	// memberTimeout is the least time for which a node counts as live after its
	// last heartbeat.
	memberTimeout = 2 * time.Second
	// adviceTimeout is added to the time that the adviser needs.
	adviceTimeout = 2 * time.Second
	// maxLease is the longest time from a confirmation to the end of a lease that rests on
	// it. Runs have to outlive the age of the confirmation, a status poll and two changes of
	// leader in a row, but tasks of a lost worker are started elsewhere only after it.
	maxLease = 4 * time.Second
	// leaseMargin covers the travel time of a former leader's last order.
	leaseMargin = 500 * time.Millisecond
)

// shardLeader runs one shard while this process is its leader.
type shardLeader struct {
	process  *Process
	shardRef shardRef
	key      string // of the shard
	epoch    int64
	shard    *shard.Shard
	inputs   chan func(now time.Time)
	// workers has connections of this leader only, which end with it.
	workers     *platform.Workers
	workerCalls *workerCalls
	ctx         context.Context
	cancel      context.CancelFunc
	ended       chan struct{}
	lost        atomic.Bool
	released    atomic.Bool // leadership is or may be released; another node may claim it
	// releasedEpoch is the epoch of the record of the release; 0 if it isn't known.
	releasedEpoch    atomic.Int64
	former           election.Leader  // the leader that this one replaced
	predecessors     []election.Claim // see formerClaims
	maxOrphanTimeout time.Duration    // the longest time for which leases of former leaders may be left
	// leaseEnds are the ends of the leases when the control loop had ended; nil if the
	// state was not loaded, or the loop failed. It may be read once ended is closed.
	leaseEnds map[string]time.Time

	appendStarted atomic.Int64 // when the pending append was first sent, in ns since the process started; 0 if none is pending
	confirmed     atomic.Int64 // when the last call that confirmed leadership was sent, in ns of Process.sinceBoot
	witnessed     atomic.Int64 // see shard.WitnessedAt, in ns of Process.sinceBoot
	lastAppend    time.Time    // when the last append ended
	// acceptanceWaiters and endWaiters are the callers that wait until the acceptance of a
	// job, or its final state, is stored.
	acceptanceWaiters, endWaiters waiters

	confirmNow chan struct{} // requests a confirmation
	appendMu   sync.Mutex    // serializes the uses of ledger and recordsStoredAt
	ledger     *ledger.Ledger
	// newestEpochs are the producer epochs of the newest attempts, by partition.
	newestEpochs [ledger.Partitions]atomic.Int64
	// recordsStoredAt is when the last append of records succeeded.
	recordsStoredAt time.Time
	// pendingDeletions is the number of worker records that still have to be deleted from a
	// partition of the store.
	pendingDeletions atomic.Int64
	// appendLatency is the time that recent appends took, in ns.
	appendLatency atomic.Int64

	mu      sync.Mutex
	members map[netip.AddrPort]*member
	// liveSorted are the live members in the order of liveNodes, as of
	// liveSortedAt.
	liveSorted   []netip.AddrPort
	liveSortedAt time.Time
	nextNode     int // rotates the node at which leastLoadedNode starts
}

// member is a node that sends heartbeats to this leader.
type member struct {
	name        string
	lastHeard   time.Time
	nearStore   bool // its store is in its own region, and its VM isn't small
	adviceCalls int  // calls for advice in flight
}

// newShardLeader returns a shardLeader that has not started. The former leader
// may extend leases for the time formerLeaderActsFor.
func newShardLeader(ctx context.Context, p *Process, ref shardRef, epoch int64, former election.Leader, formerLeaderActsFor time.Duration) *shardLeader {
	key := ref.key()
	l := &shardLeader{
		process: p, shardRef: ref, key: key, epoch: epoch, former: former, predecessors: formerClaims(former), ledger: ledger.New(epoch),
		inputs: make(chan func(time.Time), inputQueueLength), ended: make(chan struct{}),
		confirmNow: make(chan struct{}, 1), acceptanceWaiters: waiters{}, endWaiters: waiters{}, members: map[netip.AddrPort]*member{},
	}
	l.workers = platform.NewWorkers()
	l.workerCalls = newWorkerCalls(func(worker netip.AddrPort, cause error) {
		p.log("connection-shared", "service", key, "address", worker, "cause", cause)
	})
	l.ledger.Group = shard.RecordGroup
	l.ctx, l.cancel = context.WithCancel(ctx)
	bounds := p.settings.Bounds
	lease := min(bounds.MaxLease, maxLease)
	longestLease := time.Duration(float64(lease)*shard.LeaseDriftFactor) + leaseMargin
	l.maxOrphanTimeout = election.MaxConfirmationAge + time.Duration(float64(bounds.MaxLease)*shard.LeaseDriftFactor) + leaseMargin
	formerLeaders := make([]shard.FormerLeader, len(l.predecessors))
	for i, claim := range l.predecessors {
		formerLeaders[i] = shard.FormerLeader{Epoch: claim.Epoch, LimitsLeases: claim.LimitsLeases}
	}
	l.shard = shard.New(shard.Options{
		Service: key, Epoch: epoch, Lease: lease, MaxWorkerLease: bounds.MaxLease,
		FormerLeaders: formerLeaders, ReplacedActsFor: formerLeaderActsFor, FormerActsFor: election.MaxConfirmationAge, FormerLease: longestLease,
		MaxUnwitnessedAge: election.MaxUnwitnessedAge, MaxWitnessAge: election.MaxWitnessAge,
		FinalStateRetention: bounds.StateRetention,
		Log:                 func(event string, keyvals ...any) { p.log(event, append(keyvals, "epoch", epoch)...) },
	})
	return l
}

// replacedEpoch returns the epoch with which the former leader claimed the shard, for
// shard.Options.
func replacedEpoch(former election.Leader) int64 {
	switch {
	case !former.Released:
		return former.Epoch
	case former.ReleasedClaim == 0:
		return shard.UnknownEpoch
	}
	return former.ReleasedClaim
}

// maxFormerClaims bounds the claims that a leadership record names. A leader that has read its
// workers stores that the ones before it need not be considered.
const maxFormerClaims = 8

// formerClaims returns the claims of the leaders before the next one, the oldest first.
func formerClaims(former election.Leader) []election.Claim {
	epoch := replacedEpoch(former)
	last := election.Claim{Epoch: epoch, Node: former.Node, Boot: former.Boot, Address: former.Address, LimitsLeases: former.LimitsLeases}
	if epoch == shard.UnknownEpoch {
		return []election.Claim{last}
	}
	claims := append(slices.Clone(former.Predecessors), last)
	return claims[max(0, len(claims)-maxFormerClaims):]
}

// confirm records that this process was still the leader when a call that the
// store accepted was sent. The time is a reading of Process.sinceBoot.
func (l *shardLeader) confirm(sent time.Duration) { l.confirmed.Store(int64(sent)) }

// confirmationAge is how long ago leadership was last confirmed.
func (l *shardLeader) confirmationAge() time.Duration {
	return l.process.sinceBoot() - time.Duration(l.confirmed.Load())
}

// hasAuthority reports whether this process can still prove that it is the leader.
func (l *shardLeader) hasAuthority() bool {
	age := l.confirmationAge()
	return l.holdsAt(age, l.leaseBasisAge(age))
}

// holdsAt reports whether the leader may act with a confirmation and a lease basis of these ages.
func (l *shardLeader) holdsAt(age, basisAge time.Duration) bool {
	return age < l.maxConfirmationAge() && (age < election.MaxUnwitnessedAge || basisAge < election.MaxWitnessAge)
}

// leaseBasisAge is how long ago the call was sent on which leases rest that are granted now, see
// shard.SetLeaseBasis. The confirmation has the given age.
func (l *shardLeader) leaseBasisAge(age time.Duration) time.Duration {
	if age < election.MaxUnwitnessedAge {
		return age
	}
	return l.process.sinceBoot() - time.Duration(l.witnessed.Load())
}

// maxConfirmationAge is the age of its confirmation up to which the leader
// acts.
func (l *shardLeader) maxConfirmationAge() time.Duration {
	if l.released.Load() {
		return election.MaxConfirmationAgeReleased
	}
	return election.MaxConfirmationAge
}

// run loads the shard's state and runs the control loop until the context ends
// or the leader steps down.
func (l *shardLeader) run() {
	defer close(l.ended)
	defer l.workers.CloseIdleConnections()
	defer l.cancel()
	var records []shard.Record
	ok := false
	loading, loaded := context.WithCancel(l.ctx)
	confirmationEnded := make(chan struct{})
	go func() {
		defer close(confirmationEnded)
		l.guard("confirmation", func() { l.confirmWhile(loading) })
	}()
	defer func() { loaded(); <-confirmationEnded }()
	l.guard("load", func() { records, ok = l.loadState() })
	loaded()
	if !ok {
		return
	}
	loopsEnded := make(chan struct{}, 3)
	go func() { l.guard("workers", l.followWorkers); loopsEnded <- struct{}{} }()
	go func() { l.guard("confirmation", l.renewConfirmation); loopsEnded <- struct{}{} }()
	go func() { l.guard("former leader", l.askFormerLeaders); loopsEnded <- struct{}{} }()
	l.guard("control", func() {
		l.shard.Load(time.Now(), records)
		l.process.log("state-loaded", "service", l.key, "epoch", l.epoch, "records", len(records))
		l.controlLoop()
		l.leaseEnds = l.shard.LeaseEnds()
	})
	l.cancel()
	<-loopsEnded
	<-loopsEnded
	<-loopsEnded
}

func (l *shardLeader) pause(duration time.Duration) { pause(l.ctx, duration) }

// pause waits for the given time or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stepDown ends the shardLeader because another node leads the shard.
func (l *shardLeader) stepDown(cause string) {
	if !l.lost.Swap(true) {
		l.process.log("right-lost", "service", l.key, "epoch", l.epoch, "cause", cause)
	}
	l.cancel()
}

// enqueue passes a function to the control loop. It reports false, and drops
// the function, if the leader has ended.
func (l *shardLeader) enqueue(input func(now time.Time)) bool {
	select {
	case l.inputs <- input:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// updateAuthority tells the shard until when this process was confirmed as its leader, and
// whether it may still act.
func (l *shardLeader) updateAuthority(now time.Time) {
	age := l.confirmationAge()
	l.shard.SetConfirmed(now.Add(-age))
	if age >= election.MaxUnwitnessedAge/2 {
		l.shard.SetUndeletedWorkerRecords(int(l.pendingDeletions.Load()))
		l.witnessed.Store(int64(l.shard.WitnessedAt()))
	}
	basisAge := l.leaseBasisAge(age)
	l.shard.SetLeaseBasis(now.Add(-basisAge))
	l.shard.SetAuthority(l.holdsAt(age, basisAge))
}

// controlLoop runs the enqueued functions and makes all decisions about the
// shard, one at a time, until the context ends.
func (l *shardLeader) controlLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var gauges longRunningGauges
	defer gauges.reset(l)
	for {
		var began time.Time
		select {
		case <-l.ctx.Done():
			return
		case input := <-l.inputs:
			began = time.Now()
			// The process may have been paused since the last round.
			l.updateAuthority(began)
			input(began)
		case began = <-ticker.C:
		}
		for more := true; more; {
			select {
			case input := <-l.inputs:
				input(time.Now())
			default:
				more = false
			}
		}
		now := time.Now()
		l.updateAuthority(now)
		l.shard.SetAdviceSlots(l.adviceSlots())
		l.shard.Tick(now)
		l.execute(l.shard.TakeCommands())
		l.startAppend(now)
		gauges.update(l)
		l.process.metrics.observeRound(time.Since(began))
	}
}
