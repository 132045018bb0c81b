package shard

import "time"

// UnknownEpoch is an epoch in Options.FormerEpochs that no record matches.
const UnknownEpoch = -1

// Options are the settings of a shard.
type Options struct {
	// Service is the name of the service in the log.
	Service string
	// Epoch is the epoch of the leader. Each new leader has a higher one.
	Epoch int64
	// Lease is how long a worker keeps its runs without a lease renewal.
	Lease time.Duration
	// MaxWorkerLease is the longest lease that a worker allows.
	MaxWorkerLease time.Duration
	// FormerEpochs are the epochs with which the last leaders before this one claimed the
	// shard, the oldest first and without gaps. The last one is that of the leader that this
	// one replaced: 0 if there was none, and UnknownEpoch if it isn't known.
	FormerEpochs []int64
	// ReplacedActsFor is the time from Load for which the replaced leader may still grant
	// leases, and FormerActsFor the same for any leader before it.
	ReplacedActsFor, FormerActsFor time.Duration
	// FormerLease is the longest time that a lease of a former leader lasts.
	FormerLease time.Duration
	// A leader whose confirmation is older than MaxUnwitnessedAge acts only while its
	// WitnessedAt is less than MaxWitnessAge old, and its leases last WitnessedLease.
	// ReplacedNeedsWitnesses means that the replaced leader does so too.
	ReplacedNeedsWitnesses           bool
	MaxUnwitnessedAge, MaxWitnessAge time.Duration
	WitnessedLease                   time.Duration
	// FinalStateRetention is how long callers can query the final state of a job.
	FinalStateRetention time.Duration
	// Log logs an event with alternating keys and values. If it is nil, nothing is
	// logged.
	Log func(event string, keyvals ...any)
}
