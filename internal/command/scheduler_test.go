package command_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/access"
	"yuccalanding.example/yuccalanding/internal/front"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// tokens is the content of the token file.
const tokens = `caller   ledger-frontend ledger 6f1c0b8e2f7d4a5b9c3e8d7f6a5b4c3d
caller   oven-gateway    oven   7a1c0b8e2f7d4a5b9c3e8d7f6a5b4c3e
support  desk            -      0a9b8c7d6e5f4a3b2c1d0e9f8a7b6c5d
operator operations      -      1f2e3d4c5b6a79880716253443526170
`

const knownKey = "01890a5d-ac96-774b-bcce-b302099a8057"

var (
	testTime = time.Date(2026, 3, 2, 6, 30, 0, 0, time.UTC)
	answer   = workload.Answer{Key: knownKey, Body: []byte(`{"balance":1204}`), Worker: "punjab-17", WaitedMS: 12, RanMS: 84}
	status   = caller.Status{Key: knownKey, Team: "ledger", Kind: "balance", Mode: workload.ModeRequest, State: workload.StateRunning, Worker: "punjab-17", Since: testTime}
)

// refusals are the answers of the fake scheduler to the kinds that are named
// after a refusal code.
var refusals = map[string]*workload.Refusal{
	"unknown-kind":    workload.Refuse(workload.CodeUnknownKind, 0, "team ledger has no kind \"unknown-kind\""),
	"key-reused":      workload.Refuse(workload.CodeKeyReused, 0, "the key belongs to another request of the team"),
	"never-runnable":  workload.Refuse(workload.CodeNeverRunnable, 0, "no worker has 64 accelerators; the largest has 8"),
	"queue-full":      workload.Refuse(workload.CodeQueueFull, 1500*time.Millisecond, "the queue of kind queue-full is at its bound of 500"),
	"too-late":        workload.Refuse(workload.CodeTooLate, 4*time.Second, "the work can't start within 1.8s; the expected wait is 6s"),
	"log-down":        workload.Refuse(workload.CodeLogDown, 5*time.Second, "the log takes no appends"),
	"no-home":         workload.Refuse(workload.CodeNoHome, 2*time.Second, "the range of team ledger has no home at present"),
	"outcome-unknown": {Code: workload.CodeOutcome, Message: "the worker was lost before its result arrived", Run: workload.MayHaveRun},
}

// callerOptions returns options of the callers' interface with a fake scheduler,
// which knows the team ledger and the key knownKey.
func callerOptions(t *testing.T) front.Options {
	list := tokenList(t)
	submit := func(_ context.Context, request workload.Request) (workload.Answer, *workload.Refusal) {
		if request.Kind == "fraud-scoring" {
			time.Sleep(30 * time.Millisecond)
		}
		return answer, refusals[request.Kind]
	}
	lookUp := func(_ context.Context, query front.Query) (caller.Status, *workload.Refusal) {
		if query.Key != knownKey || query.Team != "ledger" {
			refusal := workload.Refuse(workload.CodeNotFound, 0, "no request or job of the team is known by key %s", query.Key)
			refusal.Run = workload.MayHaveRun
			return caller.Status{}, refusal
		}
		return status, nil
	}
	return front.Options{
		Submit: submit,
		SubmitJob: func(ctx context.Context, request workload.Request) (caller.Receipt, *workload.Refusal) {
			_, refusal := submit(ctx, request)
			return caller.Receipt{Key: request.Key, State: workload.StateQueued, AcceptedAt: testTime}, refusal
		},
		Status: lookUp,
		Cancel: func(ctx context.Context, query front.Query) (caller.Status, *workload.Refusal) {
			canceled, refusal := lookUp(ctx, query)
			canceled.State, canceled.Worker = workload.StateCanceled, ""
			return canceled, refusal
		},
		Wait: func(ctx context.Context, query front.Query) (workload.Answer, *workload.Refusal) {
			_, refusal := lookUp(ctx, query)
			return answer, refusal
		},
		Explain: func(ctx context.Context, query front.Query) (caller.Explanation, *workload.Refusal) {
			found, refusal := lookUp(ctx, query)
			return caller.Explanation{Status: found, Summary: "It waited 12ms for room in the share of team ledger.", Steps: []caller.Step{
				{At: testTime, What: "accepted", Detail: "by entry-1"},
				{At: testTime.Add(12 * time.Millisecond), What: "started", Detail: "on punjab-17"},
			}}, refusal
		},
		Authorize: list.Authorize,
	}
}

