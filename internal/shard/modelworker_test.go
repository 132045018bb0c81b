package shard_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// modelRun is a run on a modelWorker.
type modelRun struct {
	key               shard.RunKey
	worker            *modelWorker
	startedAt         time.Duration
	progress          time.Duration
	runTime           time.Duration
	longRunning       bool
	gang              bool
	stopAt            time.Duration
	tailLatencyTarget time.Duration // of a serving task
	bestEffort        bool
	pace              int           // speed in percent
	overTargetSince   time.Duration // since when its tail latency has exceeded its target; 0 if it doesn't
	demand            job.Demand
	fails             bool
	failsAt           time.Duration // of a long-running run; 0 means never
	savesProgress     bool
	checkpoint        string        // the newest one
	savedProgress     time.Duration // at the newest checkpoint
	worksFrom         time.Duration // when it has restored its checkpoint
}

// saveCheckpoint makes a checkpoint, which names the progress and the task.
func (r *modelRun) saveCheckpoint() {
	r.savedProgress = r.progress
	r.checkpoint = fmt.Sprintf("%08x-%s", r.progress.Milliseconds(), r.key.Task)
	if padding := r.worker.simulation.checkpointBytes - len(r.checkpoint); padding > 0 {
		r.checkpoint += "-" + strings.Repeat("0", padding)
	}
	if submitted := r.worker.simulation.jobs[r.key.Task[:16]]; submitted != nil {
		submitted.madeCheckpoints[r.checkpoint] = true
	}
}

// restore continues from a checkpoint.
func (r *modelRun) restore(checkpoint string) {
	var milliseconds int64
	if _, err := fmt.Sscanf(checkpoint, "%x-", &milliseconds); err != nil {
		r.worker.simulation.addViolation("UNASKED: checkpoint %q of %s is malformed", checkpoint, r.key.Task)
	}
	r.progress = time.Duration(milliseconds) * time.Millisecond
	r.checkpoint, r.savedProgress, r.worksFrom = checkpoint, r.progress, r.worker.simulation.now+restoreTime
}

// modelWorker simulates a worker that follows the platform contract: it checks fencing
// tokens, run numbers, leases and tickets, and keeps results until they are acknowledged.
// Each incarnation has its own clock.
type modelWorker struct {
	simulation        *simulation
	id                string
	capacity          job.Demand
	incarnation       int64
	fencingToken      int64 // highest one received
	runs              []*modelRun
	highestRunNumbers map[string]int64 // by task name
	results           []shard.RunResult
	lastSequence      int64
	leaseEnd          time.Duration           // in simulated time
	lapsedAt          time.Duration           // when a lease last lapsed
	resultTimes       map[int64]time.Duration // by sequence number: when the run ended
	down              bool
	unreachable       bool
	refuses           bool               // its address refuses connections while it is unreachable
	replaced          bool               // another worker answers at its address
	losesOrders       bool               // start and stop orders are lost on the way, polls aren't
	cutOff            map[*instance]bool // instances that can't reach the worker while others can
	listed            bool
	failsTasks        bool    // all runs that it starts fail
	stallsTasks       bool    // its runs make no progress
	slowdown          float64 // actual run time divided by the normal one
	clockRate         float64 // speed of its clock, 0.98 to 1
	bootedAt          time.Duration
	draining          bool
	leavesAt          time.Duration // when a draining worker leaves
	waitingPolls      []func()      // replies to polls that wait for a run to end
	addedTailLatency  time.Duration // tail latency added by the load of the serving tasks
	// fullPercentAfter is the progress, as a run time at full speed, at which a run starts
	// to report 100 percent; 0 means never.
	fullPercentAfter time.Duration
}

const (
	// baseTailLatency is the tail latency of a serving task without best-effort tasks
	// on its worker. Each of these at full speed adds tailLatencyPerBestEffortTask.
	baseTailLatency              = 60 * time.Millisecond
	tailLatencyPerBestEffortTask = 30 * time.Millisecond
	// restoreTime is the time that a run takes to restore its checkpoint.
	restoreTime = 300 * time.Millisecond
	// maxTimeOverTarget is how long best-effort tasks may keep the tail latency of a
	// serving task over its target.
	maxTimeOverTarget = 4 * time.Second
)

