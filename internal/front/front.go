// Package front is the callers' HTTP interface.
//
// It authorizes, checks and forwards callers' requests, and keeps each connection
// open until the answer is complete. It limits the number of open calls and the
// memory that they take. It reaches the scheduler only through the functions in
// Options.
//
// # Calls
//
//	POST   /v1/requests               submit a request and receive its answer on the same connection
//	POST   /v1/jobs                   submit a durable job or service and receive a receipt
//	GET    /v1/requests/:key          return the status of a request or job
//	GET    /v1/requests/:key/wait     wait for the answer of a request or job
//	GET    /v1/requests/:key/explain  explain why a request or job waits or waited
//	DELETE /v1/requests/:key          cancel a request or job
//	GET    /healthz                   return 200, or 503 while the node drains
//
// Calls by key apply to the work of the token's team. With a token that is valid
// for all teams, the query parameter "team" names the team. The key of another
// team is refused as not found.
//
// # Refusals
//
// The body of every error response is a workload.Refusal. If a retry can help,
// the Retry-After header gives the delay, rounded up to whole seconds.
//
// The refusal's field "run" describes the request, not the call. The front knows
// only that it has not forwarded this attempt. Its own refusals therefore say
// "not-run" for a first attempt. They say "may-have-run" for calls by key and for
// a retry, because an earlier attempt may have run through another node. A
// submission that is refused before its body is read, for example for lack of a
// valid token, is "not-run" only if the header caller.AttemptHeader says that it
// is the first attempt. A body above Options.MaxBodyBytes is always "not-run".
//
// # Long waits
//
// A call that ends within Options.KeepAliveAfter is answered with its own HTTP
// status. After that time the front sends status 200 with content type
// caller.OutcomeContentType, and one space every Options.KeepAliveEvery as a
// keep-alive. The spaces are followed by a caller.Outcome, which contains the
// actual status. A caller that receives nothing for several intervals can assume
// that the connection is broken.
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
	// DefaultMaxBodyBytes fits a payload of workload.MaxPayloadBytes in base64
	// and 64 KiB for the other fields.
	DefaultMaxBodyBytes   = workload.MaxPayloadBytes*4/3 + 64<<10
	DefaultMaxHeaderBytes = 16 << 10
	// DefaultMaxTotalBodyBytes is a quarter of a node's memory of 256 MB,
	// because the decoded payloads are in memory as well.
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

// Query identifies the request or job of a call by key.
type Query struct {
	Key workload.Key
	// Team is the team to whose requests and jobs the lookup is limited.
	Team string
}

// Options are the functions that the front calls, and its limits. Submit,
// SubmitJob, Status, Wait, Cancel, Explain and Authorize must be set. A function
// with a context must return soon after the context ends, which happens when
// the caller's connection closes. A limit, timeout or interval of 0 means its
// default.
type Options struct {
	Submit    func(ctx context.Context, request workload.Request) (workload.Answer, *workload.Refusal)
	SubmitJob func(ctx context.Context, request workload.Request) (caller.Receipt, *workload.Refusal)
	// Status, Wait, Cancel and Explain refuse with workload.CodeNotFound if the
	// query's team has no work with the key.
	Status  func(ctx context.Context, query Query) (caller.Status, *workload.Refusal)
	Wait    func(ctx context.Context, query Query) (workload.Answer, *workload.Refusal)
	Cancel  func(ctx context.Context, query Query) (caller.Status, *workload.Refusal)
	Explain func(ctx context.Context, query Query) (caller.Explanation, *workload.Refusal)
	// Draining reports whether the node is draining before it stops; nil means
	// never.
	Draining func() bool
	// Authorize returns what the bearer token allows, or an error whose text is
	// sent to the caller. The token is empty if the caller sent none.
	Authorize func(token string, remote netip.AddrPort) (access.Grant, error)
	// Record receives the front's log events; nil discards them.
	Record func(definition event.Definition, keyvals ...any)
	// Observe is called after every call with its route, HTTP status, refusal
	// code (empty if not refused) and duration; nil observes nothing.
	Observe func(route string, status int, code workload.Code, duration time.Duration)
	// Now is the clock that requests are validated against; nil is time.Now.
	Now func() time.Time

	// MaxBodyBytes limits the body of a submission. It must be the same on
	// every node: a larger body is refused as "not-run" without reading its
	// attempt number.
	MaxBodyBytes int64
	// MaxTotalBodyBytes limits the bodies of all open submissions together.
	MaxTotalBodyBytes int64
	// MaxHeaderBytes limits the headers of one call.
	MaxHeaderBytes int
	// HeaderTimeout and BodyTimeout limit how long a caller may take to send
	// the headers and the body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// IdleTimeout limits how long a connection stays open between calls.
	IdleTimeout time.Duration
	// KeepAliveAfter is the delay before the first keep-alive byte of a call,
	// and KeepAliveEvery is the interval between the following ones.
	KeepAliveAfter time.Duration
	KeepAliveEvery time.Duration
	// MaxOpenRequests and MaxOpenRequestsPerTeam limit the open calls of the
	// node and of each team.
	MaxOpenRequests        int
	MaxOpenRequestsPerTeam int
	// TLS is the TLS configuration; nil serves plain HTTP.
	TLS *tls.Config
	// MaxConnections limits the open connections; those above it are closed
	// immediately.
	MaxConnections int
	// RetryAfter is the retry delay in refusals because of a limit.
	RetryAfter time.Duration
	// ShutdownTimeout limits how long Serve waits for open calls after its
	// context has ended.
	ShutdownTimeout time.Duration
}

