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

	"yuccalanding.example/yuccalanding/internal/entry"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/loopback"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// cell is a whole path on loopback: the stand-in of the platform and some
// entry processes, each with an address of its own.
type cell struct {
	t      *testing.T
	site   *standin.Site
	nodes  []*node
	advice netip.AddrPort
}

// gate lets one node's calls of the store through, or refuses them.
type gate struct {
	store  http.Handler
	closed atomic.Bool
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.store.ServeHTTP(w, r)
}

type node struct {
	gate     *gate
	settings platform.Settings
	cancel   context.CancelFunc
	ended    chan error
	logs     *lockedBuffer
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

// manifestOf returns a manifest in which two queues have these prefixes.
func manifestOf(version int, quick, batch string) string {
	terms := job.Terms{MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second}
	first, second := terms, terms
	first.Queue, first.Advised, first.AdviceTime, first.TicketLife = "quick", true, time.Millisecond, 2*time.Second
	first.AdvicePerWorker = 100 * time.Microsecond
	second.Queue, second.Priority = "batch", 2
	return standin.Manifest(version, []manifest.Queue{
		{Host: "cell.example", PathPrefix: quick, Service: "ledger", Terms: first},
		{Host: "cell.example", PathPrefix: batch, Service: "review", Terms: second},
	}, []string{"ledger", "review"}, 4096)
}

func newCell(t *testing.T, nodes int) *cell {
	c := &cell{t: t, site: standin.New()}
	t.Cleanup(c.site.Close)
	advice, err := c.site.Serve(http.HandlerFunc(standin.Adviser))
	require.NoError(t, err)
	c.advice = netip.MustParseAddrPort(advice)
	for i := range 3 {
		for _, service := range []string{"ledger", "review"} {
			_, err := c.site.AddWorker(fmt.Sprintf("i-%s-%d", service, i), service, 16000, 32000, 8)
			require.NoError(t, err)
		}
	}
	for i := range nodes {
		c.start(i)
	}
	return c
}

func (c *cell) start(number int) *node {
	ip := loopback.New()
	gate := &gate{store: c.site.Store}
	address, err := c.site.Serve(gate)
	require.NoError(c.t, err)
	n := &node{
		gate: gate,
		settings: platform.Settings{
			Node: fmt.Sprintf("entry-%d", number), Zone: "z", Region: "r", IP: ip,
			Callers: netip.AddrPortFrom(ip, 8149), Ready: netip.AddrPortFrom(ip, 8141), FirstPeerPort: 7380, LastPeerPort: 7395,
			Store: platform.StoreSettings{Address: netip.MustParseAddrPort(address), Partitions: standin.Partitions}, Advice: c.advice,
			Bounds: platform.Bounds{MaxLease: 6 * time.Second, Grace: 6 * time.Second, Status: 2 * time.Minute},
		},
		ended: make(chan error, 1), logs: &lockedBuffer{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	recorder := event.New(context.Background(), event.Options{Out: n.logs, Node: n.settings.Node, RateLimit: entry.LinesPerSecond, Burst: entry.LinesBurst})
	process := entry.New(n.settings, recorder)
	go func() { n.ended <- process.Run(ctx) }()
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
	request, err := http.NewRequest(method, "http://"+n.settings.Callers.String()+path, strings.NewReader(body))
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

// jobOf returns a job of three tasks and a gang of two after them.
func jobOf(ms int) string {
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
	}, limit, 20*time.Millisecond, "%s isn't %s", path, state)
}

// submit hands a job in as a caller does: again after an answer that isn't final.
func (c *cell) submit(n *node, path, body string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		status, _, _ := c.call(n, http.MethodPost, path, body)
		return status == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond, "%s isn't accepted", path)
}

// requireRunsOnce checks that no task ran twice at a time or after its end.
func (c *cell) requireRunsOnce() {
	c.t.Helper()
	done := map[string]time.Time{}
	for _, run := range c.site.Runs() {
		if ended, before := done[run.Task]; before {
			require.False(c.t, run.Began.After(ended), "%s run %d starts after it was done", run.Task, run.Number)
		}
		if run.How == "done" {
			done[run.Task] = run.Ended
		}
	}
}

func TestWholePath(t *testing.T) {
	c := newCell(t, 3)
	status, _, header := c.call(c.nodes[0], http.MethodPost, "/quick/00000000000000aa", jobOf(50))
	if status != 0 { // the listener may not be open yet
		require.Equal(t, http.StatusServiceUnavailable, status, "no manifest is in force")
		require.NotEmpty(t, header.Get("Retry-After"))
	}
	c.configure(1)
	for i, n := range c.nodes {
		c.submit(n, fmt.Sprintf("/quick/%016x", i), jobOf(50))
		c.submit(n, fmt.Sprintf("/batch/%016x", 100+i), jobOf(50))
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
		require.Equal(t, 1, claims, "a right in good hands is not claimed again")
	}

	// Each bad request has an answer of its own and leaves the process whole.
	cases := map[string]struct {
		method, path, body string
		status             int
	}{
		"no such queue":      {http.MethodPost, "/none/0000000000000001", jobOf(1), http.StatusNotFound},
		"no such job":        {http.MethodGet, "/quick/ffffffffffffffff", "", http.StatusGone},
		"cancel of no job":   {http.MethodDelete, "/quick/ffffffffffffffff", "", http.StatusGone},
		"no identity":        {http.MethodPost, "/quick/xyz", jobOf(1), http.StatusBadRequest},
		"no JSON":            {http.MethodPost, "/quick/00000000000000ab", "{", http.StatusBadRequest},
		"a cycle of steps":   {http.MethodPost, "/quick/00000000000000ab", standin.Submission(job.Spec{Steps: []job.Step{{Count: 1, After: []int{0}}}}), http.StatusBadRequest},
		"too large a body":   {http.MethodPost, "/quick/00000000000000ab", strings.Repeat(" ", 5000), http.StatusRequestEntityTooLarge},
		"larger than a VM":   {http.MethodPost, "/quick/00000000000000ab", standin.Submission(job.Spec{Text: "1", Steps: []job.Step{{Count: 1, Demand: job.Demand{MilliCPU: 17000}}}}), http.StatusTooManyRequests},
		"the count of queue": {http.MethodGet, "/quick/", "", http.StatusOK},
	}
	for name, c1 := range cases {
		t.Run(name, func(t *testing.T) {
			status, _, _ := c.call(c.nodes[1], c1.method, c1.path, c1.body)
			require.Equal(t, c1.status, status)
		})
	}
}

// Guards jobs over a planned stop of the node that holds their right.
func TestStoppedHolderHandsOver(t *testing.T) {
	c := newCell(t, 3)
	c.configure(1)
	for i := range 6 {
		c.submit(c.nodes[i%3], fmt.Sprintf("/quick/%016x", i), jobOf(700))
	}
	holder := c.holder("ledger")
	holder.cancel()
	other := c.otherThan(holder)
	began := time.Now()
	c.submit(other, "/quick/00000000000000ff", jobOf(50))
	require.Less(t, time.Since(began), 2*time.Second, "a planned change of holder is quick")
	for i := range 6 {
		c.requireState(other, fmt.Sprintf("/quick/%016x", i), job.Completed, 15*time.Second)
	}
	require.NoError(t, <-holder.ended)
	c.requireRunsOnce()
}

// holder returns the node that holds a service's right.
func (c *cell) holder(service string) *node {
	c.t.Helper()
	var found *node
	require.Eventually(c.t, func() bool {
		newest := -1
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
		return found != nil
	}, 10*time.Second, 20*time.Millisecond)
	return found
}

// otherThan returns a node that is not the given one.
func (c *cell) otherThan(n *node) *node {
	if c.nodes[0] == n {
		return c.nodes[1]
	}
	return c.nodes[0]
}

// Guards against work that ends, or is refused for good, in an outage of the store.
func TestStoreOutage(t *testing.T) {
	c := newCell(t, 2)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobOf(1500))
	c.site.Store.SetDown(true)
	status, _, _ := c.call(c.nodes[0], http.MethodPost, "/quick/0000000000000002", jobOf(50))
	require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, status, "what isn't stored isn't accepted")
	time.Sleep(time.Second)
	began := time.Now()
	status, _, header := c.call(c.nodes[0], http.MethodPost, "/quick/0000000000000003", jobOf(50))
	require.Equal(t, http.StatusServiceUnavailable, status, "a silent store is known, and nothing was sent")
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Less(t, time.Since(began), 200*time.Millisecond, "what can't be served is refused at once")
	time.Sleep(time.Second)
	c.site.Store.SetDown(false)
	c.requireState(c.nodes[1], "/quick/0000000000000001", job.Completed, 15*time.Second)
	c.submit(c.nodes[0], "/quick/0000000000000002", jobOf(50))
	c.requireState(c.nodes[1], "/quick/0000000000000002", job.Completed, 15*time.Second)
	c.requireRunsOnce()
}

