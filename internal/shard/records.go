package shard

import (
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Record is a key and a value of the shard's topic. A record without a value
// drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Keys of the shard's records: a job's intake, its progress, a worker's note.
const (
	intakeKey   = "j"
	progressKey = "p"
	noteKey     = "w"
)

func workerKey(id string) string { return noteKey + id }

// batchBytes bounds one append, with room below the store's 2 MB a call.
const batchBytes = 1 << 20

func (s *Shard) markJob(j *jobState) {
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

func (s *Shard) markWorker(w *worker) {
	if !w.dirty {
		w.dirty = true
		s.dirtyWorkers = append(s.dirtyWorkers, w)
	}
}

// TakeBatch returns the records to append next, none if nothing changed or
// the last batch isn't stored yet. The batch must be appended as a whole and
// again until it is stored or the holder's right is lost.
func (s *Shard) TakeBatch(now time.Time) []Record {
	if s.writing {
		return nil
	}
	var batch []Record
	size := 0
	add := func(key string, value any) {
		encoded, err := job.Encode(value)
		if err != nil {
			s.options.Log("record-not-encoded", "key", key, "cause", err)
			return
		}
		batch = append(batch, Record{key, encoded})
		size += len(key) + len(encoded)
	}
	// Drops come first: a worker that is listed again has a new note here.
	for _, key := range s.drops {
		batch = append(batch, Record{Key: key})
	}
	s.drops = nil
	left := s.dirtyJobs[:0]
	for _, j := range s.dirtyJobs {
		if size > batchBytes {
			left = append(left, j)
			continue
		}
		j.dirty = false
		if j.writeSpec {
			j.writeSpec = false
			add(intakeKey+j.id, j.record)
		}
		if j.state != job.Queued {
			add(progressKey+j.id, s.progressOf(now, j))
		}
		j.flying = j.state
		s.inFlight = append(s.inFlight, j)
	}
	s.dirtyJobs = left
	for _, w := range s.dirtyWorkers {
		w.dirty, w.flying, w.flyingSuspended = false, w.seen, w.suspended
		add(workerKey(w.ID), job.WorkerRecord{Incarnation: w.life, HandledResult: w.seen, Suspended: w.suspended})
		s.inFlightW = append(s.inFlightW, w)
	}
	s.dirtyWorkers = s.dirtyWorkers[:0]
	s.writing = len(batch) > 0 || len(s.inFlight) > 0
	if s.writing && len(batch) == 0 {
		s.BatchStored(now)
	}
	return batch
}

// HasChanges reports whether TakeBatch would return records.
func (s *Shard) HasChanges() bool {
	return !s.writing && (len(s.dirtyJobs) > 0 || len(s.dirtyWorkers) > 0 || len(s.drops) > 0)
}

func (s *Shard) progressOf(now time.Time, j *jobState) job.Progress {
	progress := job.Progress{State: j.state}
	if j.state.Ended() {
		progress.EndedAt = now.Round(0)
		return progress
	}
	for _, o := range j.occurrences {
		if j.completed[o.number] {
			progress.CompletedOccurrences = append(progress.CompletedOccurrences, o.number)
			continue
		}
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.done || t.failures > 0 || t.checkpoint != "" {
					progress.Tasks = append(progress.Tasks, job.TaskProgress{
						Occurrence: o.number, Step: st.number, Index: t.index, Done: t.done, Failures: t.failures, Checkpoint: t.checkpoint,
					})
				}
			}
		}
	}
	return progress
}

// BatchStored says that the last batch is stored.
func (s *Shard) BatchStored(now time.Time) {
	s.writing = false
	for _, j := range s.inFlight {
		changed := !j.durable || j.flying.Ended() && j.visible != j.flying
		if !j.durable {
			s.options.Log("accepted", "job", j.id, "queue", j.record.Terms.Queue, "after", now.Sub(j.arrived))
		}
		j.durable, j.visible = true, j.flying
		if changed {
			s.commands.StoredJobs = append(s.commands.StoredJobs, j.id)
		}
	}
	for _, w := range s.inFlightW {
		w.recorded = !w.flyingSuspended && !w.suspended
		w.stored = min(w.flying, w.seen)
		if w.stored > w.told {
			w.nextHold = now
		}
	}
	s.inFlight, s.inFlightW = s.inFlight[:0], s.inFlightW[:0]
	s.changed = true
}

