package command

import (
	"context"
	"fmt"
)

var explainVerb = Verb{
	Name:    "explain",
	Usage:   "Show why a request or job waited or is waiting.",
	Example: Program + " explain 01890a5d-ac96-774b-bcce-b302099a8057 --team ledger",
	New:     newKeyVerb(false, explain),
}

func explain(ctx context.Context, call keyCall) error {
	explanation, err := call.client.Explain(ctx, call.query)
	if err != nil {
		return err
	}
	if call.asJSON {
		return writeJSON(call.environment.Out, explanation)
	}
	fmt.Fprintf(call.environment.Out, "%s\n\n", printable(explanation.Summary))
	rows := make([][]string, len(explanation.Steps))
	for i, step := range explanation.Steps {
		rows[i] = []string{step.At.UTC().Format("2006-01-02T15:04:05.000Z"), step.What, step.Detail}
	}
	writeTable(call.environment.Out, []string{"AT", "WHAT", "DETAIL"}, rows)
	return nil
}
