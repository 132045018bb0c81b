package processcell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Outcome is the outcome of one request as seen by the caller: an answer, a
// refusal or another error.
type Outcome struct {
	Request  workload.Request
	SentAt   time.Time
	Latency  time.Duration
	Answered bool
	// Failure describes an incorrect answer, or an error that is no refusal.
	Failure string
	Refusal *workload.Refusal
}

// Traffic sends requests at a fixed rate and records every outcome.
type Traffic struct {
	Client *caller.Client
	// Interval is the time between two requests.
	Interval time.Duration
	// RunTime is the run time of each task.
	RunTime time.Duration
	// Teams is the number of teams to which the requests belong in turn.
	Teams int

	mu       sync.Mutex
	outcomes []Outcome
}

// Run sends requests until ctx is done and returns when all have an outcome.
// Each request fails after the timeout.
func (t *Traffic) Run(ctx context.Context, timeout time.Duration) {
	var group sync.WaitGroup
	ticker := time.NewTicker(t.Interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
		}
		request := workload.Request{
			Key: workload.NewKey(), Team: fmt.Sprintf("team-%d", i%max(t.Teams, 1)), Kind: "balance-check", NonIdempotent: i%2 == 0,
			Resources: workload.Resources{MilliCPU: 500, MemoryMB: 256},
			Payload:   fmt.Appendf(nil, `{"run-ms":%d}`, t.RunTime.Milliseconds()),
		}
		group.Go(func() {
			requestContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
			defer cancel()
			t.submit(requestContext, request)
		})
	}
}

func (t *Traffic) submit(ctx context.Context, request workload.Request) {
	outcome := Outcome{Request: request, SentAt: time.Now()}
	answer, err := t.Client.Submit(ctx, request)
	outcome.Latency = time.Since(outcome.SentAt)
	var failure *caller.Error
	switch {
	case err == nil:
		outcome.Answered = true
		outcome.Failure = checkAnswer(&request, &answer)
	case errors.As(err, &failure):
		outcome.Refusal = &failure.Refusal
	default:
		outcome.Failure = err.Error()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, outcome)
}

// checkAnswer returns what is wrong with an answer, or an empty text.
func checkAnswer(request *workload.Request, answer *workload.Answer) string {
	var echo workervm.Echo
	if err := json.Unmarshal(answer.Body, &echo); err != nil {
		return fmt.Sprintf("the answer %q is not valid JSON: %v", answer.Body, err)
	}
	if echo.ID.Key != request.Key || echo.PayloadDigest != workervm.Digest(request.Payload) {
		return fmt.Sprintf("the answer belongs to another request or payload: its key is %s", echo.ID.Key)
	}
	return ""
}

// Outcomes returns the outcomes so far.
func (t *Traffic) Outcomes() []Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.outcomes)
}

// taskStart is one start of a task, and the name of the worker that ran it.
type taskStart struct {
	worker string
	record worker.StartRecord
}

// Violations checks the scheduler's guarantees against the outcomes that callers
// saw and the states of the workers. It returns one line for each violation.
func Violations(outcomes []Outcome, states []worker.State) []string {
	var violations []string
	report := func(format string, arguments ...any) {
		violations = append(violations, fmt.Sprintf(format, arguments...))
	}
	starts := map[workload.Key][]taskStart{}
	for _, state := range states {
		for _, record := range state.Started {
			starts[record.ID.Key] = append(starts[record.ID.Key], taskStart{state.Worker.Name, record})
		}
		checkWorker(&state, report)
	}
	for i := range outcomes {
		checkOutcome(&outcomes[i], starts[outcomes[i].Request.Key], report)
	}
	return violations
}

func checkWorker(state *worker.State, report func(string, ...any)) {
	if !state.MaxUsed.Fits(state.Worker.Capacity) || state.MaxRunning > state.Worker.Slots || state.OverCapacity > 0 {
		report("worker %s was given tasks above its capacity: at most %+v in %d tasks, %d starts refused", state.Worker.Name, state.MaxUsed, state.MaxRunning, state.OverCapacity)
	}
	if state.DoubleStarts > 0 {
		report("worker %s ran a task twice at the same time", state.Worker.Name)
	}
}

func checkOutcome(outcome *Outcome, starts []taskStart, report func(string, ...any)) {
	key := outcome.Request.Key
	if outcome.Failure != "" {
		report("%s: %s", key, outcome.Failure)
	}
	if outcome.Answered && !slices.ContainsFunc(starts, func(s taskStart) bool { return s.record.Outcome == placement.Completed }) {
		report("%s was answered, but no worker completed it", key)
	}
	if outcome.Request.NonIdempotent && len(starts) > 1 {
		report("%s is non-idempotent, but was started %d times: %+v", key, len(starts), starts)
	}
	if outcome.Refusal != nil && outcome.Refusal.Run == workload.NotRun && len(starts) > 0 {
		report("%s was refused as not-run (%s), but was started: %+v", key, outcome.Refusal.Message, starts)
	}
	for i := range starts {
		for _, other := range starts[i+1:] {
			if overlap(&starts[i].record, &other.record) {
				report("%s ran on %s and %s at the same time", key, starts[i].worker, other.worker)
			}
		}
	}
}

// overlap reports whether two starts of the same task overlap in time. Their
// times are comparable because all workers run on one machine. A task that has
// not ended counts as running until now.
func overlap(a, b *worker.StartRecord) bool {
	if a.ID.Index != b.ID.Index {
		return false
	}
	endOf := func(r *worker.StartRecord) int64 {
		if r.EndedAtMS == 0 {
			return time.Now().UnixMilli()
		}
		return r.EndedAtMS
	}
	return a.StartedAtMS < endOf(b) && b.StartedAtMS < endOf(a)
}

// Summary summarizes outcomes.
type Summary struct {
	// NotRun counts the refusals that guarantee that the request did not run,
	// MayHaveRun all other outcomes without an answer.
	Sent, Answered, NotRun, MayHaveRun int
	// P50, P99 and Max are latencies of answered requests.
	P50, P99, Max time.Duration
	// Examples are the messages of the first refusals.
	Examples []string
}

// maxExamples limits the examples in a summary.
const maxExamples = 5

// Summarize returns the counts and latencies of the outcomes.
func Summarize(outcomes []Outcome) Summary {
	summary := Summary{Sent: len(outcomes)}
	var latencies []time.Duration
	for i := range outcomes {
		outcome := &outcomes[i]
		switch {
		case outcome.Answered:
			summary.Answered++
			latencies = append(latencies, outcome.Latency)
		case outcome.Refusal != nil && outcome.Refusal.Run == workload.NotRun:
			summary.NotRun++
		default:
			summary.MayHaveRun++
		}
		if outcome.Refusal != nil && len(summary.Examples) < maxExamples {
			summary.Examples = append(summary.Examples, outcome.Refusal.Error())
		}
	}
	slices.Sort(latencies)
	if len(latencies) > 0 {
		summary.P50, summary.P99, summary.Max = latencies[len(latencies)/2], latencies[len(latencies)*99/100], latencies[len(latencies)-1]
	}
	return summary
}

// String returns the summary in one line.
func (s Summary) String() string {
	return fmt.Sprintf("%d sent, %d answered, %d not run, %d may have run; p50 %s, p99 %s, max %s; examples of refusals: %q",
		s.Sent, s.Answered, s.NotRun, s.MayHaveRun, s.P50.Round(time.Millisecond), s.P99.Round(time.Millisecond),
		s.Max.Round(time.Millisecond), s.Examples)
}
