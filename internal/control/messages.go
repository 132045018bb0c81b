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

// Message is one message between two nodes. The CBOR form uses integer keys,
// since heartbeats are sent four times a second to every member and the
// budget for control is 15 KB a second.
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
	// Summary is the sender's free room; members of another region get it less
	// often, to keep control traffic over the region link small.
	Summary *placement.Summary `json:"summary,omitempty" cbor:"4,keyasint,omitempty"`
	// Sessions is the number of workers that the sender holds sessions with.
	Sessions int `json:"sessions" cbor:"5,keyasint,omitempty"`
}

// Enqueue hands a request from the front that took it to its home.
type Enqueue struct {
	Request workload.Request `json:"request" cbor:"1,keyasint"`
	Front   string           `json:"front" cbor:"2,keyasint"`
	// Age is how long ago the front accepted the request.
	Age time.Duration `json:"age" cbor:"3,keyasint"`
	// Try grows with every send of the front, over all requests and restarts. A
	// home ignores tries that are not newer than the last one that it refused.
	Try int `json:"try" cbor:"4,keyasint"`
	// Resent is set when an earlier try may have reached a home.
	Resent bool `json:"resent,omitempty" cbor:"5,keyasint,omitempty"`
	// ResolveOnly asks what became of the key and never starts it.
	ResolveOnly bool `json:"resolve-only,omitempty" cbor:"6,keyasint,omitempty"`
	// Wait attaches to the key without submitting it; it has no payload.
	Wait bool `json:"wait,omitempty" cbor:"7,keyasint,omitempty"`
}

// Assignment is what an owner has to know of a task, also after a takeover:
// it is the label that the worker keeps with the task.
type Assignment struct {
	Task          placement.Task `json:"task" cbor:"1,keyasint"`
	Region        string         `json:"region" cbor:"2,keyasint"`
	Front         string         `json:"front" cbor:"3,keyasint,omitempty"`
	NonIdempotent bool           `json:"non-idempotent,omitempty" cbor:"4,keyasint,omitempty"`
	// Collected is set when the home gathers the result, as for jobs and
	// gangs; otherwise the result goes straight to the front.
	Collected bool `json:"collected,omitempty" cbor:"5,keyasint,omitempty"`
	// Mode tells a home that has not read the log whether the task is a durable
	// job, whose end has to be recorded before its result is acknowledged.
	Mode workload.Mode `json:"mode,omitempty" cbor:"6,keyasint,omitempty"`
}

// Range returns the range that the task belongs to.
func (a *Assignment) Range() tenure.Range {
	return tenure.Range{Region: a.Region, Team: a.Task.Team}
}

// Assign hands a task from its home to the owner of the workers it may run on.
type Assign struct {
	Assignment Assignment         `json:"assignment" cbor:"1,keyasint"`
	Lease      tenure.LeaseNumber `json:"lease" cbor:"2,keyasint"`
	Payload    []byte             `json:"payload,omitempty" cbor:"3,keyasint,omitempty"`
	// StartWithin is the time left until the task must not start any more; 0
	// for none. A duration needs no common clock.
	StartWithin time.Duration `json:"start-within" cbor:"4,keyasint,omitempty"`
}

// AssignState is what became of an assignment at its owner.
type AssignState string

// The states of an assignment.
const (
	AssignWaiting  AssignState = "waiting"
	AssignStarted  AssignState = "started"
	AssignReturned AssignState = "returned"
	AssignExpired  AssignState = "expired"
	AssignUnknown  AssignState = "unknown"
	// AssignGone answers a Redirect whose answer is not kept. It says nothing of
	// a task that has not ended: the Redirect may have overtaken its Assign.
	AssignGone AssignState = "gone"
	// AssignLost: the session with the task's worker ended; the task may run on.
	AssignLost AssignState = "lost"
)

