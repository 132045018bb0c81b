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

// PathFault is the path of the call that sets a Fault.
const PathFault = "/fault"

// maxBodyBytes is enough for a batch of starts with large payloads.
const maxBodyBytes = 64 << 20

// connectionNumber is the context key for the number of a call's connection.
type connectionNumber struct{}

// ConnContext numbers the connections for Fault.Unresponsive. The http.Server
// that serves the worker must use it as its ConnContext.
func (v *VM) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastConnectionNumber++
	return context.WithValue(ctx, connectionNumber{}, v.lastConnectionNumber)
}

// ServeHTTP implements http.Handler.
func (v *VM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Omit the Date header, which would add to the size of every watch answer.
	w.Header()["Date"] = nil
	switch r.Method + " " + r.URL.Path {
	case "GET " + worker.PathState:
		writeJSON(w, http.StatusOK, v.State())
		return
	case "POST " + PathFault:
		v.serveFault(w, r)
		return
	}
	if !v.awaitResponsive(r) {
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST " + worker.PathOpen:
		serveJSON(v, w, r, v.openSession)
	case "POST " + worker.PathWatch:
		serveJSON(v, w, r, func(body worker.WatchBody) (any, *worker.RefusalBody) { return v.watch(r.Context(), body) })
	case "POST " + worker.PathStart:
		serveJSON(v, w, r, v.startTasks)
	case "POST " + worker.PathClose:
		serveJSON(v, w, r, v.closeSession)
	default:
		http.NotFound(w, r)
	}
}

// awaitResponsive waits until no fault keeps the worker from answering the
// request. It returns false if the request was canceled first.
func (v *VM) awaitResponsive(r *http.Request) bool {
	number, _ := r.Context().Value(connectionNumber{}).(uint64)
	for {
		v.mu.Lock()
		unresponsive := v.fault.Freeze || number <= v.unresponsiveUpTo && number != 0
		changed := v.changed
		v.mu.Unlock()
		if !unresponsive {
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
	serveJSON(v, w, r, func(fault Fault) (any, *worker.RefusalBody) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.setFaultLocked(fault)
		return nil, nil
	})
}

// serveJSON decodes the body of a call, handles it and responds with status 200 and
// the answer, 204 without an answer, 400 for a malformed body or 409 for a refusal.
func serveJSON[Body any](v *VM, w http.ResponseWriter, r *http.Request, handle func(Body) (any, *worker.RefusalBody)) {
	var body Body
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, worker.RefusalBody{Code: worker.CodeBadRequest, Message: err.Error()})
		return
	}
	answer, refusal := handle(body)
	// The fault may have been set while the call was handled.
	if r.URL.Path != PathFault && !v.awaitResponsive(r) {
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
	// An error means that the client has disconnected.
	_, _ = w.Write(data)
}

// State returns a copy of the worker's state for checks by tests.
func (v *VM) State() worker.State {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.state
	state.NowMS = v.options.Now().UnixMilli()
	state.Started = slices.Clone(state.Started)
	_, state.Running, _ = v.allocated()
	state.Unacked = len(v.tasks) - state.Running
	return state
}

// SetFault replaces the fault, like POST /fault.
func (v *VM) SetFault(fault Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setFaultLocked(fault)
}

func (v *VM) openSession(body worker.OpenBody) (any, *worker.RefusalBody) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Now()
	length := time.Duration(body.LengthMS) * time.Millisecond
	if body.Holder == "" || length <= 0 || length > maxSessionLength {
		return nil, &worker.RefusalBody{Code: worker.CodeBadRequest, Message: "holder or length-ms is out of range"}
	}
	if !v.sessionClosed && now.Before(v.sessionEnds) && v.state.Holder != body.Holder {
		return nil, &worker.RefusalBody{
			Code: worker.CodeHeld, Holder: v.state.Holder, HeldForMS: v.sessionEnds.Sub(now).Milliseconds(),
		}
	}
	v.state.Token++
	v.state.Holder, v.sessionLength = body.Holder, length
	v.sessionClosed, v.leaveReported = false, false
	v.renewSession(now)
	v.notifyWaiters()
	return worker.OpenResponse{
		Token: v.state.Token, NowMS: now.UnixMilli(), Worker: v.options.Worker, Tasks: v.listTasks(now),
	}, nil
}

// renewSession renews the session and the leases of its tasks. Tasks whose
// lease has expired already are ended first.
func (v *VM) renewSession(now time.Time) {
	v.endDueTasks(now)
	v.sessionEnds = now.Add(v.sessionLength)
	for _, t := range v.tasks {
		t.leaseEnds = now.Add(v.options.TaskLease)
	}
}

