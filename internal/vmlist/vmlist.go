// Package vmlist is the adapter to the platform's VM list. It polls the list
// over HTTP, checks every entry, and keeps the last good list during an outage
// of the service.
//
// The list lags behind the platform. A wrong entry is reported as a finding
// and does not affect the others: a VM that was listed correctly before keeps
// its last correct entry.
//
// # Usage
//
//	poller := vmlist.New(vmlist.Options{Address: address, Changed: func(list vmlist.List) { ... }})
//	go func() { defer close(ended); poller.Run(ctx) }()
//	list := poller.Current()
//	age := list.Age(time.Now())
package vmlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Path is where the service lists VMs.
const Path = "/vms"

// Defaults and bounds.
const (
	// DefaultInterval lets an owner know of a leaving VM well within the 3 s
	// after which it must get no new work.
	DefaultInterval = time.Second
	DefaultTimeout  = 2 * time.Second
	// MaxVMs is far above the 650 workers of the design.
	MaxVMs = 10000
	// MaxFindings bounds the findings of one list; the last one then says how
	// many there are.
	MaxFindings  = 100
	maxBodyBytes = 16 << 20
)

// VM is one entry of the list.
type VM struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure-domain"`
	Rack          string         `json:"rack"`
	Leaving       bool           `json:"leaving,omitempty"`
}

// Body is the body of the service's answer.
type Body struct {
	VMs []json.RawMessage `json:"vms"`
}

// List is what is known of the VMs. Its slices must not be changed.
type List struct {
	// VMs is in the order of the service.
	VMs      []VM
	Findings workload.Findings
	// FetchedAt is the local time at which the last successful poll began; it
	// is zero before the first one.
	FetchedAt time.Time
	// Err is the failure of the last poll, nil if it was successful.
	Err error
}

// Age returns the time since the last successful poll, or the longest
// duration if there was none.
func (l List) Age(now time.Time) time.Duration {
	// Sub returns the longest duration for the zero time.
	return now.Sub(l.FetchedAt)
}

// Options are fixed for the life of a poller.
type Options struct {
	Address netip.AddrPort
	// Interval and Timeout of polls take their defaults when they are 0.
	Interval, Timeout time.Duration
	// Changed is called after each poll that brought another list, and at the
	// first failure and the first success of an outage. It runs on the polling
	// goroutine.
	Changed func(List)
	// Now is a substitution point; nil takes time.Now.
	Now func() time.Time
}

// Poller polls the list.
type Poller struct {
	options   Options
	transport *http.Transport
	current   atomic.Pointer[List]
	// tag is the service's version of the list in use; an unchanged list is
	// not sent again.
	tag string
}

// New returns a poller with an empty list.
func New(options Options) *Poller {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Changed == nil {
		options.Changed = func(List) {}
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	p := &Poller{options: options, transport: &http.Transport{MaxConnsPerHost: 1}}
	p.current.Store(&List{Err: errors.New("the list was not fetched yet")})
	return p
}

// Current returns the list in use. It is safe for use by several goroutines.
func (p *Poller) Current() List { return *p.current.Load() }

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	defer p.transport.CloseIdleConnections()
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll makes one request and replaces the list in use.
func (p *Poller) poll(ctx context.Context) {
	before, began := p.Current(), p.options.Now()
	body, tag, err := p.fetch(ctx)
	if ctx.Err() != nil {
		return
	}
	next := before
	next.Err = err
	if err != nil {
		// A silent connection must not be used again.
		p.transport.CloseIdleConnections()
	} else {
		next.FetchedAt = began
	}
	if body != nil {
		next.VMs, next.Findings = check(body.VMs, before.VMs)
		p.tag = tag
	}
	p.current.Store(&next)
	if body != nil || (before.Err == nil) != (err == nil) {
		p.options.Changed(next)
	}
}

// fetch returns the body of a changed list, or nil for an unchanged one.
func (p *Poller) fetch(ctx context.Context) (*Body, string, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.options.Address.String()+Path, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	if p.tag != "" {
		request.Header.Set("If-None-Match", p.tag)
	}
	answer, err := p.transport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotModified && p.tag != "" {
		return nil, p.tag, nil
	}
	if answer.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("the VM list answered with status %d", answer.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes+1))
	if err != nil {
		return nil, "", err
	}
	body, err := parse(data)
	return body, answer.Header.Get("Etag"), err
}

// parse reads a body as a whole. A body without a list is not an empty list.
func parse(data []byte) (*Body, error) {
	if len(data) > maxBodyBytes {
		return nil, fmt.Errorf("the VM list is larger than %d bytes", maxBodyBytes)
	}
	var body Body
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, fmt.Errorf("the VM list is not valid: %w", err)
	}
	if body.VMs == nil || len(body.VMs) > MaxVMs {
		return nil, fmt.Errorf("the VM list must have a field vms with at most %d entries, got %d", MaxVMs, len(body.VMs))
	}
	return &body, nil
}
