package control

import (
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// OwnedWorker is the capacity of a worker whose session this node holds.
type OwnedWorker struct {
	Capacity    workload.Resources `json:"capacity"`
	Slots       int                `json:"slots"`
	Connections int                `json:"connections"`
}

// View is the dump with what alarms and operators need beyond it.
type View struct {
	Dump
	// Isolated is set while this node has given its sessions up because it works
	// with less than half of its region.
	Isolated     bool   `json:"isolated"`
	PolicyDigest uint64 `json:"policy-digest"`
	// HeldJobs are durable jobs, and ends of jobs, that wait for the log.
	HeldJobs   int                    `json:"held-jobs"`
	Engine     placement.Dump         `json:"engine"`
	Capacities map[string]OwnedWorker `json:"capacities"`
}

// View returns the control state at one instant. It is called on the control
// thread.
func (n *Node) View() View {
	view := View{
		Dump: n.Dump(), Isolated: n.members.isolated, PolicyDigest: n.policy.digest, HeldJobs: len(n.jobs.pendingRecords),
		Engine:     n.owner.engine.Dump(),
		Capacities: make(map[string]OwnedWorker, len(n.owner.sessions)),
	}
	for name, s := range n.owner.sessions {
		view.Capacities[name] = OwnedWorker{Capacity: s.worker.Capacity, Slots: s.worker.Slots, Connections: s.worker.Connections}
	}
	return view
}
