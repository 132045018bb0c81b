package shard_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// submitPoison submits a job whose first task crashes each worker that starts it.
func (sim *simulation) submitPoison(id string, terms job.Terms, steps ...job.Step) *modelJob {
	runTimes := make([]time.Duration, len(steps))
	for i := range steps {
		runTimes[i] = steps[i].Estimate
	}
	submitted := sim.submit(id, terms, job.Spec{Steps: steps}, runTimes...)
	submitted.poisonTasks[id+".0.0.0"] = true
	return submitted
}

// poisonSteps are the steps of the jobs that poison tasks are in.
func poisonSteps() map[string]job.Step {
	return map[string]job.Step{"single": tasks(1, 1000, time.Second), "one of several": tasks(6, 1000, time.Second), "gang": gang(3, 2, time.Second)}
}

func longRunningTasks(count int) job.Step {
	step := tasks(count, 500, 500*time.Millisecond)
	step.LongRunning = true
	return step
}

// playPoison submits jobs for 12 s, and after 2 and 3 s a job with the step whose first task
// crashes each worker that starts it. It returns these two when all others have completed.
func (sim *simulation) playPoison(step job.Step) []*modelJob {
	sim.t.Helper()
	sim.advance(time.Second)
	var poison []*modelJob
	number := 0
	for second := range 12 {
		for range 4 {
			sim.submit(id(number), batchTerms, job.Spec{Steps: []job.Step{tasks(2, 1000, time.Second)}}, time.Second)
			number++
			sim.advance(250 * time.Millisecond)
		}
		if second == 1 || second == 2 {
			poison = append(poison, sim.submitPoison(id(1000+second), urgentTerms, step))
		}
	}
	sim.advance(40 * time.Second)
	require.Empty(sim.t, sim.violations)
	for i := range number {
		state, _ := sim.leader.shard.State(id(i))
		require.Equal(sim.t, job.Completed, state, "job %d", i)
	}
	return poison
}

// A task that crashes each worker that starts it must be given up before it has crashed
// worker after worker, and the jobs beside it must not fail with it (deadly day of site
// mcog-bakehouse: 13 tasks were started until the end of the day).
func TestPoisonTaskIsGivenUp(t *testing.T) {
	for name, step := range poisonSteps() {
		for comeback, newIDs := range map[string]bool{"same ID": false, "new ID": true} {
			t.Run(name+", "+comeback, func(t *testing.T) {
				sim := newSimulation(t, 50, 6, workerSize)
				sim.newIDs = newIDs
				for _, submitted := range sim.playPoison(step) {
					state, _ := sim.leader.shard.State(submitted.id)
					require.Equal(t, job.Failed, state, "crashes: %v", submitted.crashes)
					require.GreaterOrEqual(t, submitted.crashes[submitted.id+".0.0.0"], 2)
					require.LessOrEqual(t, submitted.crashes[submitted.id+".0.0.0"], 3)
				}
			})
		}
	}
}

// maxContainedCrashes returns how many workers a task can crash within a time if no crash
// can be shown: each lost start occupies the task for a lease, and from the second lost
// trial on it waits, first 1 s and then twice as long as before.
func maxContainedCrashes(within time.Duration) int {
	count := 2
	for spent, delay := taskLease, time.Second; ; delay *= 2 {
		spent += taskLease + delay
		if spent > within {
			return count
		}
		count++
	}
}

// Guards against a task that crashes worker after worker, each for longer than a lease: that
// can't be told from workers that are cut off, so its job must not be given up, but the
// task must wait longer and longer, and all other jobs must complete.
func TestPoisonTaskIsContainedIfNoCrashIsShown(t *testing.T) {
	for name, step := range poisonSteps() {
		for down, refuses := range map[string]bool{"refused": true, "silent": false} {
			t.Run(name+", "+down, func(t *testing.T) {
				sim := newSimulation(t, 50, 6, workerSize)
				sim.crashLength, sim.refuses = 8*time.Second, refuses
				for _, submitted := range sim.playPoison(step) {
					state, _ := sim.leader.shard.State(submitted.id)
					require.Equal(t, job.Running, state)
					require.GreaterOrEqual(t, submitted.crashes[submitted.id+".0.0.0"], 3)
					require.LessOrEqual(t, submitted.crashes[submitted.id+".0.0.0"], maxContainedCrashes(sim.now))
				}
			})
		}
	}
}

