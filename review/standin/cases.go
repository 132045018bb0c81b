package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

var (
	errNoLeader    = errors.New("no process leads the service")
	errNotAccepted = errors.New("a job was not accepted")
	errNotStarted  = errors.New("the work did not start")
)

// begin starts workers and processes and waits until traffic may start.
func (p *platformStandin) begin(service string, workers int, capacity map[string]int, maxAttempts, targetMS int) error {
	if err := p.configure(service, maxAttempts, targetMS); err != nil {
		return err
	}
	if err := p.addWorkers(service, workers, capacity); err != nil {
		return err
	}
	if err := p.addNodes(3); err != nil {
		return err
	}
	time.Sleep(trafficDelay)
	if !until(10*time.Second, func() bool { return p.leader(service) != nil }) {
		return errNoLeader
	}
	return nil
}

// submitAll hands jobs in at once.
func (p *platformStandin) submitAll(jobs []*submittedJob) error {
	var calls sync.WaitGroup
	for _, job := range jobs {
		calls.Go(func() { p.submit(job) })
	}
	calls.Wait()
	for _, job := range jobs {
		if !job.accepted {
			return errNotAccepted
		}
	}
	return nil
}

// endsBeyondOneAnswer has the store down while workers end more tasks than one answer lists.
func endsBeyondOneAnswer(p *platformStandin) ([]string, error) {
	const outage = 4500 * time.Millisecond
	if err := p.begin("claim-review", 2, map[string]int{"cpu": 128000, "mem-mb": 262144, "gpu": 8}, 3, 60000); err != nil {
		return nil, err
	}
	var jobs []*submittedJob
	for range 6 {
		jobs = append(jobs, newJob("900", map[string]any{"count": 1000, "cpu": 500, "mem-mb": 256, "estimate-ms": 900}))
	}
	if err := p.submitAll(jobs); err != nil {
		return nil, err
	}
	if !until(10*time.Second, func() bool { return p.startedRuns() >= 1000 }) {
		return nil, errNotStarted
	}
	if p.trouble {
		p.store.setBusy(true)
		p.note("the store answers 503")
		time.Sleep(outage)
		p.store.setBusy(false)
		p.note("the store serves again")
	}
	until(40*time.Second, p.allEnded)
	time.Sleep(time.Second)
	return p.startedTwice(), nil
}

// crashesUnderATask crashes a worker on which a task that lasts has just started, and then
// the worker on which that task starts again.
func crashesUnderATask(p *platformStandin) ([]string, error) {
	const (
		down = 4500 * time.Millisecond
		soon = 100 * time.Millisecond
	)
	if err := p.begin("voucher-ledger", 8, map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0}, 3, 3000); err != nil {
		return nil, err
	}
	job := newJob("0", map[string]any{"count": 6, "cpu": 2000, "mem-mb": 1024, "estimate-ms": 500, "long-running": true, "anti-affinity": 1})
	if !p.submit(job) {
		return nil, errNotAccepted
	}
	task := job.id + ".0.0.0"
	for number := 1; number <= 2; number++ {
		var on *worker
		if !until(15*time.Second, func() bool { on = p.workerOfRun(task, number); return on != nil }) {
			return nil, errNotStarted
		}
		if !p.trouble {
			break
		}
		time.Sleep(soon)
		on.crash()
		time.AfterFunc(down, func() {
			if err := on.start(); err == nil {
				p.note("worker %s is back", on.id)
			}
		})
	}
	time.Sleep(15 * time.Second)
	var broken []string
	if state := p.state(job); state == "failed" {
		broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed; of its runs %d ended failed", job.id, p.failedRuns()))
	}
	if running := p.runningTasks(job); running < 6 {
		broken = append(broken, fmt.Sprintf("LOST: 15 s after the last crash %d of the 6 tasks of job %s run", running, job.id))
	}
	return broken, nil
}

// workerOfRun returns the worker of a task's run that runs now and is its n-th one.
func (p *platformStandin) workerOfRun(task string, n int) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := 0
	for _, r := range p.runs {
		if r.task != task {
			continue
		}
		if seen++; seen == n && r.endedAt.IsZero() {
			for _, w := range p.workers {
				if w.id == r.worker {
					return w
				}
			}
		}
	}
	return nil
}

func (p *platformStandin) failedRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, r := range p.runs {
		if r.how == "failed" {
			count++
		}
	}
	return count
}

// runningTasks is the number of the job's tasks that have a run.
func (p *platformStandin) runningTasks(job *submittedJob) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	tasks := map[string]bool{}
	for _, r := range p.runs {
		if r.endedAt.IsZero() && r.task[:len(job.id)] == job.id {
			tasks[r.task] = true
		}
	}
	return len(tasks)
}

