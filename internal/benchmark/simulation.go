package benchmark

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	// decisionInterval is the time between two rounds of decisions. Waits are measured to
	// the round, so the shortest are spread over one decisionInterval.
	decisionInterval = 10 * time.Millisecond
	// decisionsPerCall is the limit given to Schedule.
	decisionsPerCall = 256
	// maxReportLag is the longest time until an engine hears of an end, and
	// usageInterval the time between usage reports of a task.
	maxReportLag     = 20 * time.Millisecond
	usageInterval = time.Second
	// checkpointDuration and stopTime are how long a preempted task takes to end.
	checkpointDuration = 200 * time.Millisecond
	stopDuration       = 50 * time.Millisecond
	// failureRunTime is how long a task runs on a worker that fails everything.
	failureRunTime = 20 * time.Millisecond
	// maxAttempts bounds the attempts of a task that fails.
	maxAttempts = 10
)

// job is a task with what only its worker knows.
type job struct {
	task placement.Task
	// remaining is the true run time that is left; use what the task really uses.
	remaining      time.Duration
	usage       workload.Resources
	arrivedAt time.Time
	startedAt time.Time
	started   bool
	preempted bool
	vm        *vm
}

// eventType says what happens at an event's time.
type eventType int

const (
	eventEnd eventType = iota
	eventReport
	eventUsage
)

