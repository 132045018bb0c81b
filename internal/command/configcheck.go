package command

import (
	"context"
	"fmt"
	"net/http"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var configCheckVerb = Verb{
	Name:    "config check",
	Usage:   "Check all files of a configuration folder together and report every error.",
	Example: Program + " config check policy/",
	New:     newConfigCheck,
}

type configCheckFlags struct {
	operatorFlags
	Folder string `arg:"" help:"Folder of *.ini files."`
}

func newConfigCheck() (any, Run) {
	flags := &configCheckFlags{}
	return flags, flags.run
}

func (f *configCheckFlags) run(ctx context.Context, environment *Environment) error {
	folder, err := readFolder(f.Folder)
	if err != nil {
		return err
	}
	var findings operator.Findings
	if environment.CheckFolder != nil {
		findings.Findings = environment.CheckFolder(folder)
	} else if findings, err = callOperator[operator.Findings](ctx, &f.operatorFlags, http.MethodPost, "/config/check", folder); err != nil {
		return err
	}
	if f.JSON {
		if err := writeJSON(environment.Out, findings); err != nil {
			return err
		}
	}
	if len(findings.Findings) > 0 {
		return findingsError(f.Folder, findings.Findings)
	}
	if !f.JSON {
		fmt.Fprintf(environment.Out, "%s: %d files, no findings\n", f.Folder, len(folder.Files))
	}
	return nil
}
