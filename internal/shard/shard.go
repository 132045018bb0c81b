// Package shard decides for one service: which jobs are taken in, which task
// starts on which worker and when, what a worker's report means, and what has
// to be stored before anybody is told.
//
// A Shard has no socket, goroutine, clock or random source. Its owner feeds it
// with inputs and the time, carries out the commands that Take returns, and
// appends the records that TakeBatch returns to the platform's log.
//
// # Usage
//
//	s := shard.New(shard.Options{Service: "claim-review", Epoch: 7, Lease: 6 * time.Second})
//	s.Load(now, records)               // what former holders stored
//	s.SetWorkers(now, workers)         // the list of workers
//	verdict := s.Accept(now, id, terms, spec)
//	s.Tick(now)
//	commands := s.Take()               // starts, stops, holds, advice, settled jobs
//	batch := s.TakeBatch(now)          // append it, then
//	s.Stored(now)
//
// The life of a task: waiting, then a run that is ordered, running, and over.
// A run whose order had no answer is in doubt; it takes its room until its
// worker's list, a confirmed stop or the end of its lease shows that it is
// over. What a worker lists as ended frees its room at once, but the worker is
// told to forget the end only after its meaning is stored.
//
// A new holder first reads each worker's list under its own fence. Until all
// workers that may run something were read, or every lease that a former
// holder can have given is over, it starts no task that it found in the store.
package shard

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// runNumbersPerEpoch separates the run numbers of successive holders, so that
	// numbers rise without a record for each start.
	runNumbersPerEpoch = 1 << 16
	// LeaseDriftFactor covers a worker's clock that is 2% slow (platform contract).
	LeaseDriftFactor = 1.02
	// orderTransitTime covers the way of an order to the worker: the slowest
	// link's 30 ms and a queue in front of it.
	orderTransitTime = 250 * time.Millisecond
	// forgetWorkerAfter keeps an unlisted worker that has nothing left to end,
	// for the two seconds after which the platform counts it as gone, twice.
	forgetWorkerAfter = 4 * time.Second
	// retentionMargin is added to the time for which a final state is kept.
	retentionMargin = 30 * time.Second
)

// Options describe a shard and the platform's limits.
type Options struct {
	Service string
	// Epoch is the holder's number; it rises with each holder.
	Epoch int64
	// Lease is how long a worker keeps running without a word of the holder.
	Lease time.Duration
	// OrphanTimeout is the time from the first input after which no run of a
	// former holder can be left on a worker that could not be reached.
	OrphanTimeout time.Duration
	// FinalStateRetention is how long a final state is told to callers.
	FinalStateRetention time.Duration
	// Log takes one line for each decision; nil drops them.
	Log func(event string, keyvals ...any)
}

// Shard is the decision state of one service.
type Shard struct {
	options  Options
	loadedAt time.Time

	jobs   map[string]*jobState
	active []*jobState // not ended, or with runs left; in order of intake
	// readySteps holds the steps with tasks to start.
	readySteps  map[*step]bool
	waitingJobs map[string]int // by queue: accepted jobs of which nothing began

	workers       map[string]*worker
	sortedWorkers []*worker // by ID
	backlog       backlog
	// allowedShares are the shares of workers that the adviser allowed, by queue.
	allowedShares map[string]float64
	// seenCapacities are the different capacities of all workers ever listed.
	seenCapacities []job.Demand
	// workersToRead are workers of a former holder's record that must be read before
	// its tasks may start.
	workersToRead map[string]bool
	recovered     bool

	dirtyJobs       []*jobState
	dirtyWorkers    []*worker
	deletedKeys     []string
	inFlightJobs    []*jobState
	inFlightWorkers []*worker
	batchInFlight   bool

	commands         Commands
	authority        bool
	shortCallLimit   int
	shortCalls       int
	longCallLimit    int
	longCalls        int
	placementChanged bool
	lastCleanup      time.Time
	lastSpeedCheck   time.Time
	lastPass         time.Time
}

