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
	// countLimit is the weight of one worker's past in a class: beyond it the
	// counts are halved, so that no worker dominates its peers' rate.
	countLimit = 20
	// priorFailures of priorOutcomes keep the rate of few outcomes off 0 and 1.
	priorFailures, priorOutcomes = 0.25, 5
	// peersNeeded is the number of peers' outcomes below which nothing is known
	// about them.
	peersNeeded = 4
	// badExcess is how much of the remaining range a bad worker's failure rate
	// is above its peers' rate.
	badExcess = 0.6
	// lowestRate stands for the rate of peers that hardly ever fail.
	lowestRate = 0.02
	// convincing is the logarithm of the likelihood ratio at which a worker is
	// quarantined. With lowestRate it takes 4 failures in a row, with a rate of
	// 0.1 it takes 6. A healthy worker that fails one task in 100 fails 4 in a
	// row once in 10^8 tasks, which is 2.7 days at 430 starts/s.
	convincing = 11
	// blameRate is the failure rate above which a class is the cause, seen on
	// at least blameWorkers workers in blameOutcomes outcomes.
	blameRate     = 0.8
	blameWorkers  = 3
	blameOutcomes = 8
)

// count is the recent outcomes of a class on one worker.
type count struct{ failed, all float64 }

// class is the recent outcomes of a job class.
type class struct {
	name     string
	byWorker map[string]*count
	total    count
	// failing is the number of workers with failures and no completed task.
	failing int
	blamed  bool
	usedAt  time.Time
}

// rate is a smoothed failure rate and the number of outcomes behind it.
type rate struct{ mean, outcomes float64 }

// classOf returns the class of a task. When the table is full, the class that
// was not used for longest makes room.
func (t *Tracker) classOf(now time.Time, task *placement.Task) *class {
	name := cmp.Or(task.Class, task.Kind)
	c := t.classes[name]
	if c == nil {
		if len(t.classes) >= t.options.MaxClasses {
			t.dropOldestClass()
		}
		c = &class{name: name, byWorker: map[string]*count{}}
		t.classes[name] = c
	}
	c.usedAt = now
	return c
}

func (t *Tracker) dropOldestClass() {
	var oldest *class
	for _, c := range t.classes {
		if oldest == nil || cmp.Or(c.usedAt.Compare(oldest.usedAt), cmp.Compare(c.name, oldest.name)) < 0 {
			oldest = c
		}
	}
	delete(t.classes, oldest.name)
}

func (n *count) onlyFails() bool { return n.failed > 0 && n.failed == n.all }

// change applies a change to one worker's count and to the totals.
func (c *class) change(name string, apply func(n *count)) {
	n := c.byWorker[name]
	if n == nil {
		n = &count{}
		c.byWorker[name] = n
	}
	if n.onlyFails() {
		c.failing--
	}
	c.total.failed, c.total.all = c.total.failed-n.failed, c.total.all-n.all
	apply(n)
	c.total.failed, c.total.all = c.total.failed+n.failed, c.total.all+n.all
	if n.onlyFails() {
		c.failing++
	}
}

func (c *class) count(name string, failed bool) {
	c.change(name, func(n *count) {
		if n.all >= countLimit {
			n.failed, n.all = n.failed/2, n.all/2
		}
		n.all++
		if failed {
			n.failed++
		}
	})
}

func (c *class) forget(name string) {
	if c.byWorker[name] != nil {
		c.change(name, func(n *count) { *n = count{} })
		delete(c.byWorker, name)
	}
}

// peerRate returns the failure rate on all workers but the named one.
func (c *class) peerRate(name string) rate {
	peers := c.total
	if own := c.byWorker[name]; own != nil {
		peers.failed, peers.all = peers.failed-own.failed, peers.all-own.all
	}
	return rate{max((peers.failed+priorFailures)/(peers.all+priorOutcomes), lowestRate), peers.all}
}

// judge quarantines a worker in service if the evidence is convincing.
func (t *Tracker) judge(now time.Time, w *worker, c *class, decisions []Decision) []Decision {
	if w.phase != inService || len(t.out) >= t.bound(t.options.MaxShare) {
		return decisions
	}
	evidence, own, peers := w.evidence()
	if evidence < convincing {
		return decisions
	}
	w.backOff = firstBackOff
	return append(decisions, t.confine(now, w, c, fmt.Sprintf("fails %.0f%% of its recent tasks, its peers %.0f%% of the same classes", 100*own, 100*peers)))
}

// evidence returns the logarithm of the likelihood ratio of the recent
// outcomes, and the worker's and its peers' failure rate in them.
func (w *worker) evidence() (sum, own, peers float64) {
	counted := 0.0
	for _, o := range w.recent {
		p := o.class.peerRate(w.name)
		if p.outcomes < peersNeeded || o.class.blamed {
			continue
		}
		bad := p.mean + (1-p.mean)*badExcess
		counted++
		peers += p.mean
		if o.failed {
			own++
			sum += math.Log(bad / p.mean)
		} else {
			sum = max(sum+math.Log((1-bad)/(1-p.mean)), 0)
		}
	}
	counted = max(counted, 1)
	return sum, own / counted, peers / counted
}

// judgeClass blames a class that completes nowhere, and takes the blame back
// when it completes again.
func (t *Tracker) judgeClass(c *class, decisions []Decision) []Decision {
	fails := c.failing >= min(blameWorkers, len(t.workers)) && c.total.all >= blameOutcomes && c.total.failed >= blameRate*c.total.all
	if !fails || c.blamed {
		// A blamed class keeps its blame until it completes somewhere.
		c.blamed = c.blamed && c.total.failed >= blameRate*c.total.all && c.failing == len(c.byWorker)
		return decisions
	}
	if c.failing < len(c.byWorker) {
		return decisions
	}
	c.blamed = true
	return append(decisions, Decision{Verb: placement.VerbFaultyClass, Class: c.name,
		Reason: fmt.Sprintf("failed on all of %d workers", c.failing)})
}

// Blamed returns the classes that fail on every worker, in the order of names.
func (t *Tracker) Blamed() []string {
	var names []string
	for name, c := range t.classes {
		if c.blamed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
