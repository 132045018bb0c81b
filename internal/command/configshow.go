package command

import (
	"context"
	"fmt"
	"net/http"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var configShowVerb = Verb{
	Name:    "config show",
	Usage:   "Show the configuration in force or an older version as INI.",
	Example: Program + " config show --version 17",
	New:     newConfigShow,
}

type configShowFlags struct {
	operatorFlags
	Version int64 `help:"Version to show; 0 is the version in force."`
}

func newConfigShow() (any, Run) {
	flags := &configShowFlags{}
	return flags, flags.run
}

func (f *configShowFlags) run(ctx context.Context, environment *Environment) error {
	config, err := callOperator[operator.Config](ctx, &f.operatorFlags, http.MethodGet, fmt.Sprintf("/config?version=%d", f.Version), nil)
	if err != nil {
		return err
	}
	return writeConfig(environment, config, f.JSON)
}

// writeConfig writes a version of the configuration as INI, or as JSON.
func writeConfig(environment *Environment, config operator.Config, asJSON bool) error {
	if asJSON {
		return writeJSON(environment.Out, config)
	}
	accepted := ""
	if !config.AcceptedAt.IsZero() {
		accepted = ", accepted " + formatTime(config.AcceptedAt)
	}
	fmt.Fprintf(environment.Out, "# version %d, digest %s%s\n", config.Version, config.Digest, accepted)
	for _, section := range config.Sections {
		fmt.Fprintf(environment.Out, "\n[%s]\n", section.Name)
		for _, setting := range section.Settings {
			fmt.Fprintf(environment.Out, "%s = %s\n", setting.Key, setting.Value)
		}
	}
	return nil
}
