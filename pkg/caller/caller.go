// Package caller is the client of the callers' HTTP interface.
//
// A Client knows the addresses of several entry VMs and hides their failures
// as far as the guarantees of the scheduler allow:
//
//   - A retry goes to another entry VM. It keeps the Key of the request and
//     increments its Attempt, so that the scheduler recognizes it.
//   - A request marked NonIdempotent is never sent again once any of its bytes
//     may have been sent, unless the scheduler answered "not-run". If the
//     connection breaks, the client waits for the answer by key at another
//     entry VM instead.
//   - Retries are delayed by the time that the scheduler asked for plus a
//     random part of an exponential backoff (full jitter). A retry budget
//     limits them, so that clients don't amplify an overload.
//   - A call is aborted if its connection receives no byte within the idle
//     timeout. The server sends keep-alive bytes during long waits, so a
//     connection without any traffic is dead even if it is still open.
//
// # Usage
//
//	client, err := caller.New(caller.Options{
//		Addresses: []netip.AddrPort{netip.MustParseAddrPort("10.0.1.1:8080"), netip.MustParseAddrPort("10.0.2.1:8080")},
//		Token:     token,
//	})
//	if err != nil {
//		return err
//	}
//	defer client.Close()
//	answer, err := client.Submit(ctx, workload.Request{
//		Key:       workload.NewKey(),
//		Team:      "ledger",
//		Kind:      "balance-check",
//		Resources: workload.Resources{MilliCPU: 500, MemoryMB: 256},
//		Payload:   payload,
//	})
//	var failure *caller.Error
//	switch {
//	case err == nil && !answer.Failed:
//		// answer.Body is the complete answer.
//	case err == nil:
//		// The task ran and reported an error in answer.Body.
//	case errors.As(err, &failure) && failure.Refusal.Run == workload.NotRun:
//		// It did not run; failure.Refusal says whether a retry can succeed.
//	default:
//		// It may have run; look up its state by key: client.Status(ctx, query).
//	}
//
// Store the Key of an important request before submitting it: after a crash of
// the caller, a retry with the same Key gets the same answer. Such a retry must
// set Attempt above that of all earlier attempts.
//
// # Errors
//
// Every method of Client returns errors of type *Error. Error.Refusal is the
// refusal of the scheduler, or one that the client created if none arrived.
// Error.Cause is the error of the transport or of the context, if there was one.
package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Defaults of Options. DefaultBudget is in retries, DefaultBudgetRatio in retries
// per call, and DefaultConnections in connections to one entry VM.
const (
	DefaultAttempts = 6
	DefaultBase     = 100 * time.Millisecond
	DefaultMaximum  = 5 * time.Second
	// DefaultSilence is longer than the time after which the server sends its
	// first keep-alive byte (10 s).
	DefaultSilence     = 20 * time.Second
	DefaultDialTime    = 2 * time.Second
	DefaultBudget      = 10
	DefaultBudgetRatio = 0.1
	DefaultConnections = 256
)

// Options configure a Client. A zero field takes its default above, if there is
// one.
type Options struct {
	// Addresses are the addresses of the entry VMs; at least one is required.
	Addresses []netip.AddrPort
	// Token is sent as a bearer token if it is set.
	Token string
	// Team is the default of Query.Team; it may be empty if the token belongs to
	// a single team.
	Team string
	// TLS is the configuration for TLS; nil is plain HTTP.
	TLS *tls.Config
	// Attempts is the maximum number of attempts of one call, including the
	// first.
	Attempts int
	// Base is the backoff before the first retry; it doubles with each retry. The
	// delay is random between 0 and the backoff, and is added to the delay that
	// the scheduler asked for.
	Base time.Duration
	// Maximum is the upper limit of the backoff.
	Maximum time.Duration
	// Silence is the longest time without a received byte; after it, the call is
	// aborted.
	Silence time.Duration
	// DialTime is the timeout of the TCP connect, and again of the TLS handshake.
	DialTime time.Duration
	// Budget is the size of the retry budget, shared by all calls of the client.
	// It is full at first, and each retry takes 1.
	Budget float64
	// BudgetRatio is the amount that each call adds to the retry budget.
	BudgetRatio float64
	// Connections is the maximum number of connections to one entry VM.
	Connections int
	// Random returns numbers in [0, 1) for the jitter and for the choice of the
	// first entry VM; nil uses math/rand/v2.
	Random func() float64
}

