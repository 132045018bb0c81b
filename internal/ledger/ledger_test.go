package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/ledger"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// store is two partitions that keep the newest record of each key and refuse
// appends of older epochs.
type store struct {
	parts [ledger.Partitions]struct {
		epoch  int64
		values map[string][]byte
	}
}

func newStore() *store {
	s := &store{}
	for p := range s.parts {
		s.parts[p].values = map[string][]byte{}
	}
	return s
}

// carryOut appends an attempt, or refuses it as fenced.
func (s *store) carryOut(attempt ledger.Attempt) bool {
	part := &s.parts[attempt.Partition]
	if attempt.Epoch < part.epoch {
		return false
	}
	part.epoch = attempt.Epoch
	for _, record := range attempt.Records {
		if len(record.Value) == 0 {
			delete(part.values, record.Key)
		} else {
			part.values[record.Key] = record.Value
		}
	}
	return true
}

// load makes a new writer read the store.
func (s *store) load(t *testing.T, epoch int64) (*ledger.Ledger, map[string]string) {
	l := ledger.New(epoch)
	var read [ledger.Partitions][]shard.Record
	for p := range s.parts {
		require.True(t, s.carryOut(ledger.Attempt{Partition: p, Epoch: l.Epoch(p)}))
		for key, value := range s.parts[p].values {
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

func drop(key string) shard.Record { return shard.Record{Key: key} }

// write stores a group at the current partition.
func (s *store) write(t *testing.T, l *ledger.Ledger, group ...shard.Record) {
	l.Begin(group)
	attempt := l.Attempt(l.Current())
	require.True(t, s.carryOut(attempt))
	l.Confirm(attempt)
}

// writeOther stores a group at the other partition, after the current one gave
// no answer, and returns the attempt that may yet be carried out.
func (s *store) writeOther(t *testing.T, l *ledger.Ledger, group ...shard.Record) ledger.Attempt {
	l.Begin(group)
	unanswered := l.Attempt(l.Current())
	attempt := l.Attempt(l.Other())
	require.True(t, s.carryOut(attempt))
	l.Confirm(attempt)
	return unanswered
}

// Pattern: one partition falls silent and the next holder reads both.
func TestTheNewerOfTwoValuesHolds(t *testing.T) {
	s := newStore()
	l, _ := s.load(t, 5)
	s.write(t, l, put("a", "1"), put("b", "1"))
	late := s.writeOther(t, l, put("a", "2"))
	s.write(t, l, put("a", "3"))
	require.True(t, s.carryOut(late), "an attempt without an answer is carried out late")
	l, values := s.load(t, 6)
	require.Equal(t, map[string]string{"a": "3", "b": "1"}, values)
	s.write(t, l, put("a", "4"))
	_, values = s.load(t, 7)
	require.Equal(t, "4", values["a"], "the next holder's values are newer")
}

// Pattern: a job ends while the partition with its intake is silent. Its final
// state must not go before the intake, or the job would run again.
func TestDropsKeepTheirOrder(t *testing.T) {
	s := newStore()
	l, _ := s.load(t, 5)
	s.write(t, l, put("intake", "job"))
	s.writeOther(t, l, put("final", "completed"))
	s.write(t, l, drop("intake"))
	s.write(t, l, drop("final"))
	_, values := s.load(t, 6)
	require.Equal(t, map[string]string{"intake": "job", "final": "completed"}, values, "nothing goes while the intake can't")

	l, _ = s.load(t, 7)
	l.SetCurrent(1)
	s.write(t, l, drop("intake"))
	s.write(t, l, drop("final"))
	attempt, due := l.DeletionAttempt()
	require.True(t, due)
	require.True(t, s.carryOut(attempt))
	l.Confirm(attempt)
	s.write(t, l)
	_, due = l.DeletionAttempt()
	require.False(t, due)
	_, values = s.load(t, 8)
	require.Empty(t, values)
}

// Guards against a late copy of a group that brings a dropped key back.
func TestDropShutsALateCopyOut(t *testing.T) {
	s := newStore()
	l, _ := s.load(t, 5)
	late := s.writeOther(t, l, put("a", "1"))
	s.write(t, l, drop("a"))
	attempt, due := l.DeletionAttempt()
	require.True(t, due, "the other partition may hold the key")
	require.True(t, s.carryOut(attempt))
	l.Confirm(attempt)
	require.False(t, s.carryOut(late))
	_, values := s.load(t, 6)
	require.Empty(t, values)
}

// Guards against a drop that waits and then takes a newer value with it.
func TestNewValueReplacesAWaitingDrop(t *testing.T) {
	s := newStore()
	l, _ := s.load(t, 5)
	s.write(t, l, put("first", "1"), put("note", "1"))
	s.writeOther(t, l, put("first", "2"), put("note", "2"))
	s.write(t, l, drop("first"), drop("note"))
	s.write(t, l, put("note", "3"))
	for range 3 {
		if attempt, due := l.DeletionAttempt(); due {
			require.True(t, s.carryOut(attempt))
			l.Confirm(attempt)
		}
		s.write(t, l)
	}
	_, values := s.load(t, 6)
	require.Equal(t, map[string]string{"note": "3"}, values)
}

func TestUnreadableValuesAreReported(t *testing.T) {
	_, err := ledger.New(1).Load([ledger.Partitions][]shard.Record{{{Key: "x", Value: []byte{0x80}}}, {{Key: "y", Value: []byte{2}}}})
	require.ErrorContains(t, err, `"x"`)
	require.ErrorContains(t, err, `"y"`)
}

// Random groups, silent partitions, late attempts and changes of the writer,
// against a map. What is confirmed is read back; what is dropped stays away
// once the writer has nothing to drop any more.
func TestLedgerKeepsWhatIsConfirmed(t *testing.T) {
	const runs = 400
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newStore()
		epoch := int64(1)
		l, _ := s.load(t, epoch)
		want := map[string]string{}
		var late []ledger.Attempt
		maybeLate := func(attempt ledger.Attempt) {
			if random.IntN(2) == 0 {
				late = append(late, attempt)
			}
		}
		for step := range 60 {
			if len(late) > 0 && random.IntN(3) == 0 {
				s.carryOut(late[0])
				late = late[1:]
			}
			var group []shard.Record
			for key := range 6 {
				name := fmt.Sprintf("k%d", key)
				switch {
				case random.IntN(4) == 0:
					value := fmt.Sprintf("%d", step)
					group = append(group, put(name, value))
					want[name] = value
				case want[name] != "" && random.IntN(5) == 0:
					group = append([]shard.Record{drop(name)}, group...)
					delete(want, name)
				}
			}
			l.Begin(group)
			p := l.Current()
			for random.IntN(4) == 0 {
				maybeLate(l.Attempt(p))
				p = ledger.Partitions - 1 - p
			}
			attempt := l.Attempt(p)
			require.True(t, s.carryOut(attempt), "seed %d: the writer fenced itself", seed)
			l.Confirm(attempt)
			if attempt, due := l.DeletionAttempt(); due && random.IntN(2) == 0 {
				if random.IntN(2) == 0 {
					maybeLate(attempt)
				} else {
					require.True(t, s.carryOut(attempt), "seed %d", seed)
					l.Confirm(attempt)
				}
			}
			if random.IntN(10) == 0 {
				epoch++
				var values map[string]string
				l, values = s.load(t, epoch)
				for key, value := range want {
					require.Equal(t, value, values[key], "seed %d step %d", seed, step)
				}
				want = values // a drop that had to wait leaves its key to the next writer
			}
		}
	}
}
