// Package logservice is an in-memory stand-in of the platform's append-only
// log for tests and local runs. It keeps records under increasing offsets,
// limits the rate of appends, forgets old records, and misbehaves on request.
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
// One append is a batch of consecutive offsets: the records of an append have
// the offsets from first to next, excluding next. An append with an identity
// that the log has taken before appends nothing and gets the first answer again,
// as with the producers of the users' platform. A read whose from is older
// than the oldest kept offset starts at the oldest one and says so by from.
// Refusals are {"message":"..."} with status 400 for a malformed request, 429
// for an append above the rate and 503 in an outage.
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

// Bounds of the service. Their purpose is that a faulty client can't exhaust
// the memory of a test.
const (
	DefaultAppendsPerSecond = 300
	DefaultKeepRecords      = 100_000
	MaxAppendBytes          = 8 << 20
	MaxReadRecords          = 1000
	MaxReadBytes            = 4 << 20
	MaxWait                 = 30 * time.Second
)

// Options are fixed for the life of a service.
type Options struct {
	// AppendsPerSecond is the rate above which appends are refused; 0 takes
	// DefaultAppendsPerSecond.
	AppendsPerSecond int
	// KeepRecords is the number of newest records that retention keeps; 0 takes
	// DefaultKeepRecords.
	KeepRecords int
}

// AppendRequest is the body of POST /append.
type AppendRequest struct {
	Identity string   `json:"identity"`
	Records  [][]byte `json:"records"`
}

// AppendAnswer is the answer to POST /append; the records have the offsets
// from First to Next, excluding Next.
type AppendAnswer struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// ReadAnswer is the answer to GET /read.
type ReadAnswer struct {
	// From is the offset of the first record. It is above the offset asked for
	// when retention has dropped records in between.
	From int64 `json:"from"`
	// Oldest is the oldest kept offset.
	Oldest int64 `json:"oldest"`
	// End is the offset that the next append will get.
	End     int64    `json:"end"`
	Records [][]byte `json:"records"`
}

// Fault is the body of POST /fault. It replaces the faults set before, so that
// an empty one ends them all.
type Fault struct {
	// Outage refuses every request except /fault.
	Outage bool `json:"outage"`
	// AppendDelayMS holds each append for this time, in milliseconds, before
	// it takes effect. It takes effect even if its caller has gone away.
	AppendDelayMS int64 `json:"append-delay-ms"`
	// DropResponses is the number of appends that will take effect and have
	// their connection cut in place of an answer.
	DropResponses int `json:"lose-answers"`
	// TruncateBefore drops all records with a lower offset, once.
	TruncateBefore int64 `json:"cut-before"`
}

type refusal struct {
	status  int
	message string
}

// Error returns the message.
func (r *refusal) Error() string { return r.message }

// Service is the log. It is an http.Handler.
type Service struct {
	mux     *http.ServeMux
	limiter *rate.Limiter
	keep    int

	mu      sync.Mutex
	fault   Fault
	oldest  int64
	records [][]byte
	// appends holds the kept appends in log order; byIdentity finds a repeat.
	appends    []identifiedAppend
	byIdentity map[string]AppendAnswer
	// changed is closed and replaced when a waiting read has to look again.
	changed chan struct{}
}

