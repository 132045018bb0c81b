package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/entry"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/loopback"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/internal/uptime"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// cell is the whole system on loopback: the stand-in of the platform and some
// entry processes, each with its own IP address.
type cell struct {
	t              *testing.T
	site           *standin.Site
	nodes          []*node
	adviserAddress netip.AddrPort
	cores          float64                      // of each VM; 0 counts as a small one
	workers        map[string][]*standin.Worker // by service
	isolated       sync.Map                     // the IP addresses of nodes whose calls to and from other nodes are lost
}

type node struct {
	process    *entry.Process
	suspended  atomic.Int64 // time for which its VM was suspended, in ns
	storeProxy *storeProxy
	settings   platform.Settings
	cancel     context.CancelFunc
	ended      chan error
	logs       *lockedBuffer
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// manifestOf returns a manifest with the queues quick and batch under these
// path prefixes.
func manifestOf(version int, quickPrefix, batchPrefix string) string {
	terms := job.Terms{MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second}
	quickTerms, batchTerms := terms, terms
	quickTerms.Queue, quickTerms.RequiresTicket, quickTerms.AdviceTime, quickTerms.TicketLifetime = "quick", true, time.Millisecond, 2*time.Second
	quickTerms.AdviceTimePerWorker = 100 * time.Microsecond
	batchTerms.Queue, batchTerms.Priority = "batch", 2
	return standin.Manifest(version, []manifest.Queue{
		{Host: "cell.example", PathPrefix: quickPrefix, Service: "ledger", Terms: quickTerms},
		{Host: "cell.example", PathPrefix: batchPrefix, Service: "review", Terms: batchTerms},
	}, []string{"ledger", "review"}, 4096)
}

func newCell(t *testing.T, nodes int) *cell { return newCellWithCores(t, nodes, 0) }

func newCellWithCores(t *testing.T, nodes int, cores float64) *cell {
	c := &cell{t: t, site: standin.New(), cores: cores, workers: map[string][]*standin.Worker{}}
	t.Cleanup(c.site.Close)
	address, err := c.site.Serve(http.HandlerFunc(standin.Adviser))
	require.NoError(t, err)
	c.adviserAddress = netip.MustParseAddrPort(address)
	for i := range 3 {
		for _, service := range []string{"ledger", "review"} {
			c.addWorker(fmt.Sprintf("i-%s-%d", service, i), service, 16000)
		}
	}
	for i := range nodes {
		c.start(i)
	}
	return c
}

func (c *cell) addWorker(id, service string, milliCPU int) *standin.Worker {
	worker, err := c.site.AddWorker(id, service, milliCPU, 32000, 8)
	require.NoError(c.t, err)
	c.workers[service] = append(c.workers[service], worker)
	return worker
}

func (c *cell) start(number int) *node {
	ip := loopback.New()
	storeProxy := &storeProxy{store: c.site.Store}
	address, err := c.site.Serve(storeProxy)
	require.NoError(c.t, err)
	n := &node{
		storeProxy: storeProxy,
		settings: platform.Settings{
			Node: fmt.Sprintf("entry-%d", number), Cores: c.cores, Zone: "z", Region: "r", IP: ip,
			CallerAddress: netip.AddrPortFrom(ip, 8149), ReadyAddress: netip.AddrPortFrom(ip, 8141), FirstPeerPort: 7380, LastPeerPort: 7395,
			Store: platform.StoreSettings{Address: netip.MustParseAddrPort(address), Partitions: standin.Partitions}, AdviserAddress: c.adviserAddress,
			Bounds: platform.Bounds{MaxLease: 6 * time.Second, StopGrace: 6 * time.Second, StateRetention: 2 * time.Minute},
		},
		ended: make(chan error, 1), logs: &lockedBuffer{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	recorder := event.New(context.Background(), event.Options{Out: n.logs, Node: n.settings.Node, RateLimit: entry.LogLinesPerSecond, Burst: entry.LogLinesBurst})
	n.process = entry.New(n.settings, recorder)
	n.process.WrapPeerTransport(func(transport http.RoundTripper) http.RoundTripper {
		return peerNetwork{transport, &c.isolated, ip.String()}
	})
	n.process.SetSinceBoot(func() time.Duration { return uptime.Now() + time.Duration(n.suspended.Load()) })
	go func() { n.ended <- n.process.Run(ctx) }()
	c.nodes = append(c.nodes, n)
	c.t.Cleanup(func() {
		cancel()
		if c.t.Failed() {
			c.t.Log(n.logs.String())
		}
	})
	return n
}

func (c *cell) call(n *node, method, path, body string) (int, string, http.Header) {
	request, err := http.NewRequest(method, "http://"+n.settings.CallerAddress.String()+path, strings.NewReader(body))
	require.NoError(c.t, err)
	request.Host = "cell.example"
	client := &http.Client{Timeout: 5 * time.Second}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	require.NoError(c.t, err)
	return answer.StatusCode, string(content), answer.Header
}

func (c *cell) configure(version int) {
	c.site.Configure(manifestOf(version, "/quick/", "/batch/"))
}

// jobWithTaskMS returns a job with a step of three tasks and then a gang of
// two. Each task runs for ms milliseconds.
func jobWithTaskMS(ms int) string {
	step := job.Step{Count: 3, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Duration(ms) * time.Millisecond}
	last := step
	last.Count, last.After, last.Gang = 2, []int{0}, true
	return standin.Submission(job.Spec{Text: strconv.Itoa(ms), Steps: []job.Step{step, last}})
}

func (c *cell) requireState(n *node, path string, state job.State, limit time.Duration) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		status, body, _ := c.call(n, http.MethodGet, path, "")
		return status == http.StatusOK && strings.Contains(body, string(state))
	}, limit, 20*time.Millisecond, "%s doesn't become %s", path, state)
}