// maxLongRunningCrashes returns how many workers a task that lasts can crash within a time:
// each crash occupies it for lossTime, and from the second lost trial on it waits 1 s, then
// 2 s, and after that 3 s each time.
func maxLongRunningCrashes(within, lossTime time.Duration) int {
	count := 2
	for spent := lossTime; ; count++ {
		spent += lossTime + min(3, time.Duration(count-1))*time.Second
		if spent > within {
			return count
		}
	}
}

// Guards against a job with tasks that last that is ended as failed because one of them
// crashes its workers: it runs until it is cancelled. The task must crash no more workers
// than its delays allow, and the other tasks of its job and all other jobs must run.
func TestPoisonTaskThatLastsIsNotGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		lossTime time.Duration // until its loss is known, at least
		set      func(sim *simulation)
	}{
		"same ID": {3 * time.Second, func(*simulation) {}}, "new ID": {3 * time.Second, func(sim *simulation) { sim.newIDs = true }},
		"refused": {taskLease, func(sim *simulation) { sim.crashLength, sim.refuses = 8*time.Second, true }},
		"silent":  {taskLease, func(sim *simulation) { sim.crashLength = 8 * time.Second }},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 50, 6, workerSize)
			c.set(sim)
			for _, submitted := range sim.playPoison(longRunningTasks(2)) {
				poison, sibling := submitted.id+".0.0.0", submitted.id+".0.0.1"
				state, _ := sim.leader.shard.State(submitted.id)
				require.Equal(t, job.Running, state, "crashes: %v", submitted.crashes)
				require.GreaterOrEqual(t, submitted.crashes[poison], 3)
				require.LessOrEqual(t, submitted.crashes[poison], maxLongRunningCrashes(sim.now, c.lossTime))
				running := 0
				for range 200 {
					sim.advance(100 * time.Millisecond)
					if sim.runs(sibling) {
						running++
					}
				}
				require.GreaterOrEqual(t, running, 100, "the share of 200 moments at which it runs")
			}
		})
	}
}

// Guards against a job that is ended as failed, and with it tasks that last, because workers
// crashed at the starts of one of its tasks: without further crashes all of its tasks must
// run, and each again before its callers count it as lost.
func TestCrashesDoNotEndJobsWithTasksThatLast(t *testing.T) {
	for name, c := range map[string]struct {
		steps  []job.Step
		maxGap time.Duration // between the crash and the next start of the task
	}{
		"under a task that lasts":  {[]job.Step{longRunningTasks(6)}, 9 * time.Second},
		"under a task beside them": {[]job.Step{tasks(1, 1000, time.Hour), longRunningTasks(5)}, 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 57, 8, workerSize)
			sim.advance(time.Second)
			runTimes := []time.Duration{time.Hour, time.Hour}
			submitted := sim.submit(id(0), urgentTerms, job.Spec{Steps: c.steps}, runTimes[:len(c.steps)]...)
			crashes := 0
			var crashedAt time.Duration
			sim.onStart = func(start shard.Start) {
				if start.Task != submitted.id+".0.0.0" {
					return
				}
				require.Less(t, sim.now-crashedAt, c.maxGap)
				if crashes++; crashes > 5 {
					return
				}
				m := sim.worker(start.ID)
				sim.schedule(60*time.Millisecond, nil, func(time.Time) {
					crashedAt = sim.now
					m.crash()
				})
				sim.schedule(5*time.Second, nil, func(time.Time) { m.restart() })
			}
			sim.advance(time.Minute)
			require.Empty(t, sim.violations)
			require.Equal(t, 6, crashes)
			state, _ := sim.leader.shard.State(submitted.id)
			require.Equal(t, job.Running, state)
			_, runs := sim.leader.shard.CountJobsAndRuns()
			require.Equal(t, 6, runs)
		})
	}
}

