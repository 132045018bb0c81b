// Command standin-3 plays the scripted cases of the third review.
//
// It starts the processes of a small deployment on loopback addresses, with the
// platform's store, an adviser, workers and consumers as stand-ins, and judges by what
// these see.
//
// # Usage
//
//	target/review-3/standin-3 CASE FOLDER SCRATCH
//
// The record goes to FOLDER/record.txt, settings and logs to SCRATCH. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in
// the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. They return the exit code.
var cases = map[string]func(folder, scratch string, trouble bool) (int, error){
	"lost-leaders": playLostLeaders,
	"moved-queue":  playMovedQueue,
	"spare-pool":   playSparePool,
	"far-future":   playFarFuture,
	"standing":     playStanding,
}

func main() {
	const arguments = 4
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER SCRATCH")
		os.Exit(failed)
	}
	// The processes of the case end with it, also if it is stopped from outside.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		killStarted()
		os.Exit(failed)
	}()
	code, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		code = failed
	}
	os.Exit(code)
}
