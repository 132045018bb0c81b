package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// A job that is submitted again must not run again, also after its end and after a
// change of leader.
func TestResubmittedJobIsOneJob(t *testing.T) {
	sim := newSimulation(t, 8, 2, workerSize)
	sim.advance(time.Second)
	spec := job.Spec{Steps: []job.Step{tasks(2, 1000, 500*time.Millisecond)}}
	sim.submit(id(0), urgentTerms, spec, 500*time.Millisecond)
	require.Equal(t, shard.Pending, sim.leader.shard.Accept(sim.time(), id(0), urgentTerms, spec).Outcome)
	sim.advanceUntilEnded(id(0), 5*time.Second)
	starts := sim.startCount
	require.Equal(t, shard.Stored, sim.leader.shard.Accept(sim.time(), id(0), urgentTerms, spec).Outcome)
	sim.advance(time.Second)
	sim.leader.dead = true
	sim.replaceLeader()
	sim.advance(time.Second)
	require.Equal(t, shard.Stored, sim.leader.shard.Accept(sim.time(), id(0), urgentTerms, spec).Outcome)
	sim.advance(2 * time.Second)
	require.Equal(t, starts, sim.startCount)
	state, known := sim.leader.shard.State(id(0))
	require.True(t, known)
	require.Equal(t, job.Completed, state)
}

// A job whose tasks fit on no worker must be refused, or it would wait forever.
func TestJobLargerThanEveryWorkerIsRefused(t *testing.T) {
	sim := newSimulation(t, 9, 2, workerSize)
	sim.advance(time.Second)
	result := sim.leader.shard.Accept(sim.time(), id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 17000, time.Second)}})
	require.Equal(t, shard.Refused, result.Outcome)
	_, known := sim.leader.shard.State(id(0))
	require.False(t, known)
}

// A new leader that has not read the list of workers yet knows only their records. It
// must not refuse jobs for lack of capacity.
func TestNewLeaderAcceptsJobsBeforeItReadsTheList(t *testing.T) {
	sim := newSimulation(t, 9, 2, workerSize)
	sim.advance(time.Second)
	sim.leader.dead = true
	sim.replaceLeader()
	spec := job.Spec{Steps: []job.Step{tasks(1, 1000, time.Second)}}
	require.Equal(t, shard.Pending, sim.leader.shard.Accept(sim.time(), id(0), batchTerms, spec).Outcome)
}

// While the store doesn't answer, a job may be withdrawn only if TakeBatch has returned
// none of its records, as an append without an answer may have been carried out.
func TestWithdrawOnlyBeforeRecordIsTaken(t *testing.T) {
	sim := newSimulation(t, 12, 2, workerSize)
	sim.advance(time.Second)
	spec := job.Spec{Steps: []job.Step{tasks(1, 1000, time.Second)}}
	sim.storeDown = true
	sim.submit(id(0), batchTerms, spec, time.Second)
	sim.advance(50 * time.Millisecond)
	sim.submit(id(1), batchTerms, spec, time.Second)
	sim.advance(50 * time.Millisecond)
	require.False(t, sim.leader.shard.Withdraw(sim.time(), id(0), "test"), "its record is in flight")
	require.True(t, sim.leader.shard.Withdraw(sim.time(), id(1), "test"))
	delete(sim.jobs, id(1))
	sim.jobIDs = sim.jobIDs[:1]
	require.Equal(t, 1, sim.leader.shard.Waiting("batch"))
	sim.storeDown = false
	sim.requireAllEnded(10 * time.Second)
	_, known := sim.leader.shard.State(id(1))
	require.False(t, known)
	// The same ID is a new job now.
	sim.submit(id(1), batchTerms, spec, time.Second)
	sim.advance(100 * time.Millisecond)
	sim.requireAllEnded(10 * time.Second)
	_, known = sim.leader.shard.State(id(1))
	require.True(t, known)
}