// The crashes of a task must not be forgotten when the process that ordered its starts
// is killed right after the order, or while the worker is down. Each leader that ends so
// may lose one crash, but none of a suspected task; the start that a killed leader ordered
// counts as unconfirmed, though.
func TestCrashCountOutlivesLeaders(t *testing.T) {
	for name, c := range map[string]struct {
		killedStarts []int // starts of the task whose leader is killed
		maxCrashes   int
	}{
		"first start": {[]int{1}, 3}, "second start": {[]int{2}, 3}, "first three starts": {[]int{1, 2, 3}, 5}, "second and third start": {[]int{2, 3}, 3},
	} {
		for _, delay := range []time.Duration{tickLength, 2 * time.Second} {
			for _, newIDs := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, after %s, new IDs %t", name, delay, newIDs), func(t *testing.T) {
					sim := newSimulation(t, 51, 6, workerSize)
					sim.newIDs = newIDs
					sim.advance(time.Second)
					poison := sim.submitPoison(id(0), urgentTerms, tasks(3, 1000, time.Second))
					starts := 0
					sim.onStart = func(start shard.Start) {
						if start.Task != id(0)+".0.0.0" {
							return
						}
						if starts++; slices.Contains(c.killedStarts, starts) {
							sim.schedule(delay, nil, func(time.Time) { sim.leader.dead = true })
							sim.schedule(delay+500*time.Millisecond, nil, func(time.Time) { sim.replaceLeader() })
						}
					}
					sim.advance(90 * time.Second)
					require.Empty(t, sim.violations)
					state, _ := sim.leader.shard.State(id(0))
					require.Equal(t, job.Failed, state)
					require.LessOrEqual(t, poison.crashes[id(0)+".0.0.0"], c.maxCrashes)
				})
			}
		}
	}
}

// Guards against a gang that is given up after one trial because two of its workers crashed under
// it, one of which the next leader counts (as in review/10).
func TestCrashesUnderOneTrialOfGangCountOnce(t *testing.T) {
	for name, newLeader := range map[string]bool{"one leader": false, "the next leader reads the second crash": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 57, 6, workerSize)
			sim.advance(time.Second)
			var trial []*modelWorker
			sim.onStart = func(start shard.Start) {
				worker := sim.worker(start.ID)
				switch {
				case sim.startCount <= 2: // makes the gang suspected
					worker.listed = false
					sim.schedule(100*time.Millisecond, nil, func(time.Time) { worker.unreachable = true })
				case sim.startCount <= 4:
					trial = append(trial, worker)
					sim.schedule(100*time.Millisecond, nil, func(time.Time) { worker.crash() })
				}
			}
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{gang(2, 8, 2*time.Second)}}, 2*time.Second)
			for len(trial) < 2 && sim.now < 20*time.Second {
				sim.advance(tickLength)
			}
			require.Len(t, trial, 2)
			sim.advance(300 * time.Millisecond)
			trial[0].restart()
			sim.advance(2 * time.Second) // until the leader has read and stored its crash
			if newLeader {
				sim.leader.dead = true
				sim.replaceLeader()
			}
			trial[1].restart()
			sim.advanceUntilEnded(id(0), time.Minute)
			state, _ := sim.leader.shard.State(id(0))
			require.Equal(t, job.Completed, state)
			require.Empty(t, sim.violations)
		})
	}
}

// A healthy task must not be failed because workers that started it were cut off or left as
// planned: no caller caused that, and its job would be lost.
func TestWorkerLossesDoNotFailHealthyTasks(t *testing.T) {
	for name, lose := range map[string]func(sim *simulation, m *modelWorker){
		"cut off": func(sim *simulation, m *modelWorker) {
			m.unreachable = true
			sim.schedule(7*time.Second, nil, func(time.Time) { m.unreachable = false })
		},
		"left as planned": func(sim *simulation, m *modelWorker) { m.drain(600 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 52, 8, workerSize)
			sim.advance(time.Second)
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, 20*time.Second)}}, 20*time.Second)
			lost := 0
			sim.onStart = func(start shard.Start) {
				if lost < 4 {
					lost++
					lose(sim, sim.worker(start.ID))
				}
			}
			sim.advance(time.Second)
			sim.requireAllEnded(2 * time.Minute)
			require.Equal(t, 4, lost)
			state, _ := sim.leader.shard.State(id(0))
			require.Equal(t, job.Completed, state)
		})
	}
}

