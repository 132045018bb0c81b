package shard

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// priorities is how many levels of priority are told apart in a backlog.
	priorities = 8
	// acceptFactor times its objective is the longest expected time of a job
	// that is taken in: run times are told wrong by half, and a job that gets
	// too late to be worth anything waits behind all others.
	acceptFactor = 2.5
	// retryLeast is the shortest backlog for which a job is refused, and so
	// the least time after which its caller returns.
	retryLeast = time.Second
	// retryMost bounds the time after which a refused caller is asked to
	// return: the fleet may have grown by then.
	retryMost = 30 * time.Second
)

// backlog is the work that waits, by priority: processor time in
// thousandths of a core and accelerator time, both times seconds.
type backlog struct {
	cpu, gpu [priorities]float64
}

func level(priority int) int { return min(max(priority, 0), priorities-1) }

func (b *backlog) add(st *step) {
	waiting := 0
	for _, t := range st.tasks {
		if t.idle() {
			waiting++
		}
	}
	b.addWork(&st.occurrence.job.record.Terms, st.spec, waiting)
}

func (b *backlog) addWork(terms *job.Terms, st *job.Step, tasks int) {
	if st.LongRunning {
		return // it takes room once, not work that ends
	}
	demand := st.Reserved()
	seconds := st.Estimate.Seconds() * float64(tasks)
	b.cpu[level(terms.Priority)] += float64(demand.MilliCPU) * seconds
	b.gpu[level(terms.Priority)] += float64(demand.GPUs) * seconds
}

// wait is how long the listed workers need for what waits at a priority and
// before it; zero as long as none is listed. Workers that don't answer for a
// moment count, as refusals are for lack of a fleet, not of an answer.
func (s *Shard) wait(priority int) time.Duration {
	var capacity job.Demand
	for _, w := range s.ordered {
		if w.placeable() {
			capacity = capacity.Plus(w.Capacity)
		}
	}
	if capacity.MilliCPU == 0 {
		return 0
	}
	cpu, gpu := 0.0, 0.0
	for i := 0; i <= level(priority); i++ {
		cpu += s.queued.cpu[i]
		gpu += s.queued.gpu[i]
	}
	seconds := cpu / float64(capacity.MilliCPU)
	if capacity.GPUs > 0 {
		seconds = max(seconds, gpu/float64(capacity.GPUs))
	}
	return time.Duration(seconds * float64(time.Second))
}

// overload returns why a job isn't taken in for want of room: what waits
// before it takes so long that it would end too late to be worth anything.
func (s *Shard) overload(terms *job.Terms, spec *job.Spec) (reason string, retryAfter time.Duration) {
	if len(s.ordered) == 0 || spec.Repeat > 0 {
		return "", 0
	}
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return "", 0
		}
	}
	chain := chainOf(spec)
	objective := objectiveOf(terms, chain)
	wait := s.wait(terms.Priority)
	if wait <= retryLeast || float64(wait+chain) <= acceptFactor*float64(objective) {
		return "", 0
	}
	// The caller comes back when the backlog is down to what the job can wait for.
	return "the work that waits before the job takes longer than the job may", min(max(wait+chain-objective, retryLeast), retryMost)
}

// noteAccepted adds a job's first steps to the backlog until the next pass
// counts it, so that a flood between two passes is seen.
func (s *Shard) noteAccepted(terms *job.Terms, spec *job.Spec) {
	for i := range spec.Steps {
		if len(spec.Steps[i].After) == 0 {
			s.queued.addWork(terms, &spec.Steps[i], spec.Steps[i].Count)
		}
	}
}
