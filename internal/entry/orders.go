package entry

import (
	"context"
	"errors"
	"time"

	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

// execute carries out the shard's commands and wakes the callers that wait for
// the acceptance or the end of a job to be stored.
func (l *shardLeader) execute(commands shard.Commands) {
	l.acceptanceWaiters.wake(commands.StoredAcceptances)
	l.endWaiters.wake(commands.StoredEnds)
	for _, start := range commands.Starts {
		go l.start(start)
	}
	for _, stop := range commands.Stops {
		go l.stop(stop)
	}
	for _, pace := range commands.Paces {
		go l.pace(pace)
	}
	for _, poll := range commands.Polls {
		go l.poll(poll)
	}
	for _, request := range commands.AdviceRequests {
		l.requestAdvice(request)
	}
}

// sendOrder makes a call that sends an order to a worker. If the worker refuses
// it because of a newer fencing token, the shard's leader steps down.
func (l *shardLeader) sendOrder(worker shard.Target, timeout time.Duration, call func(context.Context) error) error {
	slot, err := l.workerCalls.beginOrder(l.ctx, worker.Address)
	if err != nil {
		return err
	}
	err = l.callWorker(timeout, call)
	slot.end(err)
	return err
}

// callWorker makes a call to a worker that has a slot.
func (l *shardLeader) callWorker(timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	err := guardedCall(func() error { return call(ctx) })
	if platform.Fenced(err) {
		l.stepDown("a worker refused an order because it knows a newer fencing token")
	}
	return err
}

// errNoAuthority means that an order was not sent because this process can't prove
// any more that it is the leader.
var errNoAuthority = errors.New("the leadership was not confirmed for too long")

func (l *shardLeader) start(start shard.Start) {
	sent := time.Now()
	err := l.sendOrder(start.Target, orderTimeout, func(ctx context.Context) error {
		if !l.hasAuthority() { // the process was paused after the decision, or the order had to wait
			return errNoAuthority
		}
		sent = time.Now()
		return l.workers.Start(ctx, start, l.epoch)
	})
	if errors.Is(err, errNoAuthority) {
		l.enqueue(func(now time.Time) {
			l.shard.StartAnswered(now, start.ID, start.RunKey, shard.WorkerDeclined, errNoAuthority.Error())
		})
		return
	}
	result, cause := platform.StartResult(err), ""
	if err != nil {
		cause = err.Error()
	}
	l.process.metrics.observeStart(time.Since(sent), result)
	l.enqueue(func(now time.Time) { l.shard.StartAnswered(now, start.ID, start.RunKey, result, cause) })
}

func (l *shardLeader) stop(stop shard.Stop) {
	err := l.sendOrder(stop.Target, orderTimeout, func(ctx context.Context) error { return l.workers.Stop(ctx, stop, l.epoch) })
	if err != nil {
		l.process.log("stop-failed", "task", stop.Task, "run", stop.Run, "worker", stop.ID, "cause", err)
	}
	l.enqueue(func(now time.Time) { l.shard.StopAnswered(now, stop.ID, stop.RunKey, err == nil) })
}

func (l *shardLeader) pace(pace shard.Pace) {
	err := l.sendOrder(pace.Target, orderTimeout, func(ctx context.Context) error { return l.workers.Pace(ctx, pace, l.epoch) })
	if err != nil {
		l.process.log("pace-failed", "task", pace.Task, "run", pace.Run, "worker", pace.ID, "percent", pace.Percent, "cause", err)
	}
	l.enqueue(func(time.Time) { l.shard.PaceAnswered(pace.ID, pace.RunKey, err == nil) })
}

func (l *shardLeader) poll(poll shard.Poll) {
	slot, err := l.workerCalls.beginPoll(l.ctx, poll.Address)
	if err != nil {
		return // the leadership has ended
	}
	if !l.hasAuthority() {
		poll.LeaseUntil = 0
	}
	if slot.sharesConnection() {
		poll.Wait = min(poll.Wait, sharedPollWait)
	}
	sent, sentSinceBoot := time.Now(), l.process.sinceBoot()
	var report shard.Report
	err = l.callWorker(poll.Wait+pollTimeout, func(ctx context.Context) (err error) {
		report, err = l.workers.Poll(ctx, poll, l.epoch)
		return err
	})
	slot.end(err)
	l.process.metrics.countPoll(err)
	if err != nil {
		l.enqueue(func(now time.Time) { l.shard.PollFailed(now, poll.ID, platform.PollFailure(err), err.Error()) })
		return
	}
	report.PolledAt = sentSinceBoot
	l.enqueue(func(now time.Time) { l.shard.PollAnswered(now, sent, poll.ID, report) })
}
