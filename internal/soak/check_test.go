package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// check compares the responses to callers with the runs that the workers recorded, and the
// standing tasks with the rule for them after the faults. It reports all violations of a run
// at once.
func (r *run) check(faults impairment) {
	client := &http.Client{Timeout: 3 * time.Second}
	violations, accepted := r.checkJobs(client)
	time.Sleep(time.Until(runDueBy(faults.from, []impairment{faults})))
	violations = append(violations, r.checkStanding(faults)...)
	violations = append(violations, r.checkRuns()...)
	violations = append(violations, r.checkCancelling(client)...)
	r.t.Logf("%d jobs, %d accepted, %d runs", len(r.jobs), accepted, len(r.site.Runs()))
	require.Empty(r.t, violations, strings.Join(violations, "\n"))
	require.Greater(r.t, accepted, minAccepted)
}

// checkJobs waits until the accepted jobs have completed, and the tasks of standing ones
// run. It returns the violations and the number of accepted jobs.
func (r *run) checkJobs(client *http.Client) (violations []string, accepted int) {
	deadline := time.Now().Add(recoveryTimeout)
	for path, result := range r.jobs {
		if len(result.gone) > 0 {
			violations = append(violations, path+" was accepted, but answered with 410")
		}
		if result.cancelled {
			if violation := r.awaitCancelled(client, path, deadline); violation != "" {
				violations = append(violations, violation)
			}
		}
		if !result.accepted {
			continue
		}
		accepted++
		if violation := r.awaitJob(client, path, result, deadline); violation != "" {
			violations = append(violations, violation)
		}
	}
	return violations, accepted
}

// checkStanding returns the violations of the rule for standing tasks.
func (r *run) checkStanding(faults impairment) []string {
	standing := map[string]bool{}
	for path, result := range r.jobs {
		if result.standing > 0 && result.accepted {
			standing[path[len(path)-16:]] = true
		}
	}
	runs := slices.DeleteFunc(r.site.Runs(), func(run standin.Run) bool { return !standing[run.Task[:16]] })
	return missingRuns(runs, []impairment{faults}, time.Now())
}

