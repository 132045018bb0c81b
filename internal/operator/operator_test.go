package operator_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/access"
	"yuccalanding.example/yuccalanding/internal/operator"
)

// testOptions returns Options whose functions answer with fixed values. Alarms,
// Diff and Recover are nil. The role of a token is its text.
func testOptions() operator.Options {
	return operator.Options{
		Dump:    func(context.Context) (any, error) { return map[string]int{"open-requests": 3}, nil },
		Nodes:   func(context.Context) ([]operator.Node, error) { return nil, nil },
		Workers: func(context.Context) ([]operator.Worker, error) { return nil, errors.New("the control thread is busy") },
		Drain:   func(context.Context) (operator.DrainState, error) { return operator.DrainState{State: "draining"}, nil },
		Config: func(_ context.Context, version int64) (operator.Config, error) {
			return operator.Config{Version: version}, nil
		},
		History: func(_ context.Context, limit int) ([]operator.Change, error) {
			return make([]operator.Change, min(limit, 2)), nil
		},
		Check: func(_ context.Context, folder operator.Folder) ([]operator.Finding, error) {
			return []operator.Finding{{File: folder.Files[0].Name, Line: 2, Section: "kind balance", Key: "wieght", Message: "unknown key"}}, nil
		},
		Apply: func(_ context.Context, apply operator.ApplyRequest) (operator.Change, error) {
			if apply.BaseVersion == 1 {
				return operator.Change{}, &operator.Failure{Status: 409, Message: "section [kind balance] was changed in version 2"}
			}
			return operator.Change{Version: 3, State: "accepted", Author: apply.Author}, nil
		},
		WriteMetrics: func(out io.Writer) { _, _ = io.WriteString(out, "open_requests 3\n") },
		Authorize: func(token string, _ netip.AddrPort) (access.Grant, error) {
			if token == "" {
				return access.Grant{}, access.ErrNoToken
			}
			return access.Grant{Role: access.Role(token), Name: "name-" + token}, nil
		},
	}
}

// Guards against calls that need no or the wrong role, against invalid input
// that reaches the configuration, and against changes of paths and bodies.
func TestCalls(t *testing.T) {
	folder := `{"files":[{"name":"a.ini","content":""}]}`
	cases := map[string]struct {
		method, path, token, body string
		status                    int
		contains                  string
	}{
		"dump":               {"GET", "/dump", "support", "", 200, `"open-requests": 3`},
		"metrics":            {"GET", "/metrics", "support", "", 200, "open_requests 3"},
		"metrics, no token":  {"GET", "/metrics", "", "", 401, "needs a token"},
		"dump, caller":       {"GET", "/dump", "caller", "", 403, "role caller may not make this call"},
		"empty list":         {"GET", "/nodes", "operator", "", 200, `"nodes": []`},
		"function fails":     {"GET", "/workers", "operator", "", 500, "the control thread is busy"},
		"function is nil":    {"GET", "/alarms", "operator", "", 501, "does not offer /alarms"},
		"drain":              {"POST", "/drain", "operator", "", 200, `"state": "draining"`},
		"drain, support":     {"POST", "/drain", "support", "", 403, "role support"},
		"drain, GET":         {"GET", "/drain", "operator", "", 405, "Method Not Allowed"},
		"older config":       {"GET", "/config?version=7", "support", "", 200, `"version": 7`},
		"config, no number":  {"GET", "/config?version=x", "support", "", 400, `a number from 0 to`},
		"history":            {"GET", "/config/history?limit=1", "support", "", 200, `"changes"`},
		"history, too large": {"GET", "/config/history?limit=1001", "support", "", 400, `from 1 to 1000`},
		"check":              {"POST", "/config/check", "support", folder, 200, `"key": "wieght"`},
		"check, unknown key": {"POST", "/config/check", "support", `{"file":[]}`, 400, `unknown field`},
		"check, too large":   {"POST", "/config/check", "support", `{"files":[{"name":"` + strings.Repeat("a", operator.MaxBodyBytes) + `"}]}`, 413, "larger than"},
		"apply":              {"POST", "/config/apply", "operator", `{"base-version":2,"reason":"more weight","files":[]}`, 200, `"author": "name-operator"`},
		"apply, conflict":    {"POST", "/config/apply", "operator", `{"base-version":1,"reason":"more weight","files":[]}`, 409, "changed in version 2"},
		"apply, no reason":   {"POST", "/config/apply", "operator", `{"base-version":1,"files":[]}`, 400, "and a reason"},
		"apply, support":     {"POST", "/config/apply", "support", folder, 403, "role support"},
	}
	server, err := operator.New(testOptions())
	require.NoError(t, err)
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			if test.token != "" {
				request.Header.Set("Authorization", "Bearer "+test.token)
			}
			recorder := httptest.NewRecorder()
			server.Handler().ServeHTTP(recorder, request)
			require.Equal(t, test.status, recorder.Code, recorder.Body)
			require.Contains(t, recorder.Body.String(), test.contains)
		})
	}
}

// Guards against a shutdown that waits for a configuration change whose record
// can no longer be read back, and against an open call whose connection is closed
// without a response.
func TestStopAnswersOpenCalls(t *testing.T) {
	options, callStarted := testOptions(), make(chan struct{})
	options.Apply = func(ctx context.Context, _ operator.ApplyRequest) (operator.Change, error) {
		close(callStarted)
		<-ctx.Done()
		return operator.Change{}, &operator.Failure{Status: 504, Message: "the outcome is unknown"}
	}
	server, err := operator.New(options)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	go func() { <-callStarted; cancel() }()
	request, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+listener.Addr().String()+"/config/apply", strings.NewReader(`{"base-version":2,"reason":"x","files":[]}`))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer operator")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, 504, response.StatusCode)
	require.NoError(t, <-served)
}
