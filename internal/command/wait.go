package command

import "context"

var waitVerb = Verb{
	Name:    "wait",
	Usage:   "Wait for the answer of a request or job and print it.",
	Example: Program + " wait 01890a5d-ac96-774b-bcce-b302099a8057 --team ledger",
	New:     newKeyVerb(true, wait),
}

func wait(ctx context.Context, call keyCall) error {
	call.environment.Progress("Waiting for %s.", call.query.Key)
	answer, err := call.client.Wait(ctx, call.query)
	if err != nil {
		return err
	}
	return writeAnswer(call.environment, answer, call.asJSON)
}
