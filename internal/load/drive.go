package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Times of the driver.
const (
	progressEvery = time.Second
	// askAgain is the pause before the answer of an accepted job is asked for
	// again after a failed call.
	askAgain = 200 * time.Millisecond
	// cancelTime bounds the cancellation of one request.
	cancelTime = 5 * time.Second
)

// ActionResult is an action that was taken.
type ActionResult struct {
	Name   string  `json:"name"`
	AtMS   float64 `json:"at-ms"`
	TookMS float64 `json:"took-ms"`
	Error  string  `json:"error,omitempty"`
}

// counters are what the driver has done so far, for the progress lines.
type counters struct{ sent, done atomic.Int64 }

// drive sends all requests at their times and waits for their outcomes.
func (r *run) drive(ctx context.Context) {
	count := &counters{}
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() { defer close(watched); r.watch(count, stop) }()
	metered := make(chan struct{})
	meterContext, stopMeter := context.WithCancel(ctx)
	go func() { defer close(metered); r.traffic.run(meterContext) }()
	r.startWaves(ctx)
	r.startActions(ctx)
	for _, each := range r.records {
		if !sleepUntil(ctx, r.start.Add(each.at)) {
			break
		}
		if count.sent.Load()-count.done.Load() >= int64(r.options.Mix.Open) {
			each.outcome = NotSent
			continue
		}
		count.sent.Add(1)
		r.group.Go(func() {
			r.submit(ctx, each)
			count.done.Add(1)
		})
	}
	sleepUntil(ctx, r.start.Add(r.options.Mix.Duration))
	r.group.Wait()
	close(stop)
	<-watched
	stopMeter()
	<-metered
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watch samples the cost and reports progress until stop is closed.
func (r *run) watch(count *counters, stop <-chan struct{}) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	reported := time.Duration(0)
	for {
		now := time.Since(r.start)
		current := sample{at: now, cost: Cost{CPU: -1, Appends: -1}}
		current.sent, current.links = r.traffic.sums()
		if r.options.Target.Cost != nil {
			current.cost = r.options.Target.Cost()
		}
		r.samples = append(r.samples, current)
		if now-reported >= progressEvery {
			reported = now
			sent, done := count.sent.Load(), count.done.Load()
			r.options.Progress("%s: %d sent, %d open", now.Round(time.Second), sent, sent-done)
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// startActions takes each action at its time.
func (r *run) startActions(ctx context.Context) {
	r.actions = make([]ActionResult, len(r.options.Actions))
	for i, action := range r.options.Actions {
		r.group.Go(func() {
			r.actions[i] = ActionResult{Name: action.Name, Error: "was not taken before the end of the run"}
			if !sleepUntil(ctx, r.start.Add(action.At)) {
				return
			}
			began := time.Now()
			r.options.Progress("%s: %s", time.Since(r.start).Round(time.Second), action.Name)
			err := action.Do()
			r.actions[i] = ActionResult{Name: action.Name, AtMS: milliseconds(began.Sub(r.start)), TookMS: milliseconds(time.Since(began))}
			if err != nil {
				r.actions[i].Error = err.Error()
			}
		})
	}
}

// startWaves cancels a share of the open requests of a stream at a time.
func (r *run) startWaves(ctx context.Context) {
	for i, wave := range r.options.Mix.Cancellations {
		random := rand.New(rand.NewPCG(r.options.Mix.Seed, uint64(1<<32+i)))
		r.group.Go(func() {
			if !sleepUntil(ctx, r.start.Add(wave.At)) {
				return
			}
			for _, each := range r.records {
				if each.arrivals.Name == wave.Arrivals && each.sent.Load() && !each.done.Load() && random.Float64() < wave.Share {
					r.group.Go(func() { r.cancel(ctx, each) })
				}
			}
		})
	}
}

func (r *run) cancel(ctx context.Context, each *record) {
	ctx, stop := context.WithTimeout(ctx, cancelTime)
	defer stop()
	each.cancelled.Store(true)
	client := r.options.Target.Clients[each.arrivals.Region]
	// The outcome is seen by the submission itself.
	_, _ = client.Cancel(ctx, caller.Query{Key: each.key, Team: each.arrivals.Team})
}

// submit sends one request and records its outcome.
func (r *run) submit(ctx context.Context, each *record) {
	request := each.request()
	client := r.options.Target.Clients[each.arrivals.Region]
	each.sentAt = time.Since(r.start)
	each.sent.Store(true)
	time.Sleep(r.options.Target.ClientDelay)
	var answer workload.Answer
	var err error
	if each.arrivals.Mode == workload.ModeRequest {
		answer, err = client.Submit(ctx, request)
	} else if _, err = client.SubmitJob(ctx, request); err == nil {
		each.accepted = true
		if each.arrivals.Mode == workload.ModeJob {
			answer, err = r.await(ctx, client, each)
		}
	}
	time.Sleep(r.options.Target.ClientDelay)
	each.doneAt = time.Since(r.start)
	each.settle(ctx, &answer, err)
	each.done.Store(true)
}

// explain asks the scheduler why some unanswered requests wait, for the
// examples of a report.
func (r *run) explain(ctx context.Context) {
	asked := 0
	for _, each := range r.records {
		if each.outcome != Unanswered || asked == maxExamples {
			continue
		}
		asked++
		ctx, stop := context.WithTimeout(ctx, cancelTime)
		explanation, err := r.options.Target.Clients[each.arrivals.Region].Explain(ctx, caller.Query{Key: each.key, Team: each.arrivals.Team})
		stop()
		each.message = "explained as: " + explanation.Summary
		if err != nil {
			each.message = "explaining it failed: " + err.Error()
		}
		for _, step := range explanation.Steps {
			each.message += fmt.Sprintf("; %.3f s %s %s", step.At.Sub(r.start).Seconds(), step.What, step.Detail)
		}
	}
}

// await waits for the answer of an accepted job for as long as the run lasts.
func (r *run) await(ctx context.Context, client *caller.Client, each *record) (workload.Answer, error) {
	for {
		answer, err := client.Wait(ctx, caller.Query{Key: each.key, Team: each.arrivals.Team})
		var failure *caller.Error
		if err == nil || !errors.As(err, &failure) || failure.Cause == nil && failure.Refusal.RetryAfterMS == 0 {
			return answer, err
		}
		if !sleepUntil(ctx, time.Now().Add(askAgain)) {
			return answer, err
		}
	}
}

// settle turns what the caller got into the outcome.
func (r *record) settle(ctx context.Context, answer *workload.Answer, err error) {
	var failure *caller.Error
	switch {
	case err == nil && r.arrivals.Mode == workload.ModeService:
		r.outcome = Started
	case err == nil:
		r.outcome = Answered
		if answer.Failed {
			r.outcome = Failed
		}
		r.body, r.worker = answer.Body, answer.Worker
		r.waited, r.ran = time.Duration(answer.WaitedMS)*time.Millisecond, time.Duration(answer.RanMS)*time.Millisecond
		if problem := checkBody(r, answer); problem != "" {
			r.message = problem
		}
	case ctx.Err() != nil:
		r.outcome, r.message = Unanswered, err.Error()
	case errors.As(err, &failure):
		r.refused(failure)
	default:
		r.outcome, r.message = MayHaveRun, err.Error()
	}
}

func (r *record) refused(failure *caller.Error) {
	r.code, r.message = failure.Refusal.Code, failure.Error()
	switch {
	case r.code == workload.CodeCanceled && r.cancelled.Load():
		r.outcome = Cancelled
	case failure.Refusal.Run == workload.NotRun:
		r.outcome = NotRun
	default:
		r.outcome = MayHaveRun
	}
}
