package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// store has two partitions. Each keeps the newest record of each key and refuses
// appends of older epochs.
type store struct {
	partitions [ledger.Partitions]struct {
		epoch  int64
		values map[string][]byte
	}
}

func newStore() *store {
	s := &store{}
	for p := range s.partitions {
		s.partitions[p].values = map[string][]byte{}
	}
	return s
}

// tryAppend carries out an attempt. It reports false if the attempt is fenced off.
func (s *store) tryAppend(attempt ledger.Attempt) bool {
	partition := &s.partitions[attempt.Partition]
	if attempt.Epoch < partition.epoch {
		return false
	}
	partition.epoch = attempt.Epoch
	for _, record := range attempt.Records {
		if len(record.Value) == 0 {
			delete(partition.values, record.Key)
		} else {
			partition.values[record.Key] = record.Value
		}
	}
	return true
}

// load creates the ledger of a new writer and returns it with the stored values.
func (s *store) load(t *testing.T, epoch int64) (*ledger.Ledger, map[string]string) {
	l := ledger.New(epoch)
	var read [ledger.Partitions][]shard.Record
	for p := range s.partitions {
		require.True(t, s.tryAppend(ledger.Attempt{Partition: p, Epoch: l.Epoch(p)}))
		for key, value := range s.partitions[p].values {
			read[p] = append(read[p], shard.Record{Key: key, Value: value})
		}
	}
	records, err := l.Load(read)
	require.NoError(t, err)
	values := map[string]string{}
	for _, record := range records {
		values[record.Key] = string(record.Value)
	}
	return l, values
}

func put(key, value string) shard.Record { return shard.Record{Key: key, Value: []byte(value)} }

func deletion(key string) shard.Record { return shard.Record{Key: key} }

// write stores a batch in the current partition.
func (s *store) write(t *testing.T, l *ledger.Ledger, batch ...shard.Record) {
	l.Begin(batch)
	attempt := l.Attempt(l.Current())
	require.True(t, s.tryAppend(attempt))
	l.Confirm(attempt)
}

// writeOther stores a batch in the other partition after an attempt at the current one
// without an answer. It returns that attempt, which may be carried out later.
func (s *store) writeOther(t *testing.T, l *ledger.Ledger, batch ...shard.Record) ledger.Attempt {
	l.Begin(batch)
	unanswered := l.Attempt(l.Current())
	attempt := l.Attempt(l.Other())
	require.True(t, s.tryAppend(attempt))
	l.Confirm(attempt)
	return unanswered
}

// finishDeletions carries out the deletions that the other partition missed, and then
// those that waited for it. None may be left.
func (s *store) finishDeletions(t *testing.T, l *ledger.Ledger) {
	attempt, due := l.DeletionAttempt()
	require.True(t, due)
	require.True(t, s.tryAppend(attempt))
	l.Confirm(attempt)
	s.write(t, l)
	_, due = l.DeletionAttempt()
	require.False(t, due)
}

// The next leader must read the newest values, also if one partition missed some of them
// because it didn't answer.
func TestLoadTakesNewerValue(t *testing.T) {
	s := newStore()
	l, _ := s.load(t, 5)
	s.write(t, l, put("a", "1"), put("b", "1"))
	late := s.writeOther(t, l, put("a", "2"))
	s.write(t, l, put("a", "3"))
	require.True(t, s.tryAppend(late), "an attempt without an answer is carried out late")
	l, values := s.load(t, 6)
	require.Equal(t, map[string]string{"a": "3", "b": "1"}, values)
	s.write(t, l, put("a", "4"))
	_, values = s.load(t, 7)
	require.Equal(t, "4", values["a"], "the next leader's values are newer")
}

// When a job ends while the partition with its acceptance record doesn't answer, its
// final state must not be deleted before that record, or the job would run again.
func TestDeletionsKeepTheirOrder(t *testing.T) {
	s := newStore()
	l, _ := s.load(t, 5)
	s.write(t, l, put("acceptance", "job"))
	s.writeOther(t, l, put("final", "completed"))
	s.write(t, l, deletion("acceptance"))
	s.write(t, l, deletion("final"))
	_, values := s.load(t, 6)
	require.Equal(t, map[string]string{"acceptance": "job", "final": "completed"}, values, "the final state must be kept until the acceptance record is deleted")

	l, _ = s.load(t, 7)
	l.SetCurrent(1)
	s.write(t, l, deletion("acceptance"))
	s.write(t, l, deletion("final"))
	s.finishDeletions(t, l)
	_, values = s.load(t, 8)
	require.Empty(t, values)
}

// A deletion that waits for a partition must not hold up those of other groups. After a
// change of partition each key is in both, so the records of workers that had left stayed
// for many seconds, and the next leader waited for these workers (site
// rlts-voucher-large, run trouble-3).
func TestDeletionsOfOtherGroupsDoNotWait(t *testing.T) {
	const keys = 50
	s := newStore()
	l, _ := s.load(t, 5)
	l.Group = func(key string) string { return key[1:] }
	var puts, firstDeletions, secondDeletions []shard.Record
	for i := range keys {
		puts = append(puts, put(fmt.Sprintf("a%d", i), "1"), put(fmt.Sprintf("b%d", i), "1"))
		firstDeletions = append(firstDeletions, deletion(fmt.Sprintf("a%d", i)))
		secondDeletions = append(secondDeletions, deletion(fmt.Sprintf("b%d", i)))
	}
	s.write(t, l, puts...)
	s.writeOther(t, l, puts...)
	s.write(t, l, append(firstDeletions, secondDeletions...)...)
	_, values := s.load(t, 6) // fences l, whose deletions are pending in one partition
	require.Len(t, values, 2*keys)

	l, _ = s.load(t, 7)
	l.Group = func(key string) string { return key[1:] }
	s.write(t, l, append(firstDeletions, secondDeletions...)...)
	s.finishDeletions(t, l)
	_, values = s.load(t, 8)
	require.Empty(t, values)
}

