package caller

import (
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// OutcomeContentType marks a body that holds an Outcome, in place of the plain
// answer or refusal. The server uses it once it has sent a keep-alive byte,
// because the HTTP status was then sent before the outcome was known.
const OutcomeContentType = "application/vnd.yuccalanding.outcome+json"

// AttemptHeader repeats the attempt number of a submission as an HTTP header,
// so that a server can refuse a first attempt as "not-run" without reading its
// body. It is optional.
const AttemptHeader = "Yuccalanding-Attempt"

// Outcome is the body of an answer that took longer than the server's first
// keep-alive bound. Exactly one of the pointers is set.
type Outcome struct {
	// Status is the HTTP status that a quick answer would have had.
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

// Status is where a request or a job is in its life.
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
	// Answer is set once State is ended and the answer is still kept.
	Answer *workload.Answer `json:"answer,omitempty"`
}

// Explanation says why a request waited or waits, for support desks.
type Explanation struct {
	Status Status `json:"status"`
	// Summary is one sentence with the main cause of the wait.
	Summary string `json:"summary"`
	// Steps are the stations of the request in time order.
	Steps []Step `json:"steps"`
}

// Step is one station of a request.
type Step struct {
	At     time.Time `json:"at"`
	What   string    `json:"what"`
	Detail string    `json:"detail,omitempty"`
}
