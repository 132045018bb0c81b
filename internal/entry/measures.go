package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// measures are the process's counters and histograms.
type measures struct{ set *metrics.Set }

func newMeasures() *measures { return &measures{set: metrics.NewSet()} }

func (m *measures) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

func (m *measures) event(name string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccalanding_events_total{name=%q}`, name)).Inc()
}

// intake counts callers' submissions and refusals by queue and status. Queues
// are bounded by the manifest.
func (m *measures) intake(queue string, status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccalanding_requests_total{queue=%q,status="%d"}`, queue, status)).Inc()
}

func (m *measures) append(took time.Duration, err error) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`yuccalanding_store_append_seconds{ok="%t"}`, err == nil)).Update(took.Seconds())
}

func (m *measures) start(took time.Duration, result shard.StartResult) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`yuccalanding_run_start_seconds{result=%q}`, result)).Update(took.Seconds())
}

func (m *measures) look(err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccalanding_worker_looks_total{ok="%t"}`, err == nil)).Inc()
}

// Bounds of the log: lines a second and in a burst for each event, and lines
// that wait for the reader of standard output.
const (
	LinesPerSecond = 200
	LinesBurst     = 400
	LinesQueue     = 2048
)
