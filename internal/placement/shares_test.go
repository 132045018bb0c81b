package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// simulation calls an engine every 10 ms of simulated time. Tasks end after
// their declared run time, or 20 ms after they were preempted.
type simulation struct {
	engine          *placement.Engine
	now             time.Time
	ends            map[placement.TaskID]time.Time
	runningByKind   map[string]int
	kinds           map[placement.TaskID]string
	runningIDs      []placement.TaskID
	decisionsByVerb map[placement.Verb]int
}

func newSimulation(engine *placement.Engine) *simulation {
	return &simulation{engine: engine, now: start, ends: map[placement.TaskID]time.Time{}, runningByKind: map[string]int{},
		kinds: map[placement.TaskID]string{}, decisionsByVerb: map[placement.Verb]int{}}
}

func (sim *simulation) step() (started []placement.Decision) {
	sim.now = sim.now.Add(10 * time.Millisecond)
	unfinished := sim.runningIDs[:0]
	for _, id := range sim.runningIDs {
		if sim.now.Before(sim.ends[id]) {
			unfinished = append(unfinished, id)
			continue
		}
		sim.engine.TaskEnded(sim.now, id, placement.Completed)
		sim.runningByKind[sim.kinds[id]]--
	}
	sim.runningIDs = unfinished
	for _, d := range sim.engine.Schedule(sim.now, 1000) {
		sim.decisionsByVerb[d.Verb]++
		switch d.Verb {
		case placement.VerbStart:
			sim.runningByKind[d.Task.Kind]++
			sim.ends[d.Task.ID], sim.kinds[d.Task.ID] = sim.now.Add(d.Task.RunTime), d.Task.Kind
			sim.runningIDs = append(sim.runningIDs, d.Task.ID)
			started = append(started, d)
		case placement.VerbStop, placement.VerbCheckpoint:
			sim.ends[d.Task.ID] = sim.now.Add(20 * time.Millisecond)
		}
	}
	return started
}

// Guards against a flood of tasks of the most urgent kind that keeps resources
// guaranteed to another kind, and against preempting more tasks or other tasks
// than needed.
func TestBorrowedResourcesAreReclaimed(t *testing.T) {
	for name, test := range map[string]struct {
		preemption placement.Verb
		runTime    time.Duration
		wantSteady int
	}{
		"checkpoint": {placement.VerbCheckpoint, time.Hour, 40},
		"stop":       {placement.VerbStop, time.Hour, 40},
		// The flood ends by itself, so the resources beyond the guarantee are
		// divided as well.
		"short tasks": {"", time.Second, 60},
	} {
		t.Run(name, func(t *testing.T) {
			engine := withWorkers(placement.Options{}, 10, 0)
			engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{
				{Name: "flood", Urgency: 9, Preemption: test.preemption}, {Name: "steady", Guaranteed: 0.5}}})
			flood := newTask("", "flood")
			flood.RunTime = test.runTime
			enqueueMany(t, engine, start, 2000, "flood", flood)
			sim := newSimulation(engine)
			sim.step()
			require.Equal(t, 80, sim.runningByKind["flood"], "the unused guarantee should be lent")
			steady := newTask("", "steady")
			steady.RunTime = time.Hour
			enqueueMany(t, engine, sim.now, 100, "steady", steady)
			for range 150 {
				sim.step()
			}
			require.Equal(t, test.wantSteady, sim.runningByKind["steady"])
			require.Equal(t, 80-test.wantSteady, sim.runningByKind["flood"])
			if test.preemption != "" {
				require.Equal(t, 40, sim.decisionsByVerb[test.preemption])
			}
		})
	}
}

// Guards against lending resources to tasks that never return them, while the
// kind to which the resources are guaranteed has work.
func TestGuaranteeIsNotLentToWorkThatCannotBeReclaimed(t *testing.T) {
	engine := withWorkers(placement.Options{}, 10, 0)
	engine.SetPolicy(placement.Policy{Kinds: []placement.KindPolicy{{Name: "flood", Urgency: 9}, {Name: "steady", Guaranteed: 0.5}}})
	flood := newTask("", "flood")
	flood.RunTime = 0
	enqueueMany(t, engine, start, 200, "flood", flood)
	enqueueMany(t, engine, start, 1, "steady", newTask("", "steady"))
	sim := newSimulation(engine)
	sim.step()
	require.Equal(t, map[string]int{"steady": 1, "flood": 40}, sim.runningByKind)
}

// Guards against shares that ignore weight, ceiling, guarantee or urgency.
func TestSharesAmongKindsAndTeams(t *testing.T) {
	for name, test := range map[string]struct {
		kinds []placement.KindPolicy
		teams []placement.TeamPolicy
		want  map[string]int
	}{
		"weights":           {kinds: []placement.KindPolicy{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}}, want: map[string]int{"a": 60, "b": 20}},
		"ceiling":           {kinds: []placement.KindPolicy{{Name: "a", Ceiling: 0.25}}, want: map[string]int{"a": 20, "b": 60}},
		"guarantee":         {kinds: []placement.KindPolicy{{Name: "a", Urgency: 9}, {Name: "b", Guaranteed: 0.5}}, want: map[string]int{"a": 20, "b": 60}},
		"guarantees over 1": {kinds: []placement.KindPolicy{{Name: "a", Guaranteed: 0.9}, {Name: "b", Guaranteed: 0.9}}, want: map[string]int{"a": 40, "b": 40}},
		"team weights":      {teams: []placement.TeamPolicy{{Name: "team-a", Weight: 4}}, want: map[string]int{"a": 64, "b": 16}},
	} {
		t.Run(name, func(t *testing.T) {
			engine := withWorkers(placement.Options{}, 10, 0)
			engine.SetPolicy(placement.Policy{Kinds: test.kinds, Teams: test.teams})
			for _, name := range []string{"a", "b"} {
				task := newTask("", name)
				task.Team = "team-" + name
				if test.teams != nil {
					task.Kind = "shared"
				}
				enqueueMany(t, engine, start, 100, name, task)
			}
			got := map[string]int{}
			for _, d := range engine.Schedule(start, 1000) {
				got[d.Task.Team[len("team-"):]]++
			}
			require.Equal(t, test.want, got)
		})
	}
}

