package shard_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// This file simulates the store, the workers, the adviser and the callers of a shard in
// virtual time. Whether the shard keeps its rules is checked from their point of view.

const (
	// tickLength is the usual time of a tick; the longest that a shard allows is 50 ms.
	tickLength = 10 * time.Millisecond
	taskLease  = 6 * time.Second
	// maxWorkerLease is the longest lease that a worker grants itself.
	maxWorkerLease = 10 * time.Second
	// orphanTimeout covers the 10 s without a confirmation after which a former leader
	// loses its authority, and the last lease that it granted.
	orphanTimeout = 10*time.Second + 6500*time.Millisecond
	// orphanTimeoutAfterCrash covers only that lease. It applies if the former leader is
	// known to have crashed.
	orphanTimeoutAfterCrash = 6500 * time.Millisecond
	// orphanTimeoutAfterRelease covers that lease and the second for which a leader that
	// released its leadership acts without a confirmation.
	orphanTimeoutAfterRelease = time.Second + orphanTimeoutAfterCrash
	maxUnwitnessedAge         = time.Second
	maxWitnessAge             = 2 * time.Second
	// maxFormers is the number of former leaders that a new leader knows.
	maxFormers     = 3
	gangTimeout    = 3 * time.Second // how long a worker waits for the other members of a gang
	ticketLifetime = 2 * time.Second
)

// modelJob is the simulation's state of a submitted job.
type modelJob struct {
	id                string
	spec              job.Spec
	terms             job.Terms
	runTimes          []time.Duration // by step
	alwaysFails       bool
	standingFailsIn   time.Duration // least time after which a long-running run fails, which may be three times as long; 0 means never
	cancelledAt       time.Duration // when the cancellation was acknowledged to the caller
	cancelRequestedAt time.Duration
	accepted          bool
	doneTasks         map[string]bool          // by task name: a run ended as done
	doneHandledAt     map[string]time.Duration // by task name: when the leader acknowledged the result
	handledFailures   map[string]int           // by task name: failed runs whose result the leader acknowledged
	handledFailedRuns map[shard.RunKey]bool    // the same runs
	lastStarts        map[string]time.Duration // by task name
	madeCheckpoints   map[string]bool
	gangCheckpoints   map[shard.RunKey]string // by step name and run number: what the members of a gang start with
	// poisonTasks crash each worker that starts them. crashes counts the workers that
	// crashed under a task, otherCrashes those that no poison task crashed, and
	// startsAfterCrashes the starts after crashesBeforeBudget crashes.
	poisonTasks        map[string]bool
	crashes            map[string]int
	otherCrashes       map[string]int
	startsAfterCrashes map[string]int
}

const (
	// After crashesBeforeBudget crashes under a task, maxStartsAfterCrashes starts of it
	// break the platform contract.
	crashesBeforeBudget   = 3
	maxStartsAfterCrashes = 3
)

// message is a call, an answer or a timeout that takes effect at a later time.
type message struct {
	at        time.Duration
	recipient *instance // nil if it is for a worker, the store or the simulation itself
	deliver   func(now time.Time)
}

