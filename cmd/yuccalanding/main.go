// Command yuccalanding is a cluster scheduler for unlike workloads.
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
	status := command.Main(ctx, os.Args[1:], command.Options{Verbs: daemon.Verbs(), CheckFolder: node.CheckFolder})
	stop()
	os.Exit(status)
}
