package command

import (
	"context"
	"fmt"
	"net/http"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var configDiffVerb = Verb{
	Name:    "config diff",
	Usage:   "Show how a folder differs from the configuration in force.",
	Example: Program + " config diff policy/",
	New:     newConfigDiff,
}

type configDiffFlags struct {
	operatorFlags
	Folder string `arg:"" help:"Folder of *.ini files."`
}

func newConfigDiff() (any, Run) {
	flags := &configDiffFlags{}
	return flags, flags.run
}

func (f *configDiffFlags) run(ctx context.Context, environment *Environment) error {
	folder, err := readFolder(f.Folder)
	if err != nil {
		return err
	}
	diff, err := callOperator[operator.Diff](ctx, &f.operatorFlags, http.MethodPost, "/config/diff", folder)
	if err != nil {
		return err
	}
	if f.JSON {
		return writeJSON(environment.Out, diff)
	}
	fmt.Fprintf(environment.Out, "# against version %d\n", diff.AgainstVersion)
	for _, section := range diff.Sections {
		fmt.Fprintf(environment.Out, "\n[%s]\n", section.Name)
		for _, setting := range section.Settings {
			if setting.Old != nil {
				fmt.Fprintf(environment.Out, "- %s = %s\n", setting.Key, *setting.Old)
			}
			if setting.New != nil {
				fmt.Fprintf(environment.Out, "+ %s = %s\n", setting.Key, *setting.New)
			}
		}
	}
	return nil
}
