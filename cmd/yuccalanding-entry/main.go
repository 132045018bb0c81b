// Command yuccalanding-entry is the scheduler process of an entry VM on the
// users' platform. It contains only what runs there: the command line, the
// platform's stand-ins and the load tool are in the command yuccalanding.
//
// # Usage
//
//	YUCCALANDING_NODE_FILE=/path/to/settings.json yuccalanding-entry
//
// It logs to standard output, reads its settings again on SIGHUP, and drains
// and ends on SIGTERM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"yuccalanding.example/yuccalanding/internal/entry"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/platform"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "yuccalanding-entry:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	logCtx, endLog := context.WithCancel(context.Background())
	recorder := event.New(logCtx, event.Options{
		Out: os.Stdout, Node: settings.Node, RateLimit: entry.LogLinesPerSecond, Burst: entry.LogLinesBurst, QueueLength: entry.LogLinesQueued,
	})
	process := entry.New(settings, recorder)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	reloaded := make(chan struct{})
	go func() { defer close(reloaded); reload(ctx, reloads, path, process) }()
	err = process.Run(ctx)
	stop()
	<-reloaded
	endLog()
	<-recorder.Done()
	return err
}

// reload reads the settings again on each SIGHUP until the context ends.
func reload(ctx context.Context, signals <-chan os.Signal, path string, process *entry.Process) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			settings, err := platform.ReadSettings(path)
			process.Reload(settings, err)
		}
	}
}
