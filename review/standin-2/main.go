// Command standin-2 plays the scripted cases of the second review. It is the platform's
// store, the workers, the clients and the operator of a small deployment on loopback
// addresses, and starts the entry processes with the command of the deploy file.
//
// # Usage
//
//	target/review-standin-2 CASE FOLDER
//
// It writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held and 2
// if the case couldn't run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 112 * time.Second

// outcome is the exit status of a case.
type outcome int

const (
	held     outcome = 0
	broken   outcome = 1
	couldNot outcome = 2
)

// cases are the cases by name. Each returns its deployment, the outcome and what was found.
var cases = map[string]func(folder string, trouble bool) (*rig, outcome, string){
	"cancel":   playCancel,
	"gangfail": playGangFailure,
	"lasting":  playLasting,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE FOLDER")
		os.Exit(int(couldNot))
	}
	type ended struct {
		result outcome
		found  string
	}
	done := make(chan ended, 1)
	go func() {
		r, result, found := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
		if r != nil {
			r.log("%s", found)
			r.close()
		}
		done <- ended{result, found}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case e := <-done:
		fmt.Println(found(e.result, e.found))
		os.Exit(int(e.result))
	case <-time.After(timeLimit):
		fmt.Println("the case took too long")
	case <-signals:
		fmt.Println("the case was ended from outside")
	}
	for _, n := range allNodes {
		n.kill()
	}
	os.Exit(int(couldNot))
}

func found(result outcome, text string) string {
	return map[outcome]string{held: "held: ", broken: "broken: ", couldNot: "could not run: "}[result] + text
}
