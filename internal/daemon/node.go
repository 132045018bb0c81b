package daemon

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/command"
	"yuccalanding.example/yuccalanding/internal/node"
	"yuccalanding.example/yuccalanding/internal/settings"
)

var nodeVerb = command.Verb{
	Name:    "node",
	Usage:   "Run the scheduler on an entry VM; the first SIGTERM drains it.",
	Example: command.Program + " node /etc/yuccalanding/settings.ini",
	New: func() (any, command.Run) {
		flags := &nodeFlags{}
		return flags, flags.run
	},
}

type nodeFlags struct {
	Settings string `arg:"" help:"Settings file, or folder of *.ini files that are merged in name order."`
}

// run runs the node until its drain is complete. The drain starts when ctx ends.
// After the time in the setting drain-bound, the node is stopped even if the drain
// is not complete.
func (f *nodeFlags) run(ctx context.Context, environment *command.Environment) error {
	loaded, err := settings.Load(f.Settings)
	if err != nil {
		return &command.UsageError{Message: err.Error()}
	}
	process, err := node.New(node.Options{Settings: *loaded, Out: environment.Err})
	if err != nil {
		return err
	}
	runContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- process.Run(runContext) }()
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
	}
	process.Drain()
	select {
	case err := <-stopped:
		return err
	case <-time.After(loaded.Timing.DrainTimeout):
		cancel()
		return <-stopped
	}
}