// jobState is one job.
type jobState struct {
	id         string
	accepted   job.Accepted
	acceptedAt time.Time
	// loaded jobs come from the store: a former holder may have started them.
	loaded          bool
	state           job.State
	storedState     job.State // as stored
	durable         bool      // the intake is stored
	endedAt         time.Time
	started         bool
	occurrences     []*occurrence
	completed       map[int]bool
	nextOccurrence  int // the next occurrence to create
	dirty           bool
	acceptUnwritten bool
	inFlightState   job.State
	runCount        int
	acceptDeleted   bool
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job       *jobState
	number    int
	due       time.Time
	steps     []*step
	openSteps int // steps that aren't done
}

// step is one step of an occurrence.
type step struct {
	occurrence       *occurrence
	number           int
	spec             *job.Step
	tasks            []*task
	doneTasks        int
	openDependencies int // steps in spec.After that aren't done
	complete         bool
	advice           advice
	criticalPath     time.Duration // shortest time from this step's start to the end of the job
	readyAt          time.Time
	// lastExplained is when a line last said why the step waits.
	lastExplained time.Time
}

// task is one task of a step.
type task struct {
	step        *step
	index       int
	done        bool
	failures    int
	checkpoint  string
	lastRun     int64
	runs        []*run
	avoidWorker string // worker of the last failure
	notBefore   time.Time
	moveCount   int // away from slow workers
}

// phase is where a run is.
type phase int

const (
	phaseStarting phase = iota // the order is on its way
	phaseRunning
	phaseUncertain // the order had no answer
	phaseStopping
)

// run is one start of a task.
type run struct {
	task            *task
	number          int64
	worker          *worker
	phase           phase
	orderedAt       time.Time
	startedAt       time.Time
	startAttempts   int
	stopSentAt      time.Time
	stopConfirmedAt time.Time // a stop was answered
	percent         float64
	firstPercent    float64 // percent at the first report
	firstPercentAt  time.Time
	slowness        float64 // its time by its progress, as a multiple of its estimate; 0 if unknown
	progressedAt    time.Time
	ticket          string
	stopRequested   bool    // a stop is wanted
	usage           float64 // as the worker reports it: the tail in milliseconds of a serving task
	pace            int     // the pace that was ordered last
}

// New returns a shard that knows nothing yet.
func New(options Options) *Shard {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	return &Shard{
		options: options, jobs: map[string]*jobState{}, readySteps: map[*step]bool{}, waitingJobs: map[string]int{},
		workers: map[string]*worker{}, workersToRead: map[string]bool{}, allowedShares: map[string]float64{}, authority: true, shortCallLimit: 1, longCallLimit: 1,
	}
}

// Name returns the task's name towards workers.
func (t *task) name() string {
	s := t.step
	return s.occurrence.job.id + "." + strconv.Itoa(s.occurrence.number) + "." + strconv.Itoa(s.number) + "." + strconv.Itoa(t.index)
}

func (st *step) name() string {
	return st.occurrence.job.id + "." + strconv.Itoa(st.occurrence.number) + "." + strconv.Itoa(st.number)
}

// taskKey is a parsed task name.
type taskKey struct {
	id                      string
	occurrence, step, index int
}

func parseTask(name string) (taskKey, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskKey{}, fmt.Errorf("task %q: want four parts", name)
	}
	key := taskKey{id: parts[0]}
	for i, into := range []*int{&key.occurrence, &key.step, &key.index} {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return taskKey{}, fmt.Errorf("task %q: %w", name, err)
		}
		*into = number
	}
	return key, nil
}

// findTask returns the task of a key, nil if there is none.
func (s *Shard) findTask(key taskKey) *task {
	j := s.jobs[key.id]
	if j == nil {
		return nil
	}
	for _, o := range j.occurrences {
		if o.number == key.occurrence && key.step >= 0 && key.step < len(o.steps) {
			if st := o.steps[key.step]; key.index >= 0 && key.index < len(st.tasks) {
				return st.tasks[key.index]
			}
		}
	}
	return nil
}

// SetAuthority tells whether the holder still has proof of its right. Without
// it the shard starts nothing and extends no lease.
func (s *Shard) SetAuthority(has bool) {
	if has != s.authority {
		s.options.Log("authority", "service", s.options.Service, "has", has)
	}
	s.authority = has
	s.placementChanged = true
}

