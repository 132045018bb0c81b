// Command yuccalanding-entry is the process of an entry VM on the users'
// platform. It holds only what runs there; the command line, the stand-ins and
// the load tool are in the command yuccalanding.
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
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	logs, endLogs := context.WithCancel(context.Background())
	recorder := event.New(logs, event.Options{
		Out: os.Stdout, Node: settings.Node, PerSecond: entry.LinesPerSecond, Burst: entry.LinesBurst, Queue: entry.LinesQueue,
	})
	err = entry.New(settings, recorder).Run(ctx)
	endLogs()
	<-recorder.Done()
	return err
}
