// Package operator serves the operators' HTTP interface of a node. It has a
// listen address of its own, apart from the callers' interface.
//
// It shows the state of the cluster as this node sees it, reads and changes the
// configuration, and starts a drain. It calls the scheduler only through the
// function fields of Options.
//
// # Calls
//
//	GET  /dump            state of the process as JSON, for people and tests
//	GET  /metrics         metrics in the Prometheus text format
//	GET  /nodes           {"nodes": [Node]}
//	GET  /workers         {"workers": [Worker]}
//	GET  /alarms          {"alarms": [Alarm]}
//	GET  /config          Config in force; ?version=N selects an older version
//	GET  /config/history  {"changes": [Change]}, newest first; ?limit=N
//	POST /config/check    takes a Folder, returns {"findings": [Finding]}
//	POST /config/diff     takes a Folder, returns {"against-version": N, "sections": [SectionDiff]}
//	POST /config/apply    takes an ApplyRequest, returns a Change once its record was read back from the log
//	POST /config/recover  takes a RecoverRequest, returns the Config in force; for use after the log's
//	                      retention dropped records that no node has read
//	POST /drain           DrainState; the node stops accepting work
//
// Calls that read need the role support or operator, calls that change something
// need the role operator. The body of every error response is a Failure.
//
// # Usage
//
//	server, err := operator.New(operator.Options{Nodes: node.Nodes, ...})
//	err = server.Serve(ctx, listener)
package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"yuccalanding.example/yuccalanding/internal/access"
)

// Limits and timeouts of the interface. They are not settings, because operators
// make few calls. The history limits are numbers of changes.
const (
	MaxBodyBytes        = 8 << 20
	DefaultHistoryLimit = 50
	MaxHistoryLimit     = 1000
	readHeaderTimeout   = 5 * time.Second
	readBodyTimeout     = 15 * time.Second
	idleTimeout         = time.Minute
	shutdownTimeout     = 5 * time.Second
	// maxOpenCalls limits the memory for concurrent dumps, which are large.
	maxOpenCalls = 64
)

// Options configure a Server. The function fields connect it to the scheduler;
// a call whose function is nil gets status 501. A function's error is sent as it
// is if it is a *Failure; any other error becomes a response with status 500.
type Options struct {
	// Dump returns the state of the process, which is encoded as JSON.
	Dump    func(ctx context.Context) (any, error)
	Nodes   func(ctx context.Context) ([]Node, error)
	Workers func(ctx context.Context) ([]Worker, error)
	Alarms  func(ctx context.Context) ([]Alarm, error)
	// Drain starts a drain and returns without waiting for its end.
	Drain func(ctx context.Context) (DrainState, error)
	// Config returns one version of the configuration; version 0 means the one
	// in force.
	Config  func(ctx context.Context, version int64) (Config, error)
	History func(ctx context.Context, limit int) ([]Change, error)
	Check   func(ctx context.Context, folder Folder) ([]Finding, error)
	Diff    func(ctx context.Context, folder Folder) (Diff, error)
	Apply   func(ctx context.Context, apply ApplyRequest) (Change, error)
	// Recover starts a new history from the version in force.
	Recover func(ctx context.Context, author, reason string) (Config, error)
	// WriteMetrics writes the metrics in the Prometheus text format; nil writes
	// all registered metrics.
	WriteMetrics func(out io.Writer)
	// TLS is the configuration for TLS; nil is plain HTTP.
	TLS *tls.Config
	// Authorize returns the grant of a bearer token, which is empty if the call
	// has none. It is required.
	Authorize func(token string, remote netip.AddrPort) (access.Grant, error)
}

// Server serves the operators' interface.
type Server struct {
	options Options
	echo    *echo.Echo
	// callSlots is a semaphore with one element for each open call.
	callSlots chan struct{}
}

// New returns a Server, or an error if Options.Authorize is nil.
func New(options Options) (*Server, error) {
	if options.Authorize == nil {
		return nil, errors.New("operator: Options lacks Authorize")
	}
	if options.WriteMetrics == nil {
		options.WriteMetrics = func(out io.Writer) { metrics.WritePrometheus(out, true) }
	}
	server := &Server{options: options, echo: echo.New(), callSlots: make(chan struct{}, maxOpenCalls)}
	server.echo.HTTPErrorHandler = writeFailure
	server.routes()
	return server, nil
}

