package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// maxExamples bounds the examples of faults in a report.
const maxExamples = 5

// Checks count the outcomes and the faults of all requests of a run, including
// those of the warm-up.
type Checks struct {
	Planned    int                  `json:"planned"`
	Sent       int                  `json:"sent"`
	Outcomes   []Count[Outcome]     `json:"outcomes"`
	Refusals   []Count[RefusalCode] `json:"refusals"`
	TaskStarts int                  `json:"task-starts"`
	// WorkersChecked is set if the workers' start records were read. Without them
	// Doubled, FalselyRefused, TaskStarts and OverCapacity are 0, and Wrong covers
	// only the bodies of answers.
	WorkersChecked bool `json:"workers-checked"`
	// Lost counts the requests that got no outcome, and durable ones that were
	// accepted and then refused for a reason other than a cancellation or a
	// deadline.
	Lost int `json:"lost"`
	// Doubled counts the requests with a task that ran twice at the same time, and
	// the non-idempotent requests with a task that started more than once.
	Doubled int `json:"doubled"`
	// Wrong counts the answers that are not the complete answer to their own
	// request, or whose tasks did not all start.
	Wrong int `json:"wrong"`
	// FalselyRefused counts the requests that were refused as not run although a
	// task had started.
	FalselyRefused int `json:"falsely-refused"`
	// OverCapacity counts the starts that a worker refused because it was full.
	OverCapacity int `json:"over-capacity-starts"`
	// UnexpectedFailures counts the requests that failed although their payload
	// does not make the task fail.
	UnexpectedFailures int      `json:"unexpected-failures"`
	Examples           []string `json:"examples,omitempty"`
}

// Count is the number of requests with one outcome or one refusal code.
type Count[T ~string] struct {
	Name  T   `json:"name"`
	Count int `json:"count"`
}

// RefusalCode is a workload.Code, such as "too-late".
type RefusalCode string

// Faults returns one line for each kind of fault of the run, and none for a
// correct run. OverCapacity and UnexpectedFailures are not included.
func (c *Checks) Faults() []string {
	var faults []string
	for _, fault := range []struct {
		count int
		what  string
	}{{c.Lost, "lost"}, {c.Doubled, "doubled"}, {c.Wrong, "wrong"}, {c.FalselyRefused, "refused as not run although started"}} {
		if fault.count > 0 {
			faults = append(faults, fmt.Sprintf("%d of %d requests were %s", fault.count, c.Sent, fault.what))
		}
	}
	return faults
}

// checkBody describes what is wrong with an answer, or returns an empty text. The
// body of a failed task may be an error text instead of a workervm.Echo.
func checkBody(r *requestRecord, answer *workload.Answer) string {
	if answer.Key != r.key {
		return fmt.Sprintf("the answer to %s has the key %s", r.key, answer.Key)
	}
	echoes, err := decodeEchoes(r, answer.Body)
	if err != nil {
		if answer.Failed {
			return ""
		}
		return fmt.Sprintf("the body of the answer to %s is not the echo of a stand-in worker: %.100q", r.key, answer.Body)
	}
	if len(echoes) != max(r.arrivals.GangSize, 1) {
		return fmt.Sprintf("the answer to %s has the results of %d tasks", r.key, len(echoes))
	}
	for i, echo := range echoes {
		if echo.ID.Key != r.key || echo.ID.Index != i || echo.PayloadDigest != r.digest {
			return fmt.Sprintf("the answer to %s has the result of task %d of %s with digest %s, expected task %d with digest %s",
				r.key, echo.ID.Index, echo.ID.Key, echo.PayloadDigest, i, r.digest)
		}
	}
	return ""
}

