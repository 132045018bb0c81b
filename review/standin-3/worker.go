package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat     = 1500 * time.Millisecond
	entryLifetime = 3 * heartbeat
	maxHold       = 6 * time.Second
	maxListedEnds = 500
	// standing is the text of a task that lasts. It is at work after startup.
	standing = "standing"
	startup  = 300 * time.Millisecond
	lastsFor = time.Hour
)

// run is one run of a task, as the worker saw it.
type run struct {
	task           string
	number         int64
	worker         string
	startedAt      time.Time
	endedAt        time.Time // zero while it runs
	how            string
	acknowledgedAt time.Time // when the call whose last-seen reached its end arrived; zero if none did
	crashed        bool      // its worker crashed under it
}

// worker is one machine of a service. A crash ends its life; the next one has another
// id at the same address.
type worker struct {
	site     *site
	name     string // of the machine
	service  string
	capacity map[string]int

	mu       sync.Mutex
	id       string
	life     int
	address  string
	server   *http.Server
	listener *limitedListener
	born     time.Time
	fence    int64
	leaseEnd time.Time
	lapsedAt time.Time
	running  map[string]*liveRun // by TASK/RUN
	highest  map[string]int64    // by task: the highest run that ended or was stopped
	ended    []end
	lastEnd  int64
	changed  chan struct{}
	up       bool
	draining bool
	leaving  bool // it writes no more entries
}

type liveRun struct {
	*run
	duration time.Duration
	lasts    bool
	timer    *time.Timer
}

// percent is the progress that the worker reports.
func (r *liveRun) percent() int {
	age := time.Since(r.startedAt)
	switch {
	case !r.lasts:
		return min(99, int(100*age/max(1, r.duration)))
	case age < startup:
		return 0
	}
	return 100
}

type end struct {
	sequence int64
	run      *run
}

// newWorker starts the first life of a worker.
func newWorker(s *site, name, service string, capacity map[string]int) (*worker, error) {
	w := &worker{site: s, name: name, service: service, capacity: capacity}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w, w.begin()
}

// begin starts a life. The caller holds w.mu.
func (w *worker) begin() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.life++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.life)
	w.address, w.born, w.up = listener.Addr().String(), time.Now(), true
	w.fence, w.leaseEnd, w.lapsedAt, w.lastEnd, w.ended = 0, time.Time{}, time.Time{}, 0, nil
	w.running, w.highest, w.changed = map[string]*liveRun{}, map[string]int64{}, make(chan struct{})
	w.server, w.listener = &http.Server{Handler: w}, &limitedListener{Listener: listener}
	go func(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }(w.server, w.listener) // ends with its Close
	w.writeEntry()
	return nil
}

// crash ends the life at once. After downFor the next one begins. The entry of the
// former one expires.
func (w *worker) crash(downFor time.Duration) {
	w.mu.Lock()
	id, now := w.id, time.Now()
	w.up = false
	for _, r := range w.running {
		r.timer.Stop()
		r.endedAt, r.crashed = now, true
	}
	runs := len(w.running)
	w.running = map[string]*liveRun{}
	_ = w.server.Close()
	close(w.changed)
	w.mu.Unlock()
	w.site.record("worker %s (%s) crashes with %d runs, down for %s", id, w.service, runs, downFor)
	time.AfterFunc(entryLifetime, func() { w.site.store.Put("keyed.servers", id, "") })
	time.AfterFunc(downFor, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.begin(); err != nil {
			w.site.record("worker %s can't start again: %s", id, err)
			return
		}
		w.site.record("worker %s runs again as %s", id, w.id)
	})
}

// leave drains the worker and ends it after its last run.
func (w *worker) leave(after time.Duration) {
	w.mu.Lock()
	w.draining = true
	w.writeEntry()
	w.mu.Unlock()
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.up, w.leaving = false, true
		_ = w.server.Close()
		w.site.store.Put("keyed.servers", w.id, "")
		w.site.record("worker %s (%s) has left", w.id, w.service)
	})
}

// publish rewrites the entry, as each heartbeat does.
func (w *worker) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up && !w.leaving {
		w.writeEntry()
	}
}

// writeEntry writes the worker's entry. The caller holds w.mu.
func (w *worker) writeEntry() {
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": "brum-a", "version": "1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"seq-no": int64(time.Since(w.born)/heartbeat) + 1, "born": w.born.UnixMilli(), "capacity": w.capacity, "labels": []string{"a", "r1-1"},
		"machine": "m-" + w.name,
	}
	if w.draining {
		entry["state"], entry["remaining-ms"] = "draining", 3000
	}
	w.site.store.Put("keyed.servers", w.id, encode(entry))
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

type workerCall struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until-ms"`
	Fence    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	WaitMS   int64  `json:"wait-ms"`
}

