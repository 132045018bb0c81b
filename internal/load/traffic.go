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

// The nodes' metrics of the bytes that they sent to the nodes of a region, with
// UDP and IP headers.
const wireSentMetric = `yuccalanding_peer_wire_bytes_sent_total{region="`

// Bounds of reading the metrics.
const (
	trafficEvery    = time.Second
	trafficTimeout  = 2 * time.Second
	maxMetricsBytes = 4 << 20
)

// MetricsSource is a node whose metrics count its traffic.
type MetricsSource struct {
	Operators netip.AddrPort
	Region    string
}

// trafficMeter adds up what the nodes sent. A node that was replaced starts at
// zero, so each node's growth is added.
type trafficMeter struct {
	sources []MetricsSource

	mu    sync.Mutex
	last  map[trafficKey]int64
	all   int64
	links int64
	read  bool
}

// trafficKey is one counter: a node's bytes to a region.
type trafficKey struct {
	node netip.AddrPort
	to   string
}

func newTrafficMeter(sources []MetricsSource) *trafficMeter {
	return &trafficMeter{sources: sources, last: map[trafficKey]int64{}}
}

// run reads the metrics until ctx ends.
func (m *trafficMeter) run(ctx context.Context) {
	ticker := time.NewTicker(trafficEvery)
	defer ticker.Stop()
	for {
		for _, source := range m.sources {
			m.readOne(ctx, source)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readOne skips a node that doesn't answer, as dead ones don't.
func (m *trafficMeter) readOne(ctx context.Context, source MetricsSource) {
	ctx, cancel := context.WithTimeout(ctx, trafficTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.Operators.String()+"/metrics", http.NoBody)
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
	key := trafficKey{source.Operators, region}
	grown := bytes - m.last[key]
	if grown < 0 {
		grown = bytes
	}
	m.last[key] = bytes
	m.read = true
	m.all += grown
	if region != source.Region {
		m.links += grown
	}
}

// sums returns the bytes of all nodes and those between regions, or -1 if no
// metrics were read.
func (m *trafficMeter) sums() (all, links int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.read {
		return -1, -1
	}
	return m.all, m.links
}
