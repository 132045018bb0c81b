package alarm

import (
	"fmt"
	"strings"
	"time"
)

// Condition is one row of the table of alarms.
type Condition struct {
	Name string
	// Description says what is observed.
	Description string
	// Remedy is what the system does by itself, and has done in vain.
	Remedy string
	// RaiseAfter is how long the condition lasts before the alarm is raised, ClearAfter how
	// long it is gone before the alarm is cleared.
	RaiseAfter, ClearAfter time.Duration
	// Affected says whose work suffers, Action what a person has to do.
	Affected, Action string
}

// The conditions. A condition is added as one row here; docs/alarms.md is
// regenerated with "go test ./internal/alarm -update".
var (
	LogDown = add(Condition{
		Name: "log-down", Description: "The log takes no appends and durable jobs are held for it.",
		Remedy: "Appends are retried with back-off; requests run without the log.", RaiseAfter: 10 * time.Minute, ClearAfter: time.Minute,
		Affected: "Teams with durable jobs, and operators who change the configuration.",
		Action:   "Restore the log service that the settings name in section [platform]; held jobs then go on by themselves.",
	})
	WorkersWithoutOwner = add(Condition{
		Name: "workers-without-owner", Description: "The live nodes of a region hold sessions with fewer workers than the VM list has, although nodes are live.",
		Remedy: "Every node takes over the workers of lost members and retries refused sessions.", RaiseAfter: 2 * time.Minute, ClearAfter: 30 * time.Second,
		Affected: "All teams of the region: the workers run nothing new.",
		Action:   "Find the workers with the command workers, and repair these VMs or their network, or take them off the VM list.",
	})
	RegionLost = add(Condition{
		Name: "region-lost", Description: "No node of a region has been heard.",
		Remedy: "Both sides go on by themselves; connections are tried again every second.", RaiseAfter: 10 * time.Minute, ClearAfter: time.Minute,
		Affected: "Teams with work in the region, and durable jobs of the side without the log.",
		Action:   "Find out whether the region's nodes or the link between the regions are down, and restore them; start replacement nodes if the VMs are gone.",
	})
	RangeWithoutHome = add(Condition{
		Name: "range-without-home", Description: "The node that has to be the home of a range gets no lease.",
		Remedy: "The lease is requested again until owners of more than two thirds of the region's workers promise it.", RaiseAfter: time.Minute, ClearAfter: 15 * time.Second,
		Affected: "The teams in the detail: their requests are refused as not run.",
		Action:   "Restore the connections between the region's nodes and workers until more than two thirds of its workers have an owner.",
	})
	QuarantineBound = add(Condition{
		Name: "quarantine-bound", Description: "As many workers are in quarantine as the configuration allows.",
		Remedy: "Probes return a worker to service once it works.", RaiseAfter: 10 * time.Minute, ClearAfter: 5 * time.Minute,
		Affected: "All teams of the region: further bad workers stay in service.",
		Action:   "Inspect the VMs in the detail; replace them, or raise quarantined-share in section [limits].",
	})
	ClassBlamed = add(Condition{
		Name: "class-blamed", Description: "A class of work has been found again and again to fail on every worker.",
		Remedy: "Its retries end, and its failures don't count against workers.", RaiseAfter: 15 * time.Minute, ClearAfter: 15 * time.Minute,
		Affected: "The team that submits the class.", Action: "Tell the team to correct the work of the class or to stop submitting it.",
	})
	OutcomeUnknown = add(Condition{
		Name: "outcome-unknown", Description: "Non-idempotent requests were answered may-have-run, because there is no proof either way.",
		Remedy: "Every worker of the region was listed or its leases have run out, and none has shown the requests.", RaiseAfter: time.Minute, ClearAfter: 15 * time.Minute,
		Affected: "The callers of the requests in the detail.", Action: "Look up at the team's own records whether each request in the detail took effect, and submit those that didn't with new keys.",
	})
	NodeFenced = add(Condition{
		Name: "node-fenced", Description: "A node has given up its workers because it works with less than half of its region's members.",
		Remedy: "The other nodes take its workers over; it comes back once it hears them.", RaiseAfter: 2 * time.Minute, ClearAfter: 30 * time.Second,
		Affected: "Callers of this node.", Action: "Restore the node's network to the other nodes of its region, or replace the node.",
	})
	PolicyBehind = add(Condition{
		Name: "policy-behind", Description: "A live node has an older version of the configuration than another one.",
		Remedy: "It follows the log and asks peers for a copy every second.", RaiseAfter: time.Minute, ClearAfter: 15 * time.Second,
		Affected: "Teams whose work the node places by the older version.", Action: "Compare the program versions of the nodes, then drain and restart the node.",
	})
	PolicyIncomplete = add(Condition{
		Name: "policy-incomplete", Description: "The log dropped records before a node read them, and neither the log nor a peer has a snapshot that includes them.",
		Remedy: "The node asks its peers for a copy every second and looks for a snapshot in the log.", RaiseAfter: 2 * time.Minute, ClearAfter: 15 * time.Second,
		Affected: "Operators: no change of the configuration is accepted on the node.",
		Action:   "If other nodes don't have this alarm, drain and restart the node; if all have it, run config recover on the node with the newest version, and then apply the folder.",
	})
	PolicyDiffers = add(Condition{
		Name: "policy-differs", Description: "Two live nodes have different contents under one version of the configuration.",
		Remedy: "None: the nodes replay the same rule, so that one of them has a fault.", RaiseAfter: 10 * time.Second, ClearAfter: 15 * time.Second,
		Affected: "All teams.", Action: "Compare the program versions of the nodes, write a dump of each, and replace the node that differs from the most.",
	})
	VMListStale = add(Condition{
		Name: "vm-list-stale", Description: "The VM list could not be read for a minute.",
		Remedy: "It is polled every second, and the last list stays in use.", RaiseAfter: 5 * time.Minute, ClearAfter: 30 * time.Second,
		Affected: "All teams: new workers are not used, and leaving ones are known from the workers only.",
		Action:   "Restore the VM list service that the settings name in section [platform].",
	})
)

// table holds every condition in the order above.
var table []*Condition

func add(condition Condition) *Condition {
	table = append(table, &condition)
	return &condition
}

// Table returns all conditions.
func Table() []*Condition { return append([]*Condition(nil), table...) }

// Markdown returns the table as the page docs/alarms.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Alarms\n\nGenerated from `internal/alarm/table.go` by `go test ./internal/alarm -update`.\n\n" +
		"An alarm exists only when the system's own remedies are exhausted, its condition has held for the stated\n" +
		"time without a break, and a person has to do something. Its identity is `name/subject`, the same on every\n" +
		"node that sees it. `yuccalanding alarms` lists the alarms of one node.\n")
	for _, condition := range table {
		fmt.Fprintf(&page, "\n## %s\n\n%s\n\n", condition.Name, condition.Description)
		for _, row := range [][2]string{
			{"What to do", condition.Action},
			{"Who is affected", condition.Affected},
			{"What the system has tried", condition.Remedy},
			{"Raised after", condition.RaiseAfter.String()},
			{"Cleared after", condition.ClearAfter.String()},
		} {
			fmt.Fprintf(&page, "- %s: %s\n", row[0], row[1])
		}
	}
	return page.String()
}
