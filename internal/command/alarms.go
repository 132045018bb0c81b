package command

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var alarmsVerb = Verb{
	Name:    "alarms",
	Usage:   "List the active alarms and the action that each requires.",
	Example: Program + " alarms --operator 10.0.1.1:8081",
	New:     newAlarms,
}

type alarmsFlags struct {
	operatorFlags
	Also []string `help:"Operators' addresses of further entry VMs; some alarms are known to one node only." placeholder:"IP:PORT"`
}

func newAlarms() (any, Run) {
	flags := &alarmsFlags{}
	return flags, flags.run
}

func (f *alarmsFlags) run(ctx context.Context, environment *Environment) error {
	merged, err := f.collect(ctx)
	if f.JSON {
		return errors.Join(err, writeJSON(environment.Out, merged))
	}
	if err != nil && len(merged.Alarms) == 0 {
		return err
	}
	rows := make([][]string, len(merged.Alarms))
	for i, alarm := range merged.Alarms {
		rows[i] = []string{alarm.Identity, formatTime(alarm.Since), alarm.Meaning, alarm.Action}
	}
	writeTable(environment.Out, []string{"IDENTITY", "SINCE", "MEANING", "ACTION"}, rows)
	return err
}

// collect returns the alarms of all nodes that respond, sorted by identity, and
// the errors of the others. Of several alarms with the same identity, it returns
// the one with the earliest Since.
func (f *alarmsFlags) collect(ctx context.Context) (operator.Alarms, error) {
	merged, errs := operator.Alarms{Alarms: []operator.Alarm{}}, []error(nil)
	for _, address := range append([]string{f.Operator}, f.Also...) {
		flags := f.operatorFlags
		flags.Operator = address
		response, err := callOperator[operator.Alarms](ctx, &flags, http.MethodGet, "/alarms", nil)
		errs = append(errs, err)
		for _, alarm := range response.Alarms {
			i := slices.IndexFunc(merged.Alarms, func(known operator.Alarm) bool { return known.Identity == alarm.Identity })
			switch {
			case i < 0:
				merged.Alarms = append(merged.Alarms, alarm)
			case alarm.Since.Before(merged.Alarms[i].Since):
				merged.Alarms[i] = alarm
			}
		}
	}
	slices.SortStableFunc(merged.Alarms, func(a, b operator.Alarm) int { return strings.Compare(a.Identity, b.Identity) })
	return merged, errors.Join(errs...)
}
