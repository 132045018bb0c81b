// Package shard makes the scheduling decisions for one shard of a service: which
// jobs are accepted, which task starts when on which worker, how the reports of
// workers are handled, and what must be stored before a caller is answered.
//
// A Shard has no sockets, goroutines, clock or random source. Its caller passes in
// events and the time, carries out the commands that TakeCommands returns, and
// appends the records that TakeBatch returns to the platform's log.
//
// # Usage
//
//	s := shard.New(shard.Options{Service: "claim-review", Epoch: 7, Lease: 6 * time.Second})
//	s.Load(now, records)               // what former leaders stored
//	s.SetWorkers(now, workers)         // the list of workers
//	result := s.Accept(now, id, terms, spec)
//	s.Tick(now)
//	commands := s.TakeCommands()       // starts, stops, polls, advice requests, stored jobs
//	batch := s.TakeBatch(now)          // append it, then
//	s.BatchStored(now)
//
// A task waits until it gets a run. A run is starting until the worker has answered
// the start order, and then running; without an answer it is uncertain. It occupies
// its resources until the worker's list of runs, a confirmed stop or the end of the
// lease shows that it is over. When a worker reports a run as ended, its resources
// are free at once, but the result is acknowledged to the worker only after its
// effect is stored.
//
// The process that runs a shard is its leader. A new leader first polls each worker
// with its own fencing token. It starts no task of a stored job until it has read all
// workers that may run something, or every lease that a former leader can have
// granted has ended. LimitLeases applies the former leader's report of these leases, and
// FormerLeaderEnded the proof that a former leader grants no more.
package shard

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// runNumbersPerEpoch is the number of run numbers of a task that belong to each
	// epoch. So run numbers rise from leader to leader without a record of each
	// start.
	runNumbersPerEpoch = 1 << 16
	// slowestClockRate is the speed of the slowest clock of a worker that the platform
	// contract allows.
	slowestClockRate = 0.98
	// LeaseDriftFactor is the ratio of the longest actual duration of a lease to its
	// nominal one.
	LeaseDriftFactor = 1 / slowestClockRate
	// orderTransitTime is an upper bound of the transit time of an order to a worker: the
	// slowest link takes 30 ms, and the order may wait in a queue before it is sent.
	orderTransitTime = 250 * time.Millisecond
	// forgetWorkerAfter is how long the state of an unlisted worker without runs is
	// kept: twice the 2 s after which the platform counts a worker as gone.
	forgetWorkerAfter = 4 * time.Second
	// forgetResultsAfter is how long an unlisted worker is kept whose handled results may
	// not be acknowledged.
	forgetResultsAfter = time.Minute
	// recordedAddressDelay is the time after Load at which recorded workers are polled
	// although the list of workers hasn't been read.
	recordedAddressDelay = time.Second
	// retentionMargin is how long final states are kept beyond
	// Options.FinalStateRetention.
	retentionMargin = 30 * time.Second
)

