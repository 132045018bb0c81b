// Package workload defines the types of the callers' HTTP interface: requests,
// answers and refusals.
//
// Clients, the scheduler and tests share these definitions, so the package does
// no I/O.
//
// # Usage
//
// A caller builds a Request with a new Key, sends it to any entry VM, and
// repeats it with the same Key and a higher Attempt if the connection breaks:
//
//	request := workload.Request{
//		Key:       workload.NewKey(),
//		Team:      "ledger",
//		Kind:      "balance-check",
//		Resources: workload.Resources{MilliCPU: 500, MemoryMB: 256},
//		Payload:   []byte(`{"employer":"E-17"}`),
//	}
//	if findings := request.Validate(time.Now()); len(findings) > 0 {
//		return findings
//	}
//
// Durations in JSON are integers in milliseconds; their names end in "-ms".
package workload

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Limits of the fields of a single request. MaxMilliCPU is in thousandths of a
// CPU core, MaxMemoryMB in megabytes, and MaxNameLength in bytes. MaxMilliCPU,
// MaxMemoryMB and MaxAccelerators apply to each task of a gang.
const (
	MaxPayloadBytes    = 1 << 20
	MaxNameLength      = 64
	MaxGangSize        = 1024
	MaxMilliCPU        = 1 << 20
	MaxMemoryMB        = 1 << 24
	MaxAccelerators    = 64
	MaxDeclaredRunTime = 30 * 24 * time.Hour
)

// Key identifies a request across all its retries. It is a UUIDv7, so it
// contains the time at which it was issued.
type Key string

// NewKey returns a key with the current time as its time of issue. It panics if
// the system's random source fails.
func NewKey() Key {
	return Key(uuid.Must(uuid.NewV7()).String())
}

// IssuedAt returns the time of issue that the key contains, with a resolution of
// one millisecond, or false if the key is not a UUIDv7.
func (k Key) IssuedAt() (time.Time, bool) {
	id, err := uuid.Parse(string(k))
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	milliseconds := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 |
		int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(milliseconds), true
}

