package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/platform"
)

const (
	// defaultCallerTimeout is the assumed waiting time of a caller whose request
	// has no platform.DeadlineHeader.
	defaultCallerTimeout = 3 * time.Second
	// answerReserve is subtracted from the caller's deadline to leave time for
	// the answer.
	answerReserve = 150 * time.Millisecond
	// forwardRetryPause is the pause before a request is sent to a leader
	// again.
	forwardRetryPause = 60 * time.Millisecond
	// leaderWait is how long a request waits for a shard that has no leader. A
	// planned change of leader takes less.
	leaderWait = 600 * time.Millisecond
	// shortRetryAfter is the Retry-After of answers that don't depend on the
	// load, for example when a shard has no leader. A dead leader is replaced
	// within this time.
	shortRetryAfter = 1 * time.Second
	// defaultMaxBodyBytes bounds a request's body if the manifest has no bound.
	defaultMaxBodyBytes = 256 << 10
)

// errOutcomeUnknown means that a call may or may not have taken effect.
var errOutcomeUnknown = errors.New("the call may have been carried out")

// errNoLeader means that no node leads the shard and that nothing was sent.
var errNoLeader = errors.New("no node holds the right to the service")

// callerAPI returns the handler of callers' requests.
func (p *Process) callerAPI() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/*", p.withQueue(p.submitJob))
	e.GET("/*", p.withQueue(p.showJob))
	e.DELETE("/*", p.withQueue(p.cancelJob))
	return e
}

// request is a caller's request whose queue was found. jobID is the rest of the
// path; it is empty in a request about the queue. The context ends
// answerReserve before the caller's deadline.
type request struct {
	echo.Context
	queue     manifest.Queue
	jobID     string
	ctx       context.Context
	startedAt time.Time
	// manifestVersion is the version of the manifest that names the queue, and serviceDisabled
	// means that this manifest disables the queue's service.
	manifestVersion int64
	serviceDisabled bool
}

// withQueue returns a handler that finds the request's queue and sets its
// deadline.
func (p *Process) withQueue(handle func(*request) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		startedAt := time.Now()
		current := p.manifest.Load()
		if current == nil {
			return p.refuse(c, "", http.StatusServiceUnavailable, "no manifest is in force yet", shortRetryAfter)
		}
		host, _, _ := strings.Cut(c.Request().Host, ":")
		queue, jobID, found := current.Find(host, c.Request().URL.Path)
		if !found {
			return p.refuse(c, "", http.StatusNotFound, "no such queue", 0)
		}
		ctx, cancel := context.WithDeadline(c.Request().Context(), startedAt.Add(callerTimeout(c.Request())-answerReserve))
		defer cancel()
		return handle(&request{
			Context: c, queue: queue, jobID: jobID, ctx: ctx, startedAt: startedAt,
			manifestVersion: current.Version, serviceDisabled: current.Disables(queue.Service),
		})
	}
}

// callerTimeout returns how long the caller waits for the answer. It is at
// least 2*answerReserve, so that answerReserve remains for the request.
func callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(platform.DeadlineHeader), 10, 64)
	if err != nil || ms <= 0 {
		return defaultCallerTimeout
	}
	return max(time.Duration(ms)*time.Millisecond, 2*answerReserve)
}

// refuse answers a request that had no effect.
func (p *Process) refuse(c echo.Context, queue string, status int, reason string, retryAfter time.Duration) error {
	p.metrics.countRequest(queue, status)
	if status == http.StatusServiceUnavailable && p.isolated() {
		// The load balancer sends the caller's next connection to another node.
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

func (r *request) maxBodyBytes(p *Process) int64 {
	if current := p.manifest.Load(); current != nil && current.MaxBodyBytes > 0 {
		return current.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

func (p *Process) submitJob(r *request) error {
	name := r.queue.Terms.Queue
	if !job.ValidID(r.jobID) {
		return p.refuse(r, name, http.StatusBadRequest, "the path doesn't end in a job's 16 hexadecimal digits", 0)
	}
	limit := r.maxBodyBytes(p)
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
	var earlierErr error
	ref, err := p.shardOf(r.ctx, r.startedAt, r.queue.Service, r.jobID)
	if err == nil {
		message := submitRequest{
			Shard: ref.key(), ID: r.jobID, Terms: r.queue.Terms, Spec: spec, QueueKey: queueKey(r.queue), ManifestVersion: r.manifestVersion,
			ServiceDisabled: r.serviceDisabled,
		}
		answer, earlierErr, err = forward(r.ctx, p, r.startedAt, ref, pathSubmit, message, (*shardLeader).submit)
	}
	switch {
	case errors.Is(err, errNoLeader):
		return p.refuse(r, name, http.StatusServiceUnavailable, err.Error(), shortRetryAfter)
	case err != nil:
		return p.answerOutcomeUnknown(r, name, err)
	case earlierErr != nil && !answer.Accepted:
		return p.answerOutcomeUnknown(r, name, fmt.Errorf("%w: an earlier call failed: %w", errOutcomeUnknown, earlierErr))
	case answer.QueueMoved:
		return p.answerOutcomeUnknown(r, name, errManifestOutdated)
	case answer.Unavailable:
		return p.refuse(r, name, http.StatusServiceUnavailable, answer.Reason, answer.RetryAfter)
	case !answer.Accepted:
		return p.refuse(r, name, http.StatusTooManyRequests, answer.Reason, answer.RetryAfter)
	}
	p.metrics.countRequest(name, http.StatusOK)
	return r.JSONBlob(http.StatusOK, []byte(`{}`))
}

// answerOutcomeUnknown answers a request that may or may not have taken effect.
func (p *Process) answerOutcomeUnknown(r *request, queue string, err error) error {
	p.metrics.countRequest(queue, http.StatusGatewayTimeout)
	p.log("request-undecided", "path", r.Request().URL.Path, "method", r.Request().Method, "queue", queue, "after", time.Since(r.startedAt), "cause", err)
	return r.JSONBlob(http.StatusGatewayTimeout, platform.EncodeError(err.Error()))
}

func (p *Process) showJob(r *request) error {
	name := r.queue.Terms.Queue
	if r.jobID == "" {
		waiting, err := p.countWaiting(r)
		if err != nil {
			return p.refuse(r, name, http.StatusServiceUnavailable, err.Error(), shortRetryAfter)
		}
		return r.JSONBlob(http.StatusOK, platform.EncodeWaiting(waiting))
	}
	answer, err := p.callEachService(r, pathState, (*shardLeader).jobState)
	if err != nil {
		return p.refuse(r, name, http.StatusServiceUnavailable, err.Error(), shortRetryAfter)
	}
	if !answer.Known {
		p.log("job-unknown", "job", r.jobID, "queue", name)
		return r.JSONBlob(http.StatusGone, platform.EncodeError("no such job"))
	}
	return r.JSONBlob(http.StatusOK, platform.EncodeState(answer.State))
}

func (p *Process) cancelJob(r *request) error {
	name := r.queue.Terms.Queue
	answer, err := p.callEachService(r, pathCancel, (*shardLeader).cancelJob)
	if errors.Is(err, errNoLeader) {
		return p.refuse(r, name, http.StatusServiceUnavailable, err.Error(), shortRetryAfter)
	}
	if err != nil {
		return p.answerOutcomeUnknown(r, name, err)
	}
	if !answer.Known {
		return r.JSONBlob(http.StatusGone, platform.EncodeError("no such job"))
	}
	return r.JSONBlob(http.StatusOK, []byte(`{}`))
}

// countWaiting adds up the queue's waiting jobs in all shards of its service, and of the services
// that it had formerly.
func (p *Process) countWaiting(r *request) (int, error) {
	type target struct {
		ref   shardRef
		queue string
	}
	var targets []target
	current := servedQueue{Service: r.queue.Service, Queue: r.queue.Terms.Queue}
	p.mu.Lock()
	served := p.queueHistories[queueKey(r.queue)].Served
	if !slices.Contains(served, current) {
		served = append([]servedQueue{current}, served...)
	}
	for _, former := range served {
		count := p.shardCounts[former.Service]
		for index := range count {
			targets = append(targets, target{shardRef{former.Service, index, count}, former.Queue})
		}
	}
	counted := p.shardCounts[current.Service] > 0
	p.mu.Unlock()
	if !counted {
		return 0, errNoLeader
	}
	type result struct {
		waiting int
		err     error
	}
	results := make(chan result, len(targets))
	for _, t := range targets {
		go func() {
			answer, _, err := forward(r.ctx, p, r.startedAt, t.ref, pathWaiting, waitingRequest{t.ref.key(), t.queue}, (*shardLeader).waitingJobs)
			results <- result{answer.Waiting, err}
		}()
	}
	total := 0
	var failure error
	for range targets {
		answered := <-results
		total += answered.waiting
		if answered.err != nil {
			failure = answered.err
		}
	}
	return total, failure
}

// callEachService makes a call about the job to the queue's service. While the
// job is unknown, it calls the other services too: a newer manifest may have
// moved the queue from one of them. If one of them can't be asked and no other one
// knows the job, it returns the error.
func (p *Process) callEachService(r *request, path string, local func(*shardLeader, context.Context, jobRequest) (stateAnswer, error)) (stateAnswer, error) {
	answer, failure := p.callService(r, r.queue.Service, path, local)
	if failure != nil || answer.Known {
		return answer, failure
	}
	for _, service := range p.jobServices() {
		if service == r.queue.Service {
			continue
		}
		answer, err := p.callService(r, service, path, local)
		if err == nil && answer.Known {
			return answer, nil
		}
		failure = cmp.Or(failure, err)
	}
	return stateAnswer{}, failure
}

// jobServices returns the services that may have jobs, sorted: those that were ever in use, also if
// the manifest has disabled or removed them since, and those that it enables now.
func (p *Process) jobServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	services := slices.Collect(maps.Keys(p.shardCounts))
	if current := p.manifest.Load(); current != nil {
		for _, service := range current.Services {
			if !service.Disabled && p.shardCounts[service.Name] == 0 {
				services = append(services, service.Name)
			}
		}
	}
	slices.Sort(services)
	return services
}

// callService makes a call to the shard of a service that the job belongs to.
func (p *Process) callService(r *request, service, path string, local func(*shardLeader, context.Context, jobRequest) (stateAnswer, error)) (stateAnswer, error) {
	ref, err := p.shardOf(r.ctx, r.startedAt, service, r.jobID)
	if err != nil {
		return stateAnswer{}, err
	}
	answer, _, err := forward(r.ctx, p, r.startedAt, ref, path, jobRequest{ref.key(), r.jobID}, local)
	return answer, err
}

// forward sends a message to the leader of a shard and retries until the
// context ends. It waits for a leader until leaderWait after startedAt. If this process leads the shard, local handles the
// message. Every message names a job by its identity or only reads, so it may
// be sent again to the same or the next leader, which knows whether an earlier
// call took effect.
//
// If the shard has no leader while the store doesn't serve this node, it returns at once:
// no claim that this node could wait for can be stored.
//
// earlierErr is the error of an earlier call that the leader that answered may
// still carry out. A call to a former leader can't take effect any more, as the
// next leader has fenced it.
func forward[Message, Answer any](ctx context.Context, p *Process, startedAt time.Time, ref shardRef, path string, message Message, local func(*shardLeader, context.Context, Message) (Answer, error)) (answer Answer, earlierErr, err error) {
	var zero Answer
	var pendingErr error
	var pendingEpoch int64
	for {
		leader, leadersChanged, l := p.leaderOf(ref.key())
		answer, err = zero, errNoLeader
		called := true
		switch {
		case l != nil && !l.lost.Load():
			answer, err = local(l, ctx, message)
		case leader.Epoch > 0 && leader.Address.IsValid() && leader.Address != p.address && !p.leaderSilent(ref.key(), leader):
			callCtx, cancel := p.untilReplaced(ctx, ref.key(), leader)
			answer, err = callPeer[Answer](callCtx, p.peerClient, leader.Address, path, message)
			cancel()
		default:
			called = false
		}
		giveUp := ctx.Err() != nil || !called && p.storeHealthyFor() == 0
		switch {
		case err == nil && pendingEpoch == leader.Epoch:
			return answer, pendingErr, nil
		case err == nil:
			return answer, nil, nil
		case !errors.Is(err, errNoLeader) && !hadNoEffect(err):
			pendingErr, pendingEpoch = err, leader.Epoch
		}
		switch {
		case pendingErr != nil && giveUp:
			return zero, pendingErr, fmt.Errorf("%w: %w", errOutcomeUnknown, pendingErr)
		case pendingErr == nil && (giveUp || time.Since(startedAt) > leaderWait):
			return zero, nil, errNoLeader
		}
		select {
		case <-leadersChanged:
		case <-time.After(forwardRetryPause):
		case <-ctx.Done():
		}
	}
}

// leaderOf returns a shard's leader as far as it is known, a channel that is
// closed when leaders change, and the shardLeader if this process leads the
// shard.
func (p *Process) leaderOf(key string) (election.Leader, chan struct{}, *shardLeader) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaders[key], p.leadersChanged, p.ledShards[key]
}

// leaderSilent reports whether the leader has left this node's heartbeats
// unanswered for so long that a message to it would be lost or have an unknown
// outcome.
func (p *Process) leaderSilent(key string, leader election.Leader) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.leaderViews[key]
	return v != nil && v.leader.Epoch == leader.Epoch && time.Since(v.lastHeard) >= election.SuspectTimeout(v.isMonitor, v.heartbeatInterval)
}

// untilReplaced returns a context that also ends when the shard has a new
// leader.
func (p *Process) untilReplaced(ctx context.Context, key string, leader election.Leader) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			current, leadersChanged, _ := p.leaderOf(key)
			if current.Epoch != leader.Epoch {
				cancel()
				return
			}
			select {
			case <-leadersChanged:
			case <-ctx.Done():
			}
		}
	}()
	return ctx, cancel
}

// metricsPort is the port of the metrics; deploy/system.toml names the same
// port.
const metricsPort = 9464
