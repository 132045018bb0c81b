package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Guards against members of a gang that start with different checkpoints, as each had its own
// (point 3 of issue 33). The model worker checks each start.
func TestGangMembersStartWithOneCheckpoint(t *testing.T) {
	type members = []*modelWorker
	crash := func(_ *simulation, workers members) {
		workers[1].crash()
		workers[1].restart()
	}
	changeLeader := func(sim *simulation) {
		sim.leader.dead = true
		sim.replaceLeader()
	}
	for name, disturb := range map[string]func(sim *simulation, workers members){
		"a member crashes": crash,
		"the first member crashes": func(_ *simulation, workers members) {
			workers[0].crash()
			workers[0].restart()
		},
		"a member crashes, the leader changes": func(sim *simulation, workers members) {
			crash(sim, workers)
			changeLeader(sim)
		},
		"the leader changes, a member crashes": func(sim *simulation, workers members) {
			changeLeader(sim)
			sim.advance(time.Second)
			crash(sim, workers)
		},
		"the leader changes while the members stop": func(sim *simulation, workers members) {
			crash(sim, workers)
			sim.advance(150 * time.Millisecond)
			changeLeader(sim)
		},
		"only some members have reached a checkpoint": func(sim *simulation, workers members) {
			workers[0].slowdown = 20
			sim.advance(1500 * time.Millisecond)
			crash(sim, workers)
			workers[0].slowdown = 1
		},
		"the end of a member is read late": func(sim *simulation, workers members) {
			workers[2].unreachable = true
			crash(sim, workers)
			sim.schedule(3*time.Second, nil, func(time.Time) { workers[2].unreachable = false })
		},
		"half of the answers are lost": func(sim *simulation, workers members) {
			sim.lostAnswerShare = 0.5
			crash(sim, workers)
			sim.schedule(3*time.Second, nil, func(time.Time) { sim.lostAnswerShare = 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 130, 6, workerSize)
			sim.advance(time.Second)
			step := gang(3, 8, 8*time.Second)
			step.SavesProgress = true
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{step}}, 8*time.Second)
			sim.advance(4 * time.Second)
			workers := make(members, 3)
			for _, worker := range sim.workers {
				for _, r := range worker.runs {
					workers[r.key.Task[len(r.key.Task)-1]-'0'] = worker
				}
			}
			require.NotContains(t, workers, (*modelWorker)(nil))
			disturb(sim, workers)
			sim.requireAllEnded(30 * time.Second)
			require.GreaterOrEqual(t, sim.startCount, 6, "the gang starts again")
			require.Positive(t, sim.jobs[id(0)].restoredGangRuns(), "a run continues from a checkpoint")
		})
	}
}

// Guards against different checkpoints that a leader of an earlier version stored for the members
// of a gang.
func TestGangWithSeveralStoredCheckpointsStartsWithOne(t *testing.T) {
	sim := newSimulation(t, 131, 3, workerSize)
	sim.advance(time.Second)
	step := gang(3, 8, 4*time.Second)
	step.SavesProgress = true
	submitted := sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{step}}, 4*time.Second)
	sim.advance(2 * time.Second)
	progress := job.Progress{State: job.Running}
	for _, worker := range sim.workers {
		r := worker.runs[0]
		key := r.key.Task[len(r.key.Task)-1] - '0'
		progress.Tasks = append(progress.Tasks, job.TaskProgress{Index: int(key), Checkpoint: r.checkpoint})
		worker.crash()
		worker.restart()
	}
	encoded, err := job.Encode(progress)
	require.NoError(t, err)
	sim.leader.dead = true
	sim.store["p"+id(0)] = encoded
	sim.replaceLeader()
	sim.advance(time.Second)
	sim.requireAllEnded(30 * time.Second)
	require.Len(t, submitted.gangCheckpoints, 2)
	require.Equal(t, 1, submitted.restoredGangRuns(), "the run after the crash continues from a checkpoint")
}

// restoredGangRuns returns the number of runs of gangs that started with a checkpoint.
func (j *modelJob) restoredGangRuns() int {
	restored := 0
	for _, checkpoint := range j.gangCheckpoints {
		if checkpoint != "" {
			restored++
		}
	}
	return restored
}

// Guards against a job whose record with its checkpoints is larger than the store takes, so that
// nothing of its shard can be stored any more.
func TestLongCheckpointsDoNotExceedRecord(t *testing.T) {
	sim := newSimulation(t, 103, 1, job.Demand{MilliCPU: 1500, MemoryMB: 4000})
	sim.checkpointBytes, sim.allowedShare = 250, 1
	sim.advance(time.Second)
	step := tasks(job.MaxTasksOfStep, 1, 5*time.Second)
	step.Demand.MemoryMB, step.SavesProgress = 1, true
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{step}}, 5*time.Second)
	sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1, 100*time.Millisecond)}}, 100*time.Millisecond)
	sim.advance(3 * time.Second)
	sim.submit(id(2), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1, 100*time.Millisecond)}}, 100*time.Millisecond)
	leftOut := false
	sim.onLog = func(event string, _ []any) { leftOut = leftOut || event == "checkpoints-not-stored" }
	sim.requireAllEnded(time.Minute)
	require.True(t, leftOut, "the record reaches the limit")
}
