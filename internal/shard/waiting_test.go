package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Guards against a job that isn't counted as waiting because the worker of its only start order, which
// had no answer, was lost: none of its tasks has begun (MIXED).
func TestLostStartOrderIsNoStart(t *testing.T) {
	for name, c := range map[string]struct {
		crash   bool // the worker crashes, instead of being cut off for good
		leaders int
	}{
		"crashed worker":                       {true, 1},
		"worker that is cut off":               {false, 1},
		"crashed worker, next leader":          {true, 2},
		"worker that is cut off, next leaders": {false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 104, 1, workerSize)
			sim.advance(time.Second)
			lost := sim.workers[0]
			lost.losesOrders = true
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 1000, time.Second)}}, time.Second)
			sim.advance(300 * time.Millisecond)
			if c.crash {
				lost.crash()
			} else {
				lost.unreachable = true
			}
			sim.schedule(entryExpiry, nil, func(time.Time) { lost.listed = false })
			for range c.leaders - 1 {
				sim.advance(10 * time.Second)
				sim.leader.dead = true
				sim.replaceLeader()
			}
			sim.advance(10 * time.Second)
			require.Equal(t, 1, sim.leader.shard.Waiting(batchTerms.Queue))
			state, known := sim.leader.shard.State(id(0))
			require.True(t, known)
			require.Equal(t, job.Queued, state)

			sim.addWorker(workerSize)
			sim.requireAllEnded(time.Minute)
			require.Zero(t, sim.leader.shard.Waiting(batchTerms.Queue))
		})
	}
}
