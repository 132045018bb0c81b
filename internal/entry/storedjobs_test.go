package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against a job that gets 200 although it isn't stored, and is gone after a restart of all
// processes: it is due at a time that has no RFC 3339 form (LOST).
func TestJobOfFarTimeOutlivesRestart(t *testing.T) {
	t.Parallel()
	c := newCell(t, 2)
	c.configure(1)
	const path = "/batch/00000000000000aa"
	for _, n := range c.nodes { // one of them forwards the submission
		c.submit(n, path, `{"spec":"50","steps":[{"count":1,"cpu":500,"mem-mb":10}],"repeat-count":1,"start-at-ms":253402318799000}`)
	}
	c.restartAll()
	for _, n := range c.nodes {
		c.requireState(n, path, job.Queued, 10*time.Second)
	}
	require.Empty(t, c.site.Runs())
}

// Guards against one job whose record is larger than the store takes, so that the batch with it, and
// all later ones, can't be stored.
func TestJobLargerThanARecordIsRefused(t *testing.T) {
	t.Parallel()
	c := newCell(t, 2)
	terms := job.Terms{Queue: "batch", MaxAttempts: 3, Stretch: 2, Target: 2 * time.Second}
	c.site.Configure(standin.Manifest(1, []manifest.Queue{{Host: "cell.example", PathPrefix: "/batch/", Service: "review", Terms: terms}}, bothServices, 256<<10))
	c.submit(c.nodes[0], "/batch/0000000000000001", jobWithTaskMS(10))
	body := func(affinity string) string {
		return fmt.Sprintf(`{"spec":"10","steps":[{"count":1,"cpu":500,"mem-mb":10,"affinity":"%s"}]}`, affinity)
	}
	for name, affinity := range map[string]string{
		"as large as a body may be":       strings.Repeat("a", 256<<10-len(body(""))),
		"larger than its body once known": strings.Repeat("\xff", 100<<10), // each invalid byte is replaced by three
	} {
		t.Run(name, func(t *testing.T) {
			for _, n := range c.nodes {
				status, answer, _ := c.call(n, http.MethodPost, "/batch/00000000000000aa", body(affinity))
				require.Equal(t, http.StatusTooManyRequests, status, answer)
			}
			c.submit(c.nodes[0], "/batch/0000000000000002", jobWithTaskMS(10))
		})
	}
	c.requireState(c.nodes[1], "/batch/0000000000000002", job.Completed, 10*time.Second)
}
