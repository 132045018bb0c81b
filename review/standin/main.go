// Command standin plays one case of the review against processes of the system. It holds
// the stand-ins of the platform's store, of the workers and of the callers.
//
// # Usage
//
//	target/review-standin CASE RECORD
//
// It runs in the root of the repository. With TROUBLE=0 in its environment it leaves out
// the disruption. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime is the longest time that a case may take.
const maxRunTime = 115 * time.Second

// cases returns the broken rules, one line each, or an error if the case could not run.
var cases = map[string]func(*platformStandin) ([]string, error){
	"ends-beyond-one-answer": endsBeyondOneAnswer,
	"crashes-under-a-task":   crashesUnderATask,
	"large-batch":            largeBatch,
	"cut-off-after-idle":     cutOffAfterIdle,
	"scheduled-start":        scheduledStart,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	p, err := newPlatform(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer p.close()
	type outcome struct {
		broken []string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](p)
		ended <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var result outcome
	select {
	case result = <-ended:
	case <-signals:
		result.err = fmt.Errorf("interrupted")
	case <-time.After(maxRunTime):
		result.err = fmt.Errorf("not ended after %s", maxRunTime)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range p.nodes {
			if content, err := os.ReadFile(n.log.Name()); err == nil {
				_ = os.WriteFile(keep+"/"+n.name+".log", content, 0o600)
			}
		}
	}
	if result.err != nil {
		p.note("the case could not run: %v", result.err)
		fmt.Fprintln(os.Stderr, result.err)
		return 2
	}
	for i, line := range result.broken {
		p.note("BROKEN %s", line)
		if i < 3 {
			fmt.Println(line)
		}
	}
	fmt.Printf("%d broken, %d runs\n", len(result.broken), p.startedRuns())
	if len(result.broken) > 0 {
		return 1
	}
	return 0
}
