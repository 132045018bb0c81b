package entry

import (
	"context"
	"hash/fnv"
	"io"
	"strconv"
	"time"

	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/platform"
)

// shardRef names one shard of a service: some of its workers, and the jobs that
// are assigned to it by a hash of their identity. A service's number of shards
// never changes.
type shardRef struct {
	service string
	index   int
	count   int
}

// key is the key of the shard's leadership record.
func (ref shardRef) key() string { return ref.service + "/" + strconv.Itoa(ref.index) }

// owns reports whether a worker or job with this identity belongs to the shard.
func (ref shardRef) owns(id string) bool { return shardIndex(id, ref.count) == ref.index }

// partition is the store partition that holds the shard's records for one of
// the ledger's partitions. A service whose shards need more partitions than a
// topic has uses several topics.
func (ref shardRef) partition(ledgerPartition, partitionsPerTopic int) platform.Partition {
	number := ref.index*ledger.Partitions + ledgerPartition
	topic := "jobs"
	if topicNumber := number / partitionsPerTopic; topicNumber > 0 {
		topic += strconv.Itoa(topicNumber)
	}
	return platform.Partition{Topic: platform.KeyedPrefix + topic + "-" + ref.service, Part: number % partitionsPerTopic}
}

// shardIndex assigns an identity to one of count shards by its hash.
func shardIndex(id string, count int) int {
	if count <= 1 {
		return 0
	}
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id) // never fails
	// The low bits of FNV hashes differ little between identities of one
	// pattern, so the high bits are mixed into them.
	mixed := sum.Sum32()
	mixed ^= mixed >> 16
	mixed *= 0x85ebca6b
	mixed ^= mixed >> 13
	return int(mixed % uint32(count))
}

// shardOf returns the shard of a job. A process that has just started waits
// until it has read the service's shard count; the error is errNoLeader if that
// takes longer than leaderWait from startedAt.
func (p *Process) shardOf(ctx context.Context, startedAt time.Time, service, id string) (shardRef, error) {
	for {
		p.mu.Lock()
		count, leadersChanged := p.shardCounts[service], p.leadersChanged
		p.mu.Unlock()
		if count > 0 {
			return shardRef{service, shardIndex(id, count), count}, nil
		}
		wait := time.Until(startedAt.Add(leaderWait))
		if wait <= 0 || ctx.Err() != nil {
			return shardRef{}, errNoLeader
		}
		select {
		case <-leadersChanged:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}
