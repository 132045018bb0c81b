package shard

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// priorityLevels is how many levels of priority are told apart in a backlog.
	priorityLevels = 8
	// maxWaitFactor times its objective is the longest expected time of a job
	// that is taken in: run times are told wrong by half, and a job that gets
	// too late to be worth anything waits behind all others.
	maxWaitFactor = 2.5
	// minRetryAfter is the shortest backlog for which a job is refused, and so
	// the least time after which its caller returns.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the time after which a refused caller is asked to
	// return: the fleet may have grown by then.
	maxRetryAfter = 30 * time.Second
)

// backlog is the work that waits, by priority: processor time in
// thousandths of a core and accelerator time, both times seconds.
type backlog struct {
	cpu, gpu [priorityLevels]float64
}

func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

func (b *backlog) addStep(st *step) {
	waiting := 0
	for _, t := range st.tasks {
		if t.idle() {
			waiting++
		}
	}
	b.addWork(&st.occurrence.job.accepted.Terms, st.spec, waiting)
}

func (b *backlog) addWork(terms *job.Terms, st *job.Step, tasks int) {
	if st.LongRunning {
		return // it takes room once, not work that ends
	}
	demand := st.Reserved()
	seconds := st.Estimate.Seconds() * float64(tasks)
	b.cpu[priorityLevel(terms.Priority)] += float64(demand.MilliCPU) * seconds
	b.gpu[priorityLevel(terms.Priority)] += float64(demand.GPUs) * seconds
}

// expectedWait is how long the listed workers need for what waits at a priority and
// before it; zero as long as none is listed. Workers that don't answer for a
// moment count, as refusals are for lack of a fleet, not of an answer.
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
		cpu += s.backlog.cpu[i]
		gpu += s.backlog.gpu[i]
	}
	seconds := cpu / float64(capacity.MilliCPU)
	if capacity.GPUs > 0 {
		seconds = max(seconds, gpu/float64(capacity.GPUs))
	}
	return time.Duration(seconds * float64(time.Second))
}

// checkOverload returns why a job isn't taken in for want of room: what waits
// before it takes so long that it would end too late to be worth anything.
func (s *Shard) checkOverload(terms *job.Terms, spec *job.Spec) (reason string, retryAfter time.Duration) {
	if len(s.sortedWorkers) == 0 || spec.Repeat > 0 {
		return "", 0
	}
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return "", 0
		}
	}
	chain := criticalPathOf(spec)
	objective := objectiveOf(terms, chain)
	wait := s.expectedWait(terms.Priority)
	if wait <= minRetryAfter || float64(wait+chain) <= maxWaitFactor*float64(objective) {
		return "", 0
	}
	// The caller comes back when the backlog is down to what the job can wait for.
	return "the work that waits before the job takes longer than the job may", min(max(wait+chain-objective, minRetryAfter), maxRetryAfter)
}

// addToBacklog adds a job's first steps to the backlog until the next pass
// counts it, so that a flood between two passes is seen.
func (s *Shard) addToBacklog(terms *job.Terms, spec *job.Spec) {
	for i := range spec.Steps {
		if len(spec.Steps[i].After) == 0 {
			s.backlog.addWork(terms, &spec.Steps[i], spec.Steps[i].Count)
		}
	}
}
