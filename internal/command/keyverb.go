package command

import (
	"context"

	"yuccalanding.example/yuccalanding/pkg/caller"
)

// keyCall is one call of a verb that concerns one key.
type keyCall struct {
	client      *caller.Client
	query       caller.Query
	environment *Environment
	asJSON      bool
}

// newKeyVerb returns the constructor of a verb that concerns one key. named is
// set for verbs whose failures say how to ask after the key.
func newKeyVerb(named bool, run func(ctx context.Context, call keyCall) error) func() (any, Run) {
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
			if !named {
				query.Key = ""
			}
			return flags.addAdvice(query.Key, err)
		}
	}
}
