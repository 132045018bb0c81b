// Package quarantine takes workers out of service that fail what others
// complete. It judges a worker by the difference between its failures and
// those of its peers for the same job class, so that a class that fails
// everywhere harms no worker and is blamed itself.
//
// # Usage
//
//	tracker := quarantine.New(quarantine.Options{FitnessChanged: engine.FitnessChanged})
//	engine := placement.New(placement.Options{Excluded: tracker.Excluded, Started: tracker.Started})
//	tracker.AddWorker(now, worker, running)
//	for _, decision := range tracker.Ended(now, task, worker, placement.Failed) {
//		// Record the quarantine, release or blame.
//	}
//	tracker.Tick(now)
//
// # Rules
//
// Each outcome is evidence by the likelihood ratio between a worker that fails
// much more than its peers and one that fails as they do. Evidence adds up
// over classes and starts again at 0 when it is in the worker's favour, which
// finds a worker that turns bad after a long healthy time. At a threshold the
// worker is quarantined. It returns by probes, one task at a time, after a
// back-off that doubles.
//
// Until the verdict, a worker is held back while its recent failures that
// peers don't share and its tasks in progress together reach MaxLost, so that
// not more than MaxLost tasks are lost to it however fast it fails them.
package quarantine

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
)

// Defaults and bounds.
const (
	// MaxLost is the largest number of tasks that a worker that fails
	// everything may take before it is quarantined.
	MaxLost = 8
	// DefaultMaxShare is the largest share of workers in quarantine.
	DefaultMaxShare   = 0.1
	DefaultMaxClasses = 512
	// firstBackOff is the first time in quarantine; it doubles with each failed
	// probe up to maxBackOff.
	firstBackOff = 10 * time.Second
	maxBackOff   = 10 * time.Minute
	// probesToRelease is how many probes in a row have to complete.
	probesToRelease = 3
	// heldShare bounds the workers that are held back without a verdict.
	heldShare = 0.5
	// outcomesKept is how many recent outcomes of a worker are judged.
	outcomesKept = 32
	// heldFor is the age at which a failure no longer holds a worker back.
	heldFor = 30 * time.Second
)

// Options are fixed for the life of a tracker; zero fields take defaults.
type Options struct {
	// MaxShare is the largest share of workers in quarantine, from 0 to 1. One
	// worker of several may always be in quarantine.
	MaxShare   float64
	MaxClasses int
	// ExclusionChanged, if set, is called when the result of Excluded changes.
	ExclusionChanged func(worker string)
}

// Decision is a quarantine or release of a worker, or the blame of a class.
type Decision struct {
	// Verb is placement.VerbQuarantine, VerbRelease or VerbBlame.
	Verb placement.Verb
	// Worker is empty for a blame.
	Worker string
	// Class is the class of the outcome that led to the decision.
	Class  string
	Reason string
	// Until is when a quarantined worker is probed.
	Until time.Time
}

type phase int

const (
	inService phase = iota
	quarantined
	probing
)

// outcome is one recent end of a task on a worker.
type outcome struct {
	class  *class
	failed bool
	at     time.Time
}

// worker is the evidence about one worker.
type worker struct {
	name     string
	phase    phase
	inFlight int
	recent   []outcome
	excluded bool
	// unshared is the number of recent failures that peers don't share.
	unshared float64
	until    time.Time
	backOff  time.Duration
	probes   int
}