// Each occurrence must start when it is due, and not earlier.
func TestRepeatedJobStartsWhenDue(t *testing.T) {
	sim := newSimulation(t, 10, 2, workerSize)
	sim.advance(time.Second)
	first := sim.time().Add(2 * time.Second)
	spec := job.Spec{Steps: []job.Step{tasks(2, 1000, 300*time.Millisecond)}, Repeat: 3, FirstStart: first, Interval: time.Second}
	sim.submit(id(0), urgentTerms, spec, 300*time.Millisecond)
	sim.advance(1900 * time.Millisecond)
	require.Zero(t, sim.startCount)
	sim.advance(400 * time.Millisecond)
	require.Equal(t, 2, sim.startCount)
	sim.advanceUntilEnded(id(0), 5*time.Second)
	require.Equal(t, 6, sim.startCount)
	require.Empty(t, sim.violations)
}

// The next leader must not start an occurrence before its time. Its record dropped the
// fraction of the second (review/5).
func TestNextLeaderStartsRepeatedJobWhenDue(t *testing.T) {
	sim := newSimulation(t, 46, 2, workerSize)
	sim.advance(time.Second)
	spec := job.Spec{
		Steps: []job.Step{tasks(2, 1000, 300*time.Millisecond)}, Repeat: 4, FirstStart: sim.time().Add(900 * time.Millisecond), Interval: 3 * time.Second,
	}
	sim.submit(id(0), urgentTerms, spec, 300*time.Millisecond)
	sim.advance(2 * time.Second)
	require.Equal(t, 2, sim.startCount)
	sim.leader.dead = true
	sim.replaceLeader()
	sim.requireAllEnded(time.Minute)
	require.Equal(t, 8, sim.startCount)
}

// Each leader's records replace those of the one before. An occurrence that an earlier
// leader completed must not run again after a second change of leader.
func TestCompletedOccurrencesSurviveTwoChangesOfLeader(t *testing.T) {
	sim := newSimulation(t, 10, 2, workerSize)
	sim.advance(time.Second)
	spec := job.Spec{
		Steps: []job.Step{tasks(2, 1000, 300*time.Millisecond)}, Repeat: 6, FirstStart: sim.time().Add(2 * time.Second), Interval: 5 * time.Second,
	}
	sim.submit(id(0), urgentTerms, spec, 300*time.Millisecond)
	for range 2 {
		sim.advance(6 * time.Second)
		sim.leader.dead = true
		sim.replaceLeader()
	}
	sim.requireAllEnded(time.Minute)
	require.Equal(t, 12, sim.startCount, "2 tasks in each of 6 occurrences")
}

// A job with thousands of occurrences that are due at once must not fill the memory of
// its leader, and of each next one. All of them must still run, and each once.
func TestOccurrencesThatAreDueAtOnceAreBounded(t *testing.T) {
	const repeat, width = 2500, 4
	sim := newSimulation(t, 21, 2, workerSize)
	sim.advance(time.Second)
	step := job.Step{Count: width, Demand: job.Demand{MilliCPU: 100, MemoryMB: 10}, Estimate: 20 * time.Millisecond}
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{step}, Repeat: repeat, FirstStart: sim.time()}, 20*time.Millisecond)
	requireBounded := func() { require.LessOrEqual(t, sim.leader.shard.OpenTasks(), 2*job.MaxTasks) }
	requireBounded()
	sim.advance(time.Second)
	requireBounded()
	sim.leader.dead = true
	sim.replaceLeader()
	requireBounded()
	sim.requireAllEnded(2 * time.Minute)
	require.Equal(t, repeat*width, sim.startCount)
	sim.advance(time.Second)
	require.Zero(t, sim.leader.shard.OpenTasks())
}

