package shard_test

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// instance is a process that is or was the leader of the shard. It carries out the
// commands of its shard in the simulation.
type instance struct {
	simulation  *simulation
	shard       *shard.Shard
	epoch       int64
	dead        bool
	steppedDown bool // dead, but its process is up and answers the next leader
	// restartsAt is when the process of a dead instance is up again; 0 means never.
	restartsAt            time.Duration
	frozen                bool
	storeUnreachable      bool
	cutOffFromPeers       bool // the next leader doesn't reach its process
	released              bool // it acts only for a short time without a confirmation
	leadershipConfirmedAt time.Duration
	appendInFlight        bool
	delayedMessages       []message
}

func (inst *instance) tick() {
	sim := inst.simulation
	if inst.dead || inst.frozen {
		return
	}
	for _, m := range inst.delayedMessages {
		m.deliver(sim.time())
	}
	inst.delayedMessages = nil
	if !inst.storeUnreachable && !sim.storeDown {
		if inst.epoch < sim.epoch {
			inst.stepDown() // the store refuses its next append
			return
		}
		inst.leadershipConfirmedAt = sim.now
	}
	inst.shard.SetConfirmed(sim.startTime.Add(inst.leadershipConfirmedAt))
	maxConfirmationAge := 10 * time.Second
	if inst.released {
		maxConfirmationAge = time.Second
	}
	age, basisAge := sim.now-inst.leadershipConfirmedAt, sim.now-inst.leadershipConfirmedAt
	if age >= maxUnwitnessedAge {
		basisAge = sim.now - inst.shard.WitnessedAt()
	}
	inst.shard.SetLeaseBasis(sim.time().Add(-basisAge))
	inst.shard.SetAuthority(age < maxConfirmationAge && (age < maxUnwitnessedAge || basisAge < maxWitnessAge))
	inst.shard.Tick(sim.time())
	commands := inst.shard.TakeCommands()
	for _, start := range commands.Starts {
		inst.sendStart(start)
	}
	for _, stop := range commands.Stops {
		inst.sendStop(stop)
	}
	for _, pace := range commands.Paces {
		inst.sendPace(pace)
	}
	for _, poll := range commands.Polls {
		inst.sendPoll(poll)
	}
	for _, request := range commands.AdviceRequests {
		inst.sendAdviceRequest(request)
	}
	for _, id := range commands.StoredAcceptances {
		if submitted := sim.jobs[id]; submitted != nil {
			submitted.accepted = true
		}
	}
	for _, id := range commands.StoredEnds {
		if submitted := sim.jobs[id]; submitted != nil && submitted.cancelRequestedAt > 0 && submitted.cancelledAt == 0 {
			submitted.cancelledAt = sim.now
		}
	}
	inst.write()
}

// stepDown ends the leadership of an instance whose process goes on.
func (inst *instance) stepDown() { inst.dead, inst.steppedDown = true, true }

func (inst *instance) write() {
	sim := inst.simulation
	if inst.appendInFlight || !inst.shard.HasChanges() {
		return
	}
	batch := inst.shard.TakeBatch(sim.time())
	if len(batch) == 0 {
		return
	}
	inst.appendInFlight = true
	inst.append(batch)
}

func (inst *instance) append(batch []shard.Record) {
	sim := inst.simulation
	sim.schedule(sim.latency(), nil, func(time.Time) {
		if inst.dead {
			return
		}
		if inst.storeUnreachable || sim.storeDown {
			sim.schedule(100*time.Millisecond, inst, func(time.Time) { inst.append(batch) })
			return
		}
		if inst.epoch < sim.epoch {
			inst.stepDown()
			return
		}
		sim.batchCount++
		for _, record := range batch {
			if len(record.Value) > job.MaxRecordBytes {
				sim.addViolation("STORE: the record of %s has %d bytes", record.Key, len(record.Value))
			}
			if len(record.Value) == 0 {
				delete(sim.store, record.Key)
			} else {
				sim.store[record.Key] = record.Value
			}
		}
		sim.schedule(sim.latency(), inst, func(now time.Time) {
			inst.appendInFlight = false
			inst.shard.BatchStored(now)
		})
	})
}

