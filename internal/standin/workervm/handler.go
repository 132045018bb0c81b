package workervm

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// PathFault is where faults are set.
const PathFault = "/fault"

// maxBodyBytes holds a batch of starts with large payloads.
const maxBodyBytes = 64 << 20

type connectionNumber struct{}

// ConnContext numbers connections for the silent fault; it goes into the
// http.Server that serves the worker.
func (v *VM) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.connections++
	return context.WithValue(ctx, connectionNumber{}, v.connections)
}

// ServeHTTP serves the worker's interface.
func (v *VM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Every watch answer would carry the header.
	w.Header()["Date"] = nil
	switch r.Method + " " + r.URL.Path {
	case "GET " + worker.PathState:
		writeJSON(w, http.StatusOK, v.State())
		return
	case "POST " + PathFault:
		v.serveFault(w, r)
		return
	}
	if !v.awaitAnswering(r) {
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST " + worker.PathOpen:
		serve(v, w, r, v.open)
	case "POST " + worker.PathWatch:
		serve(v, w, r, func(body worker.WatchBody) (any, *worker.RefusalBody) { return v.watch(r.Context(), body) })
	case "POST " + worker.PathStart:
		serve(v, w, r, v.startAll)
	case "POST " + worker.PathClose:
		serve(v, w, r, v.closeSession)
	default:
		http.NotFound(w, r)
	}
}

// awaitAnswering returns when the worker may answer the request; false means
// that the request ended first.
func (v *VM) awaitAnswering(r *http.Request) bool {
	number, _ := r.Context().Value(connectionNumber{}).(uint64)
	for {
		v.mu.Lock()
		silent := v.fault.Freeze || number <= v.silentUpTo && number != 0
		changed := v.changed
		v.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
		}
	}
}

func (v *VM) serveFault(w http.ResponseWriter, r *http.Request) {
	serve(v, w, r, func(fault Fault) (any, *worker.RefusalBody) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.setFault(fault)
		return nil, nil
	})
}

func serve[Body any](v *VM, w http.ResponseWriter, r *http.Request, handle func(Body) (any, *worker.RefusalBody)) {
	var body Body
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, worker.RefusalBody{Code: worker.CodeBadRequest, Message: err.Error()})
		return
	}
	answer, refusal := handle(body)
	// The fault may have been set while the call waited.
	if r.URL.Path != PathFault && !v.awaitAnswering(r) {
		return
	}
	switch {
	case refusal != nil:
		writeJSON(w, http.StatusConflict, refusal)
	case answer == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that closed its connection does not read the answer.
	_, _ = w.Write(data)
}

// State returns what the worker saw.
func (v *VM) State() worker.State {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.state
	state.NowMS = v.options.Now().UnixMilli()
	state.Started = slices.Clone(state.Started)
	_, state.Running, _ = v.used()
	state.Unacked = len(v.tasks) - state.Running
	return state
}

// SetFault replaces the faults, like POST /fault.
func (v *VM) SetFault(fault Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setFault(fault)
}

func (v *VM) open(body worker.OpenBody) (any, *worker.RefusalBody) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Now()
	length := time.Duration(body.LengthMS) * time.Millisecond
	if body.Holder == "" || length <= 0 || length > maxSession {
		return nil, &worker.RefusalBody{Code: worker.CodeBadRequest, Message: "holder or length-ms is out of range"}
	}
	if !v.closed && now.Before(v.sessionEnds) && v.state.Holder != body.Holder {
		return nil, &worker.RefusalBody{
			Code: worker.CodeHeld, Holder: v.state.Holder, HeldForMS: v.sessionEnds.Sub(now).Milliseconds(),
		}
	}
	v.state.Token++
	v.state.Holder, v.sessionLength = body.Holder, length
	v.closed, v.leaveReported = false, false
	v.renew(now)
	v.wake()
	return worker.OpenResponse{
		Token: v.state.Token, NowMS: now.UnixMilli(), Worker: v.options.Worker, Tasks: v.list(now),
	}, nil
}

// renew renews the session and the leases of its tasks.
func (v *VM) renew(now time.Time) {
	v.endDueTasks(now)
	v.sessionEnds = now.Add(v.sessionLength)
	for _, t := range v.tasks {
		t.leaseEnds = now.Add(v.options.TaskLease)
	}
}

