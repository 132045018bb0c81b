package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// appendGroup is the pause after an append in which further changes
	// gather: appends are billed by the call.
	appendGroup = 15 * time.Millisecond
	// appendTimeout bounds one round of an append. It covers a store that is 60
	// times slower (360 ms an append) over the region link.
	appendTimeout = 900 * time.Millisecond
	// otherAfter is how long one partition may leave a call unanswered before
	// the other one is called too: four times an append over the region link.
	otherAfter = 300 * time.Millisecond
	// appendRetry is the pause after a round in which both partitions failed.
	appendRetry = 100 * time.Millisecond
	// proveEvery is how old the proof of the right becomes before an empty
	// append renews it.
	proveEvery = 400 * time.Millisecond
	// provePoll is the pause between two looks for a proof that was asked for: a
	// fraction of an append's time (5 ms and more).
	provePoll = 2 * time.Millisecond
	// overduePause is the pause between two tries to drop records in a
	// partition that didn't answer.
	overduePause = 5 * time.Second
)

// partition is where the shard's records are: the ledger's number p of them.
func (h *holder) partition(p int) platform.Partition {
	return h.part.partition(p, h.process.settings.Store.Partitions)
}

// takeOver shuts out the former holder's appends and reads what is stored.
func (h *holder) takeOver() ([]shard.Record, bool) {
	var read [ledger.Partitions][]shard.Record
	var done [ledger.Partitions]bool
	for h.ctx.Err() == nil {
		var calls sync.WaitGroup
		for p := range ledger.Partitions {
			if !done[p] {
				calls.Go(func() { read[p], done[p] = h.takeOverPartition(p) })
			}
		}
		calls.Wait()
		if !slices.Contains(done[:], false) {
			records, err := h.ledger.Load(read)
			if err != nil {
				h.process.log("record-unreadable", "service", h.service, "cause", err)
			}
			return records, true
		}
		h.pause(appendRetry)
	}
	return nil, false
}

func (h *holder) takeOverPartition(p int) ([]shard.Record, bool) {
	ctx, cancel := context.WithTimeout(h.ctx, appendTimeout)
	defer cancel()
	if err := h.fence(ctx, p, h.ledger.Epoch(p)); err != nil {
		return nil, false
	}
	newest, _, err := h.process.store.Newest(h.ctx, h.partition(p), appendTimeout)
	if err != nil {
		h.process.log("store-call-failed", "call", "newest", "service", h.service, "partition", p, "cause", err)
		return nil, false
	}
	records := make([]shard.Record, len(newest))
	for i, record := range newest {
		records[i] = shard.Record{Key: record.Key, Value: record.Value}
	}
	return records, true
}

// fence sets the epoch at a partition, which shuts out older ones and proves
// the right; it is lost if the store knows a newer one.
func (h *holder) fence(ctx context.Context, p int, epoch int64) error {
	sent := time.Now()
	return h.fenced(p, "fence", sent, h.send(ctx, ledger.Attempt{Partition: p, Epoch: epoch}))
}

func (h *holder) send(ctx context.Context, attempt ledger.Attempt) error {
	records := make([]platform.Record, len(attempt.Records))
	for i, record := range attempt.Records {
		records[i] = platform.Record{Key: record.Key, Value: record.Value}
	}
	_, _, err := h.process.store.Append(ctx, platform.Append{
		Partition: h.partition(attempt.Partition), Records: records, At: -1,
		Producer: h.service, Epoch: attempt.Epoch, Sequence: attempt.Sequence,
	})
	return err
}

// fenced draws the conclusions from the answer to an append: a proof of the
// right, or its loss.
func (h *holder) fenced(p int, call string, sent time.Time, err error) error {
	switch {
	case err == nil:
		h.prove(sent)
	case platform.Fenced(err):
		h.lose("the store refused an append of an older epoch")
	case errors.Is(err, context.Canceled): // the other partition was quicker, or the right is lost
	default:
		h.process.log("store-call-failed", "call", call, "service", h.service, "partition", p, "proof-age", h.proofAge(), "cause", err)
	}
	return err
}

