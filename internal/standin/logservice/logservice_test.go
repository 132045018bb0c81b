package logservice

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exchange is a request and the expected response, whose body is compared as JSON.
type exchange struct {
	method, path, body string
	status             int
	response           string
}

// Guards against a stand-in that deviates from the interface in its package
// comment: the tests of the log client rely on that interface.
func TestInterface(t *testing.T) {
	appendTwo := exchange{"POST", "/append", `{"identity":"a","records":["aGk=","aG8="]}`, 200, `{"first":0,"next":2}`}
	for name, exchanges := range map[string][]exchange{
		"append and read": {appendTwo,
			{"GET", "/read?from=1", "", 200, `{"from":1,"oldest":0,"end":2,"records":["aG8="]}`}},
		"retention": {appendTwo,
			{"POST", "/fault", `{"cut-before":1}`, 200, `{}`},
			{"GET", "/read?from=0", "", 200, `{"from":1,"oldest":1,"end":2,"records":["aG8="]}`}},
		"outage": {{"POST", "/fault", `{"outage":true}`, 200, `{}`},
			{"GET", "/read", "", 503, `{"message":"the log is down"}`},
			{"POST", "/append", appendTwo.body, 503, `{"message":"the log is down"}`},
			{"POST", "/fault", `{}`, 200, `{}`}, appendTwo},
		"rate limit": {appendTwo,
			{"POST", "/append", appendTwo.body, 429, `{"message":"too many appends a second"}`}},
		"bad requests": {{"GET", "/read?limit=x", "", 400, `{"message":"limit must be a number from 0, got \"x\""}`},
			{"POST", "/append", `{}`, 400, `{"message":"an append needs an identity and at least one record"}`}},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(New(Options{AppendsPerSecond: 1}))
			defer server.Close()
			for _, e := range exchanges {
				request, err := http.NewRequest(e.method, server.URL+e.path, strings.NewReader(e.body))
				require.NoError(t, err)
				httpResponse, err := http.DefaultClient.Do(request)
				require.NoError(t, err)
				response, err := io.ReadAll(httpResponse.Body)
				require.NoError(t, err)
				require.NoError(t, httpResponse.Body.Close())
				require.Equal(t, e.status, httpResponse.StatusCode)
				require.JSONEq(t, e.response, string(response))
			}
		})
	}
}

// Guards against a repeated append that stores its records again. If appends are
// delayed, the repeated one may take effect before the first.
func TestRepeatedAppendReturnsFirstResponse(t *testing.T) {
	service := New(Options{})
	for range 3 {
		response, _, httpErr := service.append(AppendRequest{Identity: "a", Records: [][]byte{[]byte("hi")}})
		require.Nil(t, httpErr)
		require.Equal(t, AppendResponse{First: 0, Next: 1}, response)
	}
	response, _, httpErr := service.append(AppendRequest{Identity: "b", Records: [][]byte{[]byte("ho")}})
	require.Nil(t, httpErr)
	require.Equal(t, AppendResponse{First: 1, Next: 2}, response)
}

// Guards against a waiting read that misses an append.
func TestLongPoll(t *testing.T) {
	service := New(Options{KeepRecords: 2})
	response := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		service.ServeHTTP(response, httptest.NewRequest("GET", "/read?from=0&wait-ms=20000", nil))
	}()
	time.Sleep(10 * time.Millisecond)
	_, _, httpErr := service.append(AppendRequest{Identity: "a", Records: [][]byte{[]byte("hi")}})
	require.Nil(t, httpErr)
	<-done
	require.JSONEq(t, `{"from":0,"oldest":0,"end":1,"records":["aGk="]}`, response.Body.String())
}
