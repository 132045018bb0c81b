package shard

import (
	"maps"
	"slices"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Record is a key and its encoded value in the shard's topic. A record without a
// value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Key prefixes of acceptance, progress and worker records.
const (
	acceptedPrefix = "j"
	progressPrefix = "p"
	workerPrefix   = "w"
)

// formerLeadersKey is the key of the job.FormerLeadersRecord.
const formerLeadersKey = "f"

// ActivityKey is the key of the record that a leader without changes stores to show that
// it works. Load ignores it.
const ActivityKey = "a"

func workerKey(id string) string { return workerPrefix + id }

// IsWorkerKey reports whether a key is that of a worker's record.
func IsWorkerKey(key string) bool { return strings.HasPrefix(key, workerPrefix) }

// RecordGroup returns the group of a key within which deletions must keep their order:
// the records of one job, or the record of one worker.
func RecordGroup(key string) string {
	if id, isWorker := strings.CutPrefix(key, workerPrefix); isWorker {
		return workerKey(id)
	}
	return key[min(1, len(key)):]
}

// defaultMaxBatchBytes is well below the store's limit of 2 MB a call.
const defaultMaxBatchBytes = 1 << 20

func (s *Shard) markJobDirty(j *jobState) {
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

func (s *Shard) markWorkerDirty(w *worker) {
	if !w.dirty {
		w.dirty = true
		s.dirtyWorkers = append(s.dirtyWorkers, w)
	}
}

// TakeBatch returns the records to append next. It returns none if nothing changed
// or the last batch isn't stored yet. The batch must be appended as a whole, and
// retried until it is stored or this process no longer leads the shard.
func (s *Shard) TakeBatch(now time.Time) []Record {
	if s.batchInFlight {
		return nil
	}
	var batch []Record
	size := 0
	add := func(key string, encoded []byte) {
		batch = append(batch, Record{key, encoded})
		size += len(key) + len(encoded)
	}
	// Deletions come first: a worker that is listed again has a new record below.
	for _, key := range s.deletedKeys {
		batch = append(batch, Record{Key: key})
	}
	s.deletedKeys = nil
	s.deletedWorkers, s.inFlightDeletedWorkers = 0, s.deletedWorkers
	if s.formerLeadersUnrecorded {
		if record, encoded := s.encode(formerLeadersKey, job.FormerLeadersRecord{OverBefore: s.options.Epoch}); encoded {
			s.formerLeadersUnrecorded = false
			add(formerLeadersKey, record)
		}
	}
	remaining := s.dirtyJobs[:0]
	for _, j := range s.dirtyJobs {
		if size > s.maxBatchBytes {
			remaining = append(remaining, j)
			continue
		}
		var progress []byte
		if j.state != job.Queued || j.storesProgress {
			var encoded bool
			if progress, encoded = s.encodeProgress(now, j); !encoded {
				remaining = append(remaining, j) // its callers go on waiting
				continue
			}
		}
		j.dirty = false
		if j.unwrittenAcceptance != nil {
			add(acceptedPrefix+j.id, j.unwrittenAcceptance)
			j.unwrittenAcceptance = nil
		}
		if progress != nil {
			add(progressPrefix+j.id, progress)
		}
		j.inFlightState = j.state
		s.inFlightJobs = append(s.inFlightJobs, j)
	}
	s.dirtyJobs = remaining
	s.moveTrialsInBatch()
	remainingWorkers := s.dirtyWorkers[:0]
	for _, w := range s.dirtyWorkers {
		w.dirty = w.removeResultsInBatch()
		if w.dirty {
			remainingWorkers = append(remainingWorkers, w)
		}
		recordedBy := w.recordedBy
		if !w.recordTaken {
			recordedBy = s.options.Epoch
		}
		record, encoded := s.encode(workerKey(w.ID), job.WorkerRecord{
			Incarnation: w.observedIncarnation, HandledResult: w.handledResult, Suspended: w.suspended, Unstored: w.unstoredDistances(), Address: w.Address,
			RecordedBy: recordedBy,
		})
		if !encoded {
			if !w.dirty {
				w.dirty = true
				remainingWorkers = append(remainingWorkers, w)
			}
			continue
		}
		w.recordTaken, w.recordedBy = true, recordedBy
		w.inFlightResult, w.inFlightSuspended = w.resultsStoredThrough(), w.suspended
		w.suspensionTaken = w.suspensionTaken || w.suspended
		add(workerKey(w.ID), record)
		s.inFlightWorkers = append(s.inFlightWorkers, w)
	}
	s.dirtyWorkers = remainingWorkers
	s.batchInFlight = len(batch) > 0 || len(s.inFlightJobs) > 0
	if s.batchInFlight && len(batch) == 0 {
		s.BatchStored(now)
	}
	return batch
}

// encode encodes the value of a record. What the record says doesn't count as stored if that fails.
func (s *Shard) encode(key string, value any) (record []byte, encoded bool) {
	record, err := job.Encode(value)
	if err != nil {
		s.options.Log("record-not-encoded", "key", key, "cause", err)
	}
	return record, err == nil
}

// encodeProgress encodes the progress record of a job. If it is larger than the store takes, it is
// stored without checkpoints: after a change of leader, tasks without a run start anew.
func (s *Shard) encodeProgress(now time.Time, j *jobState) (record []byte, encoded bool) {
	key, progress := progressPrefix+j.id, s.progressOf(now, j)
	record, encoded = s.encode(key, progress)
	if len(record) <= job.MaxRecordBytes {
		return record, encoded
	}
	s.options.Log("checkpoints-not-stored", "job", j.id, "bytes", len(record))
	for i := range progress.Tasks {
		progress.Tasks[i].Checkpoint = ""
	}
	return s.encode(key, progress)
}

// HasChanges reports whether TakeBatch has something to do: state has changed, and no
// batch is in flight. Some changes need no record, so TakeBatch may still return none.
func (s *Shard) HasChanges() bool {
	return !s.batchInFlight && (len(s.dirtyJobs) > 0 || len(s.dirtyWorkers) > 0 || len(s.deletedKeys) > 0 || s.formerLeadersUnrecorded)
}

func (s *Shard) progressOf(now time.Time, j *jobState) job.Progress {
	progress := job.Progress{State: j.state}
	if j.state.Ended() {
		progress.EndedAt = now.Round(0)
		return progress
	}
	// Includes those that a former leader completed, as each record replaces the one
	// before.
	progress.CompletedOccurrences = slices.Sorted(maps.Keys(j.completedOccurrences))
	for _, o := range j.occurrences {
		if j.completedOccurrences[o.number] {
			continue
		}
		for _, st := range o.steps {
			for _, t := range st.tasks {
				trial := t.trialOf()
				stallTimeout := time.Duration(0)
				if t.index == 0 && !st.complete {
					stallTimeout = st.stallTimeout
				}
				if stallTimeout == 0 && !t.done && t.failures == 0 && t.checkpoint == "" && !t.suspected && trial == nil {
					continue
				}
				stored := job.TaskProgress{
					Occurrence: o.number, Step: st.number, Index: t.index, Done: t.done, Failures: t.failures, FailedRuns: t.failedRuns, Checkpoint: t.checkpoint,
					Suspected: t.suspected, Crashes: t.crashes, TrialCrashes: t.trialCrashes, LostTrials: t.lostTrials, CrashedRun: t.crashedRun, LostTrial: t.lostTrial,
					StallTimeout: stallTimeout,
				}
				if trial != nil {
					stored.TrialRun, stored.TrialWorker = trial.number, trial.worker.ID
				}
				progress.Tasks = append(progress.Tasks, stored)
			}
		}
	}
	return progress
}

// BatchStored records that the last batch of TakeBatch is stored.
func (s *Shard) BatchStored(now time.Time) {
	s.batchInFlight = false
	s.inFlightDeletedWorkers = 0
	for _, j := range s.inFlightJobs {
		if !j.durable {
			s.options.Log("accepted", "job", j.id, "queue", j.accepted.Terms.Queue, "after", now.Sub(j.acceptedAt))
			s.commands.StoredAcceptances = append(s.commands.StoredAcceptances, j.id)
		}
		if j.inFlightState.Ended() && j.storedState != j.inFlightState {
			s.commands.StoredEnds = append(s.commands.StoredEnds, j.id)
		}
		j.durable, j.storedState = true, j.inFlightState
	}
	for _, w := range s.inFlightWorkers {
		w.recordStored, w.suspensionTaken = !w.inFlightSuspended && !w.suspended, w.inFlightSuspended
		w.recordConfirmed = w.recordTaken
		w.storedResult = min(w.inFlightResult, w.handledResult)
		if w.storedResult > w.acknowledgedResult {
			w.nextPollAt = now
		}
	}
	s.inFlightJobs, s.inFlightWorkers = s.inFlightJobs[:0], s.inFlightWorkers[:0]
	s.sendStoredTrials(now)
	s.placementChanged = true
}

// Load restores the state from the records that former leaders stored. It logs and
// skips records that it can't decode. Call it before any other method.
func (s *Shard) Load(now time.Time, records []Record) {
	s.loadedAt = now
	s.loadFormerLeaders(records)
	progress := map[string]job.Progress{}
	for _, record := range records {
		if id, found := strings.CutPrefix(record.Key, progressPrefix); found && len(record.Value) > 0 {
			var stored job.Progress
			if err := job.Decode(record.Value, &stored); err != nil {
				s.options.Log("record-unreadable", "key", record.Key, "cause", err)
				continue
			}
			progress[id] = stored
		}
	}
	var trials []storedTrial
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		if id, found := strings.CutPrefix(record.Key, acceptedPrefix); found {
			var accepted job.Accepted
			if err := job.Decode(record.Value, &accepted); err != nil {
				s.options.Log("record-unreadable", "key", record.Key, "cause", err)
				continue
			}
			trials = append(trials, s.loadJob(now, id, accepted, progress[id])...)
		}
		if id, found := strings.CutPrefix(record.Key, workerPrefix); found {
			s.loadWorker(now, id, record.Value)
		}
	}
	s.limitUnwitnessedLeaders()
	s.loadTrials(now, trials)
	for id, stored := range progress {
		if s.jobs[id] == nil && stored.State.Ended() {
			s.jobs[id] = &jobState{
				id: id, state: stored.State, storedState: stored.State, durable: true, started: true, loaded: true,
				endedAt: now.Add(-wallSince(now, stored.EndedAt)), acceptanceDeleted: true,
			}
		}
	}
	s.recovered = len(s.activeJobs) == 0
}

// loadWorker adds a worker that a former leader recorded.
func (s *Shard) loadWorker(now time.Time, id string, value []byte) {
	var record job.WorkerRecord
	if err := job.Decode(value, &record); err != nil {
		s.options.Log("record-unreadable", "key", workerKey(id), "cause", err)
		return
	}
	w := &worker{
		observedIncarnation: record.Incarnation, handledResult: record.HandledResult, recordStored: !record.Suspended, suspended: record.Suspended, suspensionTaken: record.Suspended,
		recordTaken: true, recordConfirmed: true, recordedBy: record.RecordedBy,
		unlistedAt: now, bestEffortPace: fullPace,
	}
	w.loadUnstoredResults(record.Unstored)
	w.ID = id
	w.leaseEnd = s.formerLeasesEnd()
	if end := now.Add(s.leaseLength()); record.Suspended && end.Before(w.leaseEnd) {
		w.leaseEnd = end // no lease was renewed since this record was stored
	}
	w.Incarnation, w.Address = record.Incarnation, record.Address
	// The list tells newer addresses, see pollRecordedWorkers, but may be unreadable.
	if w.nextPollAt = now.Add(recordedAddressDelay); !w.Address.IsValid() {
		w.nextPollAt = s.formerLeasesEnd()
	}
	s.workers[id] = w
	s.workersToRead[id] = true
	s.addRecordedWorker(w)
	s.sortWorkers()
}

// loadJob adds a job that a former leader accepted. It returns the stored trials of its
// tasks.
func (s *Shard) loadJob(now time.Time, id string, accepted job.Accepted, progress job.Progress) (trials []storedTrial) {
	j := &jobState{
		id: id, accepted: accepted, acceptedAt: now.Add(-wallSince(now, accepted.At)), loaded: true, durable: true,
		state: job.Queued, completedOccurrences: map[int]bool{},
	}
	if progress.State != "" {
		j.state = progress.State
	}
	j.storedState = j.state
	j.started = j.state != job.Queued
	j.storesProgress = progress.State != ""
	s.jobs[id] = j
	for _, number := range progress.CompletedOccurrences {
		j.completedOccurrences[number] = true
	}
	if !j.started {
		s.waitingJobs[accepted.Terms.Queue]++
	}
	s.activeJobs = append(s.activeJobs, j)
	if j.state.Ended() {
		j.endedAt = now.Add(-wallSince(now, progress.EndedAt))
		return nil // restoreTask creates the occurrences whose runs are left on workers
	}
	s.createDueOccurrences(now, j)
	for _, stored := range progress.Tasks {
		t := s.restoreTask(now, taskKey{id, stored.Occurrence, stored.Step, stored.Index})
		if t == nil {
			continue
		}
		t.failures, t.failedRuns = stored.Failures, stored.FailedRuns
		t.loadCheckpoint(stored.Checkpoint)
		t.suspected, t.crashes, t.trialCrashes, t.lostTrials = stored.Suspected, stored.Crashes, stored.TrialCrashes, stored.LostTrials
		t.crashedRun, t.lostTrial = stored.CrashedRun, stored.LostTrial
		t.step.stallTimeout = max(t.step.stallTimeout, stored.StallTimeout)
		if stored.TrialWorker != "" && !stored.Done {
			trials = append(trials, storedTrial{t, stored.TrialRun, stored.TrialWorker})
		}
		if stored.Done && !t.done {
			t.done = true
			t.step.doneTasks++
		}
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.doneTasks == len(st.tasks) {
				delete(s.readySteps, st)
				s.stepDone(now, st)
			}
		}
	}
	return trials
}

