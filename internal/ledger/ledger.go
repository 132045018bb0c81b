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

// errShort says that a stored value ends within its head.
var errShort = errors.New("the value ends before its group's number")

// Attempt is one append of a group to a partition.
type Attempt struct {
	Partition int
	// Epoch and Sequence are the producer's at this partition.
	Epoch    int64
	Sequence int64
	Records  []shard.Record
	drops    int // how many of the ledger's drops it carries, as they stood
	group    bool
}

// Ledger is the state of one writer.
type Ledger struct {
	epoch   int64
	group   int64
	current int
	parts   [Partitions]partition
	puts    []shard.Record
	drops   []drop
	held    map[string]set // by key, the partitions that may hold it
}

type partition struct {
	attempt  int64
	sequence int64
	open     bool // the last attempt has no answer
}

// set is a set of partitions, a bit for each.
type set uint8

func only(p int) set { return 1 << p }

func (s set) has(p int) bool { return s&only(p) != 0 }

// drop is a key that has to go from the partitions of a set.
type drop struct {
	key  string
	from set
}

// New returns the ledger of the holder with this epoch.
func New(epoch int64) *Ledger {
	return &Ledger{epoch: epoch, held: map[string]set{}}
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
			l.held[record.Key] |= only(p)
			before, known := newest[record.Key]
			if !known {
				order = append(order, record.Key)
			}
			if !known || before.version.before(at) {
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
	l.group++
	l.puts = l.puts[:0]
	for _, record := range records {
		if len(record.Value) > 0 {
			l.puts = append(l.puts, shard.Record{Key: record.Key, Value: encode(version{l.epoch, l.group}, record.Value)})
			// A drop of the key's former value would take this one with it.
			l.drops = slices.DeleteFunc(l.drops, func(d drop) bool { return d.key == record.Key })
			continue
		}
		if from := l.held[record.Key]; from != 0 {
			l.drops = append(l.drops, drop{record.Key, from})
		}
	}
}

// Attempt composes an append of the group, and of the drops that are due, to a
// partition.
func (l *Ledger) Attempt(p int) Attempt {
	attempt := l.number(p)
	attempt.group = true
	attempt.Records, attempt.drops = l.due(p)
	for _, put := range l.puts {
		attempt.Records = append(attempt.Records, put)
		l.held[put.Key] |= only(p)
	}
	return attempt
}

// DeletionAttempt composes an append of the drops that wait for the partition that is
// not the current one. It reports whether there are any.
func (l *Ledger) DeletionAttempt() (Attempt, bool) {
	if len(l.drops) == 0 || l.drops[0].from.has(l.current) {
		return Attempt{}, false
	}
	attempt := l.number(l.Other())
	attempt.Records, attempt.drops = l.due(attempt.Partition)
	return attempt, true
}

// number gives the next attempt at a partition its epoch and sequence.
func (l *Ledger) number(p int) Attempt {
	part := &l.parts[p]
	if part.open {
		part.attempt++
		part.sequence = 0
	}
	part.open = true
	part.sequence++
	return Attempt{Partition: p, Epoch: l.Epoch(p), Sequence: part.sequence}
}

// due returns the drops that the partition takes now: up to the first one that
// another partition has to carry out too.
func (l *Ledger) due(p int) (records []shard.Record, count int) {
	for _, next := range l.drops {
		if next.from.has(p) {
			records = append(records, shard.Record{Key: next.key})
			count++
		}
		if next.from&^only(p) != 0 {
			break
		}
	}
	return records, count
}

// Confirm says that an attempt is stored.
func (l *Ledger) Confirm(attempt Attempt) {
	p := attempt.Partition
	l.parts[p].open = false
	left := attempt.drops
	kept := l.drops[:0]
	for _, next := range l.drops {
		if left > 0 && next.from.has(p) {
			left--
			next.from &^= only(p)
			l.release(next.key, p)
		}
		if next.from != 0 {
			kept = append(kept, next)
		}
	}
	l.drops = kept
	if attempt.group {
		l.current = p
		for _, put := range l.puts {
			l.held[put.Key] |= only(p)
		}
		l.puts = l.puts[:0]
	}
}

// release notes that a partition no longer holds a key.
func (l *Ledger) release(key string, p int) {
	if l.held[key] &^= only(p); l.held[key] == 0 {
		delete(l.held, key)
	}
}

// version orders the values of a key: by their writer, then by its groups.
type version struct {
	epoch, group int64
}

func (v version) before(o version) bool {
	return v.epoch < o.epoch || v.epoch == o.epoch && v.group < o.group
}

func encode(at version, value []byte) []byte {
	encoded := make([]byte, 0, 2*binary.MaxVarintLen64+len(value))
	encoded = binary.AppendVarint(encoded, at.epoch)
	encoded = binary.AppendVarint(encoded, at.group)
	return append(encoded, value...)
}

func decode(encoded []byte) (version, []byte, error) {
	epoch, first := binary.Varint(encoded)
	if first <= 0 {
		return version{}, nil, errShort
	}
	group, second := binary.Varint(encoded[first:])
	if second <= 0 {
		return version{}, nil, errShort
	}
	return version{epoch, group}, encoded[first+second:], nil
}
