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

// entry is a fake entry VM that plays one step for each call, the last one for
// all further calls.
type entry struct {
	lock  sync.Mutex
	steps []step
	calls []string
}

type step func(w http.ResponseWriter, r *http.Request)

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var request workload.Request
	_ = json.Unmarshal(body, &request)
	e.lock.Lock()
	name := r.Method
	if strings.HasSuffix(r.URL.Path, "/wait") {
		name = "WAIT"
	}
	e.calls = append(e.calls, name+" "+string(rune('0'+request.Attempt)))
	now := e.steps[min(len(e.calls), len(e.steps))-1]
	e.lock.Unlock()
	now(w, r)
}

// seen returns the calls so far as method and attempt.
func (e *entry) seen() []string {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.calls
}

func answer(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(workload.Answer{Body: []byte("ok"), Worker: "w-1"})
}

func refuse(code workload.Code, run workload.Run, retryAfterMS int64) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(workload.Refusal{Code: code, Message: "test", Run: run, RetryAfterMS: retryAfterMS})
	}
}

// unreadForbidden answers like a front that did not read the body.
func unreadForbidden(w http.ResponseWriter, r *http.Request) {
	run := workload.MayHaveRun
	if r.Header.Get(caller.AttemptHeader) == "0" {
		run = workload.NotRun
	}
	refuse("forbidden", run, 0)(w, r)
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// half ends the connection in the middle of an answer.
func half(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"body":"b2s=",`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// slow stays silent for no longer than the bound, but takes longer in all.
func slow(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", caller.OutcomeContentType)
	for range 8 {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, " ")
		_ = http.NewResponseController(w).Flush()
	}
	_ = json.NewEncoder(w).Encode(caller.Outcome{Status: 200, Answer: &workload.Answer{Worker: "w-1"}})
}

func newClient(t *testing.T, steps ...step) (*caller.Client, *entry) {
	fake := &entry{steps: steps}
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	client, err := caller.New(caller.Options{
		Addresses: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())},
		Base:      time.Millisecond, Silence: 100 * time.Millisecond, Attempts: 3, Team: "ledger",
	})
	require.NoError(t, err)
	return client, fake
}

// Guards against a second send of a non-idempotent request without proof that
// the first did not run, and against a run field that says too much.
func TestSubmit(t *testing.T) {
	cases := map[string]struct {
		once  bool
		steps []step
		calls []string
		run   workload.Run // Empty if an answer is expected.
	}{
		"answer":                         {true, []step{answer}, []string{"POST 0"}, ""},
		"broken, idempotent":             {false, []step{broken, answer}, []string{"POST 0", "POST 1"}, ""},
		"broken, once":                   {true, []step{broken, answer}, []string{"POST 0", "WAIT 0"}, ""},
		"half an answer, once":           {true, []step{half, answer}, []string{"POST 0", "WAIT 0"}, ""},
		"silent, once":                   {true, []step{silent, answer}, []string{"POST 0", "WAIT 0"}, ""},
		"silent, idempotent":             {false, []step{silent, answer}, []string{"POST 0", "POST 1"}, ""},
		"kept alive":                     {true, []step{slow}, []string{"POST 0"}, ""},
		"not run, once":                  {true, []step{refuse("queue-full", "not-run", 1), answer}, []string{"POST 0", "POST 1"}, ""},
		"not run, final":                 {true, []step{refuse("too-late", "not-run", 0)}, []string{"POST 0"}, "not-run"},
		"may have run, once":             {true, []step{refuse("leaving", "may-have-run", 1)}, []string{"POST 0"}, "may-have-run"},
		"may have run, idempotent":       {false, []step{refuse("leaving", "may-have-run", 1), answer}, []string{"POST 0", "POST 1"}, ""},
		"broken, then unknown, once":     {true, []step{broken, refuse("not-found", "may-have-run", 0)}, []string{"POST 0", "WAIT 0"}, "may-have-run"},
		"broken, then proof, once":       {true, []step{broken, refuse("not-found", "not-run", 0), answer}, []string{"POST 0", "WAIT 0", "POST 1"}, ""},
		"broken, then refused, once":     {true, []step{broken, refuse("canceled", "not-run", 0)}, []string{"POST 0", "WAIT 0"}, "not-run"},
		"always broken, once":            {true, []step{broken}, []string{"POST 0", "WAIT 0", "WAIT 0", "WAIT 0"}, "may-have-run"},
		"always broken, idempotent":      {false, []step{broken}, []string{"POST 0", "POST 1", "POST 2"}, "may-have-run"},
		"broken, then refused by a node": {false, []step{broken, refuse("leaving", "may-have-run", 0)}, []string{"POST 0", "POST 1"}, "may-have-run"},
		"token refused, first attempt":   {true, []step{unreadForbidden}, []string{"POST 0"}, "not-run"},
		"token refused, second attempt":  {false, []step{broken, unreadForbidden}, []string{"POST 0", "POST 1"}, "may-have-run"},
		"not of this interface":          {true, []step{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }, answer}, []string{"POST 0", "WAIT 0"}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			client, fake := newClient(t, test.steps...)
			got, err := client.Submit(context.Background(), workload.Request{Team: "ledger", NonIdempotent: test.once})
			require.Equal(t, test.calls, fake.seen())
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

// Guards against a dead entry VM that fails a request which another can take.
func TestUnreachableEntryIsPassedOver(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	fake := httptest.NewServer(&entry{steps: []step{answer}})
	defer fake.Close()
	dead, alive := netip.MustParseAddrPort(closed.Addr().String()), netip.MustParseAddrPort(fake.Listener.Addr().String())
	client, err := caller.New(caller.Options{Addresses: []netip.AddrPort{dead, alive}, Base: time.Millisecond, Random: func() float64 { return 0.9 }})
	require.NoError(t, err)
	_, err = client.Submit(context.Background(), workload.Request{NonIdempotent: true})
	require.NoError(t, err)
	only, err := caller.New(caller.Options{Addresses: []netip.AddrPort{dead}, Base: time.Millisecond})
	require.NoError(t, err)
	_, err = only.Submit(context.Background(), workload.Request{NonIdempotent: true})
	require.ErrorContains(t, err, "no-home (not-run): no entry VM could be reached")
	_, err = caller.New(caller.Options{})
	require.ErrorContains(t, err, "at least one entry VM")
}

// Guards against clients that multiply an overload by their repetitions.
func TestBudgetBoundsRepetitions(t *testing.T) {
	client, fake := newClient(t, refuse("queue-full", "not-run", 1))
	for range 40 {
		_, err := client.Submit(context.Background(), workload.Request{})
		require.Error(t, err)
	}
	// 40 first sends, a budget of 10 and a tenth of the first sends.
	require.LessOrEqual(t, len(fake.seen()), 40+10+4)
	require.Greater(t, len(fake.seen()), 40+10)
}

// Guards against "not-run" from a last send that reached nobody after an
// earlier one that may have run.
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