func (s *Shard) removeReadySteps(j *jobState) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			delete(s.readySteps, st)
		}
	}
}

// removeEndedJobs deletes the acceptance records of jobs that have ended and have no
// runs, and keeps their final states.
func (s *Shard) removeEndedJobs(now time.Time) {
	kept := s.activeJobs[:0]
	for _, j := range s.activeJobs {
		if j.state.Ended() && j.storedState == j.state && j.runCount == 0 && s.recovered && !j.dirty {
			s.deletedKeys = append(s.deletedKeys, acceptedPrefix+j.id)
			j.acceptanceDeleted = true
			s.removeOccurrences(j, func(*occurrence) bool { return true })
			j.accepted.Spec = job.Spec{}
			continue
		}
		s.removeOccurrences(j, func(o *occurrence) bool { return j.completedOccurrences[o.number] && !o.hasRuns() })
		kept = append(kept, j)
	}
	clear(s.activeJobs[len(kept):])
	s.activeJobs = kept
}

// removeExpiredJobs deletes final states that are older than FinalStateRetention and
// retentionMargin together.
func (s *Shard) removeExpiredJobs(now time.Time) {
	for id, j := range s.jobs {
		if j.acceptanceDeleted && now.Sub(j.endedAt) > s.options.FinalStateRetention+retentionMargin {
			delete(s.jobs, id)
			s.deletedKeys = append(s.deletedKeys, progressPrefix+id)
		}
	}
}