// AssignResult tells a home what became of an assignment. AssignReturned,
// AssignExpired and AssignUnknown all say that the task was not started and
// that the owner won't start it under this attempt.
type AssignResult struct {
	Task   placement.TaskID `json:"task" cbor:"1,keyasint"`
	Range  tenure.Range     `json:"range" cbor:"2,keyasint"`
	State  AssignState      `json:"state" cbor:"3,keyasint"`
	Worker string           `json:"worker,omitempty" cbor:"4,keyasint,omitempty"`
	Reason string           `json:"reason,omitempty" cbor:"5,keyasint,omitempty"`
	// Preempting is set when a started task is being stopped to give room back.
	Preempting bool `json:"preempting,omitempty" cbor:"6,keyasint,omitempty"`
	// Incarnation is the owner's, in AssignUnknown only: a restarted owner does
	// not know what its former process started.
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"7,keyasint,omitempty"`
}

// Result is how one task ended on its worker.
type Result struct {
	Outcome placement.Outcome `json:"outcome" cbor:"1,keyasint"`
	Worker  string            `json:"worker" cbor:"2,keyasint"`
	Waited  time.Duration     `json:"waited" cbor:"3,keyasint"`
	Ran     time.Duration     `json:"ran" cbor:"4,keyasint"`
	Body    []byte            `json:"body,omitempty" cbor:"5,keyasint,omitempty"`
}

// Finished reports a task's end to its home and, with the body, to its front.
// The owner repeats it until it is acknowledged.
type Finished struct {
	Task   placement.TaskID `json:"task" cbor:"1,keyasint"`
	Range  tenure.Range     `json:"range" cbor:"2,keyasint"`
	Result Result           `json:"result" cbor:"3,keyasint"`
	// ToFront tells the two recipients apart when one node is both.
	ToFront bool `json:"to-front,omitempty" cbor:"4,keyasint,omitempty"`
}

// AcknowledgeAnswer tells an owner that a front has passed the whole answer
// on, or that a home has recorded the end.
type AcknowledgeAnswer struct {
	Task      placement.TaskID `json:"task" cbor:"1,keyasint"`
	FromFront bool             `json:"from-front,omitempty" cbor:"2,keyasint,omitempty"`
	// Final is set when nobody needs the result any more.
	Final bool `json:"final,omitempty" cbor:"3,keyasint,omitempty"`
	// NotWaiting is set by a front that has no connection for the answer; the
	// owner then stops to send it there.
	NotWaiting bool `json:"not-waiting,omitempty" cbor:"4,keyasint,omitempty"`
}

// Cancel asks a home, or in turn an owner, to end a request.
type Cancel struct {
	Key   workload.Key `json:"key" cbor:"1,keyasint"`
	Range tenure.Range `json:"range" cbor:"2,keyasint"`
	Front string       `json:"front" cbor:"3,keyasint,omitempty"`
	// ToOwner is set on the way from the home to the owner.
	ToOwner bool             `json:"to-owner,omitempty" cbor:"4,keyasint,omitempty"`
	Task    placement.TaskID `json:"task,omitempty" cbor:"5,keyasint,omitempty"`
}

// Promises carries all promise requests and promises between two nodes.
type Promises struct {
	Request *tenure.PromiseRequest  `json:"request,omitempty" cbor:"1,keyasint,omitempty"`
	Reply   *tenure.PromiseResponse `json:"reply,omitempty" cbor:"2,keyasint,omitempty"`
}

// ListKeys asks an owner to list all its workers to a new home. The number
// fences assignments of former homes.
type ListKeys struct {
	Range tenure.Range       `json:"range" cbor:"1,keyasint"`
	Lease tenure.LeaseNumber `json:"lease" cbor:"2,keyasint"`
	// Asked is the home's time of asking, which the lists repeat: a list proves
	// nothing about what began after it was asked for.
	Asked time.Time `json:"asked" cbor:"3,keyasint"`
}

// ListedTask is one task in a worker's list.
type ListedTask struct {
	Assignment Assignment  `json:"assignment" cbor:"1,keyasint"`
	State      AssignState `json:"state" cbor:"2,keyasint"`
	Finished   bool        `json:"finished,omitempty" cbor:"3,keyasint,omitempty"`
}

// Listed says what one worker runs and has finished lately. An owner sends it
// to every member of the region when it opens a session, and for each of its
// workers in answer to ListKeys.
type Listed struct {
	// Worker is empty if the owner has no session and only answers ListKeys.
	Worker string `json:"worker" cbor:"1,keyasint"`
	Token  uint64 `json:"token" cbor:"2,keyasint"`
	// Range and Lease are those of the ListKeys that is answered; both are
	// zero in the list that follows a new session.
	Range tenure.Range       `json:"range" cbor:"3,keyasint,omitempty"`
	Lease tenure.LeaseNumber `json:"lease" cbor:"4,keyasint,omitempty"`
	Tasks []ListedTask       `json:"tasks" cbor:"5,keyasint,omitempty"`
	// Waiting lists tasks that wait at the owner and are on no worker yet.
	Waiting []ListedTask `json:"waiting,omitempty" cbor:"6,keyasint,omitempty"`
	Asked   time.Time    `json:"asked" cbor:"7,keyasint,omitempty"`
}

// Handover passes a range's open requests to the next home.
type Handover struct {
	Range    tenure.Range    `json:"range" cbor:"1,keyasint"`
	Entries  []HandoverEntry `json:"entries" cbor:"2,keyasint"`
	Complete bool            `json:"complete" cbor:"3,keyasint"`
	// Since is how long the sender had known every key of the range.
	Since time.Duration   `json:"since" cbor:"4,keyasint"`
	Lease tenure.Handover `json:"lease" cbor:"5,keyasint"`
	// Part counts the messages of one handover from 0. The handover is whole
	// only if every part came, in order.
	Part int `json:"part" cbor:"6,keyasint,omitempty"`
}

// HandoverEntry is one request in a handover.
type HandoverEntry struct {
	Request  workload.Request  `json:"request" cbor:"1,keyasint"`
	Fronts   []WaitingFront    `json:"fronts" cbor:"2,keyasint"`
	Age      time.Duration     `json:"age" cbor:"3,keyasint"`
	State    workload.State    `json:"state" cbor:"4,keyasint"`
	Attempt  int               `json:"attempt" cbor:"5,keyasint"`
	Tasks    []HandoverTask    `json:"tasks" cbor:"6,keyasint,omitempty"`
	Durable  bool              `json:"durable,omitempty" cbor:"7,keyasint,omitempty"`
	Answer   *workload.Answer  `json:"answer,omitempty" cbor:"8,keyasint,omitempty"`
	Accepted bool              `json:"accepted,omitempty" cbor:"9,keyasint,omitempty"`
	Refusal  *workload.Refusal `json:"refusal,omitempty" cbor:"10,keyasint,omitempty"`
	Suspect  bool              `json:"suspect,omitempty" cbor:"11,keyasint,omitempty"`
	Digest   uint64            `json:"digest,omitempty" cbor:"12,keyasint,omitempty"`
	Timeline []TimelineEvent   `json:"timeline,omitempty" cbor:"14,keyasint,omitempty"`
	Canceled bool              `json:"canceled,omitempty" cbor:"15,keyasint,omitempty"`
	// MayHaveRun is set when an earlier attempt may have run.
	MayHaveRun bool `json:"may-have-run,omitempty" cbor:"16,keyasint,omitempty"`
}

// WaitingFront is a front with a connection that waits for a request, and its
// newest try.
type WaitingFront struct {
	Name string `json:"name" cbor:"1,keyasint"`
	Try  int    `json:"try" cbor:"2,keyasint"`
}

// HandoverTask is where one task of a handed-over request is.
type HandoverTask struct {
	State        taskState        `json:"state" cbor:"1,keyasint"`
	Owner        string           `json:"owner,omitempty" cbor:"2,keyasint,omitempty"`
	Worker       string           `json:"worker,omitempty" cbor:"3,keyasint,omitempty"`
	ID           placement.TaskID `json:"id" cbor:"4,keyasint"`
	Outcome      *Result          `json:"outcome,omitempty" cbor:"5,keyasint,omitempty"`
	DoubtWorkers []string         `json:"doubt-workers,omitempty" cbor:"6,keyasint,omitempty"`
}

// Refused tells a front that its request was refused, and a home that its
// lease number is out of date.
type Refused struct {
	Key     workload.Key     `json:"key" cbor:"1,keyasint"`
	Try     int              `json:"try" cbor:"2,keyasint"`
	Refusal workload.Refusal `json:"refusal" cbor:"3,keyasint"`
	// NotHome is set when the sender is not the home of the range; the front
	// looks for the home again.
	NotHome bool `json:"not-home,omitempty" cbor:"4,keyasint,omitempty"`
	// AllTries extends NotHome to every try that this process of the sender got.
	AllTries    bool   `json:"all-tries,omitempty" cbor:"5,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"6,keyasint,omitempty"`
}

