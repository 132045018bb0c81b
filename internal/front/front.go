// Package front is the callers' HTTP interface.
//
// It checks, admits and forwards callers' requests and holds each connection
// until the whole answer is there. The scheduler itself is reached only
// through the function fields of Options.
//
// # Calls
//
//	POST   /v1/requests               submit a request, the answer comes on the same connection
//	POST   /v1/jobs                   submit a durable job or service, answered with a receipt
//	GET    /v1/requests/:key          status of a request or job
//	GET    /v1/requests/:key/wait     wait for the answer of a request or job
//	GET    /v1/requests/:key/explain  why the work waited or waits
//	DELETE /v1/requests/:key          cancel
//	GET    /healthz                   200, or 503 once the node drains
//
// Calls by key concern the team of the token. A token for all teams names the
// team with the query parameter "team". The key of another team is not found.
//
// # Refusals
//
// Every error answer is a workload.Refusal, with Retry-After rounded up to
// whole seconds if a retry can help. Its field "run" is about the request, not
// about the call. The front can vouch only for what it has not forwarded, so
// its own refusals are "not-run" for a first attempt and "may-have-run" for a
// retry (an earlier attempt may have run through another node) and for calls
// by key. A submission that is refused before its body is read (no valid token,
// too many bytes) is "not-run" only if the header caller.AttemptHeader says
// that it is the first attempt.
//
// # Long waits
//
// A quick answer has its exact HTTP status. After Options.KeepAliveAfter the
// front sends status 200 with content type caller.OutcomeContentType and one
// space every Options.KeepAliveEvery. The body, after the spaces, is then a
// caller.Outcome that carries the status. A caller that receives nothing for
// several such intervals can take the connection for dead.
//
// # Usage
//
//	front, err := front.New(front.Options{Submit: node.Submit, ...})
//	listener, err := front.Listen(ctx, address)
//	err = front.Serve(ctx, listener)
package front

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"yuccalanding.example/yuccalanding/internal/access"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Defaults of Options.
const (
	// DefaultMaxBodyBytes leaves room for a payload of workload.MaxPayloadBytes
	// in base64 and for the other fields.
	DefaultMaxBodyBytes   = workload.MaxPayloadBytes*4/3 + 64<<10
	DefaultMaxHeaderBytes = 16 << 10
	// DefaultMaxTotalBodyBytes is a quarter of a node's memory of 256 MB, since
	// the decoded payload is held as well.
	DefaultMaxTotalBodyBytes      = 64 << 20
	DefaultHeaderTimeout          = 5 * time.Second
	DefaultBodyTimeout            = 15 * time.Second
	DefaultIdleTimeout            = 90 * time.Second
	DefaultKeepAliveAfter         = 10 * time.Second
	DefaultKeepAliveEvery         = 5 * time.Second
	DefaultMaxOpenRequests        = 20_000
	DefaultMaxOpenRequestsPerTeam = 5_000
	DefaultMaxConnections         = 25_000
	DefaultRetryAfter             = time.Second
	DefaultShutdownTimeout        = 30 * time.Second
)

// Query names the work that a call by key is about.
type Query struct {
	Key workload.Key
	// Team owns the range in which the key is looked up.
	Team string
}

// Options are the front's seams and bounds. Submit, SubmitJob, Status, Wait,
// Cancel, Explain and Authorize must be set. Seams must return soon after
// their context ends, which it does when the caller's connection closes.
// Zero bounds take the defaults above.
type Options struct {
	Submit    func(ctx context.Context, request workload.Request) (workload.Answer, *workload.Refusal)
	SubmitJob func(ctx context.Context, request workload.Request) (caller.Receipt, *workload.Refusal)
	// Status, Wait, Cancel and Explain answer not-found for a key that is not
	// of the query's team.
	Status  func(ctx context.Context, query Query) (caller.Status, *workload.Refusal)
	Wait    func(ctx context.Context, query Query) (workload.Answer, *workload.Refusal)
	Cancel  func(ctx context.Context, query Query) (caller.Status, *workload.Refusal)
	Explain func(ctx context.Context, query Query) (caller.Explanation, *workload.Refusal)
	// Draining reports whether the node was told to stop; nil is never.
	Draining func() bool
	// Authorize returns what the bearer token allows; the token is empty if
	// the caller sent none.
	Authorize func(token string, remote netip.AddrPort) (access.Grant, error)
	// Record takes the front's events; nil discards them.
	Record func(definition event.Definition, keyvals ...any)
	// Observe is called after every call with its route, HTTP status, refusal
	// code (empty if not refused) and duration; nil discards them.
	Observe func(route string, status int, code workload.Code, took time.Duration)
	// Now is the clock for keys' times of issue; nil is time.Now.
	Now func() time.Time

	// MaxBodyBytes must be the same on every node: a body above it is refused as
	// "not-run" without reading its attempt number.
	MaxBodyBytes int64
	// MaxTotalBodyBytes bounds the bodies of all open submissions together.
	MaxTotalBodyBytes int64
	MaxHeaderBytes    int
	// HeaderTimeout and BodyTime bound how long a caller may take to send them.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// IdleTimeout bounds how long a connection stays open between calls.
	IdleTimeout    time.Duration
	KeepAliveAfter time.Duration
	KeepAliveEvery time.Duration
	// MaxOpenRequests and OpenRequestsPerTeam bound calls that are held open.
	MaxOpenRequests        int
	MaxOpenRequestsPerTeam int
	// TLS is the configuration for TLS; nil is plain HTTP.
	TLS *tls.Config
	// MaxConnections bounds the open connections; more are closed at once.
	MaxConnections int
	// RetryAfter is the retry time of the front's own refusals.
	RetryAfter time.Duration
	// ShutdownTimeout is how long Serve waits for open calls once its context ended.
	ShutdownTimeout time.Duration
}

