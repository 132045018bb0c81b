package daemon

import (
	"context"
	"errors"
	"os"
	"strings"

	"yuccalanding.example/yuccalanding/internal/command"
	"yuccalanding.example/yuccalanding/internal/demo"
)

var demoVerb = command.Verb{
	Name:    "demo",
	Usage:   "Run both example deployments with overloads and node failures in this process, and print the measurements.",
	Example: command.Program + " demo --json",
	New: func() (any, command.Run) {
		flags := &demoFlags{}
		return flags, flags.run
	},
}

type demoFlags struct {
	JSON     bool   `name:"json" help:"Write one JSON object."`
	Examples string `help:"Folder of the example configurations." default:"examples" placeholder:"FOLDER"`
	Log      string `help:"Write the nodes' events to a file." placeholder:"FILE"`
}

func (f *demoFlags) run(ctx context.Context, environment *command.Environment) (err error) {
	options := demo.Options{Deployments: demo.Deployments(), Examples: f.Examples, Progress: environment.Progress}
	if f.Log != "" {
		file, err := os.Create(f.Log)
		if err != nil {
			return err
		}
		defer file.Close()
		options.Log = file
	}
	result, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if f.JSON {
		err = writeJSON(environment.Out, result)
	} else {
		err = result.WriteText(environment.Out)
	}
	if err == nil && !result.Passed {
		return errors.New(strings.Join(result.Faults, "; "))
	}
	return err
}