// listTasks returns all unacknowledged tasks. Their usage is reported again to
// the new session.
func (v *VM) listTasks(now time.Time) []worker.ListedTask {
	listed := make([]worker.ListedTask, 0, len(v.tasks))
	for _, t := range v.tasks {
		t.reportedUsage = workload.Resources{}
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

// checkToken accepts only the newest token, and only until its session is closed.
// The newest token stays valid after its session has expired, because no other
// holder has opened a session since.
func (v *VM) checkToken(token worker.Token) *worker.RefusalBody {
	if token == v.state.Token && !v.sessionClosed {
		return nil
	}
	v.state.OldTokens++
	return &worker.RefusalBody{Code: worker.CodeTokenOld, Newest: v.state.Token}
}

func (v *VM) startTasks(body worker.StartBody) (any, *worker.RefusalBody) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if refusal := v.checkToken(body.Token); refusal != nil {
		return nil, refusal
	}
	now := v.options.Now()
	v.endDueTasks(now)
	answer := worker.StartResponse{Results: make([]worker.StartResult, 0, len(body.Tasks))}
	for _, request := range body.Tasks {
		answer.Results = append(answer.Results, v.startTask(now, request))
	}
	return answer, nil
}

func (v *VM) closeSession(body worker.CloseBody) (any, *worker.RefusalBody) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if refusal := v.checkToken(body.Token); refusal != nil {
		return nil, refusal
	}
	v.sessionClosed = true
	v.notifyWaiters()
	return nil, nil
}

// watch serves a long poll. It answers as soon as there is anything to report, or
// without content after body.WaitMS if there is nothing.
func (v *VM) watch(ctx context.Context, body worker.WatchBody) (any, *worker.RefusalBody) {
	timer := time.NewTimer(min(time.Duration(body.WaitMS)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for first, last := true, false; ; first = false {
		answer, changed, refusal := v.pollWatch(body, first, last)
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

// pollWatch returns the answer to a watch if there is anything to report, and
// otherwise a channel that is closed when the state changes. Usage alone does
// not end the wait; it is sent with results or at the last poll. The first poll
// renews the session and applies the actions of the watch.
func (v *VM) pollWatch(body worker.WatchBody, first, last bool) (any, <-chan struct{}, *worker.RefusalBody) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if refusal := v.checkToken(body.Token); refusal != nil {
		return nil, nil, refusal
	}
	now := v.options.Now()
	if first {
		v.renewSession(now)
		v.applyActions(now, body)
	}
	answer := worker.WatchResponse{NowMS: now.UnixMilli(), ResultCursor: body.ResultCursor, Leaving: v.fault.Leave}
	answer.Finished, answer.ResultCursor = v.unacknowledgedResults(body.ResultCursor)
	hasEvents := len(answer.Finished) > 0 || v.fault.Leave && !v.leaveReported
	if hasEvents || last {
		answer.Usage = v.changedUsage(now)
	}
	if !hasEvents && len(answer.Usage) == 0 && !(last && v.fault.Leave) {
		return nil, v.changed, nil
	}
	v.leaveReported = v.fault.Leave
	return answer, nil, nil
}

// unacknowledgedResults returns the unacknowledged results with a sequence
// number above cursor, oldest first and limited by maxReportBytes, and the
// sequence number of the last one.
func (v *VM) unacknowledgedResults(cursor uint64) ([]worker.FinishedTask, uint64) {
	var ended []*task
	for _, t := range v.tasks {
		if t.result != nil && t.resultSequence > cursor {
			ended = append(ended, t)
		}
	}
	slices.SortFunc(ended, func(a, b *task) int { return cmp.Compare(a.resultSequence, b.resultSequence) })
	var finished []worker.FinishedTask
	for size, i := 0, 0; i < len(ended) && size < maxReportBytes; i++ {
		finished = append(finished, *ended[i].result)
		cursor = ended[i].resultSequence
		size += len(ended[i].result.Body)
	}
	return finished, cursor
}

// changedUsage returns the usage that has changed since its last report.
func (v *VM) changedUsage(now time.Time) []worker.Usage {
	var usage []worker.Usage
	lag := time.Duration(v.fault.UsageLagMS) * time.Millisecond
	for _, t := range v.tasks {
		use := v.usage(t)
		if t.result == nil && now.Sub(t.startedAt) >= lag && use != t.reportedUsage {
			t.reportedUsage = use
			usage = append(usage, worker.Usage{ID: t.ID, Used: use})
		}
	}
	slices.SortFunc(usage, func(a, b worker.Usage) int { return placement.CompareTaskIDs(a.ID, b.ID) })
	return usage
}
