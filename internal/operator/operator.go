// Package operator is the operators' HTTP interface, on an address of its own.
//
// It shows the node's view of the cell, reads and changes the configuration,
// and starts a drain. The scheduler is reached only through the function
// fields of Options.
//
// # Calls
//
//	GET  /dump            state of the process, for people and tests
//	GET  /metrics         metrics in the Prometheus text format
//	GET  /nodes           {"nodes": [Node]}
//	GET  /workers         {"workers": [Worker]}
//	GET  /alarms          {"alarms": [Alarm]}
//	GET  /config          Config in force; ?version=N is an older one
//	GET  /config/history  {"changes": [Change]}, newest first; ?limit=N
//	POST /config/check    Folder to {"findings": [Finding]}
//	POST /config/diff     Folder to {"against-version": N, "sections": [SectionDiff]}
//	POST /config/apply    Apply to Change, once its record was read back
//	POST /config/recover  Recovery to Config, where retention dropped unread records
//	POST /drain           DrainState; the node stops taking work
//
// Reading needs role support or operator, changing needs role operator. A
// failure is a Failure with a message and, for configuration, findings.
//
// # Usage
//
//	operator, err := operator.New(operator.Options{Nodes: node.Nodes, ...})
//	err = operator.Serve(ctx, listener)
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

// Bounds of the interface. Operators' calls are few, so they are not settings.
const (
	MaxBodyBytes        = 8 << 20
	DefaultHistoryLimit = 50
	MaxHistoryLimit     = 1000
	readHeaderTimeout   = 5 * time.Second
	readBodyTimeout     = 15 * time.Second
	idleTimeout         = time.Minute
	shutdownTimeout     = 5 * time.Second
	// maxOpenCalls keeps dumps, which are large, within the node's memory.
	maxOpenCalls = 64
)

// Options are the seams. Calls whose seam is nil answer 501. Errors of type
// *Failure are passed on; others become status 500.
type Options struct {
	// Dump returns the state of the process, written as JSON.
	Dump    func(ctx context.Context) (any, error)
	Nodes   func(ctx context.Context) ([]Node, error)
	Workers func(ctx context.Context) ([]Worker, error)
	Alarms  func(ctx context.Context) ([]Alarm, error)
	// Drain starts a planned stop and returns at once.
	Drain func(ctx context.Context) (DrainState, error)
	// Config returns a version; 0 is the one in force.
	Config  func(ctx context.Context, version int64) (Config, error)
	History func(ctx context.Context, limit int) ([]Change, error)
	Check   func(ctx context.Context, folder Folder) ([]Finding, error)
	Diff    func(ctx context.Context, folder Folder) (Diff, error)
	Apply   func(ctx context.Context, apply ApplyRequest) (Change, error)
	// Recover starts a new history from the version in force.
	Recover func(ctx context.Context, author, reason string) (Config, error)
	// WriteMetrics writes the metrics; nil writes all registered ones.
	WriteMetrics func(out io.Writer)
	// TLS is the configuration for TLS; nil is plain HTTP.
	TLS *tls.Config
	// Authorize returns what the bearer token allows; it must be set.
	Authorize func(token string, remote netip.AddrPort) (access.Grant, error)
}

// Server serves operators. It lives as long as the process.
type Server struct {
	options   Options
	echo      *echo.Echo
	callSlots chan struct{}
}

// New returns an Operator, or an error if Authorize is missing.
func New(options Options) (*Server, error) {
	if options.Authorize == nil {
		return nil, errors.New("operator: Options lacks Authorize")
	}
	if options.WriteMetrics == nil {
		options.WriteMetrics = func(out io.Writer) { metrics.WritePrometheus(out, true) }
	}
	operator := &Server{options: options, echo: echo.New(), callSlots: make(chan struct{}, maxOpenCalls)}
	operator.echo.HTTPErrorHandler = writeFailure
	operator.routes()
	return operator, nil
}

func (o *Server) routes() {
	seams := &o.options
	read, change := access.Grant.MayInspect, access.Grant.MayOperate
	o.route(http.MethodGet, "/dump", read, seams.Dump != nil, func(c echo.Context) (any, error) {
		return seams.Dump(c.Request().Context())
	})
	o.route(http.MethodGet, "/nodes", read, seams.Nodes != nil, func(c echo.Context) (any, error) {
		nodes, err := seams.Nodes(c.Request().Context())
		return Nodes{Nodes: nonNil(nodes)}, err
	})
	o.route(http.MethodGet, "/workers", read, seams.Workers != nil, func(c echo.Context) (any, error) {
		workers, err := seams.Workers(c.Request().Context())
		return Workers{Workers: nonNil(workers)}, err
	})
	o.route(http.MethodGet, "/alarms", read, seams.Alarms != nil, func(c echo.Context) (any, error) {
		alarms, err := seams.Alarms(c.Request().Context())
		return Alarms{Alarms: nonNil(alarms)}, err
	})
	o.route(http.MethodGet, "/config", read, seams.Config != nil, o.config)
	o.route(http.MethodGet, "/config/history", read, seams.History != nil, o.history)
	o.route(http.MethodPost, "/config/check", read, seams.Check != nil, func(c echo.Context) (any, error) {
		folder, err := readBody[Folder](c)
		if err != nil {
			return nil, err
		}
		findings, err := seams.Check(c.Request().Context(), folder)
		return Findings{Findings: nonNil(findings)}, err
	})
	o.route(http.MethodPost, "/config/diff", read, seams.Diff != nil, func(c echo.Context) (any, error) {
		folder, err := readBody[Folder](c)
		if err != nil {
			return nil, err
		}
		diff, err := seams.Diff(c.Request().Context(), folder)
		diff.Sections = nonNil(diff.Sections)
		return diff, err
	})
	o.route(http.MethodPost, "/config/apply", change, seams.Apply != nil, o.apply)
	o.route(http.MethodPost, "/config/recover", change, seams.Recover != nil, func(c echo.Context) (any, error) {
		recovery, err := readBody[RecoverRequest](c)
		if err != nil {
			return nil, err
		}
		if strings.TrimSpace(recovery.Reason) == "" {
			return nil, &Failure{Status: http.StatusBadRequest, Message: "a recovery needs a reason"}
		}
		grant, _ := c.Get(grantContextKey).(access.Grant)
		return seams.Recover(c.Request().Context(), grant.Name, recovery.Reason)
	})
	o.route(http.MethodPost, "/drain", change, seams.Drain != nil, func(c echo.Context) (any, error) {
		return seams.Drain(c.Request().Context())
	})
	o.echo.GET("/metrics", func(c echo.Context) error {
		if err := o.authorize(c, read); err != nil {
			return err
		}
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
		o.options.WriteMetrics(c.Response())
		return nil
	})
}

