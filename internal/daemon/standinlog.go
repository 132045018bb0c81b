package daemon

import (
	"context"
	"net/http"

	"yuccalanding.example/yuccalanding/internal/command"
	"yuccalanding.example/yuccalanding/internal/standin/logservice"
)

var standinLogVerb = command.Verb{
	Name:    "standin log",
	Usage:   "Run a stand-in for the platform's log service, for tests.",
	Example: command.Program + " standin log --listen 127.0.0.1:7001",
	New: func() (any, command.Run) {
		flags := &standinLogFlags{}
		return flags, flags.run
	},
}

type standinLogFlags struct {
	Listen           address `help:"Address to listen on." required:""`
	AppendsPerSecond int     `help:"Maximum appends per second; further appends are refused." default:"300"`
	KeepRecords      int     `help:"Number of records to keep; older ones are dropped." default:"100000"`
}

func (f *standinLogFlags) run(ctx context.Context, environment *command.Environment) error {
	service := logservice.New(logservice.Options{AppendsPerSecond: f.AppendsPerSecond, KeepRecords: f.KeepRecords})
	return serve(ctx, environment, "stand-in log", f.Listen.AddrPort, &http.Server{Handler: service})
}