// operatorOptions returns options of the operators' interface with a fake
// scheduler, whose configuration has version 17.
func operatorOptions(t *testing.T) operator.Options {
	newWeight, oldWeight := "5", "3"
	change := operator.Change{Version: 18, BaseVersion: 17, State: "accepted", At: testTime, Author: "operations", Reason: "faster-balances", Sections: []string{"kind balance"}, Digest: "9ac1f00d", Identity: "0b9f54f0"}
	return operator.Options{
		Dump: func(context.Context) (any, error) { return operator.DrainState{State: "serving", OpenRequests: 3}, nil },
		Nodes: func(context.Context) ([]operator.Node, error) {
			return []operator.Node{{Name: "entry-1", PeerAddress: netip.MustParseAddrPort("10.0.1.1:8082"), CallerAddress: netip.MustParseAddrPort("10.0.1.1:8080"),
				Region: "punjab", FailureDomain: "lahore", State: "live", Incarnation: 7, PolicyVersion: 17, PolicyDigest: "77d0c0de", Sessions: 8, Homes: 10, HeartbeatAgeMS: 120}}, nil
		},
		Workers: func(context.Context) ([]operator.Worker, error) {
			return []operator.Worker{{Name: "punjab-17", Address: netip.MustParseAddrPort("10.0.3.17:9000"), Region: "punjab", FailureDomain: "lahore", Rack: "r4", Owner: "entry-1",
				State: "live", Capacity: workload.Resources{MilliCPU: 16000, MemoryMB: 32768}, Free: workload.Resources{MilliCPU: 2000, MemoryMB: 1024}, Tasks: 8}}, nil
		},
		Alarms: func(context.Context) ([]operator.Alarm, error) {
			return []operator.Alarm{{Identity: "log-down", Since: testTime, Meaning: "The log has taken no append for 10m.", Action: "Restore the log service."}}, nil
		},
		Drain: func(context.Context) (operator.DrainState, error) {
			return operator.DrainState{State: "draining", OpenRequests: 3, Sessions: 8, Homes: 10}, nil
		},
		Config: func(context.Context, int64) (operator.Config, error) {
			return operator.Config{Version: 17, Digest: "77d0c0de", AcceptedAt: testTime, Sections: []operator.Section{{Name: "kind balance", Settings: []operator.Setting{{Key: "weight", Value: "3"}}}}}, nil
		},
		History: func(context.Context, int) ([]operator.Change, error) { return []operator.Change{change}, nil },
		Check: func(_ context.Context, folder operator.Folder) ([]operator.Finding, error) {
			if !strings.Contains(folder.Files[0].Content, "wieght") {
				return nil, nil
			}
			return []operator.Finding{{File: folder.Files[0].Name, Line: 2, Section: "kind balance", Key: "wieght", Message: "unknown key; did you mean \"weight\"?"}}, nil
		},
		Diff: func(context.Context, operator.Folder) (operator.Diff, error) {
			return operator.Diff{AgainstVersion: 17, Sections: []operator.SectionDiff{{Name: "kind balance", Settings: []operator.SettingDiff{{Key: "weight", Old: &oldWeight, New: &newWeight}}}}}, nil
		},
		Apply: func(_ context.Context, apply operator.ApplyRequest) (operator.Change, error) {
			if apply.BaseVersion < 17 {
				return operator.Change{}, &operator.Failure{Status: http.StatusConflict, Message: "section [kind balance] was modified in version 17, after version 16"}
			}
			return change, nil
		},
		Authorize: tokenList(t).Authorize,
	}
}

func tokenFile(t *testing.T) string {
	file := filepath.Join(t.TempDir(), "tokens")
	require.NoError(t, os.WriteFile(file, []byte(tokens), 0o600))
	return file
}

func tokenList(t *testing.T) *access.List {
	list, err := access.Open(access.Options{File: tokenFile(t)})
	require.NoError(t, err)
	return list
}

// handlers returns the handlers of the callers' and the operators' interface of
// a node, with a fake scheduler behind them.
func handlers(t *testing.T, modify func(*front.Options)) (callerHandler, operatorHandler http.Handler) {
	options := callerOptions(t)
	modify(&options)
	callerServer, err := front.New(options)
	require.NoError(t, err)
	operatorServer, err := operator.New(operatorOptions(t))
	require.NoError(t, err)
	return callerServer.Handler(), operatorServer.Handler()
}

// serve starts a server on a free port and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
