// Package vmlist reads the platform's VM list. It polls the list over HTTP,
// validates every entry, and keeps the last valid list during an outage of the
// service.
//
// The list lags behind the platform. An invalid entry is reported as a finding
// and does not affect the others. A VM whose entry becomes invalid keeps its last
// valid entry.
//
// # Usage
//
//	poller := vmlist.New(vmlist.Options{Address: address, OnChange: func(list vmlist.List) { ... }})
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

// Path is the URL path of the list.
const Path = "/vms"

// Defaults and bounds.
const (
	// DefaultInterval is the time between polls. It leaves the owner enough time to
	// meet the requirement that a leaving VM gets no new work after 3 s.
	DefaultInterval = time.Second
	// DefaultTimeout bounds one poll.
	DefaultTimeout = 2 * time.Second
	// MaxVMs bounds the entries of a list. The system is designed for 650 workers.
	MaxVMs = 10000
	// MaxFindings bounds the findings of one list; if there are more, the last finding
	// gives the total.
	MaxFindings = 100
	// maxBodyBytes bounds the body of one response.
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

// Body is the body of the service's response. Each entry is a JSON-encoded VM and is
// decoded and checked separately from the others.
type Body struct {
	VMs []json.RawMessage `json:"vms"`
}

// List is the list in use with the state of its polling. Its slices must not be
// modified.
type List struct {
	// VMs is in the order of the service.
	VMs []VM
	// Findings are the validation errors of the entries in the last fetched list.
	Findings workload.Findings
	// FetchedAt is the local time at which the last successful poll began, or zero
	// before the first one.
	FetchedAt time.Time
	// Err is the error of the last poll, or nil if it succeeded.
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
	// Interval is the time between polls and Timeout bounds each of them; 0 selects
	// the default.
	Interval, Timeout time.Duration
	// OnChange is called on the polling goroutine after each poll that returned a
	// changed list, after the first failed poll of an outage, and after the poll
	// that ends an outage.
	OnChange func(List)
	// Now returns the local time; nil selects time.Now.
	Now func() time.Time
}

// Poller polls the list.
type Poller struct {
	options   Options
	transport *http.Transport
	current   atomic.Pointer[List]
	// etag is the entity tag of the list in use, so that the service doesn't send
	// an unchanged list again.
	etag string
}

// New returns a poller with an empty list, whose Err is not nil. Run starts it.
func New(options Options) *Poller {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.OnChange == nil {
		options.OnChange = func(List) {}
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	p := &Poller{options: options, transport: &http.Transport{MaxConnsPerHost: 1}}
	p.current.Store(&List{Err: errors.New("the VM list has not been fetched yet")})
	return p
}

// Current returns the list in use. It is safe for concurrent use.
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

// poll fetches the list once and updates the list in use. A failure keeps the VMs
// and sets Err.
func (p *Poller) poll(ctx context.Context) {
	previous, startedAt := p.Current(), p.options.Now()
	body, etag, err := p.fetch(ctx)
	if ctx.Err() != nil {
		return
	}
	next := previous
	next.Err = err
	if err != nil {
		// A connection on which no response arrived must not be reused.
		p.transport.CloseIdleConnections()
	} else {
		next.FetchedAt = startedAt
	}
	if body != nil {
		next.VMs, next.Findings = check(body.VMs, previous.VMs)
		p.etag = etag
	}
	p.current.Store(&next)
	if body != nil || (previous.Err == nil) != (err == nil) {
		p.options.OnChange(next)
	}
}

// fetch returns the body and the entity tag of a changed list, or a nil body for an
// unchanged one.
func (p *Poller) fetch(ctx context.Context) (*Body, string, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.options.Address.String()+Path, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	if p.etag != "" {
		request.Header.Set("If-None-Match", p.etag)
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && p.etag != "" {
		return nil, p.etag, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("the VM list service returned status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return nil, "", err
	}
	body, err := parse(data)
	return body, response.Header.Get("Etag"), err
}

// parse decodes a body, but not its entries. A body without the field vms is an
// error, not an empty list.
func parse(data []byte) (*Body, error) {
	if len(data) > maxBodyBytes {
		return nil, fmt.Errorf("the VM list is larger than %d bytes", maxBodyBytes)
	}
	var body Body
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, fmt.Errorf("the VM list could not be decoded: %w", err)
	}
	if body.VMs == nil || len(body.VMs) > MaxVMs {
		return nil, fmt.Errorf("the VM list must have a field vms with at most %d entries, got %d", MaxVMs, len(body.VMs))
	}
	return &body, nil
}
