package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/peer"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	// maxKindLabels bounds the number of kind labels, since callers may send any kind
	// before the first configuration. Further kinds are counted as otherKind.
	maxKindLabels = 64
	otherKind     = "other"
	// metricsTimeout is how long a scrape waits for the control thread.
	metricsTimeout = 2 * time.Second
)

// processMetrics are the metrics of one node. They are kept in a separate set, since
// tests and the demo run several nodes in one operating-system process.
type processMetrics struct {
	process *Process
	set     *metrics.Set
	starts  *metrics.Counter

	mu    sync.Mutex
	kinds map[string]bool
}

func newMetrics(p *Process) *processMetrics {
	m := &processMetrics{process: p, set: metrics.NewSet(), kinds: map[string]bool{}}
	m.starts = m.set.NewCounter("yuccalanding_starts_total")
	return m
}

// observeCall counts a caller's call and records its duration.
func (m *processMetrics) observeCall(route string, status int, code workload.Code, duration time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("yuccalanding_requests_total{route=%q,status=\"%d\",code=%q}", route, status, string(code))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("yuccalanding_request_seconds{route=%q}", route)).Update(duration.Seconds())
}

// observeWait records the time from acceptance to the start of an answered request.
func (m *processMetrics) observeWait(kind string, wait time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("yuccalanding_wait_seconds{kind=%q}", m.kindLabel(kind))).Update(wait.Seconds())
}

// kindLabel returns the label of a kind: its name, or otherKind if maxKindLabels
// other names are in use.
func (m *processMetrics) kindLabel(kind string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.kinds[kind] {
		if len(m.kinds) >= maxKindLabels {
			return otherKind
		}
		m.kinds[kind] = true
	}
	return kind
}

// countRecord counts a record that was passed to the log client.
func (m *processMetrics) countRecord(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("yuccalanding_records_total{kind=%q}", kind)).Inc()
}

// write writes all metrics. It omits those of the control state if the control
// thread doesn't answer within metricsTimeout.
func (m *processMetrics) write(out io.Writer) {
	var page bytes.Buffer
	m.set.WritePrometheus(&page)
	m.writePeerTraffic(&page)
	p := m.process
	metrics.WriteCounterUint64(&page, "yuccalanding_dropped_inputs_total", p.droppedPeerMessages.Load())
	metrics.WriteGaugeUint64(&page, "yuccalanding_inputs_waiting", uint64(len(p.inputs)))
	metrics.WriteGaugeUint64(&page, "yuccalanding_open_calls", uint64(p.pendingCalls.count()))
	raised, _ := p.alarmMonitor.list(context.Background())
	metrics.WriteGaugeUint64(&page, "yuccalanding_alarms", uint64(len(raised)))
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	if view, err := p.View(ctx); err == nil {
		m.writeView(&page, &view)
	}
	// These metrics, with the prefixes process_ and go_, cover the whole
	// operating-system process.
	metrics.WriteProcessMetrics(&page)
	_, _ = out.Write(page.Bytes())
}

// writeView writes the metrics of the control state.
func (m *processMetrics) writeView(page *bytes.Buffer, view *control.View) {
	metrics.WriteGaugeUint64(page, "yuccalanding_sessions", uint64(len(view.Capacities)))
	metrics.WriteGaugeUint64(page, "yuccalanding_home_leases_held", uint64(countHeldHomeLeases(&view.Dump)))
	metrics.WriteGaugeUint64(page, "yuccalanding_policy_version", view.PolicyVersion)
	metrics.WriteGaugeUint64(page, "yuccalanding_log_up", boolGauge(view.LogUp))
	metrics.WriteGaugeUint64(page, "yuccalanding_open_jobs", uint64(view.OpenJobs.Used))
	metrics.WriteGaugeUint64(page, "yuccalanding_held_tasks", uint64(view.HeldTasks))
	waiting := map[string]int{}
	for i := range view.Homes {
		for _, queue := range view.Homes[i].Queues {
			waiting[m.kindLabel(queue.Kind)] += queue.Waiting.Used
		}
	}
	for kind, length := range waiting {
		metrics.WriteGaugeUint64(page, fmt.Sprintf("yuccalanding_queue_length{kind=%q}", kind), uint64(length))
	}
}

// writePeerTraffic writes the traffic with peers, summed by region.
func (m *processMetrics) writePeerTraffic(page *bytes.Buffer) {
	type key struct{ region, purpose string }
	sums, wireSums := map[key]peer.Traffic{}, map[string]peer.WireCounters{}
	for _, counters := range m.process.transport.Counters().Peers {
		for purpose, traffic := range map[string]peer.Traffic{"control": counters.Control, "bulk": counters.Bulk} {
			sum := sums[key{counters.Region, purpose}]
			sum.FramesSent += traffic.FramesSent
			sum.BytesSent += traffic.BytesSent
			sum.FramesReceived += traffic.FramesReceived
			sum.BytesReceived += traffic.BytesReceived
			// The sum's DroppedFull counts the frames dropped for any reason.
			sum.DroppedFull += traffic.DroppedFull + traffic.DroppedDown + traffic.DroppedSize + traffic.DroppedBroken
			sums[key{counters.Region, purpose}] = sum
		}
		wireSum := wireSums[counters.Region]
		wireSum.Sent += counters.WireSent
		wireSum.Received += counters.WireReceived
		wireSums[counters.Region] = wireSum
	}
	for labelKey, sum := range sums {
		labels := fmt.Sprintf("{region=%q,purpose=%q}", labelKey.region, labelKey.purpose)
		metrics.WriteCounterUint64(page, "yuccalanding_peer_messages_sent_total"+labels, sum.FramesSent)
		metrics.WriteCounterUint64(page, "yuccalanding_peer_messages_received_total"+labels, sum.FramesReceived)
		metrics.WriteCounterUint64(page, "yuccalanding_peer_messages_dropped_total"+labels, sum.DroppedFull)
		metrics.WriteCounterUint64(page, "yuccalanding_peer_bytes_sent_total"+labels, sum.BytesSent)
		metrics.WriteCounterUint64(page, "yuccalanding_peer_bytes_received_total"+labels, sum.BytesReceived)
	}
	for region, wireSum := range wireSums {
		labels := fmt.Sprintf("{region=%q}", region)
		metrics.WriteCounterUint64(page, "yuccalanding_peer_wire_bytes_sent_total"+labels, wireSum.Sent)
		metrics.WriteCounterUint64(page, "yuccalanding_peer_wire_bytes_received_total"+labels, wireSum.Received)
	}
}

func boolGauge(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}
