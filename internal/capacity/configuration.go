package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/journal"
	"yuccalanding.example/yuccalanding/internal/policy"
)

// configurationSample is what the configuration costs at a number of teams.
type configurationSample struct {
	teams int
	// recordBytes is one change of one section in the log, snapshotBytes the
	// copy that a node passes to another one, after a day's changes.
	recordBytes, snapshotBytes int
	// apply is the time to replay one change, inForce the time of the control
	// thread to put it in force.
	apply, inForce time.Duration
	heap           float64
}

// measureConfiguration replays changes of single sections on a set of teams.
func measureConfiguration(teams, changes int, seed uint64) (configurationSample, error) {
	sample := configurationSample{teams: teams}
	c, err := newCell(3, 6, teams, seed)
	if err != nil {
		return sample, err
	}
	c.run(time.Second)
	before := heapInUse()
	history := policy.NewHistory()
	first := policy.Change{Identity: "first", Author: "operator", Reason: "first", CreatedAt: c.now}
	for i := range teams {
		first.Sections = append(first.Sections, policy.SectionChange{Name: "team " + teamName(i), Text: sectionText(i)})
	}
	if accepted, findings := history.Apply(0, first); !accepted {
		return sample, fmt.Errorf("the first change was not accepted: %w", findings)
	}
	var applies, steps []float64
	for i := range changes {
		change := policy.Change{
			Identity: fmt.Sprintf("change-%d", i), Base: history.Version().Number, Author: "operator", Reason: "quota of the month", CreatedAt: c.now,
			Sections: []policy.SectionChange{{Name: "team " + teamName(i%teams), Text: sectionText(i)}},
		}
		sample.recordBytes = recordBytes(journal.KindPolicyChange, change, c.now)
		start := time.Now()
		accepted, findings := history.Apply(int64(i+1), change)
		applies = append(applies, time.Since(start).Seconds())
		if !accepted {
			return sample, fmt.Errorf("change %d was not accepted: %w", i, findings)
		}
		in := &control.PolicyAccepted{Version: uint64(i + 2), Digest: uint64(i), Rules: rulesFor(teams)}
		start = time.Now()
		c.entries[0].node.Step(c.now, in)
		steps = append(steps, time.Since(start).Seconds())
	}
	snapshot, _ := history.Snapshot()
	encoded, err := cbor.Marshal(snapshot)
	if err != nil {
		return sample, err
	}
	sample.snapshotBytes = len(encoded)
	sample.apply = time.Duration(median(applies) * float64(time.Second))
	sample.inForce = time.Duration(median(steps) * float64(time.Second))
	sample.heap = float64(heapInUse()) - float64(before)
	runtime.KeepAlive(c)
	runtime.KeepAlive(history)
	return sample, nil
}

func sectionText(i int) string {
	return fmt.Sprintf("weight = %d\nrunning-tasks = %d\nmilli-cpu = %d\nmemory-mb = %d\n", i%9+1, 100+i%400, 200_000+i, 800_000+i)
}
