package entry

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

// topicReader reads a topic's newest records, and then those appended since.
type topicReader struct {
	store     *platform.Store
	partition platform.Partition
	next      int64 // the offset of the next read; negative: read the newest records first
}

func newTopicReader(store *platform.Store, partition platform.Partition) *topicReader {
	return &topicReader{store: store, partition: partition, next: -1}
}

// read returns the next records. snapshot reports that they are the newest
// records of all keys. If the store has deleted records that weren't read yet,
// read fails and the next call starts again with the newest records. It fails if no
// byte arrives from the store for maxSilence, which includes wait.
func (r *topicReader) read(ctx context.Context, maxSilence, wait time.Duration) (records []platform.Record, snapshot bool, err error) {
	if r.next < 0 {
		records, end, err := r.store.Newest(ctx, r.partition, maxSilence)
		if err == nil {
			r.next = end
		}
		return records, true, err
	}
	result, err := r.store.Read(ctx, r.partition, r.next, wait, maxSilence)
	switch {
	case err == nil:
		r.next = result.Next
	case platform.HistoryDeleted(err):
		r.next = -1
	}
	return result.Records, false, err
}

// follow applies a topic's newest records and then its changes, until the
// context ends. It sets lost while reads fail.
func (p *Process) follow(ctx context.Context, name string, partition platform.Partition, lost *atomic.Bool, apply func(records []platform.Record, end int64)) {
	topic := newTopicReader(p.store, partition)
	maxSilence := firstReadTimeout
	for ctx.Err() == nil {
		if topic.next >= 0 {
			maxSilence = followTimeout
		}
		sent := time.Now()
		records, snapshot, err := topic.read(ctx, maxSilence, followPollWait)
		maxSilence = min(2*maxSilence, followTimeout)
		if err == nil {
			p.recordStoreAnswer()
			if snapshot {
				p.recordStoreLatency(time.Since(sent))
			}
			if failure := guarded(func() { apply(records, topic.next) }); failure != nil {
				p.log("loop-failed", "loop", name, "cause", failure) // the records are skipped
			}
		}
		if ctx.Err() != nil {
			return
		}
		if failed := err != nil; lost.Swap(failed) != failed {
			if failed {
				p.log("store-lost", "topic", name, "cause", err)
			} else {
				p.log("store-regained", "topic", name)
			}
		}
		if err != nil {
			p.storeHealthySince.Store(0)
			p.storeAnsweredAt.Store(0)
			retry := followRetryPause
			if platform.TooManyCalls(err) {
				retry = overloadRetryPause
			}
			pause(ctx, retry)
		}
	}
}

// recordStoreLatency keeps the shortest time that a read of a topic's newest
// records took.
func (p *Process) recordStoreLatency(took time.Duration) {
	if lowest := p.storeLatency.Load(); lowest == 0 || int64(took) < lowest {
		p.storeLatency.Store(int64(took))
	}
}

// recordStoreAnswer records that the store answered a poll.
func (p *Process) recordStoreAnswer() {
	now := int64(time.Since(p.startedAt))
	if p.storeHealthyFor() == 0 {
		p.storeHealthySince.Store(now)
	}
	if before := p.storeAnsweredAt.Swap(now); before > 0 && now-before > int64(followPollWait) {
		p.storeGap.Store(now - before)
		p.storeGapEndedAt.Store(now)
	}
}

// storeSilentLately reports whether the store, which now takes storeTime for a read, has left this
// node's polls unanswered for too long within the last election.StaleConfirmationAge. It may
// have done so with the calls of a leader too, which needs some time to be confirmed again.
func (p *Process) storeSilentLately(storeTime time.Duration) bool {
	longest := followPollWait + pollMargin + appendsPerRead*storeTime
	now := time.Since(p.startedAt)
	if now-time.Duration(p.storeAnsweredAt.Load()) > longest {
		return true
	}
	return time.Duration(p.storeGap.Load()) > longest && now-time.Duration(p.storeGapEndedAt.Load()) < election.StaleConfirmationAge
}

// storeHealthyFor is for how long the store has answered this node's polls. It is 0
// if the last one failed, or if none was answered for followTimeout: a silent store
// fails no poll before that.
func (p *Process) storeHealthyFor() time.Duration {
	now := time.Since(p.startedAt)
	since, answered := time.Duration(p.storeHealthySince.Load()), time.Duration(p.storeAnsweredAt.Load())
	if since == 0 || now-answered > followTimeout {
		return 0
	}
	return now - since
}

// nearStore reports whether the store is in the node's own region, judged by
// its lowest latency.
func (p *Process) nearStore() bool {
	lowest := p.storeLatency.Load()
	return lowest > 0 && time.Duration(lowest) < nearStoreLatency
}

// followManifest keeps the manifest of the highest version in force.
func (p *Process) followManifest(ctx context.Context) {
	p.follow(ctx, "manifest", platform.Partition{Topic: platform.OperatorTopic}, &p.manifestLost, func(records []platform.Record, _ int64) {
		for _, record := range records {
			if record.Key != platform.ManifestKey || len(record.Value) == 0 {
				continue
			}
			p.applyManifest(record.Value, "store")
		}
	})
}

// followLeaders keeps the newest record of each key of the leadership topic.
func (p *Process) followLeaders(ctx context.Context) {
	p.follow(ctx, "rights", leadershipPartition, new(atomic.Bool), func(records []platform.Record, end int64) {
		p.mu.Lock()
		defer p.mu.Unlock()
		first := !p.leadersRead
		p.leadersRead, p.leadersEnd = true, max(p.leadersEnd, end)
		for _, record := range records {
			p.applyLeadershipRecord(record)
		}
		if first {
			p.log("rights-read", "rights", len(p.leaders), "end", end, "after", time.Since(p.startedAt))
		}
	})
}

// followWorkers polls the list of workers until the leader ends.
func (l *shardLeader) followWorkers() {
	list := map[string]platform.WorkerEntry{}
	topic := newTopicReader(l.process.store, platform.Partition{Topic: platform.WorkerTopic})
	for l.ctx.Err() == nil {
		records, snapshot, err := topic.read(l.ctx, workerListTimeout, 0)
		if snapshot && err == nil {
			clear(list)
		}
		if err != nil {
			l.process.log("store-call-failed", "call", "workers", "service", l.key, "cause", err)
		} else if len(records) > 0 || snapshot {
			l.applyWorkers(list, records)
		}
		if topic.next >= 0 || err != nil {
			l.pause(workerListInterval)
		}
	}
}

// applyWorkers applies records of the worker topic to the list and passes the
// shard's workers to the control loop.
func (l *shardLeader) applyWorkers(list map[string]platform.WorkerEntry, records []platform.Record) {
	for _, record := range records {
		if !l.shardRef.owns(record.Key) {
			continue
		}
		if len(record.Value) == 0 {
			delete(list, record.Key)
			continue
		}
		entry, err := platform.DecodeWorker(record.Key, record.Value)
		if err != nil {
			l.process.log("worker-entry-bad", "worker", record.Key, "cause", err)
			delete(list, record.Key)
			continue
		}
		if entry.Service != l.shardRef.service {
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
	l.enqueue(func(now time.Time) { l.shard.SetWorkers(now, workers) })
}
