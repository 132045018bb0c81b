package entry

import (
	"context"
	"sort"
	"time"

	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

// reader reads a topic's newest records, and then what was appended since.
type reader struct {
	store     *platform.Store
	partition platform.Partition
	next      int64 // the offset to read on from; negative: read the newest records first
}

func newReader(store *platform.Store, partition platform.Partition) *reader {
	return &reader{store: store, partition: partition, next: -1}
}

// read returns the next records, and whether they are the newest of all keys.
// When history was dropped, it fails and the next call reads them all. Each
// call of the store may take up to the given time, with a wait in it.
func (r *reader) read(ctx context.Context, timeout, wait time.Duration) (records []platform.Record, whole bool, err error) {
	if r.next < 0 {
		records, end, err := r.store.Newest(ctx, r.partition, timeout)
		if err == nil {
			r.next = end
		}
		return records, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tail, err := r.store.Read(ctx, r.partition, r.next, wait)
	switch {
	case err == nil:
		r.next = tail.Next
	case platform.HistoryDeleted(err):
		r.next = -1
	}
	return tail.Records, false, err
}

// follow reads a topic's newest records and then its changes, until the
// context ends.
func (p *Process) follow(ctx context.Context, name string, partition platform.Partition, apply func(records []platform.Record, end int64)) {
	topic := newReader(p.store, partition)
	down := false
	timeout := firstTimeout
	for ctx.Err() == nil {
		if topic.next >= 0 {
			timeout = followTimeout
		}
		sent := time.Now()
		records, whole, err := topic.read(ctx, timeout, followWait)
		timeout = min(2*timeout, followTimeout)
		if err == nil {
			if whole {
				p.noteLatency(time.Since(sent))
			}
			apply(records, topic.next)
		}
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != down {
			down = err != nil
			if down {
				p.log("store-lost", "topic", name, "cause", err)
			} else {
				p.log("store-regained", "topic", name)
			}
		}
		if err != nil {
			p.failedAt.Store(int64(time.Since(p.began)))
			retry := followRetry
			if platform.TooManyCalls(err) {
				retry = followRetryLoaded
			}
			pause(ctx, retry)
		}
	}
}

func (p *Process) noteLatency(took time.Duration) {
	if best := p.latency.Load(); best == 0 || int64(took) < best {
		p.latency.Store(int64(took))
	}
}

// storeSound is how long the followers' calls of the store have succeeded.
func (p *Process) storeSound() time.Duration {
	return time.Since(p.began) - time.Duration(p.failedAt.Load())
}

func (p *Process) near() bool {
	best := p.latency.Load()
	return best > 0 && time.Duration(best) < nearStore
}

// followManifest keeps the newest manifest. It never goes back.
func (p *Process) followManifest(ctx context.Context) {
	p.follow(ctx, "manifest", platform.Partition{Topic: platform.OperatorTopic}, func(records []platform.Record, _ int64) {
		for _, record := range records {
			if record.Key != platform.ManifestKey || len(record.Value) == 0 {
				continue
			}
			p.takeManifest(record.Value, "store")
		}
	})
}

// followRights keeps the newest record of each right.
func (p *Process) followRights(ctx context.Context) {
	p.follow(ctx, "rights", rightsPartition, func(records []platform.Record, end int64) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.rightsRead, p.rightsEnd = true, max(p.rightsEnd, end)
		for _, record := range records {
			p.takeRight(record)
		}
	})
}

// followWorkers reads the list of workers again and again.
func (h *holder) followWorkers() {
	list := map[string]platform.WorkerEntry{}
	topic := newReader(h.process.store, platform.Partition{Topic: platform.WorkerTopic})
	for h.ctx.Err() == nil {
		records, whole, err := topic.read(h.ctx, listTimeout, 0)
		if whole && err == nil {
			clear(list)
		}
		if err != nil {
			h.process.log("store-call-failed", "call", "workers", "service", h.service, "cause", err)
		} else if len(records) > 0 || whole {
			h.applyWorkers(list, records)
		}
		if topic.next >= 0 || err != nil {
			h.pause(listEvery)
		}
	}
}

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