// Query identifies work by its key.
type Query struct {
	Key workload.Key
	// Team is the team that the work belongs to. It is required if the token
	// doesn't belong to a single team; Options.Team is used if it is empty.
	Team string
}

// Error is the failure of a call.
type Error struct {
	// Refusal says what happened and whether the request may have run.
	Refusal workload.Refusal
	// Cause is the error of the transport or of the context, or says that the
	// retry budget was empty. It is nil if the scheduler refused the last
	// attempt and nothing else failed.
	Cause error
}

// Error returns the refusal and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Refusal.Error()
	}
	return e.Refusal.Error() + ": " + e.Cause.Error()
}

// Unwrap returns the refusal and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{&e.Refusal}
	}
	return []error{&e.Refusal, e.Cause}
}

// Client sends requests to the entry VMs. Its methods may be called
// concurrently. It is meant to be reused for the lifetime of the process.
type Client struct {
	options     Options
	transport   *http.Transport
	http        *http.Client
	retryBudget retryBudget
	// lock protects lastAddressIndex, the index in Options.Addresses of the
	// entry VM that was used last.
	lock             sync.Mutex
	lastAddressIndex int
}

// New returns a Client without opening a connection. It returns an error if
// Options.Addresses is empty or holds an address without a port.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("caller: Options.Addresses must name at least one entry VM")
	}
	for _, address := range options.Addresses {
		if !address.IsValid() || address.Port() == 0 {
			return nil, fmt.Errorf("caller: Options.Addresses holds %q, which is not an address with a port", address)
		}
	}
	options.setDefaults()
	dialer := &net.Dialer{Timeout: options.DialTime}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     options.TLS,
		TLSHandshakeTimeout: options.DialTime,
		MaxConnsPerHost:     options.Connections,
		MaxIdleConnsPerHost: options.Connections,
		// Shorter than the server's idle timeout (90 s): a request on a
		// connection that the server closes at the same time counts as possibly
		// sent, so a non-idempotent one could not be retried.
		IdleConnTimeout: time.Minute,
	}
	return &Client{
		options:   options,
		transport: transport,
		http: &http.Client{
			Transport: transport,
			// Following a redirect would send the request a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		retryBudget:      retryBudget{tokens: options.Budget, maxTokens: options.Budget, tokensPerCall: options.BudgetRatio},
		lastAddressIndex: int(options.Random() * float64(len(options.Addresses))),
	}, nil
}

func (o *Options) setDefaults() {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	setIfZero(&o.Attempts, DefaultAttempts)
	setIfZero(&o.Base, DefaultBase)
	setIfZero(&o.Maximum, DefaultMaximum)
	setIfZero(&o.Silence, DefaultSilence)
	setIfZero(&o.DialTime, DefaultDialTime)
	setIfZero(&o.Budget, DefaultBudget)
	setIfZero(&o.BudgetRatio, DefaultBudgetRatio)
	setIfZero(&o.Connections, DefaultConnections)
}

func setIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Close closes idle connections. It doesn't affect calls in progress.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// nextAddress returns the addresses of the entry VMs in round-robin order.
func (c *Client) nextAddress() netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lastAddressIndex = (c.lastAddressIndex + 1) % len(c.options.Addresses)
	return c.options.Addresses[c.lastAddressIndex]
}

// backOff waits before retry number n, counted from 1: for minimum, which the
// scheduler asked for, plus a random part of the exponential backoff. It returns
// the context's error if ctx ends first.
func (c *Client) backOff(ctx context.Context, n int, minimum time.Duration) error {
	backoff := c.options.Base << min(n-1, 20)
	if backoff <= 0 || backoff > c.options.Maximum {
		backoff = c.options.Maximum
	}
	timer := time.NewTimer(minimum + time.Duration(c.options.Random()*float64(backoff)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retryBudget limits the retries of a client to a share of its calls. It is a
// token bucket: each call adds tokensPerCall tokens, each retry takes one.
type retryBudget struct {
	lock                     sync.Mutex
	tokens                   float64
	maxTokens, tokensPerCall float64
}

// addCall adds the tokens for the first attempt of a call.
func (b *retryBudget) addCall() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.tokens = min(b.tokens+b.tokensPerCall, b.maxTokens)
}

// takeRetry takes one token for a retry and reports whether there was one.
func (b *retryBudget) takeRetry() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
