package command

import (
	"context"
)

var cancelVerb = Verb{
	Name:    "cancel",
	Usage:   "Cancel a request or job and show its state.",
	Example: Program + " cancel 01890a5d-ac96-774b-bcce-b302099a8057 --team ledger",
	New:     newCancel,
}

type cancelFlags struct{ keyFlags }

func newCancel() (any, Run) {
	flags := &cancelFlags{}
	return flags, flags.run
}

func (f *cancelFlags) run(ctx context.Context, environment *Environment) error {
	query, err := f.query()
	if err != nil {
		return err
	}
	client, err := f.client()
	if err != nil {
		return err
	}
	defer client.Close()
	status, err := client.Cancel(ctx, query)
	if err != nil {
		return f.explainFailure(query.Key, err)
	}
	return writeStatus(environment, status, f.JSON)
}