func (r *run) awaitJob(client *http.Client, path string, result *outcome, deadline time.Time) (violation string) {
	for {
		status, body := r.call(client, r.present(), http.MethodGet, path, "")
		result.noteState(body)
		switch {
		case status == http.StatusGone:
			return path + " was accepted, but is lost"
		case strings.Contains(body, string(job.Failed)):
			return path + " is shown as failed, but no run has ended so"
		case strings.Contains(body, string(job.Cancelled)):
			return path + " is shown as cancelled, but nobody has cancelled it"
		case strings.Contains(body, string(job.Completed)), result.standing > 0 && r.running(path) == result.standing:
			return ""
		case time.Now().After(deadline):
			return fmt.Sprintf("%s did not complete in time: %d %s, %d of its runs go on", path, status, body, r.running(path))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitCancelled waits until a job whose cancellation was answered with 200 is shown as cancelled
// and none of its runs goes on.
func (r *run) awaitCancelled(client *http.Client, path string, deadline time.Time) (violation string) {
	for {
		status, body := r.call(client, r.present(), http.MethodGet, path, "")
		if strings.Contains(body, string(job.Cancelled)) && r.running(path) == 0 {
			return ""
		}
		if time.Now().After(deadline) {
			return fmt.Sprintf("%s was cancelled, but is shown as %d %s, and %d of its runs go on", path, status, body, r.running(path))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// repeatedRuns returns the violations of the rule that a task runs once: no two runs at the
// same time, and none after an end as done that was acknowledged, then or later, or more than
// a second after a caller was told that the job had completed. An end whose worker's lease
// lapsed before the acknowledgement doesn't count. The times of completion are by job.
func repeatedRuns(runs []standin.Run, completedAt map[string]time.Time) (violations []string) {
	byTask := map[string][]standin.Run{}
	for _, run := range runs {
		if at, completed := completedAt[run.Task[:16]]; completed && run.StartedAt.After(at.Add(time.Second)) {
			violations = append(violations, fmt.Sprintf("%s run %d started %s after its job was shown as completed", run.Task, run.Number, run.StartedAt.Sub(at)))
		}
		for _, other := range byTask[run.Task] {
			pair := fmt.Sprintf("run %d on %s, run %d on %s", other.Number, other.Worker, run.Number, run.Worker)
			if run.StartedAt.Before(other.EndedAt) && other.StartedAt.Before(run.EndedAt) {
				violations = append(violations, run.Task+" ran twice at the same time: "+pair)
			}
			if other.Result == "done" && !other.AcknowledgedAt.IsZero() {
				violations = append(violations, run.Task+" started again after an acknowledged end: "+pair)
			}
		}
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	return violations
}

// checkRuns returns the violations that the runs show.
func (r *run) checkRuns() []string {
	runs := r.site.Runs()
	startedJobs := map[string]bool{}
	for i := range runs {
		if runs[i].EndedAt.IsZero() {
			runs[i].EndedAt = time.Now()
		}
		startedJobs[runs[i].Task[:16]] = true // a task's name starts with the 16 characters of its job's id
	}
	completedAt := map[string]time.Time{}
	for path, result := range r.jobs {
		if !result.completedAt.IsZero() {
			completedAt[path[len(path)-16:]] = result.completedAt
		}
	}
	violations := repeatedRuns(runs, completedAt)
	for path, result := range r.jobs {
		if !result.accepted && result.unknown == 0 && startedJobs[path[len(path)-16:]] {
			violations = append(violations, fmt.Sprintf("%s ran, but was refused %d times", path, result.refused))
		}
	}
	return violations
}

// checkCancelling cancels the standing jobs. It returns a violation for each that isn't
// cancelled, or of which a run goes on.
func (r *run) checkCancelling(client *http.Client) (violations []string) {
	for path, result := range r.jobs {
		if result.standing == 0 || !result.accepted {
			continue
		}
		status := 0
		for try := 0; try < callerTries && status != http.StatusOK; try++ {
			status, _ = r.call(client, r.processes[try%len(r.processes)], http.MethodDelete, path, "")
		}
		for began := time.Now(); r.running(path) > 0 && time.Since(began) < cancelTimeout; {
			time.Sleep(20 * time.Millisecond)
		}
		if runs := r.running(path); status != http.StatusOK || runs > 0 {
			violations = append(violations, fmt.Sprintf("%s was cancelled: status %d, %d of its runs go on", path, status, runs))
		}
	}
	return violations
}

// Guards against a check that misses a repeated run, or takes one for a violation that the
// users' rule allows.
func TestRepeatedRuns(t *testing.T) {
	t.Parallel()
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	first := standin.Run{Task: "0000000000000001.0.0.0", Number: 1, Worker: "i-1", StartedAt: at(1), EndedAt: at(5), Result: "done"}
	second := standin.Run{Task: first.Task, Number: 2, Worker: "i-2", StartedAt: at(6), EndedAt: at(9), Result: "done"}
	for name, c := range map[string]struct {
		change      func(first, second *standin.Run)
		completedAt int // when the job was shown as completed; 0 if it wasn't
		violated    bool
	}{
		"the first end was not acknowledged within the lease":  {func(*standin.Run, *standin.Run) {}, 0, false},
		"the first end was acknowledged before":                {func(first, _ *standin.Run) { first.AcknowledgedAt = at(5) }, 0, true},
		"the first end was acknowledged later":                 {func(first, _ *standin.Run) { first.AcknowledgedAt = at(8) }, 0, true},
		"the first run had lapsed":                             {func(first, _ *standin.Run) { first.Result, first.AcknowledgedAt = "lapsed", at(8) }, 0, false},
		"at the same time":                                     {func(_, second *standin.Run) { second.StartedAt = at(4) }, 0, true},
		"the second run ended first":                           {func(_, second *standin.Run) { second.StartedAt, second.EndedAt = at(2), at(3) }, 0, true},
		"another task":                                         {func(_, second *standin.Run) { second.Task, second.StartedAt = "0000000000000001.0.0.1", at(4) }, 0, false},
		"within a second after the job was shown as completed": {func(*standin.Run, *standin.Run) {}, 5, false},
		"later than a second after that":                       {func(*standin.Run, *standin.Run) {}, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			earlier, later := first, second
			c.change(&earlier, &later)
			completedAt := map[string]time.Time{}
			if c.completedAt > 0 {
				completedAt[first.Task[:16]] = at(c.completedAt)
			}
			require.Equal(t, c.violated, len(repeatedRuns([]standin.Run{earlier, later}, completedAt)) > 0)
		})
	}
}
