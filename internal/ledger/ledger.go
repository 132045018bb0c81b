// Package ledger keeps a shard's records in two partitions of the store, so that the
// shard can still store records while one of them doesn't answer.
//
// A Ledger has no sockets, goroutines or clock. Its caller appends the records and
// reports the results.
//
// # Usage
//
//	l := ledger.New(epoch)
//	// Fence both partitions with l.Epoch(p), and read their newest records.
//	records, err := l.Load([ledger.Partitions][]shard.Record{first, second})
//	l.Begin(records)               // the next batch
//	attempt := l.Attempt(l.Current())
//	// Append attempt.Records to attempt.Partition; then
//	l.Confirm(attempt)             // if it is stored: the next batch may begin
//	attempt = l.Attempt(l.Other()) // if there is no answer: try the other partition
//
// Each value carries the epoch of its writer and its batch number, and Load takes
// the newer of two values of a key. An attempt without an answer may have been
// carried out, or may be carried out late. The next attempt at that partition has
// a higher producer epoch, so that the partition then refuses the late one; a second
// copy of a batch is harmless.
//
// A key is deleted in every partition that may hold it. Deletions of one group of keys
// are carried out strictly in order: the acceptance record of a job is deleted from both
// partitions before its final state is. Otherwise a new leader could find the job
// without its final state and run it again. Deletions wait while a partition from which
// an earlier key of their group has to be deleted doesn't answer.
package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// Partitions is the number of store partitions that hold a shard's records.
const Partitions = 2

// attemptBits is the number of low bits of the producer epoch that count the
// unanswered attempts of one writer at one partition, up to about a million.
const attemptBits = 20

// errTruncated is returned for a stored value that ends within its header.
var errTruncated = errors.New("the value ends before its batch number")

// Attempt is one append of a batch, of deletions or of both to a partition.
type Attempt struct {
	Partition int
	// Epoch and Sequence are the producer epoch and sequence number at this partition.
	Epoch     int64
	Sequence  int64
	Records   []shard.Record
	deletions map[string]bool // the keys among the records whose deletion was pending
	hasBatch  bool
}

// Ledger is the state of one writer, the leader of one epoch. It is not safe for
// concurrent use.
type Ledger struct {
	// Group returns the group of a key. If it is nil, all keys are in one group.
	Group func(key string) string

	epoch       int64
	batchNumber int64
	current     int
	partitions  [Partitions]partition
	puts        []shard.Record          // encoded values of the batch
	deletions   []deletion              // pending, in order
	locations   map[string]partitionSet // by key: the partitions that may hold it
}

type partition struct {
	attemptNumber int64
	sequence      int64
	unanswered    bool // the last attempt isn't confirmed
}

// partitionSet is a set of partitions, one bit each.
type partitionSet uint8

func partitionBit(p int) partitionSet { return 1 << p }

func (s partitionSet) has(p int) bool { return s&partitionBit(p) != 0 }

// deletion is a key that still has to be deleted from a set of partitions.
type deletion struct {
	key       string
	pendingIn partitionSet
}

// New returns an empty ledger for the writer with this epoch.
func New(epoch int64) *Ledger {
	return &Ledger{epoch: epoch, locations: map[string]partitionSet{}}
}

// Current returns the partition to which the next batch is appended first.
func (l *Ledger) Current() int { return l.current }

// Other returns the partition that is not the current one.
func (l *Ledger) Other() int { return Partitions - 1 - l.current }

// SetCurrent makes a partition the current one.
func (l *Ledger) SetCurrent(p int) { l.current = p }

// Epoch returns the current producer epoch at a partition. An append of no records
// with this epoch fences off older writers, and fails if a newer writer has fenced the
// partition.
func (l *Ledger) Epoch(p int) int64 { return l.epoch<<attemptBits | l.partitions[p].attemptNumber }

// Load takes the newest records of each partition, by partition, and returns the
// newest value of each key. It skips records that it can't decode, and returns their
// errors joined.
func (l *Ledger) Load(read [Partitions][]shard.Record) ([]shard.Record, error) {
	type entry struct {
		version version
		value   []byte
	}
	newest := map[string]entry{}
	var keys []string
	var errs []error
	for p, records := range read {
		for _, record := range records {
			v, value, err := decode(record.Value)
			if err != nil {
				errs = append(errs, fmt.Errorf("record %q of partition %d: %w", record.Key, p, err))
				continue
			}
			l.locations[record.Key] |= partitionBit(p)
			former, known := newest[record.Key]
			if !known {
				keys = append(keys, record.Key)
			}
			if !known || former.version.olderThan(v) {
				newest[record.Key] = entry{v, value}
			}
		}
	}
	records := make([]shard.Record, len(keys))
	for i, key := range keys {
		records[i] = shard.Record{Key: key, Value: newest[key].value}
	}
	return records, errors.Join(errs...)
}