// Answered tells a front the outcome that the home has collected, or that a
// durable job was accepted.
type Answered struct {
	Key      workload.Key    `json:"key" cbor:"1,keyasint"`
	Answer   workload.Answer `json:"answer" cbor:"2,keyasint"`
	Accepted bool            `json:"accepted,omitempty" cbor:"3,keyasint,omitempty"`
	// Received only says that the home has the request.
	Received bool `json:"received,omitempty" cbor:"4,keyasint,omitempty"`
}

// Query asks an owner what became of assignments of which the home has not
// heard for a while. An owner that does not know one refuses it from then on.
type Query struct {
	Range tenure.Range       `json:"range" cbor:"1,keyasint"`
	Tasks []placement.TaskID `json:"tasks" cbor:"2,keyasint"`
	Lease tenure.LeaseNumber `json:"lease" cbor:"3,keyasint"`
}

// Recall asks an owner to return a task that still waits there.
type Recall struct {
	Range tenure.Range     `json:"range" cbor:"1,keyasint"`
	Task  placement.TaskID `json:"task" cbor:"2,keyasint"`
}

// Reserve asks an owner to hold room for part of a gang.
type Reserve struct {
	Assignment Assignment         `json:"assignment" cbor:"1,keyasint"`
	Lease      tenure.LeaseNumber `json:"lease" cbor:"2,keyasint"`
	Count      int                `json:"count" cbor:"3,keyasint"`
}

