package command_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/front"
)

const interfacePage = "../../docs/interface.md"

// examplePattern matches a request block of interfacePage and the response block
// after it.
var examplePattern = regexp.MustCompile("(?s)```http request ?([a-z]*)\n(.*?)```\n\n```http response\n(.*?)```")

// serverVariants maps the word that may follow "http request" on the page to the
// options of the server that answers the example.
var serverVariants = map[string]func(*front.Options){
	"":          func(*front.Options) {},
	"operators": func(*front.Options) {},
	"draining":  func(o *front.Options) { o.Draining = func() bool { return true } },
	"slow":      func(o *front.Options) { o.KeepAliveAfter = time.Millisecond },
	"small":     func(o *front.Options) { o.MaxBodyBytes = 64 },
	"full":      func(o *front.Options) { o.MaxOpenRequestsPerTeam = -1 },
}

// Guards against examples in docs/interface.md that differ from the responses of
// the HTTP handlers.
func TestInterfacePage(t *testing.T) {
	page, err := os.ReadFile(interfacePage)
	require.NoError(t, err)
	exampleCount := 0
	got := examplePattern.ReplaceAllStringFunc(string(page), func(block string) string {
		exampleCount++
		parts := examplePattern.FindStringSubmatch(block)
		require.Contains(t, serverVariants, parts[1])
		callerHandler, operatorHandler := handlers(t, serverVariants[parts[1]])
		handler := callerHandler
		if parts[1] == "operators" {
			handler = operatorHandler
		}
		request, _, _ := strings.Cut(block, "```http response\n")
		return request + "```http response\n" + respond(t, handler, parts[2]) + "```"
	})
	if *update {
		require.NoError(t, os.WriteFile(interfacePage, []byte(got), 0o644))
		return
	}
	require.Greater(t, exampleCount, 40, "examples are missing from the page")
	require.Equal(t, got, string(page), "run: go test ./internal/command -update")
}

// respond sends the request of a request block to the handler and returns the
// response block.
func respond(t *testing.T, handler http.Handler, block string) string {
	head, body, _ := strings.Cut(block, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	var response strings.Builder
	fmt.Fprintf(&response, "%d %s\n", recorder.Code, http.StatusText(recorder.Code))
	for _, name := range []string{"Content-Type", "Retry-After", "Allow", "WWW-Authenticate"} {
		if value := recorder.Header().Get(name); value != "" {
			fmt.Fprintf(&response, "%s: %s\n", name, value)
		}
	}
	var indented bytes.Buffer
	// The number of keep-alive spaces before the body of a slow response depends on
	// the time that it took.
	require.NoError(t, json.Indent(&indented, bytes.TrimSpace(recorder.Body.Bytes()), "", "  "))
	return response.String() + "\n" + indented.String() + "\n"
}
