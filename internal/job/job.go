// Package job holds the types of a job that is made of steps of tasks, and
// the records in which a job outlives the process that took it in.
//
// # Usage
//
//	spec := job.Spec{Steps: []job.Step{{Count: 4, Demand: job.Demand{MilliCPU: 500, MemoryMB: 256}}}}
//	if err := spec.Check(); err != nil { ... }
//	record := job.Accepted{Queue: "levy-return", Spec: spec}
//	encoded, err := job.Encode(record)
//
// Records are CBOR with integer keys: every caller's job is written to the
// platform's log, where bytes are billed.
package job

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits of one job. They keep the records of a job below the record size of
// the platform's log (256 KiB).
const (
	MaxSteps       = 64
	MaxTasksOfStep = 2000
	MaxOccurrences = 10000
	idLength       = 16
)

// State is what a caller is told about a job.
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

// Demand is what one task takes of a worker, and also what a worker holds.
type Demand struct {
	MilliCPU int `cbor:"1,keyasint,omitempty"`
	MemoryMB int `cbor:"2,keyasint,omitempty"`
	GPUs     int `cbor:"3,keyasint,omitempty"`
}

// String returns the demand for logs, such as "4000m,8192MB,2gpu".
func (d Demand) String() string { return fmt.Sprintf("%dm,%dMB,%dgpu", d.MilliCPU, d.MemoryMB, d.GPUs) }

// Plus returns the sum.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.MilliCPU + o.MilliCPU, d.MemoryMB + o.MemoryMB, d.GPUs + o.GPUs}
}

// Minus returns the difference.
func (d Demand) Minus(o Demand) Demand {
	return Demand{d.MilliCPU - o.MilliCPU, d.MemoryMB - o.MemoryMB, d.GPUs - o.GPUs}
}

// Fits reports whether the demand fits into free.
func (d Demand) Fits(free Demand) bool {
	return d.MilliCPU <= free.MilliCPU && d.MemoryMB <= free.MemoryMB && d.GPUs <= free.GPUs
}

// Step is a group of equal tasks.
type Step struct {
	Count    int           `cbor:"1,keyasint"`
	Demand   Demand        `cbor:"2,keyasint"`
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After         []int `cbor:"4,keyasint,omitempty"`
	SavesProgress bool  `cbor:"5,keyasint,omitempty"`
	// Gang tasks run only together, under one run number.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack and Rack are preferences: elsewhere the work takes longer.
	SameRack bool   `cbor:"7,keyasint,omitempty"`
	Rack     string `cbor:"8,keyasint,omitempty"`
	// RequiredLabel must be among the labels of the worker.
	RequiredLabel string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on a worker; 0 is no bound.
	MaxPerWorker int  `cbor:"10,keyasint,omitempty"`
	Speculative  bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget is the bound of a serving task's response time.
	TailLatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort marks tasks that take the processor time which others leave.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks the scheduler may disrupt at one time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved is what a task of the step takes of a worker's capacity.
func (s *Step) Reserved() Demand {
	if s.BestEffort {
		return Demand{MemoryMB: s.Demand.MemoryMB, GPUs: s.Demand.GPUs}
	}
	return s.Demand
}

// Spec is a job as its caller describes it.
type Spec struct {
	// Text is handed to the tasks unread.
	Text  string `cbor:"1,keyasint"`
	Steps []Step `cbor:"2,keyasint"`
	// Repeat greater than 0 runs the steps this many times, Interval apart.
	Repeat     int           `cbor:"3,keyasint,omitempty"`
	FirstStart time.Time     `cbor:"4,keyasint,omitempty"`
	Interval   time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences is how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Due is the time of an occurrence; the zero time is at once.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.FirstStart.Add(time.Duration(occurrence) * s.Interval)
}

// Validate returns every fault of the spec.
func (s *Spec) Validate() error {
	var faults []error
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		faults = append(faults, fmt.Errorf("a job has 1 to %d steps, this one has %d", MaxSteps, len(s.Steps)))
	}
	if s.Repeat < 0 || s.Repeat > MaxOccurrences {
		faults = append(faults, fmt.Errorf("repeat count %d is outside 0 to %d", s.Repeat, MaxOccurrences))
	}
	if s.Repeat > 1 && s.Interval < 0 {
		faults = append(faults, errors.New("the interval of a repeated job is negative"))
	}
	for i := range s.Steps {
		faults = append(faults, s.Steps[i].validate(i)...)
	}
	return errors.Join(faults...)
}

