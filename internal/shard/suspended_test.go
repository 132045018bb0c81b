package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// Guards against a start order that is sent again, and extends the lease of its worker, after
// the worker was recorded as suspended: the next leader takes that lease for the last one.
func TestStartIsNotSentAgainToSuspendedWorker(t *testing.T) {
	const worker = "i-1"
	now := time.Unix(1_700_000_000, 0)
	s := shard.New(shard.Options{Service: "ledger", Epoch: 1, Lease: taskLease, MaxWorkerLease: maxWorkerLease})
	s.Load(now, nil)
	s.SetWorkers(now, []shard.WorkerInfo{{ID: worker, Incarnation: 1, Capacity: workerSize}})
	s.Tick(now)
	require.Len(t, s.TakeCommands().Polls, 1)
	s.PollAnswered(now, now, worker, shard.Report{Incarnation: 1, Clock: time.Hour})
	store := func() {
		s.TakeBatch(now)
		s.BatchStored(now)
	}
	store()
	s.Accept(now, id(0), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, time.Second)}})
	store()
	s.Tick(now)
	starts := s.TakeCommands().Starts
	require.Len(t, starts, 1)
	for range 3 {
		s.PollFailed(now, worker, shard.ConnectionRefused, "timeout")
	}
	store()
	s.StartAnswered(now.Add(250*time.Millisecond), worker, starts[0].RunKey, shard.StartUnknown, "timeout")
	commands := s.TakeCommands()
	require.Empty(t, commands.Starts)
	require.Len(t, commands.Stops, 1, "the run may have started")
}