type simulation struct {
	onLog           func(event string, keyvals []any) // called for each event that a leader logs
	t               testing.TB
	random          *rand.Rand
	startTime       time.Time
	now             time.Duration
	workers         []*modelWorker
	jobs            map[string]*modelJob
	jobIDs          []string
	store           map[string][]byte
	epoch           int64 // of the newest leader
	storeDown       bool
	batchCount      int // batches that were stored
	leader          *instance
	instances       []*instance
	messages        []message
	lostAnswerShare float64 // share of calls to workers whose answer is lost
	lateStartShare  float64 // share of start orders that arrive seconds late
	violations      []string
	startCount      int
	requireTickets  bool
	allowedShare    float64
	pollCount       int           // number of polls of workers
	stopTime        time.Duration // time that a worker takes to stop a run
	// maxBatchBytes is the size above which a leader's batch takes no more jobs; 0 means
	// the default.
	maxBatchBytes int
	// maxListedResults is how many results a worker lists in a report; 0 means all.
	maxListedResults int
	adviceCalls      int  // number of advice calls
	dropAdvice       bool // the adviser answers no more calls
	// adviserNodes holds when the adviser is done with the last call of each node that
	// makes calls. It is empty if calls don't wait for others.
	adviserNodes []time.Duration
	// adviserTime is the total expected time of the advice calls.
	adviserTime time.Duration
	// allowedShares are the shares of workers that the adviser allows, by queue name.
	// Other queues have allowedShare.
	allowedShares map[string]float64
	refusedCount  int
	// formerLeadersReport makes each new leader ask the former ones for their lease ends.
	formerLeadersReport bool
	// crashesUnknown means that a new leader doesn't know that the former one has crashed.
	crashesUnknown bool
	// leaseEndError is added to the times that former leaders report.
	leaseEndError time.Duration
	// onlyConcurrentRuns limits the checks of starts to two runs of a task at a time and to
	// the capacity of the worker. A former leader that still acts doesn't know the results
	// that the next one handles.
	onlyConcurrentRuns bool
	reportCount        int // reports of former leaders that new leaders received
	// newIDs means that a worker that a poison task crashed comes back with another ID.
	newIDs bool
	// crashLength is how long a worker that a poison task crashed is down, and refuses
	// means that its address refuses connections meanwhile.
	crashLength time.Duration
	refuses     bool
	// checkpointInterval is the work after which a run that saves its progress makes a
	// checkpoint.
	checkpointInterval time.Duration
	checkpointBytes    int // length of a checkpoint, if that is longer than usual
	// tickLength is the time of a tick, of which 400 ms is a multiple.
	tickLength time.Duration
	// onStart is called for each start on a worker, unless it is nil.
	onStart func(start shard.Start)
}

func newSimulation(t testing.TB, seed uint64, workers int, capacity job.Demand) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), startTime: time.Unix(1_700_000_000, 0), jobs: map[string]*modelJob{},
		store: map[string][]byte{}, allowedShare: 0.7, stopTime: 200 * time.Millisecond, crashLength: 3 * time.Second, tickLength: tickLength, checkpointInterval: 500 * time.Millisecond,
	}
	for range workers {
		sim.addWorker(capacity)
	}
	sim.replaceLeader()
	return sim
}

// addWorker adds a worker, which is listed at once.
func (sim *simulation) addWorker(capacity job.Demand) *modelWorker {
	i := len(sim.workers)
	added := &modelWorker{
		simulation: sim, id: fmt.Sprintf("i-%02d", i), capacity: capacity, incarnation: int64(i + 1), highestRunNumbers: map[string]int64{}, resultTimes: map[int64]time.Duration{}, listed: true, slowdown: 1, clockRate: 1,
	}
	sim.workers = append(sim.workers, added)
	return added
}

func (sim *simulation) time() time.Time { return sim.startTime.Add(sim.now) }

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%.2fs: ", sim.now.Seconds())+fmt.Sprintf(format, args...))
}

func (sim *simulation) schedule(delay time.Duration, recipient *instance, deliver func(now time.Time)) {
	sim.messages = append(sim.messages, message{sim.now + delay, recipient, deliver})
}

func (sim *simulation) latency() time.Duration {
	return time.Duration(1+sim.random.IntN(8)) * time.Millisecond
}

