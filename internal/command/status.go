package command

import (
	"context"

	"strconv"

	"yuccalanding.example/yuccalanding/pkg/caller"
)

var statusVerb = Verb{
	Name:    "status",
	Usage:   "Show where a request or job is.",
	Example: Program + " status 01890a5d-ac96-774b-bcce-b302099a8057 --team ledger",
	New:     newStatus,
}

type statusFlags struct{ keyFlags }

func newStatus() (any, Run) {
	flags := &statusFlags{}
	return flags, flags.run
}

func (f *statusFlags) run(ctx context.Context, environment *Environment) error {
	query, err := f.query()
	if err != nil {
		return err
	}
	client, err := f.client()
	if err != nil {
		return err
	}
	defer client.Close()
	status, err := client.Status(ctx, query)
	if err != nil {
		return f.explainFailure("", err)
	}
	return writeStatus(environment, status, f.JSON)
}

func writeStatus(environment *Environment, status caller.Status, asJSON bool) error {
	if asJSON {
		return writeJSON(environment.Out, status)
	}
	writeTable(environment.Out, []string{"KEY", "TEAM", "KIND", "STATE", "SINCE", "ATTEMPT", "WORKER"}, [][]string{{
		string(status.Key), status.Team, status.Kind, string(status.State), instant(status.Since), strconv.Itoa(status.Attempt), status.Worker,
	}})
	return nil
}
