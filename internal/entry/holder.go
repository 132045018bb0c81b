package entry

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// tickEvery is the longest pause between two rounds of decisions while
	// work is waiting or running.
	tickEvery = 50 * time.Millisecond
	// inputQueue bounds the answers and requests that wait for a round.
	inputQueue = 1024
	// appendGroup is the pause after an append in which further changes
	// gather: appends are billed by the call.
	appendGroup = 15 * time.Millisecond
	// appendTimeout bounds one try of an append. It covers a store that is 60
	// times slower (240 ms an answer); a repeat is recognised by its number.
	appendTimeout = 900 * time.Millisecond
	// appendRetry is the pause after an append that failed.
	appendRetry = 100 * time.Millisecond
	// proveEvery is how old the proof of the right becomes before an empty
	// append renews it.
	proveEvery = 400 * time.Millisecond
	// storeStall is how long an append may be unanswered before the store
	// counts as silent: new jobs are refused at once, and those whose record
	// has not left are withdrawn.
	storeStall = 600 * time.Millisecond
	// keepWithout is how long the holder keeps running work alive without a
	// proof: longer than the outages of the store that the users plan for (9 s).
	keepWithout = 10 * time.Second
	// answerWithout is how old the proof may be for the answer that a job is unknown.
	answerWithout = 1 * time.Second
	// listEvery is how often the list of workers is read.
	listEvery = 400 * time.Millisecond
	// listTimeout bounds one reading of it.
	listTimeout = 900 * time.Millisecond
	// startTimeout bounds one try to start or stop: a round trip over the
	// region link (62 ms), on a machine that is slow by six times.
	startTimeout = 500 * time.Millisecond
	// lookTimeout is added to the wait of a look.
	lookTimeout = 700 * time.Millisecond
	// peerKept is how long a node counts as alive after its last greeting.
	peerKept = 2 * time.Second
	// adviceTimeout is added to the time that the adviser needs.
	adviceTimeout = 2 * time.Second
	// leaseSlack covers the way of a former holder's last order.
	leaseSlack = 500 * time.Millisecond
)

// holder acts for one service while this process holds its right.
type holder struct {
	process   *Process
	part      part
	service   string // the shard's name
	epoch     int64
	partition platform.Partition
	shard     *shard.Shard
	inputs    chan func(now time.Time)
	ctx       context.Context
	cancel    context.CancelFunc
	ended     chan struct{}
	lost      atomic.Bool
	released  atomic.Bool

	appending atomic.Int64 // when the append on its way first left, as proof; 0 if none
	proof     atomic.Int64 // time of the last proof, as nanoseconds since the process started
	sequence  int64
	stored    time.Time // end of the last append
	waiters   map[string][]chan struct{}

	mu      sync.Mutex
	members map[netip.AddrPort]*member
	turn    int
}

// member is a node that greets this holder.
type member struct {
	name  string
	heard time.Time
	calls int // calls for advice on their way
}

func jobsPartition(p part) platform.Partition {
	return platform.Partition{Topic: platform.KeyedPrefix + "jobs-" + p.service, Part: p.index}
}

