package shard

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

const (
	// adviceMemory is the factor by which each advice call reduces the weight of the
	// calls before it in the averages.
	adviceMemory = 0.95
	// nodesKnownAfter is the time after Load by which the leader has got heartbeats from
	// the nodes that make advice calls. Before it SetAdviceSlots counts too few of them.
	nodesKnownAfter = 3 * time.Second
)

// adviceKind distinguishes the advice calls that use different nodes, see MaxShortAdvice.
type adviceKind int

const (
	shortAdvice adviceKind = iota
	longAdvice
	adviceKinds
)

func adviceKindOf(expected time.Duration) adviceKind {
	if expected <= MaxShortAdvice {
		return shortAdvice
	}
	return longAdvice
}

// adviceBacklog is the advice that the waiting steps still need, with averages over the
// recent calls.
type adviceBacklog struct {
	// waiting is the expected time of the calls that are still needed, by kind and
	// priority.
	waiting [adviceKinds][priorityLevels]time.Duration
	rates   [adviceKinds]adviceRate
	// callTimes is the mean expected time of a call, by queue.
	callTimes map[string]time.Duration
}

// adviceRate holds the seconds that calls were expected to take, and those that they took.
// A call takes longer while it waits at the adviser for other calls of its node, also for
// those of other shards.
type adviceRate struct{ expected, taken float64 }

// recordCall updates the averages with a call that was answered.
func (b *adviceBacklog) recordCall(terms *job.Terms, expected, taken time.Duration) {
	rate := &b.rates[adviceKindOf(expected)]
	rate.expected = rate.expected*adviceMemory + expected.Seconds()
	rate.taken = rate.taken*adviceMemory + taken.Seconds()
	if b.callTimes == nil {
		b.callTimes = map[string]time.Duration{}
	}
	mean, known := b.callTimes[terms.Queue]
	if !known {
		mean = expected
	}
	b.callTimes[terms.Queue] = expected + time.Duration(adviceMemory*float64(mean-expected))
}

// meanCallTime returns the expected time of an advice call for a step of a queue.
func (s *Shard) meanCallTime(terms *job.Terms) time.Duration {
	if mean, known := s.waitingAdvice.callTimes[terms.Queue]; known {
		return mean
	}
	return adviceTimeFor(terms, min(len(s.sortedWorkers), maxWorkersPerCall))
}

// addStepAdvice adds the advice call that a waiting step still needs to the backlog.
func (s *Shard) addStepAdvice(st *step, tooLate bool) {
	terms := &st.occurrence.job.accepted.Terms
	asked := len(st.advice.askedWorkers) > 0
	switch {
	case !s.recovered && st.mayRunElsewhere(): // it may need no advice
	case tooLate && asked: // it waits for workers
	case !asked && !slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool { return s.worthAsking(w) && w.matches(st) }):
	case tooLate:
		// New jobs wait for it although they are placed before it. Otherwise it would not
		// start until no more jobs arrive.
		s.addAdvice(terms, 0)
	default:
		s.addAdvice(terms, priorityLevel(terms.Priority))
	}
}

// addAdvice adds an advice call for a step of a queue to the backlog.
func (s *Shard) addAdvice(terms *job.Terms, level int) {
	if terms.RequiresTicket {
		callTime := s.meanCallTime(terms)
		s.waitingAdvice.waiting[adviceKindOf(callTime)][level] += callTime
	}
}

// expectedAdviceWait returns how long the nodes need for the advice calls that waiting
// steps of this priority and the more urgent ones still need.
func (s *Shard) expectedAdviceWait(now time.Time, terms *job.Terms) time.Duration {
	if !terms.RequiresTicket || now.Sub(s.loadedAt) < nodesKnownAfter {
		return 0
	}
	callTime := s.meanCallTime(terms)
	kind := adviceKindOf(callTime)
	waiting := time.Duration(0)
	for _, ofLevel := range s.waitingAdvice.waiting[kind][:priorityLevel(terms.Priority)+1] {
		waiting += ofLevel
	}
	_, slots := s.adviceCalls(callTime)
	if rate := s.waitingAdvice.rates[kind]; rate.taken > rate.expected {
		waiting = time.Duration(float64(waiting) * rate.taken / rate.expected)
	}
	return waiting / time.Duration(slots)
}