// replaceLeader makes a new instance the leader.
func (sim *simulation) replaceLeader() {
	sim.epoch += 1 + int64(sim.random.IntN(5))
	inst := &instance{simulation: sim, epoch: sim.epoch, leadershipConfirmedAt: sim.now}
	timeout, formers := orphanTimeout, sim.instances[max(0, len(sim.instances)-maxFormers):]
	var formerLeaders []shard.FormerLeader
	if len(formers) < maxFormers {
		formerLeaders = append(formerLeaders, shard.FormerLeader{})
	}
	for _, former := range formers {
		formerLeaders = append(formerLeaders, shard.FormerLeader{Epoch: former.epoch, LimitsLeases: true})
	}
	switch {
	case sim.leader == nil:
	case sim.leader.dead && !sim.crashesUnknown:
		timeout = orphanTimeoutAfterCrash
	case sim.leader.released:
		timeout = orphanTimeoutAfterRelease
	}
	inst.shard = shard.New(shard.Options{
		FormerLeaders: formerLeaders, ReplacedActsFor: timeout - orphanTimeoutAfterCrash, FormerActsFor: orphanTimeout - orphanTimeoutAfterCrash, FormerLease: orphanTimeoutAfterCrash,
		MaxUnwitnessedAge: maxUnwitnessedAge, MaxWitnessAge: maxWitnessAge,
		Service: "ledger", Epoch: inst.epoch, Lease: taskLease, MaxWorkerLease: maxWorkerLease, FinalStateRetention: 2 * time.Minute,
		Log: func(event string, keyvals ...any) {
			if os.Getenv("SHARD_LOG") != "" {
				sim.t.Log(sim.now, inst.epoch, event, keyvals)
			}
			if sim.onLog != nil {
				sim.onLog(event, keyvals)
			}
		},
	})
	records := make([]shard.Record, 0, len(sim.store))
	for key, value := range sim.store {
		records = append(records, shard.Record{Key: key, Value: value})
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	if sim.maxBatchBytes > 0 {
		inst.shard.LimitBatches(sim.maxBatchBytes)
	}
	inst.shard.Load(sim.time(), records)
	inst.shard.SetAdviceSlots(4, 4)
	if sim.formerLeadersReport {
		for _, former := range formers {
			inst.askFormerLeader(former, former == sim.leader)
		}
	}
	sim.leader = inst
	sim.instances = append(sim.instances, inst)
}

// limitBatches sets the size above which a leader's batch takes no more jobs.
func (sim *simulation) limitBatches(size int) {
	sim.maxBatchBytes = size
	sim.leader.shard.LimitBatches(size)
}

func (sim *simulation) workerList() []shard.WorkerInfo {
	var list []shard.WorkerInfo
	for i, worker := range sim.workers {
		if !worker.listed {
			continue
		}
		list = append(list, shard.WorkerInfo{
			ID: worker.id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Incarnation: worker.incarnation,
			Capacity: worker.capacity, Draining: worker.draining, Remaining: worker.leavesAt - sim.now, Labels: []string{"a", fmt.Sprintf("r%d", i/3)},
		})
	}
	return list
}

func (sim *simulation) worker(id string) *modelWorker {
	for _, worker := range sim.workers {
		if worker.id == id {
			return worker
		}
	}
	return &modelWorker{simulation: sim, id: id, down: true, replaced: true} // it has come back with another ID
}

// advance runs the simulation for a time, in ticks.
func (sim *simulation) advance(length time.Duration) {
	for end := sim.now + length; sim.now < end; sim.now += sim.tickLength {
		sort.SliceStable(sim.messages, func(i, j int) bool { return sim.messages[i].at < sim.messages[j].at })
		due := sim.messages
		split := sort.Search(len(due), func(i int) bool { return due[i].at > sim.now })
		sim.messages = slices.Clone(due[split:])
		for _, m := range due[:split] {
			switch {
			case m.recipient == nil:
				m.deliver(sim.time())
			case m.recipient.dead:
			case m.recipient.frozen:
				m.recipient.delayedMessages = append(m.recipient.delayedMessages, m)
			default:
				m.deliver(sim.time())
			}
		}
		for _, worker := range sim.workers {
			worker.advance()
		}
		if sim.now%(400*time.Millisecond) == 0 && !sim.storeDown {
			for _, inst := range sim.instances {
				if !inst.dead && !inst.frozen && !inst.storeUnreachable {
					inst.shard.SetWorkers(sim.time(), sim.workerList())
				}
			}
		}
		for _, inst := range sim.instances {
			inst.tick()
		}
	}
}

// submit submits a job to the leader. runTimes holds the actual run time of the tasks of
// each step.
func (sim *simulation) submit(id string, terms job.Terms, spec job.Spec, runTimes ...time.Duration) *modelJob {
	if sim.requireTickets && !terms.RequiresTicket {
		terms.RequiresTicket = true
		terms.AdviceTime, terms.AdviceTimePerWorker, terms.TicketLifetime = 40*time.Millisecond, time.Millisecond, ticketLifetime
	}
	submitted := sim.jobs[id]
	if submitted == nil {
		submitted = &modelJob{
			id: id, spec: spec, terms: terms, runTimes: runTimes, doneTasks: map[string]bool{}, doneHandledAt: map[string]time.Duration{}, handledFailures: map[string]int{}, handledFailedRuns: map[shard.RunKey]bool{}, lastStarts: map[string]time.Duration{},
			madeCheckpoints: map[string]bool{}, gangCheckpoints: map[shard.RunKey]string{},
			poisonTasks: map[string]bool{}, crashes: map[string]int{}, otherCrashes: map[string]int{}, startsAfterCrashes: map[string]int{},
		}
		sim.jobs[id] = submitted
		sim.jobIDs = append(sim.jobIDs, id)
	}
	result := sim.leader.shard.Accept(sim.time(), id, terms, spec)
	if result.Outcome == shard.Refused {
		sim.refusedCount++
		delete(sim.jobs, id)
		sim.jobIDs = sim.jobIDs[:len(sim.jobIDs)-1]
	}
	return submitted
}

func (sim *simulation) cancel(id string) {
	submitted := sim.jobs[id]
	if submitted == nil || submitted.cancelledAt > 0 || sim.leader.dead || sim.leader.frozen {
		return
	}
	switch sim.leader.shard.Cancel(sim.time(), id) {
	case shard.Pending:
		submitted.cancelRequestedAt = sim.now
	case shard.Stored:
		if submitted.cancelRequestedAt > 0 {
			submitted.cancelledAt = sim.now
		}
	}
}

// adviserAllows returns the adviser's decision, which the shard can't predict: a hash of
// the step and the worker. Workers i-00 and i-01 are always allowed.
func (sim *simulation) adviserAllows(step, worker string) bool {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(step + worker))
	share := sim.allowedShare
	if submitted := sim.jobs[step[:16]]; submitted != nil {
		if own, known := sim.allowedShares[submitted.terms.Queue]; known {
			share = own
		}
	}
	return float64(sum.Sum32()%1000)/1000 < share || worker == "i-00" || worker == "i-01"
}