func (s *Step) validate(number int) []error {
	var faults []error
	if s.Count < 1 || s.Count > MaxTasksOfStep {
		faults = append(faults, fmt.Errorf("step %d: a step has 1 to %d tasks, this one has %d", number, MaxTasksOfStep, s.Count))
	}
	if s.Demand.MilliCPU < 0 || s.Demand.MemoryMB < 0 || s.Demand.GPUs < 0 {
		faults = append(faults, fmt.Errorf("step %d: a demand is negative", number))
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			faults = append(faults, fmt.Errorf("step %d: depends on step %d, which isn't an earlier step", number, earlier))
		}
	}
	return faults
}

// ValidID reports whether the identity is 16 hexadecimal digits.
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

// Terms are the rules of a queue under which a job was accepted.
type Terms struct {
	Queue    string `cbor:"1,keyasint"`
	Priority int    `cbor:"2,keyasint,omitempty"`
	// MaxAttempts bounds the failed runs of a task or gang.
	MaxAttempts int `cbor:"3,keyasint,omitempty"`
	// Stretch times the shortest possible run time, plus Target, is the
	// objective of the job's completion.
	Stretch float64       `cbor:"4,keyasint,omitempty"`
	Target  time.Duration `cbor:"5,keyasint,omitempty"`
	// RequiresTicket queues need a ticket of the placement adviser for each start.
	RequiresTicket bool `cbor:"6,keyasint,omitempty"`
	// AdviceTime and AdvicePerWorker are how long the adviser takes.
	AdviceTime          time.Duration `cbor:"7,keyasint,omitempty"`
	AdviceTimePerWorker time.Duration `cbor:"8,keyasint,omitempty"`
	// TicketLifetime is how long a ticket of the adviser is valid.
	TicketLifetime time.Duration `cbor:"9,keyasint,omitempty"`
}

// Accepted is the record of a job that was taken in.
type Accepted struct {
	Terms Terms `cbor:"1,keyasint"`
	Spec  Spec  `cbor:"2,keyasint"`
	// At is the time of day of the intake.
	At time.Time `cbor:"3,keyasint"`
}

// Progress is the record of how far a job is. It is replaced as a whole.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// EndedAt is the time of day of the final state.
	EndedAt time.Time `cbor:"2,keyasint,omitempty"`
	// Tasks holds the tasks that ended at least once.
	Tasks []TaskProgress `cbor:"3,keyasint,omitempty"`
	// CompletedOccurrences are whole and have no entry in Tasks.
	CompletedOccurrences []int `cbor:"4,keyasint,omitempty"`
}

// TaskProgress is how far one task is.
type TaskProgress struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Index      int    `cbor:"3,keyasint,omitempty"`
	Done       bool   `cbor:"4,keyasint,omitempty"`
	Failures   int    `cbor:"5,keyasint,omitempty"`
	Checkpoint string `cbor:"6,keyasint,omitempty"`
}

// WorkerRecord is the record of how many ends of a worker are accounted for.
type WorkerRecord struct {
	Incarnation   int64 `cbor:"1,keyasint"`
	HandledResult int64 `cbor:"2,keyasint,omitempty"`
	// Suspended workers get no task and no longer lease until a note without
	// this is stored.
	Suspended bool `cbor:"3,keyasint,omitempty"`
}

// Encode returns the record of a value of this package.
func Encode(value any) ([]byte, error) { return cbor.Marshal(value) }

// Decode reads a record into the value that the pointer names.
func Decode(record []byte, into any) error { return cbor.Unmarshal(record, into) }
