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
	// decisionInterval is the virtual time between two rounds of decisions.
	// Tasks start only at a round, so even a task that could start at once waits
	// for up to one interval.
	decisionInterval = 10 * time.Millisecond
	// decisionsPerCall is the limit passed to Schedule.
	decisionsPerCall = 256
	// maxReportLag is the longest delay until an end is reported to the engine;
	// usageInterval is the time between usage reports of a task.
	maxReportLag  = 20 * time.Millisecond
	usageInterval = time.Second
	// checkpointDuration and stopDuration are the times that a preempted task takes to end.
	checkpointDuration = 200 * time.Millisecond
	stopDuration       = 50 * time.Millisecond
	// failureRunTime is the run time of a task on the failing worker.
	failureRunTime = 20 * time.Millisecond
	// maxAttempts is the number of attempts after which a failing task is dropped.
	maxAttempts = 10
)

// job is a task with its true run time and usage, which the engine doesn't know.
type job struct {
	task placement.Task
	// remaining is the run time that is left; usage is what the task
	// actually uses.
	remaining time.Duration
	usage     workload.Resources
	arrivedAt time.Time
	startedAt time.Time
	started   bool
	preempted bool
	vm        *vm
}

// eventType is the type of an event.
type eventType int

const (
	eventEnd eventType = iota
	eventReport
	eventUsage
)

