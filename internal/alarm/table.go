package alarm

import (
	"fmt"
	"strings"
	"time"
)

// Condition describes a condition for which an alarm can be raised.
type Condition struct {
	// Name is in kebab case and the first part of the identity of an alarm.
	Name string
	// Description says what is observed.
	Description string
	// Remedy is what the system does automatically; when the alarm is raised, it
	// has not helped.
	Remedy string
	// RaiseAfter is how long the condition holds before the alarm is raised;
	// ClearAfter is how long it is absent before the alarm is cleared.
	RaiseAfter, ClearAfter time.Duration
	// Affected says whose work is affected, Action what an operator has to do.
	Affected, Action string
}

// The conditions. After a change, regenerate docs/alarms.md with
// "go test ./internal/alarm -update".
var (
	LogDown = define(Condition{
		Name: "log-down", Description: "Appends to the log fail and durable jobs are held until they succeed.",
		Remedy: "Appends are retried with back-off; requests that need no log still run.", RaiseAfter: 10 * time.Minute, ClearAfter: time.Minute,
		Affected: "Teams with durable jobs, and operators who change the configuration.",
		Action:   "Restore the log service that the settings name in section [platform]; held jobs then continue automatically.",
	})
	WorkersWithoutOwner = define(Condition{
		Name: "workers-without-owner", Description: "The live nodes of a region hold sessions with fewer workers than the VM list has for the region.",
		Remedy: "Nodes take over the workers of lost nodes and retry refused sessions.", RaiseAfter: 2 * time.Minute, ClearAfter: 30 * time.Second,
		Affected: "All teams of the region: the workers get no new work.",
		Action:   "Find the workers with the command workers, and repair these VMs or their network, or remove them from the VM list.",
	})
	RegionLost = define(Condition{
		Name: "region-lost", Description: "No heartbeat arrives from any node of a region.",
		Remedy: "Each region continues to work by itself; connections are retried every second.", RaiseAfter: 10 * time.Minute, ClearAfter: time.Minute,
		Affected: "Teams with work in the region, and durable jobs of the regions that can't reach the log.",
		Action:   "Find out whether the region's nodes or the link between the regions are down, and restore them; start replacement nodes if the VMs are gone.",
	})
	RangeWithoutHome = define(Condition{
		Name: "range-without-home", Description: "The node that should be the home of a range can't get its home lease.",
		Remedy: "The node requests the lease again until the owners of more than two thirds of the region's workers grant it.", RaiseAfter: time.Minute, ClearAfter: 15 * time.Second,
		Affected: "The teams in the detail: their requests are refused and don't run.",
		Action:   "Restore the connections between the region's nodes and workers until more than two thirds of its workers have an owner.",
	})
	QuarantineBound = define(Condition{
		Name: "quarantine-bound", Description: "The number of workers in quarantine has reached the limit of the configuration.",
		Remedy: "Probe tasks return a worker to service when they succeed.", RaiseAfter: 10 * time.Minute, ClearAfter: 5 * time.Minute,
		Affected: "All teams of the region: further faulty workers stay in service.",
		Action:   "Inspect the VMs in the detail; replace them, or raise quarantined-share in section [limits].",
	})
	ClassBlamed = define(Condition{
		Name: "class-blamed", Description: "A class of work was repeatedly found to fail on every worker.",
		Remedy: "Work of the class is not retried, and its failures don't count against workers.", RaiseAfter: 15 * time.Minute, ClearAfter: 15 * time.Minute,
		Affected: "The team that submits the class.", Action: "Tell the team to correct the work of the class or to stop submitting it.",
	})
	OutcomeUnknown = define(Condition{
		Name: "outcome-unknown", Description: "Non-idempotent requests were answered with may-have-run, because it is not known whether they ran.",
		Remedy: "Every worker of the region was checked or its leases have expired, and none showed the requests.", RaiseAfter: time.Minute, ClearAfter: 15 * time.Minute,
		Affected: "The callers of the requests in the detail.", Action: "Check in the team's own records whether each request in the detail took effect, and submit those that didn't again with new keys.",
	})
	NodeFenced = define(Condition{
		Name: "node-fenced", Description: "A node has closed its worker sessions because it reaches less than half of its region's nodes.",
		Remedy: "The other nodes take over its workers; the node gets workers again when heartbeats of the other nodes arrive.", RaiseAfter: 2 * time.Minute, ClearAfter: 30 * time.Second,
		Affected: "Callers of this node.", Action: "Restore the node's network to the other nodes of its region, or replace the node.",
	})
	PolicyBehind = define(Condition{
		Name: "policy-behind", Description: "A live node has an older configuration version than another live node.",
		Remedy: "The node reads the log and asks its peers for a copy every second.", RaiseAfter: time.Minute, ClearAfter: 15 * time.Second,
		Affected: "Teams whose work the node schedules with the older version.", Action: "Compare the program versions of the nodes, then drain and restart the node.",
	})
	PolicyIncomplete = define(Condition{
		Name: "policy-incomplete", Description: "Retention removed records of the log before a node read them, and neither the log nor a peer has a snapshot that includes them.",
		Remedy: "The node asks its peers for a copy every second and looks for a snapshot in the log.", RaiseAfter: 2 * time.Minute, ClearAfter: 15 * time.Second,
		Affected: "Operators: no change of the configuration is accepted on the node.",
		Action:   "If other nodes don't have this alarm, drain and restart the node; if all have it, run config recover on the node with the newest version, and then apply the folder.",
	})
	PolicyDiffers = define(Condition{
		Name: "policy-differs", Description: "Two live nodes have different configurations with the same version number.",
		Remedy: "None: all nodes replay the same log by the same rules, so one of them has a fault.", RaiseAfter: 10 * time.Second, ClearAfter: 15 * time.Second,
		Affected: "All teams.", Action: "Compare the program versions of the nodes, write a dump of each, and replace the node that differs from the majority.",
	})
	VMListStale = define(Condition{
		Name: "vm-list-stale", Description: "The VM list could not be read for a minute.",
		Remedy: "The list is polled every second, and the last list that was read stays in use.", RaiseAfter: 5 * time.Minute, ClearAfter: 30 * time.Second,
		Affected: "All teams: new workers are not used, and nodes learn that a worker is leaving only from the worker itself.",
		Action:   "Restore the VM list service that the settings name in section [platform].",
	})
)

// table holds all conditions in the order of declaration.
var table []*Condition

func define(condition Condition) *Condition {
	table = append(table, &condition)
	return &condition
}

// Table returns all conditions in the order of declaration.
func Table() []*Condition { return append([]*Condition(nil), table...) }

// Markdown returns the table as the content of docs/alarms.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Alarms\n\nGenerated from `internal/alarm/table.go` by `go test ./internal/alarm -update`.\n\n" +
		"An alarm is raised only if the automatic remedies have failed, its condition has held without interruption\n" +
		"for the stated time, and an operator has to act. Its identity is `name/subject`, the same on every node\n" +
		"that observes it. `yuccalanding alarms` lists the alarms of one node.\n")
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
