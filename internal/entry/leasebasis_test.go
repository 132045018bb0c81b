package entry

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

// Guards against leases that last longer than the next leader assumes, so that two runs of a task
// overlap: they end a fixed time after the confirmation or the polls of the witnesses.
func TestLeasesEndFixedTimeAfterTheirBasis(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed, polled time.Duration // how long ago
		lease             time.Duration
	}{
		"confirmed just now":                {0, 0, maxLease},
		"confirmed before":                  {900 * time.Millisecond, 0, maxLease - 900*time.Millisecond},
		"polled later than confirmed":       {5 * time.Second, 1500 * time.Millisecond, maxLease - 1500*time.Millisecond},
		"confirmed, but not polled of late": {400 * time.Millisecond, time.Minute, maxLease - 400*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			settings := platform.Settings{Node: "entry-1", Bounds: platform.Bounds{MaxLease: time.Minute}}
			p := New(settings, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
			p.sinceBoot = func() time.Duration { return time.Hour }
			l := newShardLeader(t.Context(), p, shardRef{"ledger", 0, 1}, 1, election.Leader{}, 0)
			l.confirm(p.sinceBoot() - c.confirmed)
			now, clock := time.Now(), 2*time.Hour
			demand := job.Demand{MilliCPU: 1000, MemoryMB: 100}
			l.shard.Load(now, nil)
			l.shard.SetWorkers(now, []shard.WorkerInfo{{ID: "i-1", Incarnation: 1, Capacity: demand}})
			l.shard.Tick(now)
			l.shard.PollAnswered(now, now, "i-1", shard.Report{Incarnation: 1, Clock: clock, PolledAt: p.sinceBoot() - c.polled})
			l.shard.Accept(now, "0000000000000001", job.Terms{Queue: "q", MaxAttempts: 1, Stretch: 1, Target: time.Second}, job.Spec{Steps: []job.Step{
				{Count: 1, Demand: demand, Estimate: time.Second},
			}})
			l.shard.TakeBatch(now)
			l.shard.BatchStored(now)
			l.shard.TakeCommands()
			l.updateAuthority(now)
			l.shard.Tick(now)
			starts := l.shard.TakeCommands().Starts
			require.Len(t, starts, 1)
			require.Equal(t, c.lease, starts[0].LeaseUntil-clock)
		})
	}
}
