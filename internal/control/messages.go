package control

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Message is a message between two nodes. Its CBOR form uses integer keys:
// heartbeats go to every member four times a second, and the budget for control
// messages is 15 KB/s.
type Message interface{ messageType() messageType }

type messageType uint8

const (
	typeHeartbeat messageType = iota + 1
	typeEnqueue
	typeAssign
	typeAssignResult
	typeFinished
	typeAcknowledgeAnswer
	typeCancel
	typePromises
	typeListKeys
	typeListed
	typeHandover
	typeRefused
	typeQuery
	typeRecall
	typeReserve
	typeReserved
	typeConfirm
	typeAnswered
	typeDescribe
	typeDescription
	typePolicyRequest
	typePolicyCopy
	typeRelease
	typeRedirect
)

// Heartbeat is sent to every member in each heartbeat interval.
type Heartbeat struct {
	Member        membership.Heartbeat `json:"member" cbor:"1,keyasint"`
	PolicyVersion uint64               `json:"policy-version" cbor:"2,keyasint,omitempty"`
	PolicyDigest  uint64               `json:"policy-digest" cbor:"3,keyasint,omitempty"`
	// Summary is the sender's free capacity. Members of another region get it
	// less often, to limit the control traffic on the region link.
	Summary *placement.Summary `json:"summary,omitempty" cbor:"4,keyasint,omitempty"`
	// Sessions is the number of workers with which the sender holds sessions.
	Sessions int `json:"sessions" cbor:"5,keyasint,omitempty"`
}

// Enqueue sends a request from its front to its home.
type Enqueue struct {
	Request workload.Request `json:"request" cbor:"1,keyasint"`
	Front   string           `json:"front" cbor:"2,keyasint"`
	// Age is how long ago the front accepted the request.
	Age time.Duration `json:"age" cbor:"3,keyasint"`
	// Try increases with every send of the front, over all requests and
	// restarts. A try that is newer than the one that a home refused as
	// "not-run" is a new submission; for a late one the home repeats its refusal.
	Try int `json:"try" cbor:"4,keyasint"`
	// Resent is set when an earlier try may have reached a home.
	Resent bool `json:"resent,omitempty" cbor:"5,keyasint,omitempty"`
	// ResolveOnly asks for the outcome of the key; the request is not started.
	ResolveOnly bool `json:"resolve-only,omitempty" cbor:"6,keyasint,omitempty"`
	// Wait attaches to the key without submitting it. The request has no
	// payload.
	Wait bool `json:"wait,omitempty" cbor:"7,keyasint,omitempty"`
}

// Assignment is what an owner has to know about a task, also after a takeover:
// the worker keeps it as the task's label.
type Assignment struct {
	Task          placement.Task `json:"task" cbor:"1,keyasint"`
	Region        string         `json:"region" cbor:"2,keyasint"`
	Front         string         `json:"front" cbor:"3,keyasint,omitempty"`
	NonIdempotent bool           `json:"non-idempotent,omitempty" cbor:"4,keyasint,omitempty"`
	// Collected is set when the home collects the result, as for jobs and
	// gangs. Otherwise the owner sends the result to the front.
	Collected bool `json:"collected,omitempty" cbor:"5,keyasint,omitempty"`
	// Mode tells a home that has not read the log whether the task is a durable
	// job. The end of such a job has to be recorded before its result is
	// acknowledged.
	Mode workload.Mode `json:"mode,omitempty" cbor:"6,keyasint,omitempty"`
}

// Range returns the range to which the task belongs.
func (a *Assignment) Range() tenure.Range {
	return tenure.Range{Region: a.Region, Team: a.Task.Team}
}

// Assign sends a task from its home to the owner of the workers that may run
// it.
type Assign struct {
	Assignment Assignment         `json:"assignment" cbor:"1,keyasint"`
	Lease      tenure.LeaseNumber `json:"lease" cbor:"2,keyasint"`
	Payload    []byte             `json:"payload,omitempty" cbor:"3,keyasint,omitempty"`
	// StartWithin is the time left to start the task; 0 is no limit. It is a
	// duration since nodes have no common clock.
	StartWithin time.Duration `json:"start-within" cbor:"4,keyasint,omitempty"`
}

// AssignState is the state of an assignment at its owner.
type AssignState string

