package shard

import "time"

// UnknownEpoch is an epoch in Options.FormerLeaders that no record matches.
const UnknownEpoch = -1

// FormerLeader is a leader before this one.
type FormerLeader struct {
	// Epoch is that of its claim.
	Epoch int64
	// LimitsLeases means that the leader keeps Options.MaxUnwitnessedAge, and that each of
	// its leases ends within Options.Lease after the confirmation or the polls on which it
	// rests, see SetLeaseBasis.
	LimitsLeases bool
}

// Options are the settings of a shard.
type Options struct {
	// Service is the name of the service in the log.
	Service string
	// Epoch is the epoch of the leader. Each new leader has a higher one.
	Epoch int64
	// Lease is how long a worker keeps its runs after the confirmation, or the polls of
	// witnesses, on which their lease rests.
	Lease time.Duration
	// MaxWorkerLease is the longest lease that a worker allows.
	MaxWorkerLease time.Duration
	// FormerLeaders are the last leaders before this one, the oldest first and without gaps.
	// The last one is the leader that this one replaced. Its epoch is 0 if there was none, and
	// UnknownEpoch if it isn't known.
	FormerLeaders []FormerLeader
	// ReplacedActsFor is the time from Load for which the replaced leader may still grant
	// leases, and FormerActsFor the same for any leader before it.
	ReplacedActsFor, FormerActsFor time.Duration
	// FormerLease is the longest time that a lease of a former leader lasts which limits its
	// leases: after the confirmation or the polls on which it rests.
	FormerLease time.Duration
	// A leader whose confirmation is older than MaxUnwitnessedAge acts only while its
	// WitnessedAt is less than MaxWitnessAge old. If MaxUnwitnessedAge is 0, it needs no
	// confirmation.
	MaxUnwitnessedAge, MaxWitnessAge time.Duration
	// FinalStateRetention is how long callers can query the final state of a job.
	FinalStateRetention time.Duration
	// Log logs an event with alternating keys and values. If it is nil, nothing is
	// logged.
	Log func(event string, keyvals ...any)
}
