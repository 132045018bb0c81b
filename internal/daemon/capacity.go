package daemon

import (
	"context"
	"os"

	"yuccalanding.example/yuccalanding/internal/capacity"
	"yuccalanding.example/yuccalanding/internal/command"
)

const capacityPageMode = 0o644

var capacityVerb = command.Verb{
	Name:    "capacity",
	Usage:   "Measure the resource use of a node and update the tables of the capacity page.",
	Example: command.Program + " capacity docs/CAPACITY.md",
	New: func() (any, command.Run) {
		flags := &capacityFlags{}
		return flags, flags.run
	},
}

type capacityFlags struct {
	Page string `arg:"" help:"Page whose generated tables are replaced."`
}

func (f *capacityFlags) run(ctx context.Context, environment *command.Environment) error {
	page, err := os.ReadFile(f.Page)
	if err != nil {
		return &command.UsageError{Message: err.Error()}
	}
	environment.Progress("Measuring; this takes about two minutes.")
	measurement, err := capacity.Measure(ctx, capacity.FullPlan())
	if err != nil {
		return err
	}
	updated, err := capacity.Update(string(page), measurement.Tables())
	if err != nil {
		return err
	}
	return os.WriteFile(f.Page, []byte(updated), capacityPageMode)
}
