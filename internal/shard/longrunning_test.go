package shard_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// waitLine is a line of the log of long-running tasks that wait.
type waitLine struct {
	at, waitedFor    time.Duration
	cause, worker    string
	onlyProofMissing bool
}

// waitLog holds the lines about one long-running task, and about what its leaders wait for
// until they are settled.
type waitLog struct {
	waits     []waitLine
	unsettled []map[string]any
	times     []time.Duration // of both
	startedAt time.Duration   // when a worker started the task again; 0 if none did
}

func fieldsOf(keyvals []any) map[string]any {
	fields := map[string]any{}
	for i := 0; i+1 < len(keyvals); i += 2 {
		fields[keyvals[i].(string)] = keyvals[i+1]
	}
	return fields
}

// followTask records the lines about the task from now on.
func (sim *simulation) followTask(task string) *waitLog {
	lines := &waitLog{}
	sim.onStart = func(start shard.Start) {
		if start.Task == task && lines.startedAt == 0 {
			lines.startedAt = sim.now
		}
	}
	sim.onLog = func(event string, keyvals []any) {
		fields := fieldsOf(keyvals)
		switch {
		case lines.startedAt > 0:
		case event == "unsettled":
			lines.unsettled = append(lines.unsettled, fields)
			lines.times = append(lines.times, sim.now)
		case event == "long-running-waiting" && slices.Contains(strings.Fields(fields["tasks"].(string)), task):
			onlyProofMissing, _ := fields["only-proof-missing"].(bool)
			lines.waits = append(lines.waits, waitLine{sim.now, fields["for"].(time.Duration), fields["cause"].(string), fields["worker"].(string), onlyProofMissing})
			lines.times = append(lines.times, sim.now)
		}
	}
	return lines
}

// causes returns the causes of the waits without repetitions.
func (l *waitLog) causes() []string {
	var causes []string
	for _, line := range l.waits {
		cause := line.cause
		if line.onlyProofMissing {
			cause += ", only proof missing"
		}
		causes = append(causes, cause)
	}
	return slices.Compact(causes)
}

// longestGap returns the longest time without a line from the given time to the start.
func (l *waitLog) longestGap(from time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, at := range append(slices.Clone(l.times), l.startedAt) {
		longest, from = max(longest, at-from), at
	}
	return longest
}

const (
	waitLogInterval = 2 * time.Second
	pollDelay       = 10 * time.Millisecond   // a lapsed run is noticed with the next answer
	claimTime       = 1200 * time.Millisecond // from the loss of a leader to the next one
)

// Guards against a task that waits after its worker and its leader were lost, and no line that
// says why (issue 47).
func TestLogSaysWhyTaskWaitsAfterLossOfWorkerAndLeader(t *testing.T) {
	for name, c := range map[string]struct {
		leadersLost  int // one after the other, each for good
		silent       int // number of the six workers that are lost
		formerEnds   bool
		wantEvidence []string // of the former leader whose leases end last
		wantUnread   int
	}{
		"leader lost":                             {1, 1, false, []string{"workers-read"}, 1},
		"leader ended, and its process says so":   {1, 1, true, []string{"ended"}, 1},
		"two leaders lost":                        {2, 1, false, []string{"workers-read"}, 1},
		"leader lost, and too few workers answer": {1, 4, false, []string{"no-answer"}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 101, 6, workerSize)
			sim.formerLeadersReport, sim.crashesUnknown = true, true
			sim.advance(time.Second)
			sim.standingTasks(9000)
			sim.workers[0].capacity.MilliCPU *= 4
			sim.advance(12 * time.Second) // no leader before this one acts any more
			lost := sim.workers[5]
			task := lost.runs[0].key.Task
			lines := sim.followTask(task)
			lostAt := sim.now
			for _, worker := range sim.workers[6-c.silent:] {
				worker.crash()
			}
			for range c.leadersLost {
				sim.advance(300 * time.Millisecond)
				former := sim.leader
				former.dead, former.cutOffFromPeers = true, !c.formerEnds
				former.steppedDown = c.formerEnds
				sim.advance(claimTime)
				sim.replaceLeader()
			}
			loadedAt := sim.now
			for lines.startedAt == 0 && sim.now < lostAt+40*time.Second {
				sim.advance(tickLength)
			}
			require.NotZero(t, lines.startedAt)
			require.Empty(t, sim.violations)
			require.Equal(t, []string{"former-holder-unsettled"}, lines.causes())
			for _, line := range lines.waits {
				require.InDelta(t, line.at-loadedAt, line.waitedFor, float64(tickLength))
			}
			require.LessOrEqual(t, lines.times[0]-loadedAt, time.Second+tickLength)
			require.LessOrEqual(t, lines.longestGap(loadedAt), waitLogInterval+tickLength)
			var evidence []string
			for _, fields := range lines.unsettled {
				evidence = append(evidence, fields["former-evidence"].(string))
				require.Equal(t, c.wantUnread, fields["unread"])
				require.Contains(t, fields, "worker")
			}
			require.Equal(t, c.wantEvidence, slices.Compact(evidence))
		})
	}
}

