package shard_test

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// instance is one holder of the shard.
type instance struct {
	world   *world
	shard   *shard.Shard
	epoch   int64
	dead    bool
	frozen  bool
	cut     bool // from the store
	proof   time.Duration
	writing bool
	stalled []message
}

func (h *instance) step() {
	w := h.world
	if h.dead || h.frozen {
		return
	}
	for _, m := range h.stalled {
		m.do(w.time())
	}
	h.stalled = nil
	if !h.cut && !w.storeDown {
		if h.epoch < w.epoch {
			h.dead = true // the store tells it at its next append
			return
		}
		h.proof = w.now
	}
	h.shard.SetAuthority(w.now-h.proof < 10*time.Second)
	h.shard.Tick(w.time())
	commands := h.shard.TakeCommands()
	for _, start := range commands.Starts {
		h.sendStart(start)
	}
	for _, stop := range commands.Stops {
		h.sendStop(stop)
	}
	for _, pace := range commands.Paces {
		h.sendPace(pace)
	}
	for _, hold := range commands.Polls {
		h.sendHold(hold)
	}
	for _, advise := range commands.AdviceRequests {
		h.sendAdvise(advise)
	}
	for _, id := range commands.StoredJobs {
		if facts := w.jobs[id]; facts != nil {
			facts.accepted = true
			if facts.cancelAt > 0 && facts.cancelled == 0 {
				if state, _ := h.shard.State(id); state == job.Cancelled {
					facts.cancelled = w.now
				}
			}
		}
	}
	h.write()
}

func (h *instance) write() {
	w := h.world
	if h.writing || !h.shard.HasChanges() {
		return
	}
	batch := h.shard.TakeBatch(w.time())
	if len(batch) == 0 {
		return
	}
	h.writing = true
	h.append(batch)
}

func (h *instance) append(batch []shard.Record) {
	w := h.world
	w.after(w.latency(), nil, func(time.Time) {
		if h.dead {
			return
		}
		if h.cut || w.storeDown {
			w.after(100*time.Millisecond, h, func(time.Time) { h.append(batch) })
			return
		}
		if h.epoch < w.epoch {
			h.dead = true
			return
		}
		for _, record := range batch {
			if len(record.Value) == 0 {
				delete(w.store, record.Key)
			} else {
				w.store[record.Key] = record.Value
			}
		}
		w.after(w.latency(), h, func(now time.Time) {
			h.writing = false
			h.shard.BatchStored(now)
		})
	})
}

func (h *instance) sendStart(start shard.Start) {
	w := h.world
	worker := w.worker(start.ID)
	answer := func(result shard.StartResult, reason string) {
		w.after(w.latency(), h, func(now time.Time) { h.shard.StartAnswered(now, start.ID, start.RunKey, result, reason) })
	}
	timeout := func() {
		w.after(500*time.Millisecond, h, func(now time.Time) {
			h.shard.StartAnswered(now, start.ID, start.RunKey, shard.StartUnknown, "timeout")
		})
	}
	delay := w.latency()
	late := w.random.Float64() < w.late
	if late {
		delay = time.Duration(2000+w.random.IntN(8000)) * time.Millisecond
		timeout()
	}
	lost := w.random.Float64() < w.lost
	w.after(delay, nil, func(time.Time) {
		if worker.cut || worker.down {
			if !late {
				timeout()
			}
			return
		}
		result, reason := worker.start(start, h.epoch, delay)
		switch {
		case late:
		case lost:
			timeout()
		default:
			answer(result, reason)
		}
	})
}

func (h *instance) sendStop(stop shard.Stop) {
	w := h.world
	worker := w.worker(stop.ID)
	w.after(w.latency(), nil, func(time.Time) {
		ok := !worker.cut && !worker.down && worker.stop(stop, h.epoch)
		w.after(w.latency(), h, func(now time.Time) { h.shard.StopAnswered(now, stop.ID, stop.RunKey, ok) })
	})
}

func (h *instance) sendPace(pace shard.Pace) {
	w := h.world
	worker := w.worker(pace.ID)
	lost := w.random.Float64() < w.lost
	w.after(w.latency(), nil, func(time.Time) {
		if !worker.cut && !worker.down && !lost && h.epoch >= worker.fence {
			for _, r := range worker.runs {
				if r.key == pace.RunKey {
					r.pace = pace.Percent
				}
			}
		}
		w.after(w.latency(), h, func(time.Time) { h.shard.PaceAnswered(pace.ID, pace.RunKey, !lost) })
	})
}

func (h *instance) sendHold(hold shard.Poll) {
	w := h.world
	worker := w.worker(hold.ID)
	w.looks++
	sent := w.time()
	lost := w.random.Float64() < w.lost
	fail := func(delay time.Duration) {
		w.after(delay, h, func(now time.Time) { h.shard.PollFailed(now, hold.ID, "timeout") })
	}
	w.after(w.latency(), nil, func(time.Time) {
		if worker.cut || worker.down {
			fail(hold.Wait + 700*time.Millisecond)
			return
		}
		if h.epoch < worker.fence {
			h.dead = true
			return
		}
		worker.fence = h.epoch
		worker.forget(hold.AckThrough)
		if hold.LeaseUntil > 0 {
			worker.extend(hold.LeaseUntil)
		}
		born := worker.born
		answered := false
		reply := func() {
			if answered {
				return
			}
			answered = true
			if lost || worker.born != born || worker.cut || worker.down {
				fail(500 * time.Millisecond)
				return
			}
			report := worker.report()
			w.after(w.latency(), h, func(now time.Time) { h.shard.PollAnswered(now, sent, hold.ID, report) })
		}
		if hold.Wait == 0 || len(worker.ended) > 0 {
			reply()
			return
		}
		worker.waiting = append(worker.waiting, reply)
		w.after(hold.Wait, nil, func(time.Time) { reply() })
	})
}

func (h *instance) sendAdvise(advise shard.AdviceRequest) {
	w := h.world
	w.calls++
	w.adviserTime += advise.ExpectedTime
	w.after(advise.ExpectedTime, h, func(now time.Time) {
		var good []shard.AllowedWorker
		for _, id := range advise.Workers {
			if w.mayRun(advise.Step, id) {
				good = append(good, shard.AllowedWorker{ID: id, Ticket: fmt.Sprintf("%s|%s|%d|%d", advise.Step, id, w.worker(id).born, w.now+ticketLife)})
			}
		}
		h.shard.AdviceAnswered(now, advise, good, "")
	})
}
