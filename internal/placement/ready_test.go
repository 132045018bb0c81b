package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// requireNoHeadFits checks that the head of no queue fits a worker.
func requireNoHeadFits(t *testing.T, e *Engine) {
	for _, k := range e.kinds {
		for _, tq := range k.teamQueues {
			for _, queue := range tq.queues {
				demand := taskDemand(&queue.head.task)
				for _, w := range e.index.leaves {
					fits := demand.fits(&w.free) && (w.capacity[dimAccelerators] == 0 || leavesAcceleratorsUsable(w, &demand))
					require.False(t, fits, "demand %v fits %s, which has %v free", demand, w.worker.Name, w.free)
				}
			}
		}
	}
}

// Guards against queues that stay blocked although resources for their head
// were freed: without guarantees and gangs, no head may fit after a call of
// Schedule that makes no decision. The tasks have so many sizes that tasks of
// different sizes share a shape. Starting a task on accelerators makes the
// resources that were kept for them available to other work.
func TestNoHeadThatFitsStaysBlocked(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for seed := range uint64(8) {
		t.Log("seed", seed)
		random, engine := rand.New(rand.NewPCG(seed, 0)), New(Options{})
		for i := range 10 {
			accelerators := int64(max(i-7, 0)) * 4
			engine.AddWorker(now, Worker{Name: fmt.Sprint("worker-", i), Slots: 8, Connections: 64,
				Capacity: workload.Resources{MilliCPU: 16_000, MemoryMB: 32_000, Accelerators: accelerators}}, nil)
		}
		var running []TaskID
		for next, round := 0, 0; round < 300; round++ {
			now = now.Add(10 * time.Millisecond)
			for len(engine.waiting) < 900 {
				next++
				task := Task{ID: TaskID{Key: workload.Key(fmt.Sprint("task-", next))}, Kind: fmt.Sprint("kind-", random.IntN(3)),
					Team: fmt.Sprint("team-", random.IntN(3)), RunTime: time.Duration(random.IntN(50)) * time.Second, EnqueuedAt: now,
					Resources: workload.Resources{MilliCPU: 1 + random.Int64N(12_000), MemoryMB: 1 + random.Int64N(24_000)}}
				if random.IntN(20) == 0 {
					task.Resources = workload.Resources{MilliCPU: 100, MemoryMB: 100, Accelerators: 1 + random.Int64N(4)}
				}
				require.Nil(t, engine.Enqueue(now, task))
			}
			for range min(random.IntN(4), len(running)) {
				i := random.IntN(len(running))
				engine.TaskEnded(now, running[i], Completed)
				running[i] = running[len(running)-1]
				running = running[:len(running)-1]
			}
			limit := []int{1, 3, 1000}[random.IntN(3)]
			decisions := engine.Schedule(now, limit)
			for _, d := range decisions {
				running = append(running, d.Task.ID)
			}
			// Resources that became available because accelerators were taken
			// are used by the next call.
			if len(decisions) == 0 {
				requireNoHeadFits(t, engine)
			}
		}
	}
}
