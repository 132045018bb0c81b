// Package quarantine takes a worker out of service if it fails tasks that other
// workers complete. It compares the failures of a worker with those of its
// peers for the same job class. A class that fails on every worker therefore
// counts against no worker; it is reported as faulty instead.
//
// # Usage
//
//	tracker := quarantine.New(quarantine.Options{ExclusionChanged: engine.ExclusionChanged})
//	engine := placement.New(placement.Options{Excluded: tracker.Excluded, Started: tracker.Started})
//	tracker.AddWorker(now, worker, running)
//	for _, decision := range tracker.Ended(now, task, worker, placement.Failed) {
//		// Record the quarantine, the release or the faulty class.
//	}
//	tracker.Tick(now)
//
// # Rules
//
// Each outcome contributes the logarithm of a likelihood ratio: the probability
// of the outcome on a faulty worker, which fails much more often than its peers,
// divided by its probability on a healthy worker, which fails as often as they
// do. The contributions are summed over all classes (CUSUM). The sum is reset to
// 0 when it becomes negative, so that a worker that becomes faulty after a long
// time without failures is detected too. When the sum reaches a threshold, the
// worker is quarantined. After a back-off it is probed with one task at a time,
// and released when enough probes complete. A failed probe doubles the back-off.
//
// Before its sum reaches the threshold, a worker may be paused: it gets no new
// task while the number of its recent failures beyond those expected from its
// peers, plus the number of its tasks in progress, reaches MaxLost. So at most
// MaxLost tasks are lost to a worker, however fast it fails them.
package quarantine

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
)

// Defaults and bounds.
const (
	// MaxLost is the largest number of tasks that are lost to a worker on which
	// every task fails, before it is quarantined.
	MaxLost = 8
	// DefaultMaxShare is the largest share of the workers in quarantine, from 0
	// to 1.
	DefaultMaxShare = 0.1
	// DefaultMaxClasses is the largest number of job classes in the table.
	DefaultMaxClasses = 512
	// initialBackOff is the time from a quarantine to the first probe. It
	// doubles with each failed probe, up to maxBackOff.
	initialBackOff = 10 * time.Second
	maxBackOff     = 10 * time.Minute
	// probesToRelease is the number of probes that have to complete in a row.
	probesToRelease = 3
	// maxPausedShare is the largest share of the workers that are paused, from
	// 0 to 1.
	maxPausedShare = 0.5
	// maxOutcomes is how many recent outcomes of a worker are evaluated.
	maxOutcomes = 32
	// failureWindow is the age at which a failure no longer causes a pause.
	failureWindow = 30 * time.Second
)

// Options are fixed for the lifetime of a tracker. Zero fields take defaults.
type Options struct {
	// MaxShare is the largest share of the workers in quarantine, from 0 to 1.
	// If there are several workers, one may always be in quarantine.
	MaxShare float64
	// MaxClasses is the largest number of job classes in the table. A new class
	// replaces the least recently used one.
	MaxClasses int
	// ExclusionChanged, if set, is called when the result of Excluded changes
	// for a worker.
	ExclusionChanged func(worker string)
}

// Decision is the quarantine or release of a worker, or the report of a faulty
// class.
type Decision struct {
	// Verb is placement.VerbQuarantine, VerbRelease or VerbFaultyClass.
	Verb placement.Verb
	// Worker is empty for a faulty class.
	Worker string
	// Class is the class of the outcome that led to the decision.
	Class  string
	Reason string
	// Until is when the first probe of a quarantined worker may start.
	Until time.Time
}

type phase int

const (
	inService phase = iota
	quarantined
	probing
)

// outcome is the end of one recent task on a worker.
type outcome struct {
	class  *class
	failed bool
	at     time.Time
}

