package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/platform/standin"
)

const (
	// partitionStart is when a run's partition begins.
	partitionStart = 1500 * time.Millisecond
	// minCut and maxCut bound how long a cut lasts. The entry of a worker that is cut
	// off expires after 4.5 s.
	minCut = 4600 * time.Millisecond
	maxCut = 10 * time.Second
	// readTimeout bounds a call of the store that isn't faulty.
	readTimeout = time.Second
	// claimWait is how long another process may take to claim the leadership of an
	// isolated one.
	claimWait = 4 * time.Second
	// cancelTimeout bounds how long the runs of a cancelled job take to end.
	cancelTimeout = 5 * time.Second
	// afterStart is when a worker is cut off after the start of a task: before any
	// report shows that the task survived its start.
	afterStart = 60 * time.Millisecond
)

// partition is the part of the network that fails in a run, beside its other faults.
type partition struct {
	kind     int
	random   *rand.Rand
	duration time.Duration
}

const (
	unpartitioned        = iota
	workerCutOff         // a worker from all processes and from the store
	workersCutOffAtStart // two workers of a standing task, each right after its start
	partlyReached        // a process from half of the workers
	leaderIsolated       // a leader from the store, the other processes and half of the workers, which the others reach
	successorKilled      // the same, and the process that replaces it is killed and started again at once
	partitionKinds
)

// newPartition returns the partition of a seed. It has a random source of its own, so that
// the other faults of a seed stay the same. Regression seeds have none.
func newPartition(seed uint64) partition {
	if _, found := regressionSeeds[seed]; found {
		return partition{kind: unpartitioned}
	}
	random := rand.New(rand.NewPCG(seed, 3))
	return partition{kind: 1 + random.IntN(partitionKinds-1), random: random, duration: minCut + time.Duration(random.Int64N(int64(maxCut-minCut)))}
}

// isolates reports whether the partition separates processes from each other.
func (p partition) isolates() bool { return p.kind == leaderIsolated || p.kind == successorKilled }

func (p partition) String() string {
	name := map[int]string{
		workerCutOff: "worker cut off", workersCutOffAtStart: "workers cut off right after a start", partlyReached: "process cut off from half of the workers",
		leaderIsolated: "leader isolated", successorKilled: "leader isolated and successor killed",
	}[p.kind]
	return fmt.Sprintf("%s for %s", name, p.duration.Round(time.Millisecond))
}

// begin begins the partition. It closes the channel when the partition has ended.
func (p partition) begin(r *run) <-chan struct{} {
	ended := make(chan struct{})
	endAfter := func(duration time.Duration, end func()) {
		time.AfterFunc(duration, func() { end(); close(ended) })
	}
	switch p.kind {
	case workerCutOff:
		worker := r.workers[p.random.IntN(len(r.workers))]
		worker.SetCutOff(true)
		endAfter(p.duration, func() { worker.SetCutOff(false) })
	case workersCutOffAtStart:
		go func() {
			defer close(ended)
			r.cutOffAfterStarts(p.duration)
		}()
	case partlyReached:
		process, half := p.random.IntN(nodes), p.random.IntN(2)
		r.setReached(process, half, false)
		endAfter(p.duration, func() { r.setReached(process, half, true) })
	default:
		service := services[p.random.IntN(len(services))]
		leader, half := r.leader(service), p.random.IntN(2)
		r.network.setIsolated(leader, true)
		for process := range r.processes {
			if process == leader {
				r.setReached(process, half, false)
			} else {
				r.setReached(process, 1-half, false)
			}
		}
		endAfter(p.duration, func() {
			r.network.setIsolated(leader, false)
			for process := range r.processes {
				r.setReached(process, 0, true)
				r.setReached(process, 1, true)
			}
		})
		if p.kind == successorKilled {
			r.restartSuccessor(service, leader)
		}
	}
	return ended
}

// setReached sets whether a process reaches one half of the workers of each service.
func (r *run) setReached(process, half int, reached bool) {
	for worker := range r.workers {
		if worker/len(services)%2 == half {
			r.network.workers[process][worker].SetCut(!reached)
		}
	}
}

// leader returns the process that claimed a service's shard last.
func (r *run) leader(service string) int {
	record, _ := r.site.Store.Value(leadershipTopic, service+"/0")
	leader, first := 0, len(record)
	for _, p := range r.processes {
		// The record also names the leaders before, after the one that claimed.
		if at := strings.Index(record, fmt.Sprintf("entry-%d", p.number)); at >= 0 && at < first {
			leader, first = p.number, at
		}
	}
	return leader // 0 if nobody leads the shard yet
}

// restartSuccessor kills the process that claims the shard of a leader, right after the
// claim, and starts it again.
func (r *run) restartSuccessor(service string, leader int) {
	for began := time.Now(); time.Since(began) < claimWait; time.Sleep(time.Millisecond) {
		if successor := r.leader(service); successor != leader {
			r.processes[successor].stop(syscall.SIGKILL)
			r.processes[successor].start()
			return
		}
	}
	r.t.Logf("nobody replaced entry-%d in %s", leader, claimWait)
}

// cutOffAfterStarts submits a standing job and cuts off the worker of its first run, and
// then that of the second one, each right after the run has started.
func (r *run) cutOffAfterStarts(duration time.Duration) {
	const id = "ffffffff00000000"
	r.submitStanding(id)
	for cut := range 2 {
		for began := time.Now(); len(r.runsOf(id)) <= cut; time.Sleep(time.Millisecond) {
			if time.Since(began) > recoveryTimeout {
				return // check reports that the job has no run
			}
		}
		time.Sleep(afterStart)
		for _, worker := range r.workers {
			if worker.ID() == r.runsOf(id)[cut].Worker {
				worker.SetCutOff(true)
				time.AfterFunc(duration, func() { worker.SetCutOff(false) })
			}
		}
	}
	time.Sleep(duration)
}

// standingJob returns the body of a job whose tasks run until it is cancelled.
func standingJob(tasks int) string {
	step := job.Step{Count: tasks, Demand: job.Demand{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Minute, LongRunning: true}
	return standin.Submission(job.Spec{Text: standin.Standing, Steps: []job.Step{step}})
}

// submitStanding submits a standing job of one task until it is accepted.
func (r *run) submitStanding(id string) {
	client := &http.Client{Timeout: 3 * time.Second}
	path, result := "/batch/"+id, &outcome{standing: 1}
	r.mu.Lock()
	r.jobs[path] = result
	r.mu.Unlock()
	for began := time.Now(); time.Since(began) < recoveryTimeout; time.Sleep(100 * time.Millisecond) {
		if status, _ := r.call(client, r.present(), http.MethodPost, path, standingJob(1)); status == http.StatusOK {
			r.mu.Lock()
			result.accepted = true
			r.mu.Unlock()
			return
		}
		result.unknown++
	}
}

// runsOf returns the runs of a job's tasks so far.
func (r *run) runsOf(id string) (runs []standin.Run) {
	for _, run := range r.site.Runs() {
		if strings.HasPrefix(run.Task, id) {
			runs = append(runs, run)
		}
	}
	return runs
}

// running returns the number of a job's runs that haven't ended.
func (r *run) running(path string) (count int) {
	for _, run := range r.runsOf(path[len(path)-16:]) {
		if run.EndedAt.IsZero() {
			count++
		}
	}
	return count
}
