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

// View is the dump plus the state that alarms and operators need.
type View struct {
	Dump
	// Isolated is set while this node has closed its sessions because it
	// reaches less than half of the members of its region.
	Isolated     bool   `json:"isolated"`
	PolicyDigest uint64 `json:"policy-digest"`
	// HeldJobs counts durable jobs, and ends of durable jobs, whose log record
	// has not been read back yet.
	HeldJobs   int                    `json:"held-jobs"`
	Engine     placement.Dump         `json:"engine"`
	Capacities map[string]OwnedWorker `json:"capacities"`
}

// View returns a snapshot of the control state. It must be called on the
// control thread.
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