// Begin sets the next batch. The previous batch must be confirmed.
func (l *Ledger) Begin(records []shard.Record) {
	l.batchNumber++
	l.puts = l.puts[:0]
	for _, record := range records {
		if len(record.Value) > 0 {
			l.puts = append(l.puts, shard.Record{Key: record.Key, Value: encode(version{l.epoch, l.batchNumber}, record.Value)})
			// A pending deletion of the key would delete the new value too.
			l.deletions = slices.DeleteFunc(l.deletions, func(d deletion) bool { return d.key == record.Key })
			continue
		}
		if partitions := l.locations[record.Key]; partitions != 0 {
			l.deletions = append(l.deletions, deletion{record.Key, partitions})
		}
	}
}

// Attempt returns an append to a partition of the deletions that are due, followed by
// the batch.
func (l *Ledger) Attempt(p int) Attempt {
	attempt := l.newAttempt(p)
	attempt.hasBatch = true
	attempt.Records, attempt.deletions = l.dueDeletions(p)
	for _, put := range l.puts {
		attempt.Records = append(attempt.Records, put)
		l.locations[put.Key] |= partitionBit(p)
	}
	return attempt
}

// DeletionAttempt returns an append of the deletions that are due at the partition that
// is not the current one. It reports false if there are none that the current partition
// has carried out.
func (l *Ledger) DeletionAttempt() (Attempt, bool) {
	due := slices.ContainsFunc(l.deletions, func(d deletion) bool { return !d.pendingIn.has(l.current) })
	if !due {
		return Attempt{}, false
	}
	attempt := l.newAttempt(l.Other())
	attempt.Records, attempt.deletions = l.dueDeletions(attempt.Partition)
	return attempt, true
}

// PendingDeletions returns the number of keys that still have to be deleted from a partition and
// for which match reports true.
func (l *Ledger) PendingDeletions(match func(key string) bool) int {
	count := 0
	for _, pending := range l.deletions {
		if match(pending.key) {
			count++
		}
	}
	return count
}

// newAttempt returns the next attempt at a partition, with its producer epoch and
// sequence number. After an unconfirmed attempt it has a new epoch.
func (l *Ledger) newAttempt(p int) Attempt {
	state := &l.partitions[p]
	if state.unanswered {
		state.attemptNumber++
		state.sequence = 0
	}
	state.unanswered = true
	state.sequence++
	return Attempt{Partition: p, Epoch: l.Epoch(p), Sequence: state.sequence}
}

// dueDeletions returns the deletions that the partition can carry out now: of each
// group in order, up to and including the first one that another partition still has to
// carry out too.
func (l *Ledger) dueDeletions(p int) (records []shard.Record, keys map[string]bool) {
	keys = map[string]bool{}
	blockedGroups := map[string]bool{}
	for _, next := range l.deletions {
		group := l.groupOf(next.key)
		if blockedGroups[group] {
			continue
		}
		if next.pendingIn.has(p) && !keys[next.key] {
			records = append(records, shard.Record{Key: next.key})
			keys[next.key] = true
		}
		if next.pendingIn&^partitionBit(p) != 0 {
			blockedGroups[group] = true
		}
	}
	return records, keys
}

func (l *Ledger) groupOf(key string) string {
	if l.Group == nil {
		return ""
	}
	return l.Group(key)
}

// Confirm records that an attempt is stored. Later attempts may be in flight.
func (l *Ledger) Confirm(attempt Attempt) {
	p := attempt.Partition
	if attempt.Epoch == l.Epoch(p) { // no later attempt at the partition is in flight
		l.partitions[p].unanswered = false
	}
	kept := l.deletions[:0]
	for _, next := range l.deletions {
		if attempt.deletions[next.key] && next.pendingIn.has(p) {
			next.pendingIn &^= partitionBit(p)
			l.removeLocation(next.key, p)
		}
		if next.pendingIn != 0 {
			kept = append(kept, next)
		}
	}
	l.deletions = kept
	if attempt.hasBatch {
		l.current = p
		for _, put := range l.puts {
			l.locations[put.Key] |= partitionBit(p)
		}
		l.puts = l.puts[:0]
	}
}

// removeLocation records that a partition no longer holds a key.
func (l *Ledger) removeLocation(key string, p int) {
	if l.locations[key] &^= partitionBit(p); l.locations[key] == 0 {
		delete(l.locations, key)
	}
}

// version orders the values of a key: by the epoch of the writer, then by batch.
type version struct {
	epoch, batch int64
}

func (v version) olderThan(o version) bool {
	return v.epoch < o.epoch || v.epoch == o.epoch && v.batch < o.batch
}

func encode(v version, value []byte) []byte {
	encoded := make([]byte, 0, 2*binary.MaxVarintLen64+len(value))
	encoded = binary.AppendVarint(encoded, v.epoch)
	encoded = binary.AppendVarint(encoded, v.batch)
	return append(encoded, value...)
}

func decode(encoded []byte) (version, []byte, error) {
	epoch, epochLen := binary.Varint(encoded)
	if epochLen <= 0 {
		return version{}, nil, errTruncated
	}
	batch, batchLen := binary.Varint(encoded[epochLen:])
	if batchLen <= 0 {
		return version{}, nil, errTruncated
	}
	return version{epoch, batch}, encoded[epochLen+batchLen:], nil
}