// nonNil makes an empty nonNil of JSON out of nil.
func nonNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

func (o *Server) config(c echo.Context) (any, error) {
	version, err := queryNumber(c, "version", 0, 0, 1<<62)
	if err != nil {
		return nil, err
	}
	return o.options.Config(c.Request().Context(), version)
}

func (o *Server) history(c echo.Context) (any, error) {
	limit, err := queryNumber(c, "limit", DefaultHistoryLimit, 1, MaxHistoryLimit)
	if err != nil {
		return nil, err
	}
	changes, err := o.options.History(c.Request().Context(), int(limit))
	return History{Changes: nonNil(changes)}, err
}

func (o *Server) apply(c echo.Context) (any, error) {
	apply, err := readBody[ApplyRequest](c)
	if err != nil {
		return nil, err
	}
	if apply.BaseVersion < 0 || strings.TrimSpace(apply.Reason) == "" {
		return nil, &Failure{Status: http.StatusBadRequest, Message: "a change needs base-version, the version that it was made against, and a reason"}
	}
	// The author is who the node authenticated, not what the body says.
	grant, _ := c.Get(grantContextKey).(access.Grant)
	apply.Author = grant.Name
	return o.options.Apply(c.Request().Context(), apply)
}

// queryNumber reads a query parameter within bounds.
func queryNumber(c echo.Context, name string, otherwise, minimum, maximum int64) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return otherwise, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < minimum || value > maximum {
		return 0, &Failure{Status: http.StatusBadRequest, Message: fmt.Sprintf("the query parameter %s must be a number from %d to %d, got %.40q", name, minimum, maximum, text)}
	}
	return value, nil
}

// grantContextKey is where a call keeps what its token allows.
const grantContextKey = "grant"

func (o *Server) authorize(c echo.Context, may func(access.Grant) bool) error {
	token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	remote, _ := netip.ParseAddrPort(c.Request().RemoteAddr)
	grant, err := o.options.Authorize(token, remote)
	switch {
	case err != nil && token == "":
		c.Response().Header().Set("WWW-Authenticate", "Bearer")
		return &Failure{Status: http.StatusUnauthorized, Message: err.Error()}
	case err != nil:
		return &Failure{Status: http.StatusForbidden, Message: err.Error()}
	case !may(grant):
		return &Failure{Status: http.StatusForbidden, Message: fmt.Sprintf("role %s may not make this call", grant.Role)}
	}
	c.Set(grantContextKey, grant)
	return nil
}

// route adds a call that answers JSON.
func (o *Server) route(method, path string, may func(access.Grant) bool, present bool, answer func(c echo.Context) (any, error)) {
	o.echo.Add(method, path, func(c echo.Context) error {
		if err := o.authorize(c, may); err != nil {
			return err
		}
		if !present {
			return &Failure{Status: http.StatusNotImplemented, Message: "this process does not offer " + path}
		}
		select {
		case o.callSlots <- struct{}{}:
			defer func() { <-o.callSlots }()
		default:
			return &Failure{Status: http.StatusServiceUnavailable, Message: "too many operators' calls are open; try again"}
		}
		body, err := answer(c)
		if err != nil {
			return err
		}
		return c.JSONPretty(http.StatusOK, body, "  ")
	})
}

// writeFailure answers with a Failure for every kind of error.
func writeFailure(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var failure *Failure
	var routing *echo.HTTPError
	switch {
	case errors.As(err, &failure):
	case errors.As(err, &routing):
		failure = &Failure{Status: routing.Code, Message: fmt.Sprintf("%s %.100s: %v", c.Request().Method, c.Request().URL.Path, routing.Message)}
	default:
		failure = &Failure{Status: http.StatusInternalServerError, Message: err.Error()}
	}
	if failure.Status < 400 || failure.Status > 599 {
		failure = &Failure{Status: http.StatusInternalServerError, Message: failure.Message, Findings: failure.Findings}
	}
	_ = c.JSONPretty(failure.Status, failure, "  ")
}

// Handler returns the interface as an http.Handler.
func (o *Server) Handler() http.Handler { return o.echo }

// Serve answers operators until the context ends, and then up to 5 s longer
// for open calls. Their contexts end with it, since the parts of the process
// that a change waits for end at the same time; the change is then answered
// with what is known of it.
func (o *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: o.echo, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	if o.options.TLS != nil {
		listener = tls.NewListener(listener, o.options.TLS)
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(bound)
	if err != nil {
		_ = server.Close()
	}
	<-failed
	return err
}
