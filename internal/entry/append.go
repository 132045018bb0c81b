package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// appendBatchDelay is the pause after an append in which further changes
	// are collected: the platform bills appends by the call.
	appendBatchDelay = 15 * time.Millisecond
	// appendTimeout bounds one append. A store that is 60 times slower than usual
	// takes 360 ms, and 300 ms more for 100 KB; several appends may wait there.
	appendTimeout = 3 * time.Second
	// loadTimeout bounds a call that fences a partition, or reads a page of it.
	loadTimeout = 900 * time.Millisecond
	// minSecondDelay and maxSecondDelay bound the time for which one partition may
	// leave a call unanswered before the other one is called too: at least four
	// times an append between regions.
	minSecondDelay = 300 * time.Millisecond
	maxSecondDelay = time.Second
	// appendRetryPause is the pause after a round in which both partitions
	// failed.
	appendRetryPause = 100 * time.Millisecond
	// confirmInterval is the age of the confirmation at which an empty append
	// renews it.
	confirmInterval = 400 * time.Millisecond
	// confirmRounds is the number of rounds after which a confirmation lets waiting
	// records go first.
	confirmRounds = 2
	// confirmPollInterval is the time between two checks for a requested
	// confirmation: a fraction of an append's time (5 ms and more).
	confirmPollInterval = 2 * time.Millisecond
	// deletionInterval is the time between two tries to carry out the deletions
	// that a partition missed because it didn't answer.
	deletionInterval = 2 * time.Second
)

// partition is the store partition that holds the ledger's partition p.
func (l *shardLeader) partition(p int) platform.Partition {
	return l.shardRef.partition(p, l.process.settings.Store.Partitions)
}

// loadState fences the former leader's appends and reads the stored records. It
// retries until both partitions are read; it reports false if the leader ends
// before.
func (l *shardLeader) loadState() ([]shard.Record, bool) {
	var read [ledger.Partitions][]shard.Record
	var done [ledger.Partitions]bool
	for l.ctx.Err() == nil {
		var calls sync.WaitGroup
		for p := range ledger.Partitions {
			if !done[p] {
				calls.Go(func() { l.guard("load", func() { read[p], done[p] = l.loadPartition(p) }) })
			}
		}
		calls.Wait()
		if !slices.Contains(done[:], false) {
			records, err := l.ledger.Load(read) // uses no field that confirmWhile uses
			if err != nil {
				l.process.log("record-unreadable", "service", l.key, "cause", err)
			}
			return records, true
		}
		l.pause(appendRetryPause)
	}
	return nil, false
}

// loadPartition fences one partition and reads its records. It reports whether
// both succeeded.
func (l *shardLeader) loadPartition(p int) ([]shard.Record, bool) {
	ctx, cancel := context.WithTimeout(l.ctx, loadTimeout)
	defer cancel()
	if err := l.fence(ctx, p, l.ledger.Epoch(p)); err != nil {
		return nil, false
	}
	newest, _, err := l.process.store.Newest(l.ctx, l.partition(p), loadTimeout)
	if err != nil {
		l.process.log("store-call-failed", "call", "newest", "service", l.key, "partition", p, "cause", err)
		return nil, false
	}
	records := make([]shard.Record, len(newest))
	for i, record := range newest {
		records[i] = shard.Record{Key: record.Key, Value: record.Value}
	}
	return records, true
}

// fence sets the epoch at a partition, so that the partition refuses appends of
// older epochs. Success confirms leadership. The leader steps down if the store
// knows a newer epoch.
func (l *shardLeader) fence(ctx context.Context, p int, epoch int64) error {
	sent := l.process.sinceBoot()
	attempt := ledger.Attempt{Partition: p, Epoch: epoch}
	return l.handleAppendResult(attempt, "fence", sent, l.send(ctx, attempt))
}

// send appends the records of an attempt.
func (l *shardLeader) send(ctx context.Context, attempt ledger.Attempt) error {
	records := make([]platform.Record, len(attempt.Records))
	for i, record := range attempt.Records {
		records[i] = platform.Record{Key: record.Key, Value: record.Value}
	}
	_, _, err := l.process.store.Append(ctx, platform.Append{
		Partition: l.partition(attempt.Partition), Records: records, ExpectedEnd: -1,
		Producer: l.key, Epoch: attempt.Epoch, Sequence: attempt.Sequence,
	})
	return err
}

