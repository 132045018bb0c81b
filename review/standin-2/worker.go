package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Times of the stand-in workers, as the sheets of the small sites give them.
const (
	heartbeatInterval  = 1500 * time.Millisecond
	maxLease           = 6 * time.Second
	maxWait            = 2 * time.Second
	gangWait           = 3 * time.Second
	checkpointInterval = 500 * time.Millisecond
	restoreTime        = 100 * time.Millisecond
	// stopTime is how long a stop takes; the pages allow 900 ms.
	stopTime = 100 * time.Millisecond
	// lastingStartup is the time from the start of a lasting task until it is at work.
	lastingStartup = 300 * time.Millisecond
	// faultyRunTime is how long a run works on a faulty worker before it fails.
	faultyRunTime = 100 * time.Millisecond
	// A lasting task that fails now and then works for minUnsteadyTime to maxUnsteadyTime.
	minUnsteadyTime, maxUnsteadyTime = 20 * time.Second, 60 * time.Second
	// gangDelay is how long a worker takes to learn that another member of a gang has ended.
	gangDelay        = 30 * time.Millisecond
	maxListedResults = 500
)

// kind is what a worker has.
type kind struct {
	milliCPU, memoryMB int
	label              string
}

// worker is a stand-in of a worker. All its fields are guarded by rig.mu, as the members
// of a gang depend on each other.
type worker struct {
	rig      *rig
	id       string
	address  string
	kind     kind
	rack     string
	bornAt   time.Time
	lastBeat time.Time
	sequence int64 // seq-no of its entry

	faulty       bool // all runs fail
	fencingToken int64
	leaseEnd     time.Time
	runs         map[runKey]*run
	highestRun   map[string]int64 // by task: the highest run that was stopped or has ended
	lastEnd      int64
	ends         []end
	changed      chan struct{} // closed and replaced when a run ends
}

type runKey struct {
	task string
	run  int64
}

// run is one run on a worker.
type run struct {
	key        runKey
	worker     *worker
	spec       taskSpec
	gang       *gang // nil if the task is in none
	startedAt  time.Time
	workFrom   time.Time // when it began to work; zero before
	resumed    time.Duration
	checkpoint string
	stopping   bool
	record     *runRecord
}

// gang is one run of a step whose tasks work only together, from when all are present.
type gang struct {
	members map[string]*run // by task; those that haven't ended
}

type end struct {
	number     int64
	key        runKey
	how        string
	checkpoint string
}

// taskSpec is what the text of a job says of its tasks: "work=2000,gang=2,lasts".
type taskSpec struct {
	work  time.Duration
	gang  int
	lasts bool
}

func parseSpec(text string) taskSpec {
	var spec taskSpec
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		number, _ := strconv.Atoi(value) // 0 if there is none
		switch name {
		case "work":
			spec.work = time.Duration(number) * time.Millisecond
		case "gang":
			spec.gang = number
		case "lasts":
			spec.lasts = true
		}
	}
	return spec
}

// start starts the worker. The caller holds rig.mu.
func (w *worker) start(k kind) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.address = listener.Addr().String()
	w.kind, w.bornAt = k, time.Now()
	w.runs, w.highestRun, w.changed = map[runKey]*run{}, map[string]int64{}, make(chan struct{})
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(listener) }() // ends with the process
	w.rig.log("worker %s starts with %d thousandths of a core", w.id, k.milliCPU)
	w.beat()
	return nil
}

// beat writes the worker's entry. The caller holds rig.mu.
func (w *worker) beat() {
	w.sequence++
	w.lastBeat = time.Now()
	w.rig.putServer(w.id, map[string]any{
		"service": serviceName, "address": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]int{"cpu": w.kind.milliCPU, "mem-mb": w.kind.memoryMB, "gpu": 0}, "labels": []string{w.kind.label, w.rack},
		"clock-ms": w.clock(), "born": w.bornAt.UnixMilli(), "seq-no": w.sequence,
	})
}

// clock is the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.bornAt).Milliseconds() }