// Tracker is not safe for use by several goroutines.
type Tracker struct {
	options Options
	workers map[string]*worker
	classes map[string]*class
	// out lists the workers in quarantine or probing, held those held back.
	out, held []*worker
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

// AddWorker adds a worker that has some tasks in progress. What is known of a
// worker of that name is kept, so that a new session does not end a quarantine.
func (t *Tracker) AddWorker(now time.Time, name string, running int) {
	w := t.workers[name]
	if w == nil {
		w = &worker{name: name}
		t.workers[name] = w
	}
	w.inFlight = running
	t.review(now, w)
}

// RemoveWorker forgets a worker that has left for good.
func (t *Tracker) RemoveWorker(name string) {
	w := t.workers[name]
	if w == nil {
		return
	}
	delete(t.workers, name)
	same := func(other *worker) bool { return other == w }
	t.out, t.held = slices.DeleteFunc(t.out, same), slices.DeleteFunc(t.held, same)
	for _, c := range t.classes { // Each class is changed on its own; the order has no effect.
		c.forget(name)
	}
}

// Excluded reports that a worker must get no new task. It has the form of
// placement.Options.Excluded.
func (t *Tracker) Excluded(name string) bool {
	w := t.workers[name]
	return w != nil && w.excluded
}

// Quarantined returns the number of workers in quarantine, including those
// that are being probed.
func (t *Tracker) Quarantined() int { return len(t.out) }

// Started counts a task in progress on the worker. It has the form of
// placement.Options.Started: a tracker that heard of starts only after a whole
// call of Schedule would let one call fill a worker that is being probed.
func (t *Tracker) Started(now time.Time, _ placement.Task, name string) {
	if w := t.workers[name]; w != nil {
		w.inFlight++
		t.review(now, w)
	}
}

// Ended takes the end of a task. Only completed and failed tasks are evidence.
func (t *Tracker) Ended(now time.Time, task placement.Task, name string, ended placement.Outcome) []Decision {
	w := t.workers[name]
	if w == nil {
		return nil
	}
	w.inFlight = max(w.inFlight-1, 0)
	if ended != placement.Completed && ended != placement.Failed {
		t.review(now, w)
		return nil
	}
	c, failed := t.classOf(now, &task), ended == placement.Failed
	c.count(name, failed)
	if len(w.recent) >= outcomesKept {
		w.recent = slices.Delete(w.recent, 0, 1)
	}
	w.recent = append(w.recent, outcome{c, failed, now})
	decisions := t.judgeClass(c, nil)
	if w.phase == probing {
		return append(decisions, t.probed(now, w, c, failed)...)
	}
	if failed {
		decisions = t.judge(now, w, c, decisions)
	}
	t.review(now, w)
	// What peers did may now explain why others are held back, or convict them.
	for _, other := range slices.Clone(t.held) {
		if other != w {
			decisions = t.judge(now, other, c, decisions)
			t.review(now, other)
		}
	}
	return decisions
}

// Tick opens quarantined workers for probes and lets held ones go whose
// failures are old. Call it about once a second.
func (t *Tracker) Tick(now time.Time) {
	for _, w := range t.out {
		if w.phase == quarantined && !now.Before(w.until) {
			w.phase, w.probes = probing, 0
		}
		t.review(now, w)
	}
	for _, w := range slices.Clone(t.held) {
		t.review(now, w)
	}
}

// probed takes the end of a task on a worker that is being probed.
func (t *Tracker) probed(now time.Time, w *worker, c *class, failed bool) []Decision {
	var decisions []Decision
	switch {
	case failed && !c.blamed && c.peerRate(w.name).mean < blameRate:
		w.backOff = min(2*w.backOff, maxBackOff)
		decisions = append(decisions, t.confine(now, w, c, "a probe failed"))
	case !failed:
		if w.probes++; w.probes >= probesToRelease {
			w.phase, w.recent, w.unshared = inService, nil, 0
			t.out = slices.DeleteFunc(t.out, func(other *worker) bool { return other == w })
			decisions = append(decisions, Decision{Verb: placement.VerbRelease, Worker: w.name, Class: c.name, Reason: "its probes completed"})
		}
	}
	t.review(now, w)
	return decisions
}

// confine puts a worker in quarantine.
func (t *Tracker) confine(now time.Time, w *worker, c *class, reason string) Decision {
	w.phase, w.until = quarantined, now.Add(w.backOff)
	if !slices.Contains(t.out, w) {
		t.out = append(t.out, w)
	}
	return Decision{Verb: placement.VerbQuarantine, Worker: w.name, Class: c.name, Reason: reason, Until: w.until}
}

// bound returns the given share of the workers, at least 1 of several.
func (t *Tracker) bound(share float64) int {
	if len(t.workers) < 2 {
		return 0
	}
	return max(int(share*float64(len(t.workers))), 1)
}

// review recomputes whether a worker is excluded.
func (t *Tracker) review(now time.Time, w *worker) {
	excluded := false
	switch w.phase {
	case quarantined:
		excluded = true
	case probing:
		excluded = w.inFlight > 0
	default:
		excluded = t.holdBack(now, w)
	}
	if at := slices.Index(t.held, w); excluded && w.phase == inService && at < 0 {
		t.held = append(t.held, w)
	} else if at >= 0 && (!excluded || w.phase != inService) {
		t.held = slices.Delete(t.held, at, at+1)
	}
	if excluded != w.excluded {
		w.excluded = excluded
		if t.options.ExclusionChanged != nil {
			t.options.ExclusionChanged(w.name)
		}
	}
}

// holdBack reports whether one more task could be one too many to lose.
func (t *Tracker) holdBack(now time.Time, w *worker) bool {
	w.unshared = 0
	for _, o := range w.recent {
		switch {
		case !o.failed:
			w.unshared = max(w.unshared-1, 0)
		case now.Sub(o.at) < heldFor && !o.class.blamed:
			w.unshared += 1 - o.class.peerRate(w.name).mean
		}
	}
	if w.unshared < 0.5 || w.unshared+float64(w.inFlight)+1 <= MaxLost {
		return false
	}
	return slices.Contains(t.held, w) || len(t.held) < t.bound(heldShare)
}
