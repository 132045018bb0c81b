package entry

import (
	"context"
	"hash/fnv"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// workersPerShard is how many workers without accelerators one holder has:
	// at the grown sizes (252 workers, 700 starts a second) two holders share
	// the work. A step that is spread over more workers than the adviser allows
	// in one shard can't run whole, so shards are as few as processors bear.
	workersPerShard = 128
	// acceleratedWeight is what a worker with accelerators counts: it runs few
	// large tasks, and large gangs need many such workers in one shard.
	acceleratedWeight = 0.6
	// countKey begins the keys of the records with a service's shards.
	countKey = "shards/"
	// countAfter is how long a new service's workers are waited for, so that
	// the count fits the fleet: four intervals of their entries, and well
	// before the first traffic (10 s).
	countAfter = 6 * time.Second
	// countRetry is the pause after a count that failed, and after one that
	// another node may have made.
	countRetry = 500 * time.Millisecond
)

// part is one shard of a service: some of its workers, and the jobs that are
// dealt to it by their identity. A service's count of shards never changes.
type part struct {
	service string
	index   int
	count   int
}

// name is the key of the shard's right.
func (p part) name() string { return p.service + "/" + strconv.Itoa(p.index) }

// has reports whether a worker or job of this identity belongs to the shard.
func (p part) has(id string) bool { return deal(id, p.count) == p.index }

// partition is where the shard's records are: the ledger's number p of them. A
// service with more shards than fit into a topic has several topics.
func (p part) partition(number, perTopic int) platform.Partition {
	at := p.index*ledger.Partitions + number
	topic := "jobs"
	if group := at / perTopic; group > 0 {
		topic += strconv.Itoa(group)
	}
	return platform.Partition{Topic: platform.KeyedPrefix + topic + "-" + p.service, Part: at % perTopic}
}

// deal spreads identities over the shards.
func deal(id string, count int) int {
	if count <= 1 {
		return 0
	}
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id) // never fails
	// FNV's low bits differ little between identities of one pattern.
	mixed := sum.Sum32()
	mixed ^= mixed >> 16
	mixed *= 0x85ebca6b
	mixed ^= mixed >> 13
	return int(mixed % uint32(count))
}

// partOf returns the shard of a job. A process that has just started waits
// until it has read how many shards the service has.
func (p *Process) partOf(r *request, service, id string) (part, error) {
	for {
		p.mu.Lock()
		count, changed := p.counts[service], p.changed
		p.mu.Unlock()
		if count > 0 {
			return part{service, deal(id, count), count}, nil
		}
		wait := time.Until(r.began.Add(holderWait))
		if wait <= 0 || r.ctx.Err() != nil {
			return part{}, errNoHolder
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.ctx.Done():
		}
	}
}

// takeCount notes a service's shards; the lock is held. The first count holds.
func (p *Process) takeCount(service string, record platform.Record) {
	var count int
	if err := cbor.Unmarshal(record.Value, &count); err != nil || count < 1 {
		p.log("record-unreadable", "key", record.Key, "cause", err)
		return
	}
	if p.counts[service] == 0 {
		p.counts[service] = count
		p.log("shards-counted", "service", service, "shards", count)
		p.announce()
	}
}

// countShards stores how many shards a new service has, by its workers. The
// append fails if another node was quicker, and that node's count holds.
func (p *Process) countShards(ctx context.Context, service string) {
	wait := countAfter + time.Duration(p.jitter(service)*float64(countRetry))
	if !p.near() {
		wait += countRetry
	}
	if !p.settings.FirstStart {
		wait -= countAfter
	}
	if time.Since(p.began) < wait || time.Since(p.countTried) < countRetry {
		return
	}
	p.countTried = time.Now()
	p.mu.Lock()
	at := p.rightsEnd
	p.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, _, err := p.store.Newest(call, platform.Partition{Topic: platform.WorkerTopic})
	if err != nil {
		p.log("store-call-failed", "call", "count", "service", service, "cause", err)
		return
	}
	weight := 0.0
	for _, record := range records {
		if entry, err := platform.DecodeWorker(record.Key, record.Value); err == nil && entry.Service == service {
			if entry.Capacity.GPUs > 0 {
				weight += acceleratedWeight
			} else {
				weight++
			}
		}
	}
	if weight == 0 {
		return
	}
	value, err := cbor.Marshal(int(math.Ceil(weight / workersPerShard)))
	if err != nil {
		p.log("record-not-encoded", "key", service, "cause", err)
		return
	}
	_, _, err = p.store.Append(call, platform.Append{
		Partition: rightsPartition, At: at, Records: []platform.Record{{Key: countKey + service, Value: value}},
	})
	p.log("shards-offered", "service", service, "weight", weight, "cause", err)
}