func (s *Server) routes() {
	options := &s.options
	mayRead, mayChange := access.Grant.MayInspect, access.Grant.MayOperate
	s.route(http.MethodGet, "/dump", mayRead, options.Dump != nil, func(c echo.Context) (any, error) {
		return options.Dump(c.Request().Context())
	})
	s.route(http.MethodGet, "/nodes", mayRead, options.Nodes != nil, func(c echo.Context) (any, error) {
		nodes, err := options.Nodes(c.Request().Context())
		return Nodes{Nodes: nonNil(nodes)}, err
	})
	s.route(http.MethodGet, "/workers", mayRead, options.Workers != nil, func(c echo.Context) (any, error) {
		workers, err := options.Workers(c.Request().Context())
		return Workers{Workers: nonNil(workers)}, err
	})
	s.route(http.MethodGet, "/alarms", mayRead, options.Alarms != nil, func(c echo.Context) (any, error) {
		alarms, err := options.Alarms(c.Request().Context())
		return Alarms{Alarms: nonNil(alarms)}, err
	})
	s.route(http.MethodGet, "/config", mayRead, options.Config != nil, s.config)
	s.route(http.MethodGet, "/config/history", mayRead, options.History != nil, s.history)
	s.route(http.MethodPost, "/config/check", mayRead, options.Check != nil, func(c echo.Context) (any, error) {
		folder, err := readBody[Folder](c)
		if err != nil {
			return nil, err
		}
		findings, err := options.Check(c.Request().Context(), folder)
		return Findings{Findings: nonNil(findings)}, err
	})
	s.route(http.MethodPost, "/config/diff", mayRead, options.Diff != nil, func(c echo.Context) (any, error) {
		folder, err := readBody[Folder](c)
		if err != nil {
			return nil, err
		}
		diff, err := options.Diff(c.Request().Context(), folder)
		diff.Sections = nonNil(diff.Sections)
		return diff, err
	})
	s.route(http.MethodPost, "/config/apply", mayChange, options.Apply != nil, s.apply)
	s.route(http.MethodPost, "/config/recover", mayChange, options.Recover != nil, func(c echo.Context) (any, error) {
		recovery, err := readBody[RecoverRequest](c)
		if err != nil {
			return nil, err
		}
		if strings.TrimSpace(recovery.Reason) == "" {
			return nil, &Failure{Status: http.StatusBadRequest, Message: "a recovery needs a reason"}
		}
		grant, _ := c.Get(grantContextKey).(access.Grant)
		return options.Recover(c.Request().Context(), grant.Name, recovery.Reason)
	})
	s.route(http.MethodPost, "/drain", mayChange, options.Drain != nil, func(c echo.Context) (any, error) {
		return options.Drain(c.Request().Context())
	})
	s.echo.GET("/metrics", func(c echo.Context) error {
		if err := s.authorize(c, mayRead); err != nil {
			return err
		}
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
		s.options.WriteMetrics(c.Response())
		return nil
	})
}

// nonNil returns an empty slice for nil, which JSON would encode as null.
func nonNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

func (s *Server) config(c echo.Context) (any, error) {
	version, err := queryNumber(c, "version", 0, 0, 1<<62)
	if err != nil {
		return nil, err
	}
	return s.options.Config(c.Request().Context(), version)
}

func (s *Server) history(c echo.Context) (any, error) {
	limit, err := queryNumber(c, "limit", DefaultHistoryLimit, 1, MaxHistoryLimit)
	if err != nil {
		return nil, err
	}
	changes, err := s.options.History(c.Request().Context(), int(limit))
	return History{Changes: nonNil(changes)}, err
}

