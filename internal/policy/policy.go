// Package policy parses the operators' configuration, a folder of INI files,
// into an immutable Set. It also applies the configuration changes in the log,
// so that all nodes compute the same Set.
//
// Only ReadFolder does input or output.
//
// # Usage
//
// An operator's command compares the folder with the effective set, which is the
// set in force on a node:
//
//	files, err := policy.ReadFolder("/etc/yuccalanding")
//	set, findings := policy.Read(files)
//	if len(findings) > 0 {
//		return findings // one for each fault, with file, line, section and key
//	}
//	change := policy.Diff(set, effective, version.Number)
//	change.Identity, change.Author, change.Reason, change.CreatedAt = identity, author, reason, now
//
// Every node applies the change records of the log in their order:
//
//	history := policy.NewHistory()
//	accepted, findings := history.Apply(offset, change)
//	engine.SetPolicy(history.Set().Placement())
//
// # The files
//
// Files are merged in the order of their names: a key of a later file replaces
// the same key of the same section. Comments start with # or ; at the start of
// a line or after a space. Values are not quoted.
//
//	[kind balance-check]
//	urgency = 50
//	guaranteed-share = 0.25
//	deadline = 1500ms
//
//	[team ledger]
//	weight = 3
//	running-tasks = 400
//
//	[limits]
//	waiting-tasks = 100000
//
// The doc comments of Kind, Team and Limits give the defaults of keys that are
// not set.
package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Unlimited is the value of a quota that is not set.
const Unlimited = -1

// Kind is the configuration of one kind of work.
type Kind struct {
	Name string
	// Urgency orders the kinds that are below their guaranteed shares, and those
	// that have equal shares: the kind with the higher value starts first. It is
	// from 0 to MaxUrgency; the default is 0.
	Urgency int
	// Weight is the kind's relative share of resources that no guarantee covers.
	// The default is 1.
	Weight int
	// GuaranteedShare and Ceiling are the lower and the upper limit of the kind's
	// share of the scarcest resource, from 0 to 1. The defaults are 0 and 1.
	GuaranteedShare, Ceiling float64
	// QueueBound is the largest number of waiting tasks. The default is 0, which
	// means the default of the placement engine.
	QueueBound int
	// Deadline is the longest time that a task waits before it starts. The default
	// is 0, which means no limit.
	Deadline time.Duration
	// Preemption says how work of the kind is preempted. The default is empty:
	// the work is never preempted.
	Preemption placement.Verb
	// RetryBudget is the number of retries allowed per first attempt, from 0 to
	// 1. The default is 0.1.
	RetryBudget float64
}

// Team is the configuration of one team.
type Team struct {
	Name string
	// Weight is the team's relative share of the resources. The default is 1.
	Weight int
	// Quota limits the total resources of the team's running tasks. Each field is
	// Unlimited by default; 0 allows nothing.
	Quota workload.Resources
	// RunningTasks is the largest number of running tasks. The default is
	// Unlimited.
	RunningTasks int
	// Guarantee is the team's guaranteed share of the scarcest resource, from 0 to
	// 1. The default is 0.
	Guarantee float64
}

// Limits apply to the whole cell.
type Limits struct {
	// WaitingTasks is the largest number of tasks that wait on one home, that is,
	// of one team in one region. The default is 100000.
	WaitingTasks int
	// GangSize is the largest number of tasks in a gang. The default is
	// workload.MaxGangSize.
	GangSize int
	// QuarantinedShare is the largest share of workers that may be in quarantine,
	// from 0 to 1. The default is 0.1.
	QuarantinedShare float64
}

// Set is a complete, valid configuration. It is immutable and safe for concurrent
// use.
type Set struct {
	sections []section
	kinds    []Kind
	teams    []Team
	limits   Limits
	digest   uint64
}

// Kinds returns all kinds, sorted by name.
func (s *Set) Kinds() []Kind { return slices.Clone(s.kinds) }

// Teams returns all teams, sorted by name.
func (s *Set) Teams() []Team { return slices.Clone(s.teams) }

// Limits returns the limits of the cell.
func (s *Set) Limits() Limits { return s.limits }

// Kind returns the named kind and whether the set has it.
func (s *Set) Kind(name string) (Kind, bool) {
	i, found := slices.BinarySearchFunc(s.kinds, name, func(kind Kind, name string) int { return strings.Compare(kind.Name, name) })
	if !found {
		return Kind{}, false
	}
	return s.kinds[i], true
}

// Team returns the named team and whether the set has it.
func (s *Set) Team(name string) (Team, bool) {
	i, found := slices.BinarySearchFunc(s.teams, name, func(team Team, name string) int { return strings.Compare(team.Name, name) })
	if !found {
		return Team{}, false
	}
	return s.teams[i], true
}

// Digest returns a hash of the set's content. It doesn't depend on how the files
// were split, ordered or formatted, so equal sets have equal digests on all
// nodes.
func (s *Set) Digest() uint64 { return s.digest }

// Text returns the set as one INI file in its canonical form.
func (s *Set) Text() string {
	var text strings.Builder
	for i, section := range s.sections {
		if i > 0 {
			text.WriteString("\n")
		}
		text.WriteString("[" + section.name + "]\n" + section.text())
	}
	return text.String()
}

// Placement returns the part of the set that the placement engine uses.
func (s *Set) Placement() placement.Policy {
	var policy placement.Policy
	for _, kind := range s.kinds {
		policy.Kinds = append(policy.Kinds, placement.KindPolicy{
			Name:       kind.Name,
			Urgency:    kind.Urgency,
			Weight:     kind.Weight,
			Guaranteed: kind.GuaranteedShare,
			Ceiling:    kind.Ceiling,
			QueueBound: kind.QueueBound,
			Deadline:   kind.Deadline,
			Preemption: kind.Preemption,
		})
	}
	for _, team := range s.teams {
		policy.Teams = append(policy.Teams, placement.TeamPolicy{Name: team.Name, Weight: team.Weight})
	}
	return policy
}

// section returns the named section and whether the set has it.
func (s *Set) section(name string) (section, bool) {
	i, found := slices.BinarySearchFunc(s.sections, name, func(other section, name string) int { return strings.Compare(other.name, name) })
	if !found {
		return section{}, false
	}
	return s.sections[i], true
}

func digestOf(text string) uint64 { return xxhash.Sum64String(text) }
