package entry

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/right"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// workersPerCore is how many workers without accelerators one holder has
	// for each core of its VM: 252 workers at 700 starts a second take 0.34 of
	// 0.8 cores, which leaves as much again for a flood.
	workersPerCore = 320
	// leastPerShard and mostPerShard bound a shard's workers. A step that is
	// spread over more workers than the adviser allows in one shard can't run
	// whole, so shards are as large as one control thread bears.
	leastPerShard = 128
	mostPerShard  = 256
	// acceleratedWeight is what a worker with accelerators counts: it runs few
	// large tasks, and large gangs need many such workers in one shard.
	acceleratedWeight = 0.6
	// countKey begins the keys of the records with a service's shards.
	countKey = "shards/"
	// countAfter is how long a new service's workers are waited for, so that
	// the count fits the fleet: four intervals of their entries, and well
	// before the first traffic (10 s).
	countAfter = 6 * time.Second
	// countRetry spreads the nodes that offer to count, and is the pause after
	// an offer that was refused.
	countRetry = 500 * time.Millisecond
	// countingKey begins the keys of the records that name who counts.
	countingKey = "counting/"
	// countPatience is how long the one node that counts may take before
	// another one does: seven pages of 500 workers over the region link and a
	// link of 10 Mbit/s take 1.4 s.
	countPatience = 2500 * time.Millisecond
	// countRetries is how often the count is appended again because other
	// records came between: the other services' counts and claims.
	countRetries = 20
)

// takeCount notes a service's shards; the lock is held.
func (p *Process) takeCount(service string, record platform.Record) {
	var count int
	if err := cbor.Unmarshal(record.Value, &count); err != nil || count < 1 {
		p.log("record-unreadable", "key", record.Key, "cause", err)
		return
	}
	p.noteCount(service, count, "store")
}

// noteCount takes what the store or another node says of a service's shards;
// the lock is held. The first count holds.
func (p *Process) noteCount(service string, count int, from string) {
	if p.counts[service] != 0 || count < 1 {
		return
	}
	p.counts[service] = count
	p.log("shards-counted", "service", service, "shards", count, "from", from)
	p.announce()
}

// countShards stores how many shards a new service has, by its workers. Nodes
// first append that they count, so that one of them reads the list of workers:
// if all did, they would fill the link between regions and the store's reads.
func (p *Process) countShards(ctx context.Context, service string) {
	p.mu.Lock()
	named := p.counting[service]
	p.mu.Unlock()
	mine := named.node == p.settings.Node
	switch {
	case time.Since(p.began) < p.countDelay(service), time.Since(p.countTried) < countRetry:
		return
	case !mine && time.Since(named.since) < countPatience:
		return // another node counts
	}
	p.countTried = time.Now()
	ctx, cancel := context.WithTimeout(ctx, countPatience)
	defer cancel()
	if !mine {
		if err := p.appendCount(ctx, service, platform.Record{Key: countingKey + service, Value: []byte(p.settings.Node)}, 0); err != nil {
			p.log("count-left", "service", service, "cause", err)
			return
		}
	}
	records, _, err := p.store.Newest(ctx, platform.Partition{Topic: platform.WorkerTopic}, listTimeout)
	if err != nil {
		p.log("store-call-failed", "call", "count", "service", service, "cause", err)
		return
	}
	weight := workersWeight(records, service)
	if weight == 0 {
		return // no worker is listed yet
	}
	value, err := cbor.Marshal(shardsFor(weight, p.settings.Cores))
	if err != nil {
		p.log("record-not-encoded", "key", service, "cause", err)
		return
	}
	err = p.appendCount(ctx, service, platform.Record{Key: countKey + service, Value: value}, countRetries)
	p.log("shards-offered", "service", service, "workers", len(records), "weight", weight, "cause", err)
}

// countDelay is how long after its start this node offers to count. Large nodes
// near the store come first, as the count goes by the cores of the node.
func (p *Process) countDelay(service string) time.Duration {
	delay := time.Duration(p.jitter(service) * float64(countRetry))
	if !p.near() {
		delay += countRetry
	}
	if p.settings.Cores < smallCores {
		delay += countRetry
	}
	if p.settings.FirstStart {
		delay += countAfter
	}
	return delay
}

// workersWeight adds up the service's workers in a list. Entries that can't be
// read count nothing; the holder logs them.
func workersWeight(records []platform.Record, service string) float64 {
	weight := 0.0
	for _, record := range records {
		entry, err := platform.DecodeWorker(record.Key, record.Value)
		switch {
		case err != nil || entry.Service != service:
		case entry.Capacity.GPUs > 0:
			weight += acceleratedWeight
		default:
			weight++
		}
	}
	return weight
}

// shardsFor is how many shards a service with workers of this weight has, where
// the larger VMs have so many cores.
func shardsFor(weight, cores float64) int {
	size := min(mostPerShard, max(leastPerShard, workersPerCore*cores))
	return max(1, int(math.Ceil(weight/size)))
}

// errCounted says that a service has its count of shards.
var errCounted = errors.New("the service is counted")

// appendCount appends a record of a service's count, unless another node was
// quicker. An append to the rights that says nothing of it costs one of the
// retries.
func (p *Process) appendCount(ctx context.Context, service string, record platform.Record, retries int) error {
	for {
		p.mu.Lock()
		at, count, changed := p.rightsEnd, p.counts[service], p.changed
		p.mu.Unlock()
		if count > 0 {
			return errCounted
		}
		_, end, err := p.appendAt(ctx, record, at)
		if err == nil {
			p.mu.Lock()
			p.rightsEnd = max(p.rightsEnd, end)
			p.mu.Unlock()
			return nil
		}
		if retries--; retries < 0 || ctx.Err() != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(right.Step):
		case <-ctx.Done():
		}
	}
}

// counter is the node that counts a service's workers.
type counter struct {
	node  string
	since time.Time
}

// takeCounting notes that a node counts a service's workers; the lock is held.
func (p *Process) takeCounting(service, node string) {
	p.counting[service] = counter{node, time.Now()}
	p.log("count-begun", "service", service, "node", node)
}
