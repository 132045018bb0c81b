package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against a job that ends as failed because its worker was cut off twice right
// after the start of its task: the worker's entry expires, but the worker lives, and its
// lists show later that the runs lapsed.
func TestJobSurvivesCutOffWorkers(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{"standing task": standin.Standing, "finite task": "60000"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCellWithCores(t, 2, 1)
			c.configure(1)
			step := job.Step{Count: 1, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Minute, LongRunning: text == standin.Standing}
			const path = "/batch/0000000000000001"
			c.submit(c.nodes[0], path, standin.Submission(job.Spec{Text: text, Steps: []job.Step{step}}))
			const cuts = 2
			for i := range cuts {
				require.Eventually(t, func() bool { return len(c.site.Runs()) == i+1 }, 10*time.Second, 5*time.Millisecond, "run %d doesn't start", i+1)
				time.Sleep(60 * time.Millisecond)
				worker := c.worker("review", c.site.Runs()[i].Worker)
				worker.SetCutOff(true)
				time.AfterFunc(10*time.Second, func() { worker.SetCutOff(false) })
			}
			state := func() string {
				status, body, _ := c.call(c.nodes[0], http.MethodGet, path, "")
				require.Equal(t, http.StatusOK, status)
				return body
			}
			require.Eventually(t, func() bool {
				return len(c.site.Runs()) == cuts+1 || !strings.Contains(state(), string(job.Running))
			}, 10*time.Second, 20*time.Millisecond, "the task doesn't start again")
			time.Sleep(time.Second) // until the third run has survived its start
			require.Contains(t, state(), string(job.Running))
			require.Len(t, c.site.Runs(), cuts+1)
			for _, run := range c.site.Runs()[:cuts] {
				require.Equal(t, "lapsed", run.Result)
			}
			c.requireNoRepeatedRuns()
		})
	}
}
