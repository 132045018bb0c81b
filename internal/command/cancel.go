package command

import "context"

var cancelVerb = Verb{
	Name:    "cancel",
	Usage:   "Cancel a request or job and show its state.",
	Example: Program + " cancel 01890a5d-ac96-774b-bcce-b302099a8057 --team ledger",
	New:     newKeyVerb(true, cancel),
}

func cancel(ctx context.Context, call keyCall) error {
	status, err := call.client.Cancel(ctx, call.query)
	if err != nil {
		return err
	}
	return writeStatus(call.environment, status, call.asJSON)
}