// submit submits a job and retries, as a caller does, until it is accepted.
func (c *cell) submit(n *node, path, body string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		status, _, _ := c.call(n, http.MethodPost, path, body)
		return status == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond, "%s is not accepted", path)
}

// requireRunsOnce checks that no run of a task started after the task was done.
func (c *cell) requireRunsOnce() {
	c.t.Helper()
	done := map[string]time.Time{}
	for _, run := range c.site.Runs() {
		if ended, before := done[run.Task]; before {
			require.False(c.t, run.StartedAt.After(ended), "%s: run %d started after the task was done", run.Task, run.Number)
		}
		if run.Result == "done" {
			done[run.Task] = run.EndedAt
		}
	}
}

func TestSubmitToCompletion(t *testing.T) {
	c := newCell(t, 3)
	status, _, header := c.call(c.nodes[0], http.MethodPost, "/quick/00000000000000aa", jobWithTaskMS(50))
	if status != 0 { // the listener may not be open yet
		require.Equal(t, http.StatusServiceUnavailable, status, "no manifest is in force")
		require.NotEmpty(t, header.Get("Retry-After"))
	}
	c.configure(1)
	for i, n := range c.nodes {
		c.submit(n, fmt.Sprintf("/quick/%016x", i), jobWithTaskMS(50))
		c.submit(n, fmt.Sprintf("/batch/%016x", 100+i), jobWithTaskMS(50))
	}
	for i := range c.nodes {
		for _, n := range c.nodes {
			c.requireState(n, fmt.Sprintf("/quick/%016x", i), job.Completed, 10*time.Second)
			c.requireState(n, fmt.Sprintf("/batch/%016x", 100+i), job.Completed, 10*time.Second)
		}
	}
	c.requireRunsOnce()
	for _, service := range []string{"ledger/0", "review/0"} {
		claims := 0
		for _, n := range c.nodes {
			claims += strings.Count(n.logs.String(), "name=right-claimed node="+n.settings.Node+" service="+service)
		}
		require.Equal(t, 1, claims, "leadership of a live leader is not claimed again")
	}

	// Each invalid request gets its own status and doesn't harm the process.
	cases := map[string]struct {
		method, path, body string
		status             int
	}{
		"unknown queue":      {http.MethodPost, "/none/0000000000000001", jobWithTaskMS(1), http.StatusNotFound},
		"unknown job":        {http.MethodGet, "/quick/ffffffffffffffff", "", http.StatusGone},
		"cancel unknown job": {http.MethodDelete, "/quick/ffffffffffffffff", "", http.StatusGone},
		"no job ID":          {http.MethodPost, "/quick/xyz", jobWithTaskMS(1), http.StatusBadRequest},
		"invalid JSON":       {http.MethodPost, "/quick/00000000000000ab", "{", http.StatusBadRequest},
		"cycle of steps":     {http.MethodPost, "/quick/00000000000000ab", standin.Submission(job.Spec{Steps: []job.Step{{Count: 1, After: []int{0}}}}), http.StatusBadRequest},
		"body too large":     {http.MethodPost, "/quick/00000000000000ab", strings.Repeat(" ", 5000), http.StatusRequestEntityTooLarge},
		"larger than a VM":   {http.MethodPost, "/quick/00000000000000ab", standin.Submission(job.Spec{Text: "1", Steps: []job.Step{{Count: 1, Demand: job.Demand{MilliCPU: 17000}}}}), http.StatusTooManyRequests},
		"waiting jobs":       {http.MethodGet, "/quick/", "", http.StatusOK},
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			status, _, _ := c.call(c.nodes[1], request.method, request.path, request.body)
			require.Equal(t, request.status, status)
		})
	}
}

