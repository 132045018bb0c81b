package command

import (
	"context"
	"net/http"
	"strconv"

	"yuccalanding.example/yuccalanding/internal/operator"
)

var workersVerb = Verb{
	Name:    "workers",
	Usage:   "List the workers with their owners and free resources.",
	Example: Program + " workers --operator 10.0.1.1:8081",
	New:     newWorkers,
}

type workersFlags struct{ operatorFlags }

func newWorkers() (any, Run) {
	flags := &workersFlags{}
	return flags, flags.run
}

func (f *workersFlags) run(ctx context.Context, environment *Environment) error {
	response, err := callOperator[operator.Workers](ctx, &f.operatorFlags, http.MethodGet, "/workers", nil)
	if err != nil {
		return err
	}
	if f.JSON {
		return writeJSON(environment.Out, response)
	}
	rows := make([][]string, len(response.Workers))
	for i, worker := range response.Workers {
		rows[i] = []string{worker.Name, worker.State, worker.Region, worker.FailureDomain, worker.Rack, worker.Owner, strconv.Itoa(worker.Tasks), formatResources(worker.Free), formatResources(worker.Capacity)}
	}
	writeTable(environment.Out, []string{"NAME", "STATE", "REGION", "DOMAIN", "RACK", "OWNER", "TASKS", "FREE", "CAPACITY"}, rows)
	return nil
}
