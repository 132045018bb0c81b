package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of a worker, from PROTOCOL.md and the bounds of the site.
const (
	maxWait         = 2 * time.Second
	maxEndsInAnswer = 500
	heartbeatTime   = 1500 * time.Millisecond
	checkpointTime  = 500 * time.Millisecond
	startupTime     = 300 * time.Millisecond // of a task that lasts
)

// run is one run of a task at a worker, as the worker saw it.
type run struct {
	task       string
	number     int64
	worker     string
	startedAt  time.Time
	endedAt    time.Time // zero while the task runs
	how        string
	notedAt    time.Time // when last-seen reached its end
	lapsed     bool      // the worker's lease lapsed between its end and notedAt
	sequence   int64
	work       time.Duration // 0: lasts until it is stopped
	saves      bool
	timer      *time.Timer
	checkpoint string
}

// worker is a stand-in of one worker. Each life has its own listener at one address.
type worker struct {
	platform *platformStandin
	id       string
	service  string
	capacity map[string]int
	rack     string

	mu           sync.Mutex
	up           bool
	born         time.Time
	server       *http.Server
	address      string
	fencingToken int64
	leaseEnd     time.Time
	lapses       []time.Time
	lastEnd      int64
	running      map[string]*run // by task/number
	highest      map[string]int64
	ended        []*run
	changed      chan struct{}
	silentSince  time.Time
	listed       bool
	cut          chan struct{} // nil unless the worker is cut off; closed when that ends
	clockRate    float64       // of its clock: 0.98 to 1
}

// start begins a life of the worker, at the address of the earlier one if there was one.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.address, w.up, w.born = listener.Addr().String(), true, time.Now()
	if w.clockRate == 0 {
		w.clockRate = 1
	}
	w.fencingToken, w.leaseEnd, w.lapses, w.lastEnd = 0, time.Time{}, nil, 0
	w.running, w.highest, w.ended, w.changed = map[string]*run{}, map[string]int64{}, nil, make(chan struct{})
	w.server = &http.Server{Handler: w}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server) // ends with Close
	w.publish()
	return nil
}

// publish writes the worker's entry. The caller holds w.mu.
func (w *worker) publish() {
	entry, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": "lahore-a", "version": "1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"seq-no": time.Since(w.born).Milliseconds(), "born": w.born.UnixMilli(), "capacity": w.capacity, "labels": []string{"a", w.rack}, "machine": "m-" + w.id,
	})
	if err != nil {
		panic(err) // the map holds only values that can be encoded
	}
	w.listed = true
	w.platform.store.put("keyed.servers", w.id, entry)
}

// crash ends the worker and everything that runs on it without a word.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.silentSince = false, time.Now()
	_ = w.server.Close() // ends all connections
	for _, r := range w.running {
		r.timer.Stop()
		r.endedAt, r.how = time.Now(), "lost with its worker"
		w.platform.note("worker %s crashed under %s run %d", w.id, r.task, r.number)
	}
	w.running, w.ended = map[string]*run{}, nil
	w.platform.note("worker %s crashed", w.id)
}

// beat removes the entry of a worker that has been silent for three heartbeats, and
// expires the lease.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up && w.listed && time.Since(w.silentSince) > 3*heartbeatTime {
		w.listed = false
		w.platform.store.put("keyed.servers", w.id, nil)
	}
	if w.up {
		w.expireLease()
	}
}

// cutOff partitions the worker from all processes of the system for some time. It runs on,
// and still reaches the store.
func (w *worker) cutOff(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform.note("worker %s is cut off", w.id)
	w.cut = make(chan struct{})
	time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.platform.note("worker %s is reached again", w.id)
		close(w.cut)
		w.cut = nil
	})
}

// clock is the worker's time in ms since its start.
func (w *worker) clock() int64 {
	return int64(float64(time.Since(w.born)) * w.clockRate / float64(time.Millisecond))
}

// expireLease ends all runs if their lease is over. The caller holds w.mu.
func (w *worker) expireLease() {
	if w.leaseEnd.IsZero() || time.Now().Before(w.leaseEnd) {
		return
	}
	w.lapses = append(w.lapses, w.leaseEnd)
	w.leaseEnd = time.Time{}
	for _, r := range w.running {
		w.end(r, "lapsed", "")
	}
}

// end lists the end of a run. The caller holds w.mu.
func (w *worker) end(r *run, how, checkpoint string) {
	key := runName(r.task, r.number)
	if w.running[key] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, key)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	r.sequence, r.endedAt, r.how, r.checkpoint = w.lastEnd, time.Now(), how, checkpoint
	w.ended = append(w.ended, r)
	close(w.changed)
	w.changed = make(chan struct{})
}

func runName(task string, number int64) string { return fmt.Sprintf("%s/%d", task, number) }

type workerCall struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	Checkpoint   string `json:"checkpoint"`
	UntilMS      int64  `json:"until-ms"`
	FencingToken int64  `json:"fencing-token"`
	LastSeen     int64  `json:"last-seen"`
	WaitMS       int64  `json:"wait-ms"`
}