// Resources is an amount of a worker's resources: thousandths of a CPU core,
// megabytes of memory, and whole accelerators.
type Resources struct {
	MilliCPU     int64 `json:"milli-cpu" cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `json:"memory-mb" cbor:"2,keyasint,omitempty"`
	Accelerators int64 `json:"accelerators" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of both amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r minus other; fields may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Times returns n times the amount.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether r is at most available in every dimension.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// Mode is the lifecycle of a piece of work: whether a caller waits for it,
// whether it is durable, and whether it is restarted when it ends.
type Mode string

// The modes of work.
const (
	// ModeRequest is a call whose caller waits for the answer on an open
	// connection. It is not recorded in the log.
	ModeRequest Mode = "request"
	// ModeJob is a batch job that is recorded in the log before it is accepted.
	ModeJob Mode = "job"
	// ModeService is a long-running service that is restarted when it ends.
	ModeService Mode = "service"
)

// Request is one piece of work as its caller submits it.
type Request struct {
	Key Key `json:"key" cbor:"1,keyasint"`
	// Attempt is the number of this attempt, counted from 0; each retry has a
	// higher number than the attempts before it.
	Attempt int `json:"attempt" cbor:"2,keyasint,omitempty"`
	// NotRunAttempts is the number of earlier attempts that were refused as
	// not-run. If it equals Attempt, the request has certainly not run yet.
	NotRunAttempts int    `json:"not-run-attempts,omitempty" cbor:"15,keyasint,omitempty"`
	Team           string `json:"team" cbor:"3,keyasint"`
	Kind           string `json:"kind" cbor:"4,keyasint"`
	Mode           Mode   `json:"mode" cbor:"5,keyasint,omitempty"`
	// Class groups work of similar size and run time; the scheduler learns per
	// class how far declared values differ from observed ones. Empty means the
	// kind.
	Class string `json:"class,omitempty" cbor:"6,keyasint,omitempty"`
	// NonIdempotent work runs at most once: it is not run again even if the
	// outcome of an earlier run is unknown.
	NonIdempotent bool      `json:"non-idempotent,omitempty" cbor:"7,keyasint,omitempty"`
	Resources     Resources `json:"resources" cbor:"8,keyasint"`
	// GangSize is the number of tasks, which start all together or not at all; 0
	// and 1 mean a single task.
	GangSize int `json:"gang-size,omitempty" cbor:"9,keyasint,omitempty"`
	// RunTimeMS is the declared run time in milliseconds; 0 if unknown.
	RunTimeMS int64 `json:"run-time-ms,omitempty" cbor:"10,keyasint,omitempty"`
	// StartWithinMS is the maximum time from acceptance to the start, in
	// milliseconds; 0 means the deadline that the policy sets for the kind.
	StartWithinMS int64 `json:"start-within-ms,omitempty" cbor:"11,keyasint,omitempty"`
	// HoldInOutage makes a durable job wait on its connection while the log is
	// down; otherwise it is refused.
	HoldInOutage bool   `json:"hold-in-outage,omitempty" cbor:"12,keyasint,omitempty"`
	Payload      []byte `json:"payload,omitempty" cbor:"13,keyasint,omitempty"`
	// Region is the caller's own region. The home of the team in this region
	// schedules the request, so that a retry through an entry VM of another
	// region reaches the same node. Empty means the region of the entry VM that
	// receives the request.
	Region string `json:"region,omitempty" cbor:"14,keyasint,omitempty"`
}

// Tasks returns the number of tasks that the request starts.
func (r *Request) Tasks() int {
	return max(r.GangSize, 1)
}

// RunTime returns the declared run time; 0 if it is unknown.
func (r *Request) RunTime() time.Duration {
	return time.Duration(r.RunTimeMS) * time.Millisecond
}

// EstimateClass returns the class whose estimates apply: Class, or Kind if Class
// is empty.
func (r *Request) EstimateClass() string {
	if r.Class != "" {
		return r.Class
	}
	return r.Kind
}

// MayHaveRun reports whether an earlier attempt of the caller may have run.
func (r *Request) MayHaveRun() bool { return r.Attempt > r.NotRunAttempts }

// Digest returns a hash of the request without Attempt, NotRunAttempts and
// HoldInOutage. Requests with the same key and different digests are an error of
// the caller.
func (r *Request) Digest() uint64 {
	hash := xxhash.New()
	fmt.Fprintf(hash, "%s|%s|%s|%s|%s|%s|%t|%+v|%d|%d|%d|", r.Key, r.Region, r.Team, r.Kind, r.Mode, r.Class,
		r.NonIdempotent, r.Resources, r.GangSize, r.RunTimeMS, r.StartWithinMS)
	_, _ = hash.Write(r.Payload)
	return hash.Sum64()
}

// Finding is one validation error and the place in the input that it concerns.
type Finding struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Findings collects all validation errors of one input, so that they are
// reported together.
type Findings []Finding

// Add appends a finding.
func (f *Findings) Add(place, format string, arguments ...any) {
	*f = append(*f, Finding{Place: place, Message: fmt.Sprintf(format, arguments...)})
}

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Place + ": " + finding.Message
	}
	return strings.Join(lines, "\n")
}

// Validate returns all errors of the request that can be detected without the
// scheduler's state; none means that the request is well formed.
func (r *Request) Validate(now time.Time) Findings {
	var findings Findings
	r.validateIdentity(now, &findings)
	r.validateSizes(&findings)
	return findings
}

func (r *Request) validateIdentity(now time.Time, findings *Findings) {
	if issued, ok := r.Key.IssuedAt(); !ok {
		findings.Add("key", "must be a UUIDv7, got %q", r.Key)
	} else if issued.After(now.Add(time.Minute)) {
		findings.Add("key", "its time of issue %s is in the future", issued.UTC().Format(time.RFC3339))
	}
	for _, name := range []struct{ place, value string }{{"team", r.Team}, {"kind", r.Kind}} {
		if name.value == "" || len(name.value) > MaxNameLength {
			findings.Add(name.place, "must have 1 to %d characters, got %d", MaxNameLength, len(name.value))
		}
	}
	if len(r.Class) > MaxNameLength {
		findings.Add("class", "must have at most %d characters, got %d", MaxNameLength, len(r.Class))
	}
	switch r.Mode {
	case "", ModeRequest, ModeJob, ModeService:
	default:
		findings.Add("mode", "must be %q, %q or %q, got %q", ModeRequest, ModeJob, ModeService, r.Mode)
	}
}

