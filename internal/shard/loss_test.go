package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

const (
	// entryExpiry is the silence after which a worker leaves the list: three heartbeats.
	entryExpiry = 4500 * time.Millisecond
	cutLength   = 10 * time.Second
)

// cutWorker cuts off a worker, which goes on, for cutLength. Its entry expires meanwhile.
func (sim *simulation) cutWorker(m *modelWorker, refuses bool) {
	m.unreachable, m.refuses = true, refuses
	sim.schedule(entryExpiry, nil, func(time.Time) { m.listed = false })
	sim.schedule(cutLength, nil, func(time.Time) { m.unreachable, m.refuses, m.listed = false, false, true })
}

// Guards against a job that is given up because workers were cut off right after they had
// started its task: neither the end of their leases nor an expired entry nor a refused
// connection shows that a worker crashed under it.
func TestCutOffWorkersDoNotFailHealthyTasks(t *testing.T) {
	standing := tasks(1, 1000, time.Second)
	standing.LongRunning = true
	for name, c := range map[string]struct {
		step    job.Step
		runTime time.Duration
	}{
		"standing": {standing, time.Hour}, "finite": {tasks(1, 1000, 20*time.Second), 20 * time.Second}, "gang": {gang(3, 2, 20*time.Second), 20 * time.Second},
	} {
		for cut, lose := range map[string]func(sim *simulation, m *modelWorker){
			"silent":  func(sim *simulation, m *modelWorker) { sim.cutWorker(m, false) },
			"refused": func(sim *simulation, m *modelWorker) { sim.cutWorker(m, true) },
			"silent, leader replaced": func(sim *simulation, m *modelWorker) {
				sim.cutWorker(m, false)
				leader := sim.leader
				sim.schedule(8*time.Second, nil, func(time.Time) { // after the lease, in the next cut
					if leader.dead = true; sim.leader == leader {
						sim.replaceLeader()
					}
				})
			},
			"restarted after its runs lapsed": func(sim *simulation, m *modelWorker) {
				sim.cutWorker(m, false)
				sim.schedule(m.leaseEnd-sim.now+300*time.Millisecond, nil, func(time.Time) {
					require.Empty(t, m.runs, "they have lapsed")
					m.loseAll()
					m.restart()
				})
			},
			"replaced after its runs lapsed": func(sim *simulation, m *modelWorker) {
				sim.cutWorker(m, false)
				sim.schedule(m.leaseEnd-sim.now+300*time.Millisecond, nil, func(time.Time) {
					require.Empty(t, m.runs, "they have lapsed")
					sim.replaceWorker(m)
				})
			},
		} {
			t.Run(name+", "+cut, func(t *testing.T) {
				sim := newSimulation(t, 55, 12, workerSize)
				sim.advance(time.Second)
				sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{c.step}}, c.runTime)
				const cuts = 3
				var starts []int64 // the run numbers that are cut off
				sim.onStart = func(start shard.Start) {
					if len(starts) == 0 || starts[len(starts)-1] != start.Run {
						starts = append(starts, start.Run)
					}
					if m := sim.worker(start.ID); len(starts) <= cuts && !m.unreachable {
						sim.schedule(60*time.Millisecond, nil, func(time.Time) { lose(sim, m) })
					}
				}
				sim.advance(time.Second)
				sim.requireAllEnded(2 * time.Minute)
				sim.advance(time.Minute)
				require.Empty(t, sim.violations)
				require.Greater(t, len(starts), cuts)
				state, _ := sim.leader.shard.State(id(0))
				if c.step.LongRunning {
					require.Equal(t, job.Running, state)
					_, runs := sim.leader.shard.CountJobsAndRuns()
					require.Equal(t, c.step.Count, runs)
					return
				}
				require.Equal(t, job.Completed, state)
			})
		}
	}
}

// Guards against a task that is suspected because its worker is lost right after a change of
// leader, though its run was far beyond its start: to the new leader it must not look as if
// it had just started.
func TestAdoptedRunsAreNotAtTheirStart(t *testing.T) {
	standing := tasks(1, 1000, time.Second)
	standing.LongRunning = true
	for name, step := range map[string]job.Step{"standing": standing, "finite": tasks(1, 1000, time.Minute), "gang": gang(3, 2, time.Minute)} {
		for loss, lose := range map[string]func(sim *simulation, m *modelWorker){
			"crashed": func(sim *simulation, m *modelWorker) {
				m.crash()
				sim.schedule(3*time.Second, nil, func(time.Time) { m.restart() })
			},
			"cut off": func(sim *simulation, m *modelWorker) { sim.cutWorker(m, false) },
		} {
			t.Run(name+", "+loss, func(t *testing.T) {
				sim := newSimulation(t, 56, 6, workerSize)
				sim.advance(time.Second)
				sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{step}}, time.Minute)
				sim.advance(5 * time.Second)
				require.Equal(t, step.Count, sim.startCount)
				sim.leader.dead = true
				sim.replaceLeader()
				sim.onLog = func(event string, keyvals []any) { require.NotEqual(t, "start-lost", event, "%v", keyvals) }
				sim.advance(60 * time.Millisecond)
				_, adopted := sim.leader.shard.CountJobsAndRuns()
				require.Equal(t, step.Count, adopted)
				for _, m := range sim.workers {
					if len(m.runs) > 0 {
						lose(sim, m)
					}
				}
				sim.advance(20 * time.Second)
				require.Empty(t, sim.violations)
				require.Equal(t, 2*step.Count, sim.startCount)
			})
		}
	}
}
