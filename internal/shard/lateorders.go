package shard

import (
	"slices"
	"time"
)

// A start order without an answer may be carried out later. While its worker lives that is
// harmless: it knows the run, or a later one, or the lease is over. A new incarnation knows none
// of this, so the order is stopped there, which makes the worker reject it.

// maxOrderDelay is how long a start order without an answer is remembered.
const maxOrderDelay = 30 * time.Second

// unansweredStart is a start order without an answer.
type unansweredStart struct {
	key    RunKey
	sentAt time.Time // when the answer was given up
	// stopping means that the worker has restarted since, and stopSentAt when the stop
	// was last sent.
	stopping   bool
	stopSentAt time.Time
}

// recordUnansweredStart records that a start order got no answer from the worker.
func (s *Shard) recordUnansweredStart(now time.Time, worker string, key RunKey) {
	w := s.workers[worker]
	if w == nil {
		return
	}
	w.unansweredStarts = slices.DeleteFunc(w.unansweredStarts, func(u unansweredStart) bool {
		return u.key == key || now.Sub(u.sentAt) > maxOrderDelay
	})
	w.unansweredStarts = append(w.unansweredStarts, unansweredStart{key: key, sentAt: now})
}

// stopUnansweredStarts marks the unanswered orders of the worker's former incarnation to be
// stopped, but for those that the new one has carried out.
func (w *worker) stopUnansweredStarts(now time.Time, report Report) {
	w.unansweredStarts = slices.DeleteFunc(w.unansweredStarts, func(u unansweredStart) bool {
		return now.Sub(u.sentAt) > maxOrderDelay || report.lists(u.key)
	})
	for i := range w.unansweredStarts {
		w.unansweredStarts[i].stopping, w.unansweredStarts[i].stopSentAt = true, time.Time{}
	}
}

// stopLateStarts sends the stops that are due for orders of a former incarnation. Runs that are
// still known are stopped, or kept, as reports and answers show.
func (s *Shard) stopLateStarts(now time.Time, w *worker) {
	for i := range w.unansweredStarts {
		u := &w.unansweredStarts[i]
		if !u.stopping || now.Sub(u.stopSentAt) <= stopRetryDelay || !s.authority || s.findRun(w.ID, u.key) != nil {
			continue
		}
		u.stopSentAt = now
		s.commands.Stops = append(s.commands.Stops, Stop{RunKey: u.key, Target: w.target()})
	}
}

// recordStoppedStart records that the worker rejects an unanswered order until it restarts again.
func (s *Shard) recordStoppedStart(worker string, key RunKey) {
	w := s.workers[worker]
	if w == nil {
		return
	}
	for i := range w.unansweredStarts {
		if w.unansweredStarts[i].key == key {
			w.unansweredStarts[i].stopping = false
		}
	}
}
