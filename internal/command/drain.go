package command

import (
	"context"
	"net/http"
	"strconv"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var drainVerb = Verb{
	Name:    "drain",
	Usage:   "Start a drain: one node stops accepting work and then stops.",
	Example: Program + " drain --operator 10.0.1.1:8081",
	New:     newDrain,
}

type drainFlags struct{ operatorFlags }

func newDrain() (any, Run) {
	flags := &drainFlags{}
	return flags, flags.run
}

func (f *drainFlags) run(ctx context.Context, environment *Environment) error {
	state, err := callOperator[operator.DrainState](ctx, &f.operatorFlags, http.MethodPost, "/drain", nil)
	if err != nil {
		return err
	}
	if f.JSON {
		return writeJSON(environment.Out, state)
	}
	writeTable(environment.Out, []string{"STATE", "OPEN REQUESTS", "SESSIONS", "HOMES"}, [][]string{{
		state.State, strconv.Itoa(state.OpenRequests), strconv.Itoa(state.Sessions), strconv.Itoa(state.Homes),
	}})
	return nil
}
