package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/internal/right"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// defaultDeadline is how long a caller waits that doesn't say.
	defaultDeadline = 3 * time.Second
	// answerReserve is kept of the caller's deadline for the way back.
	answerReserve = 150 * time.Millisecond
	// moveRetry is the pause before a request is sent to a holder again.
	moveRetry = 60 * time.Millisecond
	// holderWait is how long a request waits for a right to find a holder
	// when one was just given back: a planned change takes less.
	holderWait = 600 * time.Millisecond
	// retrySoon is told to callers when no node holds the right: the time in
	// which a silent holder is replaced.
	retrySoon = 1 * time.Second
	// defaultBody bounds a request before a manifest says more.
	defaultBody = 256 << 10
)

// errUndecided says that the effect of a call isn't known.
var errUndecided = errors.New("the call may have been carried out")

// errNoHolder says that no node holds the right, and that nothing was sent.
var errNoHolder = errors.New("no node holds the right to the service")

// front returns the callers' interface.
func (p *Process) front() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/*", p.handle(p.submitJob))
	e.GET("/*", p.handle(p.showJob))
	e.DELETE("/*", p.handle(p.cancelJob))
	return e
}

// request is one caller's request whose queue was found.
type request struct {
	echo.Context
	queue manifest.Queue
	rest  string
	ctx   context.Context
	began time.Time
}

func (p *Process) handle(then func(*request) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		began := time.Now()
		current := p.manifest.Load()
		if current == nil {
			return p.refuse(c, "", http.StatusServiceUnavailable, "no manifest is in force yet", retrySoon)
		}
		host, _, _ := strings.Cut(c.Request().Host, ":")
		queue, rest, found := current.Find(host, c.Request().URL.Path)
		if !found {
			return p.refuse(c, "", http.StatusNotFound, "no such queue", 0)
		}
		ctx, cancel := context.WithDeadline(c.Request().Context(), began.Add(deadlineOf(c.Request())-answerReserve))
		defer cancel()
		return then(&request{Context: c, queue: queue, rest: rest, ctx: ctx, began: began})
	}
}

func deadlineOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(platform.DeadlineHeader), 10, 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}
	return max(time.Duration(ms)*time.Millisecond, 2*answerReserve)
}

// refuse answers a request that was not carried out.
func (p *Process) refuse(c echo.Context, queue string, status int, reason string, retryAfter time.Duration) error {
	p.metrics.intake(queue, status)
	if status == http.StatusServiceUnavailable && p.isolated() {
		// The balancer gives the caller's next connection to another node.
		c.Response().Header().Set("Connection", "close")
	}
	if retryAfter > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	if status != http.StatusNotFound || queue != "" {
		p.log("request-refused", "path", c.Request().URL.Path, "method", c.Request().Method, "queue", queue, "status", status, "reason", reason, "retry-after", retryAfter)
	}
	return c.JSONBlob(status, platform.EncodeError(reason))
}

func (r *request) maxBody(p *Process) int64 {
	if current := p.manifest.Load(); current != nil && current.MaxBodyBytes > 0 {
		return current.MaxBodyBytes
	}
	return defaultBody
}

func (p *Process) submitJob(r *request) error {
	name := r.queue.Terms.Queue
	if !job.ValidID(r.rest) {
		return p.refuse(r, name, http.StatusBadRequest, "the path doesn't end in a job's 16 hexadecimal digits", 0)
	}
	limit := r.maxBody(p)
	body, err := io.ReadAll(io.LimitReader(r.Request().Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > limit {
		return p.refuse(r, name, http.StatusRequestEntityTooLarge, "the body is too large", 0)
	}
	spec, err := platform.DecodeSubmission(body)
	if err != nil {
		return p.refuse(r, name, http.StatusBadRequest, err.Error(), 0)
	}
	var answer submitAnswer
	var open error
	to, err := p.partOf(r, r.queue.Service, r.rest)
	if err == nil {
		message := submitRequest{Service: to.name(), ID: r.rest, Terms: r.queue.Terms, Spec: spec}
		answer, open, err = forward(p, r, to, pathSubmit, message, (*holder).submit)
	}
	switch {
	case errors.Is(err, errNoHolder):
		return p.refuse(r, name, http.StatusServiceUnavailable, err.Error(), retrySoon)
	case err != nil:
		return p.undecided(r, name, err)
	case open != nil && !answer.Accepted:
		return p.undecided(r, name, fmt.Errorf("%w: an earlier call failed: %w", errUndecided, open))
	case answer.Unavailable:
		return p.refuse(r, name, http.StatusServiceUnavailable, answer.Reason, answer.RetryAfter)
	case !answer.Accepted:
		return p.refuse(r, name, http.StatusTooManyRequests, answer.Reason, answer.RetryAfter)
	}
	p.metrics.intake(name, http.StatusOK)
	return r.JSONBlob(http.StatusOK, []byte(`{}`))
}

// undecided answers a request whose effect isn't known.
func (p *Process) undecided(r *request, queue string, err error) error {
	p.metrics.intake(queue, http.StatusGatewayTimeout)
	p.log("request-undecided", "path", r.Request().URL.Path, "method", r.Request().Method, "queue", queue, "after", time.Since(r.began), "cause", err)
	return r.JSONBlob(http.StatusGatewayTimeout, platform.EncodeError(err.Error()))
}

func (p *Process) showJob(r *request) error {
	name := r.queue.Terms.Queue
	if r.rest == "" {
		waiting, err := p.waiting(r)
		if err != nil {
			return p.refuse(r, name, http.StatusServiceUnavailable, err.Error(), retrySoon)
		}
		return r.JSONBlob(http.StatusOK, platform.EncodeWaiting(waiting))
	}
	answer, err := p.eachService(r, pathState, (*holder).state)
	if err != nil {
		return p.refuse(r, name, http.StatusServiceUnavailable, err.Error(), retrySoon)
	}
	if !answer.Known {
		p.log("job-unknown", "job", r.rest, "queue", name)
		return r.JSONBlob(http.StatusGone, platform.EncodeError("no such job"))
	}
	return r.JSONBlob(http.StatusOK, platform.EncodeState(answer.State))
}

func (p *Process) cancelJob(r *request) error {
	name := r.queue.Terms.Queue
	answer, err := p.eachService(r, pathCancel, (*holder).stopJob)
	if errors.Is(err, errNoHolder) {
		return p.refuse(r, name, http.StatusServiceUnavailable, err.Error(), retrySoon)
	}
	if err != nil {
		return p.undecided(r, name, err)
	}
	if !answer.Known {
		return r.JSONBlob(http.StatusGone, platform.EncodeError("no such job"))
	}
	return r.JSONBlob(http.StatusOK, []byte(`{}`))
}

// waiting adds up the counts of the queue in all shards of its service.
func (p *Process) waiting(r *request) (int, error) {
	p.mu.Lock()
	count := p.counts[r.queue.Service]
	p.mu.Unlock()
	if count == 0 {
		return 0, errNoHolder
	}
	type result struct {
		waiting int
		err     error
	}
	results := make(chan result, count)
	for index := range count {
		to := part{r.queue.Service, index, count}
		go func() {
			answer, _, err := forward(p, r, to, pathWaiting, waitingRequest{to.name(), r.queue.Terms.Queue}, (*holder).waiting)
			results <- result{answer.Waiting, err}
		}()
	}
	total := 0
	var failure error
	for range count {
		one := <-results
		total += one.waiting
		if one.err != nil {
			failure = one.err
		}
	}
	return total, failure
}

// eachService asks the queue's service, and the others if it doesn't know the
// job: the manifest may have given the queue to another service since.
func (p *Process) eachService(r *request, path string, local func(*holder, context.Context, jobRequest) (stateAnswer, error)) (stateAnswer, error) {
	answer, err := p.inService(r, r.queue.Service, path, local)
	if err != nil || answer.Known {
		return answer, err
	}
	for _, service := range p.manifest.Load().Services {
		if service.Name == r.queue.Service || service.Spare {
			continue
		}
		answer, err := p.inService(r, service.Name, path, local)
		if err != nil || answer.Known {
			return answer, err
		}
	}
	return answer, nil
}

// inService asks the shard of a service that the job belongs to.
func (p *Process) inService(r *request, service, path string, local func(*holder, context.Context, jobRequest) (stateAnswer, error)) (stateAnswer, error) {
	to, err := p.partOf(r, service, r.rest)
	if err != nil {
		return stateAnswer{}, err
	}
	answer, _, err := forward(p, r, to, path, jobRequest{to.name(), r.rest}, local)
	return answer, err
}

// forward hands a message to the holder of the queue's service. Every message
// names a job by its identity or only reads, so it may be sent again to the
// next holder: a call whose effect is unknown is repeated there until the
// caller's time is over, as the next holder knows whether it was carried out.
// open is the failure of an earlier call that the same holder may still carry
// out after its answer; a former holder's is shut out by the next one.
func forward[Message, Answer any](p *Process, r *request, to part, path string, message Message, local func(*holder, context.Context, Message) (Answer, error)) (answer Answer, open, err error) {
	var none Answer
	var sent error
	var sentTo int64
	for {
		holding, changed, h := p.holding(to.name())
		answer, err = none, errNoHolder
		switch {
		case h != nil && !h.lost.Load():
			answer, err = local(h, r.ctx, message)
		case holding.Epoch > 0 && holding.Address != p.address && !p.silent(to.name(), holding):
			ctx, cancel := p.untilReplaced(r.ctx, to.name(), holding)
			answer, err = ask[Answer](ctx, p.peers, holding.Address, path, message)
			cancel()
		}
		switch {
		case err == nil && sentTo == holding.Epoch:
			return answer, sent, nil
		case err == nil:
			return answer, nil, nil
		case !errors.Is(err, errNoHolder) && !notSent(err):
			sent, sentTo = err, holding.Epoch
		}
		switch {
		case sent != nil && r.ctx.Err() != nil:
			return none, sent, fmt.Errorf("%w: %w", errUndecided, sent)
		case sent == nil && (r.ctx.Err() != nil || time.Since(r.began) > holderWait):
			return none, nil, errNoHolder
		}
		select {
		case <-changed:
		case <-time.After(moveRetry):
		case <-r.ctx.Done():
		}
	}
}

// holding returns what is known of a shard's right.
func (p *Process) holding(name string) (right.Holding, chan struct{}, *holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rights[name], p.changed, p.holders[name]
}

// silent reports whether the holder has not answered this node's greetings:
// what is sent to it now would be lost or undecided.
func (p *Process) silent(name string, holding right.Holding) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.views[name]
	return v != nil && v.holding.Epoch == holding.Epoch && time.Since(v.heard) >= right.Suspect(v.watches, v.pause)
}

// untilReplaced returns a context that also ends when the right has a new holder.
func (p *Process) untilReplaced(ctx context.Context, name string, holding right.Holding) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			now, changed, _ := p.holding(name)
			if now.Epoch != holding.Epoch {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return ctx, cancel
}

// metricsPort is where the process serves its metrics; deploy/system.toml
// names the same.
const metricsPort = 9464
