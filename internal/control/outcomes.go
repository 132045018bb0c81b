package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/estimate"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/quarantine"
)

// quarantineReviewInterval is the interval at which quarantines are reviewed.
const quarantineReviewInterval = time.Second

// outcomes holds what an owner derives from the outcomes of tasks: corrected
// run times for the engine, and workers that fail tasks which others complete.
type outcomes struct {
	estimates   *estimate.Estimator
	quarantines *quarantine.Tracker
	reviewedAt  time.Time
}

// newEngine returns a placement engine that uses these run times and
// quarantines.
func (o *outcomes) newEngine(seed uint64) *placement.Engine {
	var engine *placement.Engine
	o.estimates = estimate.New(estimate.Options{})
	o.quarantines = quarantine.New(quarantine.Options{ExclusionChanged: func(worker string) { engine.ExclusionChanged(worker) }})
	engine = placement.New(placement.Options{
		Seed:     seed,
		Estimate: o.estimates.RunTime,
		Excluded: o.quarantines.Excluded,
		Started: func(now time.Time, task placement.Task, worker string) {
			o.estimates.Started(now, task)
			o.quarantines.Started(now, task, worker)
		},
	})
	return engine
}

// endTask frees a task's capacity and evaluates its outcome.
func (n *Node) endTask(t *ownerTask, outcome placement.Outcome) {
	id := t.assignment.Task.ID
	n.owner.engine.TaskEnded(n.now, id, outcome)
	n.owner.outcomes.estimates.Ended(n.now, id, outcome)
	for _, decision := range n.owner.outcomes.quarantines.Ended(n.now, t.assignment.Task, t.worker, outcome) {
		switch decision.Verb {
		case placement.VerbQuarantine:
			n.event(EventWorkerQuarantined, decision.Worker, decision.Reason)
		case placement.VerbRelease:
			n.event(EventWorkerReleased, decision.Worker, decision.Reason)
		case placement.VerbFaultyClass:
			n.event(EventClassBlamed, decision.Class, decision.Reason)
		}
	}
}

// usageReported handles the reported usage of a task. A task that exceeds its
// resources may be throttled or preempted.
func (n *Node) usageReported(s *session, usage *UsageOnWorker) {
	n.owner.engine.ReportUsage(n.now, usage.ID, usage.Used)
	t := n.owner.tasks[usage.ID]
	if t == nil || t.state != ownerTaskRunning {
		return
	}
	rule, _ := n.rules.kind(t.assignment.Task.Kind)
	policy := rule.Preemption
	if t.assignment.NonIdempotent {
		// A non-idempotent task must not run twice, so it is only throttled.
		policy = placement.VerbThrottle
	}
	advice := n.owner.outcomes.estimates.RecordUsage(n.now, usage.ID, usage.Used, policy)
	if advice.Verb != "" {
		n.preempt(t, placement.Decision{Verb: advice.Verb, Task: t.assignment.Task, Worker: s.worker.Name, Reason: advice.Reason})
	}
}

func (n *Node) reviewQuarantines() {
	if n.now.Sub(n.owner.outcomes.reviewedAt) >= quarantineReviewInterval {
		n.owner.outcomes.reviewedAt = n.now
		n.owner.outcomes.quarantines.Tick(n.now)
	}
}
