package front_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/access"
	"yuccalanding.example/yuccalanding/internal/front"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	ledgerKey = "01890a5d-ac96-774b-bcce-b302099a8057"
	otherKey  = "01890a5d-ac96-774b-bcce-b302099a8058"
	body      = `{"key":"` + ledgerKey + `","team":"ledger","kind":"balance","resources":{"milli-cpu":500,"memory-mb":64}}`
)

// testOptions returns options with the functions of a scheduler that knows team
// ledger, kind balance, and one key of each of two teams.
func testOptions() front.Options {
	known := map[workload.Key]string{ledgerKey: "ledger", otherKey: "oven"}
	status := func(_ context.Context, query front.Query) (caller.Status, *workload.Refusal) {
		// Returns the work of any team on purpose: the front must check the team.
		return caller.Status{Key: query.Key, Team: known[query.Key], State: workload.StateQueued}, nil
	}
	return front.Options{
		Submit: func(_ context.Context, request workload.Request) (workload.Answer, *workload.Refusal) {
			switch {
			case request.Team != "ledger":
				return workload.Answer{}, workload.Refuse(workload.CodeUnknownTeam, 0, "there is no team %q", request.Team)
			case request.Kind == "panic":
				panic("a fault in the scheduler")
			case request.Kind != "balance":
				return workload.Answer{}, workload.Refuse(workload.CodeUnknownKind, 0, "there is no kind %q", request.Kind)
			case request.Resources.Accelerators > 8:
				return workload.Answer{}, workload.Refuse(workload.CodeNeverRunnable, 0, "no worker has %d accelerators", request.Resources.Accelerators)
			}
			return workload.Answer{Key: request.Key, Body: []byte("ok"), Worker: "w-1"}, nil
		},
		SubmitJob: func(_ context.Context, request workload.Request) (caller.Receipt, *workload.Refusal) {
			return caller.Receipt{}, workload.Refuse(workload.CodeLogDown, 2500*time.Millisecond, "the log is down (%s)", request.Mode)
		},
		Status: status,
		Cancel: status,
		Wait: func(context.Context, front.Query) (workload.Answer, *workload.Refusal) {
			return workload.Answer{}, &workload.Refusal{Code: workload.CodeOutcome, Message: "lost", Run: workload.MayHaveRun}
		},
		Explain: func(context.Context, front.Query) (caller.Explanation, *workload.Refusal) {
			return caller.Explanation{Status: caller.Status{Team: "ledger"}, Summary: "waited for room"}, nil
		},
		Authorize: func(token string, _ netip.AddrPort) (access.Grant, error) {
			switch token {
			case "open":
				return access.Grant{Role: access.RoleOpen}, nil
			case "ledger":
				return access.Grant{Role: access.RoleCaller, Team: "ledger"}, nil
			case "support":
				return access.Grant{Role: access.RoleSupport}, nil
			}
			return access.Grant{}, errors.New("the call needs a valid token")
		},
	}
}

// call sends one call to a new front and returns the recorded response.
func call(t *testing.T, options front.Options, method, path, token, body string) *httptest.ResponseRecorder {
	server, err := front.New(options)
	require.NoError(t, err)
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, request)
	return recorder
}