func newHolder(ctx context.Context, p *Process, shardPart part, epoch int64) *holder {
	service := shardPart.name()
	h := &holder{
		process: p, part: shardPart, service: service, epoch: epoch, partition: jobsPartition(shardPart),
		inputs: make(chan func(time.Time), inputQueue), ended: make(chan struct{}),
		waiters: map[string][]chan struct{}{}, members: map[netip.AddrPort]*member{},
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	bounds := p.settings.Bounds
	h.shard = shard.New(shard.Options{
		Service: service, Epoch: epoch, Lease: bounds.MaxLease,
		OrphanAfter: keepWithout + time.Duration(float64(bounds.MaxLease)*shard.LeaseDrift) + leaseSlack,
		StateKept:   bounds.Status, Log: p.log,
	})
	return h
}

// prove notes that the right was held when a call left that the store accepted.
func (h *holder) prove(sent time.Time) { h.proof.Store(int64(sent.Sub(h.process.began))) }

// proofAge is how old the newest proof of the right is.
func (h *holder) proofAge() time.Duration {
	return time.Since(h.process.began) - time.Duration(h.proof.Load())
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

// takeOver shuts out the former holder's appends and reads what is stored.
func (h *holder) takeOver() ([]shard.Record, bool) {
	for h.ctx.Err() == nil {
		err := h.fence()
		if err == nil {
			ctx, cancel := context.WithTimeout(h.ctx, 2*appendTimeout)
			newest, _, err := h.process.store.Newest(ctx, h.partition)
			cancel()
			if err == nil {
				records := make([]shard.Record, len(newest))
				for i, record := range newest {
					records[i] = shard.Record{Key: record.Key, Value: record.Value}
				}
				return records, true
			}
			h.process.log("store-call-failed", "call", "newest", "service", h.service, "cause", err)
		} else {
			h.process.log("store-call-failed", "call", "fence", "service", h.service, "cause", err)
		}
		h.pause(appendRetry)
	}
	return nil, false
}

// fencedReason is the store's word for an append of a former holder.
const fencedReason = "fenced"

func (h *holder) pause(length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.ctx.Done():
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
		h.shard.SetAuthority(h.proofAge() < keepWithout && !h.released.Load())
		h.shard.SetAdviceSlots(h.adviceSlots())
		h.shard.Tick(now)
		h.carryOut(h.shard.Take())
		h.write(now)
	}
}

// write appends the next group of records if none is on its way.
func (h *holder) write(now time.Time) {
	if !h.shard.HasChanges() || now.Sub(h.stored) < appendGroup {
		return
	}
	batch := h.shard.TakeBatch(now)
	if len(batch) == 0 {
		return
	}
	records := make([]platform.Record, len(batch))
	for i, record := range batch {
		records[i] = platform.Record{Key: record.Key, Value: record.Value}
	}
	h.sequence++
	sequence := h.sequence
	h.appending.Store(int64(time.Since(h.process.began)))
	go h.append(records, sequence)
}

// append sends a group until it is stored or the right is lost.
func (h *holder) append(records []platform.Record, sequence int64) {
	for h.ctx.Err() == nil {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(h.ctx, appendTimeout)
		_, _, err := h.process.store.Append(ctx, platform.Append{
			Partition: h.partition, Records: records, At: -1, Producer: h.service, Epoch: h.epoch, Sequence: sequence,
		})
		cancel()
		h.process.metrics.append(time.Since(sent), err)
		if err == nil {
			h.prove(sent)
			h.appending.Store(0)
			h.input(func(now time.Time) {
				h.stored = now
				h.shard.Stored(now)
			})
			return
		}
		if platform.ReasonOf(err) == fencedReason {
			h.lose("the store refused an append of an older epoch")
			return
		}
		h.process.log("store-call-failed", "call", "append", "service", h.service, "records", len(records), "cause", err)
		h.pause(appendRetry)
	}
}

// keepProof renews the proof of the right while nothing else does.
func (h *holder) keepProof() {
	for h.ctx.Err() == nil {
		h.pause(proveEvery)
		if h.proofAge() < proveEvery || h.ctx.Err() != nil {
			continue
		}
		if err := h.fence(); err != nil && !h.lost.Load() {
			h.process.log("store-call-failed", "call", "prove", "service", h.service, "proof-age", h.proofAge(), "cause", err)
		}
	}
}

// fence sets the epoch at the store, which shuts out older ones and proves the
// right; it is lost if the store knows a newer one.
func (h *holder) fence() error {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(h.ctx, appendTimeout)
	defer cancel()
	_, _, err := h.process.store.Append(ctx, platform.Append{
		Partition: h.partition, At: -1, Producer: h.service, Epoch: h.epoch,
	})
	if platform.ReasonOf(err) == fencedReason {
		h.lose("the store refused an empty append of an older epoch")
	}
	if err == nil {
		h.prove(sent)
	}
	return err
}

// followWorkers reads the list of workers again and again.
func (h *holder) followWorkers() {
	list := map[string]platform.WorkerEntry{}
	partition := platform.Partition{Topic: platform.WorkerTopic}
	next := int64(-1)
	for h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(h.ctx, listTimeout)
		var records []platform.Record
		var err error
		whole := next < 0
		if whole {
			records, next, err = h.process.store.Newest(ctx, partition)
			if err != nil {
				next = -1
			} else {
				clear(list)
			}
		} else {
			var tail platform.Tail
			tail, err = h.process.store.Read(ctx, partition, next, 0)
			if err == nil {
				records, next = tail.Records, tail.Next
			} else if platform.StatusOf(err) == statusGone {
				next = -1
			}
		}
		cancel()
		if err != nil {
			h.process.log("store-call-failed", "call", "workers", "service", h.service, "cause", err)
		} else if len(records) > 0 || whole {
			h.applyWorkers(list, records)
		}
		if next >= 0 || err != nil {
			h.pause(listEvery)
		}
	}
}

