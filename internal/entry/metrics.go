package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"yuccalanding.example/yuccalanding/internal/shard"
)

// processMetrics are the counters and histograms of a process.
type processMetrics struct{ set *metrics.Set }

func newProcessMetrics() *processMetrics { return &processMetrics{set: metrics.NewSet()} }

// handler serves the metrics in the Prometheus text format.
func (m *processMetrics) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

func (m *processMetrics) countEvent(name string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccalanding_events_total{name=%q}`, name)).Inc()
}

// countRequest counts a request by queue and HTTP status: submissions, and other
// requests that are refused or whose outcome is unknown. The manifest bounds the
// number of queues.
func (m *processMetrics) countRequest(queue string, status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccalanding_requests_total{queue=%q,status="%d"}`, queue, status)).Inc()
}

func (m *processMetrics) observeAppend(took time.Duration, err error) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`yuccalanding_store_append_seconds{ok="%t"}`, err == nil)).Update(took.Seconds())
}

func (m *processMetrics) observeStart(took time.Duration, result shard.StartResult) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`yuccalanding_run_start_seconds{result=%q}`, result)).Update(took.Seconds())
}

// observeRound records the time of one round of a leader's control loop. Inputs wait for
// the round before theirs.
func (m *processMetrics) observeRound(took time.Duration) {
	m.set.GetOrCreateHistogram(`yuccalanding_control_round_seconds`).Update(took.Seconds())
}

func (m *processMetrics) countPoll(err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yuccalanding_worker_looks_total{ok="%t"}`, err == nil)).Inc()
}

// Bounds of the log: lines a second and lines in a burst for each event name,
// and lines that wait to be written to standard output.
const (
	LogLinesPerSecond = 200
	LogLinesBurst     = 400
	LogLinesQueued    = 2048
)