// ServeHTTP serves the calls of the system.
func (w *worker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	var call workerCall
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &call) != nil {
		answer(response, http.StatusBadRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if intended := r.Header.Get("X-Expect-Instance"); intended != "" && intended != w.id {
		answer(response, http.StatusMisdirectedRequest, map[string]any{"clock-ms": w.clock()})
		return
	}
	w.expireLease()
	if call.Fence < w.fence {
		w.refuse(response, "fence")
		return
	}
	w.fence = call.Fence
	switch strings.TrimPrefix(r.URL.Path, "/yuccalanding/") {
	case "run-start":
		w.start(response, call)
	case "run-stop":
		w.stop(response, call)
	case "hold":
		w.hold(response, r, call)
	case "pace":
		answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock()})
	default:
		answer(response, http.StatusNotFound, map[string]any{})
	}
}

func (w *worker) refuse(response http.ResponseWriter, reason string) {
	answer(response, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": reason})
}

func runKey(task string, number int64) string { return task + "/" + strconv.FormatInt(number, 10) }

func (w *worker) start(response http.ResponseWriter, call workerCall) {
	key := runKey(call.Task, call.Run)
	if w.running[key] != nil {
		answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock()})
		return
	}
	if call.Run <= w.highest[call.Task] {
		w.extendLease(call.UntilMS)
		w.refuse(response, "old")
		return
	}
	if call.UntilMS <= w.clock() {
		w.refuse(response, "late")
		return
	}
	milliseconds, err := strconv.Atoi(call.Spec)
	lasts := call.Spec == standing
	if err != nil && !lasts {
		answer(response, http.StatusBadRequest, map[string]any{"clock-ms": w.clock()})
		return
	}
	w.extendLease(call.UntilMS)
	duration := time.Duration(milliseconds) * time.Millisecond
	live := &liveRun{run: &run{task: call.Task, number: call.Run, worker: w.id, startedAt: time.Now()}, duration: duration, lasts: lasts}
	w.running[key] = live
	w.site.addRun(live.run)
	w.site.record("worker %s (%s) starts %s run %d", w.id, w.service, call.Task, call.Run)
	life := w.life
	if lasts {
		duration = lastsFor
	}
	live.timer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life || !w.up {
			return
		}
		w.expireLease()
		w.finish(key, "done", time.Now())
	})
	answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock()})
	if w.site.onStart != nil {
		go w.site.onStart(w, *live.run)
	}
}

func (w *worker) stop(response http.ResponseWriter, call workerCall) {
	w.finish(runKey(call.Task, call.Run), "stopped", time.Now())
	w.highest[call.Task] = max(w.highest[call.Task], call.Run)
	answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

// extendLease extends the lease of everything that runs to a time of the worker's clock.
func (w *worker) extendLease(untilMS int64) {
	if until := time.Now().Add(min(time.Duration(untilMS-w.clock())*time.Millisecond, maxHold)); until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

// expireLease ends everything that runs if the lease is over. The caller holds w.mu.
func (w *worker) expireLease() {
	if time.Now().Before(w.leaseEnd) || w.lapsedAt.Equal(w.leaseEnd) {
		return
	}
	w.lapsedAt = w.leaseEnd
	for _, key := range slices.Sorted(maps.Keys(w.running)) {
		w.finish(key, "lapsed", w.leaseEnd)
	}
}

// finish ends a run. The caller holds w.mu.
func (w *worker) finish(key, how string, at time.Time) {
	r := w.running[key]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.running, key)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.site.mu.Lock()
	r.endedAt, r.how = at, how
	w.site.mu.Unlock()
	w.ended = append(w.ended, end{w.lastEnd, r.run})
	w.site.record("worker %s (%s) ends %s run %d: %s", w.id, w.service, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// hold answers with both lists. With wait-ms it waits for an end.
func (w *worker) hold(response http.ResponseWriter, r *http.Request, call workerCall) {
	now := time.Now()
	w.ended = slices.DeleteFunc(w.ended, func(e end) bool {
		if e.sequence > call.LastSeen {
			return false
		}
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if !w.lapsedAt.After(e.run.endedAt) {
			e.run.acknowledgedAt = now
		}
		return true
	})
	if call.UntilMS > 0 {
		w.extendLease(call.UntilMS)
	}
	if call.WaitMS > 0 && len(w.ended) == 0 {
		changed, life := w.changed, w.life
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(call.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if !w.up || w.life != life {
			panic(http.ErrAbortHandler)
		}
		w.expireLease()
	}
	running, ended := [][]any{}, [][]any{}
	for _, key := range slices.Sorted(maps.Keys(w.running)) {
		live := w.running[key]
		running = append(running, []any{live.task, live.number, "", live.percent(), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.sequence, e.run.task, e.run.number, e.run.how, ""})
	}
	answer(response, http.StatusOK, map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are constructed here
	}
	return string(text)
}

func answer(response http.ResponseWriter, status int, body any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_, _ = io.WriteString(response, encode(body)) // the caller may have left
}
