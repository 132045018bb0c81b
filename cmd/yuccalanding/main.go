// Command yuccalanding is a cluster scheduler for requests, batch jobs and
// long-running services. It contains the scheduler of an entry VM, the command
// line of callers and operators, and stand-ins of the platform for tests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"yuccalanding.example/yuccalanding/internal/command"
	"yuccalanding.example/yuccalanding/internal/daemon"
	"yuccalanding.example/yuccalanding/internal/node"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	exitStatus := command.Main(ctx, os.Args[1:], command.Options{Verbs: daemon.Verbs(), CheckFolder: node.CheckFolder})
	stop()
	os.Exit(exitStatus)
}
