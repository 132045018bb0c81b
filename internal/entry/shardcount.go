package entry

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/platform"
)

const (
	// workersPerCore is how many workers without GPUs one leader serves for
	// each core of its VM. 252 workers at 700 starts a second take 0.34 of
	// 0.8 cores, which leaves as much again for a burst of requests.
	workersPerCore = 320
	// minShardWorkers and maxShardWorkers bound the workers of a shard. A step
	// whose tasks need more workers than the adviser allows in one shard can't
	// run as a whole, so shards are as large as one control loop can serve.
	minShardWorkers = 128
	maxShardWorkers = 256
	// gpuWorkerWeight is the weight of a worker with GPUs; others have
	// weight 1. It runs few large tasks, and large gangs need many such workers
	// in one shard.
	gpuWorkerWeight = 0.6
	// shardCountKey is the key prefix of the records with a service's number of
	// shards.
	shardCountKey = "shards/"
	// firstCountDelay is how long the first start waits for a service's workers
	// to register, so that the count fits their number: four of the intervals
	// at which workers write their entries, and well before the first traffic
	// (10 s).
	firstCountDelay = 6 * time.Second
	// countRetryPause spreads the nodes that try to count, and is the pause
	// after a failed try.
	countRetryPause = 500 * time.Millisecond
	// countingKey is the key prefix of the records that name the node that
	// counts a service's workers.
	countingKey = "counting/"
	// countTimeout is how long a node may count before another one takes over.
	// Seven pages of 500 workers take 1.4 s over a link of 10 Mbit/s between
	// regions.
	countTimeout = 2500 * time.Millisecond
	// countRetries is how often the count is appended again because other
	// records were appended first: other services' counts, and claims.
	countRetries = 20
)

// applyShardCount applies a record with a service's number of shards. The
// caller holds p.mu.
func (p *Process) applyShardCount(service string, record platform.Record) {
	var count int
	if err := cbor.Unmarshal(record.Value, &count); err != nil || count < 1 {
		p.log("record-unreadable", "key", record.Key, "cause", err)
		return
	}
	p.updateShardCount(service, count, "store")
}

// updateShardCount records a service's number of shards as reported by the
// store or another node. Later reports are ignored, as the number never
// changes. The caller holds p.mu.
func (p *Process) updateShardCount(service string, count int, from string) {
	if p.shardCounts[service] != 0 || count < 1 {
		return
	}
	p.shardCounts[service] = count
	p.log("shards-counted", "service", service, "shards", count, "from", from)
	p.notifyLeadersChanged()
}

// countShards stores the number of shards of a new service, computed from its
// workers. A node first appends a record with its name, so that only one node
// reads the list of workers: reads by all nodes would use up the link between
// regions and the store's call rate.
func (p *Process) countShards(ctx context.Context, service string) {
	p.mu.Lock()
	counting := p.countingNodes[service]
	p.mu.Unlock()
	countingHere := counting.node == p.settings.Node
	switch {
	case time.Since(p.startedAt) < p.countDelay(service), time.Since(p.lastCountAttempt) < countRetryPause:
		return
	case !countingHere && time.Since(counting.since) < countTimeout:
		return // another node is counting
	}
	p.lastCountAttempt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	if !countingHere {
		if err := p.appendCountRecord(ctx, service, platform.Record{Key: countingKey + service, Value: []byte(p.settings.Node)}, 0); err != nil {
			p.log("count-left", "service", service, "cause", err)
			return
		}
	}
	records, _, err := p.store.Newest(ctx, platform.Partition{Topic: platform.WorkerTopic}, workerListTimeout)
	if err != nil {
		p.log("store-call-failed", "call", "count", "service", service, "cause", err)
		return
	}
	weight := totalWorkerWeight(records, service)
	if weight == 0 {
		return // no worker is listed yet
	}
	value, err := cbor.Marshal(shardCountFor(weight, p.settings.Cores))
	if err != nil {
		p.log("record-not-encoded", "key", service, "cause", err)
		return
	}
	err = p.appendCountRecord(ctx, service, platform.Record{Key: shardCountKey + service, Value: value}, countRetries)
	p.log("shards-offered", "service", service, "workers", len(records), "weight", weight, "cause", err)
}

// countDelay is how long this node waits after its start before it may count.
// Large VMs near the store come first, because the shard count depends on the
// cores of the node that counts.
func (p *Process) countDelay(service string) time.Duration {
	delay := time.Duration(p.jitter(service) * float64(countRetryPause))
	if !p.nearStore() {
		delay += countRetryPause
	}
	if p.settings.Cores < smallVMCores {
		delay += countRetryPause
	}
	if p.settings.FirstStart {
		delay += firstCountDelay
	}
	return delay
}

// totalWorkerWeight adds up the weights of the service's workers. It ignores
// entries that can't be decoded; the shard's leader logs them.
func totalWorkerWeight(records []platform.Record, service string) float64 {
	weight := 0.0
	for _, record := range records {
		entry, err := platform.DecodeWorker(record.Key, record.Value)
		switch {
		case err != nil || entry.Service != service:
		case entry.Capacity.GPUs > 0:
			weight += gpuWorkerWeight
		default:
			weight++
		}
	}
	return weight
}

// shardCountFor is the number of shards for workers of this total weight on VMs
// with this number of cores.
func shardCountFor(weight, cores float64) int {
	shardWeight := min(maxShardWorkers, max(minShardWorkers, workersPerCore*cores))
	return max(1, int(math.Ceil(weight/shardWeight)))
}

// errAlreadyCounted means that the service already has a shard count.
var errAlreadyCounted = errors.New("the service already has a shard count")

// appendCountRecord appends a record about the counting of a service. It
// returns errAlreadyCounted if the service has a shard count. If the append
// fails, it retries up to the given number of times.
func (p *Process) appendCountRecord(ctx context.Context, service string, record platform.Record, retries int) error {
	_, err := p.appendToLeadershipTopic(ctx, retries, func() (platform.Record, error) {
		if p.shardCounts[service] > 0 {
			return platform.Record{}, errAlreadyCounted
		}
		return record, nil
	})
	return err
}

// countingNode is the node that counts a service's workers, and since when.
type countingNode struct {
	node  string
	since time.Time
}

// applyCountingNode records that a node counts a service's workers. The caller
// holds p.mu.
func (p *Process) applyCountingNode(service, node string) {
	p.countingNodes[service] = countingNode{node, time.Now()}
	p.log("count-begun", "service", service, "node", node)
}
