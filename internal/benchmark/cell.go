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
	// step is the time between two rounds of decisions. Waits are measured to
	// the round, so the shortest are spread over one step.
	step = 10 * time.Millisecond
	// decisionsPerCall is the limit given to Schedule.
	decisionsPerCall = 256
	// reportLag is the longest time until an engine hears of an end, and
	// usageInterval the time between usage reports of a task.
	reportLag     = 20 * time.Millisecond
	usageInterval = time.Second
	// checkpointTime and stopTime are how long a preempted task takes to end.
	checkpointTime = 200 * time.Millisecond
	stopTime       = 50 * time.Millisecond
	// failureTime is how long a task runs on a worker that fails everything.
	failureTime = 20 * time.Millisecond
	// maxAttempts bounds the attempts of a task that fails.
	maxAttempts = 10
)

// job is a task with what only its worker knows.
type job struct {
	task placement.Task
	// runs is the true run time that is left; use what the task really uses.
	runs      time.Duration
	use       workload.Resources
	arrivedAt time.Time
	startedAt time.Time
	started   bool
	preempted bool
	on        *vm
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
	order   int
	what    eventType
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
	return h[i].order < h[j].order
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
	next   time.Time
	count  int
}

// cell is one run of a scenario with one engine.
type cell struct {
	*subject
	now     time.Time
	fleet   *fleet
	random  *rand.Rand
	sources []*source
	events  eventHeap
	order   int
	jobs    map[placement.TaskID]*job
	policy  placement.Policy
	measure *measures
	// bad is the worker that fails everything.
	bad string
	// correctSizes grants what the estimator expects instead of the declaration.
	correctSizes bool
	// lostBefore and lostAfter count failed tasks before and after the bad
	// worker's first quarantine; without quarantine all count as after.
	lostBefore, lostAfter int
	isOut                 bool
	quarantined           map[string]bool
	advice                int
}

func newCell(s *subject, size Size, policy placement.Policy, seed uint64, sources ...*source) *cell {
	workers := size.workers()
	c := &cell{subject: s, now: startTime, fleet: newFleet(workers), random: rand.New(rand.NewPCG(seed, 0)), sources: sources,
		jobs: map[placement.TaskID]*job{}, policy: policy, measure: newMeasures(),
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
		s.next = now.Add(step)
		return
	}
	s.next = now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
}

func (s *source) arrive() *job {
	task, runs, use := s.draw(s.random)
	s.count++
	task.Kind, task.EnqueuedAt = s.kind, s.next
	task.ID.Key = workload.Key(fmt.Sprintf("%s-%08d", s.kind, s.count))
	return &job{task: task, runs: runs, use: use, arrivedAt: s.next}
}

// timed runs an engine's call and counts its processor time.
func (c *cell) timed(call func()) {
	began := processorTime()
	call()
	c.measure.engineTime += processorTime() - began
}

func (c *cell) push(e event) {
	c.order++
	e.order = c.order
	heap.Push(&c.events, e)
}