func (m *modelWorker) tailLatency() time.Duration {
	latency := baseTailLatency + m.addedTailLatency
	for _, r := range m.runs {
		if r.bestEffort {
			latency += tailLatencyPerBestEffortTask * time.Duration(r.pace) / 100
		}
	}
	return latency
}

// checkTailTargets records a violation for each serving task that best-effort tasks keep
// over its target for longer than maxTimeOverTarget.
func (m *modelWorker) checkTailTargets() {
	sim := m.simulation
	for _, r := range m.runs {
		disturbed := r.tailLatencyTarget > 0 && m.tailLatency() > r.tailLatencyTarget && baseTailLatency+m.addedTailLatency <= r.tailLatencyTarget
		switch {
		case !disturbed:
			r.overTargetSince = 0
		case r.overTargetSince == 0:
			r.overTargetSince = sim.now
		case sim.now-r.overTargetSince > maxTimeOverTarget:
			sim.addViolation("TAIL: %s on %s has exceeded its target for %s", r.key.Task, m.id, sim.now-r.overTargetSince)
			r.overTargetSince = sim.now
		}
	}
}

func (m *modelWorker) reachableFrom(inst *instance) bool {
	return !m.unreachable && !m.down && !m.cutOff[inst]
}

// clock returns the reading of the worker's own clock, which starts anew with each
// incarnation. Workers that run from the start show some hours.
func (m *modelWorker) clock() time.Duration {
	reading := time.Duration(float64(m.simulation.now-m.bootedAt) * m.clockRate)
	if m.bootedAt == 0 {
		reading += time.Duration(m.incarnation) * time.Hour
	}
	return reading
}

func (m *modelWorker) extendLease(until time.Duration) {
	m.updateLapse()
	remaining := min(until-m.clock(), maxWorkerLease)
	m.leaseEnd = max(m.leaseEnd, m.simulation.now+time.Duration(float64(remaining)/m.clockRate))
}

// updateLapse records that the lease has lapsed.
func (m *modelWorker) updateLapse() {
	if m.leaseEnd < m.simulation.now {
		m.lapsedAt = m.leaseEnd
	}
}

func (m *modelWorker) used() job.Demand {
	var used job.Demand
	for _, r := range m.runs {
		used = used.Plus(r.demand)
	}
	return used
}

func (m *modelWorker) acknowledge(through int64) {
	kept := m.results[:0]
	for _, result := range m.results {
		if result.Sequence > through {
			kept = append(kept, result)
			continue
		}
		m.updateLapse()
		m.simulation.resultHandled(result, m.resultTimes[result.Sequence], m.lapsedAt >= m.resultTimes[result.Sequence])
	}
	m.results = kept
}

func (m *modelWorker) start(start shard.Start, epoch int64, delay time.Duration) (shard.StartResult, string) {
	sim := m.simulation
	if epoch < m.fencingToken {
		return shard.WorkerDeclined, "fence"
	}
	m.fencingToken = epoch
	for _, r := range m.runs {
		if r.key == start.RunKey {
			return shard.StartAccepted, ""
		}
	}
	if start.Run <= m.highestRunNumbers[start.Task] {
		return shard.RunOutdated, "old"
	}
	if start.LeaseUntil <= m.clock() {
		return shard.LeaseExpired, "late"
	}
	submitted := sim.jobs[start.Task[:16]]
	if submitted == nil {
		sim.addViolation("task %s starts, but its job was refused or never submitted", start.Task)
		return shard.StartAccepted, ""
	}
	var occurrence, stepNumber, index int
	if _, err := fmt.Sscanf(start.Task[17:], "%d.%d.%d", &occurrence, &stepNumber, &index); err != nil {
		sim.addViolation("task name %q is malformed", start.Task)
	}
	spec := submitted.spec.Steps[stepNumber]
	if submitted.terms.RequiresTicket {
		parts := strings.Split(start.Ticket, "|")
		if len(parts) != 4 || parts[0] != start.Task[:strings.LastIndex(start.Task, ".")] || parts[1] != m.id || parts[2] != fmt.Sprint(m.incarnation) || parts[3] < fmt.Sprint(int64(sim.now)) && len(parts[3]) <= len(fmt.Sprint(int64(sim.now))) {
			return shard.TicketInvalid, "ticket"
		}
	}
	sim.checkStart(m, start, submitted, &spec, stepNumber, delay)
	submitted.lastStarts[start.Task] = sim.now
	sim.startCount++
	m.extendLease(start.LeaseUntil)
	failsAt := time.Duration(0)
	if least := submitted.standingFailsIn; least > 0 && spec.LongRunning {
		failsAt = sim.now + least + time.Duration(sim.random.Int64N(int64(2*least)))
	}
	started := &modelRun{
		failsAt: failsAt, savesProgress: spec.SavesProgress && !spec.LongRunning,
		key: start.RunKey, worker: m, startedAt: sim.now, runTime: submitted.runTimes[stepNumber], longRunning: spec.LongRunning, gang: spec.Gang,
		demand: spec.Reserved(), fails: m.failsTasks || submitted.alwaysFails, tailLatencyTarget: spec.TailLatencyTarget, bestEffort: spec.BestEffort, pace: 100,
	}
	if start.Checkpoint != "" {
		started.restore(start.Checkpoint)
	}
	m.runs = append(m.runs, started)
	if submitted.poisonTasks[start.Task] {
		m.crashSoon()
	}
	if sim.onStart != nil {
		sim.onStart(start)
	}
	return shard.StartAccepted, ""
}

