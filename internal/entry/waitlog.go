package entry

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/election"
)

// formerSilenceInterval is the pause between two lines about a former leader that doesn't
// answer.
const formerSilenceInterval = 2 * time.Second

// formerSilence logs that a former leader doesn't tell when its leases end.
type formerSilence struct{ loggedAt time.Time }

func (f *formerSilence) log(l *shardLeader, epoch int64, former election.Leader, cause error) {
	if time.Since(f.loggedAt) < formerSilenceInterval {
		return
	}
	f.loggedAt = time.Now()
	l.process.log("former-silent", "service", l.key, "epoch", l.epoch, "from", former.Node, "address", former.Address, "former-epoch", epoch, "cause", cause)
}

// setLongRunningWaits sets the gauges of the long-running tasks of a shard that have no
// confirmed run.
func (m *processMetrics) setLongRunningWaits(shard string, count int, longest time.Duration) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`yuccalanding_long_running_waiting{service=%q}`, shard), nil).Set(float64(count))
	m.set.GetOrCreateGauge(fmt.Sprintf(`yuccalanding_long_running_longest_wait_seconds{service=%q}`, shard), nil).Set(longest.Seconds())
}

// longRunningGauges sets the gauges of a shard that this process leads when they change.
type longRunningGauges struct {
	set     bool
	count   int
	longest time.Duration
}

func (g *longRunningGauges) update(l *shardLeader) {
	if count, longest := l.shard.LongRunningWaits(); !g.set || count != g.count || longest != g.longest {
		g.set, g.count, g.longest = true, count, longest
		l.process.metrics.setLongRunningWaits(l.key, count, longest)
	}
}

// reset sets the gauges to 0 when the leadership ends.
func (g *longRunningGauges) reset(l *shardLeader) { l.process.metrics.setLongRunningWaits(l.key, 0, 0) }
