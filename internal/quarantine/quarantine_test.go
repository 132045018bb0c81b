package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const slots = 8

// fleet runs tasks on all workers that are not excluded. failureRate returns the
// probability with which a task of a class fails on a worker.
type fleet struct {
	tracker          *quarantine.Tracker
	names            []string
	now              time.Time
	random           *rand.Rand
	failureRate      func(class, worker string) float64
	lost             map[string]int
	decisions        []quarantine.Decision
	exclusionChanges int
}

func newFleet(t *testing.T, seed uint64, workers int, failureRate func(class, worker string) float64) *fleet {
	t.Log("seed", seed)
	f := &fleet{now: start, random: rand.New(rand.NewPCG(seed, 0)), failureRate: failureRate, lost: map[string]int{}}
	f.tracker = quarantine.New(quarantine.Options{ExclusionChanged: func(string) { f.exclusionChanges++ }})
	for i := range workers {
		f.names = append(f.names, fmt.Sprintf("worker-%03d", i))
		f.tracker.AddWorker(start, f.names[i], 0)
	}
	return f
}

// round starts a task in each free slot before any task ends, and then reports
// the ends in a random order.
func (f *fleet) round(classes ...string) {
	type started struct {
		task   placement.Task
		worker string
	}
	var all []started
	for _, name := range f.names {
		for range slots {
			if !f.tracker.Excluded(name) {
				task := placement.Task{Class: classes[f.random.IntN(len(classes))]}
				f.tracker.Started(f.now, task, name)
				all = append(all, started{task, name})
			}
		}
	}
	f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, s := range all {
		outcome := placement.Completed
		if f.random.Float64() < f.failureRate(s.task.Class, s.worker) {
			outcome = placement.Failed
			f.lost[s.worker]++
		}
		f.decisions = append(f.decisions, f.tracker.Ended(f.now, s.task, s.worker, outcome)...)
	}
	f.now = f.now.Add(time.Second)
	f.tracker.Tick(f.now)
}

func (f *fleet) count(verb placement.Verb, worker string) int {
	count := 0
	for _, d := range f.decisions {
		if d.Verb == verb && (worker == "" || d.Worker == worker) {
			count++
		}
	}
	return count
}

// Guards against losing more than MaxLost tasks to a worker on which every task
// fails, either from the start or after rounds in which it failed no more than its
// peers, and against quarantining its peers, on which 2% of the tasks fail.
func TestFaultyWorkerLosesAtMostMaxLost(t *testing.T) {
	for name, healthyRounds := range map[string]int{"from the start": 0, "after healthy rounds": 20} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				broken := false
				f := newFleet(t, seed, 20, func(_, worker string) float64 {
					if broken && worker == "worker-007" {
						return 1
					}
					return 0.02
				})
				for range healthyRounds {
					f.round("a", "b")
				}
				broken = true
				f.lost["worker-007"] = 0
				for range 5 {
					f.round("a", "b")
				}
				require.LessOrEqual(t, f.lost["worker-007"], quarantine.MaxLost)
				require.Equal(t, 1, f.count(placement.VerbQuarantine, "worker-007"))
				require.Equal(t, 1, f.count(placement.VerbQuarantine, ""))
				require.Positive(t, f.exclusionChanges)
			}
		})
	}
}

// Guards against losing many tasks on a worker while the failure rate of its
// peers is unknown, because their tasks are long. The worker has to be paused
// until the first of these tasks ends; without the pause, this test fails.
func TestFastFailuresBeforePeerTasksEnd(t *testing.T) {
	f := newFleet(t, 5, 6, func(string, string) float64 { return 0 })
	task := placement.Task{Class: "a"}
	for _, name := range f.names[1:] {
		for range slots {
			f.tracker.Started(f.now, task, name)
		}
	}
	lost := 0
	for range 1000 {
		if f.tracker.Excluded("worker-000") {
			break
		}
		f.tracker.Started(f.now, task, "worker-000")
		require.Empty(t, f.tracker.Ended(f.now, task, "worker-000", placement.Failed))
		lost++
	}
	require.LessOrEqual(t, lost, quarantine.MaxLost)
	for _, name := range f.names[1:] {
		f.decisions = append(f.decisions, f.tracker.Ended(f.now, task, name, placement.Completed)...)
	}
	require.Equal(t, 1, f.count(placement.VerbQuarantine, "worker-000"))
}

