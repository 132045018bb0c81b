package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/soak"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

const (
	outageNodes   = 5
	outageWorkers = 10
	// outageTasks is the number of standing tasks. Two fit on a worker.
	outageTasks     = 7
	outageTaskMilli = 8000
	outageService   = "review"
	outageJob       = "ffffffff00000001"
	outageDuration  = 4 * time.Second
	// lateWatch is how much longer than the rule allows a test waits for a run, to report
	// how long the task had none.
	lateWatch = 15 * time.Second
)

// outage is a run with standing tasks that loses workers, the store and processes.
type outage struct {
	*run
	began       time.Time
	tasks       int // that run until the end of the test
	impairments []impairment
	storeLostAt time.Time
	crashedAt   map[string]time.Time // by worker
	// workersRestarted means that the crashed workers have started again, which shows that
	// their runs had ended.
	workersRestarted bool
	stopped          map[int]bool // processes that are killed or lost
}

// newOutage starts processes and workers, and waits until the standing tasks run.
func newOutage(t *testing.T, binary string) *outage {
	o := &outage{run: newRun(t, binary, 1, layout{nodes: outageNodes, workers: outageWorkers}), crashedAt: map[string]time.Time{}, stopped: map[int]bool{}}
	o.submit(outageJob, outageTasks, outageTaskMilli)
	time.Sleep(2 * time.Second) // the leader stores their progress and renews the leases
	o.began = time.Now()
	return o
}

