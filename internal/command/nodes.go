package command

import (
	"context"
	"net/http"
	"strconv"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var nodesVerb = Verb{
	Name:    "nodes",
	Usage:   "List the entry VMs and their states as one of them sees them.",
	Example: Program + " nodes --operator 10.0.1.1:8081",
	New:     newNodes,
}

type nodesFlags struct{ operatorFlags }

func newNodes() (any, Run) {
	flags := &nodesFlags{}
	return flags, flags.run
}

func (f *nodesFlags) run(ctx context.Context, environment *Environment) error {
	response, err := callOperator[operator.Nodes](ctx, &f.operatorFlags, http.MethodGet, "/nodes", nil)
	if err != nil {
		return err
	}
	if f.JSON {
		return writeJSON(environment.Out, response)
	}
	rows := make([][]string, len(response.Nodes))
	for i, node := range response.Nodes {
		rows[i] = []string{node.Name, node.State, node.Region, node.FailureDomain, node.CallerAddress.String(), strconv.Itoa(node.Sessions), strconv.Itoa(node.Homes), strconv.FormatInt(node.PolicyVersion, 10), formatMilliseconds(node.HeartbeatAgeMS)}
	}
	writeTable(environment.Out, []string{"NAME", "STATE", "REGION", "DOMAIN", "CALLERS", "SESSIONS", "HOMES", "POLICY", "HEARTBEAT"}, rows)
	return nil
}
