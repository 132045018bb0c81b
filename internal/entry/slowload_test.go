package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against a shard that no node leads because each new leader is replaced while it
// still reads the shard's state over a slow link, and the next one reads it from the start.
func TestLargeStateIsLoadedOverASlowLink(t *testing.T) {
	const nodes, jobs, loadSeconds = 6, 100, 3
	c := newCell(t, 0)
	c.cores = 1
	for i := range nodes {
		c.start(i)
	}
	c.configure(1)
	text := strings.Repeat("0", 3900) + "60000"
	body := standin.Submission(job.Spec{Text: text, Steps: []job.Step{{Count: 1, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Minute}}})
	path := func(i int) string { return fmt.Sprintf("/batch/%016x", i) }
	for i := range jobs {
		c.submit(c.nodes[0], path(i), body)
	}
	former := c.leader("review")
	for _, n := range c.nodes {
		if n != former {
			n.storeProxy.link.bytesPerSecond.Store(int64(jobs*len(text)*4/3) / loadSeconds)
		}
	}
	former.cancel()
	<-former.ended
	claims := func() (count int) {
		for _, n := range c.nodes {
			count += strings.Count(n.logs.String(), "name=right-claimed node="+n.settings.Node+" service=review/0")
		}
		return count
	}
	other := c.otherThan(former)
	require.Eventually(t, func() bool {
		status, _, _ := c.call(other, http.MethodGet, path(0), "")
		return status == http.StatusOK
	}, 4*loadSeconds*time.Second, 50*time.Millisecond, "the state is loaded")
	require.LessOrEqual(t, claims(), 2, "the new leader isn't replaced while it loads")
}
