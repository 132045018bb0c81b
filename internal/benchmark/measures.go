package benchmark

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxWaitMicros is the longest wait that the histograms record, in microseconds.
const maxWaitMicros = int64(24 * time.Hour / time.Microsecond)

// phase is a part of a scenario, with the tasks that arrive or complete in it. It
// starts and ends at from and to after the start of the scenario.
type phase struct {
	from, to time.Duration
	// waits records the waits of the tasks that arrive in the phase, in microseconds.
	waits     *hdrhistogram.Histogram
	arrived   int
	completed int
}

func newPhase(from, to time.Duration) *phase {
	return &phase{from: from, to: to, waits: hdrhistogram.New(1, maxWaitMicros, 3)}
}

func (p *phase) contains(at time.Time) bool {
	since := at.Sub(startTime)
	return since >= p.from && since < p.to
}

// throughput returns the completed tasks per second.
func (p *phase) throughput() float64 { return float64(p.completed) / (p.to - p.from).Seconds() }

// wait returns a percentile, from 0 to 100, of the waits.
func (p *phase) wait(percentile float64) time.Duration {
	return time.Duration(p.waits.ValueAtQuantile(percentile)) * time.Microsecond
}

// kindMetrics are the metrics of one kind. waits records the waits of the whole
// run in microseconds.
type kindMetrics struct {
	waits             *hdrhistogram.Histogram
	phases            []*phase
	started           int
	rejected, expired int
}

// runMetrics are the metrics of one run. They cover the decision engine only, not
// the links between regions, the control traffic or the log.
type runMetrics struct {
	kinds  map[string]*kindMetrics
	phases [][2]time.Duration

	starts    int
	waiting   int
	preempted int
	// engineTime is the processor time of all timed calls to the engine. callTimes
	// records that of each call of Schedule in nanoseconds, and decisionTimes the
	// same divided by the number of decisions of the call.
	engineTime    time.Duration
	callTimes     *hdrhistogram.Histogram
	decisionTimes *hdrhistogram.Histogram

	// packing records the allocated share of the scarcest resource, in units of
	// 1/packingUnit, after each round that leaves tasks waiting.
	packing *hdrhistogram.Histogram
	// strandedSum is the sum of the shares of stranded accelerators over samples,
	// the rounds that leave tasks waiting. overcommittedSum is the sum of the shares
	// of workers whose usage exceeds their capacity over all rounds.
	strandedSum      float64
	overcommittedSum float64
	samples          int
	rounds           int
}

// packingUnit is the value that stands for a share of 1 in the packing histogram.
const packingUnit = 10_000

func newRunMetrics() *runMetrics {
	return &runMetrics{kinds: map[string]*kindMetrics{}, packing: hdrhistogram.New(1, 2*packingUnit, 4),
		callTimes: hdrhistogram.New(1, int64(time.Minute), 3), decisionTimes: hdrhistogram.New(1, int64(time.Minute), 3)}
}

func (m *runMetrics) kind(name string) *kindMetrics {
	k := m.kinds[name]
	if k == nil {
		k = &kindMetrics{waits: hdrhistogram.New(1, maxWaitMicros, 3)}
		for _, p := range m.phases {
			k.phases = append(k.phases, newPhase(p[0], p[1]))
		}
		m.kinds[name] = k
	}
	return k
}

// recordCall records the processor time of a call of Schedule, in total and per
// decision.
func (m *runMetrics) recordCall(took time.Duration, decisions int) {
	_ = m.callTimes.RecordValue(max(took.Nanoseconds(), 1))
	_ = m.decisionTimes.RecordValue(max(took.Nanoseconds()/int64(max(decisions, 1)), 1))
}

// recordStart records the wait before the first start of a job.
func (m *runMetrics) recordStart(now time.Time, j *job) {
	m.starts++
	if j.started {
		return
	}
	j.started = true
	k := m.kind(j.task.Kind)
	k.started++
	m.recordWait(k, j, now.Sub(j.arrivedAt))
}

func (m *runMetrics) recordWait(k *kindMetrics, j *job, wait time.Duration) {
	microseconds := min(max(wait.Microseconds(), 1), maxWaitMicros)
	_ = k.waits.RecordValue(microseconds)
	for _, p := range k.phases {
		if p.contains(j.arrivedAt) {
			p.arrived++
			_ = p.waits.RecordValue(microseconds)
		}
	}
}

func (m *runMetrics) recordCompletion(at time.Time, j *job) {
	for _, p := range m.kind(j.task.Kind).phases {
		if p.contains(at) {
			p.completed++
		}
	}
}

// recordUnstarted records the wait so far of jobs that never started, because
// leaving them out would favour an engine that starves them.
func (m *runMetrics) recordUnstarted(sim *simulation) {
	var unstarted []*job
	for _, j := range sim.jobs {
		if !j.started {
			unstarted = append(unstarted, j)
		}
	}
	for _, j := range unstarted { // The order has no effect on a histogram.
		m.recordWait(m.kind(j.task.Kind), j, sim.now.Sub(j.arrivedAt))
	}
}

// sample records packing, stranded accelerators and overcommitted workers after a
// round of decisions.
func (m *runMetrics) sample(sim *simulation) {
	m.rounds++
	if m.waiting > 0 {
		m.samples++
		_ = m.packing.RecordValue(int64(sim.fleet.scarcestShare() * packingUnit))
		m.strandedSum += sim.fleet.strandedShare()
	}
	over := 0
	for _, v := range sim.fleet.vms {
		if !v.usage.Fits(v.Capacity) {
			over++
		}
	}
	m.overcommittedSum += float64(over) / float64(len(sim.fleet.vms))
}

// kindNames returns the names of the kinds in sorted order.
func (m *runMetrics) kindNames() []string {
	names := make([]string, 0, len(m.kinds))
	for name := range m.kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (m *runMetrics) packingMean() float64 { return m.packing.Mean() / packingUnit }
func (m *runMetrics) packingP10() float64 {
	return float64(m.packing.ValueAtQuantile(10)) / packingUnit
}
func (m *runMetrics) strandedMean() float64 { return m.strandedSum / float64(max(m.samples, 1)) }
func (m *runMetrics) costPerStart() time.Duration {
	return m.engineTime / time.Duration(max(m.starts, 1))
}
