package entry

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"
)

const (
	// loopRestartPause is the pause before a loop of the process runs again after a
	// panic.
	loopRestartPause = time.Second
	// leaderFailurePause is how long a node leaves a shard to others after a panic
	// ended its leadership: longer than they take to claim it.
	leaderFailurePause = 3 * time.Second
)

// guarded calls a function and returns a panic in it as an error with its stack.
func guarded(call func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v: %s", cause, debug.Stack())
		}
	}()
	call()
	return nil
}

// guardedCall calls a function and returns its error, or a panic in it as an error.
func guardedCall(call func() error) (err error) {
	if failure := guarded(func() { err = call() }); failure != nil {
		return failure
	}
	return err
}

// keepRunning runs a loop until the context ends. After a panic it runs the loop again.
func (p *Process) keepRunning(ctx context.Context, name string, loop func(context.Context)) {
	for ctx.Err() == nil {
		if err := guarded(func() { loop(ctx) }); err != nil {
			p.log("loop-failed", "loop", name, "cause", err)
			pause(ctx, loopRestartPause)
		}
	}
}

// guard calls a function of the leader. After a panic the shard's state may be half
// changed, so the leader steps down, and the next one loads the state from the store.
func (l *shardLeader) guard(name string, call func()) {
	err := guarded(call)
	if err == nil {
		return
	}
	l.process.log("loop-failed", "loop", name, "service", l.key, "epoch", l.epoch, "cause", err)
	l.process.mu.Lock()
	l.process.leaderFailures[l.key] = time.Now()
	l.process.mu.Unlock()
	l.stepDown("a fault in the program")
}