type workerCall struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"until-ms"`
	FencingToken int64  `json:"fencing-token"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"last-seen"`
	WaitMS       int64  `json:"wait-ms"`
}

// ServeHTTP serves the calls of a worker.
func (w *worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	var call workerCall
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.rig.mu.Lock()
	defer w.rig.mu.Unlock()
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.expire()
	if call.FencingToken < w.fencingToken {
		w.answer(response, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fencingToken = call.FencingToken
	switch request.URL.Path {
	case "/yuccalanding/run-start":
		w.serveStart(response, call)
	case "/yuccalanding/run-stop":
		w.serveStop(response, call)
	case "/yuccalanding/hold":
		w.serveHold(response, request, call)
	case "/yuccalanding/pace":
		w.answer(response, http.StatusOK, map[string]any{})
	default:
		response.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(response http.ResponseWriter, status int, body map[string]any) {
	body["clock-ms"] = w.clock()
	writeJSON(response, status, body)
}

// extendLease extends the lease, which never shortens, to a time of the worker's clock.
func (w *worker) extendLease(untilMS int64) {
	if until := time.Now().Add(min(time.Duration(untilMS-w.clock())*time.Millisecond, maxLease)); until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

// expire ends all runs if their lease is over.
func (w *worker) expire() {
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
	}
}

func (w *worker) serveStart(response http.ResponseWriter, call workerCall) {
	key := runKey{call.Task, call.Run}
	if w.runs[key] != nil {
		w.extendLease(call.UntilMS)
		w.answer(response, http.StatusOK, map[string]any{})
		return
	}
	if call.UntilMS <= w.clock() {
		w.answer(response, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extendLease(call.UntilMS)
	if call.Run <= w.highestRun[call.Task] {
		w.answer(response, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	r := &run{key: key, worker: w, spec: parseSpec(call.Spec), startedAt: time.Now(), checkpoint: call.Checkpoint}
	r.resumed = progressOf(call.Checkpoint)
	w.runs[key] = r
	r.record = w.rig.recordStart(r, call.Checkpoint)
	if r.spec.gang > 1 {
		w.joinGang(r)
	} else {
		w.beginWork(r)
	}
	w.answer(response, http.StatusOK, map[string]any{})
}

// beginWork lets a run work, and schedules its end.
func (w *worker) beginWork(r *run) {
	r.workFrom = time.Now()
	if r.checkpoint != "" {
		r.workFrom = r.workFrom.Add(restoreTime)
	}
	switch {
	case w.faulty:
		w.endLater(r, faultyRunTime, "failed")
	case r.spec.lasts && w.rig.unsteady:
		w.endLater(r, minUnsteadyTime+rand.N(maxUnsteadyTime-minUnsteadyTime), "failed")
	case !r.spec.lasts:
		w.endLater(r, time.Until(r.workFrom)+r.spec.work-r.resumed, "done")
	}
}

// endLater ends the run after the given time, unless it has ended before or is being
// stopped.
func (w *worker) endLater(r *run, after time.Duration, how string) {
	time.AfterFunc(after, func() {
		w.rig.mu.Lock()
		defer w.rig.mu.Unlock()
		if w.runs[r.key] == r && (!r.stopping || how == "stopped") {
			w.expire()
			w.endRun(r, how)
		}
	})
}

// stepName is the name of the step of a task.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (w *worker) joinGang(r *run) {
	key := runKey{stepName(r.key.task), r.key.run}
	g := w.rig.gangs[key]
	if g == nil {
		g = &gang{members: map[string]*run{}}
		w.rig.gangs[key] = g
	}
	g.members[r.key.task], r.gang = r, g
	if len(g.members) == r.spec.gang {
		for _, member := range g.members {
			member.worker.beginWork(member)
		}
		return
	}
	time.AfterFunc(gangWait, func() {
		w.rig.mu.Lock()
		defer w.rig.mu.Unlock()
		if w.runs[r.key] == r && r.workFrom.IsZero() {
			w.endRun(r, "alone")
		}
	})
}

// leaveGang ends the other members of a gang. They learn of it after gangDelay, but for those
// on the same worker.
func (w *worker) leaveGang(r *run, how string) {
	if r.gang == nil {
		return
	}
	delete(r.gang.members, r.key.task)
	for _, member := range r.gang.members {
		switch {
		case how == "done":
			member.worker.endLater(member, 0, "done")
		case member.worker != w:
			member.worker.endLater(member, gangDelay, "broken")
		case member.workFrom.IsZero():
		default:
			member.worker.endLater(member, 0, "broken")
		}
	}
}

// endRun records the end of a run.
func (w *worker) endRun(r *run, how string) {
	r.saveProgress(how == "stopped")
	delete(w.runs, r.key)
	w.highestRun[r.key.task] = max(w.highestRun[r.key.task], r.key.run)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.key, how, r.checkpoint})
	r.record.endedAt, r.record.how = time.Now(), how
	w.rig.log("worker %s ends %s run %d: %s, saved %q", w.id, r.key.task, r.key.run, how, r.checkpoint)
	w.leaveGang(r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// progress is the work that is done.
func (r *run) progress() time.Duration {
	if r.workFrom.IsZero() {
		return r.resumed
	}
	return r.resumed + max(0, time.Since(r.workFrom))
}

func (r *run) percent() int {
	switch {
	case r.spec.lasts && time.Since(r.startedAt) >= lastingStartup:
		return 100
	case r.spec.lasts || r.spec.work == 0:
		return 0
	}
	return min(99, int(100*r.progress()/r.spec.work))
}

// saveProgress makes a new checkpoint for each checkpointInterval of work, and at a stop. The
// members of a gang that have done the same work have the same value.
func (r *run) saveProgress(atStop bool) {
	progress := r.progress()
	if !atStop {
		progress = progress.Truncate(checkpointInterval)
	}
	if r.spec.lasts || progress <= r.resumed || progress <= progressOf(r.checkpoint) {
		return
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(stepName(r.key.task))) // never fails
	if r.gang == nil {
		_, _ = hash.Write([]byte(r.key.task))
	}
	r.checkpoint = fmt.Sprintf("%08x%08x", progress.Milliseconds(), hash.Sum32())
}

// progressOf is the work that a checkpoint holds.
func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	ms, _ := strconv.ParseInt(checkpoint[:8], 16, 64) // 0 for a value of another form
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) serveStop(response http.ResponseWriter, call workerCall) {
	w.highestRun[call.Task] = max(w.highestRun[call.Task], call.Run)
	for _, r := range w.runs {
		if r.key.task == call.Task && r.key.run <= call.Run && !r.stopping {
			r.stopping = true
			w.endLater(r, stopTime, "stopped")
		}
	}
	w.answer(response, http.StatusOK, map[string]any{})
}

func (w *worker) serveHold(response http.ResponseWriter, request *http.Request, call workerCall) {
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > call.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	if call.UntilMS > 0 {
		w.extendLease(call.UntilMS)
	}
	if call.WaitMS > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.rig.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(maxWait, time.Duration(call.WaitMS)*time.Millisecond)):
		case <-request.Context().Done():
		}
		w.rig.mu.Lock()
	}
	w.expire()
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		r.saveProgress(false)
		running = append(running, []any{r.key.task, r.key.run, r.checkpoint, r.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedResults)] {
		ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, e.checkpoint})
	}
	w.answer(response, http.StatusOK, map[string]any{"born": w.bornAt.UnixMilli(), "running": running, "ended": ended})
}

func writeJSON(response http.ResponseWriter, status int, body any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_ = json.NewEncoder(response).Encode(body) // the caller notices a broken connection
}

// beatAll keeps the entries of the workers until the process ends.
func (r *rig) beatAll() {
	for range time.Tick(100 * time.Millisecond) {
		r.mu.Lock()
		for _, w := range r.workers {
			if time.Since(w.lastBeat) >= heartbeatInterval {
				w.beat()
			}
			w.expire()
		}
		r.mu.Unlock()
	}
}
