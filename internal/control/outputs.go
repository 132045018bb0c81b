package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Output is one command of the control thread to the surrounding process.
type Output interface{ output() }

// SendPeer sends a message to another node. It may be lost.
type SendPeer struct {
	To      string
	Message Message
	// Bulk marks messages with payloads or answers. They use a separate stream,
	// so that they never delay heartbeats.
	Bulk bool
}

// OpenSession asks a worker for a session.
type OpenSession struct{ Worker string }

// CloseSession ends a session. The worker's tasks continue under their leases.
type CloseSession struct {
	Worker string
	Token  uint64
}

// StartTask starts a task on a worker.
type StartTask struct {
	Worker    string
	Token     uint64
	ID        placement.TaskID
	Label     []byte
	Payload   []byte
	Requested workload.Resources
	// Connections is how many of the worker's connections the task takes.
	Connections int
	// StartWithin is the time after which the worker must drop the task if it
	// has not started; 0 is no limit.
	StartWithin time.Duration
}

// StopTask stops, checkpoints or throttles a running task.
type StopTask struct {
	Worker string
	Token  uint64
	ID     placement.TaskID
	Verb   placement.Verb
}

// AcknowledgeResult lets a worker drop a result.
type AcknowledgeResult struct {
	Worker string
	Token  uint64
	ID     placement.TaskID
}

// Reply answers an open caller connection. Exactly one field besides RequestID
// is set.
type Reply struct {
	RequestID uint64
	Answer    *workload.Answer
	Refusal   *workload.Refusal
	Accepted  *Accepted
	Status    *Status
}

// Accepted confirms that a durable job is in the log.
type Accepted struct {
	Key workload.Key `json:"key"`
}

// AppendRecord appends a record to the log. A repeated append with the same
// Identity has no effect.
type AppendRecord struct {
	Identity string
	Accepted *JobAccepted
	Ended    *JobEnded
	Began    *HomeBegan
}

// PolicyCopyReceived passes a member's copy of its effective policy to the process.
type PolicyCopyReceived struct {
	From     string
	Snapshot []byte
	Version  uint64
}

// RecordEvent writes a numbered event to the process's log.
type RecordEvent struct {
	Event   Event
	Subject string
	Detail  string
}

// Drained reports that the drain is complete and that the process may exit.
type Drained struct{}

func (*SendPeer) output()           {}
func (*OpenSession) output()        {}
func (*CloseSession) output()       {}
func (*StartTask) output()          {}
func (*StopTask) output()           {}
func (*AcknowledgeResult) output()  {}
func (*Reply) output()              {}
func (*AppendRecord) output()       {}
func (*PolicyCopyReceived) output() {}
func (*RecordEvent) output()        {}
func (*Drained) output()            {}

// JobAccepted is the log's record of an accepted durable job.
type JobAccepted struct {
	Request workload.Request `json:"request" cbor:"1,keyasint"`
	Region  string           `json:"region" cbor:"2,keyasint"`
	At      time.Time        `json:"at" cbor:"3,keyasint"`
}

// JobEnded is the log's record of a durable job's end.
type JobEnded struct {
	Key     workload.Key      `json:"key" cbor:"1,keyasint"`
	Region  string            `json:"region" cbor:"2,keyasint"`
	Team    string            `json:"team" cbor:"3,keyasint"`
	State   workload.State    `json:"state" cbor:"4,keyasint"`
	Answer  *workload.Answer  `json:"answer,omitempty" cbor:"5,keyasint,omitempty"`
	Refusal *workload.Refusal `json:"refusal,omitempty" cbor:"6,keyasint,omitempty"`
	At      time.Time         `json:"at" cbor:"7,keyasint"`
}

// HomeBegan is the log record of a new home. Once the home has read it back, it
// has read all records of former homes and knows the open jobs.
type HomeBegan struct {
	Region string             `json:"region" cbor:"1,keyasint"`
	Team   string             `json:"team" cbor:"2,keyasint"`
	Lease  tenure.LeaseNumber `json:"lease" cbor:"3,keyasint"`
}
