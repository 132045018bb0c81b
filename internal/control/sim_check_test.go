package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	// leavingGrace is the time after which a leaving worker must get no start.
	leavingGrace = 3 * time.Second
	// livenessLimit is the time after the last fault within which all requests
	// have to end.
	livenessLimit = 100 * time.Second
)

// run is one execution of a task on a worker.
type run struct {
	id      placement.TaskID
	worker  string
	start   time.Duration
	end     time.Duration
	outcome placement.Outcome
}

type runKey struct {
	key   workload.Key
	index int
}

// checker checks what workers, log and callers observe, without access to the
// state of the nodes.
type checker struct {
	world      *world
	violations []string
	runs       map[workload.Key][]*run
	running    map[runKey]*run
	callers    map[workload.Key]*simCaller
	starts     []time.Duration
	// startsBy holds the start times on each worker.
	startsBy map[string][]time.Duration
	// plannedStopsOnly is set in runs whose only faults are planned stops.
	plannedStopsOnly bool
}

func newChecker(w *world) checker {
	return checker{
		world: w, runs: map[workload.Key][]*run{}, running: map[runKey]*run{}, callers: map[workload.Key]*simCaller{},
		startsBy: map[string][]time.Duration{},
	}
}

func (c *checker) fail(format string, arguments ...any) {
	message := fmt.Sprintf("%8.3fs ", c.world.now.Seconds()) + fmt.Sprintf(format, arguments...)
	c.violations = append(c.violations, message)
	c.world.trace("VIOLATION %s", message)
}

func (c *checker) submitted(caller *simCaller) { c.callers[caller.request.Key] = caller }

// behaviour returns how long a task runs and how it ends.
func (c *checker) behaviour(id placement.TaskID) (time.Duration, placement.Outcome) {
	caller := c.callers[id.Key]
	length := caller.request.RunTime()
	if caller.request.Mode == workload.ModeService {
		return time.Hour, placement.Completed
	}
	if c.world.chance(0.03) {
		return length / 2, placement.Failed
	}
	return length, placement.Completed
}

// started checks a start: a task runs on one worker at a time, a non-idempotent
// one starts at most once, the worker has capacity and is not leaving, and no
// refusal said "not-run".
func (c *checker) started(s *simWorker, t *simTask) {
	w := c.world
	key := runKey{t.id.Key, t.id.Index}
	t.run = &run{id: t.id, worker: s.spec.Name, start: w.now}
	w.trace("%s starts %v", s.spec.Name, t.id)
	if other := c.running[key]; other != nil {
		c.fail("two workers: %v runs on %s since %.3fs and starts on %s", key, other.worker, other.start.Seconds(), s.spec.Name)
	}
	caller := c.callers[t.id.Key]
	if caller.request.NonIdempotent && slices.ContainsFunc(c.runs[t.id.Key], func(r *run) bool { return r.id.Index == t.id.Index }) {
		c.fail("non-idempotent: %v starts again on %s", key, s.spec.Name)
	}
	if s.leaving && w.now > s.leavingSince+leavingGrace {
		c.fail("leaving: %v starts on %s, which is leaving since %.3fs", key, s.spec.Name, s.leavingSince.Seconds())
	}
	for _, refusal := range caller.notRun {
		if refusal.resubmittedAt == 0 {
			c.fail("not-run: %v starts on %s after the refusal %s at %.3fs (%s)", key, s.spec.Name, refusal.code, refusal.at.Seconds(), refusal.message)
		}
	}
	homeRange := tenure.Range{Region: caller.request.Region, Team: caller.request.Team}
	if ended := w.log.endPositions[t.id.Key]; ended > 0 && ended < w.log.homePositions[homeRange] {
		c.fail("durable: %v starts on %s; its end is record %d, before its home's record %d", key, s.spec.Name, ended, w.log.homePositions[homeRange])
	}
	if string(t.payload) != string(caller.request.Payload) {
		c.fail("payload: %v starts with %q", key, t.payload)
	}
	c.running[key] = t.run
	c.runs[t.id.Key] = append(c.runs[t.id.Key], t.run)
	c.starts = append(c.starts, w.now)
	c.startsBy[s.spec.Name] = append(c.startsBy[s.spec.Name], w.now)
	c.checkCapacity(s)
}

func (c *checker) checkCapacity(s *simWorker) {
	var used workload.Resources
	running, connections := 0, 0
	for _, t := range s.tasks {
		if t.running {
			used = used.Add(t.resources)
			running++
			connections += t.connections
		}
	}
	if !used.Fits(s.spec.Capacity) || running > s.spec.Slots || connections > s.spec.Connections {
		c.fail("capacity: %s has %+v in %d slots and %d connections", s.spec.Name, used, running, connections)
	}
}