// Front is the HTTP interface for callers. It is safe for concurrent use.
type Front struct {
	options          Options
	echo             *echo.Echo
	admissionControl *admissionControl
}

// New returns a Front, or an error that names the required functions that
// options lacks.
func New(options Options) (*Front, error) {
	if missing := options.missing(); len(missing) > 0 {
		return nil, errors.New("front: Options lacks " + strings.Join(missing, ", "))
	}
	options.setDefaults()
	front := &Front{
		options:          options,
		echo:             echo.New(),
		admissionControl: newAdmissionControl(options.MaxOpenRequests, options.MaxOpenRequestsPerTeam, options.MaxTotalBodyBytes),
	}
	front.echo.HTTPErrorHandler = front.writeRouteError
	front.echo.POST("/v1/requests", front.newHandler(front.submitRequest))
	front.echo.POST("/v1/jobs", front.newHandler(front.submitJob))
	front.echo.GET("/v1/requests/:key", front.newHandler(front.status))
	front.echo.GET("/v1/requests/:key/wait", front.newHandler(front.wait))
	front.echo.GET("/v1/requests/:key/explain", front.newHandler(front.explain))
	front.echo.DELETE("/v1/requests/:key", front.newHandler(front.cancel))
	front.echo.GET("/healthz", front.health)
	return front, nil
}

// missing returns the names of the required functions that are not set.
func (o *Options) missing() []string {
	var missing []string
	for _, function := range []struct {
		name   string
		absent bool
	}{
		{"Submit", o.Submit == nil}, {"SubmitJob", o.SubmitJob == nil}, {"Status", o.Status == nil},
		{"Wait", o.Wait == nil}, {"Cancel", o.Cancel == nil}, {"Explain", o.Explain == nil},
		{"Authorize", o.Authorize == nil},
	} {
		if function.absent {
			missing = append(missing, function.name)
		}
	}
	return missing
}

func (o *Options) setDefaults() {
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

// Handler returns the interface as an http.Handler. HeaderTimeout, IdleTimeout,
// MaxHeaderBytes, MaxConnections and TLS apply only under Serve.
func (f *Front) Handler() http.Handler { return f.echo }

// OpenRequests returns the current number of open calls.
func (f *Front) OpenRequests() int { return f.admissionControl.openCalls() }

// Serve answers callers until the context ends, then closes the listener and
// waits up to Options.ShutdownTimeout for open calls. In a planned stop the node
// drains before the context ends. Serve then returns nil, or
// context.DeadlineExceeded if calls were still open after the timeout. If the
// listener fails earlier, Serve returns its error at once.
func (f *Front) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           f.echo,
		ReadHeaderTimeout: f.options.HeaderTimeout,
		IdleTimeout:       f.options.IdleTimeout,
		MaxHeaderBytes:    f.options.MaxHeaderBytes,
	}
	listener = newLimitedListener(listener, f.options.MaxConnections)
	if f.options.TLS != nil {
		listener = tls.NewListener(listener, f.options.TLS)
	}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(listener) }()
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.options.ShutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdownContext)
	if err != nil {
		_ = server.Close()
	}
	<-serveErrors
	return err
}
