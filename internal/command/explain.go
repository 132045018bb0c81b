package command

import (
	"context"
	"fmt"
)

var explainVerb = Verb{
	Name:    "explain",
	Usage:   "Show why a request or job waited or waits.",
	Example: Program + " explain 01890a5d-ac96-774b-bcce-b302099a8057 --team ledger",
	New:     newExplain,
}

type explainFlags struct{ keyFlags }

func newExplain() (any, Run) {
	flags := &explainFlags{}
	return flags, flags.run
}

func (f *explainFlags) run(ctx context.Context, environment *Environment) error {
	query, err := f.query()
	if err != nil {
		return err
	}
	client, err := f.client()
	if err != nil {
		return err
	}
	defer client.Close()
	explanation, err := client.Explain(ctx, query)
	if err != nil {
		return f.explainFailure("", err)
	}
	if f.JSON {
		return writeJSON(environment.Out, explanation)
	}
	fmt.Fprintf(environment.Out, "%s\n\n", printable(explanation.Summary))
	rows := make([][]string, len(explanation.Steps))
	for i, step := range explanation.Steps {
		rows[i] = []string{step.At.UTC().Format("2006-01-02T15:04:05.000Z"), step.What, step.Detail}
	}
	writeTable(environment.Out, []string{"AT", "WHAT", "DETAIL"}, rows)
	return nil
}