func (s *Server) apply(c echo.Context) (any, error) {
	apply, err := readBody[ApplyRequest](c)
	if err != nil {
		return nil, err
	}
	if apply.BaseVersion < 0 || strings.TrimSpace(apply.Reason) == "" {
		return nil, &Failure{Status: http.StatusBadRequest, Message: "a change needs base-version, the version that it was made against, and a reason"}
	}
	// The author is the authenticated name, not a field of the body.
	grant, _ := c.Get(grantContextKey).(access.Grant)
	apply.Author = grant.Name
	return s.options.Apply(c.Request().Context(), apply)
}

// queryNumber returns a query parameter as a number, or fallback if the
// parameter is missing. It returns a *Failure with status 400 if the value is
// not a number from minimum to maximum.
func queryNumber(c echo.Context, name string, fallback, minimum, maximum int64) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < minimum || value > maximum {
		return 0, &Failure{Status: http.StatusBadRequest, Message: fmt.Sprintf("the query parameter %s must be a number from %d to %d, got %.40q", name, minimum, maximum, text)}
	}
	return value, nil
}

// grantContextKey is the key of the access.Grant in the context of a call.
const grantContextKey = "grant"

// authorize stores the grant of the call's token in its context. It returns a
// *Failure with status 401 if the call has no token and needs one, and 403 if
// the token is not valid or permitted is false for its grant.
func (s *Server) authorize(c echo.Context, permitted func(access.Grant) bool) error {
	token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	remote, _ := netip.ParseAddrPort(c.Request().RemoteAddr)
	grant, err := s.options.Authorize(token, remote)
	switch {
	case err != nil && token == "":
		c.Response().Header().Set("WWW-Authenticate", "Bearer")
		return &Failure{Status: http.StatusUnauthorized, Message: err.Error()}
	case err != nil:
		return &Failure{Status: http.StatusForbidden, Message: err.Error()}
	case !permitted(grant):
		return &Failure{Status: http.StatusForbidden, Message: fmt.Sprintf("role %s may not make this call", grant.Role)}
	}
	c.Set(grantContextKey, grant)
	return nil
}

// route adds a call whose response is the JSON of handle's result. A call that
// is not available gets status 501, one beyond maxOpenCalls status 503.
func (s *Server) route(method, path string, permitted func(access.Grant) bool, available bool, handle func(c echo.Context) (any, error)) {
	s.echo.Add(method, path, func(c echo.Context) error {
		if err := s.authorize(c, permitted); err != nil {
			return err
		}
		if !available {
			return &Failure{Status: http.StatusNotImplemented, Message: "this process does not offer " + path}
		}
		select {
		case s.callSlots <- struct{}{}:
			defer func() { <-s.callSlots }()
		default:
			return &Failure{Status: http.StatusServiceUnavailable, Message: "too many operators' calls are open; try again"}
		}
		body, err := handle(c)
		if err != nil {
			return err
		}
		return c.JSONPretty(http.StatusOK, body, "  ")
	})
}

// writeFailure sends an error as a Failure, unless a response was already
// started.
func writeFailure(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var failure *Failure
	var routingError *echo.HTTPError
	switch {
	case errors.As(err, &failure):
	case errors.As(err, &routingError):
		failure = &Failure{Status: routingError.Code, Message: fmt.Sprintf("%s %.100s: %v", c.Request().Method, c.Request().URL.Path, routingError.Message)}
	default:
		failure = &Failure{Status: http.StatusInternalServerError, Message: err.Error()}
	}
	if failure.Status < 400 || failure.Status > 599 {
		failure = &Failure{Status: http.StatusInternalServerError, Message: failure.Message, Findings: failure.Findings}
	}
	_ = c.JSONPretty(failure.Status, failure, "  ")
}

// Handler returns the interface as an http.Handler.
func (s *Server) Handler() http.Handler { return s.echo }

// Serve serves calls on listener until ctx ends, and then waits up to 5 s for
// open calls. The contexts of open calls end with ctx too: a configuration change
// would otherwise wait for parts of the process that stop at the same time. The
// response to such a call gives the outcome as far as it is known. Serve returns
// the error of the server, or of the shutdown if a call was still open after 5 s.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: s.echo, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	if s.options.TLS != nil {
		listener = tls.NewListener(listener, s.options.TLS)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdownContext)
	if err != nil {
		_ = server.Close()
	}
	<-served
	return err
}