// largeBatch kills the leader while the records of one batch exceed 1 MB.
func largeBatch(p *platformStandin) ([]string, error) {
	const down = 3500 * time.Millisecond
	if err := p.begin("claim-review", 8, map[string]int{"cpu": 64000, "mem-mb": 262144, "gpu": 8}, 3, 120000); err != nil {
		return nil, err
	}
	var jobs []*submittedJob
	for range 20 {
		step := map[string]any{"count": 2000, "cpu": 500, "mem-mb": 64, "estimate-ms": 700, "saves-progress": true, "anti-affinity": 4}
		jobs = append(jobs, newJob("700+saves", step, step))
	}
	if err := p.submitAll(jobs); err != nil {
		return nil, err
	}
	if !until(80*time.Second, func() bool { return p.startedRuns() >= 55000 }) {
		return nil, errNotStarted
	}
	if p.trouble {
		leader := p.leader("claim-review")
		_ = leader.command.Process.Signal(syscall.SIGKILL)
		leader.kill()
		time.AfterFunc(down, func() { _ = leader.start() })
	}
	time.Sleep(15 * time.Second)
	return p.startedTwice(), nil
}

// cutOffAfterIdle cuts a worker off that has just got its first task after a quiet time.
func cutOffAfterIdle(p *platformStandin) ([]string, error) {
	const (
		quiet  = 65 * time.Second
		soon   = 300 * time.Millisecond
		length = 5500 * time.Millisecond
	)
	p.workerClockRate, p.maxHold = 0.98, 10*time.Second
	if err := p.begin("voucher-ledger", 8, map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0}, 3, 60000); err != nil {
		return nil, err
	}
	time.Sleep(quiet)
	job := newJob("9000", map[string]any{"count": 6, "cpu": 2000, "mem-mb": 1024, "estimate-ms": 9000, "anti-affinity": 1})
	if !p.submit(job) {
		return nil, errNotAccepted
	}
	var on *worker
	if !until(5*time.Second, func() bool { on = p.workerOfRun(job.id+".0.0.0", 1); return on != nil }) {
		return nil, errNotStarted
	}
	if p.trouble {
		time.Sleep(soon)
		on.cutOff(length)
	}
	until(35*time.Second, p.allEnded)
	return p.startedTwice(), nil
}

// scheduledStart kills the leader of a service while a job waits for its times.
func scheduledStart(p *platformStandin) ([]string, error) {
	const (
		count    = 8
		interval = 3 * time.Second
		early    = 250 * time.Millisecond
		down     = 3500 * time.Millisecond
	)
	if err := p.begin("voucher-ledger", 8, map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0}, 3, 3000); err != nil {
		return nil, err
	}
	first := time.Now().Truncate(time.Second).Add(3*time.Second + 900*time.Millisecond)
	job := &submittedJob{id: fmt.Sprintf("%016x", time.Now().UnixNano())}
	var err error
	if job.body, err = json.Marshal(map[string]any{
		"spec": "500", "steps": []map[string]any{{"count": 2, "cpu": 1000, "mem-mb": 256, "estimate-ms": 500}},
		"repeat-count": count, "start-at-ms": first.UnixMilli(), "interval-ms": interval.Milliseconds(),
	}); err != nil {
		return nil, err
	}
	leader := p.leader("voucher-ledger")
	if status, _ := p.call(leader, http.MethodPost, job.id, job.body); status != http.StatusOK {
		return nil, errNotAccepted
	}
	time.Sleep(time.Until(first.Add(interval + time.Second)))
	if p.trouble {
		leader.kill()
		time.AfterFunc(down, func() { _ = leader.start() })
	}
	time.Sleep(time.Until(first.Add(count*interval + 3*time.Second)))
	p.mu.Lock()
	defer p.mu.Unlock()
	var broken []string
	for _, r := range p.runs {
		var occurrence int
		if _, err := fmt.Sscanf(r.task[len(job.id):], ".%d.", &occurrence); err != nil {
			return nil, err
		}
		due := first.Add(time.Duration(occurrence) * interval)
		if ahead := due.Sub(r.startedAt); ahead > early {
			broken = append(broken, fmt.Sprintf("ORDER: %s run %d starts %d ms before its time", r.task, r.number, ahead.Milliseconds()))
		}
	}
	if len(p.runs) < 2*count {
		broken = append(broken, fmt.Sprintf("LOST: only %d runs", len(p.runs)))
	}
	return broken, nil
}