// A late attempt must not restore a deleted key.
func TestDeletionFencesLateAttempt(t *testing.T) {
	s := newStore()
	l, _ := s.load(t, 5)
	late := s.writeOther(t, l, put("a", "1"))
	s.write(t, l, deletion("a"))
	attempt, due := l.DeletionAttempt()
	require.True(t, due, "the other partition may hold the key")
	require.True(t, s.tryAppend(attempt))
	l.Confirm(attempt)
	require.False(t, s.tryAppend(late))
	_, values := s.load(t, 6)
	require.Empty(t, values)
}

// A pending deletion must not delete a newer value of its key.
func TestNewValueCancelsPendingDeletion(t *testing.T) {
	s := newStore()
	l, _ := s.load(t, 5)
	s.write(t, l, put("first", "1"), put("worker", "1"))
	s.writeOther(t, l, put("first", "2"), put("worker", "2"))
	s.write(t, l, deletion("first"), deletion("worker"))
	s.write(t, l, put("worker", "3"))
	for range 3 {
		if attempt, due := l.DeletionAttempt(); due {
			require.True(t, s.tryAppend(attempt))
			l.Confirm(attempt)
		}
		s.write(t, l)
	}
	_, values := s.load(t, 6)
	require.Equal(t, map[string]string{"worker": "3"}, values)
}

func TestUnreadableValuesAreReported(t *testing.T) {
	_, err := ledger.New(1).Load([ledger.Partitions][]shard.Record{{{Key: "x", Value: []byte{0x80}}}, {{Key: "y", Value: []byte{2}}}})
	require.ErrorContains(t, err, `"x"`)
	require.ErrorContains(t, err, `"y"`)
}

// The records that a new writer loads after random batches, unanswered attempts and late
// attempts are compared with a map. Confirmed values must be read back. Keys whose
// deletion was pending may still be read.
func TestConfirmedRecordsAreReadBack(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newStore()
		epoch := int64(1)
		l, _ := s.load(t, epoch)
		var group func(string) string // of every second seed: each key is a group
		if seed%2 == 1 {
			group = func(key string) string { return key }
		}
		l.Group = group
		want := map[string]string{}
		var late []ledger.Attempt
		delayRandomly := func(attempt ledger.Attempt) {
			if random.IntN(2) == 0 {
				late = append(late, attempt)
			}
		}
		for round := range 60 {
			if len(late) > 0 && random.IntN(3) == 0 {
				s.tryAppend(late[0])
				late = late[1:]
			}
			var batch []shard.Record
			for key := range 6 {
				name := fmt.Sprintf("k%d", key)
				switch {
				case random.IntN(4) == 0:
					value := fmt.Sprintf("%d", round)
					batch = append(batch, put(name, value))
					want[name] = value
				case want[name] != "" && random.IntN(5) == 0:
					batch = append([]shard.Record{deletion(name)}, batch...)
					delete(want, name)
				}
			}
			l.Begin(batch)
			p := l.Current()
			for random.IntN(4) == 0 {
				delayRandomly(l.Attempt(p))
				p = ledger.Partitions - 1 - p
			}
			attempt := l.Attempt(p)
			require.True(t, s.tryAppend(attempt), "seed %d: the writer fenced itself", seed)
			l.Confirm(attempt)
			if attempt, due := l.DeletionAttempt(); due && random.IntN(2) == 0 {
				if random.IntN(2) == 0 {
					delayRandomly(attempt)
				} else {
					require.True(t, s.tryAppend(attempt), "seed %d", seed)
					l.Confirm(attempt)
				}
			}
			if random.IntN(10) == 0 {
				epoch++
				var values map[string]string
				l, values = s.load(t, epoch)
				l.Group = group
				for key, value := range want {
					require.Equal(t, value, values[key], "seed %d round %d", seed, round)
				}
				want = values // may contain keys whose deletion was pending
			}
		}
	}
}

// Guards against a leader that doesn't count the workers that its successor reads although their
// records were deleted: only one partition has carried that out.
func TestDeletionsThatAPartitionMissedArePending(t *testing.T) {
	s := newStore()
	l, _ := s.load(t, 5)
	all := func(string) bool { return true }
	s.write(t, l, put("a", "1"), put("b", "1"))
	s.writeOther(t, l, put("a", "2"))
	s.write(t, l, deletion("a"), deletion("b"))
	require.Equal(t, 2, l.PendingDeletions(all))
	require.Equal(t, 1, l.PendingDeletions(func(key string) bool { return key == "a" }))
	s.finishDeletions(t, l)
	require.Zero(t, l.PendingDeletions(all))
	_, values := s.load(t, 6)
	require.Empty(t, values)
}