// event is the end of a task on its worker, the report of that end to the engine,
// or a usage report. Events at the same time are handled in order of sequence.
type event struct {
	at        time.Time
	sequence  int
	eventType eventType
	job       *job
	attempt   int
	outcome   placement.Outcome
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

// source generates tasks of one kind as a Poisson process.
type source struct {
	kind string
	// rate returns the arrivals per second at the given time since the start.
	rate func(time.Duration) float64
	// draw returns the next task as declared, its true run time and its usage.
	draw        func(random *rand.Rand) (placement.Task, time.Duration, workload.Resources)
	random      *rand.Rand
	nextArrival time.Time
	count       int
}

// simulation is one run of a scenario with one engine.
type simulation struct {
	*testedEngine
	now      time.Time
	fleet    *fleet
	random   *rand.Rand
	sources  []*source
	events   eventHeap
	sequence int
	jobs     map[placement.TaskID]*job
	policy   placement.Policy
	metrics  *runMetrics
	// failingWorker is the worker that fails every task, or empty.
	failingWorker string
	// correctSizes replaces declared resources by the estimator's sizes.
	correctSizes bool
	// failedBeforeQuarantine and failedAfterQuarantine count the failed tasks
	// before and after the first quarantine of the failing worker. Without a
	// tracker all count as after.
	failedBeforeQuarantine, failedAfterQuarantine int
	failingQuarantined                            bool
	quarantined                                   map[string]bool
	adviceCount                                   int
}

func newSimulation(tested *testedEngine, size Size, policy placement.Policy, seed uint64, sources ...*source) *simulation {
	workers := size.workers()
	sim := &simulation{testedEngine: tested, now: startTime, fleet: newFleet(workers), random: rand.New(rand.NewPCG(seed, 0)), sources: sources,
		jobs: map[placement.TaskID]*job{}, policy: policy, metrics: newRunMetrics(),
		quarantined: map[string]bool{}}
	tested.engine.SetPolicy(policy)
	for _, w := range workers {
		tested.engine.AddWorker(sim.now, w, nil)
		if tested.tracker != nil {
			tested.tracker.AddWorker(sim.now, w.Name, 0)
		}
	}
	for i, source := range sources {
		source.random = rand.New(rand.NewPCG(seed, uint64(i+1)))
		source.advance(sim.now)
	}
	return sim
}

// advance draws the time of the next arrival. At rate 0 it checks again after one
// decisionInterval.
func (s *source) advance(now time.Time) {
	rate := s.rate(now.Sub(startTime))
	if rate <= 0 {
		s.nextArrival = now.Add(decisionInterval)
		return
	}
	s.nextArrival = now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
}

func (s *source) takeArrival() *job {
	task, runTime, usage := s.draw(s.random)
	s.count++
	task.Kind, task.EnqueuedAt = s.kind, s.nextArrival
	task.ID.Key = workload.Key(fmt.Sprintf("%s-%08d", s.kind, s.count))
	return &job{task: task, remaining: runTime, usage: usage, arrivedAt: s.nextArrival}
}

// timed makes a call to the engine and adds its processor time to the metrics.
func (sim *simulation) timed(call func()) {
	began := processorTime()
	call()
	sim.metrics.engineTime += processorTime() - began
}

func (sim *simulation) addEvent(e event) {
	sim.sequence++
	e.sequence = sim.sequence
	heap.Push(&sim.events, e)
}

// run advances the simulation to the given time since the start.
func (sim *simulation) run(until time.Duration) {
	for end := startTime.Add(until); sim.now.Before(end); {
		next := sim.now.Add(decisionInterval)
		for {
			at, act := sim.nextAction()
			if act == nil || at.After(next) {
				break
			}
			act()
		}
		sim.now = next
		sim.decide()
	}
}

// nextAction returns the time of the next arrival or event and a function that
// handles it. The function is nil if there is neither.
func (sim *simulation) nextAction() (time.Time, func()) {
	var first *source
	for _, s := range sim.sources {
		if first == nil || s.nextArrival.Before(first.nextArrival) {
			first = s
		}
	}
	if len(sim.events) > 0 && (first == nil || sim.events[0].at.Before(first.nextArrival)) {
		return sim.events[0].at, func() { sim.handle(heap.Pop(&sim.events).(event)) }
	}
	if first == nil {
		return time.Time{}, nil
	}
	return first.nextArrival, func() {
		if first.rate(first.nextArrival.Sub(startTime)) > 0 {
			sim.submit(first.nextArrival, first.takeArrival())
		}
		first.advance(first.nextArrival)
	}
}

// submit enqueues a job or, for a gang, one job per member.
func (sim *simulation) submit(at time.Time, j *job) {
	if sim.correctSizes && sim.estimator != nil {
		j.task.Resources = sim.estimator.Size(j.task, sim.capacityFor(&j.task))
	}
	for i := range max(j.task.GangSize, 1) {
		member := *j
		member.task.ID.Index = i
		sim.enqueue(at, &member)
	}
}

// capacityFor returns the capacity of the smallest worker that has the
// accelerators of the task.
func (sim *simulation) capacityFor(task *placement.Task) workload.Resources {
	for _, v := range sim.fleet.vms { // Workers without accelerators come first.
		if task.Resources.Accelerators <= v.Capacity.Accelerators {
			return v.Capacity
		}
	}
	return task.Resources
}

func (sim *simulation) enqueue(at time.Time, j *job) {
	var rejection *placement.Rejection
	sim.timed(func() { rejection = sim.engine.Enqueue(at, j.task) })
	if rejection != nil {
		sim.metrics.kind(j.task.Kind).rejected++
		return
	}
	sim.jobs[j.task.ID] = j
	sim.metrics.waiting++
}

// handle handles one event. Events of earlier attempts are ignored.
func (sim *simulation) handle(e event) {
	j := e.job
	if e.attempt != j.task.ID.Attempt {
		return
	}
	switch e.eventType {
	case eventUsage:
		if sim.fleet.vmOf(&j.task) != nil {
			sim.reportUsage(e.at, j)
		}
	case eventEnd:
		if sim.fleet.vmOf(&j.task) == nil {
			return
		}
		sim.fleet.end(&j.task)
		j.vm.usage = j.vm.usage.Sub(j.usage)
		j.remaining -= e.at.Sub(j.startedAt)
		lag := time.Duration(sim.random.Int64N(int64(maxReportLag)))
		sim.addEvent(event{at: e.at.Add(lag), eventType: eventReport, job: j, attempt: e.attempt, outcome: e.outcome})
	case eventReport:
		sim.reportEnd(e)
	}
}

func (sim *simulation) reportUsage(at time.Time, j *job) {
	sim.addEvent(event{at: at.Add(usageInterval), eventType: eventUsage, job: j, attempt: j.task.ID.Attempt})
	if sim.estimator != nil {
		if advice := sim.estimator.RecordUsage(at, j.task.ID, j.usage, sim.preemptionOf(j.task.Kind)); advice.Verb != "" {
			sim.adviceCount++
		}
	}
}

func (sim *simulation) preemptionOf(kind string) placement.Verb {
	for _, k := range sim.policy.Kinds {
		if k.Name == kind {
			return k.Preemption
		}
	}
	return ""
}

// reportEnd reports an end to the engine and enqueues unfinished work again.
func (sim *simulation) reportEnd(e event) {
	j, id := e.job, e.job.task.ID
	sim.timed(func() { sim.engine.TaskEnded(e.at, id, e.outcome) })
	if sim.estimator != nil {
		sim.estimator.Ended(e.at, id, e.outcome)
	}
	if e.outcome == placement.Failed && sim.tracker != nil && !sim.failingQuarantined {
		sim.failedBeforeQuarantine++
	} else if e.outcome == placement.Failed {
		sim.failedAfterQuarantine++
	}
	if sim.tracker != nil {
		for _, d := range sim.tracker.Ended(e.at, j.task, j.vm.Name, e.outcome) {
			if d.Verb == placement.VerbQuarantine {
				sim.failingQuarantined = sim.failingQuarantined || d.Worker == sim.failingWorker
				sim.quarantined[d.Worker] = true
			}
		}
	}
	delete(sim.jobs, id)
	switch e.outcome {
	case placement.Completed:
		sim.metrics.recordCompletion(e.at, j)
		return
	case placement.Failed:
	default:
		sim.metrics.preempted++
	}
	if j.task.ID.Attempt+1 < maxAttempts || e.outcome != placement.Failed {
		j.task.ID.Attempt++
		j.preempted = false
		sim.enqueue(e.at, j)
	}
}

// decide runs one round: it calls Schedule until that returns fewer decisions
// than its limit.
func (sim *simulation) decide() {
	if sim.tracker != nil && sim.now.Sub(startTime)%time.Second == 0 {
		sim.tracker.Tick(sim.now)
	}
	for {
		var decisions []placement.Decision
		began := processorTime()
		sim.timed(func() { decisions = sim.engine.Schedule(sim.now, decisionsPerCall) })
		sim.metrics.recordCall(processorTime()-began, len(decisions))
		missingByGang := map[workload.Key]int{}
		for i := range decisions {
			sim.apply(&decisions[i], missingByGang)
		}
		for key, missing := range missingByGang {
			if missing != 0 {
				sim.fleet.recordViolation("gang %s started without %d of its tasks", key, missing)
			}
		}
		if len(decisions) < decisionsPerCall {
			break
		}
	}
	sim.metrics.sample(sim)
}

// apply carries out a decision. missingByGang counts, for each gang of which this
// call of Schedule starts a task, the tasks that it has not started yet.
func (sim *simulation) apply(d *placement.Decision, missingByGang map[workload.Key]int) {
	j := sim.jobs[d.Task.ID]
	if j == nil {
		sim.fleet.recordViolation("%s of unknown task %v", d.Verb, d.Task.ID)
		return
	}
	switch d.Verb {
	case placement.VerbStart:
		if d.Task.GangSize > 1 {
			if _, seen := missingByGang[d.Task.ID.Key]; !seen {
				missingByGang[d.Task.ID.Key] = d.Task.GangSize
			}
			missingByGang[d.Task.ID.Key]--
		}
		sim.start(j, d.Worker)
	case placement.VerbExpire:
		sim.metrics.waiting--
		sim.metrics.kind(j.task.Kind).expired++
		delete(sim.jobs, d.Task.ID)
	case placement.VerbStop, placement.VerbCheckpoint:
		sim.preempt(j, d.Verb)
	default:
		// Throttling has no effect on a simulated worker.
	}
}

func (sim *simulation) start(j *job, worker string) {
	sim.metrics.waiting--
	j.startedAt = sim.now
	if j.vm = sim.fleet.start(sim.now, &j.task, worker); j.vm == nil {
		return
	}
	j.vm.usage = j.vm.usage.Add(j.usage)
	sim.metrics.recordStart(sim.now, j)
	if sim.estimator != nil {
		sim.estimator.Started(sim.now, j.task)
	}
	end := event{at: sim.now.Add(j.remaining), eventType: eventEnd, job: j, attempt: j.task.ID.Attempt, outcome: placement.Completed}
	if worker == sim.failingWorker {
		end.at, end.outcome = sim.now.Add(failureRunTime), placement.Failed
	}
	sim.addEvent(end)
	if j.usage != j.task.Resources {
		sim.addEvent(event{at: sim.now.Add(usageInterval), eventType: eventUsage, job: j, attempt: j.task.ID.Attempt})
	}
}

// preempt ends a running task early. A checkpointed task keeps its progress; a
// stopped one starts over.
func (sim *simulation) preempt(j *job, verb placement.Verb) {
	if j.preempted || sim.fleet.vmOf(&j.task) == nil {
		return
	}
	j.preempted = true
	end := event{at: sim.now.Add(checkpointDuration), eventType: eventEnd, job: j, attempt: j.task.ID.Attempt, outcome: placement.Checkpointed}
	if verb == placement.VerbStop {
		end.at, end.outcome = sim.now.Add(stopDuration), placement.Stopped
		// The end event subtracts the time run; adding it here restores the full
		// run time.
		j.remaining += end.at.Sub(j.startedAt)
	}
	sim.addEvent(end)
}

// randomFactor returns a random factor between 1/factor and factor, uniform on a
// logarithmic scale.
func randomFactor(random *rand.Rand, factor float64) float64 {
	return math.Pow(factor, 2*random.Float64()-1)
}
