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

// Outcome is what a caller saw of one request.
type Outcome struct {
	Request  workload.Request
	SentAt   time.Time
	Took     time.Duration
	Answered bool
	// Fault says what is wrong with the answer itself.
	Fault   string
	Refusal *workload.Refusal
}

// Traffic sends requests at a fixed rate and remembers every outcome.
type Traffic struct {
	Client *caller.Client
	// Every is the time between two requests.
	Every time.Duration
	// RunTime is how long each task runs.
	RunTime time.Duration
	Teams   int

	mu       sync.Mutex
	outcomes []Outcome
}

// Run sends requests until ctx ends and returns once all have their outcome.
// Each request waits for its outcome for at most the patience.
func (t *Traffic) Run(ctx context.Context, patience time.Duration) {
	var group sync.WaitGroup
	ticker := time.NewTicker(t.Every)
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
			patient, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
			defer cancel()
			t.submit(patient, request)
		})
	}
}

func (t *Traffic) submit(ctx context.Context, request workload.Request) {
	outcome := Outcome{Request: request, SentAt: time.Now()}
	answer, err := t.Client.Submit(ctx, request)
	outcome.Took = time.Since(outcome.SentAt)
	var failure *caller.Error
	switch {
	case err == nil:
		outcome.Answered = true
		outcome.Fault = checkAnswer(&request, &answer)
	case errors.As(err, &failure):
		outcome.Refusal = &failure.Refusal
	default:
		outcome.Fault = err.Error()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, outcome)
}

func checkAnswer(request *workload.Request, answer *workload.Answer) string {
	var echo workervm.Echo
	if err := json.Unmarshal(answer.Body, &echo); err != nil {
		return fmt.Sprintf("the answer %q is not whole: %v", answer.Body, err)
	}
	if echo.ID.Key != request.Key || echo.PayloadDigest != workervm.Digest(request.Payload) {
		return fmt.Sprintf("the answer is that of %s", echo.ID.Key)
	}
	return ""
}

// Outcomes returns the outcomes so far.
func (t *Traffic) Outcomes() []Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.outcomes)
}

// start is one start of a task on a worker.
type start struct {
	worker string
	record worker.StartRecord
}

// Violations compares what callers and workers saw with what must always hold.
func Violations(outcomes []Outcome, states []worker.State) []string {
	var violations []string
	report := func(format string, arguments ...any) {
		violations = append(violations, fmt.Sprintf(format, arguments...))
	}
	starts := map[workload.Key][]start{}
	for _, state := range states {
		for _, record := range state.Started {
			starts[record.ID.Key] = append(starts[record.ID.Key], start{state.Worker.Name, record})
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
		report("worker %s was given more than it holds: %+v, %d tasks, %d refused", state.Worker.Name, state.MaxUsed, state.MaxRunning, state.OverCapacity)
	}
	if state.DoubleStarts > 0 {
		report("worker %s started a task twice", state.Worker.Name)
	}
}

func checkOutcome(outcome *Outcome, starts []start, report func(string, ...any)) {
	key := outcome.Request.Key
	if outcome.Fault != "" {
		report("%s: %s", key, outcome.Fault)
	}
	if outcome.Answered && !slices.ContainsFunc(starts, func(s start) bool { return s.record.Outcome == placement.Completed }) {
		report("%s was answered and no worker completed it", key)
	}
	if outcome.Request.NonIdempotent && len(starts) > 1 {
		report("%s is non-idempotent and was started %d times: %+v", key, len(starts), starts)
	}
	if outcome.Refusal != nil && outcome.Refusal.Run == workload.NotRun && len(starts) > 0 {
		report("%s was refused as not-run (%s) and was started: %+v", key, outcome.Refusal.Message, starts)
	}
	for i := range starts {
		for _, other := range starts[i+1:] {
			if overlap(&starts[i].record, &other.record) {
				report("%s ran on %s and %s at the same time", key, starts[i].worker, other.worker)
			}
		}
	}
}

// overlap compares the times of two workers, which share one machine's clock.
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

// Summary counts outcomes.
type Summary struct {
	Sent, Answered, NotRun, MayHaveRun int
	// P50, P99 and Longest are times from sending to the answer.
	P50, P99, Longest time.Duration
	// Examples are a few refusals.
	Examples []string
}

// maxExamples bounds the refusals that a summary names.
const maxExamples = 5

// Summarize counts outcomes.
func Summarize(outcomes []Outcome) Summary {
	summary := Summary{Sent: len(outcomes)}
	var took []time.Duration
	for i := range outcomes {
		outcome := &outcomes[i]
		switch {
		case outcome.Answered:
			summary.Answered++
			took = append(took, outcome.Took)
		case outcome.Refusal != nil && outcome.Refusal.Run == workload.NotRun:
			summary.NotRun++
		default:
			summary.MayHaveRun++
		}
		if outcome.Refusal != nil && len(summary.Examples) < maxExamples {
			summary.Examples = append(summary.Examples, outcome.Refusal.Error())
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		summary.P50, summary.P99, summary.Longest = took[len(took)/2], took[len(took)*99/100], took[len(took)-1]
	}
	return summary
}

// String returns the summary in one line.
func (s Summary) String() string {
	return fmt.Sprintf("%d sent, %d answered, %d not run, %d may have run; p50 %s, p99 %s, longest %s; %q",
		s.Sent, s.Answered, s.NotRun, s.MayHaveRun, s.P50.Round(time.Millisecond), s.P99.Round(time.Millisecond),
		s.Longest.Round(time.Millisecond), s.Examples)
}
