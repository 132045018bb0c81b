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

// configurationSample is the cost of configuration changes with a number of teams.
type configurationSample struct {
	teams int
	// recordBytes is the size of a log record that changes one section.
	// snapshotBytes is the size, after a day's changes, of the snapshot that a
	// node sends to a node that is behind.
	recordBytes, snapshotBytes int
	// applyTime is the time to replay one change, enforceTime the time that the
	// control thread takes to put it in force.
	applyTime, enforceTime time.Duration
	// heapBytes is the growth of the heap, in the history and in one control node,
	// that the changes cause.
	heapBytes float64
}

// measureConfiguration replays a number of changes, each of which changes the
// section of one team. It returns an error if the history rejects a change, a node
// can't be created or the snapshot can't be encoded.
func measureConfiguration(teams, changes int, seed uint64) (configurationSample, error) {
	sample := configurationSample{teams: teams}
	c, err := newCell(3, 6, teams, seed)
	if err != nil {
		return sample, err
	}
	c.advance(time.Second)
	heapBefore := liveHeapBytes()
	history := policy.NewHistory()
	first := policy.Change{Identity: "first", Author: "operator", Reason: "first", CreatedAt: c.now}
	for i := range teams {
		first.Sections = append(first.Sections, policy.SectionChange{Name: "team " + teamName(i), Text: sectionText(i)})
	}
	if accepted, findings := history.Apply(0, first); !accepted {
		return sample, fmt.Errorf("policy history rejected the first change: %w", findings)
	}
	var applySeconds, enforceSeconds []float64
	for i := range changes {
		change := policy.Change{
			Identity: fmt.Sprintf("change-%d", i), Base: history.Version().Number, Author: "operator", Reason: "quota of the month", CreatedAt: c.now,
			Sections: []policy.SectionChange{{Name: "team " + teamName(i%teams), Text: sectionText(i)}},
		}
		sample.recordBytes = recordBytes(journal.KindPolicyChange, change, c.now)
		start := time.Now()
		accepted, findings := history.Apply(int64(i+1), change)
		applySeconds = append(applySeconds, time.Since(start).Seconds())
		if !accepted {
			return sample, fmt.Errorf("policy history rejected change %d: %w", i, findings)
		}
		input := &control.PolicyAccepted{Version: uint64(i + 2), Digest: uint64(i), Rules: rulesFor(teams)}
		start = time.Now()
		c.nodes[0].node.Step(c.now, input)
		enforceSeconds = append(enforceSeconds, time.Since(start).Seconds())
	}
	snapshot, _ := history.Snapshot()
	encoded, err := cbor.Marshal(snapshot)
	if err != nil {
		return sample, err
	}
	sample.snapshotBytes = len(encoded)
	sample.applyTime = time.Duration(median(applySeconds) * float64(time.Second))
	sample.enforceTime = time.Duration(median(enforceSeconds) * float64(time.Second))
	sample.heapBytes = float64(liveHeapBytes()) - float64(heapBefore)
	runtime.KeepAlive(c)
	runtime.KeepAlive(history)
	return sample, nil
}

func sectionText(i int) string {
	return fmt.Sprintf("weight = %d\nrunning-tasks = %d\nmilli-cpu = %d\nmemory-mb = %d\n", i%9+1, 100+i%400, 200_000+i, 800_000+i)
}
