// Package ledger keeps a shard's records in two partitions of the store, so
// that the shard stores on while one of them doesn't answer.
//
// A Ledger has no socket, goroutine or clock. Its owner makes the calls and
// reports what became of them.
//
// # Usage
//
//	l := ledger.New(epoch)
//	// Fence both partitions with l.Epoch(p), and read their newest records.
//	records, err := l.Load([ledger.Partitions][]shard.Record{first, second})
//	l.Begin(batch)               // the next group of records
//	attempt := l.Attempt(l.Current())
//	// Append attempt.Records to attempt.Partition; then
//	l.Confirm(attempt)           // it is stored, and the next group may begin
//	attempt = l.Attempt(l.Other()) // or: no answer, try the other partition
//
// Each value carries the epoch of its writer and the number of its group, and
// the reader takes the newer of two values of a key. An attempt without an
// answer may be carried out late, or may have been: the next attempt at that
// partition has a higher producer epoch, which shuts the late one out, and a
// second copy of a group is harmless.
//
// A key is dropped in every partition that may hold it. Drops are carried out
// strictly one after the other: a job's intake is gone everywhere before its
// final state goes, so that no job can come back without it. Drops wait while a
// partition that they need doesn't answer.
package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// Partitions is in how many partitions of the store a shard's records are.
const Partitions = 2

// attemptBits is the part of a producer's epoch that numbers its attempts: a
// million of them at one partition within one holder's time.
const attemptBits = 20

// errTruncated says that a stored value ends within its head.
var errTruncated = errors.New("the value ends before its group's number")

// Attempt is one append of a group to a partition.
type Attempt struct {
	Partition int
	// Epoch and Sequence are the producer's at this partition.
	Epoch     int64
	Sequence  int64
	Records   []shard.Record
	deletions int // how many of the ledger's drops it carries, as they stood
	hasBatch  bool
}

// Ledger is the state of one writer.
type Ledger struct {
	epoch     int64
	batch     int64
	current   int
	parts     [Partitions]partition
	puts      []shard.Record
	deletions []deletion
	locations map[string]partitionSet // by key, the partitions that may hold it
}

type partition struct {
	attempt    int64
	sequence   int64
	unanswered bool // the last attempt has no answer
}

// partitionSet is a partitionSet of partitions, a bit for each.
type partitionSet uint8

func partitionBit(p int) partitionSet { return 1 << p }

func (s partitionSet) has(p int) bool { return s&partitionBit(p) != 0 }

// deletion is a key that has to go from the partitions of a set.
type deletion struct {
	key  string
	from partitionSet
}

// New returns the ledger of the holder with this epoch.
func New(epoch int64) *Ledger {
	return &Ledger{epoch: epoch, locations: map[string]partitionSet{}}
}

// Current returns the partition that takes the next group first.
func (l *Ledger) Current() int { return l.current }

// Other returns the partition that is not the current one.
func (l *Ledger) Other() int { return Partitions - 1 - l.current }

// SetCurrent makes a partition the current one.
func (l *Ledger) SetCurrent(p int) { l.current = p }

// Epoch returns the producer's epoch at a partition, for an append that only
// fences it or proves that nobody else did.
func (l *Ledger) Epoch(p int) int64 { return l.epoch<<attemptBits | l.parts[p].attempt }

// Load takes the newest records of each partition and returns the newest of
// each key. It leaves out records that it can't read, and reports them all.
func (l *Ledger) Load(read [Partitions][]shard.Record) ([]shard.Record, error) {
	type found struct {
		version version
		value   []byte
	}
	newest := map[string]found{}
	var order []string
	var faults []error
	for p, records := range read {
		for _, record := range records {
			at, value, err := decode(record.Value)
			if err != nil {
				faults = append(faults, fmt.Errorf("record %q of partition %d: %w", record.Key, p, err))
				continue
			}
			l.locations[record.Key] |= partitionBit(p)
			before, known := newest[record.Key]
			if !known {
				order = append(order, record.Key)
			}
			if !known || before.version.olderThan(at) {
				newest[record.Key] = found{at, value}
			}
		}
	}
	records := make([]shard.Record, len(order))
	for i, key := range order {
		records[i] = shard.Record{Key: key, Value: newest[key].value}
	}
	return records, errors.Join(faults...)
}

