package command

import (
	"context"
	"fmt"

	"yuccalanding.example/yuccalanding/internal/settings"
)

var settingsCheckVerb = Verb{
	Name:    "settings check",
	Usage:   "Check all settings of a node together and report every error.",
	Example: Program + " settings check /etc/yuccalanding",
	New:     newSettingsCheck,
}

type settingsCheckFlags struct {
	Path string `arg:"" help:"Settings file, or folder of *.ini files."`
}

func newSettingsCheck() (any, Run) {
	flags := &settingsCheckFlags{}
	return flags, flags.run
}

func (f *settingsCheckFlags) run(_ context.Context, environment *Environment) error {
	loaded, err := settings.Load(f.Path)
	if err != nil {
		return fmt.Errorf("the settings have errors; correct them and check again\n%w", err)
	}
	fmt.Fprintf(environment.Out, "%s: node %s in region %s, %d members, no findings\n", f.Path, loaded.Node.Name, loaded.Node.Region, len(loaded.Members))
	return nil
}