// The states of an assignment.
const (
	AssignWaiting  AssignState = "waiting"
	AssignStarted  AssignState = "started"
	AssignReturned AssignState = "returned"
	AssignExpired  AssignState = "expired"
	AssignUnknown  AssignState = "unknown"
	// AssignGone answers a Redirect whose answer is not kept. It does not mean
	// that the task has ended: the Redirect may have overtaken its Assign.
	AssignGone AssignState = "gone"
	// AssignLost: the session with the task's worker ended; the task may run on.
	AssignLost AssignState = "lost"
)

// AssignResult reports the state of an assignment to its home. AssignReturned,
// AssignExpired and AssignUnknown all mean that the task was not started and
// that the owner will not start this attempt.
type AssignResult struct {
	Task   placement.TaskID `json:"task" cbor:"1,keyasint"`
	Range  tenure.Range     `json:"range" cbor:"2,keyasint"`
	State  AssignState      `json:"state" cbor:"3,keyasint"`
	Worker string           `json:"worker,omitempty" cbor:"4,keyasint,omitempty"`
	Reason string           `json:"reason,omitempty" cbor:"5,keyasint,omitempty"`
	// Preempting is set when a started task is being stopped to free capacity.
	Preempting bool `json:"preempting,omitempty" cbor:"6,keyasint,omitempty"`
	// Incarnation is the owner's, set for AssignUnknown only. A restarted owner
	// does not know what its former process started.
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"7,keyasint,omitempty"`
}

// Result is the outcome of one task on its worker.
type Result struct {
	Outcome placement.Outcome `json:"outcome" cbor:"1,keyasint"`
	Worker  string            `json:"worker" cbor:"2,keyasint"`
	// Waited is the time from enqueueing to the start; Ran is the run time.
	Waited time.Duration `json:"waited" cbor:"3,keyasint"`
	Ran    time.Duration `json:"ran" cbor:"4,keyasint"`
	Body   []byte        `json:"body,omitempty" cbor:"5,keyasint,omitempty"`
}

// Finished reports the end of a task to its home and, with the body, to its
// front. The owner repeats it until it is acknowledged.
type Finished struct {
	Task   placement.TaskID `json:"task" cbor:"1,keyasint"`
	Range  tenure.Range     `json:"range" cbor:"2,keyasint"`
	Result Result           `json:"result" cbor:"3,keyasint"`
	// ToFront distinguishes the two recipients when one node is both.
	ToFront bool `json:"to-front,omitempty" cbor:"4,keyasint,omitempty"`
}

// AcknowledgeAnswer tells an owner that a front has delivered the complete
// answer, or that a home has recorded the end.
type AcknowledgeAnswer struct {
	Task      placement.TaskID `json:"task" cbor:"1,keyasint"`
	FromFront bool             `json:"from-front,omitempty" cbor:"2,keyasint,omitempty"`
	// Final is set when the result is no longer needed.
	Final bool `json:"final,omitempty" cbor:"3,keyasint,omitempty"`
	// NotWaiting is set by a front without a connection for the answer. The
	// owner then stops sending it there.
	NotWaiting bool `json:"not-waiting,omitempty" cbor:"4,keyasint,omitempty"`
}

// Cancel asks a home to cancel a request, or an owner to stop one of its tasks.
type Cancel struct {
	Key   workload.Key `json:"key" cbor:"1,keyasint"`
	Range tenure.Range `json:"range" cbor:"2,keyasint"`
	Front string       `json:"front" cbor:"3,keyasint,omitempty"`
	// ToOwner is set on the way from the home to the owner.
	ToOwner bool             `json:"to-owner,omitempty" cbor:"4,keyasint,omitempty"`
	Task    placement.TaskID `json:"task,omitempty" cbor:"5,keyasint,omitempty"`
}

// Promises carries a request for lease promises, or the reply to one.
type Promises struct {
	Request *tenure.PromiseRequest  `json:"request,omitempty" cbor:"1,keyasint,omitempty"`
	Reply   *tenure.PromiseResponse `json:"reply,omitempty" cbor:"2,keyasint,omitempty"`
}

// ListKeys asks an owner to list all its workers to a new home. Its lease
// number fences the assignments of former homes.
type ListKeys struct {
	Range tenure.Range       `json:"range" cbor:"1,keyasint"`
	Lease tenure.LeaseNumber `json:"lease" cbor:"2,keyasint"`
	// RequestedAt is when the home sent the request, by its own clock. The
	// lists repeat it: a list proves nothing about tasks that began later.
	RequestedAt time.Time `json:"asked" cbor:"3,keyasint"`
}

// ListedTask is one task in a worker's list.
type ListedTask struct {
	Assignment Assignment  `json:"assignment" cbor:"1,keyasint"`
	State      AssignState `json:"state" cbor:"2,keyasint"`
	Finished   bool        `json:"finished,omitempty" cbor:"3,keyasint,omitempty"`
}

// Listed reports what one worker runs and has recently finished. An owner sends
// it to every member of the region when it opens a session, and once for each
// of its workers in answer to ListKeys.
type Listed struct {
	// Worker is empty if an owner without a session answers ListKeys.
	Worker string `json:"worker" cbor:"1,keyasint"`
	Token  uint64 `json:"token" cbor:"2,keyasint"`
	// Range and Lease are those of the answered ListKeys; both are zero in the
	// list that follows a new session.
	Range tenure.Range       `json:"range" cbor:"3,keyasint,omitempty"`
	Lease tenure.LeaseNumber `json:"lease" cbor:"4,keyasint,omitempty"`
	Tasks []ListedTask       `json:"tasks" cbor:"5,keyasint,omitempty"`
	// Waiting lists the tasks that wait at the owner and are not on a worker
	// yet.
	Waiting     []ListedTask `json:"waiting,omitempty" cbor:"6,keyasint,omitempty"`
	RequestedAt time.Time    `json:"asked" cbor:"7,keyasint,omitempty"`
}

// Handover passes the requests of a range to its next home.
type Handover struct {
	Range   tenure.Range    `json:"range" cbor:"1,keyasint"`
	Entries []HandoverEntry `json:"entries" cbor:"2,keyasint"`
	// Complete is set in the last part if the sender held the lease and its
	// recovery was complete.
	Complete bool `json:"complete" cbor:"3,keyasint"`
	// CompleteFor is for how long the sender had known every key of the range.
	CompleteFor time.Duration   `json:"since" cbor:"4,keyasint"`
	Lease       tenure.Handover `json:"lease" cbor:"5,keyasint"`
	// Part numbers the messages of one handover from 0. The handover is
	// complete only if every part arrived in order.
	Part int `json:"part" cbor:"6,keyasint,omitempty"`
}

// HandoverEntry is one request in a handover.
type HandoverEntry struct {
	Request workload.Request `json:"request" cbor:"1,keyasint"`
	Fronts  []WaitingFront   `json:"fronts" cbor:"2,keyasint"`
	Age     time.Duration    `json:"age" cbor:"3,keyasint"`
	State   workload.State   `json:"state" cbor:"4,keyasint"`
	Attempt int              `json:"attempt" cbor:"5,keyasint"`
	Tasks   []HandoverTask   `json:"tasks" cbor:"6,keyasint,omitempty"`
	Durable bool             `json:"durable,omitempty" cbor:"7,keyasint,omitempty"`
	Answer  *workload.Answer `json:"answer,omitempty" cbor:"8,keyasint,omitempty"`
	// Accepted is set once the acceptance record of a durable job was read.
	Accepted   bool              `json:"accepted,omitempty" cbor:"9,keyasint,omitempty"`
	Refusal    *workload.Refusal `json:"refusal,omitempty" cbor:"10,keyasint,omitempty"`
	Unresolved bool              `json:"suspect,omitempty" cbor:"11,keyasint,omitempty"`
	Digest     uint64            `json:"digest,omitempty" cbor:"12,keyasint,omitempty"`
	Timeline   []TimelineEvent   `json:"timeline,omitempty" cbor:"14,keyasint,omitempty"`
	Canceled   bool              `json:"canceled,omitempty" cbor:"15,keyasint,omitempty"`
	// MayHaveRun is set when an earlier attempt may have run.
	MayHaveRun bool `json:"may-have-run,omitempty" cbor:"16,keyasint,omitempty"`
}

// WaitingFront is a front with a connection that waits for a request, and the
// number of its newest try.
type WaitingFront struct {
	Name string `json:"name" cbor:"1,keyasint"`
	Try  int    `json:"try" cbor:"2,keyasint"`
}

// HandoverTask is the state of one task of a request in a handover.
type HandoverTask struct {
	State           taskState        `json:"state" cbor:"1,keyasint"`
	Owner           string           `json:"owner,omitempty" cbor:"2,keyasint,omitempty"`
	Worker          string           `json:"worker,omitempty" cbor:"3,keyasint,omitempty"`
	ID              placement.TaskID `json:"id" cbor:"4,keyasint"`
	Outcome         *Result          `json:"outcome,omitempty" cbor:"5,keyasint,omitempty"`
	PossibleWorkers []string         `json:"doubt-workers,omitempty" cbor:"6,keyasint,omitempty"`
}

// Refused reports to a front that its request or its try was refused.
type Refused struct {
	Key     workload.Key     `json:"key" cbor:"1,keyasint"`
	Try     int              `json:"try" cbor:"2,keyasint"`
	Refusal workload.Refusal `json:"refusal" cbor:"3,keyasint"`
	// NotHome is set when the sender is not the home of the range. The front
	// then looks for the home again.
	NotHome bool `json:"not-home,omitempty" cbor:"4,keyasint,omitempty"`
	// AllTries extends NotHome to every try that the sender's process received.
	AllTries    bool   `json:"all-tries,omitempty" cbor:"5,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"6,keyasint,omitempty"`
}