// resultHandled records that the leader acknowledged the result of a run that ended at
// endedAt. A later start of a task that is done breaks the platform contract unless the
// lease of its worker lapsed in between.
func (sim *simulation) resultHandled(result shard.RunResult, endedAt time.Duration, lapsed bool) {
	submitted := sim.jobs[result.Task[:16]]
	if submitted == nil {
		return
	}
	switch result.EndReason {
	case shard.EndDone:
		submitted.doneHandledAt[result.Task] = sim.now
		spec := submitted.stepOf(result.Task)
		if started := submitted.lastStarts[result.Task]; started > endedAt && !lapsed && !spec.LongRunning && !spec.Speculative && !sim.onlyConcurrentRuns {
			sim.addViolation("TWICE: %s started at %.2fs, but was done at %.2fs", result.Task, started.Seconds(), endedAt.Seconds())
		}
	case shard.EndFailed:
		submitted.handledFailures[result.Task]++
		submitted.handledFailedRuns[result.RunKey] = true
	}
}

// checkStart records a violation for each rule that a start breaks.
func (sim *simulation) checkStart(m *modelWorker, start shard.Start, submitted *modelJob, spec *job.Step, stepNumber int, delay time.Duration) {
	for _, other := range sim.workers {
		for _, r := range other.runs {
			if !spec.Speculative && r.key.Task == start.Task && !other.down {
				sim.addViolation("TWICE: %s run %d starts on %s, run %d is on %s", start.Task, start.Run, m.id, r.key.Run, other.id)
			}
		}
	}
	submitted.checkCheckpoint(sim, start, spec)
	if used := m.used().Plus(spec.Reserved()); !used.Fits(m.capacity) {
		sim.addViolation("LIMIT: %s on %s: %v of %v", start.Task, m.id, used, m.capacity)
	}
	if sim.onlyConcurrentRuns {
		return
	}
	if occurrence := occurrenceOf(start.Task); sim.time().Before(submitted.spec.Due(occurrence)) {
		sim.addViolation("ORDER: %s starts %s before its time", start.Task, submitted.spec.Due(occurrence).Sub(sim.time()))
	}
	if at, done := submitted.doneHandledAt[start.Task]; done && !spec.LongRunning && !spec.Speculative {
		sim.addViolation("TWICE: %s starts again after it was handled as done at %.2fs", start.Task, at.Seconds())
	}
	for _, dependency := range spec.After {
		for index := range submitted.spec.Steps[dependency].Count {
			name := fmt.Sprintf("%s.0.%d.%d", submitted.id, dependency, index)
			if !sim.everDone(submitted, name) {
				sim.addViolation("ORDER: %s starts before %s is done", start.Task, name)
			}
		}
	}
	if submitted.terms.MaxAttempts > 0 && submitted.handledFailures[start.Task] >= submitted.terms.MaxAttempts && !spec.LongRunning {
		sim.addViolation("ATTEMPTS: %s starts after %d failures", start.Task, submitted.handledFailures[start.Task])
	}
	if submitted.poisonTasks[start.Task] && !spec.LongRunning && submitted.crashes[start.Task] >= crashesBeforeBudget {
		submitted.startsAfterCrashes[start.Task]++
		if submitted.startsAfterCrashes[start.Task] >= maxStartsAfterCrashes {
			sim.addViolation("BUDGET: %s starts again after %d workers have crashed under it", start.Task, submitted.crashes[start.Task])
		}
	}
	if submitted.cancelledAt > 0 && sim.now > submitted.cancelledAt+3*time.Second && delay < time.Second {
		sim.addViolation("CANCELLED: %s starts %.2fs after its cancellation", start.Task, (sim.now - submitted.cancelledAt).Seconds())
	}
}

