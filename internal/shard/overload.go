package shard

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// priorityLevels is the number of priorities that the backlog distinguishes.
	priorityLevels = 8
	// maxWaitFactor is the longest expected time to completion with which a job is
	// accepted, as a multiple of its objective. Estimates are off by half, and a
	// job that becomes worthless waits behind all others.
	maxWaitFactor = 2.5
	// minRetryAfter is the shortest backlog at which jobs are refused, and so the
	// shortest time after which a refused caller is told to retry.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest time after which a refused caller is told to
	// retry: the fleet may have grown by then.
	maxRetryAfter = 30 * time.Second
)

// backlog is the waiting work by priority: CPU time in millicore-seconds and GPU
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
		return // it occupies room, but isn't work that ends
	}
	demand := st.Reserved()
	seconds := st.Estimate.Seconds() * float64(tasks)
	b.cpu[priorityLevel(terms.Priority)] += float64(demand.MilliCPU) * seconds
	b.gpu[priorityLevel(terms.Priority)] += float64(demand.GPUs) * seconds
}

// expectedWait is how long the listed workers need for the work that waits at this
// priority and the more urgent ones. It is 0 if none is listed. Listed workers that
// don't answer count: jobs are refused for lack of capacity, not of an answer.
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
// or "" if it is accepted. It is refused if the work that waits before it takes so
// long that the job would be worth nothing when it ends.
func (s *Shard) checkOverload(terms *job.Terms, spec *job.Spec) (reason string, retryAfter time.Duration) {
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
	wait := s.expectedWait(terms.Priority)
	if wait <= minRetryAfter || float64(wait+criticalPath) <= maxWaitFactor*float64(objective) {
		return "", 0
	}
	// The caller retries when the backlog is down to what the job can wait for.
	return "the work that waits before the job takes longer than the job may", min(max(wait+criticalPath-objective, minRetryAfter), maxRetryAfter)
}

// addToBacklog adds a job's first steps to the backlog until the next pass
// recomputes it, so that a burst of jobs between two passes is seen.
func (s *Shard) addToBacklog(terms *job.Terms, spec *job.Spec) {
	for i := range spec.Steps {
		if len(spec.Steps[i].After) == 0 {
			s.waitingWork.addWork(terms, &spec.Steps[i], spec.Steps[i].Count)
		}
	}
}