// Guards against bad input that is accepted, that gets an unclear or changed
// answer, or whose run field says "not-run" although an attempt may have run.
func TestBadInput(t *testing.T) {
	draining := func(o *front.Options) { o.Draining = func() bool { return true } }
	smallBodyLimit := func(o *front.Options) { o.MaxBodyBytes = 100 }
	noBodyMemory := func(o *front.Options) { o.MaxTotalBodyBytes = 10 }
	noOpenRequests := func(o *front.Options) { o.MaxOpenRequestsPerTeam = -1 }
	replaced := func(old, replacement string) string { return strings.Replace(body, old, replacement, 1) }
	cases := map[string]struct {
		method, path, token, body string
		change                    func(*front.Options)
		status                    int
		code                      workload.Code
		run                       workload.Run
		contains                  string
	}{
		"malformed JSON":           {"POST", "/v1/requests", "open", "{\n  \"key\": 1,,\n}", nil, 400, "bad-request", "not-run", `"place":"line 2, column 12","message":"malformed JSON`},
		"empty body":               {"POST", "/v1/requests", "open", "", nil, 400, "bad-request", "not-run", `unexpected end of JSON input`},
		"not an object":            {"POST", "/v1/requests", "open", "[[1]]", nil, 400, "bad-request", "not-run", `must be an object, got JSON array`},
		"two documents":            {"POST", "/v1/requests", "open", body + body, nil, 400, "bad-request", "not-run", `after top-level value`},
		"unknown field":            {"POST", "/v1/requests", "open", replaced(`"team"`, `"non-idempotant":true,"team"`), nil, 400, "bad-request", "not-run", `"place":"non-idempotant, line 1, column 62","message":"unknown field"`},
		"field name in other case": {"POST", "/v1/requests", "open", replaced(`"team"`, `"Team"`), nil, 400, "bad-request", "not-run", `unknown field`},
		"unknown nested field":     {"POST", "/v1/requests", "open", replaced(`"memory-mb"`, `"gpus"`), nil, 400, "bad-request", "not-run", `"place":"resources.gpus, line`},
		"repeated field":           {"POST", "/v1/requests", "open", replaced(`"team"`, `"team":"oven","team"`), nil, 400, "bad-request", "not-run", `field given twice`},
		"wrong type":               {"POST", "/v1/requests", "open", replaced(`500`, `"500"`), nil, 400, "bad-request", "not-run", `"place":"resources.milli-cpu, line 1, column 109","message":"must be a whole number, got JSON string"`},
		"negative resources":       {"POST", "/v1/requests", "open", replaced(`500`, `-1`), nil, 400, "bad-request", "not-run", `must be from 0 to 1048576, got -1`},
		"resources out of range":   {"POST", "/v1/requests", "open", replaced(`500`, `1e30`), nil, 400, "bad-request", "not-run", `must be a whole number, got JSON number 1e30`},
		"key is not a UUIDv7":      {"POST", "/v1/requests", "open", replaced(ledgerKey, "6ba7b810-9dad-11d1-80b4-00c04fd430c8"), nil, 400, "bad-request", "not-run", `must be a UUIDv7`},
		"job as request":           {"POST", "/v1/requests", "open", replaced(`{"key"`, `{"mode":"job","key"`), nil, 400, "bad-request", "not-run", `is not for this path`},
		"retry of bad request":     {"POST", "/v1/requests", "open", replaced(`{"key"`, `{"attempt":1,"mode":"job","key"`), nil, 400, "bad-request", "may-have-run", ``},
		"body over the limit":      {"POST", "/v1/requests", "open", body, smallBodyLimit, 413, "bad-request", "not-run", `more than 100`},
		"unknown team":             {"POST", "/v1/requests", "open", replaced("ledger", "nobody"), nil, 422, "unknown-team", "not-run", `nobody`},
		"unknown kind":             {"POST", "/v1/requests", "open", replaced("balance", "nothing"), nil, 422, "unknown-kind", "not-run", `nothing`},
		"never runnable":           {"POST", "/v1/requests", "open", replaced(`"memory-mb":64`, `"accelerators":64`), nil, 422, "never-runnable", "not-run", `no worker has 64`},
		"panic in scheduler":       {"POST", "/v1/requests", "open", replaced("balance", "panic"), nil, 500, "internal", "may-have-run", `event 520`},
		"no token":                 {"POST", "/v1/requests", "", body, nil, 401, "forbidden", "may-have-run", `needs a valid token`},
		"wrong token":              {"POST", "/v1/requests", "guess", body, nil, 403, "forbidden", "may-have-run", `needs a valid token`},
		"work of other team":       {"POST", "/v1/requests", "ledger", replaced(`"ledger"`, `"oven"`), nil, 403, "forbidden", "not-run", `may not submit`},
		"support role submits":     {"POST", "/v1/requests", "support", body, nil, 403, "forbidden", "not-run", `may not submit`},
		"stopping node":            {"POST", "/v1/requests", "ledger", body, draining, 503, "leaving", "not-run", `"retry-after-ms":20`},
		"stopping node, retry":     {"POST", "/v1/requests", "ledger", replaced(`{"key"`, `{"attempt":2,"key"`), draining, 503, "leaving", "may-have-run", `stopping`},
		"wait, stopping node":      {"GET", "/v1/requests/" + ledgerKey + "/wait", "ledger", "", draining, 503, "leaving", "may-have-run", `stopping`},
		"team at its limit":        {"POST", "/v1/requests", "ledger", body, noOpenRequests, 429, "queue-full", "not-run", `"retry-after-ms":1000`},
		"no memory for the body":   {"POST", "/v1/requests", "ledger", body, noBodyMemory, 429, "queue-full", "may-have-run", `"retry-after-ms":1000`},
		"log down":                 {"POST", "/v1/jobs", "ledger", body, nil, 503, "log-down", "not-run", `the log is down (job)`},
		"malformed key in path":    {"GET", "/v1/requests/17", "ledger", "", nil, 400, "bad-request", "may-have-run", `must be a UUIDv7, got \"17\"`},
		"no team for key":          {"GET", "/v1/requests/" + ledgerKey, "support", "", nil, 400, "bad-request", "may-have-run", `query parameter`},
		"key of other team":        {"GET", "/v1/requests/" + otherKey, "ledger", "", nil, 404, "not-found", "may-have-run", otherKey},
		"other team in query":      {"DELETE", "/v1/requests/" + otherKey + "?team=oven", "ledger", "", nil, 404, "not-found", "may-have-run", otherKey},
		"support role cancels":     {"DELETE", "/v1/requests/" + ledgerKey + "?team=ledger", "support", "", nil, 403, "forbidden", "may-have-run", "role support may not cancel work"},
		"outcome unknown":          {"GET", "/v1/requests/" + ledgerKey + "/wait", "ledger", "", nil, 504, "outcome-unknown", "may-have-run", `lost`},
		"wrong method":             {"PUT", "/v1/requests", "ledger", body, nil, 405, "bad-request", "may-have-run", `method PUT is not allowed`},
		"no such path":             {"GET", "/v2/requests", "ledger", "", nil, 404, "not-found", "may-have-run", `there is no call GET /v2/requests`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			options := testOptions()
			if test.change != nil {
				test.change(&options)
			}
			got := call(t, options, test.method, test.path, test.token, test.body)
			require.Equal(t, test.status, got.Code, got.Body)
			var refusal workload.Refusal
			require.NoError(t, json.Unmarshal(got.Body.Bytes(), &refusal))
			require.Equal(t, test.code, refusal.Code)
			require.Equal(t, test.run, refusal.Run)
			require.Contains(t, got.Body.String(), test.contains)
			require.Equal(t, refusal.RetryAfterMS > 0, got.Header().Get("Retry-After") != "")
		})
	}
}

