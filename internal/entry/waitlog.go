package entry

import (
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