func (c *checker) ended(t *simTask) {
	t.run.end, t.run.outcome = c.world.now, t.outcome
	c.world.trace("%v ends on %s: %s", t.id, t.run.worker, t.outcome)
	if key := (runKey{t.id.Key, t.id.Index}); c.running[key] == t.run {
		delete(c.running, key)
	}
}

// answered checks that the answer is complete and belongs to the caller.
func (c *checker) answered(caller *simCaller, answer *workload.Answer) {
	key := caller.request.Key
	if answer.Key != key || caller.answers > 1 {
		c.fail("answer: caller %s got answer %d for key %s", key, caller.answers, answer.Key)
	}
	if answer.Failed {
		return
	}
	want := make([]json.RawMessage, caller.request.Tasks())
	for i := range want {
		want[i] = fmt.Appendf(nil, `"result of %s %d for %s"`, key, i, caller.request.Payload)
	}
	expected, _ := json.Marshal(want)
	if len(want) == 1 {
		expected = want[0]
	}
	if string(answer.Body) != string(expected) {
		c.fail("answer: caller %s got %q", key, answer.Body)
	}
	completed := map[int]bool{}
	for _, r := range c.runs[key] {
		completed[r.id.Index] = completed[r.id.Index] || r.outcome == placement.Completed
	}
	if len(completed) != len(want) {
		c.fail("answer: caller %s has an answer of %d tasks, but %d ran", key, len(want), len(completed))
	}
}

func (c *checker) refusedNotRun(caller *simCaller, refusal *workload.Refusal) {
	if runs := c.runs[caller.request.Key]; len(runs) > 0 {
		c.fail("not-run: %s was refused with %s (%s) and ran on %s at %.3fs",
			caller.request.Key, refusal.Code, refusal.Message, runs[0].worker, runs[0].start.Seconds())
	}
	if caller.accepted && refusal.Code != workload.CodeCanceled {
		c.fail("not-run: %s was accepted and refused with %s", caller.request.Key, refusal.Code)
	}
}

func (c *checker) accepted(caller *simCaller) {
	if accepted, _ := c.world.log.jobState(caller.request.Key); !accepted {
		c.fail("durable: %s was accepted and is not in the log", caller.request.Key)
	}
}

func (c *checker) recorded(record *RecordRead) {
	if record.Ended == nil || record.Ended.Answer == nil || record.Ended.Answer.Failed {
		return
	}
	if !slices.ContainsFunc(c.runs[record.Ended.Key], func(r *run) bool { return r.outcome == placement.Completed }) {
		c.fail("durable: %s is recorded as completed and no run of it completed", record.Ended.Key)
	}
}

// drained checks that a planned stop left no open request.
func (c *checker) drained(n *simNode) {
	if len(n.connections) > 0 {
		c.fail("drain: %s is drained with %d open requests", n.name, len(n.connections))
	}
}

// checkOutcomes checks for requests without an outcome and for lost jobs, long
// after the last fault.
func (c *checker) checkOutcomes() {
	open := 0
	for _, caller := range c.world.callers {
		if !caller.done {
			if open++; open <= 3 {
				c.fail("liveness: %s (%s, gang %d, attempt %d, waits %t) has no outcome",
					caller.request.Key, caller.request.Mode, caller.request.GangSize, caller.request.Attempt, caller.waits)
			}
		}
		c.checkJob(caller)
		if c.plannedStopsOnly && caller.outcome == "refused outcome-unknown may-have-run" {
			c.fail("planned stop: %s was interrupted", caller.request.Key)
		}
	}
}

func (c *checker) checkJob(caller *simCaller) {
	accepted, ended := c.world.log.jobState(caller.request.Key)
	if !accepted || ended != nil || !caller.accepted {
		return
	}
	running := false
	for _, r := range c.runs[caller.request.Key] {
		running = running || r.end == 0
	}
	if !running {
		c.fail("durable: accepted %s %s has not ended and does not run", caller.request.Mode, caller.request.Key)
	}
}

// allDone reports whether every caller has its outcome and every accepted job
// has ended.
func (c *checker) allDone() bool {
	for _, caller := range c.world.callers {
		if !caller.done {
			return false
		}
		if caller.accepted && caller.request.Mode != workload.ModeService {
			if _, ended := c.world.log.jobState(caller.request.Key); ended == nil {
				return false
			}
		}
		if caller.accepted && caller.request.Mode == workload.ModeService && c.running[runKey{caller.request.Key, 0}] == nil {
			if _, ended := c.world.log.jobState(caller.request.Key); ended == nil {
				return false
			}
		}
	}
	return true
}
