package worker_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const sessionLength = 3 * time.Second

var taskResources = workload.Resources{MilliCPU: 1000, MemoryMB: 1024}

// serveWorker runs one stand-in worker until the test ends. A lease of 0 means the
// default.
func serveWorker(t *testing.T, lease time.Duration) (*workervm.VM, netip.AddrPort) {
	ctx, cancel := context.WithCancel(context.Background())
	fleet, err := workervm.Serve(ctx, []workervm.Options{{TaskLease: lease, Worker: placement.Worker{
		Name: "w-1", Region: "punjab", FailureDomain: "lahore", Rack: "r-1",
		Capacity: taskResources.Times(2), Slots: 8, Connections: 64,
	}}})
	require.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-fleet.Done)
	})
	return fleet.VMs[0], fleet.Addresses[0]
}

func newClient(t *testing.T, address netip.AddrPort) *worker.Client {
	client := worker.New(worker.Options{Address: address, Timeout: 300 * time.Millisecond})
	t.Cleanup(client.Close)
	return client
}

func openSession(t *testing.T, client *worker.Client, holder string, length time.Duration) worker.Session {
	session, err := client.OpenSession(t.Context(), holder, length)
	require.NoError(t, err)
	return session
}

func newTask(key, payload string) worker.StartTask {
	return worker.StartTask{
		ID: placement.TaskID{Key: workload.Key(key)}, Resources: taskResources, Connections: 1,
		Label: []byte("label of " + key), Payload: []byte(payload),
	}
}

func startTasks(t *testing.T, client *worker.Client, token worker.Token, tasks ...worker.StartTask) []worker.StartResult {
	results, err := client.Start(t.Context(), token, tasks)
	require.NoError(t, err)
	return results
}

// Guards against a paused node that starts tasks, acknowledges results or closes
// the session after another node has opened one.
func TestOldTokenIsRefused(t *testing.T) {
	vm, address := serveWorker(t, 0)
	client := newClient(t, address)
	paused := openSession(t, client, "node-1", 300*time.Millisecond)
	_, err := client.OpenSession(t.Context(), "node-2", sessionLength)
	var held *worker.HeldError
	require.ErrorAs(t, err, &held)
	require.Equal(t, "node-1", held.Holder)
	time.Sleep(320 * time.Millisecond)
	require.Greater(t, openSession(t, client, "node-2", sessionLength).Token, paused.Token)
	for name, call := range map[string]func() error{
		"start": func() error {
			_, err := client.Start(t.Context(), paused.Token, []worker.StartTask{newTask("a", "")})
			return err
		},
		"watch": func() error {
			_, err := client.Watch(t.Context(), worker.WatchRequest{Token: paused.Token})
			return err
		},
		"close": func() error { return client.CloseSession(t.Context(), paused.Token) },
	} {
		t.Run(name, func(t *testing.T) {
			var tokenError *worker.TokenError
			require.ErrorAs(t, call(), &tokenError)
			require.Equal(t, paused.Token, tokenError.Used)
		})
	}
	require.Empty(t, vm.State().Started)
	require.Equal(t, 3, vm.State().OldTokens)
}

// Guards against a result that is lost when another node takes over the worker,
// that belongs to another task or that is incomplete.
func TestResultSurvivesOwnerChange(t *testing.T) {
	vm, address := serveWorker(t, 0)
	client := newClient(t, address)
	first := openSession(t, client, "node-1", sessionLength)
	payload := `{"run-ms":10}`
	require.True(t, startTasks(t, client, first.Token, newTask("a", payload))[0].Accepted)
	require.NoError(t, client.CloseSession(t.Context(), first.Token))
	require.Eventually(t, func() bool { return vm.State().Unacked == 1 }, time.Second, time.Millisecond)

	second := openSession(t, client, "node-2", sessionLength)
	require.Len(t, second.Tasks, 1)
	require.Equal(t, worker.Finished, second.Tasks[0].State)
	require.Equal(t, "label of a", string(second.Tasks[0].Label))
	report, err := client.Watch(t.Context(), worker.WatchRequest{Token: second.Token})
	require.NoError(t, err)
	require.Len(t, report.Finished, 1)
	var echo workervm.Echo
	require.NoError(t, json.Unmarshal(report.Finished[0].Body, &echo))
	require.Equal(t, workervm.Echo{
		ID: second.Tasks[0].ID, PayloadDigest: workervm.Digest([]byte(payload)), Worker: "w-1",
	}, echo)

	// A received result is not sent again, but is kept until it is acknowledged.
	report, err = client.Watch(t.Context(), worker.WatchRequest{Token: second.Token, ResultCursor: report.ResultCursor})
	require.NoError(t, err)
	require.Empty(t, report.Finished)
	require.Equal(t, 1, vm.State().Unacked)
	_, err = client.Watch(t.Context(), worker.WatchRequest{
		Token: second.Token, Acknowledge: []placement.TaskID{second.Tasks[0].ID},
	})
	require.NoError(t, err)
	require.Zero(t, vm.State().Unacked)
	require.Equal(t, worker.ReasonAcknowledged, startTasks(t, client, second.Token, newTask("a", payload))[0].Reason)
}

