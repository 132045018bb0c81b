// Package job defines the description of a job, which consists of steps of identical
// tasks, and the records from which another process can continue a job.
//
// # Usage
//
//	spec := job.Spec{Steps: []job.Step{{Count: 4, Demand: job.Demand{MilliCPU: 500, MemoryMB: 256}}}}
//	if err := spec.Validate(); err != nil { ... }
//	record := job.Accepted{Terms: job.Terms{Queue: "levy-return"}, Spec: spec}
//	encoded, err := job.Encode(record)
//	err = job.Decode(encoded, &record)
//
// Records are encoded as CBOR with integer keys to keep them short, as the platform's
// log, which stores them, is billed by the byte.
package job

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a job. They keep a record of its progress below MaxRecordBytes: a task takes up to 40
// bytes without its checkpoint, the trial of a few of them 40 more, and the number of a completed
// occurrence 3 bytes.
const (
	MaxSteps       = 64
	MaxTasksOfStep = 2000
	MaxTasks       = 4000 // of all steps together
	MaxOccurrences = 10000
	// MaxEstimate is the longest estimated run time, and MaxSchedule the longest time
	// from the first occurrence to the last. Their sums don't overflow.
	MaxEstimate = 366 * 24 * time.Hour
	MaxSchedule = 100 * 366 * 24 * time.Hour
	idLength    = 16 // digits
	// MaxRecordBytes is the largest record that the platform's log takes (256 KiB), with room for
	// a key and a ledger's header.
	MaxRecordBytes = 255 << 10
)

// State is the state of a job as reported to its caller.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Demand is an amount of resources: what a task needs, or what a worker has.
type Demand struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int `cbor:"1,keyasint,omitempty"`
	MemoryMB int `cbor:"2,keyasint,omitempty"`
	GPUs     int `cbor:"3,keyasint,omitempty"`
}

// String returns the demand in log format, such as "4000m,8192MB,2gpu".
func (d Demand) String() string { return fmt.Sprintf("%dm,%dMB,%dgpu", d.MilliCPU, d.MemoryMB, d.GPUs) }

// Plus returns the sum of the two demands.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.MilliCPU + o.MilliCPU, d.MemoryMB + o.MemoryMB, d.GPUs + o.GPUs}
}

// Minus returns the difference of the two demands.
func (d Demand) Minus(o Demand) Demand {
	return Demand{d.MilliCPU - o.MilliCPU, d.MemoryMB - o.MemoryMB, d.GPUs - o.GPUs}
}

// Fits reports whether the demand fits into the free resources.
func (d Demand) Fits(free Demand) bool {
	return d.MilliCPU <= free.MilliCPU && d.MemoryMB <= free.MemoryMB && d.GPUs <= free.GPUs
}