// statusGone is the store's answer when records were deleted.
const statusGone = 410

func (h *holder) applyWorkers(list map[string]platform.WorkerEntry, records []platform.Record) {
	for _, record := range records {
		if !h.part.has(record.Key) {
			continue
		}
		if len(record.Value) == 0 {
			delete(list, record.Key)
			continue
		}
		entry, err := platform.DecodeWorker(record.Key, record.Value)
		if err != nil {
			h.process.log("worker-entry-bad", "worker", record.Key, "cause", err)
			delete(list, record.Key)
			continue
		}
		if entry.Service != h.part.service {
			delete(list, record.Key)
			continue
		}
		list[record.Key] = entry
	}
	workers := make([]shard.WorkerInfo, 0, len(list))
	for _, entry := range list {
		workers = append(workers, entry.WorkerInfo)
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	h.input(func(now time.Time) { h.shard.SetWorkers(now, workers) })
}

// carryOut sends the shard's commands.
func (h *holder) carryOut(commands shard.Commands) {
	for _, id := range commands.Settled {
		for _, waiter := range h.waiters[id] {
			close(waiter)
		}
		delete(h.waiters, id)
	}
	for _, start := range commands.Starts {
		go h.start(start)
	}
	for _, stop := range commands.Stops {
		go h.stop(stop)
	}
	for _, hold := range commands.Holds {
		go h.hold(hold)
	}
	for _, advise := range commands.Advices {
		h.advise(advise)
	}
}

func (h *holder) start(start shard.Start) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(h.ctx, startTimeout)
	defer cancel()
	err := h.process.workers.Start(ctx, start, h.epoch)
	result, reason := shard.StartAccepted, ""
	switch {
	case err == nil:
	case platform.NotDone(err):
		result, reason = shard.StartRejected, platform.ReasonOf(err)
		if reason == "" {
			reason = err.Error()
		}
	default:
		result, reason = shard.StartUnknown, err.Error()
	}
	h.process.metrics.start(time.Since(sent), result)
	if reason == fenceReason {
		h.lose("a worker knows a newer fence")
	}
	h.input(func(now time.Time) { h.shard.StartAnswered(now, start.ID, start.RunKey, result, reason) })
}

// fenceReason is a worker's word for an order of a former holder.
const fenceReason = "fence"

func (h *holder) stop(stop shard.Stop) {
	ctx, cancel := context.WithTimeout(h.ctx, startTimeout)
	defer cancel()
	err := h.process.workers.Stop(ctx, stop, h.epoch)
	if platform.ReasonOf(err) == fenceReason {
		h.lose("a worker knows a newer fence")
	}
	if err != nil {
		h.process.log("stop-failed", "task", stop.Task, "run", stop.Run, "worker", stop.ID, "cause", err)
	}
	h.input(func(now time.Time) { h.shard.StopAnswered(now, stop.ID, stop.RunKey, err == nil) })
}

func (h *holder) hold(hold shard.Hold) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(h.ctx, hold.Wait+lookTimeout)
	defer cancel()
	report, err := h.process.workers.Hold(ctx, hold, h.epoch)
	h.process.metrics.look(err)
	if platform.ReasonOf(err) == fenceReason {
		h.lose("a worker knows a newer fence")
	}
	if err != nil {
		h.input(func(now time.Time) { h.shard.HoldFailed(now, hold.ID, err.Error()) })
		return
	}
	h.input(func(now time.Time) { h.shard.Reported(now, sent, hold.ID, report) })
}

// greeted notes a living node and returns the others.
func (h *holder) greeted(_ context.Context, hello helloRequest) (helloAnswer, error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.members[hello.Address]
	if known == nil {
		known = &member{name: hello.Node}
		h.members[hello.Address] = known
	}
	known.heard = now
	answer := helloAnswer{Epoch: h.epoch, ProofAge: h.proofAge()}
	for address, other := range h.members {
		if now.Sub(other.heard) > peerKept {
			delete(h.members, address)
			continue
		}
		if address != h.process.address {
			answer.Peers = append(answer.Peers, address)
		}
	}
	sort.Slice(answer.Peers, func(i, j int) bool { return answer.Peers[i].Compare(answer.Peers[j]) < 0 })
	return answer, nil
}