// Guards against a task that runs twice after a repeated start or that starts
// after its start-by time, and against a worker that exceeds its capacity.
func TestStartResults(t *testing.T) {
	vm, address := serveWorker(t, 0)
	client := newClient(t, address)
	token := openSession(t, client, "node-1", sessionLength).Token
	late := newTask("late", "")
	late.StartBy = time.Now().Add(-time.Second)
	results := startTasks(t, client, token, newTask("a", `{"run-ms":-1}`), newTask("a", `{"run-ms":-1}`), late,
		newTask("b", `{"run-ms":-1}`), newTask("c", ""))
	var reasons []worker.StartReason
	for _, result := range results {
		reasons = append(reasons, result.Reason)
	}
	require.Equal(t, []worker.StartReason{"", worker.ReasonKnown, worker.ReasonTooLate, "", worker.ReasonOverCapacity}, reasons)
	state := vm.State()
	require.Len(t, state.Started, 2)
	require.Equal(t, []int{1, 1, 1, 0}, []int{state.RepeatStarts, state.TooLate, state.OverCapacity, state.DoubleStarts})
	require.Equal(t, taskResources.Times(2), state.MaxUsed)
}

// Guards against a task that keeps running after its lease, when no node renews
// it, and against a watch that renews only the session and not the tasks' leases.
func TestLeaseExpiryStopsTask(t *testing.T) {
	vm, address := serveWorker(t, 300*time.Millisecond)
	client := newClient(t, address)
	token := openSession(t, client, "node-1", sessionLength).Token
	startTasks(t, client, token, newTask("a", `{"run-ms":-1}`))
	for range 4 {
		_, err := client.Watch(t.Context(), worker.WatchRequest{Token: token, Wait: 120 * time.Millisecond})
		require.NoError(t, err)
	}
	require.Equal(t, 1, vm.State().Running)
	require.Eventually(t, func() bool { return vm.State().Running == 0 }, time.Second, time.Millisecond)
	require.Equal(t, workervm.ReasonLeaseExpired, vm.State().Started[0].Reason)
}

// Guards against faults that the stand-in worker does not inject and actions that
// it does not carry out, and against a client that does not report them.
func TestFaultsAndActions(t *testing.T) {
	for name, test := range map[string]struct {
		fault   workervm.Fault
		payload string
		request worker.WatchRequest
		check   func(t *testing.T, report worker.Report)
	}{
		"fail all": {workervm.Fault{FailAll: true}, "", worker.WatchRequest{}, func(t *testing.T, r worker.Report) {
			require.Equal(t, placement.Failed, r.Finished[0].Outcome)
		}},
		"task fails": {workervm.Fault{}, `{"fail":true}`, worker.WatchRequest{}, func(t *testing.T, r worker.Report) {
			require.Equal(t, placement.Failed, r.Finished[0].Outcome)
		}},
		"stall": {workervm.Fault{Stall: true}, "", worker.WatchRequest{}, func(t *testing.T, r worker.Report) {
			require.Empty(t, r.Finished)
		}},
		"leave": {workervm.Fault{Leave: true}, "", worker.WatchRequest{}, func(t *testing.T, r worker.Report) {
			require.True(t, r.Leaving)
		}},
		"usage factor": {workervm.Fault{UsageFactor: 2}, `{"run-ms":-1}`, worker.WatchRequest{}, func(t *testing.T, r worker.Report) {
			require.Equal(t, int64(2000), r.Usage[0].Used.MilliCPU)
		}},
		"usage lag": {workervm.Fault{UsageLagMS: 60000}, `{"run-ms":-1}`, worker.WatchRequest{}, func(t *testing.T, r worker.Report) {
			require.Empty(t, r.Usage)
		}},
		"checkpoint": {
			workervm.Fault{}, `{"run-ms":-1}`, worker.WatchRequest{Checkpoint: []placement.TaskID{{Key: "a"}}},
			func(t *testing.T, r worker.Report) {
				require.Equal(t, placement.Checkpointed, r.Finished[0].Outcome)
			},
		},
		"throttle": {
			workervm.Fault{UsageFactor: 3}, `{"run-ms":-1}`, worker.WatchRequest{Throttle: []placement.TaskID{{Key: "a"}}},
			func(t *testing.T, r worker.Report) { require.Equal(t, taskResources, r.Usage[0].Used) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			vm, address := serveWorker(t, 0)
			client := newClient(t, address)
			token := openSession(t, client, "node-1", sessionLength).Token
			vm.SetFault(test.fault)
			startTasks(t, client, token, newTask("a", test.payload))
			test.request.Token, test.request.Wait = token, 50*time.Millisecond
			report, err := client.Watch(t.Context(), test.request)
			require.NoError(t, err)
			test.check(t, report)
		})
	}
}

