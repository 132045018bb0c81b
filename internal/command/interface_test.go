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

// example is a request block of the page and the response block after it.
var example = regexp.MustCompile("(?s)```http request ?([a-z]*)\n(.*?)```\n\n```http response\n(.*?)```")

// conditions are the words that may follow "http request" on the page.
var conditions = map[string]func(*front.Options){
	"":          func(*front.Options) {},
	"operators": func(*front.Options) {},
	"draining":  func(o *front.Options) { o.Draining = func() bool { return true } },
	"slow":      func(o *front.Options) { o.KeepAliveAfter = time.Millisecond },
	"small":     func(o *front.Options) { o.MaxBodyBytes = 64 },
	"full":      func(o *front.Options) { o.MaxOpenRequestsPerTeam = -1 },
}

// Guards against a page whose examples differ from what the handlers answer.
func TestInterfacePage(t *testing.T) {
	page, err := os.ReadFile(interfacePage)
	require.NoError(t, err)
	count := 0
	got := example.ReplaceAllStringFunc(string(page), func(block string) string {
		count++
		parts := example.FindStringSubmatch(block)
		require.Contains(t, conditions, parts[1])
		callers, operators := handlers(t, conditions[parts[1]])
		handler := callers
		if parts[1] == "operators" {
			handler = operators
		}
		head, _, _ := strings.Cut(block, "```http response\n")
		return head + "```http response\n" + respond(t, handler, parts[2]) + "```"
	})
	if *update {
		require.NoError(t, os.WriteFile(interfacePage, []byte(got), 0o644))
		return
	}
	require.Greater(t, count, 40, "the page has lost examples")
	require.Equal(t, got, string(page), "run: go test ./internal/command -update")
}

// respond plays a request block and returns its response block.
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
	// The number of spaces before a late outcome depends on the time.
	require.NoError(t, json.Indent(&indented, bytes.TrimSpace(recorder.Body.Bytes()), "", "  "))
	return response.String() + "\n" + indented.String() + "\n"
}