func (v *VM) list(now time.Time) []worker.ListedTask {
	listed := make([]worker.ListedTask, 0, len(v.tasks))
	for _, t := range v.tasks {
		t.reported = workload.Resources{}
		entry := worker.ListedTask{
			ID: t.ID, State: worker.Running, Resources: t.Resources, Connections: t.Connections,
			Label: t.Label, StartedMSAgo: now.Sub(t.startedAt).Milliseconds(),
		}
		if t.result != nil {
			entry.State, entry.Outcome = worker.Finished, t.result.Outcome
		}
		listed = append(listed, entry)
	}
	slices.SortFunc(listed, func(a, b worker.ListedTask) int { return placement.CompareTaskIDs(a.ID, b.ID) })
	return listed
}

// checkToken refuses every token but the newest. The newest token stays valid
// after the session's length has passed, because no other holder took over.
func (v *VM) checkToken(token worker.Token) *worker.RefusalBody {
	if token == v.state.Token && !v.closed {
		return nil
	}
	v.state.OldTokens++
	return &worker.RefusalBody{Code: worker.CodeTokenOld, Newest: v.state.Token}
}

func (v *VM) startAll(body worker.StartBody) (any, *worker.RefusalBody) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if refusal := v.checkToken(body.Token); refusal != nil {
		return nil, refusal
	}
	now := v.options.Now()
	v.endDueTasks(now)
	answer := worker.StartResponse{Results: make([]worker.StartResult, 0, len(body.Tasks))}
	for _, request := range body.Tasks {
		answer.Results = append(answer.Results, v.start(now, request))
	}
	return answer, nil
}

func (v *VM) closeSession(body worker.CloseBody) (any, *worker.RefusalBody) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if refusal := v.checkToken(body.Token); refusal != nil {
		return nil, refusal
	}
	v.closed = true
	v.wake()
	return nil, nil
}

func (v *VM) watch(ctx context.Context, body worker.WatchBody) (any, *worker.RefusalBody) {
	timer := time.NewTimer(min(time.Duration(body.WaitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	for first, last := true, false; ; first = false {
		answer, changed, refusal := v.lookOnce(body, first, last)
		if refusal != nil || answer != nil || last {
			return answer, refusal
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

// lookOnce returns the answer to a watch if there is anything to report.
// Usage alone does not end the wait; it goes with the last look.
func (v *VM) lookOnce(body worker.WatchBody, first, last bool) (any, <-chan struct{}, *worker.RefusalBody) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if refusal := v.checkToken(body.Token); refusal != nil {
		return nil, nil, refusal
	}
	now := v.options.Now()
	if first {
		v.renew(now)
		v.act(now, body)
	}
	answer := worker.WatchResponse{NowMS: now.UnixMilli(), ResultCursor: body.ResultCursor, Leaving: v.fault.Leave}
	answer.Finished, answer.ResultCursor = v.results(body.ResultCursor)
	news := len(answer.Finished) > 0 || v.fault.Leave && !v.leaveReported
	if news || last {
		answer.Usage = v.newUsage(now)
	}
	if !news && len(answer.Usage) == 0 && !(last && v.fault.Leave) {
		return nil, v.changed, nil
	}
	v.leaveReported = v.fault.Leave
	return answer, nil, nil
}

// results returns the unacknowledged results after seen, oldest first, up to a
// bounded size.
func (v *VM) results(seen uint64) ([]worker.FinishedTask, uint64) {
	var ended []*task
	for _, t := range v.tasks {
		if t.result != nil && t.sequence > seen {
			ended = append(ended, t)
		}
	}
	slices.SortFunc(ended, func(a, b *task) int { return cmp.Compare(a.sequence, b.sequence) })
	var finished []worker.FinishedTask
	for size, i := 0, 0; i < len(ended) && size < maxReportBytes; i++ {
		finished = append(finished, *ended[i].result)
		seen = ended[i].sequence
		size += len(ended[i].result.Body)
	}
	return finished, seen
}

// newUsage returns the usage that changed since it was last reported.
func (v *VM) newUsage(now time.Time) []worker.Usage {
	var usage []worker.Usage
	lag := time.Duration(v.fault.UsageLagMS) * time.Millisecond
	for _, t := range v.tasks {
		use := v.usage(t)
		if t.result == nil && now.Sub(t.startedAt) >= lag && use != t.reported {
			t.reported = use
			usage = append(usage, worker.Usage{ID: t.ID, Used: use})
		}
	}
	slices.SortFunc(usage, func(a, b worker.Usage) int { return placement.CompareTaskIDs(a.ID, b.ID) })
	return usage
}