// A healthy task must not be failed because poison tasks crashed its workers: a suspected
// task must not be at its start beside another one, or the crash of that one is counted
// for it.
func TestPoisonTasksDoNotFailHealthyTasksBesideThem(t *testing.T) {
	for seed := range uint64(5) {
		sim := newSimulation(t, seed, 4, workerSize)
		sim.crashLength = 1500 * time.Millisecond
		suspected := func(task string) bool { return sim.jobs[task[:16]].crashes[task] > 0 }
		sim.onStart = func(start shard.Start) {
			for _, other := range sim.worker(start.ID).runs {
				beside := other.key != start.RunKey && sim.now-other.startedAt < 400*time.Millisecond
				require.False(t, beside && (suspected(start.Task) || suspected(other.key.Task)), "seed %d, %s: %s starts beside %s", seed, sim.now, start.Task, other.key.Task)
			}
		}
		sim.advance(time.Second)
		number := 0
		for i := range 15 {
			sim.submitPoison(id(1000+i), urgentTerms, tasks(1, 1000, time.Second))
			for range 4 {
				sim.submit(id(number), batchTerms, job.Spec{Steps: []job.Step{tasks(2, 1000, 400*time.Millisecond)}}, 400*time.Millisecond)
				number++
				sim.advance(time.Duration(100+sim.random.IntN(200)) * time.Millisecond)
			}
		}
		sim.advance(2 * time.Minute)
		require.Empty(t, sim.violations)
		for i := range number {
			state, _ := sim.leader.shard.State(id(i))
			if sim.jobs[id(i)] != nil { // it wasn't refused
				require.Equal(t, job.Completed, state, "seed %d, job %d", seed, i)
			}
		}
	}
}

// A start of a suspected task that the store doesn't have yet would be lost with its
// leader; its worker would crash and nobody would count it.
func TestTrialIsStoredBeforeItsStart(t *testing.T) {
	sim := newSimulation(t, 53, 4, workerSize)
	sim.advance(time.Second)
	poison := sim.submitPoison(id(0), urgentTerms, tasks(1, 1000, time.Second))
	sim.advance(time.Second)
	require.Equal(t, 1, poison.crashes[id(0)+".0.0.0"])
	sim.storeDown = true
	sim.advance(8 * time.Second)
	require.Equal(t, 1, sim.startCount)
	sim.storeDown = false
	sim.advance(time.Second)
	require.Equal(t, 2, sim.startCount)
}

// While workers crash under poison tasks and the leader changes at the worst moments,
// no task may be started without end, no other job may fail, and none may be lost.
func TestInvariantsWithPoisonTasks(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			sim := newSimulation(t, uint64(seed), 8, job.Demand{MilliCPU: 16000, MemoryMB: 32000})
			sim.requireTickets, sim.newIDs = seed%2 == 0, seed%4 < 2
			sim.advance(time.Second)
			var poison []string
			var endFault func()
			number := 0
			for second := range 24 {
				for range 3 {
					sim.submitRandomJob(number)
					number++
					sim.advance(330 * time.Millisecond)
				}
				switch second {
				case 2, 3, 5, 8:
					poisonID := id(5000 + second)
					sim.submitPoison(poisonID, urgentTerms, tasks(1+sim.random.IntN(4), 1000, time.Second))
					poison = append(poison, poisonID)
				case 6, 12:
					changes := 0
					sim.onStart = func(start shard.Start) { // kills the process that orders the start
						if changes < 1 && slices.Contains(poison, start.Task[:16]) {
							changes++
							sim.leader.dead = true
							sim.schedule(500*time.Millisecond, nil, func(time.Time) { sim.replaceLeader() })
						}
					}
				case 15:
					sim.onStart = nil
					if !sim.leader.dead {
						endFault = sim.startRandomFault()
					}
				case 20:
					if endFault != nil {
						endFault()
					}
				}
			}
			sim.endAllFaults()
			sim.requireAllEnded(3 * time.Minute)
			for _, poisonID := range poison {
				state, known := sim.leader.shard.State(poisonID)
				if sim.jobs[poisonID].accepted || known {
					require.Equal(t, job.Failed, state, "crashes: %v", sim.jobs[poisonID].crashes)
				}
			}
		})
	}
}