func (inst *instance) sendStart(start shard.Start) {
	sim := inst.simulation
	worker := sim.worker(start.ID)
	answer := func(result shard.StartResult, reason string) {
		sim.schedule(sim.latency(), inst, func(now time.Time) { inst.shard.StartAnswered(now, start.ID, start.RunKey, result, reason) })
	}
	timeout := func() {
		sim.schedule(500*time.Millisecond, inst, func(now time.Time) {
			inst.shard.StartAnswered(now, start.ID, start.RunKey, shard.StartUnknown, "timeout")
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
		if !worker.reachableFrom(inst) || worker.losesOrders {
			if !late {
				timeout()
			}
			return
		}
		result, reason := worker.start(start, inst.epoch, delay)
		switch {
		case late: // the call has already timed out
		case lost:
			timeout()
		default:
			answer(result, reason)
		}
	})
}

func (inst *instance) sendStop(stop shard.Stop) {
	sim := inst.simulation
	worker := sim.worker(stop.ID)
	sim.schedule(sim.latency(), nil, func(time.Time) {
		ok := worker.reachableFrom(inst) && !worker.losesOrders && worker.stop(stop, inst.epoch)
		sim.schedule(sim.latency(), inst, func(now time.Time) { inst.shard.StopAnswered(now, stop.ID, stop.RunKey, ok) })
	})
}

func (inst *instance) sendPace(pace shard.Pace) {
	sim := inst.simulation
	worker := sim.worker(pace.ID)
	lost := sim.random.Float64() < sim.lostAnswerShare
	sim.schedule(sim.latency(), nil, func(time.Time) {
		if worker.reachableFrom(inst) && !lost && inst.epoch >= worker.fencingToken {
			for _, r := range worker.runs {
				if r.key == pace.RunKey {
					r.pace = pace.Percent
				}
			}
		}
		sim.schedule(sim.latency(), inst, func(time.Time) { inst.shard.PaceAnswered(pace.ID, pace.RunKey, !lost) })
	})
}

func (inst *instance) sendPoll(poll shard.Poll) {
	sim := inst.simulation
	worker := sim.worker(poll.ID)
	sim.pollCount++
	sentAt := sim.time()
	lost := sim.random.Float64() < sim.lostAnswerShare
	fail := func(delay time.Duration, failure shard.PollFailure) {
		sim.schedule(delay, inst, func(now time.Time) { inst.shard.PollFailed(now, poll.ID, failure, "timeout") })
	}
	sim.schedule(sim.latency(), nil, func(time.Time) {
		switch {
		case worker.replaced:
			fail(sim.latency(), shard.WorkerReplaced)
			return
		case worker.down && sim.refuses, worker.unreachable && worker.refuses:
			fail(sim.latency(), shard.ConnectionRefused)
			return
		}
		if !worker.reachableFrom(inst) {
			fail(poll.Wait+700*time.Millisecond, shard.NoAnswer) // the poll times out
			return
		}
		if inst.epoch < worker.fencingToken {
			inst.stepDown() // a newer leader has polled the worker
			return
		}
		worker.fencingToken = inst.epoch
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
			if lost || worker.incarnation != incarnation || !worker.reachableFrom(inst) {
				fail(500*time.Millisecond, shard.NoAnswer) // the poll times out
				return
			}
			report := worker.report()
			report.PolledAt = sentAt.Sub(sim.startTime)
			sim.schedule(sim.latency(), inst, func(now time.Time) { inst.shard.PollAnswered(now, sentAt, poll.ID, report) })
		}
		if poll.Wait == 0 || len(worker.results) > 0 {
			reply()
			return
		}
		worker.waitingPolls = append(worker.waitingPolls, reply)
		sim.schedule(poll.Wait, nil, func(time.Time) { reply() })
	})
}

func (inst *instance) sendAdviceRequest(request shard.AdviceRequest) {
	sim := inst.simulation
	sim.adviceCalls++
	sim.adviserTime += request.ExpectedTime
	if sim.dropAdvice {
		return
	}
	sim.schedule(sim.serveAdvice(request.ExpectedTime), inst, func(now time.Time) {
		var allowed []shard.AllowedWorker
		for _, id := range request.Workers {
			if sim.adviserAllows(request.Step, id) {
				allowed = append(allowed, shard.AllowedWorker{ID: id, Ticket: fmt.Sprintf("%s|%s|%d|%d", request.Step, id, sim.worker(id).incarnation, sim.now+ticketLifetime)})
			}
		}
		inst.shard.AdviceAnswered(now, request, allowed, "")
	})
}