// Answered sends a front the outcome that the home has collected, or the
// acceptance of a durable job.
type Answered struct {
	Key      workload.Key    `json:"key" cbor:"1,keyasint"`
	Answer   workload.Answer `json:"answer" cbor:"2,keyasint"`
	Accepted bool            `json:"accepted,omitempty" cbor:"3,keyasint,omitempty"`
	// Received is set if the message only confirms that the home has the
	// request.
	Received bool `json:"received,omitempty" cbor:"4,keyasint,omitempty"`
}

// Query asks an owner for the state of assignments about which the home has not
// heard for a while. An owner that does not know an assignment refuses it from
// then on.
type Query struct {
	Range tenure.Range       `json:"range" cbor:"1,keyasint"`
	Tasks []placement.TaskID `json:"tasks" cbor:"2,keyasint"`
	Lease tenure.LeaseNumber `json:"lease" cbor:"3,keyasint"`
}

// Recall asks an owner to return a task that has not started.
type Recall struct {
	Range tenure.Range     `json:"range" cbor:"1,keyasint"`
	Task  placement.TaskID `json:"task" cbor:"2,keyasint"`
}

// Reserve asks an owner to reserve capacity for part of a gang.
type Reserve struct {
	Assignment Assignment         `json:"assignment" cbor:"1,keyasint"`
	Lease      tenure.LeaseNumber `json:"lease" cbor:"2,keyasint"`
	Count      int                `json:"count" cbor:"3,keyasint"`
}