func (w *worker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if w.dropped(r) {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.expireLease()
	if call.FencingToken < w.fencingToken {
		w.refuse(response, "fence")
		return
	}
	w.fencingToken = call.FencingToken
	switch {
	case strings.HasSuffix(r.URL.Path, "/run-start"):
		w.startRun(response, call)
	case strings.HasSuffix(r.URL.Path, "/run-stop"):
		if one := w.running[runName(call.Task, call.Run)]; one != nil {
			w.end(one, "stopped", w.savedBy(one))
		}
		w.highest[call.Task] = max(w.highest[call.Task], call.Run)
		answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock()})
	case strings.HasSuffix(r.URL.Path, "/pace"):
		answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock()})
	case strings.HasSuffix(r.URL.Path, "/hold"):
		w.hold(response, r, call)
	default:
		response.WriteHeader(http.StatusNotFound)
	}
}

// dropped reports whether the worker is cut off. The message is lost then, and its sender
// hears nothing. The caller holds w.mu, which is released meanwhile.
func (w *worker) dropped(r *http.Request) bool {
	if w.cut == nil {
		return false
	}
	w.mu.Unlock()
	<-r.Context().Done()
	w.mu.Lock()
	return true
}

func (w *worker) refuse(response http.ResponseWriter, reason string) {
	answer(response, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": reason})
}

// startRun starts a run. The text of the job is "WORK-MS", and "+saves" if its tasks save
// their progress; a task with 0 ms of work lasts.
func (w *worker) startRun(response http.ResponseWriter, call workerCall) {
	key := runName(call.Task, call.Run)
	switch {
	case call.UntilMS <= w.clock():
		w.refuse(response, "late")
		return
	case w.running[key] != nil:
		w.extendLease(call.UntilMS)
		answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock()})
		return
	case call.Run <= w.highest[call.Task]:
		w.extendLease(call.UntilMS)
		w.refuse(response, "old")
		return
	}
	var workMS int
	if _, err := fmt.Sscanf(call.Spec, "%d", &workMS); err != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.extendLease(call.UntilMS)
	one := &run{
		task: call.Task, number: call.Run, worker: w.id, startedAt: time.Now(),
		work: time.Duration(workMS) * time.Millisecond, saves: strings.HasSuffix(call.Spec, "+saves"), checkpoint: call.Checkpoint,
	}
	w.running[key] = one
	one.timer = time.AfterFunc(max(one.work, time.Millisecond), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if one.work > 0 && w.running[key] == one {
			w.expireLease()
			w.end(one, "done", "")
		}
	})
	w.platform.addRun(one)
	answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

// extendLease extends the lease to a time of the worker's clock, by maxHold from now at
// most. The caller holds w.mu.
func (w *worker) extendLease(untilMS int64) {
	left := min(time.Duration(untilMS-w.clock())*time.Millisecond, w.platform.maxHold)
	end := time.Now().Add(time.Duration(float64(left) / w.clockRate))
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// savedBy is the newest checkpoint of a run.
func (w *worker) savedBy(r *run) string {
	if count := time.Since(r.startedAt) / checkpointTime; r.saves && count > 0 {
		return fmt.Sprintf("%08x%s", count, strings.ReplaceAll(r.task, ".", "")[:8])
	}
	return r.checkpoint
}

// hold forgets the ends up to last-seen, extends the lease, waits for an end, and answers
// with both lists. The caller holds w.mu; hold releases it while it waits.
func (w *worker) hold(response http.ResponseWriter, r *http.Request, call workerCall) {
	w.ended = slices.DeleteFunc(w.ended, func(one *run) bool {
		if one.sequence > call.LastSeen {
			return false
		}
		lapsed := slices.ContainsFunc(w.lapses, func(at time.Time) bool { return at.After(one.endedAt) })
		w.platform.noteEnd(one, lapsed)
		return true
	})
	if call.UntilMS > 0 {
		w.extendLease(call.UntilMS)
	}
	if call.WaitMS > 0 && len(w.ended) == 0 {
		changed, server := w.changed, w.server
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(call.WaitMS)*time.Millisecond, maxWait)):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if !w.up || w.server != server {
			panic(http.ErrAbortHandler)
		}
		w.expireLease()
		if w.dropped(r) {
			return
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, one := range w.running {
		percent := 100
		if one.work > 0 {
			percent = int(min(99, 100*time.Since(one.startedAt)/one.work))
		} else if time.Since(one.startedAt) < startupTime {
			percent = 0
		}
		running = append(running, []any{one.task, one.number, w.savedBy(one), percent, 500})
	}
	for _, one := range w.ended[:min(len(w.ended), maxEndsInAnswer)] {
		ended = append(ended, []any{one.sequence, one.task, one.number, one.how, one.checkpoint})
	}
	answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}
