package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Use is the number of entries in a bounded table, and the bound.
type Use struct {
	Used  int `json:"used"`
	Bound int `json:"bound"`
}

// Dump is a snapshot of a node's control state.
type Dump struct {
	Name          string            `json:"name"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failure-domain"`
	At            time.Time         `json:"at"`
	Draining      bool              `json:"draining"`
	PolicyVersion uint64            `json:"policy-version"`
	LogUp         bool              `json:"log-up"`
	Members       membership.Dump   `json:"members"`
	Leases        tenure.Dump       `json:"leases"`
	Homes         []HomeDump        `json:"homes"`
	Workers       []WorkerDump      `json:"workers"`
	Owned         placement.Summary `json:"owned"`
	Submissions   Use               `json:"submissions"`
	OpenJobs      Use               `json:"open-jobs"`
	Fenced        Use               `json:"fenced-attempts"`
	Reservations  int               `json:"reservations"`
	HeldTasks     int               `json:"held-tasks"`
	Unacked       int               `json:"unacknowledged-results"`
	KeptResults   int               `json:"kept-results"`
}

// HomeDump is one range of which the node is the home.
type HomeDump struct {
	Region    string `json:"region"`
	Team      string `json:"team"`
	LeaseHeld bool   `json:"lease-held"`
	Recovered bool   `json:"recovered"`
	JobsKnown bool   `json:"jobs-known"`
	// Uncovered are the workers for which the recovery still waits.
	Uncovered    []string           `json:"uncovered-workers,omitempty"`
	Keys         Use                `json:"keys"`
	Unresolved   int                `json:"suspects"`
	Gangs        int                `json:"waiting-gangs"`
	Active       int                `json:"active"`
	Used         workload.Resources `json:"used"`
	RunningTasks int                `json:"running-tasks"`
	Queues       []QueueDump        `json:"queues"`
}

// QueueDump is the queue of one kind at a home.
type QueueDump struct {
	Kind           string  `json:"kind"`
	Waiting        Use     `json:"waiting"`
	StartsASecond  float64 `json:"starts-a-second"`
	ExpectedWaitMS int64   `json:"expected-wait-ms"`
	OldestMS       int64   `json:"oldest-ms"`
	WaitsFor       string  `json:"waits-for,omitempty"`
}

// WorkerDump is one worker as this node knows it.
type WorkerDump struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Rack          string `json:"rack"`
	Owner         string `json:"owner"`
	Token         uint64 `json:"token"`
	Owned         bool   `json:"owned-here"`
	Leaving       bool   `json:"leaving"`
	InList        bool   `json:"in-list"`
	Tasks         int    `json:"tasks"`
}

// Dump returns a snapshot of the whole control state, with sorted lists.
func (n *Node) Dump() Dump {
	dump := Dump{
		Name: n.options.Name, Region: n.options.Region, FailureDomain: n.options.FailureDomain, At: n.now,
		Draining: n.draining, PolicyVersion: n.policy.version, LogUp: n.log.Up,
		Members: n.members.Dump(), Leases: n.tenure.Dump(n.now), Owned: n.owner.engine.Summary(n.now),
		Submissions:  Use{len(n.front.byKey), maxOpenSubmissions},
		OpenJobs:     Use{len(n.jobs.open), maxOpenJobs},
		Fenced:       Use{len(n.owner.fenced), maxFencedTasks},
		Reservations: len(n.owner.reservations), HeldTasks: len(n.owner.tasks),
		Unacked: len(n.owner.unacknowledged), KeptResults: len(n.owner.keptResults),
	}
	for _, r := range n.sortedRanges() {
		dump.Homes = append(dump.Homes, n.dumpHome(n.homes[r]))
	}
	tasks := map[string]int{}
	for _, t := range n.owner.tasks {
		tasks[t.worker]++
	}
	for _, name := range n.workers.names {
		view := n.workers.byName[name]
		dump.Workers = append(dump.Workers, WorkerDump{
			Name: name, Region: view.entry.Region, FailureDomain: view.entry.FailureDomain, Rack: view.entry.Rack,
			Owner: view.owner, Token: view.token, Owned: n.owner.sessions[name] != nil, Leaving: view.entry.Leaving,
			InList: view.inList, Tasks: tasks[name],
		})
	}
	return dump
}

func (n *Node) dumpHome(h *home) HomeDump {
	dump := HomeDump{
		Region: h.homeRange.Region, Team: h.homeRange.Team, LeaseHeld: n.mayAct(h), Recovered: h.recovery.complete, JobsKnown: h.jobsKnown,
		Keys: Use{len(h.entries), maxEntriesPerHome}, Unresolved: len(h.unresolvedEntries), Gangs: len(h.gangs),
		Active: len(h.active), Used: h.used, RunningTasks: h.running,
	}
	for name := range h.recovery.uncovered {
		dump.Uncovered = append(dump.Uncovered, name)
	}
	slices.Sort(dump.Uncovered)
	for _, q := range h.queues {
		queue := QueueDump{
			Kind: q.name, Waiting: Use{q.length(), q.rule.QueueBound}, StartsASecond: q.startRate,
			ExpectedWaitMS: q.expectedWait(n.now).Milliseconds(),
		}
		if e := q.head(); e != nil {
			queue.OldestMS, queue.WaitsFor = n.now.Sub(e.acceptedAt).Milliseconds(), e.waiting
		}
		dump.Queues = append(dump.Queues, queue)
	}
	return dump
}