// Guards against a front that the store turns away alone and that so never
// learns of the next holder (incident inc-30eb of rlts-voucher).
func TestFrontWithoutTheStoreLearnsOfTheNextHolder(t *testing.T) {
	c := newCell(t, 3)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobOf(50))
	holder := c.holder("ledger")
	front := c.otherThan(holder)
	time.Sleep(time.Second) // the nodes have greeted the holders
	front.gate.closed.Store(true)
	holder.cancel()
	require.NoError(t, <-holder.ended)
	c.submit(front, "/quick/0000000000000002", jobOf(50))
	c.site.Configure(manifestOf(2, "/quick/", "/other/"))
	require.Eventually(t, func() bool {
		status, _, _ := c.call(front, http.MethodGet, "/other/", "")
		return status != http.StatusNotFound
	}, 3*time.Second, 20*time.Millisecond, "a manifest reaches it through other nodes")
}

// Pattern: a part of the store falls silent. A shard stores on in its other
// partition, and the next holder finds everything.
func TestSilentPartitionHoldsNothingUp(t *testing.T) {
	c := newCell(t, 2)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobOf(1500))
	c.site.Store.SetSilent("keyed.jobs-ledger", 0, true)
	began := time.Now()
	status, body, _ := c.call(c.nodes[1], http.MethodPost, "/quick/0000000000000002", jobOf(50))
	require.Equal(t, http.StatusOK, status, body)
	require.Less(t, time.Since(began), 2*time.Second, "well inside a caller's 3 s")
	c.requireState(c.nodes[1], "/quick/0000000000000002", job.Completed, 5*time.Second)
	c.requireState(c.nodes[1], "/quick/0000000000000001", job.Completed, 5*time.Second)
	c.site.Store.SetSilent("keyed.jobs-ledger", 0, false)
	holder := c.holder("ledger")
	other := c.otherThan(holder)
	holder.cancel()
	require.NoError(t, <-holder.ended)
	c.requireState(other, "/quick/0000000000000001", job.Completed, 5*time.Second)
	c.requireState(other, "/quick/0000000000000002", job.Completed, 5*time.Second)
	c.requireRunsOnce()
}

