package command

import (
	"context"
	"net/http"
)

var dumpVerb = Verb{
	Name:    "dump",
	Usage:   "Write the internal state of a node as JSON.",
	Example: Program + " dump --operator 10.0.1.1:8081 > entry-1.json",
	New:     newDump,
}

type dumpFlags struct{ operatorFlags }

func newDump() (any, Run) {
	flags := &dumpFlags{}
	return flags, flags.run
}

func (f *dumpFlags) run(ctx context.Context, environment *Environment) error {
	content, err := f.send(ctx, http.MethodGet, "/dump", nil)
	if err != nil {
		return err
	}
	_, err = environment.Out.Write(content)
	return err
}