// checkCheckpoint records a violation if a task starts with a checkpoint that no run of it, or of
// its gang, made, or a member of a gang with another one than the members before it.
func (j *modelJob) checkCheckpoint(sim *simulation, start shard.Start, spec *job.Step) {
	owner := start.Task
	if spec.Gang {
		owner = start.Task[:strings.LastIndex(start.Task, ".")+1]
		key := shard.RunKey{Task: owner, Run: start.Run}
		if first, known := j.gangCheckpoints[key]; known && first != start.Checkpoint {
			sim.addViolation("GANG: %s run %d starts with checkpoint %q, another member with %q", start.Task, start.Run, start.Checkpoint, first)
		}
		j.gangCheckpoints[key] = start.Checkpoint
	}
	if start.Checkpoint != "" && (!j.madeCheckpoints[start.Checkpoint] || !strings.Contains(start.Checkpoint+"-", "-"+owner)) {
		sim.addViolation("UNASKED: %s run %d starts with checkpoint %q, which isn't its own", start.Task, start.Run, start.Checkpoint)
	}
}

// everDone reports whether a run of the task, or of its gang, ended as done, even if the
// leader has not handled the result.
func (sim *simulation) everDone(submitted *modelJob, taskName string) bool {
	prefix := taskName[:strings.LastIndex(taskName, ".")+1]
	stepNumber := 0
	// The step number follows the job ID (16 digits) and the occurrence (one digit),
	// each with a dot after it.
	if _, err := fmt.Sscanf(taskName[19:], "%d", &stepNumber); err != nil {
		return false
	}
	gang := submitted.spec.Steps[stepNumber].Gang
	for task := range submitted.doneTasks {
		if task == taskName || gang && strings.HasPrefix(task, prefix) {
			return true
		}
	}
	return false
}

// gangMembers returns the runs of the gang with this run number on all workers.
func (sim *simulation) gangMembers(r *modelRun) []*modelRun {
	prefix := r.key.Task[:strings.LastIndex(r.key.Task, ".")+1]
	var members []*modelRun
	for _, m := range sim.workers {
		if m.down {
			continue
		}
		for _, other := range m.runs {
			if strings.HasPrefix(other.key.Task, prefix) && other.key.Run == r.key.Run {
				members = append(members, other)
			}
		}
	}
	return members
}

