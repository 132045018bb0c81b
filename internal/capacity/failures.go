package capacity

import (
	"time"
)

// failureSample is what one failure costs at one size.
type failureSample struct {
	workers int
	// ownedAfter is the time until every live worker has a live owner again.
	ownedAfter time.Duration
	// extraMessages and extraBytes are control messages and payload of all
	// nodes in failureWindow, above the rate before the failure.
	extraMessages, extraBytes float64
	// peakBytes is the control payload of the busiest node in one second, and
	// peakLink that of the busier direction of the region link.
	peakBytes, peakLink float64
	answered            int
	refused             int
}

// failureWindow is longer than a node's suspicion, its sessions' end, the
// takeover of its ranges and the task lease of a lost worker together.
// calmSeconds is how long the cell is measured before the failure.
const (
	failureWindow = 30
	calmSeconds   = 10
)

// failure is one row of section 1.6 about failures.
type failure struct {
	name      string
	frequency string
	strike    func(*cell)
}

var failures = []failure{
	{"VM failure (one worker)", "9 a day", func(c *cell) { c.loseWorkers(func(i int) bool { return i == 0 }) }},
	{"node restart or replacement", "150 a day", func(c *cell) { c.entries[0].stopped = true }},
	{"rack or switch (five workers)", "every month or two", func(c *cell) {
		rack := c.workers[0].entry.Rack
		c.loseWorkers(func(i int) bool { return c.workers[i].entry.Rack == rack })
	}},
	{"failure domain (its workers and nodes)", "once or twice a year", func(c *cell) {
		domain := c.workers[0].entry.FailureDomain
		for _, e := range c.entries {
			if domainName(e.region, e.domain) == domain {
				e.stopped = true
			}
		}
		c.loseWorkers(func(i int) bool { return c.workers[i].entry.FailureDomain == domain })
	}},
	{"regions cut from each other", "for minutes, several times a year", func(c *cell) {
		c.cut = true
		c.after(failureWindow*time.Second/2, func() { c.cut = false })
	}},
}

func (c *cell) loseWorkers(lost func(i int) bool) {
	for i, w := range c.workers {
		if lost(i) {
			c.stopWorker(w)
		}
	}
	c.after(2*time.Second, c.renewVMList)
}

// measureFailure strikes a cell of a size.
func measureFailure(f failure, size Size, seed uint64) (failureSample, error) {
	c, _, err := build(size, time.Second, seed)
	if err != nil {
		return failureSample{}, err
	}
	sample := failureSample{workers: size.Workers}
	before := c.measure(calmSeconds)
	messages, bytes, _, _ := before.perSecond(-1, isControl)
	clear(c.refused)
	c.answered = 0
	struck := c.now
	f.strike(c)
	for range failureWindow {
		second := newMeter()
		second.beginSecond()
		c.meter = second
		for range 10 {
			c.run(100 * time.Millisecond)
			if c.unowned() > 0 {
				sample.ownedAfter = c.now.Sub(struck)
			}
		}
		sent, size, _, link := second.perSecond(-1, isControl)
		sample.peakLink = max(sample.peakLink, link[0], link[1])
		sample.extraMessages += sent - messages
		sample.extraBytes += size - bytes
		for i := range c.entries {
			_, busiest, _, _ := second.perSecond(i, isControl)
			sample.peakBytes = max(sample.peakBytes, busiest)
		}
	}
	sample.answered = c.answered
	for _, count := range c.refused {
		sample.refused += count
	}
	return sample, nil
}
