package capacity

import (
	"time"
)

// failureSample is the cost of one failure at one cell size.
type failureSample struct {
	workers int
	// ownersRestoredAfter is the time until every live worker has a live owner
	// again, with a resolution of 100 ms.
	ownersRestoredAfter time.Duration
	// extraMessages and extraBytes are the control messages and payload bytes that
	// all nodes send in failureWindowSeconds beyond the rate before the failure.
	extraMessages, extraBytes float64
	// peakNodeBytes is the largest control payload of a node in one second, and
	// peakLinkBytes that of one direction of the region link.
	peakNodeBytes, peakLinkBytes float64
	answered                     int
	refused                      int
}

// failureWindowSeconds is longer than the sum of the times until a node is
// suspected, its sessions end, its ranges are taken over and the task leases of
// a lost worker end. baselineSeconds is how long the cell is measured before the
// failure.
const (
	failureWindowSeconds = 30
	baselineSeconds      = 10
)

// failure is a failure that section 1.6 of the design page lists, with its
// frequency.
type failure struct {
	name      string
	frequency string
	inject    func(*cell)
}

var failures = []failure{
	{"VM failure (one worker)", "9 a day", func(c *cell) {
		busy := c.busyWorker()
		c.stopWorkers(func(i int) bool { return c.workers[i] == busy })
	}},
	{"node restart or replacement", "150 a day", func(c *cell) { c.nodes[0].stopped = true }},
	{"rack or switch (five workers)", "every month or two", func(c *cell) {
		rack := c.busyWorker().vm.Rack
		c.stopWorkers(func(i int) bool { return c.workers[i].vm.Rack == rack })
	}},
	{"failure domain (its workers and nodes)", "once or twice a year", func(c *cell) {
		domain := c.busyWorker().vm.FailureDomain
		for _, n := range c.nodes {
			if domainName(n.regionIndex, n.domainIndex) == domain {
				n.stopped = true
			}
		}
		c.stopWorkers(func(i int) bool { return c.workers[i].vm.FailureDomain == domain })
	}},
	{"regions cut from each other", "for minutes, several times a year", func(c *cell) {
		c.regionsPartitioned = true
		c.schedule(failureWindowSeconds*time.Second/2, func() { c.regionsPartitioned = false })
	}},
}

// busyWorker returns the first worker that runs a task. The loss of a worker
// without tasks leaves no task with an unknown outcome.
func (c *cell) busyWorker() *fakeWorker {
	for _, w := range c.workers {
		if len(w.tasks) > 0 {
			return w
		}
	}
	return c.workers[0]
}

func (c *cell) stopWorkers(selected func(i int) bool) {
	for i, w := range c.workers {
		if selected(i) {
			c.stopWorker(w)
		}
	}
	c.schedule(2*time.Second, c.deliverVMList)
}

// measureFailure injects a failure into a cell and measures it for
// failureWindowSeconds of virtual time.
func measureFailure(f failure, size Size, seed uint64) (failureSample, error) {
	c, _, err := buildCell(size, time.Second, seed)
	if err != nil {
		return failureSample{}, err
	}
	sample := failureSample{workers: size.Workers}
	before := c.measure(baselineSeconds)
	messagesBefore, bytesBefore, _, _ := before.sendRates(-1, isControl)
	clear(c.refused)
	c.answered = 0
	failedAt := c.now
	f.inject(c)
	for range failureWindowSeconds {
		second := newMeter()
		second.beginSecond()
		c.meter = second
		for range 10 {
			c.advance(100 * time.Millisecond)
			if c.countUnowned() > 0 {
				sample.ownersRestoredAfter = c.now.Sub(failedAt)
			}
		}
		messages, bytes, _, linkBytes := second.sendRates(-1, isControl)
		sample.peakLinkBytes = max(sample.peakLinkBytes, linkBytes[0], linkBytes[1])
		sample.extraMessages += messages - messagesBefore
		sample.extraBytes += bytes - bytesBefore
		for i := range c.nodes {
			_, nodeBytes, _, _ := second.sendRates(i, isControl)
			sample.peakNodeBytes = max(sample.peakNodeBytes, nodeBytes)
		}
	}
	sample.answered = c.answered
	for _, count := range c.refused {
		sample.refused += count
	}
	return sample, nil
}