// Shard is the scheduling state of one shard. It is not safe for concurrent use.
type Shard struct {
	options  Options
	loadedAt time.Time

	jobs       map[string]*jobState
	activeJobs []*jobState // not ended, or with runs left; in order of acceptance
	// readySteps holds the steps that may have tasks to start.
	readySteps  map[*step]bool
	waitingJobs map[string]int // by queue: accepted jobs that have not started
	openTasks   int            // tasks of all occurrences that are kept

	workers       map[string]*worker
	sortedWorkers []*worker // by ID
	waitingWork   backlog
	waitingAdvice adviceBacklog
	// allowedShares is the share of workers that the adviser allows, by queue.
	allowedShares map[string]float64
	// seenCapacities are the capacities of all workers ever listed, without those that are
	// at most as large as another one.
	seenCapacities []job.Demand
	// workersToRead holds the IDs of the workers that a former leader recorded. Their
	// lists of runs must be read before tasks of stored jobs may start.
	workersToRead map[string]bool
	recovered     bool // all runs of former leaders are known or over
	listRead      bool // SetWorkers was called
	// formerLeaders are the leaders that may still act at Load.
	formerLeaders []formerLeader
	// formerLeadersOver means that the next leader needs to consider no former leader, and
	// formerLeadersUnrecorded that no batch contains the record of it yet.
	formerLeadersOver       bool
	formerLeadersUnrecorded bool

	dirtyJobs        []*jobState
	dirtyWorkers     []*worker
	deletedKeys      []string
	inFlightJobs     []*jobState
	inFlightWorkers  []*worker
	batchInFlight    bool
	maxBatchBytes    int // the size above which a batch takes no more jobs
	unrecordedTrials []*run
	inFlightTrials   []*run // in the batch that is being stored
	endedTrials      []*run // whose end isn't stored
	inFlightEnds     []*run // whose end is in the batch that is being stored
	// deletedWorkers and inFlightDeletedWorkers are the numbers of workers whose record is
	// deleted by the next batch, and by the one that is being stored.
	deletedWorkers, inFlightDeletedWorkers int
	undeletedWorkers                       int // see SetUndeletedWorkerRecords

	commands         Commands
	authority        bool      // this process can still prove that it is the leader
	confirmedAt      time.Time // see SetConfirmed
	leaseBasis       time.Time // see SetLeaseBasis
	shortAdviceLimit int
	shortAdviceCalls int
	longAdviceLimit  int
	longAdviceCalls  int
	placementChanged bool // a change may have made a start possible since the last pass
	lastCleanup      time.Time
	lastRunCheck     time.Time
	lastSpeedCheck   time.Time
	lastPass         time.Time
	evaluations      int // workers that placement passes evaluated for steps
	runChecks        int // checks of all runs
	longRunningWaits longRunningWaits
	// unsettledLoggedAt is when that was last logged.
	unsettledLoggedAt time.Time
}

// jobState is the state of one job.
type jobState struct {
	id         string
	accepted   job.Accepted
	acceptedAt time.Time
	// loaded means that the job comes from the store: a former leader may have
	// started its tasks.
	loaded               bool
	state                job.State
	storedState          job.State // the state in the store
	durable              bool      // the acceptance is stored
	endedAt              time.Time
	started              bool // a task of the job is running or has run, or the job has ended
	occurrences          []*occurrence
	completedOccurrences map[int]bool // by number
	nextOccurrence       int          // number of the next occurrence to create
	dirty                bool
	unwrittenAcceptance  []byte    // the encoded acceptance record until a batch contains it
	inFlightState        job.State // the state in the batch that is being stored
	storesProgress       bool      // its progress is stored although its state is job.Queued
	runCount             int       // runs of its tasks that aren't over
	acceptanceDeleted    bool      // only the final state is kept
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	job       *jobState
	number    int
	due       time.Time
	steps     []*step
	openSteps int // steps that aren't complete
}

// step is the state of one step of an occurrence.
type step struct {
	occurrence       *occurrence
	number           int
	spec             *job.Step
	tasks            []*task
	doneTasks        int
	openDependencies int // steps in spec.After that aren't complete
	complete         bool
	// endedHere means that this leader saw a run of the step before it ended as done,
	// and that no former leader can know of this end.
	endedHere    bool
	advice       advice
	criticalPath time.Duration // estimated duration of the longest chain of steps that begins with this one
	readyAt      time.Time
	// checkpointRun is the number of the last run of a gang. Checkpoints of earlier ones
	// are ignored.
	checkpointRun int64
	// stallTimeout is the stall timeout that runs of the step have shown to be needed, see
	// learnStallTimeout; 0 if none has.
	stallTimeout time.Duration
	// lastExplained is when the reason why the step waits was last logged.
	lastExplained time.Time
}