// Reserved reports for how many tasks of a gang an owner has reserved capacity.
type Reserved struct {
	Key   workload.Key `json:"key" cbor:"1,keyasint"`
	Range tenure.Range `json:"range" cbor:"2,keyasint"`
	Count int          `json:"count" cbor:"3,keyasint"`
	// HeldFor is how long the home may count on the reservation. It is a tenth
	// shorter than the reservation, since the home's clock may run slower than
	// the owner's.
	HeldFor time.Duration `json:"for" cbor:"4,keyasint"`
}

// Confirm starts the given tasks of a gang in reserved capacity.
type Confirm struct {
	Key         workload.Key       `json:"key" cbor:"1,keyasint"`
	Lease       tenure.LeaseNumber `json:"lease" cbor:"2,keyasint"`
	Assignments []Assignment       `json:"assignments" cbor:"3,keyasint"`
	Payload     []byte             `json:"payload,omitempty" cbor:"4,keyasint,omitempty"`
}

// Release drops the reservation of a gang.
type Release struct {
	Key   workload.Key `json:"key" cbor:"1,keyasint"`
	Range tenure.Range `json:"range" cbor:"2,keyasint"`
}

// Describe asks a home for the state and timeline of a request.
type Describe struct {
	Key   workload.Key `json:"key" cbor:"1,keyasint"`
	Range tenure.Range `json:"range" cbor:"2,keyasint"`
	// CallID matches the description to the waiting call.
	CallID uint64 `json:"ask" cbor:"3,keyasint"`
}

// Description is the state and timeline of a request.
type Description struct {
	CallID uint64 `json:"ask" cbor:"1,keyasint"`
	Known  bool   `json:"known" cbor:"2,keyasint"`
	Status Status `json:"status" cbor:"3,keyasint"`
}

// PolicyRequest asks a member for its effective policy if its version is above
// Above.
type PolicyRequest struct {
	Above uint64 `json:"above" cbor:"1,keyasint"`
}

// PolicyCopy is a member's effective policy, as internal/policy encodes it.
type PolicyCopy struct {
	Version  uint64 `json:"version" cbor:"1,keyasint"`
	Snapshot []byte `json:"snapshot" cbor:"2,keyasint"`
}

