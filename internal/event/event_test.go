package event_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/job"
)

var update = flag.Bool("update", false, "write docs/events.md from the catalogue")

const page = "../../docs/events.md"

// Guards against a docs/events.md that differs from the catalogue.
func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(event.Markdown()), 0o644))
	}
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, event.Markdown(), string(content), "run: go test ./internal/event -update")
}

// Guards against two events with the same number or name, and against an event
// without a meaning or an action.
func TestCatalogueIsComplete(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, definition := range event.Catalogue() {
		require.False(t, numbers[definition.Number], "number %d is used twice", definition.Number)
		require.False(t, names[definition.Name], "name %s is used twice", definition.Name)
		require.NotEmpty(t, definition.Meaning, definition.Name)
		require.NotEmpty(t, definition.Action, definition.Name)
		numbers[definition.Number], names[definition.Name] = true, true
	}
}

// Guards against an event that is recorded in a loop and fills the log, and against
// a lost count of suppressed lines.
func TestRateLimitCountsSuppressedLines(t *testing.T) {
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Unix(1000, 0)
	recorder := event.New(ctx, event.Options{Out: &out, Node: "entry-1", Now: func() time.Time { return now }, RateLimit: 1, Burst: 2})
	for range 10 {
		recorder.Record(event.SessionLost, "worker", "w-1")
	}
	now = now.Add(time.Second)
	recorder.Record(event.SessionLost, "worker", "w-1")
	recorder.Record(event.SessionOpened, "worker", func() {})
	cancel()
	<-recorder.Done()
	require.Equal(t, 2, strings.Count(out.String(), "event=202 name=session-lost node=entry-1 worker=w-1\n"))
	require.Contains(t, out.String(), "suppressed=8 worker=w-1")
	require.Contains(t, out.String(), "event=200")
	require.EqualValues(t, 11, recorder.Total(event.SessionLost))
}

// Guards against values that are logged as "unsupported value type": the logfmt
// encoder rejected job.Demand, so the capacity of each worker was missing.
func TestValuesAreReadable(t *testing.T) {
	type size struct{ width, height int }
	for name, c := range map[string]struct {
		value any
		want  string
	}{
		"demand":   {job.Demand{MilliCPU: 4000, MemoryMB: 8192, GPUs: 2}, "value=4000m,8192MB,2gpu\n"},
		"struct":   {size{3, 4}, "value=\"{3 4}\"\n"},
		"slice":    {[]string{"a", "b"}, "value=\"[a b]\"\n"},
		"address":  {netip.MustParseAddrPort("127.0.0.1:80"), "value=127.0.0.1:80\n"},
		"duration": {time.Second, "value=1s\n"},
		"error":    {errors.New("no answer"), "value=\"no answer\"\n"},
		"number":   {3, "value=3\n"},
		"nil":      {nil, "value=null\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			ctx, cancel := context.WithCancel(t.Context())
			recorder := event.New(ctx, event.Options{Out: &out, RateLimit: 1, Burst: 1})
			recorder.Record(event.SessionLost, "value", c.value)
			cancel()
			<-recorder.Done()
			require.Contains(t, out.String(), c.want)
		})
	}
}
