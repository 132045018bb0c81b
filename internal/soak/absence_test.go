package soak_test

import (
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// maxAbsenceStart is the latest start of an absence, after the first fault.
	maxAbsenceStart = 6 * time.Second
	// minAbsence and maxAbsence bound an absence that ends before the test. Another
	// process has claimed the leadership of the absent one by then.
	minAbsence = 2 * time.Second
	maxAbsence = 6 * time.Second
)

// absence kills a leader that isn't started again before the end of the test, or late. It has a
// random source of its own, so that the other faults of a seed stay the same. Regression
// seeds have none.
type absence struct {
	service     string
	from, until time.Duration // since the first fault; until is 0 if it doesn't end
	process     *process      // nil before the absence
}

// newAbsence returns the absence of a seed, or nil.
func newAbsence(seed uint64) *absence {
	if regressionSeeds[seed] != "" || partitionSeeds[seed] != "" {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 4))
	a := &absence{service: services[random.IntN(len(services))], from: time.Duration(random.Int64N(int64(maxAbsenceStart)))}
	if random.IntN(2) == 0 {
		a.until = a.from + minAbsence + time.Duration(random.Int64N(int64(maxAbsence-minAbsence)))
	}
	return a
}

// advance begins or ends the absence if that is due this long after the first fault.
func (a *absence) advance(r *run, elapsed time.Duration) {
	switch {
	case a == nil || elapsed < a.from:
	case a.process == nil:
		a.process = r.processes[r.leader(a.service)]
		r.t.Logf("%.1fs: entry-%d, which leads %s, is away until %s", elapsed.Seconds(), a.process.number, a.service, a.until)
		a.process.stop(syscall.SIGKILL)
		a.process.absent = true
	case a.until > 0 && elapsed >= a.until && a.process.absent:
		a.process.absent = false
		a.process.start()
	}
}

// end ends the absence unless it lasts to the end of the test.
func (a *absence) end(r *run) {
	if a != nil && a.process != nil {
		a.advance(r, a.until)
	}
}

// present returns the first process that isn't absent.
func (r *run) present() *process {
	if r.processes[0].absent {
		return r.processes[1]
	}
	return r.processes[0]
}