// SetAdviceSlots tells how many calls for advice may be on their way at once:
// those of at most QuickAdvice, and longer ones.
func (s *Shard) SetAdviceSlots(quick, slow int) {
	s.shortCallLimit, s.longCallLimit = max(1, quick), max(1, slow)
}

// State returns what a caller is told about a job.
func (s *Shard) State(id string) (state job.State, known bool) {
	j := s.jobs[id]
	if j == nil || !j.durable {
		return "", false
	}
	if j.storedState == job.Queued && j.started {
		return job.Running, true
	}
	return j.storedState, true
}

// Waiting returns the number of a queue's accepted jobs that haven't begun.
func (s *Shard) Waiting(queue string) int { return s.waitingJobs[queue] }

// createOccurrence builds the occurrence's steps.
func (s *Shard) createOccurrence(now time.Time, j *jobState, number int) {
	o := &occurrence{job: j, number: number, due: now}
	if j.accepted.Spec.Repeat > 0 {
		o.due = now.Add(-wallSince(now, j.accepted.Spec.Due(number)))
	} else {
		o.due = j.acceptedAt
	}
	for i := range j.accepted.Spec.Steps {
		spec := &j.accepted.Spec.Steps[i]
		st := &step{occurrence: o, number: i, spec: spec, openDependencies: len(spec.After)}
		for index := range spec.Count {
			st.tasks = append(st.tasks, &task{step: st, index: index, lastRun: (s.options.Epoch - 1) * runNumbersPerEpoch})
		}
		o.steps = append(o.steps, st)
	}
	o.openSteps = len(o.steps)
	for i := len(o.steps) - 1; i >= 0; i-- {
		st := o.steps[i]
		longest := time.Duration(0)
		for _, later := range o.steps[i+1:] {
			for _, after := range later.spec.After {
				if after == i {
					longest = max(longest, later.criticalPath)
				}
			}
		}
		st.criticalPath = longest + st.spec.Estimate
	}
	j.occurrences = append(j.occurrences, o)
	for _, st := range o.steps {
		if st.openDependencies == 0 {
			s.markReady(now, st)
		}
	}
}

// wallSince compares times of day, without the steady clock.
func wallSince(now, then time.Time) time.Duration { return now.Round(0).Sub(then.Round(0)) }

func (s *Shard) markReady(now time.Time, st *step) {
	st.readyAt = now
	s.readySteps[st] = true
	s.placementChanged = true
}

// criticalPathOf is the longest chain of a job's steps by their estimates.
func criticalPathOf(spec *job.Spec) time.Duration {
	chains := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i := range spec.Steps {
		for _, after := range spec.Steps[i].After {
			chains[i] = max(chains[i], chains[after])
		}
		chains[i] += spec.Steps[i].Estimate
		longest = max(longest, chains[i])
	}
	return longest
}

// objective is the time that a job has from its arrival to count as on time.
func (j *jobState) objective() time.Duration {
	return objectiveOf(&j.accepted.Terms, criticalPathOf(&j.accepted.Spec))
}

// objectiveOf is the objective of a job whose longest chain takes so long.
func objectiveOf(terms *job.Terms, chain time.Duration) time.Duration {
	return time.Duration(terms.Stretch*float64(chain)) + terms.Target
}

func (s *Shard) sortWorkers() {
	s.sortedWorkers = s.sortedWorkers[:0]
	for _, w := range s.workers {
		s.sortedWorkers = append(s.sortedWorkers, w)
	}
	sort.Slice(s.sortedWorkers, func(i, j int) bool { return s.sortedWorkers[i].ID < s.sortedWorkers[j].ID })
}

// Explain describes what the shard holds of a job, for the log.
func (s *Shard) Explain(id string) string {
	j := s.jobs[id]
	if j == nil {
		return "no such job"
	}
	return fmt.Sprintf("state=%s visible=%s durable=%t runs=%d", j.state, j.storedState, j.durable, j.runCount)
}
