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

// seams answers like a scheduler that knows team ledger, kind balance, and one
// key of each of two teams.
func seams() front.Options {
	known := map[workload.Key]string{ledgerKey: "ledger", otherKey: "oven"}
	status := func(_ context.Context, query front.Query) (caller.Status, *workload.Refusal) {
		// Returns the key of any team on purpose: the front must check it.
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

func call(t *testing.T, options front.Options, method, path, token, body string) *httptest.ResponseRecorder {
	served, err := front.New(options)
	require.NoError(t, err)
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	served.Handler().ServeHTTP(recorder, request)
	return recorder
}

// Guards against bad input that is accepted, that gets an unclear or unstable
// answer, or whose run field claims more than the front knows.
func TestBadInput(t *testing.T) {
	draining := func(o *front.Options) { o.Draining = func() bool { return true } }
	small := func(o *front.Options) { o.MaxBodyBytes = 100 }
	fullMemory := func(o *front.Options) { o.MaxTotalBodyBytes = 10 }
	full := func(o *front.Options) { o.MaxOpenRequestsPerTeam = -1 }
	with := func(old, replacement string) string { return strings.Replace(body, old, replacement, 1) }
	cases := map[string]struct {
		method, path, token, body string
		change                    func(*front.Options)
		status                    int
		code                      workload.Code
		run                       workload.Run
		contains                  string
	}{
		"malformed JSON":       {"POST", "/v1/requests", "open", "{\n  \"key\": 1,,\n}", nil, 400, "bad-request", "not-run", `"place":"line 2, column 12","message":"malformed JSON`},
		"empty body":           {"POST", "/v1/requests", "open", "", nil, 400, "bad-request", "not-run", `unexpected end of JSON input`},
		"not an object":        {"POST", "/v1/requests", "open", "[[1]]", nil, 400, "bad-request", "not-run", `must be an object, got JSON array`},
		"two documents":        {"POST", "/v1/requests", "open", body + body, nil, 400, "bad-request", "not-run", `after top-level value`},
		"unknown field":        {"POST", "/v1/requests", "open", with(`"team"`, `"non-idempotant":true,"team"`), nil, 400, "bad-request", "not-run", `"place":"non-idempotant, line 1, column 62","message":"unknown field"`},
		"other case":           {"POST", "/v1/requests", "open", with(`"team"`, `"Team"`), nil, 400, "bad-request", "not-run", `unknown field`},
		"unknown nested field": {"POST", "/v1/requests", "open", with(`"memory-mb"`, `"gpus"`), nil, 400, "bad-request", "not-run", `"place":"resources.gpus, line`},
		"field twice":          {"POST", "/v1/requests", "open", with(`"team"`, `"team":"oven","team"`), nil, 400, "bad-request", "not-run", `field given twice`},
		"wrong type":           {"POST", "/v1/requests", "open", with(`500`, `"500"`), nil, 400, "bad-request", "not-run", `"place":"resources.milli-cpu, line 1, column 109","message":"must be a whole number, got JSON string"`},
		"negative resources":   {"POST", "/v1/requests", "open", with(`500`, `-1`), nil, 400, "bad-request", "not-run", `must be from 0 to 1048576, got -1`},
		"absurd resources":     {"POST", "/v1/requests", "open", with(`500`, `1e30`), nil, 400, "bad-request", "not-run", `must be a whole number, got JSON number 1e30`},
		"key is no UUIDv7":     {"POST", "/v1/requests", "open", with(ledgerKey, "6ba7b810-9dad-11d1-80b4-00c04fd430c8"), nil, 400, "bad-request", "not-run", `must be a UUIDv7`},
		"job as request":       {"POST", "/v1/requests", "open", with(`{"key"`, `{"mode":"job","key"`), nil, 400, "bad-request", "not-run", `is not for this path`},
		"retry of bad request": {"POST", "/v1/requests", "open", with(`{"key"`, `{"attempt":1,"mode":"job","key"`), nil, 400, "bad-request", "may-have-run", ``},
		"body over the limit":  {"POST", "/v1/requests", "open", body, small, 413, "bad-request", "not-run", `more than 100`},
		"unknown team":         {"POST", "/v1/requests", "open", with("ledger", "nobody"), nil, 422, "unknown-team", "not-run", `nobody`},
		"unknown kind":         {"POST", "/v1/requests", "open", with("balance", "nothing"), nil, 422, "unknown-kind", "not-run", `nothing`},
		"never runnable":       {"POST", "/v1/requests", "open", with(`"memory-mb":64`, `"accelerators":64`), nil, 422, "never-runnable", "not-run", `no worker has 64`},
		"fault in scheduler":   {"POST", "/v1/requests", "open", with("balance", "panic"), nil, 500, "internal", "may-have-run", `event 520`},
		"no token":             {"POST", "/v1/requests", "", body, nil, 401, "forbidden", "may-have-run", `needs a valid token`},
		"wrong token":          {"POST", "/v1/requests", "guess", body, nil, 403, "forbidden", "may-have-run", `needs a valid token`},
		"other team's work":    {"POST", "/v1/requests", "ledger", with(`"ledger"`, `"oven"`), nil, 403, "forbidden", "not-run", `may not submit`},
		"support submits":      {"POST", "/v1/requests", "support", body, nil, 403, "forbidden", "not-run", `may not submit`},
		"stopping node":        {"POST", "/v1/requests", "ledger", body, draining, 503, "leaving", "not-run", `"retry-after-ms":20`},
		"stopping node, retry": {"POST", "/v1/requests", "ledger", with(`{"key"`, `{"attempt":2,"key"`), draining, 503, "leaving", "may-have-run", `stopping`},
		"wait, stopping node":  {"GET", "/v1/requests/" + ledgerKey + "/wait", "ledger", "", draining, 503, "leaving", "may-have-run", `stopping`},
		"too many of a team":   {"POST", "/v1/requests", "ledger", body, full, 429, "queue-full", "not-run", `"retry-after-ms":1000`},
		"no room for the body": {"POST", "/v1/requests", "ledger", body, fullMemory, 429, "queue-full", "may-have-run", `"retry-after-ms":1000`},
		"log down":             {"POST", "/v1/jobs", "ledger", body, nil, 503, "log-down", "not-run", `the log is down (job)`},
		"key in path":          {"GET", "/v1/requests/17", "ledger", "", nil, 400, "bad-request", "may-have-run", `must be a UUIDv7, got \"17\"`},
		"no team for key":      {"GET", "/v1/requests/" + ledgerKey, "support", "", nil, 400, "bad-request", "may-have-run", `query parameter`},
		"other team's key":     {"GET", "/v1/requests/" + otherKey, "ledger", "", nil, 404, "not-found", "may-have-run", otherKey},
		"other team named":     {"DELETE", "/v1/requests/" + otherKey + "?team=oven", "ledger", "", nil, 404, "not-found", "may-have-run", otherKey},
		"support cancels":      {"DELETE", "/v1/requests/" + ledgerKey + "?team=ledger", "support", "", nil, 403, "forbidden", "may-have-run", "role support may not cancel work"},
		"outcome unknown":      {"GET", "/v1/requests/" + ledgerKey + "/wait", "ledger", "", nil, 504, "outcome-unknown", "may-have-run", `lost`},
		"wrong method":         {"PUT", "/v1/requests", "ledger", body, nil, 405, "bad-request", "may-have-run", `method PUT is not allowed`},
		"no such path":         {"GET", "/v2/requests", "ledger", "", nil, 404, "not-found", "may-have-run", `there is no call GET /v2/requests`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			options := seams()
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

// Guards against answers that lose fields and a health answer that stays up.
func TestAnswers(t *testing.T) {
	got := call(t, seams(), "POST", "/v1/requests", "ledger", body)
	require.Equal(t, 200, got.Code)
	require.JSONEq(t, `{"key":"`+ledgerKey+`","body":"b2s=","worker":"w-1","waited-ms":0,"ran-ms":0}`, got.Body.String())
	require.Equal(t, 200, call(t, seams(), "GET", "/v1/requests/"+ledgerKey+"?team=ledger", "support", "").Code)
	require.Contains(t, call(t, seams(), "GET", "/v1/requests/"+ledgerKey+"/explain", "ledger", "").Body.String(), "waited for room")
	options := seams()
	require.Equal(t, 200, call(t, options, "GET", "/healthz", "", "").Code)
	options.Draining = func() bool { return true }
	require.Equal(t, 503, call(t, options, "GET", "/healthz", "", "").Code)
	_, err := front.New(front.Options{})
	require.ErrorContains(t, err, "Submit, SubmitJob, Status")
}

// serve runs the front on a free port until the test ends.
func serve(t *testing.T, options front.Options) string {
	served, err := front.New(options)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := front.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- served.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-ended) })
	return "http://" + listener.Addr().String()
}

// Guards against a long wait that looks like a dead connection, and against a
// late refusal whose status is lost.
func TestKeepAlive(t *testing.T) {
	options := seams()
	options.KeepAliveAfter, options.KeepAliveEvery = 20*time.Millisecond, 10*time.Millisecond
	options.Submit = func(context.Context, workload.Request) (workload.Answer, *workload.Refusal) {
		time.Sleep(100 * time.Millisecond)
		return workload.Answer{}, workload.Refuse(workload.CodeTooLate, time.Second, "no room in time")
	}
	request, err := http.NewRequest("POST", serve(t, options)+"/v1/requests", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer ledger")
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Less(t, time.Since(began), 90*time.Millisecond, "the headers wait for the answer")
	require.Equal(t, caller.OutcomeContentType, response.Header.Get("Content-Type"))
	var outcome caller.Outcome
	require.NoError(t, json.NewDecoder(response.Body).Decode(&outcome))
	require.Equal(t, 503, outcome.Status)
	require.Equal(t, workload.CodeTooLate, outcome.Refusal.Code)
}

// Guards against work that goes on for a caller that has gone, and against
// places in the admission that are never freed.
func TestClosedConnectionCancels(t *testing.T) {
	options := seams()
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
		time.Sleep(5 * time.Millisecond) // The place is freed just after the seam returned.
	}
}

// Guards against a panic, a status outside the documented ones, and a refusal
// without a true run field for any bytes that a caller may send.
func FuzzCallersInterface(f *testing.F) {
	for _, seed := range []string{body, "", "{", `{"key":{}}`, `{"resources":[{"milli-cpu":1}]}`, `{"payload":"%%"}`, "\xff\xfe", `{"a":1,"a":2}`} {
		f.Add("POST", "/v1/requests", seed)
		f.Add("POST", "/v1/jobs", seed)
	}
	f.Add("GET", "/v1/requests/"+ledgerKey+"/wait?team=%00", "")
	f.Add("DELETE", "/v1/requests/%2e%2e", "")
	served, err := front.New(seams())
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		request, err := http.NewRequest(method, "http://node"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		request.Header.Set("Authorization", "Bearer ledger")
		recorder := httptest.NewRecorder()
		served.Handler().ServeHTTP(recorder, request)
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

// Guards against a "not-run" for a submission whose attempt is not known, and
// against a header that contradicts the body.
func TestAttemptHeader(t *testing.T) {
	served, err := front.New(seams())
	require.NoError(t, err)
	cases := map[string]struct {
		token, attempt string
		run            workload.Run
		status         int
	}{
		"first attempt":        {"guess", "0", workload.NotRun, 403},
		"second attempt":       {"guess", "1", workload.MayHaveRun, 403},
		"unlike the body":      {"ledger", "1", workload.MayHaveRun, 400},
		"like the body":        {"ledger", "0", "", 200},
		"no number, no attack": {"guess", "00", workload.MayHaveRun, 403},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest("POST", "/v1/requests", strings.NewReader(body))
			request.Header.Set("Authorization", "Bearer "+test.token)
			request.Header.Set(caller.AttemptHeader, test.attempt)
			recorder := httptest.NewRecorder()
			served.Handler().ServeHTTP(recorder, request)
			require.Equal(t, test.status, recorder.Code)
			var refusal workload.Refusal
			require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &refusal))
			require.Equal(t, test.run, refusal.Run)
		})
	}
}

// Guards against connections without a bound, against a caller that holds one
// by sending no headers, and against TLS that hides either.
func TestConnectionBounds(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	certified.Close()
	options := seams()
	options.TLS = &tls.Config{Certificates: certified.TLS.Certificates}
	options.MaxConnections, options.HeaderTimeout = 1, 50*time.Millisecond
	address := strings.TrimPrefix(serve(t, options), "http://")
	dial := func() (*tls.Conn, error) { return tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true}) }
	first, err := dial()
	require.NoError(t, err)
	_, err = dial()
	require.Error(t, err, "a second connection passed the bound of one")
	require.NoError(t, first.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = first.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the header time did not end the connection")
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool {
		next, err := dial()
		return err == nil && next.Close() == nil
	}, 5*time.Second, 5*time.Millisecond, "the place of a closed connection was not freed")
}

// Guards against a caller that holds a node's memory by sending its body
// slowly.
func TestSlowBodyIsRefused(t *testing.T) {
	options := seams()
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