// handleAppendResult confirms leadership if an append succeeded, and steps down
// if another leader has fenced it. A newer copy of the same batch that the store
// carried out first fences it too.
func (l *shardLeader) handleAppendResult(attempt ledger.Attempt, call string, sent time.Duration, err error) error {
	switch {
	case err == nil:
		l.confirm(sent)
	case platform.Fenced(err) && attempt.Epoch < l.newestEpochs[attempt.Partition].Load():
		l.process.log("copy-superseded", "call", call, "service", l.key, "partition", attempt.Partition, "epoch", l.epoch)
	case platform.Fenced(err):
		l.stepDown("the store refused an append of an older epoch")
	case errors.Is(err, context.Canceled): // the other partition answered first, or the leader has ended
	default:
		l.process.log("store-call-failed", "call", call, "service", l.key, "partition", attempt.Partition, "proof-age", l.confirmationAge(), "cause", err)
	}
	return err
}

// secondPartitionDelay is how long a partition may leave a call unanswered before the
// other one is called too. It follows the time that appends took: each further copy of a
// batch delays the next one at a slow store.
func (l *shardLeader) secondPartitionDelay() time.Duration {
	return min(max(2*l.recentAppendLatency(), minSecondDelay), maxSecondDelay)
}

// observeAppendLatency records the time that a successful append took. The caller holds
// appendMu.
func (l *shardLeader) observeAppendLatency(took time.Duration) {
	l.appendLatency.Store(int64(max(took, l.recentAppendLatency()/2)))
}

// recentAppendLatency is the time that recent appends took.
func (l *shardLeader) recentAppendLatency() time.Duration {
	return time.Duration(l.appendLatency.Load())
}

// appendToEither makes a call to the current partition, and to the other one too if the
// first fails or doesn't answer soon. It repeats both until one succeeds, the leader ends
// or, if rounds isn't 0, this number of rounds has passed: a connection may have gone
// silent, or an answer was lost. An earlier round's calls go on meanwhile, as a slow
// store may take longer than a round. It reports whether a call succeeded. Before each
// call it calls prepare, on the caller's goroutine, which holds appendMu.
func (l *shardLeader) appendToEither(rounds int, prepare func(p int) (call func(context.Context) error, succeeded func())) bool {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	type result struct {
		succeeded func()
		took      time.Duration
		err       error
	}
	results := make(chan result)
	begin := func(p int) {
		call, succeeded := prepare(p)
		go func() {
			callCtx, cancelCall := context.WithTimeout(ctx, appendTimeout)
			defer cancelCall()
			began := time.Now()
			err := guardedCall(func() error { return call(callCtx) })
			outcome := result{succeeded, time.Since(began), err}
			select {
			case results <- outcome:
			case <-ctx.Done():
			}
		}()
	}
	pending := 0
	for round := 1; ctx.Err() == nil; round++ {
		other := l.ledger.Other()
		begin(l.ledger.Current())
		pending++
		calledOther := false
		delay := l.secondPartitionDelay()
		roundEnd, secondCall := time.After(2*delay), time.After(delay)
		for ended := false; !ended; {
			select {
			case <-ctx.Done():
				return false
			case <-roundEnd:
				ended = true
			case <-secondCall:
			case answer := <-results:
				pending--
				if answer.err == nil {
					l.observeAppendLatency(answer.took)
					answer.succeeded()
					return true
				}
				if platform.Fenced(answer.err) {
					// Only a refusal of the newest copy shows another leader, so no
					// further one is sent before it is answered.
					calledOther, roundEnd = true, nil
				}
			}
			switch {
			case !ended && !calledOther:
				calledOther = true
				begin(other)
				pending++
			case pending == 0:
				ended = true
			}
		}
		if rounds > 0 && round >= rounds {
			return false
		}
		if pending == 0 {
			l.pause(appendRetryPause)
		}
	}
	return false
}

// startAppend starts the append of the next batch of records. The shard returns
// no batch while one is in flight.
func (l *shardLeader) startAppend(now time.Time) {
	if !l.shard.HasChanges() || now.Sub(l.lastAppend) < appendBatchDelay {
		return
	}
	batch := l.shard.TakeBatch(now)
	if len(batch) == 0 {
		return
	}
	l.appendStarted.Store(int64(time.Since(l.process.startedAt)))
	go l.guard("append", func() { l.appendRecords(batch) })
}

// appendRecords stores a batch of records. It retries until it succeeds or the
// leader ends.
func (l *shardLeader) appendRecords(batch []shard.Record) {
	l.appendMu.Lock()
	defer l.appendMu.Unlock()
	l.ledger.Begin(batch)
	l.countPendingDeletions()
	if !l.appendToEither(0, l.prepareAppend) {
		return
	}
	l.appendStarted.Store(0)
	l.enqueue(func(now time.Time) {
		l.lastAppend = now
		l.shard.BatchStored(now)
	})
}

