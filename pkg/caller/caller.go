// Package caller is the client of the callers' HTTP interface.
//
// A Client knows the addresses of several entry VMs and hides their failures
// as far as the guarantees of the scheduler allow:
//
//   - A repeated request keeps its Key and gets a growing Attempt, so that the
//     scheduler recognizes it, and goes to another entry VM.
//   - A request marked NonIdempotent is never sent again after its bytes may
//     have left, unless the scheduler said "not-run". A broken connection is
//     resolved by waiting for the answer by key at another entry VM.
//   - Repetitions wait with full jitter, at least as long as the scheduler
//     asked, and draw on a budget, so that clients don't multiply an overload.
//   - A connection that delivers nothing for Options.Silence is given up. The
//     server sends keep-alive bytes on long waits, so a long silence means that
//     the connection is dead even if it is still open.
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
//		// answer.Body is the whole answer.
//	case err == nil:
//		// The task ran and reported an error in answer.Body.
//	case errors.As(err, &failure) && failure.Refusal.Run == workload.NotRun:
//		// It did not run; failure.Refusal says whether a retry can help.
//	default:
//		// It may have run; the key finds out more: client.Status(ctx, query).
//	}
//
// Keep the Key of a request that matters before submitting it: after a crash
// of the caller the same Key gets the same answer. Such a repetition must set
// Attempt above that of the earlier ones.
//
// # Errors
//
// Every method returns an error of type *Error, except New. Its Refusal is the
// scheduler's, or one that the client made if no refusal arrived; its Cause is
// the transport's or the context's error, if there was one.
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

// Defaults of Options.
const (
	DefaultAttempts = 6
	DefaultBase     = 100 * time.Millisecond
	DefaultMaximum  = 5 * time.Second
	// DefaultSilence is longer than the server's first keep-alive bound (10 s).
	DefaultSilence     = 20 * time.Second
	DefaultDialTime    = 2 * time.Second
	DefaultBudget      = 10
	DefaultBudgetRatio = 0.1
	DefaultConnections = 256
)

// Options configure a Client. Zero fields take the defaults above.
type Options struct {
	// Addresses are the entry VMs; at least one.
	Addresses []netip.AddrPort
	// Token is sent as bearer token if it is set.
	Token string
	// Team is the team of calls by key whose Query names none; it may be empty
	// if the token is of one team.
	Team string
	// TLS is the configuration for TLS; nil is plain HTTP.
	TLS *tls.Config
	// Attempts bounds the sends of one call.
	Attempts int
	// Base is the first backoff; it doubles up to Maximum. The wait is random
	// between 0 and the backoff.
	Base    time.Duration
	Maximum time.Duration
	// Silence is the longest time without a received byte.
	Silence  time.Duration
	DialTime time.Duration
	// Budget is how many repetitions the client may make beyond BudgetRatio
	// repetitions for each first send.
	Budget      float64
	BudgetRatio float64
	// Connections bounds the connections to one entry VM.
	Connections int
	// Random returns numbers from 0 to 1 for the jitter; nil uses math/rand/v2.
	Random func() float64
}

// Query names work by its key.
type Query struct {
	Key workload.Key
	// Team is needed if the token is not of one team.
	Team string
}

// Error is the failure of a call.
type Error struct {
	// Refusal says what happened and whether the request may have run.
	Refusal workload.Refusal
	// Cause is the error of the transport or of the context; nil if the
	// scheduler refused.
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

// Client sends requests to the entry VMs. Its methods may be called from any
// goroutine. It lives as long as the caller's process.
type Client struct {
	options   Options
	transport *http.Transport
	http      *http.Client
	budget    budget
	lock      sync.Mutex
	next      int
}

// New returns a Client. It opens no connection yet.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("caller: Options.Addresses must name at least one entry VM")
	}
	for _, address := range options.Addresses {
		if !address.IsValid() || address.Port() == 0 {
			return nil, fmt.Errorf("caller: Options.Addresses holds %q, which is no address with a port", address)
		}
	}
	options.fill()
	dialer := &net.Dialer{Timeout: options.DialTime}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     options.TLS,
		TLSHandshakeTimeout: options.DialTime,
		MaxConnsPerHost:     options.Connections,
		MaxIdleConnsPerHost: options.Connections,
		// Shorter than the server's idle time (90 s): a send on a connection
		// that the server closes meanwhile counts as one that may have left.
		IdleConnTimeout: time.Minute,
	}
	return &Client{
		options:   options,
		transport: transport,
		http: &http.Client{
			Transport: transport,
			// A redirect would send the request a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		budget: budget{left: options.Budget, most: options.Budget, ratio: options.BudgetRatio},
		next:   int(options.Random() * float64(len(options.Addresses))),
	}, nil
}

func (o *Options) fill() {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	setDefault(&o.Attempts, DefaultAttempts)
	setDefault(&o.Base, DefaultBase)
	setDefault(&o.Maximum, DefaultMaximum)
	setDefault(&o.Silence, DefaultSilence)
	setDefault(&o.DialTime, DefaultDialTime)
	setDefault(&o.Budget, DefaultBudget)
	setDefault(&o.BudgetRatio, DefaultBudgetRatio)
	setDefault(&o.Connections, DefaultConnections)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Close closes idle connections. Open calls go on.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// address returns an entry VM, the next one at each call.
func (c *Client) address() netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.next = (c.next + 1) % len(c.options.Addresses)
	return c.options.Addresses[c.next]
}

// pause waits before repetition n (from 1): a random part of the backoff, and
// at least the time that the scheduler asked for.
func (c *Client) pause(ctx context.Context, n int, atLeast time.Duration) error {
	backoff := c.options.Base << min(n-1, 20)
	if backoff <= 0 || backoff > c.options.Maximum {
		backoff = c.options.Maximum
	}
	timer := time.NewTimer(atLeast + time.Duration(c.options.Random()*float64(backoff)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// budget bounds the repetitions of a client to a share of its first sends.
type budget struct {
	lock        sync.Mutex
	left        float64
	most, ratio float64
}

func (b *budget) firstSend() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.left = min(b.left+b.ratio, b.most)
}

// take reports whether one more repetition may be made.
func (b *budget) take() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