// either makes a call at the current partition, and at the other one too if
// the first fails or has no answer soon. It reports whether one succeeded.
// prepare is called before each call, on the goroutine of either.
func (h *holder) either(prepare func(p int) (call func(context.Context) error, succeeded func())) bool {
	ctx, cancel := context.WithTimeout(h.ctx, appendTimeout)
	defer cancel()
	type result struct {
		succeeded func()
		err       error
	}
	results := make(chan result, ledger.Partitions)
	begin := func(p int) {
		call, succeeded := prepare(p)
		go func() { results <- result{succeeded, call(ctx)} }()
	}
	other := h.ledger.Other()
	begin(h.ledger.Current())
	timer := time.NewTimer(otherAfter)
	defer timer.Stop()
	called, answered := 1, 0
	for answered < called {
		select {
		case <-timer.C:
		case one := <-results:
			answered++
			if one.err == nil {
				one.succeeded()
				return true
			}
		}
		if called < ledger.Partitions && h.ctx.Err() == nil {
			called++
			begin(other)
		}
	}
	return false
}

// write appends the next group of records if none is on its way.
func (h *holder) write(now time.Time) {
	if !h.shard.HasChanges() || now.Sub(h.stored) < appendGroup {
		return
	}
	group := h.shard.TakeBatch(now)
	if len(group) == 0 {
		return
	}
	h.appending.Store(int64(time.Since(h.process.began)))
	go h.append(group)
}

// append stores a group, or ends with the right.
func (h *holder) append(group []shard.Record) {
	h.storing.Lock()
	defer h.storing.Unlock()
	h.ledger.Begin(group)
	for h.ctx.Err() == nil {
		if h.either(h.attempt) {
			h.appending.Store(0)
			h.input(func(now time.Time) {
				h.stored = now
				h.shard.BatchStored(now)
			})
			return
		}
		h.pause(appendRetry)
	}
}

// attempt prepares the append of the group to a partition.
func (h *holder) attempt(p int) (call func(context.Context) error, succeeded func()) {
	attempt := h.ledger.Attempt(p)
	call = func(ctx context.Context) error {
		sent := time.Now()
		err := h.send(ctx, attempt)
		h.process.metrics.append(time.Since(sent), err)
		return h.fenced(p, "append", sent, err)
	}
	return call, func() {
		if p != h.ledger.Current() {
			h.process.log("partition-changed", "service", h.service, "partition", p)
		}
		h.ledger.Confirm(attempt)
	}
}

// keepProof renews the proof of the right while nothing else does and when it
// is asked for, and drops what a partition without an answer still holds.
func (h *holder) keepProof() {
	tried := time.Now()
	timer := time.NewTimer(proveEvery)
	defer timer.Stop()
	for {
		asked := false
		select {
		case <-h.ctx.Done():
			return
		case <-h.proveNow:
			asked = true
		case <-timer.C:
			timer.Reset(proveEvery)
		}
		h.storing.Lock()
		if asked || h.proofAge() >= proveEvery {
			h.either(h.proveAt)
		}
		if time.Since(tried) >= overduePause {
			tried = time.Now()
			h.dropOverdue()
		}
		h.storing.Unlock()
	}
}

// provenSince waits for a proof that the holder had the right at the time or
// later. It reports false if the caller's time or the right ends before.
func (h *holder) provenSince(ctx context.Context, since time.Time) bool {
	asked := int64(since.Sub(h.process.began))
	for h.proof.Load() < asked {
		select {
		case h.proveNow <- struct{}{}:
		default: // it is asked for already
		}
		select {
		case <-time.After(provePoll):
		case <-ctx.Done():
			return false
		case <-h.ctx.Done():
			return false
		}
	}
	return true
}

// proveAt prepares an empty append to a partition.
func (h *holder) proveAt(p int) (call func(context.Context) error, succeeded func()) {
	epoch := h.ledger.Epoch(p)
	return func(ctx context.Context) error { return h.fence(ctx, p, epoch) }, func() { h.ledger.SetCurrent(p) }
}

func (h *holder) dropOverdue() {
	attempt, due := h.ledger.DeletionAttempt()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, otherAfter)
	defer cancel()
	if h.fenced(attempt.Partition, "drop", time.Now(), h.send(ctx, attempt)) == nil {
		h.ledger.Confirm(attempt)
	}
}
