package estimate

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	// usageTolerance is the ratio of usage to grant up to which the excess
	// counts as measurement error.
	usageTolerance = 1.1
	// minReportsOverGrant is how many reports in a row have to exceed the
	// grant. A single one may show a peak that has already passed.
	minReportsOverGrant = 2
)

// Advice is the recommended action for a running task. If Verb is empty, no
// action is recommended.
type Advice struct {
	Verb   placement.Verb
	Reason string
}

// RecordUsage records the measured usage of a task and returns advice if the task
// exceeds its grant. The preemption argument is the Preemption verb of the kind's
// policy, which is advised for memory above the grant. If it is empty, throttling
// is advised instead, because such work must not be ended. For CPU time above the
// grant, throttling is always advised, because the task loses no work by it.
// Advice with the same verb as the previous one for the task is not returned
// again. A report on a task that has ended is ignored.
func (e *Estimator) RecordUsage(_ time.Time, id placement.TaskID, used workload.Resources, preemption placement.Verb) Advice {
	tracked := e.tasks[id]
	if tracked == nil {
		return Advice{}
	}
	tracked.reports++
	tracked.peak.MilliCPU, tracked.peak.MemoryMB = max(tracked.peak.MilliCPU, used.MilliCPU), max(tracked.peak.MemoryMB, used.MemoryMB)
	grant := tracked.task.Resources
	overCPU, overMemory := exceeds(used.MilliCPU, grant.MilliCPU), exceeds(used.MemoryMB, grant.MemoryMB)
	if !overCPU && !overMemory {
		tracked.reportsOverGrant = 0
		return Advice{}
	}
	if tracked.reportsOverGrant++; tracked.reportsOverGrant < minReportsOverGrant {
		return Advice{}
	}
	verb, reason := placement.VerbThrottle, fmt.Sprintf("uses %d of %d milli-cpu", used.MilliCPU, grant.MilliCPU)
	if overMemory {
		reason = fmt.Sprintf("uses %d of %d MB", used.MemoryMB, grant.MemoryMB)
		if preemption == placement.VerbCheckpoint || preemption == placement.VerbStop {
			verb = preemption
		}
	}
	if tracked.advised == verb {
		return Advice{}
	}
	tracked.advised = verb
	return Advice{Verb: verb, Reason: reason}
}

func exceeds(used, grant int64) bool { return float64(used) > float64(grant)*usageTolerance }