func (*Heartbeat) messageType() messageType         { return typeHeartbeat }
func (*Enqueue) messageType() messageType           { return typeEnqueue }
func (*Assign) messageType() messageType            { return typeAssign }
func (*AssignResult) messageType() messageType      { return typeAssignResult }
func (*Finished) messageType() messageType          { return typeFinished }
func (*AcknowledgeAnswer) messageType() messageType { return typeAcknowledgeAnswer }
func (*Cancel) messageType() messageType            { return typeCancel }
func (*Promises) messageType() messageType          { return typePromises }
func (*ListKeys) messageType() messageType          { return typeListKeys }
func (*Listed) messageType() messageType            { return typeListed }
func (*Handover) messageType() messageType          { return typeHandover }
func (*Refused) messageType() messageType           { return typeRefused }
func (*Query) messageType() messageType             { return typeQuery }
func (*Recall) messageType() messageType            { return typeRecall }
func (*Reserve) messageType() messageType           { return typeReserve }
func (*Reserved) messageType() messageType          { return typeReserved }
func (*Confirm) messageType() messageType           { return typeConfirm }
func (*Answered) messageType() messageType          { return typeAnswered }
func (*Describe) messageType() messageType          { return typeDescribe }
func (*Description) messageType() messageType       { return typeDescription }
func (*PolicyRequest) messageType() messageType     { return typePolicyRequest }
func (*PolicyCopy) messageType() messageType        { return typePolicyCopy }
func (*Release) messageType() messageType           { return typeRelease }

var emptyMessages = map[messageType]func() Message{
	typeHeartbeat:         func() Message { return &Heartbeat{} },
	typeEnqueue:           func() Message { return &Enqueue{} },
	typeAssign:            func() Message { return &Assign{} },
	typeAssignResult:      func() Message { return &AssignResult{} },
	typeFinished:          func() Message { return &Finished{} },
	typeAcknowledgeAnswer: func() Message { return &AcknowledgeAnswer{} },
	typeCancel:            func() Message { return &Cancel{} },
	typePromises:          func() Message { return &Promises{} },
	typeListKeys:          func() Message { return &ListKeys{} },
	typeListed:            func() Message { return &Listed{} },
	typeHandover:          func() Message { return &Handover{} },
	typeRefused:           func() Message { return &Refused{} },
	typeQuery:             func() Message { return &Query{} },
	typeRecall:            func() Message { return &Recall{} },
	typeReserve:           func() Message { return &Reserve{} },
	typeReserved:          func() Message { return &Reserved{} },
	typeConfirm:           func() Message { return &Confirm{} },
	typeAnswered:          func() Message { return &Answered{} },
	typeDescribe:          func() Message { return &Describe{} },
	typeDescription:       func() Message { return &Description{} },
	typePolicyRequest:     func() Message { return &PolicyRequest{} },
	typePolicyCopy:        func() Message { return &PolicyCopy{} },
	typeRelease:           func() Message { return &Release{} },
	typeRedirect:          func() Message { return &Redirect{} },
}

// encodeMode keeps fractions of seconds, which the default mode drops; the
// waits and ages of gangs are computed from such times.
var encodeMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

var errEmptyFrame = errors.New("empty frame")

// Encode returns the frame of a message: one byte for its type, then its CBOR
// form. The error is that of the CBOR encoder.
func Encode(message Message) ([]byte, error) {
	body, err := encodeMode.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode message type %d: %w", message.messageType(), err)
	}
	return append([]byte{byte(message.messageType())}, body...), nil
}

// Decode returns the message in a frame. It returns an error if the frame is
// empty, its type is unknown or its body is not valid CBOR for that type.
func Decode(frame []byte) (Message, error) {
	if len(frame) == 0 {
		return nil, errEmptyFrame
	}
	empty := emptyMessages[messageType(frame[0])]
	if empty == nil {
		return nil, fmt.Errorf("unknown message type %d", frame[0])
	}
	message := empty()
	if err := cbor.Unmarshal(frame[1:], message); err != nil {
		return nil, fmt.Errorf("decode message type %d: %w", frame[0], err)
	}
	return message, nil
}

// Redirect tells an owner which front now waits for the answer of a task.
type Redirect struct {
	Task  placement.TaskID `json:"task" cbor:"1,keyasint"`
	Front string           `json:"front" cbor:"2,keyasint"`
	Range tenure.Range     `json:"range" cbor:"3,keyasint"`
}

func (*Redirect) messageType() messageType { return typeRedirect }
