package command

import (
	"context"
)

var waitVerb = Verb{
	Name:    "wait",
	Usage:   "Wait for the answer of a request or job and write it.",
	Example: Program + " wait 01890a5d-ac96-774b-bcce-b302099a8057 --team ledger",
	New:     newWait,
}

type waitFlags struct{ keyFlags }

func newWait() (any, Run) {
	flags := &waitFlags{}
	return flags, flags.run
}

func (f *waitFlags) run(ctx context.Context, environment *Environment) error {
	query, err := f.query()
	if err != nil {
		return err
	}
	client, err := f.client()
	if err != nil {
		return err
	}
	defer client.Close()
	environment.Progress("Waiting for %s.", query.Key)
	answer, err := client.Wait(ctx, query)
	if err != nil {
		return f.explainFailure(query.Key, err)
	}
	return writeAnswer(environment, answer, f.JSON)
}
