package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var configApplyVerb = Verb{
	Name:    "config apply",
	Usage:   "Apply a configuration folder as a change that is based on a version.",
	Example: Program + " config apply policy/ --base 17 --reason \"more weight for balances\"",
	New:     newConfigApply,
}

type configApplyFlags struct {
	operatorFlags
	Folder   string   `arg:"" help:"Folder of *.ini files."`
	Base     int64    `help:"Version that the change is based on, as config show prints it." required:""`
	Reason   string   `help:"Why the change is made, for the history." required:""`
	Sections []string `help:"Sections that the change modifies; all sections that differ if none is given." placeholder:"SECTION"`
	Wait     bool     `help:"Wait until the new version is in force on every live node."`
	// WaitTime has a default far above the 6 s within which an accepted version
	// has to be in force.
	WaitTime time.Duration `help:"Maximum time to wait with --wait." default:"30s"`
}

// versionPollInterval is the interval at which --wait asks for the versions of
// the nodes.
const versionPollInterval = 100 * time.Millisecond

func newConfigApply() (any, Run) {
	flags := &configApplyFlags{}
	return flags, flags.run
}

func (f *configApplyFlags) run(ctx context.Context, environment *Environment) error {
	folder, err := readFolder(f.Folder)
	if err != nil {
		return err
	}
	identity := uuid.NewString()
	environment.Progress("Waiting until change %s is read back from the log.", identity)
	change, err := callOperator[operator.Change](ctx, &f.operatorFlags, http.MethodPost, "/config/apply",
		operator.ApplyRequest{BaseVersion: f.Base, Reason: f.Reason, Sections: f.Sections, Files: folder.Files, Identity: identity})
	if err != nil {
		return f.addLookupHint(identity, err)
	}
	if f.JSON {
		err = writeJSON(environment.Out, change)
	} else {
		writeChanges(environment, []operator.Change{change})
	}
	if err == nil && change.State != "accepted" {
		return fmt.Errorf("the change was %s; compare with config diff and apply it against the version in force", change.State)
	}
	if err == nil && f.Wait {
		return f.waitInForce(ctx, environment, change.Version)
	}
	return err
}

// addLookupHint adds to an error that the outcome of the change is unknown and
// how to look it up, if the change may be in the log despite the error.
func (f *configApplyFlags) addLookupHint(identity string, err error) error {
	var failure *operator.Failure
	var network *net.OpError
	var usage *UsageError
	switch {
	case errors.As(err, &failure) && failure.Status != http.StatusInternalServerError:
		return err // The node's response says whether the change was applied.
	case errors.As(err, &network) && network.Op == "dial", errors.As(err, &usage):
		return err // Nothing was sent.
	}
	return fmt.Errorf("%w\nThe outcome of the change is unknown; look it up with: %s config history --identity %s", err, Program, identity)
}

// waitInForce waits until every live or draining node reports that the version
// is in force. After WaitTime, it returns an error that names the nodes with an
// older version.
func (f *configApplyFlags) waitInForce(ctx context.Context, environment *Environment, version int64) error {
	environment.Progress("Waiting until version %d is in force on every live node.", version)
	deadline := time.Now().Add(f.WaitTime)
	for {
		response, err := callOperator[operator.Nodes](ctx, &f.operatorFlags, http.MethodGet, "/nodes", nil)
		var behind []string
		for _, node := range response.Nodes {
			if (node.State == "live" || node.State == "draining") && node.PolicyVersion < version {
				behind = append(behind, fmt.Sprintf("%s (version %d)", node.Name, node.PolicyVersion))
			}
		}
		if err == nil && len(behind) == 0 {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Join(err, fmt.Errorf("version %d is accepted, but after %s it is not known to be in force on: %s", version, f.WaitTime, strings.Join(behind, ", ")))
		}
		time.Sleep(versionPollInterval)
	}
}

func writeChanges(environment *Environment, changes []operator.Change) {
	rows := make([][]string, len(changes))
	for i, change := range changes {
		version, base := "", ""
		if change.Version > 0 {
			version = strconv.FormatInt(change.Version, 10)
		}
		if change.BaseVersion != operator.UnknownBase {
			base = strconv.FormatInt(change.BaseVersion, 10)
		}
		rows[i] = []string{version, base, change.State, formatTime(change.At), change.Author, strings.Join(change.Sections, ", "), change.Reason}
	}
	writeTable(environment.Out, []string{"VERSION", "BASE", "STATE", "AT", "AUTHOR", "SECTIONS", "REASON"}, rows)
}
