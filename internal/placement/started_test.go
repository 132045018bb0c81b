package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
)

// Guards against one call of Schedule that places several tasks on a worker
// that may get only one, because Excluded takes the starts into account only
// after the call.
func TestStartedIsCalledBeforeNextDecision(t *testing.T) {
	var engine *placement.Engine
	running := map[string]int{}
	engine = withWorkers(placement.Options{
		Excluded: func(worker string) bool { return running[worker] > 0 },
		Started: func(now time.Time, task placement.Task, worker string) {
			require.Equal(t, start, now)
			require.Equal(t, "kind", task.Kind)
			running[worker]++
			engine.ExclusionChanged(worker)
		},
	}, 3, 0)
	enqueueMany(t, engine, start, 20, "task", newTask("", "kind"))
	require.Len(t, starts(engine.Schedule(start, 100)), 3)
	gang := newTask("gang", "kind")
	enqueueGang(t, engine, start, 2, gang)
	clear(running)
	engine.ExclusionChanged("plain-000")
	engine.Schedule(start, 100)
	// There were 20 tasks and 2 gang members. Each of the two calls started 3.
	require.Equal(t, 20+2-3-3, engine.Summary(start).Waiting)
}