// requireAllEnded advances the simulation until every job has ended that isn't
// long-running. It fails the test if a rule was violated, a job was lost, or the jobs
// don't end within the limit.
func (sim *simulation) requireAllEnded(limit time.Duration) {
	sim.t.Helper()
	for end := sim.now + limit; sim.now < end && sim.openJobs() > 0 && len(sim.violations) == 0; {
		sim.advance(500 * time.Millisecond)
		for _, id := range sim.jobIDs {
			if sim.jobs[id].cancelRequestedAt > 0 {
				sim.cancel(id) // the caller retries, as it got no answer
			}
		}
	}
	require.Empty(sim.t, sim.violations)
	for _, id := range sim.jobIDs {
		submitted := sim.jobs[id]
		state, known := sim.leader.shard.State(id)
		if !submitted.accepted && !known {
			continue // the caller never got an answer
		}
		require.True(sim.t, known, "job %s is lost", id)
		if submitted.longRunning() && submitted.cancelRequestedAt == 0 {
			require.NotEqual(sim.t, job.Failed, state, "long-running job %s", id)
			continue
		}
		require.True(sim.t, state.Ended(), "job %s is %s after %s", id, state, sim.now)
		if !submitted.alwaysFails && len(submitted.poisonTasks) == 0 && !sim.mayBeGivenUp(submitted) && submitted.cancelRequestedAt == 0 && state == job.Failed {
			sim.requireEnoughFailures(submitted)
		}
	}
}

// stepOf returns the step of the task with this name.
func (j *modelJob) stepOf(task string) *job.Step {
	_, step := parseTaskName(task)
	return &j.spec.Steps[step]
}

// occurrenceOf returns the number of the occurrence of the task with this name.
func occurrenceOf(task string) int {
	occurrence, _ := parseTaskName(task)
	return occurrence
}

func parseTaskName(name string) (occurrence, step int) {
	_, numbers, _ := strings.Cut(name, ".")
	var index int
	if _, err := fmt.Sscanf(numbers, "%d.%d.%d", &occurrence, &step, &index); err != nil {
		panic(fmt.Sprintf("task name %q is malformed", name))
	}
	return occurrence, step
}

func (j *modelJob) longRunning() bool {
	for i := range j.spec.Steps {
		if j.spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// mayBeGivenUp reports whether two workers crashed under a task of the job, or under a
// gang, and not both by a poison task: the shard must not start one beside a suspected
// task.
func (sim *simulation) mayBeGivenUp(submitted *modelJob) bool {
	crashes, otherCrashes := map[string]int{}, map[string]int{}
	for task, count := range submitted.crashes {
		key := task
		var stepNumber int
		if _, err := fmt.Sscanf(task[19:], "%d", &stepNumber); err == nil && submitted.spec.Steps[stepNumber].Gang {
			key = task[:strings.LastIndex(task, ".")]
		}
		crashes[key] += count
		otherCrashes[key] += submitted.otherCrashes[task]
	}
	for key, count := range crashes {
		if count >= 2 && otherCrashes[key] >= 1 {
			return true
		}
	}
	return false
}

// requireEnoughFailures checks that a task, or a gang, of a failed job had at least
// MaxAttempts failed runs.
func (sim *simulation) requireEnoughFailures(submitted *modelJob) {
	failedRuns, most := map[string]map[int64]bool{}, 0
	for run := range submitted.handledFailedRuns {
		key := run.Task
		if _, step := parseTaskName(run.Task); submitted.spec.Steps[step].Gang {
			key = run.Task[:strings.LastIndex(run.Task, ".")]
		}
		if failedRuns[key] == nil {
			failedRuns[key] = map[int64]bool{}
		}
		failedRuns[key][run.Run] = true
		most = max(most, len(failedRuns[key]))
	}
	require.GreaterOrEqual(sim.t, most, submitted.terms.MaxAttempts, "job %s failed with too few failed runs", submitted.id)
}

// runs reports whether the task has a run on a worker.
func (sim *simulation) runs(task string) bool {
	return slices.ContainsFunc(sim.workers, func(m *modelWorker) bool {
		return slices.ContainsFunc(m.runs, func(r *modelRun) bool { return r.key.Task == task })
	})
}

func (sim *simulation) openJobs() int {
	openJobs := 0
	for _, id := range sim.jobIDs {
		if sim.jobs[id].longRunning() && sim.jobs[id].cancelRequestedAt == 0 {
			continue
		}
		if state, known := sim.leader.shard.State(id); known && !state.Ended() {
			openJobs++
		}
	}
	return openJobs
}