// submit submits a job of standing tasks and waits until they run.
func (o *outage) submit(id string, tasks, milliCPU int) {
	step := job.Step{Count: tasks, Demand: job.Demand{MilliCPU: milliCPU, MemoryMB: 10}, Estimate: time.Minute, LongRunning: true}
	body := standin.Submission(job.Spec{Text: standin.Standing, Steps: []job.Step{step}})
	client := &http.Client{Timeout: 3 * time.Second}
	require.Eventually(o.t, func() bool {
		status, _ := o.call(client, o.processes[0], http.MethodPost, "/batch/"+id, body)
		return status == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond, "the job is not accepted")
	require.Eventually(o.t, func() bool { return o.running(id) == tasks }, 5*time.Second, time.Millisecond, "the tasks don't run")
	o.tasks += tasks
}

func (o *outage) log(format string, arguments ...any) {
	o.t.Logf("%s +%.2fs: %s", time.Now().Format("15:04:05.000"), time.Since(o.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// impaired notes an impairment that is over.
func (o *outage) impaired() {
	o.impairments = append(o.impairments, impairment{time.Now(), time.Now()})
}

// loseStore makes the store silent. Connections that are open then stay so, without data,
// also after the outage.
func (o *outage) loseStore() {
	o.log("the store is silent")
	o.storeLostAt = time.Now()
	for _, p := range o.processes {
		p.storeProxy.SetMode(soak.Blackhole)
	}
}

func (o *outage) refuseAtStore() {
	o.log("the store answers 503")
	o.storeLostAt = time.Now()
	o.site.Store.SetDown(true)
}

func (o *outage) restoreStore() {
	o.site.Store.SetDown(false)
	for _, p := range o.processes {
		p.storeProxy.SetMode(soak.Forward)
	}
	o.log("the store is back")
	o.impairments = append(o.impairments, impairment{o.storeLostAt, time.Now()})
}

// expireEntries removes the entries of all workers.
func (o *outage) expireEntries() {
	o.log("the entries of all workers expire")
	for _, worker := range o.workers {
		o.site.Store.Put(platform.WorkerTopic, worker.ID(), "")
	}
}

// publishEntries writes the entries of the workers that work.
func (o *outage) publishEntries() {
	o.log("the entries of the live workers are back")
	for _, worker := range o.workers {
		if _, crashed := o.crashedAt[worker.ID()]; !crashed {
			worker.Publish("ready")
		}
	}
}

// crashWorkers crashes the workers with the most runs. Their leases last on at the stand-in,
// so that the test also finds a task that is started before it can be known that the worker
// isn't only cut off.
func (o *outage) crashWorkers(count int) {
	runs := map[string]int{}
	for _, run := range o.site.Runs() {
		if _, crashed := o.crashedAt[run.Worker]; run.EndedAt.IsZero() && !crashed {
			runs[run.Worker]++
		}
	}
	workers := slices.DeleteFunc(slices.Clone(o.workers), func(worker *standin.Worker) bool { return !strings.Contains(worker.ID(), outageService) })
	slices.SortStableFunc(workers, func(a, b *standin.Worker) int { return runs[b.ID()] - runs[a.ID()] })
	for _, worker := range workers[:count] {
		o.log("%s crashes with %d of %d runs", worker.ID(), runs[worker.ID()], o.tasks)
		worker.SetCutOff(true)
		o.crashedAt[worker.ID()] = time.Now()
	}
}

// restartWorkers starts the crashed workers again, as new incarnations.
func (o *outage) restartWorkers() {
	o.log("the crashed workers are started")
	o.workersRestarted = true
	for i, worker := range o.workers {
		if _, crashed := o.crashedAt[worker.ID()]; crashed {
			restarted, err := o.site.AddWorker(worker.ID(), services[i%len(services)], workerMilliCPU, 32000, 0)
			require.NoError(o.t, err)
			worker.SetDown(true)
			worker.SetCutOff(false)
			o.workers[i] = restarted
		}
	}
	o.impaired()
}

// kill kills a process. Connections to it are refused.
func (o *outage) kill(number int) {
	o.log("entry-%d is killed", number)
	o.processes[number].stop(syscall.SIGKILL)
	o.stopped[number] = true
	o.impaired()
}

// lose pauses a process for good: nothing answers at its address, as if its VM were lost.
func (o *outage) lose(number int) {
	o.log("entry-%d is lost", number)
	_ = o.processes[number].command.Process.Signal(syscall.SIGSTOP)
	o.stopped[number] = true
	o.impaired()
}

func (o *outage) start(number int) {
	o.log("entry-%d is started", number)
	o.processes[number].start()
	delete(o.stopped, number)
	o.impaired()
}

// endLeaders ends the leader of the shard and, right after its claim, the next one.
func (o *outage) endLeaders(end func(number int)) {
	leader := o.leader(outageService)
	end(leader)
	next := o.successor(leader)
	time.Sleep(300 * time.Millisecond)
	end(next)
}

// successor waits until another process than the former one has claimed the shard.
func (o *outage) successor(former int) int {
	for began := time.Now(); time.Since(began) < 2*claimWait; time.Sleep(time.Millisecond) {
		if leader := o.leader(outageService); leader != former {
			o.log("entry-%d has claimed the shard of entry-%d", leader, former)
			return leader
		}
	}
	require.Fail(o.t, "nobody replaced the leader")
	return former
}

// killAll kills all processes that haven't been killed or lost.
func (o *outage) killAll() {
	for number := range o.processes {
		if !o.stopped[number] {
			o.kill(number)
		}
	}
}

// startAll starts the processes that were killed except one, which may be -1, at intervals.
func (o *outage) startAll(except int, interval time.Duration) {
	for number := range o.processes {
		if o.stopped[number] && number != except {
			o.start(number)
			time.Sleep(interval)
		}
	}
}

// check waits until the standing tasks run again, and compares their runs with the rule.
func (o *outage) check() {
	due := time.Now()
	for _, at := range o.crashedAt {
		if by := runDueBy(at, o.impairments); by.After(due) {
			due = by
		}
	}
	for time.Now().Before(due) || o.tasksWithoutRun() > 0 && time.Since(due) < lateWatch {
		time.Sleep(10 * time.Millisecond)
	}
	runs, until := o.site.Runs(), time.Now()
	violations := missingRuns(o.cropped(runs), o.impairments, until)
	if o.workersRestarted {
		runs = o.cropped(runs)
	}
	for i := range runs {
		if runs[i].EndedAt.IsZero() {
			runs[i].EndedAt = until
		}
	}
	violations = append(violations, repeatedRuns(runs, nil)...)
	o.log("longest time without a run: %s", o.longestGap(until).Round(time.Millisecond))
	require.Empty(o.t, violations, strings.Join(violations, "\n"))
}

// cropped returns the runs as they were on the workers, which end with the crash of one.
func (o *outage) cropped(runs []standin.Run) []standin.Run {
	cropped := slices.Clone(runs)
	for i, run := range cropped {
		if at, crashed := o.crashedAt[run.Worker]; crashed && run.StartedAt.Before(at) && (run.EndedAt.IsZero() || run.EndedAt.After(at)) {
			cropped[i].EndedAt = at
		}
	}
	return cropped
}

func (o *outage) tasksWithoutRun() int {
	running := map[string]bool{}
	for _, run := range o.cropped(o.site.Runs()) {
		if run.EndedAt.IsZero() {
			running[run.Task] = true
		}
	}
	return o.tasks - len(running)
}

func (o *outage) longestGap(until time.Time) (longest time.Duration) {
	lastEnd := map[string]time.Time{}
	runs := o.cropped(o.site.Runs())
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	for _, run := range runs {
		if end, found := lastEnd[run.Task]; found {
			longest = max(longest, run.StartedAt.Sub(end))
		}
		if run.EndedAt.IsZero() {
			run.EndedAt = until
		}
		lastEnd[run.Task] = run.EndedAt
	}
	for _, end := range lastEnd {
		longest = max(longest, until.Sub(end))
	}
	return longest
}

// during runs a function while the store is lost, and restores the store at the end of the
// outage.
func (o *outage) during(lose, do func()) {
	lose()
	do()
	time.Sleep(time.Until(o.storeLostAt.Add(outageDuration)))
	o.restoreStore()
}

// crashDuring crashes two workers while the store is lost.
func (o *outage) crashDuring(lose func()) {
	o.during(lose, func() {
		time.Sleep(time.Second)
		o.crashWorkers(2)
	})
}

// outages are the courses of events that TestStandingTasksReturnAfterOutage plays. A process that
// is killed or lost stays so unless it is started again.
var outages = map[string]func(o *outage){
	"store silent":      func(o *outage) { o.crashDuring(o.loseStore) },
	"store answers 503": func(o *outage) { o.crashDuring(o.refuseAtStore) },
	"leader lost": func(o *outage) {
		o.crashWorkers(2)
		time.Sleep(3 * time.Second)
		o.lose(o.leader(outageService))
	},
	"leader killed after many workers": func(o *outage) {
		o.crashWorkers(4)
		time.Sleep(300 * time.Millisecond)
		o.kill(o.leader(outageService))
	},
	"two leaders killed": func(o *outage) {
		o.crashWorkers(2)
		time.Sleep(300 * time.Millisecond)
		o.endLeaders(o.kill)
	},
	"two leaders lost": func(o *outage) {
		o.crashWorkers(2)
		time.Sleep(300 * time.Millisecond)
		o.endLeaders(o.lose)
	},
	"store silent, leader lost in it and its successor after it": func(o *outage) {
		leader := o.leader(outageService)
		o.during(o.loseStore, func() {
			time.Sleep(time.Second)
			o.crashWorkers(2)
			time.Sleep(2 * time.Second)
			o.lose(leader)
		})
		next := o.successor(leader)
		time.Sleep(300 * time.Millisecond)
		o.lose(next)
	},
	"store silent, leader lost as it ends": func(o *outage) {
		o.crashDuring(o.loseStore)
		o.lose(o.leader(outageService))
	},
	"leader lost before the store, all others killed in it": func(o *outage) {
		leader := o.leader(outageService)
		o.lose(leader)
		o.successor(leader)
		time.Sleep(300 * time.Millisecond)
		o.during(o.loseStore, func() {
			time.Sleep(time.Second)
			o.crashWorkers(2)
			time.Sleep(2 * time.Second)
			o.killAll()
		})
		time.Sleep(500 * time.Millisecond)
		o.startAll(leader, 100*time.Millisecond)
	},
	"store silent, all processes restarted in it": func(o *outage) {
		o.during(o.loseStore, func() {
			time.Sleep(time.Second)
			o.crashWorkers(2)
			o.killAll()
			time.Sleep(time.Until(o.storeLostAt.Add(2500 * time.Millisecond)))
			o.startAll(-1, 0)
		})
	},
	"store answers 503, all processes restarted in it": func(o *outage) {
		o.during(o.refuseAtStore, func() {
			time.Sleep(time.Second)
			o.crashWorkers(2)
			time.Sleep(time.Second)
			o.killAll()
			o.startAll(-1, 100*time.Millisecond)
		})
	},
	"store silent, all processes but the leader restarted after it": func(o *outage) {
		leader := o.leader(outageService)
		o.crashDuring(o.loseStore)
		o.killAll()
		time.Sleep(time.Second)
		o.startAll(leader, 100*time.Millisecond)
	},
	"store silent, all processes restarted after it, the leader last": func(o *outage) {
		leader := o.leader(outageService)
		o.crashDuring(o.loseStore)
		o.killAll()
		o.startAll(leader, 100*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		o.start(leader)
	},
	"store answers 503, entries expire, all processes restarted after it": func(o *outage) {
		o.during(o.refuseAtStore, func() {
			o.crashWorkers(2)
			time.Sleep(3500 * time.Millisecond)
			o.expireEntries()
		})
		o.killAll()
		time.Sleep(time.Second)
		o.startAll(-1, 100*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		o.publishEntries()
	},
	"store silent, entries expire, leader killed in it": func(o *outage) {
		o.during(o.loseStore, func() {
			o.crashWorkers(2)
			time.Sleep(3500 * time.Millisecond)
			o.expireEntries()
			o.kill(o.leader(outageService))
		})
		time.Sleep(1800 * time.Millisecond)
		o.publishEntries()
	},
	"workers crash under many new tasks": func(o *outage) {
		o.submit("ffffffff00000002", 40, 100)
		time.Sleep(afterStart)
		o.crashWorkers(2)
	},
	"store silent, power lost in it": func(o *outage) {
		o.during(o.loseStore, func() {
			time.Sleep(time.Second)
			o.crashWorkers(outageWorkers)
			o.killAll()
		})
		time.Sleep(time.Second)
		o.startAll(-1, 100*time.Millisecond)
		o.restartWorkers()
	},
}

// Guards against standing tasks that have no run for longer than the rule allows, or two at a
// time, when workers crash beside an outage of the store and a loss of leaders.
func TestStandingTasksReturnAfterOutage(t *testing.T) {
	binary := buildEntry(t)
	for name, play := range outages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := newOutage(t, binary)
			play(o)
			o.check()
		})
	}
}