// Another writer may leave any bytes among the workers' entries. Every node must
// still follow the list: workers that join later get tasks.
func TestInvalidWorkerEntriesDoNotStopTheFollowers(t *testing.T) {
	c := newCell(t, 2)
	valid := func(address, cpu string) string {
		return `{"service":"ledger","address":"` + address + `","zone":"z","state":"ready","born":1,"capacity":{"cpu":` + cpu + `,"mem-mb":1,"gpu":0},"labels":["a","r"]}`
	}
	entries := map[string]string{
		"deeply-nested":          strings.Repeat(`{"a":`, 20_000),
		"large-number":           valid("10.0.0.1:80", "1e999"),
		"overflowing-number":     valid("10.0.0.1:80", "9223372036854775807"),
		"port-out-of-range":      valid("10.0.0.1:99999", "1000"),
		"port-0":                 valid("10.0.0.1:0", "1000"),
		"no-text":                "\x00\xff\xfe",
		"line\nbreak":            valid("127.0.0.1:1", "1000"),
		"nothing-listens":        valid("127.0.0.1:1", "1000"),
		strings.Repeat("k", 255): valid("127.0.0.1:1", "1000"),
	}
	put := func() {
		for id, entry := range entries {
			c.site.Store.Put(platform.WorkerTopic, id, entry)
		}
	}
	put()
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobWithTaskMS(50))
	put()
	late, err := c.site.AddWorker("i-late", "ledger", 64000, 32000, 8)
	require.NoError(t, err)
	require.NotNil(t, late)
	c.submit(c.nodes[0], "/quick/0000000000000002", jobWithTaskMS(50))
	wide := standin.Submission(job.Spec{Text: "50", Steps: []job.Step{{Count: 1, Demand: job.Demand{MilliCPU: 60000, MemoryMB: 10}, Estimate: 50 * time.Millisecond}}})
	c.submit(c.nodes[0], "/quick/0000000000000003", wide) // fits only the new worker
	for i := 1; i <= 3; i++ {
		c.requireState(c.nodes[1], fmt.Sprintf("/quick/%016x", i), job.Completed, 10*time.Second)
	}
	c.requireRunsOnce()
	for _, n := range c.nodes {
		require.Empty(t, n.ended, "no process has ended")
	}
}

// Guards against jobs that are lost or run twice when their shard's leader is
// stopped.
func TestStoppedLeaderHandsOver(t *testing.T) {
	c := newCell(t, 3)
	c.configure(1)
	for i := range 6 {
		c.submit(c.nodes[i%3], fmt.Sprintf("/quick/%016x", i), jobWithTaskMS(700))
	}
	leader := c.leader("ledger")
	leader.cancel()
	other := c.otherThan(leader)
	began := time.Now()
	c.submit(other, "/quick/00000000000000ff", jobWithTaskMS(50))
	require.Less(t, time.Since(began), 2*time.Second, "a planned change of leader takes less than 2 s")
	for i := range 6 {
		c.requireState(other, fmt.Sprintf("/quick/%016x", i), job.Completed, 15*time.Second)
	}
	require.NoError(t, <-leader.ended)
	c.requireRunsOnce()
}

// A fault in the program must end neither the process nor the other shards that it
// leads, and the jobs of the shard must go on without being run twice.
func TestPanicEndsOnlyTheLeadership(t *testing.T) {
	c := newCell(t, 2)
	c.configure(1)
	for i := range 4 {
		c.submit(c.nodes[i%2], fmt.Sprintf("/quick/%016x", i), jobWithTaskMS(700))
	}
	c.submit(c.nodes[0], "/batch/0000000000000010", jobWithTaskMS(700))
	for range 2 {
		require.True(t, c.leader("ledger").process.PanicInControlLoop("ledger/0"))
		c.submit(c.nodes[0], "/quick/00000000000000ff", jobWithTaskMS(50))
	}
	for i := range 4 {
		c.requireState(c.nodes[1], fmt.Sprintf("/quick/%016x", i), job.Completed, 15*time.Second)
	}
	c.requireState(c.nodes[1], "/batch/0000000000000010", job.Completed, 15*time.Second)
	c.requireRunsOnce()
	for _, n := range c.nodes {
		require.Empty(t, n.ended, "no process has ended")
	}
}

