package shard

import (
	"cmp"
	"slices"
	"time"
)

// A result is acknowledged to its worker after its effect is stored. A batch may leave out
// the job that has the effect, so the record of the worker names the handled results whose
// effect isn't stored. The next leader handles these, and no other ones, again.

// unstoredResult is a handled result whose effect isn't stored.
type unstoredResult struct {
	sequence int64
	// job has the effect. It is nil if a former leader handled the result.
	job *jobState
}

func (r unstoredResult) compare(sequence int64) int { return cmp.Compare(r.sequence, sequence) }

func (w *worker) addUnstoredResult(result unstoredResult) {
	i, _ := slices.BinarySearchFunc(w.unstoredResults, result.sequence, unstoredResult.compare)
	w.unstoredResults = slices.Insert(w.unstoredResults, i, result)
}

// removeLoadedResult removes a result that a former leader handled but didn't store. It
// reports whether there is one with this sequence number.
func (w *worker) removeLoadedResult(sequence int64) bool {
	i, found := slices.BinarySearchFunc(w.unstoredResults, sequence, unstoredResult.compare)
	if !found || w.unstoredResults[i].job != nil {
		return false
	}
	w.unstoredResults = slices.Delete(w.unstoredResults, i, i+1)
	return true
}

// removeUnlistedResults removes the results that a former leader didn't store and that the
// worker, which has reported all its results, doesn't have.
func (s *Shard) removeUnlistedResults(w *worker) {
	count := len(w.unstoredResults)
	w.unstoredResults = slices.DeleteFunc(w.unstoredResults, func(r unstoredResult) bool { return r.job == nil })
	if len(w.unstoredResults) < count {
		s.markWorkerDirty(w)
	}
}

// removeResultsInBatch removes the results whose effect the batch contains. It reports
// whether the batch left out the job of any other one.
func (w *worker) removeResultsInBatch() bool {
	w.unstoredResults = slices.DeleteFunc(w.unstoredResults, func(r unstoredResult) bool { return r.job != nil && !r.job.dirty })
	return slices.ContainsFunc(w.unstoredResults, func(r unstoredResult) bool { return r.job != nil })
}

// resultsStoredThrough returns the sequence number up to which no result is unstored.
func (w *worker) resultsStoredThrough() int64 {
	if len(w.unstoredResults) > 0 {
		return w.unstoredResults[0].sequence - 1
	}
	return w.handledResult
}

// unstoredDistances returns job.WorkerRecord.Unstored.
func (w *worker) unstoredDistances() []int64 {
	var distances []int64
	for _, r := range w.unstoredResults {
		distances = append(distances, w.handledResult-r.sequence)
	}
	return distances
}

// loadUnstoredResults loads job.WorkerRecord.Unstored.
func (w *worker) loadUnstoredResults(distances []int64) {
	for _, distance := range distances {
		w.addUnstoredResult(unstoredResult{sequence: w.handledResult - distance})
	}
	w.storedResult = w.resultsStoredThrough()
}

// handleResult handles a run result that a worker reported. Results that were handled
// before are skipped.
func (s *Shard) handleResult(now time.Time, w *worker, result RunResult) {
	if result.Sequence <= w.handledResult && !w.removeLoadedResult(result.Sequence) {
		return
	}
	w.handledResult = max(w.handledResult, result.Sequence)
	s.markWorkerDirty(w)
	s.applyResult(now, w, result)
	if key, err := parseTask(result.Task); err == nil {
		if j := s.jobs[key.jobID]; j != nil && j.dirty {
			w.addUnstoredResult(unstoredResult{result.Sequence, j})
		}
	}
}

// applyResult applies the effect of a result on its task and its job.
func (s *Shard) applyResult(now time.Time, w *worker, result RunResult) {
	r := s.findRun(w.ID, result.RunKey)
	var t *task
	if r != nil {
		t = r.task
		s.detachRun(r)
	} else if key, err := parseTask(result.Task); err == nil {
		t = s.restoreTask(now, key)
	}
	if t == nil {
		return
	}
	t.lastRunNumber = max(t.lastRunNumber, result.Run)
	j := t.step.occurrence.job
	duration := time.Duration(0)
	if r != nil {
		duration = now.Sub(r.orderedAt)
	}
	s.options.Log("run-ended", "task", result.Task, "run", result.Run, "worker", w.ID, "how", result.EndReason, "sequence", result.Sequence, "after", duration,
		"estimate", t.step.spec.Estimate, "unseen", min(w.replyInterval, duration), "worker-slow", w.isSlow)
	t.saveCheckpoint(result.Run, result.Checkpoint)
	if j.state.Ended() {
		return
	}
	s.markJobStarted(j)
	if result.EndReason == EndDone || result.EndReason == EndFailed {
		s.clearSuspicion(t)
	}
	switch result.EndReason {
	case EndDone:
		s.recordRunTime(now, r, duration)
		if r != nil && endUnknownToFormerLeaders(r) {
			t.step.endedHere = true
		}
		s.taskDone(now, t)
	case EndFailed:
		if r == nil || !r.provedWorker {
			s.recordFailure(now, w, j.id)
		}
		s.taskFailed(now, w, t, result.Run)
	case EndStopped, EndLeaseExpired, EndGangFailed, EndGangIncomplete:
		s.markJobDirty(j)
		s.requeue(now, t)
	default:
		s.options.Log("unknown-end", "task", result.Task, "how", result.EndReason)
		s.requeue(now, t)
	}
}

// endUnknownToFormerLeaders reports whether no former leader can know that a run ended as
// done. The end of one member of a gang stands for all of them, so the workers of all
// members must refuse former leaders.
func endUnknownToFormerLeaders(r *run) bool {
	if !r.worker.refusedFormerLeaders(r.worker.previousClock) {
		return false
	}
	if !r.task.step.spec.Gang {
		return true
	}
	for _, member := range r.task.step.tasks {
		if member == r.task {
			continue
		}
		i := slices.IndexFunc(member.runs, func(other *run) bool { return other.number == r.number })
		if i < 0 || !member.runs[i].worker.refusedFormerLeaders(member.runs[i].worker.clock) {
			return false
		}
	}
	return true
}

// refusedFormerLeaders reports whether no former leader can learn of the end of a run that
// the worker listed when its clock showed runningAt, its reading in the last report before
// the one that lists the end. A former leader's poll may have waited at the worker when
// this leader read it; its answer lists ends of the next pollWait.
func (w *worker) refusedFormerLeaders(runningAt time.Duration) bool {
	return !w.resultsIncomplete && runningAt-w.firstClock >= pollWait
}
