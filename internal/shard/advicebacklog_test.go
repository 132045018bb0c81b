package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// serveAdvice returns how long a call takes whose service takes length. The adviser serves
// one call at a time for each node.
func (sim *simulation) serveAdvice(length time.Duration) time.Duration {
	if len(sim.adviserNodes) == 0 {
		return length
	}
	idlest := slices.Index(sim.adviserNodes, slices.Min(sim.adviserNodes))
	sim.adviserNodes[idlest] = max(sim.adviserNodes[idlest], sim.now) + length
	return sim.adviserNodes[idlest] - sim.now
}

// Accepted jobs must start after most nodes have left, when the others can't make the
// advice calls for all new jobs (review/6: hundreds of accepted jobs never started).
func TestAcceptedJobsStartAfterMostNodesLeft(t *testing.T) {
	for name, c := range map[string]struct {
		adviceTime   time.Duration
		slotsPerNode int
		interval     time.Duration // between two jobs; four nodes can make the calls for all
		perSecond    float64       // jobs for which one node can make the calls
	}{
		"long calls":  {adviceTime: 500 * time.Millisecond, slotsPerNode: 1, interval: 250 * time.Millisecond, perSecond: 1 / 0.53},
		"short calls": {adviceTime: 50 * time.Millisecond, slotsPerNode: 4, interval: 30 * time.Millisecond, perSecond: 1 / 0.08},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 41, 30, workerSize)
			sim.allowedShare = 0.5
			setNodes := func(nodes int) {
				sim.adviserNodes = make([]time.Duration, nodes)
				sim.leader.shard.SetAdviceSlots(nodes*c.slotsPerNode, nodes*c.slotsPerNode)
			}
			setNodes(4)
			sim.advance(time.Second)
			terms := job.Terms{
				Queue: "advised", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: 3 * time.Second,
				RequiresTicket: true, AdviceTime: c.adviceTime, AdviceTimePerWorker: time.Millisecond, TicketLifetime: ticketLifetime,
			}
			spec := job.Spec{Steps: []job.Step{tasks(2, 500, time.Second)}}
			number := 0
			submitFor := func(length time.Duration) {
				for end := sim.now + length; sim.now < end; number++ {
					if number%8 == 0 {
						refused := sim.refusedCount
						sim.submit(id(100_000+number), batchTerms, spec, time.Second)
						require.Equal(t, refused, sim.refusedCount, "a job that needs no advice must be accepted")
					}
					result := sim.leader.shard.Accept(sim.time(), id(number), terms, spec)
					if result.Outcome == shard.Refused {
						sim.refusedCount++
						require.GreaterOrEqual(t, result.RetryAfter, time.Second)
					} else {
						sim.submit(id(number), terms, spec, time.Second)
					}
					sim.advance(c.interval)
				}
			}
			const full, reduced = 10 * time.Second, 60 * time.Second
			submitFor(full)
			require.Zero(t, sim.refusedCount, "four nodes can make the calls for all jobs")
			before := len(sim.jobIDs)
			setNodes(1)
			submitFor(reduced)
			advised := 0.875 * float64(len(sim.jobIDs)-before)
			require.Greater(t, advised, 0.8*reduced.Seconds()*c.perSecond, "one node can make the calls for more jobs")
			sim.requireAllEnded(8 * time.Second)
			require.NotZero(t, sim.refusedCount, "one node can't make the calls for all jobs")
		})
	}
}
