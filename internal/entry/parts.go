package entry

import (
	"hash/fnv"
	"io"
	"strconv"
	"time"

	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/platform"
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
