package entry

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

// carryOut sends the shard's commands.
func (h *holder) carryOut(commands shard.Commands) {
	for _, id := range commands.StoredJobs {
		for _, waiter := range h.waiters[id] {
			close(waiter)
		}
		delete(h.waiters, id)
	}
	for _, start := range commands.Starts {
		go h.start(start)
	}
	for _, stop := range commands.Stops {
		go h.stop(stop)
	}
	for _, pace := range commands.Paces {
		go h.pace(pace)
	}
	for _, hold := range commands.Polls {
		go h.hold(hold)
	}
	for _, advise := range commands.AdviceRequests {
		h.advise(advise)
	}
}

// order gives a worker an order. The right is lost if the worker has had one
// of a newer holder.
func (h *holder) order(limit time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(h.ctx, limit)
	defer cancel()
	err := call(ctx)
	if platform.Fenced(err) {
		h.lose("a worker knows a newer fence")
	}
	return err
}

func (h *holder) start(start shard.Start) {
	sent := time.Now()
	err := h.order(startTimeout, func(ctx context.Context) error { return h.process.workers.Start(ctx, start, h.epoch) })
	result, cause := platform.StartResult(err), ""
	if err != nil {
		cause = err.Error()
	}
	h.process.metrics.start(time.Since(sent), result)
	h.input(func(now time.Time) { h.shard.StartAnswered(now, start.ID, start.RunKey, result, cause) })
}

func (h *holder) stop(stop shard.Stop) {
	err := h.order(startTimeout, func(ctx context.Context) error { return h.process.workers.Stop(ctx, stop, h.epoch) })
	if err != nil {
		h.process.log("stop-failed", "task", stop.Task, "run", stop.Run, "worker", stop.ID, "cause", err)
	}
	h.input(func(now time.Time) { h.shard.StopAnswered(now, stop.ID, stop.RunKey, err == nil) })
}

func (h *holder) pace(pace shard.Pace) {
	err := h.order(startTimeout, func(ctx context.Context) error { return h.process.workers.Pace(ctx, pace, h.epoch) })
	if err != nil {
		h.process.log("pace-failed", "task", pace.Task, "run", pace.Run, "worker", pace.ID, "percent", pace.Percent, "cause", err)
	}
	h.input(func(time.Time) { h.shard.PaceAnswered(pace.ID, pace.RunKey, err == nil) })
}

func (h *holder) hold(hold shard.Poll) {
	sent := time.Now()
	var report shard.Report
	err := h.order(hold.Wait+lookTimeout, func(ctx context.Context) (err error) {
		report, err = h.process.workers.Hold(ctx, hold, h.epoch)
		return err
	})
	h.process.metrics.look(err)
	if err != nil {
		h.input(func(now time.Time) { h.shard.PollFailed(now, hold.ID, err.Error()) })
		return
	}
	h.input(func(now time.Time) { h.shard.PollAnswered(now, sent, hold.ID, report) })
}
