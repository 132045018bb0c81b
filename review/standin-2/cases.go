package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// cancelBound is the bound cancel_ms.
	cancelBound = 3000 * time.Millisecond
	// contactBound is the bound contact-ms.
	contactBound = 4000 * time.Millisecond
	// clientLeavesAfter is when the client of the first case leaves.
	clientLeavesAfter = 100 * time.Millisecond
)

var small = kind{milliCPU: 16000, memoryMB: 32768, label: "a"}

// step is a step of a job as a client describes it.
type step map[string]any

// jobBody returns the body with which a client hands a job in.
func jobBody(spec string, steps ...step) string {
	return encode(map[string]any{"spec": spec, "steps": steps})
}

// begin starts a deployment and lets it complete a job.
func begin(folder string, workerCount, maxAttempts int) (*rig, error) {
	r, err := newRig(folder, workerCount, small, maxAttempts)
	if err != nil {
		return nil, err
	}
	if err := r.startNodes(); err != nil {
		return r, err
	}
	if err := r.submit("00000000000000aa", jobBody("work=200", step{"count": 3, "cpu": 1000, "mem-mb": 100, "estimate-ms": 200})); err != nil {
		return r, err
	}
	if state := r.awaitEnd("00000000000000aa", 15*time.Second); state != "completed" {
		return r, fmt.Errorf("the first job is %s", state)
	}
	return r, nil
}

// playCancel: a client cancels a job whose hand-in has no answer yet, while the store is
// slow. The cancelling is acknowledged, and the leader is killed right after that.
func playCancel(folder string, trouble bool) (*rig, outcome, string) {
	r, err := begin(folder, 4, 3)
	if err != nil {
		return r, couldNot, err.Error()
	}
	const id = "00000000000000c1"
	leader := r.holder()
	if leader == nil {
		return r, couldNot, "no process holds the service"
	}
	if trouble {
		r.storeFactor.Store(60)
		r.log("the store takes 60 times as long")
		time.Sleep(time.Second)
	}
	body := jobBody("work=2500", step{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 2500},
		step{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 2500, "after": []int{0}}, step{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 2500, "after": []int{1}})
	others := r.nodes[:0:0]
	for _, n := range r.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	status, answer := r.call(others[0], http.MethodPost, prefix+id, body, clientLeavesAfter)
	r.log("POST %s at %s: %d %s", id, others[0].name, status, answer)
	status, answer = r.call(others[1], http.MethodDelete, prefix+id, "", clientTimeout)
	acknowledgedAt := time.Now()
	if trouble {
		leader.kill()
	}
	r.storeFactor.Store(1)
	r.log("DELETE %s at %s: %d %s", id, others[1].name, status, answer)
	if status != http.StatusOK {
		return r, held, "the cancelling was not acknowledged"
	}
	r.nodes = append(others, leader)
	time.Sleep(14 * time.Second)
	state := r.state(id)
	for _, run := range r.runsOf(id) {
		if after := run.startedAt.Sub(acknowledgedAt); after > max(cancelBound, contactBound) {
			return r, broken, fmt.Sprintf("UNASKED: %s run %d started %s after the cancelling of its job was acknowledged; the job is shown as %s", run.key.task, run.key.run, after.Round(time.Millisecond), state)
		}
	}
	return r, held, fmt.Sprintf("no task started later than cancel_ms after the ack; the job is shown as %s", state)
}

// playGangFailure: two workers fail all that they start, and a gang has one member on each.
func playGangFailure(folder string, trouble bool) (*rig, outcome, string) {
	const maxAttempts = 2
	r, err := begin(folder, 14, maxAttempts)
	if err != nil {
		return r, couldNot, err.Error()
	}
	if trouble {
		r.mu.Lock()
		for _, w := range r.workers[:2] {
			w.faulty = true
			r.log("worker %s fails all that it starts", w.id)
		}
		r.mu.Unlock()
	}
	const id = "00000000000000f1"
	if err := r.submit(id, jobBody("work=1500,gang=2", step{"count": 2, "cpu": 4000, "mem-mb": 1000, "estimate-ms": 1500, "gang": true, "anti-affinity": 1})); err != nil {
		return r, couldNot, err.Error()
	}
	state := r.awaitEnd(id, 30*time.Second)
	failedRuns, failedEnds := map[int64]bool{}, map[string]int{}
	for _, run := range r.runsOf(id) {
		if run.how == "failed" {
			failedRuns[run.key.run] = true
			failedEnds[run.key.task]++
		}
	}
	text := fmt.Sprintf("the job is shown as %s; the gang has failed in %d of its runs, and its tasks %v times; max-attempts is %d", state, len(failedRuns), failedEnds, maxAttempts)
	most := len(failedRuns)
	for _, count := range failedEnds {
		most = max(most, count)
	}
	if state == "failed" && most < maxAttempts {
		return r, broken, "LOST: " + text
	}
	return r, held, text
}

// playLasting: tasks that last fail by their own fault now and then.
func playLasting(folder string, trouble bool) (*rig, outcome, string) {
	r, err := begin(folder, 4, 3)
	if err != nil {
		return r, couldNot, err.Error()
	}
	const (
		jobs, tasks = 4, 4
		// lostAfter is how long a task that lasts may be without a run: 6 s from its last
		// run, and then 3 s.
		lostAfter = 9 * time.Second
	)
	r.mu.Lock()
	r.unsteady = trouble
	r.mu.Unlock()
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("0000000000000e%02d", i)
		ids = append(ids, id)
		if err := r.submit(id, jobBody("lasts", step{"count": tasks, "cpu": 1000, "mem-mb": 500, "long-running": true, "anti-affinity": 1})); err != nil {
			return r, couldNot, err.Error()
		}
	}
	time.Sleep(85 * time.Second)
	longest, longestTask := time.Duration(0), ""
	now := time.Now()
	for _, id := range ids {
		last := map[string]time.Time{}
		for _, run := range r.runsOf(id) {
			if before, known := last[run.key.task]; known {
				if gap := run.startedAt.Sub(before); gap > longest {
					longest, longestTask = gap, run.key.task
				}
			}
			if run.endedAt.IsZero() {
				run.endedAt = now
			}
			last[run.key.task] = run.endedAt
		}
		for index := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, index)
			if gap := now.Sub(last[task]); gap > longest {
				longest, longestTask = gap, task
			}
		}
	}
	text := fmt.Sprintf("the longest time without a run of a task that lasts is %s, of %s; the tasks take %d of %d thousandths of a core", longest.Round(time.Millisecond), longestTask, jobs*tasks*1000, len(r.workers)*small.milliCPU)
	if longest > lostAfter {
		return r, broken, "LOST: " + text
	}
	return r, held, text
}