// task is the state of one task of a step.
type task struct {
	step            *step
	index           int
	done            bool
	failures        int
	failedRuns      []int64 // of a gang with a limit of attempts: numbers of the runs in failures
	checkpoint      string  // of a gang in its first task, see newestCheckpoint
	lastRunNumber   int64   // highest run number so far
	runs            []*run
	avoidWorker     string    // ID of the worker on which a run failed, or was stopped as stalled or slow
	lastWorker      string    // ID of the worker of the last run that is over; only logged
	notBefore       time.Time // the earliest time of the next start
	waitingSince    time.Time // when it was last requeued
	moveCount       int       // number of moves off slow workers
	unmeasuredStall bool      // a run was stopped as stalled before its speed was measured
	suspected       bool      // it may be a poison task, see crash.go
	crashes         int       // workers that crashed under a run whose start was confirmed
	trialCrashes    int       // workers that crashed under a trial
	crashedRun      int64     // number of the last run under which a crash was counted
	lostTrials      int       // trials whose worker was lost, with or without a crash
	lostTrial       int64     // run number of the last one
}

// phase is the stage of a run between its start order and its end.
type phase int

const (
	phaseStarting phase = iota // the start order is in flight
	phaseRunning
	phaseUncertain // the start order may or may not have been carried out
	phaseStopping  // a stop was ordered
)

// run is one execution of a task on a worker.
type run struct {
	task          *task
	number        int64
	worker        *worker
	phase         phase
	orderedAt     time.Time // when the first start order was sent
	startedAt     time.Time // when the start was confirmed
	startAttempts int
	// orderExpiresAt is the end of the longest lease that a start order of the run carries, on
	// the worker's clock. The worker refuses the order from then on.
	orderExpiresAt  time.Duration
	stopSentAt      time.Time
	stopConfirmedAt time.Time // when the worker confirmed a stop
	percent         float64
	firstPercent    float64 // percent at the first progress report
	firstPercentAt  time.Time
	slowness        float64   // projected run time as a multiple of the estimate; 0 if unknown
	progressedAt    time.Time // last increase of percent
	provedAt        time.Time // last proof of progress: an increase of percent or another checkpoint
	checkpoint      string    // the one that it started with, or a report showed last
	madeCheckpoint  bool      // a report has shown another one than it started with, or it was adopted with one
	// mayJump means that the next increase of percent may be a jump, to what a checkpoint
	// restored or to the percent of an adopted run.
	mayJump bool
	// measuredFrom and measuredFromPercent are the first increase of percent that is no
	// jump, or the start of a run without a checkpoint, and percentTime is the mean time of
	// a percent since then. They are zero if unknown.
	measuredFrom        time.Time
	measuredFromPercent float64
	percentTime         time.Duration
	ticket              string
	stopRequested       bool
	usage               float64 // tail latency or CPU use, see RunStatus.Usage
	pace                int     // speed in percent that was ordered last, or paceUnknown
	survivedStart       bool    // it was reported startupPeriod after its start, or adopted
	trial               bool    // of a suspected task
	unsent              bool    // a trial whose start order has not been sent
	loaded              bool    // a trial that a former leader stored and no report has shown
	lossRecorded        bool    // recordLoss has handled the loss of its worker
	// readyAt is when a report first showed a long-running run at 100 percent, and
	// provedWorker means that one showed it provenAfter later.
	readyAt      time.Time
	provedWorker bool
	// leaseHeldUntil is the earliest end of the lease of its first start order, if the
	// worker got that.
	leaseHeldUntil time.Time
}

// New returns an empty shard. Call Load before any other method.
func New(options Options) *Shard {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	return &Shard{
		options: options, jobs: map[string]*jobState{}, readySteps: map[*step]bool{}, waitingJobs: map[string]int{},
		workers: map[string]*worker{}, workersToRead: map[string]bool{}, allowedShares: map[string]float64{}, authority: true, shortAdviceLimit: 1, longAdviceLimit: 1,
		maxBatchBytes: defaultMaxBatchBytes,
	}
}