// The steady clock stops while a VM is suspended. A leader whose confirmation expired
// meanwhile must start nothing when its VM goes on.
func TestSuspendedLeaderStartsNothing(t *testing.T) {
	c := newCell(t, 2)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobWithTaskMS(50))
	c.requireState(c.nodes[1], "/quick/0000000000000001", job.Completed, 10*time.Second)
	for _, n := range c.nodes {
		n.storeProxy.unavailable.Store(true) // so that nobody confirms or replaces the leader
	}
	leader := c.leader("ledger")
	require.Eventually(t, func() bool { return !strings.Contains(leader.logs.String(), "name=authority") }, time.Second, 10*time.Millisecond)
	leader.suspended.Add(int64(election.MaxConfirmationAge))
	require.Eventually(t, func() bool {
		return strings.Contains(leader.logs.String(), "name=authority node="+leader.settings.Node+" service=ledger/0 has=false")
	}, 2*time.Second, 10*time.Millisecond, "the leader has lost its authority")
}

// leader returns the node that leads a service's first shard.
func (c *cell) leader(service string) *node {
	c.t.Helper()
	found, _ := c.leadership(service)
	return found
}

// leadership returns the node that leads a service's first shard, and its epoch.
func (c *cell) leadership(service string) (leader *node, epoch int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		leader, epoch = c.newestClaim(service)
		return leader != nil
	}, 10*time.Second, 20*time.Millisecond)
	return leader, epoch
}

// newestClaim returns the node that claimed a service's first shard last, and its epoch;
// nil if none has.
func (c *cell) newestClaim(service string) (found *node, newest int) {
	newest = -1
	for _, n := range c.nodes {
		for _, line := range strings.Split(n.logs.String(), "\n") {
			var epoch int
			if at := strings.Index(line, "epoch="); strings.Contains(line, "name=right-claimed") && strings.Contains(line, "service="+service+"/0 ") {
				_, err := fmt.Sscanf(line[at:], "epoch=%d", &epoch)
				if err == nil && epoch > newest {
					newest, found = epoch, n
				}
			}
		}
	}
	return found, newest
}

// otherThan returns a node other than the given one.
func (c *cell) otherThan(n *node) *node {
	if c.nodes[0] == n {
		return c.nodes[1]
	}
	return c.nodes[0]
}

// Guards against a stopped leader that refuses jobs within its grace period
// although no other node can claim leadership.
func TestStoppedLeaderServesUntilReplaced(t *testing.T) {
	c := newCell(t, 2)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobWithTaskMS(50))
	leader := c.leader("ledger")
	other := c.otherThan(leader)
	c.site.Store.SetUnresponsive("keyed.rights", 0, true)
	leader.cancel()
	for i := range 10 {
		status, body, _ := c.call(other, http.MethodPost, fmt.Sprintf("/quick/%016x", 10+i), jobWithTaskMS(50))
		require.Equal(t, http.StatusOK, status, body)
		time.Sleep(200 * time.Millisecond)
	}
	c.site.Store.SetUnresponsive("keyed.rights", 0, false)
	require.NoError(t, <-leader.ended)
	c.requireState(other, fmt.Sprintf("/quick/%016x", 19), job.Completed, 5*time.Second)
	c.requireRunsOnce()
}

func TestCancelReadinessAndMetrics(t *testing.T) {
	c := newCell(t, 2)
	c.configure(1)
	c.submit(c.nodes[0], "/batch/0000000000000001", jobWithTaskMS(60000))
	c.requireState(c.nodes[1], "/batch/0000000000000001", job.Running, 10*time.Second)
	answer, err := http.Get("http://" + c.nodes[0].settings.ReadyAddress.String() + platform.ReadyPath)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusOK, answer.StatusCode)
	status, _, _ := c.call(c.nodes[1], http.MethodDelete, "/batch/0000000000000001", "")
	require.Equal(t, http.StatusOK, status)
	c.requireState(c.nodes[0], "/batch/0000000000000001", job.Cancelled, time.Second)
	require.Eventually(t, func() bool {
		for _, run := range c.site.Runs() {
			if run.EndedAt.IsZero() {
				return false
			}
		}
		return true
	}, 5*time.Second, 20*time.Millisecond, "the runs of a cancelled job end")
	require.Contains(t, metricsOf(t, c.nodes[0]), "yuccalanding_requests_total")
	require.Contains(t, metricsOf(t, c.leader("review")), "yuccalanding_control_round_seconds")
}

// metricsOf returns the metrics that a node serves.
func metricsOf(t *testing.T, n *node) string {
	answer, err := http.Get("http://" + net.JoinHostPort(n.settings.IP.String(), "9464") + "/metrics")
	require.NoError(t, err)
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return string(content)
}

// Guards against logging events that the catalogue lacks, which are lost.
func TestEventsAreInCatalogue(t *testing.T) {
	known := map[string]bool{}
	for _, definition := range event.Catalogue() {
		known[definition.Name] = true
	}
	for _, name := range eventNames(t) {
		require.True(t, known[name], "event %q", name)
	}
}
