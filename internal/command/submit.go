package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

var submitVerb = Verb{
	Name:    "submit",
	Usage:   "Submit a request and wait for its answer, or submit a durable job or service.",
	Example: Program + " submit --team ledger --kind balance --milli-cpu 500 --memory-mb 256 --payload-file claim.json",
	New:     newSubmit,
}

type submitFlags struct {
	callerFlags
	Kind         string        `help:"Kind of work, as the policy names it." required:""`
	Key          string        `help:"Key of an earlier attempt to retry, together with --attempt; a new key if empty."`
	Attempt      int           `help:"Number of the first attempt; with --key, above the numbers of all earlier attempts."`
	Class        string        `help:"Class of work of similar size and run time; the kind if empty."`
	Mode         string        `help:"One of request, job and service." enum:"request,job,service" default:"request"`
	Once         bool          `help:"Run at most once (non-idempotent)."`
	MilliCPU     int64         `help:"CPU, in thousandths of a core." name:"milli-cpu"`
	MemoryMB     int64         `help:"Memory in MB." name:"memory-mb"`
	Accelerators int64         `help:"Number of accelerators."`
	GangSize     int           `help:"Number of tasks that start together."`
	RunTime      time.Duration `help:"Expected run time."`
	StartWithin  time.Duration `help:"Maximum wait before the start; 0 is the deadline of the kind."`
	Hold         bool          `help:"Let a durable job wait while the log is down, instead of refusing it."`
	PayloadFile  string        `help:"File with the payload; - is standard input." placeholder:"FILE"`
}

func newSubmit() (any, Run) {
	flags := &submitFlags{}
	return flags, flags.run
}

// request builds the request from the flags. It returns a UsageError if the
// request is not valid.
func (f *submitFlags) request(environment *Environment) (workload.Request, error) {
	request := workload.Request{
		Key: workload.Key(f.Key), Attempt: f.Attempt, Team: f.Team, Kind: f.Kind, Class: f.Class,
		Mode: workload.Mode(f.Mode), NonIdempotent: f.Once, GangSize: f.GangSize,
		Resources: workload.Resources{MilliCPU: f.MilliCPU, MemoryMB: f.MemoryMB, Accelerators: f.Accelerators},
		RunTimeMS: f.RunTime.Milliseconds(), StartWithinMS: f.StartWithin.Milliseconds(), HoldInOutage: f.Hold,
	}
	if request.Key == "" {
		request.Key = workload.NewKey()
	}
	var err error
	if request.Payload, err = f.payload(environment); err != nil {
		return request, err
	}
	if findings := request.Validate(time.Now()); len(findings) > 0 {
		return request, &UsageError{fmt.Sprintf("the request has %d error(s)\n%s", len(findings), findings)}
	}
	return request, nil
}

// payload reads the payload from the file or standard input that --payload-file
// names. It returns nil if the flag is not set.
func (f *submitFlags) payload(environment *Environment) ([]byte, error) {
	input := environment.In
	switch f.PayloadFile {
	case "":
		return nil, nil
	case "-":
	default:
		file, err := os.Open(f.PayloadFile)
		if err != nil {
			return nil, fmt.Errorf("the payload can't be read: %w; name a readable file with --payload-file", err)
		}
		defer file.Close()
		input = file
	}
	// One byte more than the limit, so that validation detects a payload that is
	// too long.
	return io.ReadAll(io.LimitReader(input, workload.MaxPayloadBytes+1))
}

func (f *submitFlags) run(ctx context.Context, environment *Environment) error {
	request, err := f.request(environment)
	if err != nil {
		return err
	}
	client, err := f.client()
	if err != nil {
		return err
	}
	defer client.Close()
	environment.Progress("Submitting with key %s.", request.Key)
	if request.Mode != workload.ModeRequest {
		receipt, err := client.SubmitJob(ctx, request)
		if err != nil {
			return f.addHints(request.Key, err)
		}
		if f.JSON {
			return writeJSON(environment.Out, receipt)
		}
		writeTable(environment.Out, []string{"KEY", "STATE", "ACCEPTED"}, [][]string{{string(receipt.Key), string(receipt.State), formatTime(receipt.AcceptedAt)}})
		return nil
	}
	answer, err := client.Submit(ctx, request)
	if err != nil {
		return f.addHints(request.Key, err)
	}
	return writeAnswer(environment, answer, f.JSON)
}

// writeAnswer writes the body of an answer without changes, or the whole answer
// as JSON. It returns an error if the task failed.
func writeAnswer(environment *Environment, answer workload.Answer, asJSON bool) error {
	var err error
	if asJSON {
		err = writeJSON(environment.Out, answer)
	} else {
		_, err = environment.Out.Write(answer.Body)
	}
	if err != nil {
		return err
	}
	environment.Progress("Worker %s, waited %s, ran %s.", answer.Worker, formatMilliseconds(answer.WaitedMS), formatMilliseconds(answer.RanMS))
	if answer.Failed {
		return errors.New("the task failed and its answer contains the error; correct the payload or ask the team that owns the kind")
	}
	return nil
}