// event is an end on a worker, or the report of it reaching the engine.
type event struct {
	at      time.Time
	sequence   int
	kind    eventType
	job     *job
	attempt int
	outcome placement.Outcome
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// source is a Poisson stream of tasks of one kind.
type source struct {
	kind string
	// rate returns the arrivals per second at a time since the start.
	rate func(time.Duration) float64
	// draw returns the next task's declaration, its true run time and its use.
	draw   func(random *rand.Rand) (placement.Task, time.Duration, workload.Resources)
	random *rand.Rand
	nextArrival   time.Time
	count  int
}

// simulation is one run of a scenario with one engine.
type simulation struct {
	*testedEngine
	now     time.Time
	fleet   *fleet
	random  *rand.Rand
	sources []*source
	events  eventHeap
	sequence   int
	jobs    map[placement.TaskID]*job
	policy  placement.Policy
	metrics *runMetrics
	// failingWorker is the worker that fails everything.
	failingWorker string
	// correctSizes grants what the estimator expects instead of the declaration.
	correctSizes bool
	// failedBeforeQuarantine and failedAfterQuarantine count failed tasks before and after the bad
	// worker's first quarantine; without quarantine all count as after.
	failedBeforeQuarantine, failedAfterQuarantine int
	failingQuarantined                 bool
	quarantined           map[string]bool
	adviceCount                int
}

func newSimulation(s *testedEngine, size Size, policy placement.Policy, seed uint64, sources ...*source) *simulation {
	workers := size.workers()
	c := &simulation{testedEngine: s, now: startTime, fleet: newFleet(workers), random: rand.New(rand.NewPCG(seed, 0)), sources: sources,
		jobs: map[placement.TaskID]*job{}, policy: policy, metrics: newRunMetrics(),
		quarantined: map[string]bool{}}
	s.engine.SetPolicy(policy)
	for _, w := range workers {
		s.engine.AddWorker(c.now, w, nil)
		if s.tracker != nil {
			s.tracker.AddWorker(c.now, w.Name, 0)
		}
	}
	for i, source := range sources {
		source.random = rand.New(rand.NewPCG(seed, uint64(i+1)))
		source.advance(c.now)
	}
	return c
}

// advance draws the time of the next arrival.
func (s *source) advance(now time.Time) {
	rate := s.rate(now.Sub(startTime))
	if rate <= 0 {
		s.nextArrival = now.Add(decisionInterval)
		return
	}
	s.nextArrival = now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
}

func (s *source) takeArrival() *job {
	task, runs, use := s.draw(s.random)
	s.count++
	task.Kind, task.EnqueuedAt = s.kind, s.nextArrival
	task.ID.Key = workload.Key(fmt.Sprintf("%s-%08d", s.kind, s.count))
	return &job{task: task, remaining: runs, usage: use, arrivedAt: s.nextArrival}
}

// timed runs an engine's call and counts its processor time.
func (c *simulation) timed(call func()) {
	began := processorTime()
	call()
	c.metrics.engineTime += processorTime() - began
}

func (c *simulation) schedule(e event) {
	c.sequence++
	e.sequence = c.sequence
	heap.Push(&c.events, e)
}

// run advances the cell until the time since the start.
func (c *simulation) run(until time.Duration) {
	for end := startTime.Add(until); c.now.Before(end); {
		next := c.now.Add(decisionInterval)
		for {
			at, act := c.nextAction()
			if act == nil || at.After(next) {
				break
			}
			act()
		}
		c.now = next
		c.decide()
	}
}

// nextAction returns the next arrival or event.
func (c *simulation) nextAction() (time.Time, func()) {
	var first *source
	for _, s := range c.sources {
		if first == nil || s.nextArrival.Before(first.nextArrival) {
			first = s
		}
	}
	if len(c.events) > 0 && (first == nil || c.events[0].at.Before(first.nextArrival)) {
		return c.events[0].at, func() { c.handle(heap.Pop(&c.events).(event)) }
	}
	if first == nil {
		return time.Time{}, nil
	}
	return first.nextArrival, func() {
		if first.rate(first.nextArrival.Sub(startTime)) > 0 {
			c.submit(first.nextArrival, first.takeArrival())
		}
		first.advance(first.nextArrival)
	}
}

// submit enqueues a job, or all tasks of a gang.
func (c *simulation) submit(at time.Time, j *job) {
	if c.correctSizes && c.estimator != nil {
		j.task.Resources = c.estimator.Size(j.task, c.capacityFor(&j.task))
	}
	for i := range max(j.task.GangSize, 1) {
		member := *j
		member.task.ID.Index = i
		c.enqueue(at, &member)
	}
}

// capacityFor returns the capacity of the smallest worker that has the task's
// accelerators.
func (c *simulation) capacityFor(task *placement.Task) workload.Resources {
	for _, v := range c.fleet.vms { // Workers without accelerators come first.
		if task.Resources.Accelerators <= v.Capacity.Accelerators {
			return v.Capacity
		}
	}
	return task.Resources
}

func (c *simulation) enqueue(at time.Time, j *job) {
	var rejection *placement.Rejection
	c.timed(func() { rejection = c.engine.Enqueue(at, j.task) })
	if rejection != nil {
		c.metrics.kind(j.task.Kind).rejected++
		return
	}
	c.jobs[j.task.ID] = j
	c.metrics.waiting++
}

// handle carries out one event.
func (c *simulation) handle(e event) {
	j := e.job
	if e.attempt != j.task.ID.Attempt {
		return
	}
	switch e.kind {
	case eventUsage:
		if c.fleet.vmOf(&j.task) != nil {
			c.reportUsage(e.at, j)
		}
	case eventEnd:
		if c.fleet.vmOf(&j.task) == nil {
			return
		}
		c.fleet.end(&j.task)
		j.vm.usage = j.vm.usage.Sub(j.usage)
		j.remaining -= e.at.Sub(j.startedAt)
		lag := time.Duration(c.random.Int64N(int64(maxReportLag)))
		c.schedule(event{at: e.at.Add(lag), kind: eventReport, job: j, attempt: e.attempt, outcome: e.outcome})
	case eventReport:
		c.reportEnd(e)
	}
}

func (c *simulation) reportUsage(at time.Time, j *job) {
	c.schedule(event{at: at.Add(usageInterval), kind: eventUsage, job: j, attempt: j.task.ID.Attempt})
	if c.estimator != nil {
		if advice := c.estimator.RecordUsage(at, j.task.ID, j.usage, c.preemptionOf(j.task.Kind)); advice.Verb != "" {
			c.adviceCount++
		}
	}
}

func (c *simulation) preemptionOf(kind string) placement.Verb {
	for _, k := range c.policy.Kinds {
		if k.Name == kind {
			return k.Preemption
		}
	}
	return ""
}

// reportEnd tells the engine of an end and puts unfinished work back.
func (c *simulation) reportEnd(e event) {
	j, id := e.job, e.job.task.ID
	c.timed(func() { c.engine.TaskEnded(e.at, id, e.outcome) })
	if c.estimator != nil {
		c.estimator.Ended(e.at, id, e.outcome)
	}
	if e.outcome == placement.Failed && c.tracker != nil && !c.failingQuarantined {
		c.failedBeforeQuarantine++
	} else if e.outcome == placement.Failed {
		c.failedAfterQuarantine++
	}
	if c.tracker != nil {
		for _, d := range c.tracker.Ended(e.at, j.task, j.vm.Name, e.outcome) {
			if d.Verb == placement.VerbQuarantine {
				c.failingQuarantined = c.failingQuarantined || d.Worker == c.failingWorker
				c.quarantined[d.Worker] = true
			}
		}
	}
	delete(c.jobs, id)
	switch e.outcome {
	case placement.Completed:
		c.metrics.recordCompletion(e.at, j)
		return
	case placement.Failed:
	default:
		c.metrics.preempted++
	}
	if j.task.ID.Attempt+1 < maxAttempts || e.outcome != placement.Failed {
		j.task.ID.Attempt++
		j.preempted = false
		c.enqueue(e.at, j)
	}
}

// decide lets the engine decide until it has nothing more to start.
func (c *simulation) decide() {
	if c.tracker != nil && c.now.Sub(startTime)%time.Second == 0 {
		c.tracker.Tick(c.now)
	}
	for {
		var decisions []placement.Decision
		began := processorTime()
		c.timed(func() { decisions = c.engine.Schedule(c.now, decisionsPerCall) })
		c.metrics.recordCall(processorTime()-began, len(decisions))
		gangs := map[workload.Key]int{}
		for i := range decisions {
			c.apply(&decisions[i], gangs)
		}
		for key, missing := range gangs {
			if missing != 0 {
				c.fleet.recordViolation("gang %s started without %d of its tasks", key, missing)
			}
		}
		if len(decisions) < decisionsPerCall {
			break
		}
	}
	c.metrics.sample(c)
}

func (c *simulation) apply(d *placement.Decision, gangs map[workload.Key]int) {
	j := c.jobs[d.Task.ID]
	if j == nil {
		c.fleet.recordViolation("%s of unknown task %v", d.Verb, d.Task.ID)
		return
	}
	switch d.Verb {
	case placement.VerbStart:
		if d.Task.GangSize > 1 {
			if _, seen := gangs[d.Task.ID.Key]; !seen {
				gangs[d.Task.ID.Key] = d.Task.GangSize
			}
			gangs[d.Task.ID.Key]--
		}
		c.start(j, d.Worker)
	case placement.VerbExpire:
		c.metrics.waiting--
		c.metrics.kind(j.task.Kind).expired++
		delete(c.jobs, d.Task.ID)
	case placement.VerbStop, placement.VerbCheckpoint:
		c.preempt(j, d.Verb)
	default:
		// A fake worker does not run slower when it is throttled.
	}
}

func (c *simulation) start(j *job, worker string) {
	c.metrics.waiting--
	j.startedAt = c.now
	if j.vm = c.fleet.start(c.now, &j.task, worker); j.vm == nil {
		return
	}
	j.vm.usage = j.vm.usage.Add(j.usage)
	c.metrics.recordStart(c.now, j)
	if c.estimator != nil {
		c.estimator.Started(c.now, j.task)
	}
	end := event{at: c.now.Add(j.remaining), kind: eventEnd, job: j, attempt: j.task.ID.Attempt, outcome: placement.Completed}
	if worker == c.failingWorker {
		end.at, end.outcome = c.now.Add(failureRunTime), placement.Failed
	}
	c.schedule(end)
	if j.usage != j.task.Resources {
		c.schedule(event{at: c.now.Add(usageInterval), kind: eventUsage, job: j, attempt: j.task.ID.Attempt})
	}
}

// preempt ends a running task early. A checkpointed task goes on where it was,
// a stopped one starts again.
func (c *simulation) preempt(j *job, verb placement.Verb) {
	if j.preempted || c.fleet.vmOf(&j.task) == nil {
		return
	}
	j.preempted = true
	end := event{at: c.now.Add(checkpointDuration), kind: eventEnd, job: j, attempt: j.task.ID.Attempt, outcome: placement.Checkpointed}
	if verb == placement.VerbStop {
		end.at, end.outcome = c.now.Add(stopDuration), placement.Stopped
		// The end subtracts what has run, so that the whole run is left.
		j.remaining += end.at.Sub(j.startedAt)
	}
	c.schedule(end)
}

// randomFactor returns a value that is wrong by up to the given factor either way.
func randomFactor(random *rand.Rand, factor float64) float64 {
	return math.Pow(factor, 2*random.Float64()-1)
}
