package shard

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// priorityLevels is the number of priorities that the backlog distinguishes.
	priorityLevels = 8
	// maxWaitFactor is the longest expected time to completion with which a job is
	// accepted, as a multiple of its objective. It is less than worthlessFactor,
	// as estimates are off by half and a job that becomes worthless is placed
	// after all others.
	maxWaitFactor = 2.5
	// maxAdviceWaitFactor is the same for a job that waits for advice. The adviser is fully
	// used then, and a job accepted beyond its objective would only delay the others.
	maxAdviceWaitFactor = 1.0
	// minRetryAfter is the expected wait up to which no job is refused, and the
	// shortest time after which a refused caller is told to retry.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest time after which a refused caller is told to
	// retry, as the fleet may grow in the meantime.
	maxRetryAfter = 30 * time.Second
)

// backlog is the waiting work by priority: CPU time in millicore-seconds, and GPU
// time in GPU-seconds.
type backlog struct {
	cpu, gpu [priorityLevels]float64
}

func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

func (b *backlog) addStep(st *step) {
	idleTasks := 0
	for _, t := range st.tasks {
		if t.idle() {
			idleTasks++
		}
	}
	b.addWork(&st.occurrence.job.accepted.Terms, st.spec, idleTasks)
}

func (b *backlog) addWork(terms *job.Terms, st *job.Step, tasks int) {
	if st.LongRunning {
		return // it occupies capacity but never ends
	}
	demand := st.Reserved()
	seconds := st.Estimate.Seconds() * float64(tasks)
	b.cpu[priorityLevel(terms.Priority)] += float64(demand.MilliCPU) * seconds
	b.gpu[priorityLevel(terms.Priority)] += float64(demand.GPUs) * seconds
}

// expectedWait returns how long the listed workers need for the waiting work of this
// priority and the more urgent ones, or 0 if no worker is listed. Listed workers that
// don't answer count, as jobs are refused only for lack of capacity.
func (s *Shard) expectedWait(priority int) time.Duration {
	var capacity job.Demand
	for _, w := range s.sortedWorkers {
		if w.placeable() {
			capacity = capacity.Plus(w.Capacity)
		}
	}
	if capacity.MilliCPU == 0 {
		return 0
	}
	cpu, gpu := 0.0, 0.0
	for i := 0; i <= priorityLevel(priority); i++ {
		cpu += s.waitingWork.cpu[i]
		gpu += s.waitingWork.gpu[i]
	}
	seconds := cpu / float64(capacity.MilliCPU)
	if capacity.GPUs > 0 {
		seconds = max(seconds, gpu/float64(capacity.GPUs))
	}
	return time.Duration(seconds * float64(time.Second))
}

// checkOverload returns why a job is refused for lack of capacity and when to retry,
// or "" if it is accepted. It is refused if the work ahead of it takes so long that
// the job would be worthless, or nearly so, at its end, or the advice for that work so long
// that the job would be late.
func (s *Shard) checkOverload(now time.Time, terms *job.Terms, spec *job.Spec) (reason string, retryAfter time.Duration) {
	if len(s.sortedWorkers) == 0 || spec.Repeat > 0 {
		return "", 0
	}
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return "", 0
		}
	}
	criticalPath := criticalPathOf(spec)
	objective := objectiveOf(terms, criticalPath)
	wait, factor, reason := s.expectedWait(terms.Priority), maxWaitFactor, "the work that waits before the job takes longer than the job may"
	if adviceWait := s.expectedAdviceWait(now, terms); adviceWait > wait {
		wait, factor, reason = adviceWait, maxAdviceWaitFactor, "the advice for the work that waits before the job takes longer than the job may"
	}
	if wait <= minRetryAfter || float64(wait+criticalPath) <= factor*float64(objective) {
		return "", 0
	}
	// After wait + criticalPath - objective the backlog has shrunk so far that the
	// job would end on time.
	return reason, min(max(wait+criticalPath-objective, minRetryAfter), maxRetryAfter)
}

// addToBacklog adds a job's first steps to the backlog until the next pass
// recomputes it, so that a burst of jobs between two passes counts.
func (s *Shard) addToBacklog(terms *job.Terms, spec *job.Spec) {
	for i := range spec.Steps {
		if len(spec.Steps[i].After) == 0 {
			s.waitingWork.addWork(terms, &spec.Steps[i], spec.Steps[i].Count)
			s.addAdvice(terms, priorityLevel(terms.Priority))
		}
	}
}