// Begin takes the next group. The group before it must be confirmed.
func (l *Ledger) Begin(records []shard.Record) {
	l.batch++
	l.puts = l.puts[:0]
	for _, record := range records {
		if len(record.Value) > 0 {
			l.puts = append(l.puts, shard.Record{Key: record.Key, Value: encode(version{l.epoch, l.batch}, record.Value)})
			// A drop of the key's former value would take this one with it.
			l.deletions = slices.DeleteFunc(l.deletions, func(d deletion) bool { return d.key == record.Key })
			continue
		}
		if from := l.locations[record.Key]; from != 0 {
			l.deletions = append(l.deletions, deletion{record.Key, from})
		}
	}
}

// Attempt composes an append of the group, and of the drops that are due, to a
// partition.
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

// DeletionAttempt composes an append of the drops that wait for the partition that is
// not the current one. It reports whether there are any.
func (l *Ledger) DeletionAttempt() (Attempt, bool) {
	if len(l.deletions) == 0 || l.deletions[0].from.has(l.current) {
		return Attempt{}, false
	}
	attempt := l.newAttempt(l.Other())
	attempt.Records, attempt.deletions = l.dueDeletions(attempt.Partition)
	return attempt, true
}

// newAttempt gives the next attempt at a partition its epoch and sequence.
func (l *Ledger) newAttempt(p int) Attempt {
	part := &l.parts[p]
	if part.unanswered {
		part.attempt++
		part.sequence = 0
	}
	part.unanswered = true
	part.sequence++
	return Attempt{Partition: p, Epoch: l.Epoch(p), Sequence: part.sequence}
}

// dueDeletions returns the drops that the partition takes now: up to the first one that
// another partition has to carry out too.
func (l *Ledger) dueDeletions(p int) (records []shard.Record, count int) {
	for _, next := range l.deletions {
		if next.from.has(p) {
			records = append(records, shard.Record{Key: next.key})
			count++
		}
		if next.from&^partitionBit(p) != 0 {
			break
		}
	}
	return records, count
}

// Confirm says that an attempt is stored.
func (l *Ledger) Confirm(attempt Attempt) {
	p := attempt.Partition
	l.parts[p].unanswered = false
	left := attempt.deletions
	kept := l.deletions[:0]
	for _, next := range l.deletions {
		if left > 0 && next.from.has(p) {
			left--
			next.from &^= partitionBit(p)
			l.removeLocation(next.key, p)
		}
		if next.from != 0 {
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

// removeLocation notes that a partition no longer holds a key.
func (l *Ledger) removeLocation(key string, p int) {
	if l.locations[key] &^= partitionBit(p); l.locations[key] == 0 {
		delete(l.locations, key)
	}
}

// version orders the values of a key: by their writer, then by its groups.
type version struct {
	epoch, batch int64
}

func (v version) olderThan(o version) bool {
	return v.epoch < o.epoch || v.epoch == o.epoch && v.batch < o.batch
}

func encode(at version, value []byte) []byte {
	encoded := make([]byte, 0, 2*binary.MaxVarintLen64+len(value))
	encoded = binary.AppendVarint(encoded, at.epoch)
	encoded = binary.AppendVarint(encoded, at.batch)
	return append(encoded, value...)
}

func decode(encoded []byte) (version, []byte, error) {
	epoch, first := binary.Varint(encoded)
	if first <= 0 {
		return version{}, nil, errTruncated
	}
	group, second := binary.Varint(encoded[first:])
	if second <= 0 {
		return version{}, nil, errTruncated
	}
	return version{epoch, group}, encoded[first+second:], nil
}
