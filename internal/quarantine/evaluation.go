package quarantine

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
)

const (
	// maxCount bounds the weight of the outcomes of one worker in a class, so
	// that no worker dominates the failure rate of its peers. When a count
	// reaches it, the count is halved.
	maxCount = 20
	// priorOutcomes outcomes with priorFailures failures are added to the
	// observed ones, so that the rate of few outcomes is never 0 or 1.
	priorFailures, priorOutcomes = 0.25, 5
	// minPeerOutcomes is the number of outcomes on peers below which their
	// failure rate counts as unknown.
	minPeerOutcomes = 4
	// faultyExcess sets the failure rate that is assumed for a faulty worker:
	// the rate of its peers plus this part of the difference between that rate
	// and 1.
	faultyExcess = 0.6
	// minPeerRate is the lowest failure rate that is assumed for peers, also
	// for those that hardly ever fail.
	minPeerRate = 0.02
	// quarantineThreshold is the natural logarithm of the likelihood ratio from
	// which a worker is quarantined. At a peer failure rate of minPeerRate it
	// takes 4 failures in a row, at a rate of 0.1 it takes 6. A healthy worker
	// that fails one task in 100 fails 4 in a row once in 10^8 tasks, which is
	// once in 2.7 days at 430 starts/s.
	quarantineThreshold = 11
	// A class counts as faulty if its failure rate is at least faultyClassRate,
	// seen on at least faultyClassWorkers workers and in at least
	// faultyClassOutcomes outcomes.
	faultyClassRate     = 0.8
	faultyClassWorkers  = 3
	faultyClassOutcomes = 8
)

// count is the number of recent outcomes of a class on one worker.
type count struct{ failed, all float64 }

// class is the recent outcomes of a job class.
type class struct {
	name     string
	byWorker map[string]*count
	total    count
	// failingWorkers is the number of workers with failures and no completed
	// task.
	failingWorkers int
	faulty         bool
	usedAt         time.Time
}

// rate is a smoothed failure rate and the number of outcomes that it is based
// on.
type rate struct{ mean, outcomes float64 }

// classOf returns the class of a task. If the class is new and the table is
// full, it replaces the least recently used class.
func (t *Tracker) classOf(now time.Time, task *placement.Task) *class {
	name := cmp.Or(task.Class, task.Kind)
	c := t.classes[name]
	if c == nil {
		if len(t.classes) >= t.options.MaxClasses {
			t.dropLeastRecentlyUsedClass()
		}
		c = &class{name: name, byWorker: map[string]*count{}}
		t.classes[name] = c
	}
	c.usedAt = now
	return c
}

func (t *Tracker) dropLeastRecentlyUsedClass() {
	var oldest *class
	for _, c := range t.classes {
		if oldest == nil || cmp.Or(c.usedAt.Compare(oldest.usedAt), cmp.Compare(c.name, oldest.name)) < 0 {
			oldest = c
		}
	}
	delete(t.classes, oldest.name)
}

func (n *count) onlyFails() bool { return n.failed > 0 && n.failed == n.all }

// updateCount applies a change to the count of one worker and updates the totals.
func (c *class) updateCount(name string, apply func(n *count)) {
	n := c.byWorker[name]
	if n == nil {
		n = &count{}
		c.byWorker[name] = n
	}
	if n.onlyFails() {
		c.failingWorkers--
	}
	c.total.failed, c.total.all = c.total.failed-n.failed, c.total.all-n.all
	apply(n)
	c.total.failed, c.total.all = c.total.failed+n.failed, c.total.all+n.all
	if n.onlyFails() {
		c.failingWorkers++
	}
}

func (c *class) recordOutcome(name string, failed bool) {
	c.updateCount(name, func(n *count) {
		if n.all >= maxCount {
			n.failed, n.all = n.failed/2, n.all/2
		}
		n.all++
		if failed {
			n.failed++
		}
	})
}

func (c *class) removeWorker(name string) {
	if c.byWorker[name] != nil {
		c.updateCount(name, func(n *count) { *n = count{} })
		delete(c.byWorker, name)
	}
}

// peerRate returns the failure rate on all workers except the given one.
func (c *class) peerRate(name string) rate {
	peers := c.total
	if own := c.byWorker[name]; own != nil {
		peers.failed, peers.all = peers.failed-own.failed, peers.all-own.all
	}
	return rate{max((peers.failed+priorFailures)/(peers.all+priorOutcomes), minPeerRate), peers.all}
}

// evaluateWorker quarantines a worker in service if its log-likelihood ratio
// reaches quarantineThreshold.
func (t *Tracker) evaluateWorker(now time.Time, w *worker, c *class, decisions []Decision) []Decision {
	if w.phase != inService || len(t.inQuarantine) >= t.maxWorkers(t.options.MaxShare) {
		return decisions
	}
	logLikelihoodRatio, own, peers := w.logLikelihoodRatio()
	if logLikelihoodRatio < quarantineThreshold {
		return decisions
	}
	w.backOff = initialBackOff
	return append(decisions, t.quarantine(now, w, c, fmt.Sprintf("fails %.0f%% of its recent tasks, its peers %.0f%% of the same classes", 100*own, 100*peers)))
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of the
// recent outcomes, and the failure rates of the worker and of its peers for
// them.
func (w *worker) logLikelihoodRatio() (sum, own, peers float64) {
	usable := 0.0
	for _, o := range w.recent {
		p := o.class.peerRate(w.name)
		if p.outcomes < minPeerOutcomes || o.class.faulty {
			continue
		}
		faultyRate := p.mean + (1-p.mean)*faultyExcess
		usable++
		peers += p.mean
		if o.failed {
			own++
			sum += math.Log(faultyRate / p.mean)
		} else {
			sum = max(sum+math.Log((1-faultyRate)/(1-p.mean)), 0)
		}
	}
	usable = max(usable, 1)
	return sum, own / usable, peers / usable
}

// evaluateClass marks a class that completes on no worker as faulty, and clears
// the mark when it completes again.
func (t *Tracker) evaluateClass(c *class, decisions []Decision) []Decision {
	fails := c.failingWorkers >= min(faultyClassWorkers, len(t.workers)) && c.total.all >= faultyClassOutcomes && c.total.failed >= faultyClassRate*c.total.all
	if !fails || c.faulty {
		// A faulty class stays faulty until it completes on a worker.
		c.faulty = c.faulty && c.total.failed >= faultyClassRate*c.total.all && c.failingWorkers == len(c.byWorker)
		return decisions
	}
	if c.failingWorkers < len(c.byWorker) {
		return decisions
	}
	c.faulty = true
	return append(decisions, Decision{Verb: placement.VerbFaultyClass, Class: c.name,
		Reason: fmt.Sprintf("failed on all of %d workers", c.failingWorkers)})
}

// FaultyClasses returns the classes that fail on every worker, sorted by name.
func (t *Tracker) FaultyClasses() []string {
	var names []string
	for name, c := range t.classes {
		if c.faulty {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
