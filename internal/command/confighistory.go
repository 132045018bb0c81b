package command

import (
	"context"
	"fmt"
	"net/http"
	"slices"

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
	Limit    int    `help:"Maximum number of changes to list." default:"50"`
	Identity string `help:"Show only the change with this identity, as config apply reports it." placeholder:"IDENTITY"`
}

func newConfigHistory() (any, Run) {
	flags := &configHistoryFlags{}
	return flags, flags.run
}

func (f *configHistoryFlags) run(ctx context.Context, environment *Environment) error {
	if f.Identity != "" {
		f.Limit = operator.MaxHistoryLimit
	}
	history, err := callOperator[operator.History](ctx, &f.operatorFlags, http.MethodGet, fmt.Sprintf("/config/history?limit=%d", f.Limit), nil)
	if err != nil {
		return err
	}
	if f.Identity != "" {
		history.Changes = slices.DeleteFunc(history.Changes, func(change operator.Change) bool { return change.Identity != f.Identity })
		if len(history.Changes) == 0 {
			return fmt.Errorf("%s has no change %s: it has not been accepted so far; if the log was down or slow, check again once it is up", f.Operator, f.Identity)
		}
	}
	if f.JSON {
		return writeJSON(environment.Out, history)
	}
	writeChanges(environment, history.Changes)
	return nil
}
