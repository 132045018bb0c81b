package entry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against a long-running task that waits after its worker and its leader were lost, and
// no line or metric that says why (issue 47).
func TestLogAndMetricsSayWhyLongRunningTaskWaits(t *testing.T) {
	t.Parallel()
	c := newCellWithCores(t, 2, 1)
	c.configure(1)
	step := job.Step{Count: 1, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Minute, LongRunning: true}
	c.submit(c.nodes[0], "/batch/0000000000000001", standin.Submission(job.Spec{Text: standin.Standing, Steps: []job.Step{step}}))
	require.Eventually(t, func() bool { return len(c.site.Runs()) == 1 }, 10*time.Second, 5*time.Millisecond, "the task doesn't start")
	former := c.leader("review")
	next := c.otherThan(former)
	time.Sleep(2 * time.Second) // until the store has answered the other node's polls for long enough
	require.Contains(t, metricsOf(t, former), `yuccalanding_long_running_waiting{service="review/0"} 0`)
	c.worker("review", c.site.Runs()[0].Worker).SetCutOff(true)
	c.isolate(former)
	require.Eventually(t, func() bool {
		return strings.Contains(metricsOf(t, next), `yuccalanding_long_running_waiting{service="review/0"} 1`)
	}, 10*time.Second, 20*time.Millisecond, "the next leader doesn't count the task")
	require.Eventually(t, func() bool { return len(c.site.Runs()) == 2 }, 20*time.Second, 5*time.Millisecond, "the task doesn't start again")
	logs := next.logs.String()
	require.Regexp(t, `name=rights-read node=\S+ rights=\d+ end=\d+ after=`, logs)
	require.Regexp(t, `name=right-claimed .* former-boot=[1-9]\d* .* former-limits-leases=true predecessors=[1-9]`, logs)
	require.Regexp(t, `name=former-silent .* former-epoch=[1-9]\d* cause=`, logs)
	require.Regexp(t, `name=unsettled .* unread=1 .* worker=i-review-\d lease-left=`, logs)
	require.Regexp(t, `name=long-running-waiting .* task=0000000000000001\.0\.0\.0 for=.* waiting=1 .* cause=former-holder-unsettled`, logs)
}
