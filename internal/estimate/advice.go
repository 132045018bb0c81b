package estimate

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	// overTolerance is the use above the grant that is taken for inaccuracy of
	// the measurement.
	overTolerance = 1.1
	// reportsOver is how many reports in a row have to be above the grant,
	// because a single one may be a peak that is over.
	reportsOver = 2
)

// Advice says what to do with a running task; an empty verb is no advice.
type Advice struct {
	Verb   placement.Verb
	Reason string
}

// RecordUsage records what a task was seen to use and advises if it has outgrown its
// grant. The verb is the one of the kind's policy; empty is taken as throttle,
// because such work must not be ended. Processor time above the grant is
// always throttled, as the task loses nothing by it. Each task is advised once
// per verb. A report on a task that has ended is ignored.
func (e *Estimator) RecordUsage(_ time.Time, id placement.TaskID, used workload.Resources, policy placement.Verb) Advice {
	r := e.tasks[id]
	if r == nil {
		return Advice{}
	}
	r.reported++
	r.peak.MilliCPU, r.peak.MemoryMB = max(r.peak.MilliCPU, used.MilliCPU), max(r.peak.MemoryMB, used.MemoryMB)
	grant := r.task.Resources
	overCPU, overMemory := exceeds(used.MilliCPU, grant.MilliCPU), exceeds(used.MemoryMB, grant.MemoryMB)
	if !overCPU && !overMemory {
		r.over = 0
		return Advice{}
	}
	if r.over++; r.over < reportsOver {
		return Advice{}
	}
	verb, reason := placement.VerbThrottle, fmt.Sprintf("uses %d of %d milli-cpu", used.MilliCPU, grant.MilliCPU)
	if overMemory {
		reason = fmt.Sprintf("uses %d of %d MB", used.MemoryMB, grant.MemoryMB)
		if policy == placement.VerbCheckpoint || policy == placement.VerbStop {
			verb = policy
		}
	}
	if r.advised == verb {
		return Advice{}
	}
	r.advised = verb
	return Advice{Verb: verb, Reason: reason}
}

func exceeds(used, grant int64) bool { return float64(used) > float64(grant)*overTolerance }