func (m *modelWorker) stop(stop shard.Stop, epoch int64) bool {
	if epoch < m.fencingToken {
		return false
	}
	m.fencingToken = epoch
	for _, r := range m.runs {
		if r.key == stop.RunKey {
			if r.stopAt == 0 {
				r.stopAt = m.simulation.now + m.simulation.stopTime
			}
			return true
		}
	}
	m.highestRunNumbers[stop.Task] = max(m.highestRunNumbers[stop.Task], stop.Run)
	return true
}

func (m *modelWorker) report() shard.Report {
	report := shard.Report{Incarnation: m.incarnation, Clock: m.clock()}
	for _, r := range m.runs {
		percent := 100.0
		if !r.longRunning {
			percent = min(99, math.Floor(100*float64(r.progress)/float64(r.runTime)))
			if m.fullPercentAfter > 0 && r.progress >= m.fullPercentAfter {
				percent = 100
			}
		}
		if m.simulation.now < r.worksFrom {
			percent = 0
		}
		status := shard.RunStatus{RunKey: r.key, Percent: percent, Checkpoint: r.checkpoint}
		if r.tailLatencyTarget > 0 {
			status.Usage = float64(m.tailLatency()) / float64(time.Millisecond)
		}
		report.Running = append(report.Running, status)
	}
	report.Ended = slices.Clone(m.results)
	if limit := m.simulation.maxListedResults; limit > 0 && len(report.Ended) >= limit {
		report.Ended, report.ResultsIncomplete = report.Ended[:limit], true
	}
	return report
}

func (m *modelWorker) endRun(r *modelRun, reason shard.EndReason) {
	m.runs = slices.DeleteFunc(m.runs, func(o *modelRun) bool { return o == r })
	m.lastSequence++
	m.resultTimes[m.lastSequence] = m.simulation.now
	if submitted := m.simulation.jobs[r.key.Task[:16]]; submitted != nil && reason == shard.EndDone {
		submitted.doneTasks[r.key.Task] = true
	}
	m.highestRunNumbers[r.key.Task] = max(m.highestRunNumbers[r.key.Task], r.key.Run)
	if r.savesProgress && reason == shard.EndStopped && r.progress > r.savedProgress {
		r.saveCheckpoint()
	}
	m.results = append(m.results, shard.RunResult{RunKey: r.key, Sequence: m.lastSequence, EndReason: reason, Checkpoint: r.checkpoint})
	for _, reply := range m.waitingPolls {
		m.simulation.schedule(0, nil, func(time.Time) { reply() })
	}
	m.waitingPolls = nil
}

// drain makes the worker drain, and leave after a time. Runs that are left on it are then
// lost.
func (m *modelWorker) drain(after time.Duration) {
	m.draining, m.leavesAt = true, m.simulation.now+after
}

