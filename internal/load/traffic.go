package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// wireSentMetric is the prefix of the lines of a node's metrics that give the
// number of bytes sent to a region, including UDP and IP headers.
const wireSentMetric = `yuccalanding_peer_wire_bytes_sent_total{region="`

// Interval, timeout and size limit of reading a node's metrics.
const (
	trafficInterval = time.Second
	trafficTimeout  = 2 * time.Second
	maxMetricsBytes = 4 << 20
)

// MetricsSource is a node whose metrics are read: the address that serves its
// metrics, and its region.
type MetricsSource struct {
	Address netip.AddrPort
	Region  string
}

// trafficMeter sums the bytes that the nodes sent, in total and between regions.
// It adds the increase of each counter, because the counters of a replaced node
// start at zero again.
type trafficMeter struct {
	sources []MetricsSource

	mu               sync.Mutex
	lastValues       map[trafficKey]int64
	totalBytes       int64
	crossRegionBytes int64
	hasRead          bool
}

// trafficKey is one counter: a node's bytes to a region.
type trafficKey struct {
	node     netip.AddrPort
	toRegion string
}

func newTrafficMeter(sources []MetricsSource) *trafficMeter {
	return &trafficMeter{sources: sources, lastValues: map[trafficKey]int64{}}
}

// run reads the metrics until ctx ends.
func (m *trafficMeter) run(ctx context.Context) {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	for {
		for _, source := range m.sources {
			m.readNode(ctx, source)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readNode adds the counters of one node. A node that doesn't answer is skipped,
// because a run may kill nodes.
func (m *trafficMeter) readNode(ctx context.Context, source MetricsSource) {
	ctx, cancel := context.WithTimeout(ctx, trafficTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.Address.String()+"/metrics", http.NoBody)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(io.LimitReader(response.Body, maxMetricsBytes))
	for lines.Scan() {
		m.readLine(source, lines.Text())
	}
}

func (m *trafficMeter) readLine(source MetricsSource, line string) {
	rest, found := strings.CutPrefix(line, wireSentMetric)
	region, value, valid := strings.Cut(rest, `"} `)
	bytes, err := strconv.ParseInt(value, 10, 64)
	if !found || !valid || err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := trafficKey{source.Address, region}
	increase := bytes - m.lastValues[key]
	if increase < 0 {
		increase = bytes
	}
	m.lastValues[key] = bytes
	m.hasRead = true
	m.totalBytes += increase
	if region != source.Region {
		m.crossRegionBytes += increase
	}
}

// totals returns the number of bytes that all nodes sent, and the part of them
// that went to another region. Both are -1 if no metrics were read.
func (m *trafficMeter) totals() (totalBytes, crossRegionBytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasRead {
		return -1, -1
	}
	return m.totalBytes, m.crossRegionBytes
}