// callsPerNode is how many calls for advice a node has on its way: the adviser
// takes one at a time from each machine, and one more waits there so that the
// next begins at once.
const callsPerNode = 2

// quickNodes is the share of the nodes, as 1 of n, that take only quick calls
// for advice. All holders choose the same ones, by address.
const quickNodes = 3

// living returns the addresses of the nodes that greet this holder and its
// own, in order, with those that take only quick calls first.
func (h *holder) living(now time.Time) (addresses []netip.AddrPort, quick int) {
	addresses = append(addresses, h.process.address)
	for address, m := range h.members {
		if address != h.process.address && now.Sub(m.heard) <= peerKept {
			addresses = append(addresses, address)
		}
	}
	sort.Slice(addresses, func(i, j int) bool { return addresses[i].Compare(addresses[j]) < 0 })
	return addresses, len(addresses) / quickNodes
}

// adviceSlots is how many calls for advice all living nodes take at once.
func (h *holder) adviceSlots() (quick, slow int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addresses, quickOnly := h.living(time.Now())
	if quickOnly == 0 {
		return len(addresses) * callsPerNode, len(addresses)
	}
	return quickOnly * callsPerNode, len(addresses) - quickOnly
}

// leastBusy picks the node for a call for advice.
func (h *holder) leastBusy(quick bool) (netip.AddrPort, *member) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	addresses, quickOnly := h.living(now)
	if quick && quickOnly > 0 {
		addresses = addresses[:quickOnly]
	} else {
		addresses = addresses[quickOnly:]
	}
	if h.members[h.process.address] == nil {
		h.members[h.process.address] = &member{name: h.process.settings.Node}
	}
	h.members[h.process.address].heard = now
	h.turn++
	best := addresses[h.turn%len(addresses)]
	for _, address := range addresses {
		if h.members[address].calls < h.members[best].calls {
			best = address
		}
	}
	m := h.members[best]
	m.calls++
	return best, m
}

// advise sends a call for advice through the node with the fewest of them.
func (h *holder) advise(advise shard.Advise) {
	node, m := h.leastBusy(advise.Takes <= shard.QuickAdvice)
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, advise.Takes+adviceTimeout)
		defer cancel()
		var answer adviseAnswer
		var err error
		request := adviseRequest{Step: advise.Step, Workers: advise.Workers}
		if node != h.process.address {
			answer, err = ask[adviseAnswer](ctx, h.process.peers, node, pathAdvise, request)
		} else {
			answer = h.process.advise(ctx, request)
		}
		h.mu.Lock()
		m.calls--
		h.mu.Unlock()
		cause := answer.Cause
		if err != nil {
			cause = err.Error()
		}
		h.input(func(now time.Time) { h.shard.Advised(now, advise, answer.Good, cause) })
	}()
}

// stalledFor is how long the store has left an append unanswered, zero if the
// store counts as sound.
func (h *holder) stalledFor() time.Duration {
	left := h.appending.Load()
	if left == 0 {
		return 0
	}
	if stalled := time.Since(h.process.began) - time.Duration(left); stalled >= storeStall {
		return stalled
	}
	return 0
}

const (
	// reasonStalled is told to callers while the store is silent.
	reasonStalled = "the store that keeps accepted jobs doesn't answer"
	// stallRetryMost bounds the time after which callers are asked to return
	// while the store is silent.
	stallRetryMost = 4 * time.Second
)

// refuseStalled is the answer to a job that can't be stored: the longer the
// store is silent, the later callers return.
func refuseStalled(stalled time.Duration) submitAnswer {
	return submitAnswer{Unavailable: true, Reason: reasonStalled, RetryAfter: min(max(stalled, retrySoon), stallRetryMost)}
}

