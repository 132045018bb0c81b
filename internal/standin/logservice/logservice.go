// Package logservice is an in-memory stand-in for the platform's append-only
// log, for tests and local runs. It stores records at increasing offsets,
// limits the rate of appends, drops the oldest records, and injects faults on
// request.
//
// # Usage
//
//	server := httptest.NewServer(logservice.New(logservice.Options{}))
//
// The interface is HTTP with JSON; records are base64:
//
//	POST /append {"identity":"a1","records":["aGVsbG8="]}   -> {"first":0,"next":1}
//	GET  /read?from=0&limit=100&wait-ms=500                  -> {"from":0,"oldest":0,"end":1,"records":["aGVsbG8="]}
//	POST /fault {"outage":true}                              -> {}
//
// The records of one append get consecutive offsets, from first up to but not
// including next. Appends are idempotent, as in the platform's log: an append
// with the identity of an earlier one stores nothing and returns the response
// of the earlier one. An identity is forgotten once retention has dropped the
// records of its append. A read from an offset below the oldest retained one
// starts at the oldest; from in the response gives the offset of the first
// record. Errors are {"message":"..."} with status 400 for a malformed
// request, 429 for an append above the rate and 503 in an outage.
package logservice

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults and limits. They keep a faulty client from exhausting the memory of
// a test. MaxWait limits both wait-ms and append-delay-ms.
const (
	DefaultAppendsPerSecond = 300
	DefaultKeepRecords      = 100_000
	MaxAppendBytes          = 8 << 20
	MaxReadRecords          = 1000
	MaxReadBytes            = 4 << 20
	MaxWait                 = 30 * time.Second
)

// Options configure a Service.
type Options struct {
	// AppendsPerSecond is the rate above which appends are refused with status
	// 429. The burst is a tenth of it, but at least 1. 0 means
	// DefaultAppendsPerSecond.
	AppendsPerSecond int
	// KeepRecords is the number of newest records that retention keeps; 0 means
	// DefaultKeepRecords.
	KeepRecords int
}

// AppendRequest is the body of POST /append.
type AppendRequest struct {
	Identity string   `json:"identity"`
	Records  [][]byte `json:"records"`
}

// AppendResponse is the body of the response to POST /append. The records have
// the offsets from First up to but not including Next.
type AppendResponse struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// ReadResponse is the body of the response to GET /read.
type ReadResponse struct {
	// From is the offset of the first record. It is above the requested offset
	// if retention has dropped the records before it.
	From int64 `json:"from"`
	// Oldest is the oldest retained offset.
	Oldest int64 `json:"oldest"`
	// End is the offset that the next append will get.
	End     int64    `json:"end"`
	Records [][]byte `json:"records"`
}

// Fault is the body of POST /fault. It replaces all earlier faults; the zero
// value clears them.
type Fault struct {
	// Outage refuses every request except /fault.
	Outage bool `json:"outage"`
	// AppendDelayMS delays each append by this many milliseconds before it
	// takes effect. It takes effect even if its caller has disconnected.
	AppendDelayMS int64 `json:"append-delay-ms"`
	// DropResponses is the number of appends that take effect but whose
	// connection is closed without a response.
	DropResponses int `json:"lose-answers"`
	// TruncateBefore drops all records with a lower offset when the fault is
	// set.
	TruncateBefore int64 `json:"cut-before"`
}

// httpError is an error with the HTTP status of the response.
type httpError struct {
	status  int
	message string
}

func (e *httpError) Error() string { return e.message }

// Service is the log. It is an http.Handler and safe for concurrent use.
type Service struct {
	mux         *http.ServeMux
	limiter     *rate.Limiter
	keepRecords int

	mu           sync.Mutex
	fault        Fault
	oldestOffset int64
	records      [][]byte
	// retainedAppends holds the appends with retained records, in log order.
	retainedAppends []retainedAppend
	// responseByIdentity detects repeated appends.
	responseByIdentity map[string]AppendResponse
	// changed is closed and replaced whenever waiting reads have to check the
	// log again.
	changed chan struct{}
}

// retainedAppend is an append of which retention has kept at least one record.
type retainedAppend struct {
	identity string
	response AppendResponse
}

// New returns an empty log without faults.
func New(options Options) *Service {
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if options.KeepRecords == 0 {
		options.KeepRecords = DefaultKeepRecords
	}
	s := &Service{
		mux:                http.NewServeMux(),
		limiter:            rate.NewLimiter(rate.Limit(options.AppendsPerSecond), max(1, options.AppendsPerSecond/10)),
		keepRecords:        options.KeepRecords,
		responseByIdentity: map[string]AppendResponse{},
		changed:            make(chan struct{}),
	}
	s.mux.HandleFunc("POST /append", s.serveAppend)
	s.mux.HandleFunc("GET /read", s.serveRead)
	s.mux.HandleFunc("POST /fault", s.serveFault)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFault replaces the fault, like POST /fault.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.dropBefore(fault.TruncateBefore)
	s.notifyReaders()
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxAppendBytes)).Decode(&fault); err != nil {
		writeError(w, &httpError{http.StatusBadRequest, "body: " + err.Error()})
		return
	}
	s.SetFault(fault)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxAppendBytes)).Decode(&request); err != nil {
		writeError(w, &httpError{http.StatusBadRequest, "body: " + err.Error()})
		return
	}
	if request.Identity == "" || len(request.Records) == 0 {
		writeError(w, &httpError{http.StatusBadRequest, "an append needs an identity and at least one record"})
		return
	}
	delay, httpErr := s.admitAppend()
	if httpErr != nil {
		writeError(w, httpErr)
		return
	}
	time.Sleep(delay)
	response, dropResponse, httpErr := s.append(request)
	switch {
	case httpErr != nil:
		writeError(w, httpErr)
	case dropResponse:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, response)
	}
}

