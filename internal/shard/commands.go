package shard

import (
	"net/netip"
	"time"
)

// RunKey names one run.
type RunKey struct {
	Task string
	Run  int64
}

// Target is the worker of a command.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Start orders a run.
type Start struct {
	RunKey
	Target
	Text       string
	LeaseUntil time.Duration // on the worker's clock
	Checkpoint string
	Ticket     string
}

// Stop orders the end of a run.
type Stop struct {
	RunKey
	Target
}

// Pace sets the share of its speed at which a filling run works.
type Pace struct {
	RunKey
	Target
	Percent int
}

// Poll extends the leases on a worker and reads its lists.
type Poll struct {
	Target
	AckThrough int64
	LeaseUntil time.Duration // on the worker's clock; 0 extends nothing
	Wait       time.Duration
}

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	Step    string
	Workers []string
	// ExpectedTime is how long the adviser needs.
	ExpectedTime time.Duration
}

// Commands are what the shard wants done. Settled jobs are those whose intake
// or cancellation is stored now.
type Commands struct {
	Starts         []Start
	Stops          []Stop
	Paces          []Pace
	Polls          []Poll
	AdviceRequests []AdviceRequest
	StoredJobs     []string
}

// TakeCommands returns the commands since the last call.
func (s *Shard) TakeCommands() Commands {
	commands := s.commands
	s.commands = Commands{}
	return commands
}
