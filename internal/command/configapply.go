package command

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var configApplyVerb = Verb{
	Name:    "config apply",
	Usage:   "Apply a configuration folder as a change against a version.",
	Example: Program + " config apply policy/ --base 17 --reason \"more weight for balances\"",
	New:     newConfigApply,
}

type configApplyFlags struct {
	operatorFlags
	Folder   string   `arg:"" help:"Folder of *.ini files."`
	Base     int64    `help:"Version that the change was made against, as config show prints it." required:""`
	Reason   string   `help:"Why the change is made, for the history." required:""`
	Sections []string `help:"Sections that the change modifies; all that differ if none is named." placeholder:"SECTION"`
}

func newConfigApply() (any, Run) {
	flags := &configApplyFlags{}
	return flags, flags.run
}

func (f *configApplyFlags) run(ctx context.Context, environment *Environment) error {
	folder, err := readFolder(f.Folder)
	if err != nil {
		return err
	}
	environment.Progress("Waiting until the change is read back from the log.")
	change, err := call[operator.Change](ctx, &f.operatorFlags, http.MethodPost, "/config/apply",
		operator.Apply{BaseVersion: f.Base, Reason: f.Reason, Sections: f.Sections, Files: folder.Files})
	if err != nil {
		return err
	}
	if f.JSON {
		err = writeJSON(environment.Out, change)
	} else {
		writeChanges(environment, []operator.Change{change})
	}
	if err == nil && change.State != "accepted" {
		return fmt.Errorf("the change was %s; compare with config diff and apply it against the version in force", change.State)
	}
	return err
}

func writeChanges(environment *Environment, changes []operator.Change) {
	rows := make([][]string, len(changes))
	for i, change := range changes {
		version := ""
		if change.Version > 0 {
			version = strconv.FormatInt(change.Version, 10)
		}
		rows[i] = []string{version, strconv.FormatInt(change.BaseVersion, 10), change.State, instant(change.At), change.Author, strings.Join(change.Sections, ", "), change.Reason}
	}
	writeTable(environment.Out, []string{"VERSION", "BASE", "STATE", "AT", "AUTHOR", "SECTIONS", "REASON"}, rows)
}
