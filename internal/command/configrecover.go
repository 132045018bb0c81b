package command

import (
	"context"
	"net/http"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var configRecoverVerb = Verb{
	Name:    "config recover",
	Usage:   "Start a new configuration history from the version in force, after the log has lost records that no node had read.",
	Example: Program + " config recover --reason \"the log lost a day of records\" --operator 10.0.1.1:8081",
	New:     newConfigRecover,
}

type configRecoverFlags struct {
	operatorFlags
	Reason string `help:"Why the recovery is needed, for the event log." required:""`
}

func newConfigRecover() (any, Run) {
	flags := &configRecoverFlags{}
	return flags, flags.run
}

func (f *configRecoverFlags) run(ctx context.Context, environment *Environment) error {
	config, err := callOperator[operator.Config](ctx, &f.operatorFlags, http.MethodPost, "/config/recover", operator.RecoverRequest{Reason: f.Reason})
	if err != nil {
		return err
	}
	return writeConfig(environment, config, f.JSON)
}
