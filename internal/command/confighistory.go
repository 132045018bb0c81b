package command

import (
	"context"
	"fmt"
	"net/http"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var configHistoryVerb = Verb{
	Name:    "config history",
	Usage:   "List accepted and rejected changes, newest first.",
	Example: Program + " config history --limit 20",
	New:     newConfigHistory,
}

type configHistoryFlags struct {
	operatorFlags
	Limit int `help:"Most changes to list." default:"50"`
}

func newConfigHistory() (any, Run) {
	flags := &configHistoryFlags{}
	return flags, flags.run
}

func (f *configHistoryFlags) run(ctx context.Context, environment *Environment) error {
	history, err := call[operator.History](ctx, &f.operatorFlags, http.MethodGet, fmt.Sprintf("/config/history?limit=%d", f.Limit), nil)
	if err != nil {
		return err
	}
	if f.JSON {
		return writeJSON(environment.Out, history)
	}
	writeChanges(environment, history.Changes)
	return nil
}
