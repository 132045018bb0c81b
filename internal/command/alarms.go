package command

import (
	"context"
	"net/http"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var alarmsVerb = Verb{
	Name:    "alarms",
	Usage:   "List the alarms, each with what a person has to do.",
	Example: Program + " alarms --operator 10.0.1.1:8081",
	New:     newAlarms,
}

type alarmsFlags struct{ operatorFlags }

func newAlarms() (any, Run) {
	flags := &alarmsFlags{}
	return flags, flags.run
}

func (f *alarmsFlags) run(ctx context.Context, environment *Environment) error {
	answer, err := call[operator.Alarms](ctx, &f.operatorFlags, http.MethodGet, "/alarms", nil)
	if err != nil {
		return err
	}
	if f.JSON {
		return writeJSON(environment.Out, answer)
	}
	rows := make([][]string, len(answer.Alarms))
	for i, alarm := range answer.Alarms {
		rows[i] = []string{alarm.Identity, instant(alarm.Since), alarm.Meaning, alarm.Action}
	}
	writeTable(environment.Out, []string{"IDENTITY", "SINCE", "MEANING", "ACTION"}, rows)
	return nil
}
