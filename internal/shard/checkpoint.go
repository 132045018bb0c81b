package shard

import "slices"

// All members of a gang start with one checkpoint, which is kept with its first task. Each start
// order of a run carries the checkpoint of when the run was created, whenever the order is sent.

// newestCheckpoint returns the checkpoint with which the next run of the task starts.
func (t *task) newestCheckpoint() string { return t.crashOwner().checkpoint }

// saveCheckpoint keeps the checkpoint that a report shows of a run of the task. The checkpoint of a
// gang is that of its first member whose run has made one, so that members that are behind
// don't replace it. It never goes back to an earlier run of the gang.
func (t *task) saveCheckpoint(runNumber int64, checkpoint string) {
	st := t.step
	if checkpoint == "" {
		return
	}
	if !st.spec.Gang {
		t.checkpoint = checkpoint
		return
	}
	if runNumber < st.checkpointRun {
		return
	}
	for _, member := range st.tasks[:t.index] {
		if slices.ContainsFunc(member.runs, func(r *run) bool { return r.madeCheckpoint }) {
			return
		}
	}
	st.checkpointRun, st.tasks[0].checkpoint = runNumber, checkpoint
}

// loadCheckpoint loads a stored checkpoint. Former versions stored one for each member of a gang.
func (t *task) loadCheckpoint(checkpoint string) {
	if owner := t.crashOwner(); owner.checkpoint == "" {
		owner.checkpoint = checkpoint
	}
}
