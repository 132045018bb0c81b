// Package vmlistservice is a stand-in of the platform's VM list for tests. It
// serves the list over HTTP and injects faults on request.
//
// # Usage
//
//	service := vmlistservice.New(vmlistservice.Options{})
//	server := httptest.NewServer(service)
//	service.Set(vms)
//
// GET /vms returns the list, PUT /vms replaces it with a body of the same
// form, and POST /fault takes a Fault.
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
	// PathFault is where faults are set.
	PathFault = "/fault"

	maxBodyBytes = 16 << 20
	// maxVersions bounds the former lists that are kept for the lag.
	maxVersions = 1024
)

// Options are fixed for the life of a service.
type Options struct {
	// Now is a substitution point; nil takes time.Now.
	Now func() time.Time
}

// Fault is the body of POST /fault. It replaces all earlier faults; the zero
// value clears them.
type Fault struct {
	// Outage answers with status 503.
	Outage bool `json:"outage,omitempty"`
	// Unresponsive accepts requests and never answers them.
	Unresponsive bool `json:"silent,omitempty"`
	// LagMS shows the list as it was so many milliseconds ago.
	LagMS int64 `json:"lag-ms,omitempty"`
	// InvalidEntries damages that many entries from the start of the list.
	InvalidEntries int `json:"wrong-entries,omitempty"`
	// TruncatedBody answers with a body that is cut in half.
	TruncatedBody bool `json:"wrong-body,omitempty"`
}

type version struct {
	since time.Time
	vms   []json.RawMessage
}

// Service is the VM list.
type Service struct {
	options Options

	mu       sync.Mutex
	versions []version
	fault    Fault
}

// New returns a service with an empty list.
func New(options Options) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Service{options: options, versions: []version{{vms: []json.RawMessage{}}}}
}

// Set replaces the list.
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
	s.versions = append(s.versions, version{s.options.Now(), vms})
	if len(s.versions) > maxVersions {
		s.versions = slices.Delete(s.versions, 0, len(s.versions)-maxVersions)
	}
}

// SetFault replaces the faults, like POST /fault.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// ServeHTTP serves the list.
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

func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	vms, fault := s.visible()
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
	tag := fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(data)))
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that closed its connection does not read the answer.
	_, _ = w.Write(data)
}

// visible returns the list as the lag and the damage let it be seen.
func (s *Service) visible() ([]json.RawMessage, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.options.Now().Add(-time.Duration(s.fault.LagMS) * time.Millisecond)
	shown := s.versions[0]
	for _, v := range s.versions {
		if !v.since.After(at) {
			shown = v
		}
	}
	vms := slices.Clone(shown.vms)
	for i := range min(s.fault.InvalidEntries, len(vms)) {
		vms[i] = damage(i, vms[i])
	}
	return vms, s.fault
}

// damage makes an entry wrong in one of several ways.
func damage(i int, data json.RawMessage) json.RawMessage {
	var fields map[string]any
	if json.Unmarshal(data, &fields) != nil {
		return data
	}
	switch i % 4 {
	case 0:
		fields["address"] = "nowhere"
	case 1:
		fields["rack"] = 7
	case 2:
		delete(fields, "region")
	case 3:
		return json.RawMessage(`"a string"`)
	}
	damaged, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return damaged
}