// Guards against answers that lack fields, a health check that stays at 200 on a
// draining node, and options without required functions that New accepts.
func TestAnswersHealthAndRequiredOptions(t *testing.T) {
	got := call(t, testOptions(), "POST", "/v1/requests", "ledger", body)
	require.Equal(t, 200, got.Code)
	require.JSONEq(t, `{"key":"`+ledgerKey+`","body":"b2s=","worker":"w-1","waited-ms":0,"ran-ms":0}`, got.Body.String())
	require.Equal(t, 200, call(t, testOptions(), "GET", "/v1/requests/"+ledgerKey+"?team=ledger", "support", "").Code)
	require.Contains(t, call(t, testOptions(), "GET", "/v1/requests/"+ledgerKey+"/explain", "ledger", "").Body.String(), "waited for room")
	options := testOptions()
	require.Equal(t, 200, call(t, options, "GET", "/healthz", "", "").Code)
	options.Draining = func() bool { return true }
	require.Equal(t, 503, call(t, options, "GET", "/healthz", "", "").Code)
	_, err := front.New(front.Options{})
	require.ErrorContains(t, err, "Submit, SubmitJob, Status")
}

// serve runs a front on a free port until the test ends and returns its URL.
func serve(t *testing.T, options front.Options) string {
	server, err := front.New(options)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := front.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	serveError := make(chan error, 1)
	go func() { serveError <- server.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-serveError) })
	return "http://" + listener.Addr().String()
}

