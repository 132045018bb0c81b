package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Pattern: a worker dies for good soon after a change of holder.
func TestTasksOfADeadWorkerStartWhenItsLeaseIsOver(t *testing.T) {
	w := newWorld(t, 5, 3, workerSize)
	w.run(time.Second)
	w.holder.dead = true
	w.takeOver()
	w.run(time.Second)
	w.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(40, 1000, 4*time.Second)}}, 4*time.Second)
	w.run(time.Second)
	w.workers[0].crash()
	w.after(4500*time.Millisecond, nil, func(time.Time) { w.workers[0].listed = false })
	began := w.now
	// The last lease of 6 s, by a clock that is 2% slow, and the work of 4 s.
	require.Less(t, w.endedAt(id(0), 30*time.Second)-began, 12*time.Second)
	require.Empty(t, w.faults)
}

// Pattern: workers are taken away as planned, and then the holder changes. The
// next holder has nothing to learn from workers that ran nothing any more, so
// the steps that it finds in the store start as soon as the others are read.
func TestWorkersThatLeftDontHoldUpTheNextHolder(t *testing.T) {
	cases := map[string]func(worker *modelWorker){
		"the worker drains": func(worker *modelWorker) { worker.draining = true },
		"the worker has left": func(worker *modelWorker) {
			worker.crash()
			worker.listed = false
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 21, 4, workerSize)
			w.run(time.Second)
			w.workers[0].leaves = time.Hour
			leave(w.workers[0])
			w.run(2 * time.Second)
			w.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{
				tasks(4, 1000, time.Second), {Count: 2, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second, After: []int{0}},
			}}, time.Second, time.Second)
			w.run(500 * time.Millisecond)
			w.workers[0].crash()
			w.holder.dead = true
			w.run(500 * time.Millisecond)
			w.takeOver()
			require.Less(t, w.endedAt(id(0), 30*time.Second), 7*time.Second, "no wait for the lease of a worker that runs nothing")
			require.Empty(t, w.faults)
		})
	}
}

// A worker that is listed again gets tasks only when a note of it is stored,
// or the next holder would not know that it may run something.
func TestWorkerThatComesBackIsNotedBeforeItsFirstTask(t *testing.T) {
	w := newWorld(t, 22, 1, workerSize)
	w.run(time.Second)
	worker := w.workers[0]
	noted := func() bool { return len(w.store["w"+worker.id]) > 0 }
	require.True(t, noted())
	worker.drain(time.Hour)
	w.run(time.Second)
	require.False(t, noted())
	w.storeDown = true
	worker.draining, worker.leaves = false, 0
	w.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, time.Second)}}, time.Second)
	w.run(2 * time.Second)
	require.Empty(t, worker.runs)
	w.storeDown = false
	w.run(500 * time.Millisecond)
	require.True(t, noted())
	require.Len(t, worker.runs, 1)
}

// Pattern: jobs are cancelled one after the other. A worker takes up to 0.9 s to
// stop a task, and is not looked at all the while (rlts-voucher inc-760c:
// 27,194 looks for 9,756 runs).
func TestStopsCostFewLooks(t *testing.T) {
	w := newWorld(t, 38, 1, workerSize)
	w.stopTime = 900 * time.Millisecond
	w.run(time.Second)
	const jobs = 20
	for i := range jobs {
		w.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 250, time.Minute)}}, time.Minute)
	}
	w.run(2 * time.Second)
	w.looks = 0
	for i := range jobs {
		w.cancel(id(i))
		w.run(time.Second)
	}
	_, running := w.holder.shard.Jobs()
	require.Zero(t, running)
	// A waiting look each 0.7 s, and at each stop one after its confirmation,
	// one that ends with it, and one that accounts for its end.
	require.LessOrEqual(t, w.looks, jobs*(2+3))
}

// Pattern: workers crash for good, and a few seconds later the holder changes,
// whatever became of the former one. The next holder waits for their last
// leases, and not for those that the former one may have given since
// (rlts-voucher, trouble-1: 15.6 s).
func TestCrashedWorkersHoldUpTheNextHolderForALease(t *testing.T) {
	w := newWorld(t, 39, 4, workerSize)
	w.run(time.Second)
	w.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{
		tasks(4, 1000, 4*time.Second), {Count: 2, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second, After: []int{0}},
	}}, 4*time.Second, time.Second)
	w.run(500 * time.Millisecond)
	for _, worker := range w.workers {
		if len(worker.runs) > 0 {
			worker.crash()
			break
		}
	}
	w.run(3 * time.Second)
	w.holder.frozen = true
	began := w.now
	w.takeOver()
	// The lease with its 2%, what was lost of the first step, and the second.
	require.Less(t, w.endedAt(id(0), 30*time.Second)-began, 12500*time.Millisecond)
	require.Empty(t, w.faults)
}

// Guards against a worker that comes back while the store is silent and gets
// longer leases than the next holder reckons with.
func TestSuspendedWorkerIsNotedBeforeItsLeasesAreExtended(t *testing.T) {
	w := newWorld(t, 40, 1, workerSize)
	w.run(time.Second)
	worker := w.workers[0]
	w.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, time.Minute)}}, time.Minute)
	w.run(time.Second)
	worker.cut = true
	w.run(3500 * time.Millisecond) // three looks fail
	w.storeDown = true
	worker.cut = false
	until := worker.until
	w.run(2 * time.Second)
	require.Equal(t, until, worker.until)
	w.storeDown = false
	w.run(time.Second)
	require.Greater(t, worker.until, until)
	require.Len(t, worker.runs, 1)
}

// Guards against a next holder that takes the runs of a suspended worker for
// over while their last lease lasts.
func TestRunsOfASuspendedWorkerKeepTheirLease(t *testing.T) {
	w := newWorld(t, 41, 2, workerSize)
	w.run(time.Second)
	w.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, 20*time.Second)}}, 20*time.Second)
	w.run(time.Second)
	for _, worker := range w.workers {
		worker.cut = len(worker.runs) > 0
	}
	w.run(3500 * time.Millisecond)
	w.holder.dead = true
	w.takeOver()
	w.endedAt(id(0), time.Minute)
	require.Empty(t, w.faults)
}
