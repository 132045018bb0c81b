package soak_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/platform/standin"
)

const (
	powerLosses = 6
	powerOffFor = 1500 * time.Millisecond
	// powerLossConnections is how many connections a worker accepts, in proportion to the
	// losses of power: leaders may hold 6 each.
	powerLossConnections = 6 * powerLosses
)

// losePower kills a process without a trace at the workers: its connections stay open there.
func (r *run) losePower(p *process) {
	for _, proxy := range r.network.workers[p.number] {
		proxy.SetCut(true)
	}
	p.stop(syscall.SIGKILL)
}

// returnPower starts a process that has lost power.
func (r *run) returnPower(p *process) {
	for _, proxy := range r.network.workers[p.number] {
		proxy.SetCut(false)
	}
	p.start()
}

// Guards against accepted jobs that stay undone because workers still count the connections of
// VMs that led a shard and lost power, and reset new ones (LOST, UNASKED).
func TestJobsCompleteAfterLeadersLostPower(t *testing.T) {
	t.Parallel()
	r := newRun(t, buildEntry(t), 1, layout{nodes: nodes, workers: workersPerService})
	for _, worker := range r.workers {
		worker.SetConnectionLimit(powerLossConnections)
	}
	client := &http.Client{Timeout: 3 * time.Second}
	var paths []string
	submit := func() {
		path := fmt.Sprintf("/batch/%016x", len(paths))
		step := job.Step{Count: 48, Demand: job.Demand{MilliCPU: 500, MemoryMB: 10}, Estimate: 400 * time.Millisecond}
		body := standin.Submission(job.Spec{Text: "400", Steps: []job.Step{step}})
		require.Eventually(t, func() bool {
			status, _ := r.call(client, r.processes[len(paths)%nodes], http.MethodPost, path, body)
			return status == http.StatusOK
		}, 10*time.Second, 50*time.Millisecond, "the job is not accepted")
		paths = append(paths, path)
	}
	for range powerLosses {
		for range 3 {
			submit()
		}
		leader := r.processes[r.leader("review")]
		r.losePower(leader)
		time.Sleep(powerOffFor)
		r.returnPower(leader)
	}
	submit()
	deadline := time.Now().Add(20 * time.Second) // a lease, two changes of leader and the run times
	for _, path := range paths {
		require.Empty(t, r.awaitJob(client, path, &outcome{accepted: true}, deadline))
	}
	require.Empty(t, r.checkRuns())
}