func (r *Request) validateSizes(findings *Findings) {
	for _, field := range []struct {
		place          string
		value, minimum int64
		maximum        int64
	}{
		{"resources.milli-cpu", r.Resources.MilliCPU, 0, MaxMilliCPU},
		{"resources.memory-mb", r.Resources.MemoryMB, 0, MaxMemoryMB},
		{"resources.accelerators", r.Resources.Accelerators, 0, MaxAccelerators},
		{"gang-size", int64(r.GangSize), 0, MaxGangSize},
		{"run-time-ms", r.RunTimeMS, 0, MaxDeclaredRunTime.Milliseconds()},
		{"start-within-ms", r.StartWithinMS, 0, MaxDeclaredRunTime.Milliseconds()},
		{"attempt", int64(r.Attempt), 0, 1 << 20},
		{"not-run-attempts", int64(r.NotRunAttempts), 0, int64(max(r.Attempt, 0))},
		{"payload", int64(len(r.Payload)), 0, MaxPayloadBytes},
	} {
		if field.value < field.minimum || field.value > field.maximum {
			findings.Add(field.place, "must be from %d to %d, got %d", field.minimum, field.maximum, field.value)
		}
	}
	if r.Resources == (Resources{}) {
		findings.Add("resources", "must ask for some milli-cpu, memory-mb or accelerators")
	}
}

// State is the lifecycle state of a piece of work.
type State string

// The states of a request or job.
const (
	StateQueued State = "queued"
	// StateAssigned means that a worker was chosen and no start is confirmed yet.
	StateAssigned State = "assigned"
	StateRunning  State = "running"
	StateEnded    State = "ended"
	StateRefused  State = "refused"
	StateCanceled State = "canceled"
	// StateUnknown means that the outcome is not known; the work may have run. It is
	// final.
	StateUnknown State = "unknown"
)

// Answer is the result of a request that ran.
type Answer struct {
	Key Key `json:"key" cbor:"1,keyasint"`
	// Failed is set if the task ended with an error; Body then holds the error
	// that the task reported.
	Failed bool   `json:"failed,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	Worker string `json:"worker" cbor:"4,keyasint,omitempty"`
	// WaitedMS is the time from acceptance to the start, in milliseconds.
	WaitedMS int64 `json:"waited-ms" cbor:"5,keyasint,omitempty"`
	// RanMS is the run time, in milliseconds.
	RanMS int64 `json:"ran-ms" cbor:"6,keyasint,omitempty"`
}

// Run says whether a refused request may have run.
type Run string

// The values of Run.
const (
	NotRun     Run = "not-run"
	MayHaveRun Run = "may-have-run"
)

// Code is the reason of a refusal.
type Code string

// The codes of refusals.
const (
	CodeBadRequest  Code = "bad-request"
	CodeUnknownTeam Code = "unknown-team"
	CodeUnknownKind Code = "unknown-kind"
	CodeForbidden   Code = "forbidden"
	// CodeKeyReused means that the key belongs to a different request.
	CodeKeyReused Code = "key-reused"
	// CodeNeverRunnable means that the request asks for more than any worker has.
	CodeNeverRunnable Code = "never-runnable"
	CodeQueueFull     Code = "queue-full"
	// CodeTooLate means that the request can't start before its deadline.
	CodeTooLate Code = "too-late"
	// CodeLogDown means that a job can't be recorded in the log at present.
	CodeLogDown Code = "log-down"
	// CodeLeaving means that the entry VM is stopping.
	CodeLeaving Code = "leaving"
	// CodeNoHome means that the home of the team in the region, the node that
	// schedules its work, doesn't answer or doesn't exist at present.
	CodeNoHome   Code = "no-home"
	CodeCanceled Code = "canceled"
	// CodeOutcome means that the outcome is not known; the request may have run.
	CodeOutcome Code = "outcome-unknown"
	// CodeNotFound means that the key is not known.
	CodeNotFound Code = "not-found"
	CodeInternal Code = "internal"
)

// Refusal is the body of every error response.
type Refusal struct {
	Code    Code   `json:"code" cbor:"1,keyasint"`
	Message string `json:"message" cbor:"2,keyasint"`
	Run     Run    `json:"run" cbor:"3,keyasint"`
	// RetryAfterMS is the time to wait before a retry, in milliseconds; 0 means
	// that a retry of the same request can't succeed.
	RetryAfterMS int64    `json:"retry-after-ms,omitempty" cbor:"4,keyasint,omitempty"`
	Findings     Findings `json:"findings,omitempty" cbor:"5,keyasint,omitempty"`
}

// Error returns the code, the run field and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Run, r.Message)
}

// LeavingRetryAfter is the retry delay in refusals of an entry VM that is
// stopping. It is short because any other entry VM accepts the request
// immediately, and the delay determines the p99 wait during a rolling
// replacement: a delay of 1 s means a p99 wait of 1 s.
const LeavingRetryAfter = 20 * time.Millisecond

// Refuse returns a refusal of a request that was not run. A retryAfter of 0
// means that a retry can't succeed.
func Refuse(code Code, retryAfter time.Duration, format string, arguments ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, arguments...), Run: NotRun, RetryAfterMS: retryAfter.Milliseconds()}
}
