// Package vmlistservice is a stand-in for the platform's VM list, for tests. It
// serves the list over HTTP and injects faults on request.
//
// # Usage
//
//	service := vmlistservice.New(vmlistservice.Options{})
//	server := httptest.NewServer(service)
//	service.Set(vms)
//
// GET /vms returns the list with an ETag, PUT /vms replaces it with a body of
// the same form, and POST /fault sets a Fault.
package vmlistservice

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccalanding.example/yuccalanding/internal/vmlist"
)

const (
	// PathFault is the path of the call that sets a Fault.
	PathFault = "/fault"

	maxBodyBytes = 16 << 20
	// maxVersions limits the earlier lists that are kept for Fault.LagMS.
	maxVersions = 1024
)

// Options configure a Service.
type Options struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Fault is the body of POST /fault. It replaces all earlier faults; the zero
// value clears them.
type Fault struct {
	// Outage refuses requests for the list with status 503.
	Outage bool `json:"outage,omitempty"`
	// Unresponsive accepts requests for the list and never responds.
	Unresponsive bool `json:"silent,omitempty"`
	// LagMS serves the list as it was this many milliseconds ago.
	LagMS int64 `json:"lag-ms,omitempty"`
	// InvalidEntries is the number of entries, from the start of the list, that
	// are served malformed.
	InvalidEntries int `json:"wrong-entries,omitempty"`
	// TruncatedBody serves only the first half of the body.
	TruncatedBody bool `json:"wrong-body,omitempty"`
}

// listVersion is one version of the list: since is the time at which it was set.
type listVersion struct {
	since time.Time
	vms   []json.RawMessage
}

// Service is the VM list. It is an http.Handler and safe for concurrent use.
type Service struct {
	options Options

	mu       sync.Mutex
	versions []listVersion
	fault    Fault
}

// New returns a service with an empty list.
func New(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Service{options: options, versions: []listVersion{{vms: []json.RawMessage{}}}}
}

// Set replaces the list. It returns an error if a VM can't be encoded as JSON.
func (s *Service) Set(vms []vmlist.VM) error {
	raw := make([]json.RawMessage, 0, len(vms))
	for _, vm := range vms {
		data, err := json.Marshal(vm)
		if err != nil {
			return err
		}
		raw = append(raw, data)
	}
	s.setRaw(raw)
	return nil
}

func (s *Service) setRaw(vms []json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, listVersion{s.options.Now(), vms})
	if len(s.versions) > maxVersions {
		s.versions = slices.Delete(s.versions, 0, len(s.versions)-maxVersions)
	}
}

// SetFault replaces the fault, like POST /fault.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET " + vmlist.Path:
		s.serveList(w, r)
	case "PUT " + vmlist.Path:
		var body vmlist.Body
		if readBody(w, r, &body) {
			s.setRaw(body.VMs)
		}
	case "POST " + PathFault:
		var fault Fault
		if readBody(w, r, &fault) {
			s.SetFault(fault)
		}
	default:
		http.NotFound(w, r)
	}
}

// readBody decodes the body; if that fails, it responds with status 400 and
// returns false.
func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	vms, fault := s.visibleList()
	if fault.Unresponsive {
		<-r.Context().Done()
		return
	}
	if fault.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(vmlist.Body{VMs: vms})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if fault.TruncatedBody {
		data = data[:len(data)/2]
	}
	etag := fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(data)))
	w.Header().Set("Etag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_, _ = w.Write(data)
}

// visibleList returns the list to serve, which has the lag and the malformed
// entries of the current fault, and the fault itself.
func (s *Service) visibleList() ([]json.RawMessage, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.options.Now().Add(-time.Duration(s.fault.LagMS) * time.Millisecond)
	visible := s.versions[0]
	for _, v := range s.versions {
		if !v.since.After(asOf) {
			visible = v
		}
	}
	vms := slices.Clone(visible.vms)
	for i := range min(s.fault.InvalidEntries, len(vms)) {
		vms[i] = corruptEntry(i, vms[i])
	}
	return vms, s.fault
}

// corruptEntry returns a malformed copy of an entry; the index selects one of
// four kinds of error.
func corruptEntry(index int, data json.RawMessage) json.RawMessage {
	var fields map[string]any
	if json.Unmarshal(data, &fields) != nil {
		return data
	}
	switch index % 4 {
	case 0:
		fields["address"] = "nowhere"
	case 1:
		fields["rack"] = 7
	case 2:
		delete(fields, "region")
	case 3:
		return json.RawMessage(`"a string"`)
	}
	corrupted, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return corrupted
}
