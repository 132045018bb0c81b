// Package ledger keeps a shard's records in two partitions of the store, so
// that the shard can go on storing while one of them doesn't answer.
//
// A Ledger has no sockets, goroutines or clock. Its caller appends the records
// and reports the results.
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
// a higher producer epoch, which fences off the late one; a second copy of a batch
// is harmless.
//
// A key is deleted in every partition that may hold it. Deletions are carried out
// strictly in order: the acceptance record of a job is gone from both partitions
// before its final state is deleted, or else the job could come back without its
// final state and run again. Deletions wait while a partition that they need
// doesn't answer.
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

// attemptBits is the number of low bits of the producer epoch that number the
// attempts of one writer at one partition: about a million.
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
	deletions int // number of pending deletions that are carried
	hasBatch  bool
}

// Ledger is the state of one writer. It is not safe for concurrent use.
type Ledger struct {
	epoch      int64
	batch      int64
	current    int
	partitions [Partitions]partition
	puts       []shard.Record
	deletions  []deletion
	locations  map[string]partitionSet // by key: the partitions that may hold it
}

type partition struct {
	attempt    int64
	sequence   int64
	unanswered bool // the last attempt has no answer yet
}

// partitionSet is a set of partitions, one bit each.
type partitionSet uint8

func partitionBit(p int) partitionSet { return 1 << p }

func (s partitionSet) has(p int) bool { return s&partitionBit(p) != 0 }

// deletion is a key that has to be deleted from a set of partitions.
type deletion struct {
	key       string
	pendingIn partitionSet
}

// New returns an empty ledger for the writer with this epoch.
func New(epoch int64) *Ledger {
	return &Ledger{epoch: epoch, locations: map[string]partitionSet{}}
}

// Current returns the partition that is tried first for the next batch.
func (l *Ledger) Current() int { return l.current }

// Other returns the partition that is not the current one.
func (l *Ledger) Other() int { return Partitions - 1 - l.current }

// SetCurrent makes a partition the current one.
func (l *Ledger) SetCurrent(p int) { l.current = p }

// Epoch returns the current producer epoch at a partition, for an append without
// records that fences the partition or verifies that no newer writer has.
func (l *Ledger) Epoch(p int) int64 { return l.epoch<<attemptBits | l.partitions[p].attempt }

// Load takes the newest records of each partition and returns the newest value of
// each key. It skips records that it can't decode and returns their errors joined.
func (l *Ledger) Load(read [Partitions][]shard.Record) ([]shard.Record, error) {
	type found struct {
		version version
		value   []byte
	}
	newest := map[string]found{}
	var order []string
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
				order = append(order, record.Key)
			}
			if !known || former.version.olderThan(v) {
				newest[record.Key] = found{v, value}
			}
		}
	}
	records := make([]shard.Record, len(order))
	for i, key := range order {
		records[i] = shard.Record{Key: key, Value: newest[key].value}
	}
	return records, errors.Join(errs...)
}

// Begin sets the next batch. The batch before it must be confirmed.
func (l *Ledger) Begin(records []shard.Record) {
	l.batch++
	l.puts = l.puts[:0]
	for _, record := range records {
		if len(record.Value) > 0 {
			l.puts = append(l.puts, shard.Record{Key: record.Key, Value: encode(version{l.epoch, l.batch}, record.Value)})
			// A pending deletion of the former value would delete this one too.
			l.deletions = slices.DeleteFunc(l.deletions, func(d deletion) bool { return d.key == record.Key })
			continue
		}
		if from := l.locations[record.Key]; from != 0 {
			l.deletions = append(l.deletions, deletion{record.Key, from})
		}
	}
}

// Attempt returns an append of the batch, preceded by the deletions that are due,
// to a partition.
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

// DeletionAttempt returns an append of the deletions that wait for the partition
// that is not the current one. It reports false if there are none.
func (l *Ledger) DeletionAttempt() (Attempt, bool) {
	if len(l.deletions) == 0 || l.deletions[0].pendingIn.has(l.current) {
		return Attempt{}, false
	}
	attempt := l.newAttempt(l.Other())
	attempt.Records, attempt.deletions = l.dueDeletions(attempt.Partition)
	return attempt, true
}

// newAttempt assigns the next attempt at a partition its epoch and sequence number.
func (l *Ledger) newAttempt(p int) Attempt {
	part := &l.partitions[p]
	if part.unanswered {
		part.attempt++
		part.sequence = 0
	}
	part.unanswered = true
	part.sequence++
	return Attempt{Partition: p, Epoch: l.Epoch(p), Sequence: part.sequence}
}

// dueDeletions returns the deletions that the partition can carry out now: up to
// the first one that another partition has to carry out too.
func (l *Ledger) dueDeletions(p int) (records []shard.Record, count int) {
	for _, next := range l.deletions {
		if next.pendingIn.has(p) {
			records = append(records, shard.Record{Key: next.key})
			count++
		}
		if next.pendingIn&^partitionBit(p) != 0 {
			break
		}
	}
	return records, count
}

// Confirm records that an attempt is stored.
func (l *Ledger) Confirm(attempt Attempt) {
	p := attempt.Partition
	l.partitions[p].unanswered = false
	remaining := attempt.deletions
	kept := l.deletions[:0]
	for _, next := range l.deletions {
		if remaining > 0 && next.pendingIn.has(p) {
			remaining--
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
	epoch, first := binary.Varint(encoded)
	if first <= 0 {
		return version{}, nil, errTruncated
	}
	batch, second := binary.Varint(encoded[first:])
	if second <= 0 {
		return version{}, nil, errTruncated
	}
	return version{epoch, batch}, encoded[first+second:], nil
}
