package shard_test

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// instance is a process that is or was the holder of the shard.
type instance struct {
	simulation        *simulation
	shard             *shard.Shard
	epoch             int64
	dead              bool
	frozen            bool
	cutFromStore      bool
	ownershipProvenAt time.Duration
	appendInFlight    bool
	delayedMessages   []message
}

func (h *instance) tick() {
	sim := h.simulation
	if h.dead || h.frozen {
		return
	}
	for _, m := range h.delayedMessages {
		m.do(sim.time())
	}
	h.delayedMessages = nil
	if !h.cutFromStore && !sim.storeDown {
		if h.epoch < sim.epoch {
			h.dead = true // the store refuses its next append
			return
		}
		h.ownershipProvenAt = sim.now
	}
	h.shard.SetAuthority(sim.now-h.ownershipProvenAt < 10*time.Second)
	h.shard.Tick(sim.time())
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
	for _, poll := range commands.Polls {
		h.sendPoll(poll)
	}
	for _, request := range commands.AdviceRequests {
		h.sendAdviceRequest(request)
	}
	for _, id := range commands.StoredJobs {
		if submitted := sim.jobs[id]; submitted != nil {
			submitted.accepted = true
			if submitted.cancelRequestedAt > 0 && submitted.cancelledAt == 0 {
				if state, _ := h.shard.State(id); state == job.Cancelled {
					submitted.cancelledAt = sim.now
				}
			}
		}
	}
	h.write()
}

func (h *instance) write() {
	sim := h.simulation
	if h.appendInFlight || !h.shard.HasChanges() {
		return
	}
	batch := h.shard.TakeBatch(sim.time())
	if len(batch) == 0 {
		return
	}
	h.appendInFlight = true
	h.append(batch)
}

func (h *instance) append(batch []shard.Record) {
	sim := h.simulation
	sim.schedule(sim.latency(), nil, func(time.Time) {
		if h.dead {
			return
		}
		if h.cutFromStore || sim.storeDown {
			sim.schedule(100*time.Millisecond, h, func(time.Time) { h.append(batch) })
			return
		}
		if h.epoch < sim.epoch {
			h.dead = true
			return
		}
		for _, record := range batch {
			if len(record.Value) == 0 {
				delete(sim.store, record.Key)
			} else {
				sim.store[record.Key] = record.Value
			}
		}
		sim.schedule(sim.latency(), h, func(now time.Time) {
			h.appendInFlight = false
			h.shard.BatchStored(now)
		})
	})
}

func (h *instance) sendStart(start shard.Start) {
	sim := h.simulation
	worker := sim.worker(start.ID)
	answer := func(result shard.StartResult, reason string) {
		sim.schedule(sim.latency(), h, func(now time.Time) { h.shard.StartAnswered(now, start.ID, start.RunKey, result, reason) })
	}
	timeout := func() {
		sim.schedule(500*time.Millisecond, h, func(now time.Time) {
			h.shard.StartAnswered(now, start.ID, start.RunKey, shard.StartUnknown, "timeout")
		})
	}
	delay := sim.latency()
	late := sim.random.Float64() < sim.lateStartShare
	if late {
		delay = time.Duration(2000+sim.random.IntN(8000)) * time.Millisecond
		timeout()
	}
	lost := sim.random.Float64() < sim.lostAnswerShare
	sim.schedule(delay, nil, func(time.Time) {
		if worker.unreachable || worker.down {
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
	sim := h.simulation
	worker := sim.worker(stop.ID)
	sim.schedule(sim.latency(), nil, func(time.Time) {
		ok := !worker.unreachable && !worker.down && worker.stop(stop, h.epoch)
		sim.schedule(sim.latency(), h, func(now time.Time) { h.shard.StopAnswered(now, stop.ID, stop.RunKey, ok) })
	})
}

func (h *instance) sendPace(pace shard.Pace) {
	sim := h.simulation
	worker := sim.worker(pace.ID)
	lost := sim.random.Float64() < sim.lostAnswerShare
	sim.schedule(sim.latency(), nil, func(time.Time) {
		if !worker.unreachable && !worker.down && !lost && h.epoch >= worker.fence {
			for _, r := range worker.runs {
				if r.key == pace.RunKey {
					r.pace = pace.Percent
				}
			}
		}
		sim.schedule(sim.latency(), h, func(time.Time) { h.shard.PaceAnswered(pace.ID, pace.RunKey, !lost) })
	})
}

func (h *instance) sendPoll(poll shard.Poll) {
	sim := h.simulation
	worker := sim.worker(poll.ID)
	sim.pollCount++
	sent := sim.time()
	lost := sim.random.Float64() < sim.lostAnswerShare
	fail := func(delay time.Duration) {
		sim.schedule(delay, h, func(now time.Time) { h.shard.PollFailed(now, poll.ID, "timeout") })
	}
	sim.schedule(sim.latency(), nil, func(time.Time) {
		if worker.unreachable || worker.down {
			fail(poll.Wait + 700*time.Millisecond)
			return
		}
		if h.epoch < worker.fence {
			h.dead = true
			return
		}
		worker.fence = h.epoch
		worker.acknowledge(poll.AckThrough)
		if poll.LeaseUntil > 0 {
			worker.extendLease(poll.LeaseUntil)
		}
		incarnation := worker.incarnation
		answered := false
		reply := func() {
			if answered {
				return
			}
			answered = true
			if lost || worker.incarnation != incarnation || worker.unreachable || worker.down {
				fail(500 * time.Millisecond)
				return
			}
			report := worker.report()
			sim.schedule(sim.latency(), h, func(now time.Time) { h.shard.PollAnswered(now, sent, poll.ID, report) })
		}
		if poll.Wait == 0 || len(worker.results) > 0 {
			reply()
			return
		}
		worker.waitingPolls = append(worker.waitingPolls, reply)
		sim.schedule(poll.Wait, nil, func(time.Time) { reply() })
	})
}

func (h *instance) sendAdviceRequest(request shard.AdviceRequest) {
	sim := h.simulation
	sim.adviceCalls++
	sim.adviserTime += request.ExpectedTime
	sim.schedule(request.ExpectedTime, h, func(now time.Time) {
		var allowed []shard.AllowedWorker
		for _, id := range request.Workers {
			if sim.adviserAllows(request.Step, id) {
				allowed = append(allowed, shard.AllowedWorker{ID: id, Ticket: fmt.Sprintf("%s|%s|%d|%d", request.Step, id, sim.worker(id).incarnation, sim.now+ticketLife)})
			}
		}
		h.shard.AdviceAnswered(now, request, allowed, "")
	})
}
