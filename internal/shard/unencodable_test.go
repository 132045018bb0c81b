package shard_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// newLoadedShard returns a shard with stored records.
func newLoadedShard(now time.Time, records []shard.Record) *shard.Shard {
	s := shard.New(shard.Options{Service: "ledger", Epoch: 1, Lease: taskLease, FinalStateRetention: time.Minute})
	s.Load(now, records)
	return s
}

// Guards against a job that counts as accepted although its record isn't in the batch, and is gone
// with its leader (LOST).
func TestAcceptedJobIsInBatch(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	step := tasks(1, 1000, time.Second)
	for name, c := range map[string]struct {
		spec    job.Spec
		refused bool
	}{
		"due at once":            {job.Spec{Steps: []job.Step{step}}, false},
		"due in the year 10000":  {job.Spec{Steps: []job.Step{step}, Repeat: 1, FirstStart: time.UnixMilli(253402318799000)}, false},
		"due before the year 0":  {job.Spec{Steps: []job.Step{step}, Repeat: 1, FirstStart: time.UnixMilli(-1 << 62)}, false},
		"larger than a record":   {job.Spec{Text: strings.Repeat("a", job.MaxRecordBytes), Steps: []job.Step{step}}, true},
		"nearly as large as one": {job.Spec{Text: strings.Repeat("a", job.MaxRecordBytes-1000), Steps: []job.Step{step}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadedShard(now, nil)
			result := s.Accept(now, id(0), batchTerms, c.spec)
			require.Equal(t, c.refused, result.Outcome == shard.Refused, result.Reason)
			batch := s.TakeBatch(now)
			if c.refused {
				require.Empty(t, batch)
				require.NotZero(t, result.RetryAfter)
				return
			}
			s.BatchStored(now)
			require.Equal(t, []string{id(0)}, s.TakeCommands().StoredAcceptances)
			next := newLoadedShard(now, batch)
			require.Equal(t, shard.Stored, next.Acceptance(id(0)))
			require.Equal(t, s.OpenTasks(), next.OpenTasks(), "it is due at the same time")
		})
	}
}

// Guards against an end that callers are told of although its record can't be encoded and isn't in
// the batch.
func TestEndWithoutRecordIsNotStored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := newLoadedShard(now, nil)
	s.Accept(now, id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, time.Second)}})
	require.NotEmpty(t, s.TakeBatch(now))
	s.BatchStored(now)
	wrongClock := now.AddDate(9000, 0, 0)
	require.Equal(t, shard.Pending, s.Cancel(wrongClock, id(0)))
	require.Empty(t, s.TakeBatch(wrongClock))
	require.Empty(t, s.TakeCommands().StoredEnds)
	state, _ := s.State(id(0))
	require.False(t, state.Ended())

	require.NotEmpty(t, s.TakeBatch(now), "it is stored once the clock is right")
	s.BatchStored(now)
	require.Equal(t, []string{id(0)}, s.TakeCommands().StoredEnds)
}
