package benchmark

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Guards against simulated workers that miss a violated invariant or report one for
// a valid start.
func TestFleetRecordsViolations(t *testing.T) {
	task := placement.Task{ID: placement.TaskID{Key: "task"}, Resources: workload.Resources{MilliCPU: 9000}, Connections: 33}
	other := task
	other.ID.Key = "other"
	for name, test := range map[string]struct {
		act       func(f *fleet)
		violation string
	}{
		"valid": {func(f *fleet) {
			f.start(startTime, &task, "plain-000")
			f.end(&task)
			f.start(startTime, &other, "plain-000")
		}, ""},
		"unknown worker": {func(f *fleet) { f.start(startTime, &task, "plain-009") }, "unknown worker"},
		"over capacity": {func(f *fleet) {
			f.start(startTime, &task, "plain-000")
			f.start(startTime, &other, "plain-000")
		}, "plain-000 holds"},
		"two workers, different attempts": {func(f *fleet) {
			f.start(startTime, &task, "plain-000")
			again := task
			again.ID.Attempt = 1
			f.start(startTime, &again, "plain-001")
		}, "runs on plain-000"},
		"leaving": {func(f *fleet) {
			f.byName["plain-000"].leaving = true
			f.start(startTime, &task, "plain-000")
		}, "leaving worker"},
		"late": {func(f *fleet) {
			limited := task
			limited.StartBy = startTime
			f.start(startTime.Add(time.Second), &limited, "plain-000")
		}, "after its start-by time"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(Size{Plain: 2}.workers())
			test.act(f)
			if test.violation == "" {
				require.Empty(t, f.violations)
				return
			}
			require.Len(t, f.violations, 1)
			require.Contains(t, f.violations[0], test.violation)
		})
	}
}

// partialGangs drops all decisions after the start of a gang's first member.
type partialGangs struct{ Engine }

func (s *partialGangs) Schedule(now time.Time, limit int) []placement.Decision {
	decisions := s.Engine.Schedule(now, limit)
	for i, d := range decisions {
		if d.Task.GangSize > 1 {
			return decisions[:i+1]
		}
	}
	return decisions
}

// Guards against a simulation that doesn't report a gang of which only some tasks
// start.
func TestPartialGangStartIsViolation(t *testing.T) {
	tested := newNaiveEngine()
	tested.engine = &partialGangs{tested.engine}
	sim := mixedScenario("", 1).run(tested, Size{Plain: 2, Accelerators: 4, Seconds: 20}, *seed)
	require.NotEmpty(t, sim.fleet.violations)
	require.Contains(t, sim.fleet.violations[0], "started without")
}