// Load takes what former holders stored. It comes before any other input.
func (s *Shard) Load(now time.Time, records []Record) {
	s.began = now
	progress := map[string]job.Progress{}
	for _, record := range records {
		if id, is := strings.CutPrefix(record.Key, progressKey); is && len(record.Value) > 0 {
			var read job.Progress
			if err := job.Decode(record.Value, &read); err != nil {
				s.options.Log("record-unreadable", "key", record.Key, "cause", err)
				continue
			}
			progress[id] = read
		}
	}
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		if id, is := strings.CutPrefix(record.Key, intakeKey); is {
			var accepted job.Accepted
			if err := job.Decode(record.Value, &accepted); err != nil {
				s.options.Log("record-unreadable", "key", record.Key, "cause", err)
				continue
			}
			s.loadJob(now, id, accepted, progress[id])
		}
		if id, is := strings.CutPrefix(record.Key, noteKey); is {
			s.loadNote(now, id, record.Value)
		}
	}
	for id, read := range progress {
		if s.jobs[id] == nil && read.State.Ended() {
			s.jobs[id] = &jobState{
				id: id, state: read.State, visible: read.State, durable: true, began: true, loaded: true,
				endedAt: now.Add(-wallSince(now, read.EndedAt)), dropped: true,
			}
		}
	}
	s.settled = len(s.active) == 0
}

func (s *Shard) loadNote(now time.Time, id string, value []byte) {
	var note job.WorkerRecord
	if err := job.Decode(value, &note); err != nil {
		s.options.Log("record-unreadable", "key", workerKey(id), "cause", err)
		return
	}
	w := &worker{
		life: note.Incarnation, seen: note.HandledResult, stored: note.HandledResult, recorded: !note.Suspended, suspended: note.Suspended,
		gone: now, fillPace: paceFull,
	}
	w.ID = id
	w.leaseEnd = now.Add(s.options.OrphanTimeout)
	if note.Suspended {
		w.leaseEnd = now.Add(min(s.options.OrphanTimeout, s.leaseLength()))
	}
	w.nextHold = now.Add(s.options.OrphanTimeout) // no address is known until the list names one
	w.Incarnation = note.Incarnation
	s.workers[id] = w
	s.owed[id] = true
	s.sortWorkers()
}

func (s *Shard) loadJob(now time.Time, id string, accepted job.Accepted, progress job.Progress) {
	j := &jobState{
		id: id, record: accepted, arrived: now.Add(-wallSince(now, accepted.At)), loaded: true, durable: true,
		state: job.Queued, completed: map[int]bool{},
	}
	if progress.State != "" {
		j.state = progress.State
	}
	j.visible = j.state
	j.began = j.state != job.Queued
	s.jobs[id] = j
	for _, number := range progress.CompletedOccurrences {
		j.completed[number] = true
	}
	if !j.began {
		s.waiting[accepted.Terms.Queue]++
	}
	s.active = append(s.active, j)
	if j.state.Ended() {
		j.endedAt = now.Add(-wallSince(now, progress.EndedAt))
		// Its tasks may still run; their sizes must be known until they are over.
		for number := range accepted.Spec.Occurrences() {
			if j.record.Spec.Repeat == 0 || wallSince(now, j.record.Spec.Due(number)) >= 0 {
				s.create(now, j, number)
			}
		}
		s.dropReady(j)
		return
	}
	s.materialise(now, j)
	for _, done := range progress.Tasks {
		t := s.find(taskKey{id, done.Occurrence, done.Step, done.Index})
		if t == nil {
			continue
		}
		t.failures, t.checkpoint = done.Failures, done.Checkpoint
		if done.Done && !t.done {
			t.done = true
			t.step.done++
		}
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.done == len(st.tasks) {
				delete(s.ready, st)
				s.stepDone(now, st)
			}
		}
	}
}

func (s *Shard) dropReady(j *jobState) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			delete(s.ready, st)
		}
	}
}

// tidy drops what is no longer needed of ended jobs.
func (s *Shard) tidy(now time.Time) {
	kept := s.active[:0]
	for _, j := range s.active {
		if j.state.Ended() && j.visible == j.state && j.runs == 0 && s.settled && !j.dirty {
			s.drops = append(s.drops, intakeKey+j.id)
			j.dropped, j.occurrences = true, nil
			j.record.Spec = job.Spec{}
			continue
		}
		kept = append(kept, j)
	}
	clear(s.active[len(kept):])
	s.active = kept
}

// expire forgets final states that were kept long enough.
func (s *Shard) expire(now time.Time) {
	for id, j := range s.jobs {
		if j.dropped && now.Sub(j.endedAt) > s.options.FinalStateRetention+expirySlack {
			delete(s.jobs, id)
			s.drops = append(s.drops, progressKey+id)
		}
	}
}
