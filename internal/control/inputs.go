package control

import (
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Input is one event that the control thread has to react to.
type Input interface{ input() }

// Submit is a caller's request, taken by this node's callers' interface.
type Submit struct {
	// RequestID names the open connection; Reply outputs repeat it.
	RequestID uint64
	Request   workload.Request
}

// WaitFor attaches an open connection to a request that was submitted before.
type WaitFor struct {
	RequestID uint64
	Key       workload.Key
	Team      string
	Region    string
}

// CancelRequest asks for the end of a request.
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

// ConnectionClosed says that the caller's connection is gone.
type ConnectionClosed struct{ RequestID uint64 }

// AnswerDelivered says that the whole answer was written to the caller.
type AnswerDelivered struct{ RequestID uint64 }

// PeerMessage is a message from another node.
type PeerMessage struct {
	From    string
	Message Message
}

// ListedOnWorker is one task in the list that a worker returns with a session.
type ListedOnWorker struct {
	ID        placement.TaskID
	Resources workload.Resources
	Label     []byte
	StartedAt time.Time
	// Finished is set for a task that has ended; its result comes with the
	// first report.
	Finished bool
}

// SessionOpened says that a worker granted this node a session.
type SessionOpened struct {
	Worker placement.Worker
	Token  uint64
	// SentAt is when the request was sent; the session counts from then.
	SentAt time.Time
	Tasks  []ListedOnWorker
}

// SessionRefused says that another holder's session is live, or that the
// worker could not be reached.
type SessionRefused struct {
	Worker string
	Reason string
}

// SessionLost says that a session has ended or that its state is not known.
type SessionLost struct {
	Worker string
	Token  uint64
	Reason string
}

// FinishedOnWorker is one task that ended on a worker.
type FinishedOnWorker struct {
	ID     placement.TaskID
	Result Result
}

// UsageOnWorker is what one running task was seen to use.
type UsageOnWorker struct {
	ID   placement.TaskID
	Used workload.Resources
}

// WorkerReport is what one renewal of a session returned.
type WorkerReport struct {
	Worker   string
	Token    uint64
	SentAt   time.Time
	Finished []FinishedOnWorker
	Usage    []UsageOnWorker
	Leaving  bool
}

// TaskStarted says that a worker has accepted a task.
type TaskStarted struct {
	Worker string
	Token  uint64
	ID     placement.TaskID
}

// StartRefused says that a worker did not start a task and won't.
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

// VMListed is the present VM list.
type VMListed struct{ Workers []VMEntry }

// PolicyAccepted is a newer effective policy.
type PolicyAccepted struct {
	Version uint64
	Digest  uint64
	Rules   Rules
	// Snapshot is the encoded form that is passed to members on request.
	Snapshot []byte
}

// RecordRead is a record of the log about a durable job.
type RecordRead struct {
	Offset   uint64
	Accepted *JobAccepted
	Ended    *JobEnded
	Began    *HomeBegan
}

// AppendFailed says that a record was certainly not written.
type AppendFailed struct {
	Identity string
	Reason   string
}

// LogState says whether the log can be written to.
type LogState struct{ Up bool }

// Drain starts the planned stop of this node.
type Drain struct{}

// Tick gives the time to everything that waits for it.
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
