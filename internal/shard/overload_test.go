package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// Pattern: a flood of the least urgent work, then one urgent job.
func TestUrgentJobPassesAFloodOfBatch(t *testing.T) {
	w := newWorld(t, 1, 4, workerSize)
	w.run(time.Second)
	patient := batchTerms
	patient.Stretch = 1000 // nothing is refused for load
	for i := range 200 {
		w.submit(id(i), patient, job.Spec{Steps: []job.Step{tasks(4, 2000, 2*time.Second)}}, 2*time.Second)
	}
	w.run(3 * time.Second)
	began := w.now
	w.submit(id(900), urgentTerms, job.Spec{Steps: []job.Step{tasks(6, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
	// Room comes with the next batch task that ends: within its 2 s.
	require.Less(t, w.endedAt(id(900), 10*time.Second)-began, 3*time.Second)
	require.Empty(t, w.faults)
}

// Pattern: ten times as much batch work as the fleet can take. What can't be
// done while it is worth anything is refused at once, with the time in which
// the backlog goes down; what is accepted ends within it.
func TestFloodIsRefusedInTime(t *testing.T) {
	w := newWorld(t, 14, 4, workerSize)
	w.run(time.Second)
	terms := job.Terms{Queue: "batch", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second}
	objective := 5 * time.Second
	accepted := map[string]time.Duration{}
	refused := 0
	// A job takes 16 core-seconds, the fleet does 64 in a second: 40 jobs a
	// second are ten times its work.
	for i := range 400 {
		verdict := w.holder.shard.Accept(w.time(), id(i), terms, job.Spec{Steps: []job.Step{tasks(4, 2000, 2*time.Second)}})
		if verdict.Outcome == shard.Refused {
			refused++
			require.Greater(t, verdict.RetryAfter, 3*time.Second)
		} else {
			w.submit(id(i), terms, job.Spec{Steps: []job.Step{tasks(4, 2000, 2*time.Second)}}, 2*time.Second)
			accepted[id(i)] = w.now
		}
		w.run(20 * time.Millisecond)
	}
	require.Greater(t, refused, 250)
	require.Greater(t, len(accepted), 40, "the fleet does 4 jobs a second")
	for len(accepted) > 0 {
		w.run(100 * time.Millisecond)
		for id, at := range accepted {
			state, _ := w.holder.shard.State(id)
			if state.Ended() {
				delete(accepted, id)
				continue
			}
			require.Less(t, w.now-at, 4*objective, "%s was accepted and is late by far", id)
		}
	}
	require.Empty(t, w.faults)
}

// Pattern: a gang that needs whole workers beside a stream of small tasks.
func TestGangStartsInAStreamOfSmallTasks(t *testing.T) {
	w := newWorld(t, 2, 4, workerSize)
	w.run(time.Second)
	small := job.Step{Count: 3, Demand: job.Demand{MilliCPU: 500, MemoryMB: 100, GPUs: 1}, Estimate: time.Second}
	number := 0
	stream := func() {
		w.submit(id(number), batchTerms, job.Spec{Steps: []job.Step{small}}, time.Second)
		number++
		w.run(100 * time.Millisecond)
	}
	for range 30 {
		stream()
	}
	began := w.now
	w.submit(id(5000), job.Terms{Queue: "gangs", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond},
		job.Spec{Steps: []job.Step{gang(2, 8, 2*time.Second)}}, 2*time.Second)
	for {
		state, _ := w.holder.shard.State(id(5000))
		if state == job.Running || state.Ended() {
			break
		}
		stream()
		require.Less(t, w.now-began, 2*time.Second, "a gang starts within twice the run time of the tasks before it")
	}
	require.Empty(t, w.faults)
}

// Pattern: many jobs are cancelled at once while urgent work arrives.
func TestWaveOfCancellationsDelaysNobody(t *testing.T) {
	w := newWorld(t, 6, 4, workerSize)
	w.run(time.Second)
	patient := batchTerms
	patient.Stretch = 1000 // nothing is refused for load
	for i := range 300 {
		w.submit(id(i), patient, job.Spec{Steps: []job.Step{tasks(8, 2000, 3*time.Second)}}, 3*time.Second)
	}
	w.run(time.Second)
	for i := range 300 {
		w.cancel(id(i))
	}
	began := w.now
	w.submit(id(900), urgentTerms, job.Spec{Steps: []job.Step{tasks(6, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
	// A stop takes up to 0.9 s on the platform; then the machines are free.
	require.Less(t, w.endedAt(id(900), 10*time.Second)-began, 2500*time.Millisecond)
	for i := range 300 {
		require.NotZero(t, w.jobs[id(i)].cancelled, "cancellation %d has no acknowledgement", i)
	}
	require.Empty(t, w.faults)
}

// Pattern: a large gang is too late to be worth anything while smaller work
// streams past it. It starts as soon as the stream ends.
func TestLateGangStartsWhenTheLoadEnds(t *testing.T) {
	w := newWorld(t, 13, 6, workerSize)
	w.advised = true
	w.goodShare = 0.6
	w.run(time.Second)
	for i := range 60 {
		small := job.Step{Count: 6, Demand: job.Demand{MilliCPU: 500, MemoryMB: 100, GPUs: 1}, Estimate: 2 * time.Second}
		w.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{small}}, 2*time.Second)
		if i == 5 {
			w.submit(id(5000), job.Terms{Queue: "gangs", Priority: 1, MaxAttempts: 3, Stretch: 0.1, Target: 10 * time.Millisecond},
				job.Spec{Steps: []job.Step{gang(2, 8, 2*time.Second)}}, 2*time.Second)
		}
		w.run(250 * time.Millisecond)
	}
	began := w.now
	// What still waits and runs of the stream, then the gang's own 2 s.
	require.Less(t, w.endedAt(id(5000), 30*time.Second)-began, 8*time.Second)
	require.Empty(t, w.faults)
}