// submit takes a job in and waits until it is stored.
func (h *holder) submit(ctx context.Context, request submitRequest) (submitAnswer, error) {
	if !h.part.has(request.ID) {
		return submitAnswer{}, errNotHolder // of this job's shard
	}
	if stalled := h.stalledFor(); stalled > 0 {
		return refuseStalled(stalled), nil
	}
	verdicts := make(chan shard.Verdict, 1)
	settled := make(chan struct{})
	if !h.input(func(now time.Time) {
		verdict := h.shard.Accept(now, request.ID, request.Terms, request.Spec)
		if verdict.Outcome == shard.Pending {
			h.waiters[request.ID] = append(h.waiters[request.ID], settled)
		}
		verdicts <- verdict
	}) {
		return submitAnswer{}, errNotHolder
	}
	select {
	case verdict := <-verdicts:
		switch verdict.Outcome {
		case shard.Stored:
			return submitAnswer{Accepted: true}, nil
		case shard.Refused:
			return submitAnswer{Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}, nil
		}
	case <-h.ended:
		return submitAnswer{}, errUndecided
	case <-ctx.Done():
		return submitAnswer{}, errUndecided
	}
	return h.awaitStored(ctx, request.ID, settled)
}

// awaitStored waits until a job is stored. When the store falls silent before
// the job's record has left, the job is taken back and refused.
func (h *holder) awaitStored(ctx context.Context, id string, settled chan struct{}) (submitAnswer, error) {
	timer := time.NewTimer(storeStall)
	defer timer.Stop()
	select {
	case <-settled:
		return submitAnswer{Accepted: true}, nil
	case <-timer.C:
	case <-h.ended:
		return submitAnswer{}, errUndecided
	case <-ctx.Done():
		return submitAnswer{}, errUndecided
	}
	withdrawn := make(chan bool, 1)
	if h.input(func(now time.Time) { withdrawn <- h.shard.Withdraw(now, id, reasonStalled) }) {
		select {
		case taken := <-withdrawn:
			if taken {
				return refuseStalled(storeStall), nil
			}
		case <-h.ended:
		}
	}
	return submitAnswer{Accepted: true}, h.wait(ctx, settled)
}

func (h *holder) wait(ctx context.Context, settled chan struct{}) error {
	select {
	case <-settled:
		return nil
	case <-h.ended:
		return errUndecided
	case <-ctx.Done():
		return errUndecided
	}
}

// state returns a job's state as it is stored.
func (h *holder) state(ctx context.Context, request jobRequest) (stateAnswer, error) {
	id := request.ID
	answers := make(chan stateAnswer, 1)
	if !h.input(func(time.Time) {
		state, known := h.shard.State(id)
		if !known {
			h.process.log("job-unknown", "job", id, "service", h.service, "epoch", h.epoch, "detail", h.shard.Explain(id))
		}
		answers <- stateAnswer{Known: known, State: state}
	}) {
		return stateAnswer{}, errNotHolder
	}
	select {
	case answer := <-answers:
		if !answer.Known && h.proofAge() > answerWithout {
			return stateAnswer{}, errUndecided
		}
		return answer, nil
	case <-h.ended:
		return stateAnswer{}, errNotHolder
	case <-ctx.Done():
		return stateAnswer{}, errUndecided
	}
}

// stopJob cancels a job and waits until that is stored.
func (h *holder) stopJob(ctx context.Context, request jobRequest) (stateAnswer, error) {
	id := request.ID
	outcomes := make(chan shard.Outcome, 1)
	settled := make(chan struct{})
	if !h.input(func(now time.Time) {
		outcome := h.shard.Cancel(now, id)
		if outcome == shard.Pending {
			h.waiters[id] = append(h.waiters[id], settled)
		}
		outcomes <- outcome
	}) {
		return stateAnswer{}, errNotHolder
	}
	select {
	case outcome := <-outcomes:
		switch {
		case outcome == shard.Stored:
			return stateAnswer{Known: true}, nil
		case outcome == shard.Unknown && h.proofAge() > answerWithout:
			return stateAnswer{}, errUndecided
		case outcome == shard.Unknown:
			return stateAnswer{}, nil
		}
	case <-h.ended:
		return stateAnswer{}, errUndecided
	case <-ctx.Done():
		return stateAnswer{}, errUndecided
	}
	return stateAnswer{Known: true}, h.wait(ctx, settled)
}

// waiting returns the number of a queue's jobs that haven't begun.
func (h *holder) waiting(ctx context.Context, request waitingRequest) (waitingAnswer, error) {
	answers := make(chan int, 1)
	if !h.input(func(time.Time) { answers <- h.shard.Waiting(request.Queue) }) {
		return waitingAnswer{}, errNotHolder
	}
	select {
	case count := <-answers:
		return waitingAnswer{Waiting: count}, nil
	case <-h.ended:
		return waitingAnswer{}, errNotHolder
	case <-ctx.Done():
		return waitingAnswer{}, errUndecided
	}
}