// run advances the cell until the time since the start.
func (c *cell) run(until time.Duration) {
	for end := startTime.Add(until); c.now.Before(end); {
		next := c.now.Add(step)
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
func (c *cell) nextAction() (time.Time, func()) {
	var first *source
	for _, s := range c.sources {
		if first == nil || s.next.Before(first.next) {
			first = s
		}
	}
	if len(c.events) > 0 && (first == nil || c.events[0].at.Before(first.next)) {
		return c.events[0].at, func() { c.happen(heap.Pop(&c.events).(event)) }
	}
	if first == nil {
		return time.Time{}, nil
	}
	return first.next, func() {
		if first.rate(first.next.Sub(startTime)) > 0 {
			c.submit(first.next, first.arrive())
		}
		first.advance(first.next)
	}
}

// submit enqueues a job, or all tasks of a gang.
func (c *cell) submit(at time.Time, j *job) {
	if c.correctSizes && c.estimator != nil {
		j.task.Resources = c.estimator.Size(j.task, c.largest(&j.task))
	}
	for i := range max(j.task.GangSize, 1) {
		member := *j
		member.task.ID.Index = i
		c.enqueue(at, &member)
	}
}

// largest returns the capacity of the smallest worker that has the task's
// accelerators.
func (c *cell) largest(task *placement.Task) workload.Resources {
	for _, v := range c.fleet.order { // Workers without accelerators come first.
		if task.Resources.Accelerators <= v.Capacity.Accelerators {
			return v.Capacity
		}
	}
	return task.Resources
}

func (c *cell) enqueue(at time.Time, j *job) {
	var rejection *placement.Rejection
	c.timed(func() { rejection = c.engine.Enqueue(at, j.task) })
	if rejection != nil {
		c.measure.kind(j.task.Kind).rejected++
		return
	}
	c.jobs[j.task.ID] = j
	c.measure.waiting++
}

// happen carries out one event.
func (c *cell) happen(e event) {
	j := e.job
	if e.attempt != j.task.ID.Attempt {
		return
	}
	switch e.what {
	case eventUsage:
		if c.fleet.where(&j.task) != nil {
			c.reportUsage(e.at, j)
		}
	case eventEnd:
		if c.fleet.where(&j.task) == nil {
			return
		}
		c.fleet.end(&j.task)
		j.on.use = j.on.use.Sub(j.use)
		j.runs -= e.at.Sub(j.startedAt)
		lag := time.Duration(c.random.Int64N(int64(reportLag)))
		c.push(event{at: e.at.Add(lag), what: eventReport, job: j, attempt: e.attempt, outcome: e.outcome})
	case eventReport:
		c.report(e)
	}
}

func (c *cell) reportUsage(at time.Time, j *job) {
	c.push(event{at: at.Add(usageInterval), what: eventUsage, job: j, attempt: j.task.ID.Attempt})
	if c.estimator != nil {
		if advice := c.estimator.RecordUsage(at, j.task.ID, j.use, c.preemptionOf(j.task.Kind)); advice.Verb != "" {
			c.advice++
		}
	}
}

func (c *cell) preemptionOf(kind string) placement.Verb {
	for _, k := range c.policy.Kinds {
		if k.Name == kind {
			return k.Preemption
		}
	}
	return ""
}

// report tells the engine of an end and puts unfinished work back.
func (c *cell) report(e event) {
	j, id := e.job, e.job.task.ID
	c.timed(func() { c.engine.TaskEnded(e.at, id, e.outcome) })
	if c.estimator != nil {
		c.estimator.Ended(e.at, id, e.outcome)
	}
	if e.outcome == placement.Failed && c.tracker != nil && !c.isOut {
		c.lostBefore++
	} else if e.outcome == placement.Failed {
		c.lostAfter++
	}
	if c.tracker != nil {
		for _, d := range c.tracker.Ended(e.at, j.task, j.on.Name, e.outcome) {
			if d.Verb == placement.VerbQuarantine {
				c.isOut = c.isOut || d.Worker == c.bad
				c.quarantined[d.Worker] = true
			}
		}
	}
	delete(c.jobs, id)
	switch e.outcome {
	case placement.Completed:
		c.measure.completed(e.at, j)
		return
	case placement.Failed:
	default:
		c.measure.preempted++
	}
	if j.task.ID.Attempt+1 < maxAttempts || e.outcome != placement.Failed {
		j.task.ID.Attempt++
		j.preempted = false
		c.enqueue(e.at, j)
	}
}

// decide lets the engine decide until it has nothing more to start.
func (c *cell) decide() {
	if c.tracker != nil && c.now.Sub(startTime)%time.Second == 0 {
		c.tracker.Tick(c.now)
	}
	for {
		var decisions []placement.Decision
		began := processorTime()
		c.timed(func() { decisions = c.engine.Schedule(c.now, decisionsPerCall) })
		c.measure.call(processorTime()-began, len(decisions))
		gangs := map[workload.Key]int{}
		for i := range decisions {
			c.carryOut(&decisions[i], gangs)
		}
		for key, missing := range gangs {
			if missing != 0 {
				c.fleet.breach("gang %s started without %d of its tasks", key, missing)
			}
		}
		if len(decisions) < decisionsPerCall {
			break
		}
	}
	c.measure.sample(c)
}

func (c *cell) carryOut(d *placement.Decision, gangs map[workload.Key]int) {
	j := c.jobs[d.Task.ID]
	if j == nil {
		c.fleet.breach("%s of unknown task %v", d.Verb, d.Task.ID)
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
		c.measure.waiting--
		c.measure.kind(j.task.Kind).expired++
		delete(c.jobs, d.Task.ID)
	case placement.VerbStop, placement.VerbCheckpoint:
		c.preempt(j, d.Verb)
	default:
		// A fake worker does not run slower when it is throttled.
	}
}

func (c *cell) start(j *job, worker string) {
	c.measure.waiting--
	j.startedAt = c.now
	if j.on = c.fleet.start(c.now, &j.task, worker); j.on == nil {
		return
	}
	j.on.use = j.on.use.Add(j.use)
	c.measure.started(c.now, j)
	if c.estimator != nil {
		c.estimator.Started(c.now, j.task)
	}
	end := event{at: c.now.Add(j.runs), what: eventEnd, job: j, attempt: j.task.ID.Attempt, outcome: placement.Completed}
	if worker == c.bad {
		end.at, end.outcome = c.now.Add(failureTime), placement.Failed
	}
	c.push(end)
	if j.use != j.task.Resources {
		c.push(event{at: c.now.Add(usageInterval), what: eventUsage, job: j, attempt: j.task.ID.Attempt})
	}
}

// preempt ends a running task early. A checkpointed task goes on where it was,
// a stopped one starts again.
func (c *cell) preempt(j *job, verb placement.Verb) {
	if j.preempted || c.fleet.where(&j.task) == nil {
		return
	}
	j.preempted = true
	end := event{at: c.now.Add(checkpointTime), what: eventEnd, job: j, attempt: j.task.ID.Attempt, outcome: placement.Checkpointed}
	if verb == placement.VerbStop {
		end.at, end.outcome = c.now.Add(stopTime), placement.Stopped
		// The end subtracts what has run, so that the whole run is left.
		j.runs += end.at.Sub(j.startedAt)
	}
	c.push(end)
}

// wrongBy returns a value that is wrong by up to the given factor either way.
func wrongBy(random *rand.Rand, factor float64) float64 {
	return math.Pow(factor, 2*random.Float64()-1)
}