func (m *modelWorker) advance() {
	sim := m.simulation
	if m.down {
		return
	}
	m.checkTailTargets()
	if m.leavesAt > 0 && sim.now >= m.leavesAt {
		m.loseAll()
		m.listed = false
		return
	}
	for _, r := range slices.Clone(m.runs) {
		if !slices.Contains(m.runs, r) {
			continue
		}
		switch {
		case sim.now > m.leaseEnd:
			m.endRun(r, shard.EndLeaseExpired)
			continue
		case r.stopAt > 0 && sim.now >= r.stopAt:
			m.endRun(r, shard.EndStopped)
			continue
		case r.longRunning && r.failsAt > 0 && sim.now >= r.failsAt:
			m.endRun(r, shard.EndFailed)
			continue
		case r.longRunning || m.stallsTasks || sim.now < r.worksFrom:
			continue
		}
		members := []*modelRun{r}
		if r.gang {
			submitted := sim.jobs[r.key.Task[:16]]
			var stepNumber int
			// The step number follows the job ID (16 digits) and the occurrence (one digit),
			// each with a dot after it.
			_, _ = fmt.Sscanf(r.key.Task[19:], "%d", &stepNumber)
			members = sim.gangMembers(r)
			if len(members) < submitted.spec.Steps[stepNumber].Count {
				if sim.now > r.startedAt+gangTimeout {
					m.endRun(r, shard.EndGangIncomplete)
				}
				continue
			}
		}
		r.progress += time.Duration(float64(sim.tickLength) / m.slowdown * float64(r.pace) / 100)
		if r.savesProgress && r.progress-r.savedProgress >= sim.checkpointInterval {
			r.saveCheckpoint()
		}
		if r.fails && r.progress >= r.runTime/2 {
			m.endRun(r, shard.EndFailed)
			for _, other := range members {
				switch {
				case other == r:
				case other.fails: // neither worker has learned of the other's end yet
					other.worker.endRun(other, shard.EndFailed)
				default:
					other.worker.endRun(other, shard.EndGangFailed)
				}
			}
			continue
		}
		if r.progress >= r.runTime {
			for _, member := range members {
				member.worker.endRun(member, shard.EndDone)
			}
		}
	}
}

// crashSoon crashes the worker because of a poison task. It is back after a few seconds.
func (m *modelWorker) crashSoon() {
	sim := m.simulation
	incarnation := m.incarnation
	sim.schedule(tickLength, nil, func(time.Time) {
		if m.down || m.incarnation != incarnation {
			return
		}
		m.countCrash(true)
		m.loseAll()
		sim.schedule(entryExpiry, nil, func(time.Time) { m.listed = m.listed && (!m.down || m.incarnation != incarnation) })
		sim.schedule(sim.crashLength, nil, func(time.Time) {
			switch {
			case !m.down || m.incarnation != incarnation:
			case sim.newIDs:
				sim.replaceWorker(m)
			default:
				m.restart()
				m.listed = true
			}
		})
	})
}

// replaceWorker starts a worker with a new ID at the address of a crashed one.
func (sim *simulation) replaceWorker(m *modelWorker) {
	for i, worker := range sim.workers {
		if worker == m {
			sim.workers[i] = &modelWorker{
				simulation: sim, id: fmt.Sprintf("%s-%d", m.id[:4], m.incarnation+100), capacity: m.capacity, incarnation: m.incarnation + 100, bootedAt: sim.now, highestRunNumbers: map[string]int64{}, resultTimes: map[int64]time.Duration{}, listed: true, slowdown: 1, clockRate: 1,
			}
		}
	}
}

// crash stops the worker. Its runs and results are lost.
func (m *modelWorker) crash() {
	m.countCrash(false)
	m.loseAll()
}

// countCrash counts a crash of the worker for each task that runs on it.
func (m *modelWorker) countCrash(byPoison bool) {
	for _, r := range m.runs {
		submitted := m.simulation.jobs[r.key.Task[:16]]
		if submitted == nil {
			continue
		}
		submitted.crashes[r.key.Task]++
		if !byPoison {
			submitted.otherCrashes[r.key.Task]++
		}
	}
}

func (m *modelWorker) loseAll() {
	m.down = true
	m.runs, m.results, m.waitingPolls = nil, nil, nil
	m.highestRunNumbers = map[string]int64{}
	m.fencingToken = 0
}

func (m *modelWorker) restart() {
	m.down, m.draining, m.leavesAt = false, false, 0
	m.incarnation += 100
	m.lastSequence = 0
	m.leaseEnd, m.lapsedAt, m.bootedAt = 0, 0, m.simulation.now
}