// Guards against a client that waits forever on a connection that has stopped
// delivering data, or that keeps using it for later calls.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	vm, address := serveWorker(t, 0)
	client := newClient(t, address)
	token := openSession(t, client, "node-1", sessionLength).Token
	vm.SetFault(workervm.Fault{Unresponsive: true})
	_, err := client.Watch(t.Context(), worker.WatchRequest{Token: token})
	var unknown *worker.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = client.Watch(t.Context(), worker.WatchRequest{Token: token})
	require.NoError(t, err)
}

// Guards against a paused worker that, after it resumes, renews leases that
// expired during the pause.
func TestFrozenWorkerStopsTasksWhenItResumes(t *testing.T) {
	vm, address := serveWorker(t, 200*time.Millisecond)
	client := newClient(t, address)
	token := openSession(t, client, "node-1", sessionLength).Token
	startTasks(t, client, token, newTask("a", `{"run-ms":-1}`))
	vm.SetFault(workervm.Fault{Freeze: true})
	_, err := client.Watch(t.Context(), worker.WatchRequest{Token: token})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	vm.SetFault(workervm.Fault{})
	report, err := client.Watch(t.Context(), worker.WatchRequest{Token: token})
	require.NoError(t, err)
	require.Equal(t, workervm.ReasonLeaseExpired, report.Finished[0].Reason)
}

// Guards against reporting a failed call as not sent although the worker may have
// executed it, and the reverse.
func TestOutcomeOfFailedCalls(t *testing.T) {
	respondWith := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status); _, _ = w.Write([]byte(body)) }
	}
	refuseDial := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		dial    func(context.Context, string, string) (net.Conn, error)
		target  any
	}{
		"dial fails":             {respondWith(200, ""), refuseDial, new(*worker.NotSentError)},
		"connection closed":      {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil, new(*worker.OutcomeUnknownError)},
		"server error":           {respondWith(500, `{"code":"held"}`), nil, new(*worker.OutcomeUnknownError)},
		"malformed refusal":      {respondWith(404, "page"), nil, new(*worker.OutcomeUnknownError)},
		"malformed response":     {respondWith(200, "{"), nil, new(*worker.OutcomeUnknownError)},
		"results of other tasks": {respondWith(200, "{}"), nil, new(*worker.OutcomeUnknownError)},
		"refusal":                {respondWith(400, `{"code":"bad-request"}`), nil, new(*worker.RefusedError)},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			client := worker.New(worker.Options{Address: address, Dial: test.dial})
			defer client.Close()
			_, err := client.Start(t.Context(), 1, []worker.StartTask{newTask("a", "")})
			require.ErrorAs(t, err, test.target)
		})
	}
}

// Guards against headers that make watches exceed a node's traffic limit: a node
// with sessions on 108 workers renews each of them every second, so that 300 bytes
// a watch make 32 KB/s.
func TestIdleWatchIsSmall(t *testing.T) {
	_, address := serveWorker(t, 0)
	client := newClient(t, address)
	token := openSession(t, client, "node-1", sessionLength).Token
	sentBefore, receivedBefore := client.Bytes()
	_, err := client.Watch(t.Context(), worker.WatchRequest{Token: token, Wait: 20 * time.Millisecond})
	require.NoError(t, err)
	sent, received := client.Bytes()
	t.Logf("one idle watch: %d bytes sent, %d received", sent-sentBefore, received-receivedBefore)
	require.Less(t, sent-sentBefore+received-receivedBefore, int64(300))
}