// Guards against a worker that stays in quarantine after its repair, and against
// probes that lose many tasks while it is still broken.
func TestProbesReleaseRepairedWorker(t *testing.T) {
	broken := true
	f := newFleet(t, 1, 10, func(_, worker string) float64 {
		if broken && worker == "worker-000" {
			return 1
		}
		return 0
	})
	for range 300 {
		f.round("a")
	}
	// The back-off of 10 s doubles with each failed probe, so there are 4
	// probes in 300 s.
	require.LessOrEqual(t, f.lost["worker-000"], quarantine.MaxLost+4)
	require.Zero(t, f.count(placement.VerbRelease, ""))
	broken = false
	for range 400 {
		f.round("a")
	}
	require.Equal(t, 1, f.count(placement.VerbRelease, "worker-000"))
	require.False(t, f.tracker.Excluded("worker-000"))
	require.Zero(t, f.tracker.Quarantined())
}

// Guards against quarantining workers because of a class that fails everywhere,
// and against a class that stays faulty after it was fixed.
func TestClassThatFailsEverywhereIsFaulty(t *testing.T) {
	fixed := false
	f := newFleet(t, 2, 12, func(class, _ string) float64 {
		if class == "bad" && !fixed {
			return 1
		}
		return 0
	})
	for range 10 {
		f.round("good", "bad", "good")
	}
	require.Equal(t, []string{"bad"}, f.tracker.FaultyClasses())
	require.Equal(t, 1, f.count(placement.VerbFaultyClass, ""))
	require.Zero(t, f.count(placement.VerbQuarantine, ""))
	for _, name := range f.names {
		require.False(t, f.tracker.Excluded(name))
	}
	fixed = true
	f.round("good", "bad")
	require.Empty(t, f.tracker.FaultyClasses())
}

// Guards against a common cause that takes many of the workers out of service,
// and against excluding the only worker.
func TestQuarantineIsBounded(t *testing.T) {
	f := newFleet(t, 3, 40, func(_, worker string) float64 {
		if worker < "worker-020" {
			return 1
		}
		return 0
	})
	for range 50 {
		f.round("a")
		// DefaultMaxShare of 40 workers is 4.
		require.LessOrEqual(t, f.tracker.Quarantined(), 4)
	}
	single := newFleet(t, 3, 1, func(string, string) float64 { return 1 })
	for range 20 {
		single.round("a")
		require.False(t, single.tracker.Excluded("worker-000"))
	}
}

// Guards against quarantining healthy workers by chance: when 5% of the tasks
// fail on every worker, quarantines have to be rare.
func TestHealthyWorkersStayInService(t *testing.T) {
	f := newFleet(t, 4, 50, func(string, string) float64 { return 0.05 })
	for range 100 {
		f.round("a", "b", "c")
	}
	// There are 40,000 outcomes. At this failure rate of the peers, it takes 5
	// failures in a row to quarantine a worker. The probability that they begin at
	// a given outcome is 3 in 10^7.
	require.LessOrEqual(t, f.count(placement.VerbQuarantine, ""), 1)
}

// Guards against tables that grow with the number of classes and workers.
func TestTablesAreBounded(t *testing.T) {
	tracker := quarantine.New(quarantine.Options{MaxClasses: 3})
	for i := range 100 {
		tracker.AddWorker(start, "worker", 0)
		tracker.AddWorker(start, "peer", 0)
		task := placement.Task{Class: fmt.Sprint("class-", i)}
		tracker.Started(start, task, "worker")
		tracker.Ended(start, task, "worker", placement.Failed)
		tracker.RemoveWorker("worker")
	}
	require.LessOrEqual(t, len(tracker.FaultyClasses()), 3)
	require.False(t, tracker.Excluded("worker"))
}