// Guards against a task that waits in an outage of the store, and no line that says why (issue
// 47).
func TestLogSaysWhyTaskWaitsInStoreOutage(t *testing.T) {
	for name, c := range map[string]struct {
		outage     time.Duration
		lostAfter  time.Duration // when in the outage the worker of the last task is lost
		task       int
		wantCauses []string
	}{
		"shorter than a lease":          {4 * time.Second, time.Second, 5, []string{"lease-of-silent-worker"}},
		"longer than a lease":           {9500 * time.Millisecond, 500 * time.Millisecond, 5, []string{"lease-of-silent-worker", "lease-of-silent-worker, only proof missing"}},
		"until the leader acts no more": {14 * time.Second, 500 * time.Millisecond, 5, []string{"lease-of-silent-worker", "lease-of-silent-worker, only proof missing"}},
		"until leases lapse":            {18 * time.Second, 500 * time.Millisecond, 0, []string{"no-authority"}},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 102, 6, workerSize)
			sim.advance(time.Second)
			sim.standingTasks(9000)
			sim.workers[0].capacity.MilliCPU *= 4
			sim.advance(12 * time.Second)
			sim.storeDown = true
			outageBegan := sim.now
			sim.advance(c.lostAfter)
			worker := sim.workers[c.task]
			task := worker.runs[0].key.Task
			lines := sim.followTask(task)
			sim.workers[5].crash()
			endedAt := time.Duration(0)
			for lines.startedAt == 0 && sim.now < outageBegan+40*time.Second {
				sim.storeDown = sim.now < outageBegan+c.outage
				if endedAt == 0 && (worker.down || !sim.runs(task)) {
					endedAt = sim.now
				}
				sim.advance(tickLength)
			}
			require.NotZero(t, lines.startedAt)
			require.Empty(t, sim.violations)
			require.Equal(t, c.wantCauses, lines.causes())
			require.LessOrEqual(t, lines.longestGap(endedAt), waitLogInterval+pollDelay)
			for _, line := range lines.waits {
				require.Equal(t, worker.id, line.worker)
			}
			sim.advance(time.Second)
			waiting, longest := sim.leader.shard.LongRunningWaits()
			require.Zero(t, waiting)
			require.Zero(t, longest)
		})
	}
}

// The log of waiting tasks must name the tasks of all lost workers and stay small.
func TestLogOfManyWaitingTasksIsBounded(t *testing.T) {
	const workers, lost = 60, 30
	sim := newSimulation(t, 103, workers, workerSize)
	sim.advance(time.Second)
	sim.standingTasks(9000)
	sim.advance(time.Second)
	for _, worker := range sim.workers[workers-lost:] {
		worker.crash()
	}
	lines, named := 0, map[string]bool{}
	sim.onLog = func(event string, keyvals []any) {
		if event == "long-running-waiting" {
			lines++
			named[fieldsOf(keyvals)["worker"].(string)] = true
		}
	}
	sim.advance(4500 * time.Millisecond)
	require.Len(t, named, lost)
	require.LessOrEqual(t, lines, 2*lost)
	waiting, longest := sim.leader.shard.LongRunningWaits()
	require.Equal(t, lost, waiting)
	require.InDelta(t, 4500*time.Millisecond, longest, float64(time.Second))
}
