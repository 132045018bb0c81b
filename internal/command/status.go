package command

import (
	"context"
	"strconv"

	"yuccalanding.example/yuccalanding/pkg/caller"
)

var statusVerb = Verb{
	Name:    "status",
	Usage:   "Show the state of a request or job.",
	Example: Program + " status 01890a5d-ac96-774b-bcce-b302099a8057 --team ledger",
	New:     newKeyVerb(false, status),
}

func status(ctx context.Context, call keyCall) error {
	status, err := call.client.Status(ctx, call.query)
	if err != nil {
		return err
	}
	return writeStatus(call.environment, status, call.asJSON)
}

// writeStatus writes a status as a table, or as JSON.
func writeStatus(environment *Environment, status caller.Status, asJSON bool) error {
	if asJSON {
		return writeJSON(environment.Out, status)
	}
	writeTable(environment.Out, []string{"KEY", "TEAM", "KIND", "STATE", "SINCE", "ATTEMPT", "WORKER"}, [][]string{{
		string(status.Key), status.Team, status.Kind, string(status.State), formatTime(status.Since), strconv.Itoa(status.Attempt), status.Worker,
	}})
	return nil
}