// prepareAppend prepares the append of the current batch to a partition.
func (l *shardLeader) prepareAppend(p int) (call func(context.Context) error, succeeded func()) {
	attempt := l.ledger.Attempt(p)
	l.newestEpochs[p].Store(attempt.Epoch)
	call = func(ctx context.Context) error {
		started, sent := time.Now(), l.process.sinceBoot()
		err := l.send(ctx, attempt)
		l.process.metrics.observeAppend(time.Since(started), err)
		return l.handleAppendResult(attempt, "append", sent, err)
	}
	return call, func() {
		if p != l.ledger.Current() {
			l.process.log("partition-changed", "service", l.key, "partition", p)
		}
		l.ledger.Confirm(attempt)
		l.countPendingDeletions()
		if len(attempt.Records) > 0 { // an empty append doesn't change the partition's end
			l.recordsStoredAt = time.Now()
		}
	}
}

// confirmWhile renews the confirmation of leadership while the shard's state is loading.
// A large state may take seconds to read, and a leader with an old confirmation is
// replaced.
func (l *shardLeader) confirmWhile(loading context.Context) {
	for {
		pause(loading, confirmInterval)
		if loading.Err() != nil {
			return
		}
		l.appendMu.Lock()
		l.appendToEither(confirmRounds, l.prepareConfirm)
		l.appendMu.Unlock()
	}
}

// renewConfirmation renews the confirmation of leadership when it gets old and
// on request. If nothing was stored for election.AppendInterval it appends a
// record, because an empty append doesn't change the partition's end. It also
// carries out the deletions that a partition missed because it didn't answer.
func (l *shardLeader) renewConfirmation() {
	lastDeletion := time.Now()
	timer := time.NewTimer(confirmInterval)
	defer timer.Stop()
	for {
		requested := false
		select {
		case <-l.ctx.Done():
			return
		case <-l.confirmNow:
			requested = true
		case <-timer.C:
			timer.Reset(confirmInterval)
		}
		l.appendMu.Lock()
		// A batch that waits confirms too.
		batchWaits := l.appendStarted.Load() != 0
		switch {
		case !batchWaits && time.Since(l.recordsStoredAt) >= election.AppendInterval:
			l.ledger.Begin([]shard.Record{{Key: shard.ActivityKey, Value: []byte{1}}})
			l.appendToEither(confirmRounds, l.prepareAppend)
		case requested || l.confirmationAge() >= confirmInterval && !batchWaits:
			l.appendToEither(confirmRounds, l.prepareConfirm)
		}
		if time.Since(lastDeletion) >= deletionInterval {
			lastDeletion = time.Now()
			l.sendDueDeletions()
		}
		l.appendMu.Unlock()
	}
}

// confirmedSince waits until leadership is confirmed for the given time, a reading of
// Process.sinceBoot, or later. It reports false if the caller's context or the leader
// ends before.
func (l *shardLeader) confirmedSince(ctx context.Context, since time.Duration) bool {
	for time.Duration(l.confirmed.Load()) < since {
		select {
		case l.confirmNow <- struct{}{}:
		default: // already requested
		}
		select {
		case <-time.After(confirmPollInterval):
		case <-ctx.Done():
			return false
		case <-l.ctx.Done():
			return false
		}
	}
	return true
}

// prepareConfirm prepares an empty append to a partition.
func (l *shardLeader) prepareConfirm(p int) (call func(context.Context) error, succeeded func()) {
	epoch := l.ledger.Epoch(p)
	return func(ctx context.Context) error { return l.fence(ctx, p, epoch) }, func() { l.ledger.SetCurrent(p) }
}

// sendDueDeletions carries out the deletions that the partition that is not the
// current one missed because it didn't answer, if any are due.
func (l *shardLeader) sendDueDeletions() {
	attempt, due := l.ledger.DeletionAttempt()
	if !due {
		return
	}
	l.newestEpochs[attempt.Partition].Store(attempt.Epoch)
	ctx, cancel := context.WithTimeout(l.ctx, minSecondDelay)
	defer cancel()
	sent := l.process.sinceBoot()
	if l.handleAppendResult(attempt, "drop", sent, l.send(ctx, attempt)) == nil {
		l.ledger.Confirm(attempt)
		l.countPendingDeletions()
	}
}

// countPendingDeletions updates pendingDeletions. The caller holds appendMu.
func (l *shardLeader) countPendingDeletions() {
	l.pendingDeletions.Store(int64(l.ledger.PendingDeletions(shard.IsWorkerKey)))
}
