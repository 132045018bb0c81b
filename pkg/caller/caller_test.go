package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// fakeEntry is a fake entry VM. Call i is answered by responders[i], calls
// beyond the last responder by the last one.
type fakeEntry struct {
	lock       sync.Mutex
	responders []responder
	calls      []string
}

type responder func(w http.ResponseWriter, r *http.Request)

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var request workload.Request
	_ = json.Unmarshal(body, &request)
	e.lock.Lock()
	method := r.Method
	if strings.HasSuffix(r.URL.Path, "/wait") {
		method = "WAIT"
	}
	e.calls = append(e.calls, method+" "+string(rune('0'+request.Attempt)))
	respond := e.responders[min(len(e.calls), len(e.responders))-1]
	e.lock.Unlock()
	respond(w, r)
}

// received returns the calls so far, each as its method and attempt number, such
// as "POST 0". The method of a call to /wait is "WAIT".
func (e *fakeEntry) received() []string {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.calls
}

func answer(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(workload.Answer{Body: []byte("ok"), Worker: "w-1"})
}

func refuse(code workload.Code, run workload.Run, retryAfterMS int64) responder {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(workload.Refusal{Code: code, Message: "test", Run: run, RetryAfterMS: retryAfterMS})
	}
}

// unreadForbidden refuses like a server that has not read the body and knows
// only the attempt number in the header.
func unreadForbidden(w http.ResponseWriter, r *http.Request) {
	run := workload.MayHaveRun
	if r.Header.Get(caller.AttemptHeader) == "0" {
		run = workload.NotRun
	}
	refuse("forbidden", run, 0)(w, r)
}

