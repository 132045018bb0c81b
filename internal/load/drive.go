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

// Intervals and timeouts of the driver.
const (
	progressInterval = time.Second
	// waitRetryDelay is the delay before a failed call for the answer of an
	// accepted job is repeated.
	waitRetryDelay = 200 * time.Millisecond
	// callTimeout bounds one call that cancels or explains a request.
	callTimeout = 5 * time.Second
)

// ActionResult is the result of one action. AtMS is its start in milliseconds
// since the start of the run, TookMS its duration in milliseconds. Error is
// empty if the action succeeded.
type ActionResult struct {
	Name   string  `json:"name"`
	AtMS   float64 `json:"at-ms"`
	TookMS float64 `json:"took-ms"`
	Error  string  `json:"error,omitempty"`
}

// counters count the requests that were sent and completed so far, for the
// progress messages.
type counters struct{ sent, done atomic.Int64 }

// drive sends each request at its scheduled time and waits for all outcomes. A
// request that is due while Mix.MaxOpen requests are open is not sent.
func (r *run) drive(ctx context.Context) {
	progress := &counters{}
	stop := make(chan struct{})
	samplerDone := make(chan struct{})
	go func() { defer close(samplerDone); r.recordSamples(progress, stop) }()
	trafficMeterDone := make(chan struct{})
	trafficMeterContext, stopTrafficMeter := context.WithCancel(ctx)
	go func() { defer close(trafficMeterDone); r.traffic.run(trafficMeterContext) }()
	r.startCancellations(ctx)
	r.startActions(ctx)
	for _, record := range r.records {
		if !sleepUntil(ctx, r.start.Add(record.dueAt)) {
			break
		}
		if progress.sent.Load()-progress.done.Load() >= int64(r.options.Mix.MaxOpen) {
			record.outcome = NotSent
			continue
		}
		progress.sent.Add(1)
		r.group.Go(func() {
			r.submit(ctx, record)
			progress.done.Add(1)
		})
	}
	sleepUntil(ctx, r.start.Add(r.options.Mix.Duration))
	r.group.Wait()
	close(stop)
	<-samplerDone
	stopTrafficMeter()
	<-trafficMeterDone
}

// sleepUntil waits for a time. It reports false if ctx has ended.
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

// recordSamples records the cost and the traffic at intervals and reports
// progress until stop is closed.
func (r *run) recordSamples(progress *counters, stop <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	lastReportAt := time.Duration(0)
	for {
		now := time.Since(r.start)
		current := sample{at: now, cost: Cost{CPU: -1, Appends: -1}}
		current.sentBytes, current.crossRegionBytes = r.traffic.totals()
		if r.options.Target.Cost != nil {
			current.cost = r.options.Target.Cost()
		}
		r.samples = append(r.samples, current)
		if now-lastReportAt >= progressInterval {
			lastReportAt = now
			sent, done := progress.sent.Load(), progress.done.Load()
			r.options.Progress("%s: %d sent, %d open", now.Round(time.Second), sent, sent-done)
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// startActions starts a goroutine for each action, which runs it at its time.
func (r *run) startActions(ctx context.Context) {
	r.actions = make([]ActionResult, len(r.options.Actions))
	for i, action := range r.options.Actions {
		r.group.Go(func() {
			r.actions[i] = ActionResult{Name: action.Name, Error: "the run ended before the action was due"}
			if !sleepUntil(ctx, r.start.Add(action.At)) {
				return
			}
			startedAt := time.Now()
			r.options.Progress("%s: %s", time.Since(r.start).Round(time.Second), action.Name)
			err := action.Do()
			r.actions[i] = ActionResult{Name: action.Name, AtMS: milliseconds(startedAt.Sub(r.start)), TookMS: milliseconds(time.Since(startedAt))}
			if err != nil {
				r.actions[i].Error = err.Error()
			}
		})
	}
}

// startCancellations starts a goroutine for each cancellation of the mix, which
// cancels a random share of the open requests of its stream at its time.
func (r *run) startCancellations(ctx context.Context) {
	for i, cancellation := range r.options.Mix.Cancellations {
		// The offset 1<<32 keeps the sequence apart from those of the arrival streams.
		random := rand.New(rand.NewPCG(r.options.Mix.Seed, uint64(1<<32+i)))
		r.group.Go(func() {
			if !sleepUntil(ctx, r.start.Add(cancellation.At)) {
				return
			}
			for _, record := range r.records {
				if record.arrivals.Name == cancellation.Arrivals && record.sent.Load() && !record.done.Load() && random.Float64() < cancellation.Share {
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
	// The open Submit or Wait call returns the outcome, so this result is ignored.
	_, _ = client.Cancel(ctx, caller.Query{Key: record.key, Team: record.arrivals.Team})
}

// submit sends one request, waits for its answer and records the outcome.
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

// explainUnanswered asks the scheduler why unanswered requests still wait and
// stores its explanations for the examples of the report. It asks for at most
// maxExamples requests.
func (r *run) explainUnanswered(ctx context.Context) {
	explained := 0
	for _, record := range r.records {
		if record.outcome != Unanswered || explained == maxExamples {
			continue
		}
		explained++
		ctx, stop := context.WithTimeout(ctx, callTimeout)
		explanation, err := r.options.Target.Clients[record.arrivals.Region].Explain(ctx, caller.Query{Key: record.key, Team: record.arrivals.Team})
		stop()
		record.message = "explanation: " + explanation.Summary
		if err != nil {
			record.message = "the explain call failed: " + err.Error()
		}
		for _, step := range explanation.Steps {
			record.message += fmt.Sprintf("; %.3f s %s %s", step.At.Sub(r.start).Seconds(), step.What, step.Detail)
		}
	}
}

// awaitAnswer waits for the answer of an accepted job until ctx ends. It repeats
// a call whose error has a cause, such as a broken connection, and a call that
// was refused with a retry delay.
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

// setOutcome derives the outcome from the caller's answer or error. An error
// after ctx has ended counts as unanswered.
func (r *requestRecord) setOutcome(ctx context.Context, answer *workload.Answer, err error) {
	var failure *caller.Error
	switch {
	case err == nil && r.arrivals.Mode == workload.ModeService:
		r.outcome = ServiceAccepted
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

// setRefusal derives the outcome from a refusal. A cancellation counts as
// Cancelled only if the driver requested it.
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