// Front serves callers. It lives as long as the process.
type Front struct {
	options   Options
	echo      *echo.Echo
	admission *admission
}

// New returns a Front, or an error that names the seams that are missing.
func New(options Options) (*Front, error) {
	if missing := options.missing(); len(missing) > 0 {
		return nil, errors.New("front: Options lacks " + strings.Join(missing, ", "))
	}
	options.fill()
	front := &Front{
		options:   options,
		echo:      echo.New(),
		admission: newAdmission(options.MaxOpenRequests, options.MaxOpenRequestsPerTeam, options.MaxTotalBodyBytes),
	}
	front.echo.HTTPErrorHandler = front.routeError
	front.echo.POST("/v1/requests", front.handle(front.submitRequest))
	front.echo.POST("/v1/jobs", front.handle(front.submitJob))
	front.echo.GET("/v1/requests/:key", front.handle(front.status))
	front.echo.GET("/v1/requests/:key/wait", front.handle(front.wait))
	front.echo.GET("/v1/requests/:key/explain", front.handle(front.explain))
	front.echo.DELETE("/v1/requests/:key", front.handle(front.cancel))
	front.echo.GET("/healthz", front.health)
	return front, nil
}

func (o *Options) missing() []string {
	var missing []string
	for _, seam := range []struct {
		name   string
		absent bool
	}{
		{"Submit", o.Submit == nil}, {"SubmitJob", o.SubmitJob == nil}, {"Status", o.Status == nil},
		{"Wait", o.Wait == nil}, {"Cancel", o.Cancel == nil}, {"Explain", o.Explain == nil},
		{"Authorize", o.Authorize == nil},
	} {
		if seam.absent {
			missing = append(missing, seam.name)
		}
	}
	return missing
}

func (o *Options) fill() {
	if o.Draining == nil {
		o.Draining = func() bool { return false }
	}
	if o.Record == nil {
		o.Record = func(event.Definition, ...any) {}
	}
	if o.Observe == nil {
		o.Observe = func(string, int, workload.Code, time.Duration) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxTotalBodyBytes, DefaultMaxTotalBodyBytes)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&o.BodyTimeout, DefaultBodyTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.KeepAliveAfter, DefaultKeepAliveAfter)
	setDefault(&o.KeepAliveEvery, DefaultKeepAliveEvery)
	setDefault(&o.MaxOpenRequests, DefaultMaxOpenRequests)
	setDefault(&o.MaxOpenRequestsPerTeam, DefaultMaxOpenRequestsPerTeam)
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.RetryAfter, DefaultRetryAfter)
	setDefault(&o.ShutdownTimeout, DefaultShutdownTimeout)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Handler returns the interface as an http.Handler. The bounds on header and
// idle time hold only under Serve.
func (f *Front) Handler() http.Handler { return f.echo }

// OpenRequests returns the number of calls that are held open now.
func (f *Front) OpenRequests() int { return f.admission.open() }

// Serve answers callers until the context ends, then closes the listener and
// waits for open calls up to StopBound. A planned stop ends the context only
// after the node has drained. Serve then returns nil, or an error if calls were
// still open at the bound.
func (f *Front) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           f.echo,
		ReadHeaderTimeout: f.options.HeaderTimeout,
		IdleTimeout:       f.options.IdleTimeout,
		MaxHeaderBytes:    f.options.MaxHeaderBytes,
	}
	listener = newBoundedListener(listener, f.options.MaxConnections)
	if f.options.TLS != nil {
		listener = tls.NewListener(listener, f.options.TLS)
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.options.ShutdownTimeout)
	defer cancel()
	err := server.Shutdown(bound)
	if err != nil {
		_ = server.Close()
	}
	<-failed
	return err
}