// broken closes the connection without an answer.
func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncated closes the connection in the middle of an answer.
func truncated(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"body":"b2s=",`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// silent sends nothing and keeps the connection open.
func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// slow takes longer than the idle timeout in total, but the time between two
// bytes is shorter.
func slow(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", caller.OutcomeContentType)
	for range 8 {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, " ")
		_ = http.NewResponseController(w).Flush()
	}
	_ = json.NewEncoder(w).Encode(caller.Outcome{Status: 200, Answer: &workload.Answer{Worker: "w-1"}})
}

func newClient(t *testing.T, responders ...responder) (*caller.Client, *fakeEntry) {
	fake := &fakeEntry{responders: responders}
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	client, err := caller.New(caller.Options{
		Addresses: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())},
		Base:      time.Millisecond, Silence: 100 * time.Millisecond, Attempts: 3, Team: "ledger",
	})
	require.NoError(t, err)
	return client, fake
}

// Guards against a retry of a non-idempotent request without proof that the
// first attempt did not run, and against a run field of "not-run" without such
// proof.
func TestSubmit(t *testing.T) {
	cases := map[string]struct {
		nonIdempotent bool
		responders    []responder
		calls         []string
		run           workload.Run // Empty if an answer is expected.
	}{
		"answer":                                        {true, []responder{answer}, []string{"POST 0"}, ""},
		"broken, idempotent":                            {false, []responder{broken, answer}, []string{"POST 0", "POST 1"}, ""},
		"broken, non-idempotent":                        {true, []responder{broken, answer}, []string{"POST 0", "WAIT 0"}, ""},
		"truncated answer, non-idempotent":              {true, []responder{truncated, answer}, []string{"POST 0", "WAIT 0"}, ""},
		"no data, non-idempotent":                       {true, []responder{silent, answer}, []string{"POST 0", "WAIT 0"}, ""},
		"no data, idempotent":                           {false, []responder{silent, answer}, []string{"POST 0", "POST 1"}, ""},
		"keep-alive bytes":                              {true, []responder{slow}, []string{"POST 0"}, ""},
		"not run, non-idempotent":                       {true, []responder{refuse("queue-full", "not-run", 1), answer}, []string{"POST 0", "POST 1"}, ""},
		"not run, no retry":                             {true, []responder{refuse("too-late", "not-run", 0)}, []string{"POST 0"}, "not-run"},
		"may have run, non-idempotent":                  {true, []responder{refuse("leaving", "may-have-run", 1)}, []string{"POST 0"}, "may-have-run"},
		"may have run, idempotent":                      {false, []responder{refuse("leaving", "may-have-run", 1), answer}, []string{"POST 0", "POST 1"}, ""},
		"broken, then unknown, non-idempotent":          {true, []responder{broken, refuse("not-found", "may-have-run", 0)}, []string{"POST 0", "WAIT 0"}, "may-have-run"},
		"broken, then proof of not-run, non-idempotent": {true, []responder{broken, refuse("not-found", "not-run", 0), answer}, []string{"POST 0", "WAIT 0", "POST 1"}, ""},
		"broken, then refused, non-idempotent":          {true, []responder{broken, refuse("canceled", "not-run", 0)}, []string{"POST 0", "WAIT 0"}, "not-run"},
		"always broken, non-idempotent":                 {true, []responder{broken}, []string{"POST 0", "WAIT 0", "WAIT 0", "WAIT 0"}, "may-have-run"},
		"always broken, idempotent":                     {false, []responder{broken}, []string{"POST 0", "POST 1", "POST 2"}, "may-have-run"},
		"broken, then refused by a node":                {false, []responder{broken, refuse("leaving", "may-have-run", 0)}, []string{"POST 0", "POST 1"}, "may-have-run"},
		"token refused, first attempt":                  {true, []responder{unreadForbidden}, []string{"POST 0"}, "not-run"},
		"token refused, second attempt":                 {false, []responder{broken, unreadForbidden}, []string{"POST 0", "POST 1"}, "may-have-run"},
		"response of a proxy":                           {true, []responder{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }, answer}, []string{"POST 0", "WAIT 0"}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			client, fake := newClient(t, test.responders...)
			got, err := client.Submit(context.Background(), workload.Request{Team: "ledger", NonIdempotent: test.nonIdempotent})
			require.Equal(t, test.calls, fake.received())
			if test.run == "" {
				require.NoError(t, err)
				require.Equal(t, "w-1", got.Worker)
				return
			}
			var refusal *workload.Refusal
			require.True(t, errors.As(err, &refusal), "%v", err)
			require.Equal(t, test.run, refusal.Run)
		})
	}
}

// Guards against a request that fails because one entry VM is unreachable while
// another is available.
func TestUnreachableEntryIsSkipped(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closedListener.Close())
	fake := httptest.NewServer(&fakeEntry{responders: []responder{answer}})
	defer fake.Close()
	unreachable, reachable := netip.MustParseAddrPort(closedListener.Addr().String()), netip.MustParseAddrPort(fake.Listener.Addr().String())
	client, err := caller.New(caller.Options{Addresses: []netip.AddrPort{unreachable, reachable}, Base: time.Millisecond, Random: func() float64 { return 0.9 }})
	require.NoError(t, err)
	_, err = client.Submit(context.Background(), workload.Request{NonIdempotent: true})
	require.NoError(t, err)
	unreachableOnly, err := caller.New(caller.Options{Addresses: []netip.AddrPort{unreachable}, Base: time.Millisecond})
	require.NoError(t, err)
	_, err = unreachableOnly.Submit(context.Background(), workload.Request{NonIdempotent: true})
	require.ErrorContains(t, err, "no-home (not-run): no entry VM could be reached")
	_, err = caller.New(caller.Options{})
	require.ErrorContains(t, err, "at least one entry VM")
}

// Guards against clients that amplify an overload by their retries.
func TestBudgetLimitsRetries(t *testing.T) {
	client, fake := newClient(t, refuse("queue-full", "not-run", 1))
	for range 40 {
		_, err := client.Submit(context.Background(), workload.Request{})
		require.Error(t, err)
	}
	// 40 first attempts, a retry budget of 10, and 0.1 retries for each first
	// attempt.
	require.LessOrEqual(t, len(fake.received()), 40+10+4)
	require.Greater(t, len(fake.received()), 40+10)
}

// Guards against "not-run" as the result of a request whose last attempt reached
// no entry VM, while an earlier attempt may have run.
func TestUnreachableAfterBrokenMayHaveRun(t *testing.T) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	client, err := caller.New(caller.Options{Addresses: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}, Base: time.Millisecond, Attempts: 2})
	require.NoError(t, err)
	_, err = client.Submit(context.Background(), workload.Request{})
	var failure *caller.Error
	require.True(t, errors.As(err, &failure))
	require.Equal(t, workload.MayHaveRun, failure.Refusal.Run)
	require.Equal(t, workload.CodeNoHome, failure.Refusal.Code)
}