// Pattern: a rolling stop reaches the holder while nobody can claim its right.
// It serves to the end of its grace time.
func TestStoppedHolderServesUntilItIsReplaced(t *testing.T) {
	c := newCell(t, 2)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobOf(50))
	holder := c.holder("ledger")
	other := c.otherThan(holder)
	c.site.Store.SetSilent("keyed.rights", 0, true)
	holder.cancel()
	for i := range 10 {
		status, body, _ := c.call(other, http.MethodPost, fmt.Sprintf("/quick/%016x", 10+i), jobOf(50))
		require.Equal(t, http.StatusOK, status, body)
		time.Sleep(200 * time.Millisecond)
	}
	c.site.Store.SetSilent("keyed.rights", 0, false)
	require.NoError(t, <-holder.ended)
	c.requireState(other, fmt.Sprintf("/quick/%016x", 19), job.Completed, 5*time.Second)
	c.requireRunsOnce()
}

// Guards against two jobs out of one whose append had no answer.
func TestLostAnswerOfTheStore(t *testing.T) {
	c := newCell(t, 1)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobOf(50))
	c.site.Store.LoseAnswers(3)
	c.submit(c.nodes[0], "/quick/0000000000000002", jobOf(50))
	c.requireState(c.nodes[0], "/quick/0000000000000002", job.Completed, 15*time.Second)
	c.requireRunsOnce()
}

// Guards against a node that keeps an old manifest when history is dropped.
func TestManifestAfterTheStoreForgetsHistory(t *testing.T) {
	c := newCell(t, 1)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobOf(10))
	c.site.Configure(manifestOf(9, "/other/", "/batch/"))
	c.site.ForgetManifests()
	require.Eventually(t, func() bool {
		status, _, _ := c.call(c.nodes[0], http.MethodGet, "/other/", "")
		return status == http.StatusOK
	}, 3*time.Second, 20*time.Millisecond)
	c.configure(8)
	time.Sleep(300 * time.Millisecond)
	status, _, _ := c.call(c.nodes[0], http.MethodGet, "/quick/", "")
	require.Equal(t, http.StatusNotFound, status, "an older version never comes back")
}

// Guards the answers for readiness and for cancellation.
func TestCancelAndReady(t *testing.T) {
	c := newCell(t, 2)
	c.configure(1)
	c.submit(c.nodes[0], "/batch/0000000000000001", jobOf(60000))
	c.requireState(c.nodes[1], "/batch/0000000000000001", job.Running, 10*time.Second)
	answer, err := http.Get("http://" + c.nodes[0].settings.Ready.String() + platform.ReadyPath)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusOK, answer.StatusCode)
	status, _, _ := c.call(c.nodes[1], http.MethodDelete, "/batch/0000000000000001", "")
	require.Equal(t, http.StatusOK, status)
	c.requireState(c.nodes[0], "/batch/0000000000000001", job.Cancelled, time.Second)
	require.Eventually(t, func() bool {
		for _, run := range c.site.Runs() {
			if run.Ended.IsZero() {
				return false
			}
		}
		return true
	}, 5*time.Second, 20*time.Millisecond, "the runs of a cancelled job end")
	metrics, err := http.Get("http://" + net.JoinHostPort(c.nodes[0].settings.IP.String(), "9464") + "/metrics")
	require.NoError(t, err)
	content, err := io.ReadAll(metrics.Body)
	require.NoError(t, err)
	require.NoError(t, metrics.Body.Close())
	require.Contains(t, string(content), "yuccalanding_requests_total")
}

// Guards against events that the catalogue doesn't have and that are lost.
func TestEveryEventIsInTheCatalogue(t *testing.T) {
	known := map[string]bool{}
	for _, definition := range event.Catalogue() {
		known[definition.Name] = true
	}
	for _, name := range eventNames(t) {
		require.True(t, known[name], "event %q", name)
	}
}
