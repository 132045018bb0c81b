package placement

import (
	"slices"
	"time"
)

// TableDump is the current size of a table and its upper bound, in entries.
type TableDump struct {
	Name  string `json:"name"`
	Used  int    `json:"used"`
	Bound int    `json:"bound"`
}

// KindDump is the state of one kind of work. Shares are fractions of the
// scarcest resource of the engine's workers, from 0 to 1.
type KindDump struct {
	Name       string  `json:"name"`
	Waiting    int     `json:"waiting"`
	Bound      int     `json:"bound"`
	Running    int     `json:"running"`
	Share      float64 `json:"share"`
	Guaranteed float64 `json:"guaranteed"`
	Ceiling    float64 `json:"ceiling"`
}

// TeamDump is the state of one team. Load is its dominant share divided by its
// weight.
type TeamDump struct {
	Name    string  `json:"name"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Weight  float64 `json:"weight"`
	Load    float64 `json:"load"`
}

// WorkerDump is the free resources and the state of one worker.
type WorkerDump struct {
	Name             string `json:"name"`
	FreeMilliCPU     int64  `json:"free-milli-cpu"`
	FreeMemoryMB     int64  `json:"free-memory-mb"`
	FreeAccelerators int64  `json:"free-accelerators"`
	FreeSlots        int64  `json:"free-slots"`
	FreeConnections  int64  `json:"free-connections"`
	Running          int    `json:"running"`
	Leaving          bool   `json:"leaving"`
	InGangPlan       bool   `json:"held"`
	ClaimedBy        string `json:"claimed-by,omitempty"`
}

// GangPlanDump is the planned start of the oldest gang that could run, and the
// number of workers kept for it.
type GangPlanDump struct {
	Key     string    `json:"key"`
	Start   time.Time `json:"start"`
	Workers int       `json:"workers"`
}

// Dump is the state of the engine, for operators.
type Dump struct {
	Tables   []TableDump   `json:"tables"`
	Kinds    []KindDump    `json:"kinds"`
	Teams    []TeamDump    `json:"teams"`
	Workers  []WorkerDump  `json:"workers"`
	GangPlan *GangPlanDump `json:"hold,omitempty"`
}

// Dump returns the state of the engine. Kinds, teams and workers are sorted by
// name.
func (e *Engine) Dump() Dump {
	dump := Dump{Tables: e.dumpTables()}
	for _, k := range e.kinds {
		bound := k.policy.QueueBound
		if bound <= 0 {
			bound = DefaultQueueBound
		}
		dump.Kinds = append(dump.Kinds, KindDump{k.policy.Name, k.waiting, bound, k.running, k.share, k.guaranteed, k.ceiling})
	}
	for _, t := range e.teams {
		dump.Teams = append(dump.Teams, TeamDump{t.name, t.waiting, t.running, t.weight, t.weightedShare})
	}
	slices.SortFunc(dump.Teams, func(a, b TeamDump) int { return compareNames(a.Name, b.Name) })
	for _, w := range e.workers {
		dump.Workers = append(dump.Workers, dumpWorker(w))
	}
	slices.SortFunc(dump.Workers, func(a, b WorkerDump) int { return compareNames(a.Name, b.Name) })
	if plan := e.gangPlan; plan != nil {
		dump.GangPlan = &GangPlanDump{Key: string(plan.gang.key.key), Start: plan.start, Workers: len(plan.workers)}
	}
	return dump
}

func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func dumpWorker(w *workerState) WorkerDump {
	dump := WorkerDump{w.worker.Name, w.free[dimCPU], w.free[dimMemory], w.free[dimAccelerators], w.free[dimSlots],
		w.free[dimConnections], len(w.running), w.leaving, w.gangPlan != nil, ""}
	if w.claim != nil {
		dump.ClaimedBy = w.claim.shapeQueue.teamQueue.kind.policy.Name
	}
	return dump
}

func (e *Engine) dumpTables() []TableDump {
	running, slots := 0, 0
	for _, w := range e.index.leaves {
		running += len(w.running)
		slots += w.worker.Slots
	}
	return []TableDump{
		{"waiting", len(e.waiting), MaxWaiting},
		{"running", running, slots},
		{"workers", len(e.workers), MaxWorkers},
		{"kinds", len(e.kinds), MaxKinds},
		{"teams", len(e.teams), MaxTeams},
		{"shapes", len(e.shapes.list), MaxShapes},
		{"gangs", len(e.gangs), MaxWaiting},
		{"reservations", len(e.reservations), MaxReservations},
		{"claims", len(e.claims), MaxClaims},
		{"reused-entries", len(e.entryPool.free), MaxPooled},
		{"reused-running", len(e.allocationPool.free), MaxPooled},
	}
}