// worker is the state and the recent outcomes of one worker.
type worker struct {
	name     string
	phase    phase
	inFlight int
	recent   []outcome
	excluded bool
	// excessFailures is the number of recent failures beyond those expected
	// from the failure rate of the peers.
	excessFailures   float64
	quarantinedUntil time.Time
	backOff          time.Duration
	completedProbes  int
}

// Tracker decides which workers are in quarantine. It is not safe for
// concurrent use.
type Tracker struct {
	options Options
	workers map[string]*worker
	classes map[string]*class
	// inQuarantine lists the workers that are quarantined or probed. paused
	// lists the workers in service that are paused.
	inQuarantine, paused []*worker
}

// New returns a tracker without workers.
func New(options Options) *Tracker {
	if options.MaxShare <= 0 {
		options.MaxShare = DefaultMaxShare
	}
	if options.MaxClasses <= 0 {
		options.MaxClasses = DefaultMaxClasses
	}
	return &Tracker{options: options, workers: map[string]*worker{}, classes: map[string]*class{}}
}

// AddWorker adds a worker with the given number of tasks in progress. The state
// of a known worker is kept, so that a new session does not end a quarantine.
func (t *Tracker) AddWorker(now time.Time, name string, running int) {
	w := t.workers[name]
	if w == nil {
		w = &worker{name: name}
		t.workers[name] = w
	}
	w.inFlight = running
	t.updateExcluded(now, w)
}

// RemoveWorker removes a worker that has left permanently, with all that is
// known about it.
func (t *Tracker) RemoveWorker(name string) {
	w := t.workers[name]
	if w == nil {
		return
	}
	delete(t.workers, name)
	same := func(other *worker) bool { return other == w }
	t.inQuarantine, t.paused = slices.DeleteFunc(t.inQuarantine, same), slices.DeleteFunc(t.paused, same)
	for _, c := range t.classes { // The classes are independent, so the order has no effect.
		c.removeWorker(name)
	}
}

// Excluded reports whether a worker must get no new task. It has the signature
// of placement.Options.Excluded.
func (t *Tracker) Excluded(name string) bool {
	w := t.workers[name]
	return w != nil && w.excluded
}

// Quarantined returns the number of workers in quarantine, including those that
// are probed.
func (t *Tracker) Quarantined() int { return len(t.inQuarantine) }

// Started counts a task in progress on the worker. It has the signature of
// placement.Options.Started. It must be called for each start: if the starts
// were reported only after a whole call of Schedule, one call could fill a
// worker that is being probed.
func (t *Tracker) Started(now time.Time, _ placement.Task, name string) {
	if w := t.workers[name]; w != nil {
		w.inFlight++
		t.updateExcluded(now, w)
	}
}

// Ended handles the end of a task on the worker and returns the decisions that
// follow from it. Only completed and failed tasks are evaluated.
func (t *Tracker) Ended(now time.Time, task placement.Task, name string, ended placement.Outcome) []Decision {
	w := t.workers[name]
	if w == nil {
		return nil
	}
	w.inFlight = max(w.inFlight-1, 0)
	if ended != placement.Completed && ended != placement.Failed {
		t.updateExcluded(now, w)
		return nil
	}
	c, failed := t.classOf(now, &task), ended == placement.Failed
	c.recordOutcome(name, failed)
	if len(w.recent) >= maxOutcomes {
		w.recent = slices.Delete(w.recent, 0, 1)
	}
	w.recent = append(w.recent, outcome{c, failed, now})
	decisions := t.evaluateClass(c, nil)
	if w.phase == probing {
		return append(decisions, t.probeEnded(now, w, c, failed)...)
	}
	if failed {
		decisions = t.evaluateWorker(now, w, c, decisions)
	}
	t.updateExcluded(now, w)
	// The new outcome changes the failure rate of the peers of the paused
	// workers, so these are evaluated again.
	for _, other := range slices.Clone(t.paused) {
		if other != w {
			decisions = t.evaluateWorker(now, other, c, decisions)
			t.updateExcluded(now, other)
		}
	}
	return decisions
}

