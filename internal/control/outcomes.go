package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/estimate"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/quarantine"
)

// quarantineReviewInterval is the interval at which quarantines are reviewed.
const quarantineReviewInterval = time.Second

// outcomes is what an owner learns from the ends of tasks: corrected run times
// for the engine's plans, and which workers fail what others complete.
type outcomes struct {
	estimates   *estimate.Estimator
	quarantines *quarantine.Tracker
	reviewedAt  time.Time
}

// newEngine returns the engine with the seams through which it uses what the
// owner learns.
func (l *outcomes) newEngine(seed uint64) *placement.Engine {
	var engine *placement.Engine
	l.estimates = estimate.New(estimate.Options{})
	l.quarantines = quarantine.New(quarantine.Options{FitnessChanged: func(worker string) { engine.FitnessChanged(worker) }})
	engine = placement.New(placement.Options{
		Seed:     seed,
		Estimate: l.estimates.RunTime,
		Excluded: l.quarantines.Excluded,
		Started: func(now time.Time, task placement.Task, worker string) {
			l.estimates.Started(now, task)
			l.quarantines.Started(now, task, worker)
		},
	})
	return engine
}

// endTask returns a task's room and learns from its end.
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
		case placement.VerbBlame:
			n.event(EventClassBlamed, decision.Class, decision.Reason)
		}
	}
}

// usageReported acts on a task that has outgrown its grant.
func (n *Node) usageReported(s *session, usage *UsageOnWorker) {
	n.owner.engine.ReportUsage(n.now, usage.ID, usage.Used)
	t := n.owner.tasks[usage.ID]
	if t == nil || t.state != ownerTaskRunning {
		return
	}
	rule, _ := n.rules.kind(t.assignment.Task.Kind)
	policy := rule.Preemption
	if t.assignment.NonIdempotent {
		// A second run would be forbidden, so the first is only slowed down.
		policy = placement.VerbThrottle
	}
	advice := n.owner.outcomes.estimates.Usage(n.now, usage.ID, usage.Used, policy)
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
