package command

import (
	"context"

	"yuccalanding.example/yuccalanding/pkg/caller"
)

// keyCall is one run of a verb that takes the key of a request or job.
type keyCall struct {
	client      *caller.Client
	query       caller.Query
	environment *Environment
	asJSON      bool
}

// newKeyVerb returns the constructor of a verb that takes the key of a request
// or job. suggestStatus is set for verbs whose error messages suggest the verb
// status if the work may have run.
func newKeyVerb(suggestStatus bool, run func(ctx context.Context, call keyCall) error) func() (any, Run) {
	return func() (any, Run) {
		flags := &keyFlags{}
		return flags, func(ctx context.Context, environment *Environment) error {
			query, err := flags.query()
			if err != nil {
				return err
			}
			client, err := flags.client()
			if err != nil {
				return err
			}
			defer client.Close()
			err = run(ctx, keyCall{client, query, environment, flags.JSON})
			if !suggestStatus {
				query.Key = ""
			}
			return flags.addHints(query.Key, err)
		}
	}
}