// Guards against starvation of a gang on half of the accelerators by a steady
// stream of small tasks, and against starting a part of the gang. The estimates
// of run times are correct, half of the run time, or unknown.
func TestGangStartsDespiteSmallTasks(t *testing.T) {
	const longest = 2 * time.Second
	for name, estimate := range map[string]func(placement.Task) time.Duration{
		"correct": nil,
		"half":    func(task placement.Task) time.Duration { return task.RunTime / 2 },
		"unknown": func(placement.Task) time.Duration { return 0 },
	} {
		t.Run(name, func(t *testing.T) {
			engine := withWorkers(placement.Options{Estimate: estimate}, 0, 13)
			sim := newSimulation(engine)
			small := newTask("", "small")
			small.Resources.Accelerators = 1
			var waited time.Duration
			for i := 0; waited == 0; i++ {
				small.RunTime = longest * time.Duration(1+i%4) / 4
				enqueueMany(t, engine, sim.now, 3, fmt.Sprint("small-", i), small)
				if i == 300 {
					gang := newTask("gang", "gang")
					gang.Resources.Accelerators = 4
					enqueueGang(t, engine, sim.now, 13, gang)
				}
				members := 0
				for _, d := range sim.step() {
					if d.Task.GangSize > 1 {
						members++
						waited = sim.now.Sub(start) - 300*10*time.Millisecond
					}
				}
				require.Contains(t, []int{0, 13}, members)
				require.Less(t, i, 2000)
			}
			t.Logf("waited %s, longest task %s", waited, longest)
			require.LessOrEqual(t, waited, 2*longest)
		})
	}
}

// Guards against small tasks that delay the planned start of a gang, and
// against workers that stay idle before it.
func TestBackfillBeforeGang(t *testing.T) {
	engine := withWorkers(placement.Options{}, 0, 1)
	running := newTask("running", "small")
	running.Resources.Accelerators, running.RunTime = 4, 10*time.Second
	gang, long, short := newTask("gang", "gang"), running, running
	gang.Resources.Accelerators = 4
	long.ID.Key, long.RunTime = "long", 11*time.Second
	short.ID.Key, short.RunTime = "short", 9*time.Second
	require.Nil(t, engine.Enqueue(start, running))
	require.Len(t, engine.Schedule(start, 10), 1)
	enqueueGang(t, engine, start, 2, gang)
	require.Empty(t, engine.Schedule(start, 10))
	require.NotNil(t, engine.Dump().GangPlan)
	require.Nil(t, engine.Enqueue(start, long))
	require.Nil(t, engine.Enqueue(start, short))
	decisions := engine.Schedule(start, 10)
	require.Len(t, decisions, 1)
	require.Equal(t, workload.Key("short"), decisions[0].Task.ID.Key)
}

// Guards against starting a part of a gang across several owners, against
// reservations that outlive their time, and against placing other tasks on
// reserved resources.
func TestReservations(t *testing.T) {
	for name, test := range map[string]struct {
		beforeConfirm func(*placement.Engine)
		confirmAfter  time.Duration
		tasks         int
		started       int
	}{
		"all":            {nil, 0, 8, 8},
		"fewer":          {nil, 0, 5, 5},
		"more":           {nil, 0, 9, 0},
		"expired":        {nil, time.Second, 8, 0},
		"released":       {func(e *placement.Engine) { e.ReleaseReservation("gang") }, 0, 8, 0},
		"worker removed": {func(e *placement.Engine) { e.RemoveWorker(start, "plain-000") }, 0, 8, 0},
		"worker leaving": {func(e *placement.Engine) { e.SetLeaving("plain-000", true) }, 0, 8, 0},
	} {
		t.Run(name, func(t *testing.T) {
			engine := withWorkers(placement.Options{}, 1, 0)
			gang := newTask("gang", "kind")
			gang.GangSize = 16
			require.Equal(t, 8, engine.Reserve(start, "gang", gang, 16, start.Add(time.Second)))
			enqueueMany(t, engine, start, 8, "other", newTask("", "kind"))
			require.Empty(t, engine.Schedule(start, 100))
			if test.beforeConfirm != nil {
				test.beforeConfirm(engine)
			}
			var tasks []placement.Task
			for i := range test.tasks {
				gang.ID.Index = i
				tasks = append(tasks, gang)
			}
			require.Len(t, engine.Confirm(start.Add(test.confirmAfter), "gang", tasks), test.started)
			if test.started > 0 {
				require.Len(t, engine.Schedule(start, 100), 8-test.started)
			}
		})
	}
}
