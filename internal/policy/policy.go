// Package policy turns the operators' folder of INI files into one immutable
// Set, and replays the changes of the log into the same Set on every node.
//
// The package is pure except for folder.go, which reads the folder.
//
// # Usage
//
// An operator's command compares the folder with the effective set:
//
//	files, err := policy.ReadFolder("/etc/yuccalanding")
//	set, findings := policy.Read(files)
//	if len(findings) > 0 {
//		return findings // all of them, each with file, line, section and key
//	}
//	change := policy.Diff(set, effective, version.Number)
//	change.Identity, change.Who, change.Why, change.When = identity, who, why, now
//
// Every node replays the policy records of the log in their order:
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
// Keys that are not set take the defaults that the fields of Kind, Team and
// Limits state.
package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Unlimited is the value of a quota or bound that is not set.
const Unlimited = -1

// Kind is what operators set for one kind of work.
type Kind struct {
	Name string
	// Urgency is the kind's class: it orders kinds inside one entitlement, from
	// 0 to MaxUrgency, higher first. The default is 0.
	Urgency int
	// Weight divides room without a guarantee. The default is 1.
	Weight int
	// GuaranteedShare and Ceiling are shares of the scarcest resource from 0 to
	// 1. The defaults are 0 and 1.
	GuaranteedShare, Ceiling float64
	// QueueBound is the largest number of waiting tasks; 0, the default, takes
	// the engine's default.
	QueueBound int
	// Deadline is the longest wait before the start; 0, the default, is none.
	Deadline time.Duration
	// Preemption is empty, the default, for work that is never preempted.
	Preemption placement.Verb
	// RetryBudget is the number of retries allowed per first attempt, from 0 to
	// 1. The default is 0.1.
	RetryBudget float64
}

// Team is what operators set for one team.
type Team struct {
	Name string
	// Weight divides room between teams. The default is 1.
	Weight int
	// Quota is the most that the team's running tasks may hold together. Each
	// field is Unlimited by default; 0 allows nothing.
	Quota workload.Resources
	// RunningTasks is the largest number of running tasks; Unlimited by default.
	RunningTasks int
	// Guarantee is a share of the scarcest resource from 0 to 1. The default is 0.
	Guarantee float64
}

// Limits are bounds of the whole cell.
type Limits struct {
	// WaitingTasks is the largest number of waiting tasks of a range's home.
	// The default is 100000.
	WaitingTasks int
	// GangSize is the largest gang. The default is workload.MaxGangSize.
	GangSize int
	// QuarantinedShare is the largest share of workers in quarantine, from 0 to
	// 1. The default is 0.1.
	QuarantinedShare float64
}

// Set is a whole configuration without findings. It is immutable.
type Set struct {
	sections []section
	kinds    []Kind
	teams    []Team
	limits   Limits
	digest   uint64
}

// Kinds returns all kinds in the order of their names.
func (s *Set) Kinds() []Kind { return slices.Clone(s.kinds) }

// Teams returns all teams in the order of their names.
func (s *Set) Teams() []Team { return slices.Clone(s.teams) }

// Limits returns the bounds of the cell.
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

// Digest is a hash of the set's content. It doesn't depend on how the files
// were split, ordered or formatted, so that equal sets of two nodes have equal
// digests.
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

// Placement returns the part of the set that the placement engine follows.
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