// Reserved says for how many tasks of a gang an owner holds room.
type Reserved struct {
	Key   workload.Key `json:"key" cbor:"1,keyasint"`
	Range tenure.Range `json:"range" cbor:"2,keyasint"`
	Count int          `json:"count" cbor:"3,keyasint"`
	// For is how long the room is held, counted by the owner's clock.
	For time.Duration `json:"for" cbor:"4,keyasint"`
}

// Confirm starts the named tasks of a gang in reserved room.
type Confirm struct {
	Key         workload.Key       `json:"key" cbor:"1,keyasint"`
	Lease       tenure.LeaseNumber `json:"lease" cbor:"2,keyasint"`
	Assignments []Assignment       `json:"assignments" cbor:"3,keyasint"`
	Payload     []byte             `json:"payload,omitempty" cbor:"4,keyasint,omitempty"`
}

// Release drops a gang's reservation.
type Release struct {
	Key   workload.Key `json:"key" cbor:"1,keyasint"`
	Range tenure.Range `json:"range" cbor:"2,keyasint"`
}

// Describe asks a home for the state and the timeline of a request.
type Describe struct {
	Key   workload.Key `json:"key" cbor:"1,keyasint"`
	Range tenure.Range `json:"range" cbor:"2,keyasint"`
	// Ask matches the description to the waiting call.
	Ask uint64 `json:"ask" cbor:"3,keyasint"`
}

// Description is a request's state and timeline.
type Description struct {
	Ask    uint64 `json:"ask" cbor:"1,keyasint"`
	Known  bool   `json:"known" cbor:"2,keyasint"`
	Status Status `json:"status" cbor:"3,keyasint"`
}

// PolicyRequest asks a member for its effective policy.
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

// encodeMode keeps the fractions of seconds, which the default mode drops:
// waits and the age of gangs are counted from such times.
var encodeMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

var errEmptyFrame = errors.New("empty frame")

// Encode returns the frame of a message: its type in one byte and its CBOR form.
func Encode(message Message) ([]byte, error) {
	body, err := encodeMode.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode message type %d: %w", message.messageType(), err)
	}
	return append([]byte{byte(message.messageType())}, body...), nil
}

// Decode returns the message of a frame, or an error that says what is wrong with it.
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

// Redirect tells an owner which front now waits for a task's answer.
type Redirect struct {
	Task  placement.TaskID `json:"task" cbor:"1,keyasint"`
	Front string           `json:"front" cbor:"2,keyasint"`
	Range tenure.Range     `json:"range" cbor:"3,keyasint"`
}

func (*Redirect) messageType() messageType { return typeRedirect }