type identifiedAppend struct {
	identity string
	answer   AppendAnswer
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
		mux:        http.NewServeMux(),
		limiter:    rate.NewLimiter(rate.Limit(options.AppendsPerSecond), max(1, options.AppendsPerSecond/10)),
		keep:       options.KeepRecords,
		byIdentity: map[string]AppendAnswer{},
		changed:    make(chan struct{}),
	}
	s.mux.HandleFunc("POST /append", s.serveAppend)
	s.mux.HandleFunc("GET /read", s.serveRead)
	s.mux.HandleFunc("POST /fault", s.serveFault)
	return s
}

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFault replaces the faults, like POST /fault.
func (s *Service) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.dropBefore(fault.TruncateBefore)
	s.wakeReaders()
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxAppendBytes)).Decode(&fault); err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, "body: " + err.Error()})
		return
	}
	s.SetFault(fault)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxAppendBytes)).Decode(&request); err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, "body: " + err.Error()})
		return
	}
	if request.Identity == "" || len(request.Records) == 0 {
		writeRefusal(w, &refusal{http.StatusBadRequest, "an append needs an identity and at least one record"})
		return
	}
	delay, failure := s.admitAppend()
	if failure != nil {
		writeRefusal(w, failure)
		return
	}
	time.Sleep(delay)
	answer, lost, failure := s.append(request)
	switch {
	case failure != nil:
		writeRefusal(w, failure)
	case lost:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

func (s *Service) admitAppend() (time.Duration, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failure := s.refuseInOutage(); failure != nil {
		return 0, failure
	}
	if !s.limiter.Allow() {
		return 0, &refusal{http.StatusTooManyRequests, "too many appends a second"}
	}
	return min(MaxWait, time.Duration(s.fault.AppendDelayMS)*time.Millisecond), nil
}

func (s *Service) append(request AppendRequest) (answer AppendAnswer, lost bool, failure *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failure := s.refuseInOutage(); failure != nil {
		return AppendAnswer{}, false, failure
	}
	if known, repeated := s.byIdentity[request.Identity]; repeated {
		return known, false, nil
	}
	answer.First = s.end()
	s.records = append(s.records, request.Records...)
	answer.Next = s.end()
	s.appends = append(s.appends, identifiedAppend{request.Identity, answer})
	s.byIdentity[request.Identity] = answer
	s.dropBefore(s.end() - int64(s.keep))
	s.wakeReaders()
	if s.fault.DropResponses > 0 {
		s.fault.DropResponses--
		lost = true
	}
	return answer, lost, nil
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := number(query, "from", 0)
	limit, errLimit := number(query, "limit", MaxReadRecords)
	waitMS, errWait := number(query, "wait-ms", 0)
	for _, err := range []error{errFrom, errLimit, errWait} {
		if err != nil {
			writeRefusal(w, &refusal{http.StatusBadRequest, err.Error()})
			return
		}
	}
	deadline := time.NewTimer(min(MaxWait, time.Duration(waitMS)*time.Millisecond))
	defer deadline.Stop()
	for waiting := true; ; {
		answer, changed, failure := s.read(from, int(min(limit, MaxReadRecords)))
		if failure != nil {
			writeRefusal(w, failure)
			return
		}
		if len(answer.Records) > 0 || !waiting {
			writeJSON(w, http.StatusOK, answer)
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

func (s *Service) read(from int64, limit int) (ReadAnswer, <-chan struct{}, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failure := s.refuseInOutage(); failure != nil {
		return ReadAnswer{}, nil, failure
	}
	answer := ReadAnswer{From: max(from, s.oldest), Oldest: s.oldest, End: s.end()}
	size := 0
	for i := answer.From - s.oldest; i < int64(len(s.records)) && len(answer.Records) < limit; i++ {
		size += len(s.records[i])
		if size > MaxReadBytes && len(answer.Records) > 0 {
			break
		}
		answer.Records = append(answer.Records, s.records[i])
	}
	return answer, s.changed, nil
}

// The methods below need the lock.

func (s *Service) end() int64 { return s.oldest + int64(len(s.records)) }

func (s *Service) refuseInOutage() *refusal {
	if s.fault.Outage {
		return &refusal{http.StatusServiceUnavailable, "the log is down"}
	}
	return nil
}

func (s *Service) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) dropBefore(offset int64) {
	offset = min(offset, s.end())
	if offset <= s.oldest {
		return
	}
	s.records = append([][]byte(nil), s.records[offset-s.oldest:]...)
	s.oldest = offset
	for len(s.appends) > 0 && s.appends[0].answer.Next <= offset {
		delete(s.byIdentity, s.appends[0].identity)
		s.appends = s.appends[1:]
	}
}

func number(query url.Values, name string, otherwise int64) (int64, error) {
	text := query.Get(name)
	if text == "" {
		return otherwise, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, fmt.Errorf("%s must be a number from 0, got %q", name, text)
	}
	return value, nil
}

func writeRefusal(w http.ResponseWriter, r *refusal) {
	writeJSON(w, r.status, struct {
		Message string `json:"message"`
	}{r.message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The answer is lost if the connection broke, as with any server.
	_ = json.NewEncoder(w).Encode(body)
}
