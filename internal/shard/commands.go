package shard

import (
	"net/netip"
	"time"
)

// RunKey identifies one run of a task.
type RunKey struct {
	Task string
	Run  int64
}

// Target is the worker that a command goes to.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Start orders a worker to start a run.
type Start struct {
	RunKey
	Target
	Text       string        // the text of the job, see job.Spec
	LeaseUntil time.Duration // end of the lease, on the worker's clock
	Checkpoint string        // from which the task continues; empty if there is none
	Ticket     string        // of the placement adviser; empty if the queue needs none
}

// Stop orders a worker to stop a run.
type Stop struct {
	RunKey
	Target
}

// Pace sets the speed of a best-effort run, in percent of its full speed.
type Pace struct {
	RunKey
	Target
	Percent int
}

// Poll renews the leases of a worker's runs and reads its lists of running and
// ended runs. AckThrough acknowledges the results up to this sequence number, and
// Wait is how long the worker may hold back its answer while no run ends.
type Poll struct {
	Target
	AckThrough int64
	LeaseUntil time.Duration // end of the leases, on the worker's clock; 0 renews none
	Wait       time.Duration
}

// PollFailure says what the failure of a Poll shows about the worker.
type PollFailure int

// Failures of a Poll.
const (
	NoAnswer          PollFailure = iota // or the worker answered with an error
	ConnectionRefused                    // it has ended, or something in between refuses for it
	WorkerReplaced                       // another worker answers at its address, so it has ended
)

// AdviceRequest asks the placement adviser which workers may run a step.
type AdviceRequest struct {
	Step    string   // name of the step
	Workers []string // worker IDs
	// ExpectedTime is how long the adviser is expected to take.
	ExpectedTime time.Duration
}

// Commands holds what the caller of TakeCommands has to carry out. StoredAcceptances and
// StoredEnds are the IDs of the jobs whose acceptance, or final state, has been stored, so
// that the callers that wait for it can be answered.
type Commands struct {
	Starts            []Start
	Stops             []Stop
	Paces             []Pace
	Polls             []Poll
	AdviceRequests    []AdviceRequest
	StoredAcceptances []string
	StoredEnds        []string
}

// TakeCommands returns the commands since its last call and clears them.
func (s *Shard) TakeCommands() Commands {
	commands := s.commands
	s.commands = Commands{}
	return commands
}
