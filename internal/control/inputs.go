package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Input is one event for the control thread to process.
type Input interface{ input() }

// Submit is a caller's request that was received by this node.
type Submit struct {
	// RequestID identifies the open connection; Reply repeats it.
	RequestID uint64
	Request   workload.Request
}

// WaitFor attaches an open connection to an earlier request.
type WaitFor struct {
	RequestID uint64
	Key       workload.Key
	Team      string
	Region    string
}

// CancelRequest cancels a request.
type CancelRequest struct {
	RequestID uint64
	Key       workload.Key
	Team      string
	Region    string
}

// DescribeRequest asks for a request's state and timeline.
type DescribeRequest struct {
	RequestID uint64
	Key       workload.Key
	Team      string
	Region    string
}

// ConnectionClosed reports that a caller's connection has closed.
type ConnectionClosed struct{ RequestID uint64 }

// AnswerDelivered reports that the complete answer was written to the caller.
type AnswerDelivered struct{ RequestID uint64 }

// PeerMessage is a message from another node.
type PeerMessage struct {
	From    string
	Message Message
}

// ListedOnWorker is one task in the list that a worker returns when a session
// is opened.
type ListedOnWorker struct {
	ID        placement.TaskID
	Resources workload.Resources
	Label     []byte
	StartedAt time.Time
	// Finished is set for a task that has ended. Its result follows in the
	// first WorkerReport.
	Finished bool
}

// SessionOpened reports that a worker granted this node a session.
type SessionOpened struct {
	Worker placement.Worker
	Token  uint64
	// SentAt is when the request was sent; the session length counts from then.
	SentAt time.Time
	Tasks  []ListedOnWorker
}

// SessionRefused reports that another holder's session is live, or that the
// worker could not be reached.
type SessionRefused struct {
	Worker string
	Reason string
}

// SessionLost reports that a session has ended or that its state is not known.
type SessionLost struct {
	Worker string
	Token  uint64
	Reason string
}

// FinishedOnWorker is a task that has ended on a worker.
type FinishedOnWorker struct {
	ID     placement.TaskID
	Result Result
}

// UsageOnWorker is the measured usage of one running task.
type UsageOnWorker struct {
	ID   placement.TaskID
	Used workload.Resources
}

// WorkerReport is the result of one renewal of a session.
type WorkerReport struct {
	Worker   string
	Token    uint64
	SentAt   time.Time
	Finished []FinishedOnWorker
	Usage    []UsageOnWorker
	Leaving  bool
}

// TaskStarted reports that a worker has accepted a task.
type TaskStarted struct {
	Worker string
	Token  uint64
	ID     placement.TaskID
}

// StartRefused reports that a worker has not started a task and will not start
// it.
type StartRefused struct {
	Worker string
	Token  uint64
	ID     placement.TaskID
	Reason string
}

// VMEntry is one worker in the VM list.
type VMEntry struct {
	Name          string
	Region        string
	FailureDomain string
	Rack          string
	Leaving       bool
}

// VMListed is the current VM list.
type VMListed struct{ Workers []VMEntry }

// PolicyAccepted is a newer effective policy.
type PolicyAccepted struct {
	Version uint64
	Digest  uint64
	Rules   Rules
	// Snapshot is the encoded policy that is sent to members on request.
	Snapshot []byte
}

// RecordRead is one record read from the log: the acceptance or the end of a
// durable job, or the start of a home.
type RecordRead struct {
	Offset   uint64
	Accepted *JobAccepted
	Ended    *JobEnded
	Began    *HomeBegan
}

// AppendFailed reports that a record was definitely not written.
type AppendFailed struct {
	Identity string
	Reason   string
}

// LogState reports whether the log accepts appends.
type LogState struct{ Up bool }

// Drain begins a planned stop of this node.
type Drain struct{}

// Tick advances the time and triggers all time-driven work.
type Tick struct{}

func (*Submit) input()           {}
func (*WaitFor) input()          {}
func (*CancelRequest) input()    {}
func (*DescribeRequest) input()  {}
func (*ConnectionClosed) input() {}
func (*AnswerDelivered) input()  {}
func (*PeerMessage) input()      {}
func (*SessionOpened) input()    {}
func (*SessionRefused) input()   {}
func (*SessionLost) input()      {}
func (*WorkerReport) input()     {}
func (*TaskStarted) input()      {}
func (*StartRefused) input()     {}
func (*VMListed) input()         {}
func (*PolicyAccepted) input()   {}
func (*RecordRead) input()       {}
func (*AppendFailed) input()     {}
func (*LogState) input()         {}
func (*Drain) input()            {}
func (*Tick) input()             {}
