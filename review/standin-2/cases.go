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

// playCheckpoint: a worker crashes under a member of a gang that saves its progress.
func playCheckpoint(folder string, trouble bool) (*rig, outcome, string) {
	r, err := begin(folder, 7, 3)
	if err != nil {
		return r, couldNot, err.Error()
	}
	const id = "00000000000000b1"
	if err := r.submit(id, jobBody("work=6000,gang=2", step{"count": 2, "cpu": 4000, "mem-mb": 1000, "estimate-ms": 6000, "gang": true, "anti-affinity": 1, "saves-progress": true})); err != nil {
		return r, couldNot, err.Error()
	}
	time.Sleep(3300 * time.Millisecond)
	if trouble {
		r.mu.Lock()
		for _, w := range r.workers {
			if len(w.runs) > 0 {
				w.crash()
				break
			}
		}
		r.mu.Unlock()
	}
	state := r.awaitEnd(id, 40*time.Second)
	carried := map[int64]map[string]bool{}
	for _, run := range r.runsOf(id) {
		if carried[run.key.run] == nil {
			carried[run.key.run] = map[string]bool{}
		}
		carried[run.key.run][run.carried] = true
	}
	for number, values := range carried {
		if len(values) > 1 {
			return r, broken, fmt.Sprintf("UNASKED: the members of a gang were told to start run %d with different checkpoints: %v; the job is shown as %s", number, values, state)
		}
	}
	return r, held, fmt.Sprintf("the members of each run carried one value; the job is shown as %s", state)
}

// playReborn: an idle worker crashes and starts again at once under its id, as a smaller
// kind, while jobs come.
func playReborn(folder string, trouble bool) (*rig, outcome, string) {
	r, err := begin(folder, 7, 3)
	if err != nil {
		return r, couldNot, err.Error()
	}
	smaller := kind{milliCPU: 4000, memoryMB: 8192, label: "b"}
	for round := range 7 {
		if trouble {
			r.mu.Lock()
			w := r.workers[0]
			w.crash()
			r.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			r.mu.Lock()
			if err := w.start(smaller); err != nil {
				r.mu.Unlock()
				return r, couldNot, err.Error()
			}
			r.mu.Unlock()
		}
		id := fmt.Sprintf("0000000000000a%02d", round)
		if err := r.submit(id, jobBody("work=500", step{"count": 1, "cpu": 12000, "mem-mb": 1000, "estimate-ms": 500})); err != nil {
			return r, couldNot, err.Error()
		}
		time.Sleep(3 * time.Second)
		for _, run := range r.runsOf(id) {
			if trouble && run.worker == r.workers[0].id {
				return r, broken, fmt.Sprintf("LIMIT: %s of 12000 thousandths of a core started on worker %s, which has %d", run.key.task, run.worker, smaller.milliCPU)
			}
		}
		if trouble { // the kind that it had before
			r.mu.Lock()
			r.workers[0].crash()
			r.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			r.mu.Lock()
			if err := r.workers[0].start(small); err != nil {
				r.mu.Unlock()
				return r, couldNot, err.Error()
			}
			r.mu.Unlock()
			time.Sleep(2 * time.Second)
		}
	}
	return r, held, "no start was over the capacity of its worker"
}

// playShards: some workers of a kind that jobs require are lost for good, one after the
// other, while another one of the kind is up and idle.
func playShards(folder string, trouble bool) (*rig, outcome, string) {
	const (
		workerCount = 140
		labelled    = 8
		rareLabel   = "b"
		jobs        = 12
		// finishBound is finish_s and the 3 s of the rule.
		finishBound = 17 * time.Second
		// leaseOver is longer than a lease lasts.
		leaseOver = 8 * time.Second
	)
	r, err := newRig(folder, workerCount, small, 3)
	if err != nil {
		return r, couldNot, err.Error()
	}
	r.mu.Lock()
	rare := small
	rare.label = rareLabel
	for i := range labelled {
		w := r.workers[i*workerCount/labelled]
		w.kind = rare
		w.beat()
	}
	r.mu.Unlock()
	if err := r.startNodes(); err != nil {
		return r, couldNot, err.Error()
	}
	body := jobBody("work=300", step{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 300, "requires": rareLabel})
	// The worker that runs the first job is never crashed, so there is always one for the others.
	spared, lost := "", 0
	for round := 0; round < labelled-1; round++ {
		handedInAt := time.Now()
		var ids []string
		for i := range jobs {
			id := fmt.Sprintf("%08x%08x", uint32(1+round*jobs+i)*2654435761, round)
			if err := r.submit(id, body); err != nil {
				return r, couldNot, err.Error()
			}
			ids = append(ids, id)
		}
		var next *worker
		for _, id := range ids {
			state := r.awaitEnd(id, time.Until(handedInAt.Add(finishBound)))
			runs := r.runsOf(id)
			if state != "completed" && len(runs) == 0 {
				text := fmt.Sprintf("%s has no run %s after it was accepted and is %s, while worker %s is idle and has room for 16 such tasks; %d of %d workers are lost", id, finishBound, state, spared, lost, workerCount)
				if r.idle(spared) {
					return r, broken, "LOST: " + text
				}
				return r, couldNot, text
			}
			if len(runs) == 0 {
				continue
			}
			if spared == "" {
				spared = runs[0].worker
			}
			if runs[0].worker != spared {
				next = r.workerOf(runs[0].worker)
			}
		}
		if !trouble && round == 1 {
			break
		}
		if trouble && next != nil {
			r.mu.Lock()
			next.crash()
			r.mu.Unlock()
			lost++
			time.Sleep(leaseOver)
		}
	}
	return r, held, fmt.Sprintf("all jobs ran, with %d of %d workers lost", lost, workerCount)
}

// workerOf returns the worker with this id.
func (r *rig) workerOf(id string) *worker {
	for _, w := range r.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// idle reports whether a worker is up and runs nothing.
func (r *rig) idle(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workerOf(id)
	return w != nil && w.alive && len(w.runs) == 0
}