// An ended job with thousands of occurrences must not fill the memory of a new leader
// either, and its runs that are left must be stopped.
func TestEndedJobIsLoadedWithoutItsOccurrences(t *testing.T) {
	sim := newSimulation(t, 22, 2, workerSize)
	sim.advance(time.Second)
	spec := job.Spec{Steps: []job.Step{tasks(4, 100, 10*time.Second)}, Repeat: 5000, FirstStart: sim.time()}
	sim.submit(id(0), urgentTerms, spec, 10*time.Second)
	sim.advance(time.Second)
	require.NotZero(t, sim.startCount)
	sim.workers[0].unreachable = true // its runs can't be stopped, so the job's record is kept
	sim.cancel(id(0))
	sim.advance(500 * time.Millisecond)
	sim.leader.dead = true
	sim.replaceLeader()
	require.LessOrEqual(t, sim.leader.shard.OpenTasks(), job.MaxTasks)
	sim.workers[0].unreachable = false
	sim.requireAllEnded(20 * time.Second)
	sim.advance(10 * time.Second)
	_, runs := sim.leader.shard.CountJobsAndRuns()
	require.Zero(t, runs)
	for _, worker := range sim.workers {
		require.Empty(t, worker.runs)
	}
}

// Jobs that would fill the memory of the smallest VM must be refused.
func TestJobsAreRefusedWhileTooManyTasksAreHeld(t *testing.T) {
	sim := newSimulation(t, 23, 2, workerSize)
	sim.advance(time.Second)
	spec := job.Spec{Steps: []job.Step{{Count: job.MaxTasksOfStep, Demand: job.Demand{MilliCPU: 1}, Estimate: time.Millisecond}}}
	result := shard.AcceptResult{}
	for i := 0; i < 1000 && result.Outcome != shard.Refused; i++ {
		result = sim.leader.shard.Accept(sim.time(), id(i), batchTerms, spec)
	}
	require.Equal(t, shard.Refused, result.Outcome)
	require.Positive(t, result.RetryAfter)
	require.LessOrEqual(t, sim.leader.shard.OpenTasks(), 100_000+job.MaxTasks)
}

// The number of waiting jobs, which callers are told, must count each job once, also
// after a change of leader.
func TestWaitingCountsUnstartedJobs(t *testing.T) {
	sim := newSimulation(t, 11, 1, workerSize)
	sim.advance(time.Second)
	for i := range 10 {
		sim.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 8000, 2*time.Second)}}, 2*time.Second)
	}
	sim.advance(500 * time.Millisecond)
	require.Equal(t, 8, sim.leader.shard.Waiting("batch"))
	sim.leader.dead = true
	sim.replaceLeader()
	sim.advance(time.Second)
	require.Equal(t, 8, sim.leader.shard.Waiting("batch"))
	sim.cancel(id(9))
	sim.advance(100 * time.Millisecond)
	require.Equal(t, 7, sim.leader.shard.Waiting("batch"))
}

// A step must complete only once, even if several members of its gang, or several runs of
// a speculative task, end as done. Otherwise the job ends before its last step and tasks
// are lost (site mcog-bakehouse, run scale-2, seed 531967953187).
func TestStepCompletesOnce(t *testing.T) {
	cases := map[string]job.Step{
		"members of a gang":          gang(3, 1, 500*time.Millisecond),
		"runs of a speculative task": {Count: 2, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: 100 * time.Millisecond, Speculative: true},
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 18, 4, workerSize)
			sim.advance(time.Second)
			second, third := tasks(2, 1000, 400*time.Millisecond), tasks(2, 1000, 400*time.Millisecond)
			second.After, third.After = []int{0}, []int{0, 1}
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{first, second, third}}, time.Second, time.Second, time.Second)
			sim.advance(300 * time.Millisecond)
			if first.Speculative {
				sim.leader.shard.StartSpeculative(sim.time(), id(0)+".0.0")
			}
			sim.requireAllEnded(20 * time.Second)
			for step, spec := range []job.Step{first, second, third} {
				for index := range spec.Count {
					require.True(t, sim.everDone(sim.jobs[id(0)], fmt.Sprintf("%s.0.%d.%d", id(0), step, index)), "step %d task %d", step, index)
				}
			}
		})
	}
}