// name returns the name of the task in orders to workers.
func (t *task) name() string {
	s := t.step
	return s.occurrence.job.id + "." + strconv.Itoa(s.occurrence.number) + "." + strconv.Itoa(s.number) + "." + strconv.Itoa(t.index)
}

func (st *step) name() string {
	return st.occurrence.job.id + "." + strconv.Itoa(st.occurrence.number) + "." + strconv.Itoa(st.number)
}

// taskKey is a parsed task name.
type taskKey struct {
	jobID                   string
	occurrence, step, index int
}

// parseTask parses a task name in the form that task.name returns.
func parseTask(name string) (taskKey, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskKey{}, fmt.Errorf("task %q: the name doesn't have four parts", name)
	}
	key := taskKey{jobID: parts[0]}
	for i, into := range []*int{&key.occurrence, &key.step, &key.index} {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return taskKey{}, fmt.Errorf("task %q: %w", name, err)
		}
		*into = number
	}
	return key, nil
}

// findTask returns the task of a key, or nil if there is none.
func (s *Shard) findTask(key taskKey) *task {
	j := s.jobs[key.jobID]
	if j == nil {
		return nil
	}
	o := j.findOccurrence(key.occurrence)
	if o == nil || key.step < 0 || key.step >= len(o.steps) {
		return nil
	}
	if st := o.steps[key.step]; key.index >= 0 && key.index < len(st.tasks) {
		return st.tasks[key.index]
	}
	return nil
}

// restoreTask returns the task of a key that a worker reports. If a former leader
// created its occurrence and this one has not, it creates the occurrence.
func (s *Shard) restoreTask(now time.Time, key taskKey) *task {
	j := s.jobs[key.jobID]
	if j == nil || j.acceptanceDeleted || key.occurrence < 0 || key.occurrence >= j.accepted.Spec.Occurrences() || j.completedOccurrences[key.occurrence] {
		return nil
	}
	if j.findOccurrence(key.occurrence) == nil {
		s.createOccurrence(now, j, key.occurrence)
		if j.state.Ended() {
			s.removeReadySteps(j)
		}
	}
	return s.findTask(key)
}

// findOccurrence returns the occurrence with this number, or nil if it isn't created.
func (j *jobState) findOccurrence(number int) *occurrence {
	for _, o := range j.occurrences {
		if o.number == number {
			return o
		}
	}
	return nil
}

// openTaskCount returns the number of tasks of the occurrences that aren't complete.
func (j *jobState) openTaskCount() int {
	count := 0
	for _, o := range j.occurrences {
		if !j.completedOccurrences[o.number] {
			count += o.taskCount()
		}
	}
	return count
}

func (o *occurrence) taskCount() int {
	count := 0
	for _, st := range o.steps {
		count += len(st.tasks)
	}
	return count
}

// hasRuns reports whether a task of the occurrence has a run.
func (o *occurrence) hasRuns() bool {
	for _, st := range o.steps {
		for _, t := range st.tasks {
			if len(t.runs) > 0 {
				return true
			}
		}
	}
	return false
}

// removeOccurrences removes those occurrences of a job for which remove is true.
func (s *Shard) removeOccurrences(j *jobState, remove func(*occurrence) bool) {
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool {
		if !remove(o) {
			return false
		}
		s.openTasks -= o.taskCount()
		return true
	})
}

// SetAuthority sets whether this process can still prove that it leads the shard. If
// it can't, the shard accepts no jobs, starts no tasks and renews no leases.
func (s *Shard) SetAuthority(held bool) {
	if held != s.authority {
		s.options.Log("authority", "service", s.options.Service, "has", held)
	}
	s.authority = held
	s.placementChanged = true
}

