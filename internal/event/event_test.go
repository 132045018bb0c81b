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

// Guards against a page of events that differs from what nodes log.
func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(event.Markdown()), 0o644))
	}
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, event.Markdown(), string(content), "run: go test ./internal/event -update")
}

// Guards against two events with one number or name, and against gaps in the page.
func TestCatalogueIsComplete(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, definition := range event.Catalogue() {
		require.False(t, numbers[definition.Number], "number %d twice", definition.Number)
		require.False(t, names[definition.Name], "name %s twice", definition.Name)
		require.NotEmpty(t, definition.Meaning, definition.Name)
		require.NotEmpty(t, definition.Action, definition.Name)
		numbers[definition.Number], names[definition.Name] = true, true
	}
}

// Guards against log lines in a loop without a bound, and against the loss of
// the count of suppressed lines.
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

// Guards against values that reach the log as "unsupported value type", as the
// capacity of each listed worker did.
func TestValuesAreLegible(t *testing.T) {
	type size struct{ width, height int }
	for name, c := range map[string]struct {
		value any
		want  string
	}{
		"demand":    {job.Demand{MilliCPU: 4000, MemoryMB: 8192, GPUs: 2}, "value=4000m,8192MB,2gpu\n"},
		"structure": {size{3, 4}, "value=\"{3 4}\"\n"},
		"list":      {[]string{"a", "b"}, "value=\"[a b]\"\n"},
		"address":   {netip.MustParseAddrPort("127.0.0.1:80"), "value=127.0.0.1:80\n"},
		"duration":  {time.Second, "value=1s\n"},
		"error":     {errors.New("no answer"), "value=\"no answer\"\n"},
		"number":    {3, "value=3\n"},
		"nothing":   {nil, "value=null\n"},
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