// Step is a group of identical tasks.
type Step struct {
	Count  int    `cbor:"1,keyasint"`
	Demand Demand `cbor:"2,keyasint"` // of each task
	// Estimate is the expected run time of a task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of the earlier steps that must be complete before this
	// one starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// SavesProgress means that a task continues from its last checkpoint after a stop.
	SavesProgress bool `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks start together and run only together. Their runs have
	// the same run number.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack and Rack are preferences: a gang on several racks, or a task on another
	// rack than Rack, runs slower.
	SameRack bool   `cbor:"7,keyasint,omitempty"`
	Rack     string `cbor:"8,keyasint,omitempty"`
	// RequiredLabel must be among the labels of the worker, unless it is empty.
	RequiredLabel string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step that run on a worker at a time, for
	// each occurrence; 0 means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative means that a task may have a second run while its first one is slow.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget is the longest allowed tail latency of a serving task; 0 means
	// no target.
	TailLatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort means that the tasks reserve no CPU and use what other tasks leave.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the number of tasks that the scheduler may make unavailable at
	// a time; 0 counts as 1.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its worker.
func (s *Step) Reserved() Demand {
	if s.BestEffort {
		return Demand{MemoryMB: s.Demand.MemoryMB, GPUs: s.Demand.GPUs}
	}
	return s.Demand
}

// Spec is a job as its caller describes it.
type Spec struct {
	// Text is passed to the tasks as it is.
	Text  string `cbor:"1,keyasint"`
	Steps []Step `cbor:"2,keyasint"`
	// Repeat is the number of times that the steps run: first at FirstStart, and then
	// once every Interval; 0 means a single time, without a delay.
	Repeat     int           `cbor:"3,keyasint,omitempty"`
	FirstStart time.Time     `cbor:"4,keyasint,omitempty"`
	Interval   time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Due returns the time at which an occurrence is due; the zero time means at once.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.FirstStart.Add(time.Duration(occurrence) * s.Interval)
}

// Validate returns the errors of the spec, joined, or nil if it is valid.
func (s *Spec) Validate() error {
	var errs []error
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		errs = append(errs, fmt.Errorf("a job has 1 to %d steps, this one has %d", MaxSteps, len(s.Steps)))
	}
	if s.Repeat < 0 || s.Repeat > MaxOccurrences {
		errs = append(errs, fmt.Errorf("repeat count %d is outside 0 to %d", s.Repeat, MaxOccurrences))
	}
	if s.Repeat > 1 && (s.Interval < 0 || s.Interval > MaxSchedule/time.Duration(s.Repeat)) {
		errs = append(errs, fmt.Errorf("the interval %s of a job that is repeated %d times is outside 0 to %s", s.Interval, s.Repeat, MaxSchedule/time.Duration(s.Repeat)))
	}
	tasks := 0
	for i := range s.Steps {
		errs = append(errs, s.Steps[i].validate(i)...)
		tasks += min(s.Steps[i].Count, MaxTasksOfStep)
	}
	if tasks > MaxTasks {
		errs = append(errs, fmt.Errorf("a job has up to %d tasks, this one has %d", MaxTasks, tasks))
	}
	return errors.Join(errs...)
}

func (s *Step) validate(number int) []error {
	var errs []error
	if s.Count < 1 || s.Count > MaxTasksOfStep {
		errs = append(errs, fmt.Errorf("step %d: a step has 1 to %d tasks, this one has %d", number, MaxTasksOfStep, s.Count))
	}
	if s.Demand.MilliCPU < 0 || s.Demand.MemoryMB < 0 || s.Demand.GPUs < 0 {
		errs = append(errs, fmt.Errorf("step %d: a demand is negative", number))
	}
	if s.Estimate < 0 || s.Estimate > MaxEstimate {
		errs = append(errs, fmt.Errorf("step %d: the estimate %s is outside 0 to %s", number, s.Estimate, MaxEstimate))
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			errs = append(errs, fmt.Errorf("step %d: depends on step %d, which isn't an earlier step", number, earlier))
		}
	}
	return errs
}

// ValidID reports whether the job ID consists of 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range []byte(id) {
		digit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !digit {
			return false
		}
	}
	return true
}

// Terms are the settings of the queue under which a job was accepted.
type Terms struct {
	Queue    string `cbor:"1,keyasint"`
	Priority int    `cbor:"2,keyasint,omitempty"`
	// MaxAttempts is the number of failed runs of a task or gang after which the job
	// fails; 0 means no limit. Long-running tasks have no limit.
	MaxAttempts int `cbor:"3,keyasint,omitempty"`
	// A job is on time if it ends within Stretch times its shortest possible run time,
	// plus Target.
	Stretch float64       `cbor:"4,keyasint,omitempty"`
	Target  time.Duration `cbor:"5,keyasint,omitempty"`
	// RequiresTicket means that each start needs a ticket from the placement adviser.
	RequiresTicket bool `cbor:"6,keyasint,omitempty"`
	// An advice call takes AdviceTime, plus AdviceTimePerWorker for each worker that it
	// names.
	AdviceTime          time.Duration `cbor:"7,keyasint,omitempty"`
	AdviceTimePerWorker time.Duration `cbor:"8,keyasint,omitempty"`
	// TicketLifetime is how long a ticket is valid.
	TicketLifetime time.Duration `cbor:"9,keyasint,omitempty"`
}

// Accepted is the record of an accepted job.
type Accepted struct {
	Terms Terms `cbor:"1,keyasint"`
	Spec  Spec  `cbor:"2,keyasint"`
	// At is the wall-clock time of acceptance.
	At time.Time `cbor:"3,keyasint"`
}

// Progress is the record of a job's progress. Each record replaces the one before.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// EndedAt is the wall-clock time at which the final state was reached.
	EndedAt time.Time `cbor:"2,keyasint,omitempty"`
	// Tasks holds the tasks that are done, have failed, have a checkpoint, are
	// suspected to crash workers or have a stall timeout.
	Tasks []TaskProgress `cbor:"3,keyasint,omitempty"`
	// CompletedOccurrences holds the numbers of the occurrences that are complete.
	// They have no entries in Tasks.
	CompletedOccurrences []int `cbor:"4,keyasint,omitempty"`
}

// TaskProgress is the progress of one task.
type TaskProgress struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Index      int    `cbor:"3,keyasint,omitempty"`
	Done       bool   `cbor:"4,keyasint,omitempty"`
	Failures   int    `cbor:"5,keyasint,omitempty"`
	Checkpoint string `cbor:"6,keyasint,omitempty"`
	// Suspected means that a worker was lost while a run of the task, or of its gang, was
	// at its start, and no run has survived its start since. Crashes is the number of
	// workers that crashed under a run whose start they had confirmed, and TrialCrashes
	// of those that crashed under a trial, confirmed or not.
	Suspected    bool `cbor:"7,keyasint,omitempty"`
	Crashes      int  `cbor:"8,keyasint,omitempty"`
	TrialCrashes int  `cbor:"9,keyasint,omitempty"`
	// TrialRun is the number of a run that may have started on the worker TrialWorker
	// and was not seen to survive its start.
	TrialRun    int64  `cbor:"10,keyasint,omitempty"`
	TrialWorker string `cbor:"11,keyasint,omitempty"`
	// LostTrials is the number of trials in a row whose worker was lost.
	LostTrials int `cbor:"12,keyasint,omitempty"`
	// FailedRuns are the numbers of the runs that Failures counts, for a gang.
	FailedRuns []int64 `cbor:"13,keyasint,omitempty"`
	// CrashedRun and LostTrial are the numbers of the last runs that Crashes and
	// TrialCrashes, and LostTrials, count: a gang may lose several workers in one run.
	CrashedRun int64 `cbor:"14,keyasint,omitempty"`
	LostTrial  int64 `cbor:"15,keyasint,omitempty"`
	// StallTimeout is the stall timeout of the step that its runs have shown to be needed.
	// Only the first task of the step has it.
	StallTimeout time.Duration `cbor:"16,keyasint,omitempty"`
}

// WorkerRecord records that a worker may have tasks, and which of its run results were
// handled.
type WorkerRecord struct {
	Incarnation int64 `cbor:"1,keyasint"`
	// HandledResult is the sequence number of the last result that was handled.
	HandledResult int64 `cbor:"2,keyasint,omitempty"`
	// Suspended means that the worker gets no tasks and no lease renewals until a
	// record without this flag is stored.
	Suspended bool `cbor:"3,keyasint,omitempty"`
	// Unstored lists the results up to HandledResult whose effect isn't stored, each by
	// its distance from HandledResult.
	Unstored []int64 `cbor:"4,keyasint,omitempty"`
	// Address is where the worker takes orders. It isn't valid in old records.
	Address netip.AddrPort `cbor:"5,keyasint,omitzero"`
	// RecordedBy is the epoch of the leader that added the record; 0 in old records.
	RecordedBy int64 `cbor:"6,keyasint,omitempty"`
}

// FormerLeadersRecord records that leases of leaders of an epoch before OverBefore, which is that
// of its writer, end no later than those of the writer.
type FormerLeadersRecord struct {
	OverBefore int64 `cbor:"1,keyasint"`
}

// encodeMode encodes times exactly. The default of the library is whole seconds.
var encodeMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// storedSpec is the encoding of a Spec. It adds FarStart.
type storedSpec struct {
	specFields
	// FarStart replaces FirstStart if its year isn't one of 0 to 9999: a time in RFC 3339 has
	// no other years.
	FarStart *instant `cbor:"6,keyasint,omitempty"`
}

// specFields is a Spec without its methods.
type specFields Spec

// instant is a time since 1970.
type instant struct {
	Seconds     int64 `cbor:"1,keyasint"`
	Nanoseconds int64 `cbor:"2,keyasint,omitempty"`
}

// MarshalCBOR encodes the spec.
func (s Spec) MarshalCBOR() ([]byte, error) {
	stored := storedSpec{specFields: specFields(s)}
	if year := s.FirstStart.UTC().Year(); year < 0 || year > 9999 {
		stored.FarStart = &instant{Seconds: s.FirstStart.Unix(), Nanoseconds: int64(s.FirstStart.Nanosecond())}
		stored.FirstStart = time.Time{}
	}
	return encodeMode.Marshal(stored)
}

// UnmarshalCBOR decodes the spec.
func (s *Spec) UnmarshalCBOR(content []byte) error {
	var stored storedSpec
	if err := cbor.Unmarshal(content, &stored); err != nil {
		return fmt.Errorf("decoding a job: %w", err)
	}
	*s = Spec(stored.specFields)
	if stored.FarStart != nil {
		s.FirstStart = time.Unix(stored.FarStart.Seconds, stored.FarStart.Nanoseconds)
	}
	return nil
}

// Encode returns the CBOR encoding of a record of this package, or of a message that
// contains one. Times are exact to the nanosecond.
func Encode(value any) ([]byte, error) { return encodeMode.Marshal(value) }

// Decode decodes a record into the value that into points to.
func Decode(record []byte, into any) error { return cbor.Unmarshal(record, into) }
