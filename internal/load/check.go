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

// maxExamples bounds the examples of each fault in a report.
const maxExamples = 5

// Checks count the outcomes of all requests of a run, the warm-up included.
type Checks struct {
	Planned    int                  `json:"planned"`
	Sent       int                  `json:"sent"`
	Outcomes   []Count[Outcome]     `json:"outcomes"`
	Refusals   []Count[RefusalCode] `json:"refusals"`
	TaskStarts int                  `json:"task-starts"`
	// WorkersChecked is set if the workers' own records were read. Without
	// them Doubled, FalselyRefused and part of Wrong stay 0.
	WorkersChecked bool `json:"workers-checked"`
	// Lost requests got no outcome, or were accepted as durable and refused
	// later without a cancellation or a deadline.
	Lost int `json:"lost"`
	// Doubled requests had one task in two places at once, or were
	// non-idempotent and started more than once.
	Doubled int `json:"doubled"`
	// Wrong answers aren't the whole answer to their own request.
	Wrong int `json:"wrong"`
	// FalselyRefused requests were refused as not run and had started.
	FalselyRefused int `json:"falsely-refused"`
	// OverCapacity counts starts that a worker refused because it was full.
	OverCapacity int `json:"over-capacity-starts"`
	// UnexpectedFailures are failed tasks whose program ends without an error.
	UnexpectedFailures int      `json:"unexpected-failures"`
	Examples           []string `json:"examples,omitempty"`
}

// Count is a number of requests with one property.
type Count[T ~string] struct {
	Name  T   `json:"name"`
	Count int `json:"count"`
}

// RefusalCode is the code of a refusal.
type RefusalCode string

// Faults returns one line for each kind of fault that the run had.
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

// checkBody returns what is wrong with the body of an answer. A failed task
// may report an error text in place of the worker's echo.
func checkBody(r *requestRecord, answer *workload.Answer) string {
	if answer.Key != r.key {
		return fmt.Sprintf("the answer to %s has the key %s", r.key, answer.Key)
	}
	echoes, err := decodeEchoes(r, answer.Body)
	if err != nil {
		if answer.Failed {
			return ""
		}
		return fmt.Sprintf("the answer to %s is no echo: %.100q", r.key, answer.Body)
	}
	if len(echoes) != max(r.arrivals.GangSize, 1) {
		return fmt.Sprintf("the answer to %s has %d parts", r.key, len(echoes))
	}
	for i, echo := range echoes {
		if echo.ID.Key != r.key || echo.ID.Index != i || echo.PayloadDigest != r.digest {
			return fmt.Sprintf("the answer to %s holds part %d of %s with digest %s, expected part %d with digest %s",
				r.key, echo.ID.Index, echo.ID.Key, echo.PayloadDigest, i, r.digest)
		}
	}
	return ""
}

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

// taskStart is one taskStart of a task, with the worker that ran it.
type taskStart struct {
	worker.StartRecord
	worker string
}

// startsByKey sorts the workers' records by request. Each list is in the order
// of the gang's tasks and of time.
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

// checker lives for one check.
type checker struct {
	runStart time.Time
	checks   Checks
	outcomes map[Outcome]int
	refusals map[RefusalCode]int
	starts   map[workload.Key][]taskStart
}

// check counts the outcomes and compares them with what the workers saw.
// workers is nil if it is not known.
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

// describe names a start with its times since the start of the run.
func (c *checker) describe(s *taskStart) string {
	ended := "running"
	if s.EndedAtMS != 0 {
		ended = fmt.Sprintf("%.3f s %s %s", time.UnixMilli(s.EndedAtMS).Sub(c.runStart).Seconds(), s.Outcome, s.Reason)
	}
	return fmt.Sprintf("%s (attempt %d, token %d, %.3f s to %s)", s.worker, s.ID.Attempt, s.Token,
		time.UnixMilli(s.StartedAtMS).Sub(c.runStart).Seconds(), strings.TrimSpace(ended))
}

func allStarted(starts []taskStart, tasks int) bool {
	seen := map[int]bool{}
	for _, s := range starts {
		seen[s.ID.Index] = true
	}
	return len(seen) == tasks
}

// findDoubleStart compares neighbours, since starts of one task are in order of time.
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
