package alarm

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// listed is the number of names in a detail.
const listed = 5

// Durations after which a state is a condition, or is one no longer.
const (
	// staleAfter is the age of the VM list; it is polled every second.
	staleAfter = time.Minute
	// blameMemory is how long one finding against a class counts. A single one
	// ends before the alarm's hold time.
	blameMemory = 10 * time.Minute
	// outcomeMemory is how long an unknown outcome is shown.
	outcomeMemory = time.Hour
)

// Member is one node as the observing node knows it.
type Member struct {
	Name     string
	Region   string
	Live     bool
	Sessions int
	Version  uint64
	Digest   uint64
}

// Occurrence is a key, class or worker and when it was noted last.
type Occurrence struct {
	Name     string
	LastSeen time.Time
}

// State is what one node knows at one instant.
type State struct {
	Now    time.Time
	Name   string
	Region string
	// Members holds all nodes, this one included.
	Members []Member
	// Workers is the number of workers in the VM list that are not leaving, by region.
	Workers map[string]int
	LogUp   bool
	// HeldJobs are durable jobs that wait for the log, those with an append under
	// way included.
	HeldJobs int
	// TeamsWithoutHome are the teams whose range this node has to be the home of and
	// holds no lease of.
	TeamsWithoutHome []string
	Isolated         bool
	// Quarantined are this node's workers in quarantine; QuarantineBound is how
	// many of its workers may be.
	Quarantined     []string
	QuarantineBound int
	FaultyClasses   []Occurrence
	UnknownOutcomes []Occurrence
	VMListAge       time.Duration
	// PolicyIncomplete is set while records of the log are missing here.
	PolicyIncomplete bool
}

// ActiveConditions returns the conditions that hold in a state.
func ActiveConditions(s State) []ActiveCondition {
	var found []ActiveCondition
	for _, observe := range []func(*State) []ActiveCondition{
		seeLog, seeOwners, seeHomes, seeQuarantine, seeBlamed, seeUnknown, seeFenced, seePolicy, seeVMList,
	} {
		found = append(found, observe(&s)...)
	}
	return found
}

func one(condition *Condition, subject, format string, arguments ...any) []ActiveCondition {
	return []ActiveCondition{{Condition: condition, Subject: subject, Detail: fmt.Sprintf(format, arguments...)}}
}

func some(names []string) string {
	names = slices.Clone(names)
	slices.Sort(names)
	if len(names) <= listed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:listed], ", "), len(names)-listed)
}

func seeLog(s *State) []ActiveCondition {
	if s.LogUp || s.HeldJobs == 0 {
		return nil
	}
	return one(LogDown, "log", "%d records of durable jobs wait at %s", s.HeldJobs, s.Name)
}

// seeOwners reports regions without a live node, and workers without an owner in
// the others.
func seeOwners(s *State) []ActiveCondition {
	sessions, live := map[string]int{}, map[string]bool{}
	for _, m := range s.Members {
		if m.Live {
			sessions[m.Region] += m.Sessions
			live[m.Region] = true
		}
	}
	var found []ActiveCondition
	for _, m := range s.Members {
		if !live[m.Region] {
			live[m.Region] = true // One sighting for each region.
			found = append(found, one(RegionLost, m.Region, "seen by %s", s.Name)...)
			sessions[m.Region] = s.Workers[m.Region]
		}
	}
	for region, workers := range s.Workers {
		if live[region] && sessions[region] < workers {
			found = append(found, one(WorkersWithoutOwner, region, "%d of %d workers have no owner", workers-sessions[region], workers)...)
		}
	}
	slices.SortFunc(found, func(a, b ActiveCondition) int { return cmp.Compare(a.Subject, b.Subject) })
	return found
}

func seeHomes(s *State) []ActiveCondition {
	if len(s.TeamsWithoutHome) == 0 {
		return nil
	}
	return one(RangeWithoutHome, s.Region, "teams %s", some(s.TeamsWithoutHome))
}

func seeQuarantine(s *State) []ActiveCondition {
	if len(s.Quarantined) == 0 || len(s.Quarantined) < s.QuarantineBound {
		return nil
	}
	return one(QuarantineBound, s.Region, "workers %s", some(s.Quarantined))
}

func seeBlamed(s *State) []ActiveCondition {
	var found []ActiveCondition
	for _, class := range s.FaultyClasses {
		if s.Now.Sub(class.LastSeen) < blameMemory {
			found = append(found, one(ClassBlamed, class.Name, "last found at %s", class.LastSeen.UTC().Format(time.RFC3339))...)
		}
	}
	return found
}

func seeUnknown(s *State) []ActiveCondition {
	var keys []string
	for _, key := range s.UnknownOutcomes {
		if s.Now.Sub(key.LastSeen) < outcomeMemory {
			keys = append(keys, key.Name)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return one(OutcomeUnknown, s.Name, "requests %s", some(keys))
}

func seeFenced(s *State) []ActiveCondition {
	if !s.Isolated {
		return nil
	}
	return one(NodeFenced, s.Name, "it holds no workers")
}

// seePolicy reports the live nodes below the newest version, by their names, so
// that all nodes report the same subject.
func seePolicy(s *State) []ActiveCondition {
	var newest uint64
	digests := map[uint64]uint64{}
	differs := false
	for _, m := range s.Members {
		if !m.Live {
			continue
		}
		newest = max(newest, m.Version)
		if other, known := digests[m.Version]; known && other != m.Digest {
			differs = true
		}
		digests[m.Version] = m.Digest
	}
	var found []ActiveCondition
	if s.PolicyIncomplete {
		found = one(PolicyIncomplete, s.Name, "it has version %d", newest)
	}
	for _, m := range s.Members {
		if m.Live && m.Version < newest {
			found = append(found, one(PolicyBehind, m.Name, "it has version %d, the newest is %d", m.Version, newest)...)
		}
	}
	if differs {
		found = append(found, one(PolicyDiffers, "configuration", "seen by %s", s.Name)...)
	}
	return found
}

func seeVMList(s *State) []ActiveCondition {
	if s.VMListAge < staleAfter {
		return nil
	}
	return one(VMListStale, "vm-list", "%s has read no list for %s", s.Name, s.VMListAge.Round(time.Second))
}