// Tick starts the probing of workers whose back-off is over, and resumes paused
// workers whose failures are old. Call it about once a second.
func (t *Tracker) Tick(now time.Time) {
	for _, w := range t.inQuarantine {
		if w.phase == quarantined && !now.Before(w.quarantinedUntil) {
			w.phase, w.completedProbes = probing, 0
		}
		t.updateExcluded(now, w)
	}
	for _, w := range slices.Clone(t.paused) {
		t.updateExcluded(now, w)
	}
}

// probeEnded handles the end of a task on a worker that is being probed.
func (t *Tracker) probeEnded(now time.Time, w *worker, c *class, failed bool) []Decision {
	var decisions []Decision
	switch {
	// A failure of a class that also fails on the peers does not count against
	// the worker.
	case failed && !c.faulty && c.peerRate(w.name).mean < faultyClassRate:
		w.backOff = min(2*w.backOff, maxBackOff)
		decisions = append(decisions, t.quarantine(now, w, c, "a probe failed"))
	case !failed:
		if w.completedProbes++; w.completedProbes >= probesToRelease {
			w.phase, w.recent, w.excessFailures = inService, nil, 0
			t.inQuarantine = slices.DeleteFunc(t.inQuarantine, func(other *worker) bool { return other == w })
			decisions = append(decisions, Decision{Verb: placement.VerbRelease, Worker: w.name, Class: c.name, Reason: "its probes completed"})
		}
	}
	t.updateExcluded(now, w)
	return decisions
}

// quarantine puts a worker into quarantine.
func (t *Tracker) quarantine(now time.Time, w *worker, c *class, reason string) Decision {
	w.phase, w.quarantinedUntil = quarantined, now.Add(w.backOff)
	if !slices.Contains(t.inQuarantine, w) {
		t.inQuarantine = append(t.inQuarantine, w)
	}
	return Decision{Verb: placement.VerbQuarantine, Worker: w.name, Class: c.name, Reason: reason, Until: w.quarantinedUntil}
}

// maxWorkers returns the given share of the number of workers: at least 1 if
// there are several, and 0 otherwise.
func (t *Tracker) maxWorkers(share float64) int {
	if len(t.workers) < 2 {
		return 0
	}
	return max(int(share*float64(len(t.workers))), 1)
}

// updateExcluded recomputes whether a worker is excluded.
func (t *Tracker) updateExcluded(now time.Time, w *worker) {
	excluded := false
	switch w.phase {
	case quarantined:
		excluded = true
	case probing:
		excluded = w.inFlight > 0
	default:
		excluded = t.shouldPause(now, w)
	}
	if at := slices.Index(t.paused, w); excluded && w.phase == inService && at < 0 {
		t.paused = append(t.paused, w)
	} else if at >= 0 && (!excluded || w.phase != inService) {
		t.paused = slices.Delete(t.paused, at, at+1)
	}
	if excluded != w.excluded {
		w.excluded = excluded
		if t.options.ExclusionChanged != nil {
			t.options.ExclusionChanged(w.name)
		}
	}
}

// shouldPause recomputes excessFailures and reports whether one more task could
// bring the number of lost tasks above MaxLost. A worker with fewer than 0.5
// excess failures is not paused, however many tasks it runs.
func (t *Tracker) shouldPause(now time.Time, w *worker) bool {
	w.excessFailures = 0
	for _, o := range w.recent {
		switch {
		case !o.failed:
			w.excessFailures = max(w.excessFailures-1, 0)
		case now.Sub(o.at) < failureWindow && !o.class.faulty:
			w.excessFailures += 1 - o.class.peerRate(w.name).mean
		}
	}
	if w.excessFailures < 0.5 || w.excessFailures+float64(w.inFlight)+1 <= MaxLost {
		return false
	}
	return slices.Contains(t.paused, w) || len(t.paused) < t.maxWorkers(maxPausedShare)
}
