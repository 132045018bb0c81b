package shard

import "time"

// recordIfPlaceable schedules the storage of a worker's record if it has none. It is
// stored before the worker gets its first task. An entry whose worker never answered
// gets none, as the next leader waits for every worker with a record.
func (s *Shard) recordIfPlaceable(w *worker) {
	if w.listsRead && w.placeable() && !w.recordStored && !w.suspended {
		s.markWorkerDirty(w)
	}
}

// deleteIdleRecords deletes the records of workers that get no more tasks and have no
// runs. Otherwise the next leader would have to read these workers before it starts
// any task of a stored job.
func (s *Shard) deleteIdleRecords(now time.Time) {
	if s.batchInFlight {
		return // the batch in flight may contain the record
	}
	for _, w := range s.sortedWorkers {
		if w.listsRead && !w.resultsIncomplete && !w.placeable() && len(w.runs) == 0 && !w.dirty && !w.mayRepeatResults(now) {
			s.deleteWorkerRecord(w)
		}
	}
}

func (s *Shard) deleteWorkerRecord(w *worker) {
	if w.recordStored || w.suspended {
		w.recordStored, w.suspended, w.recordTaken, w.recordConfirmed = false, false, false, false
		s.deletedWorkers++
		s.deletedKeys = append(s.deletedKeys, workerKey(w.ID))
	}
}