// admitAppend checks the outage fault and the rate limit, and returns the
// append delay fault.
func (s *Service) admitAppend() (time.Duration, *httpError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if httpErr := s.outageError(); httpErr != nil {
		return 0, httpErr
	}
	if !s.limiter.Allow() {
		return 0, &httpError{http.StatusTooManyRequests, "too many appends a second"}
	}
	return min(MaxWait, time.Duration(s.fault.AppendDelayMS)*time.Millisecond), nil
}

// append stores the records, or returns the earlier response to a repeated
// append. dropResponse means that the connection is to be closed without a
// response.
func (s *Service) append(request AppendRequest) (response AppendResponse, dropResponse bool, httpErr *httpError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if httpErr := s.outageError(); httpErr != nil {
		return AppendResponse{}, false, httpErr
	}
	if earlier, repeated := s.responseByIdentity[request.Identity]; repeated {
		return earlier, false, nil
	}
	response.First = s.endOffset()
	s.records = append(s.records, request.Records...)
	response.Next = s.endOffset()
	s.retainedAppends = append(s.retainedAppends, retainedAppend{request.Identity, response})
	s.responseByIdentity[request.Identity] = response
	s.dropBefore(s.endOffset() - int64(s.keepRecords))
	s.notifyReaders()
	if s.fault.DropResponses > 0 {
		s.fault.DropResponses--
		dropResponse = true
	}
	return response, dropResponse, nil
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := nonNegativeParameter(query, "from", 0)
	limit, errLimit := nonNegativeParameter(query, "limit", MaxReadRecords)
	waitMS, errWait := nonNegativeParameter(query, "wait-ms", 0)
	for _, err := range []error{errFrom, errLimit, errWait} {
		if err != nil {
			writeError(w, &httpError{http.StatusBadRequest, err.Error()})
			return
		}
	}
	deadline := time.NewTimer(min(MaxWait, time.Duration(waitMS)*time.Millisecond))
	defer deadline.Stop()
	for waiting := true; ; {
		response, changed, httpErr := s.read(from, int(min(limit, MaxReadRecords)))
		if httpErr != nil {
			writeError(w, httpErr)
			return
		}
		if len(response.Records) > 0 || !waiting {
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the records available from an offset, and a channel that is
// closed when they may have changed.
func (s *Service) read(from int64, limit int) (ReadResponse, <-chan struct{}, *httpError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if httpErr := s.outageError(); httpErr != nil {
		return ReadResponse{}, nil, httpErr
	}
	response := ReadResponse{From: max(from, s.oldestOffset), Oldest: s.oldestOffset, End: s.endOffset()}
	size := 0
	for i := response.From - s.oldestOffset; i < int64(len(s.records)) && len(response.Records) < limit; i++ {
		size += len(s.records[i])
		if size > MaxReadBytes && len(response.Records) > 0 {
			break
		}
		response.Records = append(response.Records, s.records[i])
	}
	return response, s.changed, nil
}

// The methods below require s.mu to be held.

// endOffset returns the offset of the next record.
func (s *Service) endOffset() int64 { return s.oldestOffset + int64(len(s.records)) }

func (s *Service) outageError() *httpError {
	if s.fault.Outage {
		return &httpError{http.StatusServiceUnavailable, "the log is down"}
	}
	return nil
}

func (s *Service) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropBefore drops the records below an offset, and the identities of appends
// whose records are all below it.
func (s *Service) dropBefore(offset int64) {
	offset = min(offset, s.endOffset())
	if offset <= s.oldestOffset {
		return
	}
	s.records = append([][]byte(nil), s.records[offset-s.oldestOffset:]...)
	s.oldestOffset = offset
	for len(s.retainedAppends) > 0 && s.retainedAppends[0].response.Next <= offset {
		delete(s.responseByIdentity, s.retainedAppends[0].identity)
		s.retainedAppends = s.retainedAppends[1:]
	}
}

func nonNegativeParameter(query url.Values, name string, defaultValue int64) (int64, error) {
	text := query.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, fmt.Errorf("%s must be a number from 0, got %q", name, text)
	}
	return value, nil
}

func writeError(w http.ResponseWriter, httpErr *httpError) {
	writeJSON(w, httpErr.status, struct {
		Message string `json:"message"`
	}{httpErr.message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