// decodeEchoes decodes the body of an answer: a list of echoes for a gang, one
// echo otherwise.
func decodeEchoes(r *requestRecord, body []byte) ([]workervm.Echo, error) {
	if r.arrivals.GangSize > 1 {
		var echoes []workervm.Echo
		err := json.Unmarshal(body, &echoes)
		return echoes, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var echo workervm.Echo
	err := decoder.Decode(&echo)
	return []workervm.Echo{echo}, err
}

// taskStart is one start of a task, with the name of the worker that ran it.
type taskStart struct {
	worker.StartRecord
	worker string
}

// startsByKey groups the workers' start records by request. Each list is sorted
// by the index of the task in its gang, then by time.
func startsByKey(workers []worker.State) map[workload.Key][]taskStart {
	byKey := map[workload.Key][]taskStart{}
	for i := range workers {
		for _, record := range workers[i].Started {
			byKey[record.ID.Key] = append(byKey[record.ID.Key], taskStart{record, workers[i].Worker.Name})
		}
	}
	for _, starts := range byKey {
		slices.SortFunc(starts, func(a, b taskStart) int {
			if a.ID.Index != b.ID.Index {
				return a.ID.Index - b.ID.Index
			}
			return int(a.StartedAtMS - b.StartedAtMS)
		})
	}
	return byKey
}

// checker is the state of one check call.
type checker struct {
	runStart time.Time
	checks   Checks
	outcomes map[Outcome]int
	refusals map[RefusalCode]int
	starts   map[workload.Key][]taskStart
}

// check counts the outcomes and compares them with the workers' start records.
// workers is nil if these were not read.
func check(runStart time.Time, records []*requestRecord, workers []worker.State) Checks {
	c := &checker{runStart: runStart, outcomes: map[Outcome]int{}, refusals: map[RefusalCode]int{}, starts: startsByKey(workers)}
	c.checks.Planned, c.checks.WorkersChecked = len(records), workers != nil
	for i := range workers {
		c.checks.TaskStarts += len(workers[i].Started)
		c.checks.OverCapacity += workers[i].OverCapacity
	}
	for _, r := range records {
		c.checkOutcome(r)
		if workers != nil && r.outcome != NotSent {
			c.checkStarts(r)
		}
	}
	c.checks.Outcomes, c.checks.Refusals = sortedCounts(c.outcomes), sortedCounts(c.refusals)
	return c.checks
}

// sortedCounts returns the counts in the order of their names.
func sortedCounts[T ~string](from map[T]int) []Count[T] {
	counted := []Count[T]{}
	for name, count := range from {
		counted = append(counted, Count[T]{name, count})
	}
	slices.SortFunc(counted, func(a, b Count[T]) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return counted
}

func (c *checker) addExample(format string, arguments ...any) {
	if len(c.checks.Examples) < maxExamples {
		c.checks.Examples = append(c.checks.Examples, fmt.Sprintf(format, arguments...))
	}
}

// checkOutcome counts the outcome of one request and the faults that are visible
// without the workers' start records.
func (c *checker) checkOutcome(r *requestRecord) {
	c.outcomes[r.outcome]++
	if r.outcome == NotSent {
		return
	}
	c.checks.Sent++
	if r.code != "" {
		c.refusals[RefusalCode(r.code)]++
	}
	switch {
	case r.outcome == Unanswered || r.outcome == "":
		c.checks.Lost++
		c.addExample("%s %s, sent at %.1f s, was not answered: %s", r.arrivals.Name, r.key, r.dueAt.Seconds(), r.message)
	case r.accepted && (r.outcome == NotRun || r.outcome == MayHaveRun) && r.code != workload.CodeTooLate:
		c.checks.Lost++
		c.addExample("%s %s, sent at %.3f s, was accepted as durable at %.3f s and lost at %.3f s: %s",
			r.arrivals.Name, r.key, r.dueAt.Seconds(), r.acceptedAt.Seconds(), r.doneAt.Seconds(), r.message)
	case (r.outcome == Answered || r.outcome == Failed) && r.message != "":
		c.checks.Wrong++
		c.addExample("%s", r.message)
	case r.outcome == Failed && !r.willFail:
		c.checks.UnexpectedFailures++
		c.addExample("%s %s failed on %s: %.200s", r.arrivals.Name, r.key, r.worker, r.body)
	}
}

// checkStarts compares the outcome of one request with the starts of its tasks.
func (c *checker) checkStarts(r *requestRecord) {
	starts := c.starts[r.key]
	if r.outcome == NotRun && len(starts) > 0 {
		c.checks.FalselyRefused++
		c.addExample("%s %s, sent at %.3f s, was refused at %.3f s (%s) and has %d starts, the first on %s",
			r.arrivals.Name, r.key, r.dueAt.Seconds(), r.doneAt.Seconds(), r.message, len(starts), c.describe(&starts[0]))
	}
	if r.outcome == Answered && !allStarted(starts, max(r.arrivals.GangSize, 1)) {
		c.checks.Wrong++
		c.addExample("%s %s was answered, but not all of its tasks started on a worker", r.arrivals.Name, r.key)
	}
	if problem := c.findDoubleStart(r, starts); problem != "" {
		c.checks.Doubled++
		c.addExample("%s %s, sent at %.3f s, %s (%s)", r.arrivals.Name, r.key, r.dueAt.Seconds(), problem, r.outcome)
	}
}

// describe formats a start with its times in seconds since the start of the run.
func (c *checker) describe(s *taskStart) string {
	ended := "running"
	if s.EndedAtMS != 0 {
		ended = fmt.Sprintf("%.3f s %s %s", time.UnixMilli(s.EndedAtMS).Sub(c.runStart).Seconds(), s.Outcome, s.Reason)
	}
	return fmt.Sprintf("%s (attempt %d, token %d, %.3f s to %s)", s.worker, s.ID.Attempt, s.Token,
		time.UnixMilli(s.StartedAtMS).Sub(c.runStart).Seconds(), strings.TrimSpace(ended))
}

// allStarted reports whether each of a request's tasks started at least once.
func allStarted(starts []taskStart, tasks int) bool {
	seen := map[int]bool{}
	for _, s := range starts {
		seen[s.ID.Index] = true
	}
	return len(seen) == tasks
}

// findDoubleStart describes the first two starts of one task that must not both
// have happened, or returns an empty text. It compares adjacent starts, because
// the starts of one task are in the order of time.
func (c *checker) findDoubleStart(r *requestRecord, starts []taskStart) string {
	for i := 1; i < len(starts); i++ {
		earlier, later := starts[i-1], starts[i]
		if earlier.ID.Index != later.ID.Index {
			continue
		}
		if r.arrivals.NonIdempotent {
			return fmt.Sprintf("is non-idempotent and started on %s and on %s", c.describe(&earlier), c.describe(&later))
		}
		if earlier.EndedAtMS == 0 || earlier.EndedAtMS > later.StartedAtMS {
			return fmt.Sprintf("ran on %s and on %s at once", c.describe(&earlier), c.describe(&later))
		}
	}
	return ""
}
