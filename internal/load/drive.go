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
	progressInterval = time.Second
	// waitRetryDelay is the pause before the answer of an accepted job is asked for
	// again after a failed call.
	waitRetryDelay = 200 * time.Millisecond
	// callTimeout bounds the cancellation of one request.
	callTimeout = 5 * time.Second
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
	go func() { defer close(watched); r.recordSamples(count, stop) }()
	metered := make(chan struct{})
	meterContext, stopMeter := context.WithCancel(ctx)
	go func() { defer close(metered); r.traffic.run(meterContext) }()
	r.startCancellations(ctx)
	r.startActions(ctx)
	for _, record := range r.records {
		if !sleepUntil(ctx, r.start.Add(record.dueAt)) {
			break
		}
		if count.sent.Load()-count.done.Load() >= int64(r.options.Mix.MaxOpen) {
			record.outcome = NotSent
			continue
		}
		count.sent.Add(1)
		r.group.Go(func() {
			r.submit(ctx, record)
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

// recordSamples samples the cost and reports progress until stop is closed.
func (r *run) recordSamples(count *counters, stop <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	reported := time.Duration(0)
	for {
		now := time.Since(r.start)
		current := sample{at: now, cost: Cost{CPU: -1, Appends: -1}}
		current.sent, current.crossRegion = r.traffic.totals()
		if r.options.Target.Cost != nil {
			current.cost = r.options.Target.Cost()
		}
		r.samples = append(r.samples, current)
		if now-reported >= progressInterval {
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

// startCancellations cancels a share of the open requests of a stream at a time.
func (r *run) startCancellations(ctx context.Context) {
	for i, wave := range r.options.Mix.Cancellations {
		random := rand.New(rand.NewPCG(r.options.Mix.Seed, uint64(1<<32+i)))
		r.group.Go(func() {
			if !sleepUntil(ctx, r.start.Add(wave.At)) {
				return
			}
			for _, record := range r.records {
				if record.arrivals.Name == wave.Arrivals && record.sent.Load() && !record.done.Load() && random.Float64() < wave.Share {
					r.group.Go(func() { r.cancel(ctx, record) })
				}
			}
		})
	}
}

func (r *run) cancel(ctx context.Context, record *requestRecord) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	record.cancelled.Store(true)
	client := r.options.Target.Clients[record.arrivals.Region]
	// The outcome is seen by the submission itself.
	_, _ = client.Cancel(ctx, caller.Query{Key: record.key, Team: record.arrivals.Team})
}

// submit sends one request and records its outcome.
func (r *run) submit(ctx context.Context, record *requestRecord) {
	request := record.request()
	client := r.options.Target.Clients[record.arrivals.Region]
	record.sentAt = time.Since(r.start)
	record.sent.Store(true)
	time.Sleep(r.options.Target.ClientDelay)
	var answer workload.Answer
	var err error
	if record.arrivals.Mode == workload.ModeRequest {
		answer, err = client.Submit(ctx, request)
	} else if _, err = client.SubmitJob(ctx, request); err == nil {
		record.accepted, record.acceptedAt = true, time.Since(r.start)
		if record.arrivals.Mode == workload.ModeJob {
			answer, err = r.awaitAnswer(ctx, client, record)
		}
	}
	time.Sleep(r.options.Target.ClientDelay)
	record.doneAt = time.Since(r.start)
	record.setOutcome(ctx, &answer, err)
	record.done.Store(true)
}

// explainUnanswered asks the scheduler why some unanswered requests wait, for the
// examples of a report.
func (r *run) explainUnanswered(ctx context.Context) {
	asked := 0
	for _, record := range r.records {
		if record.outcome != Unanswered || asked == maxExamples {
			continue
		}
		asked++
		ctx, stop := context.WithTimeout(ctx, callTimeout)
		explanation, err := r.options.Target.Clients[record.arrivals.Region].Explain(ctx, caller.Query{Key: record.key, Team: record.arrivals.Team})
		stop()
		record.message = "explained as: " + explanation.Summary
		if err != nil {
			record.message = "explaining it failed: " + err.Error()
		}
		for _, step := range explanation.Steps {
			record.message += fmt.Sprintf("; %.3f s %s %s", step.At.Sub(r.start).Seconds(), step.What, step.Detail)
		}
	}
}

// awaitAnswer waits for the answer of an accepted job for as long as the run lasts.
func (r *run) awaitAnswer(ctx context.Context, client *caller.Client, record *requestRecord) (workload.Answer, error) {
	for {
		answer, err := client.Wait(ctx, caller.Query{Key: record.key, Team: record.arrivals.Team})
		var failure *caller.Error
		if err == nil || !errors.As(err, &failure) || failure.Cause == nil && failure.Refusal.RetryAfterMS == 0 {
			return answer, err
		}
		if !sleepUntil(ctx, time.Now().Add(waitRetryDelay)) {
			return answer, err
		}
	}
}

// setOutcome turns what the caller got into the outcome.
func (r *requestRecord) setOutcome(ctx context.Context, answer *workload.Answer, err error) {
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
		r.setRefusal(failure)
	default:
		r.outcome, r.message = MayHaveRun, err.Error()
	}
}

func (r *requestRecord) setRefusal(failure *caller.Error) {
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