// Guards against a long call without keep-alive bytes, which a caller takes for a
// broken connection, and against losing the status of a refusal that follows
// keep-alive bytes.
func TestKeepAlive(t *testing.T) {
	options := testOptions()
	options.KeepAliveAfter, options.KeepAliveEvery = 20*time.Millisecond, 10*time.Millisecond
	options.Submit = func(context.Context, workload.Request) (workload.Answer, *workload.Refusal) {
		time.Sleep(100 * time.Millisecond)
		return workload.Answer{}, workload.Refuse(workload.CodeTooLate, time.Second, "no room in time")
	}
	request, err := http.NewRequest("POST", serve(t, options)+"/v1/requests", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer ledger")
	startedAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Less(t, time.Since(startedAt), 90*time.Millisecond, "the headers were sent only with the answer")
	require.Equal(t, caller.OutcomeContentType, response.Header.Get("Content-Type"))
	var outcome caller.Outcome
	require.NoError(t, json.NewDecoder(response.Body).Decode(&outcome))
	require.Equal(t, 503, outcome.Status)
	require.Equal(t, workload.CodeTooLate, outcome.Refusal.Code)
}

// Guards against work that continues after the caller closed its connection, and
// against open calls and body memory that stay counted after the call.
func TestClosedConnectionCancels(t *testing.T) {
	options := testOptions()
	var started, canceled atomic.Int64
	options.Submit = func(ctx context.Context, _ workload.Request) (workload.Answer, *workload.Refusal) {
		started.Add(1)
		<-ctx.Done()
		canceled.Add(1)
		return workload.Answer{}, workload.Refuse(workload.CodeCanceled, 0, "the caller has gone")
	}
	options.MaxOpenRequestsPerTeam, options.MaxTotalBodyBytes = 1, int64(len(body))
	url := serve(t, options)
	for i := range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			for started.Load() <= int64(i) && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		request, err := http.NewRequestWithContext(ctx, "POST", url+"/v1/requests", strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer ledger")
		_, err = http.DefaultClient.Do(request)
		require.ErrorIs(t, err, context.Canceled)
		require.Eventually(t, func() bool { return canceled.Load() == int64(i+1) }, 5*time.Second, time.Millisecond)
		time.Sleep(5 * time.Millisecond) // Admission is released just after Submit returns.
	}
}

// Guards against a panic, an undocumented status and a refusal without a valid
// run field for any bytes that a caller may send.
func FuzzCallersInterface(f *testing.F) {
	for _, seed := range []string{body, "", "{", `{"key":{}}`, `{"resources":[{"milli-cpu":1}]}`, `{"payload":"%%"}`, "\xff\xfe", `{"a":1,"a":2}`} {
		f.Add("POST", "/v1/requests", seed)
		f.Add("POST", "/v1/jobs", seed)
	}
	f.Add("GET", "/v1/requests/"+ledgerKey+"/wait?team=%00", "")
	f.Add("DELETE", "/v1/requests/%2e%2e", "")
	server, err := front.New(testOptions())
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		request, err := http.NewRequest(method, "http://node"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		request.Header.Set("Authorization", "Bearer ledger")
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, request)
		if recorder.Code < 300 {
			return
		}
		var refusal workload.Refusal
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &refusal), fmt.Sprint(recorder.Code))
		require.NotEmpty(t, refusal.Code)
		require.Contains(t, []workload.Run{workload.NotRun, workload.MayHaveRun}, refusal.Run)
		require.NotEqual(t, 500, recorder.Code)
	})
}

// Guards against a "not-run" for a submission whose attempt number is not known,
// and against accepting a header that contradicts the body.
func TestAttemptHeader(t *testing.T) {
	server, err := front.New(testOptions())
	require.NoError(t, err)
	cases := map[string]struct {
		token, attempt string
		run            workload.Run
		status         int
	}{
		"first attempt":         {"guess", "0", workload.NotRun, 403},
		"second attempt":        {"guess", "1", workload.MayHaveRun, 403},
		"differs from the body": {"ledger", "1", workload.MayHaveRun, 400},
		"equals the body":       {"ledger", "0", "", 200},
		"malformed attempt":     {"guess", "00", workload.MayHaveRun, 403},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest("POST", "/v1/requests", strings.NewReader(body))
			request.Header.Set("Authorization", "Bearer "+test.token)
			request.Header.Set(caller.AttemptHeader, test.attempt)
			recorder := httptest.NewRecorder()
			server.Handler().ServeHTTP(recorder, request)
			require.Equal(t, test.status, recorder.Code)
			var refusal workload.Refusal
			require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &refusal))
			require.Equal(t, test.run, refusal.Run)
		})
	}
}

// Guards against an unlimited number of connections and against a caller that
// occupies one without sending headers, both over TLS.
func TestConnectionLimits(t *testing.T) {
	certificateServer := httptest.NewTLSServer(nil)
	certificateServer.Close()
	options := testOptions()
	options.TLS = &tls.Config{Certificates: certificateServer.TLS.Certificates}
	options.MaxConnections, options.HeaderTimeout = 1, 50*time.Millisecond
	address := strings.TrimPrefix(serve(t, options), "http://")
	dial := func() (*tls.Conn, error) { return tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true}) }
	first, err := dial()
	require.NoError(t, err)
	_, err = dial()
	require.Error(t, err, "a second connection was accepted above the limit of one")
	require.NoError(t, first.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = first.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the header timeout did not close the connection")
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool {
		connection, err := dial()
		return err == nil && connection.Close() == nil
	}, 5*time.Second, 5*time.Millisecond, "a closed connection still counts towards the limit")
}

// Guards against a caller that occupies a node's memory by sending the body of a
// request slowly.
func TestSlowBodyIsRefused(t *testing.T) {
	options := testOptions()
	options.BodyTimeout = 50 * time.Millisecond
	connection, err := net.Dial("tcp", strings.TrimPrefix(serve(t, options), "http://"))
	require.NoError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "POST /v1/requests HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer ledger\r\nContent-Length: 9\r\n\r\n{")
	require.NoError(t, err)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, err := io.ReadAll(connection)
	require.NoError(t, err)
	require.Contains(t, string(got), "400 Bad Request")
	require.Contains(t, string(got), `"run":"may-have-run"`)
}