// SetConfirmed sets the latest time at which this process is known to have been the
// leader: when it sent the last call that the store accepted from it.
func (s *Shard) SetConfirmed(at time.Time) { s.confirmedAt = maxTime(s.confirmedAt, at) }

// SetAdviceSlots sets how many advice calls may be in flight at once: short ones,
// which take at most MaxShortAdvice, and long ones.
func (s *Shard) SetAdviceSlots(short, long int) {
	s.shortAdviceLimit, s.longAdviceLimit = max(1, short), max(1, long)
}

// State returns the state of a job for its caller. Jobs whose acceptance isn't stored
// yet are unknown.
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

// Waiting returns the number of accepted jobs of a queue none of whose tasks has
// started.
func (s *Shard) Waiting(queue string) int { return s.waitingJobs[queue] }

// createOccurrence creates the steps and tasks of an occurrence.
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
			st.tasks = append(st.tasks, &task{step: st, index: index, lastRunNumber: (s.options.Epoch - 1) * runNumbersPerEpoch})
		}
		o.steps = append(o.steps, st)
	}
	o.openSteps = len(o.steps)
	for i := len(o.steps) - 1; i >= 0; i-- {
		st := o.steps[i]
		longest := time.Duration(0)
		for _, later := range o.steps[i+1:] {
			for _, dependency := range later.spec.After {
				if dependency == i {
					longest = max(longest, later.criticalPath)
				}
			}
		}
		st.criticalPath = longest + st.spec.Estimate
	}
	j.occurrences = append(j.occurrences, o)
	s.openTasks += o.taskCount()
	for _, st := range o.steps {
		if st.openDependencies == 0 {
			s.markReady(now, st)
		}
	}
}

// wallSince returns the time from then to now by the wall clock. It ignores monotonic
// clock readings, as the two times may come from different processes.
func wallSince(now, then time.Time) time.Duration { return now.Round(0).Sub(then.Round(0)) }

func (s *Shard) markReady(now time.Time, st *step) {
	st.readyAt = now
	s.readySteps[st] = true
	s.placementChanged = true
}

// criticalPathOf returns the estimated duration of the longest chain of dependent
// steps.
func criticalPathOf(spec *job.Spec) time.Duration {
	paths := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i := range spec.Steps {
		for _, dependency := range spec.Steps[i].After {
			paths[i] = max(paths[i], paths[dependency])
		}
		paths[i] += spec.Steps[i].Estimate
		longest = max(longest, paths[i])
	}
	return longest
}

// objective returns the time after its due time within which an occurrence of the job
// has to end to be on time. A job that isn't repeated is due on acceptance.
func (j *jobState) objective() time.Duration {
	return objectiveOf(&j.accepted.Terms, criticalPathOf(&j.accepted.Spec))
}

// objectiveOf returns the objective of a job with this critical path.
func objectiveOf(terms *job.Terms, criticalPath time.Duration) time.Duration {
	// A float that doesn't fit would be converted to any integer.
	stretched := min(terms.Stretch*float64(criticalPath), float64(maxObjective))
	return time.Duration(max(0, stretched)) + min(max(0, terms.Target), maxObjective)
}

// maxObjective bounds both parts of an objective, so that worthlessFactor times their
// sum doesn't overflow.
const maxObjective = 10 * 366 * 24 * time.Hour

func (s *Shard) sortWorkers() {
	s.sortedWorkers = s.sortedWorkers[:0]
	for _, w := range s.workers {
		s.sortedWorkers = append(s.sortedWorkers, w)
	}
	sort.Slice(s.sortedWorkers, func(i, j int) bool { return s.sortedWorkers[i].ID < s.sortedWorkers[j].ID })
}

// Explain describes the state of a job for the log.
func (s *Shard) Explain(id string) string {
	j := s.jobs[id]
	if j == nil {
		return "no such job"
	}
	return fmt.Sprintf("state=%s stored=%s durable=%t runs=%d", j.state, j.storedState, j.durable, j.runCount)
}
