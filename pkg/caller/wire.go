package caller

import (
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// OutcomeContentType marks a body that holds an Outcome instead of the plain
// answer or refusal. The server uses it when it has sent keep-alive bytes,
// because it had to send the HTTP status before the outcome was known.
const OutcomeContentType = "application/vnd.yuccalanding.outcome+json"

// AttemptHeader repeats the attempt number of a submission as an HTTP header,
// so that a server can refuse a first attempt as "not-run" without reading its
// body. It is optional.
const AttemptHeader = "Yuccalanding-Attempt"

// Outcome is the body of an answer that took so long that the server has sent
// keep-alive bytes. Exactly one of the pointers is set.
type Outcome struct {
	// Status is the HTTP status that the answer would have had without
	// keep-alive bytes.
	Status      int               `json:"status"`
	Answer      *workload.Answer  `json:"answer,omitempty"`
	Receipt     *Receipt          `json:"receipt,omitempty"`
	State       *Status           `json:"state,omitempty"`
	Explanation *Explanation      `json:"explanation,omitempty"`
	Refusal     *workload.Refusal `json:"refusal,omitempty"`
}

// Receipt confirms that a durable job is recorded in the log.
type Receipt struct {
	Key   workload.Key   `json:"key"`
	State workload.State `json:"state"`
	// AcceptedAt is when the record was read back from the log.
	AcceptedAt time.Time `json:"accepted-at"`
}

// Status is the current state of a request or job.
type Status struct {
	Key     workload.Key   `json:"key"`
	Team    string         `json:"team"`
	Kind    string         `json:"kind"`
	Mode    workload.Mode  `json:"mode,omitempty"`
	State   workload.State `json:"state"`
	Attempt int            `json:"attempt"`
	Worker  string         `json:"worker,omitempty"`
	// Since is when the state began.
	Since time.Time `json:"since"`
	// Answer is set if State is ended and the scheduler still keeps the answer.
	Answer *workload.Answer `json:"answer,omitempty"`
}

// Explanation says why a request waited or is waiting, for support staff.
type Explanation struct {
	Status Status `json:"status"`
	// Summary is one sentence with the main cause of the wait.
	Summary string `json:"summary"`
	// Steps are the events of the request in time order.
	Steps []Step `json:"steps"`
}

// Step is one event in the lifecycle of a request.
type Step struct {
	At     time.Time `json:"at"`
	What   string    `json:"what"`
	Detail string    `json:"detail,omitempty"`
}
