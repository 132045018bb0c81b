package entry

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/right"
	"yuccalanding.example/yuccalanding/internal/shard"
)

const (
	// tickEvery is the longest pause between two rounds of decisions while
	// work is waiting or running.
	tickEvery = 50 * time.Millisecond
	// inputQueue bounds the answers and requests that wait for a round.
	inputQueue = 1024
	// storeStall is how long an append may be unanswered before the store
	// counts as silent: new jobs are refused at once, and those whose record
	// has not left are withdrawn.
	storeStall = 600 * time.Millisecond
	// listEvery is how often the list of workers is read.
	listEvery = 400 * time.Millisecond
	// listTimeout bounds one call of the store for it, of at most 500 workers.
	listTimeout = 900 * time.Millisecond
	// startTimeout bounds one try to start or stop: four round trips over the
	// region link (62 ms). An order without an answer is given again, which
	// does nothing on a worker that has carried it out.
	startTimeout = 250 * time.Millisecond
	// lookTimeout is added to the wait of a look: a round trip over the region
	// link on a machine that is slow by six times.
	lookTimeout = 400 * time.Millisecond
	// peerKept is how long a node counts as alive after its last greeting.
	peerKept = 2 * time.Second
	// adviceTimeout is added to the time that the adviser needs.
	adviceTimeout = 2 * time.Second
	// leaseMost is the longest lease that a holder gives: a look that waits
	// (1.5 s), and twice the change of a holder (1.7 s). Work on a worker that
	// is gone starts elsewhere only when its lease is over.
	leaseMost = 5 * time.Second
	// leaseSlack covers the way of a former holder's last order.
	leaseSlack = 500 * time.Millisecond
)

// holder acts for one service while this process holds its right.
type holder struct {
	process *Process
	part    part
	service string // the shard's name
	epoch   int64
	shard   *shard.Shard
	inputs  chan func(now time.Time)
	ctx     context.Context
	cancel  context.CancelFunc
	ended   chan struct{}
	lost    atomic.Bool
	offered atomic.Bool // the right is released; the next holder may claim it

	appending atomic.Int64 // when the append on its way first left, as proof; 0 if none
	proof     atomic.Int64 // time of the last proof, as nanoseconds since the process started
	stored    time.Time    // end of the last append
	waiters   map[string][]chan struct{}

	proveNow chan struct{} // asks for a proof
	storing  sync.Mutex    // held by the one group of calls of the store that is on its way
	ledger   *ledger.Ledger

	mu      sync.Mutex
	members map[netip.AddrPort]*member
	// orderedNodes are the members in order, as of orderedAt.
	orderedNodes []netip.AddrPort
	orderedAt    time.Time
	turn         int
}

// member is a node that greets this holder.
type member struct {
	name  string
	heard time.Time
	near  bool // near the store
	calls int  // calls for advice on their way
}

// newHolder returns a holder that has not started. The former holder may extend
// leases for the given time.
func newHolder(ctx context.Context, p *Process, shardPart part, epoch int64, formerActs time.Duration) *holder {
	service := shardPart.name()
	h := &holder{
		process: p, part: shardPart, service: service, epoch: epoch, ledger: ledger.New(epoch),
		inputs: make(chan func(time.Time), inputQueue), ended: make(chan struct{}),
		proveNow: make(chan struct{}, 1), waiters: map[string][]chan struct{}{}, members: map[netip.AddrPort]*member{},
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	bounds := p.settings.Bounds
	lease := min(bounds.MaxLease, leaseMost)
	h.shard = shard.New(shard.Options{
		Service: service, Epoch: epoch, Lease: lease,
		OrphanTimeout:       formerActs + time.Duration(float64(lease)*shard.LeaseDriftFactor) + leaseSlack,
		FinalStateRetention: bounds.Status, Log: p.log,
	})
	return h
}

// prove notes that the right was held when a call left that the store accepted.
func (h *holder) prove(sent time.Time) { h.proof.Store(int64(sent.Sub(h.process.began))) }

// proofAge is how old the newest proof of the right is.
func (h *holder) proofAge() time.Duration {
	return time.Since(h.process.began) - time.Duration(h.proof.Load())
}

// keepWithout is how old the proof may be for the holder to act.
func (h *holder) keepWithout() time.Duration {
	if h.offered.Load() {
		return right.KeepOffered
	}
	return right.KeepWithoutProof
}

// run takes the state over and decides until the context ends or the right is lost.
func (h *holder) run() {
	defer close(h.ended)
	defer h.cancel()
	records, ok := h.takeOver()
	if !ok {
		return
	}
	h.shard.Load(time.Now(), records)
	h.process.log("state-loaded", "service", h.service, "epoch", h.epoch, "records", len(records))
	tasks := make(chan struct{}, 2)
	go func() { h.followWorkers(); tasks <- struct{}{} }()
	go func() { h.keepProof(); tasks <- struct{}{} }()
	h.decide()
	h.cancel()
	<-tasks
	<-tasks
}

func (h *holder) pause(length time.Duration) { pause(h.ctx, length) }

// pause waits for so long or until the context ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lose ends the holder because another node has the right.
func (h *holder) lose(cause string) {
	if !h.lost.Swap(true) {
		h.process.log("right-lost", "service", h.service, "epoch", h.epoch, "cause", cause)
	}
	h.cancel()
}

// input hands a decision to the control thread. It is dropped once the holder
// has ended.
func (h *holder) input(decision func(now time.Time)) bool {
	select {
	case h.inputs <- decision:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// decide is the control thread.
func (h *holder) decide() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case decision := <-h.inputs:
			decision(time.Now())
		case <-ticker.C:
		}
		for more := true; more; {
			select {
			case decision := <-h.inputs:
				decision(time.Now())
			default:
				more = false
			}
		}
		now := time.Now()
		h.shard.SetAuthority(h.proofAge() < h.keepWithout())
		h.shard.SetAdviceSlots(h.adviceSlots())
		h.shard.Tick(now)
		h.carryOut(h.shard.TakeCommands())
		h.write(now)
	}
}
